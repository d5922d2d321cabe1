"""Discovery's list lines as the module's entries."""

from __future__ import annotations

from typing import Any, NamedTuple, Optional

import orjson

from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import Spoilt, Unreadable
from cedarshift.interface import Entry

PHASES = {"ready": "on", "draining": "fading", "gone": "off"}
APART = {",", ";"}  # what parts orders, and their fields
REVISION_MOST = 1 << 62
LINE_MOST = 4 << 20  # bytes of one line; a list of 10,000 endpoints has about 2 MB
MILLIS_MOST = 1e14  # ms; Unix times stay below for some thousand years
TENTHS = 10


class Listed(NamedTuple):
    """`whole`: these are all there are; else they are what changed."""

    revision: int
    whole: bool
    entries: list[Entry]


def listed(raw: Any) -> Listed:
    """Raises Spoilt, with the entry's place, where anything is missing or out of range."""
    if not isinstance(raw, dict):
        raise Spoilt(f"a JSON {type(raw).__name__}, an object is allowed")
    revision = fields.whole(raw, "generation", 0, REVISION_MOST)
    whole = fields.flag(raw, "reset")
    entries = []
    for at, one in enumerate(fields.sequence(raw, "instances")):
        try:
            entries.append(_entry(one))
        except Spoilt as error:
            raise Spoilt(f"instances[{at}].{error}") from None
    return Listed(revision, whole, entries)


def _entry(raw: Any) -> Entry:
    if not isinstance(raw, dict):
        raise Spoilt(f": a JSON {type(raw).__name__}, an object is allowed")
    phase = PHASES.get(fields.text(raw, "lifecycle"))
    if phase is None:
        raise Spoilt(f"lifecycle: {raw['lifecycle']!r}, {', '.join(PHASES)} are allowed")
    size = fields.number(raw, "weight", 0, 1e9) if raw.get("weight") is not None else 1.0
    started = fields.number(raw, "startedAtMs", 0, MILLIS_MOST) if raw.get("startedAtMs") is not None else 0
    zone = fields.text(raw, "zone") if raw.get("zone") else ""
    name = fields.text(raw, "instanceId")
    if set(name) & APART:
        raise Spoilt(
            f"instanceId: {name!r}, an order can't hold it: no {' or '.join(sorted(APART))} is allowed"
        )
    return Entry(name, phase, float(size) or 1.0, zone, round(started * TENTHS) or None)


class ListLines:
    """A watch's body, in whatever pieces it comes, to lists; an empty line is a sign of life."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, piece: bytes) -> list[Listed]:
        """Raises Unreadable for a line that is no list: what followed it could not be built upon."""
        lines = (self.rest + piece).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > LINE_MOST:
            raise Unreadable(f"a line over {LINE_MOST} bytes")
        found = []
        for line in lines:
            if line.strip():
                found.append(_line(line))
        return found


def _line(line: bytes) -> Listed:
    try:
        return listed(orjson.loads(line))
    except (orjson.JSONDecodeError, Spoilt) as error:
        raise Unreadable(f"{error}: {line[:80]!r}") from None


def watch(revision: Optional[int]) -> str:
    """The target of a watch on all changes after a revision; without one, from the whole list on."""
    return "/registry/instances?stream=1" + ("" if revision is None else f"&index={revision}")
