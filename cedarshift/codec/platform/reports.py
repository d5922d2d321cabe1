"""What collectors report, in the module's words and units: the arguments of `on_met` and `on_heat`, checked."""

from __future__ import annotations

from typing import Any, Collection, Container

from cedarshift import units
from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import Spoilt

PROBE, JOINING, MET, HEAT = "probe", "agent", "outcomes", "hot"  # what `t` may name at a pilot's address
ALIVE = {"t": "alive"}
COUNT_MOST = 10_000_000  # ops of one report: more is no count
RTT_MOST = 600_000.0  # ms; no op lasts ten minutes
SPAN_MOST = 600_000.0  # ms; nor does a report's interval
ZONE_MOST = 256  # characters of a zone that no settings name


def error(reason: str) -> dict[str, Any]:
    return {"t": "error", "reason": reason}


def tenths_up(ms: float) -> int:
    return units.round_up(round(ms * 1000), 100)


def kind(message: dict[str, Any]) -> str:
    return fields.text(message, "t", 32)


def zone(message: dict[str, Any], zones: Collection[str]) -> str:
    """Where a message comes from; at a site without zones, whatever it names. Raises Spoilt."""
    if not zones:
        return str(message.get("locality", ""))[:ZONE_MOST]
    return _known(message, "locality", zones)


def met(
    message: dict[str, Any], zones: Collection[str], endpoints: Container[str]
) -> tuple[str, str, int, int, int, int]:
    """(endpoint, zone, tries, aborted, took, span). Raises Spoilt."""
    origin = zone(message, zones)
    endpoint = _known(message, "endpoint", endpoints)
    tries = fields.whole(message, "total", 0, COUNT_MOST)
    aborted = fields.whole(message, "errors", 0, tries)
    took = fields.number(message, "rtt", 0, RTT_MOST)
    span = fields.number(message, "interval", 1, SPAN_MOST)
    return endpoint, origin, tries, aborted, tenths_up(took), tenths_up(span)


def heat(message: dict[str, Any], slices: int, op_types: Container[str]) -> tuple[int, str, int, int, int]:
    """(slice, op type, ops, unanswered, span). Raises Spoilt."""
    number = fields.whole(message, "shard", 0, slices - 1)
    op_type = _known(message, "route", op_types)
    ops = fields.whole(message, "total", 0, COUNT_MOST)
    unanswered = fields.whole(
        message, "errors", 0, COUNT_MOST
    )  # some came before the interval: maybe more than ops
    span = fields.number(message, "interval", 1, SPAN_MOST)
    return number, op_type, ops, unanswered, tenths_up(span)


def _known(message: dict[str, Any], key: str, names: Container[str]) -> str:
    got = fields.text(message, key)
    if got not in names:
        raise Spoilt(f"{key}: {got!r} is not known here")
    return got
