"""Tests membership of pilots that run as processes, with faults between them. Limits are in probe periods."""

import random
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from pilots import PERIOD_S, PilotProcesses
from ports import free_ports

DETECTION_PERIODS = 40  # periods until all others consider a killed pilot dead
RECOVERY_PERIODS = 60  # periods until all consider each other alive after the last fault


@pytest.fixture
def start_pilots(tmp_path):
    started = []

    def build(count):
        started.append(PilotProcesses(tmp_path, count))
        return started[-1]

    yield build
    for one in started:
        one.stop()


def assert_few_changes(pilots, maximum):
    """Checks that no member changed the state of another more often than `maximum` times."""
    counts = {}
    for who, name, _, _ in pilots.changes():
        counts[who, name] = counts.get((who, name), 0) + 1
    assert max(counts.values()) <= maximum, counts


@pytest.mark.parametrize("killed", [1, 3])
def test_killed_ones_are_agreed_dead_and_sound_ones_are_not(start_pilots, killed):
    p = start_pilots(8)
    p.kill(*p.names[:killed])
    rest = p.names[killed:]
    p.until(
        lambda: p.agree(rest, **{name: "dead" for name in p.names[:killed]}),
        DETECTION_PERIODS,
        "not found dead",
    )
    assert {
        who for who, name, after, agreed in p.changes() if after == "dead" and agreed and name == "p0"
    } == set(rest)
    assert p.all_alive(rest) and not p.removed(*rest)
    assert_few_changes(p, 4)
    output = subprocess.run(
        [sys.executable, "-m", "cedarshift", "members", str(p.folder / "p7.hcl"), "p7", "--pilots"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert f"{8 - killed} of 8 configured pilots on its side" in output and output.count(" dead ") == killed


def test_a_minority_that_is_left_says_that_it_is_one(start_pilots):
    p = start_pilots(5)
    p.kill("p0", "p1", "p2")
    p.until(
        lambda: p.agree(["p3", "p4"], p0="dead", p1="dead", p2="dead"), DETECTION_PERIODS, "not found dead"
    )
    assert p.fetch_status("p3")["side"] == 2 and not p.removed("p0", "p1", "p2")
    p.start("p0")
    p.until(lambda: p.all_alive(["p0", "p3", "p4"]), RECOVERY_PERIODS, "no way back")


def test_two_that_were_stopped_for_twenty_seconds_take_nobody_with_them_when_they_wake(start_pilots):
    p = start_pilots(6)
    for name in ("p0", "p1"):
        p.signal(name, signal.SIGSTOP)
    p.until(lambda: p.agree(p.names[2:], p0="dead", p1="dead"), DETECTION_PERIODS, "not found dead")
    time.sleep(20 - DETECTION_PERIODS * PERIOD_S / 2)
    for name in ("p0", "p1"):
        p.signal(name, signal.SIGCONT)
    p.until(p.all_alive, RECOVERY_PERIODS, "not back")
    assert not p.removed(*p.names[2:])
    assert all(
        after != "dead" for who, name, after, _ in p.changes() if who in ("p0", "p1") and name in p.names[2:]
    )


def test_of_two_lives_of_one_name_the_older_one_gives_way_when_it_wakes(start_pilots):
    p = start_pilots(5)
    p.signal("p0", signal.SIGSTOP)
    older = p.running.pop("p0")
    p.superseded.append(older)
    p.until(lambda: p.agree(p.names[1:], p0="dead"), DETECTION_PERIODS, "not found dead")
    # The stopped process still has its ports, so the new one listens on others.
    p.gossip["p0"], p.admin["p0"], p.listen["p0"] = free_ports(3)
    p.write_file("p0")
    p.start("p0")
    p.until(lambda: p.all_alive(p.names), RECOVERY_PERIODS, "the new life does not come up")
    starts = {row["name"]: row["start"] for row in p.fetch_status("p1")["members"]}
    older.send_signal(signal.SIGCONT)
    p.wait(20)
    assert "member_superseded" in (p.folder / "log-p0.txt").read_text()
    assert (
        p.all_alive()
        and {row["name"]: row["start"] for row in p.fetch_status("p1")["members"]}["p0"] == starts["p0"]
    )


def test_with_a_third_of_all_datagrams_lost_the_dead_are_found_and_nobody_else(start_pilots):
    p = start_pilots(8)
    p.set_link_mode([f"{a}>{b}" for a, b in p.link_ports], loss=0.3)
    before = len(p.changes())
    p.wait(40)
    # Retransmissions, indirect probes and streams must make up for the loss.
    assert not p.removed(*p.names) and len(p.changes()) - before < 40
    p.kill("p7")
    p.until(lambda: p.agree(p.names[:7], p7="dead"), DETECTION_PERIODS, "not found dead")
    assert not p.removed(*p.names[:7])


def test_a_one_way_link_removes_nobody(start_pilots):
    p = start_pilots(5)
    p.cut("p0", "p1")  # p1 receives neither datagrams nor replies of p0
    p.wait(30)
    assert all("dead" not in p.states(name).values() for name in p.names) and not p.removed(*p.names)
    p.heal()
    p.until(p.all_alive, RECOVERY_PERIODS, "not mended")


@pytest.mark.parametrize("deaf", [True, False])
def test_one_that_hears_nobody_or_is_heard_by_nobody_is_agreed_on_once(start_pilots, deaf):
    p = start_pilots(6)
    for other in p.names[1:]:
        p.cut(*((other, "p0") if deaf else ("p0", other)))
    p.until(lambda: p.agree(p.names[1:], p0="dead"), DETECTION_PERIODS, "not agreed on")
    p.wait(40)
    assert p.agree(p.names[1:], p0="dead") and p.all_alive(p.names[1:]) and not p.removed(*p.names[1:])
    assert all(
        sum(who == one and name == "p0" and after == "dead" for who, name, after, _ in p.changes()) == 1
        for one in p.names[1:]
    )
    p.heal()
    p.until(p.all_alive, RECOVERY_PERIODS, "not back")


def test_halves_of_a_partition_agree_on_no_verdict_and_recover(start_pilots):
    p = start_pilots(6)
    left, right = p.names[:3], p.names[3:]
    for a in left:
        for b in right:
            p.cut(a, b)
            p.cut(b, a)
    p.until(
        lambda: p.agree(left, **{name: "dead" for name in right}),
        DETECTION_PERIODS,
        "the halves don't see it",
    )
    assert p.fetch_status("p0")["side"] == 3 and not p.removed(*p.names)
    p.heal()
    p.until(p.all_alive, RECOVERY_PERIODS, "not whole again")
    assert_few_changes(p, 12)


def test_in_a_chain_where_each_hears_two_others_nobody_is_removed(start_pilots):
    p = start_pilots(7)  # in a shorter chain too few report the ends silent for a verdict
    for a in range(7):
        for b in range(7):
            if abs(a - b) > 1:
                p.cut(f"p{a}", f"p{b}")
    p.wait(60)
    assert not p.removed(*p.names)
    p.heal()
    p.until(p.all_alive, RECOVERY_PERIODS, "not mended")


def test_one_that_is_slow_in_each_step_stays(start_pilots):
    p, finished = start_pilots(5), threading.Event()

    def slow():
        while not finished.is_set():
            p.signal("p0", signal.SIGSTOP)
            time.sleep(0.3)
            p.signal("p0", signal.SIGCONT)
            time.sleep(0.05)

    thread = threading.Thread(target=slow)
    thread.start()
    try:
        p.wait(60)
    finally:
        finished.set()
        thread.join()
    assert not p.removed(*p.names)
    p.until(p.all_alive, RECOVERY_PERIODS, "not alive to all")


def test_a_rolling_restart_of_all_removes_nobody(start_pilots):
    p = start_pilots(5)
    for name in p.names:
        p.leave(name)
        others = [one for one in p.names if one != name]
        p.until(lambda: p.agree(others, **{name: "left"}), 20, "its leaving is not heard")
        p.start(name)
        p.until(p.all_alive, RECOVERY_PERIODS, "not back")
    assert not p.removed(*p.names)


@pytest.mark.parametrize("hours", [-1, 1])
def test_a_pilot_whose_wall_clock_was_stepped_by_an_hour_comes_back_under_its_name(start_pilots, hours):
    """The process gets a patched clock, since a test cannot set the wall clock."""
    p = start_pilots(5)
    p.kill("p0")
    p.until(lambda: p.agree(p.names[1:], p0="dead"), DETECTION_PERIODS, "not found dead")
    p.start("p0", hours)
    p.until(p.all_alive, RECOVERY_PERIODS, "not back")
    assert not p.removed(*p.names[1:]) and not p.fetch_status("p0")["superseded"]
    p.kill("p0")  # detection works after the clock change too
    p.until(lambda: p.agree(p.names[1:], p0="dead"), DETECTION_PERIODS, "not found dead again")


def test_a_flood_of_foreign_and_spoilt_datagrams_changes_nothing(start_pilots):
    p, rng = start_pilots(5), random.Random(1)
    flood = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    before = len(p.changes())
    stop = time.monotonic() + 20 * PERIOD_S
    sent = 0
    while time.monotonic() < stop:
        for _ in range(20):
            junk = rng.choice(
                (b"", b"cG", b"cG\x01" + rng.randbytes(60), rng.randbytes(rng.randrange(1, 1_500)))
            )
            flood.sendto(junk, ("127.0.0.1", p.gossip["p0"]))
            sent += 1
        time.sleep(0.01)
    p.wait(10)
    counts = p.fetch_status("p0")["counts"]
    assert counts["dropped_foreign"] + counts["dropped_short"] > sent / 4 and p.all_alive()
    assert len(p.changes()) == before
