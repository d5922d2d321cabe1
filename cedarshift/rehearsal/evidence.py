"""What a rehearsal's processes recorded, read back and put in order of time."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from typing import Any, Iterable, NamedTuple, Optional

import msgspec

DECODER = msgspec.json.Decoder(list[Any])


class Row(NamedTuple):
    """`at` in us on the machine's monotonic clock; `who` recorded it; `told` are the details, as each kind has them."""

    at: int
    who: str
    what: str
    told: list[Any]


class AnswerBounds(NamedTuple):
    """What the answer to overload is held to on a day; spans in us from the day's begin, parts of 1; None: not held to it.

    From `cause_at` to `calm_at` there is more than can be carried, or an outage. `back_within`: after that until what is earned is back;
    `repeats_most`: tries at endpoints beyond the first, for each op; `top`: the op type of which `top_least` is earned meanwhile;
    `earned_least`: of all that was asked, meanwhile; `lapses_most`: ops rejected for a lease that had lapsed."""

    cause_at: int
    calm_at: int
    back_within: Optional[int] = None
    repeats_most: Optional[float] = None
    top: str = ""
    top_least: Optional[float] = None
    earned_least: Optional[float] = None
    lapses_most: Optional[int] = None


@dataclass
class Limits:
    """The figures that the rules are held to; spans in us."""

    empty_for: int
    drain_grace: int
    warm_within: int
    lines_waiting_most: float
    lines_per_message: float
    messages_most: int
    messages_span: int
    once_only: frozenset[str]
    budgets: dict[str, tuple[float, int, int]] = field(
        default_factory=dict
    )  # use -> tokens a second, burst (us), how many spend
    gone_binds: bool = True  # an endpoint dropped from the list without a drain must be left too
    answer: Optional[AnswerBounds] = None
    hindered: tuple[
        tuple[int, int], ...
    ] = ()  # spans in which pilots could not act; bounds in time run on without them
    worths: dict[str, tuple[float, int, int, float]] = field(
        default_factory=dict
    )  # op type -> earnings, target, timeout (us), late share

    def without(self, begin: int, end: int) -> int:
        """us from begin to end in which nothing hindered the pilots."""
        return (
            end - begin - sum(max(0, min(end, until) - max(begin, since)) for since, until in self.hindered)
        )


@dataclass
class Evidence:
    limits: Limits
    rows: list[Row] = field(default_factory=list)
    begin: int = 0
    end: int = 0
    owners: Optional[dict[int, list[tuple[int, str]]]] = (
        None  # by slice, where somebody saw them at the store itself
    )

    def of(self, *kinds: str) -> Iterable[Row]:
        return (row for row in self.rows if row.what in kinds)

    def seconds(self, at: int) -> float:
        """Since the day's begin."""
        return (at - self.begin) / 1e6


def read_records(folder: str) -> list[Row]:
    """All rows of `record-WHO.jsonl` files, by time. A line cut off by a kill is left out: it is the last of its life."""
    rows = []
    for name in sorted(os.listdir(folder)):
        if not (name.startswith("record-") and name.endswith(".jsonl")):
            continue
        who = name[len("record-") : -len(".jsonl")]
        with open(os.path.join(folder, name), "rb") as source:
            for line in source:
                try:
                    at, what, *told = DECODER.decode(line)
                except (msgspec.DecodeError, ValueError):
                    continue
                rows.append(Row(at, who, what, told))
    rows.sort(key=lambda row: row.at)
    return rows
