"""A model of many proxies behind a relay that is also the store, with broken streams and lost acks.

The model does no I/O: its host passes the time and the orders in and receives its events. Two oracles check
it: how long a joined proxy had no line for a slice, and that no proxy may write to an owner of a slice while
another may write to a different owner, or while such a write may still be in flight. Times are in ticks of
0.1 ms.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Callable, NamedTuple, Optional

TICKS_PER_SECOND = 10_000
HEADER_LINES = 16  # each message costs as much as this many lines, on top of its own
TRANSIT_TICKS = (1_500, 6_600)  # least and most, from the channel to the proxy, unless changed
READ_DELAY_TICKS = (1_000, 5_000)  # least and most, from joining to holding the store's tables
NEVER_TICKS = 10**12  # later than any time
DEAF_FROM_TICKS = 2 * TICKS_PER_SECOND
LONG_GAP_TICKS = 10 * TICKS_PER_SECOND  # shorter gaps without a line are not recorded
READ_POLL_TICKS = 200  # poll interval of messages that wait for the store's tables

EventCallback = Callable[..., None]
Order = tuple[Any, ...]


class Gap(NamedTuple):
    """A time, in seconds, in which a joined proxy had no line for a slice."""

    proxy: int
    slice_id: int
    since: float
    until: float


class Conflict(NamedTuple):
    """A proxy could write to an owner while writes to others were possible or in flight; `at` in seconds."""

    at: float
    slice_id: int
    owner: str
    others: list[str]


@dataclass
class Faults:
    """Faults of the fleet; times in seconds.

    `breaks`: streams lost per second, each of which returns after `away` (least, most).
    `flapping`: (number of proxies, time up, time away), repeated.
    `mute`: proxies that never acknowledge.
    `deaf`: proxies whose stream fails unnoticed at `DEAF_FROM_TICKS`, so that their leases run out.
    `lost`: share of acknowledgements that are lost.
    `lost_once`: (proxy, number of the barrier) of one lost acknowledgement.
    `slow`: (begin, end, factor) of a slow channel.
    """

    breaks: float = 0.0
    away: tuple[float, float] = (1.0, 3.0)
    flapping: tuple[int, float, float] = (0, 0.0, 0.0)
    mute: frozenset[int] = frozenset()
    deaf: frozenset[int] = frozenset()
    lost: float = 0.0
    lost_once: tuple[int, int] = (-1, -1)
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)


@dataclass
class TableRow:
    """The table of a slice: its owner, whether writes are closed, and its version."""

    owner: str = ""
    closed: bool = False
    version: int = 0


@dataclass
class ModelProxy:
    """A proxy: the state of its stream and lease, and the tables that it holds."""

    rows: dict[int, TableRow] = field(default_factory=dict)
    joined: bool = True
    session: int = 0
    writes: bool = True  # it may write: its lease is valid
    has_read: bool = True  # has read the store since it joined
    joined_at: int = 0


class ProxyFleet:
    """Simulates the proxies and their store.

    `on_event(event, proxy, *more)` is called for "join", "leave" and "ack" (mark, latency), in order.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults,
        owners: dict[int, str],
        on_event: EventCallback,
        proxies: int = 150,
        lease: int = 8_000,
        in_flight: int = 30_200,
        lines_per_s: float = 6_300,
    ) -> None:
        self.rng, self.faults, self.on_event = random.Random(seed), faults, on_event
        self.lease, self.in_flight, self.lines_per_s = lease, in_flight, lines_per_s
        self.transit = TRANSIT_TICKS
        self.store = {slice_id: TableRow(owner) for slice_id, owner in owners.items()}
        self.proxies = {
            proxy_id: ModelProxy(rows={n: TableRow(stored.owner) for n, stored in self.store.items()})
            for proxy_id in range(proxies)
        }
        self.now, self.sequence, self.channel_free_at, self.barriers = 0, 0, 0.0, 0
        self.event_heap: list[tuple[Any, ...]] = []  # a heap of (time, sequence, callback, arguments)
        self.writers: dict[int, Counter[str]] = {
            slice_id: Counter({row.owner: proxies}) for slice_id, row in self.store.items()
        }
        # (slice, owner) -> when a proxy last could write there
        self.last_writable_at: dict[tuple[int, str], int] = {}
        self.gap_started_at: dict[tuple[int, int], int] = {}  # (proxy, slice) -> begin of the open gap
        self.longest_gap, self.longest_gap_of = 0, (0, 0, 0.0)  # (proxy, slice, since)
        self.gaps: list[Gap] = []  # those of at least LONG_GAP_TICKS
        self.closed_started_at: dict[int, int] = {}
        self.closed_durations: list[int] = []
        self.conflicts: list[Conflict] = []
        for proxy in faults.deaf:
            self._schedule(DEAF_FROM_TICKS + lease, self._expire_lease, proxy, 0, True)
        for proxy in range(faults.flapping[0]):
            self._schedule(
                int(TICKS_PER_SECOND * (1 + self.rng.random() * faults.flapping[1])),
                self._break_stream,
                proxy,
                0,
                faults.flapping[2],
                True,
            )
        if faults.breaks:
            self._schedule(TICKS_PER_SECOND, self._break_random_stream)

    # ---- interface of the host

    def advance(self, now: int) -> None:
        """Runs all events that are due by `now`."""
        while self.event_heap and self.event_heap[0][0] <= now:
            self.now, _, call, *arguments = heapq.heappop(self.event_heap)
            call(*arguments)
        self.now = max(self.now, now)

    def apply_batch(self, now: int, orders: list[Order]) -> None:
        """Applies and sends one batch of orders.

        An order is ("line", slice, owner, weight), ("level", slice, share) or ("mark", number).
        """
        self.advance(now)
        rows: dict[int, TableRow] = {}
        mark: Optional[int] = None
        for verb, slice_id, *more in orders:
            if verb == "mark":
                mark = slice_id
            elif slice_id in self.store:
                rows[slice_id] = self.store[slice_id] = self._updated_row(self.store[slice_id], verb, more)
                self._track_closed(slice_id, rows[slice_id])
        if mark is not None:
            self.barriers += 1
        self._send(rows, mark, len(orders))

    def finish(self) -> float:
        """Closes the open gaps; returns the longest time without a line, in seconds."""
        for proxy, slice_id in list(self.gap_started_at):
            self._close_gap(proxy, slice_id)
        self.closed_durations += [self.now - since for since in self.closed_started_at.values()]
        return self.longest_gap / TICKS_PER_SECOND

    def lose_pilot(self) -> None:
        """Breaks all streams to the pilot; the proxies' leases run out."""
        for proxy_id, proxy in self.proxies.items():
            proxy.session += 1
            proxy.joined = False
            # No proxy's lease ends later.
            self._schedule(self.now + self.lease, self._expire_lease, proxy_id, proxy.session)
        for key in list(self.gap_started_at):
            self._close_gap(*key)

    def reassign_slices(self) -> dict[int, TableRow]:
        """Assigns the slices with all levels open; the proxies join and read the store. Returns the rows."""
        for slice_id, row in self.store.items():
            self.store[slice_id] = TableRow(row.owner, False, row.version + 1)
            self._track_closed(slice_id, self.store[slice_id])
        for proxy_id, proxy in self.proxies.items():
            proxy.session += 1
            self._rejoin(proxy_id, proxy.session, proxy_id < self.faults.flapping[0])
        return self.store

    # ---- the store and the channel

    @staticmethod
    def _updated_row(row: TableRow, verb: str, more: list[Any]) -> TableRow:
        if verb == "level":
            return TableRow(row.owner, more[0] == 0, row.version + 1)
        owner, weight = more
        return TableRow(
            owner if weight else "" if owner == row.owner else row.owner, row.closed, row.version + 1
        )

    def _track_closed(self, slice_id: int, row: TableRow) -> None:
        if row.closed or not row.owner:
            self.closed_started_at.setdefault(slice_id, self.now)
        elif slice_id in self.closed_started_at:
            self.closed_durations.append(self.now - self.closed_started_at.pop(slice_id))

    def _send(self, rows: dict[int, TableRow], mark: Optional[int], lines: int) -> None:
        begin, end, factor = self.faults.slow
        slower = factor if begin * TICKS_PER_SECOND <= self.now < end * TICKS_PER_SECOND else 1.0
        self.channel_free_at = max(self.channel_free_at, self.now)
        for proxy_id, proxy in self.proxies.items():
            if proxy.joined and (rows or mark is not None):
                self.channel_free_at += (
                    slower * (lines + HEADER_LINES - 1) * TICKS_PER_SECOND / self.lines_per_s
                )
                self._schedule(
                    int(self.channel_free_at) + self.rng.randint(*self.transit),
                    self._deliver,
                    proxy_id,
                    proxy.session,
                    rows,
                    mark,
                    self.now,
                    self.barriers,
                )

    def _deliver(
        self,
        proxy_id: int,
        session: int,
        rows: dict[int, TableRow],
        mark: Optional[int],
        sent: int,
        barrier: int,
    ) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.session != session or not proxy.joined or self._is_deaf(proxy_id):
            return
        if not proxy.has_read:  # messages wait until the proxy has read the store
            self._schedule(
                self.now + READ_POLL_TICKS, self._deliver, proxy_id, session, rows, mark, sent, barrier
            )
            return
        for slice_id, row in rows.items():
            self._install_row(proxy_id, slice_id, row)
        acknowledges = proxy_id not in self.faults.mute and self.faults.lost_once != (proxy_id, barrier)
        if mark is not None and acknowledges and self.rng.random() >= self.faults.lost:
            self.on_event("ack", proxy_id, mark, self.now - sent)

    def _is_deaf(self, proxy_id: int) -> bool:
        return (
            proxy_id in self.faults.deaf
            and self.proxies[proxy_id].session == 0
            and self.now > DEAF_FROM_TICKS
        )

    # ---- streams

    def _break_random_stream(self) -> None:
        joined = [proxy_id for proxy_id, proxy in self.proxies.items() if proxy.joined]
        if joined:
            proxy_id = self.rng.choice(joined)
            self._break_stream(
                proxy_id, self.proxies[proxy_id].session, self.rng.uniform(*self.faults.away), False
            )
        self._schedule(
            self.now + int(TICKS_PER_SECOND * self.rng.expovariate(self.faults.breaks)),
            self._break_random_stream,
        )

    def _break_stream(self, proxy_id: int, session: int, away: float, flapping: bool) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.joined and (not flapping or proxy.session == session):
            proxy.joined = False
            proxy.session += 1
            for slice_id in [slice_id for other, slice_id in self.gap_started_at if other == proxy_id]:
                self._close_gap(proxy_id, slice_id)
            self._schedule(self.now + self.lease, self._expire_lease, proxy_id, proxy.session)
            self.on_event("leave", proxy_id)
            self._schedule(
                self.now + int(TICKS_PER_SECOND * away), self._rejoin, proxy_id, proxy.session, flapping
            )

    def _expire_lease(self, proxy_id: int, session: int, unnoticed: bool = False) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.session == session and (unnoticed or not proxy.joined):
            self._set_may_write(proxy_id, False)

    def _rejoin(self, proxy_id: int, session: int, flapping: bool) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.session != session:
            return
        proxy.joined, proxy.has_read, proxy.joined_at = True, False, self.now
        for slice_id, row in proxy.rows.items():
            if not row.owner:
                self.gap_started_at[proxy_id, slice_id] = self.now
        self._schedule(self.now + self.rng.randint(*READ_DELAY_TICKS), self._read_store, proxy_id, session)
        self.on_event("join", proxy_id)
        if flapping:
            _, up, away = self.faults.flapping
            self._schedule(
                self.now + int(TICKS_PER_SECOND * up), self._break_stream, proxy_id, session, away, True
            )

    def _read_store(self, proxy_id: int, session: int) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.session != session or not proxy.joined:
            return
        proxy.has_read = True
        for slice_id, row in self.store.items():
            self._install_row(proxy_id, slice_id, row)
        self._set_may_write(proxy_id, True)

    # ---- the proxies' tables, and the oracles

    def _install_row(self, proxy_id: int, slice_id: int, row: TableRow) -> None:
        proxy = self.proxies[proxy_id]
        old = proxy.rows[slice_id]
        if row.version <= old.version:
            return
        proxy.rows[slice_id] = row
        if proxy.writes:
            self._change_writable_owner(
                slice_id, "" if old.closed else old.owner, "" if row.closed else row.owner
            )
        if row.owner:
            self._close_gap(proxy_id, slice_id)
        elif proxy.joined:
            self.gap_started_at.setdefault((proxy_id, slice_id), self.now)

    def _set_may_write(self, proxy_id: int, writes: bool) -> None:
        proxy = self.proxies[proxy_id]
        if proxy.writes != writes:
            proxy.writes = writes
            for slice_id, row in proxy.rows.items():
                owner = "" if row.closed else row.owner
                self._change_writable_owner(slice_id, "" if writes else owner, owner if writes else "")

    def _change_writable_owner(self, slice_id: int, before: str, after: str) -> None:
        """Records that the owner to which a proxy may write has changed; "" for none."""
        if before == after:
            return
        writers = self.writers[slice_id]
        if before:
            writers[before] -= 1
            self.last_writable_at[slice_id, before] = self.now
        if after:
            writers[after] += 1
            others = [
                owner
                for owner, count in writers.items()
                if owner != after
                and (
                    count > 0
                    or self.now < self.last_writable_at.get((slice_id, owner), -NEVER_TICKS) + self.in_flight
                )
            ]
            if others:
                self.conflicts.append(Conflict(self.now / TICKS_PER_SECOND, slice_id, after, others))

    def _close_gap(self, proxy_id: int, slice_id: int) -> None:
        since = self.gap_started_at.pop((proxy_id, slice_id), None)
        if since is not None and self.now - since >= LONG_GAP_TICKS:
            self.gaps.append(Gap(proxy_id, slice_id, since / TICKS_PER_SECOND, self.now / TICKS_PER_SECOND))
        if since is not None and self.now - since > self.longest_gap:
            self.longest_gap, self.longest_gap_of = (
                self.now - since,
                (proxy_id, slice_id, since / TICKS_PER_SECOND),
            )

    def _schedule(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.event_heap, (when, self.sequence, call, *arguments))
