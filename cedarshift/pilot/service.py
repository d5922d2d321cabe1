"""The pilot service: passes inputs to the decision module and publishes its decisions to the proxies.

Single ownership depends on the order of steps: the store commits a batch of decisions before any proxy
receives it, and a joining proxy receives a snapshot of the committed state before any later order. An ack
of a mark therefore covers everything the store held when the mark was ordered. A mark is a number that the
decision module puts into an order; a proxy acks it once it has applied that order and all earlier ones.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Any, Callable, Iterable, Optional, Union

import msgspec

from cedarshift.brain import ALL_TABLES, Pilot
from cedarshift.budgets.pilot import PilotBudgets
from cedarshift.budgets.terms import HEARTBEATS_PER_LEASE
from cedarshift.codec import Busy, Identity, OutOfOrder, Refused, Session
from cedarshift.codec import messages as m
from cedarshift.codec.frames import MAX_FRAME_BYTES, encode, encode_order, pack_rows
from cedarshift.deployment import Deployment
from cedarshift.deployment.deployment import RosterSettings
from cedarshift.gossip.service import Membership
from cedarshift.interface import Entry, pull_decisions
from cedarshift.judge.admission import JoinLimiter
from cedarshift.judge.trust import OwnEntry, PhaseReport
from cedarshift.link import Link, serve
from cedarshift.loop import Listener, Loop, StreamBroken
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.overload.pilot import PilotOverload
from cedarshift.pilot.channel import PacedChannel
from cedarshift.pilot.intake import Intake, SliceTotals, ZoneTotals
from cedarshift.pilot.learning import Learning
from cedarshift.pilot.lending import Lending
from cedarshift.pilot.store_client import StoreClient
from cedarshift.pilot.terms import TICK_US, module_config, round_down, round_up
from cedarshift.roster import EphemeralSettings, EphemeralSource, FileSource, ServiceSource
from cedarshift.roster.sources import SavedList

MAX_MESSAGES_PER_S = 400  # from one proxy
MIN_REPORT_BYTES = 131_072  # allowed in a proxy's message, besides its rows
REPORT_ROW_BYTES = 320  # of a report on an endpoint, whose name has up to 256 characters; of a slice, less
MAX_PENDING_MARKS = 256  # unacked marks remembered per proxy session
JOURNAL_SIZE = 200  # latest decisions, for `cedarshift tables`
JOIN_BURSTS_PER_S = 4  # a burst of joins is one second's joins divided by this


def ephemeral_terms(nodes: RosterSettings) -> EphemeralSettings:
    """Converts the deployment's block on ephemeral nodes to the settings of their source."""
    return EphemeralSettings(
        nodes.servers,
        nodes.path,
        nodes.session_timeout,
        nodes.format,
        nodes.port_name,
        nodes.watch == "recursive",
        nodes.read_only,
        nodes.hold,
        nodes.auth,
    )


class ProxySession:
    """One joined proxy. `number` identifies the proxy to the decision module and is stable across rejoins."""

    def __init__(self, number: int, name: str, link: Link, zone: str) -> None:
        self.number = number
        self.name = name
        self.link = link
        self.zone = zone
        self.seq = 0  # of the last order sent
        self.table = -1  # installed table, in deployments without slices
        self.marks: deque[int] = deque(maxlen=MAX_PENDING_MARKS)  # sent and not acked yet
        self.ordered_at: dict[int, int] = {}  # mark -> time of the decision (us)


class DecisionBatch:
    """Decisions of the module that are committed and sent to the proxies together."""

    def __init__(self, decided_at: int) -> None:
        self.decided_at = decided_at  # us
        self.lines: list[m.Line] = []
        self.levels: list[m.Level] = []
        self.mark: Optional[int] = None
        self.installs: dict[int, int] = {}  # proxy -> table, in deployments without slices

    def row_count(self) -> int:
        """Returns the lines that the batch takes on the channel, levels included."""
        return len(self.lines) + len(self.levels)


def is_unwritten(former: m.SliceState, row: m.SliceState) -> bool:
    """Whether a row has had no owner and no write since its former state: each assignment and each write
    counts its version up by one, and the present assignment is one.
    """
    return not former.owner and not row.owner and row.version == former.version + 1


