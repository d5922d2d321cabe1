"""Retry delays, and the load of many clients that reconnect at once."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from program import Fleet, deployment, virtual_loop

from cedarshift.agent import Agent, Tables
from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import GROWTH_FACTOR, Backoff
from cedarshift.link import serve
from cedarshift.loop import listen
from cedarshift.loop.world import World
from cedarshift.pilot.store_client import LEASE_JITTER_DIVISOR, MIN_REDIAL_DELAY_US, StoreClient
from cedarshift.store.ledger import MemoryLedger
from cedarshift.store.service import StoreService

SECOND = 1_000_000


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 10**6), st.integers(1, 60), st.lists(st.floats(0, 0.999999), min_size=1, max_size=30))
def test_waits_stay_within_their_bounds_and_growth_factor(first, times, drawn):
    draws = iter(drawn)
    backoff, last = Backoff(first, first * times, lambda: next(draws)), first
    for _ in drawn:
        wait = backoff.wait()
        assert first <= wait <= min(first * times, GROWTH_FACTOR * last)
        last = wait


def test_reset_starts_over_and_a_requested_wait_is_kept():
    backoff = Backoff(100, 10_000, lambda: 0.999)
    assert [backoff.wait() for _ in range(5)][-1] > 5_000
    backoff.reset()
    assert backoff.wait() < 300 and backoff.wait(requested=4_000) >= 4_000


def test_waits_at_the_maximum_are_spread_over_the_whole_range():
    rng, found = random.Random(3), []
    for _ in range(300):
        backoff = Backoff(100_000, 2_000_000, rng.random)
        for _ in range(12):
            last = backoff.wait()
        found.append(last)
    assert all(sum(low <= one < low + 500_000 for one in found) > 20 for low in range(0, 2_000_000, 500_000))
    assert sum(one > 1_990_000 for one in found) < 15


class IgnoringCharge:
    def on_slices_assigned(self, rows):
        pass

    def on_slices_revoked(self, slices):
        pass

    def on_store_session_lost(self):
        pass


@pytest.mark.parametrize("pilots", [8, 40])
def test_pilots_whose_store_is_gone_do_not_dial_in_step_nor_faster_for_being_more(pilots):
    """Guards against synchronized reconnects."""
    world = World(7)
    dials = []
    for number in range(pilots):
        host = world.host(f"10.0.0.{number + 1}")
        chance = random.Random(number)
        StoreClient(
            host.loop,
            ("10.0.1.1", 7000),
            Identity("d", "pilot", f"p{number}"),
            number,
            IgnoringCharge(),
            lambda event, host=host, **fields: dials.append(host.loop.now()),
            rng=chance.random,
        )
    begin = host.loop.now()
    world.run(host.loop.spawn(host.loop.sleep(20 * SECOND), "until then"))
    late = [at - begin for at in dials if at - begin > 10 * SECOND]
    assert len(late) / 10 / pilots < 1.5  # dials a second, per pilot
    for at in late:  # no burst within 10 ms
        assert sum(at <= other < at + 10_000 for other in late) <= 1 + pilots // 8


class NoDials:
    """A dial budget that allows only the first dial."""

    def __init__(self):
        self.left = 1

    def wish(self, use):
        pass

    def take(self, use):
        self.left -= 1
        return self.left >= 0

    def holds_claims(self):
        return False

    def on_store_link(self, link):
        pass


class Claims(NoDials):
    """A dial budget without a limit, of a pilot that may hold claims."""

    def __init__(self, held):
        self.held = held

    def take(self, use):
        return True

    def holds_claims(self):
        return self.held


# A store that was back before the claims ended was found after their end: the waits had grown with the lapse.
@pytest.mark.parametrize("held", [True, False])
def test_a_pilot_with_claims_dials_often_after_its_slices_have_lapsed(held):
    world, lease = World(5), 2 * SECOND
    door, host = world.host("10.0.1.1"), world.host("10.0.0.1")
    StoreService(
        door.loop,
        listen(door.loop, ("10.0.1.1", 7000)),
        MemoryLedger(4),
        Identity("d", "store", "store"),
        ["p0"],
        lease,
        0,
        0,
    )
    dials = []
    StoreClient(
        host.loop,
        ("10.0.1.1", 7000),
        Identity("d", "pilot", "p0"),
        0,
        IgnoringCharge(),
        lambda event, **fields: dials.append(host.loop.now()) if event == "store_lost" else None,
        budgets=Claims(held),
        rng=random.Random(3).random,
    )
    world.run(host.loop.spawn(host.loop.sleep(SECOND), "joined"))
    door.end()
    lapsed_at = host.loop.now() + lease
    world.run(host.loop.spawn(host.loop.sleep(10 * SECOND), "until then"))
    late = [at for at in dials if at >= lapsed_at]
    longest = max(after - before for before, after in zip(late, late[1:]))
    assert (longest <= MIN_REDIAL_DELAY_US + lease // LEASE_JITTER_DIVISOR + 10_000) is held


def test_a_charge_ends_on_time_while_the_dial_budget_is_spent():
    world, callbacks = World(5), IgnoringCharge()
    door, host = world.host("10.0.1.1"), world.host("10.0.0.1")
    callbacks.on_store_session_lost = lambda: lapsed.append(host.loop.now())
    store = StoreService(
        door.loop,
        listen(door.loop, ("10.0.1.1", 7000)),
        MemoryLedger(4),
        Identity("d", "store", "store"),
        ["p0"],
        2 * SECOND,
        0,
        0,
    )
    lapsed, client = (
        [],
        StoreClient(
            host.loop,
            ("10.0.1.1", 7000),
            Identity("d", "pilot", "p0"),
            0,
            callbacks,
            lambda event, **fields: None,
            budgets=NoDials(),
            rng=lambda: 0.5,
        ),
    )
    world.run(host.loop.spawn(host.loop.sleep(SECOND), "joined"))
    assert client.in_charge() and store.peers and not lapsed
    door.end()
    ends = client.valid_until
    world.run(host.loop.spawn(host.loop.sleep(4 * SECOND), "until then"))
    assert len(lapsed) == 1 and ends <= lapsed[0] < ends + 100_000


def test_heartbeats_are_spread_over_the_period_after_a_simultaneous_join():
    """Guards against synchronized heartbeats of proxies that join at the same instant."""
    world = World(9)
    door = world.host("10.0.1.1")
    beats = []

    def talk(link, first):
        got = first
        while True:
            for message in got:
                if isinstance(message, m.Heartbeat) and message.n > 1:
                    beats.append(door.loop.now())
            got = yield from link.receive()

    identity = Identity("d", "pilot", "p0")
    door.loop.spawn(
        serve(
            door.loop,
            listen(door.loop, ("10.0.1.1", 7000)),
            lambda: Session(identity, lambda hello: m.Welcome(1, 800_000, 200_000, SECOND)),
            talk,
            lambda event, **fields: None,
        ),
        "door",
    )
    for number in range(40):
        host = world.host(f"10.0.0.{number + 1}")
        Agent(
            host.loop,
            Identity("d", "proxy", f"x{number}"),
            {"p0": ("10.0.1.1", 7000)},
            None,
            Tables(0, [], False, 800_000, True),
            random.Random(number).random,
        )
    world.run(door.loop.spawn(door.loop.sleep(5 * SECOND), "until then"))
    phases = [at % 200_000 for at in beats if at > beats[0] + SECOND]
    assert len(phases) > 500 and all(
        sum(low <= one < low + 50_000 for one in phases) > len(phases) / 10
        for low in range(0, 200_000, 50_000)
    )


def test_a_store_that_is_back_within_the_lease_finds_each_pilot_in_time():
    """A wait that has grown must not outlast a lease that is still in force."""
    world = World(4)
    names = [f"p{n}" for n in range(24)]
    ledger = MemoryLedger(48)

    def store(host):
        StoreService(
            host.loop,
            listen(host.loop, ("127.0.0.1", 7000)),
            ledger,
            Identity("d", "store", "store"),
            names,
            2 * SECOND,
            SECOND // 2,
            3 * SECOND,
        )

    lapsed = []
    first = world.host("store")
    store(first)
    for n, name in enumerate(names):
        host = world.host(
            name, lambda event, name=name, **fields: lapsed.append(name) if event == "charge_lapsed" else None
        )
        StoreClient(
            host.loop,
            ("127.0.0.1", 7000),
            Identity("d", "pilot", name),
            n,
            IgnoringCharge(),
            host.loop.report,
            rng=random.Random(n).random,
        )
    runner = world.host("runner")

    def day():
        yield from runner.loop.sleep(4 * SECOND)
        first.end()
        yield from runner.loop.sleep(1_200_000)  # of the lease of 2 s, at least 1.5 s are left
        store(world.host("store"))
        yield from runner.loop.sleep(4 * SECOND)

    world.run(runner.loop.spawn(day(), "day"))
    world.dispose()
    assert lapsed == []


def test_deferred_joins_return_in_their_slots(tmp_path):
    """No proxy is lost, the join rate is kept, and proxies that have joined keep their leases."""
    loop = virtual_loop()
    f = Fleet(loop, deployment(tmp_path, pilots=1, proxy="joins_per_s = 40"), proxies=10)
    f.run(2)
    for n in range(10, 310):
        f.new_agent(f"x{n}")
    pilot, counts = f.pilots["p0"], []
    for _ in range(12):
        f.run(1)
        counts.append(len(pilot.proxies))
    assert counts[0] <= 10 + 40 + 40 / 4 and all(
        later - former <= 40 + 40 / 4 for former, later in zip(counts, counts[1:])
    )
    assert counts[-1] == 310 and pilot.join_limiter.deferred >= 200
    lost = [
        fields
        for event, fields in loop.events
        if event.startswith("session_") and fields["peer"] in {f"x{n}" for n in range(10)}
    ]
    assert {fields["reason"] for fields in lost} <= {"done: read"}  # their earlier reads at the store
    assert all(loop.now() < f.agents[f"x{n}"].tables.views["p0"].lease_until for n in range(10))
