"""Three textbook failure detectors, compared with the product's own in `benchmarks.membership`.

Messages are Python objects; their sizes are counted as a compact encoding would have them.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any, Callable, Optional

from cedarshift.judge.chance import Lcg
from cedarshift.judge.roll import ALIVE, DEAD, SUSPECT, UNHEARD, Change

HEARTBEAT_BYTES = 60  # heartbeat with its seal, the size of the product's header
RECORD_BYTES = 24  # piggybacked member state
Address = tuple[str, int]


class StateTable:
    """Member states in the form that the simulation's checks read."""

    def __init__(self, names: list[str]) -> None:
        self.states = {name: UNHEARD for name in names}

    def view(self) -> dict[str, tuple[str, int, int]]:
        return {name: (state, 0, 0) for name, state in self.states.items()}


class BaselineMember:
    """Base of the detectors: addresses, timer, outbox and traffic counters."""

    def __init__(
        self,
        me: str,
        addresses: dict[str, Address],
        period: int,
        start: int,
        seed: int,
        now: int,
        on_change: Callable[[int, Change], None],
    ) -> None:
        self.me = me
        self.addresses = addresses
        self.names = sorted(addresses)
        self.period = period
        self.start = start
        self.rng = Lcg(seed)
        self.on_change = on_change
        self.table = StateTable(self.names)
        self.table.states[me] = ALIVE
        self.out: list[tuple[Address, Any]] = []
        self.stream_requests: list[Any] = []
        self.next_at = now + self.rng.draw(period)
        self.counts = {"datagrams_sent": 0, "bytes_sent": 0}

    def due(self) -> int:
        return self.next_at

    def send(self, to: str, message: Any, size: int) -> None:
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += size
        self.out.append((self.addresses[to], message))

    def set_state(self, now: int, name: str, state: str) -> None:
        before = self.table.states[name]
        if before != state:
            self.table.states[name] = state
            visible_count = sum(one in (ALIVE, SUSPECT) for one in self.table.states.values())
            self.on_change(
                now, Change(name, before, state, 0, 0, (self.me,), (), visible_count, len(self.names))
            )

    def on_frame(self, now: int, data: Any) -> None:
        return None

    def leave(self, now: int) -> None:
        pass


class Heartbeats(BaselineMember):
    """All-to-all heartbeats; a member is dead after a fixed number of silent periods."""

    TIMEOUT_PERIODS = 5

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.last_heard: dict[str, int] = {}

    def tick(self, now: int) -> None:
        if now < self.next_at:
            return
        self.next_at = now + self.period
        for name in self.names:
            if name != self.me:
                self.send(name, self.me, HEARTBEAT_BYTES)
        for name, at in self.last_heard.items():
            if self.is_dead(now, name, at):
                self.set_state(now, name, DEAD)

    def is_dead(self, now: int, name: str, at: int) -> bool:
        return now - at > self.TIMEOUT_PERIODS * self.period

    def on_datagram(self, now: int, data: Any, source: Address) -> None:
        self.record_arrival(now, data)
        self.last_heard[data] = now
        self.set_state(now, data, ALIVE)

    def record_arrival(self, now: int, name: str) -> None:
        pass


class Phi(Heartbeats):
    """All-to-all heartbeats with a phi accrual failure detector (Hayashibara et al., 2004)."""

    PHI = 8.0
    MAX_INTERVALS = 100

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.intervals: dict[str, deque[int]] = {}

    def record_arrival(self, now: int, name: str) -> None:
        if name in self.last_heard:
            self.intervals.setdefault(name, deque(maxlen=self.MAX_INTERVALS)).append(
                now - self.last_heard[name]
            )

    def is_dead(self, now: int, name: str, at: int) -> bool:
        intervals = self.intervals.get(name, ())
        if len(intervals) < 5:
            return now - at > 10 * self.period
        mean = sum(intervals) / len(intervals)
        spread = max(
            0.1 * self.period,
            math.sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)),
        )
        tail = 0.5 * math.erfc((now - at - mean) / spread / math.sqrt(2))
        return tail < 10**-self.PHI


