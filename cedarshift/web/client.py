"""The asking side: connections are kept for the next request and closed when they have lain idle."""
from __future__ import annotations

from typing import NamedTuple

import h11

from cedarshift.loop import Loop, Stream, StreamBroken, dial
from cedarshift.loop.core import Coroutine

REPLY_MOST = 4 << 20      # bytes of a reply's body


class Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class NotSent(StreamBroken):
    """Nothing of the request has left: no connection was had. It has surely not run."""


class Pool:
    """Keeps `keep` idle connections an address at most, for `idle` us."""

    def __init__(self, loop: Loop, dial_timeout: int, idle: int = 15_000_000, keep: int = 32) -> None:
        self.loop = loop
        self.dial_timeout = dial_timeout
        self.idle = idle
        self.keep = keep
        self.free: dict[tuple[str, int], list[tuple[int, Stream, h11.Connection]]] = {}
        self.dialled = 0

    def ask(self, address: tuple[str, int], method: str, target: str, headers: list[tuple[str, str]],
            body: bytes, until: int) -> Coroutine:
        """Returns a Reply. Raises NotSent, StreamBroken once something was sent, or TimedOut at `until`."""
        stream, conn = yield from self._connection(address, until)
        done = False
        try:
            head = [("host", f"{address[0]}:{address[1]}"), ("content-length", str(len(body))), *headers]
            out = conn.send(h11.Request(method=method, target=target, headers=head))
            stream.write(out + (conn.send(h11.Data(body)) if body else b"") + conn.send(h11.EndOfMessage()))
            reply = yield from self._reply(stream, conn, until)
            done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            return reply
        except h11.RemoteProtocolError as error:
            raise StreamBroken(f"{stream.peer}: {error}") from None
        finally:
            if done:
                conn.start_next_cycle()
                self._put(address, stream, conn)
            else:
                stream.close()

    def _connection(self, address: tuple[str, int], until: int) -> Coroutine:
        free = self.free.get(address, [])
        while free:
            since, stream, conn = free.pop()
            if not stream.closed and self.loop.now() - since < self.idle and not self._ended(stream):
                return stream, conn
            stream.close()
        try:
            self.dialled += 1
            stream = yield from dial(self.loop, address, max(1, min(self.dial_timeout, until - self.loop.now())))
        except StreamBroken as error:
            raise NotSent(str(error)) from None
        return stream, h11.Connection(h11.CLIENT)

    @staticmethod
    def _ended(stream: Stream) -> bool:
        """Whether an idle connection was closed by its peer: nothing may come on it unasked."""
        try:
            return stream.pipe.recv(1) is not None
        except OSError:
            return True

    def _put(self, address: tuple[str, int], stream: Stream, conn: h11.Connection) -> None:
        free = self.free.setdefault(address, [])
        free.append((self.loop.now(), stream, conn))
        if len(free) > self.keep:
            free.pop(0)[1].close()

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
            for _, stream, _ in free:
                stream.close()
        self.free.clear()
