"""Connects `codec.Session` to `loop.Stream`, for the accepting and the dialing side."""

from __future__ import annotations

from typing import Callable, Optional

from cedarshift.codec import Identity, PeerClosed, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.codec.session import OPEN
from cedarshift.loop import Listener, Loop, Stream, StreamBroken, TimedOut, dial
from cedarshift.loop.core import Coroutine

HANDSHAKE_TIMEOUT_US = 3_000_000  # from the connect to an open session
CLOSE_TIMEOUT_US = 500_000  # for a Bye to be sent before the stream is closed


class Link:
    """A session over a stream. `receive` raises StreamBroken or a ProtocolError when it ends."""

    def __init__(self, loop: Loop, stream: Stream, session: Session) -> None:
        self.loop = loop
        self.stream = stream
        self.session = session

    @property
    def closed(self) -> bool:
        """Whether the stream has ended or the session is not open."""
        return self.stream.closed or self.stream.hung_up or self.session.state != OPEN

    @property
    def peer(self) -> Identity:
        """The peer's identity; the session must be open."""
        assert self.session.peer is not None
        return self.session.peer

    def receive(self, until: Optional[int] = None) -> Coroutine:
        """Waits for messages and returns at least one.

        Raises StreamBroken if the connection ends, a ProtocolError if the session does, and TimedOut at
        `until` (us)."""
        while True:
            self.session.raise_pending_error()
            data = yield from self.stream.read(until)
            if not data:
                self.session.frames.end()
                raise StreamBroken("the peer closed the connection without a Bye")
            if received := self._feed(data):
                return received

    def _feed(self, data: bytes) -> list[m.Message]:
        """Passes received bytes to the session and sends what it answers. Returns the messages."""
        try:
            return self.session.receive(self.loop.now(), data)
        finally:
            self.stream.hold(len(self.session.frames.buffer))
            self._flush()

    def send(self, message: m.Message) -> None:
        """Sends a message without waiting; drops it if the session has ended or the stream breaks.

        Does not raise StreamBroken, so that one broken peer does not stop a sender that serves many; the
        reader gets the error."""
        if not self.closed:
            try:
                self.stream.write(self.session.send(message))
            except StreamBroken:
                pass  # the stream is closed and its reader gets the error

    def send_frame(self, frame: bytes, shared: bool = False) -> None:
        """Sends an encoded frame without waiting; drops it if the session has ended. `shared`: other sessions
        are sent the same frame, too.

        Raises StreamBroken if the stream breaks."""
        if not self.closed:
            self.stream.write(frame, shared)

    def close(self, code: str, reason: str) -> None:
        """Closes the session with a Bye, if the stream still takes it, and finishes the stream.

        Does not raise StreamBroken."""
        self.session.close(code, reason)
        try:
            self._flush()
        except StreamBroken:
            pass
        self.stream.finish(CLOSE_TIMEOUT_US)

    def _flush(self) -> None:
        out = self.session.take_outbox()
        if out and not self.stream.closed:
            self.stream.write(out)

    def handshake(self, until: int) -> Coroutine:
        """Runs the handshake; returns the application messages that arrived together with its last frame.

        Raises StreamBroken, a ProtocolError, or TimedOut at `until` (us)."""
        self._flush()
        while self.session.state != OPEN:
            data = yield from self.stream.read(until)
            if not data:
                raise StreamBroken("the peer closed during the handshake")
            if received := self._feed(data):
                return received
        return []


def serve(
    loop: Loop,
    listener: Listener,
    make_session: Callable[[], Session],
    handler: Callable[[Link, list[m.Message]], Coroutine],
    report: Callable[..., None],
) -> Coroutine:
    """Accepts connections; each runs the handshake and then `handler(link, first messages)` in its own task.

    The first messages are those that arrived together with the end of the handshake. The end of a session is
    reported with the peer's id, or its address before the handshake, and does not affect other sessions.
    Raises StreamBroken when the listener is closed."""
    while True:
        stream = yield from listener.accept()
        loop.spawn(_run_session(loop, stream, make_session(), handler, report), f"session {stream.peer}")


def _run_session(
    loop: Loop,
    stream: Stream,
    session: Session,
    handler: Callable[[Link, list[m.Message]], Coroutine],
    report: Callable[..., None],
) -> Coroutine:
    link = Link(loop, stream, session)
    session.start()
    peer_name = stream.peer
    try:
        first = yield from link.handshake(loop.now() + HANDSHAKE_TIMEOUT_US)
        peer_name = link.peer.id
        yield from handler(link, first)
    except PeerClosed as error:
        report("session_ended", peer=peer_name, reason=str(error))
    except ProtocolError as error:
        report("session_refused", peer=peer_name, code=error.code, reason=str(error))
    except TimedOut:
        link.close("too-slow", "no answer in time")
        report("session_refused", peer=peer_name, code="too-slow", reason="no answer in time")
    except StreamBroken as error:
        report("session_ended", peer=peer_name, reason=str(error))
    finally:
        stream.finish(CLOSE_TIMEOUT_US)


def connect(loop: Loop, address: tuple[str, int], session: Session, timeout: int) -> Coroutine:
    """Dials and runs the handshake within `timeout` (us); returns (link, first messages).

    Raises StreamBroken if the connection fails or the peer does not answer in time, a ProtocolError if either
    side rejects the session."""
    until = loop.now() + timeout
    stream = yield from dial(loop, address, timeout)
    link = Link(loop, stream, session)
    try:
        first = yield from link.handshake(until)
    except TimedOut:
        stream.close()
        raise StreamBroken(f"{stream.peer}: no handshake within {timeout // 1000} ms") from None
    except BaseException:
        stream.finish(CLOSE_TIMEOUT_US)
        raise
    return link, first


__all__ = ["Link", "connect", "serve"]
