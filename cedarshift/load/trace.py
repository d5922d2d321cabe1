"""Reads recorded traces from CSV (also .gz and .zst) or Parquet files.

The columns are `time` (from any start, in the configured unit), `op_type` and `key`, and optionally `client`
and `work_us`. Irregular rows are handled as configured and reported by line number.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import polars as pl

REQUIRED_COLUMNS = ("time", "op_type", "key")
US_PER_UNIT = {"s": 1e6, "ms": 1e3, "us": 1.0, "ns": 1e-3}
MAX_LISTED_ROWS = 20  # row numbers listed in a notice


class InvalidTrace(Exception):
    """A trace that cannot be played as configured; the message names the line and the reason."""


class TraceSettings(NamedTuple):
    """How to read a trace.

    `gap_most` (us) is the longest time without a row that is not a gap; `gaps` is "keep", "close" (shorten
    to `gap_most`) or "refuse". `back` applies to rows older than the one before: "sort", "drop" or
    "refuse". `empty` applies to rows with missing or invalid values: "drop" or "refuse". `speed` divides
    all times.
    """

    unit: str = "s"
    gap_most: int = 60_000_000
    gaps: str = "keep"
    back: str = "sort"
    empty: str = "refuse"
    speed: float = 1.0


class Row(NamedTuple):
    """An op of the trace; `at` is in us from the first row."""

    at: int
    op_type: str
    key: str
    client: str
    work: int


@dataclass
class Trace:
    """The rows of a trace, and `notices` about irregular rows."""

    rows: list[Row] = field(default_factory=list)
    notices: list[str] = field(default_factory=list)
    dropped: int = 0


def read(path: str, settings: TraceSettings) -> Trace:
    """Reads a trace file. Raises InvalidTrace, or OSError if the file cannot be read."""
    table = _read_table(path)
    missing = [name for name in REQUIRED_COLUMNS if name not in table.columns]
    if missing:
        raise InvalidTrace(
            f"{path}: columns {', '.join(missing)} are missing; there are {', '.join(table.columns)}"
        )
    trace = Trace()
    numbered = _complete_rows(table, path, settings, trace)
    numbered = _sort_rows(numbered, path, settings, trace)
    _append_rows(numbered, path, settings, trace)
    return trace


def _read_table(path: str) -> pl.DataFrame:
    if not os.path.exists(path):
        raise FileNotFoundError(f"{path}: no such file")
    try:
        if path.endswith(".parquet"):
            return pl.read_parquet(path)
        return pl.read_csv(
            path, infer_schema=False
        )  # as strings, so that invalid values are reported by line
    except (pl.exceptions.PolarsError, OSError) as error:
        raise InvalidTrace(f"{path}: {str(error).splitlines()[0]}") from None


def _line_number(number: int) -> int:
    """Returns the line number in the file; the header is line 1."""
    return number + 2


def _add_notice(trace: Trace, path: str, rows: list[int], what: str) -> None:
    if rows:
        named = ", ".join(str(_line_number(n)) for n in rows[:MAX_LISTED_ROWS]) + (
            f" and {len(rows) - MAX_LISTED_ROWS} more" if len(rows) > MAX_LISTED_ROWS else ""
        )
        trace.notices.append(f"{path}: {len(rows)} rows {what}: {named}")


def _parse_number(value: Any) -> float:
    """Converts a value to a finite number or raises ValueError."""
    found = float(value)
    if found != found or abs(found) == float("inf"):
        raise ValueError
    return found


def _complete_rows(
    table: pl.DataFrame, path: str, settings: TraceSettings, trace: Trace
) -> list[tuple[int, float, dict[str, Any]]]:
    """Returns (number, time in us, row) for each row with all required values."""
    complete: list[tuple[int, float, dict[str, Any]]] = []
    empty, invalid = [], []
    for number, row in enumerate(table.iter_rows(named=True)):
        if any(row[name] is None or row[name] == "" for name in REQUIRED_COLUMNS):
            empty.append(number)
            continue
        try:
            complete.append((number, _parse_number(row["time"]) * US_PER_UNIT[settings.unit], row))
            if row.get("work_us") not in (None, ""):
                _parse_number(row["work_us"])
        except (TypeError, ValueError):
            if complete and complete[-1][0] == number:
                complete.pop()
            invalid.append(number)
    if settings.empty == "refuse" and (empty or invalid):
        first = min(empty + invalid)
        what = "has no time, op type or key" if first in empty else "has a time or work that is no number"
        raise InvalidTrace(
            f"{path}:{_line_number(first)}: it {what}; {len(empty) + len(invalid)} such rows in all"
        )
    _add_notice(trace, path, empty, "without a time, op type or key were dropped")
    _add_notice(trace, path, invalid, "with a time or work that is no number were dropped")
    trace.dropped += len(empty) + len(invalid)
    return complete


def _sort_rows(
    rows: list[tuple[int, float, dict[str, Any]]], path: str, settings: TraceSettings, trace: Trace
) -> list[tuple[int, float, dict[str, Any]]]:
    newest, back = float("-inf"), set()
    for number, at, _ in rows:
        if at < newest:
            back.add(number)
        newest = max(newest, at)
    if not back:
        return rows
    if settings.back == "refuse":
        raise InvalidTrace(
            f"{path}:{_line_number(min(back))}: its time is before that of a row above; "
            f"{len(back)} such rows in all"
        )
    if settings.back == "drop":
        _add_notice(trace, path, sorted(back), "older than one above them were dropped")
        trace.dropped += len(back)
        return [row for row in rows if row[0] not in back]
    _add_notice(trace, path, sorted(back), "older than one above them were put in their place")
    return sorted(rows, key=lambda row: (row[1], row[0]))


def _append_rows(
    rows: list[tuple[int, float, dict[str, Any]]], path: str, settings: TraceSettings, trace: Trace
) -> None:
    shift, before = 0.0, rows[0][1] if rows else 0.0
    gaps = []
    for number, at, row in rows:
        if at - before > settings.gap_most:
            if settings.gaps == "refuse":
                raise InvalidTrace(
                    f"{path}:{_line_number(number)}: {(at - before) / 1e6:.0f} s without a row before it"
                )
            gaps.append(number)
            shift += at - before - settings.gap_most if settings.gaps == "close" else 0.0
        before = at
        work = row.get("work_us")
        trace.rows.append(
            Row(
                int((at - rows[0][1] - shift) / settings.speed),
                str(row["op_type"]),
                str(row["key"]),
                str(row.get("client") or ""),
                int(_parse_number(work)) if work not in (None, "") else 0,
            )
        )
    done = "were shortened" if settings.gaps == "close" else "were kept"
    _add_notice(trace, path, gaps, f"come after a gap of over {settings.gap_most / 1e6:g} s; the gaps {done}")


__all__ = ["Row", "Trace", "InvalidTrace", "TraceSettings", "read"]
