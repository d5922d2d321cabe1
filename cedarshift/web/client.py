"""An HTTP client with a pool of keep-alive connections."""

from __future__ import annotations

from typing import NamedTuple, Optional

import h11

from cedarshift.loop import BufferFull, Loop, Stream, StreamBroken, dial
from cedarshift.loop.core import Coroutine, Timer

MAX_BODY_BYTES = 4 << 20  # of a reply


class Reply(NamedTuple):
    """A received reply, of any status."""

    status: int
    headers: dict[str, str]
    body: bytes


class NotSentError(StreamBroken):
    """No byte of the request was sent, so the server has not processed it."""


class IdleConnection:
    """A pooled connection. Its timer closes it unless it is taken first."""

    def __init__(self, stream: Stream, conn: h11.Connection) -> None:
        self.stream = stream
        self.conn = conn
        self.timer: Optional[Timer] = None

    def take(self) -> None:
        """Stops the timer; the caller now owns the connection."""
        if self.timer is not None:
            self.timer.cancel()

    def close(self) -> None:
        self.take()
        self.stream.close()


class Pool:
    """Keeps up to `max_idle` idle connections per address and closes each after `idle_timeout_us`."""

    def __init__(
        self, loop: Loop, dial_timeout_us: int, idle_timeout_us: int = 15_000_000, max_idle: int = 32
    ) -> None:
        self.loop = loop
        self.dial_timeout_us = dial_timeout_us
        self.idle_timeout_us = idle_timeout_us
        self.max_idle = max_idle
        self.idle_connections: dict[tuple[str, int], list[IdleConnection]] = {}  # newest last; no empty lists
        self.dialled = 0  # attempts to open a connection

    def request(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        deadline: int,
    ) -> Coroutine:
        """Returns a Reply. Raises NotSentError, StreamBroken once a byte was sent, or TimedOut at
        `deadline`."""
        stream, conn = yield from self._connection(address, deadline)
        done = False
        try:
            head = [("host", f"{address[0]}:{address[1]}"), ("content-length", str(len(body))), *headers]
            out = conn.send(h11.Request(method=method, target=target, headers=head))
            self._send(
                stream, out + (conn.send(h11.Data(body)) if body else b"") + conn.send(h11.EndOfMessage())
            )
            reply = yield from self._reply(stream, conn, deadline)
            done = self._reusable(stream, conn)
            return reply
        except h11.RemoteProtocolError as error:
            raise StreamBroken(f"{stream.peer}: {error}") from None
        finally:
            if done:
                conn.start_next_cycle()
                self._put(address, stream, conn)
            else:
                stream.close()

    @staticmethod
    def _send(stream: Stream, data: bytes) -> None:
        """Writes the request. A write that the kernel refuses has sent nothing."""
        try:
            stream.write(data)
        except BufferFull:
            raise
        except StreamBroken as error:
            raise NotSentError(f"{stream.peer}: {error}") from None

    @staticmethod
    def _reusable(stream: Stream, conn: h11.Connection) -> bool:
        """Whether the connection can carry another request: both sides have ended the exchange, the
        request was written in full, and no bytes follow the reply, as those would be read as the next
        reply."""
        return (
            conn.our_state is h11.DONE
            and conn.their_state is h11.DONE
            and not stream.pending
            and not conn.trailing_data[0]
        )

    def _connection(self, address: tuple[str, int], deadline: int) -> Coroutine:
        while address in self.idle_connections:
            idle = self._pop(address, newest=True)
            idle.take()
            if not idle.stream.closed and not self._closed_by_peer(idle.stream):
                return idle.stream, idle.conn
            idle.stream.close()
        try:
            self.dialled += 1
            stream = yield from dial(
                self.loop, address, max(1, min(self.dial_timeout_us, deadline - self.loop.now()))
            )
        except StreamBroken as error:
            raise NotSentError(str(error)) from None
        return stream, h11.Connection(h11.CLIENT)

    @staticmethod
    def _closed_by_peer(stream: Stream) -> bool:
        """Whether the peer closed an idle connection or sent unexpected data on it."""
        try:
            return stream.transport.recv(1) is not None
        except OSError:
            return True

    def _put(self, address: tuple[str, int], stream: Stream, conn: h11.Connection) -> None:
        idle = IdleConnection(stream, conn)
        idle.timer = self.loop.at(self.loop.now() + self.idle_timeout_us, self._expire, address, idle)
        free = self.idle_connections.setdefault(address, [])
        free.append(idle)
        if len(free) > self.max_idle:
            self._pop(address, newest=False).close()

    def _pop(self, address: tuple[str, int], newest: bool) -> IdleConnection:
        free = self.idle_connections[address]
        idle = free.pop(-1 if newest else 0)
        if not free:
            del self.idle_connections[address]
        return idle

    def _expire(self, address: tuple[str, int], idle: IdleConnection) -> None:
        """Closes a connection whose idle timeout has passed. Taking or closing one cancels its timer."""
        free = self.idle_connections[address]
        free.remove(idle)
        if not free:
            del self.idle_connections[address]
        idle.stream.close()

    def _reply(self, stream: Stream, conn: h11.Connection, deadline: int) -> Coroutine:
        status, headers, body = 0, {}, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = yield from stream.read(deadline)
                if not data:
                    raise StreamBroken(f"{stream.peer}: closed before the end of the reply")
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise StreamBroken(f"{stream.peer}: reply body over {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, headers, body)

    def close_idle(self) -> None:
        """Closes all idle connections; requests in progress continue."""
        for free in self.idle_connections.values():
            for idle in free:
                idle.close()
        self.idle_connections.clear()
