"""Latency histograms, measured from the intended start of each op to avoid coordinated omission.

HdrHistogram merges without loss; the export uses its compressed encoding.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 1_200_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


def new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class Latencies:
    """Latencies of acked ops and outcomes of all ops, by op type; `late` is the generator's own lateness."""

    def __init__(self) -> None:
        self.acked: dict[str, HdrHistogram] = {}
        self.outcomes: dict[str, Counter[str]] = {}
        self.late = new_histogram()

    def record_sent(self, intended: int, at: int) -> None:
        self.late.record_value(min(MAX_LATENCY_US, max(1, at - intended)))

    def record_outcome(self, op_type: str, outcome: str, intended: int, at: int) -> None:
        self.outcomes.setdefault(op_type, Counter())[outcome] += 1
        if outcome == "acked":
            self.acked.setdefault(op_type, new_histogram()).record_value(
                min(MAX_LATENCY_US, max(1, at - intended))
            )

    def merge(self, other: Latencies) -> None:
        self.late.add(other.late)
        for name, histogram in other.acked.items():
            self.acked.setdefault(name, new_histogram()).add(histogram)
        for name, counts in other.outcomes.items():
            self.outcomes.setdefault(name, Counter()).update(counts)

    def ops(self) -> int:
        return sum(sum(counts.values()) for counts in self.outcomes.values())

    def export(self) -> dict[str, Any]:
        """Returns the histograms in their compressed encoding, as text, and the outcomes."""
        return {
            "acked": {name: histogram.encode().decode() for name, histogram in sorted(self.acked.items())},
            "outcomes": {
                name: dict(sorted(counts.items())) for name, counts in sorted(self.outcomes.items())
            },
            "late": self.late.encode().decode(),
        }

    def percentiles(self) -> dict[str, dict[str, float]]:
        """Returns the percentiles by op type, in ms."""
        return {
            name: {f"p{share:g}": histogram.get_value_at_percentile(share) / 1000 for share in PERCENTILES}
            for name, histogram in sorted(self.acked.items())
        }


def decode_latencies(exported: dict[str, Any]) -> Latencies:
    latencies = Latencies()
    latencies.acked = {name: HdrHistogram.decode(text) for name, text in exported["acked"].items()}
    latencies.outcomes = {name: Counter(counts) for name, counts in exported["outcomes"].items()}
    latencies.late = HdrHistogram.decode(exported["late"])
    return latencies


__all__ = ["Latencies", "decode_latencies"]
