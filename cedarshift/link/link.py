"""Ties `codec.Session` to `loop.Stream`, for the side that accepts and for the side that dials."""

from __future__ import annotations

from typing import Callable, Optional

from cedarshift.codec import Identity, PeerClosed, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.codec.session import OPEN
from cedarshift.loop import Listener, Loop, Stream, StreamBroken, TimedOut, dial
from cedarshift.loop.core import Coroutine

HANDSHAKE_TIMEOUT_US = 3_000_000  # us that a peer may take from the connect to an open session
CLOSE_TIMEOUT_US = 500_000  # us for a Bye to leave before the stream is closed


class Link:
    """An open session. `receive` raises StreamBroken or a ProtocolError when it ends."""

    def __init__(self, loop: Loop, stream: Stream, session: Session) -> None:
        self.loop = loop
        self.stream = stream
        self.session = session

    @property
    def closed(self) -> bool:
        return self.stream.closed or self.session.state != OPEN

    @property
    def peer(self) -> Identity:
        """Who is at the other end of an open session."""
        assert self.session.peer is not None
        return self.session.peer

    def receive(self, until: Optional[int] = None) -> Coroutine:
        """The next messages, at least one. Raises StreamBroken at the stream's end, TimedOut at `until`."""
        while True:
            self.session.raise_pending_error()
            data = yield from self.stream.read(until)
            if not data:
                self.session.frames.end()
                raise StreamBroken("the peer closed without a word")
            try:
                received = self.session.receive(self.loop.now(), data)
            finally:
                self._flush()
            if received:
                return received

    def send(self, message: m.Message) -> None:
        """Queues a message; one to a session that has ended is dropped, as the reader hears of the end. So is one that finds the end
        first: senders are timers and loops that serve many peers, and one broken stream must not end those."""
        if not self.closed:
            try:
                self.stream.write(self.session.send(message))
            except StreamBroken:
                pass  # the stream is closed by now, and its reader woken with the reason

    def send_frame(self, frame: bytes) -> None:
        if not self.closed:
            self.stream.write(frame)

    def close(self, code: str, reason: str) -> None:
        """Says why, if that can still be heard, and closes. Never raises: it also runs while another error is on its way."""
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
        """Runs the handshake. Messages that came with its last frame are returned."""
        self._flush()
        while self.session.state != OPEN:
            data = yield from self.stream.read(until)
            if not data:
                raise StreamBroken("the peer closed during the handshake")
            try:
                received = self.session.receive(self.loop.now(), data)
            finally:
                self._flush()
            if received:
                return received
        return []


def serve(
    loop: Loop,
    listener: Listener,
    make_session: Callable[[], Session],
    handler: Callable[[Link, list[m.Message]], Coroutine],
    report: Callable[..., None],
) -> Coroutine:
    """Accepts for ever. Each connection has a task of its own: handshake, then `talk(link, first messages)`.

    What ends a session is reported with the peer's name and harms no other."""
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
    who = stream.peer
    try:
        first = yield from link.handshake(loop.now() + HANDSHAKE_TIMEOUT_US)
        who = link.peer.id
        yield from handler(link, first)
    except PeerClosed as error:
        report("session_ended", peer=who, reason=str(error))
    except ProtocolError as error:
        report("session_refused", peer=who, code=error.code, reason=str(error))
    except TimedOut:
        link.close("too-slow", "no answer in time")
        report("session_refused", peer=who, code="too-slow", reason="no answer in time")
    except StreamBroken as error:
        report("session_ended", peer=who, reason=str(error))
    finally:
        stream.finish(CLOSE_TIMEOUT_US)


def connect(loop: Loop, address: tuple[str, int], session: Session, timeout: int) -> Coroutine:
    """Dials and shakes hands within `timeout` (us); returns (link, first messages).

    Raises StreamBroken where nobody answers in time, a ProtocolError where the peer will not have this side."""
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
