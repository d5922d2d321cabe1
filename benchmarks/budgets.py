"""Division of one budget among pilots and proxies, on a virtual clock: how much of the whole is used when demand is skewed and moves, how
soon a dead pilot's share is in use again, how fair it is, and what it costs; beside it three plain ways on the same demand.

`python -m benchmarks.budgets [--sizes 3x60,10x200,50x1000] [--plot FILE.png]`
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
from typing import Any, Callable

from cedarshift.judge.budgets import Budget, Grantor, Holder, Hub, Plan, max_min_shares
from cedarshift.judge.spending import PARTS_PER_TOKEN, SECOND

LEASE, PROXY_LEASE = 3 * SECOND, SECOND
DRIFT = 0.02
STEP = SECOND // 20
MOVES_AT, DIES_AT, ENDS_AT = 30 * SECOND, 50 * SECOND, 70 * SECOND
WHOLE = 1_000  # tokens a second


class Fleet:
    """Proxies spend as fast as they may, by what they are let have; nothing is lost on the way."""

    def __init__(self, pilots: int, proxies: int, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now, self.drawn = 0, 0
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.plan = Plan(
            [Budget("again", WHOLE * PARTS_PER_TOKEN, WHOLE * PARTS_PER_TOKEN // (10 * pilots))], pilots
        )
        self.giver = Grantor(self.plan, LEASE, 1, -2 * LEASE)
        self.hubs = {f"p{n}": Hub(self.plan, n + 1, DRIFT, PROXY_LEASE, -2 * LEASE) for n in range(pilots)}
        self.names = [f"x{n}" for n in range(proxies)]
        self.home = {name: f"p{n % pilots}" for n, name in enumerate(self.names)}
        self.holders = {name: Holder({"again": 0}, n + 1, DRIFT) for n, name in enumerate(self.names)}
        self.demand = self.skewed(0)
        self.messages = 0
        self.cpu_store = self.cpu_pilots = 0.0
        self.over = 0
        for hub in self.hubs.values():
            hub.holder.joined(1)
            self.after(self.chance.randrange(LEASE // 4), self.ask_store, hub)
        for name in self.names:
            self.after(self.chance.randrange(PROXY_LEASE // 4), self.ask_pilot, name)

    def skewed(self, turn: int) -> dict[str, int]:
        """A tenth of the proxies have nine tenths of a demand of twice the whole."""
        heavy = set(self.names[turn::10])
        most, least = 2 * WHOLE * 0.9 / len(heavy), 2 * WHOLE * 0.1 / (len(self.names) - len(heavy))
        return {name: int((most if name in heavy else least) * PARTS_PER_TOKEN) for name in self.names}

    def after(self, span: int, call: Callable[..., None], *args: Any) -> None:
        self.drawn += 1
        heapq.heappush(self.events, (self.now + span, self.drawn, call, args))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = until

    def delay(self) -> int:
        return self.chance.randrange(500, 5_000)

    def ask_store(self, hub: Hub) -> None:
        if hub not in self.hubs.values():
            return
        begun = time.process_time()
        number, wants = hub.holder.ask(self.now, hub.demands(self.now), len(hub.giver.accounts))
        self.cpu_pilots += time.process_time() - begun
        self.messages += 2
        self.after(self.delay(), self.at_store, hub, number, wants)
        self.after(LEASE // 4, self.ask_store, hub)

    def at_store(self, hub: Hub, number: int, wants: list) -> None:
        begun = time.process_time()
        shares, _ = self.giver.ask(self.now, f"p{hub.holder.life}", hub.holder.life, 1, number, wants)
        self.cpu_store += time.process_time() - begun
        self.after(self.delay(), lambda: hub.holder.on_answer(self.now, number, 1, shares))

    def ask_pilot(self, name: str) -> None:
        hub, holder = self.hubs.get(self.home[name]), self.holders[name]
        if hub is not None:
            holder.joined(hub.giver.era)
            number, wants = holder.ask(self.now, {"again": self.demand[name]})
            self.messages += 2
            self.after(self.delay(), self.at_pilot, hub, name, number, wants)
        self.after(PROXY_LEASE // 4, self.ask_pilot, name)

    def at_pilot(self, hub: Hub, name: str, number: int, wants: list) -> None:
        begun = time.process_time()
        shares, _ = hub.giver.ask(self.now, name, self.holders[name].life, hub.giver.era, number, wants)
        self.cpu_pilots += time.process_time() - begun
        self.after(
            self.delay(), lambda: self.holders[name].on_answer(self.now, number, hub.giver.era, shares)
        )

    def kill(self, pilot: str) -> int:
        """Its proxies go to others 300 ms later; what the pilot had. They take nothing with them."""
        had = self.hubs.pop(pilot).holder.right(self.now, "again")
        others = sorted(self.hubs)
        for at, name in enumerate(name for name in self.names if self.home[name] == pilot):
            self.holders[name].drop()
            self.holders[name].lost()
            self.home[name] = ""
            self.after(
                300_000, lambda name=name, at=at: self.home.__setitem__(name, others[at % len(others)])
            )
        return had

    def used(self) -> dict[str, int]:
        """Parts a second that each proxy spends now."""
        found = {
            name: min(self.demand[name], self.holders[name].right(self.now, "again")) for name in self.names
        }
        self.over = max(
            self.over,
            sum(holder.right(self.now, "again") for holder in self.holders.values())
            - WHOLE * PARTS_PER_TOKEN,
        )
        return found


def play(pilots: int, proxies: int, seed: int) -> dict[str, Any]:
    fleet, curve = Fleet(pilots, proxies, seed), []
    found: dict[str, Any] = {}
    while fleet.now < ENDS_AT:
        if fleet.now == MOVES_AT:
            ideal = max_min_shares(WHOLE * PARTS_PER_TOKEN, fleet.demand)
            got = fleet.used()
            scale = sum(got.values()) / (WHOLE * PARTS_PER_TOKEN)
            found["unfair"] = (
                sum(abs(got[name] - ideal[name] * scale) for name in ideal) / 2 / (WHOLE * PARTS_PER_TOKEN)
            )
            found["before"] = sum(got.values()) / (WHOLE * PARTS_PER_TOKEN)
            fleet.demand = fleet.skewed(3)
        if fleet.now == DIES_AT:
            found["after_move"] = curve[-1][1]
            fleet.kill(
                max(fleet.hubs, key=lambda name: (fleet.hubs[name].holder.right(fleet.now, "again"), name))
            )
        fleet.run(fleet.now + STEP)
        curve.append((fleet.now / SECOND, sum(fleet.used().values()) / (WHOLE * PARTS_PER_TOKEN)))
    floor = fleet.plan.budgets["again"].floor / (WHOLE * PARTS_PER_TOKEN)
    found["moved_in"] = _since(curve, MOVES_AT, 0.95)
    found["again_in"] = _since(curve, DIES_AT, 0.95 * (1 - floor))
    found["two_leases"] = next(used for at, used in curve if at * SECOND >= MOVES_AT + 2 * LEASE)
    found["over"], found["curve"] = fleet.over, curve
    seconds = ENDS_AT / SECOND
    found["messages"] = fleet.messages / 2 / pilots / seconds
    found["cpu_pilot"] = fleet.cpu_pilots / pilots / seconds
    found["cpu_store"] = fleet.cpu_store / seconds
    return found


def _since(curve: list[tuple[float, float]], begin: int, least: float) -> float:
    """Seconds from `begin` until the last time that less was used, up to ten seconds."""
    late = [at for at, used in curve if begin < at * SECOND <= begin + 10 * SECOND and used < least]
    return round(max(late, default=begin / SECOND) - begin / SECOND, 2)


def plain(proxies: int) -> list[tuple[str, float, float, str]]:
    """Name, part of the whole that is used under the same demand, the greatest overspend, what it costs."""
    names = range(proxies)
    heavy = [n for n in names if n % 10 == 0]
    demand = {
        n: (2 * WHOLE * 0.9 / len(heavy) if n % 10 == 0 else 2 * WHOLE * 0.1 / (proxies - len(heavy)))
        for n in names
    }
    equal = sum(min(demand[n], WHOLE / proxies) for n in names) / WHOLE
    return [
        ("fixed equal parts", equal, 0.0, "nothing"),
        ("each alone, no limit", 1.0, sum(demand.values()) / WHOLE - 1, "nothing"),
        (
            "the store asked for each token",
            1.0,
            0.0,
            f"{2 * sum(demand.values()):,.0f} messages a second at the store",
        ),
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3x60,10x200,50x1000")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", default="")
    args = parser.parse_args()
    print(
        "pilots x proxies | used before / 2 leases after the move / at its end | 95% after the move, after a death (s) | unfair | over |"
        " messages, CPU ms a pilot and s | CPU ms the store and s"
    )
    curves = {}
    for size in args.sizes.split(","):
        pilots, proxies = map(int, size.split("x"))
        runs = [play(pilots, proxies, seed) for seed in range(1, args.seeds + 1)]
        worst = {
            name: (min if name in ("before", "two_leases", "after_move") else max)(run[name] for run in runs)
            for name in runs[0]
            if name != "curve"
        }
        curves[size] = runs[0]["curve"]
        print(
            f"{size} | {worst['before']:.3f} / {worst['two_leases']:.3f} / {worst['after_move']:.3f} | {worst['moved_in']}, {worst['again_in']} "
            f"| {worst['unfair']:.3f} | {max(0, worst['over'])} | {worst['messages']:.1f}, {worst['cpu_pilot'] * 1e3:.2f} "
            f"| {worst['cpu_store'] * 1e3:.2f}",
            flush=True,
        )
    for name, used, over, cost in plain(200):
        print(f"{name}: used {used:.3f}, over {over:.2f} of the whole, costs {cost}")
    if args.plot:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        _, axes = pyplot.subplots(figsize=(8, 4))
        for size, curve in curves.items():
            axes.plot(
                [at for at, _ in curve], [used for _, used in curve], label=f"{size} (pilots x proxies)"
            )
        axes.axvline(MOVES_AT / SECOND, linestyle=":", color="grey")
        axes.axvline(DIES_AT / SECOND, linestyle="--", color="grey")
        axes.set(
            xlabel="s; dotted: demand moves, dashed: a pilot dies",
            ylabel="part of the whole in use",
            ylim=(0, 1.05),
        )
        axes.legend()
        pyplot.savefig(args.plot, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
