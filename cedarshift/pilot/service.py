"""One pilot at work. Inputs go straight to the module; its decisions go to the store, then to the channel, as frames.

The order of things is what keeps single ownership: a turn is committed by the store before any proxy hears of it, and a
proxy that joins gets what is committed in the same stream before any later order. So an ack of a mark stands for all
that the store held when the mark was ordered.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Any, Callable, Iterable, Optional, Union

import msgspec

from cedarshift.brain import ALL_TABLES, Pilot
from cedarshift.budgets.pilot import PilotBudgets
from cedarshift.budgets.terms import BEATS_A_LEASE
from cedarshift.codec import Busy, Identity, OutOfOrder, Refused, Session
from cedarshift.codec import messages as m
from cedarshift.codec.frames import encode, encode_order, pack_rows
from cedarshift.deployment import Deployment
from cedarshift.deployment.deployment import NodeRoster
from cedarshift.gossip.service import Membership
from cedarshift.interface import Entry, pulled
from cedarshift.judge.admission import Gate
from cedarshift.judge.trust import Own, Word
from cedarshift.link import Link, serve
from cedarshift.loop import Listener, Loop, StreamBroken
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.overload.pilot import PilotOverload
from cedarshift.pilot.channel import PacedChannel
from cedarshift.pilot.intake import Intake, SliceHeat, ZoneMet
from cedarshift.pilot.learning import Learning
from cedarshift.pilot.lending import Lending
from cedarshift.pilot.store_client import StoreClient
from cedarshift.pilot.terms import UNIT, down, terms, up
from cedarshift.roster import EphemeralSource, EphemeralTerms, FileSource, ServiceSource
from cedarshift.roster.sources import SavedList

MESSAGES_A_SECOND = 400  # from one proxy: beats, acks and sums come at a few dozen at most
MARKS_KEPT = 256  # marks sent on a session that may still be acked
JOURNAL_KEPT = 200  # latest decisions, for `cedarshift tables`
JOINS_AT_ONCE = 4  # parts of a second's joinings that may come together


def ephemeral_terms(nodes: NodeRoster) -> EphemeralTerms:
    return EphemeralTerms(
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
    """One joined proxy. `number` is its number for the module, the same whenever the same id joins."""

    def __init__(self, number: int, name: str, link: Link, zone: str) -> None:
        self.number = number
        self.name = name
        self.link = link
        self.zone = zone
        self.seq = 0
        self.table = -1  # at sites without slices
        self.marks: deque[int] = deque(maxlen=MARKS_KEPT)
        self.ordered: dict[int, int] = {}  # mark -> when it was ordered (us)


class Turn:
    """What the module decided between two pulls, on its way to the proxies."""

    def __init__(self, at: int) -> None:
        self.at = at
        self.lines: list[m.Line] = []
        self.levels: list[m.Level] = []
        self.mark: Optional[int] = None
        self.installs: dict[int, int] = {}  # proxy -> table, at sites without slices

    def rows(self) -> int:
        return len(self.lines) + len(self.levels)


class PilotService:
    """`seed` starts the module's chance. `challenge()` gives fresh bytes for each handshake."""

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
        self.place = deployment.pilot(name)
        self.name = name
        self.report = report
        self.challenge = challenge
        number = [p.name for p in deployment.pilots].index(name)
        self.brain = Pilot(terms(deployment, number, seed))
        self.chance = random.Random(seed)
        self.identity = Identity(deployment.name, "pilot", name, self.place.zone, deployment.secret)
        channel = deployment.channel
        self.channel: PacedChannel = PacedChannel(
            channel.lines_per_s,
            channel.lines_waiting_most,
            channel.lines_per_message,
            channel.messages_most,
            channel.messages_span,
        )
        self.intake = Intake(deployment.intake_per_s, deployment.proxy.report_every, loop.now())
        self.numbers: dict[str, int] = {}
        self.proxies: dict[int, ProxySession] = {}
        self.slices: dict[int, m.SliceState] = {}  # in charge, as the store holds them
        self.tables: dict[int, dict[str, float]] = {}  # at sites without slices
        self.levels: list[m.Level] = []  # those that stand for all tables
        self.listed: dict[str, Entry] = {}
        self.list_rev = 0
        self.snapshot_frame: Optional[bytes] = None
        self.sessions = 0
        self.pulling = False
        self.filled: Optional[Waker] = None
        self.counts = {
            "turns": 0,
            "lines": 0,
            "messages": 0,
            "acks": 0,
            "denied": 0,
            "joins": 0,
            "refused": 0,
        }
        self.in_force_us: deque[int] = deque(maxlen=10_000)
        self.journal: deque[tuple[int, tuple]] = deque(maxlen=JOURNAL_KEPT)
        self.store: Optional[StoreClient] = None
        self.told: dict[str, Entry] = {}  # the entries as the module has them, borrowed warnings included
        self.warned: dict[str, int] = {}  # until when peers found endpoints sick (0.1 ms)
        self.first_hand: set[str] = set()  # endpoints of which this pilot has had sums of its own
        self.rates: dict[int, float] = {}  # ops a second of a proxy, by its newest sums
        life = f"{name}#{seed:016x}"
        self.membership: Optional[Membership] = (
            None  # handed to it by whoever starts it, where the deployment has one
        )
        self.budgets: Optional[PilotBudgets] = None  # the same
        self.overload: Optional[PilotOverload] = None  # the same
        self.gate = Gate(
            deployment.proxy.joins_per_s, max(1.0, deployment.proxy.joins_per_s / JOINS_AT_ONCE), loop.now()
        )
        self.lapses_at: dict[str, int] = {}  # proxies that have left -> until when their leases may run
        self.lending: Optional[Lending] = Lending(self, life) if deployment.learn else None
        self.learning: Optional[Learning] = None
        self.source = self._source(deployment)
        if deployment.learn is not None:
            self.learning = Learning(self, deployment.learn, life)
        self.tasks = [
            loop.spawn(self._pump(), "channel"),
            loop.spawn(self._hand_on(), "intake"),
            loop.spawn(serve(loop, listener, self._session, self._talk, report), "accept"),
        ]
        self._wake_up(0, 0)

    def _source(self, deployment: Deployment) -> Union[FileSource, ServiceSource, EphemeralSource]:
        listed = deployment.listed
        if listed.nodes is not None:
            pools = any(op.own_zone for op in deployment.op_types)
            return EphemeralSource(
                self.loop,
                ephemeral_terms(listed.nodes),
                pools,
                self.chance.random,
                SavedList(deployment.beside(listed.saved)),
                self.on_list,
                self.report,
            )
        if listed.service is not None:
            saved = SavedList(deployment.beside(listed.saved))
            return ServiceSource(
                self.loop,
                listed.service,
                self.name,
                listed.asks,
                saved,
                self.on_list,
                self.report,
                self.chance.random,
                self._may_call,
            )
        return FileSource(
            self.loop, deployment.beside(listed.file), listed.refresh, self.on_list, self.report
        )

    def _may_call(self) -> Coroutine:
        """Waits for a call to the list, where a budget limits them."""
        if self.budgets is not None:
            yield from self.budgets.spend("list_calls")

    def reload(self, deployment: Deployment) -> None:
        """Takes over what may change while running; a message that is being sent ends first, as this is one step."""
        self.intake.per_s = deployment.intake_per_s
        if deployment.listed != self.deployment.listed:
            self.source.stop()
            self.deployment = deployment
            self.source = self._source(deployment)
        self.deployment = deployment

    def stop(self) -> None:
        """Proxies are told that the slices leave, then the store: another pilot may have them at once."""
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

    # ---- the list and the store tell

    def on_list(self, kind: str, entries: list[Entry]) -> None:
        if kind in ("replace", "restored"):
            self.listed = {}
        self.listed.update({e.endpoint: e for e in entries})
        seen = self._overlaid()
        if kind in ("replace", "restored"):
            self.told = {}
        self.told.update({e.endpoint: seen[e.endpoint] for e in entries})
        self.brain.on_list(self._now(), kind, [seen[e.endpoint] for e in entries])
        if kind != "unavailable":
            self.list_rev += 1
            self.report("list", kind=kind, endpoints=len(self.listed))
            if self.budgets is not None:
                self.budgets.on_list()
            self._open_store()
        self._pull()

    # ---- what was borrowed from a peer; nothing here does anything where no block `learn` stands

    def _overlaid(self) -> dict[str, Entry]:
        if self.learning is None:
            return self.listed
        starts, confirmed = self.source.starts.known, self.source.confirmed or 0
        own = {
            name: Own(
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

    def tell_learnt(self) -> None:
        """Warnings that came or went, sums, sickness: to the module, by the inputs that it has for such news."""
        assert self.learning is not None
        seen = self._overlaid()
        changed = [entry for name, entry in sorted(seen.items()) if self.told.get(name) != entry]
        now = self._now()
        if changed:
            self.told.update({entry.endpoint: entry for entry in changed})
            self.brain.on_list(now, "update", changed)
        for heard, name, one in self.learning.sums_for(self.first_hand):
            self.brain.on_met(
                down(heard),
                name,
                one.zone,
                one.tries,
                min(one.aborted, one.tries),
                up(one.took),
                up(one.span),
            )
        running = [name for name, entry in seen.items() if entry.phase == "on"]
        for name, until in sorted(self.learning.sick_now(running, self.first_hand).items()):
            self.warned[name] = up(until)
            self.brain.on_warned(now, name, up(until))
        self._pull()

    def on_borrowed_list(self, entries: list[Entry]) -> None:
        """This pilot's own list does not come: what a sound peer knows of it is better than no charge at all."""
        self.brain.on_list(self._now(), "update" if self.told else "restored", entries)
        self.told.update({e.endpoint: e for e in entries})
        self._open_store()

    def trust_names(self) -> set[str]:
        return set(self.learning.trust.sources) if self.learning is not None else set()

    def borrowed_words(self, name: str) -> list[tuple[str, Word]]:
        """What was borrowed of an endpoint's phase, by source."""
        if self.learning is None:
            return []
        trust = self.learning.trust
        return [
            (source, word)
            for source in sorted(trust.sources.get(name, ()))
            for kept in (trust.good, trust.bad)
            if (word := kept.get((name, source))) is not None
        ]

    def proxy_rate(self, session: ProxySession) -> float:
        return round(self.rates.get(session.number, 0.0), 2)

    # ---- the store

    def _open_store(self) -> None:
        """Only with a list at hand: an owner that is in no list counts as gone, so the list has to come first."""
        place = self.deployment.store
        if self.store is None and place is not None and (self.deployment.slices or self.budgets is not None):
            number = [p.name for p in self.deployment.pilots].index(self.name)
            self.store = StoreClient(
                self.loop,
                place.listen,
                self.identity,
                number,
                self,
                self.report,
                self.challenge,
                self.budgets,
                chance=self.chance.random,
            )

    def on_store_given(self, rows: list[m.SliceState]) -> None:
        now = self._now()
        for row in rows:
            self.slices[row.slice] = row
            self.brain.on_given(now, row.slice, True)
            if row.owner:
                self.brain.on_held(now, row.slice, row.owner)
            for heard, heat in self.learning.heats_for(row.slice) if self.learning is not None else ():
                self.brain.on_heat(
                    down(heard), row.slice, heat.op_type, heat.ops, heat.unanswered, up(heat.span)
                )
        self.report("given", slices=len(rows))
        self._tell_all(m.SliceAssignment(given=rows))
        self._pull()

    def on_store_taken(self, slices: list[int]) -> None:
        now = self._now()
        for number in slices:
            self.slices.pop(number, None)
            self.brain.on_given(now, number, False)
        self.report("taken", slices=len(slices))
        self._tell_all(m.SliceAssignment(taken=slices))

    def on_store_lost(self) -> None:
        self.on_store_taken(sorted(self.slices))

    def _tell_all(self, message: m.Message) -> None:
        """Outside the channel: a giving is not a turn, and the store's read costs the channel nothing."""
        self.snapshot_frame = None
        frame = encode(message)
        for session in list(self.proxies.values()):
            self._send(session, frame)

    def _send(self, session: ProxySession, frame: bytes) -> None:
        try:
            session.link.send_frame(frame)
        except (
            StreamBroken
        ) as error:  # a proxy that reads too slowly ends its own session, which is heard there
            self.report("proxy_stalled", proxy=session.name, reason=str(error))

    # ---- proxies

    def _session(self) -> Session:
        return Session(self.identity, self._admit, self.challenge(), MESSAGES_A_SECOND)

    def _admit(self, hello: m.Hello) -> m.Welcome:
        if hello.role == "pilot":
            if self.lending is None:
                raise Refused("this deployment's pilots share nothing: it has no block learn")
            if hello.id == self.name:
                raise Refused("a pilot does not learn from itself")
            self.sessions += 1
            return m.Welcome(self.sessions)
        if hello.id not in self.numbers and len(self.numbers) >= self.deployment.proxies_most:
            raise Refused(f"{len(self.numbers)} proxies are known, {self.deployment.proxies_most} at most")
        self._may_join(hello.id)
        self.sessions += 1
        proxy = self.deployment.proxy
        return m.Welcome(
            self.sessions,
            proxy.lease,
            proxy.lease // BEATS_A_LEASE,
            proxy.report_every,
            proxy.apply_cost,
            budgets=self.budgets.terms if self.budgets is not None else [],
            loads=self.overload is not None,
        )

    def _may_join(self, name: str) -> None:
        """Each joining costs a snapshot; many at once would hold up the beats of those that are joined, and their leases would lapse.
        Whoever has a lease that may still run comes before newcomers."""
        now = self.loop.now()
        after = self.gate.ask(now, known=now < self.lapses_at.get(name, 0))
        if after:
            raise Busy(f"{self.gate.sent_away} were sent away so far", after)

    def _talk(self, link: Link, first: list[m.Message]) -> Coroutine:
        if link.peer.role == "pilot":
            assert self.lending is not None
            yield from self.lending.serve(link, first)
            return
        session = self._join(link)
        got = first
        try:
            while True:
                for message in got:
                    self._hear(session, message)
                self._pull()
                got = yield from link.receive(self.loop.now() + self.deployment.proxy.silence)
        except OutOfOrder as error:
            link.close(error.code, str(error))
            raise
        finally:
            self._leave(session)

    def _join(self, link: Link) -> ProxySession:
        assert link.session.peer is not None
        peer = link.session.peer
        number = self.numbers.setdefault(peer.id, len(self.numbers))
        former = self.proxies.get(number)
        if former is not None:
            former.link.close("replaced", f"a newer stream of proxy {peer.id}")
            self._leave(former)
        session = self.proxies[number] = ProxySession(number, peer.id, link, peer.zone)
        self.counts["joins"] += 1
        self.lapses_at.pop(peer.id, None)
        link.send_frame(self._snapshot())
        self.brain.on_join(self._now(), number, peer.zone)
        return session

    def _leave(self, session: ProxySession) -> None:
        if self.proxies.get(session.number) is session:
            del self.proxies[session.number]
            self.lapses_at[session.name] = self.loop.now() + self.deployment.proxy.lease
            if self.overload is not None:
                self.overload.on_left(session.name)
            self.channel.drop(session.number)
            self.brain.on_leave(self._now(), session.number)
            self._pull()

    def _snapshot(self) -> bytes:
        """What is committed, encoded once for all that join until it changes."""
        if self.snapshot_frame is None:
            rows = [row for _, row in sorted(self.slices.items())]
            self.snapshot_frame = encode(m.Snapshot(rows, levels=self.levels))
        return self.snapshot_frame

    def _hear(self, session: ProxySession, message: m.Message) -> None:
        if isinstance(message, m.Heartbeat):
            answer = m.HeartbeatOk(message.n, self.in_charge())
            if message.ask and self.budgets is not None:
                answer.ask = message.ask
                answer.era, answer.shares = self.budgets.on_beat(session.name, message)
            if self.overload is not None:
                told, answer.fair = self.overload.for_beat(session.name)
                answer.told = told  # type: ignore[assignment]
                answer.trials, answer.probe = self.overload.trials_for_beat(session.name)
            session.link.send(answer)
        elif isinstance(message, m.Ack):
            self._hear_ack(session, message)
        elif isinstance(message, m.ProxyReport):
            now = self.loop.now()
            if self.overload is not None:
                self.overload.on_sums(session.name, message)
            for met in message.met:
                self.intake.add_met(now, session.zone, met)
                self.first_hand.add(met.endpoint)
            span = max((heat.span for heat in message.heat), default=0)
            self.rates[session.number] = sum(heat.ops for heat in message.heat) * 1e6 / span if span else 0.0
            for heat in message.heat:
                if heat.slice in self.slices and heat.op_type < len(self.deployment.op_types):
                    self.intake.add_heat(now, heat)

    def owner_of(self, number: int) -> str:
        """The endpoint that owns a slice in this pilot's charge, "" for none."""
        row = self.slices.get(number)
        return row.owner if row is not None else ""

    def in_charge(self) -> bool:
        return not self.deployment.slices or (self.store is not None and self.store.in_charge())

    def _hear_ack(self, session: ProxySession, ack: m.Ack) -> None:
        if ack.mark not in session.marks:
            raise OutOfOrder(f"an ack of mark {ack.mark}, which was not sent on this session or was acked")
        while session.marks:  # acks come in order: those before it are in force too
            passed = session.marks.popleft()
            ordered = session.ordered.pop(passed, None)
            if passed == ack.mark:
                break
        self.counts["acks"] += 1
        took = max(0, self.loop.now() - (ordered or self.loop.now()) - ack.held)
        self.in_force_us.append(took)
        # Rounded up: the settle time may start late, never early.
        self.brain.on_ack(self._now(), session.number, ack.mark, up(took))

    def _hand_on(self) -> Coroutine:
        """Sums to the module, a period's worth at a time."""
        while True:
            yield from self.loop.sleep(self.deployment.proxy.report_every // 2)
            self._take_sums(*self.intake.take(self.loop.now()))
            self._pull()

    def _take_sums(self, mets: list[ZoneMet], heats: list[SliceHeat]) -> None:
        """First-hand sums: to the module, and kept beside it for who may learn from this pilot. What this pilot has
        borrowed itself is in the module too, and must not be lent as its own."""
        now, at = self._now(), self.loop.now()
        for met in mets:
            self.brain.on_met(now, met.endpoint, met.zone, met.tries, met.aborted, up(met.took), up(met.span))
            self.source.on_sums(met.endpoint, met.tries, met.aborted)
            if self.lending is not None:
                self.lending.heard_sum(at, met)
        for heat in heats:
            name = self.deployment.op_types[heat.op_type].name
            self.brain.on_heat(now, heat.slice, name, heat.ops, heat.unanswered, up(heat.span))
            if self.lending is not None:
                self.lending.heard_heat(at, name, heat)

    # ---- the module's decisions

    def _now(self) -> int:
        return down(self.loop.now())

    def _wake_up(self, after: int, nonce: int) -> None:
        self.loop.at(self.loop.now() + after * UNIT, self._alarm, nonce)

    def _alarm(self, nonce: int) -> None:
        self.brain.on_alarm(self._now(), nonce)
        self._pull()

    def _pull(self) -> None:
        """Pulls decisions until there is none; what came between makes one turn."""
        if self.pulling:
            return
        self.pulling = True
        if self.budgets is not None:
            self.budgets.settle()
        turn = Turn(self.loop.now())
        try:
            for decision in pulled(self.brain, self._now()):
                self._take(turn, decision)
        finally:
            self.pulling = False
        if turn.rows() or turn.mark is not None or turn.installs:
            self._order(turn)

    def _take(self, turn: Turn, decision: tuple) -> None:
        verb = decision[0]
        if verb == "wake":
            self._wake_up(decision[1], decision[2])
            return
        self.journal.append((turn.at, decision))
        if verb == "line":
            turn.lines.append(m.Line(decision[1], decision[2], float(decision[3]), self._epoch(decision[1])))
        elif verb == "level":
            turn.levels.append(
                m.Level(decision[1], decision[2], float(decision[3]), decision[4], self._epoch(decision[1]))
            )
        elif verb == "mark":
            turn.mark = decision[1]
        elif verb == "install":
            turn.installs[decision[1]] = decision[3]
        elif verb == "ask_list":
            self.source.ask()
        elif verb == "note":
            self.report("note", text=decision[1])
        else:
            raise ValueError(f"unknown decision {verb!r}")

    def _epoch(self, table: int) -> int:
        row = self.slices.get(table)
        return row.epoch if row is not None else 0

    def _order(self, turn: Turn) -> None:
        self.counts["turns"] += 1
        self.counts["lines"] += turn.rows()
        if not self.deployment.slices:
            self._lay(turn)
            return
        assert self.store is not None
        writes = self._writes(turn)
        # A turn without writes passes through the store too: sent at once it would overtake an earlier one that waits
        # for its commit, and the ack of its mark would stand for lines that no proxy has.
        if not self.store.commit(writes, lambda denied: self._committed(turn, writes, denied)):
            self.report("turn_dropped", lines=turn.rows(), reason="no store to commit it")

    def _writes(self, turn: Turn) -> list[m.SliceWrite]:
        """The turn as changes of the store's rows, one a slice."""
        owners: dict[int, str] = {}
        levels: dict[int, list[m.Level]] = {}
        for line in turn.lines:
            owners[line.table] = line.endpoint if line.weight > 0 else ""
        for level in turn.levels:
            row = self.slices.get(level.table)
            if row is not None:
                kept = levels.get(level.table, row.levels)
                levels[level.table] = [lv for lv in kept if lv.mask != level.mask] + [level]
        return [
            m.SliceWrite(number, self._epoch(number), owners.get(number), levels.get(number))
            for number in sorted({*owners, *levels})
        ]

    def _committed(self, turn: Turn, writes: list[m.SliceWrite], denied: list[m.DeniedWrite]) -> None:
        """Durable: the rows are taken over and the proxies are told. What was refused reaches nobody."""
        refused = {d.slice for d in denied}
        for d in denied:
            self.counts["denied"] += 1
            self.report("order_refused", slice=d.slice, epoch=d.epoch, reason=d.reason)
        for write in writes:
            row = self.slices.get(write.slice)
            if write.slice in refused or row is None or row.epoch != write.epoch:
                refused.add(write.slice)  # it left this pilot's charge while the order was on its way
                continue
            self.slices[write.slice] = m.SliceState(
                row.slice,
                row.epoch,
                row.version + 1,
                row.owner if write.owner is None else write.owner,
                row.levels if write.levels is None else write.levels,
            )
        turn.lines = [line for line in turn.lines if line.table not in refused]
        turn.levels = [level for level in turn.levels if level.table not in refused]
        self._send_turn(turn)

    def _send_turn(self, turn: Turn) -> None:
        self._keep_levels(turn)
        packed = (pack_rows(turn.lines), pack_rows(turn.levels), turn.mark, turn.at)
        self._enqueue(self.proxies, turn, packed)

    def _keep_levels(self, turn: Turn) -> None:
        """Levels for all tables travel with every later snapshot."""
        for level in turn.levels:
            if level.table == ALL_TABLES:
                self.levels = [lv for lv in self.levels if lv.mask != level.mask] + [level]
        self.snapshot_frame = None

    def _enqueue(self, numbers: Iterable[int], turn: Turn, packed: tuple) -> None:
        now = self.loop.now()
        for number in sorted(numbers):
            self.channel.put(now, number, turn.rows(), packed)
        if self.filled is not None:
            self.filled.wake()

    def _lay(self, turn: Turn) -> None:
        """Sites without slices: lines change the tables; a proxy hears of its own table, and whole when put on it."""
        for line in turn.lines:
            rows = self.tables.setdefault(line.table, {})
            if line.weight > 0:
                rows[line.endpoint] = line.weight
            else:
                rows.pop(line.endpoint, None)
        self._keep_levels(turn)
        by_table: dict[int, list[int]] = {}
        for number, session in self.proxies.items():
            if session.table >= 0 and number not in turn.installs:
                by_table.setdefault(session.table, []).append(number)
        for table, numbers in sorted(by_table.items()):
            part = Turn(turn.at)
            part.lines = [line for line in turn.lines if line.table == table]
            part.levels, part.mark = turn.levels, turn.mark
            if part.rows() or part.mark is not None:
                self._enqueue(
                    numbers, part, (pack_rows(part.lines), pack_rows(part.levels), part.mark, part.at)
                )
        for number, table in turn.installs.items():
            joined = self.proxies.get(number)
            if joined is not None:
                joined.table = table
                lines = [
                    m.Line(table, end, weight) for end, weight in sorted(self.tables.get(table, {}).items())
                ]
                self._send(joined, encode(m.Snapshot(table=table, lines=lines, levels=self.levels)))

    # ---- the channel

    def _pump(self) -> Coroutine:
        """Messages leave at the channel's pace; a proxy that reads slowly holds up its own stream alone."""
        while True:
            due = self.channel.due()
            if due is None:
                self.filled = self.loop.waker()
                try:
                    yield
                finally:
                    self.filled = None
            elif due > self.loop.now():
                yield from self.loop.sleep(due - self.loop.now())
            else:
                waiting = self.channel.take(self.loop.now())
                if waiting is not None:
                    self._deliver(waiting.proxy, waiting.item)

    def _deliver(self, number: int, item: Any) -> None:
        session = self.proxies.get(number)
        if session is None:
            return
        lines, levels, mark, at = item
        session.seq += 1
        if mark is not None:
            session.marks.append(mark)
            session.ordered[mark] = at
        self.counts["messages"] += 1
        self._send(session, encode_order(session.seq, self.loop.now() - at, lines, levels, mark))

    # ---- for people

    def _picture(self, entry: Entry) -> dict[str, Any]:
        """An endpoint as the module has it: `part` is its fair part by size and speed, `warmth` the share it can do."""
        known = self.brain.endpoints[entry.endpoint]
        return {
            "endpoint": entry.endpoint,
            "phase": entry.phase,
            "size": entry.size,
            "zone": entry.zone,
            "part": known.part,
            "warmth": self.brain._warmth(known, self._now()),
            "sick_s": max(0, known.sick_until - self._now()) / 10_000,
        }

    def members(self) -> dict[str, Any]:
        """What its source of the list shows, and what stands in the list, for `cedarshift members`."""
        listed = [
            {
                "endpoint": e.endpoint,
                "phase": e.phase,
                "size": e.size,
                "zone": e.zone,
                "start_s": None if not e.started else (self._now() - e.started) / 10_000,
            }
            for _, e in sorted(self.listed.items())
        ]
        return {"pilot": self.name, **self.source.shown(), "listed": listed}

    def shown(self) -> dict[str, Any]:
        """What the pilot holds, for `cedarshift tables`."""
        return {
            "pilot": self.name,
            "deployment": self.deployment.name,
            "in_charge": self.in_charge(),
            "proxies": [
                {"id": s.name, "zone": s.zone, "seq": s.seq, "unacked": len(s.marks)}
                for _, s in sorted(self.proxies.items())
            ],
            "endpoints": [
                self._picture(e) for n, e in sorted(self.told.items()) if n in self.brain.endpoints
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
                "most": self.channel.waiting_most,
                "breaches": self.channel.breaches,
            },
            "counts": dict(self.counts),
            "decisions": [{"at_us": at, "decision": list(d)} for at, d in self.journal],
        }
