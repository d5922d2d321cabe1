"""A model of the channel from a pilot to its proxies, for tests of the decision module."""

import heapq

from cedarshift.interface import DecisionConfig, OpType

SECOND = 10_000  # in units of 0.1 ms
POLL_INTERVAL = 250
PROXIES, ENDPOINTS, SLICES = 148, 30, 84
LINES_PER_SECOND, HEADER_LINES = 6300, 16
TRANSIT = (1_500, 6_600)  # from leaving the channel to the acknowledgement, in 0.1 ms
TERMS = DecisionConfig(
    op_types=(
        OpType("get", 2 * SECOND, 6 * SECOND, False, False),
        OpType("put", 2 * SECOND, 3 * SECOND, True, False),
    ),
    zones=("z",),
    slices=2 * SLICES,
    single_owner=True,
    pilots=2,
    lines_per_message=HEADER_LINES,
    lines_waiting_most=9500.0,
    lines_per_s=LINES_PER_SECOND,
    transit_most=6_625,
    connect_most=5_000,
    report_period=2 * SECOND,
    lease=8_000,
    in_flight_most=30_200,
    drain_grace=3 * SECOND,
    warm_within=15 * SECOND,
    cold_share=0.18,
    tip_multiple=3.0,
    retry_default=0,
)


class Channel:
    """Orders to the proxies and acknowledgements back."""

    def __init__(self, rng):
        self.rng, self.free_at, self.pending_acks, self.queued = rng, 0, [], []

    def carry(self, now, lines, mark, proxies):
        """Sends a message of `lines` lines to each proxy, one after the other."""
        leaves = max(now, self.free_at)
        for proxy in proxies:
            leaves += (lines + HEADER_LINES) * SECOND / LINES_PER_SECOND
            arrives = int(leaves) + self.rng.randint(*TRANSIT)
            heapq.heappush(self.pending_acks, (arrives, proxy, mark, arrives - now))
        self.free_at = leaves

    def waiting(self, now):
        """Lines that have not left yet."""
        return max(0, self.free_at - now) * LINES_PER_SECOND / SECOND
