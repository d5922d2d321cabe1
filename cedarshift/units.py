"""Spans in the module's unit, whole tenths of a millisecond: one conversion for every host. `unit` is what one holds."""

from __future__ import annotations

from typing import Any


def round_up(span: Any, unit: int) -> int:
    """Rounded up: waits end no sooner than stated. None counts as nought."""
    return -(-int(span or 0) // unit)


def round_down(span: Any, unit: int) -> int:
    """Rounded down: what must be done in time is done no later than stated. None counts as nought."""
    return int(span or 0) // unit
