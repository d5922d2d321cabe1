"""Pilots as processes with a relay on each of their links, faults between them, and what each of them held and when."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request

PERIOD = 0.25  # s
STEPPED = """
import sys, time
true = time.time_ns
time.time_ns = lambda: true() + {hours} * 3_600_000_000_000
from cedarshift.cli.main import main
main()
"""
TEXT = """
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


def free_ports(count):
    """Free for streams and for datagrams."""
    held, ports = [], []
    while len(ports) < count:
        stream = socket.socket()
        stream.bind(("127.0.0.1", 0))
        port = stream.getsockname()[1]
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [stream, datagram]
        try:
            datagram.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


class Pilots:
    def __init__(self, folder, count):
        self.folder = folder
        self.names = [f"p{n}" for n in range(count)]
        self.running, self.old = {}, []
        ports = iter(free_ports(3 * count + count * (count - 1) + 1))
        self.listen = {name: next(ports) for name in self.names}
        self.admin = {name: next(ports) for name in self.names}
        self.gossip = {name: next(ports) for name in self.names}
        self.doors = {(a, b): next(ports) for a in self.names for b in self.names if a != b}
        self.control = next(ports)
        (folder / "list.json").write_text('{"endpoints": [{"endpoint": "e", "phase": "on", "start": "1"}]}')
        (folder / "secret").write_text("a secret of sixteen\n")
        for name in self.names:
            self.write_file(name)
        links = {
            f"{a}>{b}": (("127.0.0.1", door), ("127.0.0.1", self.gossip[b]))
            for (a, b), door in self.doors.items()
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
            f'pilot "{other}" {{\n listen = "127.0.0.1:{self.listen[other]}"\n admin = "127.0.0.1:{self.admin[other]}"\n'
            f' gossip = "127.0.0.1:{self.gossip[other] if other == name else self.doors[name, other]}"\n }}'
            for other in self.names
        )
        (self.folder / f"{name}.hcl").write_text(TEXT.format(secret="secret", pilots=rows))

    def start(self, name, hours=0):
        """`hours`: how far its wall clock is off."""
        log = open(self.folder / f"log-{name}.txt", "ab")
        program = ["-m", "cedarshift"] if not hours else ["-c", STEPPED.format(hours=hours)]
        self.running[name] = subprocess.Popen(
            [sys.executable, *program, "--log", "json", "pilot", str(self.folder / f"{name}.hcl"), name],
            stdout=log,
            stderr=log,
        )

    def end(self):
        for process in [*self.running.values(), *self.old, self.relay]:
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

    def order(self, links, **order):
        body = json.dumps({"links": links, **order}).encode()
        with urllib.request.urlopen(f"http://127.0.0.1:{self.control}/control", body, 5) as reply:
            assert reply.status == 200

    def cut(self, source, target, mode="drop"):
        """What `source` says does not reach `target`; the other way is left as it is."""
        self.order([f"{source}>{target}"], mode=mode, way="there")
        self.order([f"{target}>{source}"], mode=mode, way="back")

    def mend(self):
        self.order([f"{a}>{b}" for a, b in self.doors], mode="pass")

    # ---- what they hold

    def ask(self, name):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.admin[name]}/pilots", timeout=2) as reply:
                return json.load(reply)
        except OSError:
            return None

    def states(self, name):
        held = self.ask(name)
        return {row["name"]: row["state"] for row in held["members"]} if held and "members" in held else {}

    def hold(self, observers, **wanted):
        """Whether each observer holds each named member for the wanted state (or one of them, parted by "_or_")."""
        for one in observers:
            states = self.states(one)
            if any(states.get(name) not in state.split("_or_") for name, state in wanted.items()):
                return False
        return True

    def all_alive(self, among=None):
        among = among or self.names
        return self.hold(among, **{name: "alive" for name in among})

    def until(self, true, periods, what):
        end = time.monotonic() + periods * PERIOD
        while not true():
            assert time.monotonic() < end, f"{what} within {periods} periods: " + "; ".join(
                f"{name}: {self.states(name)}" for name in self.running
            )
            time.sleep(PERIOD / 2)

    def wait(self, periods):
        time.sleep(periods * PERIOD)

    def changes(self, name=None):
        """(who, member, after, agreed) of all that was logged, by all or by one."""
        found = []
        for who in [name] if name else self.names:
            path = self.folder / f"log-{who}.txt"
            for line in path.read_text().splitlines() if os.path.exists(path) else ():
                if '"member_changed"' in line:
                    row = json.loads(line)
                    found.append((who, row["member"], row["after"], row["agreed"]))
        return found

    def removed(self, *names):
        """Verdicts agreed on by most against any of these, by others than themselves."""
        return [
            change
            for change in self.changes()
            if change[1] in names and change[0] != change[1] and change[2] == "dead" and change[3]
        ]


def measure(folder, count, rounds):
    """How soon a killed one is held for dead by each of the others, in periods."""
    p, found = Pilots(folder, count), []
    try:
        for turn in range(rounds):
            name = p.names[turn % count]
            at = time.monotonic()
            p.kill(name)
            others = [one for one in p.names if one != name]
            p.until(lambda: p.hold(others, **{name: "dead"}), 60, "not found")
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
                    / PERIOD
                )
            p.start(name)
            p.until(p.all_alive, 120, "not back")
        sent = [p.ask(name)["counts"] for name in p.names]
    finally:
        p.end()
    return sorted(found), sent


if __name__ == "__main__":
    import pathlib
    import tempfile

    for size in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as made_folder:
            times, _ = measure(pathlib.Path(made_folder), int(size), 5)
        print(
            f"{size} processes, period {PERIOD} s, {len(times)} findings: p50 {times[len(times) // 2]:.1f} periods, "
            f"p99 {times[int(len(times) * 0.99)]:.1f}, max {times[-1]:.1f}"
        )
