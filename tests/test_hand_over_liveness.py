"""No joined proxy is without a line for longer than the settings allow, however the other proxies behave, and single ownership holds.

The module runs against the model of `cedarshift/standins/proxy_fleet.py`: 150 proxies, 30 endpoints of which one is replaced each 3 s.
"""

import pytest
from helpers import entry

from cedarshift.brain import Pilot
from cedarshift.interface import OpType, Terms
from cedarshift.judge.write_stops import WriteStops
from cedarshift.standins.proxy_fleet import TICKS_PER_SECOND, Faults, ProxyFleet

STEP = 250  # how often the module's timer runs
ENDPOINTS, SLICES = 30, 84
DRAIN_EVERY, GONE_AFTER = 3 * TICKS_PER_SECOND, 45_000
EMPTY_FOR = 17.9  # s, of the trial's settings
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


class Play:
    """A pilot, its fleet, and a release of the endpoints; `quiet`: one endpoint alone leaves, at once, and nothing else happens."""

    def __init__(self, seed, faults, quiet=False, **terms):
        self.quiet, self.now = quiet, 0
        self.pilot = Pilot(Terms(**{**TERMS, **terms}))
        self.names, self.number = [f"e{number:02}" for number in range(ENDPOINTS)], ENDPOINTS
        self.pilot.on_list(0, "restored", [entry(name) for name in self.names])
        owners = {2 * number: self.names[number % ENDPOINTS] for number in range(SLICES)}
        self.fleet = ProxyFleet(seed, faults, owners, self._tell)
        for proxy in self.fleet.proxies:
            self.pilot.on_join(0, proxy, "z")
        for number, owner in owners.items():
            self.pilot.on_given(0, number, True)
            self.pilot.on_held(0, number, owner)
        self.gone = []  # (when, endpoint) that leaves the list next

    def run(self, seconds):
        """Returns the longest time without a line, in s."""
        next_drain = 3 * TICKS_PER_SECOND
        while self.now < seconds * TICKS_PER_SECOND:
            self.now += STEP
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
        self.pilot.on_alarm(self.now, self.pilot.beat)
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
    play = Play(seed, CASES[case], empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    longest = play.run(70)
    assert not play.fleet.conflicts, play.fleet.conflicts[:3]
    assert longest <= EMPTY_FOR, (longest, play.fleet.longest_gap_of)


def test_a_lost_acknowledgement_in_a_quiet_fleet_is_made_up_for():
    play = Play(1, Faults(lost_once=(7, 1)), quiet=True, empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    longest = play.run(60)
    assert not play.fleet.conflicts
    assert longest <= EMPTY_FOR / 2, longest
    assert (
        len(play.fleet.closed_durations)
        and max(play.fleet.closed_durations) <= EMPTY_FOR / 2 * TICKS_PER_SECOND
    ), "writes were closed for longer"


def test_an_undisturbed_hand_over_takes_the_settle_time_and_little_more():
    play = Play(3, Faults(), empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    assert play.run(40) <= 5.0


def no_settle_time(patch):
    patch.setattr(
        Pilot,
        "__init__",
        lambda self, terms, init=Pilot.__init__: (init(self, terms), setattr(self, "settle", 0))[0],
    )


def acknowledgements_not_awaited(patch):
    stop = WriteStops.stop
    patch.setattr(
        WriteStops,
        "stop",
        lambda self, proxy, s: (
            s.since if proxy.joined and stop(self, proxy, s) is None else stop(self, proxy, s)
        ),
    )


def breaks_without_a_lease(patch):
    stop = WriteStops.stop
    patch.setattr(
        WriteStops,
        "stop",
        lambda self, proxy, s: (
            stop(self, proxy, s) if proxy.joined else proxy.left_at - 10 * TICKS_PER_SECOND
        ),
    )


def granted_for_lack_of_patience(patch):
    patch.setattr(
        Pilot,
        "_hold",
        lambda self, s: self._grant(s, self.now, next(e.name for e in self.live if e.name != s.owner)),
    )
    due = Pilot._due
    patch.setattr(Pilot, "_due", lambda self, now: (setattr(self, "now", now), due(self, now))[1])


@pytest.mark.parametrize(
    "plant, case",
    [
        (no_settle_time, "3 breaks a second"),
        (acknowledgements_not_awaited, "10 flap, and never read"),
        (breaks_without_a_lease, "5 breaks a second"),
        (granted_for_lack_of_patience, "10 flap, and never read"),
    ],
)
def test_the_oracle_of_single_ownership_finds(plant, case, monkeypatch):
    plant(monkeypatch)
    play = Play(1, CASES[case], empty_for=int(EMPTY_FOR * TICKS_PER_SECOND))
    play.run(40)
    assert play.fleet.conflicts
