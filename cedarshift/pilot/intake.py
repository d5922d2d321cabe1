"""Rate-limited aggregation of proxy reports, by endpoint and zone and by slice and op type. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from cedarshift.codec.messages import Heat, Met


class ZoneOutcomes(NamedTuple):
    """Tries of one endpoint by the proxies of one zone."""

    endpoint: str
    zone: str
    tries: int
    aborted: int
    took: int  # us, mean latency of the acked tries; 0 if none was acked
    span: int  # us, period that the counts cover


class SliceOps(NamedTuple):
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
        self.outcomes: dict[tuple[str, str], list[int]] = {}
        # (slice, op type) -> ops, unanswered, counted since (us)
        self.slice_ops: dict[tuple[int, int], list[int]] = {}
        self.tokens = 0.0
        self.refilled_at = now

    def add_outcomes(self, now: int, zone: str, met: Met) -> None:
        """Adds a proxy's report on one endpoint; more aborted than tried counts as all aborted."""
        totals = self.outcomes.setdefault((met.endpoint, zone), [0, 0, 0, now - met.span])
        tries, aborted = met.tries, min(met.aborted, met.tries)
        totals[0] += tries
        totals[1] += aborted
        totals[2] += met.took * (tries - aborted)

    def add_slice_ops(self, now: int, heat: Heat) -> None:
        """Adds a proxy's report on one slice."""
        totals = self.slice_ops.setdefault((heat.slice, heat.op_type), [0, 0, now - heat.span])
        totals[0] += heat.ops
        totals[1] += min(heat.unanswered, heat.ops)

    def take(self, now: int) -> tuple[list[ZoneOutcomes], list[SliceOps]]:
        """Returns the aggregates that may be released now.

        Their span is at least one report period, since the periods of several proxies overlap.
        """
        self.tokens = min(
            self.lines_per_s * self.period / 1e6,
            self.tokens + (now - self.refilled_at) * self.lines_per_s / 1e6,
        )
        self.refilled_at = now
        outcomes, slice_ops = [], []
        while self.tokens >= 1 and (self.outcomes or self.slice_ops):
            outcomes_since = next(iter(self.outcomes.values()))[3] if self.outcomes else None
            ops_since = next(iter(self.slice_ops.values()))[2] if self.slice_ops else None
            self.tokens -= 1
            if ops_since is None or (outcomes_since is not None and outcomes_since <= ops_since):
                endpoint, zone = next(iter(self.outcomes))
                tries, aborted, took, since = self.outcomes.pop((endpoint, zone))
                outcomes.append(
                    ZoneOutcomes(
                        endpoint,
                        zone,
                        tries,
                        aborted,
                        took // max(1, tries - aborted),
                        max(self.period, now - since),
                    )
                )
            else:
                slice_id, op_type = next(iter(self.slice_ops))
                ops, unanswered, since = self.slice_ops.pop((slice_id, op_type))
                slice_ops.append(SliceOps(slice_id, op_type, ops, unanswered, max(self.period, now - since)))
        return outcomes, slice_ops

    def lines_waiting(self) -> int:
        """Returns how many aggregates wait to be released."""
        return len(self.outcomes) + len(self.slice_ops)
