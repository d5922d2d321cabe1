"""Flow control of the order channel: when a batch may be sent, and how large it may be. No I/O, no clock.

A batch becomes one message per proxy, which counts its lines and a header. Messages leave one after the other
at the configured rate. The lines of a batch count as waiting until it or a later batch is acknowledged, or
until no acknowledgement is outstanding.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Optional

from cedarshift.interface import DecisionConfig
from cedarshift.judge.write_stops import precedes

# Shares are fractions of the lines that may wait in the channel. Durations are in units of 0.1 ms.
WAITING_SHARES = (0.95, 0.9, 0.6, 0.5)  # by urgency, so that a drain finds room
RESERVED_LINES = 3  # per proxy that a move leaves free: a revoke, a clear and a grant
GATHER_SHARE = 0.15  # above it, a batch waits for room for all that is due
MAX_ACK_PAUSE = 5_000  # longest pause in which acknowledgements count as arriving
HEADER_GAP_FACTOR = 1.25  # shortest gap between batches, as a multiple of the time for their headers
SECOND = 10_000


@dataclass
class Batch:
    """Orders sent together that may still be in the channel. Line counts include headers."""

    barrier: int
    ordered_at: int
    waiting: float  # lines to all proxies
    lines: float  # of one proxy's message


class OrderChannel:
    """Batches in the channel and the capacity that is left."""

    def __init__(self, config: DecisionConfig) -> None:
        self.header_lines = config.lines_per_message + 1  # every message has a barrier
        self.max_waiting = config.lines_waiting_most or math.inf
        self.time_per_line = SECOND / config.lines_per_s if config.lines_per_s else 0.0
        self.min_interval = (
            config.messages_span // max(1, config.messages_most - 1) + 1 if config.messages_most else 0
        )
        self.unacknowledged: deque[Batch] = deque()  # oldest first
        self.sent_at = -math.inf  # when the last batch was sent
        self.free_at = 0.0  # when the channel is empty, at the configured rate
        self.last_ack_latency = 0  # from an order to its effect, by the newest acknowledgement
        self.estimated_delay = 0.0  # of a batch sent now

    # ---- rate

    def min_gap(self, joined: int) -> float:
        """Shortest time between two batches to a number of proxies."""
        return max(self.min_interval, HEADER_GAP_FACTOR * self._header_time(joined))

    def ready(self, now: int, joined: int) -> bool:
        """Whether a batch may be sent now."""
        return now >= max(self.sent_at + self.min_gap(joined), self.free_at)

    def estimate_delay(self, now: int, joined: int, leaving: int) -> None:
        """Estimates how long a batch sent now waits, with a line for each of the `leaving` slices."""
        self.estimated_delay = (
            max(0, self.free_at - now)
            + self._header_time(joined)
            + joined * leaving * self.time_per_line
            + self.min_gap(joined)
        )

    def _header_time(self, joined: int) -> float:
        """Time that the headers of a batch occupy the channel."""
        return joined * self.header_lines * self.time_per_line

    # ---- capacity

    def waiting(self) -> float:
        """Lines that may still wait in the channel."""
        return sum(batch.waiting for batch in self.unacknowledged)

    def fits(self, urgency: int, joined: int, lines: int) -> bool:
        """Whether a batch of `lines` lines may grow by a step of an urgency.

        Where the headers of a single batch exceed a share, all but the room for one further batch may be
        used; otherwise nothing could be sent while a batch is unacknowledged.
        """
        waiting = self.waiting()
        urgency = urgency if waiting else 0
        further = joined * (self.header_lines + RESERVED_LINES) if urgency else 0
        max_waiting = max(
            self.max_waiting * WAITING_SHARES[urgency], self.max_waiting * WAITING_SHARES[0] - further
        )
        return not joined or waiting + joined * (self.header_lines + lines + 2) <= max_waiting

    def fits_barrier(self, joined: int) -> bool:
        """Whether a barrier without lines may be sent; it needs as much room as a grant."""
        return self.waiting() + joined * self.header_lines <= WAITING_SHARES[1] * self.max_waiting

    def must_wait_for_acks(self, now: int, joined: int, lines: int, last_ack_heard_at: int) -> bool:
        """Whether to wait for room while acknowledgements arrive, the newest at `last_ack_heard_at`.

        In a channel slower than configured, batches of a line each would fill it with headers and delay
        drains.
        """
        waiting = self.waiting()
        return (
            waiting > GATHER_SHARE * self.max_waiting
            and now - last_ack_heard_at < MAX_ACK_PAUSE
            and waiting + joined * (self.header_lines + lines) > WAITING_SHARES[1] * self.max_waiting
        )

    # ---- batches

    def send(self, now: int, barrier: int, joined: int, lines: int) -> None:
        """Records that a batch of `lines` lines, its barrier included, was sent."""
        each = self.header_lines + lines - 1
        self.unacknowledged.append(Batch(barrier, now, joined * each, each))
        self.free_at = max(now, self.free_at) + joined * each * self.time_per_line
        self.sent_at = now

    def find_batch(self, barrier: int) -> Optional[Batch]:
        """The batch that ends in a barrier; None where it is known to have left."""
        return next((one for one in self.unacknowledged if one.barrier == barrier), None)

    def discard_before(self, barrier: int) -> None:
        """Removes the batches before an acknowledged one: the channel keeps their order."""
        while self.unacknowledged and precedes(self.unacknowledged[0].barrier, barrier):
            self.unacknowledged.popleft()

    def discard_all(self) -> None:
        """Removes all batches where no acknowledgement is outstanding."""
        self.unacknowledged.clear()
