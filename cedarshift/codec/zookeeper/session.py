"""The states of one connection, from the client's side and from the server's. Free of I/O.

    client:  NEW --hello()--> GREETING --ConnectResponse--> OPEN --close/broken--> ENDED
                                        \\--session 0------> EXPIRED
    server:  NEW --ConnectRequest--> ASKED --welcome()--> OPEN --close/broken--> ENDED

Answers come in the order of the requests, so an answer whose xid is not the next one awaited ends the connection, as does a
zxid that runs back, and a watch event for a path that was never watched here.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple, Optional

from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.errors import Code
from cedarshift.codec.zookeeper.jute import FRAME_MOST, Broken, Frames, Reader, Writer, framed, read, write

NEW, GREETING, ASKED, OPEN, EXPIRED, ENDED = "new", "greeting", "asked", "open", "expired", "ended"
XID_MOST = (1 << 31) - 1
PENDING_MOST = 10_000  # requests without an answer on one connection

# Which events may come for a watch set by which operation.
WATCHING = {r.EXISTS: "exists", r.GET_DATA: "data", r.GET_CHILDREN: "children", r.GET_CHILDREN2: "children"}


class Reply(NamedTuple):
    """An answer; `body` is None for an error."""

    xid: int
    op: int
    zxid: int
    err: int
    body: Any


class Request(NamedTuple):
    """What a client asks. `problem`: an error code to answer with in place of serving it."""

    xid: int
    op: int
    body: Any
    problem: int = 0


class ClientSession:
    """`session` and `password`: of a session to go on with. `last_zxid`: the newest seen, so that an older server refuses."""

    def __init__(
        self,
        timeout_ms: int,
        session: int = 0,
        password: bytes = b"\0" * 16,
        last_zxid: int = 0,
        read_only: bool = False,
        frame_most: int = FRAME_MOST,
    ) -> None:
        self.state = NEW
        self.timeout_ms = timeout_ms
        self.session = session
        self.password = password
        self.last_zxid = last_zxid
        self.read_only = read_only
        self.served_read_only = False
        self.frames = Frames(frame_most)
        self.xid = 0
        self.pending: deque[tuple[int, int, Any]] = deque()
        self.pings = 0
        self.watched: set[str] = set()
        self.trees: set[str] = set()  # watched with all that lies below

    def hello(self) -> bytes:
        assert self.state == NEW
        self.state = GREETING
        writer = Writer()
        write(
            writer,
            r.ConnectRequest,
            r.ConnectRequest(0, self.last_zxid, self.timeout_ms, self.session, self.password),
        )
        writer.flag(self.read_only)
        return framed(writer.done())

    def request(self, op: int, body: Any) -> tuple[int, bytes]:
        """(xid, the frame). Raises Broken where too many wait for their answers."""
        assert self.state == OPEN, self.state
        if len(self.pending) >= PENDING_MOST:
            raise Broken(f"{len(self.pending)} requests wait for answers")
        if op in (r.AUTH, r.SET_WATCHES, r.SET_WATCHES2):
            xid = r.XID_AUTH if op == r.AUTH else r.XID_SET_WATCHES
        else:
            self.xid = self.xid % XID_MOST + 1
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
        write(writer, r.RequestHead, r.RequestHead(xid, op))
        r.write_body(writer, body)
        return framed(writer.done())

    def _expect_events(self, op: int, body: Any) -> None:
        if op in WATCHING and body.watch:
            self.watched.add(body.path)
        elif op == r.ADD_WATCH:
            (self.trees if body.mode == r.WATCH_RECURSIVE else self.watched).add(body.path)
        elif op in (r.SET_WATCHES, r.SET_WATCHES2):
            self.watched.update(body.data, body.exists, body.children)
            if op == r.SET_WATCHES2:
                self.watched.update(body.persistent)
                self.trees.update(body.recursive)

    def feed(self, data: bytes) -> list[Any]:
        """What came: a ConnectResponse once, then Reply and WatchEvent. Raises Broken; the connection has ended then."""
        found: list[Any] = []
        try:
            for frame in self.frames.feed(data):
                got = self._greeted(Reader(frame)) if self.state == GREETING else self._heard(Reader(frame))
                if got is not None:
                    found.append(got)
                if self.state != OPEN:
                    break
        except Broken:
            self.state = ENDED
            raise
        return found

    def _greeted(self, reader: Reader) -> r.ConnectResponse:
        got = read(reader, r.ConnectResponse)
        if reader.left():  # servers before 3.4 do not send it
            self.served_read_only = reader.flag()
        reader.end()
        if got.session == 0 or got.timeout <= 0:
            self.state = EXPIRED
            return got
        if self.session and got.session != self.session:
            raise Broken(f"asked for session {self.session:#x}, the server gives {got.session:#x}")
        self.state = OPEN
        self.session, self.password, self.timeout_ms = got.session, got.password or b"", got.timeout
        return got

    def _heard(self, reader: Reader) -> Any:
        if self.state != OPEN:
            raise Broken(f"a frame in state {self.state}")
        head = read(reader, r.ReplyHead)
        if head.xid == r.XID_WATCH:
            return self._event(reader)
        if head.zxid > 0:
            if head.zxid < self.last_zxid:
                raise Broken(f"the server's zxid runs back from {self.last_zxid:#x} to {head.zxid:#x}")
            self.last_zxid = head.zxid
        if head.xid == r.XID_PING:
            if not self.pings:
                raise Broken("an answer to a ping that was not sent")
            self.pings -= 1
            return None
        if not self.pending or self.pending[0][0] != head.xid:
            wanted = self.pending[0][0] if self.pending else "none"
            raise Broken(f"an answer to xid {head.xid}, awaited is {wanted}")
        xid, op, _ = self.pending.popleft()
        if head.err:
            return Reply(xid, op, head.zxid, head.err, None)
        body = r.read_reply(op, reader)
        reader.end()
        return Reply(xid, op, head.zxid, 0, body)

    def _event(self, reader: Reader) -> r.WatchEvent:
        event = read(reader, r.WatchEvent)
        reader.end()
        if (
            event.kind != r.NO_EVENT
            and event.path not in self.watched
            and not any(
                event.path == top or event.path.startswith(top.rstrip("/") + "/") for top in self.trees
            )
        ):
            raise Broken(f"a watch event for {event.path!r}, which was never watched here")
        return event


class ServerSession:
    """One client's connection, as a server has it."""

    def __init__(self, frame_most: int = 1 << 20) -> None:
        self.state = NEW
        self.frames = Frames(frame_most)
        self.asked: Optional[r.ConnectRequest] = None
        self.read_only = False

    def feed(self, data: bytes) -> list[Any]:
        """A ConnectRequest once, then Request. Raises Broken."""
        found: list[Any] = []
        try:
            for frame in self.frames.feed(data):
                reader = Reader(frame)
                if self.state == NEW:
                    self.asked = read(reader, r.ConnectRequest)
                    self.read_only = reader.flag() if reader.left() else False
                    reader.end()
                    self.state = ASKED
                    found.append(self.asked)
                elif self.state == OPEN:
                    found.append(self._request(reader))
                else:
                    raise Broken(f"a frame in state {self.state}")
        except Broken:
            self.state = ENDED
            raise
        return found

    def _request(self, reader: Reader) -> Request:
        head = read(reader, r.RequestHead)
        if head.op not in r.SPOKEN:
            return Request(head.xid, head.op, None, Code.UNIMPLEMENTED)
        body = r.read_request(head.op, reader)
        reader.end()
        return Request(head.xid, head.op, body)

    def welcome(self, timeout_ms: int, session: int, password: bytes, read_only: bool = False) -> bytes:
        """Session 0 tells that it has expired."""
        assert self.state == ASKED
        self.state = OPEN if session else EXPIRED
        writer = Writer()
        write(
            writer, r.ConnectResponse, r.ConnectResponse(0, timeout_ms if session else 0, session, password)
        )
        writer.flag(read_only)
        return framed(writer.done())

    def reply(self, xid: int, zxid: int, err: int, body: Any = None) -> bytes:
        writer = Writer()
        write(writer, r.ReplyHead, r.ReplyHead(xid, zxid, err))
        if not err:
            r.write_body(writer, body)
        return framed(writer.done())

    def event(self, event: r.WatchEvent) -> bytes:
        writer = Writer()
        write(writer, r.ReplyHead, r.ReplyHead(r.XID_WATCH, -1, 0))
        write(writer, r.WatchEvent, event)
        return framed(writer.done())


__all__ = ["ClientSession", "ENDED", "EXPIRED", "OPEN", "Reply", "Request", "ServerSession"]
