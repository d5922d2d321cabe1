"""The agent's streams: one to each pilot, redialled with jittered waits; beats, acks, sums; the store at the start."""

from __future__ import annotations

from collections import Counter
from typing import Callable, Optional

from cedarshift.agent.gate import ProxyGate, Turned
from cedarshift.agent.shares import ProxyShares
from cedarshift.agent.tables import NoPick, OpKind, Pick, Tables
from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import Redial
from cedarshift.link import Link, connect
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine, Waker

DIAL_TIMEOUT = 1_000_000  # us for a connect and its handshake
REDIAL_FIRST = 100_000  # us
REDIAL_MOST = 2_000_000
SILENCE = 4  # leases without a word after which a pilot's stream counts as broken
SILENCE_LEAST = 2_000_000  # us; with short leases, a slow moment must not break streams


class Tally:
    """What was met and what came since the last sums to one pilot."""

    def __init__(self, now: int) -> None:
        self.since = now
        self.met: dict[str, list[int]] = {}
        self.heat: dict[tuple[int, int], list[int]] = {}


class Agent:
    """`chance()` gives [0, 1); `challenge()` fresh bytes for a handshake. `observe(event, **fields)` hears what came on the streams, for a record."""

    def __init__(
        self,
        loop: Loop,
        identity: Identity,
        pilots: dict[str, tuple[str, int]],
        store: Optional[tuple[str, int]],
        tables: Tables,
        chance: Callable[[], float],
        observe: Optional[Callable[..., None]] = None,
        challenge: Callable[[], bytes] = lambda: b"",
    ) -> None:
        self.loop = loop
        self.shares = ProxyShares(1 + int(chance() * (1 << 52)), loop.now())
        self.gate = ProxyGate(chance)
        tables.may_probe = self._may_probe
        tables.answered = self.gate.answered
        self.challenge = challenge
        self.identity = identity
        self.pilots = pilots
        self.tables = tables
        self.chance = chance
        self.observe = observe or (lambda event, **fields: None)
        self.tallies: dict[str, Tally] = {}
        self.open: dict[str, Counter[str]] = {}  # by pilot: tries under way at each endpoint
        self.frozen_until = 0  # applying a message takes time, in which nothing is picked
        self.changed: list[Waker] = []  # ops that wait for an owner
        self.links: dict[str, Link] = {}
        if tables.slices:  # each slice has a pilot of its own, so all are listened to
            self.tasks = [loop.spawn(self._follow([name]), f"agent {name}") for name in pilots]
        else:
            self.tasks = [loop.spawn(self._follow(list(pilots)), "agent")]
        if store is not None:
            self.tasks.append(loop.spawn(self._read_store(store), "agent store"))

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            link.close("stopping", "the proxy stops")

    # ---- the proxy's side

    def may_retry(self) -> bool:
        """Whether one op may be tried again now, by the fleet's budget for that; spends one if so. Always where there is none."""
        return self.shares.spend(self.loop.now(), "retries")

    def _may_probe(self) -> bool:
        return self.shares.spend(self.loop.now(), "probes")

    def pick(self, slice_id: int, op_type: int) -> Coroutine:
        """A Pick or a NoPick; waits while a message is being applied."""
        while self.loop.now() < self.frozen_until:
            yield from self.loop.sleep(self.frozen_until - self.loop.now())
        return self.tables.pick(self.loop.now(), slice_id, op_type, self.chance())

    def pick_within(self, slice_id: int, op_type: int, span: int) -> Coroutine:
        """As `pick`, but an op that finds no owner waits up to `span` us for one."""
        until = self.loop.now() + span
        while True:
            got = yield from self.pick(slice_id, op_type)
            if isinstance(got, Pick) or not got.waits or self.loop.now() >= until:
                return got
            waker = self.loop.waker()
            self.changed.append(waker)
            try:
                yield from self.loop.park(until)
            except TimedOut:
                return got

    def came(self, slice_id: int, op_type: int, fresh: bool = True) -> None:
        """An op came, a repeat or one that will be rejected too. `fresh`: it is no repeat, and earns its part of one."""
        if fresh:
            self.shares.on_fresh()
        self.gate.came(self.loop.now(), self.tables.told_by(slice_id), op_type, fresh)
        if self.tables.slices:
            tally = self.tallies.get(self.tables.held[slice_id].pilot)
            if tally is not None:
                tally.heat.setdefault((slice_id, op_type), [0, 0])[0] += 1

    def unanswered(self, slice_id: int, op_type: int) -> None:
        """An op that was let in got no response."""
        if self.tables.slices:
            tally = self.tallies.get(self.tables.held[slice_id].pilot)
            if tally is not None:
                tally.heat.setdefault((slice_id, op_type), [0, 0])[1] += 1

    def admit(self, pick: Pick, op_type: int, left: int, fresh: bool = True) -> Optional[Turned]:
        """Whether a picked op may be sent: None, or why it is rejected. `left`: us of its op timeout."""
        return self.gate.admit(self.loop.now(), pick.pilot, pick.endpoint, op_type, left, fresh)

    def sent(self, pick: Pick) -> None:
        """A try begins; `tried` tells of its end."""
        self.open.setdefault(pick.pilot, Counter())[pick.endpoint] += 1

    def tried(self, pick: Pick, aborted: bool, took: int, op_type: int = -1, full: bool = False) -> None:
        """One try has ended; `took` in us. `full`: the endpoint turned it away for want of room."""
        self.tables.on_outcome(self.loop.now(), pick.endpoint, aborted)
        under_way = self.open.get(pick.pilot)
        if under_way is not None and under_way[pick.endpoint] > 0:
            under_way[pick.endpoint] -= 1
        if op_type >= 0:
            outcome = "full" if full else "aborted" if aborted else "acked"
            self.gate.ended(self.loop.now(), pick.pilot, pick.endpoint, op_type, outcome, took)
        tally = self.tallies.get(pick.pilot)
        if tally is not None:
            met = tally.met.setdefault(pick.endpoint, [0, 0, 0, 0])
            met[0] += 1
            met[1] += aborted
            met[2] += 0 if aborted else took
            met[3] += full

    # ---- one pilot's stream

    def _follow(self, names: list[str]) -> Coroutine:
        """Keeps one stream, to the first of `names` that answers, beginning with one by chance."""
        redial = Redial(REDIAL_FIRST, REDIAL_MOST, self.chance)
        at = int(self.chance() * len(names))
        while True:
            name, asked = names[at % len(names)], 0
            try:
                link, first = yield from self._dial(name)
                redial.well()
                yield from self._talk(name, link, first)
            except (StreamBroken, ProtocolError, TimedOut) as error:
                asked = getattr(error, "after", 0)
                self.observe("lost", pilot=name, reason=str(error) or "silence")
            at += 1
            yield from self.loop.sleep(redial.wait(asked))

    def _dial(self, name: str) -> Coroutine:
        session = Session(self.identity, challenge=self.challenge())
        link, first = yield from connect(self.loop, self.pilots[name], session, DIAL_TIMEOUT)
        assert session.peer is not None
        if session.peer.id != name:
            link.close("wrong-peer", f"{session.peer.id} answers where {name} was expected")
            raise StreamBroken(f"{session.peer.id} answers where {name} was expected")
        return link, first

    def _talk(self, name: str, link: Link, first: list[m.Message]) -> Coroutine:
        welcome = link.session.welcome
        assert welcome is not None
        self.links[name] = link
        self.tables.on_join(name)
        self.shares.on_join(self.loop.now(), name, welcome.budgets)
        self.gate.on_join(self.loop.now(), name, welcome.loads)
        tally = self.tallies[name] = Tally(self.loop.now())
        self.observe("joined", pilot=name)
        beats: dict[int, int] = {}
        helpers = [
            self.loop.spawn(self._beat(name, link, beats, welcome.beat_every), f"agent {name} beat"),
            self.loop.spawn(self._report(name, link, tally, welcome.report_every), f"agent {name} report"),
        ]
        silence = max(SILENCE_LEAST, SILENCE * welcome.lease)
        got = first
        try:
            while True:
                for message in got:
                    yield from self._take(name, link, message, beats, welcome.apply_cost)
                got = yield from link.receive(self.loop.now() + silence)
        except ProtocolError as error:
            link.close(error.code, str(error))
            raise
        finally:
            for helper in helpers:
                helper.cancel()
            self.tables.on_lost(name)
            self.shares.on_lost(self.loop.now(), name)
            self.links.pop(name, None)
            link.stream.finish(500_000)

    def _take(self, name: str, link: Link, message: m.Message, beats: dict[int, int], cost: int) -> Coroutine:
        now = self.loop.now()
        if isinstance(message, m.HeartbeatOk):
            asked_at = beats.pop(message.n, None)
            if asked_at is not None and message.in_charge:
                self.tables.on_lease(name, asked_at)
            self.shares.on_beat_ok(now, name, message)
            if message.told is not None:
                self.gate.on_told(now, name, message.told, message.fair)
            if message.trials is not None:
                self.tables.on_trials(now, name, {own.endpoint: own.share for own in message.trials})
            if message.probe:
                self.tables.on_leave(now, message.probe)
        elif isinstance(message, m.Order):
            rows = len(message.lines) + len(message.levels)
            self.observe("order", pilot=name, order=message)
            if cost and rows:  # the proxy stands still for the stated cost a line
                self.frozen_until = max(now, self.frozen_until) + cost * rows
                yield from self.loop.sleep(self.frozen_until - now)
            self.tables.on_order(name, message)
            self._in_force(name)
            if message.mark is not None:
                link.send(m.Ack(message.mark))
        elif isinstance(message, m.Snapshot):
            self.observe("held", pilot=name, rows=message.slices)
            self.tables.on_snapshot(now, name, message)
            self._in_force(name)
        elif isinstance(message, m.SliceAssignment):
            self.observe("held", pilot=name, rows=message.given)
            self.tables.on_charge(now, name, message)
            self._in_force(name)

    def _in_force(self, name: str) -> None:
        self.observe("in_force", pilot=name)
        waiting, self.changed = self.changed, []
        for waker in waiting:
            waker.wake()

    def _beat(self, name: str, link: Link, beats: dict[int, int], every: int) -> Coroutine:
        """Asks for the lease; each answer counts from when it was asked."""
        n, wait = (
            0,
            int(every * self.chance()),
        )  # the second beat at a phase of its own: joiners after a restart came together
        while not link.closed:
            n += 1
            beats[n] = self.loop.now()
            beats.pop(n - 64, None)  # so many without an answer: the old ones bring no lease any more
            try:
                link.send(self.shares.on_beat(self.loop.now(), name, m.Heartbeat(n)))
            except StreamBroken:
                return
            yield from self.loop.sleep(wait)
            wait = every

    def _report(self, name: str, link: Link, tally: Tally, every: int) -> Coroutine:
        wait = int(
            every * (0.5 + self.chance() / 2)
        )  # the first sums early, each proxy's at a phase of its own
        while not link.closed:
            yield from self.loop.sleep(wait)
            wait = every
            span = self.loop.now() - tally.since
            tally.since = self.loop.now()
            loads, under_way = self.gate.loads(self.loop.now(), name), self.open.get(name, Counter())
            for end in +under_way if name in self.gate.counting else ():
                tally.met.setdefault(end, [0, 0, 0, 0])
            met = [
                m.EndpointStats(end, tries, bad, took // max(1, tries - bad), span, full, under_way[end])
                for end, (tries, bad, took, full) in sorted(tally.met.items())
            ]
            heat = [
                m.SliceStats(number, kind, ops, lost, span)
                for (number, kind), (ops, lost) in sorted(tally.heat.items())
            ]
            tally.met.clear()
            tally.heat.clear()
            shuns = self.tables.shunned(self.loop.now()) if name in self.gate.counting else []
            try:
                if met or heat or loads or shuns:
                    link.send(m.ProxyReport(met, heat, loads, shuns))
            except StreamBroken:
                return

    # ---- the store

    def _read_store(self, address: tuple[str, int]) -> Coroutine:
        """Once, at the start: a proxy that reaches no pilot still knows the owners, for what is no write."""
        redial = Redial(REDIAL_FIRST, REDIAL_MOST, self.chance)
        while True:
            asked = 0
            try:
                link, _ = yield from connect(
                    self.loop, address, Session(self.identity, challenge=self.challenge()), DIAL_TIMEOUT
                )
                link.send(m.ReadTables(1))
                for message in (yield from link.receive(self.loop.now() + DIAL_TIMEOUT)):
                    if isinstance(message, m.Tables):
                        self.tables.on_store(message.slices)
                        self._in_force("")
                        link.close("done", "read")
                        return
            except (StreamBroken, ProtocolError, TimedOut) as error:
                asked = getattr(error, "after", 0)
                self.observe("store_unread", reason=str(error))
            yield from self.loop.sleep(redial.wait(asked))


__all__ = ["Agent", "NoPick", "OpKind", "Pick", "Tables"]
