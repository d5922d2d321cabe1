"""ZooKeeper client on the event loop: one session over several servers, and its watches.

States passed to `on_state`:
    "connected"
    "read-only"     connected to a server without quorum
    "disconnected"  the session may still exist; data read so far may be outdated
    "expired"       the session has ended, with its ephemeral nodes and watches
    "refused"       the credentials were rejected
"""

from __future__ import annotations

import re
from collections import deque
from typing import Any, Callable, Optional

from cedarshift.codec.zookeeper import Code, ProtocolError, ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.session import EXPIRED, ClientSession, Reply
from cedarshift.loop import Loop, Stream, StreamBroken, TimedOut, dial
from cedarshift.loop.core import Coroutine, Waker

Address = tuple[str, int]

MIN_CONNECT_TIMEOUT_US = 200_000  # for connect and handshake
MIN_RECONNECT_DELAY_US = 50_000  # after all servers failed; doubled each round, with jitter
MAX_RECONNECT_DELAY_US = 2_000_000
PING_INTERVAL_DIVISOR = 3  # of the session timeout, without a request
READ_TIMEOUT_SHARE = 2 / 3  # of the session timeout, then another server is tried
ROLLBACK_CHECK_TIMEOUTS = 2  # session timeouts without a connection before looking for a rolled back ensemble
MAX_COMMAND_REPLY_BYTES = 4_096  # of a four-letter command
ZXID = re.compile(rb"^Zxid: 0x([0-9a-fA-F]{1,16})$", re.MULTILINE)
WRITABLE_SEARCH_INTERVAL_US = 1_000_000  # while connected to a read-only server; doubled each time
MAX_WRITABLE_SEARCH_INTERVAL_US = 60_000_000
MAX_SET_WATCHES_BYTES = 100_000  # paths in one setWatches request; servers limit the frame size
MAX_MESSAGES_PER_READ = 20_000  # more is a protocol error

CONNECTED, READ_ONLY, DISCONNECTED, SESSION_ENDED, REFUSED = (
    "connected",
    "read-only",
    "disconnected",
    "expired",
    "refused",
)


class PendingCall:
    """A request that waits for its reply."""

    def __init__(self, loop: Loop, op: int, body: Any, path: str) -> None:
        self.loop = loop
        self.op = op
        self.body = body
        self.path = path
        self.done = False
        self.result: Any = None
        self.error: Optional[ZooKeeperError] = None
        self.waiting: Optional[Waker] = None

    def complete(self, result: Any, error: Optional[ZooKeeperError]) -> None:
        self.done, self.result, self.error = True, result, error
        if self.waiting is not None:
            self.waiting.wake()

    def wait(self) -> Coroutine:
        """Return the reply record. Raises ZooKeeperError; after CONNECTION_LOSS its effect is unknown."""
        while not self.done:
            self.waiting = self.loop.waker()
            try:
                yield
            finally:
                self.waiting = None
        if self.error is not None:
            raise self.error
        return self.result


