"""Fleet-wide budgets, divided into leased shares: who may spend how much, until when. No I/O; times are
microseconds.

A *grantor* divides a budget's capacity among *holders*. A holder counts the end of its share from its
request, shortened by the clock drift; the grantor counts from the grant. A grant not known to be over counts
as in force, so the sum of all that may be spent never exceeds the capacity, whatever messages are lost, late
or duplicated and whatever processes are killed, suspended or restored. A pilot is a holder towards the store
and a grantor towards its proxies, by the same two classes.

Amounts are integers in *parts*, the unit in which the capacity is given. A *leaf* is a budget that no other
one draws on; only leaves are granted. A *life* is one run of a process.

Grants of one holder life and budget are numbered and replace each other. A holder that claims number n never
again spends on an older one, so a shrink takes effect at the grantor once its number is claimed or the larger
grant has ended. A grantor that starts cannot know what an earlier life, or a lost write, had granted: for one
longest lease it grants nothing new and renews only what holders present as in force.

Fairness is weighted max-min on integers: Bertsekas and Gallager, Data Networks, section 6.5 (progressive
filling).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import Callable, Iterable, Mapping, NamedTuple, Optional

ASKS_PER_LEASE = 4  # so that three may be lost
MIN_ASK_INTERVAL_US = 200_000  # per holder; bounds the load of a thousand proxies on a pilot
MIN_CHANGE_SHARE = 0.04  # smaller changes of a target are not worth a shrink
# With more accounts, targets are not computed at every ask; a thousand proxies ask one pilot often.
MAX_ACCOUNTS_PER_ASK = 64
TARGET_UPDATES_PER_LEASE = 16  # with more than MAX_ACCOUNTS_PER_ASK accounts
ROTATION_LEASES = 8  # leases after which the leftover parts of a division go to other holders
MAX_DEPARTED_LIVES = 1_000  # departed lives whose late asks are still ignored; late ones come within seconds
MAX_UNCLAIMED_GRANTS = 24  # of one life and budget; a holder with more gets no further one
FOREVER = 1 << 62  # us


class InvalidBudget(ValueError):
    """Raised for inconsistent budgets; `budget` names the faulty one."""

    def __init__(self, budget: str, what: str) -> None:
        super().__init__(what)
        self.budget = budget


class Budget(NamedTuple):
    """A configured budget. `capacity` in parts; `floor`: parts that each configured holder has without
    asking; `within`: the parent budget. Among the children of one budget a lower `priority` is served first,
    equal ones by `weight`.
    """

    name: str
    capacity: int
    floor: int = 0
    within: str = ""
    priority: int = 0
    weight: int = 1


class ShareRequest(NamedTuple):
    """What a holder asks for, and what it holds.

    `demand`: the parts that it could use. `number`: the grant that it claims, which is the newest or, while
    more is still spent below, an older one. `amount`: how much of that is in force. `newest`: the highest
    grant number that it has received.
    """

    budget: str
    demand: int
    number: int = 0
    amount: int = 0
    newest: int = 0
    weight: int = 1  # number of spenders below


class Share(NamedTuple):
    """A granted share; `duration` (us) counts from the request."""

    budget: str
    number: int
    amount: int
    duration: int


class Row(NamedTuple):
    """A grant as it is stored durably before the holder is told."""

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
    """Weighted max-min division of `capacity` among `wants`, in integers; the sum is the lesser of the
    capacity and of all wants.

    Leftover parts go by name, starting at `rotation`, so the result is deterministic.
    """
    weight_of = weights or {}
    given = dict.fromkeys(wants, 0)
    left, weight = max(0, capacity), sum(weight_of.get(name, 1) for name, want in wants.items() if want > 0)
    scale = math.lcm(*set(weight_of.values()))  # integers are faster than fractions
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
    leftover = left - sum(given[name] for name in unfilled)
    names = sorted(unfilled)
    for at in range(leftover):
        given[names[(at + rotation) % len(names)]] += 1
    return given


class Plan:
    """The validated trees of budgets. `holders`: how many holders have a floor of each leaf.

    `ancestors` lists for each budget itself and its ancestors up to the root. Raises InvalidBudget.
    """

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
        """Return the budget and its ancestors, itself first."""
        path = [name]
        while parent := self.budgets[path[-1]].within:
            if parent in path:
                raise InvalidBudget(name, f"within leads back to itself: {', '.join([*path, parent])}")
            path.append(parent)
        return path

    def _floors(self, name: str) -> int:
        """Return the parts below a budget that are reserved as floors."""
        if name in self.children:
            return sum(self._floors(child) for child in self.children[name])
        return self.budgets[name].floor * self.holders

    def _check(self, budget: Budget) -> None:
        """Raise InvalidBudget unless a budget's figures are consistent with those of its relatives."""
        if budget.capacity < 1:
            raise InvalidBudget(
                budget.name, f"a capacity of {budget.capacity} parts leaves nothing to divide"
            )
        if budget.weight < 1:
            raise InvalidBudget(budget.name, f"weight {budget.weight} is below 1")
        if budget.name in self.children and budget.floor:
            raise InvalidBudget(
                budget.name,
                f"floor has no meaning where others draw on it: {', '.join(self.children[budget.name])}",
            )
        if self.floors[budget.name] > budget.capacity:
            raise InvalidBudget(
                budget.name,
                f"floors of {self.holders} holders sum to {self.floors[budget.name]} parts, "
                f"the capacity is {budget.capacity}",
            )
        if budget.within and budget.capacity > self.budgets[budget.within].capacity:
            raise InvalidBudget(
                budget.name,
                f"its capacity of {budget.capacity} parts is over that of {budget.within!r}, "
                f"{self.budgets[budget.within].capacity}",
            )

    def leasable(self, name: str) -> int:
        """Return the parts that may be granted beyond floors."""
        return self.budgets[name].capacity - self.floors[name]

    def targets(
        self,
        demands: Mapping[str, Mapping[str, int]],
        capacities: Mapping[str, int],
        rotation: int = 0,
        weights: Optional[Mapping[str, int]] = None,
    ) -> dict[str, dict[str, int]]:
        """Return who should have what, by leaf and holder, beyond floors. `demands`: by leaf and holder;
        `capacities`: of the roots; `weights`: of holders.
        """
        found: dict[str, dict[str, int]] = {}
        for root in self.roots:
            self._fill(
                root, min(capacities[root], self._wanted(root, demands)), demands, rotation, weights, found
            )
        return found

    def _wanted(self, name: str, demands: Mapping[str, Mapping[str, int]]) -> int:
        """Return the demand below a budget, up to its capacity."""
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
        """Divide `given` parts among the children of a budget, by priority and weight."""
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


