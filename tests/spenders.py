"""A store, pilots and spenders as processes with a relay on each of their links, faults between them, and what was spent when."""

import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

from pilots import free_ports

from cedarshift.rehearsal.rules import beyond_rate

WHOLE = 40  # retries a second of the whole fleet
BURST = 0.1  # s
LEASE = 2.0  # s
PROXY_LEASE = 1.0  # s
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
      rate = {whole}
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
    def __init__(
        self,
        folder,
        pilots=3,
        spenders=4,
        whole=WHOLE,
        floor=2,
        wishes=30.0,
        lease=LEASE,
        proxy_lease=PROXY_LEASE,
        text=TEXT,
        homes=None,
    ):
        """`homes`: by spender the pilots that it may join; all where it is not named."""
        self.folder, self.whole, self.floor = folder, whole, floor
        self.names = [f"p{n}" for n in range(pilots)]
        self.spenders = [f"x{n}" for n in range(spenders)]
        self.running = {}
        ports = iter(free_ports(2 + 3 * pilots + spenders * (1 + pilots)))
        self.store_at, self.control = next(ports), next(ports)
        self.listen = {name: next(ports) for name in self.names}
        self.admin = {name: next(ports) for name in self.names}
        self.doors = {f"{name}>store": (next(ports), self.store_at) for name in self.names}
        self.doors.update(
            {f"{x}>{p}": (next(ports), self.listen[p]) for x in self.spenders for p in self.names}
        )
        self.at = {x: next(ports) for x in self.spenders}
        (folder / "list.json").write_text('{"endpoints": [{"endpoint": "e", "phase": "on", "start": "1"}]}')
        (folder / "secret").write_text("a secret of sixteen\n")
        for name in [*self.names, "store"]:
            rows = "\n".join(
                f'pilot "{p}" {{\n listen = "127.0.0.1:{self.listen[p]}"\n admin = "127.0.0.1:{self.admin[p]}"\n }}'
                for p in self.names
            )
            store = self.store_at if name == "store" else self.doors[f"{name}>store"][0]
            (folder / f"{name}.hcl").write_text(
                text.format(
                    pilots=rows,
                    store=store,
                    lease=lease,
                    proxy_lease=proxy_lease,
                    whole=whole,
                    burst=BURST,
                    floor=floor,
                )
            )
        links = {name: (("127.0.0.1", door), ("127.0.0.1", to)) for name, (door, to) in self.doors.items()}
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
                "address": ("127.0.0.1", self.at[x]),
                "deployment": "spend",
                "secret": "a secret of sixteen",
                "pilots": {
                    p: ("127.0.0.1", self.doors[f"{x}>{p}"][0]) for p in (homes or {}).get(x, self.names)
                },
                "wishes": {"retries": wishes},
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

    def end(self):
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

    def way(self, name, way, mode):
        """Of a pilot's link to the store: "there" or "back"; mode "drop" or "pass"."""
        self.post(self.control, {"links": [f"{name}>store"], "mode": mode, "way": way})

    def cut(self, sources, target, mode="drop"):
        """Both ways of the links, in silence: neither end can tell."""
        self.post(self.control, {"links": [f"{source}>{target}" for source in sources], "mode": mode})

    def home(self, x):
        """The pilot that a spender is joined to, by its record."""
        rows = [json.loads(line) for line in (self.folder / f"record-{x}.jsonl").read_bytes().splitlines()]
        return [row[2] for row in rows if row[1] == "joined"][-1]

    def wish(self, x, rate):
        self.post(self.at[x], {"retries": rate})

    def copy_ledger(self, name):
        for suffix in ("", "-wal", "-shm"):
            one = self.folder / f"store.db-shares{suffix}"
            if one.exists():
                shutil.copy(one, self.folder / f"{name}{suffix}")

    def put_ledger(self, name):
        for suffix in ("", "-wal", "-shm"):
            (self.folder / f"store.db-shares{suffix}").unlink(missing_ok=True)
            if (self.folder / f"{name}{suffix}").exists():
                shutil.copy(self.folder / f"{name}{suffix}", self.folder / f"store.db-shares{suffix}")

    # ---- what was spent

    def spends(self, *spenders):
        """Times (s) on the machine's clock, which all processes share."""
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
        """Spends a second in a span (s) that begins now."""
        begin = time.monotonic()
        time.sleep(span)
        return sum(begin <= at < begin + span for at in self.spends(*spenders)) / span

    def until_rate(self, least, periods, *spenders):
        """Waits until so many a second are spent over a second."""
        end = time.monotonic() + periods
        while (got := self.rate(1.0, *spenders)) < least:
            assert time.monotonic() < end, f"{got} a second after {periods} s, {least} wanted"
        return got

    def over(self, stops=0):
        """By how much the worst span of any length passes whole x (span + burst) + one token a spender and one a stop."""
        worst, _ = beyond_rate([int(at * 1e6) for at in self.spends()], self.whole)
        return worst - (self.whole * BURST + len(self.spenders) + stops)

    def log(self, name, event):
        path = self.folder / f"log-{name}.txt"
        return [
            row
            for line in path.read_text().splitlines()
            if line.startswith("{") and (row := json.loads(line)).get("event") == event
        ]
