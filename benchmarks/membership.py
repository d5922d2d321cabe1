"""Failure detection on a virtual clock: the product's membership against three textbook baselines.

Days: quiet; 1%, 10% and 30% datagram loss; one member paused for 12 periods; a tenth of the members slow by
0.6 periods; a one-way cut from one member to a third of the others; half of the members killed. On all other
days one member in 16 (at least one) is killed at the end. Times are in periods.

A removal is wrong if a sound member declares dead a member that was alive and neither paused nor cut off; for
the product, removals agreed by a majority are counted as well.

    python -m benchmarks.membership [--sizes 8,64,256] [--seeds 3] [--plot FILE.png]
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import random
import sys
import time
from typing import Any, Optional

from benchmarks.fixtures import percentile
from benchmarks.member_baselines import Heartbeats, Phi, Swim
from cedarshift.judge.roll import DEAD
from cedarshift.rehearsal.crowd import SECOND, Crowd

DETECTORS: dict[str, Any] = {"cedarshift": None, "heartbeats": Heartbeats, "phi": Phi, "swim": Swim}
DAYS = ("quiet", "loss1", "loss10", "loss30", "paused", "slow", "one-way", "half-killed")
# Phases of a run in periods: warm-up, measured without faults, under the day's fault, after the kills.
WARMUP_PERIODS, BASELINE_PERIODS, FAULT_PERIODS, DETECTION_PERIODS = 14, 20, 30, 16


def build_crowd(detector: str, count: int, seed: int) -> Crowd:
    kind = DETECTORS[detector]
    return Crowd(
        count,
        seed,
        make=None
        if kind is None
        else (
            lambda name, addresses, period, start, seed, now, on_change: kind(
                name, addresses, period, start, seed, now, on_change
            )
        ),
    )


def traffic_totals(crowd: Crowd) -> tuple[int, int]:
    """Returns the total bytes and datagrams sent."""
    members = [node.member for node in crowd.places.values()]
    return sum(m.counts["bytes_sent"] for m in members), sum(m.counts["datagrams_sent"] for m in members)


def play(task: tuple[str, int, str, int]) -> dict[str, Any]:
    """Plays one (detector, size, day, seed) and returns its results."""
    detector, count, day, seed = task
    started_at = time.process_time()
    rng = random.Random(f"{day} {count} {seed}")
    crowd = build_crowd(detector, count, seed)
    names = sorted(crowd.places)
    crowd.run_for(WARMUP_PERIODS)
    crowd.links.loss = {"loss1": 0.01, "loss10": 0.1, "loss30": 0.3}.get(day, 0.0)
    crowd.run_for(4)
    before = traffic_totals(crowd)
    at, cpu = crowd.now, time.process_time()
    crowd.run_for(BASELINE_PERIODS)
    cpu = time.process_time() - cpu
    sent = [(now - was) / BASELINE_PERIODS / count for now, was in zip(traffic_totals(crowd), before)]
    excused: set[str] = set()
    if day == "paused":
        one = rng.choice(names)
        excused.add(one)
        crowd.pause(one, 12 * SECOND)
    elif day == "slow":
        for one in rng.sample(names, max(1, count // 10)):
            crowd.places[one].slow = 600_000
    elif day == "one-way":
        one = rng.choice(names)
        some = set(rng.sample([name for name in names if name != one], max(1, count // 3)))
        crowd.cut("one-way", lambda s, t: s == one and t in some, FAULT_PERIODS * SECOND)
    crowd.run_for(FAULT_PERIODS)
    wrong = [
        (when, who, change.name)
        for when, who, change in crowd.changes
        if when > at
        and change.after == DEAD
        and change.name not in excused
        and who not in excused
        and who != change.name
    ]
    agreed = (
        [one for when, who, one in wrong if detector != "cedarshift"]
        if detector != "cedarshift"
        else [
            change.name
            for when, who, change in crowd.changes
            if when > at
            and change.after == DEAD
            and change.agreed
            and change.name not in excused
            and who not in excused
            and who != change.name
        ]
    )
    some = rng.sample(names, count // 2 if day == "half-killed" else max(1, count // 16))
    killed_at, first_change = crowd.now, len(crowd.changes)
    already = {
        (who, one) for who in names for one in some if crowd.places[who].member.table.states[one] == DEAD
    }
    for one in some:
        crowd.kill(one)
    crowd.run_for(DETECTION_PERIODS)
    survivors = [name for name in names if name not in some]
    first: dict[tuple[str, str], float] = {}
    for when, who, change in crowd.changes[first_change:]:
        if change.after == DEAD and change.name in some and who in survivors:
            first.setdefault((who, change.name), (when - killed_at) / SECOND)
    detection_times = sorted(first.values())
    missing = len(survivors) * len(some) - len(first) - len([pair for pair in already if pair not in first])
    return {
        "way": detector,
        "size": count,
        "day": day,
        "seed": seed,
        "bytes": sent[0],
        "datagrams": sent[1],
        "cpu_us": cpu * 1e6 / BASELINE_PERIODS / count,
        "wrong": len({(who, one) for _, who, one in wrong}),
        "agreed": len(set(agreed)),
        "found": detection_times,
        "agreement": max(detection_times, default=0.0),
        "missing": missing,
        "real_s": time.process_time() - started_at,
    }


def measure_heal_time(task: tuple[int, int]) -> tuple[int, int, Optional[float]]:
    """Measures the time until all views agree after a partition into halves of 15 periods is healed.

    Returns (size, seed, periods), with None for periods if it takes more than 60.
    """
    count, seed = task
    crowd = Crowd(count, seed)
    names = sorted(crowd.places)
    half = set(random.Random(f"halves {count} {seed}").sample(names, count // 2))
    crowd.run_for(WARMUP_PERIODS + 4)
    crowd.cut("halves", lambda s, t: (s in half) != (t in half), 15 * SECOND, tuple(names))
    crowd.run_for(15)
    healed = crowd.now
    while crowd.now < healed + 60 * SECOND:
        crowd.run_for(0.5)
        if not crowd.true() and crowd.alike():
            return count, seed, (crowd.now - healed) / SECOND
    return count, seed, None


def format_row(rows: list[dict[str, Any]]) -> str:
    one = rows[0]
    detection_times = sorted(t for row in rows for t in row["found"])
    hours = len(rows) * (BASELINE_PERIODS + FAULT_PERIODS) / 3600
    return (
        f"{one['size']:>5} {one['day']:<12} {one['way']:<11} p50 {percentile(detection_times, 0.5):5.1f}  "
        f"p99 {percentile(detection_times, 0.99):5.1f}  "
        f"max {max(detection_times, default=0):5.1f}  missing {sum(row['missing'] for row in rows):>5}  "
        f"wrong {sum(row['wrong'] for row in rows):>6} ({sum(row['agreed'] for row in rows)} members "
        f"agreed; in {hours:.2f} h)  "
        f"bytes {sum(row['bytes'] for row in rows) / len(rows):8.0f}  datagrams "
        f"{sum(row['datagrams'] for row in rows) / len(rows):6.1f}  "
        f"cpu {sum(row['cpu_us'] for row in rows) / len(rows):6.0f} us"
    )


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Plots detection time (p99), wrong removals and bytes by size, with one column per day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    days = [day for day in DAYS if any(row["day"] == day for row in rows)]
    sizes = sorted({row["size"] for row in rows})
    figure, axes = pyplot.subplots(
        3, len(days), figsize=(3 * len(days), 8), squeeze=False, sharey="row", sharex=True
    )
    for column, day in enumerate(days):
        for detector in DETECTORS:
            series: list[list[Optional[float]]] = [[], [], []]
            for size in sizes:
                got = [row for row in rows if (row["way"], row["day"], row["size"]) == (detector, day, size)]
                detection_times = sorted(t for row in got for t in row["found"])
                series[0].append(percentile(detection_times, 0.99) if detection_times else None)
                series[1].append(sum(row["wrong"] for row in got) + 0.5 if got else None)
                series[2].append(sum(row["bytes"] for row in got) / len(got) if got else None)
            for at in range(3):
                axes[at][column].plot(sizes, series[at], marker="o", label=detector)
        axes[0][column].set_title(day)
        axes[1][column].set_yscale("log")
        axes[2][column].set_yscale("log")
        axes[2][column].set_xscale("log")
        axes[2][column].set_xlabel("members")
    for at, label in enumerate(
        ("found dead, p99 (periods)", "wrong removals + 0.5", "bytes a member and period")
    ):
        axes[at][0].set_ylabel(label)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="8,64,256")
    parser.add_argument("--days", default=",".join(DAYS))
    parser.add_argument("--ways", default=",".join(DETECTORS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--heals", action="store_true", help="the time to equal views after a heal, and nothing else"
    )
    parser.add_argument("--jobs", type=int, default=None)
    parser.add_argument("--json", default="")
    parser.add_argument("--plot", default="")
    args = parser.parse_args()
    tasks = [
        (detector, int(size), day, seed)
        for size in args.sizes.split(",")
        for day in args.days.split(",")
        for detector in args.ways.split(",")
        for seed in range(1, args.seeds + 1)
    ]
    if args.heals:
        with multiprocessing.Pool(args.jobs) as pool:
            for size, seed, took in pool.imap_unordered(
                measure_heal_time,
                [(int(size), seed) for size in args.sizes.split(",") for seed in range(1, args.seeds + 1)],
                1,
            ):
                print(
                    f"{size:>5} members, seed {seed}: equal views {took} periods after the heal", flush=True
                )
        return 0
    rows: list[dict[str, Any]] = []
    with multiprocessing.Pool(args.jobs) as pool:
        for row in pool.imap(play, tasks, 1):
            rows.append(row)
            matching = [
                one
                for one in rows
                if (one["way"], one["size"], one["day"]) == (row["way"], row["size"], row["day"])
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
