"""A stand-in ensemble of ZooKeeper servers: one tree by a leader's log, followers that apply it late, sessions by its clock.

Written from the public specification, for rehearsals and tests: no disk, no election, and one process for all its servers.

    GET  /control/state      sessions, zxid, members
    POST /control {"expire": ["id", ...] | "all", "cut": [n], "heal": [n], "lag_ms": {"n": ms}, "drop": [n], "delete": path,
                   "reset": bool, "delay_ms": ms}

A cut server has lost its ensemble: it serves only clients that allow reading only. `reset` is an ensemble that comes back from
an old backup: an empty tree whose zxids begin anew.
"""

from __future__ import annotations

import hashlib
import random
from base64 import b64encode
from collections import deque
from typing import Any, Optional

import msgspec

from cedarshift.codec.zookeeper import Code, ProtocolError, ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.jute import check_path
from cedarshift.codec.zookeeper.session import Request, ServerSession
from cedarshift.loop import Loop, Stream, StreamBroken, TimedOut, listen
from cedarshift.loop.core import Coroutine
from cedarshift.roster.formats import InvalidNode, read_member
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, serve_http

HANDSHAKE = 3_000_000  # us for a ConnectRequest
TICK = 20_000  # us between two looks at what has expired
TIMEOUT_LEAST, TIMEOUT_MOST = 400, 60_000  # ms that a session's time-out may have
MAX_NODE_BYTES = 1 << 20  # bytes of a node
VERSION = "3.6.0-stand-in"
ANYONE = r.Id("world", "anyone")


class EnsemblePlan(msgspec.Struct):
    """`read_path`: what a session is told of the children of this path is recorded, by the user that it shows itself as."""

    addresses: list[tuple[str, int]]
    control: Optional[tuple[str, int]] = None
    read_path: str = ""
    form: str = "serverset"
    seed: int = 1


class ZNode:
    """`acl` is shared between nodes and never changed in place."""

    __slots__ = (
        "data",
        "acl",
        "czxid",
        "mzxid",
        "pzxid",
        "ctime",
        "mtime",
        "version",
        "cversion",
        "aversion",
        "owner",
        "children",
    )

    def __init__(self, data: Optional[bytes], acl: list[r.Acl], zxid: int, at: int, owner: int) -> None:
        self.data = data
        self.acl = acl
        self.czxid = self.mzxid = self.pzxid = zxid
        self.ctime = self.mtime = at
        self.version = self.cversion = self.aversion = 0
        self.owner = owner
        self.children: dict[str, None] = {}

    def stat(self) -> r.Stat:
        return r.Stat(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.owner,
            len(self.data or b""),
            len(self.children),
            self.pzxid,
        )


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


class Tree:
    """One server's tree. `apply` carries out one transaction that the leader has found sound."""

    def __init__(self) -> None:
        self.nodes: dict[str, ZNode] = {"/": ZNode(b"", [r.Acl(r.PERM_ALL, ANYONE)], 0, 0, 0)}
        self.of_session: dict[int, set[str]] = {}
        self.zxid = 0

    def apply(self, zxid: int, at: int, changes: list[tuple]) -> list[tuple[int, str]]:
        """Watch events as (kind, path), in order."""
        self.zxid = zxid
        events: list[tuple[int, str]] = []
        for what, path, *more in changes:
            getattr(self, "_" + what)(zxid, at, path, events, *more)
        return events

    def _create(
        self, zxid: int, at: int, path: str, events: list, data: bytes, acl: list[r.Acl], owner: int
    ) -> None:
        self.nodes[path] = ZNode(data, acl, zxid, at, owner)
        above = self.nodes[parent_of(path)]
        above.children[path.rpartition("/")[2]] = None
        above.cversion += 1
        above.pzxid = zxid
        if owner:
            self.of_session.setdefault(owner, set()).add(path)
        events += [(r.CREATED, path), (r.CHILDREN, parent_of(path))]

    def _delete(self, zxid: int, at: int, path: str, events: list) -> None:
        node = self.nodes.pop(path)
        above = self.nodes[parent_of(path)]
        del above.children[path.rpartition("/")[2]]
        above.cversion += 1
        above.pzxid = zxid
        if node.owner:
            self.of_session[node.owner].discard(path)
        events += [(r.DELETED, path), (r.CHILDREN, parent_of(path))]

    def _set(self, zxid: int, at: int, path: str, events: list, data: bytes) -> None:
        node = self.nodes[path]
        node.data, node.mzxid, node.mtime = data, zxid, at
        node.version += 1
        events.append((r.CHANGED, path))

    def _acl(self, zxid: int, at: int, path: str, events: list, acl: list[r.Acl]) -> None:
        node = self.nodes[path]
        node.acl = acl
        node.aversion += 1


