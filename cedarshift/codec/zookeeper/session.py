"""Connection states of the client and the server side, without I/O.

    client:  NEW --connect_request()--> CONNECTING --ConnectResponse--> OPEN --error--> ENDED
                                                  \\--session 0------> EXPIRED
    server:  NEW --ConnectRequest--> CONNECT_RECEIVED --connect_response()--> OPEN --error--> ENDED

Replies arrive in the order of the requests. The client ends the connection on an unexpected xid, a decreasing
zxid, or a watch event for a path that it does not watch.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple, Optional

from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.errors import Code
from cedarshift.codec.zookeeper.jute import (
    MAX_FRAME_BYTES,
    Frames,
    ProtocolError,
    Reader,
    Writer,
    length_prefixed,
    read,
    write,
)

NEW, CONNECTING, CONNECT_RECEIVED, OPEN, EXPIRED, ENDED = (
    "new",
    "greeting",
    "asked",
    "open",
    "expired",
    "ended",
)
MAX_XID = (1 << 31) - 1
MAX_PENDING_REQUESTS = 10_000  # per connection

# Operations that can set a watch, and the kind of watch.
WATCH_OPERATIONS = {
    r.EXISTS: "exists",
    r.GET_DATA: "data",
    r.GET_CHILDREN: "children",
    r.GET_CHILDREN2: "children",
}


class Reply(NamedTuple):
    """A reply; `body` is None for an error."""

    xid: int
    op: int
    zxid: int
    err: int
    body: Any


class Request(NamedTuple):
    """A request. `error_code`: if not 0, the error to reply with instead of serving the request."""

    xid: int
    op: int
    body: Any
    error_code: int = 0


class ClientSession:
    """Client side of a connection.

    `session` and `password` identify a session to resume. `last_zxid` is the newest zxid seen; a server
    that is behind it refuses the connection.
    """

    def __init__(
        self,
        timeout_ms: int,
        session: int = 0,
        password: bytes = b"\0" * 16,
        last_zxid: int = 0,
        read_only: bool = False,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.state = NEW
        self.timeout_ms = timeout_ms
        self.session = session
        self.password = password
        self.last_zxid = last_zxid
        self.read_only = read_only
        self.served_read_only = False
        self.frames = Frames(max_frame_bytes)
        self.xid = 0
        self.pending: deque[tuple[int, int, Any]] = deque()
        self.pings = 0
        self.watched_paths: set[str] = set()
        self.recursive_paths: set[str] = set()  # watched with their subtrees

    def connect_request(self) -> bytes:
        assert self.state == NEW
        self.state = CONNECTING
        writer = Writer()
        write(
            writer,
            r.ConnectRequest,
            r.ConnectRequest(0, self.last_zxid, self.timeout_ms, self.session, self.password),
        )
        writer.flag(self.read_only)
        return length_prefixed(writer.done())

    def request(self, op: int, body: Any) -> tuple[int, bytes]:
        """Return (xid, frame). Raises ProtocolError if too many requests are pending."""
        assert self.state == OPEN, self.state
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            raise ProtocolError(f"{len(self.pending)} requests are pending")
        if op in (r.AUTH, r.SET_WATCHES, r.SET_WATCHES2):
            xid = r.XID_AUTH if op == r.AUTH else r.XID_SET_WATCHES
        else:
            self.xid = self.xid % MAX_XID + 1
            xid = self.xid
        self._expect_events(op, body)
        self.pending.append((xid, op, body))
        return xid, self._frame(xid, op, body)

    def ping(self) -> bytes:
        assert self.state == OPEN, self.state
        self.pings += 1
        return self._frame(r.XID_PING, r.PING, None)

    def _frame(self, xid: int, op: int, body: Any) -> bytes:
        writer = Writer()
        write(writer, r.RequestHeader, r.RequestHeader(xid, op))
        r.write_body(writer, body)
        return length_prefixed(writer.done())

    def _expect_events(self, op: int, body: Any) -> None:
        if op in WATCH_OPERATIONS and body.watch:
            self.watched_paths.add(body.path)
        elif op == r.ADD_WATCH:
            (self.recursive_paths if body.mode == r.WATCH_RECURSIVE else self.watched_paths).add(body.path)
        elif op in (r.SET_WATCHES, r.SET_WATCHES2):
            self.watched_paths.update(body.data, body.exists, body.children)
            if op == r.SET_WATCHES2:
                self.watched_paths.update(body.persistent)
                self.recursive_paths.update(body.recursive)

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages received: one ConnectResponse, then Reply and WatchEvent.

        Raises ProtocolError, which ends the connection.
        """
        found: list[Any] = []
        try:
            for frame in self.frames.feed(data):
                got = (
                    self._on_connect_response(Reader(frame))
                    if self.state == CONNECTING
                    else self._on_frame(Reader(frame))
                )
                if got is not None:
                    found.append(got)
                if self.state != OPEN:
                    break
        except ProtocolError:
            self.state = ENDED
            raise
        return found

    def _on_connect_response(self, reader: Reader) -> r.ConnectResponse:
        got = read(reader, r.ConnectResponse)
        if reader.remaining():  # absent from servers before 3.4
            self.served_read_only = reader.flag()
        reader.end()
        if got.session == 0 or got.timeout <= 0:
            self.state = EXPIRED
            return got
        if self.session and got.session != self.session:
            raise ProtocolError(f"requested session {self.session:#x}, the server returned {got.session:#x}")
        self.state = OPEN
        self.session, self.password, self.timeout_ms = got.session, got.password or b"", got.timeout
        return got

    def _on_frame(self, reader: Reader) -> Any:
        if self.state != OPEN:
            raise ProtocolError(f"unexpected frame in state {self.state}")
        header = read(reader, r.ReplyHeader)
        if header.xid == r.XID_WATCH:
            return self._event(reader)
        if header.zxid > 0:
            if header.zxid < self.last_zxid:
                raise ProtocolError(
                    f"the server's zxid decreased from {self.last_zxid:#x} to {header.zxid:#x}"
                )
            self.last_zxid = header.zxid
        if header.xid == r.XID_PING:
            if not self.pings:
                raise ProtocolError("reply to a ping that was not sent")
            self.pings -= 1
            return None
        if not self.pending or self.pending[0][0] != header.xid:
            expected = self.pending[0][0] if self.pending else "none"
            raise ProtocolError(f"reply to xid {header.xid}, expected xid: {expected}")
        xid, op, _ = self.pending.popleft()
        if header.err:
            return Reply(xid, op, header.zxid, header.err, None)
        body = r.read_reply(op, reader)
        reader.end()
        return Reply(xid, op, header.zxid, 0, body)

    def _event(self, reader: Reader) -> r.WatchEvent:
        event = read(reader, r.WatchEvent)
        reader.end()
        if (
            event.kind != r.NO_EVENT
            and event.path not in self.watched_paths
            and not any(
                event.path == prefix or event.path.startswith(prefix.rstrip("/") + "/")
                for prefix in self.recursive_paths
            )
        ):
            raise ProtocolError(f"watch event for {event.path!r}, which is not watched")
        return event


