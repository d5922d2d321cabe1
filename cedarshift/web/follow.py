"""A GET request whose response body is read incrementally for as long as the peer keeps it open."""

from __future__ import annotations

import h11

from cedarshift.loop import Loop, Stream, StreamBroken, dial
from cedarshift.loop.core import Coroutine


class StreamedResponse:
    """A connection that carries one long-lived response."""

    def __init__(self, stream: Stream, conn: h11.Connection) -> None:
        self.stream = stream
        self.conn = conn

    def read_body(self, deadline: int) -> Coroutine:
        """Returns the next body bytes, b"" at the end. Raises StreamBroken or TimedOut."""
        chunks = []
        while True:
            event = self._event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                if chunks:
                    return b"".join(chunks)
                yield from self._receive(deadline)
            else:  # end of the body or of the connection
                return b"".join(chunks)

    def _receive(self, deadline: int) -> Coroutine:
        self.conn.receive_data((yield from self.stream.read(deadline)))

    def _event(self) -> object:
        try:
            return self.conn.next_event()
        except h11.RemoteProtocolError as error:
            self.stream.close()
            raise StreamBroken(f"{self.stream.peer}: {error}") from None

    def read_head(self, deadline: int) -> Coroutine:
        """Returns the h11.Response, skipping informational ones. Raises StreamBroken or TimedOut."""
        while True:
            event = self._event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                yield from self._receive(deadline)
            elif not isinstance(event, h11.InformationalResponse):
                raise StreamBroken(f"{self.stream.peer}: closed before the response")

    def get(self, host: str, target: str, deadline: int) -> Coroutine:
        """Sends a request and waits for status 200. Raises UnexpectedStatus, StreamBroken or TimedOut."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.stream.write(self.conn.send(request) + self.conn.send(h11.EndOfMessage()))
        response = yield from self.read_head(deadline)
        if response.status_code != 200:
            raise UnexpectedStatus(self.stream.peer, response.status_code)

    def close(self) -> None:
        """Closes the connection, which ends a pending read."""
        self.stream.close()


class UnexpectedStatus(StreamBroken):
    """The peer responded with a status other than 200."""

    def __init__(self, peer: str, status: int) -> None:
        super().__init__(f"{peer}: status {status}")
        self.status = status


def connect(loop: Loop, address: tuple[str, int], dial_timeout_us: int) -> Coroutine:
    """Returns a StreamedResponse on a new connection, before any request. Raises StreamBroken."""
    stream = yield from dial(loop, address, dial_timeout_us)
    return StreamedResponse(stream, h11.Connection(h11.CLIENT))
