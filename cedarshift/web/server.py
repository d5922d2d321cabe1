"""An HTTP server: one request at a time per connection, bounded heads and bodies, idle connections closed."""

from __future__ import annotations

import re
import traceback
from typing import Callable, NamedTuple, Optional

import h11

from cedarshift.loop import Cancelled, Listener, Loop, Stream, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

MAX_HEAD_BYTES = 16_384  # of a request
MAX_BODY_BYTES = 65_536  # of a request
MAX_HEADER_FIELDS = 128  # of a request
HEADER_FIELD_BYTES = 256  # of memory, of a parsed header field
HEAD_END = re.compile(rb"\n\r?\n")
HEADERS_TOO_LARGE = 431
INTERNAL_ERROR = 500
LINGER_TIMEOUT_US = 1_000_000  # for the client to read the last response
IDLE_TIMEOUT_US = 60_000_000  # for a complete request to arrive, or for buffered output to drain


class HttpRequest(NamedTuple):
    """A received request. `hung_up()` returns whether the client is known to have disconnected.

    A client that has only ended its sending side may still wait for the reply."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str
    hung_up: Callable[[], bool]


class HttpReply(NamedTuple):
    """A reply. A `body` of None closes the connection instead; a `cut` of 0 or more closes it
    after that many body bytes."""

    status: int
    body: Optional[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()
    cut: int = -1


Handler = Callable[[HttpRequest], Coroutine]


def serve_http(loop: Loop, listener: Listener, handler: Handler) -> Coroutine:
    """Accepts connections until the listener is closed, then raises StreamBroken.

    `handler(request)` is a coroutine that returns an HttpReply."""
    while True:
        stream = yield from listener.accept()
        loop.spawn(_serve_connection(loop, stream, handler), f"http {stream.peer}")


def _serve_connection(loop: Loop, stream: Stream, handler: Handler) -> Coroutine:
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    try:
        while True:
            request = yield from _read_request(loop, stream, conn)
            if request is None:
                return
            reply = yield from _run_handler(loop, handler, request)
            if not _send_reply(stream, conn, reply):
                return
            yield from stream.drain(MAX_BODY_BYTES, loop.now() + IDLE_TIMEOUT_US)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            if conn.trailing_data[0]:  # another request; the last reply may show that the client has gone
                yield from loop.yield_control()
                if stream.hung_up:
                    return
    except h11.RemoteProtocolError as error:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            _send_reply(stream, conn, HttpReply(error.error_status_hint, str(error).encode()))
    except TimedOut:  # close without reading: a request read now would get no reply
        stream.close()
    except StreamBroken:
        pass
    finally:
        stream.finish(LINGER_TIMEOUT_US)


def _run_handler(loop: Loop, handler: Handler, request: HttpRequest) -> Coroutine:
    """Returns the handler's reply, or status 500 if it raises; the exception is logged."""
    try:
        return (yield from handler(request))
    except (Cancelled, StreamBroken, TimedOut):
        raise
    except Exception as failure:
        loop.report(
            "request_failed", target=request.target, error=repr(failure), traceback=traceback.format_exc()
        )
        return HttpReply(INTERNAL_ERROR, b"internal error")


def _read_request(loop: Loop, stream: Stream, conn: h11.Connection) -> Coroutine:
    head: Optional[h11.Request] = None
    body = b""
    deadline = loop.now() + IDLE_TIMEOUT_US
    while True:
        if head is None:
            _check_header_fields(conn.trailing_data[0])
        event = conn.next_event()
        if event is h11.NEED_DATA:
            stream.hold(_held_bytes(conn, head, body))
            conn.receive_data((yield from stream.read(deadline)))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(f"a body over {MAX_BODY_BYTES} bytes", 413)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            stream.hold(_held_bytes(conn, head, body))
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
            return HttpRequest(
                head.method.decode(),
                head.target.decode("latin-1"),
                headers,
                body,
                stream.peer,
                lambda: stream.closed or stream.hung_up,
            )
        else:  # connection closed by the client
            return None


def _check_header_fields(received: bytes) -> None:
    """Raises RemoteProtocolError if a head that may be incomplete has too many fields.

    They are counted before they are parsed, which costs far more."""
    end = HEAD_END.search(received)
    if received.count(b"\n", 0, end.start() if end else len(received)) > MAX_HEADER_FIELDS:
        raise h11.RemoteProtocolError(f"over {MAX_HEADER_FIELDS} header fields", HEADERS_TOO_LARGE)


def _held_bytes(conn: h11.Connection, head: Optional[h11.Request], body: bytes) -> int:
    """The memory that a request takes which is not answered yet, about."""
    fields = len(head.headers) if head is not None else 0
    return len(conn.trailing_data[0]) + fields * HEADER_FIELD_BYTES + len(body)


def _send_reply(stream: Stream, conn: h11.Connection, reply: HttpReply) -> bool:
    if reply.body is None:
        stream.close()
        return False
    headers = [("content-length", str(len(reply.body))), *reply.headers]
    out = conn.send(h11.Response(status_code=reply.status, headers=headers))
    if reply.cut >= 0:  # simulates a server that dies while sending
        stream.write(out + reply.body[: reply.cut])
        return False
    out += conn.send(h11.Data(reply.body)) + conn.send(h11.EndOfMessage())
    stream.write(out)
    return True
