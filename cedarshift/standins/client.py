"""Stand-in clients: an open-loop load generator that retries as each op type allows.

Arrivals do not wait for answers, so a stall appears as late ops rather than as fewer ops.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate
from typing import NamedTuple, Optional

import msgspec

from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.standins.record import Recorder
from cedarshift.web import Pool
from cedarshift.web.client import NotSentError, Reply

RETRY_DELAY_US = 100_000  # used if the answer names no delay
MIN_RETRY_TIME_US = 50_000  # a retry needs this much of the op timeout


class ClientOp(msgspec.Struct):
    """An op type: share of the ops, time limits, whether it may be retried (`repeats`), mean work."""

    name: str
    share: float
    target_us: int
    timeout_us: int
    repeats: str
    work_us: int


class Burst(msgspec.Struct):
    """A change of the load from `at_us` on, for `for_us`.

    `times` multiplies the rate, `hot` is the share of ops for `key`, and most ops go to the proxies in
    `toward`.
    """

    at_us: int
    for_us: int
    times: float = 1.0
    hot: float = 0.0
    key: str = ""
    toward: list[str] = []


class ClientPlan(msgspec.Struct):
    """Settings of a client process, passed as JSON."""

    name: str
    proxies: dict[str, tuple[str, int]]
    rate: float  # ops per second of this process
    begin_us: int
    length_us: int
    op_types: list[ClientOp]
    keys: int = 2_000
    zipf: float = 0.8
    retries: int = 2
    sizes_cv: float = 0.6  # spread of the proxies' traffic: sigma of a log-normal distribution
    bursts: list[Burst] = []
    seed: int = 0
    count_most: int = 200_000


class Arrival(NamedTuple):
    """One op and the time at which it is due (`at`, in us); `work` in us."""

    at: int
    name: str
    op: ClientOp
    key: str
    proxy: str
    work: int


class Clients:
    """Generates the ops of a plan and sends them to the proxies."""

    def __init__(self, loop: Loop, plan: ClientPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.rng = random.Random(plan.seed)
        self.pool = Pool(loop, 500_000)
        self.names = sorted(plan.proxies)
        sizes = [math.exp(self.rng.gauss(0, plan.sizes_cv)) for _ in self.names]
        self.cumulative_proxy_weights = list(accumulate(sizes))
        self.cumulative_key_weights = list(accumulate(1 / (n + 1) ** plan.zipf for n in range(plan.keys)))
        self.open_ops = 0
        loop.spawn(self._generate_arrivals(), "arrivals")

    def _weighted_index(self, cumulative: list[float]) -> int:
        return min(len(cumulative) - 1, bisect(cumulative, self.rng.random() * cumulative[-1]))

    def _active_bursts(self, at: int) -> list[Burst]:
        return [b for b in self.plan.bursts if b.at_us <= at < b.at_us + b.for_us]

    def _generate_arrivals(self) -> Coroutine:
        """Starts ops by a Poisson process whose rate follows the bursts.

        An op that starts late keeps its intended time.
        """
        plan, at, count = self.plan, 0, 0
        while count < plan.count_most:
            rate = plan.rate * math.prod(b.times for b in self._active_bursts(at))
            at += int(self.rng.expovariate(rate) * 1e6) + 1
            if at >= plan.length_us:
                break
            count += 1
            arrival = self._make_arrival(at, f"{plan.name}-{count}")
            wait = plan.begin_us + at - self.loop.now()
            if wait > 0:
                yield from self.loop.sleep(wait)
            self.open_ops += 1
            self.loop.spawn(self._run_op(arrival), "op")
        while self.open_ops:
            yield from self.loop.sleep(50_000)
        self.recorder.note("over", count)
        self.loop.stop()

    def _make_arrival(self, at: int, name: str) -> Arrival:
        bursts = self._active_bursts(at)
        op = self.plan.op_types[self._weighted_index(list(accumulate(o.share for o in self.plan.op_types)))]
        proxy = self.names[self._weighted_index(self.cumulative_proxy_weights)]
        key = f"k{self._weighted_index(self.cumulative_key_weights)}"
        for burst in bursts:
            if burst.hot and self.rng.random() < burst.hot:
                key = burst.key
            if burst.toward and self.rng.random() < 0.6:
                proxy = self.rng.choice(burst.toward)
        work = int(op.work_us * self.rng.lognormvariate(-0.125, 0.5))
        return Arrival(self.plan.begin_us + at, name, op, key, proxy, work)

    def _run_op(self, arrival: Arrival) -> Coroutine:
        deadline, tries, outcome = arrival.at + arrival.op.timeout_us, 0, "aborted"
        self.recorder.note(
            "op", arrival.name, arrival.op.name, arrival.key, arrival.at, self.loop.now() - arrival.at
        )
        try:
            while True:
                reply = yield from self._send_try(arrival, tries, deadline)
                tries += 1
                if reply is not None and reply.status == 200:
                    outcome = "acked"
                    break
                never_ran = reply is not None and reply.headers.get("x-never-ran") == "1"
                outcome = "rejected" if never_ran else "aborted"
                wait = int(reply.headers.get("x-retry-after-ms", "0")) * 1000 if reply is not None else 0
                wait = int((wait or RETRY_DELAY_US) * (0.5 + self.rng.random()))
                retry_hint = reply.headers.get("x-again", "") if reply is not None else ""
                may_retry = (never_ran or arrival.op.repeats == "retryable") and retry_hint != "no"
                if retry_hint == "elsewhere":  # another proxy may accept the op
                    arrival = arrival._replace(proxy=self.rng.choice(self.names))
                if (
                    not may_retry
                    or tries > self.plan.retries
                    or self.loop.now() + wait + MIN_RETRY_TIME_US > deadline
                ):
                    break
                yield from self.loop.sleep(wait)
        finally:
            self.open_ops -= 1
            self.recorder.note("done", arrival.name, outcome, self.loop.now() - arrival.at, tries)

    def _send_try(self, arrival: Arrival, tries: int, deadline: int) -> Coroutine:
        headers = [
            ("x-op", arrival.name),
            ("x-key", arrival.key),
            ("x-type", arrival.op.name),
            ("x-try", str(tries)),
            ("x-work-us", str(arrival.work)),
            ("x-left-us", str(max(1, deadline - self.loop.now()))),
        ]
        address = self.plan.proxies[arrival.proxy]
        try:
            return (yield from self.pool.request(address, "POST", "/op", headers, b"", deadline + 100_000))
        except NotSentError:  # the proxy is down and has received nothing
            return Reply(503, {"x-never-ran": "1"}, b"")
        except (StreamBroken, TimedOut):
            return None


def run(loop: Loop, raw: bytes, record: str) -> Optional[Clients]:
    return Clients(loop, msgspec.json.decode(raw, type=ClientPlan), Recorder(loop, record))
