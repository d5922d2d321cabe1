"""The simulated data plane: proxies with the real agent and tables, and endpoints.

Events are recorded in the format of the rehearsals, so that the same rule checkers apply. Ops go from proxy
to endpoint without HTTP, as one message and one answer.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any, Callable, Optional

from cedarshift.agent import Agent, NoPick, Tables
from cedarshift.agent.tables import OpKind, Pick
from cedarshift.codec import Identity
from cedarshift.loop import TimedOut
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.loop.world import Host, World
from cedarshift.rehearsal.evidence import Row
from cedarshift.standins.proxy import Proxy

OP_TYPES = (("get", False, 400_000), ("put", True, 300_000))  # name, writes, op timeout in us
MAX_WORK_US = 40_000  # of one op at an endpoint


class MemoryRecorder:
    """A recorder that keeps its rows in memory, timed by the world's clock rather than the host's."""

    def __init__(self, world: World, who: str, rows: list[Row]) -> None:
        self.world = world
        self.who = who
        self.rows = rows

    def note(self, event: str, *details: Any) -> None:
        self.rows.append(Row(self.world.clock.time, self.who, event, list(details)))

    def close(self) -> None:
        pass


class SimEndpoint:
    """An endpoint that accepts ops while it runs. `started_at` is the start of its process, in us."""

    def __init__(self, world: World, name: str, rows: list[Row], rng: random.Random) -> None:
        self.world = world
        self.name = name
        self.recorder = MemoryRecorder(world, name, rows)
        self.rng = rng
        self.alive = False
        self.hung_until = 0
        self.incarnation = 0
        self.starts = 0
        self.started_at = 0
        self.in_flight: dict[int, Optional[Callable[[bool], None]]] = {}
        self.op_count = 0

    def start(self, warm: bool) -> None:
        self.alive, self.hung_until = True, 0
        self.incarnation += 1
        self.starts += 1
        self.started_at = self.world.clock.time - (10_000_000 if warm else 0)
        self.recorder.note("start", self.name, "", 4, 1.0, warm)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self.incarnation += 1
            self.recorder.note("died")
            ended, self.in_flight = self.in_flight, {}
            for answer in ended.values():
                if answer is not None:
                    self.world.network.call_later(200, partial(answer, False))

    def receive(
        self, op: str, slice_id: int, op_type: int, proxy: str, deadline: int, answer: Callable[[bool], None]
    ) -> None:
        """Receives an op with a deadline on the world's clock; calls `answer(acked)` when it ends."""
        now = self.world.clock.time
        if not self.alive:
            answer(False)
            return
        if now >= deadline:  # the client has given up
            return
        name, writes, _ = OP_TYPES[op_type]
        work = 1 + self.rng.randrange(MAX_WORK_US)
        self.recorder.note("accept", op, slice_id, name, 0, proxy, writes, work, deadline)
        self.op_count += 1
        self.in_flight[self.op_count] = answer
        end_at = min(deadline, max(now, self.hung_until) + work)
        self.world.network.call_later(
            end_at - now, partial(self._end, self.incarnation, self.op_count, op, end_at < deadline)
        )

    def _end(self, incarnation: int, op_number: int, op: str, acked: bool) -> None:
        if incarnation == self.incarnation and self.alive:
            answer = self.in_flight.pop(op_number, None)
            self.recorder.note("end", op, "acked" if acked else "expired")
            if acked and answer is not None:
                answer(True)


class SimProxy(Proxy):
    """A proxy whose ops are sent by `send(proxy, op, pick, slice_id, op_type, deadline, on_answer)`."""

    def __init__(
        self,
        host: Host,
        world: World,
        name: str,
        plan: dict[str, Any],
        rows: list[Row],
        seed: str,
        send: Callable[..., None],
    ) -> None:
        self.loop = host.loop
        self.host = host
        self.world = world
        self.name = name
        self.recorder = MemoryRecorder(world, name, rows)  # type: ignore[assignment]
        self.rng = random.Random(seed)
        self.recorded_slices = {}
        self.bare = []
        self.send_op = send
        self.slices = plan["slices"]
        self.rate = plan["rate"]
        self.buffer_for = plan["buffer_for"]
        self.op_count = 0
        self.outcomes = {"acked": 0, "aborted": 0, "rejected": 0}
        self.tables = Tables(
            self.slices, [OpKind(op, writes) for op, writes, _ in OP_TYPES], True, plan["lease"], True
        )
        identity = Identity("sim", "proxy", name, "", b"")
        self.agent = Agent(
            self.loop,
            identity,
            plan["pilots"],
            plan["store"],
            self.tables,
            self.rng.random,
            self._observe,
            lambda: self.rng.randbytes(16),
        )
        self.recorder.note("start", name, "", "sim")
        self.loop.spawn(self._generate_ops(), "ops")

    def _generate_ops(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(int(self.rng.expovariate(self.rate) * 1e6) + 1)
            self.loop.spawn(self._run_op(self.rng.randrange(self.slices), self.rng.randrange(2)), "op")

    def _run_op(self, slice_id: int, op_type: int) -> Coroutine:
        received_at, timeout = self.loop.now(), OP_TYPES[op_type][2]
        self.op_count += 1
        op = f"{self.name}-{self.agent.shares.incarnation}-{self.op_count}"
        self.agent.on_op_received(slice_id, op_type)
        pick = yield from self.agent.pick_within(slice_id, op_type, self.buffer_for)
        if isinstance(pick, NoPick):
            self.outcomes["rejected"] += 1
            return
        started_at = self.loop.now()
        self.recorder.note("send", op, slice_id, OP_TYPES[op_type][0], pick.endpoint, pick.pilot, pick.epoch)
        self.agent.on_try_started(pick)
        acked = yield from self._send_and_wait(op, pick, slice_id, op_type, received_at + timeout)
        self.agent.on_try_finished(pick, not acked, self.loop.now() - started_at, op_type)
        self.outcomes["acked" if acked else "aborted"] += 1
        if not acked:
            self.agent.on_op_unanswered(slice_id, op_type)

    def _send_and_wait(self, op: str, pick: Pick, slice_id: int, op_type: int, deadline: int) -> Coroutine:
        waker: Waker = self.loop.waker()

        def on_answer(acked: bool) -> None:
            if self.host.alive:
                waker.wake(acked)
                self.world.mark_runnable(self.host)

        self.send_op(self, op, pick, slice_id, op_type, self.host.clock.to_world_time(deadline), on_answer)
        try:
            return bool((yield from self.loop.park(deadline)))
        except TimedOut:
            return False
