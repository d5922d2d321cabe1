"""Deterministic pseudo-random numbers for decisions."""

from __future__ import annotations

from typing import Sequence, TypeVar

T = TypeVar("T")


class Lcg:
    """Linear congruential generator with Knuth's MMIX constants; uses the high bits of its state.

    A seed gives the same numbers on every platform.
    """

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)

    def draw(self, below: int) -> int:
        """Returns an integer from 0 up to, but not including, `below`."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) % below

    def pick(self, items: Sequence[T]) -> T:
        """Returns a random element."""
        return items[self.draw(len(items))]

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """Returns `count` distinct elements, or all where there are fewer, in random order."""
        remaining = list(items)
        count = min(count, len(remaining))
        for index in range(count):
            other = index + self.draw(len(remaining) - index)
            remaining[index], remaining[other] = remaining[other], remaining[index]
        return remaining[:count]

    def shuffle(self, items: Sequence[T]) -> list[T]:
        """Returns all elements in random order."""
        return self.sample(items, len(items))
