"""A pilot's budgets: requests shares from the store, grants parts to its proxies and spends its own."""

from __future__ import annotations

from typing import Any, Callable, Optional

import msgspec

from cedarshift.budgets.rights import DecisionBudgets, FleetAccess
from cedarshift.budgets.terms import CONCURRENCY_USES, PROXY_USES, build_plan, proxy_budget_specs
from cedarshift.codec import messages as m
from cedarshift.judge.budgets import ASKS_PER_LEASE, FOREVER, Hub, Plan, Share, ShareRequest
from cedarshift.judge.claims import Claim
from cedarshift.judge.spending import DemandEstimator, TokenBucket
from cedarshift.link import Link
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine

MAX_TOKEN_WAIT_US = 250_000  # a new share may arrive before the current rate yields a token


def open_budgets(
    loop: Loop,
    settings: Any,
    pilots: int,
    life: int,
    report: Callable[..., None],
    suspected: Callable[[], list[str]] = lambda: [],
) -> Optional[PilotBudgets]:
    """Creates the budgets of a pilot from the deployment's settings; None if it has no budgets."""
    if settings is None:
        return None
    return PilotBudgets(
        loop,
        settings.named,
        build_plan(settings.named, pilots),
        life,
        settings.clock_drift,
        settings.lease,
        settings.proxy_lease,
        report,
        suspected,
    )


