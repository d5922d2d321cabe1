"""How long to wait before a dial, a call or a piece of work is tried anew: one policy for all of them. No I/O.

Decorrelated jitter over the whole range: each wait is drawn evenly between the least and three times the last one, up to a
most (M. Brooker, Exponential Backoff and Jitter, 2015). The published form cuts what is drawn at the most, where those that
failed together meet again; here the range is cut, so that they never do.
"""

from __future__ import annotations

from typing import Callable

ASKED_MOST = 10_000_000  # us; no peer may send anyone away for longer
GROWS = 3  # times the last wait; the mean of a wait is then twice the last one's


class Redial:
    """`first` and `most` in us: the least wait, and what none passes. `chance()` draws from 0 to 1."""

    def __init__(self, first: int, most: int, chance: Callable[[], float]) -> None:
        assert 0 < first <= most, "a wait of nothing is a loop that spins"
        self.first = first
        self.most = most
        self.chance = chance
        self.last = first

    def well(self) -> None:
        """A try was good, and lasted: the next failure is a first one."""
        self.last = self.first

    def wait(self, asked: int = 0) -> int:
        """us until the next try. `asked`: what the other side has asked for, which is kept to and spread by a half more."""
        widest = min(self.most, GROWS * self.last)
        self.last = self.first + int(self.chance() * (widest - self.first))
        return max(self.last, int(min(asked, ASKED_MOST) * (1 + self.chance() / 2))) if asked else self.last
