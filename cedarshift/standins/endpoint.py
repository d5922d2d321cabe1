"""A stand-in endpoint with cores, a queue, a cold start and injected failures.

It does not check who owns a slice.

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
    """The ephemeral node by which an endpoint registers itself, and its contents."""

    servers: list[tuple[str, int]]
    path: str
    timeout_us: int
    form: str
    size: float
    start: str
    user: str


class EndpointPlan(msgspec.Struct):
    """Settings of an endpoint, passed as JSON.

    An op takes its work divided by `speed`. Above `knee` ops in hand, each further one slows work down by
    `thrash`. A cold endpoint that is offered more than `tip_multiple` times its present capacity over
    `tip_after_us` stops.
    """

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
    """An op that is queued or running; `work` and `overdue_at` in us."""

    def __init__(self, name: str, work: int, overdue_at: int, waker: Waker, request: HttpRequest) -> None:
        self.name = name
        self.work = work
        self.overdue_at = overdue_at
        self.waker = waker
        self.request = request


class Endpoint:
    """Serves ops over HTTP and records each one."""

    def __init__(self, loop: Loop, plan: EndpointPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.started = loop.now() - (plan.warm_within_us if plan.warm else 0)
        self.rng = random.Random(plan.seed)
        self.busy_cores = 0
        self.queued_ops: deque[Op] = deque()
        self.arrivals: deque[tuple[int, int]] = deque()  # (time, work) within the last `tip_after_us`
        self.hung_until = 0
        self.fail = 0.0
        self.fail_type = ""
        self.cut = 0.0
        self.slow = 1.0
        self.draining = False
        recorder.note("start", plan.name, plan.zone, plan.cores, plan.speed, plan.warm)
        listener = listen(loop, plan.address, plan.connections_most)
        loop.spawn(serve_http(loop, listener, self._handle_request), "http")
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
        return Registration(self.loop, terms, member, self.rng.random, self.loop.report)

    # ---- requests

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        if request.target == "/control":
            self._control(msgspec.json.decode(request.body))
            yield from self.loop.yield_control()
            return HttpReply(200, b"{}")
        if request.target == "/health":
            yield from self.loop.yield_control()
            return HttpReply(200, b"ok")
        return (yield from self._serve(request))

    def _control(self, command: dict[str, Any]) -> None:
        self.recorder.note("control", command)
        self.draining = command.get("drain", self.draining)
        if self.draining and self.registration is not None:
            self.registration.drain()
        self.fail = command.get("fail", self.fail)
        self.fail_type = command.get("fail_type", self.fail_type)
        self.cut = command.get("cut", self.cut)
        self.slow = command.get("slow", self.slow)
        if "hang_s" in command:
            self.hung_until = self.loop.now() + int(command["hang_s"] * 1e6)
            self.loop.at(self.hung_until, self._start_queued)

    def _serve(self, request: HttpRequest) -> Coroutine:
        headers, now = request.headers, self.loop.now()
        name, op_type = headers.get("x-op", ""), headers.get("x-type", "")
        if len(self.queued_ops) >= self.plan.queue:
            self.recorder.note("reject", name)
            yield from self.loop.yield_control()
            return HttpReply(503, b"full", (("x-never-ran", "1"), ("x-retry-after-ms", "200")))
        work = int(headers.get("x-work-us", "100000"))
        overdue_at = now + int(headers.get("x-left-us", "6000000"))
        self.recorder.note(
            "accept",
            name,
            int(headers.get("x-slice", "-1")),
            op_type,
            int(headers.get("x-try", "0")),
            headers.get("x-proxy", ""),
            headers.get("x-writes") == "1",
            work,
            overdue_at,
        )
        self._check_overload(now, work)
        fails = self.rng.random() < self.fail or (self.fail_type and op_type == self.fail_type)
        if fails and now >= self.hung_until:
            self.recorder.note("end", name, "failed")
            yield from self.loop.yield_control()
            return HttpReply(500, b"fault")
        op = Op(name, work, overdue_at, self.loop.waker(), request)
        self.queued_ops.append(op)
        self._start_queued()
        outcome = yield
        self.recorder.note("end", name, outcome)
        if outcome != "acked":
            return HttpReply(504, None)
        if self.rng.random() < self.cut:
            return HttpReply(200, b"done " + name.encode(), cut=3)
        return HttpReply(200, b"done " + name.encode())

    # ---- work

    def capacity(self, now: int) -> float:
        """Returns the present share of the full capacity, which grows linearly during the warm-up."""
        plan = self.plan
        if not plan.warm_within_us or now - self.started >= plan.warm_within_us:
            return 1.0
        return plan.cold_share + (1 - plan.cold_share) * (now - self.started) / plan.warm_within_us

    def _check_overload(self, now: int, work: int) -> None:
        """Stops the endpoint if it is cold and was offered too much work within `tip_after_us`."""
        self.arrivals.append((now, work))
        while self.arrivals[0][0] < now - self.plan.tip_after_us:
            self.arrivals.popleft()
        full_work = self.plan.cores * self.plan.speed * self.plan.tip_after_us
        share = self.capacity(now)
        offered_work = sum(w for _, w in self.arrivals)
        if (
            self.plan.tip_multiple
            and share < 1.0
            and offered_work > self.plan.tip_multiple * share * full_work
        ):
            self.recorder.note("tipped", offered_work, share, [n.name for n in self.queued_ops][:20])
            self.loop.stop()

    def _start_queued(self) -> None:
        now = self.loop.now()
        if now < self.hung_until:
            return
        while self.queued_ops and self.busy_cores < self.plan.cores:
            op = self.queued_ops.popleft()
            if now >= op.overdue_at or op.request.hung_up():  # overdue, or the client has gone
                op.waker.wake("expired")
                continue
            self.busy_cores += 1
            in_hand = self.busy_cores + len(self.queued_ops)
            slower = 1 + self.plan.thrash * max(0, in_hand - self.plan.knee)
            span = int(op.work * slower * self.slow / self.plan.speed / self.capacity(now))
            self.loop.at(min(now + span, op.overdue_at), self._finish, op)  # work stops at the op timeout

    def _finish(self, op: Op) -> None:
        now = self.loop.now()
        if now < self.hung_until:  # the endpoint hangs: ends later
            self.loop.at(self.hung_until, self._finish, op)
            return
        self.busy_cores -= 1
        op.waker.wake("acked" if now < op.overdue_at else "expired")
        self._start_queued()


def run(loop: Loop, raw: bytes, record: str) -> Optional[Endpoint]:
    return Endpoint(loop, msgspec.json.decode(raw, type=EndpointPlan), Recorder(loop, record))
