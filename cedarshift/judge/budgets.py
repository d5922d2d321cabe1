"""Budgets of a whole fleet as leased shares: who may spend how much, until when. No I/O; times are whole microseconds.

A budget is one whole, in parts. A *giver* divides it among *holders*: a right to so many parts until an end that the holder
counts from its asking, shortened by the clock drift, and the giver from its giving. What was given and is not known to be
over counts as in force; so at no instant is the sum of what all may spend above the whole, whatever is lost, late, doubled,
killed, stopped or restored. A pilot is holder to the store and giver to its proxies, by the same two classes.

Rights of one holder's life and budget are numbered and replace each other. A holder that says "I hold number n" will never
spend on an older one again, so a shrink is in force at the giver once its number is claimed, or the larger one has ended.
After a start a giver can't know what its former life, or a lost write, had given: for one longest lease it gives nothing
new and prolongs only what a holder presents as in force, which was part of the whole when the giver began.

Fairness is weighted max-min on integers: Bertsekas and Gallager, Data Networks, section 6.5 (progressive filling).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import Callable, Iterable, Mapping, NamedTuple, Optional

# Constants: unit, then the reason for the size.
ASKS_PER_LEASE = 4  # asks in a lease, so that three may be lost
MIN_ASK_INTERVAL_US = 200_000  # us between two asks of one holder: a thousand proxies are heard by one pilot
MIN_CHANGE_SHARE = (
    0.04  # of a share; a target that differs by less moves nothing: it would be paid for by a shrink first
)
MAX_ACCOUNTS_PER_ASK = 64  # accounts; with more, targets are worked out now and then: a pilot hears each of a thousand proxies often
TARGET_UPDATES_PER_LEASE = 16
ROTATION_LEASES = 8  # leases between two turns of those for whom there is one token too few
MAX_DEPARTED_LIVES = 1_000  # lives that have left; their last words are seconds late at most
MAX_UNCLAIMED_GRANTS = (
    24  # of one life and budget that nobody has claimed; a holder that asks on without claiming gets no more
)
FOREVER = 1 << 62  # us


class InvalidBudget(ValueError):
    """A plan that can't hold. `budget` is the one to blame; the text says why."""

    def __init__(self, budget: str, what: str) -> None:
        super().__init__(what)
        self.budget = budget


class Budget(NamedTuple):
    """`whole` in parts. `floor`: parts that each configured holder has without asking. `within`: the budget that it draws on;
    among those that draw on one, a lower `priority` is filled first, equal ones by `weight`."""

    name: str
    capacity: int
    floor: int = 0
    within: str = ""
    priority: int = 0
    weight: int = 1


class ShareRequest(NamedTuple):
    """What a holder asks: parts that it could use; the newest number that it holds or, while more is bound below, a lower one,
    and how much of that stands; and the newest number that it ever took."""

    budget: str
    demand: int
    number: int = 0
    amount: int = 0
    newest: int = 0
    weight: int = 1  # how many spend below: a pilot of many proxies is more than one of few


class Share(NamedTuple):
    """`span` (us) counts from the asking."""

    budget: str
    number: int
    amount: int
    duration: int


class Row(NamedTuple):
    """A right as it is kept durably before it is told."""

    budget: str
    holder: str
    life: int
    number: int
    amount: int
    duration: int


# ---- division


