"""Many seeds of one day on a virtual clock, on all cores: which of them break a rule, and how to play those again."""

from __future__ import annotations

import os
import shutil
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any, Callable, NamedTuple

from cedarshift.rehearsal.day import load_day
from cedarshift.rehearsal.run import play


class Played(NamedTuple):
    """`broken`: rules that were not to break; `failed`: why the run itself came to no end, "" where it did."""

    seed: int
    broken: list[str]
    crashed: list[str]
    earned: float
    worst: float
    failed: str


def one(name: str, seed: int, out: str) -> Played:
    """Plays one seed in this process; the folder stays only where something is wrong."""
    folder = os.path.join(out, f"seed-{seed}")
    try:
        report = play(load_day(name), folder, seed, None, virtual=True, page=False)
    except Exception as error:  # a bug that a seed found is a find, not the end of the hunt
        return Played(seed, [], [], 0.0, 0.0, f"{type(error).__name__}: {error}")
    broken = [
        rule["rule"]
        for rule in report["rules"]
        if not rule["held"] and rule["rule"] not in report["broken_on_purpose"]
    ]
    service = report["service"]
    if report["as_expected"]:
        shutil.rmtree(folder)
    return Played(seed, broken, report["crashed"], service["earned_share"], service["worst_window"], "")


def hunt(name: str, seeds: list[int], jobs: int, out: str, say: Callable[[str], None]) -> dict[str, Any]:
    """The report; folders of seeds that broke something stand in `out`."""
    os.makedirs(out, exist_ok=True)
    played: list[Played] = []
    with ProcessPoolExecutor(jobs) as pool:
        runs = [pool.submit(one, name, seed, out) for seed in seeds]
        for run in as_completed(runs):
            got = run.result()
            played.append(got)
            if got.broken or got.crashed or got.failed:
                say(f"seed {got.seed}: {', '.join(got.broken + got.crashed) or got.failed}")
            if len(played) % 20 == 0:
                say(f"{len(played)} of {len(seeds)}")
    played.sort()
    earned = [one.earned for one in played if not one.failed]
    bad = [one for one in played if one.broken or one.crashed or one.failed]
    return {
        "day": name,
        "seeds": len(played),
        "bad": [one._asdict() for one in bad],
        "earned": {
            "mean": sum(earned) / max(1, len(earned)),
            "least": min(earned, default=0.0),
            "most": max(earned, default=0.0),
        },
        "worst_seed": min(
            (one for one in played if not one.failed),
            key=lambda one: one.earned,
            default=Played(0, [], [], 0, 0, ""),
        ).seed,
        "again": [f"cedarshift rehearse {name} --virtual --seed {one.seed}" for one in bad],
    }


__all__ = ["Played", "hunt"]
