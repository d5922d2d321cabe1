"""The whole program on a virtual clock under drawn faults: seeds that once broke something, the same steps everywhere, planted faults."""

import json
import os
import random
import sqlite3
import subprocess
import sys
import time

import msgspec
import pytest
from click.testing import CliRunner

from cedarshift.cli.main import main
from cedarshift.judge.charge import SliceRecord
from cedarshift.loop.memory import MemoryNetwork, VirtualClock
from cedarshift.loop.world import HostClock, World
from cedarshift.sim.disk import Disk, SimLedger
from cedarshift.sim.hunt import hunt
from cedarshift.sim.planted import PLANTED, first_found, planted
from cedarshift.sim.play import play
from cedarshift.sim.scenario import KINDS, Fault, altered, draw, from_json, with_faults
from cedarshift.sim.shrink import shrink
from cedarshift.store.ledger import DamagedLedgerError

# Runs that found a bug, kept as they were drawn then, and the bug as it can be planted again.
REGRESSIONS = {
    "broken-store-stream": "sends-raise",
    "same-epoch-again": "same-epochs",
    "list-counts-anew": "list-unnamed",
    "reopened-session": "reopened-at-once",
    "dropped-turn": "dropped-turn",
    "clocks-apart": "no-drift",
}
SEEDS = os.path.join(os.path.dirname(__file__), "seeds")
BARE = with_faults(draw(7), [])


def faults(*rows, base=BARE):
    return with_faults(
        msgspec.structs.replace(base, pilots=2, proxies=2, endpoints=3), [Fault(*row) for row in rows]
    )


# The hard cases by name; each is played with a few clocks and delays.
CASES = {
    "a cut heals as an order is half delivered": [
        ("drain", 2_000_000, 500_000, "e0"),
        ("ambush", 1_900_000, 50_000, "x0", "cut there"),
        ("ambush", 1_950_000, 500_000, "x1", "cut there"),
    ],
    "two deaths in one tick": [
        ("two_at_once", 2_000_000, 500_000, "p0", "e0"),
        ("two_at_once", 4_000_000, 200_000, "p1", "store"),
    ],
    "a pilot killed between the store's write and its send": [
        ("drain", 2_000_000, 500_000, "e0"),
        ("ambush", 1_900_000, 900_000, "x0", "kill_pilot"),
        ("ambush", 1_900_000, 900_000, "x0", "kill_pilot"),
    ],
    "a proxy rejoins with a lease about to end": [
        ("drain", 2_000_000, 500_000, "e0"),
        ("cut", 2_050_000, 350_000, "x0", "p0"),
        ("reset", 2_200_000, 0, "x0", "p0"),
        ("reset", 2_390_000, 0, "x0", "p0"),
    ],
    "the store one write short": [("lying_disk", 2_000_000, 200_000), ("lying_disk", 4_500_000, 200_000)],
    "a cut-off pilot that believes it is in charge": [
        ("cut", 2_000_000, 2_000_000, "p0", "store"),
        ("kill_endpoint", 2_100_000, 900_000, "e0"),
        ("cut", 5_000_000, 2_000_000, "store", "p1"),
        ("kill_endpoint", 5_100_000, 900_000, "e1"),
    ],
    "the list goes dark in a hand-over, then lies": [
        ("drain", 2_000_000, 500_000, "e0"),
        ("list_dark", 2_050_000, 1_400_000),
        ("drop_listed", 4_000_000, 900_000, "e1"),
        ("kill_list", 4_200_000, 500_000),
    ],
    "all pilots and the store die in a hand-over": [
        ("drain", 2_000_000, 500_000, "e0"),
        ("kill_pilot", 2_100_000, 200_000, "p0"),
        ("kill_pilot", 2_100_000, 200_000, "p1"),
        ("kill_store", 2_100_000, 300_000),
    ],
}


@pytest.mark.parametrize("name, bug", REGRESSIONS.items())
def test_runs_that_broke_something_once_hold_and_still_break_with_the_bug(name, bug):
    with open(os.path.join(SEEDS, f"{name}.json"), "rb") as file:
        scenario = from_json(file.read())
    assert play(scenario).broken == []
    with planted(bug):
        assert play(scenario).broken != []


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hard_cases_hold(case, seed):
    played = play(
        msgspec.structs.replace(
            faults(*CASES[case]), seed=seed, delay_most=[300, 3_000, 30_000][seed - 1], chunks=seed
        )
    )
    assert played.broken == [] and played.acked > 50


def test_a_few_hundred_seeds_hold(tmp_path):
    found = hunt(list(range(20_001, 20_201)), min(4, os.cpu_count() or 1), str(tmp_path), lambda text: None)
    assert found["found"] == [] and found["runs"] == 200
    assert found["reached"] > 400


def test_the_same_scenario_is_the_same_steps_in_another_process_with_another_hash_seed():
    code = "from cedarshift.sim.play import play; from cedarshift.sim.scenario import draw; print(*(play(draw(s)).digest for s in (3, 4)))"
    told = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hashes},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hashes in ("1", "77")
    }
    assert told == {f"{play(draw(3)).digest} {play(draw(4)).digest}\n"}
    assert play(draw(3)).digest != play(draw(5)).digest


def test_nothing_reaches_the_machines_clock_sockets_or_chance(monkeypatch):
    """What is patched here may be called by no step of a run."""

    def none_of_it(*args, **named):
        raise AssertionError("a run went past its loop")

    for module, name in (
        (time, "time"),
        (time, "monotonic"),
        (time, "monotonic_ns"),
        (time, "time_ns"),
        (time, "sleep"),
        (os, "urandom"),
        (random, "random"),
        (random, "randrange"),
        (random, "shuffle"),
        (random, "choice"),
    ):
        monkeypatch.setattr(module, name, none_of_it)
    import socket

    monkeypatch.setattr(socket, "socket", none_of_it)
    played = play(draw(4))
    monkeypatch.undo()
    assert played.broken == [] and played.digest == play(draw(4)).digest


