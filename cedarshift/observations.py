"""What the decision module knows of endpoints, proxies and slices, and the sums that it keeps of them as they come."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from hashlib import blake2b
from typing import Optional

from cedarshift.diagnostics import KeptReason

# Constants: unit, then the reason for the size.
SAMPLES = 48  # samples kept an endpoint or slice: RECENT periods from a handful of zones
HOLD = 200_000  # 0.1 ms; a moved slice stays put until its load has shown and its keys are known

OWNED, REVOKING, SETTLING, EMPTY = "owned", "revoking", "settling", "empty"


class RecentSamples:
    """The newest samples of one thing, and totals of those that the window holds, which follow as these come
    and leave: with ten thousand slices few change between two looks. Whole numbers: no order matters."""

    def __init__(self) -> None:
        self.samples: deque = deque(maxlen=SAMPLES)
        self.inside = 0  # how many of them, the newest, the window holds
        self.holds = -math.inf  # until when the totals hold, if no more samples come

    def hear(self, sample: tuple) -> None:
        if self.inside == SAMPLES:  # the oldest makes room, though the window still holds it
            self.inside -= 1
            self.count(self.samples[0], -1)
        self.samples.append(sample)
        self.inside, self.holds = self.inside + 1, -math.inf
        self.count(sample, 1)

    def look(self, now: int, recent: int) -> None:
        while self.inside and (oldest := self.samples[-self.inside])[0] < now - recent:
            self.count(oldest, -1)
            self.inside -= 1
        self.holds = self.samples[-self.inside][0] + recent if self.inside else math.inf


class Endpoint(RecentSamples):
    """What is known of one endpoint. Nothing is forgotten when it leaves the list: it may come back.
    Its samples: (heard at, tries, aborted, took, span, from)."""

    def __init__(self, name: str) -> None:
        self.forget()
        self.name, self.phase, self.size, self.zone = name, "on", 1.0, ""
        self.part = 1.0  # what it can do against the others, by its size and speed
        self.started: Optional[int] = None  # None: long ago
        self.told_at = 0  # when it was heard that it drains or is gone
        self.sick_until, self.strikes, self.hot_checks = 0, 0, 0
        self.changed_at, self.gained_at = 0, 0  # when it last gained or lost a slice, and when it gained one
        self.ours: Optional[bool] = None  # whether the lot gives this pilot its cold budget
        self.kept: Optional[KeptReason] = None  # why the newest check took no slice from it

    def forget(self) -> None:
        RecentSamples.__init__(self)
        self.fares: dict[str, list[int]] = {}  # by origin: tries, aborted, acked, their time; in the window
        self.total, self.longest = [0, 0, 0, 0], 0  # of all; the longest span that a sum has covered
        self.times: list[int] = []  # what acks took, sorted, of all samples
        self.newest: Optional[tuple] = None  # (holds until, ways to its zone, figures of the newest sums)

    def count(self, sample: tuple, sign: int) -> None:
        _, tries, aborted, took, _, origin = sample
        for part in (self.total, self.fares.setdefault(origin, [0, 0, 0, 0])):
            part[0] += sign * tries
            part[1] += sign * max(0, aborted)
            if took > 0:
                part[2] += sign * (tries - aborted)
                part[3] += sign * (tries - aborted) * max(1, took)

    def hear(self, sample: tuple) -> None:
        if len(self.samples) == SAMPLES and (took := self.samples[0][3]):
            del self.times[bisect_left(self.times, took)]
        if sample[3]:
            insort(self.times, sample[3])
        self.newest, self.longest = None, max(self.longest, sample[4])
        super().hear(sample)


class Proxy:
    """A joined proxy, or one that has left. What was proved of it in an earlier stream still holds: it reads the
    store as it joins, so it never goes back behind that."""

    def __init__(self, zone: str, now: int, old: Optional[Proxy]) -> None:
        self.zone, self.joined, self.left_at, self.joined_at = zone, True, 0, now
        self.acked = old.acked if old else None  # newest mark acked
        self.acked_at = old.acked_at if old else 0  # when that mark took effect there
        self.away_from = 0 if not old else now if old.joined else old.left_at
        # The newest barrier that the store surely held when it last came back from an absence of a lease; since when it had been
        # away then, and when it joined.
        self.read: Optional[int] = old.read if old else None
        self.read_from = old.read_from if old else 0
        self.read_joined = old.read_joined if old else 0
        self.table: Optional[int] = None  # the table that it was put on, at sites without slices


class Slice(RecentSamples):
    """Its samples: (heard at, ops, span, unanswered, op type)."""

    def __init__(self, number: int, now: int) -> None:
        super().__init__()
        self.ops, self.span = 0, 0  # in the window
        self.rate: Optional[float] = None  # ops in a tenth of a millisecond; None where nothing was heard
        self.number, self.given_at, self.since = number, now, now
        self.state, self.owner, self.target = EMPTY, None, None
        self.line = False  # the store's table names the owner
        self.empty_since = now  # since when it names nobody, where it does not
        self.closed = False  # its writing op types are at level 0
        self.mark: Optional[int] = None  # the barrier of the revoke; None: only the lease is waited for
        self.overtaken_at: Optional[int] = None  # when a later barrier was acknowledged first
        self.held = False  # the table names the former owner again, so that it is not empty
        self.shut = False  # every class is closed, until the grant
        self.moved_at = -HOLD

    def count(self, sample: tuple, sign: int) -> None:
        self.ops += sign * sample[1]
        self.span += sign * sample[2]


def rendezvous(endpoint: str, number: int, weight: float) -> float:
    """Weighted rendezvous score; a keyed digest, since Python's own hash differs from run to run."""
    h = int.from_bytes(blake2b(f"{endpoint}/{number}".encode(), digest_size=8).digest(), "big")
    return -weight / math.log(((h >> 11) + 1) / (2**53 + 2))
