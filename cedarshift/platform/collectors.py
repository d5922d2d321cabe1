"""The pilot's listening port: serves collectors and health probes, rejects others.

A connection that has not joined has a short timeout and a small buffer. When there are too many, the oldest
is closed, so that collectors can always connect.
"""

from __future__ import annotations

from typing import Any, Callable, Collection, Iterator, NamedTuple

from cedarshift.codec.platform import frames, reports
from cedarshift.codec.platform.errors import InvalidMessage, MalformedStream
from cedarshift.loop import Listener, Loop, Stream, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.loop.stream import READ_CHUNK_BYTES

JOIN_TIMEOUT_US = 1_200_000  # the platform allows 1 s to 3 s
UNJOINED_SOCKET_DIVISOR = 4  # 1/4 of the file descriptors for unjoined connections
MIN_JOINED = 64  # lower bound of the limit on joined connections
JOINED_PER_ZONE = 4  # one collector per zone, plus its earlier connections
JOINED_SOCKET_DIVISOR = 2  # at most 1/2 of the file descriptors for joined connections
MAX_UNJOINED_MESSAGE_BYTES = 4_096
ACCEPTS_PER_STEP = 16  # then accepted connections are served
SECOND_US = 1_000_000
MIN_MESSAGES_PER_S = 5_000  # lower bound of the rate limit of one connection
REPORT_PERIODS_PER_S = 4  # how many periods' reports one connection may send per second
MESSAGE_TIMEOUT_US = 5_000_000  # from a message's first byte to its last
IDLE_TIMEOUT_US = 600_000_000  # of a joined connection
LINGER_TIMEOUT_US = 500_000  # for the peer to read the last answer
MAX_FINAL_READS = 4  # reads from a connection before it is closed
FINAL_READ_BYTES = 4_096  # of one such read: all that is read is answered, however many messages it holds
# Work on messages is counted in JSON values.
MESSAGE_WORK = 16  # of a message, besides its values
MAX_WORK_PER_STEP = 1_024  # of one connection, then others are served
STOP_QUIET_US = 50_000  # time without a message after which a stopping pilot closes its connections
STOP_TIMEOUT_US = 150_000  # the platform kills after 0.7 s; the rest is for a busy machine and the exit


class Connection:
    """The state of one connection: its decoder, its timeouts and its message rate."""

    def __init__(self, stream: Stream, now: int, max_messages_per_s: int) -> None:
        self.stream = stream
        self.max_messages_per_s = max_messages_per_s
        self.joined = False
        self.rejected = False  # closed because of an invalid message
        self.decoder = frames.FrameDecoder(MAX_UNJOINED_MESSAGE_BYTES)
        self.opened_at = now
        self.last_read_at = now
        self.message_started_at = now  # first byte of the incomplete message
        self.window_started_at = now  # of the rate limit
        self.messages_in_window = 0

    def feed(self, data: bytes, now: int) -> None:
        """Passes received bytes to the decoder and updates the times that `deadline` uses."""
        if not self.decoder.buffer:
            self.message_started_at = now
        self.last_read_at = now
        self.decoder.feed(data)

    def count_message(self, now: int) -> None:
        """Applies the rate limit to one complete message. Raises MalformedStream above it."""
        self.message_started_at = now  # the rest of the buffer belongs to the next message
        if now - self.window_started_at >= SECOND_US:
            self.window_started_at, self.messages_in_window = now, 0
        self.messages_in_window += 1
        if self.messages_in_window > self.max_messages_per_s:
            raise MalformedStream(f"over {self.max_messages_per_s} messages in a second")

    def max_read_bytes(self) -> int:
        """How much to read at a time: what an unjoined connection has sent is answered before it is closed,
        and it may be closed at any time."""
        return READ_CHUNK_BYTES if self.joined else MAX_UNJOINED_MESSAGE_BYTES

    def deadline(self) -> int:
        """When the connection times out unless another byte arrives."""
        if not self.joined:
            return self.opened_at + JOIN_TIMEOUT_US
        if self.decoder.buffer:
            return self.message_started_at + MESSAGE_TIMEOUT_US
        return self.last_read_at + IDLE_TIMEOUT_US


