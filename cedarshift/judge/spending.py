"""Spending of a leased share: a token bucket, and an estimate of the rate to ask for. No I/O; times are
microseconds.

There is no debt: without a token a request is refused. A new share starts with an empty bucket, and a smaller
share truncates the bucket to its own burst at once. So over any interval a fleet spends at most capacity x
(interval + burst), plus one token for each spender with a small rate.
"""

from __future__ import annotations

from collections import deque

PARTS_PER_TOKEN = 1_000  # rates are integers, in thousandths of a token a second
SECOND = 1_000_000  # us
MAX_SAMPLES = 6  # newest intervals from which the demand is estimated
MIN_INTERVAL_US = SECOND // 10  # shorter intervals are too noisy
HEADROOM = 1.25  # times the measured rate, so that demand can grow without refusals


class TokenBucket:
    """Token bucket refilled at the rate of the present share.

    `burst`: its capacity, as the microseconds in which the rate fills it (at least one token). `drift`: the
    fraction by which this clock may run fast; refills are reduced by it.
    """

    def __init__(self, burst: int, drift: float, now: int) -> None:
        self.burst = burst
        self.drift = drift
        self.rate = 0  # parts a second
        self.until = now  # end of the share
        self.updated_at = now
        self.tokens = 0.0
        self.spent = 0
        self.refused = 0

    def _max_tokens(self) -> float:
        return max(1.0, self.rate * self.burst / SECOND / PARTS_PER_TOKEN) if self.rate else 0.0

    def _settle(self, now: int) -> None:
        """Refill up to `now`; after the end of the share the bucket is empty."""
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
        """Set the rate to `rate` parts a second until `until`.

        The bucket starts empty if there was no share.
        """
        self._settle(now)
        if not self.rate:
            self.tokens = 0.0
        self.rate, self.until = rate if until > now else 0, until
        self.tokens = min(self.tokens, self._max_tokens())

    def take(self, now: int) -> bool:
        """Take one token; return whether there was one."""
        self._settle(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def time_to_next(self, now: int) -> int:
        """Return the microseconds until the next token under the present share; one second if it has none."""
        self._settle(now)
        if not self.rate:
            return SECOND
        return max(0, int((1.0 - self.tokens) * PARTS_PER_TOKEN * SECOND / self.rate / (1 - self.drift)) + 1)


class DemandEstimator:
    """Estimates the rate to ask for from the requests made lately, granted or not."""

    def __init__(self, now: int) -> None:
        self.since = now
        self.count = 0
        self.samples: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)  # (interval in us, requests)

    def record(self) -> None:
        """Count one request."""
        self.count += 1

    def close_interval(self, now: int) -> None:
        """End the current interval, unless it is too short."""
        interval = now - self.since
        if interval >= MIN_INTERVAL_US:
            self.samples.append((interval, self.count))
            self.since, self.count = now, 0

    def rate(self) -> int:
        """Return the rate to ask for, in parts a second; 0 without any request in the completed intervals.

        It is the mean rate, or that of the busier of the last two intervals if higher, with headroom.
        """
        if not any(requests for _, requests in self.samples):
            return 0
        mean = (
            sum(requests for _, requests in self.samples)
            * SECOND
            / sum(interval for interval, _ in self.samples)
        )
        last = max(requests * SECOND / interval for interval, requests in list(self.samples)[-2:])
        return int(max(mean, last) * HEADROOM * PARTS_PER_TOKEN) + PARTS_PER_TOKEN // 10
