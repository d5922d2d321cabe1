"""Watches the children of one node and their data, with a bounded number of requests in flight.

There are two modes. "recursive" uses one persistent recursive watch (servers from 3.6 on). "one-shot" uses a
watch on the list of children and one on the data of each child, renewed by each read. In both modes an event
marks data to read again; a deletion is also reported at once, and the following read shows whether the node
was created again.
"""

from __future__ import annotations

from collections import deque
from typing import Callable, NamedTuple, Optional

from cedarshift.codec.zookeeper import Code, ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.zookeeper import CONNECTED, READ_ONLY, SESSION_ENDED, PendingCall, ZooKeeperClient

MAX_IN_FLIGHT = 64  # requests
BATCH_SIZE = 200  # children per change notification; processing one blocks the event loop
MIN_RETRY_DELAY_US = 250_000
MAX_RETRY_DELAY_US = 8_000_000


class NodeData(NamedTuple):
    """A child's data, owning session and creation transaction."""

    data: Optional[bytes]
    owner: int
    creation_zxid: int


# Arguments: new or changed children, deleted children, whether all children have now been read (see `nodes`).
ChangeHandler = Callable[[dict[str, NodeData], set[str], bool], None]


class Batch:
    """Changes read but not reported yet."""

    def __init__(self) -> None:
        self.seen: dict[str, NodeData] = {}
        self.gone: set[str] = set()


