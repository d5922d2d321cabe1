"""An overloaded endpoint is relieved while streams break, endpoints drain and acknowledgements are delayed.

The decision module runs against a model of the channel: messages leave at the configured rate, and each is
acknowledged after a transit time.
"""

import heapq
import random

import pytest
from channel_model import ENDPOINTS, POLL_INTERVAL, PROXIES, SECOND, SLICES, TERMS, Channel
from helpers import entry

from cedarshift.brain import Pilot

OVERLOADED = "e00"
NEVER = 10**7


class Fleet:
    """A pilot with its slices, during a release of the endpoints and with streams that break and return."""

    def __init__(self, seed, breaks_every, drains_every):
        self.rng = random.Random(seed)
        self.pilot, self.now = Pilot(TERMS), 0
        self.channel = Channel(self.rng)
        self.breaks_every, self.drains_every = breaks_every, drains_every
        self.names = [f"e{number:02}" for number in range(ENDPOINTS)]
        self.pilot.on_list(0, "restored", [entry(name) for name in self.names])
        for proxy in range(PROXIES):
            self.pilot.on_join(0, proxy, "z")
        for number in range(SLICES):
            self.pilot.on_slice_assigned(0, 2 * number, True)
            self.pilot.on_stored_owner(
                0, 2 * number, OVERLOADED if number < 6 else self.names[1 + number % (ENDPOINTS - 1)]
            )
        self.absent, self.moves_from_overloaded, self.max_waiting = [], [], 0.0
        self.relieved = set()  # slices granted to another endpoint

    def run(self, until):
        while self.now < until:
            self.now += POLL_INTERVAL
            self._acknowledge()
            if self.now % self.breaks_every < POLL_INTERVAL:
                self._break_stream()
            if self.now % self.drains_every < POLL_INTERVAL:
                self._replace_endpoint()
            if self.now % (2 * SECOND) < POLL_INTERVAL:
                self._report()
            self._decide()
        return self

    def _acknowledge(self):
        while self.channel.pending_acks and self.channel.pending_acks[0][0] <= self.now:
            _, proxy, mark, took = heapq.heappop(self.channel.pending_acks)
            self.pilot.on_ack(self.now, proxy, mark, took)

    def _break_stream(self):
        while self.absent and self.absent[0][0] <= self.now:
            self.pilot.on_join(self.now, self.absent.pop(0)[1], "z")
        proxy = self.rng.choice([number for number, one in self.pilot.proxies.items() if one.joined])
        self.pilot.on_leave(self.now, proxy)
        self.channel.pending_acks = [one for one in self.channel.pending_acks if one[1] != proxy]
        heapq.heapify(self.channel.pending_acks)
        self.absent.append((self.now + SECOND // 2, proxy))

    def _replace_endpoint(self):
        leaving = self.names.pop(1)
        self.names.append(f"e{int(self.names[-1][1:]) + 1:02}")
        self.pilot.on_list(
            self.now, "update", [entry(leaving, "fading"), entry(self.names[-1], started=self.now)]
        )

    def _report(self):
        held = {s.owner for s in self.pilot.slices.values()}
        for name in self.names:
            if name in held:
                tries, aborted, took = (60, 40, 25_000) if name == OVERLOADED else (20, 0, 3_000)
                self.pilot.on_endpoint_report(self.now, name, "z", tries, aborted, took, 2 * SECOND)
        for number, s in self.pilot.slices.items():
            for kind in ("get", "put"):
                requests = 24 if s.owner == OVERLOADED else 10  # clients retry unanswered requests
                self.pilot.on_slice_report(self.now, number, kind, requests, 0, 2 * SECOND)

    def _decide(self):
        owned = {
            number for number, s in self.pilot.slices.items() if s.owner == OVERLOADED and s.state == "owned"
        }
        self.pilot.wake_pending, lines, mark = True, 0, None
        while (decision := self.pilot.next_decision(self.now)) is not None:
            lines += decision[0] in ("line", "level", "mark")
            mark = decision[1] if decision[0] == "mark" else mark
        if lines:
            joined = [number for number, one in self.pilot.proxies.items() if one.joined]
            self.channel.carry(self.now, lines, mark, joined)
            self.max_waiting = max(self.max_waiting, self.channel.waiting(self.now))
        self.relieved |= {
            number
            for number, s in self.pilot.slices.items()
            if number < 12 and s.state == "owned" and s.owner != OVERLOADED
        }
        for number in owned:
            if self.pilot.slices[number].state != "owned":
                self.moves_from_overloaded.append((self.now, number))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "breaks_every, drains_every, revoked, granted",
    [
        (NEVER, NEVER, 4, 6),
        (2_500, NEVER, 4, 6),
        (NEVER, 16_000, 4, 4),
        (2_500, 16_000, 4, 4),
        (1_000, 8_000, 2, 1),
    ],
)
def test_an_overloaded_endpoint_is_relieved_during_a_release(
    breaks_every, drains_every, revoked, granted, seed
):
    """Enough slices leave the overloaded endpoint.

    `revoked`: least number of moves by second 20. `granted`: least number of its slices that others own by
    second 30; a move that returns and is made again counts once.
    """
    fleet = Fleet(seed, breaks_every, drains_every).run(30 * SECOND)
    counts = fleet.pilot.counts.fields()
    assert len([at for at, _ in fleet.moves_from_overloaded if at <= 20 * SECOND]) >= revoked, (
        fleet.moves_from_overloaded,
        counts,
    )
    assert len(fleet.relieved) >= granted, (sorted(fleet.relieved), counts)
    assert counts["longest_check_gap"] <= 5 * SECOND, counts
    assert fleet.max_waiting <= TERMS.lines_waiting_most
