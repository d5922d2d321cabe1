"""A request whose answer does not end: its body comes piece by piece, for as long as the peer keeps it open."""

from __future__ import annotations

import h11

from cedarshift.loop import Loop, Stream, StreamBroken, dial
from cedarshift.loop.core import Coroutine


class Followed:
    """An answer under way."""

    def __init__(self, stream: Stream, conn: h11.Connection) -> None:
        self.stream = stream
        self.conn = conn

    def piece(self, until: int) -> Coroutine:
        """All of the body that has come; b"" once it has ended. Raises TimedOut at `until`, StreamBroken."""
        got = []
        while True:
            event = self._event()
            if isinstance(event, h11.Data):
                got.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                if got:
                    return b"".join(got)
                yield from self.fill(until)
            else:  # the end of the body, or of the connection
                return b"".join(got)

    def fill(self, until: int) -> Coroutine:
        self.conn.receive_data((yield from self.stream.read(until)))

    def _event(self) -> object:
        try:
            return self.conn.next_event()
        except h11.RemoteProtocolError as error:
            self.stream.close()
            raise StreamBroken(f"{self.stream.peer}: {error}") from None

    def head(self, until: int) -> Coroutine:
        while True:
            event = self._event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                yield from self.fill(until)
            elif not isinstance(event, h11.InformationalResponse):
                raise StreamBroken(f"{self.stream.peer}: closed before its answer")

    def ask(self, host: str, target: str, until: int) -> Coroutine:
        """Asks with GET and waits for a head that says 200. Raises NotFollowed, StreamBroken, or TimedOut at `until`."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.stream.write(self.conn.send(request) + self.conn.send(h11.EndOfMessage()))
        response = yield from self.head(until)
        if response.status_code != 200:
            raise NotFollowed(self.stream.peer, response.status_code)

    def close(self) -> None:
        """Ends a wait for the head or the next piece at once."""
        self.stream.close()


class NotFollowed(StreamBroken):
    """The peer has answered, but with a status that is no answer to follow."""

    def __init__(self, peer: str, status: int) -> None:
        super().__init__(f"{peer}: answered {status}")
        self.status = status


def connect(loop: Loop, address: tuple[str, int], dial_timeout: int) -> Coroutine:
    """Returns a Followed of which nothing has been asked yet. Raises StreamBroken."""
    stream = yield from dial(loop, address, dial_timeout)
    return Followed(stream, h11.Connection(h11.CLIENT))
