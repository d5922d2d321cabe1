"""The agent's connections: streams to the pilots with heartbeats, acks and reports, and a store read."""

from __future__ import annotations

from collections import Counter
from typing import Callable, Optional

from cedarshift.agent.gate import ProxyGate, Rejection
from cedarshift.agent.shares import ProxyShares
from cedarshift.agent.tables import NoPick, OpKind, Pick, Tables
from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import Backoff
from cedarshift.link import Link, connect
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine, Waker

DIAL_TIMEOUT_US = 1_000_000  # connect and handshake
MIN_REDIAL_DELAY_US = 100_000
MAX_REDIAL_DELAY_US = 2_000_000
SILENCE_LEASES = 4  # a stream without messages for this many leases is closed
MIN_SILENCE_US = 2_000_000  # lower bound of that, for short leases


class PendingReport:
    """Counts for the next report to one pilot."""

    def __init__(self, now: int) -> None:
        self.since = now  # us, start of the period counted
        # endpoint -> tries, aborted, total latency of acked tries (us), tries that found it full
        self.endpoint_stats: dict[str, list[int]] = {}
        self.slice_stats: dict[tuple[int, int], list[int]] = {}  # (slice, op type) -> ops, unanswered


class Agent:
    """Connects a proxy to its pilots and, unless `store` is None, reads the tables of the store at the start.

    `rng` returns random numbers in [0, 1) and `challenge` random bytes for a handshake.
    `observe(event, **fields)` is called for events on the streams.
    """

    def __init__(
        self,
        loop: Loop,
        identity: Identity,
        pilots: dict[str, tuple[str, int]],
        store: Optional[tuple[str, int]],
        tables: Tables,
        rng: Callable[[], float],
        observe: Optional[Callable[..., None]] = None,
        challenge: Callable[[], bytes] = lambda: b"",
    ) -> None:
        self.loop = loop
        self.shares = ProxyShares(1 + int(rng() * (1 << 52)), loop.now())
        self.gate = ProxyGate(rng)
        tables.may_probe = self._may_probe
        tables.overload_active = self.gate.has_active_policy
        self.challenge = challenge
        self.identity = identity
        self.pilots = pilots
        self.tables = tables
        self.rng = rng
        self.observe = observe or (lambda event, **fields: None)
        self.pending_reports: dict[str, PendingReport] = {}
        self.in_flight: dict[str, Counter[str]] = {}  # pilot -> tries in flight by endpoint
        self.applying_until = 0  # us; no endpoint is picked while an order is being applied
        self.owner_waiters: list[Waker] = []  # ops that wait for an owner
        self.links: dict[str, Link] = {}
        if tables.slices:  # any pilot may hold slices, so a stream to each is kept
            self.tasks = [loop.spawn(self._stream_loop([name]), f"agent {name}") for name in pilots]
        else:
            self.tasks = [loop.spawn(self._stream_loop(list(pilots)), "agent")]
        if store is not None:
            self.tasks.append(loop.spawn(self._read_store(store), "agent store"))

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            link.close("stopping", "the proxy stops")

    # ---- calls of the proxy

    def may_retry(self) -> bool:
        """Spends a retry of the fleet's budget. Returns False if none is left, True if no budget applies."""
        return self.shares.spend(self.loop.now(), "retries")

    def _may_probe(self) -> bool:
        return self.shares.spend(self.loop.now(), "probes")

    def pick(self, slice_id: int, op_type: int) -> Coroutine:
        """Returns a Pick or a NoPick, after waiting while an order is being applied."""
        while self.loop.now() < self.applying_until:
            yield from self.loop.sleep(self.applying_until - self.loop.now())
        return self.tables.pick(self.loop.now(), slice_id, op_type, self.rng())

    def pick_within(self, slice_id: int, op_type: int, span: int) -> Coroutine:
        """Like `pick`, but waits up to `span` us for a slice to get an owner."""
        until = self.loop.now() + span
        while True:
            picked = yield from self.pick(slice_id, op_type)
            if isinstance(picked, Pick) or not picked.waits or self.loop.now() >= until:
                return picked
            waker = self.loop.waker()
            self.owner_waiters.append(waker)
            try:
                yield from self.loop.park(until)
            except TimedOut:
                return picked

    def on_op_received(self, slice_id: int, op_type: int, fresh: bool = True) -> None:
        """Counts an incoming op, admitted or not. `fresh` is whether it is no repeat."""
        if fresh:
            self.shares.on_first_try()
        self.gate.on_op_received(self.loop.now(), self.tables.pilot_for(slice_id), op_type, fresh)
        if self.tables.slices:
            pending = self.pending_reports.get(self.tables.held[slice_id].pilot)
            if pending is not None:
                pending.slice_stats.setdefault((slice_id, op_type), [0, 0])[0] += 1

    def on_op_unanswered(self, slice_id: int, op_type: int) -> None:
        """Counts an admitted op that got no response."""
        if self.tables.slices:
            pending = self.pending_reports.get(self.tables.held[slice_id].pilot)
            if pending is not None:
                pending.slice_stats.setdefault((slice_id, op_type), [0, 0])[1] += 1

    def admit(self, pick: Pick, op_type: int, left: int, fresh: bool = True) -> Optional[Rejection]:
        """Returns None if a picked op may be sent, else the rejection.

        `left` is the rest of its op timeout (us), `fresh` whether it is no repeat.
        """
        return self.gate.admit(self.loop.now(), pick.pilot, pick.endpoint, op_type, left, fresh)

    def on_try_started(self, pick: Pick) -> None:
        """Counts a try as in flight until `on_try_finished`."""
        self.in_flight.setdefault(pick.pilot, Counter())[pick.endpoint] += 1

    def on_try_finished(
        self, pick: Pick, aborted: bool, took: int, op_type: int = -1, full: bool = False
    ) -> None:
        """Records a try that took `took` us. `full` is whether the endpoint's queue was full.

        With `op_type` -1 the try does not count in the loads that pilots ask for.
        """
        self.tables.on_outcome(self.loop.now(), pick.endpoint, aborted)
        in_flight = self.in_flight.get(pick.pilot)
        if in_flight is not None and in_flight[pick.endpoint] > 0:
            in_flight[pick.endpoint] -= 1
        if op_type >= 0:
            outcome = "full" if full else "aborted" if aborted else "acked"
            self.gate.on_try_finished(self.loop.now(), pick.pilot, pick.endpoint, op_type, outcome, took)
        pending = self.pending_reports.get(pick.pilot)
        if pending is not None:
            counts = pending.endpoint_stats.setdefault(pick.endpoint, [0, 0, 0, 0])
            counts[0] += 1
            counts[1] += aborted
            counts[2] += 0 if aborted else took
            counts[3] += full

    # ---- streams of pilots

    def _stream_loop(self, names: list[str]) -> Coroutine:
        """Keeps one stream open to one of the pilots `names`, which are tried in turn from a random one."""
        backoff = Backoff(MIN_REDIAL_DELAY_US, MAX_REDIAL_DELAY_US, self.rng)
        attempt = int(self.rng() * len(names))
        while True:
            name, min_wait = names[attempt % len(names)], 0
            try:
                link, first = yield from self._dial(name)
                backoff.reset()
                yield from self._run_session(name, link, first)
            except (StreamBroken, ProtocolError, TimedOut) as error:
                min_wait = getattr(error, "after", 0)
                self.observe("lost", pilot=name, reason=str(error) or "silence")
            attempt += 1
            yield from self.loop.sleep(backoff.wait(min_wait))

    def _dial(self, name: str) -> Coroutine:
        """Connects to a pilot. Raises StreamBroken if another one answers at its address."""
        session = Session(self.identity, challenge=self.challenge())
        link, first = yield from connect(self.loop, self.pilots[name], session, DIAL_TIMEOUT_US)
        assert session.peer is not None
        if session.peer.id != name:
            link.close("wrong-peer", f"{session.peer.id} answers where {name} was expected")
            raise StreamBroken(f"{session.peer.id} answers where {name} was expected")
        return link, first

    def _run_session(self, name: str, link: Link, first: list[m.Message]) -> Coroutine:
        """Handles a pilot's messages until its stream ends."""
        welcome = link.session.welcome
        assert welcome is not None
        self.links[name] = link
        self.tables.on_join(name)
        self.shares.on_join(self.loop.now(), name, welcome.budgets)
        self.gate.on_join(self.loop.now(), name, welcome.loads)
        pending = self.pending_reports[name] = PendingReport(self.loop.now())
        self.observe("joined", pilot=name)
        heartbeats: dict[int, int] = {}  # unanswered heartbeat -> when it was sent (us)
        background_tasks = [
            self.loop.spawn(
                self._heartbeat_loop(name, link, heartbeats, welcome.beat_every), f"agent {name} beat"
            ),
            self.loop.spawn(
                self._report_loop(name, link, pending, welcome.report_every), f"agent {name} report"
            ),
        ]
        silence = max(MIN_SILENCE_US, SILENCE_LEASES * welcome.lease)
        messages = first
        try:
            while True:
                for message in messages:
                    yield from self._handle_message(name, link, message, heartbeats, welcome.apply_cost)
                messages = yield from link.receive(self.loop.now() + silence)
        except ProtocolError as error:
            link.close(error.code, str(error))
            raise
        finally:
            for task in background_tasks:
                task.cancel()
            self.tables.on_lost(name)
            self.shares.on_lost(self.loop.now(), name)
            self.links.pop(name, None)
            link.stream.finish(500_000)  # us, to send what is queued

    def _handle_message(
        self, name: str, link: Link, message: m.Message, heartbeats: dict[int, int], cost: int
    ) -> Coroutine:
        """Applies one message of a pilot. `cost` is how long applying a line or level takes (us)."""
        now = self.loop.now()
        if isinstance(message, m.HeartbeatOk):
            asked_at = heartbeats.pop(message.n, None)
            if asked_at is not None and message.in_charge:
                self.tables.on_lease(name, asked_at)
            self.shares.on_heartbeat_ok(now, name, message)
            if message.told is not None:
                self.gate.on_policy(now, name, message.told, message.fair)
            if message.trials is not None:
                self.tables.on_trials(now, name, {own.endpoint: own.share for own in message.trials})
            if message.probe:
                self.tables.on_probe_permit(now, message.probe)
        elif isinstance(message, m.Order):
            rows = len(message.lines) + len(message.levels)
            self.observe("order", pilot=name, order=message)
            if cost and rows:
                self.applying_until = max(now, self.applying_until) + cost * rows
                yield from self.loop.sleep(self.applying_until - now)
            self.tables.on_order(name, message)
            self._wake_waiters(name)
            if message.mark is not None:
                link.send(m.Ack(message.mark))
        elif isinstance(message, m.Snapshot):
            self.observe("held", pilot=name, rows=message.slices)
            self.tables.on_snapshot(now, name, message)
            self._wake_waiters(name)
        elif isinstance(message, m.SliceAssignment):
            self.observe("held", pilot=name, rows=message.given)
            self.tables.on_assignment(now, name, message)
            self._wake_waiters(name)

    def _wake_waiters(self, name: str) -> None:
        """Lets waiting ops pick again after the tables changed; `name` is the pilot, "" for the store."""
        self.observe("in_force", pilot=name)
        waiting, self.owner_waiters = self.owner_waiters, []
        for waker in waiting:
            waker.wake()

    def _heartbeat_loop(self, name: str, link: Link, heartbeats: dict[int, int], interval: int) -> Coroutine:
        """Sends heartbeats, whose answers extend the lease from when they were sent.

        The second follows after a random part of the period, to spread proxies that joined together.
        """
        n, wait = (
            0,
            int(interval * self.rng()),
        )
        while not link.closed:
            n += 1
            heartbeats[n] = self.loop.now()
            heartbeats.pop(n - 64, None)  # drops a heartbeat too old to extend the lease
            try:
                link.send(self.shares.add_request(self.loop.now(), name, m.Heartbeat(n)))
            except StreamBroken:
                return
            yield from self.loop.sleep(wait)
            wait = interval

    def _report_loop(self, name: str, link: Link, pending: PendingReport, interval: int) -> Coroutine:
        """Sends periodic reports, the first after a random part of the period."""
        wait = int(interval * (0.5 + self.rng() / 2))
        while not link.closed:
            yield from self.loop.sleep(wait)
            wait = interval
            span = self.loop.now() - pending.since
            pending.since = self.loop.now()
            loads, in_flight = (
                self.gate.take_loads(self.loop.now(), name),
                self.in_flight.get(name, Counter()),
            )
            for endpoint in +in_flight if name in self.gate.counting_since else ():
                pending.endpoint_stats.setdefault(endpoint, [0, 0, 0, 0])
            endpoint_stats = [
                m.EndpointStats(
                    endpoint, tries, aborted, took // max(1, tries - aborted), span, full, in_flight[endpoint]
                )
                for endpoint, (tries, aborted, took, full) in sorted(pending.endpoint_stats.items())
            ]
            slice_stats = [
                m.SliceStats(slice_id, op_type, ops, unanswered, span)
                for (slice_id, op_type), (ops, unanswered) in sorted(pending.slice_stats.items())
            ]
            pending.endpoint_stats.clear()
            pending.slice_stats.clear()
            avoided = (
                self.tables.avoided_endpoints(self.loop.now()) if name in self.gate.counting_since else []
            )
            try:
                if endpoint_stats or slice_stats or loads or avoided:
                    link.send(m.ProxyReport(endpoint_stats, slice_stats, loads, avoided))
            except StreamBroken:
                return

    # ---- store

    def _read_store(self, address: tuple[str, int]) -> Coroutine:
        """Fetches the store's tables once at the start, so that reads work before any pilot is reached."""
        backoff = Backoff(MIN_REDIAL_DELAY_US, MAX_REDIAL_DELAY_US, self.rng)
        while True:
            min_wait = 0
            try:
                link, _ = yield from connect(
                    self.loop, address, Session(self.identity, challenge=self.challenge()), DIAL_TIMEOUT_US
                )
                link.send(m.ReadTables(1))
                for message in (yield from link.receive(self.loop.now() + DIAL_TIMEOUT_US)):
                    if isinstance(message, m.Tables):
                        self.tables.on_store(message.slices)
                        self._wake_waiters("")
                        link.close("done", "read")
                        return
            except (StreamBroken, ProtocolError, TimedOut) as error:
                min_wait = getattr(error, "after", 0)
                self.observe("store_unread", reason=str(error))
            yield from self.loop.sleep(backoff.wait(min_wait))


__all__ = ["Agent", "NoPick", "OpKind", "Pick", "Tables"]
