"""The deterministic simulation: regressions, random seeds, reproducible runs, and injected faults."""

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
from cedarshift.sim.planted import INJECTED_FAULTS, find_fault, inject_fault
from cedarshift.sim.play import run_scenario
from cedarshift.sim.scenario import FAULT_KINDS, Fault, draw, from_json, mutate, with_faults
from cedarshift.sim.shrink import shrink
from cedarshift.store.ledger import DamagedLedgerError

# Scenarios that found a bug, and the injected fault that brings the bug back.
REGRESSIONS = {
    "broken-store-stream": "sends-raise",
    "same-epoch-again": "same-epochs",
    "list-counts-anew": "list-unnamed",
    "reopened-session": "reopened-at-once",
    "dropped-turn": "dropped-turn",
    "clocks-apart": "no-drift",
}
SEEDS_DIRECTORY = os.path.join(os.path.dirname(__file__), "seeds")
BASE_SCENARIO = with_faults(draw(7), [])


def scenario_with(*faults, base=BASE_SCENARIO):
    """A scenario with two pilots, two proxies, three endpoints and these faults."""
    return with_faults(
        msgspec.structs.replace(base, pilots=2, proxies=2, endpoints=3), [Fault(*fault) for fault in faults]
    )


# Difficult cases, each run with several seeds and network delays.
HARD_CASES = {
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
def test_regressions_hold_and_fail_with_the_bug_injected(name, bug):
    with open(os.path.join(SEEDS_DIRECTORY, f"{name}.json"), "rb") as file:
        scenario = from_json(file.read())
    assert run_scenario(scenario).violations == []
    with inject_fault(bug):
        assert run_scenario(scenario).violations != []


@pytest.mark.parametrize("case", HARD_CASES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hard_cases_hold(case, seed):
    result = run_scenario(
        msgspec.structs.replace(
            scenario_with(*HARD_CASES[case]),
            seed=seed,
            delay_most=[300, 3_000, 30_000][seed - 1],
            chunks=seed,
        )
    )
    assert result.violations == [] and result.acked > 50


def test_a_few_hundred_seeds_hold(tmp_path):
    report = hunt(list(range(20_001, 20_201)), min(4, os.cpu_count() or 1), str(tmp_path), lambda text: None)
    assert report["found"] == [] and report["runs"] == 200
    assert report["reached"] > 400


def test_a_scenario_runs_the_same_in_another_process_with_another_hash_seed():
    code = (
        "from cedarshift.sim.play import run_scenario; from cedarshift.sim.scenario import draw; "
        "print(*(run_scenario(draw(s)).digest for s in (3, 4)))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hashes},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hashes in ("1", "77")
    }
    assert outputs == {f"{run_scenario(draw(3)).digest} {run_scenario(draw(4)).digest}\n"}
    assert run_scenario(draw(3)).digest != run_scenario(draw(5)).digest


def test_runs_use_no_system_clock_sockets_or_random_numbers(monkeypatch):
    """No step of a run may call the functions that are patched here."""

    def fail(*args, **options):
        raise AssertionError("a run bypassed its event loop")

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
        monkeypatch.setattr(module, name, fail)
    import socket

    monkeypatch.setattr(socket, "socket", fail)
    result = run_scenario(draw(4))
    monkeypatch.undo()
    assert result.violations == [] and result.digest == run_scenario(draw(4)).digest


QUICK_FAULTS = [
    "no-settle",
    "no-sync",
    "sent-uncommitted",
    "ack-first",
    "lines-lost",
    "epoch-stays",
    "gone-is-kept",
]


@pytest.mark.parametrize("name", QUICK_FAULTS)
def test_injected_faults_are_found(name):
    _, seed, check = find_fault((name, 1, 41))
    assert seed is not None and check


def test_an_injected_fault_is_removed_afterwards():
    find_fault(("no-settle", 1, 2))
    assert all(
        getattr(target, attribute) is not value
        for fault in INJECTED_FAULTS.values()
        for target, attribute, value in fault.patches()
    )


def test_a_scenario_is_reduced_to_one_with_the_same_violation(monkeypatch):
    with inject_fault("gone-is-kept"):
        seed = next(
            seed
            for seed in range(1, 60)
            if run_scenario(draw(seed)).violations and len(draw(seed).faults) > 3
        )
        check = run_scenario(draw(seed)).violations[0].check
        reduced = shrink(draw(seed), check, max_runs=60)
        assert any(violation.check == check for violation in run_scenario(reduced).violations)
    assert len(reduced.faults) < len(draw(seed).faults) and len(reduced.faults) <= 3


def test_scenarios_are_read_from_files_and_errors_in_them_reported(tmp_path):
    scenario = draw(11)
    assert from_json(scenario.to_json()) == scenario
    (tmp_path / "good.json").write_bytes(with_faults(scenario, []).to_json())
    result = CliRunner().invoke(
        main, ["sim", "replay", str(tmp_path / "good.json"), "--plot", str(tmp_path / "plot.png")]
    )
    assert (
        result.exit_code == 0 and "held:" in result.output and (tmp_path / "plot.png").stat().st_size > 1_000
    )
    for text, message in (
        ('{"seed": 1}', "missing required field"),
        (json.dumps({**json.loads(scenario.to_json()), "faults": [{"kind": "x", "at": 1}]}), "fault 0"),
    ):
        (tmp_path / "bad.json").write_text(text)
        result = CliRunner().invoke(main, ["sim", "replay", str(tmp_path / "bad.json")])
        assert result.exit_code == 1 and "bad.json" in result.output and message in result.output
    result = CliRunner().invoke(main, ["sim", "hunt", "--seeds", "9-2"])
    assert result.exit_code == 2 and "is wanted" in result.output


def test_a_guided_search_mutates_scenarios(tmp_path):
    report = hunt(list(range(1, 33)), 2, str(tmp_path), lambda text: None, guided=True)
    assert report["runs"] == 32 and not report["found"]
    rng = random.Random(1)
    assert all(
        mutate(draw(seed), rng).faults != draw(seed).faults for seed in range(1, 20) if draw(seed).faults
    )


def test_every_kind_of_fault_is_generated():
    assert {fault.kind for seed in range(1, 200) for fault in draw(seed).faults} == set(FAULT_KINDS)


# ---- clocks, network and disk of the simulation


def test_a_drifting_clock_wakes_its_host_at_its_own_time():
    world = World(1)
    fast = world.host("fast", rate=1.0005, offset=5_000_000)
    wakes = []

    def run():
        started_at = fast.loop.now()
        yield from fast.loop.sleep(10_000_000)
        wakes.append((fast.loop.now() - started_at, world.clock.time))

    world.run(fast.loop.spawn(run(), "run"))
    assert 10_000_000 <= wakes[0][0] <= 10_000_002 and wakes[0][1] < 1_000_000 + 10_000_000
    clock = HostClock(world.clock, 0.9995, 3)
    assert all(
        int(clock.to_world_time(at) * 0.9995) + 3 >= at > int((clock.to_world_time(at) - 1) * 0.9995) + 3
        for at in range(10, 5_000)
    )


def test_a_dial_to_a_full_queue_gets_no_answer():
    network = MemoryNetwork(VirtualClock())
    network.max_accept_queue = 1
    network.listen(("h", 1))
    first, second = network.dial(("h", 1)), network.dial(("h", 1))
    network.poll(1_000)
    assert first.poll() is not None and second.poll() is None and network.dropped_dials == 1


@pytest.mark.parametrize("seed", range(20))
def test_a_power_cut_keeps_transactions_whole_and_acknowledged_writes(seed):
    rng = random.Random(seed)
    disk = Disk(rng)
    ledger, acked = SimLedger(disk, 4), 0
    ledger.record_start()
    for version in range(1, 30):
        if rng.random() < 0.1:  # power cut between write and sync
            unsynced = SimLedger(Disk(rng), 4)
            unsynced.put([SliceRecord(n, 1, version, "p", f"e{version}") for n in range(4)])
            disk.cached.append(unsynced.disk.synced[0])
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


def test_a_full_or_unreadable_disk_raises():
    disk = Disk(random.Random(1))
    ledger = SimLedger(disk, 2)
    disk.full = True
    with pytest.raises(sqlite3.OperationalError):
        ledger.put([SliceRecord(0, 1)])
    disk.full, disk.unreadable = False, True
    with pytest.raises(DamagedLedgerError):
        ledger.load()
