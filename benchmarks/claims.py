"""Assignment of cold endpoints during a deploy with a dead pilot: rendezvous lot against claims.

Plays the day deploy-dead-pilot on a virtual clock with both methods for each seed, with and without the dead
pilot, and prints the earnings, the delay until each new endpoint's first op and the broken rules.

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
VARIANTS = ("lot", "claimed", "lot, none dead", "claimed, none dead")


def first_ops(folder: str, endpoints: int) -> list[float]:
    """Returns the seconds from each new endpoint's start to its first op, or to the end of its record."""
    delays = []
    for name in sorted(os.listdir(folder)):
        if name.startswith("record-e") and int(name[len("record-e") : -len(".jsonl")]) >= endpoints:
            with open(os.path.join(folder, name), "rb") as source:
                rows = [msgspec.json.decode(line) for line in source if line.endswith(b"\n")]
            starts = [row[0] for row in rows if row[1] == "start"]
            accepts = [row[0] for row in rows if row[1] == "accept"]
            if starts:
                delays.append(((accepts[0] if accepts else rows[-1][0]) - starts[0]) / 1e6)
    return delays


def run_variant(task: tuple[str, int, float]) -> dict[str, Any]:
    """Plays one (variant, seed, rate) and returns its results."""
    variant, seed, rate = task
    day = load_day(DAY)
    budgets = day.deployment.budgets
    assert budgets is not None
    if variant.startswith("lot"):
        budgets = dataclasses.replace(budgets, claim_cold=False)
    faults = tuple(
        fault for fault in day.faults if not (variant.endswith("dead") and fault.kind == "kill_pilot")
    )
    day = dataclasses.replace(
        day, deployment=dataclasses.replace(day.deployment, budgets=budgets), faults=faults, rate=rate
    )
    with tempfile.TemporaryDirectory() as folder:
        report = play(day, folder, seed, None, virtual=True, page=False)
        return {
            "way": variant,
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
    tasks = [(variant, seed, args.rate) for seed in range(1, args.seeds + 1) for variant in VARIANTS]
    with ProcessPoolExecutor(args.jobs, multiprocessing.get_context("spawn")) as pool:
        rows = list(pool.map(run_variant, tasks))
    rows_by_key = {(row["way"], row["seed"]): row for row in rows}
    for variant in VARIANTS:
        variant_rows = [rows_by_key[variant, seed] for seed in range(1, args.seeds + 1)]
        waits = sorted(wait for row in variant_rows for wait in row["first"])
        broken = sorted({rule for row in variant_rows for rule in row["broken"]})
        print(
            f"{variant:<20} earned {mean(row['earned'] for row in variant_rows):.3f}, worst 5 s "
            f"{mean(row['worst'] for row in variant_rows):.3f}; new endpoints' first op "
            f"after p50 {waits[len(waits) // 2]:.1f} s, p90 {waits[len(waits) * 9 // 10]:.1f} s, max "
            f"{waits[-1]:.1f} s ({len(waits)}); "
            f"rules broken: {', '.join(broken) or 'none'}"
        )
    for suffix in ("", ", none dead"):
        differences = [
            rows_by_key["claimed" + suffix, seed]["earned"] - rows_by_key["lot" + suffix, seed]["earned"]
            for seed in range(1, args.seeds + 1)
        ]
        error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
        print(
            f"claimed less lot{suffix}: {mean(differences):+.4f}, standard error {error:.4f}, "
            f"{len(differences)} seeds"
        )


if __name__ == "__main__":
    main()
