"""How far a fact that a peer lent is believed. No I/O; times are microseconds of this pilot's own clock, passed in.

A fact's time is the *oldest* at which its origin can have heard it: what the lender states as its age, and all that
passed here from the asking on. So nothing grows fresher by travelling, in a ring neither.

Of what lenders say of an endpoint two things are kept a source: the newest bad news and the newest good news. Each is
kept by a total order, so the order in which facts arrive, and how often, makes no difference. Bad news is that an
endpoint drains, is gone, or was found sick; good news that it is on. What this pilot hears first-hand stands beside
them, and is never mixed into what it lends as its own.
"""

from __future__ import annotations

from typing import NamedTuple, Optional

# Constants: unit, then the reason for the size.
GOOD_HALF_LIFE_US = (
    10_000_000  # us; a list is confirmed every few seconds, so good news of 10 s ago is half a guess
)
BAD_HALF_LIFE_US = (
    60_000_000  # us; believing for too long that an endpoint is bad costs room, the reverse costs rules
)
SICK_HALF_LIFE_US = (
    30_000_000  # us; the module's own hold on a sick endpoint is 15 s, doubled with each strike
)
HOP_FACTOR = 0.7  # of the weight left by each borrowing: every hand is one that may have erred
MIN_GOOD_WEIGHT = 0.5  # weight from which good news counts: fresh, and first-hand at the lender or nearly so
MIN_BAD_WEIGHT = 0.1  # weight from which bad news counts: an old warning is still one
UNSOUND_FACTOR = 0.5  # of the weight of good news left when the lender is cut off: bad news keeps its own
LIST_STALE_AFTER_US = (
    6_000_000  # us without a word from its list after which a lender counts as cut off from it
)
CLOCK_DRIFT = 0.01  # share by which a clock elsewhere may run slow
MAX_WARNED_SHARE = (
    0.34  # share of the endpoints on this pilot's list that lenders may talk it out of: a lender
)
# that calls more of them bad is wrong or lies, and must not empty a pool
MAX_HOPS = 4  # a fact handed on more often is not taken: its weight is under a quarter

ON, BAD = "on", ("fading", "off")


class PhaseReport(NamedTuple):
    """What one source said of an endpoint's phase, ordered: newer revision, newer time, then the worse, then by name."""

    rev: int
    heard: int  # us
    bad: bool
    phase: str
    start: str
    hops: int
    origin: str


class SicknessReport(NamedTuple):
    """Found sick by a pilot's sums: until when, told when."""

    until: int
    heard: int
    hops: int
    origin: str


class OwnEntry(NamedTuple):
    """This pilot's own entry: what its list says, and when that list last answered."""

    phase: str
    start: str
    started: Optional[int]
    rev: int
    source: str
    confirmed: int


def age_of(heard: int, now: int) -> int:
    return max(0, now - heard)


def oldest_heard_at(asked: int, stated_age: int) -> int:
    """The oldest time at which it can have been heard: the age, with a slow clock's part, before the asking."""
    return asked - stated_age - int(stated_age * CLOCK_DRIFT)


def latest_start(received: int, stated_age: int) -> int:
    """The latest time at which a process of that age can have started: the answer may have been written just now, and the
    clock that measured the age may run fast. A cold endpoint must not pass for a warm one while its facts travel."""
    return received - stated_age + int(stated_age * CLOCK_DRIFT)


def weight(age: int, hops: int, half_life: int, lender_soundness: float = 1.0) -> float:
    return 0.5 ** (age / half_life) * HOP_FACTOR**hops * lender_soundness


class Lender(NamedTuple):
    """What a lender says of itself, with the time at which its list had answered last, as seen from here."""

    life: str
    list_heard: int
    in_charge: bool

    def soundness(self, now: int) -> float:
        """Believed by its ages, whatever else it claims."""
        return (
            1.0 if age_of(self.list_heard, now) <= LIST_STALE_AFTER_US and self.in_charge else UNSOUND_FACTOR
        )


