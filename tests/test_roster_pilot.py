"""Pilots whose list comes from ephemeral nodes, on a virtual clock: the module hears what the nodes say, and the rules hold."""

import random

import msgspec
import pytest
from program import SECOND, Fleet, Watcher, deployment, virtual_loop, write_list
from zoo import PATH, PLACES

from cedarshift.cli.tables import shown_members
from cedarshift.codec.zookeeper import records as r
from cedarshift.deployment import load
from cedarshift.pilot.intake import ZoneTotals
from cedarshift.roster.formats import Member
from cedarshift.roster.register import Registration, RegistrationSettings
from cedarshift.roster.sources import FileSource
from cedarshift.standins.ensemble import Ensemble, EnsemblePlan

BLOCK = """roster "zookeeper" {
    servers = ["127.0.0.1:2181", "127.0.0.1:2182", "127.0.0.1:2183"]
    path = "/svc/tiles"
    session_timeout = "2s"
    format = "plain"
    gone_binds = %s
  }"""


class Town:
    """A fleet with an ensemble, and members that say nothing but that they are there."""

    def __init__(self, tmp_path, names="abcd", gone_binds="true", **terms):
        deployment(tmp_path, **terms)
        path = tmp_path / "trial.hcl"
        path.write_text(path.read_text().replace('list { file = "list.json" }', BLOCK % gone_binds))
        self.loop = virtual_loop()
        self.ensemble = Ensemble(self.loop, EnsemblePlan(PLACES, None, PATH, "plain"))
        self.members = {}
        for name in names:
            self.member(name)
        self.loop.run(self.loop.spawn(self.loop.sleep(2 * SECOND), "wait"))
        self.fleet = Fleet(self.loop, load(str(path)))
        self.watcher = Watcher(self.fleet)
        self.run(12)

    def member(self, name, start="1"):
        terms = RegistrationSettings(tuple(PLACES), PATH, 2 * SECOND, "plain", "", ())
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

    def expire(self, *names):
        self.ensemble.control({"expire": [f"{self.members[n].client.session:#x}" for n in names]})

    def moves(self):
        return self.watcher.moves


def test_every_member_owns_slices_and_a_drained_one_is_left_within_the_grace(tmp_path):
    town = Town(tmp_path)
    assert town.owners() <= {"a:1", "b:1", "c:1", "d:1"} and len(town.owners()) >= 2
    gone = town.fleet.owners()[0]
    town.members[gone[0]].drain()
    town.run(3)  # the rule's grace
    assert gone not in town.owners() and not town.watcher.violations


def test_sessions_that_expire_and_return_move_nothing(tmp_path):
    town = Town(tmp_path)
    before, moves = town.fleet.owners(), town.moves()
    for _ in range(4):
        town.expire("a", "b", "c", "d")
        town.run(2)
    town.run(10)
    assert town.fleet.owners() == before and town.moves() == moves


def test_a_killed_members_slices_are_elsewhere_and_no_rule_is_broken(tmp_path):
    town = Town(tmp_path)
    gone = town.fleet.owners()[0]
    town.members[gone[0]].stop()
    town.run(9)
    assert gone not in town.owners() and not town.watcher.violations and town.moves() > 0


@pytest.mark.parametrize("after", [0.05, 0.3, 1.0, 2.0])
def test_the_pilots_own_session_expires_in_the_middle_of_a_hand_over(tmp_path, after):
    town = Town(tmp_path)
    gone = town.fleet.owners()[0]
    town.members[gone[0]].drain()
    town.run(after)
    sessions = [f"{pilot.source.client.session:#x}" for pilot in town.fleet.pilots.values()]
    town.ensemble.control({"expire": sessions})
    town.run(9)
    assert gone not in town.owners() and "" not in town.owners() and not town.watcher.violations
    assert all(pilot.source.client.counts["expiries"] == 1 for pilot in town.fleet.pilots.values())


@pytest.mark.parametrize("binds, stands", [("true", False), ("false", True)])
def test_what_gone_binds_chooses_for_a_vanished_member_that_still_acks(tmp_path, binds, stands):
    town = Town(tmp_path, gone_binds=binds)
    gone = town.fleet.owners()[0]
    town.members[gone[0]].stop()
    for _ in range(24):
        for pilot in town.fleet.pilots.values():
            pilot._apply_reports([ZoneTotals(gone, "z", 20, 0, 50_000, 500_000)], [])
        town.run(0.5)
    assert (gone in town.owners()) is stands and not town.watcher.violations


def test_a_pilot_that_is_cut_off_keeps_its_list_and_says_how_old_it_is(tmp_path):
    town = Town(tmp_path)
    before = town.fleet.owners()
    town.ensemble.control({"cut": [0, 1, 2]})
    town.run(12)
    pilot = town.fleet.pilots["p0"]
    assert town.fleet.owners() == before and pilot.members()["state"] == "read-only"
    assert town.loop.now() - pilot.source.confirmed > 10 * SECOND


def test_a_restarted_process_is_cold_to_the_module_and_a_new_session_alone_is_not(tmp_path):
    town = Town(tmp_path)
    endpoints = town.fleet.pilots["p0"].brain.endpoints
    town.expire("a")
    town.run(3)
    assert endpoints["a:1"].started is None
    town.members["a"].stop()
    town.member("a", start="2")
    town.run(3)
    assert endpoints["a:1"].started is not None


def test_the_page_of_members_shows_nodes_sessions_and_what_is_listed(tmp_path):
    town = Town(tmp_path)
    town.ensemble.commit([("create", f"{PATH}/odd", b"{", [r.Acl(31, r.Id("world", "anyone"))], 0)])
    town.ensemble.commit([("create", f"{PATH}/shut", b"{", [], 0)])
    town.members["a"].stop()
    while not town.fleet.pilots["p0"].source.tracker.gone:
        town.run(0.1)
    text = shown_members(msgspec.json.encode(town.fleet.pilots["p0"].members()))
    assert "connected for" in text and "b:1" in text and "recursive watch" in text
    assert "held back: a:1" in text and "odd: invalid JSON" in text and "shut: " in text


def test_a_reload_takes_another_path_over(tmp_path):
    town = Town(tmp_path)
    path = tmp_path / "trial.hcl"
    path.write_text(path.read_text().replace(f'path = "{PATH}"', 'path = "/svc/other"'))
    pilot = town.fleet.pilots["p0"]
    pilot.reload(load(str(path)))
    town.run(3)
    assert pilot.members()["source"] == "zookeeper:/svc/other" and not [
        e for e in pilot.listed.values() if e.phase == "on"
    ]


def test_a_fault_of_whoever_hears_a_list_ends_no_watch_on_its_file(tmp_path):
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
