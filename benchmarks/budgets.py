"""Division of a budget among pilots and proxies on a virtual clock, compared with three simple baselines.

Measures the utilization under skewed and shifting demand, the time until a dead pilot's share is in use
again, fairness, and the cost in messages and CPU.

    python -m benchmarks.budgets [--sizes 3x60,10x200,50x1000] [--plot FILE.png]
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
from typing import Any, Callable

from cedarshift.judge.budgets import Budget, Grantor, Holder, Hub, Plan, max_min_shares
from cedarshift.judge.spending import PARTS_PER_TOKEN, SECOND

PILOT_LEASE_US, PROXY_LEASE_US = 3 * SECOND, SECOND
MAX_CLOCK_DRIFT = 0.02
STEP_US = SECOND // 20
DEMAND_SHIFT_US, PILOT_DEATH_US, END_US = 30 * SECOND, 50 * SECOND, 70 * SECOND
BUDGET_TOKENS_PER_S = 1_000


class Fleet:
    """Simulated store, pilots and proxies; proxies spend all they are granted and no message is lost."""

    def __init__(self, pilots: int, proxies: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self.event_number = 0, 0
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.plan = Plan(
            [
                Budget(
                    "again",
                    BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN,
                    BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN // (10 * pilots),
                )
            ],
            pilots,
        )
        self.grantor = Grantor(self.plan, PILOT_LEASE_US, 1, -2 * PILOT_LEASE_US)
        self.hubs = {
            f"p{n}": Hub(self.plan, n + 1, MAX_CLOCK_DRIFT, PROXY_LEASE_US, -2 * PILOT_LEASE_US)
            for n in range(pilots)
        }
        self.names = [f"x{n}" for n in range(proxies)]
        self.home = {name: f"p{n % pilots}" for n, name in enumerate(self.names)}
        self.holders = {
            name: Holder({"again": 0}, n + 1, MAX_CLOCK_DRIFT) for n, name in enumerate(self.names)
        }
        self.demand = self.skewed_demand(0)
        self.messages = 0
        self.cpu_store = self.cpu_pilots = 0.0
        self.max_overspend = 0
        for hub in self.hubs.values():
            hub.holder.joined(1)
            self.schedule(self.rng.randrange(PILOT_LEASE_US // 4), self.ask_store, hub)
        for name in self.names:
            self.schedule(self.rng.randrange(PROXY_LEASE_US // 4), self.ask_pilot, name)

    def skewed_demand(self, shift: int) -> dict[str, int]:
        """Returns a total demand of twice the budget, 90% of it from a tenth of the proxies."""
        heavy = set(self.names[shift::10])
        heavy_demand, light_demand = (
            2 * BUDGET_TOKENS_PER_S * 0.9 / len(heavy),
            2 * BUDGET_TOKENS_PER_S * 0.1 / (len(self.names) - len(heavy)),
        )
        return {
            name: int((heavy_demand if name in heavy else light_demand) * PARTS_PER_TOKEN)
            for name in self.names
        }

    def schedule(self, delay_us: int, call: Callable[..., None], *args: Any) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now + delay_us, self.event_number, call, args))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = until

    def delay(self) -> int:
        return self.rng.randrange(500, 5_000)

    def ask_store(self, hub: Hub) -> None:
        if hub not in self.hubs.values():
            return
        started_at = time.process_time()
        number, requested = hub.holder.ask(self.now, hub.demands(self.now), len(hub.giver.accounts))
        self.cpu_pilots += time.process_time() - started_at
        self.messages += 2
        self.schedule(self.delay(), self.on_store_request, hub, number, requested)
        self.schedule(PILOT_LEASE_US // 4, self.ask_store, hub)

    def on_store_request(self, hub: Hub, number: int, requested: list) -> None:
        started_at = time.process_time()
        shares, _ = self.grantor.ask(self.now, f"p{hub.holder.life}", hub.holder.life, 1, number, requested)
        self.cpu_store += time.process_time() - started_at
        self.schedule(self.delay(), lambda: hub.holder.on_answer(self.now, number, 1, shares))

    def ask_pilot(self, name: str) -> None:
        hub, holder = self.hubs.get(self.home[name]), self.holders[name]
        if hub is not None:
            holder.joined(hub.giver.era)
            number, requested = holder.ask(self.now, {"again": self.demand[name]})
            self.messages += 2
            self.schedule(self.delay(), self.on_pilot_request, hub, name, number, requested)
        self.schedule(PROXY_LEASE_US // 4, self.ask_pilot, name)

    def on_pilot_request(self, hub: Hub, name: str, number: int, requested: list) -> None:
        started_at = time.process_time()
        shares, _ = hub.giver.ask(self.now, name, self.holders[name].life, hub.giver.era, number, requested)
        self.cpu_pilots += time.process_time() - started_at
        self.schedule(
            self.delay(), lambda: self.holders[name].on_answer(self.now, number, hub.giver.era, shares)
        )

    def kill(self, pilot: str) -> int:
        """Removes the pilot and returns its share; its proxies drop theirs and join others after 300 ms."""
        share = self.hubs.pop(pilot).holder.right(self.now, "again")
        others = sorted(self.hubs)
        for at, name in enumerate(name for name in self.names if self.home[name] == pilot):
            self.holders[name].drop()
            self.holders[name].lost()
            self.home[name] = ""
            self.schedule(
                300_000, lambda name=name, at=at: self.home.__setitem__(name, others[at % len(others)])
            )
        return share

    def spending(self) -> dict[str, int]:
        """Returns each proxy's current spending in parts per second and updates the greatest overspend."""
        results = {
            name: min(self.demand[name], self.holders[name].right(self.now, "again")) for name in self.names
        }
        self.max_overspend = max(
            self.max_overspend,
            sum(holder.right(self.now, "again") for holder in self.holders.values())
            - BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN,
        )
        return results


