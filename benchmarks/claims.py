"""A deploy while one of three pilots is dead: cold endpoints given to pilots by a lot, as it was, against claimed ones; by seeds.

Plays the day deploy-dead-pilot on a virtual clock, each seed both ways (and with no pilot killed, for comparison), and prints what was
earned, how long a new endpoint stood before its first op, and whether a cold one was pushed over. The lot is the module's own.

    python -m benchmarks.claims [--seeds 20] [--jobs 4] [--rate 150]
"""

from __future__ import annotations

import argparse
import dataclasses
import multiprocessing
import os
import tempfile
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, stdev
from typing import Any

import msgspec

from cedarshift.rehearsal.day import load_day
from cedarshift.rehearsal.run import play

DAY = "deploy-dead-pilot"
WAYS = ("lot", "claimed", "lot, none dead", "claimed, none dead")


def first_ops(folder: str, endpoints: int) -> list[float]:
    """Seconds from each new endpoint's start to its first op; those that got none count to the record's end."""
    found = []
    for name in sorted(os.listdir(folder)):
        if name.startswith("record-e") and int(name[len("record-e") : -len(".jsonl")]) >= endpoints:
            with open(os.path.join(folder, name), "rb") as source:
                rows = [msgspec.json.decode(line) for line in source if line.endswith(b"\n")]
            starts = [row[0] for row in rows if row[1] == "start"]
            came = [row[0] for row in rows if row[1] == "accept"]
            if starts:
                found.append(((came[0] if came else rows[-1][0]) - starts[0]) / 1e6)
    return found


def one(task: tuple[str, int, float]) -> dict[str, Any]:
    way, seed, rate = task
    day = load_day(DAY)
    budgets = day.deployment.budgets
    assert budgets is not None
    if way.startswith("lot"):
        budgets = dataclasses.replace(budgets, claim_cold=False)
    faults = tuple(fault for fault in day.faults if not (way.endswith("dead") and fault.kind == "kill_pilot"))
    day = dataclasses.replace(
        day, deployment=dataclasses.replace(day.deployment, budgets=budgets), faults=faults, rate=rate
    )
    with tempfile.TemporaryDirectory() as folder:
        report = play(day, folder, seed, None, virtual=True, page=False)
        return {
            "way": way,
            "seed": seed,
            "earned": report["service"]["earned_share"],
            "worst": report["service"]["worst_window"],
            "first": first_ops(folder, day.endpoints),
            "broken": [rule["rule"] for rule in report["rules"] if not rule["held"]],
        }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--rate", type=float, default=150.0)
    args = parser.parse_args()
    tasks = [(way, seed, args.rate) for seed in range(1, args.seeds + 1) for way in WAYS]
    with ProcessPoolExecutor(args.jobs, multiprocessing.get_context("spawn")) as pool:
        rows = list(pool.map(one, tasks))
    by = {(row["way"], row["seed"]): row for row in rows}
    for way in WAYS:
        mine = [by[way, seed] for seed in range(1, args.seeds + 1)]
        waits = sorted(wait for row in mine for wait in row["first"])
        broken = sorted({rule for row in mine for rule in row["broken"]})
        print(
            f"{way:<20} earned {mean(row['earned'] for row in mine):.3f}, worst 5 s {mean(row['worst'] for row in mine):.3f}; new endpoints' first op "
            f"after p50 {waits[len(waits) // 2]:.1f} s, p90 {waits[len(waits) * 9 // 10]:.1f} s, max {waits[-1]:.1f} s ({len(waits)}); "
            f"rules broken: {', '.join(broken) or 'none'}"
        )
    for more in ("", ", none dead"):
        apart = [
            by["claimed" + more, seed]["earned"] - by["lot" + more, seed]["earned"]
            for seed in range(1, args.seeds + 1)
        ]
        error = stdev(apart) / len(apart) ** 0.5 if len(apart) > 1 else 0.0
        print(f"claimed less lot{more}: {mean(apart):+.4f}, standard error {error:.4f}, {len(apart)} seeds")


if __name__ == "__main__":
    main()
