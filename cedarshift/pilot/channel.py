"""Rate-limited FIFO channel from a pilot to its proxies, paced in lines per second. No I/O.

The decision module keeps within the deployment's limits on queued lines and on messages per proxy; the
channel checks both limits at run time and counts violations. All times are microseconds.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Generic, NamedTuple, Optional, TypeVar

Item = TypeVar("Item")


class QueuedMessage(NamedTuple):
    """A message queued for a proxy."""

    proxy: int
    queued_at: int  # us
    lines: float  # cost: the message's own lines and the per-message overhead
    item: Any


class PacedChannel(Generic[Item]):
    """FIFO queue whose messages become available at a fixed rate of lines per second.

    At most `max_messages` per proxy are expected within `message_window`; 0 disables this check. Each message
    costs `lines_per_message` besides its own lines.
    """

    def __init__(
        self,
        lines_per_s: float,
        max_waiting_lines: float,
        lines_per_message: float,
        max_messages: int,
        message_window: int,
    ) -> None:
        self.us_per_line = 1_000_000 / lines_per_s
        self.max_waiting_lines = max_waiting_lines
        self.header_lines = lines_per_message
        self.max_messages = max_messages
        self.message_window = message_window
        self.queue: deque[QueuedMessage] = deque()
        self.waiting = 0.0  # lines queued now
        self.peak = 0.0  # most lines queued at a time
        self.free_at = 0.0  # us, when the last message taken had passed the channel
        self.sent: dict[int, deque[int]] = {}  # proxy -> send times (us) within the message window
        self.breaches = 0  # violations of the limits on queued lines and on messages per proxy
        self.lines_sent = 0.0

    def put(self, now: int, proxy: int, rows: int, item: Item) -> None:
        """Queues a message of `rows` lines for `proxy`."""
        lines = self.header_lines + rows
        self.queue.append(QueuedMessage(proxy, now, lines, item))
        self.waiting += lines
        self.peak = max(self.peak, self.waiting)
        if self.waiting > self.max_waiting_lines:
            self.breaches += 1

    def due(self) -> Optional[int]:
        """Returns when the next message may be sent (us), or None if the queue is empty."""
        if not self.queue:
            return None
        first = self.queue[0]
        return int(max(self.free_at, first.queued_at) + first.lines * self.us_per_line)

    def take(self, now: int) -> Optional[QueuedMessage]:
        """Removes and returns the next message if it is due, else returns None."""
        due = self.due()
        if due is None or due > now:
            return None
        first = self.queue.popleft()
        self.free_at = due
        self.waiting -= first.lines
        self.lines_sent += first.lines
        if self.max_messages:
            self._check_message_rate(first.proxy, due)
        return first

    def _check_message_rate(self, proxy: int, at: int) -> None:
        """Counts a violation if a proxy receives too many messages within the window."""
        times = self.sent.setdefault(proxy, deque())
        times.append(at)
        while times[0] <= at - self.message_window:
            times.popleft()
        if len(times) > self.max_messages:
            self.breaches += 1

    def drop(self, proxy: int) -> None:
        """Discards the messages queued for a proxy whose stream has ended."""
        remaining = deque(message for message in self.queue if message.proxy != proxy)
        self.waiting -= sum(message.lines for message in self.queue if message.proxy == proxy)
        self.queue = remaining
        self.sent.pop(proxy, None)
