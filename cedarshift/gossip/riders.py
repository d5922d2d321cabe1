"""Application payloads that travel with the messages of members: the newest of each, passed on a bounded
number of times. No I/O; times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from cedarshift.codec.gossip import MAX_RIDER_BYTES, Body, RiderRecord

RECORD_OVERHEAD_BYTES = 35  # of an encoded rider beside name and payload, at most


class Rider(NamedTuple):
    """Application payload of a member that travels with its messages. `at`: its local time of origin (us)."""

    start: int
    seq: int
    at: int
    payload: bytes


class Riders:
    """The newest rider of each member. Others' riders are passed on `max_transmissions` times."""

    def __init__(self, me: str, max_transmissions: int) -> None:
        self.me = me
        self.max_transmissions = max_transmissions
        self.newest: dict[str, Rider] = {}  # per member, including this one
        self.queue: OrderedDict[str, int] = OrderedDict()  # member -> transmissions left

    def set_own(self, now: int, start: int, payload: bytes) -> None:
        """Set the payload that this member attaches to its messages in its life `start`."""
        assert len(payload) <= MAX_RIDER_BYTES, len(payload)
        previous = self.newest.get(self.me)
        seq = 1 if previous is None or previous.start != start else previous.seq + 1
        self.newest[self.me] = Rider(start, seq, now, payload)

    def merge(self, now: int, record: RiderRecord) -> None:
        """Keep a received rider of another member if it is newer, and pass it on."""
        held = self.newest.get(record.name)
        if held is None or (record.start, record.seq) > (held.start, held.seq):
            self.newest[record.name] = Rider(record.start, record.seq, now - record.age, record.payload)
            self.queue[record.name] = self.max_transmissions
            self.queue.move_to_end(record.name, last=False)

    def add_own(self, body: Body, available: int, now: int) -> int:
        """Add this member's rider to a message if it fits into `available` bytes; return the bytes left."""
        return self._add(body, available, now, [self.me])

    def add_queued(self, body: Body, available: int, now: int) -> int:
        """Add the riders to be passed on that fit into `available` bytes; return the bytes left."""
        return self._add(body, available, now, list(self.queue))

    def _add(self, body: Body, available: int, now: int, names: list[str]) -> int:
        for name in names:
            rider = self.newest.get(name)
            size = 0 if rider is None else len(name) + len(rider.payload) + RECORD_OVERHEAD_BYTES
            if rider is None or size > available:
                continue
            available -= size
            age = max(0, now - rider.at)
            body.riders = [*body.riders, RiderRecord(name, rider.start, rider.seq, age, rider.payload)]
            self._count_transmission(name)
        return available

    def _count_transmission(self, name: str) -> None:
        if name not in self.queue:
            return
        self.queue[name] -= 1
        if self.queue[name] <= 0:
            del self.queue[name]
        else:
            self.queue.move_to_end(name)
