"""A pilot's side: asks the store, divides among its proxies and itself, and spends its own part."""

from __future__ import annotations

from typing import Any, Callable, Optional

import msgspec

from cedarshift.budgets.rights import Fleet, FleetRights
from cedarshift.budgets.terms import AT_PROXIES, HELD, plan_of, told_to_proxies
from cedarshift.codec import messages as m
from cedarshift.judge.budgets import ASKS_PER_LEASE, FOREVER, Hub, Plan, Share, ShareRequest
from cedarshift.judge.claims import Claim
from cedarshift.judge.spending import DemandEstimator, TokenBucket
from cedarshift.link import Link
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine

WAIT_MOST = 250_000  # us between two looks for a token: a share may come sooner than the present one tells


def open_budgets(
    loop: Loop,
    terms: Any,
    pilots: int,
    life: int,
    report: Callable[..., None],
    doubted: Callable[[], list[str]] = lambda: [],
) -> Optional[PilotBudgets]:
    """`terms`: a deployment's `BudgetSystemSettings`, for so many pilots; None where it has none."""
    if terms is None:
        return None
    return PilotBudgets(
        loop,
        terms.named,
        plan_of(terms.named, pilots),
        life,
        terms.clock_drift,
        terms.lease,
        terms.proxy_lease,
        report,
        doubted,
    )


