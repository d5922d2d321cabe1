"""Tests pilots whose endpoint list comes from ephemeral nodes, on a virtual clock."""

import random

import msgspec
import pytest
from program import SECOND, Fleet, Watcher, deployment, virtual_loop, write_list
from zoo import PATH, SERVERS

from cedarshift.cli.tables import format_members
from cedarshift.codec.zookeeper import records as r
from cedarshift.deployment import load
from cedarshift.pilot.intake import ZoneTotals
from cedarshift.roster.formats import Member
from cedarshift.roster.register import Registration, RegistrationSettings
from cedarshift.roster.sources import FileSource
from cedarshift.standins.ensemble import Ensemble, EnsemblePlan

ROSTER_BLOCK = """roster "zookeeper" {
    servers = ["127.0.0.1:2181", "127.0.0.1:2182", "127.0.0.1:2183"]
    path = "/svc/tiles"
    session_timeout = "2s"
    format = "plain"
    gone_binds = %s
  }"""


class FleetHarness:
    """A fleet with an ensemble and registered members that serve nothing."""

    def __init__(self, tmp_path, names="abcd", gone_binds="true", **terms):
        deployment(tmp_path, **terms)
        path = tmp_path / "trial.hcl"
        path.write_text(path.read_text().replace('list { file = "list.json" }', ROSTER_BLOCK % gone_binds))
        self.loop = virtual_loop()
        self.ensemble = Ensemble(self.loop, EnsemblePlan(SERVERS, None, PATH, "plain"))
        self.members = {}
        for name in names:
            self.member(name)
        self.loop.run(self.loop.spawn(self.loop.sleep(2 * SECOND), "wait"))
        self.fleet = Fleet(self.loop, load(str(path)))
        self.watcher = Watcher(self.fleet)
        self.run(12)

    def member(self, name, start="1"):
        terms = RegistrationSettings(tuple(SERVERS), PATH, 2 * SECOND, "plain", "", ())
        self.members[name] = Registration(
            self.loop,
            terms,
            Member(f"{name}:1", "on", 1.0, "z", start),
            random.Random(name).random,
            self.loop.report,
        )

    def run(self, seconds):
        self.fleet.run(seconds)

    def owners(self):
        return set(self.fleet.owners().values())

    def expire_sessions(self, *names):
        self.ensemble.control({"expire": [f"{self.members[n].client.session:#x}" for n in names]})

    def moves(self):
        return self.watcher.moves


def test_every_member_owns_slices_and_a_drained_one_is_left_within_the_grace(tmp_path):
    harness = FleetHarness(tmp_path)
    assert harness.owners() <= {"a:1", "b:1", "c:1", "d:1"} and len(harness.owners()) >= 2
    owner = harness.fleet.owners()[0]
    harness.members[owner[0]].drain()
    harness.run(3)  # the drain grace
    assert owner not in harness.owners() and not harness.watcher.violations


def test_sessions_that_expire_and_return_move_nothing(tmp_path):
    harness = FleetHarness(tmp_path)
    before, moves = harness.fleet.owners(), harness.moves()
    for _ in range(4):
        harness.expire_sessions("a", "b", "c", "d")
        harness.run(2)
    harness.run(10)
    assert harness.fleet.owners() == before and harness.moves() == moves


def test_a_killed_members_slices_are_elsewhere_and_no_rule_is_broken(tmp_path):
    harness = FleetHarness(tmp_path)
    owner = harness.fleet.owners()[0]
    harness.members[owner[0]].stop()
    harness.run(9)
    assert owner not in harness.owners() and not harness.watcher.violations and harness.moves() > 0


