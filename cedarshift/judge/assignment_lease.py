"""Determines whether a slice is surely still assigned to this pilot. No I/O; time is passed in.

The store may assign a slice to another pilot and back while this one receives no events. With an assignment
the op types of a slice are admitted again, so what was proved about its former owner no longer holds: a grant
that rests on the proof would name a second owner. The store drops orders for a slice only while it is away,
so the pilot itself must not grant until it knows that the slice has not been.

The lease is renewed by events: after the latest time as of which all are known, the store leaves slices with
the pilot for a while. A slice that incomplete news does not name is in doubt, and not covered. Orders that
close a slice need no lease, as they are safe whoever has it.
"""

from __future__ import annotations

from typing import Optional


class AssignmentLease:
    """A pilot's lease on its slices. Times are in 0.1 ms.

    `duration`: how long the store leaves slices with a pilot that it cannot reach. 0 for no limit, where the
    store itself rejects orders from before an assignment. `max_interval`: longest time between two renewals
    while the store can be reached; it may be longer than `duration`.
    """

    def __init__(self, duration: int, max_interval: int) -> None:
        self.duration = duration
        self.max_interval = max_interval
        self.renewed_at: Optional[int] = None
        self.in_doubt: set[int] = set()  # slices that the lease does not cover

    def renew(self, as_of: int) -> None:
        """All assignments up to a time are known."""
        self.renewed_at = as_of if self.renewed_at is None else max(self.renewed_at, as_of)

    def covers(self, slice_id: int, now: int) -> bool:
        """Whether a slice that this pilot knows of as its own is surely still assigned to it."""
        if not self.duration:
            return True
        if self.renewed_at is None or slice_id in self.in_doubt:
            return False
        return now - self.renewed_at < self.duration

    def is_due_for_renewal(self, now: int) -> bool:
        """Whether the lease has run out, and is renewed soon if the store can be reached."""
        return self.renewed_at is not None and self.duration <= now - self.renewed_at < self.max_interval
