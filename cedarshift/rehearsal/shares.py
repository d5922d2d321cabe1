"""Budgets under every order of events up to a bound, and by seed: `judge.budgets` itself, with messages that are lost, doubled
and late, lives that are killed, stopped and started anew, clocks that run apart, and a store that comes back one write short.

`explore` goes over all states that a few steps can lead to: three holders, a whole of six, two budgets on it. `play` draws a
long day of pilots, proxies and their buckets. Both look, at each instant, at the sum of what all may spend.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import Any, Callable, NamedTuple, Optional

from cedarshift.judge.budgets import Account, Budget, Grantor, Holder, Hub, Plan, Row, Share, ShareRequest
from cedarshift.judge.spending import PARTS_PER_TOKEN, SECOND, TokenBucket
from cedarshift.rehearsal.rules import beyond_rate

# ---- every order of events

LEASE = 40  # units of the giver's clock, of which a tick is ten
CLOCKS = (8, 10, 12)  # units of each holder's clock in a tick
DRIFT = 0.25  # between the slowest of them and the giver's
WANTED = ({"a": 6, "b": 6}, {"a": 0, "b": 0})
IN_FLIGHT = 2  # messages at a time


class Message(NamedTuple):
    """An ask on its way to the giver, or an answer to a holder's life."""

    holder: int
    life: int
    number: int
    era: int
    asks: tuple[ShareRequest, ...] = ()
    shares: Optional[tuple[Share, ...]] = None


def six() -> Plan:
    return Plan([Budget("all", 6), Budget("a", 5, 1, "all"), Budget("b", 3, 0, "all", 1)], len(CLOCKS))


class Faults(NamedTuple):
    """How many of each a run may have."""

    restarts: int = 1  # of holders
    stores: int = 1
    doubled: int = 1


