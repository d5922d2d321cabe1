"""Recorded traces as arrivals. Whatever is odd in a file is told with its row and handled as was asked, never in silence.

CSV (also .gz, .zst) and Parquet. Columns: `time` (seconds, or the unit that is stated; any start), `op_type`, `key`; and, where
there are any, `client` and `work_us`.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import polars as pl

NEEDED = ("time", "op_type", "key")
UNITS = {"s": 1e6, "ms": 1e3, "us": 1.0, "ns": 1e-3}
SHOWN = 20  # rows named of each kind of oddity; the count is always whole


class TraceRefused(Exception):
    """A trace that can't be played as asked, with the row and the reason."""


class TraceTerms(NamedTuple):
    """`gap_most`: us without a row that count as a gap. `gaps`: "keep", "close" (shortened to `gap_most`) or "refuse". `back`: what to do
    with rows that are older than the one before: "sort", "drop" or "refuse". `empty`: rows without a time, op type or key:
    "drop" or "refuse"."""

    unit: str = "s"
    gap_most: int = 60_000_000
    gaps: str = "keep"
    back: str = "sort"
    empty: str = "refuse"
    speed: float = 1.0


class Row(NamedTuple):
    """`at` in us from the first row."""

    at: int
    op_type: str
    key: str
    client: str
    work: int


@dataclass
class Trace:
    rows: list[Row] = field(default_factory=list)
    told: list[str] = field(default_factory=list)  # what was odd, and what was done about it
    dropped: int = 0


def read(path: str, terms: TraceTerms) -> Trace:
    """Raises TraceRefused, OSError where the file can't be read."""
    table = _table(path)
    missing = [name for name in NEEDED if name not in table.columns]
    if missing:
        raise TraceRefused(
            f"{path}: columns {', '.join(missing)} are missing; there are {', '.join(table.columns)}"
        )
    trace = Trace()
    numbered = _complete(table, path, terms, trace)
    numbered = _in_order(numbered, path, terms, trace)
    _place(numbered, path, terms, trace)
    return trace


def _table(path: str) -> pl.DataFrame:
    if not os.path.exists(path):
        raise FileNotFoundError(f"{path}: no such file")
    try:
        if path.endswith(".parquet"):
            return pl.read_parquet(path)
        return pl.read_csv(
            path, infer_schema=False
        )  # as texts: a wrong value is told with its row, not guessed at
    except (pl.exceptions.PolarsError, OSError) as error:
        raise TraceRefused(f"{path}: {str(error).splitlines()[0]}") from None


def _row(number: int) -> int:
    """As an editor counts lines: the head is line 1."""
    return number + 2


def _tell(trace: Trace, path: str, rows: list[int], what: str) -> None:
    if rows:
        named = ", ".join(str(_row(n)) for n in rows[:SHOWN]) + (
            f" and {len(rows) - SHOWN} more" if len(rows) > SHOWN else ""
        )
        trace.told.append(f"{path}: {len(rows)} rows {what}: {named}")


def _number(value: Any) -> float:
    """Raises ValueError for what is no finite number."""
    found = float(value)
    if found != found or abs(found) == float("inf"):
        raise ValueError
    return found


def _complete(
    table: pl.DataFrame, path: str, terms: TraceTerms, trace: Trace
) -> list[tuple[int, float, dict[str, Any]]]:
    """(number, time in us, the row) of the rows that have what is needed."""
    good: list[tuple[int, float, dict[str, Any]]] = []
    empty, odd = [], []
    for number, row in enumerate(table.iter_rows(named=True)):
        if any(row[name] is None or row[name] == "" for name in NEEDED):
            empty.append(number)
            continue
        try:
            good.append((number, _number(row["time"]) * UNITS[terms.unit], row))
            if row.get("work_us") not in (None, ""):
                _number(row["work_us"])
        except (TypeError, ValueError):
            if good and good[-1][0] == number:
                good.pop()
            odd.append(number)
    if terms.empty == "refuse" and (empty or odd):
        first = min(empty + odd)
        what = "has no time, op type or key" if first in empty else "has a time or work that is no number"
        raise TraceRefused(f"{path}:{_row(first)}: it {what}; {len(empty) + len(odd)} such rows in all")
    _tell(trace, path, empty, "without a time, op type or key were dropped")
    _tell(trace, path, odd, "with a time or work that is no number were dropped")
    trace.dropped += len(empty) + len(odd)
    return good


def _in_order(
    rows: list[tuple[int, float, dict[str, Any]]], path: str, terms: TraceTerms, trace: Trace
) -> list[tuple[int, float, dict[str, Any]]]:
    newest, back = float("-inf"), set()
    for number, at, _ in rows:
        if at < newest:
            back.add(number)
        newest = max(newest, at)
    if not back:
        return rows
    if terms.back == "refuse":
        raise TraceRefused(
            f"{path}:{_row(min(back))}: its time is before that of a row above; {len(back)} such rows in all"
        )
    if terms.back == "drop":
        _tell(trace, path, sorted(back), "older than one above them were dropped")
        trace.dropped += len(back)
        return [row for row in rows if row[0] not in back]
    _tell(trace, path, sorted(back), "older than one above them were put in their place")
    return sorted(rows, key=lambda row: (row[1], row[0]))


def _place(rows: list[tuple[int, float, dict[str, Any]]], path: str, terms: TraceTerms, trace: Trace) -> None:
    shift, before = 0.0, rows[0][1] if rows else 0.0
    gaps = []
    for number, at, row in rows:
        if at - before > terms.gap_most:
            if terms.gaps == "refuse":
                raise TraceRefused(
                    f"{path}:{_row(number)}: {(at - before) / 1e6:.0f} s without a row before it"
                )
            gaps.append(number)
            shift += at - before - terms.gap_most if terms.gaps == "close" else 0.0
        before = at
        work = row.get("work_us")
        trace.rows.append(
            Row(
                int((at - rows[0][1] - shift) / terms.speed),
                str(row["op_type"]),
                str(row["key"]),
                str(row.get("client") or ""),
                int(_number(work)) if work not in (None, "") else 0,
            )
        )
    done = "were shortened" if terms.gaps == "close" else "were kept"
    _tell(trace, path, gaps, f"come after a gap of over {terms.gap_most / 1e6:g} s; the gaps {done}")


__all__ = ["Row", "Trace", "TraceRefused", "TraceTerms", "read"]
