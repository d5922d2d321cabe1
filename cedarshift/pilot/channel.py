"""The paced channel of a pilot: messages leave one after the other, in order, at so many lines a second. No I/O.

A message of a turn costs its head lines and its own. What waits is counted against the deployment's limit, and messages
to one proxy against theirs, at run time: the module decides so that neither is exceeded, and here it is seen.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Generic, NamedTuple, Optional, TypeVar

Item = TypeVar("Item")


class Waiting(NamedTuple):
    """`since`: when it was ordered (us); `lines`: what it costs."""

    proxy: int
    since: int
    lines: float
    item: Any


class PacedChannel(Generic[Item]):
    def __init__(
        self,
        lines_per_s: float,
        lines_waiting_most: float,
        lines_per_message: float,
        messages_most: int,
        messages_span: int,
    ) -> None:
        self.per_line = 1_000_000 / lines_per_s  # us
        self.waiting_most = lines_waiting_most
        self.head = lines_per_message
        self.messages_most = messages_most
        self.messages_span = messages_span
        self.queue: deque[Waiting] = deque()
        self.waiting = 0.0  # lines
        self.peak = 0.0
        self.free_at = 0.0  # when the channel has sent what left last
        self.sent: dict[int, deque[int]] = {}
        self.breaches = 0  # times that rule five was seen broken
        self.lines_sent = 0.0

    def put(self, now: int, proxy: int, rows: int, item: Item) -> None:
        lines = self.head + rows
        self.queue.append(Waiting(proxy, now, lines, item))
        self.waiting += lines
        self.peak = max(self.peak, self.waiting)
        if self.waiting > self.waiting_most:
            self.breaches += 1

    def due(self) -> Optional[int]:
        """When the next message may leave (us); None where none waits."""
        if not self.queue:
            return None
        first = self.queue[0]
        return int(max(self.free_at, first.since) + first.lines * self.per_line)

    def take(self, now: int) -> Optional[Waiting]:
        """The next message, once its lines have passed the channel at the stated pace."""
        due = self.due()
        if due is None or due > now:
            return None
        first = self.queue.popleft()
        self.free_at = due
        self.waiting -= first.lines
        self.lines_sent += first.lines
        if self.messages_most:
            self._count(first.proxy, due)
        return first

    def _count(self, proxy: int, at: int) -> None:
        times = self.sent.setdefault(proxy, deque())
        times.append(at)
        while times[0] <= at - self.messages_span:
            times.popleft()
        if len(times) > self.messages_most:
            self.breaches += 1

    def drop(self, proxy: int) -> None:
        """A stream has broken: what waits for it is lost."""
        kept = deque(w for w in self.queue if w.proxy != proxy)
        self.waiting -= sum(w.lines for w in self.queue if w.proxy == proxy)
        self.queue = kept
        self.sent.pop(proxy, None)
