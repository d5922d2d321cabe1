"""A stand-in ensemble of ZooKeeper servers: a leader's log, servers that apply it with a lag, and sessions.

Written from the public specification, for rehearsals and tests. It has no disk and no election, and all
servers run in one process.

    GET  /control/state      sessions, zxid, members
    POST /control {"expire": ["id", ...] | "all", "cut": [n], "heal": [n], "lag_ms": {"n": ms}, "drop": [n],
                   "delete": path, "reset": bool, "delay_ms": ms}

A cut server is partitioned from the ensemble and serves read-only clients only. `reset` models an ensemble
that is restored from an old backup: an empty tree, with zxids from 0.
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

HANDSHAKE_TIMEOUT_US = 3_000_000  # for the ConnectRequest
TICK_US = 20_000  # interval of the checks for expired sessions
MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 400, 60_000  # of a session timeout
MAX_DATA_BYTES = 1 << 20  # of a node
VERSION = "3.6.0-stand-in"
ANYONE = r.Id("world", "anyone")


class EnsemblePlan(msgspec.Struct):
    """Settings of an ensemble, passed as JSON.

    What each session reads about the children of `read_path` is recorded by the user of the session.
    `form` is the format of these nodes.
    """

    addresses: list[tuple[str, int]]
    control: Optional[tuple[str, int]] = None
    read_path: str = ""
    form: str = "serverset"
    seed: int = 1


class ZNode:
    """A node of the tree. `acl` is shared between nodes and never changed in place."""

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
    """The tree of one server. `apply` executes a transaction that the leader has validated."""

    def __init__(self) -> None:
        self.nodes: dict[str, ZNode] = {"/": ZNode(b"", [r.Acl(r.PERM_ALL, ANYONE)], 0, 0, 0)}
        self.paths_by_session: dict[int, set[str]] = {}
        self.zxid = 0

    def apply(self, zxid: int, at: int, changes: list[tuple]) -> list[tuple[int, str]]:
        """Returns the watch events as (kind, path), in order."""
        self.zxid = zxid
        events: list[tuple[int, str]] = []
        for operation, path, *more in changes:
            getattr(self, "_" + operation)(zxid, at, path, events, *more)
        return events

    def _create(
        self, zxid: int, at: int, path: str, events: list, data: bytes, acl: list[r.Acl], owner: int
    ) -> None:
        self.nodes[path] = ZNode(data, acl, zxid, at, owner)
        parent = self.nodes[parent_of(path)]
        parent.children[path.rpartition("/")[2]] = None
        parent.cversion += 1
        parent.pzxid = zxid
        if owner:
            self.paths_by_session.setdefault(owner, set()).add(path)
        events += [(r.CREATED, path), (r.CHILDREN, parent_of(path))]

    def _delete(self, zxid: int, at: int, path: str, events: list) -> None:
        node = self.nodes.pop(path)
        parent = self.nodes[parent_of(path)]
        del parent.children[path.rpartition("/")[2]]
        parent.cversion += 1
        parent.pzxid = zxid
        if node.owner:
            self.paths_by_session[node.owner].discard(path)
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


class Session:
    """A client session, known to all servers; `timeout` in us."""

    def __init__(self, number: int, password: bytes, timeout: int, now: int) -> None:
        self.number = number
        self.password = password
        self.timeout = timeout
        self.last_heard_at = now
        self.user = ""
        self.connection: Optional[Connection] = None


class WatchSet:
    """The watches that a connection has set, as paths."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exists: set[str] = set()
        self.children: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def trigger(self, kind: int, path: str) -> bool:
        """Whether the event is to be sent. Removes the one-shot watches that it triggers."""
        if path in self.persistent:
            matched = True
        else:
            matched = kind != r.CHILDREN and any(
                path == root or path.startswith(root.rstrip("/") + "/") for root in self.recursive
            )
        one_shot = {
            r.CREATED: (self.exists, self.data),
            r.CHANGED: (self.data, self.exists),
            r.DELETED: (self.data, self.exists, self.children),
            r.CHILDREN: (self.children,),
        }[kind]
        for paths in one_shot:
            if path in paths:
                paths.discard(path)
                matched = True
        return matched