class State:
    """One world. `rows` are as the disk has them, `before` one write earlier."""

    def __init__(
        self, make: Callable[..., Grantor], hold: Callable[..., Holder], faults: Faults, warm: int
    ) -> None:
        self.make, self.hold = make, hold
        self.tick = 100
        self.rows: dict[tuple, Row] = {}
        self.before: dict[tuple, Row] = {}
        self.era = 1
        self.giver = make(six(), LEASE, 1, 0)
        self.holders = [hold({"a": 1, "b": 0}, 10 * n + 1, DRIFT) for n in range(len(CLOCKS))]
        self.flying: tuple[Message, ...] = ()
        self.left = faults
        for n, holder in enumerate(self.holders):
            holder.joined(1)
            for _ in range(warm if n < 2 else 0):
                self._round(n)

    def _round(self, n: int) -> None:
        self.send(n, 0)
        self.arrive(0, False)
        self.arrive(0, False)

    def copy(self) -> State:
        new = object.__new__(type(self))
        new.__dict__.update(self.__dict__)
        new.rows, new.before = dict(self.rows), dict(self.before)
        new.giver = _copy_giver(self.giver)
        new.holders = [_copy_holder(holder) for holder in self.holders]
        return new

    def clock(self, n: int) -> int:
        return self.tick * CLOCKS[n]

    def now(self) -> int:
        return self.tick * 10

    # ---- steps

    def send(self, n: int, wanted: int) -> None:
        holder = self.holders[n]
        number, wants = holder.ask(self.clock(n), WANTED[wanted])
        self.flying += (Message(n, holder.life, number, holder.era, tuple(wants)),)

    def arrive(self, at: int, twice: bool) -> None:
        message = self.flying[at]
        if not twice:
            self.flying = self.flying[:at] + self.flying[at + 1 :]
        if message.shares is None:
            shares, rows = self.giver.ask(
                self.now(), f"p{message.holder}", message.life, message.era, message.number, message.asks
            )
            if rows:
                self.before = dict(self.rows)
                self.rows.update({(row.budget, row.holder, row.life): row for row in rows})
            self.flying += (
                Message(message.holder, message.life, message.number, self.era, (), tuple(shares)),
            )
        elif self.holders[message.holder].life == message.life:
            holder = self.holders[message.holder]
            if not holder.on_answer(self.clock(message.holder), message.number, message.era, message.shares):
                if (
                    message.era >= holder.era
                ):  # a stream is to one life of the store: words of a former one do not come later
                    holder.joined(message.era)

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("tick",)]
        if len(self.flying) < IN_FLIGHT:
            found += [("send", n, wanted) for n in range(len(CLOCKS)) for wanted in range(len(WANTED))]
        for at in range(len(self.flying)):
            found += [("arrive", at, False), ("lose", at)]
            if self.left.doubled:
                found.append(("arrive", at, True))
        if self.left.restarts:
            found += [("restart", n) for n in range(len(CLOCKS))]
        if self.left.stores:
            found += [("store", short) for short in (False, True)]
        return found

    def do(self, step: tuple) -> None:
        kind = step[0]
        if kind == "tick":
            self.tick += 1
        elif kind == "send":
            self.send(step[1], step[2])
        elif kind == "arrive":
            self.arrive(step[1], step[2])
            if step[2]:
                self.left = self.left._replace(doubled=self.left.doubled - 1)
        elif kind == "lose":
            self.flying = self.flying[: step[1]] + self.flying[step[1] + 1 :]
        elif kind == "restart":
            former = self.holders[step[1]]
            self.holders[step[1]] = self.hold({"a": 1, "b": 0}, former.life + 1, DRIFT)
            self.left = self.left._replace(restarts=self.left.restarts - 1)
        elif kind == "store":
            self.era += 1
            if step[1]:
                self.rows = dict(self.before)
            self.giver = self.make(six(), LEASE, self.era, self.now(), list(self.rows.values()))
            self.left = self.left._replace(stores=self.left.stores - 1)

    # ---- what holds

    def broken(self) -> str:
        plan = self.giver.plan
        sums = dict.fromkeys(plan.budgets, 0)
        for n, holder in enumerate(self.holders):
            for leaf in holder.floors:
                for name in plan.ancestors[leaf]:
                    sums[name] += holder.right(self.clock(n), leaf)
        over = [
            f"{name}: {total} of {plan.budgets[name].capacity}"
            for name, total in sums.items()
            if total > plan.budgets[name].capacity
        ]
        return "; ".join(over)

    def key(self) -> tuple:
        """The same for worlds that go on the same way."""
        now, g = self.now(), self.giver
        accounts = tuple(
            (
                key,
                a.number,
                a.demand,
                max(-LEASE, a.heard - now),
                tuple((r.number, r.amount, r.until - now) for r in a.grants if r.until > now),
            )
            for key, a in sorted(g.accounts.items())
        )
        holders = tuple(
            (
                h.life,
                h.era,
                h.last_number,
                tuple(sorted((k, v - self.clock(n)) for k, v in h.asked.items())),
                tuple(
                    (name, tuple((t.number, t.amount, max(0, t.until - self.clock(n))) for t in taken))
                    for name, taken in h.taken.items()
                ),
            )
            for n, h in enumerate(self.holders)
        )
        return (
            accounts,
            tuple(sorted(g.heard.items())),
            max(0, g.recovery_until - now),
            holders,
            self.flying,
            self.left,
            self.era,
            tuple(sorted(self.before.items())),
            tuple(sorted(self.rows.items())),
        )


def _copy_giver(giver: Grantor) -> Grantor:
    new = object.__new__(type(giver))
    new.__dict__.update(giver.__dict__)
    new.accounts = {key: _copy_account(account) for key, account in giver.accounts.items()}
    new.sums, new.ends, new.heard = dict(giver.sums), list(giver.ends), dict(giver.heard)
    new.suspicions, new.counts, new.left = dict(giver.suspicions), dict(giver.counts), giver.left.copy()
    return new


def _copy_account(account: Account) -> Account:
    new = object.__new__(Account)
    new.__dict__.update(account.__dict__)
    new.grants = list(account.grants)
    return new


def _copy_holder(holder: Holder) -> Holder:
    new = object.__new__(type(holder))
    new.__dict__.update(holder.__dict__)
    new.taken = {name: list(taken) for name, taken in holder.taken.items()}
    new.asked = dict(holder.asked)
    return new


class Explored(NamedTuple):
    """`broken`: what was wrong, and the steps that lead there; "" where nothing was."""

    states: int
    depth: int
    broken: str
    steps: tuple


