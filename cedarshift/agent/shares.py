"""A proxy's shares of the fleet's budgets, granted by each pilot it is joined to. No I/O."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.codec import messages as m
from cedarshift.judge.budgets import ASKS_PER_LEASE, MIN_ASK_INTERVAL_US, Holder, Share
from cedarshift.judge.spending import DemandEstimator, TokenBucket

MAX_RETRY_CREDIT = 10.0  # tokens; bounds the burst of repeats after a quiet period


class ProxyShares:
    """Requests shares on heartbeats and spends them. Uses without a budget are unlimited.

    `incarnation` is unique for each start of the proxy.
    """

    def __init__(self, incarnation: int, now: int) -> None:
        self.incarnation = incarnation
        self.terms: dict[str, m.BudgetSpec] = {}  # announced by any pilot, by budget
        self.budget_by_use: dict[str, str] = {}
        self.holders: dict[str, Holder] = {}  # by pilot
        self.buckets: dict[tuple[str, str], TokenBucket] = {}  # by budget and pilot
        self.demand: dict[str, DemandEstimator] = {}  # by budget
        self.joined: set[str] = set()  # pilots
        self.asked_at: dict[str, int] = {}  # us, by pilot
        self.ask_interval: dict[str, int] = {}  # us, by pilot, from the duration of its last shares
        self.retry_credit: dict[str, float] = {}  # tokens by budget, earned by fresh ops
        self.announced_terms: dict[str, list[m.BudgetSpec]] = {}  # by pilot, kept when its stream ends

    # ---- streams

    def on_join(self, now: int, pilot: str, terms: list[m.BudgetSpec]) -> None:
        """Takes over the budgets that a pilot announces, which may have changed since its last session."""
        changed = terms != self.announced_terms.get(pilot)
        self.announced_terms[pilot] = terms
        self.asked_at.pop(pilot, None)
        self.ask_interval.pop(pilot, None)
        if changed:  # the pilot has restarted and knows no former request
            self.holders[pilot] = Holder(
                {budget.name: 0 for budget in terms},
                self.incarnation,
                max([budget.drift for budget in terms], default=0.0),
            )
            self.buckets = {key: bucket for key, bucket in self.buckets.items() if key[1] != pilot}
            self.buckets.update(
                {(budget.name, pilot): TokenBucket(budget.burst, budget.drift, now) for budget in terms}
            )
        if terms:
            self.joined.add(pilot)
        else:
            self.joined.discard(pilot)
        self._update_terms(now)

    def _update_terms(self, now: int) -> None:
        """Merges the announced budgets of all pilots."""
        self.terms = {budget.name: budget for terms in self.announced_terms.values() for budget in terms}
        self.budget_by_use = {budget.use: budget.name for budget in self.terms.values()}
        for name in self.terms:
            if name not in self.demand:
                self.demand[name] = DemandEstimator(now)
                self.retry_credit[name] = MAX_RETRY_CREDIT

    def on_lost(self, now: int, pilot: str) -> None:
        """Drops the shares of a pilot whose stream has ended; another pilot does not honour them."""
        self.joined.discard(pilot)
        if pilot in self.holders:
            self.holders[pilot].drop()
            self.holders[pilot].lost()
        for (_, other), bucket in self.buckets.items():
            if other == pilot:
                bucket.grant(now, 0, 0)

    def add_request(self, now: int, pilot: str, beat: m.Heartbeat) -> m.Heartbeat:
        """Adds a request for shares to a heartbeat if one is due, and returns it."""
        interval = self.ask_interval.get(pilot, MIN_ASK_INTERVAL_US)
        if pilot not in self.joined or now - self.asked_at.get(pilot, -interval) < interval:
            return beat
        self.asked_at[pilot] = now
        holder = self.holders[pilot]
        beat.ask, wants = holder.ask(now, self._demands(now))
        beat.life, beat.era = self.incarnation, holder.era
        beat.wants = [m.BudgetRequest(*want) for want in wants]
        return beat

    def on_heartbeat_ok(self, now: int, pilot: str, answer: m.HeartbeatOk) -> None:
        """Takes over the shares granted in the answer to a heartbeat."""
        holder = self.holders.get(pilot)
        if holder is None or not answer.era:
            return
        if holder.on_answer(
            now, answer.ask, answer.era, [Share(*msgspec.structs.astuple(one)) for one in answer.shares]
        ):
            spans = [share.span for share in answer.shares]
            # One more request per span than needed, as requests wait for heartbeats.
            self.ask_interval[pilot] = max(MIN_ASK_INTERVAL_US, min(spans, default=0) // (ASKS_PER_LEASE + 1))
            for name in holder.floors:
                self.buckets[name, pilot].grant(now, holder.right(now, name), holder.until(now, name))
        elif answer.era != holder.era:
            holder.joined(answer.era)
            self.asked_at.pop(pilot, None)

    def _demands(self, now: int) -> dict[str, int]:
        """Returns each budget's demand to request from one pilot; joined pilots are asked for equal parts."""
        for demand in self.demand.values():
            demand.close_interval(now)
        return {name: -(-demand.rate() // max(1, len(self.joined))) for name, demand in self.demand.items()}

    # ---- spending

    def on_first_try(self) -> None:
        """Adds the retry credit that a fresh op earns."""
        for name, budget in self.terms.items():
            if budget.of_fresh:
                self.retry_credit[name] = min(MAX_RETRY_CREDIT, self.retry_credit[name] + budget.of_fresh)

    def spend(self, now: int, use: str) -> bool:
        """Spends one token of any pilot's share. Returns False if there is none, True without a budget."""
        name = self.budget_by_use.get(use)
        if name is None:
            return True
        needs_credit = self.terms[name].of_fresh > 0
        if needs_credit and self.retry_credit[name] < 1.0:
            return False
        self.demand[name].record()
        for (budget, _), bucket in self.buckets.items():
            if budget == name and bucket.take(now):
                self.retry_credit[name] -= 1.0 if needs_credit else 0.0
                return True
        return False

    def granted(self, now: int, use: str) -> Optional[int]:
        """Returns the rate granted by all pilots together, or None if the use is unlimited.

        The unit is a thousandth of a token per second.
        """
        name = self.budget_by_use.get(use)
        return None if name is None else sum(holder.right(now, name) for holder in self.holders.values())
