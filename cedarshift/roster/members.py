"""Follows the children of one node: their data, as the servers have it, with bounded calls in flight and no update lost.

Two ways of watching. "recursive": one persistent recursive watch (servers from 3.6 on) tells of each child by its path.
"one-shot": a watch on the list of children and one on each child's data, set again by each reading. In both what an event
says is only what is to be read again, but for a deletion, which is told at once: the reading that follows tells whether a
node of that name stands there anew.
"""

from __future__ import annotations

from collections import deque
from typing import Callable, NamedTuple, Optional

from cedarshift.codec.zookeeper import Code, ZooError
from cedarshift.codec.zookeeper import records as r
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.zookeeper import CONNECTED, GONE, READ_ONLY, Call, ZooClient

IN_FLIGHT = 64  # calls at once: a list of thousands must not stand in a server's queue whole
BATCH = 200  # children told on at once: judging a batch holds the loop up for some ms
AGAIN = 250_000  # us before the next try where a reading failed on a standing connection
AGAIN_MOST = 8_000_000  # us; an ACL that denies is not lifted by asking often


class Raw(NamedTuple):
    """A child as read: its data, the session that owns it, and the transaction that made it."""

    data: Optional[bytes]
    owner: int
    born: int


# What changed: children that are new or differ, children that left; whether all has been read now (`nodes` has it).
Tell = Callable[[dict[str, Raw], set[str], bool], None]


class Batch:
    """What was read and not told yet."""

    def __init__(self) -> None:
        self.seen: dict[str, Raw] = {}
        self.gone: set[str] = set()


