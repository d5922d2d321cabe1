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
            else:                            # the end of the body, or of the connection
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

    def close(self) -> None:
        self.stream.close()


def follow(loop: Loop, address: tuple[str, int], target: str, dial_timeout: int, head_within: int) -> Coroutine:
    """Asks with GET; returns a Followed once the answer's head says 200. Raises StreamBroken or TimedOut."""
    stream = yield from dial(loop, address, dial_timeout)
    followed = Followed(stream, h11.Connection(h11.CLIENT))
    try:
        asked = h11.Request(method="GET", target=target, headers=[("host", f"{address[0]}:{address[1]}")])
        stream.write(followed.conn.send(asked) + followed.conn.send(h11.EndOfMessage()))
        response = yield from followed.head(loop.now() + head_within)
        if response.status_code != 200:
            raise StreamBroken(f"{stream.peer}: answered {response.status_code}")
    except BaseException:
        stream.close()
        raise
    return followed
