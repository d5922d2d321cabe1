"""Restart of a pilot during a rolling deploy: cold, taught by a peer, or never killed (spared).

Plays the days newcomer-cold, -taught and -spared with `cedarshift rehearse`. For the 30 s after the restart
it prints the earnings, the time until the pilot's picture is within a tenth of the peer's, and the
difference of each day to the first by seed. `--days misled,alone` repeats this with a lender cut off from
its list.
`--virtual` plays on a virtual clock, where a seed always gives the same day.

    python -m benchmarks.newcomer [--seeds 10] [--jobs 4] [--virtual] [--days cold,taught,spared]
        [--out FOLDER]
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
    """Plays one day and returns its report."""
    out = os.path.join(folder, f"{day}-{seed}")
    options = ["--virtual"] if virtual else []
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
            *options,
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    with open(os.path.join(out, "report.json")) as report:
        return json.load(report)


def format_difference(
    reports: dict[tuple[str, int], dict[str, Any]], day: str, other: str, seeds: range
) -> str:
    """Formats the mean difference in earnings between two days, with its standard error over the seeds."""
    differences = [
        reports[day, s]["window"]["earned_share"] - reports[other, s]["window"]["earned_share"] for s in seeds
    ]
    error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
    return (
        f"{day} less {other}: {mean(differences):+.4f}, standard error {error:.4f}, {len(differences)} seeds"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--days", default="cold,taught,spared")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    days, seeds = args.days.split(","), range(1, args.seeds + 1)
    with tempfile.TemporaryDirectory() as temporary_folder, ThreadPoolExecutor(args.jobs) as pool:
        folder = args.out or temporary_folder
        runs = {
            (day, seed): pool.submit(play, folder, day, seed, args.virtual) for seed in seeds for day in days
        }
        reports = {key: run.result() for key, run in runs.items()}
    print(
        f"{'seed':>4} "
        + " ".join(f"{day + ' earned':>14} {'gap 10 s':>9} {'near s':>7}" for day in days)
        + "  rules"
    )
    for seed in seeds:
        row = [reports[day, seed] for day in days]
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
        windows = [reports[day, s]["window"] for s in seeds]
        print(
            f"{day}: earned {mean(w['earned_share'] for w in windows):.4f}, picture gap "
            f"{mean(w['mean_picture_gap_10_s'] for w in windows):.3f}, near on "
            f"{sum(w['picture_near_after_s'] is not None for w in windows)} of {len(windows)}; sent beyond "
            f"the grace "
            f"{sum(w['sent_beyond_grace'] for w in windows)}, pushed over "
            f"{sum(w['pushed_over'] for w in windows)}"
        )
    for day in days[1:]:
        print(format_difference(reports, day, days[0], seeds))


if __name__ == "__main__":
    main()
