"""Stand-in clients: open-loop arrivals, so that a stall shows as late ops and not as fewer; retries as each op type allows."""

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

BACKOFF = 100_000  # us before a repeat where the answer names no time
LEAST_LEFT = 50_000  # us that must be left of the op timeout for a repeat to make sense


class ClientOp(msgspec.Struct):
    name: str
    share: float
    target_us: int
    timeout_us: int
    repeats: str
    work_us: int


class Burst(msgspec.Struct):
    """From `at_us` for `for_us` the rate is multiplied; or `hot` of the traffic goes to one key; or to some proxies."""

    at_us: int
    for_us: int
    times: float = 1.0
    hot: float = 0.0
    key: str = ""
    toward: list[str] = []


class ClientPlan(msgspec.Struct):
    name: str
    proxies: dict[str, tuple[str, int]]
    rate: float  # ops a second of this process
    begin_us: int
    length_us: int
    op_types: list[ClientOp]
    keys: int = 2_000
    zipf: float = 0.8
    retries: int = 2
    sizes_cv: float = 0.6  # how unequal the proxies' traffic is
    bursts: list[Burst] = []
    seed: int = 0
    count_most: int = 200_000


class Arrival(NamedTuple):
    at: int
    name: str
    op: ClientOp
    key: str
    proxy: str
    work: int


class Clients:
    def __init__(self, loop: Loop, plan: ClientPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.chance = random.Random(plan.seed)
        self.pool = Pool(loop, 500_000)
        self.names = sorted(plan.proxies)
        sizes = [math.exp(self.chance.gauss(0, plan.sizes_cv)) for _ in self.names]
        self.proxy_steps = list(accumulate(sizes))
        self.key_steps = list(accumulate(1 / (n + 1) ** plan.zipf for n in range(plan.keys)))
        self.open = 0
        loop.spawn(self._arrivals(), "arrivals")

    def _drawn(self, steps: list[float]) -> int:
        return min(len(steps) - 1, bisect(steps, self.chance.random() * steps[-1]))

    def _bursts(self, at: int) -> list[Burst]:
        return [b for b in self.plan.bursts if b.at_us <= at < b.at_us + b.for_us]

    def _arrivals(self) -> Coroutine:
        """A Poisson process whose rate follows the bursts; each op has its intended time, kept or missed."""
        plan, at, count = self.plan, 0, 0
        while count < plan.count_most:
            rate = plan.rate * math.prod(b.times for b in self._bursts(at))
            at += int(self.chance.expovariate(rate) * 1e6) + 1
            if at >= plan.length_us:
                break
            count += 1
            arrival = self._draw(at, f"{plan.name}-{count}")
            wait = plan.begin_us + at - self.loop.now()
            if wait > 0:
                yield from self.loop.sleep(wait)
            self.open += 1
            self.loop.spawn(self._op(arrival), "op")
        while self.open:
            yield from self.loop.sleep(50_000)
        self.recorder.note("over", count)
        self.loop.stop()

    def _draw(self, at: int, name: str) -> Arrival:
        bursts = self._bursts(at)
        op = self.plan.op_types[self._drawn(list(accumulate(o.share for o in self.plan.op_types)))]
        proxy = self.names[self._drawn(self.proxy_steps)]
        key = f"k{self._drawn(self.key_steps)}"
        for burst in bursts:
            if burst.hot and self.chance.random() < burst.hot:
                key = burst.key
            if burst.toward and self.chance.random() < 0.6:
                proxy = self.chance.choice(burst.toward)
        work = int(op.work_us * self.chance.lognormvariate(-0.125, 0.5))
        return Arrival(self.plan.begin_us + at, name, op, key, proxy, work)

    def _op(self, a: Arrival) -> Coroutine:
        until, tries, outcome = a.at + a.op.timeout_us, 0, "aborted"
        self.recorder.note("op", a.name, a.op.name, a.key, a.at, self.loop.now() - a.at)
        try:
            while True:
                reply = yield from self._try(a, tries, until)
                tries += 1
                if reply is not None and reply.status == 200:
                    outcome = "acked"
                    break
                never_ran = reply is not None and reply.headers.get("x-never-ran") == "1"
                outcome = "rejected" if never_ran else "aborted"
                wait = int(reply.headers.get("x-retry-after-ms", "0")) * 1000 if reply is not None else 0
                wait = int((wait or BACKOFF) * (0.5 + self.chance.random()))
                again = reply.headers.get("x-again", "") if reply is not None else ""
                may = (never_ran or a.op.repeats == "retryable") and again != "no"
                if again == "elsewhere":  # this proxy can't, another one may
                    a = a._replace(proxy=self.chance.choice(self.names))
                if not may or tries > self.plan.retries or self.loop.now() + wait + LEAST_LEFT > until:
                    break
                yield from self.loop.sleep(wait)
        finally:
            self.open -= 1
            self.recorder.note("done", a.name, outcome, self.loop.now() - a.at, tries)

    def _try(self, a: Arrival, tries: int, until: int) -> Coroutine:
        headers = [
            ("x-op", a.name),
            ("x-key", a.key),
            ("x-type", a.op.name),
            ("x-try", str(tries)),
            ("x-work-us", str(a.work)),
            ("x-left-us", str(max(1, until - self.loop.now()))),
        ]
        address = self.plan.proxies[a.proxy]
        try:
            return (yield from self.pool.request(address, "POST", "/op", headers, b"", until + 100_000))
        except NotSentError:  # the proxy is down: nothing has left this client
            return Reply(503, {"x-never-ran": "1"}, b"")
        except (StreamBroken, TimedOut):
            return None


def run(loop: Loop, raw: bytes, record: str) -> Optional[Clients]:
    return Clients(loop, msgspec.json.decode(raw, type=ClientPlan), Recorder(loop, record))
