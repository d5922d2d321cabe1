"""Entries of a list as they are written, checked, and as the module takes them."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.interface import Entry

UNIT = 100  # us in a tenth of a millisecond
ENTRIES_MOST = 20_000


class ListRefused(Exception):
    """A list that can't be read, with the entry and the reason; the one before it stays in force."""


class Listed(msgspec.Struct):
    """`start` names the process: another text is another start. `age_ms`: how long ago it started, if known."""

    endpoint: str
    phase: str = "on"
    size: float = 1.0
    zone: str = ""
    start: str = ""
    age_ms: Optional[int] = None


class WholeList(msgspec.Struct):
    """`name`: which list this is, and which life of the service that counts its `rev`s; two pilots that are told the same
    name can compare what they have seen."""

    endpoints: list[Listed]
    kind: str = "replace"
    rev: int = 0
    name: str = ""


DECODER = msgspec.json.Decoder(WholeList)
ENCODER = msgspec.json.Encoder()


def parse_list(raw: bytes, where: str) -> WholeList:
    """Raises ListRefused with the entry that is wrong; an unknown field is passed over."""
    try:
        found = DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ListRefused(f"{where}: {error}") from None
    if found.kind not in ("replace", "update"):
        raise ListRefused(f'{where}: kind {found.kind!r}, "replace" and "update" are allowed')
    if len(found.endpoints) > ENTRIES_MOST:
        raise ListRefused(f"{where}: {len(found.endpoints)} endpoints, {ENTRIES_MOST} at most")
    seen: set[str] = set()
    for number, one in enumerate(found.endpoints):
        place = f"{where}: endpoints[{number}] {one.endpoint!r}"
        if not one.endpoint or one.endpoint in seen:
            raise ListRefused(f"{place}: {'stands twice' if one.endpoint else 'has no name'}")
        if one.phase not in ("on", "fading", "off"):
            raise ListRefused(f'{place}: phase {one.phase!r}, "on", "fading" and "off" are allowed')
        if not 0 < one.size < 1e9:
            raise ListRefused(f"{place}: size {one.size}, it must lie above 0")
        seen.add(one.endpoint)
    return found


class Starts:
    """When each process started, on this pilot's clock: worked out once for each start, so that it never wavers."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[str, Optional[int]]] = {}
        self.primed = False  # a whole list was taken

    def entries(self, now: int, listed: list[Listed]) -> list[Entry]:
        made = [self.entry(now, one) for one in listed]
        self.primed = True
        return made

    def entry(self, now: int, one: Listed) -> Entry:
        """`now` in us. Without an age, what stands in the first list counts as started long ago; what comes or changes
        later counts as started now: it may be cold, and nothing says that it is not."""
        before = self.known.get(one.endpoint)
        if before is None or before[0] != one.start:
            if one.age_ms is not None:
                started: Optional[int] = max(1, (now - one.age_ms * 1000) // UNIT)
            else:
                started = now // UNIT if self.primed else None
            self.known[one.endpoint] = (one.start, started)
        return Entry(one.endpoint, one.phase, one.size, one.zone, self.known[one.endpoint][1])
