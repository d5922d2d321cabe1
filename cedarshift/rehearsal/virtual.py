"""A rehearsal's programs as hosts of one process, on a virtual clock: the same code, the same records, a run by its seed.

What it leaves out: hosts share no processor, so a step takes no time however long it computes, and a store's commit is
durable at once. So latencies are those of waits and of the stand-ins' work; rules and service can be held against each
other seed by seed, which on a loaded machine they can't.
"""

from __future__ import annotations

import importlib
import os
import random
import signal
from typing import Any, Optional

import msgspec

from cedarshift.budgets.desk import ShareAllocator, open_share_allocator
from cedarshift.budgets.ledger import MemoryShareLedger
from cedarshift.budgets.pilot import open_budgets
from cedarshift.codec import Identity
from cedarshift.deployment import Deployment, load
from cedarshift.gossip.service import Membership, MembershipConfig
from cedarshift.loop import Loop, listen
from cedarshift.loop.core import Coroutine
from cedarshift.loop.world import Host, World
from cedarshift.overload.start import open_overload
from cedarshift.pilot import PilotService
from cedarshift.pilot.admin import admin_handler
from cedarshift.pilot.rights import attach_claims
from cedarshift.rehearsal.fleet import HOST, Folk
from cedarshift.store.ledger import MemoryLedger
from cedarshift.store.service import StoreService
from cedarshift.web import serve_http

FIRST_PORT = 20_000
LAST_WORDS = 300_000  # us for the last frames to leave after a stop, as in the real program
START = (
    120_000,
    400_000,
)  # us that a program takes to come up: the least, and a spread; an interpreter takes that


class VirtualPorts:
    def __init__(self) -> None:
        self.next = FIRST_PORT

    def take(self) -> tuple[str, int]:
        self.next += 1
        return (HOST, self.next)

    def release(self) -> None:
        pass


