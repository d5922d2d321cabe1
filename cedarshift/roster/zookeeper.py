"""A client of a ZooKeeper ensemble on the loop: one session over several servers, its watches, and what it knows of itself.

States, as `on_state` hears them: "connected", "read-only" (the server is cut off from its ensemble), "disconnected" (the
session may still live: what was read stands, and grows old), "expired" (the servers have ended the session: every ephemeral
node and watch of it is gone, and nothing is known of what happened meanwhile), "refused" (the credentials are not taken).
"""

from __future__ import annotations

import re
from collections import deque
from typing import Any, Callable, Optional

from cedarshift.codec.zookeeper import Broken, Code, ZooError
from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.session import EXPIRED, ClientSession, Reply
from cedarshift.loop import Loop, Stream, StreamBroken, TimedOut, dial
from cedarshift.loop.core import Coroutine, Waker

Address = tuple[str, int]

CONNECT_LEAST = 200_000  # us for a connect and its handshake, whatever share of the time-out it gets
FIRST_WAIT = 50_000  # us after a round of all servers without a session; doubled, jittered by half
WAIT_MOST = 2_000_000  # us
PING_SHARE = 3  # a ping after this part of the time-out without a word of ours
SILENCE_SHARE = 2 / 3  # of the time-out without a word of the server's: another server is looked for
GIVE_UP = 2  # times the time-out without a session after which the servers are asked whether they went back
LETTERS_MOST = 4_096  # bytes of an answer to a four-letter word
ZXID = re.compile(rb"^Zxid: 0x([0-9a-fA-F]{1,16})$", re.MULTILINE)
LOOK_WRITABLE = 1_000_000  # us before a client of a read-only server looks for another; doubled
LOOK_WRITABLE_MOST = 60_000_000
SET_WATCHES_MOST = 100_000  # bytes of paths in one setWatches: a server's frames are limited too
EVENTS_MOST = 20_000  # watch events in one reading: what sends more is no server

CONNECTED, READ_ONLY, LOST, GONE, REFUSED = "connected", "read-only", "disconnected", "expired", "refused"


