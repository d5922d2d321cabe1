"""What a proxy lets in, as its pilots tell it, and what it counts for them. Free of I/O; times are microseconds passed in.

Where no pilot of the deployment asks for loads everything passes and nothing is counted. What a pilot told holds for a few seconds:
a proxy that hears nothing more lets all in again, and the pilots' levels in the tables hold as ever.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.agent.thinning import Thinning
from cedarshift.codec import messages as m
from cedarshift.judge.overload import AGAIN, WAIT, shares

TOLD_FOR = 3_000_000  # us that an answer holds; while anything is taken away it is told anew at each look of the pilot
REPEATS_SAVED = 10.0  # repeats that fresh ops may save up, so that a quiet hour buys no storm
QUICK_FOR = 3_000_000  # us that an endpoint's own acks tell how long another would take
QUICK_LEAST = 3  # acks before that
QUICK_WEIGHT = 0.2  # of a new ack
LATE_PART = 0.8  # of what acks take now; an op with less time left would not be acked in time


FIELDS = (
    "fresh",
    "repeats",
    "let_in",
    "acked",
    "aborted",
    "full",
    "took",
)  # of a Load; "took": of all the acked


class Turned(NamedTuple):
    """An op that is rejected here. `again`: "no", "later" (after `wait` us) or "elsewhere" (another proxy may have it)."""

    reason: str
    again: str
    wait: int


class Quick:
    """How long acks of an endpoint take, for this proxy."""

    def __init__(self) -> None:
        self.took = 0.0
        self.count = 0
        self.at = 0

    def hear(self, now: int, took: int) -> None:
        if now - self.at > QUICK_FOR:
            self.count = 0
        self.took = took if not self.count else self.took + QUICK_WEIGHT * (took - self.took)
        self.count += 1
        self.at = now


class Held(NamedTuple):
    """What a pilot told, when, and this proxy's part of it."""

    at: int
    told: m.AdmissionPolicy
    fair: list[float]
    own: dict[str, float]


class ProxyGate:
    """`chance()` spreads what rejected clients are asked to wait."""

    def __init__(self, chance: Callable[[], float]) -> None:
        self.chance = chance
        self.counting: dict[str, int] = {}  # pilots that ask for loads -> since when the present ones count
        self.told: dict[str, Held] = {}
        self.tallies: dict[str, dict[int, list[int]]] = {}  # by pilot and op type, in the order of FIELDS
        self.repeats = REPEATS_SAVED
        self.admitted = Thinning()
        self.quick: dict[str, Quick] = {}

    # ---- pilots

    def on_join(self, now: int, pilot: str, counts: bool) -> None:
        self.counting.pop(pilot, None)
        self.told.pop(pilot, None)
        self.tallies.pop(pilot, None)
        if counts:
            self.counting[pilot] = now

    def on_told(self, now: int, pilot: str, told: m.AdmissionPolicy, fair: list[float]) -> None:
        """A word whose order does not fit its mix is passed over: the former one holds for its time."""
        if sorted(told.order) != list(range(len(told.mix))):
            return
        self.told[pilot] = Held(now, told, fair, {own.endpoint: own.share for own in told.own})
        if told.state == "calm":
            self.admitted = Thinning()

    def answer(self, now: int, pilot: str) -> Optional[m.AdmissionPolicy]:
        """What the pilot told, as long as that holds and takes anything away."""
        held = self.told.get(pilot)
        return (
            held.told
            if held is not None and now - held.at <= TOLD_FOR and held.told.state != "calm"
            else None
        )

    def answered(self, now: int, pilot: str) -> bool:
        return self.answer(now, pilot) is not None

    def loads(self, now: int, pilot: str) -> list[m.OpTypeStats]:
        """What is to be told, and is then begun anew."""
        if pilot not in self.counting:
            return []
        span, self.counting[pilot] = now - self.counting[pilot], now
        found = []
        for kind, tally in sorted(self.tallies.pop(pilot, {}).items()):
            fresh, repeats, let_in, acked, aborted, full, took = tally
            found.append(
                m.OpTypeStats(kind, fresh, repeats, let_in, acked, aborted, full, took // max(1, acked), span)
            )
        return found

    # ---- ops

    def _tally(self, pilot: str, kind: int) -> Optional[list[int]]:
        if pilot not in self.counting:
            return None
        return self.tallies.setdefault(pilot, {}).setdefault(kind, [0] * len(FIELDS))

    def came(self, now: int, pilot: str, kind: int, fresh: bool) -> None:
        """An op came, whatever becomes of it."""
        counts = self._tally(pilot, kind)
        if counts is not None:
            counts[0 if fresh else 1] += 1
            if fresh:
                told = self.answer(now, pilot)
                self.repeats = min(REPEATS_SAVED, self.repeats + (told.again if told is not None else AGAIN))

    def admit(
        self, now: int, pilot: str, endpoint: str, kind: int, left: int, fresh: bool
    ) -> Optional[Turned]:
        """None: it may be sent. `left`: us of its op timeout. What is asked is spent."""
        counts = self._tally(pilot, kind)
        if counts is None:
            return None
        told = self.answer(now, pilot)
        if self._too_late(now, endpoint, left):
            return self._turn("late", "no", told)
        if not fresh:  # its part of the fleet's was paid for by fresh ops, and is not shed again
            if self.repeats < 1.0:
                return self._turn("repeats", "no", told)
            self.repeats -= 1.0
        elif told is not None and not self._let_in(pilot, endpoint, kind, told):
            return self._turn("shed", "later", told)
        counts[2] += 1
        return None

    def _too_late(self, now: int, endpoint: str, left: int) -> bool:
        quick = self.quick.get(endpoint)
        return (
            quick is not None
            and quick.count >= QUICK_LEAST
            and now - quick.at <= QUICK_FOR
            and left < LATE_PART * quick.took
        )

    def _let_in(self, pilot: str, endpoint: str, kind: int, told: m.AdmissionPolicy) -> bool:
        if kind >= len(told.mix):
            return True
        held = self.told[pilot]
        part = shares(held.own.get(endpoint, told.share), told.order, told.mix)[kind]
        fair = held.fair
        if kind < len(fair):
            part = min(1.0, part * fair[kind])
        if part >= 1.0:
            return True
        return self.admitted.passes((pilot, endpoint, kind), part, self.chance())

    def _turn(self, reason: str, again: str, told: Optional[m.AdmissionPolicy]) -> Turned:
        return Turned(reason, again, self.wait(told))

    def wait(self, told: Optional[m.AdmissionPolicy] = None) -> int:
        """us for who is asked to come again; spread over the whole of it, so that those rejected together do not."""
        return int((told.wait if told is not None else WAIT["calm"]) * (0.5 + self.chance()))

    def ended(self, now: int, pilot: str, endpoint: str, kind: int, outcome: str, took: int) -> None:
        """A try that was let in: "acked", "aborted" or "full" (the endpoint had no room)."""
        counts = self._tally(pilot, kind)
        if counts is None:
            return
        counts[FIELDS.index(outcome)] += 1
        if outcome == "acked":
            counts[6] += took
            self.quick.setdefault(endpoint, Quick()).hear(now, took)
