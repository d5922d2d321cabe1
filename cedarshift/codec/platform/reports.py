"""Messages of collectors and probes, and their conversion to arguments of the pilot's handlers."""

from __future__ import annotations

from typing import Any, Collection, Container

from cedarshift import units
from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import InvalidMessage

PROBE, JOIN, OUTCOMES, SLICE_LOAD = "probe", "agent", "outcomes", "hot"  # values of the field `t`
ALIVE = {"t": "alive"}
MAX_COUNT = 10_000_000  # ops of one report
MAX_RTT_MS = 600_000.0
MAX_INTERVAL_MS = 600_000.0
MAX_ZONE_LENGTH = 256  # characters, where the settings name no zones


def error_message(reason: str) -> dict[str, Any]:
    return {"t": "error", "reason": reason}


def ms_to_tenths(ms: float) -> int:
    """Milliseconds to tenths of a millisecond, rounded up."""
    return units.round_up(round(ms * 1000), 100)


def kind(message: dict[str, Any]) -> str:
    return fields.string(message, "t", 32)


def parse_zone(message: dict[str, Any], zones: Collection[str]) -> str:
    """The zone of a message; any name is accepted where `zones` is empty. Raises InvalidMessage."""
    if not zones:
        return str(message.get("locality", ""))[:MAX_ZONE_LENGTH]
    return _one_of(message, "locality", zones)


def parse_outcomes(
    message: dict[str, Any], zones: Collection[str], endpoints: Container[str]
) -> tuple[str, str, int, int, int, int]:
    """(endpoint, zone, tries, aborted, rtt, interval), durations in 0.1 ms. Raises InvalidMessage."""
    origin = parse_zone(message, zones)
    endpoint = _one_of(message, "endpoint", endpoints)
    tries = fields.integer(message, "total", 0, MAX_COUNT)
    aborted = fields.integer(message, "errors", 0, tries)
    rtt = fields.number(message, "rtt", 0, MAX_RTT_MS)
    interval = fields.number(message, "interval", 1, MAX_INTERVAL_MS)
    return endpoint, origin, tries, aborted, ms_to_tenths(rtt), ms_to_tenths(interval)


def parse_slice_load(
    message: dict[str, Any], slices: int, op_types: Container[str]
) -> tuple[int, str, int, int, int]:
    """(slice, op type, ops, unanswered, interval), the interval in 0.1 ms. Raises InvalidMessage.

    `slices`: the number of slices."""
    number = fields.integer(message, "shard", 0, slices - 1)
    op_type = _one_of(message, "route", op_types)
    ops = fields.integer(message, "total", 0, MAX_COUNT)
    unanswered = fields.integer(
        message, "errors", 0, MAX_COUNT
    )  # includes ops of earlier intervals, so may exceed `ops`
    interval = fields.number(message, "interval", 1, MAX_INTERVAL_MS)
    return number, op_type, ops, unanswered, ms_to_tenths(interval)


def _one_of(message: dict[str, Any], key: str, names: Container[str]) -> str:
    name = fields.string(message, key)
    if name not in names:
        raise InvalidMessage(f"{key}: {name!r} is not known here")
    return name