@pytest.mark.parametrize("after", [0.05, 0.3, 1.0, 2.0])
def test_the_pilots_own_session_expires_in_the_middle_of_a_hand_over(tmp_path, after):
    harness = FleetHarness(tmp_path)
    owner = harness.fleet.owners()[0]
    harness.members[owner[0]].drain()
    harness.run(after)
    sessions = [f"{pilot.source.client.session:#x}" for pilot in harness.fleet.pilots.values()]
    harness.ensemble.control({"expire": sessions})
    harness.run(9)
    assert owner not in harness.owners() and "" not in harness.owners() and not harness.watcher.violations
    assert all(pilot.source.client.counts["expiries"] == 1 for pilot in harness.fleet.pilots.values())


@pytest.mark.parametrize("gone_binds, still_owner", [("true", False), ("false", True)])
def test_gone_binds_decides_on_a_vanished_member_that_still_acks(tmp_path, gone_binds, still_owner):
    harness = FleetHarness(tmp_path, gone_binds=gone_binds)
    owner = harness.fleet.owners()[0]
    harness.members[owner[0]].stop()
    for _ in range(24):
        for pilot in harness.fleet.pilots.values():
            pilot._apply_reports([ZoneTotals(owner, "z", 20, 0, 50_000, 500_000)], [])
        harness.run(0.5)
    assert (owner in harness.owners()) is still_owner and not harness.watcher.violations


def test_a_pilot_that_is_cut_off_keeps_its_list_and_says_how_old_it_is(tmp_path):
    harness = FleetHarness(tmp_path)
    before = harness.fleet.owners()
    harness.ensemble.control({"cut": [0, 1, 2]})
    harness.run(12)
    pilot = harness.fleet.pilots["p0"]
    assert harness.fleet.owners() == before and pilot.members()["state"] == "read-only"
    assert harness.loop.now() - pilot.source.confirmed > 10 * SECOND


def test_a_restarted_process_is_cold_to_the_module_and_a_new_session_alone_is_not(tmp_path):
    harness = FleetHarness(tmp_path)
    endpoints = harness.fleet.pilots["p0"].brain.endpoints
    harness.expire_sessions("a")
    harness.run(3)
    assert endpoints["a:1"].started is None
    harness.members["a"].stop()
    harness.member("a", start="2")
    harness.run(3)
    assert endpoints["a:1"].started is not None


def test_the_page_of_members_shows_nodes_sessions_and_what_is_listed(tmp_path):
    harness = FleetHarness(tmp_path)
    harness.ensemble.commit([("create", f"{PATH}/odd", b"{", [r.Acl(31, r.Id("world", "anyone"))], 0)])
    harness.ensemble.commit([("create", f"{PATH}/shut", b"{", [], 0)])
    harness.members["a"].stop()
    while not harness.fleet.pilots["p0"].source.tracker.gone:
        harness.run(0.1)
    text = format_members(msgspec.json.encode(harness.fleet.pilots["p0"].members()))
    assert "connected for" in text and "b:1" in text and "recursive watch" in text
    assert "held back: a:1" in text and "odd: invalid JSON" in text and "shut: " in text


def test_a_reload_takes_another_path_over(tmp_path):
    harness = FleetHarness(tmp_path)
    path = tmp_path / "trial.hcl"
    path.write_text(path.read_text().replace(f'path = "{PATH}"', 'path = "/svc/other"'))
    pilot = harness.fleet.pilots["p0"]
    pilot.reload(load(str(path)))
    harness.run(3)
    assert pilot.members()["source"] == "zookeeper:/svc/other" and not [
        e for e in pilot.listed.values() if e.phase == "on"
    ]


def test_an_error_in_the_list_handler_does_not_end_the_file_watch(tmp_path):
    loop, told = virtual_loop(), []

    def tell(kind, entries):
        told.append([entry.endpoint for entry in entries])
        if len(told) == 1:
            raise OSError(12, "no memory")

    write_list(tmp_path, [("a", "on", "1")])
    source = FileSource(loop, str(tmp_path / "list.json"), 100_000, tell, loop.report)
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    write_list(tmp_path, [("b", "on", "1")])
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    assert told[-1] == ["b"] and not source.task.done