class Connection:
    """A client's connection to a server."""

    def __init__(self, server: Server, stream: Stream) -> None:
        self.server = server
        self.stream = stream
        self.codec = ServerSession()
        self.session: Optional[Session] = None
        self.watches = WatchSet()
        self.ids: set[r.Id] = {ANYONE}
        # (zxid, frame): sent once this server has applied the zxid; later requests wait for it.
        self.delayed_reply: Optional[tuple[int, bytes]] = None
        self.queued_requests: deque[Request] = deque()

    def send_reply(self, zxid: int, frame: bytes) -> None:
        if zxid > self.server.tree.zxid:
            self.delayed_reply = (zxid, frame)
        else:
            self._write(frame)

    def receive(self, request: Request) -> None:
        if self.delayed_reply is not None:
            self.queued_requests.append(request)
        else:
            self.server.serve(self, request)

    def on_caught_up(self) -> None:
        if self.delayed_reply is not None and self.delayed_reply[0] <= self.server.tree.zxid:
            frame, self.delayed_reply = self.delayed_reply[1], None
            self._write(frame)
            while self.queued_requests and self.delayed_reply is None:
                self.server.serve(self, self.queued_requests.popleft())

    def _write(self, frame: bytes) -> None:
        delay_us = self.server.ensemble.delay_us
        if delay_us:
            self.server.ensemble.loop.at(self.server.ensemble.loop.now() + delay_us, self._write_now, frame)
        else:
            self._write_now(frame)

    def _write_now(self, frame: bytes) -> None:
        try:
            if not self.stream.closed:
                self.stream.write(frame)
        except StreamBroken:
            pass

    def send_events(self, events: list[tuple[int, str]]) -> None:
        for kind, path in events:
            if self.watches.trigger(kind, path):
                self.server.ensemble.note_event(self, kind, path)
                self._write(self.codec.event(r.WatchEvent(kind, r.CONNECTED, path)))


