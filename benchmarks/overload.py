"""Comparison of overload controls on a virtual clock, at loads from half to four times the capacity.

    fleet      fleet-wide control (block overload)
    alone      each pilot sets its own level, as without the block
    none       no admission levels
    throttle   adaptive throttling by each proxy on its own
    oracle     proxies that know the capacity and admit 0.95 of it, highest value first

    python -m benchmarks.overload [--loads 0.5,1,1.5,2,3,4] [--seeds 10] [--plot FILE.png] [--json FILE]

Each figure is a mean over the seeds with its 95% confidence interval (Student's t). Goodput is the rate of
ops acked within their target latency, measured once the load has been applied for six seconds.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import multiprocessing
import shutil
import statistics
import sys
import tempfile
from collections import Counter
from typing import Any

from cedarshift.judge.overload import OpValue, merit_order, shares
from cedarshift.rehearsal.day import Day, Fault, load_day
from cedarshift.rehearsal.evidence import read_records
from cedarshift.rehearsal.run import play

VARIANTS = ("fleet", "alone", "none", "throttle", "oracle")
CAPACITY_OPS_PER_S = 120.0  # nine endpoints with four cores each, 0.3 s per op
BASE_OPS_PER_S = 60.0  # rate before the overload
LOAD_START_S, STEADY_FROM_S, LOAD_END_S = 5, 11, 27
ORACLE_ADMITTED_SHARE = 0.95
# Quantiles of Student's t for two-sided 95% intervals, by sample size.
STUDENT_T_95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}


def day_for(variant: str, load_factor: float) -> Day:
    """Returns the day for a variant at `load_factor` times the capacity."""
    day = load_day("surge-quiet")
    rate = load_factor * CAPACITY_OPS_PER_S
    burst = Fault(
        "burst",
        LOAD_START_S * 1_000_000,
        {"for": (LOAD_END_S - LOAD_START_S) * 1_000_000, "times": rate / BASE_OPS_PER_S},
        0,
    )
    deployment = day.deployment
    changes: dict[str, Any] = {}
    if variant != "fleet":
        deployment = dataclasses.replace(deployment, overload=None)
    if variant in ("none", "throttle", "oracle"):
        deployment = dataclasses.replace(deployment, levels="none")
    if variant == "throttle":
        changes["proxy_kind"] = "throttle"
    if variant == "oracle":
        op_values = [OpValue(op.name, op.earnings, 1.0) for op in deployment.op_types]
        total_share = sum(day.shares.values())
        mix = [day.shares[op.name] / total_share for op in deployment.op_types]
        changes.update(
            proxy_kind="fixed",
            let_in=tuple(
                shares(
                    min(1.0, ORACLE_ADMITTED_SHARE * CAPACITY_OPS_PER_S / rate), merit_order(op_values), mix
                )
            ),
        )
    return dataclasses.replace(
        day,
        rate=BASE_OPS_PER_S,
        length=LOAD_END_S * 1_000_000,
        faults=(burst,),
        deployment=deployment,
        **changes,
    )


def run_variant(task: tuple[str, float, int]) -> dict[str, Any]:
    """Plays one (variant, load, seed) and returns its results."""
    variant, load_factor, seed = task
    day, folder = day_for(variant, load_factor), tempfile.mkdtemp(prefix="overload-")
    try:
        report = play(day, folder, seed, None, virtual=True, page=False)
        rows = read_records(folder)
    finally:
        shutil.rmtree(folder)
    ops = {op.name: op for op in day.deployment.op_types}
    begin = min(row.told[3] for row in rows if row.what == "op")
    intended: dict[str, tuple[str, int]] = {}
    requested: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    tries: Counter[str] = Counter()
    latencies = []
    for row in rows:
        if row.what == "op" and STEADY_FROM_S <= (row.told[3] - begin) / 1e6 < LOAD_END_S - 1:
            intended[row.told[0]] = (row.told[1], row.told[3])
            requested[row.told[1]] += 1
        elif row.what == "send" and row.told[0] in intended:
            tries[row.told[0]] += 1
        elif row.what == "done" and row.told[0] in intended and row.told[1] == "acked":
            name, _ = intended[row.told[0]]
            latencies.append(row.told[2])
            in_time[name] += row.told[2] <= ops[name].target_latency
    duration_s, earned = (
        LOAD_END_S - 1 - STEADY_FROM_S,
        sum(ops[name].earnings * count for name, count in in_time.items()),
    )
    latencies.sort()
    return {
        "way": variant,
        "times": load_factor,
        "seed": seed,
        "goodput": sum(in_time.values()) / duration_s,
        "earned": earned / duration_s,
        "by_type": {name: in_time[name] / max(1, requested[name]) for name in ops},
        "repeats": sum(count - 1 for count in tries.values()) / max(1, sum(requested.values())),
        "p99_ms": latencies[int(len(latencies) * 0.99)] / 1000 if latencies else 0.0,
        "broken": [
            rule["rule"] for rule in report["rules"] if not rule["held"] and rule["rule"] != "overload"
        ],
    }


def mean_with_interval(values: list[float]) -> tuple[float, float]:
    """Returns the mean and the half-width of its 95% confidence interval."""
    mean = statistics.mean(values)
    return mean, STUDENT_T_95.get(len(values), 2.0) * statistics.stdev(values) / len(values) ** 0.5 if len(
        values
    ) > 1 else 0.0


def format_row(rows: list[dict[str, Any]]) -> str:
    figures = {
        key: mean_with_interval([row[key] for row in rows])
        for key in ("goodput", "earned", "repeats", "p99_ms")
    }
    type_intervals = {
        name: mean_with_interval([row["by_type"][name] for row in rows]) for name in rows[0]["by_type"]
    }
    broken = Counter(rule for row in rows for rule in row["broken"])
    return (
        f"{rows[0]['times']:>4}x {rows[0]['way']:<9} goodput {figures['goodput'][0]:6.1f} "
        f"±{figures['goodput'][1]:5.1f}  "
        f"earned {figures['earned'][0]:6.1f} ±{figures['earned'][1]:5.1f}  "
        + "  ".join(f"{name} {mean:.3f} ±{half:.3f}" for name, (mean, half) in type_intervals.items())
        + f"  repeats {figures['repeats'][0]:.3f}  p99 {figures['p99_ms'][0]:5.0f} ms"
        + (f"  BROKEN {dict(broken)}" if broken else "")
    )


def plot(rows: list[dict[str, Any]], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    loads = sorted({row["times"] for row in rows})
    for axis, key, title in zip(
        axes,
        ("goodput", "earned", "repeats"),
        ("acked in time, ops a second", "earned a second", "repeats for each op"),
    ):
        for variant in VARIANTS:
            points = [
                mean_with_interval(
                    [row[key] for row in rows if (row["way"], row["times"]) == (variant, load_factor)]
                    or [0.0]
                )
                for load_factor in loads
            ]
            axis.errorbar(
                loads,
                [mean for mean, _ in points],
                [half for _, half in points],
                marker="o",
                capsize=3,
                label=variant,
            )
        axis.set_title(title)
        axis.set_xlabel("load, of what can be carried")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--loads", default="0.5,1,1.5,2,3,4")
    parser.add_argument("--ways", default=",".join(VARIANTS))
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=None)
    parser.add_argument("--plot", default="")
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    tasks = [
        (variant, float(load_factor), seed)
        for load_factor in args.loads.split(",")
        for variant in args.ways.split(",")
        for seed in range(1, args.seeds + 1)
    ]
    rows: list[dict[str, Any]] = []
    with multiprocessing.Pool(args.jobs) as pool:
        for row in pool.imap(run_variant, tasks, 1):
            rows.append(row)
            matching = [
                other for other in rows if (other["way"], other["times"]) == (row["way"], row["times"])
            ]
            if len(matching) == args.seeds:
                print(format_row(matching), flush=True)
    if args.json:
        with open(args.json, "w") as out:
            json.dump(rows, out)
    if args.plot:
        plot(rows, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
