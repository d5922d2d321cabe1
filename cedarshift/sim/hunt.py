"""Runs many seeds on all cores, reports violations and coverage, and can search by mutating scenarios.

The guided search mutates the scenarios that reached new states.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Callable, NamedTuple, Optional

from cedarshift.sim.play import RunResult, run_scenario
from cedarshift.sim.scenario import Scenario, draw, from_json, mutate

RUNS_PER_TASK = 8  # scenarios per task of a worker process
MAX_CORPUS = 400  # the newest scenarios that reached something new
FRESH_SHARE = 0.3  # of the runs of a guided search that use a new scenario


class Failure(NamedTuple):
    """A scenario that violated a check."""

    seed: int
    scenario: bytes
    check: str
    detail: str


def _run_seed(seed: int) -> tuple[int, RunResult]:
    return seed, run_scenario(draw(seed))


def _run_guided(task: tuple[int, Optional[bytes]]) -> tuple[bytes, RunResult]:
    seed, parent = task
    scenario = draw(seed) if parent is None else mutate(from_json(parent), random.Random(f"altered {seed}"))
    return scenario.to_json(), run_scenario(scenario)


class HuntReport:
    """Counts, coverage and violations of the runs so far."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.runs = 0
        self.steps = 0
        self.virtual_s = 0.0
        self.reached: set[tuple] = set()
        self.curve: list[tuple[int, int]] = []  # (runs, states reached)
        self.failures: list[Failure] = []

    def add(self, seed: int, scenario: bytes, result: RunResult) -> int:
        """Adds a run; returns the number of states that it was the first to reach."""
        self.runs += 1
        self.steps += result.steps
        self.virtual_s += result.virtual_s
        new = len(result.reached - self.reached)
        self.reached |= result.reached
        if self.runs & (self.runs - 1) == 0 or self.runs % 1_000 == 0:
            self.curve.append((self.runs, len(self.reached)))
        if result.violations:
            self.failures.append(
                Failure(seed, scenario, result.violations[0].check, result.violations[0].detail)
            )
        return new

    def report(self) -> dict[str, Any]:
        real = max(1e-9, time.monotonic() - self.started_at)
        return {
            "runs": self.runs,
            "real_s": round(real, 1),
            "runs_a_minute": round(self.runs * 60 / real),
            "steps": self.steps,
            "steps_a_second": round(self.steps / real),
            "virtual_seconds_a_second": round(self.virtual_s / real, 1),
            "reached": len(self.reached),
            "curve": self.curve,
            "found": [{"seed": one.seed, "what": one.check, "how": one.detail} for one in self.failures],
        }


def hunt(
    seeds: list[int], jobs: int, out: str, progress: Callable[[str], None], guided: bool = False
) -> dict[str, Any]:
    """Runs all seeds and returns the report; scenarios with violations are written to the folder `out`.

    `guided`: most runs mutate a scenario that reached something new.
    """
    totals = HuntReport()
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        if guided:
            _guided_search(seeds, jobs, totals, pool, progress)
        else:
            for seed, result in pool.map(_run_seed, seeds, chunksize=RUNS_PER_TASK):
                _add_run(totals, seed, draw(seed), result, progress)
    for one in totals.failures:
        os.makedirs(out, exist_ok=True)
        with open(os.path.join(out, f"{one.check}-{one.seed}.json"), "wb") as file:
            file.write(one.scenario)
    return totals.report()


def _add_run(
    totals: HuntReport, seed: int, scenario: Scenario, result: RunResult, progress: Callable[[str], None]
) -> int:
    new = totals.add(seed, scenario.to_json(), result)
    if result.violations:
        progress(f"seed {seed}: {result.violations[0].check}: {result.violations[0].detail}")
    if totals.runs % 500 == 0:
        progress(f"{totals.runs} runs, {len(totals.reached)} states reached")
    return new


def _guided_search(
    seeds: list[int],
    jobs: int,
    totals: HuntReport,
    pool: ProcessPoolExecutor,
    progress: Callable[[str], None],
) -> None:
    """Runs in rounds, so that the result does not depend on which process is faster."""
    rng, corpus = random.Random(f"search {seeds[0]}"), []  # type: ignore[var-annotated]
    for at in range(0, len(seeds), RUNS_PER_TASK * jobs):
        tasks = [
            (seed, None if not corpus or rng.random() < FRESH_SHARE else rng.choice(corpus))
            for seed in seeds[at : at + RUNS_PER_TASK * jobs]
        ]
        for (seed, _), (raw, result) in zip(tasks, pool.map(_run_guided, tasks, chunksize=RUNS_PER_TASK)):
            if _add_run(totals, seed, from_json(raw), result, progress):
                corpus.append(raw)
        corpus = corpus[-MAX_CORPUS:]
