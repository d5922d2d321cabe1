"""Sends a worker's arrivals at their times, on the loop, whatever becomes of those before: an open loop."""

from __future__ import annotations

from typing import Iterable

from cedarshift.load.arrivals import Arrival
from cedarshift.load.latency import Latencies
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.web import Pool

IN_FLIGHT_MOST = (
    5_000  # ops of one worker without an answer; an arrival beyond is left out, and the run not certified
)
DIAL = 1_000_000  # us
TOGETHER = 1_000  # us; arrivals so close are sent in one go


class Sender:
    """`begin`: us on the loop's clock. `targets`: where the ops go, by the arrivals' target numbers."""

    def __init__(
        self, loop: Loop, targets: list[tuple[str, int]], arrivals: Iterable[Arrival], begin: int
    ) -> None:
        self.loop = loop
        self.targets = targets
        self.arrivals = arrivals
        self.begin = begin
        self.pool = Pool(loop, DIAL)
        self.latencies = Latencies()
        self.planned = 0
        self.sent = 0
        self.left_out = 0
        self.open = 0

    def run(self) -> Coroutine:
        """Until every answer has come, or its op timeout has passed."""
        for arrival in self.arrivals:
            wait = self.begin + arrival.at - self.loop.now()
            if wait > 0:
                yield from self.loop.sleep(wait)
            elif self.planned % 64 == 0:
                yield from self.loop.yield_control()  # behind time: answers must be heard all the same
            self.planned += 1
            if self.open >= IN_FLIGHT_MOST:
                self.left_out += 1
                self.latencies.done(arrival.op.name, "left out", 0, 0)
                continue
            self.open += 1
            self.sent += 1
            self.loop.spawn(self._op(arrival), "op")
        while self.open:
            yield from self.loop.sleep(5_000)
        self.pool.close_idle()

    def _op(self, a: Arrival) -> Coroutine:
        intended, outcome = self.begin + a.at, "aborted"
        self.latencies.sent(intended, self.loop.now())
        until = intended + a.op.op_timeout
        headers = [
            ("x-op", f"load-{a.number}"),
            ("x-key", a.key),
            ("x-type", a.op.name),
            ("x-try", "0"),
            ("x-work-us", str(a.work)),
            ("x-left-us", str(max(1, until - self.loop.now()))),
        ]
        try:
            reply = yield from self.pool.request(self.targets[a.target], "POST", "/op", headers, b"", until)
            outcome = (
                "acked"
                if reply.status == 200
                else "rejected"
                if reply.headers.get("x-never-ran") == "1"
                else "aborted"
            )
        except TimedOut:
            outcome = "timed out"
        except StreamBroken:
            pass
        finally:
            self.open -= 1
            self.latencies.done(a.op.name, outcome, intended, self.loop.now())


__all__ = ["Sender"]
