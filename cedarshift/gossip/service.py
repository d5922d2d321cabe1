"""Runs a gossip member on the event loop: its datagrams, streams and timer.

Datagrams and streams share one address. A stream carries one request and one reply; it is closed if no valid
frame arrives in time.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, Optional

from cedarshift.codec import gossip as g
from cedarshift.codec.gossip import InvalidMessage, Seal
from cedarshift.gossip.member import Member, StreamRequest
from cedarshift.gossip.routes import Address
from cedarshift.judge.roll import ALIVE, CUT, SUSPECT, Change
from cedarshift.loop import Loop, StreamBroken, TimedOut, datagrams, dial, listen
from cedarshift.loop.core import Coroutine, Waker

MAX_INCOMING_STREAMS = 64
STREAM_TIMEOUT_US = 1_000_000
MAX_OUTGOING_STREAMS = 16
MAX_DATAGRAMS_PER_WINDOW = 4_000  # further ones are dropped unread
RATE_WINDOW_US = 1_000_000
DROP_REPORT_INTERVAL_US = 10_000_000


class MembershipConfig(NamedTuple):
    """`period`: the probe period (us). `addresses`: gossip addresses of all pilots by name."""

    period: int
    addresses: dict[str, Address]


class Membership:
    """Membership service of one pilot.

    `start` increases with each restart of the process; `seed` seeds the random generator. `on_change(change)`
    is called for each state change of a member.
    """

    def __init__(
        self,
        loop: Loop,
        terms: MembershipConfig,
        name: str,
        deployment: str,
        secret: bytes,
        start: int,
        seed: int,
        report: Callable[..., None],
        listen_at: Optional[Address] = None,
        on_change: Callable[[Change], None] = lambda change: None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.report = report
        self.on_change = on_change
        address = listen_at or terms.addresses[name]
        self.port = datagrams(loop, address, g.MAX_DATAGRAM_BYTES)
        self.listener = listen(loop, self.port.address, MAX_INCOMING_STREAMS, g.MAX_FRAME_BYTES * 2)
        self.member = Member(
            name,
            terms.addresses,
            Seal(deployment, secret),
            terms.period,
            start,
            seed,
            loop.now(),
            self._on_change,
        )
        self.waker: Optional[Waker] = None
        self.open_streams = 0
        self.window_started_at = loop.now()
        self.window_datagrams = 0
        self.flooded = 0
        self.reported_drops = 0
        self.reported_start = start
        self.was_superseded = False
        self.tasks = [
            loop.spawn(self._receive_loop(), "gossip"),
            loop.spawn(self._timer_loop(), "gossip timer"),
            loop.spawn(self._accept_loop(), "gossip streams"),
            loop.spawn(self._drop_report_loop(), "gossip drops"),
        ]

    # ---- time and datagrams

    def _timer_loop(self) -> Coroutine:
        while True:
            now = self.loop.now()
            if now >= self.member.due():
                self.member.tick(now)
                self._flush()
            self.waker = self.loop.waker()
            try:
                yield from self.loop.park(max(self.member.due(), now + 1))
            except TimedOut:
                pass
            finally:
                self.waker = None

    def _receive_loop(self) -> Coroutine:
        while True:
            data, source = yield from self.port.receive()
            now = self.loop.now()
            if now - self.window_started_at >= RATE_WINDOW_US:
                self.window_started_at, self.window_datagrams = now, 0
            self.window_datagrams += 1
            if self.window_datagrams > MAX_DATAGRAMS_PER_WINDOW:
                self.flooded += 1
                continue
            self.member.on_datagram(now, data, source)
            self._flush()

    def _flush(self) -> None:
        member = self.member
        out, member.out = member.out, []
        for address, data in out:
            self.port.send(data, address)
        stream_requests, member.stream_requests = member.stream_requests, []
        for request in stream_requests:
            if self.open_streams < MAX_OUTGOING_STREAMS:
                self.open_streams += 1
                self.loop.spawn(self._send_request(request), f"gossip to {request.name}")
        if member.start != self.reported_start:
            self.report("member_start_raised", start=member.start, before=self.reported_start)
            self.reported_start = member.start
        if member.superseded and not self.was_superseded:
            self.was_superseded = True
            self.report("member_superseded", start=member.start)
        if self.waker is not None:
            self.waker.wake()

    # ---- streams

    def _send_request(self, request: StreamRequest) -> Coroutine:
        try:
            stream = yield from dial(self.loop, request.address, max(self.member.period, STREAM_TIMEOUT_US))
            try:
                stream.write(g.length_prefixed(request.data))
                answer = yield from self._read_frame(stream, g.MAX_FRAME_BYTES)
                if answer is not None:
                    self.member.on_frame(self.loop.now(), answer)
                    self._flush()
            finally:
                stream.close()
        except (StreamBroken, TimedOut, InvalidMessage):
            pass  # the member handles a missing reply by its timeouts
        finally:
            self.open_streams -= 1

    def _accept_loop(self) -> Coroutine:
        while True:
            try:
                stream = yield from self.listener.accept()
            except StreamBroken:
                return
            self.loop.spawn(self._serve_stream(stream), "gossip stream")

    def _serve_stream(self, stream: Any) -> Coroutine:
        try:
            question = yield from self._read_frame(stream, g.MAX_FRAME_BYTES)
            answer = None if question is None else self.member.on_frame(self.loop.now(), question)
            if answer is not None:
                stream.write(g.length_prefixed(answer))
            self._flush()
        except (StreamBroken, TimedOut, InvalidMessage):
            pass
        finally:
            stream.finish(STREAM_TIMEOUT_US)

    def _read_frame(self, stream: Any, max_bytes: int) -> Coroutine:
        """Read the first frame; return None if the stream ends before."""
        frames, until = g.Frames(max_bytes), self.loop.now() + STREAM_TIMEOUT_US
        while True:
            data = yield from stream.read(until)
            if not data:
                return None
            for one in frames.feed(data):
                return one
            stream.hold(len(frames.buffer))

    # ---- changes, status and metrics

    def _on_change(self, now: int, change: Change) -> None:
        self.report(
            "member_changed",
            at_us=now,
            member=change.name,
            before=change.before,
            after=change.after,
            start=change.start,
            incarnation=change.incarnation,
            silent_to=list(change.reporters),
            heard_by=list(change.vouchers),
            side=change.side,
            configured=change.configured,
            agreed=change.agreed,
        )
        self.on_change(change)

    def _drop_report_loop(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(DROP_REPORT_INTERVAL_US)
            dropped = {
                name: count
                for name, count in self.member.counts.items()
                if name.startswith("dropped_") and count
            }
            total = sum(dropped.values()) + self.flooded + self.port.counts["too_long"]
            if total != self.reported_drops:
                self.reported_drops = total
                self.report(
                    "gossip_dropped", flooded=self.flooded, too_long=self.port.counts["too_long"], **dropped
                )

    def live_members(self) -> list[str]:
        """Return the other members that may be reachable, healthy ones first."""
        states = self.member.table.states
        rank = {ALIVE: 0, SUSPECT: 1, CUT: 2}
        return sorted(
            (name for name, state in states.items() if state in rank and name != self.name),
            key=lambda name: (rank[states[name]], name),
        )

    def status(self) -> dict[str, object]:
        return {
            **self.member.status(self.loop.now()),
            "flooded": self.flooded,
            "port": dict(self.port.counts),
        }

    def gauges(self) -> dict[str, float]:
        counts = self.member.table.counts()
        return {
            **{
                f"pilots_{state}": float(counts.get(state, 0))
                for state in ("alive", "suspect", "cut", "dead", "left", "unheard")
            },
            "pilots_side": float(self.member.table.side()),
            "pilots_health": float(self.member.detector.health),
            **{f"gossip_{name}": float(count) for name, count in self.member.counts.items()},
        }

    def leave(self) -> None:
        """Announce the departure; nothing is sent afterwards."""
        self.member.leave(self.loop.now())
        self._flush()

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.port.close()
        self.listener.close()
