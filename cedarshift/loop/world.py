"""Deterministic simulation of many hosts in one process, with a virtual clock and an in-memory network.

Each host has its own loop, as a separate process would. Hosts can be killed (their streams end and their
tasks never run again), paused (the network goes on without them) and replaced by new ones. Time advances only
when no host can run. The seed determines the order in which hosts run and the delay of each message, so equal
seeds give equal runs.
"""

from __future__ import annotations

import random
from typing import Any, Callable, Optional

from cedarshift.loop.core import Loop, Task
from cedarshift.loop.memory import (
    MemoryAcceptor,
    MemoryAttempt,
    MemoryDatagramSocket,
    MemoryNetwork,
    MemoryTransport,
    ReadyCallback,
    VirtualClock,
)

TRANSPORT_CLEANUP_THRESHOLD = 256  # transports added between two removals of closed ones


class Deadlock(Exception):
    """Every host waits and no event is scheduled, so the main task can never finish."""


class HostClock:
    """A host's monotonic clock: the world's clock times `rate`, plus `offset` (us)."""

    def __init__(self, clock: VirtualClock, rate: float = 1.0, offset: int = 0) -> None:
        self.clock = clock
        self.rate = rate
        self.offset = offset

    def now(self) -> int:
        return (
            self.clock.time
            if self.rate == 1.0 and not self.offset
            else int(self.clock.time * self.rate) + self.offset
        )

    def to_world_time(self, at: int) -> int:
        """The earliest world time at which this clock shows `at` or later."""
        if self.rate == 1.0:
            return at - self.offset
        found = int((at - self.offset) / self.rate)
        while int(found * self.rate) + self.offset < at:
            found += 1
        return found


class HostNetwork:
    """The network as seen by one host: what is opened through it belongs to that host and ends with it."""

    def __init__(self, host: Host, network: MemoryNetwork) -> None:
        self.host = host
        self.network = network

    def poll(self, wait: Optional[int]) -> None:
        raise RuntimeError("the loop of a simulated host is run by its world and must not poll")

    def listen(self, address: tuple[str, int]) -> MemoryAcceptor:
        acceptor = self.network.listen(address, self.host)
        self.host.acceptors.append(acceptor)
        return acceptor

    def dial(self, address: tuple[str, int]) -> MemoryAttempt:
        return self.network.dial(address, self.host)

    def datagrams(self, address: tuple[str, int]) -> MemoryDatagramSocket:
        port = self.network.datagrams(address, self.host)
        self.host.ports.append(port)
        return port


class Host:
    """A simulated process. `alive` until it is killed or has stopped its loop."""

    def __init__(
        self,
        world: World,
        name: str,
        report: Optional[Callable[..., None]] = None,
        clock: Optional[HostClock] = None,
    ) -> None:
        self.world = world
        self.name = name
        self.clock = clock or HostClock(world.clock)
        self.loop = Loop(self.clock, HostNetwork(self, world.network), report)
        self.acceptors: list[MemoryAcceptor] = []
        self.ports: list[MemoryDatagramSocket] = []  # datagram sockets
        self.transports: list[MemoryTransport] = []
        self.compact_at = TRANSPORT_CLEANUP_THRESHOLD  # number of transports at which closed ones are removed
        self.alive = True
        self.paused = False
        self.deferred_events: list[
            tuple[ReadyCallback, bool, bool, bool]
        ] = []  # readiness events that arrived while paused

    def deliver(self, call: ReadyCallback, readable: bool, writable: bool, hung_up: bool) -> None:
        """Runs a readiness callback, once the host is resumed if it is paused."""
        if self.paused:
            self.deferred_events.append((call, readable, writable, hung_up))
        elif self.alive:
            call(readable, writable, hung_up)
            self.world.mark_runnable(self)

    def add_transport(self, transport: MemoryTransport) -> None:
        """Registers a transport to be closed when the host ends."""
        self.transports.append(transport)
        if len(self.transports) >= self.compact_at:
            self.transports = [candidate for candidate in self.transports if not candidate.closed]
            self.compact_at = len(self.transports) + TRANSPORT_CLEANUP_THRESHOLD

    def end(self) -> None:
        """Ends the host as a process exit would: everything it has open is closed and unsent data is lost."""
        if not self.alive:
            return
        self.alive = False
        self.paused = False
        self.deferred_events.clear()
        for acceptor in self.acceptors:
            acceptor.close()
        for port in self.ports:
            port.close()
        for transport in self.transports:
            transport.close()
        self.transports.clear()
        self.world.remove_host(self)

    def pause(self) -> None:
        """Suspends the host; readiness events are kept until `resume`."""
        self.paused = self.alive
        self.world.runnable.pop(self, None)

    def resume(self) -> None:
        """Continues a paused host with the events that arrived meanwhile."""
        if self.paused:
            self.paused = False
            deferred_events, self.deferred_events = self.deferred_events, []
            for event in deferred_events:
                self.deliver(*event)
            self.world.mark_runnable(self)


