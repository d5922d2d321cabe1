"""The assignment of slices to pilots, and the ledger that keeps it across crashes and restores."""

import os
import random
import signal
import sqlite3
import subprocess
import sys

import pytest

from cedarshift.codec.messages import Level
from cedarshift.judge.charge import SliceAssignment, SliceRecord
from cedarshift.store.ledger import DamagedLedgerError, Ledger, restore

LEASE, TAKEOVER, BACK = 2_000_000, 500_000, 3_000_000


def assignment(slices=4, pilots=("p0", "p1"), now=0, **rows):
    return SliceAssignment([SliceRecord(n) for n in range(slices)], list(pilots), LEASE, TAKEOVER, BACK, now)


def holders(c):
    """The last character of each slice's pilot, "-" for none."""
    return "".join(row.pilot[-1:] or "-" for _, row in sorted(c.rows.items()))


def test_slices_go_to_their_home_pilot_and_wait_for_one_that_may_still_open_a_session():
    c = assignment()
    c.open(100, "p0")
    c.step(100)
    assert holders(c) == "0-0-"
    c.step(TAKEOVER)
    assert holders(c) == "0000"


def test_a_dead_pilots_slices_are_reassigned_with_a_new_epoch_and_its_orders_refused():
    c = assignment()
    old = c.open(0, "p0")
    c.open(0, "p1")
    c.step(0)
    epoch = c.rows[0].epoch
    c.renew(LEASE - 1, "p1", 2)
    c.step(LEASE + TAKEOVER)
    assert holders(c) == "1111" and c.rows[0].epoch == epoch + 1
    assert c.refusal(LEASE + TAKEOVER, "p0", old, 0, epoch) == "the session has ended"
    again = c.open(LEASE + TAKEOVER, "p0")
    assert "in charge of p1" in c.refusal(LEASE + TAKEOVER, "p0", again, 0, epoch)


@pytest.mark.parametrize("released", [True, False])
def test_a_slice_leaves_a_live_pilot_only_after_its_release_or_the_end_of_the_session(released):
    c = assignment()
    first = c.open(0, "p1")
    c.step(TAKEOVER)
    at = TAKEOVER + 1
    c.renew(at, "p1", first)
    home = c.open(at, "p0")
    at += BACK
    c.holders["p0"].until = at + 10 * LEASE
    c.holders["p1"].until = at + LEASE
    step = c.step(at)
    assert step.taken == {"p1": [0, 2]} and step.given == {}
    assert c.refusal(at, "p1", first, 0, c.rows[0].epoch) == "taken back"
    assert c.step(at + 1).given == {}
    if released:
        c.released("p1", [0, 2])
        at += 1
    else:
        at += LEASE
    assert sorted(row.slice for row in c.step(at).given["p0"])[:2] == [0, 2]
    assert c.refusal(at, "p0", home, 0, c.rows[0].epoch) == ""


def test_after_a_restart_of_the_store_former_sessions_are_respected_for_a_lease():
    c = SliceAssignment(
        [SliceRecord(0, 4, 1, "p0", "a"), SliceRecord(1, 4, 1, "p1", "b")],
        ["p0", "p1"],
        LEASE,
        TAKEOVER,
        BACK,
        0,
    )
    c.open(10, "p1")
    assert [r.slice for r in c.step(10).given["p1"]] == [1]
    c.renew(LEASE - 1, "p1", 1)
    assert c.step(LEASE - 1).given == {}
    c.step(LEASE)
    assert "0" in str(c.step(LEASE + TAKEOVER).given["p1"][0].slice)


def test_an_assignment_resets_levels_and_keeps_the_owner():
    c = assignment()
    c.open(0, "p0")
    c.step(0)
    c.write(0, "a", [Level(0, 2, 0.0)])
    c.open(1, "p0")
    c.step(1)
    assert c.rows[0].owner == "a" and c.rows[0].levels == []


@pytest.mark.parametrize("seed", range(40))
def test_epochs_never_fall_and_no_slice_has_two_writers(seed):
    """With random session events, an order is accepted from at most one pilot."""
    rng, now = random.Random(seed), 0
    c = assignment(slices=5, pilots=("p0", "p1", "p2"))
    sessions, seen = {}, {n: {} for n in range(5)}
    for _ in range(300):
        now += rng.randrange(600_000)
        name = rng.choice(c.pilots)
        event = rng.random()
        if event < 0.2:
            sessions[name] = c.open(now, name)
        elif event < 0.8 and name in sessions:
            c.renew(now, name, sessions[name])
        elif name in sessions:
            c.released(name, [n for n in range(5) if rng.random() < 0.5])
        before = {n: row.epoch for n, row in c.rows.items()}
        c.step(now)
        for n, row in c.rows.items():
            assert row.epoch >= before[n]
            writers = [p for p, s in sessions.items() if not c.refusal(now, p, s, n, row.epoch)]
            assert len(writers) <= 1
            for p in writers:  # an epoch belongs to one pilot
                assert seen[n].setdefault(row.epoch, p) == p


def test_a_ledger_keeps_its_rows(tmp_path):
    path = str(tmp_path / "s.db")
    ledger = Ledger(path, "d", 3)
    ledger.put([SliceRecord(1, 5, 6, "p0", "a", [Level(1, 2, 0.5)])])
    ledger.close()
    assert Ledger(path, "d", 3).load()[1] == SliceRecord(1, 5, 6, "p0", "a", [Level(1, 2, 0.5)])