def explore(
    depth: int,
    most: int,
    make: Callable[..., Grantor] = Grantor,
    hold: Callable[..., Holder] = Holder,
    faults: Faults = Faults(),
    warm: int = 2,
    only: Callable[[tuple], bool] = lambda step: True,
) -> Explored:
    """All states within `depth` steps, breadth first, `most` at most; ends at the first that breaks a whole. `only`: which steps
    are taken. A depth is told as reached when all of it was gone over."""
    first = State(make, hold, faults, warm)
    seen = {hash(first.key())}
    front: list[tuple[State, tuple]] = [(first, ())]
    for level in range(1, depth + 1):
        following: list[tuple[State, tuple]] = []
        for state, path in front:
            for step in state.steps():
                if not only(step):
                    continue
                new = state.copy()
                new.do(step)
                wrong = new.broken()
                if wrong:
                    return Explored(len(seen), level, wrong, (*path, step))
                mark = hash(new.key())
                if mark not in seen:
                    seen.add(mark)
                    following.append((new, (*path, step)))
            if len(seen) > most:
                return Explored(len(seen), level - 1, "", ())
        front = following
    return Explored(len(seen), depth, "", ())


# ---- days by seed: a store, pilots, proxies and what they spend

PILOTS_MOST = 5
STORE_LEASE = 2 * SECOND
PROXY_LEASE = SECOND
BURST = SECOND // 2
CLOCKS_APART = 0.01


class Spender:
    """A proxy's side of one pilot: a holder with its buckets, by a clock of its own."""

    def __init__(self, day: Day, name: str, rate: float) -> None:
        self.day = day
        self.name = name
        self.rate = rate
        self.demand = {leaf: 0 for leaf in day.plan.leaves}
        self.start()

    def start(self) -> None:
        self.holders: dict[str, Holder] = {}
        self.buckets: dict[tuple[str, str], TokenBucket] = {}
        self.life = self.day.life()

    def now(self) -> int:
        return int(self.day.now * self.rate)

    def holder(self, pilot: str) -> Holder:
        if pilot not in self.holders:
            self.holders[pilot] = self.day.hold(
                dict.fromkeys(self.day.plan.leaves, 0), self.life, self.day.drift
            )
            for leaf in self.day.plan.leaves:
                self.buckets[pilot, leaf] = TokenBucket(BURST, self.day.drift, self.now())
        return self.holders[pilot]

    def lost(self, pilot: str) -> None:
        """The stream is gone: what it had from there is left behind; numbers stay, as this life goes on."""
        if pilot in self.holders:
            self.holders[pilot].drop()
            self.holders[pilot].lost()
            for leaf in self.day.plan.leaves:
                self.buckets[pilot, leaf].grant(self.now(), 0, 0)


