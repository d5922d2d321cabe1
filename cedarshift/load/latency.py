"""Latencies counted from when an op was meant to start, so that a stall shows as late ops and not as fewer ops.

Kept in HdrHistogram (1 us to 20 minutes, three digits), which merges without loss and is exported in its own coding.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

MOST = 1_200_000_000  # us
DIGITS = 3
SHOWN = (50.0, 90.0, 99.0, 99.9, 100.0)


def fresh() -> HdrHistogram:
    return HdrHistogram(1, MOST, DIGITS)


class Latencies:
    """By op type: latencies of the ops that were acked, and what became of all. `late`: how late this generator itself sent."""

    def __init__(self) -> None:
        self.acked: dict[str, HdrHistogram] = {}
        self.outcomes: dict[str, Counter[str]] = {}
        self.late = fresh()

    def sent(self, intended: int, at: int) -> None:
        self.late.record_value(min(MOST, max(1, at - intended)))

    def done(self, op_type: str, outcome: str, intended: int, at: int) -> None:
        self.outcomes.setdefault(op_type, Counter())[outcome] += 1
        if outcome == "acked":
            self.acked.setdefault(op_type, fresh()).record_value(min(MOST, max(1, at - intended)))

    def add(self, other: Latencies) -> None:
        self.late.add(other.late)
        for name, histogram in other.acked.items():
            self.acked.setdefault(name, fresh()).add(histogram)
        for name, counts in other.outcomes.items():
            self.outcomes.setdefault(name, Counter()).update(counts)

    def ops(self) -> int:
        return sum(sum(counts.values()) for counts in self.outcomes.values())

    def export(self) -> dict[str, Any]:
        """Without loss: the histograms in their own compressed coding, as text."""
        return {
            "acked": {name: one.encode().decode() for name, one in sorted(self.acked.items())},
            "outcomes": {
                name: dict(sorted(counts.items())) for name, counts in sorted(self.outcomes.items())
            },
            "late": self.late.encode().decode(),
        }

    def percentiles(self) -> dict[str, dict[str, float]]:
        """In ms, by op type."""
        return {
            name: {f"p{share:g}": one.get_value_at_percentile(share) / 1000 for share in SHOWN}
            for name, one in sorted(self.acked.items())
        }


def read_back(exported: dict[str, Any]) -> Latencies:
    made = Latencies()
    made.acked = {name: HdrHistogram.decode(text) for name, text in exported["acked"].items()}
    made.outcomes = {name: Counter(counts) for name, counts in exported["outcomes"].items()}
    made.late = HdrHistogram.decode(exported["late"])
    return made


__all__ = ["Latencies", "read_back"]
