"""Converts the start times of endpoints from Unix time to a clock that is never stepped.

The wall clock behind a start time may be stepped, on all machines or on this one alone. So each start time is
compared with all wall clock offsets this process has seen, and the smallest age that is not negative counts:
an age that is too low delays an endpoint's warm-up, while one that is too high overloads it. The result is
kept while the start time stays the same.
"""

from __future__ import annotations

from typing import Callable, NamedTuple

from cedarshift import units
from cedarshift.codec.platform.entries import EndpointList
from cedarshift.interface import Entry
from cedarshift.loop.core import Clock

TENTH_MS_US = 100
MIN_STEP_US = 100_000  # smaller changes are clock drift or scheduling delays
MAX_OFFSETS = 16  # most recent wall clock offsets kept
GONE = "off"  # phase of a removed endpoint


class Start(NamedTuple):
    """A start time as received, and as converted; both in tenths of a millisecond."""

    stamp: int
    started: int


class StartTimes:
    """Converts start times to the clock `clock.now() + base`. `wall()` returns Unix time in us.

    `base` is the wall clock's offset (us) when the process started."""

    def __init__(self, clock: Clock, wall: Callable[[], int], report: Callable[..., None]) -> None:
        self.clock = clock
        self.wall = wall
        self.report = report
        self.base = wall() - clock.now()
        self.offsets = [self.base]  # wall clock minus `clock`, newest last
        self.known: dict[str, Start] = {}  # by endpoint

    def check_wall_clock(self) -> None:
        """Records a new offset if the wall clock was stepped."""
        offset = self.wall() - self.clock.now()
        step = offset - self.offsets[-1]
        if abs(step) < MIN_STEP_US:
            return
        self.report("wall_clock_stepped", by_ms=step // 1000)
        self.offsets = [*self.offsets, offset][-MAX_OFFSETS:]

    def entries(self, endpoint_list: EndpointList) -> list[Entry]:
        """The entries of a list with converted start times."""
        self.check_wall_clock()
        if endpoint_list.is_snapshot:
            named = {entry.endpoint for entry in endpoint_list.entries}
            self.known = {name: start for name, start in self.known.items() if name in named}
        return [self._entry(entry) for entry in endpoint_list.entries]

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
        """Converts a start time; one later than now by every known offset counts as now."""
        now = self.clock.now()
        ages = [units.round_down(now + offset, TENTH_MS_US) - stamp for offset in self.offsets]
        age = min((age for age in ages if age >= 0), default=0)
        return units.round_down(now + self.base, TENTH_MS_US) - age
