"""Who may join now, where many come at once: the ones already known before the new ones, and a time for each to come back. No I/O.

A token bucket (burst, rate) of which newcomers leave a part to those that were joined lately: their leases run. Who finds none is told
when its turn is; turns are handed out one after another, so that those who were sent away do not come back together.
"""

from __future__ import annotations

KNOWN_PART = 0.25  # of the burst that newcomers leave alone
AFTER_MOST = 5_000_000  # us; who is sent away for longer may as well ask again
SECOND = 1_000_000


class Gate:
    """`rate` a second with `burst` at once."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        assert rate > 0 and burst >= 1
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = now
        self.turn_at = now  # when the last one that was sent away is to be back
        self.sent_away = 0

    def ask(self, now: int, known: bool = False) -> int:
        """0: may join now. Otherwise us until its turn."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate / SECOND)
        self.at = now
        floor = 0.0 if known else KNOWN_PART * self.burst
        if self.level - 1.0 >= floor or self.burst <= 1.0 <= self.level:
            self.level -= 1.0
            return 0
        self.sent_away += 1
        self.turn_at = min(max(self.turn_at, now) + int(SECOND / self.rate), now + AFTER_MOST)
        return max(1, self.turn_at - now)
