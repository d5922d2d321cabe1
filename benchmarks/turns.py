"""The module alone at fleets of several sizes: how long its turns take while a fifth of the endpoints drains at once.

A made-up fleet tells a `Pilot` what a real one would hear: a list, slices with their owners, proxies that join, their acks
0.1 to 0.4 s after each turn, and every 2 s the sums of four zones, each zone's in one go. Ten seconds in, a fifth of the
endpoints drain. Time is made up, cost is measured: each turn's, that of the inputs, and their share of a core at a beat of
25 ms. With `--former REV` the module of that commit goes through the same inputs in the same run, and all decisions are
compared, one by one. The machine's own baseline is how long it takes for a fixed piece of Python.

    python -m benchmarks.turns [--former REV] [--sizes 300x2100x200,1000x10000x500,2000x20000x500] [--seconds 30]

With `--rough SEEDS` (such as 1-200) it compares decisions alone: small fleets in which endpoints, proxies, slices, lists, ways
and sums fail as the seed says.

    python -m benchmarks.turns --former REV --rough 1-200
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import hashlib
import heapq
import importlib.util
import os
import random
import subprocess
import sys
import tempfile
import time
from types import ModuleType
from typing import Any, Optional

import cedarshift.brain
from benchmarks.fixtures import percentile
from cedarshift.interface import DecisionConfig, Entry, OpType

SECOND = 10_000  # tenths of a millisecond
ZONES = ("a", "b", "c", "d")
BEGIN = 100_000 * SECOND  # the day's begin: clocks of machines do not start at nought
DRAIN_AT = BEGIN + 10 * SECOND
PERIOD = 2 * SECOND  # between two sums of a zone
OPS_A_SLICE = 6  # ops of a slice in a period, on average


def terms(slices: int, proxies: int) -> DecisionConfig:
    """Of the first users' platform, with a channel that grows with the proxies: heads fill 0.3 of it, as theirs do."""
    lines_per_s = 40.0 * proxies
    return DecisionConfig(
        op_types=(
            OpType("fetch", 20_000, 60_000, False, False),
            OpType("order", 20_000, 30_000, True, False),
        ),
        zones=ZONES,
        slices=slices,
        single_owner=True,
        seed=7,
        lines_per_message=16,
        lines_waiting_most=55 * proxies,
        lines_per_s=lines_per_s,
        transit_most=5_000,
        connect_most=2_000,
        report_period=PERIOD,
        lease=8_000,
        in_flight_most=30_000,
        drain_grace=80_000,
        warm_within=150_000,
        cold_share=0.18,
        tip_multiple=3.0,
    )


