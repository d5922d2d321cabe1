"""Admission control for joining peers: a token bucket with a share reserved for known peers. No I/O.

A peer that gets no token is given the time until its slot. Slots are handed out one after another, so that
deferred peers do not return all at once.
"""

from __future__ import annotations

RESERVED_SHARE = 0.25  # of the burst, for peers that are already known
MAX_DELAY_US = 5_000_000  # upper bound on a delay; peers that would wait longer share the last slot
US_PER_SECOND = 1_000_000


class JoinLimiter:
    """Token bucket that admits `rate` joins a second and up to `burst` at once. Times are microseconds.

    `deferred` counts the peers that were sent away.
    """

    def __init__(self, rate: float, burst: float, now: int) -> None:
        assert rate > 0 and burst >= 1
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = now
        self.next_slot_at = now  # when the newest deferred peer is due back
        self.deferred = 0

    def ask(self, now: int, known: bool = False) -> int:
        """Return 0 if the peer may join now, otherwise the microseconds after which it is to ask again.

        `known` peers may use the reserved share; a burst of a single token has none.
        """
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