class Server:
    """One server: its replica of the tree and its client connections."""

    def __init__(self, ensemble: Ensemble, number: int, address: tuple[str, int]) -> None:
        self.ensemble = ensemble
        self.number = number
        self.tree = Tree()
        self.applied = 0  # entries of the leader's log
        self.lag = 0  # us behind the leader
        self.cut = False
        self.connections: set[Connection] = set()
        self.listener = listen(ensemble.loop, address)
        ensemble.loop.spawn(self._accept(), f"zookeeper {number}")

    def _accept(self) -> Coroutine:
        while True:
            stream = yield from self.listener.accept()
            self.ensemble.loop.spawn(self._handle_connection(Connection(self, stream)), "zookeeper client")

    def _handle_connection(self, connection: Connection) -> Coroutine:
        stream, loop = connection.stream, self.ensemble.loop
        try:
            until = loop.now() + HANDSHAKE_TIMEOUT_US
            data = yield from stream.read(until)
            if data in (b"ruok", b"isro", b"srvr"):
                stream.write(self._answer_four_letter_command(data))
                stream.finish(100_000)
                return
            requests: list[Any] = []
            while data and not (requests := connection.codec.feed(data)):
                data = yield from stream.read(until)
            if not requests or not self._admit(connection, requests[0]):
                return
            self.connections.add(connection)
            while data := (yield from stream.read()):
                for request in connection.codec.feed(data):
                    if connection.session is None:
                        return
                    connection.session.last_heard_at = loop.now()
                    connection.receive(request)
        except (StreamBroken, TimedOut, ProtocolError):
            pass
        finally:
            self.connections.discard(connection)
            if connection.session is not None and connection.session.connection is connection:
                connection.session.connection = None
            stream.finish(200_000)

    def _answer_four_letter_command(self, command: bytes) -> bytes:
        """Answers a four-letter command."""
        if command == b"ruok":
            return b"imok"
        if command == b"isro":
            return b"ro" if self.cut else b"rw"
        mode = "READ_ONLY" if self.cut else "leader" if self.number == 0 else "follower"
        return (
            f"Zookeeper version: {VERSION}, built for rehearsals\nZxid: {self.tree.zxid:#x}\nMode: {mode}\n"
        ).encode()

    def _admit(self, connection: Connection, request: r.ConnectRequest) -> bool:
        ensemble, codec = self.ensemble, connection.codec
        if request.last_zxid > self.tree.zxid:  # the client has seen a newer state
            return False
        if self.cut:
            if not codec.read_only:
                return False
            connection.session = Session(
                request.session or -1 - self.number, request.password or b"", request.timeout * 1000, 0
            )
            connection.stream.write(
                codec.connect_response(
                    request.timeout, connection.session.number, connection.session.password, True
                )
            )
            return True
        timeout = max(MIN_TIMEOUT_MS, min(MAX_TIMEOUT_MS, request.timeout))
        session = (
            ensemble.sessions.get(request.session)
            if request.session
            else ensemble.new_session(timeout * 1000)
        )
        if session is None or (request.session and session.password != request.password):
            connection.stream.write(codec.connect_response(0, 0, b"\0" * 16))
            return False
        if session.connection is not None:  # the session moves here from another connection
            session.connection.stream.close()
        session.connection, session.last_heard_at, session.timeout = (
            connection,
            ensemble.loop.now(),
            timeout * 1000,
        )
        connection.session = session
        connection.stream.write(codec.connect_response(timeout, session.number, session.password))
        return True

    # ---- requests

    def serve(self, connection: Connection, request: Request) -> None:
        codec, zxid = connection.codec, self.tree.zxid
        try:
            if request.error_code:
                raise ZooKeeperError(request.error_code)
            if request.op in WRITE_OPS:
                if self.cut:
                    raise ZooKeeperError(Code.NOT_READ_ONLY)
                zxid, body = self.ensemble.write(connection, request.op, request.body)
            else:
                body = self._read(connection, request)
            connection.send_reply(zxid, codec.reply(request.xid, zxid, 0, body))
            if request.op == r.CLOSE:
                self.ensemble.end_session(connection.session)
        except ZooKeeperError as error:
            failed = max(zxid, self.ensemble.zxid if request.op in WRITE_OPS and not self.cut else 0)
            connection.send_reply(failed, codec.reply(request.xid, failed, error.code))
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
        watches, node = connection.watches, self.tree.nodes.get(body.path)
        if op == r.ADD_WATCH:
            if body.mode not in (r.WATCH_PERSISTENT, r.WATCH_RECURSIVE):
                raise ZooKeeperError(Code.BAD_ARGUMENTS)
            (watches.recursive if body.mode == r.WATCH_RECURSIVE else watches.persistent).add(body.path)
            return r.ErrorReply(0)
        if op == r.REMOVE_WATCHES:
            return self._remove_watches(connection, body)
        if node is None:
            if op == r.EXISTS and body.watch:
                watches.exists.add(body.path)
            self.ensemble.note_missing(connection, body.path)
            raise ZooKeeperError(Code.NO_NODE)
        if op == r.EXISTS:
            if body.watch:
                watches.data.add(body.path)
            return r.StatReply(node.stat())
        if op == r.GET_ACL:
            return r.AclReply(node.acl, node.stat())
        self.ensemble.check_permission(connection.ids, node, r.PERM_READ)
        if op == r.GET_DATA:
            if body.watch:
                watches.data.add(body.path)
            self.ensemble.note_read(connection, body.path, node.data)
            return r.DataReply(node.data, node.stat())
        if body.watch:
            watches.children.add(body.path)
        names = list(node.children)
        self.ensemble.note_children(connection, body.path, names)
        return r.ChildrenReply(names) if op == r.GET_CHILDREN else r.Children2Reply(names, node.stat())

    def _auth(self, connection: Connection, body: r.Auth) -> None:
        if body.scheme != "digest" or not body.auth or b":" not in body.auth:
            raise ZooKeeperError(Code.AUTH_FAILED)
        user = body.auth.split(b":", 1)[0].decode(errors="replace")
        digest = b64encode(hashlib.sha1(body.auth).digest()).decode()
        connection.ids.add(r.Id("digest", f"{user}:{digest}"))
        if connection.session is not None:
            connection.session.user = user

    def _set_watches(self, connection: Connection, body: Any) -> None:
        """Sends events for changes since the client's zxid, and watches the other paths."""
        watches, missed = connection.watches, []
        nodes = self.tree.nodes
        for path in body.data:
            node = nodes.get(path)
            if node is None:
                missed.append((r.DELETED, path))
            elif node.mzxid > body.zxid:
                missed.append((r.CHANGED, path))
            else:
                watches.data.add(path)
        for path in body.exists:
            if path in nodes:
                missed.append((r.CREATED, path))
            else:
                watches.exists.add(path)
        for path in body.children:
            node = nodes.get(path)
            if node is None:
                missed.append((r.DELETED, path))
            elif node.pzxid > body.zxid:
                missed.append((r.CHILDREN, path))
            else:
                watches.children.add(path)
        if isinstance(body, r.SetWatches2):
            watches.persistent.update(body.persistent)
            watches.recursive.update(body.recursive)
        for kind, path in missed:
            self.ensemble.note_event(connection, kind, path)
            connection._write(connection.codec.event(r.WatchEvent(kind, r.CONNECTED, path)))

    def _remove_watches(self, connection: Connection, body: r.RemoveWatches) -> None:
        watches = connection.watches
        kinds = {1: (watches.children,), 2: (watches.data, watches.exists)}.get(
            body.kind,
            (watches.children, watches.data, watches.exists, watches.persistent, watches.recursive),
        )
        if not any(body.path in paths for paths in kinds):
            raise ZooKeeperError(Code.NO_WATCHER)
        for paths in kinds:
            paths.discard(body.path)

    # ---- the log

    def catch_up(self) -> None:
        """Applies the entries of the leader's log that are due."""
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
                connection.send_events(events)
                connection.on_caught_up()

    def drop(self) -> None:
        for connection in list(self.connections):
            connection.stream.close()