class PilotService:
    """Runs one pilot.

    `seed` seeds its random numbers, `challenge()` returns random bytes for a handshake, and
    `report(event, **fields)` logs an event.
    """

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        deployment: Deployment,
        name: str,
        seed: int,
        report: Callable[..., None],
        challenge: Callable[[], bytes] = lambda: b"",
    ) -> None:
        self.loop = loop
        self.listener = listener
        self.deployment = deployment
        self.settings = deployment.pilot(name)
        self.name = name
        self.report = report
        self.challenge = challenge
        number = [p.name for p in deployment.pilots].index(name)
        self.brain = Pilot(module_config(deployment, number, seed))
        self.rng = random.Random(seed)
        self.identity = Identity(deployment.name, "pilot", name, self.settings.zone, deployment.secret)
        channel = deployment.channel
        self.channel: PacedChannel = PacedChannel(
            channel.lines_per_s,
            channel.lines_waiting_most,
            channel.lines_per_message,
            channel.messages_most,
            channel.messages_span,
        )
        self.intake = Intake(deployment.intake_per_s, deployment.proxy.report_every, loop.now())
        self.numbers: dict[str, int] = {}  # proxy id -> number
        self.proxies: dict[int, ProxySession] = {}
        self.slices: dict[int, m.SliceState] = {}  # assigned to this pilot, as committed by the store
        self.former_slices: dict[int, m.SliceState] = {}  # taken from this pilot, as they were then
        self.tables: dict[int, dict[str, float]] = {}  # table -> endpoint -> weight, without slices
        self.levels: list[m.Level] = []  # levels that apply to all tables
        self.listed: dict[str, Entry] = {}  # the endpoint list as its source reports it
        self.list_rev = 0  # lists and updates received
        self.snapshot_frame: Optional[bytes] = None  # cache, None after a change
        self.session_count = 0  # peers accepted, numbers their sessions
        self.pulling = False  # whether _pull_decisions runs, which may call back into this object
        self.channel_waker: Optional[Waker] = None  # set while the channel is empty
        self.counts = {
            "turns": 0,
            "lines": 0,
            "messages": 0,
            "acks": 0,
            "denied": 0,
            "joins": 0,
            "refused": 0,
            "unknown_endpoints": 0,  # reports on them, which are dropped
        }
        # Latest delays from a decision to its ack, less the time the proxy held the ack back.
        self.in_force_us: deque[int] = deque(maxlen=10_000)
        self.journal: deque[tuple[int, tuple]] = deque(maxlen=JOURNAL_SIZE)  # (decided at us, decision)
        self.store: Optional[StoreClient] = None
        # The entries as passed to the decision module, with borrowed warnings applied.
        self.applied_entries: dict[str, Entry] = {}
        self.borrowed_sick_until: dict[str, int] = {}  # end of sicknesses reported by peers, in ticks
        self.observed_endpoints: set[str] = set()  # endpoints with first-hand reports
        self.proxy_op_rates: dict[int, float] = {}  # ops per second of each proxy, from its newest report
        incarnation = f"{name}#{seed:016x}"
        # Set by the caller if the deployment configures them.
        self.membership: Optional[Membership] = None
        self.budgets: Optional[PilotBudgets] = None
        self.overload: Optional[PilotOverload] = None
        self.join_limiter = JoinLimiter(
            deployment.proxy.joins_per_s,
            max(1.0, deployment.proxy.joins_per_s / JOIN_BURSTS_PER_S),
            loop.now(),
        )
        self.lease_expires_at: dict[str, int] = {}  # departed proxy -> latest end of its lease (us)
        self.lending: Optional[Lending] = Lending(self, incarnation) if deployment.learn else None
        self.learning: Optional[Learning] = None
        self.source = self._source(deployment)
        if deployment.learn is not None:
            self.learning = Learning(self, deployment.learn, incarnation)
        self.tasks = [
            loop.spawn(self._pump(), "channel"),
            loop.spawn(self._drain_intake(), "intake"),
            loop.spawn(serve(loop, listener, self._new_session, self._handle_connection, report), "accept"),
        ]
        self._schedule_alarm(0, 0)

    def _source(self, deployment: Deployment) -> Union[FileSource, ServiceSource, EphemeralSource]:
        """Creates the configured source of the endpoint list."""
        listed = deployment.listed
        if listed.nodes is not None:
            pools = any(op.own_zone for op in deployment.op_types)
            return EphemeralSource(
                self.loop,
                ephemeral_terms(listed.nodes),
                pools,
                self.rng.random,
                SavedList(deployment.resolve_path(listed.saved)),
                self.on_list,
                self.report,
            )
        if listed.service is not None:
            saved = SavedList(deployment.resolve_path(listed.saved))
            return ServiceSource(
                self.loop,
                listed.service,
                self.name,
                listed.asks,
                saved,
                self.on_list,
                self.report,
                self.rng.random,
                self._may_call,
            )
        return FileSource(
            self.loop, deployment.resolve_path(listed.file), listed.refresh, self.on_list, self.report
        )

    def _may_call(self) -> Coroutine:
        """Waits until the budget for calls to the list service allows one."""
        if self.budgets is not None:
            yield from self.budgets.spend("list_calls")

    def reload(self, deployment: Deployment) -> None:
        """Applies the settings that may change at run time: the intake rate and the source of the list."""
        self.intake.lines_per_s = deployment.intake_per_s
        if deployment.listed != self.deployment.listed:
            self.source.stop()
            self.deployment = deployment
            self.source = self._source(deployment)
        self.deployment = deployment

    def stop(self) -> None:
        """Stops the pilot. Its slices are released, so the store may assign them to another one at once."""
        if self.store is not None:
            self.store.stop()
        for session in list(self.proxies.values()):
            session.link.close("stopping", f"pilot {self.name} stops")
        for task in self.tasks:
            task.cancel()
        if self.learning is not None:
            self.learning.stop()
        if self.overload is not None:
            self.overload.stop()
        self.source.stop()
        self.listener.close()

    # ---- endpoint list

    def on_list(self, kind: str, entries: list[Entry]) -> None:
        """Handles a list from the source.

        `kind` is "replace" (a full list), "restored" (a saved list), "update" (changed entries) or
        "unavailable" (no entries).
        """
        if kind in ("replace", "restored"):
            self.listed = {}
        self.listed.update({e.endpoint: e for e in entries})
        effective = self._overlaid_entries()
        if kind in ("replace", "restored"):
            self.applied_entries = {}
        self.applied_entries.update({e.endpoint: effective[e.endpoint] for e in entries})
        self.brain.on_list(self._now_ticks(), kind, [effective[e.endpoint] for e in entries])
        if kind != "unavailable":
            self.list_rev += 1
            self.report("list", kind=kind, endpoints=len(self.listed))
            if self.budgets is not None:
                self.budgets.on_list()
            self._open_store()
        self._pull_decisions()

    # ---- facts learnt from peers, if the deployment has a block `learn`

    def _overlaid_entries(self) -> dict[str, Entry]:
        """Returns the listed entries with borrowed warnings and start times applied."""
        if self.learning is None:
            return self.listed
        starts, confirmed = self.source.starts.known, self.source.confirmed or 0
        own = {
            name: OwnEntry(
                entry.phase,
                starts.get(name, ("", None))[0],
                entry.started,
                self.source.rev,
                self.source.name,
                confirmed,
            )
            for name, entry in self.listed.items()
        }
        return self.learning.overlay(own, self.listed)

    def apply_learnt_facts(self) -> None:
        """Passes changed warnings, borrowed stats and sickness to the decision module."""
        assert self.learning is not None
        effective = self._overlaid_entries()
        changed = [
            entry for name, entry in sorted(effective.items()) if self.applied_entries.get(name) != entry
        ]
        now = self._now_ticks()
        if changed:
            self.applied_entries.update({entry.endpoint: entry for entry in changed})
            self.brain.on_list(now, "update", changed)
        for heard, name, stats in self.learning.take_endpoint_stats(self.observed_endpoints):
            self.brain.on_endpoint_report(
                round_down(heard),
                name,
                stats.zone,
                stats.tries,
                min(stats.aborted, stats.tries),
                round_up(stats.took),
                round_up(stats.span),
            )
        running = [name for name, entry in effective.items() if entry.phase == "on"]
        for name, until in sorted(self.learning.sick_endpoints(running, self.observed_endpoints).items()):
            self.borrowed_sick_until[name] = round_up(until)
            self.brain.on_sick_warning(now, name, round_up(until))
        self._pull_decisions()

    def on_borrowed_list(self, entries: list[Entry]) -> None:
        """Uses a peer's list while this pilot's own source delivers none."""
        self.brain.on_list(self._now_ticks(), "update" if self.applied_entries else "restored", entries)
        self.applied_entries.update({e.endpoint: e for e in entries})
        self._open_store()

    def borrowed_endpoints(self) -> set[str]:
        """Returns the endpoints that peers have reported on."""
        return set(self.learning.trust.sources) if self.learning is not None else set()

    def borrowed_reports(self, name: str) -> list[tuple[str, PhaseReport]]:
        """Returns the borrowed reports on an endpoint's phase as (source, report)."""
        if self.learning is None:
            return []
        trust = self.learning.trust
        return [
            (source, report)
            for source in sorted(trust.sources.get(name, ()))
            for reports in (trust.good, trust.bad)
            if (report := reports.get((name, source))) is not None
        ]

    def proxy_rate(self, session: ProxySession) -> float:
        """Returns the ops per second that a proxy reported last."""
        return round(self.proxy_op_rates.get(session.number, 0.0), 2)

    # ---- store

    def _open_store(self) -> None:
        """Opens the store session once a list is known, since owners that are not listed count as gone."""
        store_settings = self.deployment.store
        if (
            self.store is None
            and store_settings is not None
            and (self.deployment.slices or self.budgets is not None)
        ):
            number = [p.name for p in self.deployment.pilots].index(self.name)
            self.store = StoreClient(
                self.loop,
                store_settings.listen,
                self.identity,
                number,
                self,
                self.report,
                self.challenge,
                self.budgets,
                rng=self.rng.random,
            )

    def on_slices_assigned(self, rows: list[m.SliceState]) -> None:
        """The store has assigned slices to this pilot."""
        now = self._now_ticks()
        for row in rows:
            self.slices[row.slice] = row
            self.brain.on_slice_assigned(now, row.slice, True)
            former = self.former_slices.pop(row.slice, None)
            if row.owner:
                self.brain.on_stored_owner(now, row.slice, row.owner)
            elif former is not None and is_unwritten(former, row):
                self.brain.on_slice_unwritten(now, row.slice)
            for heard, slice_stats in (
                self.learning.take_slice_stats(row.slice) if self.learning is not None else ()
            ):
                self.brain.on_slice_report(
                    round_down(heard),
                    row.slice,
                    slice_stats.op_type,
                    slice_stats.ops,
                    slice_stats.unanswered,
                    round_up(slice_stats.span),
                )
        self.report("given", slices=len(rows))
        self._broadcast(m.SliceAssignment(given=rows))
        self._pull_decisions()

    def on_slices_revoked(self, slices: list[int]) -> None:
        """The store takes slices back from this pilot."""
        now = self._now_ticks()
        for number in slices:
            former = self.slices.pop(number, None)
            if former is not None:
                self.former_slices[number] = former
            self.brain.on_slice_assigned(now, number, False)
        self.report("taken", slices=len(slices))
        self._broadcast(m.SliceAssignment(taken=slices))

    def on_store_session_lost(self) -> None:
        """The store session has ended, and with it the assignment of all slices."""
        self.on_slices_revoked(sorted(self.slices))

    def _broadcast(self, message: m.Message) -> None:
        """Sends a change of assignment to all proxies, bypassing the paced channel."""
        self.snapshot_frame = None
        frame = encode(message)
        for session in list(self.proxies.values()):
            self._send(session, frame)

    def _send(self, session: ProxySession, frame: bytes) -> None:
        """Sends a frame to a proxy; a broken stream is only reported."""
        try:
            session.link.send_frame(frame)
        except StreamBroken as error:  # the proxy's own task handles the end of its session
            self.report("proxy_stalled", proxy=session.name, reason=str(error))

    # ---- proxies

    def _new_session(self) -> Session:
        """Creates the protocol session of an incoming connection."""
        return Session(self.identity, self._admit, self.challenge(), MAX_MESSAGES_PER_S)

    def _admit(self, hello: m.Hello) -> m.Welcome:
        """Accepts a peer. Raises Refused or, if it may retry later, Busy."""
        if hello.role == "pilot":
            if self.lending is None:
                raise Refused("the facts exchange is disabled: the deployment has no block learn")
            if hello.id == self.name:
                raise Refused("a pilot can't fetch facts from itself")
            self.session_count += 1
            return m.Welcome(self.session_count)
        if hello.id not in self.numbers and len(self.numbers) >= self.deployment.proxies_most:
            raise Refused(f"{len(self.numbers)} proxies are known, {self.deployment.proxies_most} at most")
        self._check_join_rate(hello.id)
        self.session_count += 1
        proxy = self.deployment.proxy
        return m.Welcome(
            self.session_count,
            proxy.lease,
            proxy.lease // HEARTBEATS_PER_LEASE,
            proxy.report_every,
            proxy.apply_cost,
            budgets=self.budgets.terms if self.budgets is not None else [],
            loads=self.overload is not None,
        )

    def _check_join_rate(self, name: str) -> None:
        """Raises Busy if too many proxies join at once, preferring those whose lease may still run.

        Each join costs a snapshot; too many at once would delay heartbeats until leases expire.
        """
        now = self.loop.now()
        after = self.join_limiter.ask(now, known=now < self.lease_expires_at.get(name, 0))
        if after:
            raise Busy(f"too many joins at once, {self.join_limiter.deferred} deferred so far", after)

    def _handle_connection(self, link: Link, first: list[m.Message]) -> Coroutine:
        """Handles an accepted connection of a proxy or of another pilot until it ends."""
        if link.peer.role == "pilot":
            assert self.lending is not None
            yield from self.lending.serve(link, first)
            return
        session = self._join(link)
        messages = first
        try:
            while True:
                for message in messages:
                    self._handle_message(session, message)
                self._pull_decisions()
                messages = yield from link.receive(self.loop.now() + self.deployment.proxy.silence)
        except OutOfOrder as error:
            link.close(error.code, str(error))
            raise
        finally:
            self._leave(session)

    def _join(self, link: Link) -> ProxySession:
        """Registers a proxy, replacing its former session, and sends the snapshot."""
        assert link.session.peer is not None
        peer = link.session.peer
        number = self.numbers.setdefault(peer.id, len(self.numbers))
        former = self.proxies.get(number)
        if former is not None:
            former.link.close("replaced", f"a newer stream of proxy {peer.id}")
            self._leave(former)
        zone = peer.zone if peer.zone in self.deployment.zones else ""
        session = self.proxies[number] = ProxySession(number, peer.id, link, zone)
        link.session.frames.max_bytes = self._max_report_bytes()
        self.counts["joins"] += 1
        self.lease_expires_at.pop(peer.id, None)
        link.send_frame(self._snapshot(), shared=True)
        self.brain.on_join(self._now_ticks(), number, zone)
        return session

    def _max_report_bytes(self) -> int:
        """The longest message of a proxy that reports on every endpoint and slice."""
        rows = len(self.brain.endpoints) + self.deployment.slices * len(self.deployment.op_types)
        return min(MAX_FRAME_BYTES, MIN_REPORT_BYTES + rows * REPORT_ROW_BYTES)

    def _leave(self, session: ProxySession) -> None:
        """Unregisters a proxy's session unless a newer one has replaced it."""
        if self.proxies.get(session.number) is session:
            del self.proxies[session.number]
            self.lease_expires_at[session.name] = self.loop.now() + self.deployment.proxy.lease
            if self.overload is not None:
                self.overload.on_left(session.name)
            self.channel.drop(session.number)
            self.brain.on_leave(self._now_ticks(), session.number)
            self._pull_decisions()

    def _snapshot(self) -> bytes:
        """Returns the encoded committed state, cached until it changes."""
        if self.snapshot_frame is None:
            rows = [row for _, row in sorted(self.slices.items())]
            self.snapshot_frame = encode(m.Snapshot(rows, levels=self.levels))
        return self.snapshot_frame

    def _handle_message(self, session: ProxySession, message: m.Message) -> None:
        """Answers a heartbeat, or applies an ack or a report of a proxy."""
        if isinstance(message, m.Heartbeat):
            session.link.session.frames.max_bytes = self._max_report_bytes()
            answer = m.HeartbeatOk(message.n, self.in_charge())
            if message.ask and self.budgets is not None:
                answer.ask = message.ask
                answer.era, answer.shares = self.budgets.on_heartbeat(session.name, message)
            if self.overload is not None:
                policy, answer.fair = self.overload.policy_for_heartbeat(session.name)
                answer.told = policy  # type: ignore[assignment]
                answer.trials, answer.probe = self.overload.trials_for_heartbeat(session.name)
            session.link.send(answer)
        elif isinstance(message, m.Ack):
            self._handle_ack(session, message)
        elif isinstance(message, m.ProxyReport):
            now = self.loop.now()
            if self.overload is not None:
                self.overload.on_proxy_report(session.name, message)
            for endpoint_stats in message.met:
                if endpoint_stats.endpoint in self.brain.endpoints:  # proxies may name any number of others
                    self.intake.add_endpoint_stats(now, session.zone, endpoint_stats)
                    self.observed_endpoints.add(endpoint_stats.endpoint)
                else:
                    self.counts["unknown_endpoints"] += 1
            span = max((slice_stats.span for slice_stats in message.heat), default=0)
            self.proxy_op_rates[session.number] = (
                sum(slice_stats.ops for slice_stats in message.heat) * 1e6 / span if span else 0.0
            )
            for slice_stats in message.heat:
                if slice_stats.slice in self.slices and slice_stats.op_type < len(self.deployment.op_types):
                    self.intake.add_slice_stats(now, slice_stats)

    def owner_of(self, number: int) -> str:
        """Returns the endpoint that owns a slice assigned to this pilot, or "" if there is none."""
        row = self.slices.get(number)
        return row.owner if row is not None else ""

    def in_charge(self) -> bool:
        """Returns whether this pilot's assignment of slices is still valid; True without slices."""
        return not self.deployment.slices or (self.store is not None and self.store.in_charge())

    def _handle_ack(self, session: ProxySession, ack: m.Ack) -> None:
        """Passes an ack to the decision module. Raises OutOfOrder if its mark is not pending."""
        if ack.mark not in session.marks:
            raise OutOfOrder(f"ack of mark {ack.mark}, which is not pending on this session")
        while session.marks:  # an ack covers all earlier marks
            passed = session.marks.popleft()
            ordered_at = session.ordered_at.pop(passed, None)
            if passed == ack.mark:
                break
        self.counts["acks"] += 1
        took = max(0, self.loop.now() - (ordered_at or self.loop.now()) - ack.held)
        self.in_force_us.append(took)
        # Rounded up, so that the settle time never starts early.
        self.brain.on_ack(self._now_ticks(), session.number, ack.mark, round_up(took))

    def _drain_intake(self) -> Coroutine:
        """Periodically passes aggregated proxy reports to the decision module."""
        while True:
            yield from self.loop.sleep(self.deployment.proxy.report_every // 2)
            self._apply_reports(*self.intake.take(self.loop.now()))
            self._pull_decisions()

    def _apply_reports(self, zone_totals: list[ZoneTotals], slice_totals: list[SliceTotals]) -> None:
        """Passes first-hand reports to the decision module and records them for lending.

        They are recorded separately because the module also holds borrowed reports, which must not be lent.
        """
        now, at = self._now_ticks(), self.loop.now()
        for endpoint_stats in zone_totals:
            self.brain.on_endpoint_report(
                now,
                endpoint_stats.endpoint,
                endpoint_stats.zone,
                endpoint_stats.tries,
                endpoint_stats.aborted,
                round_up(endpoint_stats.took),
                round_up(endpoint_stats.span),
            )
            self.source.on_sums(endpoint_stats.endpoint, endpoint_stats.tries, endpoint_stats.aborted)
            if self.lending is not None:
                self.lending.record_endpoint_stats(at, endpoint_stats)
        for slice_stats in slice_totals:
            name = self.deployment.op_types[slice_stats.op_type].name
            self.brain.on_slice_report(
                now,
                slice_stats.slice,
                name,
                slice_stats.ops,
                slice_stats.unanswered,
                round_up(slice_stats.span),
            )
            if self.lending is not None:
                self.lending.record_slice_stats(at, name, slice_stats)

    # ---- decisions

    def _now_ticks(self) -> int:
        """Returns the current time in the decision module's unit."""
        return round_down(self.loop.now())

    def _schedule_alarm(self, after: int, nonce: int) -> None:
        """Calls the module's alarm with `nonce` in `after` ticks."""
        self.loop.at(self.loop.now() + after * TICK_US, self._on_alarm, nonce)

    def _on_alarm(self, nonce: int) -> None:
        self.brain.on_alarm(self._now_ticks(), nonce)
        self._pull_decisions()

    def _pull_decisions(self) -> None:
        """Takes all pending decisions from the module and submits them as one batch."""
        if self.pulling:
            return
        self.pulling = True
        if self.budgets is not None:
            self.budgets.publish_changes()
        batch = DecisionBatch(self.loop.now())
        try:
            for decision in pull_decisions(self.brain, self._now_ticks()):
                self._apply_decision(batch, decision)
        finally:
            self.pulling = False
        if batch.row_count() or batch.mark is not None or batch.installs:
            self._submit_batch(batch)

    def _apply_decision(self, batch: DecisionBatch, decision: tuple) -> None:
        """Carries out one decision at once or adds it to the batch. Raises ValueError if it is unknown."""
        verb = decision[0]
        if verb == "wake":
            self._schedule_alarm(decision[1], decision[2])
            return
        self.journal.append((batch.decided_at, decision))
        if verb == "line":
            batch.lines.append(m.Line(decision[1], decision[2], float(decision[3]), self._epoch(decision[1])))
        elif verb == "level":
            batch.levels.append(
                m.Level(decision[1], decision[2], float(decision[3]), decision[4], self._epoch(decision[1]))
            )
        elif verb == "mark":
            batch.mark = decision[1]
        elif verb == "install":
            batch.installs[decision[1]] = decision[3]
        elif verb == "ask_list":
            self.source.request_list()
        elif verb == "note":
            self.report("note", text=decision[1])
        else:
            raise ValueError(f"unknown decision {verb!r}")

    def _epoch(self, table: int) -> int:
        """Returns the epoch of an assigned slice, or 0 for any other table."""
        row = self.slices.get(table)
        return row.epoch if row is not None else 0

    def _submit_batch(self, batch: DecisionBatch) -> None:
        """Commits a batch at the store, after which it is sent; without slices it is sent directly."""
        self.counts["turns"] += 1
        self.counts["lines"] += batch.row_count()
        if not self.deployment.slices:
            self._apply_to_tables(batch)
            return
        assert self.store is not None
        writes = self._writes(batch)
        # A batch without writes goes through the store too. Sent directly, it could overtake one that awaits
        # its commit, and the ack of its mark would cover lines that no proxy has received.
        if not self.store.commit(writes, lambda denied: self._committed(batch, writes, denied)):
            self.report("turn_dropped", lines=batch.row_count(), reason="no store session")

    def _writes(self, batch: DecisionBatch) -> list[m.SliceWrite]:
        """Converts a batch to writes of the store's rows, one per slice."""
        owners: dict[int, str] = {}
        levels: dict[int, list[m.Level]] = {}
        for line in batch.lines:
            owners[line.table] = line.endpoint if line.weight > 0 else ""
        for level in batch.levels:
            row = self.slices.get(level.table)
            if row is not None:
                kept = levels.get(level.table, row.levels)
                levels[level.table] = [lv for lv in kept if lv.mask != level.mask] + [level]
        return [
            m.SliceWrite(number, self._epoch(number), owners.get(number), levels.get(number))
            for number in sorted({*owners, *levels})
        ]

    def _committed(
        self, batch: DecisionBatch, writes: list[m.SliceWrite], denied: list[m.DeniedWrite]
    ) -> None:
        """Applies a committed batch and sends it to the proxies, without the slices the store refused."""
        refused = {d.slice for d in denied}
        for d in denied:
            self.counts["denied"] += 1
            self.report("order_refused", slice=d.slice, epoch=d.epoch, reason=d.reason)
        for write in writes:
            row = self.slices.get(write.slice)
            if write.slice in refused or row is None or row.epoch != write.epoch:
                refused.add(write.slice)  # reassigned while the commit was in flight
                continue
            self.slices[write.slice] = m.SliceState(
                row.slice,
                row.epoch,
                row.version + 1,
                row.owner if write.owner is None else write.owner,
                row.levels if write.levels is None else write.levels,
            )
        batch.lines = [line for line in batch.lines if line.table not in refused]
        batch.levels = [level for level in batch.levels if level.table not in refused]
        self._send_batch(batch)

    def _send_batch(self, batch: DecisionBatch) -> None:
        """Queues a committed batch for all proxies."""
        self._update_fleet_levels(batch)
        packed = (pack_rows(batch.lines), pack_rows(batch.levels), batch.mark, batch.decided_at)
        self._enqueue(self.proxies, batch, packed)

    def _update_fleet_levels(self, batch: DecisionBatch) -> None:
        """Keeps the levels that apply to all tables for later snapshots and drops the cached snapshot."""
        for level in batch.levels:
            if level.table == ALL_TABLES:
                self.levels = [lv for lv in self.levels if lv.mask != level.mask] + [level]
        self.snapshot_frame = None

    def _enqueue(self, numbers: Iterable[int], batch: DecisionBatch, packed: tuple) -> None:
        """Queues a packed batch for the given proxies."""
        now = self.loop.now()
        for number in sorted(numbers):
            self.channel.put(now, number, batch.row_count(), packed)
        if self.channel_waker is not None:
            self.channel_waker.wake()

    def _apply_to_tables(self, batch: DecisionBatch) -> None:
        """Publishes a batch in a deployment without slices.

        A proxy receives changes of its own table, or the whole table when it is assigned to it.
        """
        for line in batch.lines:
            rows = self.tables.setdefault(line.table, {})
            if line.weight > 0:
                rows[line.endpoint] = line.weight
            else:
                rows.pop(line.endpoint, None)
        self._update_fleet_levels(batch)
        by_table: dict[int, list[int]] = {}
        for number, session in self.proxies.items():
            if session.table >= 0 and number not in batch.installs:
                by_table.setdefault(session.table, []).append(number)
        for table, numbers in sorted(by_table.items()):
            table_batch = DecisionBatch(batch.decided_at)
            table_batch.lines = [line for line in batch.lines if line.table == table]
            table_batch.levels, table_batch.mark = batch.levels, batch.mark
            if table_batch.row_count() or table_batch.mark is not None:
                self._enqueue(
                    numbers,
                    table_batch,
                    (
                        pack_rows(table_batch.lines),
                        pack_rows(table_batch.levels),
                        table_batch.mark,
                        table_batch.decided_at,
                    ),
                )
        for number, table in batch.installs.items():
            joined = self.proxies.get(number)
            if joined is not None:
                joined.table = table
                lines = [
                    m.Line(table, endpoint, weight)
                    for endpoint, weight in sorted(self.tables.get(table, {}).items())
                ]
                self._send(joined, encode(m.Snapshot(table=table, lines=lines, levels=self.levels)))

    # ---- channel

    def _pump(self) -> Coroutine:
        """Sends queued messages at the channel's rate."""
        while True:
            due = self.channel.due()
            if due is None:
                self.channel_waker = self.loop.waker()
                try:
                    yield
                finally:
                    self.channel_waker = None
            elif due > self.loop.now():
                yield from self.loop.sleep(due - self.loop.now())
            else:
                waiting = self.channel.take(self.loop.now())
                if waiting is not None:
                    self._deliver(waiting.proxy, waiting.item)

    def _deliver(self, number: int, item: Any) -> None:
        """Sends a packed batch to a proxy as an order, if it is still joined."""
        session = self.proxies.get(number)
        if session is None:
            return
        lines, levels, mark, at = item
        session.seq += 1
        if mark is not None:
            session.marks.append(mark)
            session.ordered_at[mark] = at
        self.counts["messages"] += 1
        self._send(session, encode_order(session.seq, self.loop.now() - at, lines, levels, mark))

    # ---- status

    def _endpoint_status(self, entry: Entry) -> dict[str, Any]:
        """Returns an endpoint as the decision module sees it.

        `part` is its fair share by size and speed, `warmth` the fraction of its capacity it has reached.
        """
        known = self.brain.endpoints[entry.endpoint]
        return {
            "endpoint": entry.endpoint,
            "phase": entry.phase,
            "size": entry.size,
            "zone": entry.zone,
            "part": known.capacity,
            "warmth": self.brain._warmth(known, self._now_ticks()),
            "sick_s": max(0, known.sick_until - self._now_ticks()) / 10_000,
        }

    def members(self) -> dict[str, Any]:
        """Returns the state of the list's source and the listed endpoints for `cedarshift members`."""
        listed = [
            {
                "endpoint": e.endpoint,
                "phase": e.phase,
                "size": e.size,
                "zone": e.zone,
                "start_s": None if not e.started else (self._now_ticks() - e.started) / 10_000,
            }
            for _, e in sorted(self.listed.items())
        ]
        return {"pilot": self.name, **self.source.status(), "listed": listed}

    def status(self) -> dict[str, Any]:
        """Returns the pilot's tables, proxies and latest decisions for `cedarshift tables`."""
        return {
            "pilot": self.name,
            "deployment": self.deployment.name,
            "in_charge": self.in_charge(),
            "proxies": [
                {"id": s.name, "zone": s.zone, "seq": s.seq, "unacked": len(s.marks)}
                for _, s in sorted(self.proxies.items())
            ],
            "endpoints": [
                self._endpoint_status(e)
                for n, e in sorted(self.applied_entries.items())
                if n in self.brain.endpoints
            ],
            "slices": [
                {
                    "slice": row.slice,
                    "epoch": row.epoch,
                    "version": row.version,
                    "owner": row.owner,
                    "state": self.brain.slices[row.slice].state if row.slice in self.brain.slices else "",
                    "levels": [msgspec.structs.asdict(lv) for lv in row.levels],
                }
                for _, row in sorted(self.slices.items())
            ],
            "tables": {str(n): lines for n, lines in sorted(self.tables.items())},
            "channel": {
                "waiting": self.channel.waiting,
                "peak": self.channel.peak,
                "most": self.channel.max_waiting_lines,
                "breaches": self.channel.breaches,
            },
            "counts": dict(self.counts),
            "decisions": [{"at_us": at, "decision": list(d)} for at, d in self.journal],
        }
