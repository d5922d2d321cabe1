"""The asking side: connections are kept for the next request and closed when they have lain idle."""

from __future__ import annotations

from typing import NamedTuple, Optional

import h11

from cedarshift.loop import BufferFull, Loop, Stream, StreamBroken, dial
from cedarshift.loop.core import Coroutine, Timer

REPLY_MOST = 4 << 20  # bytes of a reply's body


class Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class NotSent(StreamBroken):
    """Nothing of the request has left: no connection was had. It has surely not run."""


class IdleConnection:
    """A connection that waits for its next request. Its timer closes it, unless it is taken first."""

    def __init__(self, stream: Stream, conn: h11.Connection) -> None:
        self.stream = stream
        self.conn = conn
        self.timer: Optional[Timer] = None

    def take(self) -> None:
        """Stops the timer: from now on the taker closes the connection."""
        if self.timer is not None:
            self.timer.cancel()

    def close(self) -> None:
        self.take()
        self.stream.close()


class Pool:
    """Keeps `keep` idle connections an address at most, for `idle` us, after which they are closed."""

    def __init__(self, loop: Loop, dial_timeout: int, idle: int = 15_000_000, keep: int = 32) -> None:
        self.loop = loop
        self.dial_timeout = dial_timeout
        self.idle = idle
        self.keep = keep
        self.free: dict[tuple[str, int], list[IdleConnection]] = {}  # never an empty list; newest last
        self.dialled = 0

    def ask(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        until: int,
    ) -> Coroutine:
        """Returns a Reply. Raises NotSent, StreamBroken once something was sent, or TimedOut at `until`."""
        stream, conn = yield from self._connection(address, until)
        done = False
        try:
            head = [("host", f"{address[0]}:{address[1]}"), ("content-length", str(len(body))), *headers]
            out = conn.send(h11.Request(method=method, target=target, headers=head))
            self._send(
                stream, out + (conn.send(h11.Data(body)) if body else b"") + conn.send(h11.EndOfMessage())
            )
            reply = yield from self._reply(stream, conn, until)
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
        """The first write of an exchange. Where the kernel refuses it, as the peer has just closed, none of it has left."""
        try:
            stream.write(data)
        except BufferFull:
            raise
        except StreamBroken as error:
            raise NotSent(f"{stream.peer}: {error}") from None

    @staticmethod
    def _reusable(stream: Stream, conn: h11.Connection) -> bool:
        """Whether the next reply on a connection would surely be the next request's: both sides have ended this exchange, all
        of the request has left, and nothing came behind the reply. What came behind it would be read as the next one."""
        return (
            conn.our_state is h11.DONE
            and conn.their_state is h11.DONE
            and not stream.pending
            and not conn.trailing_data[0]
        )

    def _connection(self, address: tuple[str, int], until: int) -> Coroutine:
        while address in self.free:
            idle = self._pop(address, newest=True)
            idle.take()
            if not idle.stream.closed and not self._ended(idle.stream):
                return idle.stream, idle.conn
            idle.stream.close()
        try:
            self.dialled += 1
            stream = yield from dial(
                self.loop, address, max(1, min(self.dial_timeout, until - self.loop.now()))
            )
        except StreamBroken as error:
            raise NotSent(str(error)) from None
        return stream, h11.Connection(h11.CLIENT)

    @staticmethod
    def _ended(stream: Stream) -> bool:
        """Whether an idle connection was closed by its peer: nothing may come on it unasked."""
        try:
            return stream.transport.recv(1) is not None
        except OSError:
            return True

    def _put(self, address: tuple[str, int], stream: Stream, conn: h11.Connection) -> None:
        idle = IdleConnection(stream, conn)
        idle.timer = self.loop.at(self.loop.now() + self.idle, self._expire, address, idle)
        free = self.free.setdefault(address, [])
        free.append(idle)
        if len(free) > self.keep:
            self._pop(address, newest=False).close()

    def _pop(self, address: tuple[str, int], newest: bool) -> IdleConnection:
        free = self.free[address]
        idle = free.pop(-1 if newest else 0)
        if not free:
            del self.free[address]
        return idle

    def _expire(self, address: tuple[str, int], idle: IdleConnection) -> None:
        """Only runs for a connection that still waits: who takes or closes one stops its timer."""
        free = self.free[address]
        free.remove(idle)
        if not free:
            del self.free[address]
        idle.stream.close()

    def _reply(self, stream: Stream, conn: h11.Connection, until: int) -> Coroutine:
        status, headers, body = 0, {}, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = yield from stream.read(until)
                if not data:
                    raise StreamBroken(f"{stream.peer}: closed before the end of its reply")
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > REPLY_MOST:
                    raise StreamBroken(f"{stream.peer}: a reply over {REPLY_MOST} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, headers, body)

    def close_idle(self) -> None:
        for free in self.free.values():
            for idle in free:
                idle.close()
        self.free.clear()
