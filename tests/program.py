"""Test fixtures: a loop on a virtual clock and a deployment's store, pilots and proxies in one process."""

import random

from cedarshift.agent import Agent, Tables
from cedarshift.agent.tables import OpKind
from cedarshift.codec import Identity
from cedarshift.deployment import load
from cedarshift.loop import Loop, listen
from cedarshift.loop.memory import MemoryNetwork, VirtualClock
from cedarshift.pilot import PilotService
from cedarshift.store.ledger import MemoryLedger
from cedarshift.store.service import StoreService

SECOND = 1_000_000

DEPLOYMENT_TEMPLATE = """
deployment "trial" {{
  slices = {slices}
  zones = ["z"]
  op_type "get" {{
    target_latency = "2s"
    op_timeout = "6s"
    repeats = "retryable"
  }}
  op_type "put" {{
    target_latency = "2s"
    op_timeout = "3s"
    repeats = "once-only"
    writes = true
  }}
  {pilots}
  store {{
    listen = "127.0.0.1:7000"
    path = "store.db"
  }}
  list {{ file = "list.json" }}
  channel {{
    lines_per_s = {lines_per_s}
  }}
  proxy {{
    in_flight_most = "3s"
    report_every = "500ms"
    {proxy}
  }}
  {learn}
}}
"""


def virtual_loop(delay=200):
    """A loop on a virtual clock and an in-memory network; `events` holds what was reported on it."""
    clock = VirtualClock()
    events = []
    loop = Loop(
        clock, MemoryNetwork(clock, lambda: delay), lambda event, **fields: events.append((event, fields))
    )
    loop.events = events
    return loop


def write_list(folder, endpoints, name="list.json"):
    """Writes the endpoint list, a sequence of (endpoint, phase, start), atomically."""
    rows = ", ".join('{"endpoint": "%s", "phase": "%s", "start": "%s", "zone": "z"}' % e for e in endpoints)
    part = folder / (name + ".part")
    part.write_text('{"endpoints": [%s]}' % rows)
    part.rename(folder / name)


def deployment(folder, pilots=2, slices=8, lines_per_s=6000, proxy="", endpoints="abcd", learn=""):
    """Writes a deployment file and its endpoint list, and loads it."""
    pilot_blocks = "\n".join(f'pilot "p{i}" {{ listen = "127.0.0.1:{7100 + i}" }}' for i in range(pilots))
    path = folder / "trial.hcl"
    path.write_text(
        DEPLOYMENT_TEMPLATE.format(
            slices=slices, pilots=pilot_blocks, lines_per_s=lines_per_s, proxy=proxy, learn=learn
        )
    )
    write_list(folder, [(e, "on", "1") for e in endpoints])
    return load(str(path))


class Fleet:
    """Store, pilots and proxies of a deployment on one loop."""

    def __init__(self, loop, deployment, proxies=3, ledger=None):
        self.loop, self.deployment = loop, deployment
        self.ledger = ledger or MemoryLedger(deployment.slices)
        self.store, self.pilots, self.agents = self.new_store(), {}, {}
        for pilot in deployment.pilots:
            self.new_pilot(pilot.name)
        for n in range(proxies):
            self.new_agent(f"x{n}")

    def new_store(self):
        d, store = self.deployment, self.deployment.store
        return StoreService(
            self.loop,
            listen(self.loop, store.listen),
            self.ledger,
            Identity(d.name, "store", "store", "", d.secret),
            [p.name for p in d.pilots],
            store.session_lease,
            store.takeover,
            store.back_after,
        )

    def new_pilot(self, name, seed=7, deployment=None):
        listener = listen(self.loop, self.deployment.pilot(name).listen)
        self.pilots[name] = PilotService(
            self.loop, listener, deployment or self.deployment, name, seed, self.loop.report
        )
        return self.pilots[name]

    def new_agent(self, name):
        d, rng = self.deployment, random.Random(name)
        tables = Tables(
            d.slices, [OpKind(op.name, op.writes) for op in d.op_types], d.single_owner, d.proxy.lease, True
        )
        self.agents[name] = Agent(
            self.loop,
            Identity(d.name, "proxy", name, "z", d.secret),
            {p.name: p.listen for p in d.pilots},
            d.store.listen,
            tables,
            rng.random,
        )
        return self.agents[name]

    def run(self, seconds):
        """Runs the loop for this long on its virtual clock."""
        self.loop.run(self.loop.spawn(self.loop.sleep(int(seconds * SECOND)), "wait"))

    def owners(self, name="x0"):
        """Slice -> owner, as known to a proxy."""
        return {n: held.owner for n, held in self.agents[name].tables.held.items()}


def kill(fleet, service):
    """Simulates SIGKILL: all tasks stop and all streams end without a message."""
    for task in list(service.tasks) + ([service.store.task] if getattr(service, "store", None) else []):
        task.cancel()
    service.listener.close()
    links = [s.link for s in getattr(service, "proxies", {}).values()] + list(
        getattr(service, "peers", {}).values()
    )
    if getattr(service, "store", None) and service.store.link:
        links.append(service.store.link)
    for link in links:
        link.stream.close()
    if hasattr(service, "brain"):
        service.source.stop()
        if service.learning is not None:
            service.learning.stop()
        service._pull_decisions = lambda: None
        service.pulling = True


class Watcher:
    """Checks single ownership by polling where each proxy would send a write of each slice.

    After the last proxy may send to one owner, none may send to another until the settle time is over.
    """

    STEP = 4_000  # us between polls

    def __init__(self, fleet, writes=1):
        self.fleet, self.writes, self.violations = fleet, writes, []
        self.last, self.owner, self.permitted, self.moves = {}, {}, 0, 0
        fleet.loop.spawn(self.watch(), "watcher")

    def watch(self):
        loop, settle = self.fleet.loop, self.fleet.deployment.proxy.in_flight_most
        while True:
            now = loop.now()
            for agent in self.fleet.agents.values():
                if now < agent.applying_until:
                    continue
                for number in agent.tables.held:
                    picked = agent.tables.pick(now, number, self.writes, 0.5)
                    if hasattr(picked, "endpoint"):
                        self.permit(now, number, picked.endpoint, settle)
            yield from loop.sleep(self.STEP)

    def permit(self, now, number, endpoint, settle):
        """Records that a proxy may write to an endpoint; too soon after a former owner is a violation."""
        self.permitted += 1
        former = self.owner.get(number)
        if former not in (None, endpoint):
            self.moves += 1
            if now - self.last[number, former] < settle - self.STEP:
                self.violations.append((now, number, former, endpoint))
        self.owner[number] = endpoint
        self.last[number, endpoint] = now
