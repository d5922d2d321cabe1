"""Certification of a run: checks that the generator was not the bottleneck. No I/O."""

from __future__ import annotations

from typing import NamedTuple

MAX_LATENESS_P99_US = 5_000
MAX_LATENESS_US = 100_000
MAX_CPU_SHARE = 0.85  # of one core; ops queue within the worker above it
MIN_SENT_SHARE = 0.999  # of the planned arrivals


class WorkerMetrics(NamedTuple):
    """Metrics of one worker.

    Lateness is in us; `busy` is CPU time by wall time; `left_out` counts arrivals that were not sent.
    """

    worker: int
    planned: int
    sent: int
    left_out: int
    late_p99: int
    late_most: int
    busy: float


def faults(figures: list[WorkerMetrics], wanted: int) -> list[str]:
    """Returns the reasons against certifying a run, empty if there are none.

    `wanted` is the number of workers that were started.
    """
    found = []
    if len(figures) < wanted:
        found.append(f"{wanted - len(figures)} of {wanted} workers died")
    for metrics in figures:
        worker = f"worker {metrics.worker}"
        if metrics.late_p99 > MAX_LATENESS_P99_US:
            found.append(
                f"{worker} sent its ops {metrics.late_p99 / 1000:.1f} ms late at the 99th percentile, "
                f"{MAX_LATENESS_P99_US / 1000:g} ms at most"
            )
        if metrics.late_most > MAX_LATENESS_US:
            found.append(
                f"{worker} was {metrics.late_most / 1000:.0f} ms late once, "
                f"{MAX_LATENESS_US / 1000:g} ms at most"
            )
        if metrics.busy > MAX_CPU_SHARE:
            found.append(
                f"{worker} used {metrics.busy:.0%} of a core, {MAX_CPU_SHARE:.0%} at most: start more workers"
            )
        if metrics.planned and metrics.sent < MIN_SENT_SHARE * metrics.planned:
            found.append(
                f"{worker} left out {metrics.left_out} of {metrics.planned} ops: too many were in flight"
            )
    return found


__all__ = ["WorkerMetrics", "faults"]
