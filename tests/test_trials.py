"""Trials of a sick endpoint with processes: pilots that hear of each other, proxies without slices, endpoints, a client; what reached the
sick one is read from its own record."""

import json
import signal
import subprocess
import sys
import time
import urllib.request

import pytest
from pilots import free_ports

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


class Tries:
    def __init__(self, folder, pilots=3, proxies=12, endpoints=4, overload="overload {}"):
        self.folder, self.running = folder, {}
        ports = iter(free_ports(3 * pilots + proxies + endpoints))
        self.names, self.proxies, self.ends = (
            [f"{kind}{n}" for n in range(count)]
            for kind, count in (("p", pilots), ("x", proxies), ("e", endpoints))
        )
        self.at = {name: ("127.0.0.1", next(ports)) for name in [*self.names, *self.proxies, *self.ends]}
        rows = "\n".join(
            f'pilot "{p}" {{\n listen = "127.0.0.1:{self.at[p][1]}"\n admin = "127.0.0.1:{next(ports)}"\n'
            f' gossip = "127.0.0.1:{next(ports)}"\n }}'
            for p in self.names
        )
        (folder / "tries.hcl").write_text(TEXT.format(pilots=rows, overload=overload))
        listed = [
            {"endpoint": "127.0.0.1:%d" % self.at[e][1], "phase": "on", "start": "1"} for e in self.ends
        ]
        (folder / "list.json").write_text(json.dumps({"endpoints": listed}))
        for e in self.ends:
            self.standin(e, "endpoint", {"name": "127.0.0.1:%d" % self.at[e][1], "address": self.at[e]})
        for p in self.names:
            self.pilot(p)
        for x in self.proxies:
            self.standin(
                x,
                "proxy",
                {
                    "name": x,
                    "address": self.at[x],
                    "deployment": "tries",
                    "slices": 0,
                    "single_owner": False,
                    "op_types": [("get", False, 2_000_000)],
                    "pilots": {p: self.at[p] for p in self.names},
                    "store": self.at["p0"],
                },
            )
        self.standin(
            "c0",
            "client",
            {
                "name": "c0",
                "proxies": {x: self.at[x] for x in self.proxies},
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
        self.until(
            lambda: all(self.came(e, 4.0) >= 0.5 * RATE / endpoints for e in self.ends), 30
        )  # so that a fall of it can be told

    def standin(self, name, kind, plan):
        (self.folder / f"{name}.json").write_text(json.dumps(plan))
        self._run(
            name,
            "cedarshift.standins",
            kind,
            str(self.folder / f"{name}.json"),
            str(self.folder / f"record-{name}.jsonl"),
        )

    def pilot(self, name):
        self._run(name, "cedarshift", "--log", "json", "pilot", str(self.folder / "tries.hcl"), name)

    def _run(self, name, *command):
        log = open(self.folder / f"log-{name}.txt", "ab")
        self.running[name] = subprocess.Popen([sys.executable, "-m", *command], stdout=log, stderr=log)

    def order(self, endpoint, **order):
        with urllib.request.urlopen(
            "http://%s:%d/control" % self.at[endpoint], json.dumps(order).encode(), 5
        ) as reply:
            assert reply.status == 200

    def came(self, endpoint, span):
        """Ops a second that reached it in the last `span` s."""
        now, path = time.monotonic() * 1e6, self.folder / f"record-{endpoint}.jsonl"
        lines = path.read_bytes().splitlines(keepends=True) if path.exists() else []
        rows = [json.loads(line) for line in lines if line.endswith(b"\n")]
        return sum(row[1] == "accept" and row[0] > now - span * 1e6 for row in rows) / span

    def until(self, true, seconds):
        end = time.monotonic() + seconds
        while not true():
            assert time.monotonic() < end, {e: self.came(e, 2.0) for e in self.ends}
            time.sleep(0.2)

    def owner(self):
        """The pilot that told last of a trial of its own."""
        rows = [
            (row["timestamp"], name)
            for name in self.names
            for line in (self.folder / f"log-{name}.txt").read_text().splitlines()
            if '"trial"' in line and (row := json.loads(line))["share"] == 0.0
        ]
        return max(rows)[1]

    def end(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


@pytest.fixture
def make(tmp_path):
    made = []

    def build(**named):
        made.append(Tries(tmp_path, **named))
        return made[-1]

    yield build
    for one in made:
        one.end()


@pytest.mark.parametrize("pilots", [2, 5])
def test_the_whole_fleet_tries_a_sick_endpoint_at_one_rate_and_gives_it_back_step_by_step(make, pilots):
    t = make(pilots=pilots)
    t.order("e0", fail=1.0)
    t.until(lambda: t.came("e0", 2.0) <= 2.5, 15)
    time.sleep(8)
    assert t.came("e0", 8.0) <= 2.0
    t.order("e0", fail=0.0)
    seen = []
    t.until(lambda: seen.append(t.came("e0", 1.0)) or seen[-1] >= 0.5 * RATE / 4, 30)
    assert sum(2.0 <= one <= 0.4 * RATE / 4 for one in seen) >= 2  # not all at once


def test_the_trial_goes_on_when_its_pilot_is_killed_or_stopped(make):
    t = make(pilots=3)
    t.order("e0", fail=1.0)
    t.until(lambda: t.came("e0", 2.0) <= 2.5, 15)
    first = t.owner()
    t.running[first].kill()
    time.sleep(10)
    assert t.came("e0", 5.0) <= 4.0
    second = t.owner()
    t.running[second].send_signal(signal.SIGSTOP)
    time.sleep(6)
    t.running[second].send_signal(signal.SIGCONT)
    t.order("e0", fail=0.0)
    t.until(lambda: t.came("e0", 2.0) >= 0.5 * RATE / 4, 40)


def test_without_the_answer_each_proxy_tries_it_by_itself(make):
    t = make(pilots=2, overload="")
    t.order("e0", fail=1.0)
    time.sleep(12)
    assert t.came("e0", 6.0) >= 5.0
