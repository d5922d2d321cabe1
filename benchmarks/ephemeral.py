"""Detection of killed endpoints with three sources of the endpoint list, including ephemeral nodes.

Plays rehearsal days on a virtual clock over several seeds and measures, from the socket records, the time
from an endpoint's end to the last op sent to it.

    python -m benchmarks.ephemeral [--seeds 20] [--jobs 6] [--days zk-losses,file-losses,list-losses]
        [--real] [--out FOLDER]
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from statistics import mean, stdev
from typing import Any

from cedarshift.rehearsal.evidence import read_records

DAYS = "zk-losses,file-losses,list-losses"


def play(folder: str, day: str, seed: int, real: bool) -> str:
    """Plays one day and returns the folder of its records."""
    out = os.path.join(folder, f"{day}-{seed}")
    subprocess.run(
        [
            sys.executable,
            "-m",
            "cedarshift",
            "rehearse",
            day,
            "--quiet",
            "--seed",
            str(seed),
            "--out",
            out,
            *([] if real else ["--virtual"]),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    return out


def measure_losses(folder: str) -> list[dict[str, float]]:
    """Returns one row of delays in seconds for each endpoint that was killed without draining."""
    rows = read_records(folder)
    names = {row.who: row.told[0] for row in rows if row.what == "start" and row.who.startswith("e")}
    ends = [(row.at, names[row.who]) for row in rows if row.what == "died" and row.who in names]
    results = []
    for at, endpoint in ends:
        until = min(
            [row.at for row in rows if row.what == "start" and row.told[0] == endpoint and row.at > at]
            or [1 << 62]
        )
        first_told: dict[str, int] = {}
        for row in rows:
            if row.what == "told" and at <= row.at < until and row.told[0].startswith("p"):
                for name, phase, _ in row.told[2]:
                    if name == endpoint and phase == "off":
                        first_told.setdefault(row.told[0], row.at)
        drained = any(
            row.what == "told"
            and row.at < at
            and [endpoint, "fading"] in [entry[:2] for entry in row.told[2]]
            for row in rows
        )
        if not first_told or drained:
            continue
        all_told_at = max(first_told.values())
        ordered = [
            row.at
            for row in rows
            if row.what == "order"
            and all_told_at <= row.at < until
            and any(name == endpoint and weight <= 0 for _, name, weight, _ in row.told[5])
        ]
        sends = [
            row.at for row in rows if row.what == "send" and row.told[3] == endpoint and at <= row.at < until
        ]
        last = max(sends, default=at)
        results.append(
            {
                "notice": (all_told_at - at) / 1e6,
                "decided": (min(ordered) - all_told_at) / 1e6 if ordered else 0.0,
                "ordered": (max(ordered) - all_told_at) / 1e6 if ordered else 0.0,
                "last_after_told": max(0, last - all_told_at) / 1e6,
                "last_after_end": (last - at) / 1e6,
                "sent_to_the_dead": float(len(sends)),
            }
        )
    return results


def quantile(values: list[float], share: float) -> float:
    """Returns the value at the quantile `share`, or 0.0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--real", action="store_true")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    days, seeds = args.days.split(","), range(1, args.seeds + 1)
    with tempfile.TemporaryDirectory() as temporary_folder, ThreadPoolExecutor(args.jobs) as pool:
        folder = args.out or temporary_folder
        runs = {
            (day, seed): pool.submit(play, folder, day, seed, args.real) for seed in seeds for day in days
        }
        folders_by_run = {key: run.result() for key, run in runs.items()}
        reports: dict[tuple[str, int], Any] = {}
        rows: dict[str, list[dict[str, float]]] = defaultdict(list)
        for (day, seed), out in folders_by_run.items():
            with open(os.path.join(out, "report.json")) as report:
                reports[day, seed] = json.load(report)
            rows[day] += measure_losses(out)
    for day in days:
        earned = [reports[day, s]["service"]["earned_share"] for s in seeds]
        broken = [
            f"{s}: {rule['rule']}" for s in seeds for rule in reports[day, s]["rules"] if not rule["held"]
        ]
        worst = max(
            rule["figures"]["last_send_after_s"]
            for s in seeds
            for rule in reports[day, s]["rules"]
            if rule["rule"] == "drains"
        )
        print(
            f"{day}: earned {mean(earned):.4f} ({min(earned):.3f} to {max(earned):.3f}), {args.seeds} "
            f"seeds; rules "
            f"{'held' if not broken else 'BROKEN ' + ', '.join(broken)}; last op sent {worst:.2f} s after "
            f"the telling at most"
        )
        if rows[day]:
            print(f"  {len(rows[day])} endpoints killed      p50     p99     max")
        for name in rows[day][0] if rows[day] else ():
            values = [row[name] for row in rows[day]]
            print(
                f"  {name:<22} {quantile(values, 0.5):>7.3f} {quantile(values, 0.99):>7.3f} "
                f"{max(values):>7.3f}"
            )
    for day in days[1:]:
        differences = [
            reports[days[0], s]["service"]["earned_share"] - reports[day, s]["service"]["earned_share"]
            for s in seeds
        ]
        error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
        print(f"{days[0]} less {day}: {mean(differences):+.4f}, standard error {error:.4f}")


if __name__ == "__main__":
    main()
