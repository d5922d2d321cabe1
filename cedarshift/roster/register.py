"""Maintains a member's own ephemeral node: creates it, recreates it after a session expiry, updates it when
the member drains, and deletes it when the member leaves.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.codec.zookeeper import Code, ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.formats import MEMBER_PREFIX, Member, write_member
from cedarshift.roster.zookeeper import CONNECTED, SESSION_ENDED, ZooKeeperClient

MIN_RETRY_DELAY_US = 250_000
MAX_RETRY_DELAY_US = 8_000_000
OPEN_ACL = [r.Acl(r.PERM_ALL, r.Id("world", "anyone"))]
# With credentials: the creator has all permissions, everyone else may read.
CREATOR_ACL = [r.Acl(r.PERM_ALL, r.Id("auth", "")), r.Acl(r.PERM_READ, r.Id("world", "anyone"))]


class RegistrationSettings(NamedTuple):
    """Where and how a member registers. `auth` holds (scheme, credential) pairs."""

    servers: tuple[tuple[str, int], ...]
    path: str
    session_timeout: int  # us
    form: str
    service: str  # service name, for Curator
    auth: tuple[tuple[str, bytes], ...]


class Registration:
    """Registration of one member. `registered`: whether a node of this session exists, as far as is known.

    `random()` returns a float in [0, 1).
    """

    def __init__(
        self,
        loop: Loop,
        settings: RegistrationSettings,
        member: Member,
        random: Callable[[], float],
        report: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.member = member
        self.report = report
        self.node = ""  # full path
        self.registered = False
        self.watched = False
        self.written: Optional[Member] = None  # last state written to the node
        self.leaving = False
        self.create_uncertain = False  # a create request was sent without a reply
        self.backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, random)
        self.waiting: Optional[Waker] = None
        self.counts = {"created": 0, "adopted": 0, "failures": 0}
        self.client = ZooKeeperClient(
            loop,
            list(settings.servers),
            settings.session_timeout,
            random,
            self._on_state,
            self._on_event,
            report,
            settings.auth,
        )
        self.task = loop.spawn(self._run(), "registration")

    @property
    def _acl(self) -> list[r.Acl]:
        return CREATOR_ACL if self.settings.auth else OPEN_ACL

    def _on_state(self, state: str) -> None:
        if state == SESSION_ENDED:  # the servers have deleted the node with the session
            self.registered, self.watched, self.node, self.create_uncertain = False, False, "", False
        self._wake()

    def _on_event(self, event: r.WatchEvent) -> None:
        if event.path == self.node and event.kind in (r.DELETED, r.CHANGED):
            self.watched = False
            self.registered = self.registered and event.kind == r.CHANGED
            if event.kind == r.DELETED:
                self.node = ""
            self._wake()

    def _wake(self) -> None:
        if self.waiting is not None:
            self.waiting.wake()

    def _run(self) -> Coroutine:
        while True:
            settled = self.registered and self.watched and self.written == self.member
            if settled or self.leaving or self.client.state != CONNECTED:
                self.waiting = self.loop.waker()
                try:
                    yield
                finally:
                    self.waiting = None
                continue
            try:
                if self.registered and self.written != self.member:
                    yield from self._write_member()
                elif self.registered:
                    yield from self._watch_node()
                else:
                    yield from self._register()
                self.backoff.reset()
            except ZooKeeperError as error:
                self.counts["failures"] += 1
                self.create_uncertain = self.create_uncertain or error.code == Code.CONNECTION_LOSS
                self.report("register_failed", reason=str(error))
                yield from self.loop.sleep(self.backoff.wait())

    def _register(self) -> Coroutine:
        yield from self._create_parents()
        if self.create_uncertain:
            self.node, self.written = (yield from self._find_own_node()), None
        if self.node:
            self.counts["adopted"] += 1
        else:
            member = self.member
            self.node = yield from self._create(self._data())
            self.written = member
            self.counts["created"] += 1
        self.create_uncertain = False
        yield from self._write_member()
        yield from self._watch_node()
        if self.watched:
            self.registered = True
            self.report("registered", node=self.node, endpoint=self.member.endpoint)

    def _watch_node(self) -> Coroutine:
        """Watch the node, to recreate it if it is deleted. Data written by others, such as a drain, stays."""
        try:
            yield from self.client.call(r.GET_DATA, r.WatchRequest(self.node, True))
            self.watched = True
        except ZooKeeperError as error:
            if error.code != Code.NO_NODE:
                raise
            self.registered, self.node = False, ""

    def _write_member(self) -> Coroutine:
        """Write the member's current state to its node."""
        member = self.member
        try:
            if self.written != member:
                yield from self.client.call(r.SET_DATA, r.SetData(self.node, self._data(), -1))
            self.written = member
        except ZooKeeperError as error:
            if error.code != Code.NO_NODE:
                raise
            self.registered, self.node = False, ""

    def _data(self) -> bytes:
        return write_member(self.member, self.settings.form, self.settings.service)

    def _create(self, data: bytes) -> Coroutine:
        base = self.settings.path.rstrip("/") + "/"
        if self.settings.form == "serverset":
            reply = yield from self.client.call(
                r.CREATE, r.Create(base + MEMBER_PREFIX, data, self._acl, r.EPHEMERAL_SEQUENTIAL)
            )
            return reply.path
        path = base + self.member.endpoint.replace("/", "_")
        try:
            reply = yield from self.client.call(r.CREATE, r.Create(path, data, self._acl, r.EPHEMERAL))
            return reply.path
        except ZooKeeperError as error:
            if error.code != Code.NODE_EXISTS:
                raise
        yield from self._delete_stale_node(path)
        reply = yield from self.client.call(r.CREATE, r.Create(path, data, self._acl, r.EPHEMERAL))
        return reply.path

    def _delete_stale_node(self, path: str) -> Coroutine:
        """Delete an existing node of this name, such as one left by an earlier process."""
        reply = yield from self.client.call(r.EXISTS, r.WatchRequest(path, False))
        if reply.stat.owner != self.client.session:
            self.report("register_replaces", node=path, session=f"{reply.stat.owner:#x}")
        try:
            yield from self.client.call(r.DELETE, r.Delete(path, reply.stat.version))
        except ZooKeeperError as error:
            if error.code != Code.NO_NODE:
                raise

    def _find_own_node(self) -> Coroutine:
        """Return the node created by a request whose reply was lost, or "" if there is none."""
        base = self.settings.path.rstrip("/")
        reply = yield from self.client.call(r.GET_CHILDREN2, r.WatchRequest(base, False))
        for name in sorted(reply.children):
            try:
                found = yield from self.client.call(r.EXISTS, r.WatchRequest(f"{base}/{name}", False))
            except ZooKeeperError as error:
                if error.code != Code.NO_NODE:
                    raise
                continue
            if found.stat.owner == self.client.session:
                return f"{base}/{name}"
        return ""

    def _create_parents(self) -> Coroutine:
        parts = self.settings.path.strip("/").split("/")
        for n in range(1, len(parts) + 1):
            path = "/" + "/".join(parts[:n])
            try:
                yield from self.client.call(r.EXISTS, r.WatchRequest(path, False))
                continue
            except ZooKeeperError as error:
                if error.code != Code.NO_NODE:
                    raise
            try:
                yield from self.client.call(r.CREATE, r.Create(path, b"", OPEN_ACL, r.PERSISTENT))
            except ZooKeeperError as error:
                if error.code != Code.NODE_EXISTS:
                    raise

    # ---- leaving

    def drain(self) -> None:
        """Announce that the member drains, as soon as a server is connected."""
        self.member = self.member._replace(phase="fading")
        self._wake()

    def leave(self) -> Coroutine:
        """Delete the node and close the session; if no server is reachable, the session expires."""
        self.leaving = True
        if self.node:
            try:
                yield from self.client.call(r.DELETE, r.Delete(self.node, -1))
            except ZooKeeperError as error:
                self.report("leave_failed", reason=str(error))
        yield from self.client.close()
        self.task.cancel()

    def stop(self) -> None:
        """Stop without deleting the node, which stays until the session expires."""
        self.task.cancel()
        self.client.stop()


__all__ = ["RegistrationSettings", "Registration"]
