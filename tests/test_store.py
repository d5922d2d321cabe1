import os
import random
import signal
import sqlite3
import subprocess
import sys

import pytest

from cedarshift.codec.messages import Level
from cedarshift.judge.charge import SliceAssignment, SliceRecord
from cedarshift.store.ledger import Damaged, Ledger, restore

LEASE, TAKEOVER, BACK = 2_000_000, 500_000, 3_000_000


def charge(slices=4, pilots=("p0", "p1"), now=0, **rows):
    return SliceAssignment([SliceRecord(n) for n in range(slices)], list(pilots), LEASE, TAKEOVER, BACK, now)


def holders(c):
    return "".join(row.pilot[-1:] or "-" for _, row in sorted(c.rows.items()))


def test_slices_go_home_and_wait_for_a_home_that_may_still_come():
    c = charge()
    c.open(100, "p0")
    c.step(100)
    assert holders(c) == "0-0-"
    c.step(TAKEOVER)
    assert holders(c) == "0000"


def test_a_dead_pilots_slices_are_given_on_under_a_new_epoch_and_its_orders_refused():
    c = charge()
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


@pytest.mark.parametrize("told", [True, False])
def test_a_slice_leaves_a_live_pilot_only_when_its_proxies_were_told_or_its_session_ended(told):
    c = charge()
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
    if told:
        c.released("p1", [0, 2])
        at += 1
    else:
        at += LEASE
    assert sorted(row.slice for row in c.step(at).given["p0"])[:2] == [0, 2]
    assert c.refusal(at, "p0", home, 0, c.rows[0].epoch) == ""


def test_after_a_restart_of_the_store_sessions_may_still_stand_for_a_lease():
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


def test_levels_are_reset_at_a_giving_and_the_owner_stays():
    c = charge()
    c.open(0, "p0")
    c.step(0)
    c.write(0, "a", [Level(0, 2, 0.0)])
    c.open(1, "p0")
    c.step(1)
    assert c.rows[0].owner == "a" and c.rows[0].levels == []


@pytest.mark.parametrize("seed", range(40))
def test_epochs_never_fall_and_no_slice_has_two_writers(seed):
    """Sessions that open, renew, end and release by chance: an order is accepted from one pilot at most."""
    r, now = random.Random(seed), 0
    c = charge(slices=5, pilots=("p0", "p1", "p2"))
    sessions, seen = {}, {n: {} for n in range(5)}
    for _ in range(300):
        now += r.randrange(600_000)
        name = r.choice(c.pilots)
        what = r.random()
        if what < 0.2:
            sessions[name] = c.open(now, name)
        elif what < 0.8 and name in sessions:
            c.renew(now, name, sessions[name])
        elif name in sessions:
            c.released(name, [n for n in range(5) if r.random() < 0.5])
        before = {n: row.epoch for n, row in c.rows.items()}
        c.step(now)
        for n, row in c.rows.items():
            assert row.epoch >= before[n]
            takers = [p for p, s in sessions.items() if not c.refusal(now, p, s, n, row.epoch)]
            assert len(takers) <= 1
            for p in takers:  # one epoch has one pilot for ever
                assert seen[n].setdefault(row.epoch, p) == p


def test_a_ledger_keeps_what_it_was_told(tmp_path):
    path = str(tmp_path / "s.db")
    ledger = Ledger(path, "d", 3)
    ledger.put([SliceRecord(1, 5, 6, "p0", "a", [Level(1, 2, 0.5)])])
    ledger.close()
    assert Ledger(path, "d", 3).load()[1] == SliceRecord(1, 5, 6, "p0", "a", [Level(1, 2, 0.5)])


@pytest.mark.parametrize(
    "spoil, reason",
    [
        (lambda p: p.write_bytes(b"not a database" * 400), "not a database"),
        (
            lambda p: sqlite3.connect(p).executescript("UPDATE slices SET owner = 'evil' WHERE slice = 1"),
            "slice 1",
        ),
        (
            lambda p: sqlite3.connect(p).executescript("DELETE FROM slices WHERE slice = 2"),
            "2 slices, 3 wanted",
        ),
        (lambda p: p.write_bytes(p.read_bytes()[:5000]), "whole|malformed|database"),
    ],
)
def test_a_damaged_file_is_refused_with_its_name_and_a_way_back(tmp_path, spoil, reason):
    path = tmp_path / "s.db"
    ledger = Ledger(str(path), "d", 3)
    ledger.put([SliceRecord(1, 5, 6, "p0", "a")])
    ledger.close()
    spoil(path)
    with pytest.raises(Damaged, match=reason) as found:
        Ledger(str(path), "d", 3).load()
    assert str(path) in str(found.value) and "restore" in str(found.value)


@pytest.mark.parametrize("name, slices", [("other", 3), ("d", 4)])
def test_the_file_of_another_deployment_is_refused(tmp_path, name, slices):
    Ledger(str(tmp_path / "s.db"), "d", 3).close()
    with pytest.raises(Damaged, match="made for"):
        Ledger(str(tmp_path / "s.db"), name, slices)


def test_a_restored_backup_names_no_owner_and_its_epochs_lie_ahead(tmp_path):
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
def test_kill_9_loses_no_acknowledged_write_and_tears_no_table(tmp_path, after):
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
    assert len({row.epoch for row in rows}) == 1  # no torn table
    assert rows[0].epoch >= acknowledged  # nothing acknowledged was lost


def test_a_later_life_gives_epochs_above_all_of_a_former_one_also_of_a_giving_that_was_lost(tmp_path):
    given = []
    for lost in (False, True):
        ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
        charge = SliceAssignment(ledger.load(), ["p0"], 2_000_000, 0, 0, 0, ledger.begin())
        charge.open(0, "p0")
        step = charge.step(0)
        given.append([row.epoch for row in step.changed])
        if not lost:  # the second life's giving never reached its disk; the third follows it
            ledger.put(step.changed)
        ledger.close()
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    charge = SliceAssignment(ledger.load(), ["p0"], 2_000_000, 0, 0, 0, ledger.begin())
    charge.open(0, "p0")
    given.append([row.epoch for row in charge.step(0).changed])
    ledger.close()
    assert given[0] == [1, 1] and max(given[0]) < min(given[1]) and max(given[1]) < min(given[2])


def test_a_restored_file_is_lives_ahead_of_its_backup(tmp_path):
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    for _ in range(5):
        ledger.begin()
    ledger.backup(str(tmp_path / "old.db"))
    ledger.close()
    restore(str(tmp_path / "store.db"), str(tmp_path / "old.db"), "d", 2)
    ledger = Ledger(str(tmp_path / "store.db"), "d", 2)
    assert ledger.begin() > 1_000
    ledger.close()


def test_a_new_session_of_a_pilot_hands_none_of_its_slices_to_others_before_it_has_heard():
    """p0 looks after p1's slices; both connect anew after the store's restart, p1 first. p0's former session may still stand."""
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
    assert c.step(BACK + 10).taken == {"p0": [1, 3]}  # then home, in two steps
    c.released("p0", [1, 3])
    assert {name: len(rows) for name, rows in c.step(BACK + 11).given.items()} == {"p1": 2} and holders(
        c
    ) == "0101"
