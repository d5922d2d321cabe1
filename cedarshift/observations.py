"""What the decision module knows of endpoints, proxies and slices, with running totals of recent samples."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from hashlib import blake2b
from typing import NamedTuple, Optional

from cedarshift.diagnostics import NoMoveReason

MAX_SAMPLES = 48  # kept per endpoint or slice: a window of reports from several zones
MOVE_COOLDOWN = 200_000  # 0.1 ms, between two moves of a slice

# States of a slice, in the order of a hand-over: OWNED; REVOKING, while proxies may still write to the former
# owner; SETTLING, while their last ops may be in flight; EMPTY, which may be granted.
OWNED, REVOKING, SETTLING, EMPTY = "owned", "revoking", "settling", "empty"


class SampleWindow:
    """The newest samples of an endpoint or slice, with totals over those in the time window.

    The totals are updated as samples enter and leave. They are integers, so the order does not matter.
    """

    def __init__(self) -> None:
        self.samples: deque = deque(maxlen=MAX_SAMPLES)
        self.window_count = 0  # newest samples that are in the window
        self.totals_valid_until = -math.inf  # until then no sample leaves the window

    def add_sample(self, sample: tuple) -> None:
        """Adds a sample, whose first field is the time it was received."""
        if self.window_count == MAX_SAMPLES:  # the oldest is evicted while in the window
            self.window_count -= 1
            self.accumulate(self.samples[0], -1)
        self.samples.append(sample)
        self.window_count, self.totals_valid_until = self.window_count + 1, -math.inf
        self.accumulate(sample, 1)

    def advance(self, now: int, window: int) -> None:
        """Subtracts the samples that have left the window from the totals."""
        while self.window_count and (oldest := self.samples[-self.window_count])[0] < now - window:
            self.accumulate(oldest, -1)
            self.window_count -= 1
        self.totals_valid_until = (
            self.samples[-self.window_count][0] + window if self.window_count else math.inf
        )


class Endpoint(SampleWindow):
    """What is known of an endpoint, kept after it leaves the list, since it may come back.

    Samples: (received at, tries, aborted, mean ack time or 0, length of the period, origin zone).
    """

    def __init__(self, name: str) -> None:
        self.reset()
        self.name, self.phase, self.size, self.zone = name, "on", 1.0, ""  # phases: see `Pilot._set_phase`
        self.capacity = 1.0  # listed size scaled by measured speed
        self.started: Optional[int] = None  # None: started long ago
        self.leave_reported_at = 0  # when it was reported draining or gone
        # Until when it counts as sick, times it was detected as sick, consecutive checks that found it hot.
        self.sick_until, self.sick_count, self.hot_checks = 0, 0, 0
        self.slices_changed_at, self.slice_gained_at = 0, 0
        # Whether this pilot is the one that may assign slices to it while it is cold, unless budgets say
        # otherwise; None: not computed yet.
        self.has_cold_budget: Optional[bool] = None
        self.no_move_reason: Optional[NoMoveReason] = None  # of the newest check; None: not hot, or moved

    def reset(self) -> None:
        """Drops all samples."""
        SampleWindow.__init__(self)
        self.totals_by_origin: dict[str, list[int]] = {}  # tries, aborted, acked, sum of ack times
        self.totals, self.max_span = [0, 0, 0, 0], 0  # sums over all origins; longest period of a sample
        self.ack_times: list[int] = []  # sorted, of all samples
        self.newest_totals: Optional[tuple] = None  # cache: (valid until, path penalties, totals)

    def accumulate(self, sample: tuple, sign: int) -> None:
        """Adds a sample to the totals, or subtracts it where `sign` is -1."""
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
    """A proxy that is joined (its stream is open) or has left.

    Barriers proved in an earlier stream stay valid: a proxy reads the store as it joins, so it never goes
    back to older tables.
    """

    def __init__(self, zone: str, now: int, old: Optional[Proxy]) -> None:
        self.zone, self.joined, self.left_at, self.joined_at = zone, True, 0, now
        self.acked = old.acked if old else None  # newest barrier acknowledged or proved
        self.acked_at = old.acked_at if old else 0  # when that barrier took effect at the proxy
        # Start of the absence that ended with this join; 0 at the first join.
        self.absent_since = 0 if not old else now if old.joined else old.left_at
        # The newest barrier that the store held for certain when the proxy last came back after a lease or
        # more, since when it had been absent, and when it joined.
        self.read_barrier: Optional[int] = old.read_barrier if old else None
        self.read_absent_since = old.read_absent_since if old else 0
        self.read_joined_at = old.read_joined_at if old else 0
        self.table: Optional[int] = None  # installed table, in deployments without slices


class Ungranted(NamedTuple):
    """What a grant changes of a slice, as it was before; see the attributes of `Slice`."""

    owner: Optional[str]
    has_line: bool
    writes_closed: bool
    all_closed: bool


class Slice(SampleWindow):
    """State of a slice. Samples: (received at, ops, length of the period, unanswered, op type)."""

    def __init__(self, number: int, now: int) -> None:
        super().__init__()
        self.ops, self.span = 0, 0  # totals over the window: ops, length of the periods
        self.rate: Optional[float] = None  # ops per 0.1 ms; None without samples
        self.number, self.assigned_at, self.state_since = number, now, now
        self.state, self.owner, self.target = EMPTY, None, None
        self.has_line = False  # the table names the owner, and its line was not restored
        self.empty_since = now  # since when the table names no owner
        self.line_removed_at: Optional[int] = None  # when the newest order left the table without an owner
        self.writes_closed = False  # op types that write are at level 0
        self.mark: Optional[int] = None  # barrier of the revoke; None: not revoked, only the lease is awaited
        self.passed_at: Optional[int] = None  # when the revoke had left the channel; None: not known
        # When all proxies had stopped writing to the former owner; None until that is proved, and once a
        # grant is in force.
        self.stopped_at: Optional[int] = None
        self.line_restored = False  # the table names the former owner again
        self.all_closed = False  # every op type is at level 0, until the grant
        self.ungranted: Optional[Ungranted] = None  # before the newest grant; None after a revoke
        # The newest grant, to `target`, was withheld after it may have been carried out. `owner` and the rest
        # are as before it.
        self.grant_in_doubt = False
        self.moved_at = -MOVE_COOLDOWN

    def undo_grant(self, now: int) -> None:
        """Goes back to the state before the newest grant, which may be in force all the same.

        Without a grant, the orders that opened the slice were withheld: which op types are closed is unknown.
        """
        granted_to = self.owner
        if self.ungranted is not None:
            self.owner, self.has_line, self.writes_closed, self.all_closed = self.ungranted
        else:
            self.writes_closed = self.all_closed = True
        if self.state == OWNED:
            self.state, self.state_since, self.target = EMPTY, now, granted_to
            self.grant_in_doubt, self.stopped_at = True, None

    def accumulate(self, sample: tuple, sign: int) -> None:
        """Adds a sample's ops and period to the totals, or subtracts them where `sign` is -1."""
        self.ops += sign * sample[1]
        self.span += sign * sample[2]


def rendezvous(endpoint: str, number: int, weight: float) -> float:
    """Weighted rendezvous hash score of an endpoint for a slice; the highest score wins.

    Uses a digest, since Python's hash() differs between processes.
    """
    h = int.from_bytes(blake2b(f"{endpoint}/{number}".encode(), digest_size=8).digest(), "big")
    return -weight / math.log(((h >> 11) + 1) / (2**53 + 2))