class World:
    """Hosts with a common clock and network. `delay(rng)` draws the one-way latency in microseconds."""

    def __init__(self, seed: int, delay: Optional[Callable[[random.Random], int]] = None) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        draw = delay or (lambda rng: 100 + rng.randrange(200))
        self.network = MemoryNetwork(self.clock, lambda: draw(self.rng), self.rng)
        self.hosts: dict[Host, Optional[int]] = {}  # live hosts -> world time of their next work
        self.runnable: dict[Host, None] = {}  # used as an ordered set
        self.passes = 0  # loop passes so far, of all hosts
        self.after_pass: Optional[Callable[[Host], None]] = None  # called after each pass of a host
        self.ended_hosts: list[Host] = []  # kept so that their generators are not finalized during a run

    def dispose(self) -> None:
        """Ends all hosts and closes the generators of their tasks, rather than leave that to the garbage
        collector."""
        for host in [*self.hosts, *self.ended_hosts]:
            host.end()
            for task in list(host.loop.tasks):
                try:
                    task.run.close()
                except Exception:  # errors of `finally` clauses are irrelevant here
                    pass
            host.loop.tasks.clear()
            host.loop.timers.clear()
            host.loop.ready.clear()
        self.ended_hosts.clear()

    def host(
        self, name: str, report: Optional[Callable[..., None]] = None, rate: float = 1.0, offset: int = 0
    ) -> Host:
        """Adds a host; `rate` and `offset` (us) are those of its clock."""
        new_host = Host(self, name, report, HostClock(self.clock, rate, offset))
        self.hosts[new_host] = None
        self.mark_runnable(new_host)
        return new_host

    def mark_runnable(self, host: Host) -> None:
        """Has the host's loop run at the current time, unless it is paused or has ended."""
        if host.alive and not host.paused:
            self.runnable[host] = None

    def remove_host(self, host: Host) -> None:
        """Stops scheduling a host that has ended."""
        if host in self.hosts:
            del self.hosts[host]
            self.ended_hosts.append(host)
        self.runnable.pop(host, None)

    def run(self, main: Task) -> Any:
        """Runs until `main`, a task of one of the hosts, finishes. Returns its result or raises its error.

        Raises Deadlock if it can never finish."""
        for host in list(self.hosts):  # tasks or timers may have been added from outside
            self.mark_runnable(host)
        while not main.done:
            if self.runnable:
                self._run_host(self._pick_host())
            else:
                self._advance_time()
        if main.error is not None:
            raise main.error
        return main.result

    def _pick_host(self) -> Host:
        """Picks a runnable host at random, since real processes run in no particular order."""
        if len(self.runnable) == 1:
            return next(iter(self.runnable))
        return list(self.runnable)[self.rng.randrange(len(self.runnable))]

    def _run_host(self, host: Host) -> None:
        self.passes += 1
        del self.runnable[host]
        host.loop.run_pass()
        if self.after_pass is not None:
            self.after_pass(host)
        if not host.alive:
            return
        if host.loop.stopping:
            host.end()
            return
        if host.loop.ready:
            self.mark_runnable(host)
        due = host.loop.next_due()
        self.hosts[host] = None if due is None else host.clock.to_world_time(due)

    def _advance_time(self) -> None:
        due = [at for host, at in self.hosts.items() if at is not None and not host.paused]
        next_event = self.network.next_due()
        if next_event is not None:
            due.append(next_event)
        if not due:
            raise Deadlock(
                f"at {self.clock.time} us: {', '.join(host.name for host in self.hosts)} wait forever"
            )
        self.clock.time = max(self.clock.time, min(due))
        self.network.run_due()
        for host, at in self.hosts.items():
            if at is not None and at <= self.clock.time:
                self.mark_runnable(host)


__all__ = ["Host", "HostClock", "Deadlock", "World"]
