"""A pilot's rights that the module goes by: which cold endpoints it may warm, and how many moves it may have under way.

The module is told by one input, `on_budgets`; with nothing told it goes by its lot and moves as it sees fit. What is told here ends on
this pilot's clock before the store hands it on, so it is settled before each pull of decisions: a pilot that was stopped decides
nothing on a right that ended meanwhile. A hand-over that was begun goes on to its end, counted in what is held.
"""

from __future__ import annotations

import math
from typing import Callable, NamedTuple

from cedarshift.judge.budgets import ASKS_PER_LEASE
from cedarshift.judge.claims import Claim, ClaimHolder, ClaimRequest, ClaimSchedule

# Constants: unit, then the reason for the size.
MOVES_AHEAD = 2  # moves asked for beyond those under way: a turn's, in a small fleet
MOVES_TIMES = 2  # of those under way, so that a pilot at its share is seen to want more


class Fleet(NamedTuple):
    """What a pilot's service lends: cold endpoints that stand, moves under way, whether it has slices, who of the pilots lives, and the
    module's input."""

    cold: Callable[[], list[str]]
    moves: Callable[[], int]
    in_charge: Callable[[], bool]
    living: Callable[[], list[str]]
    tell: Callable[[dict[str, float]], None]


class FleetRights:
    """`claims`: whether cold endpoints are claimed; `moves_budget`: the budget of moves, "" where they have none. `step` us pass until the
    next pilot by lot asks."""

    def __init__(
        self,
        me: str,
        drift: float,
        step: int,
        claims: bool,
        moves_budget: str,
        fleet: Fleet,
        report: Callable[..., None],
    ) -> None:
        self.claims = claims
        self.moves_budget = moves_budget
        self.fleet = fleet
        self.report = report
        self.holder = ClaimHolder(drift)
        self.turns = ClaimSchedule(me, step)
        self.told: dict[str, float] = {}
        self.charged_at = 0  # when it was last seen to have slices
        self.next_end = -1  # when what was told is to be looked at again; -1: now
        self.moves_right: Callable[[int], tuple[int, int]] = lambda now: (
            0,
            now,
        )  # amount and end, from the budget
        self.counts = {"claims_taken": 0, "claims_ended": 0}

    def wishes(self, now: int, number: int) -> list[ClaimRequest]:
        """What the ask of this number names. Who has no slices has nothing to warm an endpoint with, and asks for no more of them; what
        it has it keeps for a lease, as a charge that is given anew is gone for a moment."""
        if not self.claims:
            return []
        held, cold = self.holder.held(now), self.fleet.cold()
        if self.fleet.in_charge():
            self.charged_at = now
            things = self.turns.requests(now, cold, self.fleet.living(), held)
        else:
            things = (
                sorted(held.intersection(cold))
                if now - self.charged_at < ASKS_PER_LEASE * self.turns.step
                else []
            )
        found = self.holder.ask(now, number, things)
        self.next_end = -1  # what is named no more is given up before that is said
        self.settle(now)
        return found

    def wants_more(self, now: int) -> bool:
        """Whether something is wished that no ask has named yet: a cold endpoint has just been listed."""
        if not self.claims or not self.fleet.in_charge():
            return False
        things = self.turns.requests(now, self.fleet.cold(), self.fleet.living(), self.holder.held(now))
        return any(thing not in self.holder.since for thing in things)

    def hear(self, now: int, number: int, claims: list[Claim]) -> None:
        self.holder.on_answer(now, number, claims)
        self.next_end = -1

    def lost(self) -> None:
        self.holder.lost()

    def drop(self, now: int) -> None:
        self.holder.drop()
        self.next_end = -1
        self.settle(now)

    def demand(self) -> int:
        """Moves to ask for."""
        under_way = self.fleet.moves()
        return max(under_way + MOVES_AHEAD, MOVES_TIMES * under_way)

    def settle(self, now: int) -> None:
        """Tells the module what it may do from now on, where that has changed."""
        if 0 <= now < self.next_end:
            return
        held = self.holder.held(now)
        moves, moves_end = self.moves_right(now) if self.moves_budget else (math.inf, 1 << 62)
        self.next_end = min(self.holder.next_end(), moves_end) if held else moves_end
        rights: dict[str, float] = {"": moves, **dict.fromkeys(sorted(held), 1.0)}
        if self.claims:
            rights["*"] = 0.0
        if rights != self.told:
            self._log(now, rights)
            self.told = rights
            self.fleet.tell(rights)

    def _log(self, now: int, rights: dict[str, float]) -> None:
        taken, ended = (
            sorted(one.keys() - other.keys() - {"", "*"})
            for one, other in ((rights, self.told), (self.told, rights))
        )
        self.counts["claims_taken"] += len(taken)
        self.counts["claims_ended"] += len(ended)
        for endpoint in taken:
            self.report("claim", endpoint=endpoint, held=True, at_us=now)
        for endpoint in ended:
            self.report("claim", endpoint=endpoint, held=False, at_us=now)