class Watches:
    """Watches set on the servers; one-shot watches are removed when they fire."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exists: set[str] = set()
        self.children: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def on_reply(self, op: int, body: Any, error: int) -> None:
        if op == r.ADD_WATCH and not error:
            (self.recursive if body.mode == r.WATCH_RECURSIVE else self.persistent).add(body.path)
        elif op == r.EXISTS and body.watch and error in (0, Code.NO_NODE):
            (self.exists if error else self.data).add(body.path)
        elif op == r.GET_DATA and body.watch and not error:
            self.data.add(body.path)
        elif op in (r.GET_CHILDREN, r.GET_CHILDREN2) and body.watch and not error:
            self.children.add(body.path)

    def discard_fired(self, event: r.WatchEvent) -> None:
        if event.kind in (r.CREATED, r.CHANGED, r.DELETED):
            self.data.discard(event.path)
            self.exists.discard(event.path)
        if event.kind in (r.DELETED, r.CHILDREN):
            self.children.discard(event.path)

    def set_watches_requests(self, zxid: int) -> list[tuple[int, Any]]:
        """Return setWatches requests of limited size for all watches; setWatches2 only where needed."""
        kinds = [sorted(s) for s in (self.data, self.exists, self.children, self.persistent, self.recursive)]
        rows = [(n, path) for n, paths in enumerate(kinds) for path in paths]
        requests: list[tuple[int, Any]] = []
        while rows:
            lists: list[list[str]] = [[], [], [], [], []]
            size = 0
            while rows and size < MAX_SET_WATCHES_BYTES:
                n, path = rows.pop()
                lists[n].append(path)
                size += len(path) + 4
            requests.append(
                (r.SET_WATCHES2, r.SetWatches2(zxid, *lists))
                if lists[3] or lists[4]
                else (r.SET_WATCHES, r.SetWatches(zxid, *lists[:3]))
            )
        return requests


class ZooKeeperClient:
    """Client with one session.

    `timeout`: requested session timeout (us), which the servers may change. `random()` returns a float in
    [0, 1). `on_state(state)` and `on_event(event)` are called from the client's task and must not block.
    `auth` holds (scheme, credential) pairs. `read_only`: accept a server without quorum until one with quorum
    is found.
    """

    def __init__(
        self,
        loop: Loop,
        servers: list[Address],
        timeout: int,
        random: Callable[[], float],
        on_state: Callable[[str], None],
        on_event: Callable[[r.WatchEvent], None],
        report: Callable[..., None],
        auth: tuple[tuple[str, bytes], ...] = (),
        read_only: bool = False,
    ) -> None:
        self.loop = loop
        self.servers = list(servers)
        self.requested_timeout = timeout
        self.timeout = timeout
        self.random = random
        self.on_state = on_state
        self.on_event = on_event
        self.report = report
        self.auth = auth
        self.read_only = read_only
        self.state = DISCONNECTED
        self.session = 0
        self.password = b"\0" * 16
        self.last_zxid = 0
        self.watches = Watches()
        self.codec: Optional[ClientSession] = None
        self.stream: Optional[Stream] = None
        self.server: Optional[Address] = None
        self.calls: deque[PendingCall] = deque()
        self.heard_at: Optional[int] = None  # last data received in this session
        self.sent_at = 0
        self.rollback_checked_at = 0  # last query of the servers' zxids
        self.closing = False
        self.counts = {"connects": 0, "refusals": 0, "expiries": 0, "calls": 0, "events": 0, "bytes_read": 0}
        self.task = loop.spawn(self._run(), "zookeeper session")

    # ---- calls

    def post(self, op: int, body: Any, path: str = "") -> PendingCall:
        """Send a request and return it; its `wait` returns the reply."""
        call = PendingCall(self.loop, op, body, path or getattr(body, "path", ""))
        if (
            self.codec is None
            or self.stream is None
            or self.stream.closed
            or self.state not in (CONNECTED, READ_ONLY)
        ):
            call.complete(None, ZooKeeperError(Code.CONNECTION_LOSS, call.path))
            return call
        self._send(call)
        return call

    def call(self, op: int, body: Any, path: str = "") -> Coroutine:
        return (yield from self.post(op, body, path).wait())

    def _send(self, call: PendingCall) -> None:
        assert self.codec is not None and self.stream is not None
        self.counts["calls"] += 1
        self.calls.append(call)
        self.sent_at = self.loop.now()
        try:
            self.stream.write(self.codec.request(call.op, call.body)[1])
        except (StreamBroken, ProtocolError) as error:  # the reader sees the close and fails all calls
            self.report("source_stalled", reason=str(error))
            self.stream.close()

    def stop(self) -> None:
        """Stop without closing the session, which stays until it expires."""
        self.closing = True
        self.task.cancel()
        if self.stream is not None:
            self.stream.close()
        self._fail_calls(Code.CONNECTION_LOSS)

    def close(self) -> Coroutine:
        """Close the session, which deletes its ephemeral nodes, and stop."""
        self.closing = True
        try:
            yield from self.call(r.CLOSE, None)
        except ZooKeeperError:
            pass
        self.stop()

    # ---- the session

    def _run(self) -> Coroutine:
        failed, order = 0, self._shuffled()
        while not self.closing:
            if not order:  # all servers failed
                wait = min(MAX_RECONNECT_DELAY_US, MIN_RECONNECT_DELAY_US << min(failed, 10))
                failed += 1
                yield from self.loop.sleep(int(wait * (0.5 + self.random() / 2)))
                order = self._shuffled()
                yield from self._check_rollback()
            server, opened_at = order.pop(0), None
            try:
                if (yield from self._connect(server)):
                    opened_at = self.loop.now()
                    order = [one for one in self._shuffled() if one != server] or self._shuffled()
                    yield from self._serve()
            except (StreamBroken, TimedOut, ProtocolError) as error:
                self.report(
                    "source_lost", server=f"{server[0]}:{server[1]}", reason=str(error) or "no reply in time"
                )
            finally:
                self._on_disconnected()
            if opened_at is not None and self.loop.now() - opened_at >= MAX_RECONNECT_DELAY_US:
                failed = 0
            elif opened_at is not None:  # closed soon after connecting: back off as well
                order.clear()

    def _check_rollback(self) -> Coroutine:
        """Start over if the ensemble was restored from a backup, once the session must have expired."""
        now, heard = self.loop.now(), self.heard_at
        if (
            heard is None
            or not self.last_zxid
            or now - max(heard, self.rollback_checked_at) < ROLLBACK_CHECK_TIMEOUTS * self.timeout
        ):
            return
        self.rollback_checked_at = now
        if (yield from self._ensemble_rolled_back()):
            self.report("source_went_back", seen=f"{self.last_zxid:#x}")
            self.last_zxid = 0
            self._on_expired("the ensemble was rolled back")

    def _shuffled(self) -> list[Address]:
        """Return the servers in random order, so that clients spread over them."""
        rest, order = list(self.servers), []
        while rest:
            order.append(rest.pop(min(len(rest) - 1, int(self.random() * len(rest)))))
        return order

    def _connect(self, server: Address) -> Coroutine:
        """Connect to a server; return whether a session is established."""
        connect_timeout = max(MIN_CONNECT_TIMEOUT_US, self.timeout // max(1, len(self.servers)))
        until = self.loop.now() + connect_timeout
        self.stream = yield from dial(self.loop, server, connect_timeout)
        codec = self.codec = ClientSession(
            self.requested_timeout // 1000, self.session, self.password, self.last_zxid, self.read_only
        )
        self.stream.write(codec.connect_request())
        got: list[Any] = []
        while not got:
            data = yield from self.stream.read(until)
            if not data:
                self.counts["refusals"] += 1
                raise StreamBroken(
                    "the server closed without a reply: it has no quorum or is behind this client"
                )
            got = codec.feed(data)
        if codec.state == EXPIRED:
            self._on_expired("reported by the server")
            return False
        self._on_connected(server, codec)
        self._dispatch(got[1:])
        return True

    def _ensemble_rolled_back(self) -> Coroutine:
        """Return whether all servers report a zxid older than the newest one seen.

        Such an ensemble was restored from a backup and would refuse this client forever.
        """
        for server in self.servers:
            reply = yield from self._four_letter_command(server, b"srvr")
            found = ZXID.search(reply)
            if found is None or int(found[1], 16) >= self.last_zxid:
                return False
        return True

    def _four_letter_command(self, server: Address, word: bytes) -> Coroutine:
        """Return a server's reply to a four-letter command, b"" if there is none."""
        try:
            stream = yield from dial(self.loop, server, MIN_CONNECT_TIMEOUT_US)
        except StreamBroken:
            return b""
        reply, until = b"", self.loop.now() + MIN_CONNECT_TIMEOUT_US
        try:
            stream.write(word)
            while len(reply) < MAX_COMMAND_REPLY_BYTES and (data := (yield from stream.read(until))):
                reply += data
        except (StreamBroken, TimedOut):
            pass
        finally:
            stream.close()
        return reply

    def _on_expired(self, reason: str) -> None:
        self.counts["expiries"] += 1
        self.report("source_expired", session=f"{self.session:#x}", reason=reason)
        self.session, self.password, self.watches = 0, b"\0" * 16, Watches()
        self._set_state(SESSION_ENDED)

    def _on_connected(self, server: Address, codec: ClientSession) -> None:
        resumed = codec.session == self.session
        self.session, self.password, self.timeout = codec.session, codec.password, codec.timeout_ms * 1000
        self.heard_at = self.sent_at = self.loop.now()
        self.server = server
        self.counts["connects"] += 1
        self.report(
            "source_connected",
            server=f"{server[0]}:{server[1]}",
            session=f"{self.session:#x}",
            resumed=resumed,
            read_only=codec.served_read_only,
            timeout_ms=codec.timeout_ms,
        )
        for scheme, credential in self.auth:
            self._send(PendingCall(self.loop, r.AUTH, r.Auth(0, scheme, credential), ""))
        if resumed:
            for op, body in self.watches.set_watches_requests(self.last_zxid):
                self._send(PendingCall(self.loop, op, body, ""))
        self._set_state(READ_ONLY if codec.served_read_only else CONNECTED)

    def _serve(self) -> Coroutine:
        assert self.stream is not None and self.codec is not None
        search_interval = WRITABLE_SEARCH_INTERVAL_US
        search_at = self.loop.now() + search_interval
        while True:
            now, silent = self.loop.now(), int(self.timeout * READ_TIMEOUT_SHARE)
            ping_at = self.sent_at + self.timeout // PING_INTERVAL_DIVISOR
            if now >= ping_at:
                self.sent_at = now
                self.stream.write(self.codec.ping())
                continue
            assert self.heard_at is not None
            dead_at = self.heard_at + silent
            if now >= dead_at:
                raise TimedOut(f"no data received for {silent // 1000} ms")
            if self.state == READ_ONLY and now >= search_at:
                if (yield from self._writable_elsewhere()):
                    return
                search_interval = min(2 * search_interval, MAX_WRITABLE_SEARCH_INTERVAL_US)
                search_at = self.loop.now() + search_interval
                continue
            try:
                data = yield from self.stream.read(
                    min(ping_at, dead_at, search_at if self.state == READ_ONLY else dead_at)
                )
            except TimedOut:
                continue
            if not data:
                raise StreamBroken("the server closed the connection")
            self.heard_at = self.loop.now()
            self.counts["bytes_read"] += len(data)
            self._dispatch(self.codec.feed(data))

    def _writable_elsewhere(self) -> Coroutine:
        """Return whether another server accepts writes."""
        others = [one for one in self._shuffled() if one != self.server]
        return bool(others) and (yield from self._four_letter_command(others[0], b"isro")) == b"rw"

    def _dispatch(self, got: list[Any]) -> None:
        assert self.codec is not None
        if len(got) > MAX_MESSAGES_PER_READ:
            raise ProtocolError(f"{len(got)} messages in one read")
        for one in got:
            if isinstance(one, Reply):
                self._on_reply(one)
            elif one.kind == r.NO_EVENT:
                self.report("source_says", state=one.state)
            else:
                self.counts["events"] += 1
                self.watches.discard_fired(one)
                self.on_event(one)
            self.last_zxid = max(self.last_zxid, self.codec.last_zxid)

    def _on_reply(self, reply: Reply) -> None:
        call = self.calls.popleft()
        self.watches.on_reply(call.op, call.body, reply.err)
        if reply.op == r.AUTH and reply.err:
            self.report("source_auth_refused", scheme=call.body.scheme)
            self._set_state(REFUSED)
        elif reply.op in (r.SET_WATCHES, r.SET_WATCHES2) and reply.err:
            self.report("source_watches_refused", code=reply.err)
            raise ProtocolError(f"setWatches failed with code {reply.err}")
        call.complete(reply.body, ZooKeeperError(reply.err, call.path) if reply.err else None)

    def _on_disconnected(self) -> None:
        if self.stream is not None:
            self.stream.close()
        self.stream = self.codec = self.server = None
        self._fail_calls(Code.SESSION_EXPIRED if self.state == SESSION_ENDED else Code.CONNECTION_LOSS)
        if self.state in (CONNECTED, READ_ONLY):
            self._set_state(DISCONNECTED)

    def _fail_calls(self, code: int) -> None:
        calls, self.calls = self.calls, deque()
        for call in calls:
            call.complete(None, ZooKeeperError(code, call.path))

    def _set_state(self, state: str) -> None:
        self.state = state
        self.on_state(state)


__all__ = [
    "CONNECTED",
    "PendingCall",
    "SESSION_ENDED",
    "DISCONNECTED",
    "READ_ONLY",
    "REFUSED",
    "ZooKeeperClient",
]
