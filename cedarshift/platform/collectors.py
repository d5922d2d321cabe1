"""The pilot's address: collectors, which join and report; whoever asks for a sign of life; and strangers, who are sent away.

An unjoined connection has a moment and a small buffer. When too many of them are open the oldest goes, so a collector
always finds room.
"""

from __future__ import annotations

from typing import Any, Callable, Collection, NamedTuple

from cedarshift.codec.platform import frames, reports
from cedarshift.codec.platform.errors import Spoilt, Unreadable
from cedarshift.loop import Listener, Loop, Stream, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

# Constants: unit, then the reason for the size.
UNJOINED_FOR = 1_200_000  # us; after 1 s a connection without a joining may be closed, after 3 s it must be
UNJOINED_PART = 4  # of the descriptors, one in so many is for unjoined connections
COLLECTORS_LEAST = 64  # joined connections that are kept at least; there is a collector a zone
COLLECTORS_A_ZONE = 4  # joined connections kept for each zone; old ones may linger
JOINED_PART = 2  # of the descriptors, one in so many is the most for joined connections, whatever the zones
FIRST_MOST = 4_096  # bytes of a message before joining; a joining has under a hundred
ACCEPTS_A_STEP = 16  # accepts before those accepted get to speak
SECOND = 1_000_000  # us
MESSAGES_LEAST = 5_000  # of one connection in a second, at least; a period's reports may come all at once
REPORTS_IN_A_SECOND = 4  # times the reports of a period that one connection may bring in a second
HALF_FOR = 5_000_000  # us that a collector's message may take to come whole, from its first byte
QUIET_FOR = 600_000_000  # us; a collector has something to report far more often
LINGER_TIMEOUT = (
    500_000  # us; how long the last answer may take to be read before its connection is closed for good
)
READS_AT_PARTING = 4  # reads of what a caller has sent by then
STOP_QUIET = 100_000  # us without a message, after which a stopping pilot ends: a request that is on its way comes sooner
STOP_TIMEOUT = (
    350_000  # us; the platform kills a stopping pilot after 0.7 s, and its turn off the core may be long
)


class Caller:
    """One connection. `messages_most` is how many messages it may send in a second."""

    def __init__(self, stream: Stream, now: int, messages_most: int) -> None:
        self.stream = stream
        self.messages_most = messages_most
        self.joined = False
        self.sent_away = False  # for what it has sent, with an error
        self.messages = frames.Messages(FIRST_MOST)
        self.opened = now
        self.heard_at = now  # when the newest byte came
        self.half_since = now  # when the first byte came of the message that is not whole yet
        self.span_at = now  # when the second began over which messages are counted
        self.came = 0

    def feed(self, data: bytes, now: int) -> None:
        if not self.messages.buffer:
            self.half_since = now
        self.heard_at = now
        self.messages.feed(data)

    def count(self, now: int) -> None:
        """For each message that came whole. Raises Unreadable for more of them in a second than anyone has to say."""
        self.half_since = now  # of what follows it in the buffer
        if now - self.span_at >= SECOND:
            self.span_at, self.came = now, 0
        self.came += 1
        if self.came > self.messages_most:
            raise Unreadable(f"over {self.messages_most} messages in a second")

    def until(self) -> int:
        """When the next byte must have come."""
        if not self.joined:
            return self.opened + UNJOINED_FOR
        if self.messages.buffer:
            return self.half_since + HALF_FOR
        return self.heard_at + QUIET_FOR


