"""The processes of a rehearsal: ports, plans, starts, kills; each writes a record and a log into the run's folder."""

from __future__ import annotations

import dataclasses
import os
import signal
import subprocess
import sys
from typing import Any, Optional, Protocol

import msgspec

from cedarshift.deployment import Deployment
from cedarshift.deployment.render import render
from cedarshift.loop import Listener, Loop, StreamBroken, TimedOut, dial, listen
from cedarshift.loop.core import Coroutine
from cedarshift.web import Pool

HOST = "127.0.0.1"
BLOCK, BLOCKS = 200, 60
FIRST_PORT = 20_000  # below the ports that the system hands out for outgoing connections
READY_WITHIN = 20_000_000  # us for a process to take connections


class Ports:
    """Free ports of the loopback address, each given once. A block of them belongs to one run: its first port is held,
    so that rehearsals side by side do not take each other's."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        first = os.getpid() % BLOCKS
        self.held: list[Listener] = []
        self.next = self.last = 0
        self.blocks = [FIRST_PORT + (first + n) % BLOCKS * BLOCK for n in range(BLOCKS)]
        self._claim()

    def _claim(self) -> None:
        while self.blocks:
            base = self.blocks.pop(0)
            try:
                self.held.append(listen(self.loop, (HOST, base)))
            except OSError:
                continue
            self.next, self.last = base + 1, base + BLOCK
            return
        raise OSError("no block of ports is free on the loopback address")

    def take(self) -> tuple[str, int]:
        while True:
            if self.next >= self.last:
                self._claim()
            self.next += 1
            try:
                listen(self.loop, (HOST, self.next - 1)).close()
                return (HOST, self.next - 1)
            except OSError:
                continue

    def release(self) -> None:
        for listener in self.held:
            listener.close()


class Folk:
    """What programs have in common, be they processes or hosts of a world: a folder, addresses, and control calls."""

    def __init__(self, loop: Loop, folder: str) -> None:
        self.loop = loop
        self.folder = folder
        self.addresses: dict[str, tuple[str, int]] = {}
        self.pool = Pool(loop, 1_000_000)

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def write(self, name: str, content: bytes) -> str:
        with open(self.path(name), "wb") as out:
            out.write(content)
        return self.path(name)

    def ask(self, name: str, target: str, order: Optional[dict[str, Any]] = None) -> Coroutine:
        """A control call; None where the process does not answer."""
        try:
            reply = yield from self.pool.request(
                self.addresses[name],
                "GET" if order is None else "POST",
                target,
                [],
                b"" if order is None else msgspec.json.encode(order),
                self.loop.now() + 1_000_000,
            )
            return reply
        except (StreamBroken, TimedOut):
            return None


class Fleet(Folk):
    """Processes by name: "store", "p0", "e3", "x2", "c0", "list", "relay"."""

    def __init__(self, loop: Loop, folder: str) -> None:
        super().__init__(loop, folder)
        self.running: dict[str, subprocess.Popen] = {}
        self.leaving: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}

    # ---- processes

    def standin(self, name: str, kind: str, plan: msgspec.Struct, address: Optional[tuple[str, int]]) -> None:
        file = self.write(f"plan-{name}.json", msgspec.json.encode(plan))
        self.commands[name] = [
            sys.executable,
            "-m",
            "cedarshift.standins",
            kind,
            file,
            self.path(f"record-{name}.jsonl"),
        ]
        if address is not None:
            self.addresses[name] = address
        self.start(name)

    def program(self, name: str, arguments: list[str], address: tuple[str, int]) -> None:
        self.commands[name] = [sys.executable, "-m", "cedarshift", "--log", "json", *arguments]
        self.addresses[name] = address
        self.start(name)

    def start(self, name: str) -> None:
        with open(self.path(f"log-{name}.txt"), "ab") as log:
            self.running[name] = subprocess.Popen(
                self.commands[name], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        process = self.running.pop(name, None) or self.leaving.pop(name, None)
        if process is not None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            with open(self.path(f"record-{name}.jsonl"), "ab") as record:  # what it had in hand ended here
                record.write(msgspec.json.encode([self.loop.now(), "died"]) + b"\n")

    def leave(self, name: str) -> None:
        """Asks it to end by itself; a `kill` later takes away what has not."""
        process = self.running.pop(name, None)
        if process is not None:
            process.send_signal(signal.SIGTERM)
            self.leaving[name] = process

    def signal(self, name: str, number: int) -> None:
        process = self.running.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def alive(self, name: str) -> bool:
        process = self.running.get(name)
        return process is not None and process.poll() is None

    def ended(self) -> list[str]:
        """Processes that ended by themselves since the last look, with their codes."""
        gone = [
            (name, process.returncode) for name, process in self.running.items() if process.poll() is not None
        ]
        for name, _ in gone:
            del self.running[name]
        return [f"{name} (exit {code})" for name, code in gone]

    def stop_all(self) -> None:
        self.running.update(self.leaving)
        for name in list(self.running):
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        for name, process in list(self.running.items()):
            try:
                process.wait(3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running.clear()

    # ---- talking to them

    def ready(self, names: list[str]) -> Coroutine:
        """Until all take connections. Raises TimeoutError with the name and the end of its log."""
        until = self.loop.now() + READY_WITHIN
        for name in names:
            while True:
                try:
                    stream = yield from dial(self.loop, self.addresses[name], 500_000)
                    stream.close()
                    break
                except StreamBroken:
                    if self.loop.now() > until or not self.alive(name):
                        with open(self.path(f"log-{name}.txt"), errors="replace") as log:
                            raise TimeoutError(f"{name} does not start: {log.read()[-600:]}") from None
                    yield from self.loop.sleep(20_000)


class TakesPorts(Protocol):
    def take(self) -> tuple[str, int]: ...


def placed(
    deployment: Deployment, ports: TakesPorts, folder: str, list_address: tuple[str, int]
) -> Deployment:
    """The deployment with free ports in place of its own, its list from the rehearsal's service."""
    pilots = tuple(
        dataclasses.replace(
            p,
            listen=ports.take(),
            admin=ports.take(),
            gossip=ports.take() if deployment.membership is not None else None,
        )
        for p in deployment.pilots
    )
    store = deployment.store
    if store is not None:
        store = dataclasses.replace(store, listen=ports.take(), path="store.db", embedded=False)
    listed = dataclasses.replace(deployment.listed, service=list_address, file="", saved="")
    return dataclasses.replace(
        deployment, pilots=pilots, store=store, listed=listed, file=os.path.join(folder, "deployment.hcl")
    )


def write_deployment(deployment: Deployment, path: str) -> str:
    secret = ""
    if deployment.secret:
        secret = "secret"
        with open(os.path.join(os.path.dirname(path), secret), "wb") as out:
            out.write(deployment.secret + b"\n")
    with open(path, "w", encoding="utf-8") as text:
        text.write(render(deployment, secret))
    return path
