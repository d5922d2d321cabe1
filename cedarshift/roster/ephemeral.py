"""The list read from ephemeral nodes: a client, a follower of the members' path, and the judgement between them and the
module. It has the calls of the other sources, and hears the data plane's sums beside."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, Optional

from cedarshift.interface import Entry
from cedarshift.judge.membership import MassVanishing, MemberEntry, Membership, Node
from cedarshift.loop import Loop
from cedarshift.loop.core import Timer
from cedarshift.roster.entries import UNIT, Listed, ListRefused, Starts, WholeList
from cedarshift.roster.formats import NodeRefused, is_member, read_member
from cedarshift.roster.members import Follower, Raw
from cedarshift.roster.sources import SavedList, Tell
from cedarshift.roster.zookeeper import CONNECTED, GONE, LOST, ZooClient
from cedarshift.units import round_up

MASS_AGAIN = 5_000_000  # us; one report for each vanishing
MASS_LOOK = 500_000  # us after it was noticed
SOON = 20_000  # us; sums come in bursts, and each look goes over the whole list
SAVE_WITHIN = 1_000_000  # us after a change
REFUSED_SHOWN = 20  # broken nodes named in a report


class EphemeralTerms(NamedTuple):
    """Where the members' nodes are and how to read them. Spans in us; `auth` are (scheme, credential) pairs."""

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
    """`chance()` draws from 0 to 1: for the order of servers and for waits. `pools`: each zone is one of its own."""

    def __init__(
        self,
        loop: Loop,
        terms: EphemeralTerms,
        pools: bool,
        chance: Callable[[], float],
        saved: SavedList,
        tell: Tell,
        report: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.terms = terms
        self.tell = tell
        self.report = report
        self.name = f"zookeeper:{terms.path}"
        self.rev = 0  # the newest transaction that is in the list
        self.starts = Starts()
        self.judge = Membership(terms.hold, pools)
        self.refused: dict[str, str] = {}  # nodes that can't be read, and why
        self.saved = saved
        self.primed = False  # everything was read once
        self.whole_told = False
        self.seen_at: dict[str, int] = {}  # node -> when it was last read or heard of
        self.timer: Optional[Timer] = None
        self.saving: Optional[Timer] = None
        self.mass_at = -MASS_AGAIN
        self.expired_at: Optional[int] = None
        self.follower = Follower(
            loop,
            terms.path,
            terms.recursive,
            lambda name: is_member(name, terms.form),
            self._nodes,
            report,
            chance,
        )
        self.client = ZooClient(
            loop,
            list(terms.servers),
            terms.session_timeout,
            chance,
            self._state,
            self.follower.on_event,
            report,
            terms.auth,
            terms.read_only,
        )
        self.follower.attach(self.client)
        self.state_since = loop.now()
        self.lost_at: Optional[int] = None
        self._restore()

    def _restore(self) -> None:
        """What the last life kept is better than nothing while no server answers."""
        try:
            kept = self.saved.restore()
        except (OSError, ListRefused) as error:
            self.report("saved_list_refused", reason=str(error))
            return
        if kept is not None:
            entries = self.starts.entries(self.loop.now(), kept.endpoints)
            self.loop.at(self.loop.now(), self._tell_restored, entries)

    def _tell_restored(self, entries: list[Entry]) -> None:
        if not self.whole_told:
            self.tell("restored", entries)

    @property
    def confirmed(self) -> Optional[int]:
        """When a server of the ensemble's majority last answered with all read; a server that is cut off confirms nothing."""
        if not self.primed:
            return None
        if self.client.state == CONNECTED and not (self.follower.list_dirty or self.follower.dirty):
            return self.client.heard_at
        return self.lost_at

    def ask(self) -> None:
        """The nodes are watched anyway."""

    def stop(self) -> None:
        self.follower.stop()
        self.client.stop()
        if self.timer is not None:
            self.timer.cancel()
        if self.saving is not None:
            self.saving.cancel()
            self._save()

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """What the proxies met there; it decides whether a vanished endpoint is dead."""
        self.judge.on_sums(self.loop.now(), endpoint, tries, aborted)
        if endpoint in self.judge.gone:
            self._look_at(self.loop.now() + SOON)

    # ---- from the nodes to the list

    def _state(self, state: str) -> None:
        if state in (LOST, GONE) and self.client.heard_at is not None:
            self.lost_at = self.client.heard_at
        if state == GONE:
            self.expired_at = self.loop.now()
        self.state_since = self.loop.now()
        self.report("source_state", state=state)
        self.follower.on_state(state)

    def _nodes(self, seen: dict[str, Raw], gone: set[str], whole: bool) -> None:
        now = self.loop.now()
        nodes: dict[str, Node] = {}
        for name, raw in seen.items():
            self.seen_at[name] = now
            node = self._read(name, raw)
            if (
                node is not None
            ):  # one that can't be read any more keeps what it said last: a bad write must not
                nodes[name] = node  # take an endpoint away
        if whole:
            gone = set(self.judge.nodes) - set(self.follower.nodes)
            self.seen_at = {name: self.seen_at.get(name, now) for name in self.follower.nodes}
            self.refused = {name: why for name, why in self.refused.items() if name in self.follower.nodes}
            self.primed = True
        for name in gone:
            self.seen_at.pop(name, None)
            self.refused.pop(name, None)
        self.judge.on_nodes(now, nodes, gone)
        self.rev = max(self.rev, self.client.last_zxid)
        self._hand_on()

    def _read(self, name: str, raw: Raw) -> Optional[Node]:
        try:
            member = read_member(raw.data, self.terms.form, self.terms.port_name)
        except NodeRefused as error:
            if self.refused.get(name) != str(error):
                self.refused[name] = str(error)
                if len(self.refused) <= REFUSED_SHOWN:
                    self.report("node_refused", node=f"{self.terms.path}/{name}", reason=str(error))
            return None
        self.refused.pop(name, None)
        return Node(
            member.endpoint, member.phase, member.size, member.zone, member.start, raw.owner, raw.born
        )

    def _hand_on(self) -> None:
        """Nothing before all was read once: half a list would call the other half's owners gone."""
        if not self.primed:
            return
        self._tell_of_mass()
        changed, kind = self.judge.take(self.loop.now()), "update" if self.whole_told else "replace"
        if changed or not self.whole_told:
            self.whole_told = True
            listed = [self._listed(told) for told in changed]
            self._keep(WholeList(listed, kind))
            entries = self.starts.entries(self.loop.now(), listed)
            self.tell(
                kind,
                [entry._replace(late=round_up(told.late, UNIT)) for entry, told in zip(entries, changed)],
            )
        self._look_again()

    def _tell_of_mass(self) -> None:
        """Once for each vanishing of many, a moment later: by then it shows whether this pilot's session expired too."""
        now = self.loop.now()
        mass = self.judge.mass(now)
        if mass is not None and now - self.mass_at >= MASS_AGAIN:
            self.mass_at = now
            self.loop.at(now + MASS_LOOK, self._report_mass, mass)

    def _report_mass(self, mass: MassVanishing) -> None:
        now = self.loop.now()
        mass = self.judge.mass(now) or mass
        expired = self.expired_at is not None and now - self.expired_at <= 2 * self.client.timeout
        self.report(
            "mass_vanishing",
            vanished=mass.vanished,
            listed=mass.listed,
            acking=mass.acking,
            losing=mass.losing,
            own_session="expired too" if expired else "lived",
        )

    def _keep(self, got: WholeList) -> None:
        """Nodes change one by one, and a write is the whole list with a sync: many changes make one write, a moment later."""
        self.saved.take(got)
        if self.saving is None:
            self.saving = self.loop.at(self.loop.now() + SAVE_WITHIN, self._save)

    def _save(self) -> None:
        self.saving = None
        try:
            self.saved.write()
        except OSError as error:
            self.report("list_not_saved", reason=str(error))

    @staticmethod
    def _listed(told: MemberEntry) -> Listed:
        return Listed(told.endpoint, told.phase, told.size, told.zone, told.process)

    def _look_again(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.judge.due()
        if due is not None:
            self._look_at(due)

    def _look_at(self, due: int) -> None:
        """At the earliest of what was asked for."""
        if self.timer is None or self.timer.call is None or self.timer.at > due:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.at(due, self._hand_on)

    # ---- for people

    def shown(self) -> dict[str, Any]:
        now, judge, client = self.loop.now(), self.judge, self.client
        rows = []
        for name, node in sorted(judge.nodes.items()):
            rows.append(
                {
                    "node": name,
                    "endpoint": node.endpoint,
                    "phase": node.phase,
                    "size": node.size,
                    "zone": node.zone,
                    "start": node.start,
                    "session": f"{node.owner:#x}",
                    "age_s": (now - self.seen_at.get(name, now)) / 1e6,
                }
            )
        held = [
            {"endpoint": name, "since_s": (now - one.since) / 1e6, "in_doubt": name in judge.retained}
            for name, one in sorted(judge.gone.items())
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
            "watch": "recursive" if self.follower.recursive else "one-shot",
            "denied": self.follower.denied,
            "members": rows,
            "vanished": held,
            "refused": [
                {"node": name, "reason": why}
                for name, why in sorted({**self.refused, **self.follower.unreadable}.items())
            ],
            "counts": {**client.counts, **judge.counts},
        }


__all__ = ["EphemeralSource", "EphemeralTerms"]
