"""A model of many proxies behind a relay that is the store too: streams that break, acknowledgements that are lost, and two oracles
over what each proxy holds. It has no I/O: a host passes the time in, carries orders to it, and hears its news.

Oracle of rule one: how long a joined proxy had no line for a slice. Oracle of rule two: no proxy may write to an owner of a slice
while another may write to a different one, or less than the bound on writes in hand after it could. Times are in 0.1 ms.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Callable, NamedTuple, Optional

SECOND = 10_000  # 0.1 ms
MESSAGE_HEAD = 16  # lines that a message counts beside its own
TRANSIT = (1_500, 6_600)  # 0.1 ms; from leaving the channel to the proxy
READS_WITHIN = (1_000, 5_000)  # 0.1 ms; from joining to the store's tables; the page says within a second
NEVER = 10**12  # 0.1 ms; after any time
DEAF_FROM = 2 * SECOND  # when the streams of deaf proxies break
LONG_GAP = 10 * SECOND  # 0.1 ms without a line from which each case is kept
READ_AGAIN = 200  # 0.1 ms; how often a message that waits for the store's tables is looked at

Tell = Callable[..., None]
Order = tuple[Any, ...]


class Gap(NamedTuple):
    """A time in which a joined proxy had no line for a slice, in s."""

    proxy: int
    slice_id: int
    since: float
    until: float


class Conflict(NamedTuple):
    """A proxy could write to an owner while writes to others were possible or in hand."""

    at: float
    slice_id: int
    owner: str
    others: list[str]


@dataclass
class Faults:
    """`breaks`: streams lost a second, each back after `away` s. `flapping`: (proxies, s up, s away), over and over. `mute`: proxies
    that acknowledge nothing. `deaf`: proxies whose stream breaks at second 2 and nobody notices, so that their leases run out.
    `lost`: share of acknowledgements that are lost. `lost_once`: (proxy, barrier's number). `slow`: (from s, to s, times slower) of the channel."""

    breaks: float = 0.0
    away: tuple[float, float] = (1.0, 3.0)
    flapping: tuple[int, float, float] = (0, 0.0, 0.0)
    mute: frozenset[int] = frozenset()
    deaf: frozenset[int] = frozenset()
    lost: float = 0.0
    lost_once: tuple[int, int] = (-1, -1)
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)


@dataclass
class Row:
    """A slice's table: its line, whether writes are let in, and how new that is."""

    owner: str = ""
    closed: bool = False
    version: int = 0


@dataclass
class ModelProxy:
    """A proxy's stream, its leave to write, and the tables that it holds."""

    rows: dict[int, Row] = field(default_factory=dict)
    joined: bool = True
    session: int = 0
    writes: bool = True  # its lease runs, or it has read the store since
    has_read: bool = True  # the store, in this stream
    joined_at: int = 0


