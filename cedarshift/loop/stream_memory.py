"""Bounds the memory that the accepted connections of a process hold together.

A connection holds the input that its protocol has not handled yet, such as half a message, and the output
that its peer has not read. The limit on one connection does not bound the sum over many. Above the limit on
the sum, the connection is closed that has held the most for the longest time without progress.
"""

from __future__ import annotations

from typing import Callable, Protocol

MEGABYTE = 1 << 20
DEFAULT_MAX_BYTES = 16 * MEGABYTE
MEMORY_LIMIT_DIVISOR = 16  # of a process's memory limit; buffers cost more than their bytes
MIN_STALL_US = 100_000  # added to each stall, so that size counts among new connections
REPORT_INTERVAL_US = 1_000_000


class Holder(Protocol):
    """A connection that holds memory."""

    peer: str

    def evict(self, reason: str) -> None:
        """Closes the connection and releases what it holds."""


class Holding:
    """What a connection holds, and when it last released some of it (us)."""

    def __init__(self, now: int) -> None:
        self.size = 0  # bytes
        self.progressed_at = now

    def stalled_bytes(self, now: int) -> int:
        """Bytes multiplied by the time that they have been held."""
        return self.size * (now - self.progressed_at + MIN_STALL_US)


class StreamMemory:
    """The memory held by all accepted connections, of which at most `max_bytes` are allowed.

    `now()` returns the time in us, and `report(event, **fields)` logs evictions, once a second at most."""

    def __init__(
        self, now: Callable[[], int], report: Callable[..., None], max_bytes: int = DEFAULT_MAX_BYTES
    ) -> None:
        self.now = now
        self.report = report
        self.max_bytes = max_bytes
        self.total = 0
        self.holdings: dict[Holder, Holding] = {}  # of those that hold anything
        self.evicted = 0
        self.reported = 0  # of `evicted`
        self.reported_at = -REPORT_INTERVAL_US

    def set_limit(self, process_limit_mb: float) -> None:
        """Derives the limit from the memory limit of the process."""
        self.max_bytes = int(process_limit_mb * MEGABYTE) // MEMORY_LIMIT_DIVISOR

    def update(self, holder: Holder, size: int) -> None:
        """Sets how many bytes a connection holds; evicts connections while the sum exceeds the limit."""
        holding = self.holdings.get(holder)
        if not size:
            self._release(holder)
            return
        if holding is None:
            holding = self.holdings[holder] = Holding(self.now())
        elif size < holding.size:
            holding.progressed_at = self.now()
        self.total += size - holding.size
        holding.size = size
        while self.total > self.max_bytes and self.holdings:
            self._evict_one()

    def _release(self, holder: Holder) -> None:
        holding = self.holdings.pop(holder, None)
        if holding is not None:
            self.total -= holding.size

    def _evict_one(self) -> None:
        now = self.now()
        holder, holding = max(self.holdings.items(), key=lambda item: item[1].stalled_bytes(now))
        self._release(holder)
        self.evicted += 1
        holder.evict(f"connections hold over {self.max_bytes} bytes, {holding.size} of them this one")
        if now - self.reported_at >= REPORT_INTERVAL_US:
            self.report(
                "connections_evicted",
                count=self.evicted - self.reported,
                newest=holder.peer,
                held_bytes=holding.size,
                max_bytes=self.max_bytes,
            )
            self.reported, self.reported_at = self.evicted, now
