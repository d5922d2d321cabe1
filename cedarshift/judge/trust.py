"""Weighs facts borrowed from other pilots. No I/O; times are microseconds of this pilot's clock, passed in.

A fact's time is the *earliest* at which its origin can have heard it: the age stated by the lender plus all
time since the request. So facts never become fresher by being passed on, not even in a ring.

For each endpoint and source the newest bad report (draining, gone or sick) and the newest good report (on)
are kept, by a total order: neither arrival order nor duplicates matter. First-hand information is kept
separately and is never lent as borrowed.
"""

from __future__ import annotations

from typing import NamedTuple, Optional

GOOD_HALF_LIFE_US = 10_000_000  # lists are confirmed every few seconds
BAD_HALF_LIFE_US = 60_000_000  # a stale warning costs only capacity
SICK_HALF_LIFE_US = 30_000_000
HOP_FACTOR = 0.7  # weight kept per hop
MIN_GOOD_WEIGHT = 0.5  # below it a good report is ignored
MIN_BAD_WEIGHT = 0.1  # below it a bad report is ignored
UNSOUND_FACTOR = 0.5  # weight kept by good reports of a lender that is cut off
LIST_STALE_AFTER_US = 6_000_000  # list silence after which a lender counts as cut off
CLOCK_DRIFT = 0.01  # share by which another clock may run slow or fast
# Of the listed endpoints that are on; above it all warnings are ignored, as a faulty lender may send them
MAX_WARNED_SHARE = 0.34
MAX_HOPS = 4  # facts with more hops are dropped

ON, BAD = "on", ("fading", "off")


class PhaseReport(NamedTuple):
    """An endpoint's phase according to one source, ordered by revision, time, severity and names. `heard` is
    in microseconds.
    """

    rev: int
    heard: int  # us
    bad: bool
    phase: str
    start: str
    hops: int
    origin: str


class SicknessReport(NamedTuple):
    """A pilot's finding that an endpoint is sick: until when, and when it was heard (us)."""

    until: int
    heard: int
    hops: int
    origin: str


class OwnEntry(NamedTuple):
    """This pilot's own list entry, and when its list last answered (`confirmed`, us)."""

    phase: str
    start: str
    started: Optional[int]
    rev: int
    source: str
    confirmed: int


def age_of(heard: int, now: int) -> int:
    """Return the age (us) of a fact heard at `heard`; 0 if that is in the future."""
    return max(0, now - heard)


def oldest_heard_at(asked: int, stated_age: int) -> int:
    """Return the earliest time at which a fact can have been heard: its age, allowing for a slow clock,
    before the request.
    """
    return asked - stated_age - int(stated_age * CLOCK_DRIFT)


def latest_start(received: int, stated_age: int) -> int:
    """Return the latest time at which a process of the stated age can have started.

    The answer may have been written just now, and the clock that measured the age may run fast. A cold
    endpoint must not pass for a warm one.
    """
    return received - stated_age + int(stated_age * CLOCK_DRIFT)


def weight(age: int, hops: int, half_life: int, lender_soundness: float = 1.0) -> float:
    """Return the weight of a fact: it decays with age and with each hop."""
    return 0.5 ** (age / half_life) * HOP_FACTOR**hops * lender_soundness


class Lender(NamedTuple):
    """What a lender states of itself; `list_heard` is when its list last answered it (us, this clock)."""

    life: str
    list_heard: int
    in_charge: bool

    def soundness(self, now: int) -> float:
        """Return the factor for its good reports: 1 while its list is recent and it is in charge."""
        return (
            1.0 if age_of(self.list_heard, now) <= LIST_STALE_AFTER_US and self.in_charge else UNSOUND_FACTOR
        )