class LiveSession:
    """A session, known to the whole ensemble."""

    def __init__(self, number: int, password: bytes, timeout: int, now: int) -> None:
        self.number = number
        self.password = password
        self.timeout = timeout  # us
        self.heard_at = now
        self.user = ""
        self.connection: Optional[Connection] = None


class Watching:
    """The watches of one connection at its server."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exists: set[str] = set()
        self.children: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def fires(self, kind: int, path: str) -> bool:
        """Whether the event is to be told; one-shot watches that it meets are spent."""
        if path in self.persistent:
            told = True
        else:
            told = kind != r.CHILDREN and any(
                path == top or path.startswith(top.rstrip("/") + "/") for top in self.recursive
            )
        spent = {
            r.CREATED: (self.exists, self.data),
            r.CHANGED: (self.data, self.exists),
            r.DELETED: (self.data, self.exists, self.children),
            r.CHILDREN: (self.children,),
        }[kind]
        for paths in spent:
            if path in paths:
                paths.discard(path)
                told = True
        return told


class Connection:
    def __init__(self, server: Server, stream: Stream) -> None:
        self.server = server
        self.stream = stream
        self.codec = ServerSession()
        self.live: Optional[LiveSession] = None
        self.watching = Watching()
        self.ids: set[r.Id] = {ANYONE}
        self.wait: Optional[tuple[int, bytes]] = (
            None  # an answer that waits until this server has applied a zxid
        )
        self.behind: deque[Request] = deque()  # requests that came after it: they see what it wrote

    def say(self, zxid: int, frame: bytes) -> None:
        if zxid > self.server.tree.zxid:
            self.wait = (zxid, frame)
        else:
            self._write(frame)

    def hear(self, request: Request) -> None:
        if self.wait is not None:
            self.behind.append(request)
        else:
            self.server.serve(self, request)

    def caught_up(self) -> None:
        if self.wait is not None and self.wait[0] <= self.server.tree.zxid:
            frame, self.wait = self.wait[1], None
            self._write(frame)
            while self.behind and self.wait is None:
                self.server.serve(self, self.behind.popleft())

    def _write(self, frame: bytes) -> None:
        delay = self.server.ensemble.delay
        if delay:
            self.server.ensemble.loop.at(self.server.ensemble.loop.now() + delay, self._write_now, frame)
        else:
            self._write_now(frame)

    def _write_now(self, frame: bytes) -> None:
        try:
            if not self.stream.closed:
                self.stream.write(frame)
        except StreamBroken:
            pass

    def fire(self, events: list[tuple[int, str]]) -> None:
        for kind, path in events:
            if self.watching.fires(kind, path):
                self.server.ensemble.note_event(self, kind, path)
                self._write(self.codec.event(r.WatchEvent(kind, r.CONNECTED, path)))


class Server:
    """One server: its replica of the tree, and its clients."""

    def __init__(self, ensemble: Ensemble, number: int, address: tuple[str, int]) -> None:
        self.ensemble = ensemble
        self.number = number
        self.tree = Tree()
        self.applied = 0  # of the leader's log
        self.lag = 0  # us
        self.cut = False
        self.connections: set[Connection] = set()
        self.listener = listen(ensemble.loop, address)
        ensemble.loop.spawn(self._accept(), f"zookeeper {number}")

    def _accept(self) -> Coroutine:
        while True:
            stream = yield from self.listener.accept()
            self.ensemble.loop.spawn(self._talk(Connection(self, stream)), "zookeeper client")

    def _talk(self, connection: Connection) -> Coroutine:
        stream, loop = connection.stream, self.ensemble.loop
        try:
            until = loop.now() + HANDSHAKE
            data = yield from stream.read(until)
            if data in (b"ruok", b"isro", b"srvr"):
                stream.write(self._letters(data))
                stream.finish(100_000)
                return
            got: list[Any] = []
            while data and not (got := connection.codec.feed(data)):
                data = yield from stream.read(until)
            if not got or not self._admit(connection, got[0]):
                return
            self.connections.add(connection)
            while data := (yield from stream.read()):
                for request in connection.codec.feed(data):
                    if connection.live is None:
                        return
                    connection.live.heard_at = loop.now()
                    connection.hear(request)
        except (StreamBroken, TimedOut, ProtocolError):
            pass
        finally:
            self.connections.discard(connection)
            if connection.live is not None and connection.live.connection is connection:
                connection.live.connection = None
            stream.finish(200_000)

    def _letters(self, asked: bytes) -> bytes:
        """The four-letter words that clients ask before they connect."""
        if asked == b"ruok":
            return b"imok"
        if asked == b"isro":
            return b"ro" if self.cut else b"rw"
        mode = "READ_ONLY" if self.cut else "leader" if self.number == 0 else "follower"
        return f"Zookeeper version: {VERSION}, built for rehearsals\nZxid: {self.tree.zxid:#x}\nMode: {mode}\n".encode()

    def _admit(self, connection: Connection, asked: r.ConnectRequest) -> bool:
        ensemble, codec = self.ensemble, connection.codec
        if asked.last_zxid > self.tree.zxid:  # it has seen more than this server has
            return False
        if self.cut:
            if not codec.read_only:
                return False
            connection.live = LiveSession(
                asked.session or -1 - self.number, asked.password or b"", asked.timeout * 1000, 0
            )
            connection.stream.write(
                codec.connect_response(asked.timeout, connection.live.number, connection.live.password, True)
            )
            return True
        timeout = max(TIMEOUT_LEAST, min(TIMEOUT_MOST, asked.timeout))
        live = ensemble.sessions.get(asked.session) if asked.session else ensemble.new_session(timeout * 1000)
        if live is None or (asked.session and live.password != asked.password):
            connection.stream.write(codec.connect_response(0, 0, b"\0" * 16))
            return False
        if live.connection is not None:  # the session moves: what it had elsewhere is closed
            live.connection.stream.close()
        live.connection, live.heard_at, live.timeout = connection, ensemble.loop.now(), timeout * 1000
        connection.live = live
        connection.stream.write(codec.connect_response(timeout, live.number, live.password))
        return True

    # ---- requests

    def serve(self, connection: Connection, request: Request) -> None:
        codec, zxid = connection.codec, self.tree.zxid
        try:
            if request.error_code:
                raise ZooKeeperError(request.error_code)
            if request.op in WRITES:
                if self.cut:
                    raise ZooKeeperError(Code.NOT_READ_ONLY)
                zxid, body = self.ensemble.write(connection, request.op, request.body)
            else:
                body = self._read(connection, request)
            connection.say(zxid, codec.reply(request.xid, zxid, 0, body))
            if request.op == r.CLOSE:
                self.ensemble.end_session(connection.live)
        except ZooKeeperError as error:
            failed = max(zxid, self.ensemble.zxid if request.op in WRITES and not self.cut else 0)
            connection.say(failed, codec.reply(request.xid, failed, error.code))
            if error.code == Code.AUTH_FAILED:
                connection.stream.finish(100_000)

    def _read(self, connection: Connection, request: Request) -> Any:
        op, body = request.op, request.body
        if op in (r.PING, r.CLOSE):
            return None
        if op == r.AUTH:
            return self._auth(connection, body)
        if op in (r.SET_WATCHES, r.SET_WATCHES2):
            return self._set_watches(connection, body)
        if op == r.SYNC:
            return body
        watching, node = connection.watching, self.tree.nodes.get(body.path)
        if op == r.ADD_WATCH:
            if body.mode not in (r.WATCH_PERSISTENT, r.WATCH_RECURSIVE):
                raise ZooKeeperError(Code.BAD_ARGUMENTS)
            (watching.recursive if body.mode == r.WATCH_RECURSIVE else watching.persistent).add(body.path)
            return r.ErrorReply(0)
        if op == r.REMOVE_WATCHES:
            return self._remove_watches(connection, body)
        if node is None:
            if op == r.EXISTS and body.watch:
                watching.exists.add(body.path)
            self.ensemble.note_missing(connection, body.path)
            raise ZooKeeperError(Code.NO_NODE)
        if op == r.EXISTS:
            if body.watch:
                watching.data.add(body.path)
            return r.StatReply(node.stat())
        if op == r.GET_ACL:
            return r.AclReply(node.acl, node.stat())
        self.ensemble.allow(connection.ids, node, r.PERM_READ)
        if op == r.GET_DATA:
            if body.watch:
                watching.data.add(body.path)
            self.ensemble.note_read(connection, body.path, node.data)
            return r.DataReply(node.data, node.stat())
        if body.watch:
            watching.children.add(body.path)
        names = list(node.children)
        self.ensemble.note_children(connection, body.path, names)
        return r.ChildrenReply(names) if op == r.GET_CHILDREN else r.Children2Reply(names, node.stat())

    def _auth(self, connection: Connection, body: r.Auth) -> None:
        if body.scheme != "digest" or not body.auth or b":" not in body.auth:
            raise ZooKeeperError(Code.AUTH_FAILED)
        user = body.auth.split(b":", 1)[0].decode(errors="replace")
        digest = b64encode(hashlib.sha1(body.auth).digest()).decode()
        connection.ids.add(r.Id("digest", f"{user}:{digest}"))
        if connection.live is not None:
            connection.live.user = user

    def _set_watches(self, connection: Connection, body: Any) -> None:
        """What happened since the client's zxid is told at once; the rest is watched."""
        watching, missed = connection.watching, []
        nodes = self.tree.nodes
        for path in body.data:
            node = nodes.get(path)
            if node is None:
                missed.append((r.DELETED, path))
            elif node.mzxid > body.zxid:
                missed.append((r.CHANGED, path))
            else:
                watching.data.add(path)
        for path in body.exists:
            if path in nodes:
                missed.append((r.CREATED, path))
            else:
                watching.exists.add(path)
        for path in body.children:
            node = nodes.get(path)
            if node is None:
                missed.append((r.DELETED, path))
            elif node.pzxid > body.zxid:
                missed.append((r.CHILDREN, path))
            else:
                watching.children.add(path)
        if isinstance(body, r.SetWatches2):
            watching.persistent.update(body.persistent)
            watching.recursive.update(body.recursive)
        for kind, path in missed:
            self.ensemble.note_event(connection, kind, path)
            connection._write(connection.codec.event(r.WatchEvent(kind, r.CONNECTED, path)))

    def _remove_watches(self, connection: Connection, body: r.RemoveWatches) -> None:
        watching = connection.watching
        kinds = {1: (watching.children,), 2: (watching.data, watching.exists)}.get(
            body.kind,
            (watching.children, watching.data, watching.exists, watching.persistent, watching.recursive),
        )
        if not any(body.path in paths for paths in kinds):
            raise ZooKeeperError(Code.NO_WATCHER)
        for paths in kinds:
            paths.discard(body.path)

    # ---- the log

    def catch_up(self) -> None:
        """Applies what is due of the leader's log."""
        ensemble, now = self.ensemble, self.ensemble.loop.now()
        while (
            not self.cut
            and self.applied < len(ensemble.log)
            and ensemble.log[self.applied][1] + self.lag <= now
        ):
            zxid, at, changes = ensemble.log[self.applied]
            self.applied += 1
            events = self.tree.apply(zxid, at // 1000, changes)
            for connection in list(self.connections):
                connection.fire(events)
                connection.caught_up()

    def drop(self) -> None:
        for connection in list(self.connections):
            connection.stream.close()


WRITES = (
    r.CREATE,
    r.CREATE2,
    r.DELETE,
    r.SET_DATA,
    r.SET_ACL,
    r.MULTI,
    r.CREATE_CONTAINER,
    r.CREATE_TTL,
    r.CHECK,
)


class Ensemble:
    """The leader: the log, the sessions, and what may be written."""

    def __init__(self, loop: Loop, plan: EnsemblePlan, recorder: Optional[Recorder] = None) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.chance = random.Random(plan.seed)
        self.tree = Tree()
        self.zxid = 0
        self.log: list[tuple[int, int, list[tuple]]] = []
        self.sessions: dict[int, LiveSession] = {}
        self.next_session = (plan.seed & 0xFFFF) << 32
        self.delay = 0
        self.believed: dict[tuple[str, str], str] = {}  # (user, node) -> endpoint that the user was told of
        self.servers = [Server(self, n, (address[0], address[1])) for n, address in enumerate(plan.addresses)]
        if plan.control is not None:
            loop.spawn(serve_http(loop, listen(loop, plan.control), self._answer), "control")
        loop.spawn(self._tick(), "sessions")

    def _tick(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(TICK)
            now = self.loop.now()
            for live in [s for s in self.sessions.values() if now - s.heard_at > s.timeout]:
                self.expire(live)
            for server in self.servers:
                server.catch_up()

    # ---- sessions

    def new_session(self, timeout: int) -> LiveSession:
        self.next_session += 1
        live = LiveSession(self.next_session, self.chance.randbytes(16), timeout, self.loop.now())
        self.sessions[live.number] = live
        return live

    def expire(self, live: LiveSession) -> None:
        """Its ephemeral nodes leave in one transaction; its client hears of it when it next connects."""
        if self.recorder is not None:
            self.recorder.note("expired", f"{live.number:#x}", live.user)
        self.end_session(live)
        if live.connection is not None:
            live.connection.stream.close()

    def end_session(self, live: Optional[LiveSession]) -> None:
        if live is None or self.sessions.pop(live.number, None) is None:
            return
        paths = sorted(self.tree.of_session.get(live.number, ()))
        if paths:
            self.commit([("delete", path) for path in paths])

    def commit(self, changes: list[tuple]) -> int:
        self.zxid += 1
        now = self.loop.now()
        self.log.append((self.zxid, now, changes))
        self.tree.apply(self.zxid, now // 1000, changes)
        for server in self.servers:
            if not server.lag:
                server.catch_up()
        return self.zxid

    # ---- writes

    def allow(self, ids: set[r.Id], node: ZNode, wanted: int) -> None:
        if not any(one.perms & wanted and one.who in ids for one in node.acl):
            raise ZooKeeperError(Code.NO_AUTH)

    def write(self, connection: Connection, op: int, body: Any) -> tuple[int, Any]:
        """(zxid, answer). Raises ZooError."""
        if op == r.MULTI:
            return self._multi(connection, body)
        change, answer = self._sound(connection, op, body, self.tree)
        zxid = self.commit([change] if change else [])
        return zxid, self._answer_of(op, answer)

    def _answer_of(self, op: int, path: str) -> Any:
        if op == r.CREATE:
            return r.Created(path)
        if op == r.CREATE2:
            return r.Created2(path, self.tree.nodes[path].stat())
        return r.StatReply(self.tree.nodes[path].stat()) if op in (r.SET_DATA, r.SET_ACL) else None

    def _multi(self, connection: Connection, body: r.Multi) -> tuple[int, Any]:
        """All or none: each is held against the tree as those before it leave it."""
        trial, changes, paths = _copied(self.tree, [getattr(one, "path", "") for _, one in body.ops]), [], []
        for n, (op, one) in enumerate(body.ops):
            try:
                change, path = self._sound(connection, op, one, trial)
                if change:
                    trial.apply(self.zxid + 1, self.loop.now() // 1000, [change])
                    changes.append(change)
                paths.append(path)
            except ZooKeeperError as error:
                codes = [Code.RUNTIME_INCONSISTENCY] * len(body.ops)
                codes[:n] = [Code.OK] * n
                codes[n] = Code(error.code)
                return self.commit([]), r.MultiReply([(r.ERROR, None, code) for code in codes])
        zxid = self.commit(changes)
        return zxid, r.MultiReply(
            [(op, self._answer_of(op, path), 0) for (op, _), path in zip(body.ops, paths)]
        )

    def _sound(self, connection: Connection, op: int, body: Any, tree: Tree) -> tuple[Optional[tuple], str]:
        """(the change, its path) of one operation that may be done."""
        if op in (r.CREATE_CONTAINER, r.CREATE_TTL) or (
            op in (r.CREATE, r.CREATE2) and body.flags not in range(4)
        ):
            raise ZooKeeperError(Code.UNIMPLEMENTED)
        if op in (r.CREATE, r.CREATE2):
            return self._sound_create(connection, body, tree)
        node = tree.nodes.get(body.path)
        if node is None:
            raise ZooKeeperError(Code.NO_NODE)
        have = node.aversion if op == r.SET_ACL else node.version
        if body.version not in (-1, have):
            raise ZooKeeperError(Code.BAD_VERSION)
        if op == r.CHECK:
            self.allow(connection.ids, node, r.PERM_READ)
            return None, body.path
        if op == r.DELETE:
            if body.path == "/":
                raise ZooKeeperError(Code.BAD_ARGUMENTS)
            self.allow(connection.ids, tree.nodes[parent_of(body.path)], r.PERM_DELETE)
            if node.children:
                raise ZooKeeperError(Code.NOT_EMPTY)
            return ("delete", body.path), body.path
        if op == r.SET_ACL:
            self.allow(connection.ids, node, r.PERM_ADMIN)
            return ("acl", body.path, self._sound_acl(connection, body.acl)), body.path
        self.allow(connection.ids, node, r.PERM_WRITE)
        if len(body.data or b"") > MAX_NODE_BYTES:
            raise ZooKeeperError(Code.BAD_ARGUMENTS)
        return ("set", body.path, body.data), body.path

    def _sound_create(self, connection: Connection, body: r.Create, tree: Tree) -> tuple[tuple, str]:
        path = body.path
        sequential = body.flags in (r.SEQUENTIAL, r.EPHEMERAL_SEQUENTIAL)
        if (
            check_path(path + ("0" if sequential else ""))
            or path == "/"
            or len(body.data or b"") > MAX_NODE_BYTES
        ):
            raise ZooKeeperError(Code.BAD_ARGUMENTS)
        above = tree.nodes.get(parent_of(path))
        if above is None:
            raise ZooKeeperError(Code.NO_NODE)
        self.allow(connection.ids, above, r.PERM_CREATE)
        if above.owner:
            raise ZooKeeperError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        if sequential:  # counted by the parent's changes, as the specification has it
            path += f"{above.cversion:010d}"
        if path in tree.nodes:
            raise ZooKeeperError(Code.NODE_EXISTS)
        assert connection.live is not None
        owner = connection.live.number if body.flags in (r.EPHEMERAL, r.EPHEMERAL_SEQUENTIAL) else 0
        return ("create", path, body.data, self._sound_acl(connection, body.acl), owner), path

    @staticmethod
    def _sound_acl(connection: Connection, acl: list[r.Acl]) -> list[r.Acl]:
        """The scheme "auth" stands for whoever the session has shown itself as."""
        made: list[r.Acl] = []
        for one in acl:
            if one.who.scheme == "auth":
                mine = [who for who in connection.ids if who != ANYONE]
                if not mine:
                    raise ZooKeeperError(Code.INVALID_ACL)
                made += [r.Acl(one.perms, who) for who in sorted(mine)]
            elif one.who.scheme in ("world", "digest"):
                made.append(one)
            else:
                raise ZooKeeperError(Code.INVALID_ACL)
        if not made:
            raise ZooKeeperError(Code.INVALID_ACL)
        return made

    # ---- the record: what each reader was told of the members, so that the rules can be held against it

    def _member(self, path: str) -> str:
        top = self.plan.read_path.rstrip("/") + "/"
        name = path[len(top) :] if self.plan.read_path and path.startswith(top) else ""
        return "" if "/" in name else name

    def _told(self, connection: Connection, rows: list[list[str]]) -> None:
        if self.recorder is not None and rows and connection.live is not None:
            self.recorder.note("told", connection.live.user, self.zxid, rows)

    def note_read(self, connection: Connection, path: str, data: Optional[bytes]) -> None:
        name = self._member(path)
        if not name or connection.live is None:
            return
        try:
            member = read_member(data, self.plan.form)
        except InvalidNode:
            return
        self.believed[connection.live.user, name] = member.endpoint
        self._told(connection, [[member.endpoint, member.phase, member.start]])

    def _vanished(self, connection: Connection, names: list[str]) -> None:
        assert connection.live is not None
        user, rows = connection.live.user, []
        for name in names:
            endpoint = self.believed.pop((user, name), "")
            if endpoint and endpoint not in [e for (u, _), e in self.believed.items() if u == user]:
                rows.append([endpoint, "off", ""])
        self._told(connection, rows)

    def note_event(self, connection: Connection, kind: int, path: str) -> None:
        if kind == r.DELETED and self._member(path) and connection.live is not None:
            self._vanished(connection, [self._member(path)])

    def note_missing(self, connection: Connection, path: str) -> None:
        if self._member(path) and connection.live is not None:
            self._vanished(connection, [self._member(path)])

    def note_children(self, connection: Connection, path: str, names: list[str]) -> None:
        if path == self.plan.read_path and connection.live is not None:
            user, there = connection.live.user, set(names)
            self._vanished(
                connection, [name for u, name in list(self.believed) if u == user and name not in there]
            )

    # ---- control

    def _answer(self, asked: HttpRequest) -> Coroutine:
        yield from self.loop.breathe()
        if asked.target == "/control":
            self.control(msgspec.json.decode(asked.body))
        held = {
            "zxid": self.zxid,
            "sessions": {f"{n:#x}": s.user for n, s in self.sessions.items()},
            "members": sorted(self._children()),
            "applied": [server.tree.zxid for server in self.servers],
        }
        return HttpReply(200, msgspec.json.encode(held))

    def _children(self) -> list[str]:
        node = self.tree.nodes.get(self.plan.read_path)
        return list(node.children) if node is not None else []

    def control(self, order: dict[str, Any]) -> None:
        if self.recorder is not None:
            self.recorder.note("control", order)
        wanted = order.get("expire", [])
        for live in list(self.sessions.values()):
            if wanted == "all" or f"{live.number:#x}" in wanted or (live.user and live.user in wanted):
                self.expire(live)
        for n in order.get("cut", []):
            self.servers[n].cut = True
            self.servers[n].drop()
        for n in order.get("heal", []):
            self.servers[n].cut = False
            self.servers[n].catch_up()
            self.servers[n].drop()
        for n, lag in order.get("lag_ms", {}).items():
            self.servers[int(n)].lag = int(lag * 1000)
            self.servers[int(n)].catch_up()
        for n in order.get("drop", []):
            self.servers[n].drop()
        if order.get("delete"):
            self.commit([("delete", order["delete"])])
        if order.get("reset"):
            self._reset()
        self.delay = int(order.get("delay_ms", self.delay / 1000) * 1000)

    def _reset(self) -> None:
        self.sessions.clear()
        self.log.clear()
        self.tree, self.zxid = Tree(), 0
        for server in self.servers:
            server.tree, server.applied = Tree(), 0
            server.drop()


def _copied(tree: Tree, paths: list[str]) -> Tree:
    """A tree to try changes on: only the nodes that the paths touch are copied."""
    trial = Tree()
    trial.nodes = dict(tree.nodes)
    trial.of_session = {owner: set(held) for owner, held in tree.of_session.items()}
    for path in {p for one in paths if one for p in (one, parent_of(one))}:
        node = tree.nodes.get(path)
        if node is not None:
            made = ZNode(node.data, node.acl, node.czxid, node.ctime, node.owner)
            for name in ("mzxid", "pzxid", "mtime", "version", "cversion", "aversion"):
                setattr(made, name, getattr(node, name))
            made.children = dict(node.children)
            trial.nodes[path] = made
    return trial


def run(loop: Loop, raw: bytes, record: str) -> Ensemble:
    return Ensemble(loop, msgspec.json.decode(raw, type=EnsemblePlan), Recorder(loop, record))
