"""What stands on a rehearsal's stage: who there is, on which address and in which zone, and what the list says of it."""

from __future__ import annotations

import dataclasses
import os
import random
from typing import Any, Optional, Union

import msgspec

from cedarshift.deployment import Deployment
from cedarshift.deployment.deployment import LearningSettings, ListSettings, RosterSettings
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine
from cedarshift.rehearsal.day import SERVERS, Day, EndpointKind, Fault
from cedarshift.rehearsal.fleet import HOST, READY_WITHIN, Fleet, Ports, placed, write_deployment
from cedarshift.rehearsal.virtual import VirtualFleet, VirtualPorts
from cedarshift.standins.client import Burst, ClientOp, ClientPlan
from cedarshift.standins.endpoint import EndpointPlan, OwnNode
from cedarshift.standins.ensemble import EnsemblePlan
from cedarshift.standins.lists import ListPlan
from cedarshift.standins.proxy import ProxyPlan
from cedarshift.standins.record import Recorder
from cedarshift.standins.relay import RelayPlan

LEARNT = LearningSettings((), 20_000_000, 2_000_000, 2_000_000, 2_000_000, 0.05, True)
PATH = "/rehearsal/members"
HOLD = 1_000_000  # us that a vanished node may stay untold
ROOMY = 1e9  # a channel without limits, for the day that breaks rules on purpose


