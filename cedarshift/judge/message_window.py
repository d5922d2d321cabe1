"""Counts the messages that proxies were, or may have been, sent within the span of their rate limit. No I/O.

A call whose outcome is unknown may have been carried out, so its message counts as well. It stops to count
once it is known not to have been sent: each time that a barrier is sent, each proxy acknowledges it, so a
barrier that all proxies acknowledged at most twice was sent twice at most. Acknowledgements are complete once
the event stream has been open since the call, for long enough to carry them.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import Optional

ACK_DELAY_FACTOR = 2


@dataclass(eq=False)
class Message:
    """A message to each proxy. Times are in 0.1 ms. `barrier`: None if it holds none."""

    sent_at: int
    leaves_at: float  # the channel, at the configured rate
    barrier: Optional[int]
    unanswered: bool = False  # it is unknown whether its call was carried out


class MessageWindow:
    """Messages of the last `span`, of which at most `max_messages` are allowed; 0 for no limit.

    Times are in 0.1 ms."""

    def __init__(self, max_messages: int, span: int) -> None:
        self.max_messages = max_messages
        self.span = span
        self.messages: deque[Message] = deque()  # oldest first
        # Acknowledgements of the barriers of `messages`, by proxy.
        self.last_ack_delay = 0  # from the newest message with a barrier to an acknowledgement of it
        self.acks: dict[Optional[int], Counter[int]] = {}

    def add(self, now: int, leaves_at: float, barrier: Optional[int]) -> None:
        """Records a message whose call is made now."""
        if not self.max_messages:
            return
        self._expire(now)
        self.messages.append(Message(now, leaves_at, barrier))
        if barrier is not None:
            self.acks.setdefault(barrier, Counter())

    def on_unanswered(self) -> None:
        """The call of the newest message got no answer."""
        if self.messages and self.messages[-1].barrier is not None:
            self.messages[-1].unanswered = True

    def on_refused(self) -> None:
        """The call of the newest message was not carried out."""
        if self.messages:
            self._forget_acks(self.messages.pop())

    def on_ack(self, now: int, proxy: int, barrier: int) -> None:
        """A proxy has acknowledged a barrier."""
        if barrier in self.acks:
            self.acks[barrier][proxy] += 1
            sent_at = max(message.sent_at for message in self.messages if message.barrier == barrier)
            self.last_ack_delay = now - sent_at

    def on_silence(self, now: int, began: int, ack_timeout: float) -> None:
        """The event stream that began at `began` is complete up to now.

        Removes the messages that were not sent, as their acknowledgements would have come within
        `ack_timeout`, or within a multiple of the time that the last one took where that is longer."""
        ack_timeout = max(ack_timeout, ACK_DELAY_FACTOR * self.last_ack_delay)
        settled: dict[int, list[Message]] = {}
        for message in self.messages:
            due_at = max(message.sent_at, message.leaves_at) + ack_timeout
            if message.barrier is not None and message.sent_at >= began and due_at <= now:
                settled.setdefault(message.barrier, []).append(message)
        unsent = [one for barrier, found in settled.items() for one in self._unsent(barrier, found)]
        if unsent:
            self.messages = deque(message for message in self.messages if message not in unsent)
            for message in unsent:
                self._forget_acks(message)

    def _unsent(self, barrier: int, settled: list[Message]) -> list[Message]:
        """Those of a barrier's messages that nobody acknowledged; of more that could be, the oldest."""
        times_sent = max(self.acks[barrier].values(), default=0)
        unanswered = [message for message in settled if message.unanswered]
        answered = len(settled) - len(unanswered)
        return unanswered[: max(0, len(unanswered) - max(0, times_sent - answered))]

    def next_at(self, now: int) -> float:
        """When another message is allowed at the earliest, `now` or later."""
        self._expire(now)
        excess = len(self.messages) - self.max_messages
        if not self.max_messages or excess < 0:
            return now
        return self.messages[excess].sent_at + self.span

    def has_room(self, now: int) -> bool:
        """Whether another message is allowed now."""
        return self.next_at(now) <= now

    def _expire(self, now: int) -> None:
        while self.messages and self.messages[0].sent_at <= now - self.span:
            self._forget_acks(self.messages.popleft())

    def _forget_acks(self, removed: Message) -> None:
        if all(message.barrier != removed.barrier for message in self.messages):
            self.acks.pop(removed.barrier, None)