class VirtualFleet(Folk):
    """As `fleet.Fleet`, name by name; `loop` is that of the host on which the rehearsal itself runs."""

    def __init__(self, world: World, loop: Loop, folder: str, seed: int) -> None:
        super().__init__(loop, folder)
        self.world = world
        self.seed = seed
        self.chance = random.Random(f"fleet {seed}")
        self.running: dict[str, Host] = {}
        self.leaving: dict[str, Host] = {}
        self.services: dict[str, Any] = {}  # what runs on each host, for tests that look inside
        self.commands: dict[str, tuple[str, list[str], bytes]] = {}
        self.logs: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.ledgers: dict[str, MemoryLedger] = {}  # a disk outlives the program
        self.shares: dict[str, MemoryShareLedger] = {}

    # ---- programs

    def standin(self, name: str, kind: str, plan: msgspec.Struct, address: Optional[tuple[str, int]]) -> None:
        self.commands[name] = ("standin", [kind], msgspec.json.encode(plan))
        if address is not None:
            self.addresses[name] = address
        self.start(name)

    def program(self, name: str, arguments: list[str], address: tuple[str, int]) -> None:
        self.commands[name] = (arguments[0], arguments[1:], b"")
        self.addresses[name] = address
        self.start(name)

    def start(self, name: str) -> None:
        host = self.world.host(name, self._reporter(name))
        self.running[name] = host
        self.starts[name] = self.starts.get(name, 0) + 1
        least, spread = START
        host.loop.at(self.loop.now() + least + self.chance.randrange(spread), self._begin, name, host)

    def _reporter(self, name: str) -> Any:
        if name not in self.logs:
            self.logs[name] = os.open(
                self.path(f"log-{name}.txt"), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
            )

        def report(event: str, **fields: Any) -> None:
            told = {"at_us": self.loop.now(), "event": event, **fields}
            if name in self.logs:
                os.write(self.logs[name], msgspec.json.encode(told, enc_hook=str) + b"\n")

        return report

    def _begin(self, name: str, host: Host) -> None:
        self._put_away(name)
        what, arguments, plan = self.commands[name]
        if what == "standin":
            module = importlib.import_module(f"cedarshift.standins.{arguments[0]}")
            self.services[name] = module.run(host.loop, plan, self.path(f"record-{name}.jsonl"))
        elif what == "store":
            self.services[name] = self._store(host.loop, load(arguments[-1]))
        else:
            self.services[name] = self._pilot(host.loop, load(arguments[0]), name)

    def _store(self, loop: Loop, deployment: Deployment) -> StoreService:
        place = deployment.store
        assert place is not None
        ledger = self.ledgers.setdefault(place.path, MemoryLedger(deployment.slices))
        identity = Identity(deployment.name, "store", "store", "", deployment.secret)
        return StoreService(
            loop,
            listen(loop, place.listen),
            ledger,
            identity,
            [p.name for p in deployment.pilots],
            place.session_lease,
            place.takeover,
            place.back_after,
            self._challenge("store"),
            self._desk(loop, deployment),
        )

    def _desk(self, loop: Loop, deployment: Deployment) -> Optional[ShareAllocator]:
        if deployment.budgets is None or deployment.store is None:
            return None
        ledger = self.shares.setdefault(deployment.store.path, MemoryShareLedger())
        return open_share_allocator(
            loop, deployment.budgets, len(deployment.pilots), self._life("store"), ledger
        )

    def _life(self, name: str) -> int:
        return 1 + random.Random(f"{self.seed} life of {name} {self.starts[name]}").getrandbits(52)

    def _pilot(self, loop: Loop, deployment: Deployment, name: str) -> PilotService:
        place = deployment.pilot(name)
        seed = random.Random(f"{self.seed} {name} {self.starts[name]}").getrandbits(64)
        service = PilotService(
            loop, listen(loop, place.listen), deployment, name, seed, loop.report, self._challenge(name)
        )
        service.membership = self._membership(loop, deployment, name, seed)
        service.budgets = open_budgets(
            loop, deployment.budgets, len(deployment.pilots), self._life(name), loop.report
        )
        attach_claims(service)
        service.overload = open_overload(loop, deployment, service, self._life(name), loop.report)
        if place.admin is not None:
            loop.spawn(serve_http(loop, listen(loop, place.admin), admin_handler(service)), "admin")
        return service

    def _membership(self, loop: Loop, deployment: Deployment, name: str, seed: int) -> Optional[Membership]:
        if deployment.membership is None:
            return None
        addresses = {place.name: place.gossip for place in deployment.pilots if place.gossip is not None}
        start = (self.starts[name] << 20) | (
            seed & 0xFFFFF
        )  # a later life has a higher one, as a wall clock gives
        return Membership(
            loop,
            MembershipConfig(deployment.membership.period, addresses),
            name,
            deployment.name,
            deployment.secret,
            start,
            seed,
            loop.report,
        )

    def _challenge(self, name: str) -> Any:
        chance = random.Random(f"{self.seed} challenges of {name} {self.starts[name]}")
        return lambda: chance.randbytes(16)

    # ---- ends

    def kill(self, name: str) -> None:
        host = self.running.pop(name, None) or self.leaving.pop(name, None)
        if host is not None:
            host.end()
            with open(self.path(f"record-{name}.jsonl"), "ab") as record:  # what it had in hand ended here
                record.write(msgspec.json.encode([self.loop.now(), "died"]) + b"\n")

    def leave(self, name: str) -> None:
        host = self.running.pop(name, None)
        if host is not None:
            self.leaving[name] = host
            membership = getattr(self.services[name], "membership", None)
            if membership is not None:
                membership.leave()
            self.services[name].stop()
            host.loop.at(self.loop.now() + LAST_WORDS, host.loop.stop)
            self.world.mark_runnable(host)

    def signal(self, name: str, number: int) -> None:
        host = self.running.get(name)
        if host is None:
            return
        if number == signal.SIGSTOP:
            host.pause()
        elif number == signal.SIGCONT:
            host.resume()
        elif number == signal.SIGHUP:
            host.loop.at(self.loop.now(), self._reload, name)
            self.world.mark_runnable(host)

    def _reload(self, name: str) -> None:
        self.services[name].reload(load(self.commands[name][1][0]))

    def alive(self, name: str) -> bool:
        host = self.running.get(name)
        return host is not None and host.alive

    def ended(self) -> list[str]:
        gone = [name for name, host in self.running.items() if not host.alive]
        for name in gone:
            del self.running[name]
        return [f"{name} (exit 0)" for name in gone]

    def _put_away(self, name: str) -> None:
        """The record of a life that is over: a hunt plays many days in one process, and files must not stay open."""
        recorder = getattr(self.services.pop(name, None), "recorder", None)
        if recorder is not None:
            recorder.close()

    def stop_all(self) -> None:
        for host in [*self.running.values(), *self.leaving.values()]:
            host.end()
        for name in list(self.services):
            self._put_away(name)
        for log in self.logs.values():
            os.close(log)
        self.logs.clear()
        self.running.clear()
        self.leaving.clear()

    # ---- talking to them

    def ready(self, names: list[str]) -> Coroutine:
        """Until all take connections."""
        for name in names:
            while self.addresses[name] not in self.world.network.acceptors:
                yield from self.loop.sleep(20_000)


__all__ = ["VirtualFleet", "VirtualPorts"]
