"""Diagnostics of the decision module: unmoved slices, batches sent, and hand-overs that wait.

They have no effect on decisions. The host writes them to its log.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import NamedTuple

PROXIES_SHOWN = 3  # awaited proxies listed per hand-over in the log


class NoMoveReason(StrEnum):
    """Why a check moved no slice away from a hot endpoint."""

    FIRST_CHECK = "first_check"  # hot on fewer consecutive checks than a move needs
    RECENTLY_MOVED = "recently_moved"  # each of its slices was moved or assigned recently
    MOVE_LIMIT = "move_limit"  # the moves of this check are used up by other endpoints
    NO_TARGET = "no_target"  # no endpoint would be better off with any of its slices


class HandOverWait(NamedTuple):
    """A hand-over under way. Times are in 0.1 ms."""

    slice_id: int
    step: str  # state of the slice, see `cedarshift.observations`
    age: int  # of the state
    without_line: int  # how long the table has named no owner; 0 where it names one

    def fields(self, awaited: list[int]) -> dict[str, object]:
        """Fields of the log line. `awaited`: proxies that may still write to the former owner."""
        return {
            "slice": self.slice_id,
            "step": self.step,
            "age_ms": self.age // 10,
            "without_line_ms": self.without_line // 10,
            "waits_for": len(awaited),
            "first": awaited[:PROXIES_SHOWN],
        }


@dataclass
class DecisionCounts:
    """Counts since the start of the pilot; times are in 0.1 ms."""

    checks: int = 0  # of the rebalancer
    longest_check_gap: int = 0  # between two checks
    waits_for_acks: int = 0  # batches postponed until acknowledgements arrive
    moves_without_room: int = 0  # moves postponed since they did not fit the channel
    barrier_only_turns: int = 0  # batches without lines or levels, a barrier alone
    lines_held: int = 0  # lines restored to former owners, with all op types closed
    last_check_at: int | None = None

    def record_check(self, now: int) -> None:
        """Counts a check of the rebalancer and the gap since the previous one."""
        if self.last_check_at is not None:
            self.longest_check_gap = max(self.longest_check_gap, now - self.last_check_at)
        self.last_check_at = now
        self.checks += 1

    def record_batch(self, has_lines: bool) -> None:
        """Counts a batch that is sent, where it is a barrier alone."""
        self.barrier_only_turns += not has_lines

    def fields(self) -> dict[str, int]:
        """Fields of the log line."""
        shown = asdict(self)
        del shown["last_check_at"]
        return shown
