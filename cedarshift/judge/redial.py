"""How long to wait before a dial, a call or a piece of work is tried anew: one policy for all of them. No I/O.

Decorrelated jitter over the whole range: each wait is drawn evenly between the least and three times the last one, up to a
most (M. Brooker, Exponential Backoff and Jitter, 2015). The published form cuts what is drawn at the most, where those that
failed together meet again; here the range is cut, so that they never do.
"""

from __future__ import annotations

from typing import Callable

MAX_REQUESTED_WAIT_US = 10_000_000  # us; no peer may send anyone away for longer
GROWTH_FACTOR = 3  # times the last wait; the mean of a wait is then twice the last one's


class Backoff:
    """`first` and `most` in us: the least wait, and what none passes. `chance()` draws from 0 to 1."""

    def __init__(self, minimum: int, maximum: int, random: Callable[[], float]) -> None:
        assert 0 < minimum <= maximum, "a wait of nothing is a loop that spins"
        self.minimum = minimum
        self.maximum = maximum
        self.random = random
        self.previous = minimum

    def reset(self) -> None:
        """A try was good, and lasted: the next failure is a first one."""
        self.previous = self.minimum

    def wait(self, requested: int = 0) -> int:
        """us until the next try. `asked`: what the other side has asked for, which is kept to and spread by a half more."""
        upper = min(self.maximum, GROWTH_FACTOR * self.previous)
        self.previous = self.minimum + int(self.random() * (upper - self.minimum))
        return (
            max(self.previous, int(min(requested, MAX_REQUESTED_WAIT_US) * (1 + self.random() / 2)))
            if requested
            else self.previous
        )
