"""A model of endpoints under load, driven by the real answer of `judge/overload.py`: fluid queues, late sums, lost rows. No I/O.

It plays in milliseconds what rehearsals play in a minute, so that the answer can be held against many loads and seeds. Ops are not
single here: in each step of 50 ms an endpoint takes in work, does what it can, and what waits longer than its time is dropped undone.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Callable, Optional

from cedarshift.judge.overload import (
    CALM,
    Answer,
    EndpointLoads,
    FleetLoad,
    Flow,
    LoadReport,
    OpValue,
    OverloadController,
    gain_for_delay,
    shares,
)

STEP = 0.05  # s
LOOK = 0.5  # s between two looks of a pilot
SUMS = 0.5  # s that sums cover
SPAN = 3_000_000  # us that a pilot's view of an endpoint covers


@dataclass
class Kind:
    """An op type of the model: its part of what comes, and as in `OpValue`. Spans in s."""

    worth: OpValue
    part: float
    timeout: float = 6.0


@dataclass
class Place:
    """An endpoint: work a second, its part of what comes, how much waits (work, by op type), and whether it hangs."""

    can: float
    part: float
    waits: list[float]
    hangs: bool = False


@dataclass
class Surge:
    """`target` and a queue's `room` in s. `load(t)`: work a second that comes. `repeats`: how many times a client comes again."""

    kinds: list[Kind]
    places: list[Place]
    load: Callable[[float], float]
    pilots: int = 3
    target: float = 2.0
    room: float = 1.6
    work: float = 0.15  # s that an op takes where nothing waits
    thrash: float = 0.4  # of the capacity is lost where the queue is full
    repeats: int = 2
    lost: float = 0.0  # of the rows between pilots
    noise: float = 0.03
    seed: int = 1
    answering: bool = True
    blind: set[int] = field(default_factory=set)  # pilots that hear no other
    lying: dict[int, float] = field(default_factory=dict)  # pilots whose rows are so many times too large
    t: float = 0.0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        worths = [kind.worth for kind in self.kinds]
        names = [f"p{n}" for n in range(self.pilots)]
        self.pictures = [FleetLoad(name, worths) for name in names]
        gain = gain_for_delay(int(self.target * 1e6), int((LOOK + SUMS + 0.2) * 1e6))
        self.governors = [OverloadController(worths, 0, gain) for _ in names]
        self.lanes = [EndpointLoads(int(self.target * 1e6), SPAN, gain) for _ in names]
        self.answers: list[Answer] = [CALM] * self.pilots
        self.own: list[dict[str, float]] = [{} for _ in names]  # shares at endpoints
        self.seen = [[[0.0] * 7 for _ in self.kinds] for _ in names]
        self.sums: list[Optional[tuple[Flow, ...]]] = [None] * self.pilots
        self.open: list[dict[str, float]] = [{} for _ in names]
        self.look_at = [LOOK * (1 + n / self.pilots) for n in range(self.pilots)]
        self.sums_at = [SUMS * (1 + n / self.pilots) for n in range(self.pilots)]
        self.again: list[tuple[float, int, float]] = []  # when, op type, work that comes again
        self.told: list[
            dict[str, float]
        ] = []  # by step: work that came, came again, was shed, was acked in time
        self.history: list[list[float]] = []

    def run(self, until: float) -> None:
        while self.t < until:
            self._step()

    def _step(self) -> None:
        self.t += STEP
        row = {"t": self.t, "fresh": 0.0, "repeats": 0.0, "in_time": 0.0, "shed": 0.0}
        for kind in range(len(self.kinds)):
            row[f"fresh{kind}"] = row[f"in_time{kind}"] = 0.0
        due = [0.0] * len(self.kinds)
        for one in [one for one in self.again if one[0] <= self.t]:
            self.again.remove(one)
            due[one[1]] += one[2]
        for at, place in enumerate(self.places):
            self._at(at, place, due, row)
        self.told.append(row)
        for pilot in range(self.pilots):
            if self.t >= self.sums_at[pilot]:
                self.sums_at[pilot] += SUMS
                self.sums[pilot] = tuple(
                    Flow._make([*(value / SUMS for value in kind[:6]), kind[6] / kind[3] if kind[3] else 0.0])
                    for kind in self.seen[pilot]
                )
                self.seen[pilot] = [[0.0] * 7 for _ in self.kinds]
                self.open[pilot] = {
                    f"e{at}": (sum(place.waits) + self.work * place.can * (sum(place.waits) > 0))
                    / self.pilots
                    for at, place in enumerate(self.places)
                }
            if self.t >= self.look_at[pilot]:
                self.look_at[pilot] += LOOK
                self._look(pilot)

    def _at(self, at: int, place: Place, due: list[float], row: dict[str, float]) -> None:
        name = f"e{at}"
        for pilot in range(self.pilots):
            answer, part = self.answers[pilot], place.part / self.pilots
            let = [1.0] * len(self.kinds)
            if answer.mix and self.answering:
                let = shares(self.own[pilot].get(name, answer.share), answer.order, answer.mix)
            came = 0.0
            for kind, one in enumerate(self.kinds):
                drawn = max(0.0, self.chance.gauss(1.0, self.noise))
                fresh = self.load(self.t) * one.part * part * STEP * drawn
                repeats = due[kind] * part
                if self.answering:
                    repeats = min(repeats, answer.again * fresh)
                seen = self.seen[pilot][kind]
                taken = fresh * let[kind] + repeats
                room = max(0.0, self.room * place.can - sum(place.waits))
                fits = min(taken, room)
                place.waits[kind] += fits
                for n, value in enumerate((fresh, repeats, taken, 0.0, 0.0, taken - fits)):
                    seen[n] += value
                came += fresh + repeats
                row["fresh"] += fresh
                row[f"fresh{kind}"] += fresh
                row["repeats"] += repeats
                row["shed"] += fresh * (1 - let[kind])
                if self.repeats and taken > fits:
                    self.again.append(
                        (
                            self.t + 0.1 + self.chance.random() * 0.3,
                            kind,
                            (taken - fits) * self.repeats / (self.repeats + 1),
                        )
                    )
                self.lanes[pilot].met(name, 0.0, 0.0, taken - fits)
            self.lanes[pilot].came(name, came)
        self._work(at, place, row)

    def _work(self, at: int, place: Place, row: dict[str, float]) -> None:
        held = sum(place.waits)
        if not held or place.hangs:
            return
        full = held / (self.room * place.can)
        can = place.can * (1 - self.thrash * max(0.0, 2 * full - 1)) * STEP
        took = self.work + held / place.can
        for kind, one in enumerate(self.kinds):
            done = min(place.waits[kind], can * place.waits[kind] / held)
            place.waits[kind] -= done
            late = took > one.timeout
            if took <= self.target:
                row["in_time"] += done
                row[f"in_time{kind}"] += done
            for pilot in range(self.pilots):
                seen, mine = self.seen[pilot][kind], done / self.pilots
                seen[4 if late else 3] += mine
                seen[6] += 0.0 if late else mine * took * 1e6
                self.lanes[pilot].met(f"e{at}", mine, mine if late else 0)

    def _look(self, pilot: int) -> None:
        now, sums = int(self.t * 1e6), self.sums[pilot]
        if sums is None:
            return
        self.lanes[pilot].set_in_flight("proxies", self.open[pilot])
        pressure, ops = self.lanes[pilot].look(now)
        governor = self.governors[pilot]
        row = LoadReport(1, int(self.t * 1000), now, sums, pressure, ops, governor.share, governor.state)
        times = self.lying.get(pilot, 1.0)
        shown = (
            row
            if times == 1.0
            else row._replace(
                flows=tuple(Flow._make([*(value * times for value in flow[:6]), flow.took]) for flow in sums),
                pressure=min(9.0, pressure * times),
                share=0.0,
            )
        )
        for other, picture in enumerate(self.pictures):
            if other == pilot:
                picture.add_report(f"p{pilot}", row)
            elif other not in self.blind and self.chance.random() >= self.lost:
                picture.add_report(f"p{pilot}", shown)
        picture = self.pictures[pilot]
        self.answers[pilot] = governor.step(now, picture.totals(now), picture.others_share(now))
        self.own[pilot] = self.lanes[pilot].shares(now, self.answers[pilot].share)
        self.history.append([self.t, pilot, self.answers[pilot].share, pressure])

    # ---- what came of it

    def between(self, first: float, last: float, what: str) -> float:
        """A second, on average."""
        rows = [row[what] for row in self.told if first < row["t"] <= last]
        return sum(rows) / max(1e-9, last - first)


def even(count: int, can: float, spread: float = 0.3, seed: int = 1, kinds: int = 2) -> list[Place]:
    """`count` endpoints that can do `can` work a second together; the parts of what comes differ by up to `spread` from even."""
    chance = random.Random(seed)
    parts = [1 + chance.uniform(-spread, spread) for _ in range(count)]
    return [Place(can / count, part / sum(parts), [0.0] * kinds) for part in parts]


FETCH, ORDER = OpValue("fetch", 3.0, 1.0), OpValue("order", 2.0, 1.0)
KINDS = [Kind(FETCH, 0.71), Kind(ORDER, 0.29, 3.0)]
