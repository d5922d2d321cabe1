"""When a batch of orders may go out, and how much it may hold, so that the channel to the proxies stays short. No I/O, no clock.

A batch becomes one message a proxy; each counts its lines and a head. Messages leave one after the other at the stated pace, and a
batch's lines count as waiting until they are acknowledged, or a later batch is, or no acknowledgement is to come any more.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Optional

from cedarshift.interface import PilotConfig
from cedarshift.judge.write_stops import precedes

# Constants: unit, then the reason for the size.
WAITING_SHARES = (
    0.95,
    0.9,
    0.6,
    0.5,
)  # shares of the channel's waiting lines used, by urgency: a drain finds room
RESERVED_LINES = (
    3  # lines a proxy, beside the head, that a move leaves room for: a slice's revoke, clear and grant
)
GATHER_SHARE = 0.15  # share of the channel that may wait when a batch goes without all that is due
MAX_ACK_PAUSE = 5_000  # 0.1 ms; with no acknowledgement for so long nothing tells that the channel drains
HEADER_GAP_FACTOR = (
    1.25  # times what a batch's heads hold the channel, between batches: they fill four fifths
)
SECOND = 10_000  # 0.1 ms


@dataclass
class Batch:
    """Orders of one time that are not known to have left the channel. Lines are counted with heads."""

    barrier: int
    ordered_at: int
    waiting: float  # lines, of all proxies
    lines: float  # of one proxy's message


class OrderChannel:
    """The batches on their way, and the room that is left."""

    def __init__(self, terms: PilotConfig) -> None:
        self.header_lines = terms.lines_per_message + 1  # every message carries a barrier
        self.max_waiting = terms.lines_waiting_most or math.inf
        self.time_per_line = SECOND / terms.lines_per_s if terms.lines_per_s else 0.0  # 0.1 ms
        self.min_interval = (
            terms.messages_span // max(1, terms.messages_most - 1) + 1 if terms.messages_most else 0
        )
        self.unacknowledged: deque[Batch] = deque()  # oldest first
        self.sent_at = -math.inf  # when the last batch went out
        self.free_at = 0.0  # when all that was ordered has left, at the stated pace
        self.last_ack_latency = 0  # 0.1 ms; from an order to its effect, by the newest acknowledgement
        self.estimated_delay = 0.0  # 0.1 ms; what a batch ordered now waits in the channel

    # ---- pace

    def min_gap(self, joined: int) -> float:
        """The least time between two batches to so many proxies."""
        return max(self.min_interval, HEADER_GAP_FACTOR * self._header_time(joined))

    def ready(self, now: int, joined: int) -> bool:
        """Whether a batch may go out; what is due waits until then and goes together, the urgent first."""
        return now >= max(self.sent_at + self.min_gap(joined), self.free_at)

    def estimate_delay(self, now: int, joined: int, leaving: int) -> None:
        """Foresees what a batch ordered now waits; `leaving`: slices whose owner must be left, a line each."""
        self.estimated_delay = (
            max(0, self.free_at - now)
            + self._header_time(joined)
            + joined * leaving * self.time_per_line
            + self.min_gap(joined)
        )

    def _header_time(self, joined: int) -> float:
        return joined * self.header_lines * self.time_per_line

    # ---- room

    def waiting(self) -> float:
        """Lines that may still wait in the channel."""
        return sum(batch.waiting for batch in self.unacknowledged)

    def fits(self, urgency: int, joined: int, lines: int) -> bool:
        """Whether a batch with so many lines may grow by a step of an urgency. Where the heads of a single batch are as much as a
        share, all but the room for one further batch is open: else nothing went beside one that is unacknowledged."""
        waiting = self.waiting()
        urgency = urgency if waiting else 0
        further = joined * (self.header_lines + RESERVED_LINES) if urgency else 0
        max_waiting = max(
            self.max_waiting * WAITING_SHARES[urgency], self.max_waiting * WAITING_SHARES[0] - further
        )
        return not joined or waiting + joined * (self.header_lines + lines + 2) <= max_waiting

    def fits_barrier(self, joined: int) -> bool:
        """Whether a barrier without any line may go out: it needs room as a grant does."""
        return self.waiting() + joined * self.header_lines <= WAITING_SHARES[1] * self.max_waiting

    def must_wait_for_acks(self, now: int, joined: int, lines: int, last_ack_heard_at: int) -> bool:
        """Whether to wait for room while acknowledgements come in, the newest at `heard_at`. Heads are most of a batch: in a channel that
        is slower than stated, batches of a line each would fill it with heads, and drains would wait for one another."""
        waiting = self.waiting()
        return (
            waiting > GATHER_SHARE * self.max_waiting
            and now - last_ack_heard_at < MAX_ACK_PAUSE
            and waiting + joined * (self.header_lines + lines) > WAITING_SHARES[1] * self.max_waiting
        )

    # ---- what goes and what has left

    def send(self, now: int, barrier: int, joined: int, lines: int) -> None:
        """A batch of so many lines, its barrier among them, goes out."""
        each = self.header_lines + lines - 1
        self.unacknowledged.append(Batch(barrier, now, joined * each, each))
        self.free_at = max(now, self.free_at) + joined * each * self.time_per_line
        self.sent_at = now

    def find_batch(self, barrier: int) -> Optional[Batch]:
        """The batch that ends in a barrier; None where it is known to have left."""
        return next((one for one in self.unacknowledged if one.barrier == barrier), None)

    def discard_before(self, barrier: int) -> None:
        """The channel keeps order: batches before an acknowledged one have left it."""
        while self.unacknowledged and precedes(self.unacknowledged[0].barrier, barrier):
            self.unacknowledged.popleft()

    def discard_all(self) -> None:
        """Nothing waits: a channel that still held messages would go on to deliver them, however slowly, and be acknowledged."""
        self.unacknowledged.clear()