class PilotBudgets:
    """Requests shares from the store, leases them to proxies and spends the pilot's own.

    `named` is the deployment's budgets by name; `suspected()` returns the pilots that the majority considers
    dead. `life` differs at each start; `lease` and `proxy_lease` are in us.
    """

    def __init__(
        self,
        loop: Loop,
        named: dict[str, Any],
        plan: Plan,
        life: int,
        drift: float,
        lease: int,
        proxy_lease: int,
        report: Callable[..., None],
        suspected: Callable[[], list[str]] = lambda: [],
    ) -> None:
        self.loop = loop
        self.named = named
        self.report = report
        self.suspected = suspected
        self.lease = lease
        self.hub = Hub(plan, life, drift, proxy_lease, loop.now())
        self.terms = proxy_budget_specs(named, drift)
        self.uses = {b.use: name for name, b in named.items() if b.use and b.use not in PROXY_USES}
        # The previous process's own shares ended with it, so a start need not wait for them.
        self.buckets = {
            name: TokenBucket(b.burst, drift, loop.now())
            for name, b in named.items()
            if name in plan.leaves and b.use not in PROXY_USES and b.use not in CONCURRENCY_USES
        }
        self.decision_budgets: Optional[DecisionBudgets] = None  # set by `attach_decision_budgets`
        self.leaves = list(plan.leaves)
        self.demand_estimators = {name: DemandEstimator(loop.now()) for name in self.buckets}
        self.link: Optional[Link] = None
        self.reported_amounts: dict[str, int] = {}
        self.leaving = False
        self.task = loop.spawn(self._ask_loop(), "budgets")
        self._update_buckets()

    def leave(self) -> Coroutine:
        """Stops granting and spending, waits for the proxies' leases to end and returns all shares."""
        self.task.cancel()
        self.leaving = True
        self.hub.holder.lost()
        until = self.loop.now() + self.hub.giver.lease + MAX_TOKEN_WAIT_US
        while self.loop.now() < until and any(
            self.hub.giver.in_force(self.loop.now(), leaf) for leaf in self.leaves
        ):
            yield from self.loop.sleep(MAX_TOKEN_WAIT_US // 5)
        self.hub.holder.drop()
        if self.decision_budgets is not None:
            self.decision_budgets.drop(self.loop.now())
        if self.link is not None:
            self.link.send(m.LeaveBudgets(self.hub.holder.life))

    # ---- the store

    def on_store_link(self, link: Optional[Link]) -> None:
        self.link = link
        self.hub.holder.lost()
        if self.decision_budgets is not None:
            self.decision_budgets.lost()
        if link is not None and not self.leaving:
            self._send()

    def on_shares(self, message: m.BudgetSharesReply) -> None:
        holder = self.hub.holder
        if self.leaving:
            return
        now = self.loop.now()
        if holder.on_answer(
            now, message.number, message.era, [Share(*msgspec.structs.astuple(one)) for one in message.shares]
        ):
            if self.decision_budgets is not None:
                self.decision_budgets.on_answer(
                    now, message.number, [Claim(one.thing, one.span) for one in message.claims]
                )
            self._update_buckets()
        elif message.era and message.era != holder.era:
            holder.joined(message.era)
            if self.decision_budgets is not None:
                self.decision_budgets.lost()
            self._send()

    def _ask_loop(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(self.lease // ASKS_PER_LEASE)
            for estimator in self.demand_estimators.values():
                estimator.close_interval(self.loop.now())
            self._update_buckets()
            if self.link is not None:
                self._send()

    def _send(self) -> None:
        assert self.link is not None
        holder, now = self.hub.holder, self.loop.now()
        moves = self.decision_budgets.moves_budget if self.decision_budgets is not None else ""
        if moves and self.decision_budgets is not None:
            self.hub.held_locally[moves] = self.decision_budgets.fleet.moves_in_flight()
        number, wants = holder.ask(now, self._demands(now), self._spender_count(now))
        claims = (
            self.decision_budgets.claim_requests(now, number) if self.decision_budgets is not None else []
        )
        self.link.send(
            m.BudgetSharesRequest(
                number,
                holder.life,
                holder.era,
                [m.BudgetRequest(*want) for want in wants],
                self.suspected(),
                [m.RequestedClaim(*wish) for wish in claims],
            )
        )

    def _update_buckets(self) -> None:
        """Sets the rates of the pilot's own token buckets from its current shares."""
        now, holder = self.loop.now(), self.hub.holder
        for name, bucket in self.buckets.items():
            amount = holder.right(now, name)
            bucket.grant(now, amount, holder.until(now, name) if amount > holder.floors[name] else FOREVER)
            if amount != self.reported_amounts.get(name):
                self.report(
                    "budget_right", budget=name, before=self.reported_amounts.get(name, 0), after=amount
                )
                self.reported_amounts[name] = amount

    def _spender_count(self, now: int) -> int:
        """Returns the number of spenders: the proxies that ask this pilot, and the pilot itself."""
        giver = self.hub.giver
        return 1 + len(
            {proxy for (_, proxy, _), account in giver.accounts.items() if now - account.heard <= giver.lease}
        )

    def _demands(self, now: int) -> dict[str, int]:
        found = self.hub.demands(now)
        for name, estimator in self.demand_estimators.items():
            found[name] += estimator.rate()
        if self.decision_budgets is not None and self.decision_budgets.moves_budget:
            found[self.decision_budgets.moves_budget] = self.decision_budgets.demand()
        return found

    # ---- budgets of the decision module

    def attach_decision_budgets(self, me: str, drift: float, claims: bool, fleet: FleetAccess) -> None:
        """Sets up the decision module's budgets, if claims or a budget for moves are configured."""
        moves = self.uses.get("handovers", "")
        if not claims and not moves:
            return
        self.decision_budgets = DecisionBudgets(
            me, drift, self.lease // ASKS_PER_LEASE, claims, moves, fleet, self.report
        )
        self.decision_budgets.moves_grant = self._moves_grant
        self.decision_budgets.publish_changes(self.loop.now())

    def _moves_grant(self, now: int) -> tuple[int, int]:
        assert self.decision_budgets is not None
        holder, name = self.hub.holder, self.decision_budgets.moves_budget
        amount = holder.right(now, name)
        return amount, holder.until(now, name) if amount > holder.floors[name] else FOREVER

    def on_list(self) -> None:
        """Requests claims of new cold endpoints at once, before their first slices are assigned elsewhere."""
        if (
            self.decision_budgets is not None
            and self.link is not None
            and not self.leaving
            and self.decision_budgets.has_unrequested_claims(self.loop.now())
        ):
            self._send()

    def publish_changes(self) -> None:
        """Called before decisions are pulled."""
        if self.decision_budgets is not None:
            self.decision_budgets.publish_changes(self.loop.now())

    def holds_claims(self) -> bool:
        """Returns whether the pilot holds claims, which end unless the store renews them."""
        return self.decision_budgets is not None and bool(self.decision_budgets.holder.held(self.loop.now()))

    # ---- proxies

    def on_heartbeat(self, proxy: str, heartbeat: m.Heartbeat) -> tuple[int, list[m.BudgetGrant]]:
        """Returns the era and the proxy's shares for the answer to its heartbeat."""
        now, giver = self.loop.now(), self.hub.giver
        if self.leaving:
            return giver.era, []
        shares, _ = giver.ask(
            now,
            proxy,
            heartbeat.life,
            heartbeat.era,
            heartbeat.ask,
            [ShareRequest(*msgspec.structs.astuple(want)) for want in heartbeat.wants],
        )
        return giver.era, [m.BudgetGrant(*share) for share in shares]

    # ---- spending

    def wish(self, use: str) -> None:
        """Records the demand for one token."""
        name = self.uses.get(use)
        if name is not None:
            self.demand_estimators[name].record()

    def take(self, use: str) -> bool:
        """Takes a token; True if there is one or the use has no budget, False while leaving."""
        name = self.uses.get(use)
        return name is None or not self.leaving and self.buckets[name].take(self.loop.now())

    def spend(self, use: str) -> Coroutine:
        """Waits until a token has been taken."""
        self.wish(use)
        while not self.take(use):
            yield from self.loop.sleep(
                min(MAX_TOKEN_WAIT_US, self.buckets[self.uses[use]].time_to_next(self.loop.now()))
            )
            self._update_buckets()

    # ---- status and metrics

    def shown(self) -> dict[str, Any]:
        now, hub = self.loop.now(), self.hub
        rows = []
        for name in self.leaves:
            budget, bucket = self.named[name], self.buckets.get(name)
            until = hub.holder.until(now, name)
            rows.append(
                {
                    "budget": name,
                    "use": budget.use,
                    "whole": hub.giver.plan.budgets[name].capacity,
                    "floor": hub.holder.floors[name],
                    "right": hub.holder.right(now, name),
                    "ends_in_us": max(0, until - now) if until < FOREVER else None,
                    "asked": self._demands(now)[name],
                    "handed_on": hub.giver.in_force(now, name),
                    "spent": bucket.spent if bucket else None,
                    "refused": bucket.refused if bucket else None,
                    "held": bool(budget.held),
                    "in_hand": hub.held_locally.get(name, 0),
                }
            )
        proxies = [
            {"budget": name, "proxy": proxy, "asked": account.demand, "given": account.in_force(now)}
            for (name, proxy, _), account in sorted(hub.giver.accounts.items())
        ]
        claims = sorted(self.decision_budgets.holder.held(now)) if self.decision_budgets is not None else []
        return {
            "life": hub.holder.life,
            "store": self.link is not None,
            "budgets": rows,
            "proxies": proxies,
            "claims": claims,
        }

    def gauges(self) -> dict[str, float]:
        now, found = self.loop.now(), {}
        for name in self.leaves:
            found[f"budget_{name}_right"] = float(self.hub.holder.right(now, name))
            found[f"budget_{name}_handed_on"] = float(self.hub.giver.in_force(now, name))
            found[f"budget_{name}_asked"] = float(self._demands(now)[name])
        if self.decision_budgets is not None:
            found["claims_held"] = float(len(self.decision_budgets.holder.held(now)))
            found.update({name: float(count) for name, count in self.decision_budgets.counts.items()})
        found.update({f"budget_{name}_spent": float(bucket.spent) for name, bucket in self.buckets.items()})
        return found
