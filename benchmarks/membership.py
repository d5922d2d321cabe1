"""Membership on a virtual clock: how soon dead ones are found, whom it removes wrongly, and what it costs a member; the product's
own against three plain ways, on the same days.

Days: quiet, 1%, 10% and 30% of all datagrams lost, one member paused for 12 periods, a tenth of them slow by six tenths of a period, a one-way
cut at one member's links to a third of the others, half of them killed. In all but the last some members are killed at the end
(one of sixteen, one at least). Every row is by the days' seeds; times are in periods. A removal is wrong where a member that was alive and
not paused, nor cut off as a whole, is held for dead by anyone who is itself sound (for the product also: agreed by most).

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

WAYS: dict[str, Any] = {"cedarshift": None, "heartbeats": Heartbeats, "phi": Phi, "swim": Swim}
DAYS = ("quiet", "loss1", "loss10", "loss30", "paused", "slow", "one-way", "half-killed")
WARM, QUIET, FAULT, AFTER = (
    14,
    20,
    30,
    16,
)  # periods: coming up, measured in peace, under the day's fault, after the deaths


def build(way: str, count: int, seed: int) -> Crowd:
    kind = WAYS[way]
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


def sums(crowd: Crowd) -> tuple[int, int]:
    members = [place.member for place in crowd.places.values()]
    return sum(m.counts["bytes_sent"] for m in members), sum(m.counts["datagrams_sent"] for m in members)


def play(task: tuple[str, int, str, int]) -> dict[str, Any]:
    way, count, day, seed = task
    begun = time.process_time()
    draw = random.Random(f"{day} {count} {seed}")
    crowd = build(way, count, seed)
    names = sorted(crowd.places)
    crowd.run_for(WARM)
    crowd.links.loss = {"loss1": 0.01, "loss10": 0.1, "loss30": 0.3}.get(day, 0.0)
    crowd.run_for(4)
    before = sums(crowd)
    at, cpu = crowd.now, time.process_time()
    crowd.run_for(QUIET)
    cpu = time.process_time() - cpu
    sent = [(now - was) / QUIET / count for now, was in zip(sums(crowd), before)]
    # The day's own fault.
    excused: set[str] = set()
    if day == "paused":
        one = draw.choice(names)
        excused.add(one)
        crowd.pause(one, 12 * SECOND)
    elif day == "slow":
        for one in draw.sample(names, max(1, count // 10)):
            crowd.places[one].slow = 600_000
    elif day == "one-way":
        one = draw.choice(names)
        some = set(draw.sample([name for name in names if name != one], max(1, count // 3)))
        crowd.cut("one-way", lambda s, t: s == one and t in some, FAULT * SECOND)
    crowd.run_for(FAULT)
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
        [one for when, who, one in wrong if way != "cedarshift"]
        if way != "cedarshift"
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
    # The deaths.
    some = draw.sample(names, count // 2 if day == "half-killed" else max(1, count // 16))
    died, mark = crowd.now, len(crowd.changes)
    already = {
        (who, one) for who in names for one in some if crowd.places[who].member.table.states[one] == DEAD
    }
    for one in some:
        crowd.kill(one)
    crowd.run_for(AFTER)
    rest = [name for name in names if name not in some]
    first: dict[tuple[str, str], float] = {}
    for when, who, change in crowd.changes[mark:]:
        if change.after == DEAD and change.name in some and who in rest:
            first.setdefault((who, change.name), (when - died) / SECOND)
    found = sorted(first.values())
    missing = len(rest) * len(some) - len(first) - len([pair for pair in already if pair not in first])
    return {
        "way": way,
        "size": count,
        "day": day,
        "seed": seed,
        "bytes": sent[0],
        "datagrams": sent[1],
        "cpu_us": cpu * 1e6 / QUIET / count,
        "wrong": len({(who, one) for _, who, one in wrong}),
        "agreed": len(set(agreed)),
        "found": found,
        "agreement": max(found, default=0.0),
        "missing": missing,
        "real_s": time.process_time() - begun,
    }


def heal(task: tuple[int, int]) -> tuple[int, int, Optional[float]]:
    """Size, seed, and periods from the heal of two halves, cut off from each other for 15 periods, until all views are true and
    alike; None where that took over 60."""
    count, seed = task
    crowd = Crowd(count, seed)
    names = sorted(crowd.places)
    half = set(random.Random(f"halves {count} {seed}").sample(names, count // 2))
    crowd.run_for(WARM + 4)
    crowd.cut("halves", lambda s, t: (s in half) != (t in half), 15 * SECOND, tuple(names))
    crowd.run_for(15)
    healed = crowd.now
    while crowd.now < healed + 60 * SECOND:
        crowd.run_for(0.5)
        if not crowd.true() and crowd.alike():
            return count, seed, (crowd.now - healed) / SECOND
    return count, seed, None


def line(rows: list[dict[str, Any]]) -> str:
    one = rows[0]
    found = sorted(t for row in rows for t in row["found"])
    hours = len(rows) * (QUIET + FAULT) / 3600
    return (
        f"{one['size']:>5} {one['day']:<12} {one['way']:<11} p50 {percentile(found, 0.5):5.1f}  p99 {percentile(found, 0.99):5.1f}  "
        f"max {max(found, default=0):5.1f}  missing {sum(row['missing'] for row in rows):>5}  "
        f"wrong {sum(row['wrong'] for row in rows):>6} ({sum(row['agreed'] for row in rows)} members agreed; in {hours:.2f} h)  "
        f"bytes {sum(row['bytes'] for row in rows) / len(rows):8.0f}  datagrams {sum(row['datagrams'] for row in rows) / len(rows):6.1f}  "
        f"cpu {sum(row['cpu_us'] for row in rows) / len(rows):6.0f} us"
    )


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Detection (p99) and bytes by size, one line a way, one column a day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    days = [day for day in DAYS if any(row["day"] == day for row in rows)]
    sizes = sorted({row["size"] for row in rows})
    figure, axes = pyplot.subplots(
        3, len(days), figsize=(3 * len(days), 8), squeeze=False, sharey="row", sharex=True
    )
    for column, day in enumerate(days):
        for way in WAYS:
            series: list[list[Optional[float]]] = [[], [], []]
            for size in sizes:
                got = [row for row in rows if (row["way"], row["day"], row["size"]) == (way, day, size)]
                found = sorted(t for row in got for t in row["found"])
                series[0].append(percentile(found, 0.99) if found else None)
                series[1].append(sum(row["wrong"] for row in got) + 0.5 if got else None)
                series[2].append(sum(row["bytes"] for row in got) / len(got) if got else None)
            for at in range(3):
                axes[at][column].plot(sizes, series[at], marker="o", label=way)
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
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--heals", action="store_true", help="the time to equal views after a heal, and nothing else"
    )
    parser.add_argument("--jobs", type=int, default=None)
    parser.add_argument("--json", default="")
    parser.add_argument("--plot", default="")
    args = parser.parse_args()
    tasks = [
        (way, int(size), day, seed)
        for size in args.sizes.split(",")
        for day in args.days.split(",")
        for way in args.ways.split(",")
        for seed in range(1, args.seeds + 1)
    ]
    if args.heals:
        with multiprocessing.Pool(args.jobs) as pool:
            for size, seed, took in pool.imap_unordered(
                heal,
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
            same = [
                one
                for one in rows
                if (one["way"], one["size"], one["day"]) == (row["way"], row["size"], row["day"])
            ]
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
