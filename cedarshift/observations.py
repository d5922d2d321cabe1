"""What the decision module knows of endpoints, proxies and slices, and the sums that it keeps of them as they come."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from hashlib import blake2b
from typing import Optional

from cedarshift.diagnostics import NoMoveReason

# Constants: unit, then the reason for the size.
MAX_SAMPLES = 48  # samples kept an endpoint or slice: RECENT periods from a handful of zones
MOVE_COOLDOWN = 200_000  # 0.1 ms; a moved slice stays put until its load has shown and its keys are known

OWNED, REVOKING, SETTLING, EMPTY = "owned", "revoking", "settling", "empty"


class SampleWindow:
    """The newest samples of one thing, and totals of those that the window holds, which follow as these come
    and leave: with ten thousand slices few change between two looks. Whole numbers: no order matters."""

    def __init__(self) -> None:
        self.samples: deque = deque(maxlen=MAX_SAMPLES)
        self.window_count = 0  # how many of them, the newest, the window holds
        self.totals_valid_until = -math.inf  # until when the totals hold, if no more samples come

    def add_sample(self, sample: tuple) -> None:
        if self.window_count == MAX_SAMPLES:  # the oldest makes room, though the window still holds it
            self.window_count -= 1
            self.accumulate(self.samples[0], -1)
        self.samples.append(sample)
        self.window_count, self.totals_valid_until = self.window_count + 1, -math.inf
        self.accumulate(sample, 1)

    def advance(self, now: int, window: int) -> None:
        while self.window_count and (oldest := self.samples[-self.window_count])[0] < now - window:
            self.accumulate(oldest, -1)
            self.window_count -= 1
        self.totals_valid_until = (
            self.samples[-self.window_count][0] + window if self.window_count else math.inf
        )


class Endpoint(SampleWindow):
    """What is known of one endpoint. Nothing is forgotten when it leaves the list: it may come back.
    Its samples: (heard at, tries, aborted, took, span, from)."""

    def __init__(self, name: str) -> None:
        self.reset()
        self.name, self.phase, self.size, self.zone = name, "on", 1.0, ""
        self.capacity = 1.0  # what it can do against the others, by its size and speed
        self.started: Optional[int] = None  # None: long ago
        self.leave_reported_at = 0  # when it was heard that it drains or is gone
        self.sick_until, self.sick_count, self.hot_checks = 0, 0, 0
        self.slices_changed_at, self.slice_gained_at = (
            0,
            0,
        )  # when it last gained or lost a slice, and when it gained one
        self.has_cold_budget: Optional[bool] = None  # whether the lot gives this pilot its cold budget
        self.no_move_reason: Optional[NoMoveReason] = None  # why the newest check took no slice from it

    def reset(self) -> None:
        SampleWindow.__init__(self)
        self.totals_by_origin: dict[
            str, list[int]
        ] = {}  # by origin: tries, aborted, acked, their time; in the window
        self.totals, self.max_span = [0, 0, 0, 0], 0  # of all; the longest span that a sum has covered
        self.ack_times: list[int] = []  # what acks took, sorted, of all samples
        self.newest_totals: Optional[tuple] = (
            None  # (holds until, ways to its zone, figures of the newest sums)
        )

    def accumulate(self, sample: tuple, sign: int) -> None:
        _, tries, aborted, took, _, origin = sample
        for part in (self.totals, self.totals_by_origin.setdefault(origin, [0, 0, 0, 0])):
            part[0] += sign * tries
            part[1] += sign * max(0, aborted)
            if took > 0:
                part[2] += sign * (tries - aborted)
                part[3] += sign * (tries - aborted) * max(1, took)

    def add_sample(self, sample: tuple) -> None:
        if len(self.samples) == MAX_SAMPLES and (took := self.samples[0][3]):
            del self.ack_times[bisect_left(self.ack_times, took)]
        if sample[3]:
            insort(self.ack_times, sample[3])
        self.newest_totals, self.max_span = None, max(self.max_span, sample[4])
        super().add_sample(sample)


class Proxy:
    """A joined proxy, or one that has left. What was proved of it in an earlier stream still holds: it reads the
    store as it joins, so it never goes back behind that."""

    def __init__(self, zone: str, now: int, old: Optional[Proxy]) -> None:
        self.zone, self.joined, self.left_at, self.joined_at = zone, True, 0, now
        self.acked = old.acked if old else None  # newest mark acked
        self.acked_at = old.acked_at if old else 0  # when that mark took effect there
        self.absent_since = 0 if not old else now if old.joined else old.left_at
        # The newest barrier that the store surely held when it last came back from an absence of a lease; since when it had been
        # away then, and when it joined.
        self.read_barrier: Optional[int] = old.read_barrier if old else None
        self.read_absent_since = old.read_absent_since if old else 0
        self.read_joined_at = old.read_joined_at if old else 0
        self.table: Optional[int] = None  # the table that it was put on, at sites without slices


class Slice(SampleWindow):
    """Its samples: (heard at, ops, span, unanswered, op type)."""

    def __init__(self, number: int, now: int) -> None:
        super().__init__()
        self.ops, self.span = 0, 0  # in the window
        self.rate: Optional[float] = None  # ops in a tenth of a millisecond; None where nothing was heard
        self.number, self.assigned_at, self.state_since = number, now, now
        self.state, self.owner, self.target = EMPTY, None, None
        self.has_line = False  # the store's table names the owner
        self.empty_since = now  # since when it names nobody, where it does not
        self.writes_closed = False  # its writing op types are at level 0
        self.mark: Optional[int] = None  # the barrier of the revoke; None: only the lease is waited for
        self.passed_at: Optional[int] = None  # when a later barrier was acknowledged first
        self.line_restored = False  # the table names the former owner again, so that it is not empty
        self.all_closed = False  # every class is closed, until the grant
        self.moved_at = -MOVE_COOLDOWN

    def accumulate(self, sample: tuple, sign: int) -> None:
        self.ops += sign * sample[1]
        self.span += sign * sample[2]


def rendezvous(endpoint: str, number: int, weight: float) -> float:
    """Weighted rendezvous score; a keyed digest, since Python's own hash differs from run to run."""
    h = int.from_bytes(blake2b(f"{endpoint}/{number}".encode(), digest_size=8).digest(), "big")
    return -weight / math.log(((h >> 11) + 1) / (2**53 + 2))
