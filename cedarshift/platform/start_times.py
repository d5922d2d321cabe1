"""Starts of endpoints, which come as Unix time, on a clock that is never stepped.

An endpoint's age is a span of real time. Its start is a stamp of a wall clock, and that may be stepped, on every machine
or on this one alone, before the stamp or after it. So a stamp is held against each offset of the wall clock that this
process has seen, and the youngest age that is none before now counts: too young an age costs an endpoint a warm-up's
worth of load, while too old an age pushes it over. An age once found stays with its stamp, however often that is told.
"""

from __future__ import annotations

from typing import Callable, NamedTuple

from cedarshift import units
from cedarshift.codec.platform.entries import Listed
from cedarshift.interface import Entry
from cedarshift.loop.core import Clock

UNIT = 100  # us in a tenth of a millisecond, the unit of an entry's start
MIN_STEP = 100_000  # us; less is the drift of a clock that is slewed, or this process's own turn off the core
MAX_OFFSETS = 16  # offsets of the wall clock that are remembered, the newest
GONE = "off"


class Start(NamedTuple):
    """A stamp and what it stands for, both in tenths of a millisecond."""

    stamp: int
    started: int


class StartTimes:
    """`wall()` reads Unix time in us. Starts are given on the clock `clock.now() + base`, which is Unix time at first."""

    def __init__(self, clock: Clock, wall: Callable[[], int], report: Callable[..., None]) -> None:
        self.clock = clock
        self.wall = wall
        self.report = report
        self.base = wall() - clock.now()
        self.offsets = [self.base]  # Unix time less the clock's, newest last
        self.known: dict[str, Start] = {}  # by endpoint

    def look(self) -> None:
        """Notes whether the wall clock was stepped."""
        offset = self.wall() - self.clock.now()
        step = offset - self.offsets[-1]
        if abs(step) < MIN_STEP:
            return
        self.report("wall_clock_stepped", by_ms=step // 1000)
        self.offsets = [*self.offsets, offset][-MAX_OFFSETS:]

    def entries(self, listed: Listed) -> list[Entry]:
        """The entries of a list with their starts on this clock."""
        self.look()
        if listed.whole:
            named = {entry.endpoint for entry in listed.entries}
            self.known = {name: start for name, start in self.known.items() if name in named}
        return [self._entry(entry) for entry in listed.entries]

    def _entry(self, entry: Entry) -> Entry:
        if entry.phase == GONE:
            self.known.pop(entry.endpoint, None)
            return entry
        if entry.started is None:
            return entry
        known = self.known.get(entry.endpoint)
        if known is None or known.stamp != entry.started:
            known = self.known[entry.endpoint] = Start(entry.started, self._started(entry.started))
        return entry._replace(started=known.started)

    def _started(self, stamp: int) -> int:
        now = self.clock.now()
        ages = [units.round_down(now + offset, UNIT) - stamp for offset in self.offsets]
        age = min((age for age in ages if age >= 0), default=0)
        return units.round_down(now + self.base, UNIT) - age