class Call:
    """A request that waits for its answer."""

    def __init__(self, loop: Loop, op: int, body: Any, path: str) -> None:
        self.loop = loop
        self.op = op
        self.body = body
        self.path = path
        self.done = False
        self.result: Any = None
        self.error: Optional[ZooError] = None
        self.waiting: Optional[Waker] = None

    def end(self, result: Any, error: Optional[ZooError]) -> None:
        self.done, self.result, self.error = True, result, error
        if self.waiting is not None:
            self.waiting.wake()

    def wait(self) -> Coroutine:
        """The answer's record. Raises ZooError; CONNECTION_LOSS tells nothing of whether the server did it."""
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
    """What is watched on the servers; one-shot ones leave when they fire, as they do there."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exists: set[str] = set()
        self.children: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def answered(self, op: int, body: Any, error: int) -> None:
        if op == r.ADD_WATCH and not error:
            (self.recursive if body.mode == r.WATCH_RECURSIVE else self.persistent).add(body.path)
        elif op == r.EXISTS and body.watch and error in (0, Code.NO_NODE):
            (self.exists if error else self.data).add(body.path)
        elif op == r.GET_DATA and body.watch and not error:
            self.data.add(body.path)
        elif op in (r.GET_CHILDREN, r.GET_CHILDREN2) and body.watch and not error:
            self.children.add(body.path)

    def fired(self, event: r.WatchEvent) -> None:
        if event.kind in (r.CREATED, r.CHANGED, r.DELETED):
            self.data.discard(event.path)
            self.exists.discard(event.path)
        if event.kind in (r.DELETED, r.CHILDREN):
            self.children.discard(event.path)

    def parts(self, zxid: int) -> list[tuple[int, Any]]:
        """All of them as setWatches requests, none too long; the newer kind only where there is need of it."""
        kinds = [sorted(s) for s in (self.data, self.exists, self.children, self.persistent, self.recursive)]
        rows = [(n, path) for n, paths in enumerate(kinds) for path in paths]
        made: list[tuple[int, Any]] = []
        while rows:
            lists: list[list[str]] = [[], [], [], [], []]
            size = 0
            while rows and size < SET_WATCHES_MOST:
                n, path = rows.pop()
                lists[n].append(path)
                size += len(path) + 4
            made.append(
                (r.SET_WATCHES2, r.SetWatches2(zxid, *lists))
                if lists[3] or lists[4]
                else (r.SET_WATCHES, r.SetWatches(zxid, *lists[:3]))
            )
        return made


class ZooClient:
    """`timeout`: the session's, in us, which the servers may change. `chance()` draws from 0 to 1. `auth`: (scheme, credential).

    `on_state(state)` and `on_event(event)` are called from the client's own task and must not wait. `read_only`: whether a
    server that is cut off from its ensemble will do, until a better one is found."""

    def __init__(
        self,
        loop: Loop,
        servers: list[Address],
        timeout: int,
        chance: Callable[[], float],
        on_state: Callable[[str], None],
        on_event: Callable[[r.WatchEvent], None],
        report: Callable[..., None],
        auth: tuple[tuple[str, bytes], ...] = (),
        read_only: bool = False,
    ) -> None:
        self.loop = loop
        self.servers = list(servers)
        self.wanted = timeout
        self.timeout = timeout
        self.chance = chance
        self.on_state = on_state
        self.on_event = on_event
        self.report = report
        self.auth = auth
        self.read_only = read_only
        self.state = LOST
        self.session = 0
        self.password = b"\0" * 16
        self.last_zxid = 0
        self.watches = Watches()
        self.codec: Optional[ClientSession] = None
        self.stream: Optional[Stream] = None
        self.server: Optional[Address] = None
        self.calls: deque[Call] = deque()
        self.heard_at: Optional[int] = None  # when a server last said anything in this session
        self.said_at = 0
        self.asked_back_at = 0  # when the servers were last asked how far they are
        self.closing = False
        self.counts = {"connects": 0, "refusals": 0, "expiries": 0, "calls": 0, "events": 0, "bytes_read": 0}
        self.task = loop.spawn(self._run(), "zookeeper session")

    # ---- calls

    def post(self, op: int, body: Any, path: str = "") -> Call:
        """Sends a request; its answer comes by `wait` of what is returned, in the order of posting."""
        call = Call(self.loop, op, body, path or getattr(body, "path", ""))
        if (
            self.codec is None
            or self.stream is None
            or self.stream.closed
            or self.state not in (CONNECTED, READ_ONLY)
        ):
            call.end(None, ZooError(Code.CONNECTION_LOSS, call.path))
            return call
        self._send(call)
        return call

    def call(self, op: int, body: Any, path: str = "") -> Coroutine:
        return (yield from self.post(op, body, path).wait())

    def _send(self, call: Call) -> None:
        assert self.codec is not None and self.stream is not None
        self.counts["calls"] += 1
        self.calls.append(call)
        self.said_at = self.loop.now()
        try:
            self.stream.write(self.codec.request(call.op, call.body)[1])
        except (
            StreamBroken,
            Broken,
        ) as error:  # the reading side hears of the end; the call fails with the others
            self.report("source_stalled", reason=str(error))
            self.stream.close()

    def stop(self) -> None:
        """Ends without a word: the session lives on at the servers until it expires."""
        self.closing = True
        self.task.cancel()
        if self.stream is not None:
            self.stream.close()
        self._fail_calls(Code.CONNECTION_LOSS)

    def close(self) -> Coroutine:
        """Ends the session at the servers too: its ephemeral nodes leave at once."""
        self.closing = True
        try:
            yield from self.call(r.CLOSE, None)
        except ZooError:
            pass
        self.stop()

    # ---- the session

    def _run(self) -> Coroutine:
        failed, order = 0, self._shuffled()
        while not self.closing:
            if not order:  # a whole round without a session
                wait = min(WAIT_MOST, FIRST_WAIT << min(failed, 10))
                failed += 1
                yield from self.loop.sleep(int(wait * (0.5 + self.chance() / 2)))
                order = self._shuffled()
                yield from self._look_back()
            server, opened_at = order.pop(0), None
            try:
                if (yield from self._connect(server)):
                    opened_at = self.loop.now()
                    order = [one for one in self._shuffled() if one != server] or self._shuffled()
                    yield from self._serve()
            except (StreamBroken, TimedOut, Broken) as error:
                self.report(
                    "source_lost", server=f"{server[0]}:{server[1]}", reason=str(error) or "it says nothing"
                )
            finally:
                self._dropped()
            if opened_at is not None and self.loop.now() - opened_at >= WAIT_MOST:
                failed = 0
            elif (
                opened_at is not None
            ):  # it opens and ends at once: with a refused credential, say; no hot circle
                order.clear()

    def _look_back(self) -> Coroutine:
        """After rounds without a session for longer than any could have lived."""
        now, heard = self.loop.now(), self.heard_at
        if (
            heard is None
            or not self.last_zxid
            or now - max(heard, self.asked_back_at) < GIVE_UP * self.timeout
        ):
            return
        self.asked_back_at = now
        if (yield from self._gone_back()):
            self.report("source_went_back", seen=f"{self.last_zxid:#x}")
            self.last_zxid = 0
            self._expired("the ensemble is older than what was seen")

    def _shuffled(self) -> list[Address]:
        """A random order: clients that lose a server together must not all go to the next one."""
        rest, order = list(self.servers), []
        while rest:
            order.append(rest.pop(min(len(rest) - 1, int(self.chance() * len(rest)))))
        return order

    def _connect(self, server: Address) -> Coroutine:
        """One connect and its handshake; whether a session stands."""
        span = max(CONNECT_LEAST, self.timeout // max(1, len(self.servers)))
        until = self.loop.now() + span
        self.stream = yield from dial(self.loop, server, span)
        codec = self.codec = ClientSession(
            self.wanted // 1000, self.session, self.password, self.last_zxid, self.read_only
        )
        self.stream.write(codec.hello())
        got: list[Any] = []
        while not got:
            data = yield from self.stream.read(until)
            if not data:
                self.counts["refusals"] += 1
                raise StreamBroken(
                    "the server closed without an answer: it is cut off, or older than what was seen"
                )
            got = codec.feed(data)
        if codec.state == EXPIRED:
            self._expired("the servers say so")
            return False
        self._opened(server, codec)
        self._take(got[1:])
        return True

    def _gone_back(self) -> Coroutine:
        """Whether every server of the ensemble says by itself that it is older than what was seen here: it came back from a
        backup, and would refuse this client for ever. A server that does not answer is no proof."""
        for server in self.servers:
            said = yield from self._letters(server, b"srvr")
            found = ZXID.search(said)
            if found is None or int(found[1], 16) >= self.last_zxid:
                return False
        return True

    def _letters(self, server: Address, word: bytes) -> Coroutine:
        """A server's answer to a four-letter word, b"" for none."""
        try:
            stream = yield from dial(self.loop, server, CONNECT_LEAST)
        except StreamBroken:
            return b""
        said, until = b"", self.loop.now() + CONNECT_LEAST
        try:
            stream.write(word)
            while len(said) < LETTERS_MOST and (data := (yield from stream.read(until))):
                said += data
        except (StreamBroken, TimedOut):
            pass
        finally:
            stream.close()
        return said

    def _expired(self, reason: str) -> None:
        self.counts["expiries"] += 1
        self.report("source_expired", session=f"{self.session:#x}", reason=reason)
        self.session, self.password, self.watches = 0, b"\0" * 16, Watches()
        self._tell(GONE)

    def _opened(self, server: Address, codec: ClientSession) -> None:
        resumed = codec.session == self.session
        self.session, self.password, self.timeout = codec.session, codec.password, codec.timeout_ms * 1000
        self.heard_at = self.said_at = self.loop.now()
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
            self._send(Call(self.loop, r.AUTH, r.Auth(0, scheme, credential), ""))
        if resumed:
            for op, body in self.watches.parts(self.last_zxid):
                self._send(Call(self.loop, op, body, ""))
        self._tell(READ_ONLY if codec.served_read_only else CONNECTED)

    def _serve(self) -> Coroutine:
        assert self.stream is not None and self.codec is not None
        look_after = LOOK_WRITABLE
        look_at = self.loop.now() + look_after
        while True:
            now, silent = self.loop.now(), int(self.timeout * SILENCE_SHARE)
            ping_at = self.said_at + self.timeout // PING_SHARE
            if now >= ping_at:
                self.said_at = now
                self.stream.write(self.codec.ping())
                continue
            assert self.heard_at is not None
            dead_at = self.heard_at + silent
            if now >= dead_at:
                raise TimedOut(f"nothing came for {silent // 1000} ms")
            if self.state == READ_ONLY and now >= look_at:
                if (yield from self._writable_elsewhere()):
                    return
                look_after = min(2 * look_after, LOOK_WRITABLE_MOST)
                look_at = self.loop.now() + look_after
                continue
            try:
                data = yield from self.stream.read(
                    min(ping_at, dead_at, look_at if self.state == READ_ONLY else dead_at)
                )
            except TimedOut:
                continue
            if not data:
                raise StreamBroken("the server closed the connection")
            self.heard_at = self.loop.now()
            self.counts["bytes_read"] += len(data)
            self._take(self.codec.feed(data))

    def _writable_elsewhere(self) -> Coroutine:
        """Asks another server whether it can write."""
        others = [one for one in self._shuffled() if one != self.server]
        return bool(others) and (yield from self._letters(others[0], b"isro")) == b"rw"

    def _take(self, got: list[Any]) -> None:
        assert self.codec is not None
        if len(got) > EVENTS_MOST:
            raise Broken(f"{len(got)} messages at once")
        for one in got:
            if isinstance(one, Reply):
                self._answered(one)
            elif one.kind == r.NO_EVENT:
                self.report("source_says", state=one.state)
            else:
                self.counts["events"] += 1
                self.watches.fired(one)
                self.on_event(one)
            self.last_zxid = max(self.last_zxid, self.codec.last_zxid)

    def _answered(self, reply: Reply) -> None:
        call = self.calls.popleft()
        self.watches.answered(call.op, call.body, reply.err)
        if reply.op == r.AUTH and reply.err:
            self.report("source_auth_refused", scheme=call.body.scheme)
            self._tell(REFUSED)
        elif reply.op in (r.SET_WATCHES, r.SET_WATCHES2) and reply.err:
            self.report("source_watches_refused", code=reply.err)
            raise Broken(f"setWatches is answered by {reply.err}")
        call.end(reply.body, ZooError(reply.err, call.path) if reply.err else None)

    def _dropped(self) -> None:
        if self.stream is not None:
            self.stream.close()
        self.stream = self.codec = self.server = None
        self._fail_calls(Code.SESSION_EXPIRED if self.state == GONE else Code.CONNECTION_LOSS)
        if self.state in (CONNECTED, READ_ONLY):
            self._tell(LOST)

    def _fail_calls(self, code: int) -> None:
        calls, self.calls = self.calls, deque()
        for call in calls:
            call.end(None, ZooError(code, call.path))

    def _tell(self, state: str) -> None:
        self.state = state
        self.on_state(state)


__all__ = ["CONNECTED", "Call", "GONE", "LOST", "READ_ONLY", "REFUSED", "ZooClient"]