class Limits(NamedTuple):
    """The maximum number of unjoined and joined connections, and the message rate limit of each."""

    unjoined: int
    joined: int
    messages_per_s: int

    @classmethod
    def from_settings(cls, sockets: int, zones: int, reports_per_period: int) -> Limits:
        """Limits for a number of file descriptors, of zones and of reports per period."""
        joined = min(max(MIN_JOINED, JOINED_PER_ZONE * zones), max(1, sockets // JOINED_SOCKET_DIVISOR))
        return cls(
            sockets // UNJOINED_SOCKET_DIVISOR,
            joined,
            max(MIN_MESSAGES_PER_S, REPORT_PERIODS_PER_S * reports_per_period),
        )


class Collectors:
    """Accepts and serves connections. Collectors of `zones` may join, or any if there are no zones.

    `on_report(message)` raises InvalidMessage for an invalid report; the connection stays open.
    `report(event, **fields)` writes a log line."""

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
        self.unjoined: dict[Connection, None] = {}  # oldest first
        self.joined: dict[Connection, None] = {}
        self.unjoined_messages = 0  # received so far; `stop` waits until no more arrive
        self.counts = {"callers": 0, "joined": 0, "evicted": 0, "sent_away": 0, "reports": 0, "spoilt": 0}
        self.task = loop.spawn(self._accept(), "accept")

    def _accept(self) -> Coroutine:
        while True:
            for _ in range(ACCEPTS_PER_STEP):
                try:
                    stream = yield from self.listener.accept()
                except StreamBroken:  # the listener was closed
                    return
                self._add(stream)
            yield from self.loop.yield_control()

    def _add(self, stream: Stream) -> None:
        connection = Connection(stream, self.loop.now(), self.limits.messages_per_s)
        self.counts["callers"] += 1
        self.unjoined[connection] = None
        if len(self.unjoined) > self.limits.unjoined:
            self._evict(self.unjoined, next(iter(self.unjoined)))
        self.loop.spawn(self._serve(connection), "caller")

    def _evict(self, connections: dict[Connection, None], connection: Connection) -> None:
        """Closes a connection to make room, after answering what it has already sent."""
        del connections[connection]
        self.counts["evicted"] += 1
        self._process_received(connection)
        self._close(connection)

    def _process_received(self, connection: Connection) -> None:
        """Processes the bytes already received on a connection."""
        try:
            self._process_all(connection)  # what was read and had no turn yet
            for _ in range(MAX_FINAL_READS):
                if not (data := connection.stream.read_nowait(True, FINAL_READ_BYTES)):
                    return
                connection.feed(data, self.loop.now())
                self._process_all(connection)
        except (MalformedStream, InvalidMessage) as error:
            self._reject(connection, str(error))
        except StreamBroken:
            pass

    def _close(self, connection: Connection) -> None:
        """Closes a connection without processing further input. With output pending it closes once that is
        sent or after LINGER_TIMEOUT_US."""
        if connection.rejected or connection.stream.pending:
            connection.stream.finish(LINGER_TIMEOUT_US)
        else:
            connection.stream.close()

    def stop(self) -> Coroutine:
        """Stops accepting, answers requests on open connections until none arrive, then closes all."""
        self.task.cancel()
        self._accept_pending()
        self.listener.close()
        deadline = self.loop.now() + STOP_TIMEOUT_US
        processed = -1
        while processed != self.unjoined_messages and self.loop.now() < deadline:
            processed = self.unjoined_messages
            yield from self.loop.sleep(min(STOP_QUIET_US, deadline - self.loop.now()))
        for connection in [*self.unjoined, *self.joined]:
            self._process_received(connection)
            self._close(connection)

    def _accept_pending(self) -> None:
        """Accepts the connections queued in the kernel, which closing the listener would reset."""
        try:
            while (stream := self.listener.accept_nowait()) is not None:
                self._add(stream)
        except OSError as error:
            self.report("accept_failed", reason=str(error))

    def _serve(self, connection: Connection) -> Coroutine:
        try:
            while True:
                data = yield from connection.stream.read(connection.deadline(), connection.max_read_bytes())
                if not data:
                    return
                connection.feed(data, self.loop.now())
                yield from self._process_in_steps(connection)
        except (MalformedStream, InvalidMessage) as error:
            self._reject(connection, str(error))
        except TimedOut:
            self._process_received(connection)  # input that arrived together with the timeout
        except StreamBroken:
            pass
        finally:
            self.unjoined.pop(connection, None)
            self.joined.pop(connection, None)
            self._close(connection)

    def _process_all(self, connection: Connection) -> None:
        """Processes what was received, without a break. Raises what `_process` raises."""
        for _ in self._process(connection):
            pass

    def _process_in_steps(self, connection: Connection) -> Coroutine:
        """Processes what was received, and lets others run in between. Raises what `_process` raises."""
        work = 0
        for done in self._process(connection):
            work += done
            if work >= MAX_WORK_PER_STEP:
                work = 0
                yield from self.loop.yield_control()

    def _process(self, connection: Connection) -> Iterator[int]:
        """Processes the complete messages that were received, and yields the work of each.

        Raises MalformedStream or InvalidMessage if the connection must be rejected."""
        for body in connection.decoder.bodies():
            connection.count_message(self.loop.now())
            values = frames.count_values(body)
            self._handle_body(connection, body, values)
            yield MESSAGE_WORK + values
        connection.stream.hold(len(connection.decoder.buffer))

    def _handle_body(self, connection: Connection, body: bytes, values: int) -> None:
        """Handles one message, unless it has too many values to be decoded."""
        if values <= frames.MAX_VALUES:
            self._handle(connection, frames.decode(body))
            return
        reason = f"a message of {len(body)} bytes with over {frames.MAX_VALUES} values"
        if not connection.joined:
            raise InvalidMessage(reason)
        self._drop_report(reason)

    def _handle(self, connection: Connection, message: dict[str, Any]) -> None:
        """Handles one message. Raises InvalidMessage for one that is not allowed before joining."""
        kind = message.get("t")
        if not connection.joined:
            self.unjoined_messages += 1
        if kind == reports.PROBE:
            connection.stream.write(frames.encode(reports.ALIVE))
        elif kind == reports.JOIN:
            reports.parse_zone(message, self.zones)
            self._join(connection)
        elif not connection.joined:
            raise InvalidMessage(f"{str(kind)[:32]!r} before a joining")
        else:
            self._handle_report(message)

    def _join(self, connection: Connection) -> None:
        if connection.joined:
            return
        connection.joined = True
        connection.decoder.max_bytes = frames.MAX_MESSAGE_BYTES
        self.unjoined.pop(connection, None)
        self.joined[connection] = None
        self.counts["joined"] += 1
        if len(self.joined) > self.limits.joined:  # close the one silent for longest
            self._evict(self.joined, min(self.joined, key=lambda other: other.last_read_at))

    def _handle_report(self, message: dict[str, Any]) -> None:
        self.counts["reports"] += 1
        try:
            self.on_report(message)
        except InvalidMessage as error:
            self._drop_report(str(error))

    def _drop_report(self, reason: str) -> None:
        self.counts["spoilt"] += 1
        self.report("report_spoilt", reason=reason[:200])

    def _reject(self, connection: Connection, reason: str) -> None:
        self.counts["sent_away"] += 1
        connection.rejected = True
        self.report(
            "caller_sent_away", peer=connection.stream.peer, joined=connection.joined, reason=reason[:200]
        )
        if not connection.joined:  # collectors expect no messages
            try:
                connection.stream.write(frames.encode(reports.error_message(reason[:200])))
            except StreamBroken:
                pass