class ServerSession:
    """Server side of a connection."""

    def __init__(self, max_frame_bytes: int = 1 << 20) -> None:
        self.state = NEW
        self.frames = Frames(max_frame_bytes)
        self.asked: Optional[r.ConnectRequest] = None
        self.read_only = False

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages received: one ConnectRequest, then Request. Raises ProtocolError."""
        found: list[Any] = []
        try:
            for frame in self.frames.feed(data):
                reader = Reader(frame)
                if self.state == NEW:
                    self.asked = read(reader, r.ConnectRequest)
                    self.read_only = reader.flag() if reader.remaining() else False
                    reader.end()
                    self.state = CONNECT_RECEIVED
                    found.append(self.asked)
                elif self.state == OPEN:
                    found.append(self._request(reader))
                else:
                    raise ProtocolError(f"unexpected frame in state {self.state}")
        except ProtocolError:
            self.state = ENDED
            raise
        return found

    def _request(self, reader: Reader) -> Request:
        header = read(reader, r.RequestHeader)
        if header.op not in r.OPERATIONS:
            return Request(header.xid, header.op, None, Code.UNIMPLEMENTED)
        body = r.read_request(header.op, reader)
        reader.end()
        return Request(header.xid, header.op, body)

    def connect_response(
        self, timeout_ms: int, session: int, password: bytes, read_only: bool = False
    ) -> bytes:
        """Return the connect response; session 0 means that the session has expired."""
        assert self.state == CONNECT_RECEIVED
        self.state = OPEN if session else EXPIRED
        writer = Writer()
        write(
            writer, r.ConnectResponse, r.ConnectResponse(0, timeout_ms if session else 0, session, password)
        )
        writer.flag(read_only)
        return length_prefixed(writer.done())

    def reply(self, xid: int, zxid: int, err: int, body: Any = None) -> bytes:
        writer = Writer()
        write(writer, r.ReplyHeader, r.ReplyHeader(xid, zxid, err))
        if not err:
            r.write_body(writer, body)
        return length_prefixed(writer.done())

    def event(self, event: r.WatchEvent) -> bytes:
        writer = Writer()
        write(writer, r.ReplyHeader, r.ReplyHeader(r.XID_WATCH, -1, 0))
        write(writer, r.WatchEvent, event)
        return length_prefixed(writer.done())


__all__ = ["ClientSession", "ENDED", "EXPIRED", "OPEN", "Reply", "Request", "ServerSession"]
