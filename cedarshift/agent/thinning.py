"""Lets a part of what comes pass, evenly: the golden sequence, so that a part holds over few ops and for each key by itself. No I/O."""

from __future__ import annotations

from typing import Hashable

GOLDEN = 0.6180339887  # its multiples fill the unit interval most evenly (Weyl; Knuth, volume 3, 6.4)


class Thinning:
    """Where each key stands in the sequence."""

    def __init__(self) -> None:
        self.at: dict[Hashable, float] = {}

    def passes(self, key: Hashable, part: float, first: float = 0.0) -> bool:
        """Whether the next one may pass where `part` of 1 may. `first`: where a new key begins."""
        at = (self.at.get(key, first) + GOLDEN) % 1.0
        self.at[key] = at
        return at < part
