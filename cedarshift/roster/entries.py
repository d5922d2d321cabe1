"""Parses endpoint lists and converts their entries to those of the decision module."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.interface import Entry

TICK_US = 100  # time unit of the decision module
MAX_ENTRIES = 20_000


class InvalidList(Exception):
    """An invalid list; the message names the entry and the reason. The previous list stays in force."""


class ListEntry(msgspec.Struct):
    """One endpoint of a list.

    `start` identifies the process: a new value means a restart. `age_ms`: time since its start, if known.
    """

    endpoint: str
    phase: str = "on"
    size: float = 1.0
    zone: str = ""
    start: str = ""
    age_ms: Optional[int] = None


class EndpointList(msgspec.Struct):
    """A complete list ("replace") or a set of changes ("update").

    `name` identifies the list and the run of the service that numbers its revisions; `rev`s are comparable
    between pilots only under the same name.
    """

    endpoints: list[ListEntry]
    kind: str = "replace"
    rev: int = 0
    name: str = ""


DECODER = msgspec.json.Decoder(EndpointList)
ENCODER = msgspec.json.Encoder()


def parse_list(raw: bytes, where: str) -> EndpointList:
    """Decode and validate a list; unknown fields are ignored. Raises InvalidList."""
    try:
        decoded = DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidList(f"{where}: {error}") from None
    if decoded.kind not in ("replace", "update"):
        raise InvalidList(f'{where}: kind {decoded.kind!r}, "replace" and "update" are allowed')
    if len(decoded.endpoints) > MAX_ENTRIES:
        raise InvalidList(f"{where}: {len(decoded.endpoints)} endpoints, {MAX_ENTRIES} at most")
    seen: set[str] = set()
    for number, entry_row in enumerate(decoded.endpoints):
        prefix = f"{where}: endpoints[{number}] {entry_row.endpoint!r}"
        if not entry_row.endpoint or entry_row.endpoint in seen:
            raise InvalidList(f"{prefix}: {'stands twice' if entry_row.endpoint else 'has no name'}")
        if entry_row.phase not in ("on", "fading", "off"):
            raise InvalidList(f'{prefix}: phase {entry_row.phase!r}, "on", "fading" and "off" are allowed')
        if not 0 < entry_row.size < 1e9:
            raise InvalidList(f"{prefix}: size {entry_row.size}, it must lie above 0")
        seen.add(entry_row.endpoint)
    return decoded


class StartTimes:
    """Start times of processes on this pilot's clock, computed once per start so that they stay constant."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[str, Optional[int]]] = {}
        self.primed = False  # a complete list was applied

    def entries(self, now: int, listed: list[ListEntry]) -> list[Entry]:
        entries = [self.entry(now, entry_row) for entry_row in listed]
        self.primed = True
        return entries

    def entry(self, now: int, entry_row: ListEntry) -> Entry:
        """Convert one entry; `now` in us.

        Without an age, endpoints of the first list count as started long ago, and those added or restarted
        later as started now, since they may be cold.
        """
        before = self.known.get(entry_row.endpoint)
        if before is None or before[0] != entry_row.start:
            if entry_row.age_ms is not None:
                started: Optional[int] = max(1, (now - entry_row.age_ms * 1000) // TICK_US)
            else:
                started = now // TICK_US if self.primed else None
            self.known[entry_row.endpoint] = (entry_row.start, started)
        return Entry(
            entry_row.endpoint,
            entry_row.phase,
            entry_row.size,
            entry_row.zone,
            self.known[entry_row.endpoint][1],
        )
