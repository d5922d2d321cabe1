"""Runs pilots as processes with a relay on each link, injects faults, and reads their member states."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

from ports import free_ports

PERIOD_S = 0.25  # s
SHIFTED_CLOCK_PROGRAM = """
import sys, time
true = time.time_ns
time.time_ns = lambda: true() + {hours} * 3_600_000_000_000
from cedarshift.cli.main import main
main()
"""
DEPLOYMENT_TEMPLATE = """
deployment "roll" {{
  slices = 0
  secret_file = "{secret}"
  op_type "get" {{
    target_latency = "1s"
    op_timeout = "2s"
    repeats = "retryable"
  }}
  {pilots}
  list {{ file = "list.json" }}
  proxy {{ in_flight_most = "3s" }}
  membership {{ period = "250ms" }}
}}
"""


class PilotProcesses:
    """A set of pilot processes, connected by one relay."""

    def __init__(self, folder, count):
        self.folder = folder
        self.names = [f"p{n}" for n in range(count)]
        self.running, self.superseded = {}, []
        ports = iter(free_ports(3 * count + count * (count - 1) + 1))
        self.listen = {name: next(ports) for name in self.names}
        self.admin = {name: next(ports) for name in self.names}
        self.gossip = {name: next(ports) for name in self.names}
        self.link_ports = {(a, b): next(ports) for a in self.names for b in self.names if a != b}
        self.control = next(ports)
        (folder / "list.json").write_text('{"endpoints": [{"endpoint": "e", "phase": "on", "start": "1"}]}')
        (folder / "secret").write_text("a secret of sixteen\n")
        for name in self.names:
            self.write_file(name)
        links = {
            f"{a}>{b}": (("127.0.0.1", link_port), ("127.0.0.1", self.gossip[b]))
            for (a, b), link_port in self.link_ports.items()
        }
        plan = {"address": ("127.0.0.1", self.control), "links": links, "datagrams": list(links), "seed": 5}
        (folder / "plan.json").write_text(json.dumps(plan))
        self.relay = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cedarshift.standins",
                "relay",
                str(folder / "plan.json"),
                str(folder / "record-relay.jsonl"),
            ],
            stderr=open(folder / "relay.err", "w"),
        )
        for name in self.names:
            self.start(name)
        self.until(self.all_alive, 120, "not all came up")

    def write_file(self, name):
        rows = "\n".join(
            f'pilot "{other}" {{\n listen = "127.0.0.1:{self.listen[other]}"\n'
            f' admin = "127.0.0.1:{self.admin[other]}"\n'
            f' gossip = "127.0.0.1:{self.gossip[other] if other == name else self.link_ports[name, other]}"\n'
            f" }}"
            for other in self.names
        )
        (self.folder / f"{name}.hcl").write_text(DEPLOYMENT_TEMPLATE.format(secret="secret", pilots=rows))

    def start(self, name, hours=0):
        """Starts a pilot whose wall clock is off by `hours`."""
        log = open(self.folder / f"log-{name}.txt", "ab")
        program = ["-m", "cedarshift"] if not hours else ["-c", SHIFTED_CLOCK_PROGRAM.format(hours=hours)]
        self.running[name] = subprocess.Popen(
            [sys.executable, *program, "--log", "json", "pilot", str(self.folder / f"{name}.hcl"), name],
            stdout=log,
            stderr=log,
        )

    def stop(self):
        for process in [*self.running.values(), *self.superseded, self.relay]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # ---- faults

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, *names):
        for name in names:
            process = self.running.pop(name)
            process.kill()
            process.wait()

    def leave(self, name):
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0

    def set_link_mode(self, links, **settings):
        body = json.dumps({"links": links, **settings}).encode()
        with urllib.request.urlopen(f"http://127.0.0.1:{self.control}/control", body, 5) as reply:
            assert reply.status == 200

    def cut(self, source, target, mode="drop"):
        """Cuts the direction from `source` to `target` only."""
        self.set_link_mode([f"{source}>{target}"], mode=mode, way="there")
        self.set_link_mode([f"{target}>{source}"], mode=mode, way="back")

    def heal(self):
        self.set_link_mode([f"{a}>{b}" for a, b in self.link_ports], mode="pass")

    # ---- member states

    def fetch_status(self, name):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.admin[name]}/pilots", timeout=2) as reply:
                return json.load(reply)
        except OSError:
            return None

    def states(self, name):
        status = self.fetch_status(name)
        return (
            {row["name"]: row["state"] for row in status["members"]} if status and "members" in status else {}
        )

    def agree(self, observers, **wanted):
        """Returns whether all observers report the wanted states; alternatives are separated by "_or_"."""
        for one in observers:
            states = self.states(one)
            if any(states.get(name) not in state.split("_or_") for name, state in wanted.items()):
                return False
        return True

    def all_alive(self, among=None):
        among = among or self.names
        return self.agree(among, **{name: "alive" for name in among})

    def until(self, condition, periods, failure):
        deadline = time.monotonic() + periods * PERIOD_S
        while not condition():
            assert time.monotonic() < deadline, f"{failure} within {periods} periods: " + "; ".join(
                f"{name}: {self.states(name)}" for name in self.running
            )
            time.sleep(PERIOD_S / 2)

    def wait(self, periods):
        time.sleep(periods * PERIOD_S)

    def changes(self, name=None):
        """Returns (observer, member, new state, agreed) of all logged changes, of one pilot or all."""
        found = []
        for who in [name] if name else self.names:
            path = self.folder / f"log-{who}.txt"
            for line in path.read_text().splitlines() if os.path.exists(path) else ():
                if '"member_changed"' in line:
                    row = json.loads(line)
                    found.append((who, row["member"], row["after"], row["agreed"]))
        return found

    def removed(self, *names):
        """Returns the majority death verdicts on these members by others."""
        return [
            change
            for change in self.changes()
            if change[1] in names and change[0] != change[1] and change[2] == "dead" and change[3]
        ]


def measure(folder, count, rounds):
    """Measures the detection time of a killed pilot at each other pilot, in periods."""
    p, found = PilotProcesses(folder, count), []
    try:
        for round_number in range(rounds):
            name = p.names[round_number % count]
            at = time.monotonic()
            p.kill(name)
            others = [one for one in p.names if one != name]
            p.until(lambda: p.agree(others, **{name: "dead"}), 60, "not found")
            for one in others:
                rows = [
                    json.loads(line)
                    for line in (p.folder / f"log-{one}.txt").read_text().splitlines()
                    if '"member_changed"' in line
                ]
                found.append(
                    next(
                        row["at_us"] / 1e6 - at
                        for row in reversed(rows)
                        if row["member"] == name and row["after"] == "dead"
                    )
                    / PERIOD_S
                )
            p.start(name)
            p.until(p.all_alive, 120, "not back")
        sent = [p.fetch_status(name)["counts"] for name in p.names]
    finally:
        p.stop()
    return sorted(found), sent


if __name__ == "__main__":
    import pathlib
    import tempfile

    for size in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as made_folder:
            times, _ = measure(pathlib.Path(made_folder), int(size), 5)
        print(
            f"{size} processes, period {PERIOD_S} s, {len(times)} findings: "
            f"p50 {times[len(times) // 2]:.1f} periods, "
            f"p99 {times[int(len(times) * 0.99)]:.1f}, max {times[-1]:.1f}"
        )
