"""Flow control of the order channel: when a batch may be sent, and how large it may be. No I/O, no clock.

A batch becomes one message per proxy, which counts its lines and a header. Messages leave one after the other
at the configured rate. The lines of a batch count as waiting until each proxy has acknowledged it, any proxy
has acknowledged a later batch, or no acknowledgement is outstanding.

A barrier is the mark at the end of a batch, which a proxy acknowledges. `joined` is the number of proxies
that the channel serves. Urgencies are those of the steps of a hand-over: 0 required by a rule, 1 grants
and revokes of endpoints that must be left, 2 other revokes, 3 moves and levels.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Optional

from cedarshift.interface import DecisionConfig
from cedarshift.judge.message_window import MessageWindow
from cedarshift.judge.write_stops import precedes

# Shares are fractions of the lines that may wait in the channel. Durations are in units of 0.1 ms.
WAITING_SHARES = (0.95, 0.9, 0.6, 0.5)  # limit by urgency; leaves room for urgent steps
RESERVED_LINES = 3  # per proxy, kept free for a further batch: a revoke, a clear and a grant
GATHER_SHARE = 0.15  # waiting lines above which a batch is postponed until all its lines fit
# Longest pause in which acknowledgements count as arriving; after it nothing tells that the channel
# drains.
MAX_ACK_PAUSE = 5_000
HEADER_GAP_FACTOR = 1.25  # shortest gap between batches, as a multiple of the time for their headers
SECOND = 10_000  # in units of 0.1 ms


@dataclass
class Batch:
    """Orders sent together that may still be in the channel. Line counts include headers."""

    barrier: int
    ordered_at: int  # 0.1 ms
    waiting: float  # lines to all proxies that have not acknowledged it
    lines: float  # of each proxy's message


class OrderChannel:
    """Batches that may still be in the channel, and the limits on further ones. Times are in 0.1 ms."""

    def __init__(self, config: DecisionConfig) -> None:
        self.header_lines = config.lines_per_message + 1  # of a message, barrier included
        self.max_waiting = config.lines_waiting_most or math.inf
        self.time_per_line = SECOND / config.lines_per_s if config.lines_per_s else 0.0
        self.max_transit = config.transit_most
        self.min_interval = (
            config.messages_span // max(1, config.messages_most - 1) + 1 if config.messages_most else 0
        )
        self.messages = MessageWindow(config.messages_most, config.messages_span)
        self.unacknowledged: deque[Batch] = deque()  # oldest first
        self.sent_at = -math.inf  # when the last batch was sent
        self.free_at = 0.0  # when all batches have left the channel, at the configured rate
        self.last_ack_latency = 0  # from the sending of a batch to its effect, by the newest acknowledgement
        self.estimated_delay = 0.0  # set by `estimate_delay`

    # ---- rate

    def min_gap(self, joined: int) -> float:
        """Shortest time between two batches."""
        return max(self.min_interval, HEADER_GAP_FACTOR * self._header_time(joined))

    def free(self, now: int) -> bool:
        """Whether the channel is empty, at the configured rate, and the rate limit allows a batch now."""
        return now >= max(self.sent_at + self.min_interval, self.free_at) and self.messages.has_room(now)

    def in_gap(self, now: int, joined: int) -> bool:
        """Whether a batch is to be postponed so that more lines share its headers."""
        return now < self.sent_at + self.min_gap(joined)

    def gap_breaks_deadline(self, now: int, joined: int, required: int, deadline: float) -> bool:
        """Whether `required` lines are applied by a deadline if sent now, but not if sent after the gap."""
        time_to_apply = self.time_to_apply(joined, required)
        return now + time_to_apply <= deadline < self.sent_at + self.min_gap(joined) + time_to_apply

    def estimate_delay(self, now: int, joined: int, leaving: int) -> None:
        """Sets `estimated_delay`: how long a batch sent now waits, with a line for `leaving` slices."""
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
        """Number of lines that may still wait in the channel, to all proxies."""
        return sum(batch.waiting for batch in self.unacknowledged)

    def fits(self, urgency: int, joined: int, lines: int) -> bool:
        """Whether the channel has room to add a step of an urgency to a batch that has `lines` lines.

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

    def must_wait_for_acks(
        self, now: int, joined: int, lines: int, required: int, last_ack_heard_at: int
    ) -> bool:
        """Whether to postpone a batch of `lines` lines until acknowledgements make room for all of it.

        Applies only while acknowledgements arrive, the newest at `last_ack_heard_at`. Without the wait, a
        channel slower than configured fills with the headers of small batches, which delays drains.

        Of `lines`, a rule requires `required`. What is not acknowledged may have left the channel long ago,
        so these wait only until there is room for an even part of them in the fewest batches that can carry
        them all: with the room at which the wait ends, as no batch gets more by waiting.
        """
        waiting = self.waiting()
        if (
            waiting <= GATHER_SHARE * self.max_waiting
            or now - last_ack_heard_at >= MAX_ACK_PAUSE
            or waiting + joined * (self.header_lines + lines) <= WAITING_SHARES[1] * self.max_waiting
        ):
            return False
        fewest_batches = self._fewest_batches(joined, required)
        return fewest_batches <= 1 or self._batch_room(joined, waiting) < required / fewest_batches

    def _fewest_batches(self, joined: int, required: int) -> int:
        """Number of batches for `required` lines per proxy, with the room at which a wait for acks ends."""
        return math.ceil(required / max(1.0, self._batch_room(joined, GATHER_SHARE * self.max_waiting)))

    def _batch_room(self, joined: int, waiting: float) -> float:
        """Lines per proxy that a batch of required steps may have while others wait."""
        return (WAITING_SHARES[0] * self.max_waiting - waiting) / max(1, joined) - self.header_lines

    def time_to_apply(self, joined: int, required: int) -> float:
        """Time until all proxies have applied `required` lines each, with the longest transit."""
        headers_time = self._fewest_batches(joined, required) * self._header_time(joined)
        return headers_time + joined * required * self.time_per_line + self.max_transit

    # ---- batches

    def send(self, now: int, barrier: int, joined: int, lines: int) -> None:
        """Records a batch sent now with `lines` lines per proxy, its barrier included."""
        each = self.header_lines + lines - 1
        self.unacknowledged.append(Batch(barrier, now, joined * each, each))
        self.free_at = max(now, self.free_at) + joined * each * self.time_per_line
        self.sent_at = now
        self.messages.add(now, self.free_at, barrier)

    def send_further(self, now: int, barrier: Optional[int]) -> None:
        """Records another call of the newest batch: a repeat, or a part of it. It costs a message."""
        self.messages.add(now, self.free_at, barrier)

    def find_batch(self, barrier: int) -> Optional[Batch]:
        """The batch that ends in a barrier; None where it is no longer counted as waiting."""
        return next((one for one in self.unacknowledged if one.barrier == barrier), None)

    def discard_before(self, barrier: int) -> None:
        """Removes the batches before an acknowledged one, since the channel delivers in order."""
        while self.unacknowledged and precedes(self.unacknowledged[0].barrier, barrier):
            self.unacknowledged.popleft()

    def discard_all(self) -> None:
        """Removes all batches, once no acknowledgement is outstanding."""
        self.unacknowledged.clear()
