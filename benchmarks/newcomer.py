"""A pilot restarted in a rolling deploy: cold, taught by a peer, and spared (never killed), over seeds.

Plays the days newcomer-cold, -taught and -spared as `cedarshift rehearse` does, several at a time, and prints for the 30 s
after the restart what was earned, how soon the picture came within a tenth of the peer's, and each day less the first, seed
by seed. `--days misled,alone` are the same with a lender that is cut off from its list. `--virtual` plays on a virtual
clock: the same day for the same seed, whatever else the machine does.

    python -m benchmarks.newcomer [--seeds 10] [--jobs 4] [--virtual] [--days cold,taught,spared] [--out FOLDER]
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from statistics import mean, stdev
from typing import Any


def play(folder: str, day: str, seed: int, virtual: bool) -> dict[str, Any]:
    out = os.path.join(folder, f"{day}-{seed}")
    more = ["--virtual"] if virtual else []
    subprocess.run(
        [
            sys.executable,
            "-m",
            "cedarshift",
            "rehearse",
            f"newcomer-{day}",
            "--quiet",
            "--seed",
            str(seed),
            "--out",
            out,
            *more,
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    with open(os.path.join(out, "report.json")) as report:
        return json.load(report)


def less(found: dict[tuple[str, int], dict[str, Any]], day: str, other: str, seeds: range) -> str:
    """A day's service less another's, with the standard error over the seeds."""
    apart = [
        found[day, s]["window"]["earned_share"] - found[other, s]["window"]["earned_share"] for s in seeds
    ]
    error = stdev(apart) / len(apart) ** 0.5 if len(apart) > 1 else 0.0
    return f"{day} less {other}: {mean(apart):+.4f}, standard error {error:.4f}, {len(apart)} seeds"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--days", default="cold,taught,spared")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    days, seeds = args.days.split(","), range(1, args.seeds + 1)
    with tempfile.TemporaryDirectory() as spare, ThreadPoolExecutor(args.jobs) as pool:
        folder = args.out or spare
        runs = {
            (day, seed): pool.submit(play, folder, day, seed, args.virtual) for seed in seeds for day in days
        }
        found = {key: run.result() for key, run in runs.items()}
    print(
        f"{'seed':>4} "
        + " ".join(f"{day + ' earned':>14} {'gap 10 s':>9} {'near s':>7}" for day in days)
        + "  rules"
    )
    for seed in seeds:
        row = [found[day, seed] for day in days]
        cells = [
            f"{r['window']['earned_share']:>14.3f} {r['window']['mean_picture_gap_10_s']:>9.3f} "
            f"{str(r['window']['picture_near_after_s']):>7}"
            for r in row
        ]
        broken = [
            f"{day}: {rule['rule']}" for day, r in zip(days, row) for rule in r["rules"] if not rule["held"]
        ]
        print(f"{seed:>4} " + " ".join(cells) + "  " + (", ".join(broken) or "held"))
    for day in days:
        windows = [found[day, s]["window"] for s in seeds]
        print(
            f"{day}: earned {mean(w['earned_share'] for w in windows):.4f}, picture gap "
            f"{mean(w['mean_picture_gap_10_s'] for w in windows):.3f}, near on "
            f"{sum(w['picture_near_after_s'] is not None for w in windows)} of {len(windows)}; sent beyond the grace "
            f"{sum(w['sent_beyond_grace'] for w in windows)}, pushed over {sum(w['pushed_over'] for w in windows)}"
        )
    for day in days[1:]:
        print(less(found, day, days[0], seeds))


if __name__ == "__main__":
    main()
