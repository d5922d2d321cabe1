"""A stand-in proxy: the agent behind an HTTP/1.1 listener. Faulty kinds test the rule checkers.

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

RETRY_DELAY_US = 100_000  # jittered by half
NEVER_RAN = (("x-never-ran", "1"), ("x-retry-after-ms", "200"))


class ProxyPlan(msgspec.Struct):
    """Settings of a proxy, passed as JSON.

    `kind`: "plain"; "deaf" acks orders but keeps its first lines; "forgetful" drops its tables `at_us` after
    the start; "pushy" sends all reads to `favourite`; "throttle" and "fixed" shed load in other ways, for
    comparison.
    """

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
    let_in: list[float] = []  # "fixed": the share of each op type that is admitted
    seed: int = 0


def _retry_headers(retry_hint: str, wait_us: int) -> tuple[tuple[str, str], ...]:
    return (("x-never-ran", "1"), ("x-again", retry_hint), ("x-retry-after-ms", str(max(1, wait_us // 1000))))


def slice_of(key: str, slices: int) -> int:
    """Maps a key to its slice, the same way at every proxy of a deployment."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big") % max(1, slices)


class AdaptiveThrottle:
    """Adaptive throttling at each proxy: rejects ops beyond twice the number of acked ones.

    See Beyer et al., Site Reliability Engineering (2016), chapter 21.
    """

    def __init__(self) -> None:
        self.buckets: deque[list[int]] = deque([[0, 0, 0]], maxlen=10)  # second, received, acked

    def _current_bucket(self, now: int) -> list[int]:
        if self.buckets[-1][0] != now // 1_000_000:
            self.buckets.append([now // 1_000_000, 0, 0])
        return self.buckets[-1]

    def admits(self, now: int, random_value: float) -> bool:
        self._current_bucket(now)[1] += 1
        received, acked = sum(row[1] for row in self.buckets), sum(row[2] for row in self.buckets)
        return random_value >= max(0.0, (received - 2 * acked) / (received + 1))

    def acked(self, now: int) -> None:
        self._current_bucket(now)[2] += 1


class StaleTables(Tables):
    """Tables that keep the first owner of each slice and ignore levels."""

    def _set_owner(self, pilot: str, line: m.Line) -> None:
        if line.weight > 0 and not self.held[line.table].owner:
            super()._set_owner(pilot, line)

    def _check_level(self, levels: list[m.Level], table: int, op_type: int, random_value: float) -> None:
        return None


class Proxy:
    """Forwards ops to the endpoints that its agent picks, and records what it was told and what it sent."""

    def __init__(self, loop: Loop, plan: ProxyPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.op_type_settings = {
            name: (n, writes, timeout) for n, (name, writes, timeout) in enumerate(plan.op_types)
        }
        self.rng = random.Random(plan.seed)
        tables_class = StaleTables if plan.kind == "deaf" else Tables
        self.tables = tables_class(
            plan.slices,
            [OpKind(name, writes) for name, writes, _ in plan.op_types],
            plan.single_owner,
            plan.lease_us,
            plan.even,
            plan.outlier_after,
        )
        self.pool = Pool(loop, plan.connect_us)
        self.throttle = AdaptiveThrottle() if plan.kind == "throttle" else None
        self.zone_delays: dict[str, int] = {}
        self.recorded_slices: dict[int, tuple[str, bool, str]] = {}
        self.bare: list[int] = []
        identity = Identity(plan.deployment, "proxy", plan.name, plan.zone, plan.secret.encode())
        self.agent = Agent(
            loop,
            identity,
            plan.pilots,
            plan.store,
            self.tables,
            self.rng.random,
            self._observe,
            lambda: random_bytes(16),
        )
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._handle_request), "http")
        recorder.note("start", plan.name, plan.zone, plan.kind)
        if plan.kind == "forgetful":
            loop.at(loop.now() + plan.at_us, self._drop_tables)

    # ---- recording

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
        """Records the slices whose owner, open or closed writes, or pilot have changed."""
        for slice_id, holding in self.tables.held.items():
            closed = any(lv.share <= 0 and lv.table != ALL_TABLES for lv in holding.levels)
            now = (holding.owner, closed, holding.pilot)
            if self.recorded_slices.get(slice_id) != now:
                self.recorded_slices[slice_id] = now
                self.recorder.note("slice", slice_id, *now)

    def _drop_tables(self) -> None:
        for holding in self.tables.held.values():
            holding.owner = ""
        self._note_tables()

    # ---- ops

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        if request.target == "/control":
            command = msgspec.json.decode(request.body)
            self.zone_delays = (
                {command["slow_zone"]: int(command["slow_ms"] * 1000)} if command.get("slow_ms") else {}
            )
            yield from self.loop.yield_control()
            return HttpReply(200, b"{}")
        if request.target == "/health":
            yield from self.loop.yield_control()
            return HttpReply(200 if any(v.joined for v in self.tables.views.values()) else 503)
        headers = request.headers
        if headers.get("x-type", "") not in self.op_type_settings:
            return HttpReply(400, b"x-type is none of " + ", ".join(self.op_type_settings).encode())
        return (yield from self._forward(request, self.loop.now()))

    def _forward(self, request: HttpRequest, received_at: int) -> Coroutine:
        headers = request.headers
        op_type, writes, timeout = self.op_type_settings[headers["x-type"]]
        slice_id = slice_of(headers.get("x-key", ""), self.plan.slices) if self.plan.slices else -1
        deadline = received_at + min(timeout, int(headers.get("x-left-us", timeout)))
        first_try = headers.get("x-try", "0") == "0"
        self.agent.on_op_received(slice_id, op_type, first_try)
        if not self._admits(op_type, received_at):
            return self._reject(headers, slice_id, Rejection("kind", "later", 2 * RETRY_DELAY_US))
        pick = yield from self.agent.pick_within(slice_id, op_type, self.plan.buffer_us)
        if isinstance(pick, NoPick):
            retry_hint = "elsewhere" if pick.reason == "lease" else "later"
            return self._reject(headers, slice_id, Rejection(pick.reason, retry_hint, self._retry_delay_us()))
        if request.hung_up():  # while it waited for an endpoint
            return self._reject(headers, slice_id, Rejection("gone", "later", self._retry_delay_us()))
        rejection = self.agent.admit(pick, op_type, deadline - self.loop.now(), first_try)
        if rejection is not None:
            return self._reject(headers, slice_id, rejection)
        if self.plan.kind == "pushy" and not writes and self.plan.favourite:
            pick = Pick(self.plan.favourite, pick.pilot, pick.epoch)
        answer = yield from self._send(headers, pick, slice_id, writes, deadline)
        retries = self.tables.retries(slice_id, op_type) if not self.plan.slices else 0
        if (
            self.plan.slices
            and answer.status != 200
            and answer.headers == NEVER_RAN
            and "retries" in self.agent.shares.budget_by_use
        ):
            return (yield from self._retry(request, slice_id, op_type, writes, deadline, answer))
        if (
            answer.status != 200
            and retries
            and (retries > 1 or answer.headers == NEVER_RAN)
            and self.loop.now() < deadline
            and not request.hung_up()
            and self.agent.may_retry()
        ):
            retry_pick = yield from self.agent.pick(slice_id, op_type)
            if isinstance(retry_pick, Pick) and retry_pick.endpoint != pick.endpoint:
                answer = yield from self._send(headers, retry_pick, slice_id, writes, deadline)
        if answer.status not in (200, 503):
            self.agent.on_op_unanswered(slice_id, op_type)
        elif answer.status == 200 and self.throttle is not None:
            self.throttle.acked(self.loop.now())
        if answer.headers == NEVER_RAN and self.agent.gate.counting_since:
            wait_us = self.agent.gate.retry_delay(self.agent.gate.active_policy(self.loop.now(), pick.pilot))
            return answer._replace(headers=_retry_headers("later", wait_us))
        return answer

    def _admits(self, op_type: int, now: int) -> bool:
        """Applies the shedding of the kinds "throttle" and "fixed"."""
        if self.throttle is not None:
            return self.throttle.admits(now, self.rng.random())
        return op_type >= len(self.plan.let_in) or self.rng.random() < self.plan.let_in[op_type]

    def _retry_delay_us(self) -> int:
        return self.agent.gate.retry_delay() if self.agent.gate.counting_since else 2 * RETRY_DELAY_US

    def _reject(self, headers: dict[str, str], slice_id: int, rejection: Rejection) -> HttpReply:
        """Rejects an op; the answer says whether, when and where the client may retry."""
        self.recorder.note("turned", headers.get("x-op", ""), slice_id, rejection.reason)
        if not self.agent.gate.counting_since:
            return HttpReply(503, rejection.reason.encode(), NEVER_RAN)
        return HttpReply(503, rejection.reason.encode(), _retry_headers(rejection.again, rejection.wait))

    def _retry(
        self,
        request: HttpRequest,
        slice_id: int,
        op_type: int,
        writes: bool,
        deadline: int,
        answer: HttpReply,
    ) -> Coroutine:
        """Retries an op that surely has not run, within the retry budget, at the slice's present owner."""
        yield from self.loop.sleep(int(RETRY_DELAY_US * (0.5 + self.rng.random())))
        if request.hung_up():
            return answer
        if self.loop.now() + RETRY_DELAY_US >= deadline or not self.agent.may_retry():
            return answer
        self.recorder.note("spend", "retries")
        pick = yield from self.agent.pick_within(slice_id, op_type, self.plan.buffer_us)
        if isinstance(pick, Pick) and not request.hung_up():
            answer = yield from self._send(request.headers, pick, slice_id, writes, deadline)
        if answer.status not in (200, 503):
            self.agent.on_op_unanswered(slice_id, op_type)
        return answer

    def _send(
        self, headers: dict[str, str], pick: Pick, slice_id: int, writes: bool, deadline: int
    ) -> Coroutine:
        started_at = self.loop.now()
        self.agent.on_try_started(pick)
        self.recorder.note(
            "send",
            headers.get("x-op", ""),
            slice_id,
            headers["x-type"],
            pick.endpoint,
            pick.pilot,
            pick.epoch,
        )
        host, port = pick.endpoint.rsplit(":", 1)
        delay = self.zone_delays.get(self.plan.zones.get(pick.endpoint, ""), 0)
        answer = HttpReply(502, b"aborted")
        try:
            if delay:
                yield from self.loop.sleep(delay)
            forwarded_headers: list[tuple[str, str]] = [
                (name, headers[name]) for name in ("x-op", "x-type", "x-try", "x-work-us") if name in headers
            ]
            forwarded_headers += [
                ("x-slice", str(slice_id)),
                ("x-proxy", self.plan.name),
                ("x-writes", str(int(writes))),
                ("x-left-us", str(max(0, deadline - self.loop.now()))),
            ]
            reply = yield from self.pool.request(
                (host, int(port)), "POST", "/op", forwarded_headers, b"", deadline
            )
            if delay:
                yield from self.loop.sleep(delay)
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
            pick,
            answer.status != 200,
            self.loop.now() - started_at,
            self.op_type_settings[headers["x-type"]][0],
            full,
        )
        return answer


def run(loop: Loop, raw: bytes, record: str) -> Proxy:
    return Proxy(loop, msgspec.json.decode(raw, type=ProxyPlan), Recorder(loop, record))
