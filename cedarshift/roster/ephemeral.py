"""Endpoint list from ephemeral ZooKeeper nodes.

Combines the client, the watcher of the members' path and the membership rules. It has the interface of the
other sources and additionally takes outcomes reported by the data plane.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, Optional

from cedarshift.interface import Entry
from cedarshift.judge.membership import MassVanishing, MemberEntry, Membership, Node
from cedarshift.loop import Loop
from cedarshift.loop.core import Timer
from cedarshift.roster.entries import TICK_US, EndpointList, InvalidList, ListEntry, StartTimes
from cedarshift.roster.formats import InvalidNode, is_member, read_member
from cedarshift.roster.members import ChildrenWatcher, NodeData
from cedarshift.roster.sources import ListHandler, SavedList
from cedarshift.roster.zookeeper import CONNECTED, DISCONNECTED, SESSION_ENDED, ZooKeeperClient
from cedarshift.units import round_up

MASS_REPORT_INTERVAL_US = 5_000_000  # minimum between two reports
MASS_REPORT_DELAY_US = 500_000  # by then it is known whether this pilot's session expired too
REEVALUATION_DELAY_US = 20_000  # combines bursts of outcome reports
SAVE_DELAY_US = 1_000_000  # combines many changes into one write
MAX_REPORTED_NODES = 20  # invalid nodes that are logged


class EphemeralSettings(NamedTuple):
    """Location and format of the member nodes. Durations in us; `auth` holds (scheme, credential) pairs."""

    servers: tuple[tuple[str, int], ...]
    path: str
    session_timeout: int
    form: str
    port_name: str
    recursive: bool
    read_only: bool
    hold: int
    auth: tuple[tuple[str, bytes], ...]


class EphemeralSource:
    """Source that publishes the members registered below a ZooKeeper path.

    `pools`: each zone is a pool of its own. `random()` returns a float in [0, 1). `on_list(kind, entries)` is
    called for each change of the list.
    """

    def __init__(
        self,
        loop: Loop,
        settings: EphemeralSettings,
        pools: bool,
        random: Callable[[], float],
        saved: SavedList,
        on_list: ListHandler,
        report: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.on_list = on_list
        self.report = report
        self.name = f"zookeeper:{settings.path}"
        self.rev = 0  # zxid of the newest transaction in the list
        self.starts = StartTimes()
        self.tracker = Membership(settings.hold, pools)
        self.refused: dict[str, str] = {}  # invalid node -> reason
        self.saved = saved
        self.primed = False  # all nodes were read once
        self.published = False
        self.read_at: dict[str, int] = {}  # node -> time of the last read
        self.update_timer: Optional[Timer] = None
        self.save_timer: Optional[Timer] = None
        self.mass_reported_at = -MASS_REPORT_INTERVAL_US
        self.expired_at: Optional[int] = None
        self.watcher = ChildrenWatcher(
            loop,
            settings.path,
            settings.recursive,
            lambda name: is_member(name, settings.form),
            self._on_nodes,
            report,
            random,
        )
        self.client = ZooKeeperClient(
            loop,
            list(settings.servers),
            settings.session_timeout,
            random,
            self._on_state,
            self.watcher.on_event,
            report,
            settings.auth,
            settings.read_only,
        )
        self.watcher.attach(self.client)
        self.state_since = loop.now()
        self.lost_at: Optional[int] = None
        self._load_saved()

    def _load_saved(self) -> None:
        """Publish the saved list until a server answers."""
        try:
            saved_list = self.saved.load()
        except (OSError, InvalidList) as error:
            self.report("saved_list_refused", reason=str(error))
            return
        if saved_list is not None:
            entries = self.starts.entries(self.loop.now(), saved_list.endpoints)
            self.loop.at(self.loop.now(), self._publish_restored, entries)

    def _publish_restored(self, entries: list[Entry]) -> None:
        if not self.published:
            self.on_list("restored", entries)

    @property
    def confirmed(self) -> Optional[int]:
        """Time of the last reply from a server with quorum while all nodes were read, None if never."""
        if not self.primed:
            return None
        if self.client.state == CONNECTED and not (self.watcher.list_dirty or self.watcher.dirty):
            return self.client.heard_at
        return self.lost_at

    def request_list(self) -> None:
        """Do nothing: the nodes are always watched."""

    def stop(self) -> None:
        self.watcher.stop()
        self.client.stop()
        if self.update_timer is not None:
            self.update_timer.cancel()
        if self.save_timer is not None:
            self.save_timer.cancel()
            self._save()

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """Record the outcomes of an endpoint, which decide whether a vanished endpoint is dead."""
        self.tracker.on_sums(self.loop.now(), endpoint, tries, aborted)
        if endpoint in self.tracker.gone:
            self._update_at(self.loop.now() + REEVALUATION_DELAY_US)

    # ---- nodes to list

    def _on_state(self, state: str) -> None:
        if state in (DISCONNECTED, SESSION_ENDED) and self.client.heard_at is not None:
            self.lost_at = self.client.heard_at
        if state == SESSION_ENDED:
            self.expired_at = self.loop.now()
        self.state_since = self.loop.now()
        self.report("source_state", state=state)
        self.watcher.on_state(state)

    def _on_nodes(self, seen: dict[str, NodeData], gone: set[str], full_read: bool) -> None:
        now = self.loop.now()
        nodes: dict[str, Node] = {}
        for name, raw in seen.items():
            self.read_at[name] = now
            node = self._parse_node(name, raw)
            if node is not None:  # an invalid write leaves the previous data in force
                nodes[name] = node
        if full_read:
            gone = set(self.tracker.nodes) - set(self.watcher.nodes)
            self.read_at = {name: self.read_at.get(name, now) for name in self.watcher.nodes}
            self.refused = {
                name: reason for name, reason in self.refused.items() if name in self.watcher.nodes
            }
            self.primed = True
        for name in gone:
            self.read_at.pop(name, None)
            self.refused.pop(name, None)
        self.tracker.on_nodes(now, nodes, gone)
        self.rev = max(self.rev, self.client.last_zxid)
        self._publish_changes()

    def _parse_node(self, name: str, raw: NodeData) -> Optional[Node]:
        try:
            member = read_member(raw.data, self.settings.form, self.settings.port_name)
        except InvalidNode as error:
            if self.refused.get(name) != str(error):
                self.refused[name] = str(error)
                if len(self.refused) <= MAX_REPORTED_NODES:
                    self.report("node_refused", node=f"{self.settings.path}/{name}", reason=str(error))
            return None
        self.refused.pop(name, None)
        return Node(
            member.endpoint,
            member.phase,
            member.size,
            member.zone,
            member.start,
            raw.owner,
            raw.creation_zxid,
        )

    def _publish_changes(self) -> None:
        """Publish pending changes, once all nodes have been read: a partial list would drop endpoints."""
        if not self.primed:
            return
        self._check_mass()
        changed, kind = self.tracker.take(self.loop.now()), "update" if self.published else "replace"
        if changed or not self.published:
            self.published = True
            listed = [self._listed(member) for member in changed]
            self._save_later(EndpointList(listed, kind))
            entries = self.starts.entries(self.loop.now(), listed)
            self.on_list(
                kind,
                [
                    entry._replace(late=round_up(member.late, TICK_US))
                    for entry, member in zip(entries, changed)
                ],
            )
        self._schedule_update()

    def _check_mass(self) -> None:
        """Schedule one report if many members vanished at once."""
        now = self.loop.now()
        mass = self.tracker.mass(now)
        if mass is not None and now - self.mass_reported_at >= MASS_REPORT_INTERVAL_US:
            self.mass_reported_at = now
            self.loop.at(now + MASS_REPORT_DELAY_US, self._report_mass, mass)

    def _report_mass(self, mass: MassVanishing) -> None:
        now = self.loop.now()
        mass = self.tracker.mass(now) or mass
        expired = self.expired_at is not None and now - self.expired_at <= 2 * self.client.timeout
        self.report(
            "mass_vanishing",
            vanished=mass.vanished,
            listed=mass.listed,
            acking=mass.acking,
            losing=mass.losing,
            own_session="expired too" if expired else "lived",
        )

    def _save_later(self, result: EndpointList) -> None:
        """Schedule a write of the list to disk."""
        self.saved.take(result)
        if self.save_timer is None:
            self.save_timer = self.loop.at(self.loop.now() + SAVE_DELAY_US, self._save)

    def _save(self) -> None:
        self.save_timer = None
        try:
            self.saved.write()
        except OSError as error:
            self.report("list_not_saved", reason=str(error))

    @staticmethod
    def _listed(member: MemberEntry) -> ListEntry:
        return ListEntry(member.endpoint, member.phase, member.size, member.zone, member.process)

    def _schedule_update(self) -> None:
        if self.update_timer is not None:
            self.update_timer.cancel()
            self.update_timer = None
        due = self.tracker.due()
        if due is not None:
            self._update_at(due)

    def _update_at(self, due: int) -> None:
        """Update at `due`, or earlier if an update is already scheduled."""
        if self.update_timer is None or self.update_timer.call is None or self.update_timer.at > due:
            if self.update_timer is not None:
                self.update_timer.cancel()
            self.update_timer = self.loop.at(due, self._publish_changes)

    # ---- status

    def status(self) -> dict[str, Any]:
        now, tracker, client = self.loop.now(), self.tracker, self.client
        rows = []
        for name, node in sorted(tracker.nodes.items()):
            rows.append(
                {
                    "node": name,
                    "endpoint": node.endpoint,
                    "phase": node.phase,
                    "size": node.size,
                    "zone": node.zone,
                    "start": node.start,
                    "session": f"{node.owner:#x}",
                    "age_s": (now - self.read_at.get(name, now)) / 1e6,
                }
            )
        held = [
            {"endpoint": name, "since_s": (now - one.since) / 1e6, "in_doubt": name in tracker.retained}
            for name, one in sorted(tracker.gone.items())
        ]
        server = "" if client.server is None else f"{client.server[0]}:{client.server[1]}"
        heard = None if client.heard_at is None else (now - client.heard_at) / 1e6
        return {
            "source": self.name,
            "state": client.state,
            "state_since_s": (now - self.state_since) / 1e6,
            "server": server,
            "heard_s": heard,
            "session": f"{client.session:#x}",
            "timeout_ms": client.timeout // 1000,
            "zxid": f"{client.last_zxid:#x}",
            "watch": "recursive" if self.watcher.recursive else "one-shot",
            "denied": self.watcher.denied_reason,
            "members": rows,
            "vanished": held,
            "refused": [
                {"node": name, "reason": reason}
                for name, reason in sorted({**self.refused, **self.watcher.denied_nodes}.items())
            ],
            "counts": {**client.counts, **tracker.counts},
        }


__all__ = ["EphemeralSource", "EphemeralSettings"]