class ChildrenWatcher:
    """Reports changes of the children of `path`.

    `on_change(seen, gone, full_read)` is called for each batch, and with `full_read` alone after each
    complete read. `random()` returns a float in [0, 1).
    """

    def __init__(
        self,
        loop: Loop,
        path: str,
        recursive: bool,
        is_member: Callable[[str], bool],
        on_change: ChangeHandler,
        report: Callable[..., None],
        random: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.path = path
        self.wants_recursive = recursive
        self.recursive = False  # the recursive watch is set
        self.is_member = is_member
        self.on_change = on_change
        self.report = report
        self.client: Optional[ZooKeeperClient] = None
        self.nodes: dict[str, NodeData] = {}
        self.list_dirty = False
        self.dirty: dict[str, None] = {}
        self.full_read = False  # a complete read is in progress
        self.new_session = False  # nothing was read in this session yet
        self.denied_nodes: dict[str, str] = {}  # unreadable child -> reason
        self.denied_reason = ""  # why the path cannot be read, for the status page
        self.waiting: Optional[Waker] = None
        self.backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, random)
        self.task = loop.spawn(self._run(), "zookeeper follower")

    def attach(self, client: ZooKeeperClient) -> None:
        self.client = client

    def stop(self) -> None:
        self.task.cancel()

    # ---- client callbacks

    def on_state(self, state: str) -> None:
        if state == SESSION_ENDED:
            self.new_session = True
        elif state in (CONNECTED, READ_ONLY):
            everything = self.new_session or not self.nodes
            if everything or self.recursive:
                # Persistent watches do not report changes made while disconnected.
                self.dirty.update(dict.fromkeys(self.nodes))
            self.recursive = self.recursive and not everything
            self.list_dirty = self.full_read = True
            self.new_session = False
            self._wake()

    def on_event(self, event: r.WatchEvent) -> None:
        if event.path == self.path:
            self.list_dirty = True
        elif event.path.startswith(self._child_prefix()):
            name = event.path[len(self._child_prefix()) :]
            if "/" in name or not self.is_member(name):
                return
            self.dirty[name] = None
            if event.kind == r.DELETED:
                self._drop({name})
        self._wake()

    def _child_prefix(self) -> str:
        return self.path.rstrip("/") + "/"

    def _drop(self, names: set[str]) -> None:
        gone = {name for name in names if self.nodes.pop(name, None) is not None}
        if gone:
            self.on_change({}, gone, False)

    def _wake(self) -> None:
        if self.waiting is not None:
            self.waiting.wake()

    # ---- reading

    def _run(self) -> Coroutine:
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
                self.denied_reason = ""
                self.backoff.reset()
            except ZooKeeperError as error:
                self.list_dirty = True
                if error.code in (Code.CONNECTION_LOSS, Code.SESSION_EXPIRED):
                    yield from self.loop.sleep(1)  # the client reports when it is connected again
                    continue
                if str(error) != self.denied_reason:
                    self.denied_reason = str(error)
                    self.report("source_refuses", reason=self.denied_reason)
                yield from self.loop.sleep(self.backoff.wait())

    def _read(self) -> Coroutine:
        assert self.client is not None
        if self.wants_recursive and not self.recursive:
            yield from self._add_recursive_watch()
        if self.list_dirty:
            self.list_dirty = False
            yield from self._read_list()
        yield from self._read_dirty()
        if self.full_read and not (self.list_dirty or self.dirty):
            self.full_read = False
            self.on_change({}, set(), True)

    def _add_recursive_watch(self) -> Coroutine:
        assert self.client is not None
        try:
            yield from self.client.call(r.ADD_WATCH, r.AddWatch(self.path, r.WATCH_RECURSIVE))
            self.recursive = True
        except ZooKeeperError as error:
            if error.code != Code.UNIMPLEMENTED:
                raise
            self.wants_recursive = False  # server older than 3.6
            self.dirty.update(dict.fromkeys(self.nodes))
            self.report("source_one_shot", reason=str(error))

    def _read_list(self) -> Coroutine:
        assert self.client is not None
        try:
            reply = yield from self.client.call(
                r.GET_CHILDREN2, r.WatchRequest(self.path, not self.recursive)
            )
        except ZooKeeperError as error:
            if error.code != Code.NO_NODE:
                raise
            # The parent does not exist (yet): an empty list.
            if not self.recursive:
                yield from self._wait_for_parent()
            self._drop(set(self.nodes))
            return
        names = {name for name in reply.children if self.is_member(name)}
        self.denied_nodes = {name: why for name, why in self.denied_nodes.items() if name in names}
        self._drop(set(self.nodes) - names)
        for name in sorted(names - set(self.nodes)):
            self.dirty[name] = None

    def _wait_for_parent(self) -> Coroutine:
        assert self.client is not None
        try:
            yield from self.client.call(r.EXISTS, r.WatchRequest(self.path, True))
            self.list_dirty = True  # created between the two calls
        except ZooKeeperError as error:
            if error.code != Code.NO_NODE:
                raise

    def _read_dirty(self) -> Coroutine:
        """Read the dirty children and report them in batches; after a failure the unread ones stay dirty."""
        assert self.client is not None
        in_flight: deque[tuple[str, PendingCall]] = deque()
        batch = Batch()
        try:
            while self.dirty or in_flight:
                while self.dirty and len(in_flight) < MAX_IN_FLIGHT:
                    name = next(iter(self.dirty))
                    del self.dirty[name]
                    in_flight.append(
                        (
                            name,
                            self.client.post(
                                r.GET_DATA, r.WatchRequest(self._child_prefix() + name, not self.recursive)
                            ),
                        )
                    )
                name, call = in_flight[0]
                yield from self._apply_reply(name, call, batch)
                in_flight.popleft()
                if len(batch.seen) + len(batch.gone) >= BATCH_SIZE:
                    self._flush(batch)
                    batch = Batch()
                    yield from self.loop.yield_control()
        finally:
            self.dirty.update({name: None for name, _ in in_flight})
            self._flush(batch)

    def _apply_reply(self, name: str, call: PendingCall, batch: Batch) -> Coroutine:
        """Add one reply to the batch. Raises ZooKeeperError if the failure is not limited to this child."""
        try:
            reply = yield from call.wait()
        except ZooKeeperError as error:
            if error.code == Code.NO_NODE:
                batch.gone.add(name)
                batch.seen.pop(name, None)
                self.list_dirty = self.list_dirty or not self.recursive
            elif error.code == Code.NO_AUTH:
                if name not in self.denied_nodes:
                    self.report("node_refused", node=name, reason=str(error))
                self.denied_nodes[name] = str(error)
            else:
                raise
            return
        self.denied_nodes.pop(name, None)
        batch.gone.discard(name)
        batch.seen[name] = NodeData(reply.data, reply.stat.owner, reply.stat.czxid)

    def _flush(self, batch: Batch) -> None:
        # Children that are dirty again are outdated; reporting them could bring back a deleted node.
        changed = {
            name: raw
            for name, raw in batch.seen.items()
            if name not in self.dirty and self.nodes.get(name) != raw
        }
        left = {name for name in batch.gone if self.nodes.pop(name, None) is not None}
        self.nodes.update(changed)
        if changed or left:
            self.on_change(changed, left, False)


__all__ = ["ChildrenWatcher", "MAX_IN_FLIGHT", "NodeData"]
