"""The data plane of a run: proxies with the real agent and tables, and endpoints that take ops in. What passes is noted in the rehearsals'
own words, so that the same checkers judge it; ops themselves go from proxy to endpoint without HTTP, a message and its answer each."""

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

# Constants: unit, then the reason for the size.
OP_TYPES = (("get", False, 400_000), ("put", True, 300_000))  # name, writes, op timeout (us)
WORK_MOST = 40_000  # us that an op takes at an endpoint


class Notes:
    """A recorder that keeps its rows in memory, by the world's clock: hosts' own may run apart."""

    def __init__(self, world: World, who: str, rows: list[Row]) -> None:
        self.world = world
        self.who = who
        self.rows = rows

    def note(self, what: str, *details: Any) -> None:
        self.rows.append(Row(self.world.clock.time, self.who, what, list(details)))

    def close(self) -> None:
        pass


class SimEndpoint:
    """Takes ops in while it runs; one whose time is over is not begun. `born`: when it started."""

    def __init__(self, world: World, name: str, rows: list[Row], chance: random.Random) -> None:
        self.world = world
        self.name = name
        self.notes = Notes(world, name, rows)
        self.chance = chance
        self.alive = False
        self.hung_until = 0
        self.life = 0
        self.starts = 0
        self.born = 0
        self.under_way: dict[int, Optional[Callable[[bool], None]]] = {}
        self.drawn = 0

    def start(self, warm: bool) -> None:
        self.alive, self.hung_until = True, 0
        self.life += 1
        self.starts += 1
        self.born = self.world.clock.time - (10_000_000 if warm else 0)
        self.notes.note("start", self.name, "", 4, 1.0, warm)

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self.life += 1
            self.notes.note("died")
            ended, self.under_way = self.under_way, {}
            for answer in ended.values():
                if answer is not None:
                    self.world.network.call_later(200, partial(answer, False))

    def take(
        self, op: str, number: int, kind: int, proxy: str, until: int, answer: Callable[[bool], None]
    ) -> None:
        """An op arrives; `until` by the world's clock. `answer(acked)` goes back."""
        now = self.world.clock.time
        if not self.alive:
            answer(False)
            return
        if now >= until:  # its client has given up; begun now it would end after any hand-over's wait
            return
        name, writes, _ = OP_TYPES[kind]
        work = 1 + self.chance.randrange(WORK_MOST)
        self.notes.note("accept", op, number, name, 0, proxy, writes, work, until)
        self.drawn += 1
        self.under_way[self.drawn] = answer
        ends = min(until, max(now, self.hung_until) + work)
        self.world.network.call_later(ends - now, partial(self._end, self.life, self.drawn, op, ends < until))

    def _end(self, life: int, number: int, op: str, acked: bool) -> None:
        if life == self.life and self.alive:
            answer = self.under_way.pop(number, None)
            self.notes.note("end", op, "acked" if acked else "expired")
            if acked and answer is not None:
                answer(True)


class SimProxy(Proxy):
    """`send(proxy, pick, number, kind, until, answer)` carries an op."""

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
        self.recorder = Notes(world, name, rows)  # type: ignore[assignment]
        self.chance = random.Random(seed)
        self.shown = {}
        self.bare = []
        self.send_op = send
        self.slices = plan["slices"]
        self.rate = plan["rate"]
        self.buffer_for = plan["buffer_for"]
        self.drawn = 0
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
            self.chance.random,
            self._observe,
            lambda: self.chance.randbytes(16),
        )
        self.recorder.note("start", name, "", "sim")
        self.loop.spawn(self._ops(), "ops")

    def _ops(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(int(self.chance.expovariate(self.rate) * 1e6) + 1)
            self.loop.spawn(self._op(self.chance.randrange(self.slices), self.chance.randrange(2)), "op")

    def _op(self, number: int, kind: int) -> Coroutine:
        came, timeout = self.loop.now(), OP_TYPES[kind][2]
        self.drawn += 1
        op = f"{self.name}-{self.agent.shares.incarnation}-{self.drawn}"
        self.agent.on_op_received(number, kind)
        pick = yield from self.agent.pick_within(number, kind, self.buffer_for)
        if isinstance(pick, NoPick):
            self.outcomes["rejected"] += 1
            return
        begun = self.loop.now()
        self.recorder.note("send", op, number, OP_TYPES[kind][0], pick.endpoint, pick.pilot, pick.epoch)
        self.agent.on_try_started(pick)
        acked = yield from self._carried(op, pick, number, kind, came + timeout)
        self.agent.on_try_finished(pick, not acked, self.loop.now() - begun, kind)
        self.outcomes["acked" if acked else "aborted"] += 1
        if not acked:
            self.agent.on_op_unanswered(number, kind)

    def _carried(self, op: str, pick: Pick, number: int, kind: int, until: int) -> Coroutine:
        waker: Waker = self.loop.waker()

        def answered(acked: bool) -> None:
            if self.host.alive:
                waker.wake(acked)
                self.world.mark_runnable(self.host)

        self.send_op(self, op, pick, number, kind, self.host.clock.to_world_time(until), answered)
        try:
            return bool((yield from self.loop.park(until)))
        except TimedOut:
            return False