class Day:
    """One day. `hub`, `giver`, `hold`: what is hosted, so that planted faults can be."""

    def __init__(
        self,
        seed: int,
        giver: Callable[..., Grantor] = Grantor,
        hub: Callable[..., Hub] = Hub,
        hold: type[Holder] = Holder,
        drift: float = 2 * CLOCKS_APART,
    ) -> None:
        self.draw = random.Random(f"shares {seed}")
        self.make, self.make_hub, self.hold, self.drift = giver, hub, hold, drift
        count = self.draw.randrange(2, PILOTS_MOST + 1)
        self.capacity = self.draw.choice((3, 10, 40)) * PARTS_PER_TOKEN
        floor = self.capacity // (count * self.draw.choice((2, 4))) // 2
        self.plan = Plan(
            [
                Budget("all", self.capacity),
                Budget("a", self.capacity, floor, "all"),
                Budget(
                    "b",
                    self.capacity * 2 // 3,
                    floor,
                    "all",
                    self.draw.choice((0, 1)),
                    self.draw.choice((1, 3)),
                ),
            ],
            count,
        )
        self.now = 10 * SECOND
        self.lives = 0
        self.drawn = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.rows: dict[tuple, Row] = {}
        self.before: dict[tuple, Row] = {}
        self.store_up = True
        self.giver = self.make(self.plan, STORE_LEASE, self.life(), self.now)
        self.pilots = [f"p{n}" for n in range(count)]
        self.rates = {name: 1 + self.draw.uniform(-CLOCKS_APART, CLOCKS_APART) for name in self.pilots}
        self.hubs: dict[str, Optional[Hub]] = {name: None for name in self.pilots}
        self.stopped: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.loss, self.doubled = self.draw.choice((0.0, 0.1)), self.draw.choice((0.0, 0.1))
        self.spends: list[tuple[int, str]] = []
        self.over = ""
        self.peak: Counter = Counter()
        self.used = 0
        for name in self.pilots:
            self.start(name)
        self.proxies = [
            Spender(self, f"x{n}", 1 + self.draw.uniform(-CLOCKS_APART, CLOCKS_APART))
            for n in range(self.draw.randrange(2, 9))
        ]
        for proxy in self.proxies:
            self.after(self.draw.randrange(SECOND), self._beat, proxy)
            self.after(self.draw.randrange(SECOND), self._spend, proxy)

    def life(self) -> int:
        self.lives += 1
        return self.lives

    # ---- time and messages

    def after(self, span: int, call: Callable[..., None], *args: Any) -> None:
        self.drawn += 1
        heapq.heappush(self.events, (self.now + max(1, span), self.drawn, call, args))

    def run(self, until: int) -> None:
        while self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = until

    def send(self, source: str, target: str, call: Callable[..., None], *args: Any) -> None:
        """Late as it likes, at times doubled or lost, each way by itself."""
        if (source, target) in self.cut or self.draw.random() < self.loss:
            return
        late = self.draw.choice((0.001, 0.001, 0.01, 0.4))
        self.after(int(self.draw.uniform(0.0002, late) * SECOND), call, *args)
        if self.draw.random() < self.doubled:
            self.after(int(self.draw.uniform(0.0002, 1.5) * SECOND), call, *args)

    def clock(self, pilot: str) -> int:
        return int(self.now * self.rates[pilot])

    # ---- pilots and the store

    def start(self, name: str) -> None:
        self.stopped.discard(name)
        hub = self.hubs[name] = self.make_hub(
            self.plan, self.life(), self.drift, PROXY_LEASE, self.clock(name)
        )
        hub.holder.__class__ = self.hold
        self.after(self.draw.randrange(1000), self._ask, name, hub)

    def _ask(self, name: str, hub: Hub) -> None:
        if self.hubs[name] is not hub:
            return
        if name not in self.stopped:
            number, wants = hub.holder.ask(self.clock(name), hub.demands(self.clock(name)))
            self.send(name, "store", self._store_hears, name, hub, hub.holder.era, number, wants)
        self.after(STORE_LEASE // 4, self._ask, name, hub)

    def _store_hears(self, name: str, hub: Hub, era: int, number: int, wants: list[ShareRequest]) -> None:
        if not self.store_up:
            return
        shares, rows = self.giver.ask(self.now, name, hub.holder.life, era, number, wants)
        if rows:
            self.before = dict(self.rows)
            self.rows.update({(row.budget, row.holder, row.life): row for row in rows})
        self.send("store", name, self._pilot_hears, name, hub, number, self.giver.era, shares)

    def _pilot_hears(self, name: str, hub: Hub, number: int, era: int, shares: list[Share]) -> None:
        if self.hubs[name] is not hub:
            return
        if name in self.stopped:
            self.after(SECOND // 10, self._pilot_hears, name, hub, number, era, shares)
        elif not hub.holder.on_answer(self.clock(name), number, era, shares) and era >= hub.holder.era:
            hub.holder.joined(era)

    def store_dies(self, short: bool, old: Optional[dict[tuple, Row]], span: int) -> None:
        self.store_up = False
        if old is not None:
            self.rows = dict(old)
        elif short:
            self.rows = dict(self.before)
        self.after(span, self._store_starts)

    def _store_starts(self) -> None:
        self.giver = self.make(self.plan, STORE_LEASE, self.life(), self.now, list(self.rows.values()))
        self.store_up = True

    # ---- proxies

    def _beat(self, proxy: Spender) -> None:
        for name in self.pilots:
            if self.hubs[name] is not None:
                holder = proxy.holder(name)
                number, wants = holder.ask(proxy.now(), proxy.demand)
                self.send(
                    proxy.name,
                    name,
                    self._hub_hears,
                    name,
                    self.hubs[name],
                    proxy,
                    proxy.life,
                    holder.era,
                    number,
                    wants,
                )
            elif name in proxy.holders:
                proxy.lost(name)
        self.after(PROXY_LEASE // 4, self._beat, proxy)

    def _hub_hears(
        self, name: str, hub: Hub, proxy: Spender, life: int, era: int, number: int, wants: list[ShareRequest]
    ) -> None:
        if self.hubs[name] is not hub:
            return
        if name in self.stopped:
            self.after(SECOND // 10, self._hub_hears, name, hub, proxy, life, era, number, wants)
            return
        shares, _ = hub.giver.ask(self.clock(name), proxy.name, life, era, number, wants)
        self.send(name, proxy.name, self._proxy_hears, name, proxy, life, number, hub.giver.era, shares)

    def _proxy_hears(
        self, name: str, proxy: Spender, life: int, number: int, era: int, shares: list[Share]
    ) -> None:
        if proxy.life != life:
            return
        holder, now = proxy.holder(name), proxy.now()
        if holder.on_answer(now, number, era, shares):
            for leaf in self.plan.leaves:
                proxy.buckets[name, leaf].grant(now, holder.right(now, leaf), holder.until(now, leaf))
            if not self.over:
                self._look()  # rights grow here and nowhere else
        elif era > holder.era:
            holder.joined(era)

    def _spend(self, proxy: Spender) -> None:
        now = proxy.now()
        for (_, leaf), bucket in proxy.buckets.items():
            while proxy.demand[leaf] and bucket.take(now):
                self.spends.append((self.now, leaf))
        self.after(SECOND // 50, self._spend, proxy)

    # ---- what holds

    def _look(self) -> None:
        sums = dict.fromkeys(self.plan.budgets, 0)
        for proxy in self.proxies:
            now = proxy.now()
            for holder in proxy.holders.values():
                for leaf in self.plan.leaves:
                    for budget in self.plan.ancestors[leaf]:
                        sums[budget] += holder.right(now, leaf)
        for name, total in sums.items():
            self.peak[name] = max(self.peak[name], total)
            if total > self.plan.budgets[name].capacity:
                self.over = f"{name}: {total} of {self.plan.budgets[name].capacity} parts at {self.now}"

    def overspent(self) -> str:
        """Whether any span holds more spends than the whole, its burst and a token a bucket allow, by the true clock."""
        for leaf in [None, *self.plan.leaves]:
            capacity = (self.capacity if leaf is None else self.plan.budgets[leaf].capacity) / PARTS_PER_TOKEN
            times = sorted(at for at, kind in self.spends if leaf in (None, kind))
            allowed = capacity * BURST / SECOND + len(self.proxies) * len(self.pilots) * (
                2 if leaf is None else 1
            )
            worst, at = beyond_rate(times, capacity)
            if worst > allowed + 1e-6:
                return f"{leaf or 'all'}: {worst:.1f} tokens over its rate, {allowed:.1f} allowed, at {at}"
        return ""


def fault(day: Day) -> str:
    """One fault by chance."""
    name, span = day.draw.choice(day.pilots), int(day.draw.uniform(0.2, 6) * SECOND)
    kind = day.draw.choice(
        (
            "kill",
            "kill both",
            "stop",
            "cut",
            "store",
            "short",
            "old",
            "flap",
            "at once",
            "shift",
            "shift",
            "shift",
            "proxy",
        )
    )
    if kind == "at once":  # so soon that no proxy has seen the former life go
        day.start(name)
    elif kind in ("kill", "kill both", "flap"):
        if day.hubs[name] is None:
            return "nothing"
        day.hubs[name] = None
        if kind == "kill both":
            day.store_dies(False, None, span // 2)
        day.after(SECOND // 3 if kind == "flap" else span, day.start, name)
    elif kind == "stop":
        day.stopped.add(name)
        day.after(span, day.stopped.discard, name)
    elif kind == "cut":
        way = day.draw.choice(((name, "store"), ("store", name)))
        day.cut.add(way)
        day.after(span, day.cut.discard, way)
    elif kind in ("store", "short", "old"):
        day.store_dies(kind == "short", {} if kind == "old" else None, span // 3)
    elif kind == "shift":
        one = day.draw.choice(day.proxies)
        for proxy in day.proxies:
            heavy = proxy is one
            proxy.demand = {
                leaf: day.draw.choice((0, day.capacity * 2)) if heavy else day.capacity // 20
                for leaf in day.plan.leaves
            }
    elif kind == "proxy":
        day.draw.choice(day.proxies).start()
    return f"{kind} {name} {span / SECOND:.1f}"


def play(seed: int, **made: Any) -> tuple[Day, list[str]]:
    """A day of some twenty faults; then all demand is constant for ten seconds and the use of the whole is counted."""
    day, told = Day(seed, **made), []
    for proxy in day.proxies:
        proxy.demand = {
            leaf: day.draw.choice((0, day.capacity // 2, day.capacity * 2)) for leaf in day.plan.leaves
        }
    day.run(day.now + 6 * SECOND)
    for _ in range(20):
        told.append(fault(day))
        day.run(day.now + int(day.draw.uniform(0, 3) * SECOND))
    day.run(day.now + 8 * SECOND)
    for proxy in day.proxies:
        proxy.demand = dict.fromkeys(day.plan.leaves, day.capacity * 2)
    day.cut.clear()
    day.run(day.now + 4 * STORE_LEASE)
    before = len(day.spends)
    day.run(day.now + 10 * SECOND)
    day.used = len(day.spends) - before
    return day, told
