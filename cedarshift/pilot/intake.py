"""Rate-limited aggregation of proxy reports, by endpoint and zone and by slice and op type. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from cedarshift.codec.messages import EndpointStats, SliceStats


class ZoneTotals(NamedTuple):
    """Tries of one endpoint by the proxies of one zone."""

    endpoint: str
    zone: str
    tries: int
    aborted: int
    took: int  # us, mean latency of the acked tries; 0 if none was acked
    span: int  # us, period that the counts cover


class SliceTotals(NamedTuple):
    """Ops of one type on one slice."""

    slice: int
    op_type: int
    ops: int
    unanswered: int
    span: int  # us, period that the counts cover


class Intake:
    """Releases at most `lines_per_s` aggregates per second, oldest first; the rest keep accumulating.

    `period` is the report period of the proxies in us.
    """

    def __init__(self, lines_per_s: float, period: int, now: int) -> None:
        self.lines_per_s = lines_per_s
        self.period = period
        # (endpoint, zone) -> tries, aborted, total latency of acked tries (us), counted since (us)
        self.zone_totals: dict[tuple[str, str], list[int]] = {}
        # (slice, op type) -> ops, unanswered, counted since (us)
        self.slice_totals: dict[tuple[int, int], list[int]] = {}
        self.tokens = 0.0  # aggregates that may be released; at most those of one period accumulate
        self.refilled_at = now

    def add_endpoint_stats(self, now: int, zone: str, stats: EndpointStats) -> None:
        """Adds a proxy's report on one endpoint; more aborted than tried counts as all aborted."""
        totals = self.zone_totals.setdefault((stats.endpoint, zone), [0, 0, 0, now - stats.span])
        tries, aborted = stats.tries, min(stats.aborted, stats.tries)
        totals[0] += tries
        totals[1] += aborted
        totals[2] += stats.took * (tries - aborted)

    def add_slice_stats(self, now: int, stats: SliceStats) -> None:
        """Adds a proxy's report on one slice; more unanswered than received counts as all unanswered."""
        totals = self.slice_totals.setdefault((stats.slice, stats.op_type), [0, 0, now - stats.span])
        totals[0] += stats.ops
        totals[1] += min(stats.unanswered, stats.ops)

    def take(self, now: int) -> tuple[list[ZoneTotals], list[SliceTotals]]:
        """Returns the aggregates that may be released now.

        Their span is at least one report period, since the periods of several proxies overlap.
        """
        self.tokens = min(
            self.lines_per_s * self.period / 1e6,
            self.tokens + (now - self.refilled_at) * self.lines_per_s / 1e6,
        )
        self.refilled_at = now
        zone_totals, slice_totals = [], []
        while self.tokens >= 1 and (self.zone_totals or self.slice_totals):
            outcomes_since = next(iter(self.zone_totals.values()))[3] if self.zone_totals else None
            ops_since = next(iter(self.slice_totals.values()))[2] if self.slice_totals else None
            self.tokens -= 1
            if ops_since is None or (outcomes_since is not None and outcomes_since <= ops_since):
                endpoint, zone = next(iter(self.zone_totals))
                tries, aborted, took, since = self.zone_totals.pop((endpoint, zone))
                zone_totals.append(
                    ZoneTotals(
                        endpoint,
                        zone,
                        tries,
                        aborted,
                        took // max(1, tries - aborted),
                        max(self.period, now - since),
                    )
                )
            else:
                slice_id, op_type = next(iter(self.slice_totals))
                ops, unanswered, since = self.slice_totals.pop((slice_id, op_type))
                slice_totals.append(
                    SliceTotals(slice_id, op_type, ops, unanswered, max(self.period, now - since))
                )
        return zone_totals, slice_totals

    def lines_waiting(self) -> int:
        """Returns how many aggregates wait to be released."""
        return len(self.zone_totals) + len(self.slice_totals)
