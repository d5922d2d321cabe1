"""Open-loop sender: sends each op at its arrival time, whether or not earlier ops have been answered."""

from __future__ import annotations

from typing import Iterable

from cedarshift.load.arrivals import Arrival
from cedarshift.load.latency import Latencies
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.web import Pool

MAX_IN_FLIGHT = 5_000  # unanswered ops of one worker; arrivals beyond are left out
DIAL_TIMEOUT_US = 1_000_000
SEND_BATCH_WINDOW_US = 1_000


class Sender:
    """Sends arrivals to `targets`, by target number; `begin` is the start in us on the loop's clock."""

    def __init__(
        self, loop: Loop, targets: list[tuple[str, int]], arrivals: Iterable[Arrival], begin: int
    ) -> None:
        self.loop = loop
        self.targets = targets
        self.arrivals = arrivals
        self.begin = begin
        self.pool = Pool(loop, DIAL_TIMEOUT_US)
        self.latencies = Latencies()
        self.planned = 0
        self.sent = 0
        self.left_out = 0
        self.in_flight = 0

    def run(self) -> Coroutine:
        """Sends all arrivals and waits until each is answered or has timed out."""
        for arrival in self.arrivals:
            wait = self.begin + arrival.at - self.loop.now()
            if wait > 0:
                yield from self.loop.sleep(wait)
            elif self.planned % 64 == 0:
                yield from self.loop.yield_control()  # lets answers be processed while behind schedule
            self.planned += 1
            if self.in_flight >= MAX_IN_FLIGHT:
                self.left_out += 1
                self.latencies.record_outcome(arrival.op.name, "left out", 0, 0)
                continue
            self.in_flight += 1
            self.sent += 1
            self.loop.spawn(self._op(arrival), "op")
        while self.in_flight:
            yield from self.loop.sleep(5_000)
        self.pool.close_idle()

    def _op(self, arrival: Arrival) -> Coroutine:
        intended, outcome = self.begin + arrival.at, "aborted"
        self.latencies.record_sent(intended, self.loop.now())
        until = intended + arrival.op.op_timeout
        headers = [
            ("x-op", f"load-{arrival.number}"),
            ("x-key", arrival.key),
            ("x-type", arrival.op.name),
            ("x-try", "0"),
            ("x-work-us", str(arrival.work)),
            ("x-left-us", str(max(1, until - self.loop.now()))),
        ]
        try:
            reply = yield from self.pool.request(
                self.targets[arrival.target], "POST", "/op", headers, b"", until
            )
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
            self.in_flight -= 1
            self.latencies.record_outcome(arrival.op.name, outcome, intended, self.loop.now())


__all__ = ["Sender"]