class Stage:
    """`fleet` and `ports` decide whether the programs are processes on loopback or hosts on a virtual clock."""

    def __init__(
        self,
        loop: Loop,
        day: Day,
        fleet: Union[Fleet, VirtualFleet],
        ports: Union[Ports, VirtualPorts],
        seed: int,
    ) -> None:
        self.loop = loop
        self.day = day
        self.seed = seed
        self.chance = random.Random(seed)
        self.fleet = fleet
        self.recorder = Recorder(loop, self.fleet.path("record-runner.jsonl"))
        self.ports = ports
        self.list_address = self.ports.take()
        deployment = dataclasses.replace(day.deployment, learn=LEARNT) if day.learn else day.deployment
        self.servers = [self.ports.take() for _ in range(SERVERS)] if day.roster == "zookeeper" else []
        self.deployment: Deployment = dataclasses.replace(
            placed(deployment, self.ports, fleet.folder, self.list_address),
            listed=self._listed(deployment.listed),
        )
        self.zones = list(self.deployment.zones) or [""]
        self.pilots = [p.name for p in self.deployment.pilots]
        self.proxies = [f"x{n}" for n in range(day.proxies)]
        self.endpoints: list[str] = []
        self.zone_of: dict[str, str] = {
            x: self.zones[n % len(self.zones)] for n, x in enumerate(self.proxies)
        }
        self.kind_of: dict[str, EndpointKind] = {}
        self.address_of: dict[str, tuple[str, int]] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.starts = 0
        self.writes = 0
        self.told: dict[str, dict[str, Any]] = {}
        self.doors: dict[str, tuple[str, int]] = {}
        for _ in range(day.endpoints):
            self.new_endpoint()
        for _ in range(day.spare_ports):  # known to the proxies from the start, as their zones are
            self._reserve()

    def _listed(self, listed: ListSettings) -> ListSettings:
        """The list's source as the pilots are told of it, before the relays stand between."""
        made = dataclasses.replace(listed, service=None, file="", saved="", nodes=None)
        if self.day.roster == "file":
            return dataclasses.replace(made, file="endpoints.json", refresh=250_000, asks=False)
        if self.day.roster == "service":
            return dataclasses.replace(made, service=self.list_address)
        nodes = listed.nodes or RosterSettings(
            (), PATH, self.day.session_timeout, "serverset", "", "recursive", True, HOLD, "", ()
        )
        return dataclasses.replace(
            made, nodes=dataclasses.replace(nodes, servers=tuple(self.servers)), asks=False
        )

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
        self.entries[name] = {
            "endpoint": _text(self.address_of[name]),
            "phase": "on",
            "size": round(kind.cores * kind.speed, 3),
            "zone": self.zone_of[name],
            "start": str(self.starts),
            "born_us": self.loop.now() if cold else self.loop.now() - 10 * rules.warm_within,
        }
        self.fleet.standin(
            name,
            "endpoint",
            EndpointPlan(
                name=_text(self.address_of[name]),
                address=self.address_of[name],
                zone=self.zone_of[name],
                cores=kind.cores,
                speed=kind.speed,
                queue=kind.queue,
                knee=2 * kind.cores + 16,
                cold_share=rules.cold_share,
                warm_within_us=rules.warm_within,
                tip_multiple=rules.tip_multiple,
                tip_after_us=rules.tip_after,
                warm=not cold,
                seed=self.seed * 1000 + self.starts,
                node=self._own_node(name),
            ),
            self.address_of[name],
        )

    def _own_node(self, name: str) -> Optional[OwnNode]:
        nodes = self.deployment.listed.nodes
        if nodes is None:
            return None
        entry = self.entries[name]
        return OwnNode(
            list(nodes.servers),
            nodes.path,
            nodes.session_timeout,
            nodes.format,
            entry["size"],
            entry["start"],
            name,
        )

    def announce(self, name: str, phase: str, after: int) -> None:
        """The list learns of it `after` us; an endpoint with a node of its own says so itself, at once."""
        entry = self.entries[name] = dict(self.entries[name], phase=phase)
        if self.day.roster != "zookeeper":
            self.loop.at(self.loop.now() + after, self._announce, entry)
        elif phase == "fading":
            self.loop.spawn(self.fleet.ask(name, "/control", {"drain": True}), "drain")

    def _announce(self, entry: dict[str, Any]) -> None:
        self.told[entry["endpoint"]] = entry
        if self.day.roster == "file":
            self._write_list([entry])
        else:
            self.loop.spawn(self._tell([entry]), "list")

    def _tell(self, entries: list[dict[str, Any]]) -> Coroutine:
        yield from self.fleet.ask("list", "/control", {"entries": entries})

    def _write_list(self, changed: list[dict[str, Any]]) -> None:
        """Whole, beside, and then in place. Each pilot counts as told now, though it looks a little later."""
        rows = [
            {key: e[key] for key in ("endpoint", "phase", "size", "zone", "start")}
            for _, e in sorted(self.told.items())
        ]
        part = self.fleet.write("endpoints.json.part", msgspec.json.encode({"endpoints": rows}))
        os.replace(part, self.fleet.path("endpoints.json"))
        self.writes += 1
        for name in self.pilots:
            self.recorder.note(
                "told", name, self.writes, [[e["endpoint"], e["phase"], e["start"]] for e in changed]
            )

    # ---- bringing it up

    def raise_curtain(self) -> Coroutine:
        """Starts all but the clients and waits until every slice has an owner at every proxy."""
        fleet, store = self.fleet, self.deployment.store
        assert store is not None
        self._start_list()
        for name in list(self.endpoints):
            self.start_endpoint(name, cold=False)
        main = write_deployment(self.deployment, fleet.path("deployment.hcl"))
        fleet.program("store", ["store", "serve", main], store.listen)
        self._start_relay(store.listen)
        yield from fleet.ready(["list", "relay", "store"])
        yield from self._fill_list()
        for place in self.deployment.pilots:
            file = write_deployment(self._seen_by(place.name), fleet.path(f"deployment-{place.name}.hcl"))
            fleet.program(place.name, ["pilot", file, place.name], place.listen)
        for name in self.proxies:
            self._start_proxy(name)
        yield from fleet.ready(self.endpoints + self.pilots + self.proxies)

    def _start_list(self) -> None:
        if self.day.roster == "zookeeper":
            nodes = self.deployment.listed.nodes
            assert nodes is not None
            self.fleet.standin(
                "list",
                "ensemble",
                EnsemblePlan(list(nodes.servers), self.list_address, nodes.path, nodes.format, self.seed),
                self.list_address,
            )
        else:
            self.fleet.standin(
                "list", "lists", ListPlan(self.list_address, self.day.list_ages), self.list_address
            )

    def _fill_list(self) -> Coroutine:
        """Until the list has every endpoint that was started."""
        self.told = {entry["endpoint"]: entry for entry in self.entries.values()}
        if self.day.roster == "service":
            yield from self._tell(list(self.entries.values()))
        elif self.day.roster == "file":
            self._write_list(list(self.entries.values()))
        else:
            until = self.loop.now() + READY_WITHIN
            while self.loop.now() < until:
                reply = yield from self.fleet.ask("list", "/state")
                if reply is not None and len(msgspec.json.decode(reply.body)["members"]) >= len(self.entries):
                    return
                yield from self.loop.sleep(50_000)
            raise TimeoutError("not every endpoint has registered itself")

    def _seen_by(self, pilot: str) -> Deployment:
        """A pilot reaches the store and the list by relays."""
        assert self.deployment.store is not None
        store = dataclasses.replace(self.deployment.store, listen=self.doors[f"{pilot}>store"])
        listed = self.deployment.listed
        if listed.nodes is not None:
            doors = tuple(self.doors[f"{pilot}>zk{n}"] for n in range(SERVERS))
            self.fleet.write(f"zk-auth-{pilot}", f"digest {pilot}:{pilot}\n".encode())
            listed = dataclasses.replace(
                listed, nodes=dataclasses.replace(listed.nodes, servers=doors, auth_file=f"zk-auth-{pilot}")
            )
        elif listed.service is not None:
            listed = dataclasses.replace(listed, service=self.doors[f"{pilot}>list"])
        pilots = tuple(
            place
            if place.gossip is None or place.name == pilot
            else dataclasses.replace(place, gossip=self.doors[f"{pilot}~{place.name}"])
            for place in self.deployment.pilots
        )
        seen = dataclasses.replace(self.deployment, store=store, listed=listed, pilots=pilots)
        if any(f.kind == "loose_pilots" for f in self.day.faults):
            loose = dataclasses.replace(seen.channel, lines_waiting_most=ROOMY, messages_most=0)
            seen = dataclasses.replace(seen, channel=loose)
        return seen

    def list_links(self, pilot: str) -> list[str]:
        return [f"{pilot}>zk{n}" for n in range(SERVERS)] if self.servers else [f"{pilot}>list"]

    def _start_relay(self, store: tuple[str, int]) -> None:
        links: dict[str, tuple[tuple[str, int], tuple[str, int]]] = {}
        for place in self.deployment.pilots:
            links[f"{place.name}>store"] = (self.ports.take(), store)
            for link in self.list_links(place.name):
                number = int(link[-1]) if self.servers else 0
                links[link] = (self.ports.take(), self.servers[number] if self.servers else self.list_address)
            for name in self.proxies:
                links[f"{name}>{place.name}"] = (self.ports.take(), place.listen)
        gossip = [
            (a, b)
            for a in self.deployment.pilots
            for b in self.deployment.pilots
            if a is not b and a.gossip is not None
        ]
        for one, other in gossip:
            assert other.gossip is not None
            links[f"{one.name}~{other.name}"] = (self.ports.take(), other.gossip)
        self.doors = {name: door for name, (door, _) in links.items()}
        control = self.ports.take()
        self.fleet.standin(
            "relay",
            "relay",
            RelayPlan(control, links, [f"{a.name}~{b.name}" for a, b in gossip], self.seed),
            control,
        )

    def _start_proxy(self, name: str) -> None:
        d, store = self.deployment, self.deployment.store
        assert store is not None
        bad = [f for f in self.day.faults if f.kind == "bad_proxy" and f"x{f.values['which']}" == name]
        address = self.ports.take()
        self.fleet.standin(
            name,
            "proxy",
            ProxyPlan(
                name=name,
                address=address,
                deployment=d.name,
                slices=d.slices,
                op_types=[(op.name, op.writes, op.op_timeout) for op in d.op_types],
                pilots={p: self.doors[f"{name}>{p}"] for p in self.pilots},
                store=store.listen,
                zone=self.zone_of[name],
                secret=d.secret.decode(),
                single_owner=d.single_owner,
                even=d.pick == "even",
                lease_us=d.proxy.lease,
                buffer_us=d.proxy.buffer_for,
                connect_us=d.proxy.connect_most,
                outlier_after=d.proxy.outlier_after,
                zones={_text(self.address_of[e]): self.zone_of[e] for e in self.address_of},
                kind=bad[0].values["how"] if bad else self.day.proxy_kind,
                let_in=list(self.day.let_in),
                favourite=self._favourite(bad),
                at_us=bad[0].at if bad else 0,
                seed=self.seed * 1000 + int(name[1:]),
            ),
            address,
        )

    def _favourite(self, bad: list[Fault]) -> str:
        """A pushy proxy sends to the endpoint that comes in first on this day."""
        first = f"e{self.day.endpoints}"
        return _text(self.address_of[first]) if bad and first in self.address_of else ""

    def start_clients(self, begin: int) -> list[str]:
        names = [f"c{n}" for n in range(self.day.clients)]
        shares = self.day.shares or {op.name: 1.0 for op in self.deployment.op_types}
        ops = [
            ClientOp(
                op.name, shares.get(op.name, 0.0), op.target_latency, op.op_timeout, op.repeats, self.day.work
            )
            for op in self.deployment.op_types
        ]
        for n, name in enumerate(names):
            self.fleet.standin(
                name,
                "client",
                ClientPlan(
                    name=name,
                    proxies={x: self.fleet.addresses[x] for x in self.proxies},
                    rate=self.day.rate / self.day.clients,
                    begin_us=begin,
                    length_us=self.day.length,
                    op_types=ops,
                    keys=self.day.keys,
                    zipf=self.day.zipf,
                    retries=self.day.retries,
                    bursts=self._bursts(),
                    seed=self.seed * 1000 + n,
                ),
                None,
            )
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
                made.append(
                    Burst(
                        fault.at, v["for"], toward=[x for x in self.proxies if self.zone_of[x] == v["zone"]]
                    )
                )
        return made


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


__all__ = ["HOST", "Stage"]
