"""Decoding of the endpoint lists that discovery sends, one JSON object per line."""

from __future__ import annotations

from typing import Any, NamedTuple, Optional

import orjson

from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import InvalidMessage, MalformedStream
from cedarshift.interface import Entry

PHASES = {"ready": "on", "draining": "fading", "gone": "off"}
ORDER_SEPARATORS = {",", ";"}  # of the orders that contain endpoint names
MAX_REVISION = 1 << 62
MAX_LINE_BYTES = 4 << 20  # a list of 10,000 endpoints has about 2 MB
MAX_UNIX_MS = 1e14
TENTHS_PER_MS = 10


class EndpointList(NamedTuple):
    """A revision of the endpoint list: all endpoints if `is_snapshot`, else those that changed."""

    revision: int
    is_snapshot: bool
    entries: list[Entry]


def parse_list(raw: Any) -> EndpointList:
    """Parses one list. Raises InvalidMessage with the path of a field that is missing or out of range."""
    if not isinstance(raw, dict):
        raise InvalidMessage(f"JSON {type(raw).__name__}, expected an object")
    revision = fields.integer(raw, "generation", 0, MAX_REVISION)
    is_snapshot = fields.boolean(raw, "reset")
    entries = []
    for index, item in enumerate(fields.sequence(raw, "instances")):
        try:
            entries.append(_parse_entry(item))
        except InvalidMessage as error:
            raise InvalidMessage(f"instances[{index}].{error}") from None
    return EndpointList(revision, is_snapshot, entries)


def _parse_entry(raw: Any) -> Entry:
    """Parses one endpoint. A missing or zero weight counts as 1, a missing or zero start time as unknown."""
    if not isinstance(raw, dict):
        raise InvalidMessage(f": JSON {type(raw).__name__}, expected an object")
    phase = PHASES.get(fields.string(raw, "lifecycle"))
    if phase is None:
        raise InvalidMessage(f"lifecycle: {raw['lifecycle']!r}, expected one of {', '.join(PHASES)}")
    size = fields.number(raw, "weight", 0, 1e9) if raw.get("weight") is not None else 1.0
    started = fields.number(raw, "startedAtMs", 0, MAX_UNIX_MS) if raw.get("startedAtMs") is not None else 0
    zone = fields.string(raw, "zone") if raw.get("zone") else ""
    name = fields.string(raw, "instanceId")
    if set(name) & ORDER_SEPARATORS:
        raise InvalidMessage(f"instanceId: {name!r} must not contain {' or '.join(sorted(ORDER_SEPARATORS))}")
    return Entry(name, phase, float(size) or 1.0, zone, round(started * TENTHS_PER_MS) or None)


class ListDecoder:
    """Incremental decoder of a watch's response body. Empty lines are heartbeats."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, piece: bytes) -> list[EndpointList]:
        """Returns the lists completed by `piece`. Raises MalformedStream for an invalid line."""
        lines = (self.buffer + piece).split(b"\n")
        self.buffer = lines.pop()
        if len(self.buffer) > MAX_LINE_BYTES:
            raise MalformedStream(f"line longer than {MAX_LINE_BYTES} bytes")
        lists = []
        for line in lines:
            if line.strip():
                lists.append(_parse_line(line))
        return lists


def _parse_line(line: bytes) -> EndpointList:
    try:
        return parse_list(orjson.loads(line))
    except (orjson.JSONDecodeError, InvalidMessage) as error:
        raise MalformedStream(f"{error}: {line[:80]!r}") from None


def watch_target(revision: Optional[int]) -> str:
    """The request target of a watch on changes after `revision`, or from a full list on if None."""
    return "/registry/instances?stream=1" + ("" if revision is None else f"&index={revision}")
