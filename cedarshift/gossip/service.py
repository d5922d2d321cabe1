"""A member on the loop: its datagrams, the streams that it opens and takes, and its timer.

One port for datagrams and one listener for streams, at the same address. A stream carries one question and one answer; who says
nothing sealed within a moment is sent away, and there is never room for many.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, Optional

from cedarshift.codec import gossip as g
from cedarshift.codec.gossip import InvalidMessage, Seal
from cedarshift.gossip.member import Address, Member, Wish
from cedarshift.judge.roll import ALIVE, CUT, SUSPECT, Change
from cedarshift.loop import Loop, StreamBroken, TimedOut, datagrams, dial, listen
from cedarshift.loop.core import Coroutine, Waker

# Constants: unit, then the reason for the size.
STREAMS_MOST = 64  # taken at a time; a member asks few others, and rarely
FIRST_WITHIN = 1_000_000  # us for a whole question
STREAMS_OPEN = 16  # opened at a time
HEARD_A_SPAN = (
    4_000  # datagrams a second that are looked at: a fleet of thousands sends a member some dozens a period
)
SPAN = 1_000_000  # us
REPORT_EVERY = 10_000_000  # us between two log lines about what was dropped


class MembershipTerms(NamedTuple):
    """`period` in us; `addresses` of all pilots by name."""

    period: int
    addresses: dict[str, Address]


class Membership:
    """`start` grows from one life of the name to the next, `seed` draws. `told(change)` hears of each change."""

    def __init__(
        self,
        loop: Loop,
        terms: MembershipTerms,
        name: str,
        deployment: str,
        secret: bytes,
        start: int,
        seed: int,
        report: Callable[..., None],
        listen_at: Optional[Address] = None,
        told: Callable[[Change], None] = lambda change: None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.report = report
        self.told = told
        address = listen_at or terms.addresses[name]
        self.port = datagrams(loop, address, g.MAX_DATAGRAM_BYTES)
        self.door = listen(loop, self.port.address, STREAMS_MOST, g.MAX_FRAME_BYTES * 2)
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
        self.open = 0
        self.span_at = loop.now()
        self.span_heard = 0
        self.flooded = 0
        self.told_dropped = 0
        self.was_superseded = False
        self.tasks = [
            loop.spawn(self._hear(), "gossip"),
            loop.spawn(self._tick(), "gossip timer"),
            loop.spawn(self._accept(), "gossip streams"),
            loop.spawn(self._tell_dropped(), "gossip drops"),
        ]

    # ---- time and datagrams

    def _tick(self) -> Coroutine:
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

    def _hear(self) -> Coroutine:
        while True:
            data, source = yield from self.port.receive()
            now = self.loop.now()
            if now - self.span_at >= SPAN:
                self.span_at, self.span_heard = now, 0
            self.span_heard += 1
            if self.span_heard > HEARD_A_SPAN:
                self.flooded += 1
                continue
            self.member.hear(now, data, source)
            self._flush()

    def _flush(self) -> None:
        member = self.member
        out, member.out = member.out, []
        for address, data in out:
            self.port.send(data, address)
        wishes, member.wishes = member.wishes, []
        for wish in wishes:
            if self.open < STREAMS_OPEN:
                self.open += 1
                self.loop.spawn(self._ask(wish), f"gossip to {wish.name}")
        if member.superseded and not self.was_superseded:
            self.was_superseded = True
            self.report("member_superseded", start=member.start)
        if self.waker is not None:
            self.waker.wake()

    # ---- streams

    def _ask(self, wish: Wish) -> Coroutine:
        try:
            stream = yield from dial(self.loop, wish.address, max(self.member.period, FIRST_WITHIN))
            try:
                stream.write(g.length_prefixed(wish.data))
                answer = yield from self._frame(stream, g.MAX_FRAME_BYTES)
                if answer is not None:
                    self.member.hear_stream(self.loop.now(), answer)
                    self._flush()
            finally:
                stream.close()
        except (StreamBroken, TimedOut, InvalidMessage):
            pass  # an answer that does not come is what the member counts on
        finally:
            self.open -= 1

    def _accept(self) -> Coroutine:
        while True:
            try:
                stream = yield from self.door.accept()
            except StreamBroken:
                return
            self.loop.spawn(self._answer(stream), "gossip stream")

    def _answer(self, stream: Any) -> Coroutine:
        try:
            asked = yield from self._frame(stream, g.MAX_FRAME_BYTES)
            answer = None if asked is None else self.member.hear_stream(self.loop.now(), asked)
            if answer is not None:
                stream.write(g.length_prefixed(answer))
            self._flush()
        except (StreamBroken, TimedOut, InvalidMessage):
            pass
        finally:
            stream.finish(FIRST_WITHIN)

    def _frame(self, stream: Any, most: int) -> Coroutine:
        """The first frame, whole; None where the stream ends before."""
        frames, until = g.Frames(most), self.loop.now() + FIRST_WITHIN
        while True:
            data = yield from stream.read(until)
            if not data:
                return None
            for one in frames.feed(data):
                return one

    # ---- for people, and for those who build on it

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
        self.told(change)

    def _tell_dropped(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(REPORT_EVERY)
            dropped = {
                name: count
                for name, count in self.member.counts.items()
                if name.startswith("dropped_") and count
            }
            total = sum(dropped.values()) + self.flooded + self.port.counts["too_long"]
            if total != self.told_dropped:
                self.told_dropped = total
                self.report(
                    "gossip_dropped", flooded=self.flooded, too_long=self.port.counts["too_long"], **dropped
                )

    def living(self) -> list[str]:
        """The others that may be asked for something, those that nobody reports first."""
        states = self.member.roll.states
        rank = {ALIVE: 0, SUSPECT: 1, CUT: 2}
        return sorted(
            (name for name, state in states.items() if state in rank and name != self.name),
            key=lambda name: (rank[states[name]], name),
        )

    def shown(self) -> dict[str, object]:
        return {**self.member.shown(self.loop.now()), "flooded": self.flooded, "port": dict(self.port.counts)}

    def gauges(self) -> dict[str, float]:
        counts = self.member.roll.counts()
        return {
            **{
                f"pilots_{state}": float(counts.get(state, 0))
                for state in ("alive", "suspect", "cut", "dead", "left", "unheard")
            },
            "pilots_side": float(self.member.roll.side()),
            "pilots_health": float(self.member.detector.health),
            **{f"gossip_{name}": float(count) for name, count in self.member.counts.items()},
        }

    def leave(self) -> None:
        """Says that it leaves; then nothing more."""
        self.member.leave(self.loop.now())
        self._flush()

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.port.close()
        self.door.close()
