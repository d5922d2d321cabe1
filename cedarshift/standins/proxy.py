"""A stand-in proxy: the agent, and a listening side over HTTP/1.1. Broken kinds exist to see the rule checkers fire.

POST /op       headers x-op, x-key, x-type, x-try, x-work-us, x-left-us
POST /control  {"slow_zone": zone, "slow_ms": ms}
"""

from __future__ import annotations

import random
from collections import deque
from hashlib import blake2b
from typing import Any

import msgspec

from cedarshift.agent import Agent, NoPick, Pick, Tables
from cedarshift.agent.gate import Rejection
from cedarshift.agent.tables import ALL_TABLES, OpKind
from cedarshift.codec import Identity
from cedarshift.codec import messages as m
from cedarshift.loop import Loop, StreamBroken, TimedOut, listen
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import random_bytes
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, Pool, serve_http
from cedarshift.web.client import NotSentError

AGAIN_AFTER = 100_000  # us before a repeat, jittered by half
NEVER_RAN = (("x-never-ran", "1"), ("x-retry-after-ms", "200"))


class ProxyPlan(msgspec.Struct):
    """`kind`: "plain"; "deaf" acks orders and keeps its old lines; "forgetful" drops its tables `at_us` after the start;
    "pushy" sends all that is no write to `favourite`; "throttle" and "fixed" are other ways of shedding, to measure against."""

    name: str
    address: tuple[str, int]
    deployment: str
    slices: int
    op_types: list[tuple[str, bool, int]]  # name, writes, op timeout in us
    pilots: dict[str, tuple[str, int]]
    store: tuple[str, int]
    zone: str = ""
    secret: str = ""
    single_owner: bool = True
    even: bool = True
    lease_us: int = 800_000
    buffer_us: int = 200_000
    connect_us: int = 500_000
    outlier_after: int = 3
    zones: dict[str, str] = {}  # endpoint -> zone, for slow links
    kind: str = "plain"
    favourite: str = ""
    at_us: int = 0
    let_in: list[float] = []  # "fixed": the part of each op type
    seed: int = 0


