"""A fleet of processes (store, pilots and spenders) with a relay on each link, for tests of budgets."""

import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

from ports import free_ports

from cedarshift.rehearsal.rules import beyond_rate

TOTAL_RATE = 40  # retries per second of the fleet
BURST_S = 0.1
LEASE_S = 2.0
PROXY_LEASE_S = 1.0
TEXT = """
deployment "spend" {{
  slices = 0
  secret_file = "secret"
  op_type "get" {{
    target_latency = "1s"
    op_timeout = "2s"
    repeats = "retryable"
  }}
  {pilots}
  store {{
    listen = "127.0.0.1:{store}"
    path = "store.db"
    session_lease = "4s"
  }}
  list {{ file = "list.json" }}
  proxy {{
    in_flight_most = "3s"
    lease = "400ms"
  }}
  budgets {{
    lease = "{lease}s"
    proxy_lease = "{proxy_lease}s"
    budget "again" {{
      use = "retries"
      rate = {total_rate}
      burst = "{burst}s"
      floor = {floor}
    }}
    budget "dials" {{
      use = "store_dials"
      rate = 60
      floor = 10
    }}
  }}
}}
"""


class Spenders:
    """Starts the processes, injects faults and reads the spends from their records."""

    def __init__(
        self,
        folder,
        pilots=3,
        spenders=4,
        total_rate=TOTAL_RATE,
        floor=2,
        demand=30.0,
        lease=LEASE_S,
        proxy_lease=PROXY_LEASE_S,
        text=TEXT,
        homes=None,
    ):
        """`homes` maps spenders to the pilots that they may join, all by default."""
        self.folder, self.total_rate, self.floor = folder, total_rate, floor
        self.names = [f"p{n}" for n in range(pilots)]
        self.spenders = [f"x{n}" for n in range(spenders)]
        self.running = {}
        ports = iter(free_ports(2 + 3 * pilots + spenders * (1 + pilots)))
        self.store_port, self.control = next(ports), next(ports)
        self.listen = {name: next(ports) for name in self.names}
        self.admin = {name: next(ports) for name in self.names}
        self.relay_ports = {f"{name}>store": (next(ports), self.store_port) for name in self.names}
        self.relay_ports.update(
            {f"{x}>{p}": (next(ports), self.listen[p]) for x in self.spenders for p in self.names}
        )
        self.control_ports = {x: next(ports) for x in self.spenders}
        (folder / "list.json").write_text('{"endpoints": [{"endpoint": "e", "phase": "on", "start": "1"}]}')
        (folder / "secret").write_text("a secret of sixteen\n")
        for name in [*self.names, "store"]:
            rows = "\n".join(
                f'pilot "{p}" {{\n listen = "127.0.0.1:{self.listen[p]}"\n'
                f' admin = "127.0.0.1:{self.admin[p]}"\n }}'
                for p in self.names
            )
            store = self.store_port if name == "store" else self.relay_ports[f"{name}>store"][0]
            (folder / f"{name}.hcl").write_text(
                text.format(
                    pilots=rows,
                    store=store,
                    lease=lease,
                    proxy_lease=proxy_lease,
                    total_rate=total_rate,
                    burst=BURST_S,
                    floor=floor,
                )
            )
        links = {
            name: (("127.0.0.1", relay_port), ("127.0.0.1", to))
            for name, (relay_port, to) in self.relay_ports.items()
        }
        plan = {"address": ("127.0.0.1", self.control), "links": links, "datagrams": [], "seed": 5}
        (folder / "relay.json").write_text(json.dumps(plan))
        self._run(
            "relay",
            "cedarshift.standins",
            "relay",
            str(folder / "relay.json"),
            str(folder / "record-relay.jsonl"),
        )
        self.start("store")
        for name in self.names:
            self.start(name)
        for x in self.spenders:
            plan = {
                "name": x,
                "address": ("127.0.0.1", self.control_ports[x]),
                "deployment": "spend",
                "secret": "a secret of sixteen",
                "pilots": {
                    p: ("127.0.0.1", self.relay_ports[f"{x}>{p}"][0])
                    for p in (homes or {}).get(x, self.names)
                },
                "wishes": {"retries": demand},
            }
            (folder / f"{x}.json").write_text(json.dumps(plan))
            self.start(x)

    def _run(self, name, *command):
        log = open(self.folder / f"log-{name}.txt", "ab")
        self.running[name] = subprocess.Popen([sys.executable, "-m", *command], stdout=log, stderr=log)

    def start(self, name):
        if name in self.spenders:
            self._run(
                name,
                "cedarshift.standins",
                "spender",
                str(self.folder / f"{name}.json"),
                str(self.folder / f"record-{name}.jsonl"),
            )
        elif name == "store":
            self._run(name, "cedarshift", "--log", "json", "store", "serve", str(self.folder / "store.hcl"))
        else:
            self._run(name, "cedarshift", "--log", "json", "pilot", str(self.folder / f"{name}.hcl"), name)

    def stop_all(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # ---- faults

    def kill(self, *names):
        for name in names:
            self.running[name].kill()
        for name in names:
            self.running.pop(name).wait()

    def leave(self, name):
        self.running[name].send_signal(signal.SIGTERM)
        assert self.running.pop(name).wait(10) == 0

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def post(self, port, order):
        with urllib.request.urlopen(
            f"http://127.0.0.1:{port}/control", json.dumps(order).encode(), 5
        ) as reply:
            assert reply.status == 200

    def set_store_link(self, name, direction, mode):
        """Sets a pilot's store link to mode "drop" or "pass" in direction "there" or "back"."""
        self.post(self.control, {"links": [f"{name}>store"], "mode": mode, "way": direction})

    def cut(self, sources, target, mode="drop"):
        """Sets the mode of links in both directions; "drop" loses data without closing them."""
        self.post(self.control, {"links": [f"{source}>{target}" for source in sources], "mode": mode})

    def joined_pilot(self, x):
        """Returns the pilot that a spender has joined last."""
        rows = [json.loads(line) for line in (self.folder / f"record-{x}.jsonl").read_bytes().splitlines()]
        return [row[2] for row in rows if row[1] == "joined"][-1]

    def set_demand(self, x, rate):
        self.post(self.control_ports[x], {"retries": rate})

    def copy_ledger(self, name):
        for suffix in ("", "-wal", "-shm"):
            one = self.folder / f"store.db-shares{suffix}"
            if one.exists():
                shutil.copy(one, self.folder / f"{name}{suffix}")

    def restore_ledger(self, name):
        for suffix in ("", "-wal", "-shm"):
            (self.folder / f"store.db-shares{suffix}").unlink(missing_ok=True)
            if (self.folder / f"{name}{suffix}").exists():
                shutil.copy(self.folder / f"{name}{suffix}", self.folder / f"store.db-shares{suffix}")

    # ---- results

    def spend_times(self, *spenders):
        """Returns the times of all spends, in s on the clock that all processes share."""
        found = []
        for x in spenders or self.spenders:
            path = self.folder / f"record-{x}.jsonl"
            for line in path.read_bytes().splitlines(keepends=True) if path.exists() else ():
                if line.endswith(b"\n"):
                    row = json.loads(line)
                    if row[1] == "spend":
                        found.append(row[0] / 1e6)
        return sorted(found)

    def rate(self, span, *spenders):
        """Returns the spends per second over the next `span` seconds."""
        begin = time.monotonic()
        time.sleep(span)
        return sum(begin <= at < begin + span for at in self.spend_times(*spenders)) / span

    def wait_for_rate(self, min_rate, timeout, *spenders):
        """Waits until the rate over one second is at least `min_rate`."""
        end = time.monotonic() + timeout
        while (got := self.rate(1.0, *spenders)) < min_rate:
            assert time.monotonic() < end, f"{got} a second after {timeout} s, {min_rate} expected"
        return got

    def excess(self, stops=0):
        """Returns the largest excess of any interval over rate, burst and a token per spender and stop."""
        max_excess, _ = beyond_rate([int(at * 1e6) for at in self.spend_times()], self.total_rate)
        return max_excess - (self.total_rate * BURST_S + len(self.spenders) + stops)

    def log(self, name, event):
        path = self.folder / f"log-{name}.txt"
        return [
            row
            for line in path.read_text().splitlines()
            if line.startswith("{") and (row := json.loads(line)).get("event") == event
        ]
