"""Whether a run may be believed: a generator that was itself the bottleneck measures itself. No I/O."""

from __future__ import annotations

from typing import NamedTuple

# Constants: unit, then the reason for the size.
LATE_P99 = 5_000  # us; ops sent later than this are not the arrivals that were asked for
LATE_MOST = (
    100_000  # us; one pause of the generator's in a run is one that a user of the service would not have had
)
BUSY_MOST = 0.85  # share of a core; above it a worker queues by itself, whatever its lateness shows
SENT_LEAST = 0.999  # share of the arrivals that must have been sent


class WorkerFigures(NamedTuple):
    """What one worker says of itself. Lateness in us; `busy`: CPU by wall time; `left_out`: arrivals it did not send."""

    worker: int
    planned: int
    sent: int
    left_out: int
    late_p99: int
    late_most: int
    busy: float


def faults(figures: list[WorkerFigures], wanted: int) -> list[str]:
    """Why the run can't be certified; empty where it can. `wanted`: workers that were started."""
    found = []
    if len(figures) < wanted:
        found.append(f"{wanted - len(figures)} of {wanted} workers died")
    for one in figures:
        who = f"worker {one.worker}"
        if one.late_p99 > LATE_P99:
            found.append(
                f"{who} sent its ops {one.late_p99 / 1000:.1f} ms late at the 99th percentile, {LATE_P99 / 1000:g} ms at most"
            )
        if one.late_most > LATE_MOST:
            found.append(
                f"{who} was {one.late_most / 1000:.0f} ms late once, {LATE_MOST / 1000:g} ms at most"
            )
        if one.busy > BUSY_MOST:
            found.append(f"{who} used {one.busy:.0%} of a core, {BUSY_MOST:.0%} at most: start more workers")
        if one.planned and one.sent < SENT_LEAST * one.planned:
            found.append(f"{who} left out {one.left_out} of {one.planned} ops: too many were in flight")
    return found


__all__ = ["WorkerFigures", "faults"]