QUICK = ["no-settle", "no-sync", "sent-uncommitted", "ack-first", "lines-lost", "epoch-stays", "gone-is-kept"]


@pytest.mark.parametrize("name", QUICK)
def test_planted_faults_are_found(name):
    _, seed, what = first_found((name, 1, 41))
    assert seed is not None and what


def test_a_planted_fault_is_gone_afterwards():
    first_found(("no-settle", 1, 2))
    assert all(
        getattr(where, attribute) is not value
        for one in PLANTED.values()
        for where, attribute, value in one.patches()
    )


def test_a_scenario_is_cut_down_to_what_still_breaks_the_same(monkeypatch):
    with planted("gone-is-kept"):
        seed = next(seed for seed in range(1, 60) if play(draw(seed)).broken and len(draw(seed).faults) > 3)
        what = play(draw(seed)).broken[0].what
        small = shrink(draw(seed), what, tries_most=60)
        assert any(one.what == what for one in play(small).broken)
    assert len(small.faults) < len(draw(seed).faults) and len(small.faults) <= 3


def test_scenarios_travel_as_files_and_what_is_wrong_in_one_is_told(tmp_path):
    scenario = draw(11)
    assert from_json(scenario.to_json()) == scenario
    (tmp_path / "good.json").write_bytes(with_faults(scenario, []).to_json())
    told = CliRunner().invoke(
        main, ["sim", "replay", str(tmp_path / "good.json"), "--plot", str(tmp_path / "plot.png")]
    )
    assert told.exit_code == 0 and "held:" in told.output and (tmp_path / "plot.png").stat().st_size > 1_000
    for text, said in (
        ('{"seed": 1}', "missing required field"),
        (json.dumps({**json.loads(scenario.to_json()), "faults": [{"kind": "x", "at": 1}]}), "fault 0"),
    ):
        (tmp_path / "bad.json").write_text(text)
        told = CliRunner().invoke(main, ["sim", "replay", str(tmp_path / "bad.json")])
        assert told.exit_code == 1 and "bad.json" in told.output and said in told.output
    told = CliRunner().invoke(main, ["sim", "hunt", "--seeds", "9-2"])
    assert told.exit_code == 2 and "is wanted" in told.output


def test_a_guided_search_goes_on_from_what_was_new(tmp_path):
    found = hunt(list(range(1, 33)), 2, str(tmp_path), lambda text: None, guided=True)
    assert found["runs"] == 32 and not found["found"]
    chance = random.Random(1)
    assert all(
        altered(draw(seed), chance).faults != draw(seed).faults for seed in range(1, 20) if draw(seed).faults
    )


def test_every_kind_of_fault_is_drawn():
    assert {fault.kind for seed in range(1, 200) for fault in draw(seed).faults} == set(KINDS)


# ---- what the runs stand on


def test_a_clock_that_runs_apart_wakes_its_host_at_its_own_time():
    world = World(1)
    fast = world.host("fast", rate=1.0005, offset=5_000_000)
    woke = []

    def run():
        begun = fast.loop.now()
        yield from fast.loop.sleep(10_000_000)
        woke.append((fast.loop.now() - begun, world.clock.time))

    world.run(fast.loop.spawn(run(), "run"))
    assert 10_000_000 <= woke[0][0] <= 10_000_002 and woke[0][1] < 1_000_000 + 10_000_000
    clock = HostClock(world.clock, 0.9995, 3)
    assert all(
        int(clock.to_world_time(at) * 0.9995) + 3 >= at > int((clock.to_world_time(at) - 1) * 0.9995) + 3
        for at in range(10, 5_000)
    )


def test_a_dial_that_finds_the_queue_full_hears_nothing():
    network = MemoryNetwork(VirtualClock())
    network.max_accept_queue = 1
    network.listen(("h", 1))
    first, second = network.dial(("h", 1)), network.dial(("h", 1))
    network.poll(1_000)
    assert first.poll() is not None and second.poll() is None and network.dropped_dials == 1


@pytest.mark.parametrize("seed", range(20))
def test_a_power_cut_leaves_whole_transactions_and_all_that_was_acknowledged(seed):
    chance = random.Random(seed)
    disk = Disk(chance)
    ledger, acked = SimLedger(disk, 4), 0
    ledger.record_start()
    for version in range(1, 30):
        if chance.random() < 0.1:  # the power goes between write and sync
            body = SimLedger(Disk(chance), 4)
            body.put([SliceRecord(n, 1, version, "p", f"e{version}") for n in range(4)])
            disk.cached.append(body.disk.synced[0])
            disk.power_cut()
            ledger = SimLedger(disk, 4)
            rows = ledger.load()
            assert len({row.version for row in rows}) == 1 and rows[0].version in (acked, version)
            acked = rows[0].version
            ledger.record_start()
        else:
            ledger.put([SliceRecord(n, 1, version, "p", f"e{version}") for n in range(4)])
            acked = version
    assert {row.version for row in SimLedger(disk, 4).load()} == {acked}


def test_a_disk_that_is_full_or_unreadable_says_so():
    disk = Disk(random.Random(1))
    ledger = SimLedger(disk, 2)
    disk.full = True
    with pytest.raises(sqlite3.OperationalError):
        ledger.put([SliceRecord(0, 1)])
    disk.full, disk.unreadable = False, True
    with pytest.raises(DamagedLedgerError):
        ledger.load()