def play(pilots: int, proxies: int, seed: int) -> dict[str, Any]:
    """Simulates one fleet and returns its measurements."""
    fleet, curve = Fleet(pilots, proxies, seed), []
    results: dict[str, Any] = {}
    while fleet.now < END_US:
        if fleet.now == DEMAND_SHIFT_US:
            ideal = max_min_shares(BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN, fleet.demand)
            actual = fleet.spending()
            scale = sum(actual.values()) / (BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN)
            results["unfair"] = (
                sum(abs(actual[name] - ideal[name] * scale) for name in ideal)
                / 2
                / (BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN)
            )
            results["before"] = sum(actual.values()) / (BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN)
            fleet.demand = fleet.skewed_demand(3)
        if fleet.now == PILOT_DEATH_US:
            results["after_move"] = curve[-1][1]
            fleet.kill(
                max(fleet.hubs, key=lambda name: (fleet.hubs[name].holder.right(fleet.now, "again"), name))
            )
        fleet.run(fleet.now + STEP_US)
        curve.append(
            (fleet.now / SECOND, sum(fleet.spending().values()) / (BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN))
        )
    floor = fleet.plan.budgets["again"].floor / (BUDGET_TOKENS_PER_S * PARTS_PER_TOKEN)
    results["moved_in"] = _recovery_time_s(curve, DEMAND_SHIFT_US, 0.95)
    results["again_in"] = _recovery_time_s(curve, PILOT_DEATH_US, 0.95 * (1 - floor))
    results["two_leases"] = next(
        used for at, used in curve if at * SECOND >= DEMAND_SHIFT_US + 2 * PILOT_LEASE_US
    )
    results["over"], results["curve"] = fleet.max_overspend, curve
    seconds = END_US / SECOND
    results["messages"] = fleet.messages / 2 / pilots / seconds
    results["cpu_pilot"] = fleet.cpu_pilots / pilots / seconds
    results["cpu_store"] = fleet.cpu_store / seconds
    return results


def _recovery_time_s(curve: list[tuple[float, float]], begin: int, min_used: float) -> float:
    """Returns the seconds from `begin` until utilization stays at `min_used` or above, up to ten."""
    late = [at for at, used in curve if begin < at * SECOND <= begin + 10 * SECOND and used < min_used]
    return round(max(late, default=begin / SECOND) - begin / SECOND, 2)


def baselines(proxies: int) -> list[tuple[str, float, float, str]]:
    """Returns (name, utilization, greatest overspend, cost) of each simple baseline."""
    names = range(proxies)
    heavy = [n for n in names if n % 10 == 0]
    demand = {
        n: (
            2 * BUDGET_TOKENS_PER_S * 0.9 / len(heavy)
            if n % 10 == 0
            else 2 * BUDGET_TOKENS_PER_S * 0.1 / (proxies - len(heavy))
        )
        for n in names
    }
    equal = sum(min(demand[n], BUDGET_TOKENS_PER_S / proxies) for n in names) / BUDGET_TOKENS_PER_S
    return [
        ("fixed equal parts", equal, 0.0, "nothing"),
        ("each alone, no limit", 1.0, sum(demand.values()) / BUDGET_TOKENS_PER_S - 1, "nothing"),
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
        "pilots x proxies | used before / 2 leases after the move / at its end | 95% after the move, "
        "after a death (s) | unfair | over |"
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
            f"{size} | {worst['before']:.3f} / {worst['two_leases']:.3f} / {worst['after_move']:.3f} | "
            f"{worst['moved_in']}, {worst['again_in']} "
            f"| {worst['unfair']:.3f} | {max(0, worst['over'])} | {worst['messages']:.1f}, "
            f"{worst['cpu_pilot'] * 1e3:.2f} "
            f"| {worst['cpu_store'] * 1e3:.2f}",
            flush=True,
        )
    for name, used, over, cost in baselines(200):
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
        axes.axvline(DEMAND_SHIFT_US / SECOND, linestyle=":", color="grey")
        axes.axvline(PILOT_DEATH_US / SECOND, linestyle="--", color="grey")
        axes.set(
            xlabel="s; dotted: demand moves, dashed: a pilot dies",
            ylabel="part of the whole in use",
            ylim=(0, 1.05),
        )
        axes.legend()
        pyplot.savefig(args.plot, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
