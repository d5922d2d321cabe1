"""Slices of draining endpoints are left within the grace, also those that another pilot hands over late.

The decision module runs against a model of the channel with the figures of a recorded play.
"""

import dataclasses
import heapq
import random

import pytest
from channel_model import ENDPOINTS, POLL_INTERVAL, PROXIES, SECOND, TERMS, Channel
from helpers import entry

from cedarshift.brain import Pilot

OWN_SLICES, ASSIGNED_SLICES, DRAINING = 42, 101, 6
DRAIN_AT, ASSIGNED_AT, END = 132_000, 149_800, 250_000  # 0.1 ms
EARLIER_BATCH_AT = ASSIGNED_AT - SECOND // 10
REMOVED = "e08"


class LateAssignment:
    """A pilot that is given slices of another one, some of whose owners have been draining for a while."""

    def __init__(self, seed, draining_slices, earlier_batch):
        self.names = [f"e{number:02}" for number in range(ENDPOINTS)]
        self.pilot = Pilot(dataclasses.replace(TERMS, slices=2 * (OWN_SLICES + ASSIGNED_SLICES)))
        self.channel = Channel(random.Random(seed))
        self.awaited = set(range(OWN_SLICES, OWN_SLICES + draining_slices))
        self.left_at = {}  # slice -> when the last proxy has applied that its line is removed
        self.events = [(DRAIN_AT, self._drain), (ASSIGNED_AT, self._assign)]
        if earlier_batch:
            self.events.append((EARLIER_BATCH_AT, self._remove_endpoint))
        self.events.sort(key=lambda event: event[0])
        self.pilot.on_list(0, "restored", [entry(name) for name in self.names])
        for proxy in range(PROXIES):
            self.pilot.on_join(0, proxy, "z")
        for number in range(OWN_SLICES):
            self._give(0, number, self._sound_owner(number))

    def _sound_owner(self, number):
        return self.names[8 + number % (ENDPOINTS - 8)]

    def _give(self, now, number, owner):
        self.pilot.on_slice_assigned(now, number, True)
        self.pilot.on_stored_owner(now, number, owner)

    def _drain(self, now):
        self.pilot.on_list(now, "update", [entry(name, "fading") for name in self.names[:DRAINING]])

    def _remove_endpoint(self, now):
        self.pilot.on_list(now, "update", [entry(REMOVED, "off")])

    def _assign(self, now):
        for number in range(OWN_SLICES, OWN_SLICES + ASSIGNED_SLICES):
            draining = number in self.awaited
            self._give(now, number, self.names[number % DRAINING] if draining else self._sound_owner(number))

    def run(self):
        """Returns the longest time from the assignment until all proxies have left a slice's owner, in s."""
        for now in range(POLL_INTERVAL, END, POLL_INTERVAL):
            while self.channel.pending_acks and self.channel.pending_acks[0][0] <= now:
                _, proxy, mark, took = heapq.heappop(self.channel.pending_acks)
                self.pilot.on_ack(now, proxy, mark, took)
            while self.events and self.events[0][0] <= now:
                self.events.pop(0)[1](now)
            self._decide(now)
        assert self.left_at.keys() == self.awaited
        return (max(self.left_at.values()) - ASSIGNED_AT) / SECOND

    def _decide(self, now):
        self.pilot.wake_pending, lines, mark, removed = True, 0, None, []
        while (decision := self.pilot.next_decision(now)) is not None:
            lines += decision[0] in ("line", "level", "mark")
            mark = decision[1] if decision[0] == "mark" else mark
            if decision[0] == "line" and decision[1] in self.awaited and decision[3] == 0:
                removed.append(decision[1])
        if lines:
            self.channel.carry(now, lines, mark, range(PROXIES))
            applied_at = max(at for at, _, sent, _ in self.channel.pending_acks if sent == mark)
            for number in removed:
                self.left_at.setdefault(number, applied_at)


# Lines that were overdue waited for acknowledgements of lines that had left the channel long before.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("earlier_batch", [True, False])
@pytest.mark.parametrize("draining_slices", [20, 40, 42, 44, 46])
def test_slices_that_are_overdue_when_assigned_leave_within_the_grace(draining_slices, earlier_batch, seed):
    longest = LateAssignment(seed, draining_slices, earlier_batch).run()
    assert longest <= TERMS.drain_grace / SECOND
