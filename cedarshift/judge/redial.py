"""Retry delays with decorrelated jitter. No I/O.

Each wait is drawn uniformly between the minimum and three times the previous one, up to a maximum (M.
Brooker, Exponential Backoff and Jitter, 2015). The published form clips the drawn value, which synchronizes
clients at the maximum; here the range is clipped instead.
"""

from __future__ import annotations

from typing import Callable

MAX_REQUESTED_WAIT_US = 10_000_000  # upper bound on a wait requested by a peer
GROWTH_FACTOR = 3  # upper end of the range, as a multiple of the previous wait


class Backoff:
    """Draws the waits between tries, from `minimum` to `maximum` microseconds.

    `random()` returns a float in [0, 1).
    """

    def __init__(self, minimum: int, maximum: int, random: Callable[[], float]) -> None:
        assert 0 < minimum <= maximum, "the wait must be positive and at most the maximum"
        self.minimum = minimum
        self.maximum = maximum
        self.random = random
        self.previous = minimum

    def reset(self) -> None:
        """Start over after a success: the next wait is drawn from the initial range."""
        self.previous = self.minimum

    def wait(self, requested: int = 0) -> int:
        """Return the microseconds until the next try.

        `requested`: the wait that the other side asked for, 0 if none. Up to MAX_REQUESTED_WAIT_US it is a
        lower bound, lengthened by up to half of it as jitter.
        """
        upper = min(self.maximum, GROWTH_FACTOR * self.previous)
        self.previous = self.minimum + int(self.random() * (upper - self.minimum))
        return (
            max(self.previous, int(min(requested, MAX_REQUESTED_WAIT_US) * (1 + self.random() / 2)))
            if requested
            else self.previous
        )
