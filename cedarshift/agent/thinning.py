"""Deterministic thinning: lets a given fraction of a sequence of ops pass, spread evenly over it. No I/O."""

from __future__ import annotations

from typing import Hashable

GOLDEN_RATIO_CONJUGATE = 0.6180339887  # its multiples modulo 1 are a low-discrepancy sequence


class Thinning:
    """Decides per key which ops pass, by an additive recurrence with the golden ratio."""

    def __init__(self) -> None:
        self.positions: dict[Hashable, float] = {}

    def passes(self, key: Hashable, fraction: float, start: float = 0.0) -> bool:
        """Returns whether the next op of a key passes. A new key begins at position `start`, in [0, 1)."""
        position = (self.positions.get(key, start) + GOLDEN_RATIO_CONJUGATE) % 1.0
        self.positions[key] = position
        return position < fraction