class BorrowedFacts:
    """All that was borrowed of the endpoints."""

    def __init__(self) -> None:
        self.good: dict[tuple[str, str], PhaseReport] = {}  # (endpoint, source)
        self.bad: dict[tuple[str, str], PhaseReport] = {}
        self.starts: dict[
            tuple[str, str], int
        ] = {}  # (endpoint, process) -> us at which it had started, at the latest
        self.sickness: dict[str, SicknessReport] = {}
        self.lender_soundness: dict[str, float] = {}  # origin -> soundness of the lender that brought it
        self.sources: dict[str, set[str]] = {}

    # ---- merging: the greatest of an order, whatever comes first

    def merge_phase(self, endpoint: str, source: str, report: PhaseReport) -> None:
        kept = self.bad if report.bad else self.good
        if endpoint not in self.sources:
            self.sources[endpoint] = set()
        self.sources[endpoint].add(source)
        kept[endpoint, source] = max(report, kept.get((endpoint, source), report))

    def merge_start(self, endpoint: str, process: str, latest: int) -> None:
        """`latest` is a bound, so of several of one process the earliest says most."""
        key = (endpoint, process)
        self.starts[key] = min(latest, self.starts.get(key, latest))

    def forget_starts(self, before: int) -> None:
        """Those of processes that are warm by now tell nothing more."""
        self.starts = {key: at for key, at in self.starts.items() if at >= before}

    def merge_sickness(self, endpoint: str, sickness: SicknessReport) -> None:
        self.sickness[endpoint] = max(sickness, self.sickness.get(endpoint, sickness))

    def set_soundness(self, origin: str, lender_soundness: float) -> None:
        """How sound the lender was that brought this origin's facts last."""
        self.lender_soundness[origin] = lender_soundness

    # ---- judging

    def good_weight(self, report: PhaseReport, now: int) -> float:
        return weight(
            age_of(report.heard, now),
            report.hops,
            GOOD_HALF_LIFE_US,
            self.lender_soundness.get(report.origin, 1.0),
        )

    def bad_weight(self, report: PhaseReport, now: int) -> float:
        return weight(age_of(report.heard, now), report.hops, BAD_HALF_LIFE_US)

    def warning(self, endpoint: str, own: Optional[OwnEntry], now: int) -> Optional[PhaseReport]:
        """The bad news of an endpoint that stands: fresh enough, and lifted neither by newer good news of the same source
        nor by this pilot's own list."""
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
        """First-hand news replaces borrowed news. Of one and the same list the newer revision is the newer news, whoever
        heard it later; of different lists the later word is."""
        if own.source == source:
            return own.rev >= report.rev
        return own.confirmed > report.heard

    def started(self, endpoint: str, own: OwnEntry, now: int, warm_within: int) -> Optional[int]:
        """A start that this pilot's own list does not tell of; only of the process that it lists."""
        latest = self.starts.get((endpoint, own.start))
        if latest is None or own.started is not None or now - latest >= warm_within:
            return None
        return latest

    def sick_until(self, endpoint: str, now: int) -> int:
        """0 where no borrowed judgement stands."""
        sickness = self.sickness.get(endpoint)
        if sickness is None or sickness.until <= now:
            return 0
        return (
            sickness.until
            if weight(age_of(sickness.heard, now), sickness.hops, SICK_HALF_LIFE_US) >= MIN_BAD_WEIGHT
            else 0
        )

    def offered(self, now: int) -> dict[str, PhaseReport]:
        """What a pilot without a list of its own may take for one: endpoints with good news that counts, no warning."""
        found: dict[str, PhaseReport] = {}
        for (endpoint, _), report in sorted(self.good.items()):
            if self.good_weight(report, now) >= MIN_GOOD_WEIGHT and self.warning(endpoint, None, now) is None:
                found[endpoint] = max(report, found.get(endpoint, report))
        return found

    def warnings(self, own: dict[str, OwnEntry], now: int) -> dict[str, PhaseReport]:
        """The warnings that hold against this pilot's own list: all, or none where they would talk it out of more than
        DOUBT_MOST of what it lists as on; the heaviest first, so that a few true ones are not lost among many."""
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
