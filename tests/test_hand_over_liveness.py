"""The time that any joined proxy is without a line is limited, whatever other proxies do.

Single ownership holds as well. The decision module runs against `cedarshift/standins/proxy_fleet.py`: 150
proxies and 30 endpoints, of which one is replaced every 3 s.
"""

import pytest
from helpers import entry

from cedarshift.brain import Pilot
from cedarshift.interface import DecisionConfig, OpType
from cedarshift.judge.write_stops import WriteStops
from cedarshift.standins.proxy_fleet import TICKS_PER_SECOND, Faults, ProxyFleet

POLL_INTERVAL = 250  # 0.1 ms
ENDPOINTS, SLICES = 30, 84
DRAIN_EVERY, GONE_AFTER = 3 * TICKS_PER_SECOND, 45_000
EMPTY_FOR = 17.9  # s
TERMS = dict(
    op_types=(
        OpType("get", 2 * TICKS_PER_SECOND, 6 * TICKS_PER_SECOND, False, False),
        OpType("put", 2 * TICKS_PER_SECOND, 3 * TICKS_PER_SECOND, True, False),
    ),
    zones=("z",),
    slices=2 * SLICES,
    single_owner=True,
    pilots=2,
    lines_per_message=16,
    lines_waiting_most=9500.0,
    lines_per_s=6300,
    transit_most=6_625,
    connect_most=5_000,
    report_period=2 * TICKS_PER_SECOND,
    lease=8_000,
    in_flight_most=30_200,
    drain_grace=3 * TICKS_PER_SECOND,
    warm_within=15 * TICKS_PER_SECOND,
    cold_share=0.18,
    tip_multiple=3.0,
    retry_default=0,
)


class Simulation:
    """A pilot and its fleet during a release of the endpoints.

    `quiet`: a single endpoint leaves, and nothing else happens.
    """

    def __init__(self, seed, faults, quiet=False, **terms):
        self.quiet, self.now = quiet, 0
        self.pilot = Pilot(DecisionConfig(**{**TERMS, **terms}))
        self.names, self.number = [f"e{number:02}" for number in range(ENDPOINTS)], ENDPOINTS
        self.pilot.on_list(0, "restored", [entry(name) for name in self.names])
        owners = {2 * number: self.names[number % ENDPOINTS] for number in range(SLICES)}
        self.fleet = ProxyFleet(seed, faults, owners, self._tell)
        for proxy in self.fleet.proxies:
            self.pilot.on_join(0, proxy, "z")
        for number, owner in owners.items():
            self.pilot.on_slice_assigned(0, number, True)
            self.pilot.on_stored_owner(0, number, owner)
        self.gone = []  # (time, endpoint) to remove from the list

    def run(self, seconds):
        """Returns the longest time without a line, in s."""
        next_drain = 3 * TICKS_PER_SECOND
        while self.now < seconds * TICKS_PER_SECOND:
            self.now += POLL_INTERVAL
            self.fleet.advance(self.now)
            if self.now >= next_drain:
                self._replace()
                next_drain = self.now + (10**9 if self.quiet else DRAIN_EVERY)
            while self.gone and self.gone[0][0] <= self.now:
                self.pilot.on_list(self.now, "update", [entry(self.gone.pop(0)[1], "off")])
            self._decide()
        return self.fleet.finish()

    def _replace(self):
        old, new = self.names.pop(0), f"e{self.number:02}"
        self.number += 1
        self.names.append(new)
        self.pilot.on_list(self.now, "update", [entry(old, "off" if self.quiet else "fading"), entry(new)])
        self.gone.append((self.now + GONE_AFTER, old))

    def _tell(self, event, proxy, *more):
        if event == "join":
            self.pilot.on_join(self.fleet.now, proxy, "z")
        elif event == "leave":
            self.pilot.on_leave(self.fleet.now, proxy)
        else:
            self.pilot.on_ack(self.fleet.now, proxy, *more)

    def _decide(self):
        self.pilot.on_alarm(self.now, self.pilot.alarm_nonce)
        orders = []
        while (decision := self.pilot.next_decision(self.now)) is not None:
            if decision[0] == "level" and decision[1] in self.fleet.store:
                orders.append(("level", decision[1], decision[3]))
            elif decision[0] in ("line", "mark"):
                orders.append(decision)
        if orders:
            self.fleet.apply_batch(self.now, orders)


