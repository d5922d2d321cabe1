"""A pilot restarted in a rolling deploy: cold, taught by a peer, and spared (never killed), over seeds.

Plays the days newcomer-cold, newcomer-taught and newcomer-spared as `cedarshift rehearse` does, several at a time, and
prints for the 30 s after the restart what was earned, and how soon the picture came within a tenth of the peer's.

    python -m benchmarks.newcomer [--seeds 10] [--jobs 4]
"""
from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from typing import Any

DAYS = ("cold", "taught", "spared")


def play(folder: str, day: str, seed: int) -> dict[str, Any]:
    out = os.path.join(folder, f"{day}-{seed}")
    subprocess.run([sys.executable, "-m", "cedarshift", "rehearse", f"newcomer-{day}", "--quiet", "--seed", str(seed), "--out", out],
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
    with open(os.path.join(out, "report.json")) as report:
        return json.load(report)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(args.jobs) as pool:
        runs = {(day, seed): pool.submit(play, folder, day, seed) for seed in range(1, args.seeds + 1) for day in DAYS}
        found = {key: run.result() for key, run in runs.items()}
    print(f"{'seed':>4} " + " ".join(f"{day + ' earned':>14} {'gap 10 s':>9} {'near s':>7}" for day in DAYS) + "  rules")
    for seed in range(1, args.seeds + 1):
        row = [found[day, seed] for day in DAYS]
        cells = [f"{r['window']['earned_share']:>14.3f} {r['window']['mean_picture_gap_10_s']:>9.3f} "
                 f"{str(r['window']['picture_near_after_s']):>7}" for r in row]
        broken = [f"{day}: {rule['rule']}" for day, r in zip(DAYS, row) for rule in r["rules"] if not rule["held"]]
        print(f"{seed:>4} " + " ".join(cells) + "  " + (", ".join(broken) or "held"))
    mean = {day: [sum(found[day, s]["window"][name] for s in range(1, args.seeds + 1)) / args.seeds
                  for name in ("earned_share", "mean_picture_gap_10_s")] for day in DAYS}
    print("mean " + " ".join(f"{day} {mean[day][0]:.4f} (picture gap {mean[day][1]:.3f});" for day in DAYS))
    won = mean["spared"][0] - mean["cold"][0]
    print(f"a pilot never killed earned {won:+.4f} over the cold one; the taught one {mean['taught'][0] - mean['cold'][0]:+.4f}")
    for day in DAYS:
        total = [found[day, s]["window"] for s in range(1, args.seeds + 1)]
        print(f"{day}: sent beyond the grace {sum(w['sent_beyond_grace'] for w in total)}, pushed over "
              f"{sum(w['pushed_over'] for w in total)}")


if __name__ == "__main__":
    main()