@pytest.mark.parametrize(
    "damage, reason",
    [
        (lambda p: p.write_bytes(b"not a database" * 400), "not a database"),
        (
            lambda p: sqlite3.connect(p).executescript("UPDATE slices SET owner = 'evil' WHERE slice = 1"),
            "slice 1",
        ),
        (
            lambda p: sqlite3.connect(p).executescript("DELETE FROM slices WHERE slice = 2"),
            "2 slices, 3 expected",
        ),
        (lambda p: p.write_bytes(p.read_bytes()[:5000]), "whole|malformed|database"),
    ],
)
def test_a_damaged_file_is_refused_with_its_name_and_how_to_recover(tmp_path, damage, reason):
    path = tmp_path / "s.db"
    ledger = Ledger(str(path), "d", 3)
    ledger.put([SliceRecord(1, 5, 6, "p0", "a")])
    ledger.close()
    damage(path)
    with pytest.raises(DamagedLedgerError, match=reason) as error:
        Ledger(str(path), "d", 3).load()
    assert str(path) in str(error.value) and "restore" in str(error.value)


@pytest.mark.parametrize("name, slices", [("other", 3), ("d", 4)])
def test_the_file_of_another_deployment_is_refused(tmp_path, name, slices):
    Ledger(str(tmp_path / "s.db"), "d", 3).close()
    with pytest.raises(DamagedLedgerError, match="made for"):
        Ledger(str(tmp_path / "s.db"), name, slices)


def test_a_restored_backup_has_no_owners_and_higher_epochs(tmp_path):
    path, copy = str(tmp_path / "s.db"), str(tmp_path / "copy.db")
    ledger = Ledger(path, "d", 2)
    ledger.put([SliceRecord(0, 5, 6, "p0", "a")])
    ledger.backup(copy)
    ledger.put([SliceRecord(0, 9, 20, "p1", "b")])
    ledger.close()
    restore(path, copy, "d", 2)
    row = Ledger(path, "d", 2).load()[0]
    assert row.owner == "" and row.pilot == "" and row.epoch > 9
    assert os.path.exists(path + ".damaged")


WRITER = """
import sys
from cedarshift.judge.charge import SliceRecord
from cedarshift.store.ledger import Ledger
ledger = Ledger(sys.argv[1], "d", 50)
for n in range(1, 100000):
    ledger.put([SliceRecord(s, n, n, "p0", f"owner-{n}") for s in range(50)])
    print(n, flush=True)
"""


@pytest.mark.parametrize("after", [3, 17, 40])
def test_sigkill_loses_no_acknowledged_write_and_leaves_no_partial_one(tmp_path, after):
    path = str(tmp_path / "s.db")
    writer = subprocess.Popen([sys.executable, "-c", WRITER, path], stdout=subprocess.PIPE, text=True)
    acknowledged = 0
    while acknowledged < after:
        acknowledged = int(writer.stdout.readline())
    writer.send_signal(signal.SIGKILL)
    rest = writer.stdout.read().split("\n")
    writer.wait()
    acknowledged = max([acknowledged] + [int(line) for line in rest[:-1] if line])
    rows = Ledger(path, "d", 50).load()
    assert len({row.epoch for row in rows}) == 1  # no partial write
    assert rows[0].epoch >= acknowledged  # no acknowledged write was lost


def test_epochs_rise_with_each_start_of_the_store_even_if_an_assignment_was_not_saved(tmp_path):
    epochs = []
    for lost in (False, True):
        ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
        c = SliceAssignment(ledger.load(), ["p0"], 2_000_000, 0, 0, 0, ledger.record_start())
        c.open(0, "p0")
        step = c.step(0)
        epochs.append([row.epoch for row in step.changed])
        if not lost:  # the assignment of the second start is not saved
            ledger.put(step.changed)
        ledger.close()
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    c = SliceAssignment(ledger.load(), ["p0"], 2_000_000, 0, 0, 0, ledger.record_start())
    c.open(0, "p0")
    epochs.append([row.epoch for row in c.step(0).changed])
    ledger.close()
    assert epochs[0] == [1, 1] and max(epochs[0]) < min(epochs[1]) and max(epochs[1]) < min(epochs[2])


def test_a_restored_file_skips_start_numbers(tmp_path):
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    for _ in range(5):
        ledger.record_start()
    ledger.backup(str(tmp_path / "old.db"))
    ledger.close()
    restore(str(tmp_path / "store.db"), str(tmp_path / "old.db"), "d", 2)
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    assert ledger.record_start() > 1_000
    ledger.close()


def test_a_new_session_of_a_pilot_moves_none_of_its_slices_before_they_are_released():
    """p0 holds p1's slices. Both reconnect after a store restart, while p0's old session may still run."""
    c = SliceAssignment(
        [SliceRecord(n, 1, 1, "p0", "e") for n in range(4)], ["p0", "p1"], LEASE, TAKEOVER, BACK, 0
    )
    c.open(10, "p1")
    c.open(20, "p0")
    step = c.step(20)
    assert holders(c) == "0000" and {name: len(rows) for name, rows in step.given.items()} == {"p0": 4}
    for name, number in (("p0", 2), ("p1", 1)):
        assert c.renew(LEASE // 2, name, number)
    assert [row.epoch for row in c.rows.values()] == [2, 2, 2, 2]
    (
        c.renew(LEASE, "p0", 2),
        c.renew(LEASE, "p1", 1),
        c.renew(3 * LEASE // 2 - 1, "p0", 2),
        c.renew(3 * LEASE // 2 - 1, "p1", 1),
    )
    assert c.step(BACK + 10).taken == {"p0": [1, 3]}  # moved to their home pilot in two steps
    c.released("p0", [1, 3])
    assert {name: len(rows) for name, rows in c.step(BACK + 11).given.items()} == {"p1": 2} and holders(
        c
    ) == "0101"