CASES = {
    "undisturbed": Faults(),
    "1 break a second": Faults(breaks=1),
    "3 breaks a second": Faults(breaks=3),
    "5 breaks a second": Faults(breaks=5),
    "8 breaks a second": Faults(breaks=8),
    "5 breaks a second, back within the lease": Faults(breaks=5, away=(0.2, 0.7)),
    "5 flap": Faults(flapping=(5, 0.6, 0.3)),
    "15 flap": Faults(flapping=(15, 0.6, 0.3)),
    "40 flap, fast": Faults(flapping=(40, 0.3, 0.1)),
    "10 flap, and never read": Faults(flapping=(10, 0.09, 0.05)),
    "one mute": Faults(mute=frozenset({7})),
    "ten mute, 3 breaks": Faults(mute=frozenset(range(10)), breaks=3),
    "one deaf": Faults(deaf=frozenset({7})),
    "a fifth of acknowledgements lost": Faults(lost=0.2),
    "slow channel, 5 breaks": Faults(slow=(10, 40, 3.0), breaks=5),
    "all at once": Faults(
        breaks=4, flapping=(10, 0.6, 0.3), mute=frozenset({149}), deaf=frozenset({148}), lost=0.1
    ),
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("case", CASES)
def test_no_proxy_is_without_a_line_for_too_long_under(case, seed):
    simulation = Simulation(seed, CASES[case], empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    longest = simulation.run(70)
    assert not simulation.fleet.conflicts, simulation.fleet.conflicts[:3]
    assert longest <= EMPTY_FOR, (longest, simulation.fleet.longest_gap_of)


def test_a_lost_acknowledgement_in_a_quiet_fleet_is_compensated():
    simulation = Simulation(
        1, Faults(lost_once=(7, 1)), quiet=True, empty_for=int(EMPTY_FOR * TICKS_PER_SECOND)
    )
    longest = simulation.run(60)
    assert not simulation.fleet.conflicts
    assert longest <= EMPTY_FOR / 2, longest
    assert (
        len(simulation.fleet.closed_durations)
        and max(simulation.fleet.closed_durations) <= EMPTY_FOR / 2 * TICKS_PER_SECOND
    ), "writes were closed for too long"


def test_an_undisturbed_hand_over_takes_little_more_than_the_settle_time():
    simulation = Simulation(3, Faults(), empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    assert simulation.run(40) <= 5.0


def skip_settle_time(patch):
    patch.setattr(
        Pilot,
        "__init__",
        lambda self, terms, init=Pilot.__init__: (init(self, terms), setattr(self, "settle_time", 0))[0],
    )


def skip_acknowledgements(patch):
    proxy_stop_time = WriteStops.proxy_stop_time
    patch.setattr(
        WriteStops,
        "proxy_stop_time",
        lambda self, proxy, s: (
            s.state_since
            if proxy.joined and proxy_stop_time(self, proxy, s) is None
            else proxy_stop_time(self, proxy, s)
        ),
    )


def skip_lease_after_break(patch):
    proxy_stop_time = WriteStops.proxy_stop_time
    patch.setattr(
        WriteStops,
        "proxy_stop_time",
        lambda self, proxy, s: (
            proxy_stop_time(self, proxy, s) if proxy.joined else proxy.left_at - 10 * TICKS_PER_SECOND
        ),
    )


def grant_instead_of_restoring(patch):
    patch.setattr(
        Pilot,
        "_restore_closed_line",
        lambda self, s: self._grant(s, self.now, next(e.name for e in self.live if e.name != s.owner)),
    )
    due = Pilot._due
    patch.setattr(Pilot, "_due", lambda self, now: (setattr(self, "now", now), due(self, now))[1])


@pytest.mark.parametrize(
    "inject_fault, case",
    [
        (skip_settle_time, "3 breaks a second"),
        (skip_acknowledgements, "10 flap, and never read"),
        (skip_lease_after_break, "5 breaks a second"),
        (grant_instead_of_restoring, "10 flap, and never read"),
    ],
)
def test_the_single_owner_check_detects(inject_fault, case, monkeypatch):
    inject_fault(monkeypatch)
    simulation = Simulation(1, CASES[case], empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    simulation.run(40)
    assert simulation.fleet.conflicts
