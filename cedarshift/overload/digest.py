"""A pilot's row of the picture as the bytes that ride on gossip. Free of I/O."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.codec.gossip import MAX_RIDER_BYTES
from cedarshift.judge.overload import STATES, Flow, LoadReport
from cedarshift.judge.trials import TrialReport

KINDS_MOST = 12  # op types of a row that fits a rider whatever its figures are
PER_MILLE = 1_000
TENTHS = 10
MOST = (1 << 32) - 1  # of a figure: five bytes

ENCODER = msgspec.msgpack.Encoder()


class Digest(msgspec.Struct, array_like=True):
    """Rates in tenths of an op a second, times in ms, parts in thousandths. `flows`: by op type, as in `judge.overload.Flow`; then as in
    `judge.trials.TrialReport`: (tag, proxies) and (tag, share, strikes)."""

    state: int
    share: int
    pressure: int
    ops: int
    flows: list[tuple[int, int, int, int, int, int, int]]
    proxies: int = 0
    shuns: list[tuple[int, int]] = []
    trials: list[tuple[int, int, int]] = []


DECODER = msgspec.msgpack.Decoder(Digest)


def _whole(value: float) -> int:
    return min(MOST, max(0, round(value)))


def packed(row: LoadReport, word: Optional[TrialReport] = None) -> bytes:
    """What does not fit a rider beside the loads is left out: the trials, first."""
    if word is not None and len(raw := _packed(row, word)) <= MAX_RIDER_BYTES:
        return raw
    return _packed(row, TrialReport(0, {}, {}) if word is None else word._replace(shuns={}, trials={}))


def _packed(row: LoadReport, word: TrialReport) -> bytes:
    shuns = [(tag, _whole(count)) for tag, count in word.shuns.items()]
    trials = [
        (tag, _whole(share * PER_MILLE), _whole(strikes)) for tag, (share, strikes) in word.trials.items()
    ]
    flows = [
        (*(_whole(value * TENTHS) for value in flow[:6]), _whole(flow.took / 1000)) for flow in row.flows
    ]
    return ENCODER.encode(
        Digest(
            STATES.index(row.state),
            _whole(row.share * PER_MILLE),
            _whole(row.pressure * PER_MILLE),
            _whole(row.ops * TENTHS),
            flows,  # type: ignore[arg-type]
            _whole(word.proxies),
            shuns,
            trials,
        )
    )


def unpacked(payload: bytes, start: int, seq: int, at: int) -> Optional[tuple[LoadReport, TrialReport]]:
    """None for bytes that are no row; what it says is judged by who counts it."""
    try:
        found = DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return None
    if not 0 <= found.state < len(STATES):
        return None
    flows = tuple(
        Flow._make([*(value / TENTHS for value in flow[:6]), flow[6] * 1000.0]) for flow in found.flows
    )
    row = LoadReport(
        start,
        seq,
        at,
        flows,
        found.pressure / PER_MILLE,
        found.ops / TENTHS,
        found.share / PER_MILLE,
        STATES[found.state],
    )
    return row, TrialReport(
        max(0, found.proxies),
        {tag: count for tag, count in found.shuns if count > 0},
        {
            tag: (min(1.0, max(0.0, share / PER_MILLE)), max(0, strikes))
            for tag, share, strikes in found.trials
        },
    )