class Limits(NamedTuple):
    """How many connections are kept, unjoined and joined, and how many messages one may send in a second."""

    unjoined: int
    joined: int
    messages: int

    @classmethod
    def of(cls, sockets: int, zones: int, reports: int) -> Limits:
        """For so many descriptors and zones, and so many reports in a period."""
        joined = min(max(COLLECTORS_LEAST, COLLECTORS_A_ZONE * zones), max(1, sockets // JOINED_PART))
        return cls(sockets // UNJOINED_PART, joined, max(MESSAGES_LEAST, REPORTS_IN_A_SECOND * reports))


class Collectors:
    """`zones` may join; where there are none, anyone may. `on_report(message)` raises Spoilt for a report that can't be used."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        limits: Limits,
        zones: Collection[str],
        on_report: Callable[[dict[str, Any]], None],
        report: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.listener = listener
        self.limits = limits
        self.zones = zones
        self.on_report = on_report
        self.report = report
        self.unjoined: dict[Caller, None] = {}  # oldest first
        self.joined: dict[Caller, None] = {}
        self.messages = 0  # of callers that are no collectors: a stopping pilot owes them answers
        self.counts = {"callers": 0, "joined": 0, "evicted": 0, "sent_away": 0, "reports": 0, "spoilt": 0}
        self.task = loop.spawn(self._accept(), "accept")

    def _accept(self) -> Coroutine:
        while True:
            for _ in range(ACCEPTS_A_STEP):
                try:
                    stream = yield from self.listener.accept()
                except StreamBroken:  # the pilot stops
                    return
                self._admit(stream)
            yield from self.loop.yield_control()

    def _admit(self, stream: Stream) -> None:
        caller = Caller(stream, self.loop.now(), self.limits.messages)
        self.counts["callers"] += 1
        self.unjoined[caller] = None
        if len(self.unjoined) > self.limits.unjoined:
            self._evict(self.unjoined, next(iter(self.unjoined)))
        self.loop.spawn(self._talk(caller), "caller")

    def _evict(self, callers: dict[Caller, None], caller: Caller) -> None:
        """Ends a connection for want of room. What it has asked by now is answered first."""
        del callers[caller]
        self.counts["evicted"] += 1
        self._answer_now(caller)
        self._leave(caller)

    def _answer_now(self, caller: Caller) -> None:
        """Takes in what a caller has sent by now, as its task would."""
        try:
            for _ in range(READS_AT_PARTING):
                if not (data := caller.stream.read_nowait(ignore_readiness=True)):
                    return
                self._take_in(caller, data)
        except (Unreadable, Spoilt) as error:
            self._send_away(caller, str(error))
        except StreamBroken:
            pass

    def _leave(self, caller: Caller) -> None:
        """Ends a connection. Nothing more is read of it, so that no request is read and left without an answer; only a stranger's
        bytes, which are none, are read on while its error is on its way."""
        if caller.sent_away or caller.stream.pending:
            caller.stream.finish(LINGER_TIMEOUT)
        else:
            caller.stream.close()

    def stop(self) -> Coroutine:
        """Takes no more connections, answers what comes on those that stand, and returns once nothing more does."""
        self.task.cancel()
        self._admit_waiting()
        self.listener.close()
        until = self.loop.now() + STOP_TIMEOUT
        heard = -1
        while heard != self.messages and self.loop.now() < until:
            heard = self.messages
            yield from self.loop.sleep(STOP_QUIET)
        for caller in [*self.unjoined, *self.joined]:
            self._answer_now(caller)
            self._leave(caller)

    def _admit_waiting(self) -> None:
        """All who are in the kernel's queue: with the listener they would be reset, though they were connected."""
        try:
            while (stream := self.listener.accept_nowait()) is not None:
                self._admit(stream)
        except OSError as error:
            self.report("accept_failed", reason=str(error))

    def _talk(self, caller: Caller) -> Coroutine:
        try:
            while True:
                data = yield from caller.stream.read(caller.until())
                if not data:
                    return
                self._take_in(caller, data)
        except (Unreadable, Spoilt) as error:
            self._send_away(caller, str(error))
        except TimedOut:
            self._answer_now(caller)  # what came in the step in which its time was over
        except StreamBroken:
            pass
        finally:
            self.unjoined.pop(caller, None)
            self.joined.pop(caller, None)
            self._leave(caller)

    def _take_in(self, caller: Caller, data: bytes) -> None:
        """Raises Unreadable or Spoilt where the caller is to be sent away."""
        now = self.loop.now()
        caller.feed(data, now)
        for message in caller.messages.whole():
            caller.count(now)
            self._hear(caller, message)

    def _hear(self, caller: Caller, message: dict[str, Any]) -> None:
        """Raises Spoilt where it ends the connection: nobody unjoined has anything else to say."""
        kind = message.get("t")
        if not caller.joined:
            self.messages += 1
        if kind == reports.PROBE:
            caller.stream.write(frames.encode(reports.ALIVE))
        elif kind == reports.JOINING:
            reports.zone(message, self.zones)
            self._join(caller)
        elif not caller.joined:
            raise Spoilt(f"{str(kind)[:32]!r} before a joining")
        else:
            self._report(message)

    def _join(self, caller: Caller) -> None:
        if caller.joined:
            return
        caller.joined = True
        caller.messages.most = frames.MESSAGE_MOST
        self.unjoined.pop(caller, None)
        self.joined[caller] = None
        self.counts["joined"] += 1
        if (
            len(self.joined) > self.limits.joined
        ):  # collectors report each period: whoever is quietest is none, or left
            self._evict(self.joined, min(self.joined, key=lambda one: one.heard_at))

    def _report(self, message: dict[str, Any]) -> None:
        self.counts["reports"] += 1
        try:
            self.on_report(message)
        except Spoilt as error:
            self.counts["spoilt"] += 1
            self.report("report_spoilt", reason=str(error)[:200])

    def _send_away(self, caller: Caller, reason: str) -> None:
        self.counts["sent_away"] += 1
        caller.sent_away = True
        self.report("caller_sent_away", peer=caller.stream.peer, joined=caller.joined, reason=reason[:200])
        if not caller.joined:  # nothing is ever written to a collector
            try:
                caller.stream.write(frames.encode(reports.error(reason[:200])))
            except StreamBroken:
                pass
