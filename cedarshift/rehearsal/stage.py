"""What stands on a rehearsal's stage: who there is, on which address and in which zone, and what the list says of it."""
from __future__ import annotations

import dataclasses
import random
from typing import Any, Union

from cedarshift.deployment import Deployment
from cedarshift.deployment.deployment import LearnTerms
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine
from cedarshift.rehearsal.day import Day, EndpointKind, Fault
from cedarshift.rehearsal.fleet import HOST, Fleet, Ports, placed, write_deployment
from cedarshift.rehearsal.virtual import VirtualFleet, VirtualPorts
from cedarshift.standins.client import Burst, ClientOp, ClientPlan
from cedarshift.standins.endpoint import EndpointPlan
from cedarshift.standins.lists import ListPlan
from cedarshift.standins.proxy import ProxyPlan
from cedarshift.standins.record import Recorder
from cedarshift.standins.relay import RelayPlan

LEARNT = LearnTerms((), 20_000_000, 2_000_000, 2_000_000, 2_000_000, 0.05, True)
ROOMY = 1e9               # a channel without limits, for the day that breaks rules on purpose


class Stage:
    """`fleet` and `ports` decide whether the programs are processes on loopback or hosts on a virtual clock."""

    def __init__(self, loop: Loop, day: Day, fleet: Union[Fleet, VirtualFleet], ports: Union[Ports, VirtualPorts],
                 seed: int) -> None:
        self.loop = loop
        self.day = day
        self.seed = seed
        self.chance = random.Random(seed)
        self.fleet = fleet
        self.recorder = Recorder(loop, self.fleet.path("record-runner.jsonl"))
        self.ports = ports
        self.list_address = self.ports.take()
        deployment = dataclasses.replace(day.deployment, learn=LEARNT) if day.learn else day.deployment
        self.deployment: Deployment = placed(deployment, self.ports, fleet.folder, self.list_address)
        self.zones = list(self.deployment.zones) or [""]
        self.pilots = [p.name for p in self.deployment.pilots]
        self.proxies = [f"x{n}" for n in range(day.proxies)]
        self.endpoints: list[str] = []
        self.zone_of: dict[str, str] = {x: self.zones[n % len(self.zones)] for n, x in enumerate(self.proxies)}
        self.kind_of: dict[str, EndpointKind] = {}
        self.address_of: dict[str, tuple[str, int]] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.starts = 0
        self.doors: dict[str, tuple[str, int]] = {}
        for _ in range(day.endpoints):
            self.new_endpoint()
        for _ in range(day.spare_ports):     # known to the proxies from the start, as their zones are
            self._reserve()

    # ---- endpoints

    def _reserve(self) -> None:
        name = f"e{len(self.address_of)}"
        self.address_of[name] = self.ports.take()
        self.zone_of[name] = self.zones[(len(self.address_of) - 1) % len(self.zones)]
        self.kind_of[name] = self.chance.choices(self.day.kinds, [k.share for k in self.day.kinds])[0]

    def new_endpoint(self, like: str = "") -> str:
        """The next endpoint; a replacement is of the kind and zone of the one it follows."""
        name = f"e{len(self.endpoints)}"
        if name not in self.address_of:
            self._reserve()
        if like:
            self.kind_of[name], self.zone_of[name] = self.kind_of[like], self.zone_of[like]
        self.endpoints.append(name)
        return name

    def start_endpoint(self, name: str, cold: bool) -> None:
        kind, rules, self.starts = self.kind_of[name], self.deployment.rules, self.starts + 1
        self.entries[name] = {"endpoint": _text(self.address_of[name]), "phase": "on", "size": round(kind.cores * kind.speed, 3),
                              "zone": self.zone_of[name], "start": str(self.starts),
                              "born_us": self.loop.now() if cold else self.loop.now() - 10 * rules.warm_within}
        self.fleet.standin(name, "endpoint", EndpointPlan(
            name=_text(self.address_of[name]), address=self.address_of[name], zone=self.zone_of[name], cores=kind.cores,
            speed=kind.speed, queue=kind.queue, knee=2 * kind.cores + 16, cold_share=rules.cold_share,
            warm_within_us=rules.warm_within, tip_multiple=rules.tip_multiple, tip_after_us=rules.tip_after,
            warm=not cold, seed=self.seed * 1000 + self.starts), self.address_of[name])

    def announce(self, name: str, phase: str, after: int) -> None:
        """The list learns of it `after` us."""
        entry = dict(self.entries[name], phase=phase)
        self.loop.at(self.loop.now() + after, self._announce, entry)

    def _announce(self, entry: dict[str, Any]) -> None:
        self.loop.spawn(self._tell([entry]), "list")

    def _tell(self, entries: list[dict[str, Any]]) -> Coroutine:
        yield from self.fleet.ask("list", "/control", {"entries": entries})

    # ---- bringing it up

    def raise_curtain(self) -> Coroutine:
        """Starts all but the clients and waits until every slice has an owner at every proxy."""
        fleet, store = self.fleet, self.deployment.store
        assert store is not None
        fleet.standin("list", "lists", ListPlan(self.list_address, self.day.list_ages), self.list_address)
        for name in list(self.endpoints):
            self.start_endpoint(name, cold=False)
        main = write_deployment(self.deployment, fleet.path("deployment.hcl"))
        fleet.program("store", ["store", "serve", main], store.listen)
        self._start_relay(store.listen)
        yield from fleet.ready(["list", "relay", "store"])
        yield from self._tell(list(self.entries.values()))
        for place in self.deployment.pilots:
            file = write_deployment(self._seen_by(place.name), fleet.path(f"deployment-{place.name}.hcl"))
            fleet.program(place.name, ["pilot", file, place.name], place.listen)
        for name in self.proxies:
            self._start_proxy(name)
        yield from fleet.ready(self.endpoints + self.pilots + self.proxies)

    def _seen_by(self, pilot: str) -> Deployment:
        """A pilot reaches the store and the list by relays."""
        assert self.deployment.store is not None
        store = dataclasses.replace(self.deployment.store, listen=self.doors[f"{pilot}>store"])
        listed = dataclasses.replace(self.deployment.listed, service=self.doors[f"{pilot}>list"])
        seen = dataclasses.replace(self.deployment, store=store, listed=listed)
        if any(f.kind == "loose_pilots" for f in self.day.faults):
            loose = dataclasses.replace(seen.channel, lines_waiting_most=ROOMY, messages_most=0)
            seen = dataclasses.replace(seen, channel=loose)
        return seen

    def _start_relay(self, store: tuple[str, int]) -> None:
        links: dict[str, tuple[tuple[str, int], tuple[str, int]]] = {}
        for place in self.deployment.pilots:
            links[f"{place.name}>store"] = (self.ports.take(), store)
            links[f"{place.name}>list"] = (self.ports.take(), self.list_address)
            for name in self.proxies:
                links[f"{name}>{place.name}"] = (self.ports.take(), place.listen)
        self.doors = {name: door for name, (door, _) in links.items()}
        control = self.ports.take()
        self.fleet.standin("relay", "relay", RelayPlan(control, links), control)

    def _start_proxy(self, name: str) -> None:
        d, store = self.deployment, self.deployment.store
        assert store is not None
        bad = [f for f in self.day.faults if f.kind == "bad_proxy" and f"x{f.values['which']}" == name]
        address = self.ports.take()
        self.fleet.standin(name, "proxy", ProxyPlan(
            name=name, address=address, deployment=d.name, slices=d.slices,
            op_types=[(op.name, op.writes, op.op_timeout) for op in d.op_types],
            pilots={p: self.doors[f"{name}>{p}"] for p in self.pilots}, store=store.listen, zone=self.zone_of[name],
            secret=d.secret.decode(), single_owner=d.single_owner, even=d.pick == "even", lease_us=d.proxy.lease,
            buffer_us=d.proxy.buffer_for, connect_us=d.proxy.connect_most, outlier_after=d.proxy.outlier_after,
            zones={_text(self.address_of[e]): self.zone_of[e] for e in self.address_of},
            kind=bad[0].values["how"] if bad else "plain", favourite=self._favourite(bad), at_us=bad[0].at if bad else 0,
            seed=self.seed * 1000 + int(name[1:])), address)

    def _favourite(self, bad: list[Fault]) -> str:
        """A pushy proxy sends to the endpoint that comes in first on this day."""
        first = f"e{self.day.endpoints}"
        return _text(self.address_of[first]) if bad and first in self.address_of else ""

    def start_clients(self, begin: int) -> list[str]:
        names = [f"c{n}" for n in range(self.day.clients)]
        shares = self.day.shares or {op.name: 1.0 for op in self.deployment.op_types}
        ops = [ClientOp(op.name, shares.get(op.name, 0.0), op.target_latency, op.op_timeout, op.repeats, self.day.work)
               for op in self.deployment.op_types]
        for n, name in enumerate(names):
            self.fleet.standin(name, "client", ClientPlan(
                name=name, proxies={x: self.fleet.addresses[x] for x in self.proxies},
                rate=self.day.rate / self.day.clients, begin_us=begin, length_us=self.day.length, op_types=ops,
                keys=self.day.keys, zipf=self.day.zipf, retries=self.day.retries, bursts=self._bursts(),
                seed=self.seed * 1000 + n), None)
        return names

    def _bursts(self) -> list[Burst]:
        made = []
        for n, fault in enumerate(self.day.faults):
            v = fault.values
            if fault.kind == "burst":
                made.append(Burst(fault.at, v["for"], times=v["times"]))
            elif fault.kind == "hot_key":
                made.append(Burst(fault.at, v["for"], hot=v["share"], key=f"hot{n}"))
            elif fault.kind == "shift":
                made.append(Burst(fault.at, v["for"], toward=[x for x in self.proxies if self.zone_of[x] == v["zone"]]))
        return made


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


__all__ = ["HOST", "Stage"]
