"""Spending a share: a bucket for its rate, and what is asked for by what was wished lately. No I/O; times are whole
microseconds.

There is no debt: what is not there is refused. A new share begins with nothing in its bucket, and a smaller one is cut to its own
burst at once. So what lies in all buckets of a fleet is never above the whole's burst, but for the one token that a
spender with a small rate may save up: over any span the fleet spends at most whole x (span + burst) + one token a spender.
"""

from __future__ import annotations

from collections import deque

# Constants: unit, then the reason for the size.
PARTS_PER_TOKEN = 1_000  # of a token, in which rates are divided
SECOND = 1_000_000  # us
MAX_SAMPLES = 6  # samples of what was wished; the greatest of the last two and the mean of all count
MIN_INTERVAL_US = SECOND // 10  # us; a shorter span tells of single wishes
HEADROOM = (
    1.25  # of a rate that is asked for over what was wished, so that growth finds room before it is refused
)


class TokenBucket:
    """`burst` in us of the rate; `drift` is taken off the filling, as this clock may run fast. Level in parts x us / s."""

    def __init__(self, burst: int, drift: float, now: int) -> None:
        self.burst = burst
        self.drift = drift
        self.rate = 0  # parts a second
        self.until = now
        self.updated_at = now
        self.tokens = 0.0  # tokens
        self.spent = 0
        self.refused = 0

    def _max_tokens(self) -> float:
        return max(1.0, self.rate * self.burst / SECOND / PARTS_PER_TOKEN) if self.rate else 0.0

    def _settle(self, now: int) -> None:
        """Fills up to now, or to the share's end, after which nothing is left."""
        interval = min(now, self.until) - self.updated_at
        if interval > 0:
            self.tokens = min(
                self._max_tokens(),
                self.tokens + self.rate / PARTS_PER_TOKEN * interval * (1 - self.drift) / SECOND,
            )
        self.updated_at = max(self.updated_at, now)
        if now >= self.until:
            self.tokens, self.rate = 0.0, 0

    def grant(self, now: int, rate: int, until: int) -> None:
        """From now on `rate` parts a second until `until`."""
        self._settle(now)
        if not self.rate:
            self.tokens = 0.0
        self.rate, self.until = rate if until > now else 0, until
        self.tokens = min(self.tokens, self._max_tokens())

    def take(self, now: int) -> bool:
        """One token, if there is one."""
        self._settle(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def time_to_next(self, now: int) -> int:
        """us until there may be a token under the present share; a second where it has none."""
        self._settle(now)
        if not self.rate:
            return SECOND
        return max(0, int((1.0 - self.tokens) * PARTS_PER_TOKEN * SECOND / self.rate / (1 - self.drift)) + 1)


class DemandEstimator:
    """What is asked for: by what was wished, granted or not, in the spans between two looks."""

    def __init__(self, now: int) -> None:
        self.since = now
        self.count = 0
        self.samples: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)  # span, wishes

    def record(self) -> None:
        self.count += 1

    def close_interval(self, now: int) -> None:
        """Ends a span; one that is too short goes on."""
        interval = now - self.since
        if interval >= MIN_INTERVAL_US:
            self.samples.append((interval, self.count))
            self.since, self.count = now, 0

    def rate(self) -> int:
        """Parts a second to ask for, by the spans that have ended."""
        if not any(requests for _, requests in self.samples):
            return 0
        mean = (
            sum(requests for _, requests in self.samples)
            * SECOND
            / sum(interval for interval, _ in self.samples)
        )
        last = max(requests * SECOND / interval for interval, requests in list(self.samples)[-2:])
        return int(max(mean, last) * HEADROOM * PARTS_PER_TOKEN) + PARTS_PER_TOKEN // 10
