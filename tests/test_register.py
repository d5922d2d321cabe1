"""Tests `cedarshift register` as a process, over loopback, against the stand-in ensemble."""

import json
import os
import random
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from program import SECOND, deployment
from test_roster_pilot import ROSTER_BLOCK

from cedarshift.cli.main import main
from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports
from cedarshift.roster.ephemeral import EphemeralSettings, EphemeralSource
from cedarshift.roster.sources import SavedList

ROOT = os.path.dirname(__file__) + "/.."


@pytest.fixture
def ensemble_process(tmp_path):
    """Yields the loop, the deployment file and the servers of an ensemble that runs as a process."""
    loop = real_loop()
    ports = Ports(loop)
    servers, control = [ports.take() for _ in range(3)], ports.take()
    (tmp_path / "plan.json").write_text(json.dumps({"addresses": servers, "control": control}))
    deployment(tmp_path)
    path = tmp_path / "trial.hcl"
    block = ROSTER_BLOCK % "true"
    for n, (host, port) in enumerate(servers):
        block = block.replace(f'"127.0.0.1:{2181 + n}"', f'"{host}:{port}"')
    path.write_text(path.read_text().replace('list { file = "list.json" }', block))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cedarshift.standins",
            "ensemble",
            str(tmp_path / "plan.json"),
            str(tmp_path / "record.jsonl"),
        ],
        cwd=ROOT,
    )
    yield loop, str(path), servers
    process.kill()
    process.wait()
    ports.release()


def until(loop, condition, seconds=20):
    def wait():
        end = loop.now() + seconds * SECOND
        while not condition():
            assert loop.now() < end, "condition not met in time"
            yield from loop.sleep(20_000)

    loop.run(loop.spawn(wait(), "until"))


def test_a_registered_member_is_listed_drains_on_sigterm_and_leaves(ensemble_process):
    loop, path, servers = ensemble_process
    listed = {}
    terms = EphemeralSettings(
        tuple(servers), "/svc/tiles", 2 * SECOND, "plain", "", True, True, SECOND // 5, ()
    )
    source = EphemeralSource(
        loop,
        terms,
        False,
        random.Random(1).random,
        SavedList(""),
        lambda kind, entries: listed.update({e.endpoint: e for e in entries}),
        loop.report,
    )
    members = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cedarshift",
                "register",
                path,
                "--endpoint",
                f"127.0.0.1:{9000 + n}",
                "--zone",
                "z",
                "--size",
                "2",
                "--drain",
                "1s",
            ],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        for n in range(2)
    ]
    try:
        until(loop, lambda: len(listed) == 2)
        assert listed["127.0.0.1:9000"].size == 2.0 and listed["127.0.0.1:9000"].zone == "z"
        members[0].send_signal(signal.SIGTERM)
        until(loop, lambda: listed["127.0.0.1:9000"].phase == "fading")
        until(loop, lambda: listed["127.0.0.1:9000"].phase == "off")
        assert members[0].wait(10) == 0 and listed["127.0.0.1:9001"].phase == "on"
        members[1].kill()  # without leaving: the node stays until the session expires
        members[1].wait()
        until(loop, lambda: listed["127.0.0.1:9001"].phase == "off")
    finally:
        for one in members:
            one.kill()
            one.wait()
        source.stop()


@pytest.mark.parametrize(
    "options, message",
    [
        (["--endpoint", "nowhere"], "an address such as"),
        (["--endpoint", "h:1", "--zone", "mars"], "none of z"),
        (["--endpoint", "h:1", "--drain", "8"], "a time such as"),
        (["--endpoint", "h:1", "--size", "0"], "not in the range"),
        ([], "--endpoint"),
    ],
)
def test_what_register_refuses(tmp_path, options, message):
    deployment(tmp_path)
    path = tmp_path / "trial.hcl"
    path.write_text(path.read_text().replace('list { file = "list.json" }', ROSTER_BLOCK % "true"))
    result = CliRunner().invoke(main, ["register", str(path), *options])
    assert result.exit_code != 0 and message in result.output


def test_register_needs_a_roster(tmp_path):
    deployment(tmp_path)
    result = CliRunner().invoke(main, ["register", str(tmp_path / "trial.hcl"), "--endpoint", "h:1"])
    assert result.exit_code != 0 and "no block roster" in result.output
