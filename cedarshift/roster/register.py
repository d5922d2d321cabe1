"""Keeps a member's own ephemeral node: made, made again after an expiry, changed when it drains, deleted when it leaves."""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.codec.zookeeper import Code, ZooError
from cedarshift.codec.zookeeper import records as r
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.formats import MEMBER, Member, write_member
from cedarshift.roster.zookeeper import CONNECTED, GONE, ZooClient

AGAIN = 250_000  # us before the next try after a failure
AGAIN_MOST = 8_000_000
OPEN_ACL = [r.Acl(r.MAY_ALL, r.Id("world", "anyone"))]
# With a digest credential: whoever made the node may do all, everyone may read.
GUARDED_ACL = [r.Acl(r.MAY_ALL, r.Id("auth", "")), r.Acl(r.MAY_READ, r.Id("world", "anyone"))]


class RegisterTerms(NamedTuple):
    servers: tuple[tuple[str, int], ...]
    path: str
    session_timeout: int  # us
    form: str
    service: str  # the service's name, for Curator
    auth: tuple[tuple[str, bytes], ...]


class Registration:
    """`registered` is true while a node of this session stands, as far as is known."""

    def __init__(
        self,
        loop: Loop,
        terms: RegisterTerms,
        member: Member,
        chance: Callable[[], float],
        report: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.terms = terms
        self.member = member
        self.report = report
        self.node = ""  # its whole path
        self.registered = False
        self.watched = False
        self.stated: Optional[Member] = None  # what the node says, as far as this member wrote it
        self.leaving = False
        self.unsure = False  # a create may have been done without an answer
        self.redial = Backoff(AGAIN, AGAIN_MOST, chance)
        self.waiting: Optional[Waker] = None
        self.counts = {"created": 0, "adopted": 0, "failures": 0}
        self.client = ZooClient(
            loop,
            list(terms.servers),
            terms.session_timeout,
            chance,
            self._state,
            self._event,
            report,
            terms.auth,
        )
        self.task = loop.spawn(self._keep(), "registration")

    @property
    def _acl(self) -> list[r.Acl]:
        return GUARDED_ACL if self.terms.auth else OPEN_ACL

    def _state(self, state: str) -> None:
        if state == GONE:  # the servers have taken the node away with the session
            self.registered, self.watched, self.node, self.unsure = False, False, "", False
        self._wake()

    def _event(self, event: r.WatchEvent) -> None:
        if event.path == self.node and event.kind in (r.DELETED, r.CHANGED):
            self.watched = False
            self.registered = self.registered and event.kind == r.CHANGED
            if event.kind == r.DELETED:
                self.node = ""
            self._wake()

    def _wake(self) -> None:
        if self.waiting is not None:
            self.waiting.wake()

    def _keep(self) -> Coroutine:
        while True:
            settled = self.registered and self.watched and self.stated == self.member
            if settled or self.leaving or self.client.state != CONNECTED:
                self.waiting = self.loop.waker()
                try:
                    yield
                finally:
                    self.waiting = None
                continue
            try:
                if self.registered and self.stated != self.member:
                    yield from self._state_it()
                elif self.registered:
                    yield from self._watch()
                else:
                    yield from self._register()
                self.redial.reset()
            except ZooError as error:
                self.counts["failures"] += 1
                self.unsure = self.unsure or error.code == Code.CONNECTION_LOSS
                self.report("register_failed", reason=str(error))
                yield from self.loop.sleep(self.redial.wait())

    def _register(self) -> Coroutine:
        yield from self._make_parents()
        if self.unsure:
            self.node, self.stated = (yield from self._own_node()), None
        if self.node:
            self.counts["adopted"] += 1
        else:
            member = self.member
            self.node = yield from self._create(self._data())
            self.stated = member
            self.counts["created"] += 1
        self.unsure = False
        yield from self._state_it()
        yield from self._watch()
        if self.watched:
            self.registered = True
            self.report("registered", node=self.node, endpoint=self.member.endpoint)

    def _watch(self) -> Coroutine:
        """A node that someone deletes is made again; what someone writes into it stands: it may be an operator's drain."""
        try:
            yield from self.client.call(r.GET_DATA, r.Watched(self.node, True))
            self.watched = True
        except ZooError as error:
            if error.code != Code.NO_NODE:
                raise
            self.registered, self.node = False, ""

    def _state_it(self) -> Coroutine:
        """What this member says of itself now, into its node."""
        member = self.member
        try:
            if self.stated != member:
                yield from self.client.call(r.SET_DATA, r.SetData(self.node, self._data(), -1))
            self.stated = member
        except ZooError as error:
            if error.code != Code.NO_NODE:
                raise
            self.registered, self.node = False, ""

    def _data(self) -> bytes:
        return write_member(self.member, self.terms.form, self.terms.service)

    def _create(self, data: bytes) -> Coroutine:
        base = self.terms.path.rstrip("/") + "/"
        if self.terms.form == "serverset":
            got = yield from self.client.call(
                r.CREATE, r.Create(base + MEMBER, data, self._acl, r.EPHEMERAL_SEQUENTIAL)
            )
            return got.path
        path = base + self.member.endpoint.replace("/", "_")
        try:
            got = yield from self.client.call(r.CREATE, r.Create(path, data, self._acl, r.EPHEMERAL))
            return got.path
        except ZooError as error:
            if error.code != Code.NODE_EXISTS:
                raise
        yield from self._take_over(path)
        got = yield from self.client.call(r.CREATE, r.Create(path, data, self._acl, r.EPHEMERAL))
        return got.path

    def _take_over(self, path: str) -> Coroutine:
        """A node of that name stands: this session's own, or what a life before left until its session expires."""
        got = yield from self.client.call(r.EXISTS, r.Watched(path, False))
        if got.stat.owner != self.client.session:
            self.report("register_replaces", node=path, session=f"{got.stat.owner:#x}")
        try:
            yield from self.client.call(r.DELETE, r.Delete(path, got.stat.version))
        except ZooError as error:
            if error.code != Code.NO_NODE:
                raise

    def _own_node(self) -> Coroutine:
        """The node that a create made whose answer was lost, by its owner; "" where it was not made."""
        base = self.terms.path.rstrip("/")
        got = yield from self.client.call(r.GET_CHILDREN2, r.Watched(base, False))
        for name in sorted(got.children):
            try:
                found = yield from self.client.call(r.EXISTS, r.Watched(f"{base}/{name}", False))
            except ZooError as error:
                if error.code != Code.NO_NODE:
                    raise
                continue
            if found.stat.owner == self.client.session:
                return f"{base}/{name}"
        return ""

    def _make_parents(self) -> Coroutine:
        parts = self.terms.path.strip("/").split("/")
        for n in range(1, len(parts) + 1):
            path = "/" + "/".join(parts[:n])
            try:
                yield from self.client.call(r.EXISTS, r.Watched(path, False))
                continue
            except ZooError as error:
                if error.code != Code.NO_NODE:
                    raise
            try:
                yield from self.client.call(r.CREATE, r.Create(path, b"", OPEN_ACL, r.PERSISTENT))
            except ZooError as error:
                if error.code != Code.NODE_EXISTS:
                    raise

    # ---- leaving

    def drain(self) -> None:
        """Says that it drains, so that it is left with a hand-over; as soon as a server takes it."""
        self.member = self.member._replace(phase="fading")
        self._wake()

    def leave(self) -> Coroutine:
        """Deletes the node and ends the session; what can't be reached expires by itself."""
        self.leaving = True
        if self.node:
            try:
                yield from self.client.call(r.DELETE, r.Delete(self.node, -1))
            except ZooError as error:
                self.report("leave_failed", reason=str(error))
        yield from self.client.close()
        self.task.cancel()

    def stop(self) -> None:
        """As a killed process: the node stays until the session expires."""
        self.task.cancel()
        self.client.stop()


__all__ = ["RegisterTerms", "Registration"]
