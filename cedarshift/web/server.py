"""The serving side: one request at a time a connection, bodies and heads bounded, idle connections closed."""

from __future__ import annotations

import traceback
from typing import Callable, NamedTuple, Optional

import h11

from cedarshift.loop import Cancelled, Listener, Loop, Stream, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

HEAD_MOST = 16_384  # bytes of a request's head
BODY_MOST = 65_536  # bytes of a request's body
INTERNAL_ERROR = 500
LINGER_TIMEOUT = 1_000_000  # us; how long the last answer may take to be read
IDLE_MOST = 60_000_000  # us that a connection may lie idle, or a request take to come in


class Asked(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str
    hung_up: Callable[[], bool]


class Answer(NamedTuple):
    """`body` None cuts the connection without an answer; `cut` closes it after so many bytes of the body."""

    status: int
    body: Optional[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()
    cut: int = -1


Handler = Callable[[Asked], Coroutine]


def serve_http(loop: Loop, listener: Listener, handler: Handler) -> Coroutine:
    """Accepts for ever. `handler(asked)` is a coroutine that returns an Answer."""
    while True:
        stream = yield from listener.accept()
        loop.spawn(_connection(loop, stream, handler), f"http {stream.peer}")


def _connection(loop: Loop, stream: Stream, handler: Handler) -> Coroutine:
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
    try:
        while True:
            asked = yield from _request(loop, stream, conn)
            if asked is None:
                return
            answer = yield from _handled(loop, handler, asked)
            if not _answer(stream, conn, answer):
                return
            yield from stream.drain(BODY_MOST, loop.now() + IDLE_MOST)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
    except h11.RemoteProtocolError as error:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            _answer(stream, conn, Answer(error.error_status_hint, str(error).encode()))
    except TimedOut:  # idle: a request that comes now is left unread, never read and thrown away
        stream.close()
    except StreamBroken:
        pass
    finally:
        stream.finish(LINGER_TIMEOUT)


def _handled(loop: Loop, handler: Handler, asked: Asked) -> Coroutine:
    """The handler's answer; a fault of it is told, and answered too: the request was read."""
    try:
        return (yield from handler(asked))
    except (Cancelled, StreamBroken, TimedOut):
        raise
    except Exception as failure:
        loop.report(
            "request_failed", target=asked.target, error=repr(failure), traceback=traceback.format_exc()
        )
        return Answer(INTERNAL_ERROR, b"internal error")


def _request(loop: Loop, stream: Stream, conn: h11.Connection) -> Coroutine:
    head: Optional[h11.Request] = None
    body = b""
    until = loop.now() + IDLE_MOST
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data((yield from stream.read(until)))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_MOST:
                raise h11.RemoteProtocolError(f"a body over {BODY_MOST} bytes", 413)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
            return Asked(
                head.method.decode(),
                head.target.decode("latin-1"),
                headers,
                body,
                stream.peer,
                lambda: stream.closed,
            )
        else:  # the peer has closed
            return None


def _answer(stream: Stream, conn: h11.Connection, answer: Answer) -> bool:
    if answer.body is None:
        stream.close()
        return False
    headers = [("content-length", str(len(answer.body))), *answer.headers]
    out = conn.send(h11.Response(status_code=answer.status, headers=headers))
    if answer.cut >= 0:  # the sender dies in the middle of its reply
        stream.write(out + answer.body[: answer.cut])
        return False
    out += conn.send(h11.Data(answer.body)) + conn.send(h11.EndOfMessage())
    stream.write(out)
    return True
