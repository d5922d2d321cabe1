"""Generation of arrivals from a seed: arrival times from an intensity, and the attributes of each op. No I/O.

Each worker generates all arrival times and keeps its own, so the arrivals do not depend on the number of
workers. The attributes of an op derive from its number, so a change of the mix does not change the times.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate
from typing import Iterator, NamedTuple

INTENSITY_STEP_US = 5_000  # the intensity is constant within a step
MAX_KEYS = 10_000_000


class OpMix(NamedTuple):
    """An op type of the load. `work` is its mean service time and `op_timeout` its timeout, both in us."""

    name: str
    share: float
    op_timeout: int
    work: int
    writes: bool = False


class Shape(NamedTuple):
    """A change of the load from `at` on for `span`, both in us.

    "ramp": the rate factor goes from `start` to `end` and stays there; "wave": the rate varies as a sine of
    amplitude `depth` and `period` (us); "burst": the rate factor is `end`; "hot_key": `share` of the ops
    use one key; "shift": `share` of the ops go to target number `target`; "mix": the op types have the
    given `shares`.
    """

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
    """A load to generate, `rate` in ops per second and times in us.

    `arrivals` is one of "poisson", "even", "bursty" (two states of mean length `burst_span` and
    `calm_span`, the first with `burst_times` the mean rate) and "heavy" (Lomax gaps with shape `tail` above
    1). `zipf` is the exponent of the key distribution; `sizes_cv` and `work_cv` are coefficients of
    variation of client sizes and op work.
    """

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
    """An op to send `at` us after the start of the load."""

    number: int
    at: int
    op: OpMix
    key: str
    client: int
    target: int
    work: int


class Intensity:
    """The arrival rate over time, in ops per us, from the plan's rate, shapes and burst states."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.shapes = [shape for shape in plan.shapes if shape.kind in ("ramp", "wave", "burst")]
        self.rng = random.Random(f"{plan.seed} states")
        self.burst = False
        self.until = 0  # end of the current state
        calm, burst = plan.calm_span, plan.burst_span
        # Chosen so that the mean factor over both states is one.
        self.calm_factor = max(0.0, (calm + burst - plan.burst_times * burst) / calm)

    def at(self, now: int) -> float:
        factor = 1.0
        for shape in self.shapes:
            factor *= _factor(shape, now)
        if self.plan.arrivals == "bursty":
            factor *= self._state(now)
        return self.plan.rate * factor / 1e6

    def _state(self, now: int) -> float:
        """Returns the factor of the burst state. Times must not decrease between calls."""
        while now >= self.until:
            self.burst = not self.burst
            span = self.plan.burst_span if self.burst else self.plan.calm_span
            self.until += int(self.rng.expovariate(1 / span)) + 1
        return self.plan.burst_times if self.burst else self.calm_factor


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
    """Yields gaps of mean one, in ops; the intensity converts them to time."""
    rng = random.Random(f"{plan.seed} gaps")
    while True:
        if plan.arrivals == "heavy":  # Lomax distribution, scaled to mean one
            yield (plan.tail - 1) * ((1 - rng.random()) ** (-1 / plan.tail) - 1)
        elif plan.arrivals == "even":
            yield 1.0
        else:
            yield rng.expovariate(1.0)


def arrival_times(plan: LoadPlan) -> Iterator[int]:
    """Yields the arrival times in us from the start, in order, by scaling unit gaps with the intensity."""
    intensity, now, left = Intensity(plan), 0, 0.0
    step_end, rate, at = 0, 0.0, 0.0
    for gap in gaps(plan):
        left = gap
        while True:
            if at >= step_end:
                now = step_end
                if now >= plan.length:
                    return
                rate, step_end = intensity.at(now), now + INTENSITY_STEP_US
                at = float(now)
            ops_in_step = (step_end - at) * rate
            if left < ops_in_step:
                at += left / rate
                break
            left -= ops_in_step
            at = float(step_end)
        if at >= plan.length:
            return
        yield int(at)


class Traffic:
    """Draws the attributes of ops. Each client has a relative size and a home target."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        rng = random.Random(f"{plan.seed} clients")
        sigma = math.sqrt(math.log(1 + plan.sizes_cv**2))
        self.clients = list(accumulate(math.exp(rng.gauss(0, sigma)) for _ in range(plan.clients)))
        self.home_targets = [rng.randrange(plan.targets) for _ in range(plan.clients)]
        self.keys = list(accumulate((n + 1) ** -plan.zipf for n in range(plan.keys)))
        self.mix = list(accumulate(op.share for op in plan.ops))
        self.traffic_shapes = [shape for shape in plan.shapes if shape.kind in ("hot_key", "shift", "mix")]
        self.sigma = math.sqrt(math.log(1 + plan.work_cv**2))

    def draw(self, number: int, at: int) -> Arrival:
        rng = random.Random(self.plan.seed << 32 ^ number)
        op = self.plan.ops[_weighted_index(self.mix, rng)]
        key, client = f"k{_weighted_index(self.keys, rng)}", _weighted_index(self.clients, rng)
        target = self.home_targets[client]
        work = int(op.work * math.exp(rng.gauss(-(self.sigma**2) / 2, self.sigma)))
        for shape in self.traffic_shapes:
            if shape.at <= at < shape.at + shape.span:
                draw_value = rng.random()
                if shape.kind == "mix":
                    shares = dict(shape.shares)
                    steps = list(accumulate(shares.get(one.name, 0.0) for one in self.plan.ops))
                    op = self.plan.ops[min(len(steps) - 1, bisect(steps, draw_value * steps[-1]))]
                elif draw_value < shape.share:
                    key = f"hot{shape.at}" if shape.kind == "hot_key" else key
                    target = shape.target % self.plan.targets if shape.kind == "shift" else target
        return Arrival(number, at, op, key, client, target, work)


def _weighted_index(steps: list[float], rng: random.Random) -> int:
    return min(len(steps) - 1, bisect(steps, rng.random() * steps[-1]))


def arrivals(plan: LoadPlan, worker: int = 0, workers: int = 1) -> Iterator[Arrival]:
    """Yields the arrivals of one worker: those whose number modulo `workers` is `worker`."""
    traffic = Traffic(plan)
    for number, at in enumerate(arrival_times(plan)):
        if number % workers == worker:
            yield traffic.draw(number, at)


__all__ = ["Arrival", "LoadPlan", "OpMix", "Shape", "arrival_times", "arrivals", "gaps"]