class PilotBudgets:
    """`named`: the deployment's budgets; `doubted()`: pilots that most hold for dead. `life` is new for each start."""

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
        doubted: Callable[[], list[str]] = lambda: [],
    ) -> None:
        self.loop = loop
        self.named = named
        self.report = report
        self.doubted = doubted
        self.lease = lease
        self.hub = Hub(plan, life, drift, proxy_lease, loop.now())
        self.terms = told_to_proxies(named, drift)
        self.uses = {b.use: name for name, b in named.items() if b.use and b.use not in AT_PROXIES}
        # What proxies spend is all theirs; the rest is the pilot's own, and ended with its former life: nothing is waited out.
        self.own = {
            name: TokenBucket(b.burst, drift, loop.now())
            for name, b in named.items()
            if name in plan.leaves and b.use not in AT_PROXIES and b.use not in HELD
        }
        self.rights: Optional[FleetRights] = None  # handed to it where the module goes by rights of the fleet
        self.leaves = list(plan.leaves)
        self.wishes = {name: DemandEstimator(loop.now()) for name in self.own}
        self.link: Optional[Link] = None
        self.told: dict[str, int] = {}
        self.leaving = False
        self.task = loop.spawn(self._ask(), "budgets")
        self._use()

    def leave(self) -> Coroutine:
        """Hands out and spends no more, waits until what proxies hold has ended, a lease of theirs at most, and gives all back."""
        self.task.cancel()
        self.leaving = True
        self.hub.holder.lost()
        until = self.loop.now() + self.hub.giver.lease + WAIT_MOST
        while self.loop.now() < until and any(
            self.hub.giver.in_force(self.loop.now(), leaf) for leaf in self.leaves
        ):
            yield from self.loop.sleep(WAIT_MOST // 5)
        self.hub.holder.drop()
        if self.rights is not None:
            self.rights.drop(self.loop.now())
        if self.link is not None:
            self.link.send(m.LeaveBudgets(self.hub.holder.life))

    # ---- the store

    def on_store_link(self, link: Optional[Link]) -> None:
        self.link = link
        self.hub.holder.lost()
        if self.rights is not None:
            self.rights.lost()
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
            if self.rights is not None:
                self.rights.hear(now, message.number, [Claim(one.thing, one.span) for one in message.claims])
            self._use()
        elif message.era and message.era != holder.era:
            holder.joined(message.era)
            if self.rights is not None:
                self.rights.lost()
            self._send()

    def _ask(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(self.lease // ASKS_PER_LEASE)
            for wishes in self.wishes.values():
                wishes.close_interval(self.loop.now())
            self._use()
            if self.link is not None:
                self._send()

    def _send(self) -> None:
        assert self.link is not None
        holder, now = self.hub.holder, self.loop.now()
        moves = self.rights.moves_budget if self.rights is not None else ""
        if moves and self.rights is not None:
            self.hub.held_locally[moves] = self.rights.fleet.moves()
        number, wants = holder.ask(now, self._demands(now), self._spenders(now))
        claims = self.rights.wishes(now, number) if self.rights is not None else []
        self.link.send(
            m.BudgetSharesRequest(
                number,
                holder.life,
                holder.era,
                [m.BudgetRequest(*want) for want in wants],
                self.doubted(),
                [m.RequestedClaim(*wish) for wish in claims],
            )
        )

    def _use(self) -> None:
        """The pilot's own part of what it has now."""
        now, holder = self.loop.now(), self.hub.holder
        for name, bucket in self.own.items():
            right = holder.right(now, name)
            bucket.grant(now, right, holder.until(now, name) if right > holder.floors[name] else FOREVER)
            if right != self.told.get(name):
                self.report("budget_right", budget=name, before=self.told.get(name, 0), after=right)
                self.told[name] = right

    def _spenders(self, now: int) -> int:
        """Proxies that ask here, this pilot besides."""
        giver = self.hub.giver
        return 1 + len(
            {proxy for (_, proxy, _), account in giver.accounts.items() if now - account.heard <= giver.lease}
        )

    def _demands(self, now: int) -> dict[str, int]:
        found = self.hub.demands(now)
        for name, wishes in self.wishes.items():
            found[name] += wishes.rate()
        if self.rights is not None and self.rights.moves_budget:
            found[self.rights.moves_budget] = self.rights.demand()
        return found

    # ---- rights that the module goes by

    def bring_rights(self, me: str, drift: float, claims: bool, fleet: Fleet) -> None:
        """Once, by who builds the pilot; nothing happens where neither cold endpoints nor moves are the fleet's."""
        moves = self.uses.get("handovers", "")
        if not claims and not moves:
            return
        self.rights = FleetRights(me, drift, self.lease // ASKS_PER_LEASE, claims, moves, fleet, self.report)
        self.rights.moves_right = self._moves_right
        self.rights.settle(self.loop.now())

    def _moves_right(self, now: int) -> tuple[int, int]:
        assert self.rights is not None
        holder, name = self.hub.holder, self.rights.moves_budget
        right = holder.right(now, name)
        return right, holder.until(now, name) if right > holder.floors[name] else FOREVER

    def on_list(self) -> None:
        """A cold endpoint's first slices come as its list does; a quarter of a lease later they are elsewhere."""
        if (
            self.rights is not None
            and self.link is not None
            and not self.leaving
            and self.rights.wants_more(self.loop.now())
        ):
            self._send()

    def settle(self) -> None:
        """Before decisions are pulled."""
        if self.rights is not None:
            self.rights.settle(self.loop.now())

    # ---- proxies

    def on_beat(self, proxy: str, beat: m.Heartbeat) -> tuple[int, list[m.BudgetGrant]]:
        """What rides on the answer to a beat that asks: this life and the proxy's shares."""
        now, giver = self.loop.now(), self.hub.giver
        if self.leaving:
            return giver.era, []
        shares, _ = giver.ask(
            now,
            proxy,
            beat.life,
            beat.era,
            beat.ask,
            [ShareRequest(*msgspec.structs.astuple(want)) for want in beat.wants],
        )
        return giver.era, [m.BudgetGrant(*share) for share in shares]

    # ---- spending

    def wish(self, use: str) -> None:
        """One is wanted: once for each, however often it is asked for then."""
        name = self.uses.get(use)
        if name is not None:
            self.wishes[name].record()

    def take(self, use: str) -> bool:
        """Whether one may be spent now; always where no budget is for it, never by who is leaving."""
        name = self.uses.get(use)
        return name is None or not self.leaving and self.own[name].take(self.loop.now())

    def spend(self, use: str) -> Coroutine:
        """Waits until one may be spent."""
        self.wish(use)
        while not self.take(use):
            yield from self.loop.sleep(min(WAIT_MOST, self.own[self.uses[use]].time_to_next(self.loop.now())))
            self._use()

    # ---- for people

    def shown(self) -> dict[str, Any]:
        now, hub = self.loop.now(), self.hub
        rows = []
        for name in self.leaves:
            budget, bucket = self.named[name], self.own.get(name)
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
        claims = sorted(self.rights.holder.held(now)) if self.rights is not None else []
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
        if self.rights is not None:
            found["claims_held"] = float(len(self.rights.holder.held(now)))
            found.update({name: float(count) for name, count in self.rights.counts.items()})
        found.update({f"budget_{name}_spent": float(bucket.spent) for name, bucket in self.own.items()})
        return found
