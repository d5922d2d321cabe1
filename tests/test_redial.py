"""Waits between two tries, and what a crowd of dialers does to who comes back."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from program import Fleet, deployment, virtual_loop

from cedarshift.agent import Agent, Tables
from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import GROWS, Redial
from cedarshift.link import serve
from cedarshift.loop import listen
from cedarshift.loop.world import World
from cedarshift.pilot.store_client import StoreClient
from cedarshift.store.ledger import MemoryLedger
from cedarshift.store.service import StoreService

SECOND = 1_000_000


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 10**6), st.integers(1, 60), st.lists(st.floats(0, 0.999999), min_size=1, max_size=30))
def test_a_wait_is_never_under_the_least_nor_over_the_most_and_grows_by_three_at_most(first, times, drawn):
    draws = iter(drawn)
    redial, last = Redial(first, first * times, lambda: next(draws)), first
    for _ in drawn:
        wait = redial.wait()
        assert first <= wait <= min(first * times, GROWS * last)
        last = wait


def test_a_good_try_begins_anew_and_what_is_asked_for_is_kept_to():
    redial = Redial(100, 10_000, lambda: 0.999)
    assert [redial.wait() for _ in range(5)][-1] > 5_000
    redial.well()
    assert redial.wait() < 300 and redial.wait(asked=4_000) >= 4_000


def test_waits_at_the_most_are_spread_over_the_whole_range():
    chance, found = random.Random(3), []
    for _ in range(300):
        redial = Redial(100_000, 2_000_000, chance.random)
        for _ in range(12):
            last = redial.wait()
        found.append(last)
    assert all(sum(low <= one < low + 500_000 for one in found) > 20 for low in range(0, 2_000_000, 500_000))
    assert sum(one > 1_990_000 for one in found) < 15


class Told:
    def on_store_given(self, rows):
        pass

    def on_store_taken(self, slices):
        pass

    def on_store_lost(self):
        pass


@pytest.mark.parametrize("pilots", [8, 40])
def test_pilots_whose_store_is_gone_do_not_dial_in_step_nor_faster_for_being_more(pilots):
    """Before, each dialled every 100 ms, all in the same 10 ms."""
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
            Told(),
            lambda event, host=host, **fields: dials.append(host.loop.now()),
            chance=chance.random,
        )
    begin = host.loop.now()
    world.run(host.loop.spawn(host.loop.sleep(20 * SECOND), "until then"))
    late = [at - begin for at in dials if at - begin > 10 * SECOND]
    assert len(late) / 10 / pilots < 1.5  # a second, of each; they were ten
    for at in late:  # in no 10 ms more than a few of them
        assert sum(at <= other < at + 10_000 for other in late) <= 1 + pilots // 8


class NoDials:
    """A budget of dials that is spent after the first."""

    def __init__(self):
        self.left = 1

    def wish(self, use):
        pass

    def take(self, use):
        self.left -= 1
        return self.left >= 0

    def on_store_link(self, link):
        pass


def test_a_charge_ends_at_its_time_while_no_dial_may_be_made():
    world, told = World(5), Told()
    door, host = world.host("10.0.1.1"), world.host("10.0.0.1")
    told.on_store_lost = lambda: lapsed.append(host.loop.now())
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
            told,
            lambda event, **fields: None,
            budgets=NoDials(),
            chance=lambda: 0.5,
        ),
    )
    world.run(host.loop.spawn(host.loop.sleep(SECOND), "joined"))
    assert client.in_charge() and store.peers and not lapsed
    door.end()
    ends = client.valid_until
    world.run(host.loop.spawn(host.loop.sleep(4 * SECOND), "until then"))
    assert len(lapsed) == 1 and ends <= lapsed[0] < ends + 100_000


def test_what_came_together_after_a_restart_asks_at_phases_of_its_own():
    """Forty proxies join in one instant; from then on their beats are spread over the whole period."""
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
    """Whatever chance draws: waits that have grown must not outlast a charge that still stands."""
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
            Told(),
            host.loop.report,
            chance=random.Random(n).random,
        )
    runner = world.host("runner")

    def day():
        yield from runner.loop.sleep(4 * SECOND)
        first.end()
        yield from runner.loop.sleep(
            1_200_000
        )  # a renewal is half a second old at most: a lease of two has 1.5 s left
        store(world.host("store"))
        yield from runner.loop.sleep(4 * SECOND)

    world.run(runner.loop.spawn(day(), "day"))
    world.dispose()
    assert lapsed == []


def test_who_joins_in_a_crowd_is_given_a_turn_and_comes_back_then(tmp_path):
    """Three hundred proxies at a pilot that takes forty a second: none is lost, none more than that join, those that are joined keep their leases."""
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
    assert counts[-1] == 310 and pilot.gate.sent_away >= 200
    lost = [
        fields
        for event, fields in loop.heard
        if event.startswith("session_") and fields["peer"] in {f"x{n}" for n in range(10)}
    ]
    assert {fields["reason"] for fields in lost} <= {"done: read"}  # their reads at the store, before
    assert all(loop.now() < f.agents[f"x{n}"].tables.views["p0"].lease_until for n in range(10))
