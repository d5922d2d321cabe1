"""Derives the endpoint list from the members' ephemeral nodes. No I/O; times are microseconds, passed in.

An endpoint may have two nodes (an expiring session and its replacement) or none for a moment (a session that
expired while the process lived). This module decides:

- which node defines an endpoint: the newest;
- when a vanished endpoint is removed from the list: at once if it had drained or if ops there are being lost,
  otherwise after a hold time within which it may return. The drain grace runs from the vanishing, so the
  removal says how long it was held back;
- whether a node that returns belongs to another process;
- that vanished nodes alone never empty a pool whose endpoints still ack: the last ones are retained.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, Optional

# An endpoint absent for longer counts as restarted, unless it acked meanwhile
# A session is renewed within seconds of its expiry, no machine boots so soon.
SAME_PROCESS_WITHIN_US = 10_000_000
MAX_OUTCOMES = 8  # newest reports kept for an endpoint; a few periods from a handful of zones
OUTCOMES_FRESH_US = 10_000_000  # older reports are ignored
LOSS_SHARE = 0.5  # share of ops aborted from which a vanished endpoint counts as dead
MIN_LOSS_OPS = 4  # ops needed to judge an endpoint; fewer are chance
MASS_WINDOW_US = 2_000_000  # endpoints that vanish within this time count as one event
MIN_MASS_ENDPOINTS = 3  # two at once are chance
MIN_MASS_SHARE = 0.2  # of the listed endpoints; above the batch size of a rolling deploy

ON, FADING, OFF = "on", "fading", "off"


class Node(NamedTuple):
    """A member's node. `start`: as stated by the node, or "". `owner`: the session id. `created_zxid`: its
    creating transaction.
    """

    endpoint: str
    phase: str
    size: float
    zone: str
    start: str
    owner: int
    created_zxid: int


class MemberEntry(NamedTuple):
    """A list entry as published. `process` distinguishes successive processes of the endpoint; `late`: us for
    which a removal was held back.
    """

    endpoint: str
    phase: str
    size: float
    zone: str
    process: str
    late: int = 0


class VanishedEndpoint(NamedTuple):
    """An endpoint without a node: when it vanished, until when it is held (us), and its last entry."""

    since: int
    until: int
    last: MemberEntry


class MassVanishing(NamedTuple):
    """Endpoints that vanished together: how many, of how many listed, and how many ack or lose ops since."""

    vanished: int
    listed: int
    acking: int
    losing: int


class EndpointHistory:
    """What is known of one endpoint besides its nodes."""

    def __init__(self) -> None:
        self.process = ""  # identifier that the list gives the process
        self.start = ""  # start as stated by the node, or ""
        self.generation = 0
        self.owner = 0
        self.absent_since: Optional[int] = None  # us
        self.outcomes: deque[tuple[int, int, int]] = deque(maxlen=MAX_OUTCOMES)  # (heard at, tries, aborted)

    def outcomes_since(self, since: int) -> tuple[int, int]:
        """Return (tries, aborted) of the reports heard since `since`."""
        got = [one for one in self.outcomes if one[0] >= since]
        return sum(one[1] for one in got), sum(one[2] for one in got)


class Membership:
    """The endpoint list as published, derived from nodes and op outcomes.

    `hold_us`: how long a vanished endpoint stays listed. `zone_pools`: whether each zone is a pool of its
    own; otherwise all endpoints are one pool.
    """

    def __init__(self, hold_us: int, zone_pools: bool = False) -> None:
        self.hold_us = hold_us
        self.zone_pools = zone_pools
        self.nodes: dict[str, Node] = {}  # by node name
        self.nodes_by_endpoint: dict[str, set[str]] = {}
        self.endpoints: dict[str, EndpointHistory] = {}
        self.gone: dict[str, VanishedEndpoint] = {}  # vanished, removal not yet published
        self.retained: set[str] = set()  # listed only because their pool would be empty
        self.published: dict[str, MemberEntry] = {}
        self.counts = {"vanished": 0, "returned": 0, "told_gone": 0, "doubted": 0, "restarts": 0}

    # ---- input

    def on_nodes(self, now: int, seen: dict[str, Node], gone: set[str]) -> None:
        """Apply new or changed nodes and removed ones."""
        affected = set()
        for name, node in sorted(seen.items(), key=lambda row: row[1].created_zxid):
            affected |= self._add_node(now, name, node)
        for name in sorted(gone):
            affected |= self._remove_node(name)
        for endpoint in sorted(affected):
            self._update_vanished(now, endpoint)

    def on_sums(self, now: int, endpoint: str, tries: int, aborted: int) -> None:
        """Record the ops that proxies tried at an endpoint, and how many of them aborted."""
        if endpoint in self.endpoints and tries > 0:
            self.endpoints[endpoint].outcomes.append((now, tries, aborted))

    def _add_node(self, now: int, name: str, node: Node) -> set[str]:
        """Store a node; return the affected endpoints."""
        before = self.nodes.get(name)
        affected = {node.endpoint}
        if before is not None and before.endpoint != node.endpoint:
            affected |= self._remove_node(name)
        history = self.endpoints.setdefault(node.endpoint, EndpointHistory())
        self._identify_process(now, history, node)
        self.nodes[name] = node
        self.nodes_by_endpoint.setdefault(node.endpoint, set()).add(name)
        return affected

    def _remove_node(self, name: str) -> set[str]:
        """Drop a node; return the affected endpoints."""
        node = self.nodes.pop(name, None)
        if node is None:
            return set()
        names = self.nodes_by_endpoint[node.endpoint]
        names.discard(name)
        if not names:
            del self.nodes_by_endpoint[node.endpoint]
        return {node.endpoint}

    def _identify_process(self, now: int, history: EndpointHistory, node: Node) -> None:
        """Detect whether a node belongs to another process than the known one.

        A start stated by the node decides. Otherwise two concurrent sessions are two processes, and a
        returning endpoint is the same process if it was absent briefly or acked in the meantime.
        """
        if not history.process:
            history.process, history.start, history.owner = node.start or "0", node.start, node.owner
            return
        if node.owner == history.owner and node.start == history.start:
            return
        live_nodes = [
            self.nodes[n]
            for n in self.nodes_by_endpoint.get(node.endpoint, ())
            if self.nodes[n].owner == history.owner
        ]
        if node.start or history.start:
            restarted = node.start != history.start
        elif live_nodes:
            restarted = node.created_zxid > max(one.created_zxid for one in live_nodes)
        else:
            restarted = not self._same_after_absence(now, history)
        if restarted:
            history.generation += 1
            history.process = node.start or str(history.generation)
            self.counts["restarts"] += 1
        history.start, history.owner = node.start, node.owner

    @staticmethod
    def _same_after_absence(now: int, history: EndpointHistory) -> bool:
        left = history.absent_since if history.absent_since is not None else now
        tries, aborted = history.outcomes_since(left)
        if tries >= MIN_LOSS_OPS:
            return aborted < LOSS_SHARE * tries
        return now - left <= SAME_PROCESS_WITHIN_US

    def _update_vanished(self, now: int, endpoint: str) -> None:
        """Mark an endpoint as present, held back or gone after its nodes have changed."""
        entry = self._entry(endpoint)
        if entry is not None and entry.phase != OFF:
            if self.gone.pop(endpoint, None) is not None:
                self.counts["returned"] += 1
            self.retained.discard(endpoint)
            self.endpoints[endpoint].absent_since = None
            return
        last = self.published.get(endpoint)
        if last is None or last.phase == OFF or endpoint in self.gone:
            return
        self.counts["vanished"] += 1
        history = self.endpoints[endpoint]
        history.absent_since = now
        # A node that is off, or that drained before, is removed at once.
        held = self.hold_us if entry is None and last.phase == ON else 0
        self.gone[endpoint] = VanishedEndpoint(now, now + held, last)

    def _entry(self, endpoint: str) -> Optional[MemberEntry]:
        """Return the list entry defined by the newest node of an endpoint."""
        names = self.nodes_by_endpoint.get(endpoint)
        if not names:
            return None
        node = max((self.nodes[name] for name in names), key=lambda one: one.created_zxid)
        return MemberEntry(endpoint, node.phase, node.size, node.zone, self.endpoints[endpoint].process)

    def mass(self, now: int) -> Optional[MassVanishing]:
        """Return the number and op outcomes of endpoints that vanished lately, if they are unusually many.

        A deploy, a partition between members and servers, and servers that lost all sessions look alike by
        number; op outcomes since then distinguish them.
        """
        recent = [
            endpoint
            for endpoint, one in self.gone.items()
            if now - one.since <= MASS_WINDOW_US and one.last.phase == ON
        ]
        listed = sum(one.phase == ON for one in self.published.values())
        if len(recent) < max(MIN_MASS_ENDPOINTS, MIN_MASS_SHARE * listed):
            return None
        outcomes = [self.endpoints[endpoint].outcomes_since(self.gone[endpoint].since) for endpoint in recent]
        losing = sum(tries >= MIN_LOSS_OPS and aborted >= LOSS_SHARE * tries for tries, aborted in outcomes)
        acking = sum(tries >= MIN_LOSS_OPS and aborted < LOSS_SHARE * tries for tries, aborted in outcomes)
        return MassVanishing(len(recent), listed, acking, losing)

    # ---- output

    def due(self) -> Optional[int]:
        """Return when the next hold ends (us); None without one. Retained endpoints have no deadline."""
        return min((one.until for name, one in self.gone.items() if name not in self.retained), default=None)

    def take(self, now: int) -> list[MemberEntry]:
        """Return the entries that changed since the last call."""
        listed = {
            endpoint: entry
            for endpoint in self.nodes_by_endpoint
            if (entry := self._entry(endpoint)) is not None
        }
        for endpoint, one in sorted(self.gone.items()):
            held = (
                endpoint not in self.retained
                and now < one.until
                and not self._is_losing_ops(now, endpoint, one)
            )
            if held:
                listed[endpoint] = one.last
        for endpoint in self._retain_last_of_pool(now, listed):
            listed[endpoint] = self.gone[endpoint].last
        since: dict[str, int] = {}
        for endpoint in [
            name for name in sorted(self.gone) if name not in listed or listed[name].phase == OFF
        ]:
            since[endpoint] = self.gone.pop(endpoint).since
            self.retained.discard(endpoint)
            self.counts["told_gone"] += 1
        changed = [
            entry
            for endpoint, entry in sorted(listed.items())
            if self.published.get(endpoint) != entry and (entry.phase != OFF or endpoint in self.published)
        ]
        left = [
            entry._replace(phase=OFF)
            for endpoint, entry in sorted(self.published.items())
            if endpoint not in listed and entry.phase != OFF
        ]
        for entry in changed + left:
            self.published[entry.endpoint] = entry
        return changed + [entry._replace(late=now - since.get(entry.endpoint, now)) for entry in left]

    def _is_losing_ops(self, now: int, endpoint: str, one: VanishedEndpoint) -> bool:
        tries, aborted = self.endpoints[endpoint].outcomes_since(max(one.since, now - OUTCOMES_FRESH_US))
        return tries >= MIN_LOSS_OPS and aborted >= LOSS_SHARE * tries

    def _pool_of(self, entry: MemberEntry) -> str:
        return entry.zone if self.zone_pools else ""

    def _retain_last_of_pool(self, now: int, listed: dict[str, MemberEntry]) -> list[str]:
        """Return the vanished endpoints that still ack in pools which would be empty without them. Drained
        ones are never retained.
        """
        full = {self._pool_of(entry) for entry in listed.values() if entry.phase == ON}
        found = []
        for endpoint, one in sorted(self.gone.items()):
            retain = (
                endpoint not in listed
                and one.last.phase == ON
                and self._pool_of(one.last) not in full
                and self._is_acking(now, endpoint, one)
            )
            if retain:
                found.append(endpoint)
        self.counts["doubted"] += len(set(found) - self.retained)
        self.retained = set(found)
        return found

    def _is_acking(self, now: int, endpoint: str, one: VanishedEndpoint) -> bool:
        """Whether recent ops succeed there; before the first report after the vanishing, earlier reports
        count.
        """
        tries, aborted = self.endpoints[endpoint].outcomes_since(max(one.since, now - OUTCOMES_FRESH_US))
        if not tries:
            tries, aborted = self.endpoints[endpoint].outcomes_since(now - OUTCOMES_FRESH_US)
        return tries > 0 and aborted < LOSS_SHARE * tries


__all__ = ["MassVanishing", "MemberEntry", "Membership", "Node"]