def _again(again: str, wait: int) -> tuple[tuple[str, str], ...]:
    return (("x-never-ran", "1"), ("x-again", again), ("x-retry-after-ms", str(max(1, wait // 1000))))


def slice_of(key: str, slices: int) -> int:
    """Key to slice; the same for every proxy of a deployment."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big") % max(1, slices)


class Throttle:
    """Adaptive throttling by each proxy alone (Beyer and others, Site Reliability Engineering, 2016, chapter 21): what comes beyond twice
    what is acked is rejected here."""

    def __init__(self) -> None:
        self.seconds: deque[list[int]] = deque([[0, 0, 0]], maxlen=10)  # second, came, acked

    def _now(self, now: int) -> list[int]:
        if self.seconds[-1][0] != now // 1_000_000:
            self.seconds.append([now // 1_000_000, 0, 0])
        return self.seconds[-1]

    def lets_in(self, now: int, chance: float) -> bool:
        self._now(now)[1] += 1
        came, acked = sum(row[1] for row in self.seconds), sum(row[2] for row in self.seconds)
        return chance >= max(0.0, (came - 2 * acked) / (came + 1))

    def acked(self, now: int) -> None:
        self._now(now)[2] += 1


class DeafTables(Tables):
    """Acks all, keeps the first owner of each slice."""

    def _set_owner(self, pilot: str, line: m.Line) -> None:
        if line.weight > 0 and not self.held[line.table].owner:
            super()._set_owner(pilot, line)

    def _level(self, levels: list[m.Level], table: int, op_type: int) -> None:
        return None


class Proxy:
    def __init__(self, loop: Loop, plan: ProxyPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.types = {name: (n, writes, timeout) for n, (name, writes, timeout) in enumerate(plan.op_types)}
        self.chance = random.Random(plan.seed)
        kind = DeafTables if plan.kind == "deaf" else Tables
        self.tables = kind(
            plan.slices,
            [OpKind(name, writes) for name, writes, _ in plan.op_types],
            plan.single_owner,
            plan.lease_us,
            plan.even,
            plan.outlier_after,
        )
        self.pool = Pool(loop, plan.connect_us)
        self.throttle = Throttle() if plan.kind == "throttle" else None
        self.slow: dict[str, int] = {}
        self.shown: dict[int, tuple[str, bool, str]] = {}
        self.bare: list[int] = []
        identity = Identity(plan.deployment, "proxy", plan.name, plan.zone, plan.secret.encode())
        self.agent = Agent(
            loop,
            identity,
            plan.pilots,
            plan.store,
            self.tables,
            self.chance.random,
            self._observe,
            lambda: random_bytes(16),
        )
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._answer), "http")
        recorder.note("start", plan.name, plan.zone, plan.kind)
        if plan.kind == "forgetful":
            loop.at(loop.now() + plan.at_us, self._forget)

    # ---- the record

    def _observe(self, event: str, **fields: Any) -> None:
        if event == "order":
            order: m.Order = fields["order"]
            self.recorder.note(
                "order",
                fields["pilot"],
                order.seq,
                order.waited,
                len(order.lines) + len(order.levels),
                order.mark,
                [[ln.table, ln.endpoint, ln.weight, ln.epoch] for ln in order.lines],
            )
        elif event == "held":
            self.recorder.note(
                "held", fields["pilot"], [[row.slice, row.epoch, row.owner] for row in fields["rows"]]
            )
        elif event in ("joined", "lost"):
            self.recorder.note(event, fields["pilot"], fields.get("reason", ""))
        elif event == "in_force":
            self._note_tables()

    def _note_tables(self) -> None:
        """Only what changed: a slice's owner, whether its writes are closed, and who is in charge."""
        for number, holding in self.tables.held.items():
            closed = any(lv.share <= 0 and lv.table != ALL_TABLES for lv in holding.levels)
            now = (holding.owner, closed, holding.pilot)
            if self.shown.get(number) != now:
                self.shown[number] = now
                self.recorder.note("slice", number, *now)

    def _forget(self) -> None:
        for holding in self.tables.held.values():
            holding.owner = ""
        self._note_tables()

    # ---- ops

    def _answer(self, asked: HttpRequest) -> Coroutine:
        if asked.target == "/control":
            order = msgspec.json.decode(asked.body)
            self.slow = {order["slow_zone"]: int(order["slow_ms"] * 1000)} if order.get("slow_ms") else {}
            yield from self.loop.yield_control()
            return HttpReply(200, b"{}")
        if asked.target == "/health":
            yield from self.loop.yield_control()
            return HttpReply(200 if any(v.joined for v in self.tables.views.values()) else 503)
        head = asked.headers
        if head.get("x-type", "") not in self.types:
            return HttpReply(400, b"x-type is none of " + ", ".join(self.types).encode())
        return (yield from self._forward(head, self.loop.now()))

    def _forward(self, head: dict[str, str], came: int) -> Coroutine:
        kind, writes, timeout = self.types[head["x-type"]]
        number = slice_of(head.get("x-key", ""), self.plan.slices) if self.plan.slices else -1
        until = came + min(timeout, int(head.get("x-left-us", timeout)))
        fresh = head.get("x-try", "0") == "0"
        self.agent.on_op_received(number, kind, fresh)
        if not self._lets_in(kind, came):
            return self._turned(head, number, Rejection("kind", "later", 2 * AGAIN_AFTER))
        pick = yield from self.agent.pick_within(number, kind, self.plan.buffer_us)
        if isinstance(pick, NoPick):
            again = "elsewhere" if pick.reason == "lease" else "later"
            return self._turned(head, number, Rejection(pick.reason, again, self._wait()))
        turned = self.agent.admit(pick, kind, until - self.loop.now(), fresh)
        if turned is not None:
            return self._turned(head, number, turned)
        if self.plan.kind == "pushy" and not writes and self.plan.favourite:
            pick = Pick(self.plan.favourite, pick.pilot, pick.epoch)
        answer = yield from self._send(head, pick, number, writes, until)
        retries = self.tables.retries(number, kind) if not self.plan.slices else 0
        if (
            self.plan.slices
            and answer.status != 200
            and answer.headers == NEVER_RAN
            and "retries" in self.agent.shares.budget_by_use
        ):
            return (yield from self._once_more(head, number, kind, writes, until, answer))
        if (
            answer.status != 200
            and retries
            and (retries > 1 or answer.headers == NEVER_RAN)
            and self.loop.now() < until
            and self.agent.may_retry()
        ):
            again = yield from self.agent.pick(number, kind)
            if isinstance(again, Pick) and again.endpoint != pick.endpoint:
                answer = yield from self._send(head, again, number, writes, until)
        if answer.status not in (200, 503):
            self.agent.on_op_unanswered(number, kind)
        elif answer.status == 200 and self.throttle is not None:
            self.throttle.acked(self.loop.now())
        if answer.headers == NEVER_RAN and self.agent.gate.counting_since:
            wait = self.agent.gate.retry_delay(self.agent.gate.active_policy(self.loop.now(), pick.pilot))
            return answer._replace(headers=_again("later", wait))
        return answer

    def _lets_in(self, kind: int, now: int) -> bool:
        """Of the ways of shedding to measure against."""
        if self.throttle is not None:
            return self.throttle.lets_in(now, self.chance.random())
        return kind >= len(self.plan.let_in) or self.chance.random() < self.plan.let_in[kind]

    def _wait(self) -> int:
        return self.agent.gate.retry_delay() if self.agent.gate.counting_since else 2 * AGAIN_AFTER

    def _turned(self, head: dict[str, str], number: int, turned: Rejection) -> HttpReply:
        """Rejected here; the client is told whether, when and where to come again."""
        self.recorder.note("turned", head.get("x-op", ""), number, turned.reason)
        if not self.agent.gate.counting_since:
            return HttpReply(503, turned.reason.encode(), NEVER_RAN)
        return HttpReply(503, turned.reason.encode(), _again(turned.again, turned.wait))

    def _once_more(
        self, head: dict[str, str], number: int, kind: int, writes: bool, until: int, answer: HttpReply
    ) -> Coroutine:
        """An op that is proved not to have run is sent again, within the fleet's budget for that, to whoever owns its slice by then."""
        yield from self.loop.sleep(int(AGAIN_AFTER * (0.5 + self.chance.random())))
        if self.loop.now() + AGAIN_AFTER >= until or not self.agent.may_retry():
            return answer
        self.recorder.note("spend", "retries")
        pick = yield from self.agent.pick_within(number, kind, self.plan.buffer_us)
        if isinstance(pick, Pick):
            answer = yield from self._send(head, pick, number, writes, until)
        if answer.status not in (200, 503):
            self.agent.on_op_unanswered(number, kind)
        return answer

    def _send(self, head: dict[str, str], pick: Pick, number: int, writes: bool, until: int) -> Coroutine:
        begun = self.loop.now()
        self.agent.on_try_started(pick)
        self.recorder.note(
            "send", head.get("x-op", ""), number, head["x-type"], pick.endpoint, pick.pilot, pick.epoch
        )
        host, port = pick.endpoint.rsplit(":", 1)
        slow = self.slow.get(self.plan.zones.get(pick.endpoint, ""), 0)
        answer = HttpReply(502, b"aborted")
        try:
            if slow:
                yield from self.loop.sleep(slow)
            headers: list[tuple[str, str]] = [
                (name, head[name]) for name in ("x-op", "x-type", "x-try", "x-work-us") if name in head
            ]
            headers += [
                ("x-slice", str(number)),
                ("x-proxy", self.plan.name),
                ("x-writes", str(int(writes))),
                ("x-left-us", str(max(0, until - self.loop.now()))),
            ]
            reply = yield from self.pool.request((host, int(port)), "POST", "/op", headers, b"", until)
            if slow:
                yield from self.loop.sleep(slow)
            rejected = reply.headers.get("x-never-ran") == "1"
            answer = HttpReply(reply.status, reply.body, NEVER_RAN if rejected else ())
        except NotSentError:
            answer = HttpReply(502, b"no connection", NEVER_RAN)
        except TimedOut:
            answer = HttpReply(504, b"op timeout")
        except StreamBroken:
            pass
        full = answer.status == 503 and answer.headers == NEVER_RAN
        self.agent.on_try_finished(
            pick, answer.status != 200, self.loop.now() - begun, self.types[head["x-type"]][0], full
        )
        return answer


def run(loop: Loop, raw: bytes, record: str) -> Proxy:
    return Proxy(loop, msgspec.json.decode(raw, type=ProxyPlan), Recorder(loop, record))