class Follower:
    """`tell(seen, gone, whole)` is called with each batch; `whole`, alone, after each time that everything was read anew."""

    def __init__(
        self,
        loop: Loop,
        path: str,
        recursive: bool,
        wanted: Callable[[str], bool],
        tell: Tell,
        report: Callable[..., None],
        chance: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.path = path
        self.wants_recursive = recursive
        self.recursive = False  # whether that watch stands
        self.wanted = wanted
        self.tell = tell
        self.report = report
        self.client: Optional[ZooClient] = None
        self.nodes: dict[str, Raw] = {}
        self.list_dirty = False
        self.dirty: dict[str, None] = {}
        self.whole = False  # everything is to be told as a whole once it is read
        self.fresh = False  # a session of which nothing was read yet
        self.unreadable: dict[str, str] = {}  # children that may not be read, and why
        self.denied = ""  # why nothing can be read, for people
        self.waiting: Optional[Waker] = None
        self.redial = Backoff(AGAIN, AGAIN_MOST, chance)
        self.task = loop.spawn(self._work(), "zookeeper follower")

    def attach(self, client: ZooClient) -> None:
        self.client = client

    def stop(self) -> None:
        self.task.cancel()

    # ---- what the client hears

    def on_state(self, state: str) -> None:
        if state == GONE:
            self.fresh = True
        elif state in (CONNECTED, READ_ONLY):
            first = self.fresh or not self.nodes
            if first or self.recursive:
                # Persistent watches tell nothing of what happened meanwhile: all is read again.
                self.dirty.update(dict.fromkeys(self.nodes))
            self.recursive = self.recursive and not first
            self.list_dirty = self.whole = True
            self.fresh = False
            self._wake()

    def on_event(self, event: r.WatchEvent) -> None:
        if event.path == self.path:
            self.list_dirty = True
        elif event.path.startswith(self._below()):
            name = event.path[len(self._below()) :]
            if "/" in name or not self.wanted(name):
                return
            self.dirty[name] = None
            if event.kind == r.DELETED:
                self._drop({name})
        self._wake()

    def _below(self) -> str:
        return self.path.rstrip("/") + "/"

    def _drop(self, names: set[str]) -> None:
        gone = {name for name in names if self.nodes.pop(name, None) is not None}
        if gone:
            self.tell({}, gone, False)

    def _wake(self) -> None:
        if self.waiting is not None:
            self.waiting.wake()

    # ---- reading

    def _work(self) -> Coroutine:
        while True:
            if (
                self.client is None
                or self.client.state not in (CONNECTED, READ_ONLY)
                or not (self.list_dirty or self.dirty)
            ):
                self.waiting = self.loop.waker()
                try:
                    yield
                finally:
                    self.waiting = None
                continue
            try:
                yield from self._read()
                self.denied = ""
                self.redial.reset()
            except ZooError as error:
                self.list_dirty = True
                if error.code in (Code.CONNECTION_LOSS, Code.SESSION_EXPIRED):
                    yield from self.loop.sleep(1)  # the client tells when there is a server again
                    continue
                if str(error) != self.denied:
                    self.denied = str(error)
                    self.report("source_refuses", reason=self.denied)
                yield from self.loop.sleep(self.redial.wait())

    def _read(self) -> Coroutine:
        assert self.client is not None
        if self.wants_recursive and not self.recursive:
            yield from self._watch_tree()
        if self.list_dirty:
            self.list_dirty = False
            yield from self._read_list()
        yield from self._read_dirty()
        if self.whole and not (self.list_dirty or self.dirty):
            self.whole = False
            self.tell({}, set(), True)

    def _watch_tree(self) -> Coroutine:
        assert self.client is not None
        try:
            yield from self.client.call(r.ADD_WATCH, r.AddWatch(self.path, r.WATCH_RECURSIVE))
            self.recursive = True
        except ZooError as error:
            if error.code != Code.UNIMPLEMENTED:
                raise
            self.wants_recursive = False  # older than 3.6
            self.dirty.update(dict.fromkeys(self.nodes))
            self.report("source_one_shot", reason=str(error))

    def _read_list(self) -> Coroutine:
        assert self.client is not None
        try:
            got = yield from self.client.call(r.GET_CHILDREN2, r.Watched(self.path, not self.recursive))
        except ZooError as error:
            if error.code != Code.NO_NODE:
                raise
            # Nobody has ever registered, or the parent was removed: an empty list, until it is made.
            if not self.recursive:
                yield from self._wait_for_parent()
            self._drop(set(self.nodes))
            return
        names = {name for name in got.children if self.wanted(name)}
        self.unreadable = {name: why for name, why in self.unreadable.items() if name in names}
        self._drop(set(self.nodes) - names)
        for name in sorted(names - set(self.nodes)):
            self.dirty[name] = None

    def _wait_for_parent(self) -> Coroutine:
        assert self.client is not None
        try:
            yield from self.client.call(r.EXISTS, r.Watched(self.path, True))
            self.list_dirty = True  # made between the two calls
        except ZooError as error:
            if error.code != Code.NO_NODE:
                raise

    def _read_dirty(self) -> Coroutine:
        """A window over the dirty children, told on in batches; what was read until a failure is told, the rest stays dirty."""
        assert self.client is not None
        flight: deque[tuple[str, Call]] = deque()
        batch = Batch()
        try:
            while self.dirty or flight:
                while self.dirty and len(flight) < IN_FLIGHT:
                    name = next(iter(self.dirty))
                    del self.dirty[name]
                    flight.append(
                        (
                            name,
                            self.client.post(r.GET_DATA, r.Watched(self._below() + name, not self.recursive)),
                        )
                    )
                name, call = flight[0]
                yield from self._take(name, call, batch)
                flight.popleft()
                if len(batch.seen) + len(batch.gone) >= BATCH:
                    self._tell(batch)
                    batch = Batch()
                    yield from self.loop.yield_control()
        finally:
            self.dirty.update({name: None for name, _ in flight})
            self._tell(batch)

    def _take(self, name: str, call: Call, batch: Batch) -> Coroutine:
        """One answer into the batch. Raises ZooError for what concerns more than this child."""
        try:
            got = yield from call.wait()
        except ZooError as error:
            if error.code == Code.NO_NODE:
                batch.gone.add(name)
                batch.seen.pop(name, None)
                self.list_dirty = self.list_dirty or not self.recursive
            elif error.code == Code.NO_AUTH:
                if name not in self.unreadable:
                    self.report("node_refused", node=name, reason=str(error))
                self.unreadable[name] = str(error)
            else:
                raise
            return
        self.unreadable.pop(name, None)
        batch.gone.discard(name)
        batch.seen[name] = Raw(got.data, got.stat.owner, got.stat.czxid)

    def _tell(self, batch: Batch) -> None:
        # What is to be read again was overtaken by an event: to tell it would bring back a node that has left.
        changed = {
            name: raw
            for name, raw in batch.seen.items()
            if name not in self.dirty and self.nodes.get(name) != raw
        }
        left = {name for name in batch.gone if self.nodes.pop(name, None) is not None}
        self.nodes.update(changed)
        if changed or left:
            self.tell(changed, left, False)


__all__ = ["Follower", "IN_FLIGHT", "Raw"]
