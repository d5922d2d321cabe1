"""The budgets of a pilot's decision module: the cold endpoints it may warm up and its moves in flight.

They are passed to the module as one input, `on_budgets`; without it the module decides on its own. A claim or
grant ends on this pilot's clock before the store grants it to another, so changes are published before each
pull of decisions. A hand-over that has started is completed and counts as held.
"""

from __future__ import annotations

import math
from typing import Callable, NamedTuple

from cedarshift.judge.budgets import ASKS_PER_LEASE
from cedarshift.judge.claims import Claim, ClaimHolder, ClaimRequest, ClaimSchedule

EXTRA_MOVES = 2  # requested beyond those in flight
MOVES_FACTOR = 2  # of those in flight, so that demand beyond the share is visible


class FleetAccess(NamedTuple):
    """Callbacks into the pilot's service.

    `publish` passes the budgets to the decision module; `decide` pulls the decisions that it makes on them.
    """

    cold_endpoints: Callable[[], list[str]]
    moves_in_flight: Callable[[], int]
    has_slices: Callable[[], bool]
    live_pilots: Callable[[], list[str]]
    publish: Callable[[dict[str, float]], None]
    decide: Callable[[], None]


class DecisionBudgets:
    """Requests claims and tells the decision module what it may use.

    `claims` enables claims of cold endpoints; `moves_budget` names the budget for moves, "" if there is none.
    `step` (us) separates the requests of pilots that compete for a claim.
    """

    def __init__(
        self,
        me: str,
        drift: float,
        step: int,
        claims: bool,
        moves_budget: str,
        fleet: FleetAccess,
        report: Callable[..., None],
    ) -> None:
        self.claims = claims
        self.moves_budget = moves_budget
        self.fleet = fleet
        self.report = report
        self.holder = ClaimHolder(drift)
        self.schedule = ClaimSchedule(me, step)
        self.published: dict[str, float] = {}
        self.had_slices_at = 0
        self.next_check_at = -1  # -1: check at the next call
        self.moves_grant: Callable[[int], tuple[int, int]] = lambda now: (
            0,
            now,
        )  # (amount, end in us)
        self.counts = {"claims_taken": 0, "claims_ended": 0}

    def claim_requests(self, now: int, number: int) -> list[ClaimRequest]:
        """Returns the claims to request with this request number.

        A pilot without slices requests no new claims and keeps those it holds for one lease, since its slices
        may be assigned again.
        """
        if not self.claims:
            return []
        held, cold = self.holder.held(now), self.fleet.cold_endpoints()
        if self.fleet.has_slices():
            self.had_slices_at = now
            resources = self.schedule.requests(now, cold, self.fleet.live_pilots(), held)
        else:
            resources = (
                sorted(held.intersection(cold))
                if now - self.had_slices_at < ASKS_PER_LEASE * self.schedule.step
                else []
            )
        found = self.holder.ask(now, number, resources)
        self.next_check_at = -1  # the module drops claims before the request releases them
        self.publish_changes(now)
        return found

    def has_unrequested_claims(self, now: int) -> bool:
        """Returns whether there are claims to request that no request has named yet."""
        if not self.claims or not self.fleet.has_slices():
            return False
        resources = self.schedule.requests(
            now, self.fleet.cold_endpoints(), self.fleet.live_pilots(), self.holder.held(now)
        )
        return any(resource not in self.holder.since for resource in resources)

    def on_answer(self, now: int, number: int, claims: list[Claim]) -> None:
        """Takes in the claims of an answer and lets the decision module use them at once."""
        self.holder.on_answer(now, number, claims)
        self.next_check_at = -1
        if self.publish_changes(now):
            self.fleet.decide()

    def lost(self) -> None:
        self.holder.lost()

    def drop(self, now: int) -> None:
        self.holder.drop()
        self.next_check_at = -1
        self.publish_changes(now)

    def demand(self) -> int:
        """Returns the number of moves to request."""
        in_flight = self.fleet.moves_in_flight()
        return max(in_flight + EXTRA_MOVES, MOVES_FACTOR * in_flight)

    def publish_changes(self, now: int) -> bool:
        """Passes the current budgets to the module if they have changed; returns whether they have."""
        if 0 <= now < self.next_check_at:
            return False
        held = self.holder.held(now)
        moves, moves_end = self.moves_grant(now) if self.moves_budget else (math.inf, 1 << 62)
        self.next_check_at = min(self.holder.next_end(), moves_end) if held else moves_end
        budgets: dict[str, float] = {"": moves, **dict.fromkeys(sorted(held), 1.0)}
        if self.claims:
            budgets["*"] = 0.0
        if budgets == self.published:
            return False
        self._log(now, budgets)
        self.published = budgets
        self.fleet.publish(budgets)
        return True

    def _log(self, now: int, budgets: dict[str, float]) -> None:
        taken, ended = (
            sorted(one.keys() - other.keys() - {"", "*"})
            for one, other in ((budgets, self.published), (self.published, budgets))
        )
        self.counts["claims_taken"] += len(taken)
        self.counts["claims_ended"] += len(ended)
        for endpoint in taken:
            self.report("claim", endpoint=endpoint, held=True, at_us=now)
        for endpoint in ended:
            self.report("claim", endpoint=endpoint, held=False, at_us=now)
