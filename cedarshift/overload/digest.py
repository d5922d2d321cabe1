"""Encoding of a pilot's load report as a rider of gossip messages. No I/O."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.codec.gossip import MAX_RIDER_BYTES
from cedarshift.judge.overload import STATES, Flow, LoadReport
from cedarshift.judge.trials import TrialReport

MAX_OP_TYPES = 12  # a report of so many op types always fits a rider
PER_MILLE = 1_000
TENTHS_PER_UNIT = 10
MAX_FIGURE = (1 << 32) - 1  # fits five bytes

ENCODER = msgspec.msgpack.Encoder()


class Digest(msgspec.Struct, array_like=True):
    """The encoded report. Rates are in tenths of an op per second, times in ms, shares in thousandths.

    `flows` holds a `judge.overload.Flow` per op type. `proxies`, `shuns` (tag, proxies) and `trials` (tag,
    share, strikes) are those of `judge.trials.TrialReport`.
    """

    state: int
    share: int
    pressure: int
    ops: int
    flows: list[tuple[int, int, int, int, int, int, int]]
    proxies: int = 0
    shuns: list[tuple[int, int]] = []
    trials: list[tuple[int, int, int]] = []


DECODER = msgspec.msgpack.Decoder(Digest)


def _clamp(value: float) -> int:
    return min(MAX_FIGURE, max(0, round(value)))


def pack_report(report: LoadReport, trial_report: Optional[TrialReport] = None) -> bytes:
    """Encodes a report, without the trials if they do not fit a rider."""
    if trial_report is not None and len(raw := _pack(report, trial_report)) <= MAX_RIDER_BYTES:
        return raw
    return _pack(
        report, TrialReport(0, {}, {}) if trial_report is None else trial_report._replace(shuns={}, trials={})
    )


def _pack(report: LoadReport, trial_report: TrialReport) -> bytes:
    shuns = [(tag, _clamp(count)) for tag, count in trial_report.shuns.items()]
    trials = [
        (tag, _clamp(share * PER_MILLE), _clamp(strikes))
        for tag, (share, strikes) in trial_report.trials.items()
    ]
    flows = [
        (*(_clamp(value * TENTHS_PER_UNIT) for value in flow[:6]), _clamp(flow.took / 1000))
        for flow in report.flows
    ]
    return ENCODER.encode(
        Digest(
            STATES.index(report.state),
            _clamp(report.share * PER_MILLE),
            _clamp(report.pressure * PER_MILLE),
            _clamp(report.ops * TENTHS_PER_UNIT),
            flows,  # type: ignore[arg-type]
            _clamp(trial_report.proxies),
            shuns,
            trials,
        )
    )


def unpack_report(payload: bytes, start: int, seq: int, at: int) -> Optional[tuple[LoadReport, TrialReport]]:
    """Decodes a rider; None if it is malformed. The caller checks that its figures are plausible."""
    try:
        digest = DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return None
    if not 0 <= digest.state < len(STATES):
        return None
    flows = tuple(
        Flow._make([*(value / TENTHS_PER_UNIT for value in flow[:6]), flow[6] * 1000.0])
        for flow in digest.flows
    )
    report = LoadReport(
        start,
        seq,
        at,
        flows,
        digest.pressure / PER_MILLE,
        digest.ops / TENTHS_PER_UNIT,
        digest.share / PER_MILLE,
        STATES[digest.state],
    )
    return report, TrialReport(
        max(0, digest.proxies),
        {tag: count for tag, count in digest.shuns if count > 0},
        {
            tag: (min(1.0, max(0.0, share / PER_MILLE)), max(0, strikes))
            for tag, share, strikes in digest.trials
        },
    )
