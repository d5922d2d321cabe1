"""CPU cost of the decision module's turns at several fleet sizes while a fifth of the endpoints drains.

A synthetic fleet feeds a `Pilot` with an endpoint list, slice owners, joining proxies, acks 0.1 to 0.4 s
after each turn, and the statistics of four zones every 2 s. The endpoints drain after ten seconds. Time is
simulated, cost is measured: of each turn, of the inputs, and as a share of a core. With `--former REV` the
module of that commit receives the same inputs in the same run and all decisions are compared. A fixed
computation serves as a baseline of the machine.

    python -m benchmarks.turns [--former REV] [--seconds 30]
        [--sizes 300x2100x200,1000x10000x500,2000x20000x500]

`--rough SEEDS` (such as 1-200) compares decisions only, on small fleets with seeded failures of endpoints,
proxies, slices, lists, paths and reports.

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
START_AT = 100_000 * SECOND  # not zero, as on a real clock
DRAIN_AT = START_AT + 10 * SECOND
REPORT_PERIOD = 2 * SECOND  # between two reports of a zone
OPS_PER_SLICE = 6  # average per report period


def make_config(slices: int, proxies: int) -> DecisionConfig:
    """Returns the configuration for a fleet; the channel rate grows with the number of proxies."""
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
        report_period=REPORT_PERIOD,
        lease=8_000,
        in_flight_most=30_000,
        drain_grace=80_000,
        warm_within=150_000,
        cold_share=0.18,
        tip_multiple=3.0,
    )


class Day:
    """Seeded inputs for one module; equal for modules that make equal decisions."""

    def __init__(self, module: ModuleType, endpoints: int, slices: int, proxies: int) -> None:
        self.rng = random.Random(11)
        self.endpoints, self.slices, self.proxies = endpoints, slices, proxies
        self.pilot = module.Pilot(make_config(slices, proxies))
        self.owner = {n: f"e{n % endpoints:05d}" for n in range(slices)}
        self.event_queue: list[tuple[int, int, str, Any]] = []  # (time, number, kind, payload)
        self.event_number = 0
        self.digest = hashlib.blake2b(digest_size=16)
        self.decided = 0
        self.turns: list[float] = []  # s per turn, for pulling all decisions
        self.inputs: list[float] = []  # s per turn, for processing the inputs

    def schedule(self, when: int, kind: str, what: Any) -> None:
        self.event_number += 1
        heapq.heappush(self.event_queue, (when, self.event_number, kind, what))

    def begin(self) -> None:
        pilot = self.pilot
        pilot.on_list(START_AT, "replace", [self.entry(n, "on") for n in range(self.endpoints)])
        for n, owner in self.owner.items():
            pilot.on_slice_assigned(START_AT, n, True)
            pilot.on_stored_owner(START_AT, n, owner)
        for n in range(self.proxies):
            pilot.on_join(START_AT, n, ZONES[n % 4])
        for n, zone in enumerate(ZONES):
            self.schedule(START_AT + SECOND // 2 + n * REPORT_PERIOD // 4, "sums", zone)
        self.schedule(DRAIN_AT, "drain", None)
        self.schedule(START_AT, "beat", 0)

    def entry(self, n: int, phase: str) -> Entry:
        return Entry(f"e{n:05d}", phase, 1.0, ZONES[n % 4], None)

    def play(self, seconds: int) -> None:
        self.begin()
        while self.event_queue[0][0] < START_AT + seconds * SECOND:
            now = self.event_queue[0][0]
            started_at = time.perf_counter()
            while self.event_queue[0][0] == now:
                _, _, kind, what = heapq.heappop(self.event_queue)
                if kind == "sums":
                    started_at += self.report_statistics(now, what)
                elif kind == "drain":
                    self.pilot.on_list(
                        now, "changes", [self.entry(n, "fading") for n in range(0, self.endpoints, 5)]
                    )
                elif kind == "trouble":
                    self.inject_fault(now)
                elif kind == "acks":
                    for proxy, mark, took in what:
                        self.pilot.on_ack(now, proxy, mark, took)
                else:
                    self.pilot.on_alarm(now, what)
                if not self.event_queue:
                    break
            inputs_done_at = time.perf_counter()
            decided = []
            while (decision := self.pilot.next_decision(now)) is not None:
                decided.append(decision)
            self.turns.append(time.perf_counter() - inputs_done_at)
            self.inputs.append(inputs_done_at - started_at)
            self.apply_decisions(now, decided)

    def inject_fault(self, now: int) -> None:
        raise NotImplementedError("this day has no faults")

    def report_statistics(self, now: int, zone: str) -> float:
        """Reports a zone's statistics, with those of a quarter of the slices.

        Returns the seconds spent on generating them, which are not part of the module's cost.
        """
        started_at = time.perf_counter()
        endpoint_reports, slice_reports = [], []
        for n in range(self.endpoints):
            tries = self.rng.randrange(5, 30)
            slow = 6.0 if n % 37 == 3 else 1.0
            endpoint_reports.append(
                (
                    f"e{n:05d}",
                    tries,
                    self.rng.randrange(3) if slow > 1 else 0,
                    int(slow * self.rng.randrange(1_500, 4_500)),
                )
            )
        for n in range(ZONES.index(zone), self.slices, 4):
            for op_type in ("fetch", "order"):
                slice_reports.append((n, op_type, self.rng.randrange(2 * OPS_PER_SLICE)))
        generation_s = time.perf_counter() - started_at
        for name, tries, aborted, took in endpoint_reports:
            self.pilot.on_endpoint_report(now, name, zone, tries, aborted, took, REPORT_PERIOD)
        for number, op_type, ops in slice_reports:
            self.pilot.on_slice_report(now, number, op_type, ops, 0, REPORT_PERIOD)
        self.schedule(now + REPORT_PERIOD, "sums", zone)
        return generation_s

    def apply_decisions(self, now: int, decided: list[tuple]) -> None:
        for decision in decided:
            self.digest.update(repr((now, decision)).encode())
            self.decided += 1
            if decision[0] == "wake":
                self.schedule(now + decision[1], "beat", decision[2])
            elif decision[0] == "mark":
                acks: dict[int, list[tuple[int, int, int]]] = {}
                for proxy in range(self.proxies):
                    took = self.rng.randrange(1_000, 4_000) // 50 * 50
                    acks.setdefault(now + took, []).append((proxy, decision[1], took))
                for when, some in acks.items():
                    self.schedule(when, "acks", some)


class FaultyDay(Day):
    """A small fleet with seeded failures of all kinds."""

    def __init__(self, module: ModuleType, seed: int) -> None:
        seeded_rng = random.Random(seed)
        super().__init__(
            module, seeded_rng.randrange(2, 24), seeded_rng.randrange(4, 90), seeded_rng.randrange(1, 20)
        )
        self.rng = seeded_rng
        pilots = seeded_rng.randrange(1, 4)
        self.pilot = module.Pilot(
            dataclasses.replace(
                make_config(self.slices, self.proxies),
                pilots=pilots,
                pilot_index=seeded_rng.randrange(pilots),
                seed=seed,
                gone_binds=seeded_rng.random() < 0.5,
                asks_list=seeded_rng.random() < 0.5,
                levels=seeded_rng.choice(("fraction", "none")),
                single_owner=seeded_rng.random() < 0.8,
                report_period=seeded_rng.choice((5_000, REPORT_PERIOD, 50_000)),
                lines_waiting_most=seeded_rng.choice((25, 60, 400)) * self.proxies,
                ask_within=100_000,
            )
        )
        self.lossy = {
            (seeded_rng.choice(ZONES), seeded_rng.choice(ZONES)) for _ in range(seeded_rng.randrange(3))
        }
        self.failing: set[int] = set()
        self.joined = set(range(self.proxies))
        self.starts: dict[int, int] = {}
        self.phases: dict[int, str] = {}

    def begin(self) -> None:
        super().begin()
        for n in range(120):
            self.schedule(START_AT + self.rng.randrange(400_000), "trouble", None)

    def entry(self, n: int, phase: str) -> Entry:
        return Entry(f"e{n:05d}", phase, 0.5 + n % 3, ZONES[n % 4], self.starts.get(n), n % 5 * 100)

    def inject_fault(self, now: int) -> None:
        seeded_rng, pilot = self.rng, self.pilot
        kind, n = seeded_rng.randrange(10), seeded_rng.randrange(self.endpoints)
        if kind <= 2:
            some = {n, *(seeded_rng.randrange(self.endpoints) for _ in range(seeded_rng.randrange(3)))}
            for one in some:
                self.phases[one] = seeded_rng.choice(("on", "on", "fading", "off"))
                if self.phases[one] == "on" and seeded_rng.random() < 0.6:
                    self.starts[one] = now - seeded_rng.randrange(20_000)
            pilot.on_list(now, "update", [self.entry(one, self.phases[one]) for one in sorted(some)])
        elif kind == 3:
            named = [one for one in range(self.endpoints) if seeded_rng.random() < 0.8]
            pilot.on_list(
                now, seeded_rng.choice(("replace", "unavailable")), [self.entry(one, "on") for one in named]
            )
        elif kind == 4:
            self.failing ^= {n}
        elif kind == 5:
            self.lossy ^= {(seeded_rng.choice(ZONES), seeded_rng.choice(ZONES))}
        elif kind == 6:
            proxy = seeded_rng.randrange(self.proxies)
            if proxy in self.joined:
                pilot.on_leave(now, proxy)
            else:
                pilot.on_join(now, proxy, ZONES[proxy % 4])
            self.joined ^= {proxy}
        elif kind == 7:
            number = seeded_rng.randrange(self.slices)
            pilot.on_slice_assigned(now, number, seeded_rng.random() < 0.7)
            if seeded_rng.random() < 0.6:
                pilot.on_stored_owner(now, number, f"e{n:05d}")
        elif kind == 8:
            pilot.on_sick_warning(now, f"e{n:05d}", now + seeded_rng.randrange(100_000))

    def report_statistics(self, now: int, zone: str) -> float:
        seeded_rng = self.rng
        for n in range(self.endpoints):
            if seeded_rng.random() < 0.1:
                continue
            tries = seeded_rng.randrange(1, 60)
            lost = 0.5 if (zone, ZONES[n % 4]) in self.lossy else 1.0 if n in self.failing else 0.01
            aborted = sum(seeded_rng.random() < lost for _ in range(tries))
            took = 0 if aborted == tries else seeded_rng.randrange(300, 9_000) * (3 if n % 5 == 1 else 1)
            self.pilot.on_endpoint_report(now, f"e{n:05d}", zone, tries, aborted, took, REPORT_PERIOD)
        for n in range(self.slices):
            if seeded_rng.random() < 0.3:
                self.pilot.on_slice_report(
                    now,
                    n,
                    seeded_rng.choice(("fetch", "order")),
                    seeded_rng.randrange(80),
                    seeded_rng.randrange(5),
                    REPORT_PERIOD,
                )
        self.schedule(now + REPORT_PERIOD, "sums", zone)
        return 0.0


def compare_faulty_days(seeds: str, former_module: ModuleType) -> int:
    """Compares both modules over `seeds` and returns the number of seeds with different decisions."""
    first, _, last = seeds.partition("-")
    differing, decided = [], 0
    for seed in range(int(first), int(last or first) + 1):
        found = []
        for module in (cedarshift.brain, former_module):
            day = FaultyDay(module, seed)
            day.play(40)
            found.append(day.digest.digest())
            decided += day.decided
        if found[0] != found[1]:
            differing.append(seed)
    print(f"rough days {seeds}: {decided} decisions, seeds that differ: {differing or 'none'}")
    return len(differing)


def load_former_module(rev: str) -> ModuleType:
    """Loads the decision module of commit `rev`."""
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


def measure_baseline() -> float:
    """Returns the seconds that a fixed computation takes on this machine."""
    started_at = time.perf_counter()
    sum(n * n % 7 for n in range(3_000_000))
    return time.perf_counter() - started_at


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
        return 1 if compare_faulty_days(args.rough, load_former_module(args.former)) else 0
    print(f"baseline: {measure_baseline():.3f} s for the fixed piece of Python")
    all_equal = True
    for text in args.sizes.split(","):
        endpoints, slices, proxies = (int(part) for part in text.split("x"))
        found = [measure("now", cedarshift.brain, (endpoints, slices, proxies), args.seconds)]
        if args.former:
            found.append(
                measure(
                    args.former[:10],
                    load_former_module(args.former),
                    (endpoints, slices, proxies),
                    args.seconds,
                )
            )
            all_equal = all_equal and found[0] == found[1]
            print(f"{'':>10} decisions {'alike, one by one' if found[0] == found[1] else 'DIFFER'}")
    return 0 if all_equal else 1


if __name__ == "__main__":
    sys.exit(main())
