"""Log lines about hand-overs that are under way, and about grants that wait for events."""

from __future__ import annotations

from cedarshift.brain import Pilot
from cedarshift.diagnostics import HandOverWait
from cedarshift.platform.reconnect import Report

LATE_DIVISOR = 2  # a slice without a line is logged after 1/2 of the time that the settings allow


class HandOverLog:
    """Logs the state of the decision module. Times are in 0.1 ms.

    `empty_for`: longest time that a slice may be without a line; 0 for no limit."""

    def __init__(self, brain: Pilot, empty_for: int, report: Report) -> None:
        self.brain = brain
        self.late_after = empty_for // LATE_DIVISOR
        self.report = report
        self.late_slices: set[int] = set()  # already logged as without a line for too long

    def write_hand_overs(self, now: int) -> None:
        """Logs pending hand-overs, and once each slice that has been without a line for `late_after`."""
        waits = self.brain.hand_over_waits(now)
        if waits:
            without_line_count = sum(wait.without_line > 0 for wait in waits)
            self.report(
                "hand_overs",
                under_way=len(waits),
                without_line=without_line_count,
                oldest=self._wait_fields(waits[0]),
            )
        late = [wait for wait in waits if self.late_after and wait.without_line >= self.late_after]
        for wait in late:
            if wait.slice_id not in self.late_slices:
                self.report("slice_without_line", **self._wait_fields(wait))
        self.late_slices = {wait.slice_id for wait in late}

    def write_waiting_grants(self, now: int, withheld: int, silent_us: int) -> None:
        """Logs the grants that wait until it is known that no other pilot has had their slices.

        `withheld`: slices whose grant was withheld; `silent_us`: how old the newest known events are."""
        ages = self.brain.grants_waiting(now)
        if ages or withheld:
            self.report(
                "grants_wait",
                slices=len(ages),
                longest_ms=max(ages, default=0) // 10,
                withheld=withheld,
                silent_ms=silent_us // 1000,
            )

    def _wait_fields(self, wait: HandOverWait) -> dict[str, object]:
        return wait.fields(self.brain.awaited(wait.slice_id))
