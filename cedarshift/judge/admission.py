"""Who may join now, where many come at once: the ones already known before the new ones, and a time for each to come back. No I/O.

A token bucket (burst, rate) of which newcomers leave a part to those that were joined lately: their leases run. Who finds none is told
when its turn is; turns are handed out one after another, so that those who were sent away do not come back together.
"""

from __future__ import annotations

RESERVED_SHARE = 0.25  # of the burst that newcomers leave alone
MAX_DELAY_US = 5_000_000  # us; who is sent away for longer may as well ask again
US_PER_SECOND = 1_000_000


class JoinLimiter:
    """`rate` a second with `burst` at once."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        assert rate > 0 and burst >= 1
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = now
        self.next_slot_at = now  # when the last one that was sent away is to be back
        self.deferred = 0

    def ask(self, now: int, known: bool = False) -> int:
        """0: may join now. Otherwise us until its turn."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate / US_PER_SECOND)
        self.updated_at = now
        floor = 0.0 if known else RESERVED_SHARE * self.burst
        if self.tokens - 1.0 >= floor or self.burst <= 1.0 <= self.tokens:
            self.tokens -= 1.0
            return 0
        self.deferred += 1
        self.next_slot_at = min(
            max(self.next_slot_at, now) + int(US_PER_SECOND / self.rate), now + MAX_DELAY_US
        )
        return max(1, self.next_slot_at - now)
