"""A stand-in endpoint: cores that work, a waiting room, a cold start, and ways to fail. It knows nothing of slices' owners.

POST /op       headers x-op, x-slice, x-type, x-try, x-proxy, x-writes, x-work-us, x-left-us
POST /control  {"drain": bool, "hang_s": s, "fail": share, "slow": factor, "cut": share, "fail_type": name}
"""

from __future__ import annotations

import random
from collections import deque
from typing import Any, Optional

import msgspec

from cedarshift.loop import Loop, listen
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.formats import Member
from cedarshift.roster.register import Registration, RegistrationSettings
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, serve_http


class OwnNode(msgspec.Struct):
    """Where an endpoint keeps its own ephemeral node, and what that says."""

    servers: list[tuple[str, int]]
    path: str
    timeout_us: int
    form: str
    size: float
    start: str
    user: str


class EndpointPlan(msgspec.Struct):
    """`speed` 1 does work as asked; `tip_multiple` times the present capacity for `tip_after_us` makes it fall over."""

    name: str
    address: tuple[str, int]
    zone: str = ""
    cores: int = 4
    speed: float = 1.0
    queue: int = 40
    thrash: float = 0.02
    knee: int = 24
    cold_share: float = 1.0
    warm_within_us: int = 0
    tip_multiple: float = 0.0
    tip_after_us: int = 1_500_000
    connections_most: int = 2_000
    warm: bool = True
    seed: int = 0
    node: Optional[OwnNode] = None


class Op:
    """One op in hand."""

    def __init__(self, name: str, work: int, overdue_at: int, waker: Waker, asked: HttpRequest) -> None:
        self.name = name
        self.work = work
        self.overdue_at = overdue_at
        self.waker = waker
        self.asked = asked


class Endpoint:
    def __init__(self, loop: Loop, plan: EndpointPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.started = loop.now() - (plan.warm_within_us if plan.warm else 0)
        self.chance = random.Random(plan.seed)
        self.busy = 0
        self.waiting: deque[Op] = deque()
        self.came: deque[tuple[int, int]] = deque()  # (when, work) of the last `tip_after_us`
        self.hangs_until = 0
        self.fail = 0.0
        self.fail_type = ""
        self.cut = 0.0
        self.slow = 1.0
        self.drains = False
        recorder.note("start", plan.name, plan.zone, plan.cores, plan.speed, plan.warm)
        listener = listen(loop, plan.address, plan.connections_most)
        loop.spawn(serve_http(loop, listener, self._answer), "http")
        self.registration = self._register(plan.node) if plan.node is not None else None

    def _register(self, node: OwnNode) -> Registration:
        terms = RegistrationSettings(
            tuple(node.servers),
            node.path,
            node.timeout_us,
            node.form,
            "stand-in",
            (("digest", f"{node.user}:{node.user}".encode()),),
        )
        member = Member(self.plan.name, "on", node.size, self.plan.zone, node.start)
        return Registration(self.loop, terms, member, self.chance.random, self.loop.report)

    # ---- what is asked

    def _answer(self, asked: HttpRequest) -> Coroutine:
        if asked.target == "/control":
            self._control(msgspec.json.decode(asked.body))
            yield from self.loop.breathe()
            return HttpReply(200, b"{}")
        if asked.target == "/health":
            yield from self.loop.breathe()
            return HttpReply(200, b"ok")
        return (yield from self._serve(asked))

    def _control(self, order: dict[str, Any]) -> None:
        self.recorder.note("control", order)
        self.drains = order.get("drain", self.drains)
        if self.drains and self.registration is not None:
            self.registration.drain()
        self.fail = order.get("fail", self.fail)
        self.fail_type = order.get("fail_type", self.fail_type)
        self.cut = order.get("cut", self.cut)
        self.slow = order.get("slow", self.slow)
        if "hang_s" in order:
            self.hangs_until = self.loop.now() + int(order["hang_s"] * 1e6)
            self.loop.at(self.hangs_until, self._start_more)

    def _serve(self, asked: HttpRequest) -> Coroutine:
        head, now = asked.headers, self.loop.now()
        name, op_type = head.get("x-op", ""), head.get("x-type", "")
        if len(self.waiting) >= self.plan.queue:
            self.recorder.note("reject", name)
            yield from self.loop.breathe()
            return HttpReply(503, b"full", (("x-never-ran", "1"), ("x-retry-after-ms", "200")))
        work = int(head.get("x-work-us", "100000"))
        overdue_at = now + int(head.get("x-left-us", "6000000"))
        self.recorder.note(
            "accept",
            name,
            int(head.get("x-slice", "-1")),
            op_type,
            int(head.get("x-try", "0")),
            head.get("x-proxy", ""),
            head.get("x-writes") == "1",
            work,
            overdue_at,
        )
        self._weigh(now, work)
        fails = self.chance.random() < self.fail or (self.fail_type and op_type == self.fail_type)
        if fails and now >= self.hangs_until:
            self.recorder.note("end", name, "failed")
            yield from self.loop.breathe()
            return HttpReply(500, b"fault")
        op = Op(name, work, overdue_at, self.loop.waker(), asked)
        self.waiting.append(op)
        self._start_more()
        outcome = yield
        self.recorder.note("end", name, outcome)
        if outcome != "acked":
            return HttpReply(504, None)
        if self.chance.random() < self.cut:
            return HttpReply(200, b"done " + name.encode(), cut=3)
        return HttpReply(200, b"done " + name.encode())

    # ---- the work

    def capacity(self, now: int) -> float:
        """Share of the usual capacity that there is now."""
        plan = self.plan
        if not plan.warm_within_us or now - self.started >= plan.warm_within_us:
            return 1.0
        return plan.cold_share + (1 - plan.cold_share) * (now - self.started) / plan.warm_within_us

    def _weigh(self, now: int, work: int) -> None:
        """Falls over when cold and brought too much within the window."""
        self.came.append((now, work))
        while self.came[0][0] < now - self.plan.tip_after_us:
            self.came.popleft()
        usual = self.plan.cores * self.plan.speed * self.plan.tip_after_us
        share = self.capacity(now)
        brought = sum(w for _, w in self.came)
        if self.plan.tip_multiple and share < 1.0 and brought > self.plan.tip_multiple * share * usual:
            self.recorder.note("tipped", brought, share, [n.name for n in self.waiting][:20])
            self.loop.stop()

    def _start_more(self) -> None:
        now = self.loop.now()
        if now < self.hangs_until:
            return
        while self.waiting and self.busy < self.plan.cores:
            op = self.waiting.popleft()
            if now >= op.overdue_at or op.asked.hung_up():  # overdue, or nobody waits for it: it never runs
                op.waker.wake("expired")
                continue
            self.busy += 1
            held = self.busy + len(self.waiting)
            slower = 1 + self.plan.thrash * max(0, held - self.plan.knee)
            span = int(op.work * slower * self.slow / self.plan.speed / self.capacity(now))
            self.loop.at(min(now + span, op.overdue_at), self._finish, op)  # overdue work stops

    def _finish(self, op: Op) -> None:
        now = self.loop.now()
        if now < self.hangs_until:  # hung with the op in hand
            self.loop.at(self.hangs_until, self._finish, op)
            return
        self.busy -= 1
        op.waker.wake("acked" if now < op.overdue_at else "expired")
        self._start_more()


def run(loop: Loop, raw: bytes, record: str) -> Optional[Endpoint]:
    return Endpoint(loop, msgspec.json.decode(raw, type=EndpointPlan), Recorder(loop, record))
