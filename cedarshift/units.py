"""Conversion of durations to the decision module's unit of 0.1 ms.

`unit` is the length of 0.1 ms in the caller's unit. None counts as 0.
"""

from __future__ import annotations

from typing import Any


def round_up(duration: Any, unit: int) -> int:
    """For waits, which must not end early."""
    return -(-int(duration or 0) // unit)


def round_down(duration: Any, unit: int) -> int:
    """For deadlines, which must not be exceeded."""
    return int(duration or 0) // unit