class BorrowedFacts:
    """All borrowed facts about endpoints."""

    def __init__(self) -> None:
        self.good: dict[tuple[str, str], PhaseReport] = {}  # (endpoint, source)
        self.bad: dict[tuple[str, str], PhaseReport] = {}
        self.starts: dict[tuple[str, str], int] = {}  # (endpoint, process) -> latest possible start, us
        self.sickness: dict[str, SicknessReport] = {}
        self.lender_soundness: dict[str, float] = {}  # by origin
        self.sources: dict[str, set[str]] = {}

    # ---- merging: commutative, associative, idempotent

    def merge_phase(self, endpoint: str, source: str, report: PhaseReport) -> None:
        """Merge a phase report of one source."""
        kept = self.bad if report.bad else self.good
        if endpoint not in self.sources:
            self.sources[endpoint] = set()
        self.sources[endpoint].add(source)
        kept[endpoint, source] = max(report, kept.get((endpoint, source), report))

    def merge_start(self, endpoint: str, process: str, latest: int) -> None:
        """Merge an upper bound (us) on a process's start; the lowest bound is kept."""
        key = (endpoint, process)
        self.starts[key] = min(latest, self.starts.get(key, latest))

    def forget_starts(self, before: int) -> None:
        """Drop the starts before `before`: those processes are warm by now."""
        self.starts = {key: at for key, at in self.starts.items() if at >= before}

    def merge_sickness(self, endpoint: str, sickness: SicknessReport) -> None:
        """Merge a sickness report."""
        self.sickness[endpoint] = max(sickness, self.sickness.get(endpoint, sickness))

    def set_soundness(self, origin: str, lender_soundness: float) -> None:
        """Set the weight factor of good reports from this origin: the soundness of their last lender."""
        self.lender_soundness[origin] = lender_soundness

    # ---- evaluation

    def good_weight(self, report: PhaseReport, now: int) -> float:
        """Return the weight of a good report, which depends on its lender's soundness."""
        return weight(
            age_of(report.heard, now),
            report.hops,
            GOOD_HALF_LIFE_US,
            self.lender_soundness.get(report.origin, 1.0),
        )

    def bad_weight(self, report: PhaseReport, now: int) -> float:
        """Return the weight of a bad report."""
        return weight(age_of(report.heard, now), report.hops, BAD_HALF_LIFE_US)

    def warning(self, endpoint: str, own: Optional[OwnEntry], now: int) -> Optional[PhaseReport]:
        """Return the strongest bad report in force for an endpoint: recent enough, and superseded neither by
        a newer good report of the same source nor by this pilot's own list.
        """
        standing = []
        for source in sorted(self.sources.get(endpoint, ())):
            report = self.bad.get((endpoint, source))
            if report is None or self.bad_weight(report, now) < MIN_BAD_WEIGHT:
                continue
            good = self.good.get((endpoint, source))
            if good is not None and (good.rev, good.heard) > (report.rev, report.heard):
                continue
            if own is None or not self._superseded_by_own(report, source, own):
                standing.append(report)
        return max(standing, key=lambda w: (self.bad_weight(w, now), w), default=None)

    @staticmethod
    def _superseded_by_own(report: PhaseReport, source: str, own: OwnEntry) -> bool:
        """Whether first-hand information replaces a report: by revision if both are of the same list, else by
        time.
        """
        if own.source == source:
            return own.rev >= report.rev
        return own.confirmed > report.heard

    def started(self, endpoint: str, own: OwnEntry, now: int, warm_within: int) -> Optional[int]:
        """Return a borrowed start (us) of the listed process where the own list states none and it is still
        warming up.
        """
        latest = self.starts.get((endpoint, own.start))
        if latest is None or own.started is not None or now - latest >= warm_within:
            return None
        return latest

    def sick_until(self, endpoint: str, now: int) -> int:
        """Return until when (us) an endpoint counts as sick; 0 if no report is in force."""
        sickness = self.sickness.get(endpoint)
        if sickness is None or sickness.until <= now:
            return 0
        return (
            sickness.until
            if weight(age_of(sickness.heard, now), sickness.hops, SICK_HALF_LIFE_US) >= MIN_BAD_WEIGHT
            else 0
        )

    def offered(self, now: int) -> dict[str, PhaseReport]:
        """Return the endpoints with usable good reports and no warning, for a pilot that has no list of its
        own.
        """
        found: dict[str, PhaseReport] = {}
        for (endpoint, _), report in sorted(self.good.items()):
            if self.good_weight(report, now) >= MIN_GOOD_WEIGHT and self.warning(endpoint, None, now) is None:
                found[endpoint] = max(report, found.get(endpoint, report))
        return found

    def warnings(self, own: dict[str, OwnEntry], now: int) -> dict[str, PhaseReport]:
        """Return the warnings against endpoints of this pilot's list; none if they exceed MAX_WARNED_SHARE of
        those that are on.
        """
        running = [name for name, entry in own.items() if entry.phase == ON]
        found = {
            name: report for name in running if (report := self.warning(name, own[name], now)) is not None
        }
        if len(found) > MAX_WARNED_SHARE * len(running):
            return {}
        return found


__all__ = [
    "BAD",
    "BorrowedFacts",
    "Lender",
    "ON",
    "OwnEntry",
    "PhaseReport",
    "SicknessReport",
    "latest_start",
    "oldest_heard_at",
    "weight",
]