class ProxyFleet:
    """`tell(event, proxy, *more)` hears "join", "leave" and "ack" (barrier, latency), in order."""

    def __init__(
        self,
        seed: int,
        faults: Faults,
        owners: dict[int, str],
        tell: Tell,
        proxies: int = 150,
        lease: int = 8_000,
        in_hand: int = 30_200,
        lines_per_s: float = 6_300,
    ) -> None:
        self.chance, self.faults, self.tell = random.Random(seed), faults, tell
        self.lease, self.in_hand, self.lines_per_s = lease, in_hand, lines_per_s
        self.store = {number: Row(owner) for number, owner in owners.items()}
        self.proxies = {
            number: ModelProxy(rows={n: Row(one.owner) for n, one in self.store.items()})
            for number in range(proxies)
        }
        self.now, self.sequence, self.free, self.barriers = 0, 0, 0.0, 0
        self.agenda: list[tuple[Any, ...]] = []  # (when, sequence, call, arguments)
        self.writers: dict[int, Counter[str]] = {
            number: Counter({row.owner: proxies}) for number, row in self.store.items()
        }
        self.ended: dict[tuple[int, str], int] = {}  # (slice, owner) -> when the last proxy could write there
        self.without: dict[tuple[int, int], int] = {}  # (proxy, slice) -> since when it has no line
        self.longest, self.longest_of = 0, (0, 0, 0.0)  # (proxy, slice, since)
        self.gaps: list[Gap] = []  # those of LONG_GAP and more
        self.closed_since: dict[int, int] = {}
        self.closed_spans: list[int] = []
        self.conflicts: list[Conflict] = []
        for proxy in faults.deaf:
            self._at(DEAF_FROM + lease, self._lease_over, proxy, 0, True)
        for proxy in range(faults.flapping[0]):
            self._at(
                int(SECOND * (1 + self.chance.random() * faults.flapping[1])),
                self._break,
                proxy,
                0,
                faults.flapping[2],
                True,
            )
        if faults.breaks:
            self._at(SECOND, self._break_one)

    # ---- the host's side

    def advance(self, now: int) -> None:
        """Plays all that is due."""
        while self.agenda and self.agenda[0][0] <= now:
            self.now, _, call, *arguments = heapq.heappop(self.agenda)
            call(*arguments)
        self.now = max(self.now, now)

    def carry_out(self, now: int, orders: list[Order]) -> None:
        """Orders of one call: ("line", slice, owner, weight), ("level", slice, share), ("mark", number)."""
        self.advance(now)
        rows: dict[int, Row] = {}
        mark: Optional[int] = None
        for verb, number, *more in orders:
            if verb == "mark":
                mark = number
            elif number in self.store:
                rows[number] = self.store[number] = self._row(self.store[number], verb, more)
                self._note_closed(number, rows[number])
        if mark is not None:
            self.barriers += 1
        self._send(rows, mark, len(orders))

    def finish(self) -> float:
        """Counts what is still open; returns the longest time without a line, in s."""
        for proxy, number in list(self.without):
            self._fill(proxy, number)
        self.closed_spans += [self.now - since for since in self.closed_since.values()]
        return self.longest / SECOND

    def lose_pilot(self) -> None:
        """All streams to the pilot are gone; the proxies' leases run out."""
        for number, proxy in self.proxies.items():
            proxy.session += 1
            proxy.joined = False
            self._at(
                self.now + self.lease, self._lease_over, number, proxy.session
            )  # of one that is away it ends no later
        for key in list(self.without):
            self._fill(*key)

    def give_anew(self) -> dict[int, Row]:
        """The slices are given, with all levels open, and the proxies join and read the store; returns the rows."""
        for number, row in self.store.items():
            self.store[number] = Row(row.owner, False, row.version + 1)
            self._note_closed(number, self.store[number])
        for number, proxy in self.proxies.items():
            proxy.session += 1
            self._return(number, proxy.session, number < self.faults.flapping[0])
        return self.store

    # ---- the store and the channel

    @staticmethod
    def _row(row: Row, verb: str, more: list[Any]) -> Row:
        if verb == "level":
            return Row(row.owner, more[0] == 0, row.version + 1)
        owner, weight = more
        return Row(owner if weight else "" if owner == row.owner else row.owner, row.closed, row.version + 1)

    def _note_closed(self, number: int, row: Row) -> None:
        if row.closed or not row.owner:
            self.closed_since.setdefault(number, self.now)
        elif number in self.closed_since:
            self.closed_spans.append(self.now - self.closed_since.pop(number))

    def _send(self, rows: dict[int, Row], mark: Optional[int], lines: int) -> None:
        begin, end, factor = self.faults.slow
        slower = factor if begin * SECOND <= self.now < end * SECOND else 1.0
        self.free = max(self.free, self.now)
        for number, proxy in self.proxies.items():
            if proxy.joined and (rows or mark is not None):
                self.free += slower * (lines + MESSAGE_HEAD - 1) * SECOND / self.lines_per_s
                self._at(
                    int(self.free) + self.chance.randint(*TRANSIT),
                    self._arrive,
                    number,
                    proxy.session,
                    rows,
                    mark,
                    self.now,
                    self.barriers,
                )

    def _arrive(
        self, number: int, session: int, rows: dict[int, Row], mark: Optional[int], sent: int, barrier: int
    ) -> None:
        proxy = self.proxies[number]
        if proxy.session != session or not proxy.joined or self._deaf(number):
            return
        if not proxy.has_read:  # messages wait until the store has been read
            self._at(self.now + READ_AGAIN, self._arrive, number, session, rows, mark, sent, barrier)
            return
        for at, row in rows.items():
            self._hold(number, at, row)
        heard = number not in self.faults.mute and self.faults.lost_once != (number, barrier)
        if mark is not None and heard and self.chance.random() >= self.faults.lost:
            self.tell("ack", number, mark, self.now - sent)

    def _deaf(self, number: int) -> bool:
        return number in self.faults.deaf and self.proxies[number].session == 0 and self.now > DEAF_FROM

    # ---- streams

    def _break_one(self) -> None:
        joined = [number for number, proxy in self.proxies.items() if proxy.joined]
        if joined:
            number = self.chance.choice(joined)
            self._break(number, self.proxies[number].session, self.chance.uniform(*self.faults.away), False)
        self._at(self.now + int(SECOND * self.chance.expovariate(self.faults.breaks)), self._break_one)

    def _break(self, number: int, session: int, away: float, again: bool) -> None:
        proxy = self.proxies[number]
        if proxy.joined and (not again or proxy.session == session):
            proxy.joined = False
            proxy.session += 1
            for at in [at for one, at in self.without if one == number]:
                self._fill(number, at)
            self._at(self.now + self.lease, self._lease_over, number, proxy.session)
            self.tell("leave", number)
            self._at(self.now + int(SECOND * away), self._return, number, proxy.session, again)

    def _lease_over(self, number: int, session: int, unnoticed: bool = False) -> None:
        proxy = self.proxies[number]
        if proxy.session == session and (unnoticed or not proxy.joined):
            self._allow(number, False)

    def _return(self, number: int, session: int, again: bool) -> None:
        proxy = self.proxies[number]
        if proxy.session != session:
            return
        proxy.joined, proxy.has_read, proxy.joined_at = True, False, self.now
        for at, row in proxy.rows.items():
            if not row.owner:
                self.without[number, at] = self.now
        self._at(self.now + self.chance.randint(*READS_WITHIN), self._read, number, session)
        self.tell("join", number)
        if again:
            _, up, away = self.faults.flapping
            self._at(self.now + int(SECOND * up), self._break, number, session, away, True)

    def _read(self, number: int, session: int) -> None:
        proxy = self.proxies[number]
        if proxy.session != session or not proxy.joined:
            return
        proxy.has_read = True
        for at, row in self.store.items():
            self._hold(number, at, row)
        self._allow(number, True)

    # ---- what proxies hold, and the oracles

    def _hold(self, number: int, at: int, row: Row) -> None:
        proxy = self.proxies[number]
        old = proxy.rows[at]
        if row.version <= old.version:
            return
        proxy.rows[at] = row
        if proxy.writes:
            self._writable(at, "" if old.closed else old.owner, "" if row.closed else row.owner)
        if row.owner:
            self._fill(number, at)
        elif proxy.joined:
            self.without.setdefault((number, at), self.now)

    def _allow(self, number: int, writes: bool) -> None:
        proxy = self.proxies[number]
        if proxy.writes != writes:
            proxy.writes = writes
            for at, row in proxy.rows.items():
                owner = "" if row.closed else row.owner
                self._writable(at, "" if writes else owner, owner if writes else "")

    def _writable(self, at: int, before: str, after: str) -> None:
        """One proxy that could write to an owner of a slice may now write to another; "": to none."""
        if before == after:
            return
        writers = self.writers[at]
        if before:
            writers[before] -= 1
            self.ended[at, before] = self.now
        if after:
            writers[after] += 1
            others = [
                one
                for one, count in writers.items()
                if one != after and (count > 0 or self.now < self.ended.get((at, one), -NEVER) + self.in_hand)
            ]
            if others:
                self.conflicts.append(Conflict(self.now / SECOND, at, after, others))

    def _fill(self, number: int, at: int) -> None:
        since = self.without.pop((number, at), None)
        if since is not None and self.now - since >= LONG_GAP:
            self.gaps.append(Gap(number, at, since / SECOND, self.now / SECOND))
        if since is not None and self.now - since > self.longest:
            self.longest, self.longest_of = self.now - since, (number, at, since / SECOND)

    def _at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.agenda, (when, self.sequence, call, *arguments))
