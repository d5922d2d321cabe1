"""Many seeds on all cores: what breaks, how much of what could happen was reached, and a search that goes on from runs that reached something new."""

from __future__ import annotations

import multiprocessing
import os
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Callable, NamedTuple, Optional

from cedarshift.sim.play import Played, play
from cedarshift.sim.scenario import Scenario, altered, draw, from_json

CHUNK = 8  # runs that one process plays between two words
POOL_MOST = 400  # scenarios that a guided search goes on from; the newest
FRESH_PART = 0.3  # of a guided search's runs that are drawn anew, so that it does not stay where it is


class Found(NamedTuple):
    seed: int
    scenario: bytes
    what: str
    how: str


def _played(seed: int) -> tuple[int, Played]:
    return seed, play(draw(seed))


def _guided(task: tuple[int, Optional[bytes]]) -> tuple[bytes, Played]:
    seed, parent = task
    scenario = draw(seed) if parent is None else altered(from_json(parent), random.Random(f"altered {seed}"))
    return scenario.to_json(), play(scenario)


class Tally:
    """What a hunt has come to."""

    def __init__(self) -> None:
        self.begun = time.monotonic()
        self.runs = 0
        self.steps = 0
        self.virtual_s = 0.0
        self.reached: set[tuple] = set()
        self.curve: list[tuple[int, int]] = []  # runs, what was reached by then
        self.found: list[Found] = []

    def add(self, seed: int, scenario: bytes, played: Played) -> int:
        """How much of it was new."""
        self.runs += 1
        self.steps += played.steps
        self.virtual_s += played.virtual_s
        new = len(played.reached - self.reached)
        self.reached |= played.reached
        if self.runs & (self.runs - 1) == 0 or self.runs % 1_000 == 0:
            self.curve.append((self.runs, len(self.reached)))
        if played.broken:
            self.found.append(Found(seed, scenario, played.broken[0].what, played.broken[0].how))
        return new

    def report(self) -> dict[str, Any]:
        real = max(1e-9, time.monotonic() - self.begun)
        return {
            "runs": self.runs,
            "real_s": round(real, 1),
            "runs_a_minute": round(self.runs * 60 / real),
            "steps": self.steps,
            "steps_a_second": round(self.steps / real),
            "virtual_seconds_a_second": round(self.virtual_s / real, 1),
            "reached": len(self.reached),
            "curve": self.curve,
            "found": [{"seed": one.seed, "what": one.what, "how": one.how} for one in self.found],
        }


def hunt(
    seeds: list[int], jobs: int, out: str, say: Callable[[str], None], guided: bool = False
) -> dict[str, Any]:
    """Plays all; scenarios that break something stand in `out` as files to replay. `guided`: as many runs, of which most alter one that
    reached something new."""
    tally = Tally()
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        if guided:
            _search(seeds, jobs, tally, pool, say)
        else:
            for seed, played in pool.map(_played, seeds, chunksize=CHUNK):
                _note(tally, seed, draw(seed), played, say)
    for one in tally.found:
        os.makedirs(out, exist_ok=True)
        with open(os.path.join(out, f"{one.what}-{one.seed}.json"), "wb") as file:
            file.write(one.scenario)
    return tally.report()


def _note(tally: Tally, seed: int, scenario: Scenario, played: Played, say: Callable[[str], None]) -> int:
    new = tally.add(seed, scenario.to_json(), played)
    if played.broken:
        say(f"seed {seed}: {played.broken[0].what}: {played.broken[0].how}")
    if tally.runs % 500 == 0:
        say(f"{tally.runs} runs, {len(tally.reached)} states reached")
    return new


def _search(
    seeds: list[int], jobs: int, tally: Tally, pool: ProcessPoolExecutor, say: Callable[[str], None]
) -> None:
    """In rounds, so that what a round does hangs on the rounds before alone, not on which core was quicker."""
    chance, corpus = random.Random(f"search {seeds[0]}"), []  # type: ignore[var-annotated]
    for at in range(0, len(seeds), CHUNK * jobs):
        tasks = [
            (seed, None if not corpus or chance.random() < FRESH_PART else chance.choice(corpus))
            for seed in seeds[at : at + CHUNK * jobs]
        ]
        for (seed, _), (raw, played) in zip(tasks, pool.map(_guided, tasks, chunksize=CHUNK)):
            if _note(tally, seed, from_json(raw), played, say):
                corpus.append(raw)
        corpus = corpus[-POOL_MOST:]