# ---- granting


class Grant(NamedTuple):
    """A granted amount, until it ends."""

    number: int
    amount: int
    until: int  # us, grantor's clock


class Account:
    """What one life of one holder may still hold of one budget."""

    def __init__(self, heard: int) -> None:
        self.grants: list[Grant] = []
        self.number = 0  # highest grant number known
        self.demand = 0
        self.weight = 1
        self.heard = heard
        self.counted = 0  # amount included in the grantor's sum of the budget
        self.kept: Optional[tuple[int, int]] = None  # (amount, duration) of the newest stored row

    def in_force(self, now: int) -> int:
        """Return the largest amount that may still be in use."""
        return max((grant.amount for grant in self.grants if grant.until > now), default=0)


class Pool(NamedTuple):
    """What a grantor may grant of a root budget: `amount` parts until `until`; `permanent` of them have no
    end.
    """

    amount: int
    until: int
    permanent: int


Key = tuple[str, str, int]  # budget, holder, life


class Grantor:
    """The grantor's side. `lease` (us): longest duration of a grant.

    `era` identifies this life of the grantor; asks under another one get nothing. `rows`: the stored grants
    of earlier lives. `longest`: the longest lease (us) that an earlier life may have granted. `pool(now,
    root)`: what may be granted of a root, where the capacity is itself a leased share.
    """

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
        assert lease > 0, "the lease must be positive"
        self.plan = plan
        self.lease = lease
        self.era = era
        self.pool = pool
        self.accounts: dict[Key, Account] = {}
        self.sums = dict.fromkeys(plan.leaves, 0)  # parts in force
        self.ends: list[tuple[int, Key]] = []  # when grants end
        self.heard: dict[tuple[str, int], int] = {}  # newest ask of each life; older ones are ignored
        self.left: deque[tuple[str, int]] = deque()  # departed lives, oldest first
        self.target_shares: dict[str, dict[str, int]] = {}  # computed at `targets_at`
        self.targets_at = -FOREVER
        self.suspicions: dict[str, set[str]] = {}  # holder -> pilots that it considers dead
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

    # ---- grants in force

    def _add(self, now: int, key: Key, grant: Grant) -> None:
        self.accounts[key].grants.append(grant)
        heapq.heappush(self.ends, (grant.until, key))
        self._recount(now, key)

    def _recount(self, now: int, key: Key) -> None:
        account = self.accounts[key]
        counted = account.in_force(now)
        self.sums[key[0]] += counted - account.counted
        account.counted = counted

    def _expire(self, now: int) -> None:
        """Drop grants that have ended and accounts that have long been silent."""
        while self.ends and self.ends[0][0] <= now:
            _, key = heapq.heappop(self.ends)
            account = self.accounts.get(key)
            if account is None:
                continue
            account.grants = [grant for grant in account.grants if grant.until > now]
            self._recount(now, key)
            if not account.grants and now - account.heard > self.lease:
                del self.accounts[key]
                self._forget_life(key[1:])

    def _forget_life(self, life: tuple[str, int]) -> None:
        if not any((leaf, *life) in self.accounts for leaf in self.plan.leaves):
            self.heard.pop(life, None)

    def in_force(self, now: int, budget: str, excluding: Optional[Key] = None) -> int:
        """Return the parts of a budget and its descendants that may be spent, floors aside."""
        self._expire(now)
        total = sum(self.sums[leaf] for leaf in self.plan.leaves if budget in self.plan.ancestors[leaf])
        return total - (self.accounts[excluding].counted if excluding is not None else 0)

    def _pool(self, now: int, root: str) -> Pool:
        if self.pool is not None:
            return self.pool(now, root)
        return Pool(self.plan.leasable(root), FOREVER, self.plan.leasable(root))

    def _available(self, now: int, key: Key) -> int:
        """Return the largest amount that this account may be granted within the capacities of all its
        ancestors.
        """
        available = FOREVER
        for name in self.plan.ancestors[key[0]]:
            capacity = self.plan.leasable(name)
            if name in self.plan.roots:
                capacity = min(capacity, self._pool(now, name).amount)
            available = min(available, capacity - self.in_force(now, name, key))
        return max(0, available)

    def recovering(self, now: int) -> bool:
        """Whether nothing new may be granted yet after the start."""
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
        """Return the holder's shares, and the rows to store before it is told. `number` grows with each ask
        of a life.

        An ask of another era gets nothing: the answer states the present era, and the holder then presents
        what is in force.
        """
        self.counts["asks"] += 1
        if era != self.era:
            self.counts["other_era"] += 1
            return [], []
        if number <= self.heard.get((holder, life), 0):
            self.counts["late"] += 1
            return [], []
        known_requests = [want for want in wants if want.budget in self.sums]
        if known_requests:  # a life without an account would never be forgotten
            self.heard[holder, life] = number
        self._expire(now)
        self._set_suspected(holder, set(suspected))
        presented = {
            want.budget: self._apply_claim(now, (want.budget, holder, life), want) for want in known_requests
        }
        self._update_targets(now)
        shares, rows = [], []
        for want in known_requests:
            target = self.target_shares[want.budget].get(f"{holder} {life}", 0)
            share, row = self._grant(now, (want.budget, holder, life), target, presented[want.budget])
            if share is not None:
                shares.append(share)
            if row is not None:
                rows.append(row)
        return shares, rows

    def leave(self, now: int, holder: str, life: int) -> list[Key]:
        """Release the grants of a life that has stopped spending; return the keys of its rows to delete."""
        gone = [key for key in self.accounts if key[1:] == (holder, life)]
        for key in gone:
            self.accounts[key].grants.clear()
            self._recount(now, key)
            del self.accounts[key]
        self.heard[holder, life] = FOREVER  # late asks are ignored
        self.left.append((holder, life))
        if len(self.left) > MAX_DEPARTED_LIVES:
            self.heard.pop(self.left.popleft(), None)
        self.suspicions.pop(holder, None)
        return gone

    def _apply_claim(self, now: int, key: Key, want: ShareRequest) -> int:
        """Apply a holder's claim of what it holds; return how much of it is in force."""
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = Account(now)
        account.heard = now
        heapq.heappush(self.ends, (now + self.lease + 1, key))
        account.demand = max(0, want.demand - self.plan.budgets[key[0]].floor)
        account.weight = max(1, want.weight)
        account.number = max(account.number, want.number, want.newest)
        known_amount = max(
            (grant.amount for grant in account.grants if grant.number == want.number), default=0
        )
        if want.amount > known_amount:
            if self.recovering(now):  # granted by an earlier life of the grantor, within the capacity then
                self._add(now, key, Grant(want.number, want.amount, now + self.lease))
            else:
                self.counts["stray"] += 1
        account.grants = [
            grant
            for grant in account.grants
            if grant.number > want.number or grant.number == want.number and want.amount
        ]
        self._recount(now, key)
        return max((grant.amount for grant in account.grants if grant.number == want.number), default=0)

    def _update_targets(self, now: int) -> None:
        """Compute who should have what; not at every ask if there are many accounts."""
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
        capacities = {root: self._pool(now, root).amount for root in self.plan.roots}
        self.target_shares = self.plan.targets(
            demands, capacities, now // (ROTATION_LEASES * self.lease), weights
        )

    def _set_suspected(self, holder: str, names: set[str]) -> None:
        if names:
            self.suspicions[holder] = names
        else:
            self.suspicions.pop(holder, None)

    def _agreed_dead(self) -> set[str]:
        """Return the holders that more than half of those that ask consider dead. Their demand is ignored;
        their grants stand until they end.
        """
        if not self.suspicions:
            return set()
        asking = {holder for _, holder, _ in self.accounts}
        suspected_names = [name for one, names in self.suspicions.items() if one in asking for name in names]
        return {name for name in set(suspected_names) if 2 * suspected_names.count(name) > len(asking)}

    def _grant(
        self, now: int, key: Key, target: int, presented: int
    ) -> tuple[Optional[Share], Optional[Row]]:
        """Grant what the account should have, as far as it is available; return the share, and the row to
        store if it changed.
        """
        account = self.accounts[key]
        if len(account.grants) >= MAX_UNCLAIMED_GRANTS:
            return None, None
        newest = account.grants[-1].amount if account.grants else 0
        available = presented if self.recovering(now) else self._available(now, key)
        if newest and target and abs(target - newest) <= MIN_CHANGE_SHARE * max(target, newest):
            target = newest
        amount = min(target, available)
        duration = self._grant_duration(now, key, amount)
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

    def _grant_duration(self, now: int, key: Key, amount: int) -> int:
        """Return the duration of a grant (us): it ends no later than what it is made of; the permanent part
        is granted for a whole lease.
        """
        root = self.plan.ancestors[key[0]][-1]
        pool = self._pool(now, root)
        if self.in_force(now, root, key) + amount <= pool.permanent:
            return self.lease
        return min(self.lease, pool.until - now)

    def shown(self, now: int) -> list[dict[str, object]]:
        """Return each budget's capacity, reservations, grants and holders, for the status page."""
        found: list[dict[str, object]] = []
        for name, budget in self.plan.budgets.items():
            holders = [
                {
                    "holder": key[1],
                    "life": key[2],
                    "demand": account.demand + budget.floor,
                    "given": account.in_force(now),
                    "ends_in_us": max((grant.until for grant in account.grants), default=now) - now,
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
    """A share as its holder counts it."""

    number: int
    amount: int
    until: int  # us, holder's clock


class Holder:
    """The holder's side, for one life. `floors`: the parts of each budget that it has without asking.

    `drift`: by how much one clock may run faster than another, as a fraction. `outstanding(now, budget)`:
    parts that are still spent by others on this holder's behalf, floor included; a shrink is claimed only
    once they fit the smaller share.
    """

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
        }  # newest last; older ones only while they are spent below
        self.asked: dict[int, int] = {}  # ask number -> when
        self.last_number = 0

    def joined(self, era: int) -> None:
        """Set the grantor's present life. Shares of an earlier one are kept to their end; its late answers
        are ignored.
        """
        if era != self.era:
            self.era = era
            self.asked.clear()

    def lost(self) -> None:
        """Ignore the answers to all earlier asks: the stream may be gone."""
        self.asked.clear()

    def amount(self, now: int, budget: str) -> int:
        """Return the parts beyond the floor that may be spent now."""
        taken = self.taken[budget]
        return taken[-1].amount if taken and now < taken[-1].until else 0

    def right(self, now: int, budget: str) -> int:
        """Return the parts that may be spent now, floor included."""
        return self.floors[budget] + self.amount(now, budget)

    def until(self, now: int, budget: str) -> int:
        """Return when the present share ends (us)."""
        taken = self.taken[budget]
        return taken[-1].until if taken and now < taken[-1].until else now

    def ask(self, now: int, demands: Mapping[str, int], weight: int = 1) -> tuple[int, list[ShareRequest]]:
        """Return the number of the ask, and its requests."""
        self.last_number += 1
        self.asked[self.last_number] = now
        self.asked.pop(self.last_number - 64, None)
        return self.last_number, [
            self._request(now, name, demands.get(name, 0))._replace(weight=weight) for name in self.floors
        ]

    def _request(self, now: int, name: str, demand: int) -> ShareRequest:
        """Claim the newest share if it covers what is outstanding, otherwise the oldest in force."""
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
        """Take the shares of an answer; return False if it does not answer an open ask of this era."""
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
        """Give up all shares. Numbers are kept: they never repeat within a life."""
        for taken in self.taken.values():
            if taken:
                taken[:] = [HeldShare(taken[-1].number, 0, 0)]


# ---- holder and grantor


class Hub:
    """A pilot's two roles: holder towards the store, grantor (`giver`) towards its proxies.

    Its grants end no later than its own share, except for the floor, which has no end. A shrink is claimed
    from the store only once the grants to proxies fit the smaller share.
    """

    def __init__(self, plan: Plan, life: int, drift: float, lease: int, now: int) -> None:
        floors = {leaf: plan.budgets[leaf].floor for leaf in plan.leaves}
        below = Plan([Budget(leaf, plan.budgets[leaf].capacity) for leaf in plan.leaves], 0)
        self.held_locally: dict[str, int] = {}  # parts that this pilot uses itself, by budget
        self.holder = Holder(floors, life, drift, self._outstanding)
        self.giver = Grantor(below, lease, life, now, pool=self._pool)

    def _pool(self, now: int, leaf: str) -> Pool:
        return Pool(self.holder.right(now, leaf), self.holder.until(now, leaf), self.holder.floors[leaf])

    def _outstanding(self, now: int, leaf: str) -> int:
        return self.giver.in_force(now, leaf) + self.held_locally.get(leaf, 0)

    def demands(self, now: int) -> dict[str, int]:
        """Return the sum of the demands of all proxies heard within a lease, by leaf."""
        found = dict.fromkeys(self.holder.floors, 0)
        for (leaf, _, _), account in self.giver.accounts.items():
            if now - account.heard <= self.giver.lease:
                found[leaf] += account.demand
        return found
