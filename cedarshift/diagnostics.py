"""What the decision module tells of itself: why slices stay on a strained endpoint, what turns are spent on, what hand-overs wait for.

None of it decides anything. The host writes it to its log, so that an incident can be told from the log alone.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import NamedTuple

PROXIES_SHOWN = 3  # proxies that a hand-over waits for, in a line of the log


class NoMoveReason(StrEnum):
    """Why a check moved no slice away from a hot endpoint."""

    FIRST_CHECK = "first_check"  # hot on fewer checks running than a move needs
    RECENTLY_MOVED = "recently_moved"  # each of its slices was moved or given a short time ago
    MOVE_LIMIT = "move_limit"  # other endpoints have used up the moves of this check
    NO_TARGET = "no_target"  # no endpoint would be better off with any of its slices


class HandOverWait(NamedTuple):
    """A slice in the middle of a hand-over. Times are in 0.1 ms."""

    slice_id: int
    step: str  # the state that it is in
    age: int  # since the step began
    without_line: int  # since its table names no endpoint; 0 where it names one

    def fields(self, awaited: list[int]) -> dict[str, object]:
        """What the log shows. `awaited`: proxies that may still write to the former owner."""
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
    """Counts since the start; times are in the module's unit of 0.1 ms."""

    checks: int = 0
    longest_check_gap: int = 0
    waits_for_acks: int = 0  # looks at what is due that ended in waiting for acknowledgements
    moves_without_room: int = 0  # moves decided and then dropped, as the channel had no room
    barrier_only_turns: int = 0  # turns that carried a barrier for newly joined proxies and nothing else
    lines_held: int = 0  # lines of former owners set again, closed, as a hand-over took too long
    last_check_at: int | None = None

    def record_check(self, now: int) -> None:
        """Counts a check of the rebalancer and the gap since the one before."""
        if self.last_check_at is not None:
            self.longest_check_gap = max(self.longest_check_gap, now - self.last_check_at)
        self.last_check_at = now
        self.checks += 1

    def record_batch(self, has_lines: bool) -> None:
        """Counts a turn that goes out."""
        self.barrier_only_turns += not has_lines

    def fields(self) -> dict[str, int]:
        """What the log shows."""
        shown = asdict(self)
        del shown["last_check_at"]
        return shown
