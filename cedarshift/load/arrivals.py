"""When ops arrive and what they are, from one seed: an intensity over time, and what is drawn for each op. No I/O.

The times come from one stream whatever the number of workers: each worker draws all of them and keeps its own, so a run
on two processes has the same arrivals as one on eight. What an op is comes from its number, so a change of mix moves no time.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate
from typing import Iterator, NamedTuple

STEP = 5_000  # us over which the intensity is taken as constant: small beside any shape that is asked for
KEYS_MOST = 10_000_000


class OpMix(NamedTuple):
    """An op type of the load. `work`: us that it asks of an endpoint, its mean."""

    name: str
    share: float
    op_timeout: int
    work: int
    writes: bool = False


class Shape(NamedTuple):
    """What happens to the load from `at` on for `span` us.

    "ramp": the rate goes from `start` to `end` times, and stays there; "wave": it swings by `depth` with `period`; "burst": `end`
    times; "hot_key": `share` of all ops ask for one key; "shift": `share` of all ops turn to the target number `target`;
    "mix": the op types' shares are those of `shares`."""

    kind: str
    at: int
    span: int
    start: float = 1.0
    end: float = 1.0
    depth: float = 0.0
    period: int = 1
    share: float = 0.0
    target: int = 0
    shares: tuple[tuple[str, float], ...] = ()


class LoadPlan(NamedTuple):
    """`rate` in ops a second; `arrivals`: "poisson", "bursty" (two states, `burst_times` the mean rate in one, `burst_span` us there
    and `calm_span` in the other), "heavy" (gaps of a Pareto kind with `tail` above 1: the smaller, the heavier), "even"."""

    rate: float
    length: int
    ops: tuple[OpMix, ...]
    targets: int
    arrivals: str = "poisson"
    burst_times: float = 4.0
    burst_span: int = 500_000
    calm_span: int = 2_000_000
    tail: float = 1.6
    keys: int = 2_000
    zipf: float = 0.8
    clients: int = 50
    sizes_cv: float = 0.6
    work_cv: float = 0.5
    shapes: tuple[Shape, ...] = ()
    seed: int = 1


class Arrival(NamedTuple):
    """`at` in us from the load's begin."""

    number: int
    at: int
    op: OpMix
    key: str
    client: int
    target: int
    work: int


class Intensity:
    """Ops a microsecond at each time: the rate, its shapes, and for bursty arrivals the state that is drawn."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.shapes = [shape for shape in plan.shapes if shape.kind in ("ramp", "wave", "burst")]
        self.chance = random.Random(f"{plan.seed} states")
        self.burst = False
        self.until = 0  # when the state changes
        calm, burst = plan.calm_span, plan.burst_span
        # The calm state's factor, so that the mean over both is one.
        self.calm_times = max(0.0, (calm + burst - plan.burst_times * burst) / calm)

    def at(self, now: int) -> float:
        factor = 1.0
        for shape in self.shapes:
            factor *= _factor(shape, now)
        if self.plan.arrivals == "bursty":
            factor *= self._state(now)
        return self.plan.rate * factor / 1e6

    def _state(self, now: int) -> float:
        """Called with times that never go back."""
        while now >= self.until:
            self.burst = not self.burst
            span = self.plan.burst_span if self.burst else self.plan.calm_span
            self.until += int(self.chance.expovariate(1 / span)) + 1
        return self.plan.burst_times if self.burst else self.calm_times


def _factor(shape: Shape, now: int) -> float:
    if now < shape.at:
        return 1.0
    passed = now - shape.at
    if shape.kind == "ramp":
        share = min(1.0, passed / max(1, shape.span))
        return shape.start + (shape.end - shape.start) * share
    if passed >= shape.span:
        return 1.0
    if shape.kind == "burst":
        return shape.end
    return 1 + shape.depth * math.sin(2 * math.pi * passed / shape.period)


def gaps(plan: LoadPlan) -> Iterator[float]:
    """Gaps of mean one, in ops: the intensity says how long that is."""
    chance = random.Random(f"{plan.seed} gaps")
    while True:
        if plan.arrivals == "heavy":  # Lomax, scaled to mean one
            yield (plan.tail - 1) * ((1 - chance.random()) ** (-1 / plan.tail) - 1)
        elif plan.arrivals == "even":
            yield 1.0
        else:
            yield chance.expovariate(1.0)


def times(plan: LoadPlan) -> Iterator[int]:
    """When ops arrive, us from the begin, in order: unit gaps, carried over the intensity's integral."""
    intensity, now, left = Intensity(plan), 0, 0.0
    step_end, rate, at = 0, 0.0, 0.0
    for gap in gaps(plan):
        left = gap
        while True:
            if at >= step_end:
                now = step_end
                if now >= plan.length:
                    return
                rate, step_end = intensity.at(now), now + STEP
                at = float(now)
            room = (step_end - at) * rate
            if left < room:
                at += left / rate
                break
            left -= room
            at = float(step_end)
        if at >= plan.length:
            return
        yield int(at)


class Traffic:
    """What each op is: type, key, client and target. A client has a size and a home among the targets."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        chance = random.Random(f"{plan.seed} clients")
        sigma = math.sqrt(math.log(1 + plan.sizes_cv**2))
        self.clients = list(accumulate(math.exp(chance.gauss(0, sigma)) for _ in range(plan.clients)))
        self.homes = [chance.randrange(plan.targets) for _ in range(plan.clients)]
        self.keys = list(accumulate((n + 1) ** -plan.zipf for n in range(plan.keys)))
        self.mix = list(accumulate(op.share for op in plan.ops))
        self.turns = [shape for shape in plan.shapes if shape.kind in ("hot_key", "shift", "mix")]
        self.sigma = math.sqrt(math.log(1 + plan.work_cv**2))

    def draw(self, number: int, at: int) -> Arrival:
        chance = random.Random(self.plan.seed << 32 ^ number)
        op = self.plan.ops[_drawn(self.mix, chance)]
        key, client = f"k{_drawn(self.keys, chance)}", _drawn(self.clients, chance)
        target = self.homes[client]
        work = int(op.work * math.exp(chance.gauss(-(self.sigma**2) / 2, self.sigma)))
        for shape in self.turns:
            if shape.at <= at < shape.at + shape.span:
                luck = chance.random()
                if shape.kind == "mix":
                    shares = dict(shape.shares)
                    steps = list(accumulate(shares.get(one.name, 0.0) for one in self.plan.ops))
                    op = self.plan.ops[min(len(steps) - 1, bisect(steps, luck * steps[-1]))]
                elif luck < shape.share:
                    key = f"hot{shape.at}" if shape.kind == "hot_key" else key
                    target = shape.target % self.plan.targets if shape.kind == "shift" else target
        return Arrival(number, at, op, key, client, target, work)


def _drawn(steps: list[float], chance: random.Random) -> int:
    return min(len(steps) - 1, bisect(steps, chance.random() * steps[-1]))


def arrivals(plan: LoadPlan, worker: int = 0, workers: int = 1) -> Iterator[Arrival]:
    """This worker's part: each op whose number leaves `worker` over."""
    traffic = Traffic(plan)
    for number, at in enumerate(times(plan)):
        if number % workers == worker:
            yield traffic.draw(number, at)


__all__ = ["Arrival", "LoadPlan", "OpMix", "Shape", "arrivals", "gaps", "times"]