class Day:
    """Inputs from a seed, the same whatever module hears them as long as it decides the same."""

    def __init__(self, module: ModuleType, endpoints: int, slices: int, proxies: int) -> None:
        self.chance = random.Random(11)
        self.endpoints, self.slices, self.proxies = endpoints, slices, proxies
        self.pilot = module.Pilot(terms(slices, proxies))
        self.owner = {n: f"e{n % endpoints:05d}" for n in range(slices)}
        self.due: list[tuple[int, int, str, Any]] = []  # (at, number, kind, what)
        self.drawn = 0
        self.digest = hashlib.blake2b(digest_size=16)
        self.decided = 0
        self.turns: list[float] = []  # s; the cost of each pull of all decisions
        self.inputs: list[float] = []  # s; the cost of all that was told at one time

    def at(self, when: int, kind: str, what: Any) -> None:
        self.drawn += 1
        heapq.heappush(self.due, (when, self.drawn, kind, what))

    def begin(self) -> None:
        pilot = self.pilot
        pilot.on_list(BEGIN, "replace", [self.entry(n, "on") for n in range(self.endpoints)])
        for n, owner in self.owner.items():
            pilot.on_slice_assigned(BEGIN, n, True)
            pilot.on_stored_owner(BEGIN, n, owner)
        for n in range(self.proxies):
            pilot.on_join(BEGIN, n, ZONES[n % 4])
        for n, zone in enumerate(ZONES):
            self.at(BEGIN + SECOND // 2 + n * PERIOD // 4, "sums", zone)
        self.at(DRAIN_AT, "drain", None)
        self.at(BEGIN, "beat", 0)

    def entry(self, n: int, phase: str) -> Entry:
        return Entry(f"e{n:05d}", phase, 1.0, ZONES[n % 4], None)

    def play(self, seconds: int) -> None:
        self.begin()
        while self.due[0][0] < BEGIN + seconds * SECOND:
            now = self.due[0][0]
            begun = time.perf_counter()
            while self.due[0][0] == now:
                _, _, kind, what = heapq.heappop(self.due)
                if kind == "sums":
                    begun += self.sums(now, what)
                elif kind == "drain":
                    self.pilot.on_list(
                        now, "changes", [self.entry(n, "fading") for n in range(0, self.endpoints, 5)]
                    )
                elif kind == "trouble":
                    self.trouble(now)
                elif kind == "acks":
                    for proxy, mark, took in what:
                        self.pilot.on_ack(now, proxy, mark, took)
                else:
                    self.pilot.on_alarm(now, what)
                if not self.due:
                    break
            told = time.perf_counter()
            decided = []
            while (decision := self.pilot.next_decision(now)) is not None:
                decided.append(decision)
            self.turns.append(time.perf_counter() - told)
            self.inputs.append(told - begun)
            self.carry_out(now, decided)

    def trouble(self, now: int) -> None:
        raise NotImplementedError("a plain day has no troubles")

    def sums(self, now: int, zone: str) -> float:
        """Tells a zone's sums, a quarter of the slices' with each; returns the cost of making them up (s), which is not the
        module's."""
        begun = time.perf_counter()
        met, heat = [], []
        for n in range(self.endpoints):
            tries = self.chance.randrange(5, 30)
            slow = 6.0 if n % 37 == 3 else 1.0
            met.append(
                (
                    f"e{n:05d}",
                    tries,
                    self.chance.randrange(3) if slow > 1 else 0,
                    int(slow * self.chance.randrange(1_500, 4_500)),
                )
            )
        for n in range(ZONES.index(zone), self.slices, 4):
            for op_type in ("fetch", "order"):
                heat.append((n, op_type, self.chance.randrange(2 * OPS_A_SLICE)))
        made = time.perf_counter() - begun
        for name, tries, aborted, took in met:
            self.pilot.on_endpoint_report(now, name, zone, tries, aborted, took, PERIOD)
        for number, op_type, ops in heat:
            self.pilot.on_slice_report(now, number, op_type, ops, 0, PERIOD)
        self.at(now + PERIOD, "sums", zone)
        return made

    def carry_out(self, now: int, decided: list[tuple]) -> None:
        for decision in decided:
            self.digest.update(repr((now, decision)).encode())
            self.decided += 1
            if decision[0] == "wake":
                self.at(now + decision[1], "beat", decision[2])
            elif decision[0] == "mark":
                acks: dict[int, list[tuple[int, int, int]]] = {}
                for proxy in range(self.proxies):
                    took = self.chance.randrange(1_000, 4_000) // 50 * 50
                    acks.setdefault(now + took, []).append((proxy, decision[1], took))
                for when, some in acks.items():
                    self.at(when, "acks", some)


class RoughDay(Day):
    """A small fleet in which everything fails, as its seed says."""

    def __init__(self, module: ModuleType, seed: int) -> None:
        draw = random.Random(seed)
        super().__init__(module, draw.randrange(2, 24), draw.randrange(4, 90), draw.randrange(1, 20))
        self.chance = draw
        pilots = draw.randrange(1, 4)
        self.pilot = module.Pilot(
            dataclasses.replace(
                terms(self.slices, self.proxies),
                pilots=pilots,
                pilot_index=draw.randrange(pilots),
                seed=seed,
                gone_binds=draw.random() < 0.5,
                asks_list=draw.random() < 0.5,
                levels=draw.choice(("fraction", "none")),
                single_owner=draw.random() < 0.8,
                report_period=draw.choice((5_000, PERIOD, 50_000)),
                lines_waiting_most=draw.choice((25, 60, 400)) * self.proxies,
                ask_within=100_000,
            )
        )
        self.lossy = {(draw.choice(ZONES), draw.choice(ZONES)) for _ in range(draw.randrange(3))}
        self.failing: set[int] = set()
        self.joined = set(range(self.proxies))
        self.starts: dict[int, int] = {}
        self.phases: dict[int, str] = {}

    def begin(self) -> None:
        super().begin()
        for n in range(120):
            self.at(BEGIN + self.chance.randrange(400_000), "trouble", None)

    def entry(self, n: int, phase: str) -> Entry:
        return Entry(f"e{n:05d}", phase, 0.5 + n % 3, ZONES[n % 4], self.starts.get(n), n % 5 * 100)

    def trouble(self, now: int) -> None:
        draw, pilot = self.chance, self.pilot
        kind, n = draw.randrange(10), draw.randrange(self.endpoints)
        if kind <= 2:
            some = {n, *(draw.randrange(self.endpoints) for _ in range(draw.randrange(3)))}
            for one in some:
                self.phases[one] = draw.choice(("on", "on", "fading", "off"))
                if self.phases[one] == "on" and draw.random() < 0.6:
                    self.starts[one] = now - draw.randrange(20_000)
            pilot.on_list(now, "update", [self.entry(one, self.phases[one]) for one in sorted(some)])
        elif kind == 3:
            named = [one for one in range(self.endpoints) if draw.random() < 0.8]
            pilot.on_list(
                now, draw.choice(("replace", "unavailable")), [self.entry(one, "on") for one in named]
            )
        elif kind == 4:
            self.failing ^= {n}
        elif kind == 5:
            self.lossy ^= {(draw.choice(ZONES), draw.choice(ZONES))}
        elif kind == 6:
            proxy = draw.randrange(self.proxies)
            if proxy in self.joined:
                pilot.on_leave(now, proxy)
            else:
                pilot.on_join(now, proxy, ZONES[proxy % 4])
            self.joined ^= {proxy}
        elif kind == 7:
            number = draw.randrange(self.slices)
            pilot.on_slice_assigned(now, number, draw.random() < 0.7)
            if draw.random() < 0.6:
                pilot.on_stored_owner(now, number, f"e{n:05d}")
        elif kind == 8:
            pilot.on_sick_warning(now, f"e{n:05d}", now + draw.randrange(100_000))

    def sums(self, now: int, zone: str) -> float:
        draw = self.chance
        for n in range(self.endpoints):
            if draw.random() < 0.1:
                continue
            tries = draw.randrange(1, 60)
            lost = 0.5 if (zone, ZONES[n % 4]) in self.lossy else 1.0 if n in self.failing else 0.01
            aborted = sum(draw.random() < lost for _ in range(tries))
            took = 0 if aborted == tries else draw.randrange(300, 9_000) * (3 if n % 5 == 1 else 1)
            self.pilot.on_endpoint_report(now, f"e{n:05d}", zone, tries, aborted, took, PERIOD)
        for n in range(self.slices):
            if draw.random() < 0.3:
                self.pilot.on_slice_report(
                    now, n, draw.choice(("fetch", "order")), draw.randrange(80), draw.randrange(5), PERIOD
                )
        self.at(now + PERIOD, "sums", zone)
        return 0.0


def rough(seeds: str, former_module: ModuleType) -> int:
    """How many seeds decide otherwise."""
    first, _, last = seeds.partition("-")
    differing, decided = [], 0
    for seed in range(int(first), int(last or first) + 1):
        found = []
        for module in (cedarshift.brain, former_module):
            day = RoughDay(module, seed)
            day.play(40)
            found.append(day.digest.digest())
            decided += day.decided
        if found[0] != found[1]:
            differing.append(seed)
    print(f"rough days {seeds}: {decided} decisions, seeds that differ: {differing or 'none'}")
    return len(differing)


def former(rev: str) -> ModuleType:
    """The module as it was at a commit."""
    text = subprocess.run(
        ["git", "show", f"{rev}:cedarshift/brain.py"], check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "former_brain.py")
        with open(path, "wb") as out:
            out.write(text)
        spec = importlib.util.spec_from_file_location("former_brain", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["former_brain"] = module
        spec.loader.exec_module(module)
    return module


def baseline() -> float:
    begun = time.perf_counter()
    sum(n * n % 7 for n in range(3_000_000))
    return time.perf_counter() - begun


def measure(name: str, module: ModuleType, size: tuple[int, int, int], seconds: int) -> tuple[str, int]:
    day = Day(module, *size)
    gc.collect()
    day.play(seconds)
    ms = [1_000 * cost for cost in day.turns]
    inputs = 1_000 * sum(day.inputs)
    share = (sum(ms) + inputs) / (1_000 * seconds)
    owned = sum(s.state == "owned" for s in day.pilot.slices.values())
    print(
        f"{name:>10} {size[0]:>6} x {size[1]:>6} x {size[2]:>4}: turns p50 {percentile(ms, 0.5):7.2f} ms  "
        f"p99 {percentile(ms, 0.99):7.2f}  longest {max(ms):7.2f}  inputs {inputs / seconds:6.2f} ms/s  "
        f"share of a core {100 * share:5.1f}%  decisions {day.decided}, slices owned {owned}",
        flush=True,
    )
    return day.digest.hexdigest(), day.decided


def main(arguments: Optional[list[str]] = None) -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--former", default="")
    parser.add_argument("--sizes", default="300x2100x200,1000x10000x500,2000x20000x500")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--rough", default="")
    args = parser.parse_args(arguments)
    if args.rough:
        return 1 if rough(args.rough, former(args.former)) else 0
    print(f"baseline: {baseline():.3f} s for the fixed piece of Python")
    alike = True
    for text in args.sizes.split(","):
        endpoints, slices, proxies = (int(part) for part in text.split("x"))
        found = [measure("now", cedarshift.brain, (endpoints, slices, proxies), args.seconds)]
        if args.former:
            found.append(
                measure(args.former[:10], former(args.former), (endpoints, slices, proxies), args.seconds)
            )
            alike = alike and found[0] == found[1]
            print(f"{'':>10} decisions {'alike, one by one' if found[0] == found[1] else 'DIFFER'}")
    return 0 if alike else 1


if __name__ == "__main__":
    sys.exit(main())
