"""Three plain ways of finding dead members, to be played on the same days as the product's own (`benchmarks.membership`).

They speak in Python objects; sizes are counted as a compact encoding would have them. None of them is a stand-in for another
program: each is the textbook's rule in its plainest form.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any, Callable, Optional

from cedarshift.judge.chance import Lcg
from cedarshift.judge.roll import ALIVE, DEAD, SUSPECT, UNHEARD, Change

BEAT_BYTES = 60  # of a heartbeat with its seal, as the product's head has
RECORD_BYTES = 24  # of a member's state that rides along
Address = tuple[str, int]


class View:
    """What the crowd's checks read."""

    def __init__(self, names: list[str]) -> None:
        self.states = {name: UNHEARD for name in names}

    def view(self) -> dict[str, tuple[str, int, int]]:
        return {name: (state, 0, 0) for name, state in self.states.items()}


class Plain:
    """What the three share: names, addresses, a timer, an outbox with sizes."""

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
        self.chance = Lcg(seed)
        self.on_change = on_change
        self.table = View(self.names)
        self.table.states[me] = ALIVE
        self.out: list[tuple[Address, Any]] = []
        self.stream_requests: list[Any] = []
        self.next_at = now + self.chance.draw(period)
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
            side = sum(one in (ALIVE, SUSPECT) for one in self.table.states.values())
            self.on_change(now, Change(name, before, state, 0, 0, (self.me,), (), side, len(self.names)))

    def on_frame(self, now: int, data: Any) -> None:
        return None

    def leave(self, now: int) -> None:
        pass


class Heartbeats(Plain):
    """All to all, dead after a fixed time without any (five periods)."""

    SILENCE = 5

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.heard: dict[str, int] = {}

    def tick(self, now: int) -> None:
        if now < self.next_at:
            return
        self.next_at = now + self.period
        for name in self.names:
            if name != self.me:
                self.send(name, self.me, BEAT_BYTES)
        for name, at in self.heard.items():
            if self.is_dead(now, name, at):
                self.set_state(now, name, DEAD)

    def is_dead(self, now: int, name: str, at: int) -> bool:
        return now - at > self.SILENCE * self.period

    def on_datagram(self, now: int, data: Any, source: Address) -> None:
        self.note(now, data)
        self.heard[data] = now
        self.set_state(now, data, ALIVE)

    def note(self, now: int, name: str) -> None:
        pass


class Phi(Heartbeats):
    """All to all, judged by how unusual a silence is among the last gaps (phi accrual, Hayashibara and others, 2004)."""

    PHI = 8.0
    GAPS = 100

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.gaps: dict[str, deque[int]] = {}

    def note(self, now: int, name: str) -> None:
        if name in self.heard:
            self.gaps.setdefault(name, deque(maxlen=self.GAPS)).append(now - self.heard[name])

    def is_dead(self, now: int, name: str, at: int) -> bool:
        gaps = self.gaps.get(name, ())
        if len(gaps) < 5:
            return now - at > 10 * self.period
        mean = sum(gaps) / len(gaps)
        spread = max(0.1 * self.period, math.sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps)))
        tail = 0.5 * math.erfc((now - at - mean) / spread / math.sqrt(2))
        return tail < 10**-self.PHI


class Swim(Plain):
    """Random probe, three helpers, suspicion for a fixed time, incarnations (Das and others, 2002); one observer suffices, and
    nobody looks at its own health."""

    HELPERS = 3
    SUSPICION = 3.0  # times log10 of the members, in periods
    RETELL = 3  # times log2
    ROOM = 40  # records on a datagram

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.incarnation = 0
        # Name -> (incarnation, 0 alive, 1 suspect, 2 dead). All that are configured count as there from the start.
        self.known: dict[str, tuple[int, int]] = {name: (0, 0) for name in self.names}
        self.table.states = {name: ALIVE for name in self.names}
        self.suspected: dict[str, int] = {}
        self.queue: dict[str, int] = {}
        self.order: list[str] = []
        self.target: Optional[str] = None
        self.answered = True
        self.pressed = True
        self.probe_at = 0
        self.nonce = 0
        self.helping: dict[tuple[str, int], tuple[str, int]] = {}
        size = len(self.names)
        self.suspicion = int(max(3.0, self.SUSPICION * math.log10(size)) * self.period)
        self.retell = self.RETELL * math.ceil(math.log2(size + 1))

    def due(self) -> int:
        return self.next_at if self.pressed else min(self.next_at, self.probe_at + 4 * self.period // 10)

    def tell(self, to: str, kind: str, nonce: int = 0, about: str = "") -> None:
        chosen = sorted(self.queue, key=lambda name: -self.queue[name])[: self.ROOM]
        records = [
            (name, *self.known[name]) for name in {*chosen, *([to] if to in self.known else []), self.me}
        ]
        for name in chosen:
            self.queue[name] -= 1
            if self.queue[name] <= 0:
                del self.queue[name]
        self.send(to, (kind, self.me, nonce, about, records), BEAT_BYTES + RECORD_BYTES * len(records))

    def learn(self, now: int, name: str, incarnation: int, state: int) -> None:
        if name == self.me:
            if state and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.known[self.me] = (self.incarnation, 0)
                self.queue[self.me] = self.retell
            return
        known = self.known.get(name)
        if known is not None and ((incarnation, state) <= known or known[1] == 2 and incarnation <= known[0]):
            return
        self.known[name] = (incarnation, state)
        self.queue[name] = self.retell
        if state == 1:
            self.suspected.setdefault(name, now)
        else:
            self.suspected.pop(name, None)
        self.set_state(now, name, (ALIVE, SUSPECT, DEAD)[state])

    def tick(self, now: int) -> None:
        if not self.pressed and now >= self.probe_at + 4 * self.period // 10:
            self.pressed = True
            others = [
                name for name in self.known if name not in (self.me, self.target) and self.known[name][1] < 2
            ]
            for helper in (
                self.chance.sample(others, self.HELPERS) if not self.answered and self.target else ()
            ):
                self.tell(helper, "help", self.nonce, self.target or "")
        if now < self.next_at:
            return
        self.next_at = now + self.period
        if self.target and not self.answered and self.known.get(self.target, (0, 2))[1] == 0:
            self.learn(now, self.target, self.known[self.target][0], 1)
        for name, since in list(self.suspected.items()):
            if now - since > self.suspicion:
                self.learn(now, name, self.known[name][0], 2)
        self.target = self.next_target()
        if self.target:
            self.nonce += 1
            self.answered, self.pressed, self.probe_at = False, False, now
            self.tell(self.target, "ping", self.nonce)

    def next_target(self) -> Optional[str]:
        while True:
            if not self.order:
                self.order = self.chance.shuffle(
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
            self.learn(now, name, incarnation, state)
        if kind == "ping":
            self.tell(sender, "ack", nonce, self.me)
        elif kind == "help":
            self.nonce += 1
            self.helping[about, self.nonce] = (sender, nonce)
            self.tell(about, "ping", self.nonce)
        elif kind == "ack":
            asker = self.helping.pop((about, nonce), None)
            if asker is not None:
                self.tell(asker[0], "ack", asker[1], about)
            elif about == self.target and nonce == self.nonce:
                self.answered = True
