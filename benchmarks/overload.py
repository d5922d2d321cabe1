"""Overload by ways of answering it, on a virtual clock: the whole program, stand-in endpoints that can carry some 120 ops a second,
asked for half to four times that.

    fleet      the answer of the fleet (block overload)
    alone      each pilot by itself: the module's level, as without the block
    none       no levels at all
    throttle   adaptive throttling by each proxy alone
    oracle     proxies that know the capacity from the start, and let in 0.95 of it, the best first

    python -m benchmarks.overload [--loads 0.5,1,1.5,2,3,4] [--seeds 10] [--plot FILE.png] [--json FILE]

Each figure is a mean over the seeds with its 95% interval (Student's t). Goodput: ops acked in time, a second, once the load has stood
for six seconds.
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

WAYS = ("fleet", "alone", "none", "throttle", "oracle")
CAN = 120.0  # ops a second of nine endpoints with four cores and 0.3 s an op
BASE = 60.0  # before the load comes
BEGIN, STANDS, END = 5, 11, 27  # s: the load comes; it has stood; it ends
ORACLE = 0.95
T_95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}


def day_for(way: str, times: float) -> Day:
    day = load_day("surge-quiet")
    rate = times * CAN
    burst = Fault("burst", BEGIN * 1_000_000, {"for": (END - BEGIN) * 1_000_000, "times": rate / BASE}, 0)
    deployment = day.deployment
    changes: dict[str, Any] = {}
    if way != "fleet":
        deployment = dataclasses.replace(deployment, overload=None)
    if way in ("none", "throttle", "oracle"):
        deployment = dataclasses.replace(deployment, levels="none")
    if way == "throttle":
        changes["proxy_kind"] = "throttle"
    if way == "oracle":
        worths = [OpValue(op.name, op.earnings, 1.0) for op in deployment.op_types]
        whole = sum(day.shares.values())
        mix = [day.shares[op.name] / whole for op in deployment.op_types]
        changes.update(
            proxy_kind="fixed", let_in=tuple(shares(min(1.0, ORACLE * CAN / rate), merit_order(worths), mix))
        )
    return dataclasses.replace(
        day, rate=BASE, length=END * 1_000_000, faults=(burst,), deployment=deployment, **changes
    )


def one(task: tuple[str, float, int]) -> dict[str, Any]:
    way, times, seed = task
    day, folder = day_for(way, times), tempfile.mkdtemp(prefix="overload-")
    try:
        report = play(day, folder, seed, None, virtual=True, page=False)
        rows = read_records(folder)
    finally:
        shutil.rmtree(folder)
    ops = {op.name: op for op in day.deployment.op_types}
    begin = min(row.told[3] for row in rows if row.what == "op")
    intended: dict[str, tuple[str, int]] = {}
    asked: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    tries: Counter[str] = Counter()
    took = []
    for row in rows:
        if row.what == "op" and STANDS <= (row.told[3] - begin) / 1e6 < END - 1:
            intended[row.told[0]] = (row.told[1], row.told[3])
            asked[row.told[1]] += 1
        elif row.what == "send" and row.told[0] in intended:
            tries[row.told[0]] += 1
        elif row.what == "done" and row.told[0] in intended and row.told[1] == "acked":
            name, _ = intended[row.told[0]]
            took.append(row.told[2])
            in_time[name] += row.told[2] <= ops[name].target_latency
    span, earned = END - 1 - STANDS, sum(ops[name].earnings * count for name, count in in_time.items())
    took.sort()
    return {
        "way": way,
        "times": times,
        "seed": seed,
        "goodput": sum(in_time.values()) / span,
        "earned": earned / span,
        "by_type": {name: in_time[name] / max(1, asked[name]) for name in ops},
        "repeats": sum(count - 1 for count in tries.values()) / max(1, sum(asked.values())),
        "p99_ms": took[int(len(took) * 0.99)] / 1000 if took else 0.0,
        "broken": [
            rule["rule"] for rule in report["rules"] if not rule["held"] and rule["rule"] != "overload"
        ],
    }


def with_interval(values: list[float]) -> tuple[float, float]:
    mean = statistics.mean(values)
    return mean, T_95.get(len(values), 2.0) * statistics.stdev(values) / len(values) ** 0.5 if len(
        values
    ) > 1 else 0.0


def line(rows: list[dict[str, Any]]) -> str:
    figures = {
        key: with_interval([row[key] for row in rows]) for key in ("goodput", "earned", "repeats", "p99_ms")
    }
    kinds = {name: with_interval([row["by_type"][name] for row in rows]) for name in rows[0]["by_type"]}
    broken = Counter(rule for row in rows for rule in row["broken"])
    return (
        f"{rows[0]['times']:>4}x {rows[0]['way']:<9} goodput {figures['goodput'][0]:6.1f} ±{figures['goodput'][1]:5.1f}  "
        f"earned {figures['earned'][0]:6.1f} ±{figures['earned'][1]:5.1f}  "
        + "  ".join(f"{name} {mean:.3f} ±{half:.3f}" for name, (mean, half) in kinds.items())
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
        for way in WAYS:
            found = [
                with_interval(
                    [row[key] for row in rows if (row["way"], row["times"]) == (way, times)] or [0.0]
                )
                for times in loads
            ]
            axis.errorbar(
                loads,
                [mean for mean, _ in found],
                [half for _, half in found],
                marker="o",
                capsize=3,
                label=way,
            )
        axis.set_title(title)
        axis.set_xlabel("load, of what can be carried")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--loads", default="0.5,1,1.5,2,3,4")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=None)
    parser.add_argument("--plot", default="")
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    tasks = [
        (way, float(times), seed)
        for times in args.loads.split(",")
        for way in args.ways.split(",")
        for seed in range(1, args.seeds + 1)
    ]
    rows: list[dict[str, Any]] = []
    with multiprocessing.Pool(args.jobs) as pool:
        for row in pool.imap(one, tasks, 1):
            rows.append(row)
            same = [other for other in rows if (other["way"], other["times"]) == (row["way"], row["times"])]
            if len(same) == args.seeds:
                print(line(same), flush=True)
    if args.json:
        with open(args.json, "w") as out:
            json.dump(rows, out)
    if args.plot:
        plot(rows, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
