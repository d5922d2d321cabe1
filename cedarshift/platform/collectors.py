"""The pilot's address: collectors, which join and report; whoever asks for a sign of life; and strangers, who are sent away.

An unjoined connection has a moment and a small buffer. When too many of them are open the oldest goes, so a collector
always finds room.
"""
from __future__ import annotations

from typing import Any, Callable, Container

from cedarshift.codec.platform import frames, reports
from cedarshift.codec.platform.errors import Spoilt, Unreadable
from cedarshift.loop import Listener, Loop, Stream, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

# Constants: unit, then the reason for the size.
UNJOINED_FOR = 1_200_000  # us; after 1 s a connection without a joining may be closed, after 3 s it must be
UNJOINED_PART = 4         # of the descriptors, one in so many is for unjoined connections
COLLECTORS_MOST = 64      # joined connections; there is a collector a zone, and old ones may linger
FIRST_MOST = 4_096        # bytes of a message before joining; a joining has under a hundred
ACCEPTS_A_STEP = 16       # accepts before those accepted get to speak
ACCEPT_AGAIN = 50_000     # us; unjoined connections end all the time
SECOND = 1_000_000        # us
MESSAGES_A_SECOND = 5_000 # of one connection; a period's sums of a large deployment come at some hundreds
HALF_FOR = 5_000_000      # us that a collector's message may take to come whole
QUIET_FOR = 600_000_000   # us; a collector has something to report far more often


class Caller:
    """One connection."""

    def __init__(self, loop: Loop, stream: Stream) -> None:
        self.stream = stream
        self.joined = False
        self.messages = frames.Messages(FIRST_MOST)
        self.opened = loop.now()
        self.half_since = loop.now()
        self.span_at = loop.now()            # when the second began over which messages are counted
        self.came = 0

    def count(self, now: int) -> None:
        """Raises Unreadable for more messages in a second than anyone has to say."""
        if now - self.span_at >= SECOND:
            self.span_at, self.came = now, 0
        self.came += 1
        if self.came > MESSAGES_A_SECOND:
            raise Unreadable(f"over {MESSAGES_A_SECOND} messages in a second")


class Collectors:
    """`on_report(message)` raises Spoilt for a report that can't be used."""

    def __init__(self, loop: Loop, listener: Listener, sockets: int, zones: Container[str],
                 on_report: Callable[[dict[str, Any]], None], report: Callable[..., None]) -> None:
        self.loop = loop
        self.listener = listener
        self.zones = zones
        self.on_report = on_report
        self.report = report
        self.unjoined_most = sockets // UNJOINED_PART
        self.unjoined: dict[Caller, None] = {}   # oldest first
        self.joined: dict[Caller, None] = {}
        self.counts = {"callers": 0, "joined": 0, "evicted": 0, "sent_away": 0, "reports": 0, "spoilt": 0}
        self.task = loop.spawn(self._accept(), "accept")

    def _accept(self) -> Coroutine:
        while True:
            try:
                for _ in range(ACCEPTS_A_STEP):
                    stream = yield from self.listener.accept()
                    self._admit(stream)
                yield from self.loop.breathe()
            except OSError as error:         # out of descriptors: those who wait stay in the kernel's queue
                self.report("accept_failed", reason=str(error))
                yield from self.loop.sleep(ACCEPT_AGAIN)

    def _admit(self, stream: Stream) -> None:
        caller = Caller(self.loop, stream)
        self.counts["callers"] += 1
        self.unjoined[caller] = None
        if len(self.unjoined) > self.unjoined_most:
            self._evict(self.unjoined)
        self.loop.spawn(self._talk(caller), "caller")

    def _evict(self, callers: dict[Caller, None]) -> None:
        oldest = next(iter(callers))
        del callers[oldest]
        self.counts["evicted"] += 1
        oldest.stream.close()

    def _talk(self, caller: Caller) -> Coroutine:
        try:
            while True:
                data = yield from caller.stream.read(self._until(caller))
                if not data:
                    return
                caller.messages.feed(data)
                for message in caller.messages.whole():
                    caller.half_since = self.loop.now()
                    caller.count(caller.half_since)
                    self._hear(caller, message)
        except (Unreadable, Spoilt) as error:
            self._send_away(caller, str(error))
        except (StreamBroken, TimedOut):
            pass
        finally:
            self.unjoined.pop(caller, None)
            self.joined.pop(caller, None)
            caller.stream.close()

    def _until(self, caller: Caller) -> int:
        if not caller.joined:
            return caller.opened + UNJOINED_FOR
        if caller.messages.buffer:
            return caller.half_since + HALF_FOR
        caller.half_since = self.loop.now()
        return caller.half_since + QUIET_FOR

    def _hear(self, caller: Caller, message: dict[str, Any]) -> None:
        """Raises Spoilt where it ends the connection: nobody unjoined has anything else to say."""
        kind = message.get("t")
        if kind == reports.PROBE:
            caller.stream.write(frames.encode(reports.ALIVE))
        elif kind == reports.JOINING:
            self._join(caller, reports.joined_zone(message))
        elif not caller.joined:
            raise Spoilt(f"{str(kind)[:32]!r} before a joining")
        else:
            self._report(message)

    def _join(self, caller: Caller, zone: str) -> None:
        if zone not in self.zones:
            raise Spoilt(f"zone {zone!r} does not exist")
        if caller.joined:
            return
        caller.joined = True
        caller.messages.most = frames.MESSAGE_MOST
        self.unjoined.pop(caller, None)
        self.joined[caller] = None
        self.counts["joined"] += 1
        if len(self.joined) > COLLECTORS_MOST:
            self._evict(self.joined)

    def _report(self, message: dict[str, Any]) -> None:
        self.counts["reports"] += 1
        try:
            self.on_report(message)
        except Spoilt as error:
            self.counts["spoilt"] += 1
            self.report("report_spoilt", reason=str(error)[:200])

    def _send_away(self, caller: Caller, reason: str) -> None:
        self.counts["sent_away"] += 1
        self.report("caller_sent_away", peer=caller.stream.peer, joined=caller.joined, reason=reason[:200])
        if not caller.joined:                # nothing is ever written to a collector
            try:
                caller.stream.write(frames.encode(reports.error(reason[:200])))
            except StreamBroken:
                pass
