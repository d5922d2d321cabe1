"""Chance for decisions: a linear congruential generator of which the high bits are used."""

from __future__ import annotations

from typing import Sequence, TypeVar

T = TypeVar("T")


class Lcg:
    """Knuth's MMIX constants; the same seed draws the same numbers everywhere."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)

    def draw(self, below: int) -> int:
        """A whole number from 0 to below `below`."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) % below

    def pick(self, some: Sequence[T]) -> T:
        return some[self.draw(len(some))]

    def sample(self, some: Sequence[T], count: int) -> list[T]:
        """`count` different ones, or all where there are fewer, in an order by chance."""
        left = list(some)
        count = min(count, len(left))
        for at in range(count):
            other = at + self.draw(len(left) - at)
            left[at], left[other] = left[other], left[at]
        return left[:count]

    def shuffle(self, some: Sequence[T]) -> list[T]:
        return self.sample(some, len(some))
