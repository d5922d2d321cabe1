"""Trials of a sick endpoint, with real processes: pilots, proxies without slices, endpoints and a client.

The load that reached the sick endpoint is read from its own record.
"""

import json
import signal
import subprocess
import sys
import time
import urllib.request

import pytest
from ports import free_ports

RATE = 60.0  # ops a second
TEXT = """
deployment "tries" {{
  slices = 0
  op_type "get" {{
    target_latency = "1s"
    op_timeout = "2s"
    repeats = "retryable"
  }}
  {pilots}
  list {{ file = "list.json" }}
  proxy {{
    in_flight_most = "3s"
    report_every = "500ms"
  }}
  membership {{ period = "250ms" }}
  {overload}
}}
"""


class TrialFleet:
    def __init__(self, folder, pilots=3, proxies=12, endpoints=4, overload="overload {}"):
        self.folder, self.running = folder, {}
        ports = iter(free_ports(3 * pilots + proxies + endpoints))
        self.names, self.proxies, self.endpoints = (
            [f"{kind}{n}" for n in range(count)]
            for kind, count in (("p", pilots), ("x", proxies), ("e", endpoints))
        )
        self.addresses = {
            name: ("127.0.0.1", next(ports)) for name in [*self.names, *self.proxies, *self.endpoints]
        }
        rows = "\n".join(
            f'pilot "{p}" {{\n listen = "127.0.0.1:{self.addresses[p][1]}"\n'
            f' admin = "127.0.0.1:{next(ports)}"\n'
            f' gossip = "127.0.0.1:{next(ports)}"\n }}'
            for p in self.names
        )
        (folder / "tries.hcl").write_text(TEXT.format(pilots=rows, overload=overload))
        listed = [
            {"endpoint": "127.0.0.1:%d" % self.addresses[e][1], "phase": "on", "start": "1"}
            for e in self.endpoints
        ]
        (folder / "list.json").write_text(json.dumps({"endpoints": listed}))
        for e in self.endpoints:
            self.start_standin(
                e, "endpoint", {"name": "127.0.0.1:%d" % self.addresses[e][1], "address": self.addresses[e]}
            )
        for p in self.names:
            self.start_pilot(p)
        for x in self.proxies:
            self.start_standin(
                x,
                "proxy",
                {
                    "name": x,
                    "address": self.addresses[x],
                    "deployment": "tries",
                    "slices": 0,
                    "single_owner": False,
                    "op_types": [("get", False, 2_000_000)],
                    "pilots": {p: self.addresses[p] for p in self.names},
                    "store": self.addresses["p0"],
                },
            )
        self.start_standin(
            "c0",
            "client",
            {
                "name": "c0",
                "proxies": {x: self.addresses[x] for x in self.proxies},
                "rate": RATE,
                "begin_us": int(time.monotonic() * 1e6) + 4_000_000,
                "length_us": 90_000_000,
                "sizes_cv": 0.1,
                "op_types": [
                    {
                        "name": "get",
                        "share": 1.0,
                        "target_us": 1_000_000,
                        "timeout_us": 2_000_000,
                        "repeats": "retryable",
                        "work_us": 20_000,
                    }
                ],
            },
        )
        self.wait_until(
            lambda: all(self.ops_rate(e, 4.0) >= 0.5 * RATE / endpoints for e in self.endpoints), 30
        )  # a steady load, so that a drop is visible

    def start_standin(self, name, kind, plan):
        (self.folder / f"{name}.json").write_text(json.dumps(plan))
        self._run(
            name,
            "cedarshift.standins",
            kind,
            str(self.folder / f"{name}.json"),
            str(self.folder / f"record-{name}.jsonl"),
        )

    def start_pilot(self, name):
        self._run(name, "cedarshift", "--log", "json", "pilot", str(self.folder / "tries.hcl"), name)

    def _run(self, name, *command):
        log = open(self.folder / f"log-{name}.txt", "ab")
        self.running[name] = subprocess.Popen([sys.executable, "-m", *command], stdout=log, stderr=log)

    def control(self, endpoint, **orders):
        with urllib.request.urlopen(
            "http://%s:%d/control" % self.addresses[endpoint], json.dumps(orders).encode(), 5
        ) as reply:
            assert reply.status == 200

    def ops_rate(self, endpoint, seconds):
        """Returns the ops per second that reached the endpoint in the last `seconds`."""
        now, path = time.monotonic() * 1e6, self.folder / f"record-{endpoint}.jsonl"
        lines = path.read_bytes().splitlines(keepends=True) if path.exists() else []
        rows = [json.loads(line) for line in lines if line.endswith(b"\n")]
        return sum(row[1] == "accept" and row[0] > now - seconds * 1e6 for row in rows) / seconds

    def wait_until(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end, {e: self.ops_rate(e, 2.0) for e in self.endpoints}
            time.sleep(0.2)

    def owner(self):
        """Returns the pilot that last logged a trial of its own."""
        rows = [
            (row["timestamp"], name)
            for name in self.names
            for line in (self.folder / f"log-{name}.txt").read_text().splitlines()
            if '"trial"' in line and (row := json.loads(line))["share"] == 0.0
        ]
        return max(rows)[1]

    def stop(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


@pytest.fixture
def make(tmp_path):
    made = []

    def build(**named):
        made.append(TrialFleet(tmp_path, **named))
        return made[-1]

    yield build
    for one in made:
        one.stop()


@pytest.mark.parametrize("pilots", [2, 5])
def test_the_whole_fleet_tries_a_sick_endpoint_at_one_rate_and_gives_it_back_step_by_step(make, pilots):
    fleet = make(pilots=pilots)
    fleet.control("e0", fail=1.0)
    fleet.wait_until(lambda: fleet.ops_rate("e0", 2.0) <= 2.5, 15)
    time.sleep(8)
    assert fleet.ops_rate("e0", 8.0) <= 2.0
    fleet.control("e0", fail=0.0)
    seen = []
    fleet.wait_until(lambda: seen.append(fleet.ops_rate("e0", 1.0)) or seen[-1] >= 0.5 * RATE / 4, 30)
    assert sum(2.0 <= one <= 0.4 * RATE / 4 for one in seen) >= 2  # it recovers step by step


def test_the_trial_goes_on_when_its_pilot_is_killed_or_stopped(make):
    fleet = make(pilots=3)
    fleet.control("e0", fail=1.0)
    fleet.wait_until(lambda: fleet.ops_rate("e0", 2.0) <= 2.5, 15)
    first = fleet.owner()
    fleet.running[first].kill()
    time.sleep(10)
    assert fleet.ops_rate("e0", 5.0) <= 4.0
    second = fleet.owner()
    fleet.running[second].send_signal(signal.SIGSTOP)
    time.sleep(6)
    fleet.running[second].send_signal(signal.SIGCONT)
    fleet.control("e0", fail=0.0)
    fleet.wait_until(lambda: fleet.ops_rate("e0", 2.0) >= 0.5 * RATE / 4, 40)


def test_without_overload_control_each_proxy_probes_by_itself(make):
    fleet = make(pilots=2, overload="")
    fleet.control("e0", fail=1.0)
    time.sleep(12)
    assert fleet.ops_rate("e0", 6.0) >= 5.0