WRITE_OPS = (
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
    """The leader: the log, the sessions, and the validation of writes."""

    def __init__(self, loop: Loop, plan: EnsemblePlan, recorder: Optional[Recorder] = None) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.rng = random.Random(plan.seed)
        self.tree = Tree()
        self.zxid = 0
        self.log: list[tuple[int, int, list[tuple]]] = []
        self.sessions: dict[int, Session] = {}
        self.next_session = (plan.seed & 0xFFFF) << 32
        self.delay_us = 0
        # (user, node) -> endpoint that the user has read
        self.known_endpoints: dict[tuple[str, str], str] = {}
        self.servers = [Server(self, n, (address[0], address[1])) for n, address in enumerate(plan.addresses)]
        if plan.control is not None:
            loop.spawn(serve_http(loop, listen(loop, plan.control), self._handle_request), "control")
        loop.spawn(self._tick(), "sessions")

    def _tick(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(TICK_US)
            now = self.loop.now()
            for session in [s for s in self.sessions.values() if now - s.last_heard_at > s.timeout]:
                self.expire(session)
            for server in self.servers:
                server.catch_up()

    # ---- sessions

    def new_session(self, timeout: int) -> Session:
        self.next_session += 1
        session = Session(self.next_session, self.rng.randbytes(16), timeout, self.loop.now())
        self.sessions[session.number] = session
        return session

    def expire(self, session: Session) -> None:
        """Ends a session: its ephemeral nodes are deleted in one transaction and its connection is closed."""
        if self.recorder is not None:
            self.recorder.note("expired", f"{session.number:#x}", session.user)
        self.end_session(session)
        if session.connection is not None:
            session.connection.stream.close()

    def end_session(self, session: Optional[Session]) -> None:
        if session is None or self.sessions.pop(session.number, None) is None:
            return
        paths = sorted(self.tree.paths_by_session.get(session.number, ()))
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

    def check_permission(self, ids: set[r.Id], node: ZNode, permission: int) -> None:
        if not any(entry.perms & permission and entry.who in ids for entry in node.acl):
            raise ZooKeeperError(Code.NO_AUTH)

    def write(self, connection: Connection, op: int, body: Any) -> tuple[int, Any]:
        """Returns (zxid, answer). Raises ZooKeeperError."""
        if op == r.MULTI:
            return self._multi(connection, body)
        change, answer = self._validate(connection, op, body, self.tree)
        zxid = self.commit([change] if change else [])
        return zxid, self._answer_of(op, answer)

    def _answer_of(self, op: int, path: str) -> Any:
        if op == r.CREATE:
            return r.Created(path)
        if op == r.CREATE2:
            return r.Created2(path, self.tree.nodes[path].stat())
        return r.StatReply(self.tree.nodes[path].stat()) if op in (r.SET_DATA, r.SET_ACL) else None

    def _multi(self, connection: Connection, body: r.Multi) -> tuple[int, Any]:
        """Executes all operations or none; each is validated on a copy with the ones before it applied."""
        scratch_tree, changes, paths = (
            _copy_for_validation(self.tree, [getattr(operation, "path", "") for _, operation in body.ops]),
            [],
            [],
        )
        for n, (op, operation) in enumerate(body.ops):
            try:
                change, path = self._validate(connection, op, operation, scratch_tree)
                if change:
                    scratch_tree.apply(self.zxid + 1, self.loop.now() // 1000, [change])
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

    def _validate(
        self, connection: Connection, op: int, body: Any, tree: Tree
    ) -> tuple[Optional[tuple], str]:
        """Returns (change, path) of an operation. Raises ZooKeeperError if it is not allowed."""
        if op in (r.CREATE_CONTAINER, r.CREATE_TTL) or (
            op in (r.CREATE, r.CREATE2) and body.flags not in range(4)
        ):
            raise ZooKeeperError(Code.UNIMPLEMENTED)
        if op in (r.CREATE, r.CREATE2):
            return self._validate_create(connection, body, tree)
        node = tree.nodes.get(body.path)
        if node is None:
            raise ZooKeeperError(Code.NO_NODE)
        current = node.aversion if op == r.SET_ACL else node.version
        if body.version not in (-1, current):
            raise ZooKeeperError(Code.BAD_VERSION)
        if op == r.CHECK:
            self.check_permission(connection.ids, node, r.PERM_READ)
            return None, body.path
        if op == r.DELETE:
            if body.path == "/":
                raise ZooKeeperError(Code.BAD_ARGUMENTS)
            self.check_permission(connection.ids, tree.nodes[parent_of(body.path)], r.PERM_DELETE)
            if node.children:
                raise ZooKeeperError(Code.NOT_EMPTY)
            return ("delete", body.path), body.path
        if op == r.SET_ACL:
            self.check_permission(connection.ids, node, r.PERM_ADMIN)
            return ("acl", body.path, self._resolve_acl(connection, body.acl)), body.path
        self.check_permission(connection.ids, node, r.PERM_WRITE)
        if len(body.data or b"") > MAX_DATA_BYTES:
            raise ZooKeeperError(Code.BAD_ARGUMENTS)
        return ("set", body.path, body.data), body.path

    def _validate_create(self, connection: Connection, body: r.Create, tree: Tree) -> tuple[tuple, str]:
        path = body.path
        sequential = body.flags in (r.SEQUENTIAL, r.EPHEMERAL_SEQUENTIAL)
        if (
            check_path(path + ("0" if sequential else ""))
            or path == "/"
            or len(body.data or b"") > MAX_DATA_BYTES
        ):
            raise ZooKeeperError(Code.BAD_ARGUMENTS)
        parent = tree.nodes.get(parent_of(path))
        if parent is None:
            raise ZooKeeperError(Code.NO_NODE)
        self.check_permission(connection.ids, parent, r.PERM_CREATE)
        if parent.owner:
            raise ZooKeeperError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        if sequential:  # the suffix is the parent's cversion, as specified
            path += f"{parent.cversion:010d}"
        if path in tree.nodes:
            raise ZooKeeperError(Code.NODE_EXISTS)
        assert connection.session is not None
        owner = connection.session.number if body.flags in (r.EPHEMERAL, r.EPHEMERAL_SEQUENTIAL) else 0
        return ("create", path, body.data, self._resolve_acl(connection, body.acl), owner), path

    @staticmethod
    def _resolve_acl(connection: Connection, acl: list[r.Acl]) -> list[r.Acl]:
        """Replaces the scheme "auth" by the identities that the session has authenticated."""
        resolved: list[r.Acl] = []
        for entry in acl:
            if entry.who.scheme == "auth":
                own = [identity for identity in connection.ids if identity != ANYONE]
                if not own:
                    raise ZooKeeperError(Code.INVALID_ACL)
                resolved += [r.Acl(entry.perms, identity) for identity in sorted(own)]
            elif entry.who.scheme in ("world", "digest"):
                resolved.append(entry)
            else:
                raise ZooKeeperError(Code.INVALID_ACL)
        if not resolved:
            raise ZooKeeperError(Code.INVALID_ACL)
        return resolved

    # ---- recording of what each session reads about the members, for the rule checkers

    def _member_name(self, path: str) -> str:
        root = self.plan.read_path.rstrip("/") + "/"
        name = path[len(root) :] if self.plan.read_path and path.startswith(root) else ""
        return "" if "/" in name else name

    def _record_update(self, connection: Connection, rows: list[list[str]]) -> None:
        if self.recorder is not None and rows and connection.session is not None:
            self.recorder.note("told", connection.session.user, self.zxid, rows)

    def note_read(self, connection: Connection, path: str, data: Optional[bytes]) -> None:
        name = self._member_name(path)
        if not name or connection.session is None:
            return
        try:
            member = read_member(data, self.plan.form)
        except InvalidNode:
            return
        self.known_endpoints[connection.session.user, name] = member.endpoint
        self._record_update(connection, [[member.endpoint, member.phase, member.start]])

    def _record_removals(self, connection: Connection, names: list[str]) -> None:
        assert connection.session is not None
        user, rows = connection.session.user, []
        for name in names:
            endpoint = self.known_endpoints.pop((user, name), "")
            if endpoint and endpoint not in [e for (u, _), e in self.known_endpoints.items() if u == user]:
                rows.append([endpoint, "off", ""])
        self._record_update(connection, rows)

    def note_event(self, connection: Connection, kind: int, path: str) -> None:
        if kind == r.DELETED and self._member_name(path) and connection.session is not None:
            self._record_removals(connection, [self._member_name(path)])

    def note_missing(self, connection: Connection, path: str) -> None:
        if self._member_name(path) and connection.session is not None:
            self._record_removals(connection, [self._member_name(path)])

    def note_children(self, connection: Connection, path: str, names: list[str]) -> None:
        if path == self.plan.read_path and connection.session is not None:
            user, present = connection.session.user, set(names)
            self._record_removals(
                connection,
                [name for u, name in list(self.known_endpoints) if u == user and name not in present],
            )

    # ---- control

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        yield from self.loop.yield_control()
        if request.target == "/control":
            self.control(msgspec.json.decode(request.body))
        state = {
            "zxid": self.zxid,
            "sessions": {f"{n:#x}": s.user for n, s in self.sessions.items()},
            "members": sorted(self._children()),
            "applied": [server.tree.zxid for server in self.servers],
        }
        return HttpReply(200, msgspec.json.encode(state))

    def _children(self) -> list[str]:
        node = self.tree.nodes.get(self.plan.read_path)
        return list(node.children) if node is not None else []

    def control(self, command: dict[str, Any]) -> None:
        if self.recorder is not None:
            self.recorder.note("control", command)
        to_expire = command.get("expire", [])
        for session in list(self.sessions.values()):
            if (
                to_expire == "all"
                or f"{session.number:#x}" in to_expire
                or (session.user and session.user in to_expire)
            ):
                self.expire(session)
        for n in command.get("cut", []):
            self.servers[n].cut = True
            self.servers[n].drop()
        for n in command.get("heal", []):
            self.servers[n].cut = False
            self.servers[n].catch_up()
            self.servers[n].drop()
        for n, lag in command.get("lag_ms", {}).items():
            self.servers[int(n)].lag = int(lag * 1000)
            self.servers[int(n)].catch_up()
        for n in command.get("drop", []):
            self.servers[n].drop()
        if command.get("delete"):
            self.commit([("delete", command["delete"])])
        if command.get("reset"):
            self._reset()
        self.delay_us = int(command.get("delay_ms", self.delay_us / 1000) * 1000)

    def _reset(self) -> None:
        self.sessions.clear()
        self.log.clear()
        self.tree, self.zxid = Tree(), 0
        for server in self.servers:
            server.tree, server.applied = Tree(), 0
            server.drop()


def _copy_for_validation(tree: Tree, paths: list[str]) -> Tree:
    """Returns a tree to validate changes on, with copies of the nodes at `paths` and their parents."""
    scratch_tree = Tree()
    scratch_tree.nodes = dict(tree.nodes)
    scratch_tree.paths_by_session = {owner: set(held) for owner, held in tree.paths_by_session.items()}
    for path in {p for one in paths if one for p in (one, parent_of(one))}:
        node = tree.nodes.get(path)
        if node is not None:
            copied = ZNode(node.data, node.acl, node.czxid, node.ctime, node.owner)
            for name in ("mzxid", "pzxid", "mtime", "version", "cversion", "aversion"):
                setattr(copied, name, getattr(node, name))
            copied.children = dict(node.children)
            scratch_tree.nodes[path] = copied
    return scratch_tree


def run(loop: Loop, raw: bytes, record: str) -> Ensemble:
    return Ensemble(loop, msgspec.json.decode(raw, type=EnsemblePlan), Recorder(loop, record))