def max_min_shares(
    capacity: int, wants: Mapping[str, int], weights: Optional[Mapping[str, int]] = None, rotation: int = 0
) -> dict[str, int]:
    """Weighted max-min of `whole` among `wants`, in whole parts; the sum is the lesser of `whole` and of all wants.

    Single parts that are left over go by name, beginning anew with each `turn`; so the answer is the same everywhere."""
    weight_of = weights or {}
    given = dict.fromkeys(wants, 0)
    left, weight = max(0, capacity), sum(weight_of.get(name, 1) for name, want in wants.items() if want > 0)
    scale = math.lcm(
        *set(weight_of.values())
    )  # whole numbers: a thousand fractions took half the time of a division
    unfilled = sorted(
        (name for name, want in wants.items() if want > 0),
        key=lambda n: (wants[n] * (scale // weight_of.get(n, 1)), n),
    )
    while unfilled and wants[unfilled[0]] * weight <= left * weight_of.get(unfilled[0], 1):
        name = unfilled.pop(0)
        given[name] = wants[name]
        left -= wants[name]
        weight -= weight_of.get(name, 1)
    if not unfilled:
        return given
    for name in unfilled:
        given[name] = left * weight_of.get(name, 1) // weight
    over = left - sum(given[name] for name in unfilled)
    names = sorted(unfilled)
    for at in range(over):
        given[names[(at + rotation) % len(names)]] += 1
    return given


class Plan:
    """The budgets as a tree, checked. `holders`: how many there are to have a floor each. Raises Refusal."""

    def __init__(self, budgets: Iterable[Budget], holders: int) -> None:
        self.budgets = {budget.name: budget for budget in budgets}
        self.holders = holders
        self.children: dict[str, list[str]] = {}
        for budget in self.budgets.values():
            if budget.within and budget.within not in self.budgets:
                raise InvalidBudget(budget.name, f"within names {budget.within!r}, which is no budget")
            if budget.within:
                self.children.setdefault(budget.within, []).append(budget.name)
        self.ancestors = {name: self._ancestry(name) for name in self.budgets}
        self.leaves = [name for name in self.budgets if name not in self.children]
        self.roots = [budget.name for budget in self.budgets.values() if not budget.within]
        self.floors = {name: self._floors(name) for name in self.budgets}
        for budget in self.budgets.values():
            self._check(budget)

    def _ancestry(self, name: str) -> list[str]:
        """The budget and all that it draws on, itself first."""
        path = [name]
        while ancestors := self.budgets[path[-1]].within:
            if ancestors in path:
                raise InvalidBudget(name, f"within leads back to itself: {', '.join([*path, ancestors])}")
            path.append(ancestors)
        return path

    def _floors(self, name: str) -> int:
        """Parts below a budget that are set aside as floors."""
        if name in self.children:
            return sum(self._floors(child) for child in self.children[name])
        return self.budgets[name].floor * self.holders

    def _check(self, budget: Budget) -> None:
        if budget.capacity < 1:
            raise InvalidBudget(budget.name, f"a whole of {budget.capacity} parts leaves nothing to divide")
        if budget.weight < 1:
            raise InvalidBudget(budget.name, f"weight {budget.weight}, 1 at least")
        if budget.name in self.children and budget.floor:
            raise InvalidBudget(
                budget.name,
                f"floor has no meaning where others draw on it: {', '.join(self.children[budget.name])}",
            )
        if self.floors[budget.name] > budget.capacity:
            raise InvalidBudget(
                budget.name,
                f"floors of {self.holders} holders sum to {self.floors[budget.name]} parts, "
                f"the whole is {budget.capacity}",
            )
        if budget.within and budget.capacity > self.budgets[budget.within].capacity:
            raise InvalidBudget(
                budget.name,
                f"its whole of {budget.capacity} parts is over that of {budget.within!r}, "
                f"{self.budgets[budget.within].capacity}",
            )

    def leasable(self, name: str) -> int:
        """What may be given beyond floors."""
        return self.budgets[name].capacity - self.floors[name]

    def targets(
        self,
        demands: Mapping[str, Mapping[str, int]],
        wholes: Mapping[str, int],
        rotation: int = 0,
        weights: Optional[Mapping[str, int]] = None,
    ) -> dict[str, dict[str, int]]:
        """Who should have what: by leaf, then holder. `demands`: the same, beyond floors. `wholes`: of the roots, beyond floors.
        `weights`: of holders."""
        found: dict[str, dict[str, int]] = {}
        for root in self.roots:
            self._fill(
                root, min(wholes[root], self._wanted(root, demands)), demands, rotation, weights, found
            )
        return found

    def _wanted(self, name: str, demands: Mapping[str, Mapping[str, int]]) -> int:
        if name in self.children:
            return min(
                self.leasable(name), sum(self._wanted(child, demands) for child in self.children[name])
            )
        return min(self.leasable(name), sum(demands.get(name, {}).values()))

    def _fill(
        self,
        name: str,
        given: int,
        demands: Mapping[str, Mapping[str, int]],
        rotation: int,
        weights: Optional[Mapping[str, int]],
        found: dict[str, dict[str, int]],
    ) -> None:
        if name not in self.children:
            found[name] = max_min_shares(given, demands.get(name, {}), weights, rotation)
            return
        left = given
        for priority in sorted({self.budgets[child].priority for child in self.children[name]}):
            tier = [child for child in self.children[name] if self.budgets[child].priority == priority]
            parts = max_min_shares(
                left,
                {child: self._wanted(child, demands) for child in tier},
                {child: self.budgets[child].weight for child in tier},
                rotation,
            )
            for child, part in parts.items():
                self._fill(child, part, demands, rotation, weights, found)
            left -= sum(parts.values())


# ---- giving


class Grant(NamedTuple):
    number: int
    amount: int
    until: int  # by the giver's clock


class Account:
    """What one life of one holder may still hold of one budget."""

    def __init__(self, heard: int) -> None:
        self.grants: list[Grant] = []
        self.number = 0  # the highest that is known
        self.demand = 0
        self.weight = 1
        self.heard = heard
        self.counted = 0  # of it in the sum of its budget
        self.kept: Optional[tuple[int, int]] = None  # amount and span as the durable row has them

    def in_force(self, now: int) -> int:
        return max((right.amount for right in self.grants if right.until > now), default=0)


class Pool(NamedTuple):
    """What a giver has to give of a root now: `amount` until `until`, of which `lasting` has no end."""

    amount: int
    until: int
    permanent: int


Key = tuple[str, str, int]  # budget, holder, life


class Grantor:
    """`lease` in us; `era` names this life of the giver: what holders say under another one is not taken. `pool(now, root)`:
    where the whole is itself a right. `longest`: the longest span that a former life may have given."""

    def __init__(
        self,
        plan: Plan,
        lease: int,
        era: int,
        now: int,
        rows: Iterable[Row] = (),
        longest: int = 0,
        pool: Optional[Callable[[int, str], Pool]] = None,
    ) -> None:
        assert lease > 0, "a right without an end could never be divided anew"
        self.plan = plan
        self.lease = lease
        self.era = era
        self.pool = pool
        self.accounts: dict[Key, Account] = {}
        self.sums = dict.fromkeys(plan.leaves, 0)  # parts in force
        self.ends: list[tuple[int, Key]] = []  # when rights end
        self.heard: dict[
            tuple[str, int], int
        ] = {}  # the newest ask of each life: late and doubled ones are passed over
        self.left: deque[tuple[str, int]] = deque()
        self.target_shares: dict[str, dict[str, int]] = {}  # targets, worked out at `wished_at`
        self.targets_at = -FOREVER
        self.suspicions: dict[str, set[str]] = {}  # who holds whom for dead
        self.counts = {"asks": 0, "other_era": 0, "late": 0, "stray": 0, "grants": 0, "grown": 0, "shrunk": 0}
        kept = list(rows)
        self.recovery_until = now + max([lease, longest, *(row.duration for row in kept)])
        for row in kept:
            if row.budget in plan.budgets:
                account = self.accounts.setdefault((row.budget, row.holder, row.life), Account(now))
                account.number = max(account.number, row.number)
                account.kept = (row.amount, row.duration)
                self._add(
                    now, (row.budget, row.holder, row.life), Grant(row.number, row.amount, now + row.duration)
                )

    # ---- what is in force

    def _add(self, now: int, key: Key, right: Grant) -> None:
        self.accounts[key].grants.append(right)
        heapq.heappush(self.ends, (right.until, key))
        self._recount(now, key)

    def _recount(self, now: int, key: Key) -> None:
        account = self.accounts[key]
        counted = account.in_force(now)
        self.sums[key[0]] += counted - account.counted
        account.counted = counted

    def _expire(self, now: int) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, key = heapq.heappop(self.ends)
            account = self.accounts.get(key)
            if account is None:
                continue
            account.grants = [right for right in account.grants if right.until > now]
            self._recount(now, key)
            if not account.grants and now - account.heard > self.lease:
                del self.accounts[key]
                self._forget_life(key[1:])

    def _forget_life(self, life: tuple[str, int]) -> None:
        if not any((leaf, *life) in self.accounts for leaf in self.plan.leaves):
            self.heard.pop(life, None)

    def in_force(self, now: int, budget: str, excluding: Optional[Key] = None) -> int:
        """Parts of a budget, or of all that draw on it, that somebody may spend, floors aside."""
        self._expire(now)
        total = sum(self.sums[leaf] for leaf in self.plan.leaves if budget in self.plan.ancestors[leaf])
        return total - (self.accounts[excluding].counted if excluding is not None else 0)

    def _pool(self, now: int, root: str) -> Pool:
        if self.pool is not None:
            return self.pool(now, root)
        return Pool(self.plan.leasable(root), FOREVER, self.plan.leasable(root))

    def _available(self, now: int, key: Key) -> int:
        """What this account may have at most, so that no whole above it is passed."""
        room = FOREVER
        for name in self.plan.ancestors[key[0]]:
            capacity = self.plan.leasable(name)
            if name in self.plan.roots:
                capacity = min(capacity, self._pool(now, name).amount)
            room = min(room, capacity - self.in_force(now, name, key))
        return max(0, room)

    def recovering(self, now: int) -> bool:
        """Whether nothing new may be given yet."""
        return now < self.recovery_until

    # ---- asking

    def ask(
        self,
        now: int,
        holder: str,
        life: int,
        era: int,
        number: int,
        wants: Iterable[ShareRequest],
        suspected: Iterable[str] = (),
    ) -> tuple[list[Share], list[Row]]:
        """What the holder gets, and the rows that must be kept before it is told. `number` grows from ask to ask of a life.
        Nothing for words of another era: the answer tells this one, and what is in force is presented anew."""
        self.counts["asks"] += 1
        if era != self.era:
            self.counts["other_era"] += 1
            return [], []
        if number <= self.heard.get((holder, life), 0):
            self.counts["late"] += 1
            return [], []
        self.heard[holder, life] = number
        self._expire(now)
        self._set_suspected(holder, set(suspected))
        known = [want for want in wants if want.budget in self.sums]
        presented = {want.budget: self._apply_claim(now, (want.budget, holder, life), want) for want in known}
        self._update_targets(now)
        shares, rows = [], []
        for want in known:
            target = self.target_shares[want.budget].get(f"{holder} {life}", 0)
            share, row = self._grant(now, (want.budget, holder, life), target, presented[want.budget])
            if share is not None:
                shares.append(share)
            if row is not None:
                rows.append(row)
        return shares, rows

    def leave(self, now: int, holder: str, life: int) -> list[Key]:
        """A life says that it spends no more, and takes no answer any more: all that it held is free. What rows are void."""
        gone = [key for key in self.accounts if key[1:] == (holder, life)]
        for key in gone:
            self.accounts[key].grants.clear()
            self._recount(now, key)
            del self.accounts[key]
        self.heard[holder, life] = FOREVER  # what it asked before and comes late brings nothing back
        self.left.append((holder, life))
        if len(self.left) > MAX_DEPARTED_LIVES:
            self.heard.pop(self.left.popleft(), None)
        self.suspicions.pop(holder, None)
        return gone

    def _apply_claim(self, now: int, key: Key, want: ShareRequest) -> int:
        """Takes a holder's word for what it holds; returns how much of it stands."""
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = Account(now)
        account.heard = now
        heapq.heappush(self.ends, (now + self.lease + 1, key))
        account.demand = max(0, want.demand - self.plan.budgets[key[0]].floor)
        account.weight = max(1, want.weight)
        account.number = max(account.number, want.number, want.newest)
        known = max((right.amount for right in account.grants if right.number == want.number), default=0)
        if want.amount > known:
            if self.recovering(
                now
            ):  # told by a former life of the giver: part of the whole then, so it may stand
                self._add(now, key, Grant(want.number, want.amount, now + self.lease))
            else:
                self.counts["stray"] += 1
        account.grants = [
            right
            for right in account.grants
            if right.number > want.number or right.number == want.number and want.amount
        ]
        self._recount(now, key)
        return max((right.amount for right in account.grants if right.number == want.number), default=0)

    def _update_targets(self, now: int) -> None:
        """Works out who should have what, now and then where there are many."""
        if (
            len(self.accounts) > MAX_ACCOUNTS_PER_ASK
            and now - self.targets_at < self.lease // TARGET_UPDATES_PER_LEASE
        ):
            return
        self.targets_at = now
        gone = self._agreed_dead()
        demands: dict[str, dict[str, int]] = {leaf: {} for leaf in self.plan.leaves}
        weights: dict[str, int] = {}
        for (budget, holder, life), account in self.accounts.items():
            if now - account.heard <= self.lease and holder not in gone:
                demands[budget][f"{holder} {life}"] = account.demand
                weights[f"{holder} {life}"] = max(account.weight, weights.get(f"{holder} {life}", 1))
        wholes = {root: self._pool(now, root).amount for root in self.plan.roots}
        self.target_shares = self.plan.targets(
            demands, wholes, now // (ROTATION_LEASES * self.lease), weights
        )

    def _set_suspected(self, holder: str, names: set[str]) -> None:
        if names:
            self.suspicions[holder] = names
        else:
            self.suspicions.pop(holder, None)

    def _agreed_dead(self) -> set[str]:
        """Whom more than half of those that ask hold for dead: its wishes count no longer. Its rights do, to their end."""
        if not self.suspicions:
            return set()
        asking = {holder for _, holder, _ in self.accounts}
        told = [name for one, names in self.suspicions.items() if one in asking for name in names]
        return {name for name in set(told) if 2 * told.count(name) > len(asking)}

    def _grant(
        self, now: int, key: Key, target: int, presented: int
    ) -> tuple[Optional[Share], Optional[Row]]:
        account = self.accounts[key]
        if len(account.grants) >= MAX_UNCLAIMED_GRANTS:
            return None, None
        newest = account.grants[-1].amount if account.grants else 0
        room = presented if self.recovering(now) else self._available(now, key)
        if newest and target and abs(target - newest) <= MIN_CHANGE_SHARE * max(target, newest):
            target = newest
        amount = min(target, room)
        duration = self._span(now, key, amount)
        if duration <= 0 or not amount and not newest:
            return None, None
        self.counts["grants"] += 1
        self.counts["grown"] += amount > newest
        self.counts["shrunk"] += amount < newest
        account.number += 1
        self._add(now, key, Grant(account.number, amount, now + duration))
        row = None
        if account.kept is None or account.kept[0] != amount or account.kept[1] < duration:
            account.kept = (amount, duration)
            row = Row(*key, account.number, amount, duration)
        return Share(key[0], account.number, amount, duration), row

    def _span(self, now: int, key: Key, amount: int) -> int:
        """A right ends no later than what it is made of; the part that lasts is given for a whole lease."""
        root = self.plan.ancestors[key[0]][-1]
        pool = self._pool(now, root)
        if self.in_force(now, root, key) + amount <= pool.permanent:
            return self.lease
        return min(self.lease, pool.until - now)

    def shown(self, now: int) -> list[dict[str, object]]:
        """For people: by budget the whole, what is set aside, what is given, and to whom."""
        found: list[dict[str, object]] = []
        for name, budget in self.plan.budgets.items():
            holders = [
                {
                    "holder": key[1],
                    "life": key[2],
                    "demand": account.demand + budget.floor,
                    "given": account.in_force(now),
                    "ends_in_us": max((right.until for right in account.grants), default=now) - now,
                    "heard_us_ago": now - account.heard,
                }
                for key, account in sorted(self.accounts.items())
                if key[0] == name
            ]
            found.append(
                {
                    "budget": name,
                    "whole": budget.capacity,
                    "within": budget.within,
                    "priority": budget.priority,
                    "floor": budget.floor,
                    "floors": self.plan.floors[name],
                    "given": self.in_force(now, name),
                    "quiet_us": max(0, self.recovery_until - now),
                    "holders": holders,
                }
            )
        return found


# ---- holding


class HeldShare(NamedTuple):
    number: int
    amount: int
    until: int  # by the holder's clock


class Holder:
    """One life's side. `drift`: how much faster one clock may run than another, as a part of 1; `bound(now, budget)`: parts that
    are still spent below, floor included, where the holder hands on; the shrink is said only when they are back."""

    def __init__(
        self,
        floors: Mapping[str, int],
        life: int,
        drift: float,
        outstanding: Optional[Callable[[int, str], int]] = None,
    ) -> None:
        self.floors = dict(floors)
        self.life = life
        self.drift = drift
        self.outstanding = outstanding
        self.era = 0
        self.taken: dict[str, list[HeldShare]] = {
            name: [] for name in floors
        }  # newest last; older ones only while they bind
        self.asked: dict[int, int] = {}  # ask's number -> when
        self.last_number = 0

    def joined(self, era: int) -> None:
        """The giver's present life. What another one had told is kept to its end; its late answers are not taken."""
        if era != self.era:
            self.era = era
            self.asked.clear()

    def lost(self) -> None:
        """No answer to what was asked counts any more: it may have been asked on a stream that is gone."""
        self.asked.clear()

    def amount(self, now: int, budget: str) -> int:
        """Parts beyond the floor that may be spent now."""
        taken = self.taken[budget]
        return taken[-1].amount if taken and now < taken[-1].until else 0

    def right(self, now: int, budget: str) -> int:
        return self.floors[budget] + self.amount(now, budget)

    def until(self, now: int, budget: str) -> int:
        taken = self.taken[budget]
        return taken[-1].until if taken and now < taken[-1].until else now

    def ask(self, now: int, demands: Mapping[str, int], weight: int = 1) -> tuple[int, list[ShareRequest]]:
        """The number under which it is asked, and what."""
        self.last_number += 1
        self.asked[self.last_number] = now
        self.asked.pop(self.last_number - 64, None)
        return self.last_number, [
            self._request(now, name, demands.get(name, 0))._replace(weight=weight) for name in self.floors
        ]

    def _request(self, now: int, name: str, demand: int) -> ShareRequest:
        """Claims the newest right that covers what is bound below."""
        taken = self.taken[name]
        outstanding = self.outstanding(now, name) if self.outstanding is not None else 0
        while len(taken) > 1 and (
            taken[0].until <= now or outstanding <= self.floors[name] + taken[-1].amount
        ):
            taken.pop(0)
        if not taken:
            return ShareRequest(name, demand)
        claimed = taken[0]
        return ShareRequest(
            name, demand, claimed.number, claimed.amount if now < claimed.until else 0, taken[-1].number
        )

    def on_answer(self, now: int, number: int, era: int, shares: Iterable[Share]) -> bool:
        """An answer; False where it is none to what was asked, or of another era."""
        asked_at = self.asked.pop(number, None)
        if era != self.era or asked_at is None:
            return False
        for share in shares:
            taken = self.taken.get(share.budget)
            if taken is None or taken and share.number <= taken[-1].number:
                continue
            until = asked_at + int(share.duration * (1 - self.drift))
            if until > now:
                taken.append(HeldShare(share.number, share.amount, until))
        return True

    def drop(self) -> None:
        """Everything is given back or void, but for numbers: they never come again in this life."""
        for taken in self.taken.values():
            if taken:
                taken[:] = [HeldShare(taken[-1].number, 0, 0)]


# ---- both at once


class Hub:
    """A pilot: holder to the store, giver to its proxies. What it hands on ends no later than its own right, and a
    shrink is said above when what was handed on is back."""

    def __init__(self, plan: Plan, life: int, drift: float, lease: int, now: int) -> None:
        floors = {leaf: plan.budgets[leaf].floor for leaf in plan.leaves}
        below = Plan([Budget(leaf, plan.budgets[leaf].capacity) for leaf in plan.leaves], 0)
        self.held_locally: dict[
            str, int
        ] = {}  # of budgets that are held: what this pilot has under way itself
        self.holder = Holder(floors, life, drift, self._outstanding)
        self.giver = Grantor(below, lease, life, now, pool=self._pool)

    def _pool(self, now: int, leaf: str) -> Pool:
        return Pool(self.holder.right(now, leaf), self.holder.until(now, leaf), self.holder.floors[leaf])

    def _outstanding(self, now: int, leaf: str) -> int:
        return self.giver.in_force(now, leaf) + self.held_locally.get(leaf, 0)

    def demands(self, now: int) -> dict[str, int]:
        """What all below ask for, by leaf."""
        found = dict.fromkeys(self.holder.floors, 0)
        for (leaf, _, _), account in self.giver.accounts.items():
            if now - account.heard <= self.giver.lease:
                found[leaf] += account.demand
        return found