class Swim(BaselineMember):
    """SWIM (Das et al., 2002): random and indirect probes, fixed suspicion timeout, incarnation numbers.

    One observer suffices to declare a member dead, and local health is not considered.
    """

    INDIRECT_PROBES = 3
    SUSPICION_MULTIPLIER = 3.0  # times log10(members), in periods
    RETRANSMIT_MULTIPLIER = 3  # times log2(members + 1)
    MAX_RECORDS = 40  # per datagram

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.incarnation = 0
        # Name -> (incarnation, state: 0 alive, 1 suspect, 2 dead); configured members start as alive.
        self.known: dict[str, tuple[int, int]] = {name: (0, 0) for name in self.names}
        self.table.states = {name: ALIVE for name in self.names}
        self.suspected: dict[str, int] = {}
        self.queue: dict[str, int] = {}
        self.order: list[str] = []
        self.target: Optional[str] = None
        self.answered = True
        self.indirect_probes_sent = True
        self.probe_at = 0
        self.nonce = 0
        self.relayed_probes: dict[tuple[str, int], tuple[str, int]] = {}
        size = len(self.names)
        self.suspicion = int(max(3.0, self.SUSPICION_MULTIPLIER * math.log10(size)) * self.period)
        self.retransmissions = self.RETRANSMIT_MULTIPLIER * math.ceil(math.log2(size + 1))

    def due(self) -> int:
        return (
            self.next_at
            if self.indirect_probes_sent
            else min(self.next_at, self.probe_at + 4 * self.period // 10)
        )

    def send_message(self, to: str, kind: str, nonce: int = 0, about: str = "") -> None:
        chosen = sorted(self.queue, key=lambda name: -self.queue[name])[: self.MAX_RECORDS]
        records = [
            (name, *self.known[name]) for name in {*chosen, *([to] if to in self.known else []), self.me}
        ]
        for name in chosen:
            self.queue[name] -= 1
            if self.queue[name] <= 0:
                del self.queue[name]
        self.send(to, (kind, self.me, nonce, about, records), HEARTBEAT_BYTES + RECORD_BYTES * len(records))

    def apply_record(self, now: int, name: str, incarnation: int, state: int) -> None:
        if name == self.me:
            if state and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.known[self.me] = (self.incarnation, 0)
                self.queue[self.me] = self.retransmissions
            return
        known = self.known.get(name)
        if known is not None and ((incarnation, state) <= known or known[1] == 2 and incarnation <= known[0]):
            return
        self.known[name] = (incarnation, state)
        self.queue[name] = self.retransmissions
        if state == 1:
            self.suspected.setdefault(name, now)
        else:
            self.suspected.pop(name, None)
        self.set_state(now, name, (ALIVE, SUSPECT, DEAD)[state])

    def tick(self, now: int) -> None:
        if not self.indirect_probes_sent and now >= self.probe_at + 4 * self.period // 10:
            self.indirect_probes_sent = True
            others = [
                name for name in self.known if name not in (self.me, self.target) and self.known[name][1] < 2
            ]
            for helper in (
                self.rng.sample(others, self.INDIRECT_PROBES) if not self.answered and self.target else ()
            ):
                self.send_message(helper, "help", self.nonce, self.target or "")
        if now < self.next_at:
            return
        self.next_at = now + self.period
        if self.target and not self.answered and self.known.get(self.target, (0, 2))[1] == 0:
            self.apply_record(now, self.target, self.known[self.target][0], 1)
        for name, since in list(self.suspected.items()):
            if now - since > self.suspicion:
                self.apply_record(now, name, self.known[name][0], 2)
        self.target = self.next_target()
        if self.target:
            self.nonce += 1
            self.answered, self.indirect_probes_sent, self.probe_at = False, False, now
            self.send_message(self.target, "ping", self.nonce)

    def next_target(self) -> Optional[str]:
        while True:
            if not self.order:
                self.order = self.rng.shuffle(
                    [n for n, (_, state) in self.known.items() if n != self.me and state < 2]
                )
                if not self.order:
                    return None
            name = self.order.pop()
            if self.known[name][1] < 2:
                return name

    def on_datagram(self, now: int, data: Any, source: Address) -> None:
        kind, sender, nonce, about, records = data
        for name, incarnation, state in records:
            self.apply_record(now, name, incarnation, state)
        if kind == "ping":
            self.send_message(sender, "ack", nonce, self.me)
        elif kind == "help":
            self.nonce += 1
            self.relayed_probes[about, self.nonce] = (sender, nonce)
            self.send_message(about, "ping", self.nonce)
        elif kind == "ack":
            requester = self.relayed_probes.pop((about, nonce), None)
            if requester is not None:
                self.send_message(requester[0], "ack", requester[1], about)
            elif about == self.target and nonce == self.nonce:
                self.answered = True
