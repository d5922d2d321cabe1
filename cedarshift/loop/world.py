"""Many hosts in one process, on one virtual clock and one network in memory: each has a loop of its own, as a process has.

A host can be killed (its streams end, its tasks are never run again), paused (it stands still while the network goes on)
and started anew. Time passes only when no host has anything to run, so a run of minutes takes seconds, and the same seed
gives the same run: the order in which hosts run within an instant, and how long each message takes, come from it.
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

TRANSPORT_CLEANUP_THRESHOLD = 256  # closed pipes are forgotten whenever a host has come to hold so many more


class Deadlock(Exception):
    """Every host waits and nothing is due: the main task can never end."""


class HostClock:
    """A host's own monotonic clock: it may run a little faster or slower than the world's, and begins where it likes."""

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
        """The world's time at which this clock shows `at`, or more."""
        if self.rate == 1.0:
            return at - self.offset
        found = int((at - self.offset) / self.rate)
        while int(found * self.rate) + self.offset < at:
            found += 1
        return found


class HostNetwork:
    """The network as one host sees it."""

    def __init__(self, host: Host, network: MemoryNetwork) -> None:
        self.host = host
        self.network = network

    def poll(self, wait: Optional[int]) -> None:
        raise RuntimeError("the world runs this host's loop; it does not wait by itself")

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
    """One program's place. `alive` until it is killed or has stopped its loop."""

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
        self.ports: list[MemoryDatagramSocket] = []
        self.transports: list[MemoryTransport] = []
        self.compact_at = TRANSPORT_CLEANUP_THRESHOLD
        self.alive = True
        self.paused = False
        self.deferred_events: list[
            tuple[ReadyCallback, bool, bool, bool]
        ] = []  # edges that came while it stood still

    def deliver(self, call: ReadyCallback, readable: bool, writable: bool, hung_up: bool) -> None:
        if self.paused:
            self.deferred_events.append((call, readable, writable, hung_up))
        elif self.alive:
            call(readable, writable, hung_up)
            self.world.mark_runnable(self)

    def add_transport(self, transport: MemoryTransport) -> None:
        self.transports.append(transport)
        if len(self.transports) >= self.compact_at:
            self.transports = [one for one in self.transports if not one.closed]
            self.compact_at = len(self.transports) + TRANSPORT_CLEANUP_THRESHOLD

    def end(self) -> None:
        """As when a process ends, however it does: the machine closes what it had open; what it had not sent is lost."""
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
        self.paused = self.alive
        self.world.runnable.pop(self, None)

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            deferred_events, self.deferred_events = self.deferred_events, []
            for edge in deferred_events:
                self.deliver(*edge)
            self.world.mark_runnable(self)


class World:
    """`delay(chance)` draws the microseconds that a message takes one way."""

    def __init__(self, seed: int, delay: Optional[Callable[[random.Random], int]] = None) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        draw = delay or (lambda rng: 100 + rng.randrange(200))
        self.network = MemoryNetwork(self.clock, lambda: draw(self.rng), self.rng)
        self.hosts: dict[Host, Optional[int]] = {}  # living hosts -> when each has something to run
        self.runnable: dict[Host, None] = {}  # those that have something now, in the order they came
        self.passes = 0
        self.after_pass: Optional[Callable[[Host], None]] = None  # who looks at everything after each step
        self.ended_hosts: list[
            Host
        ] = []  # ended hosts: their tasks' last clauses must not run in the middle of a run

    def dispose(self) -> None:
        """Ends what is left of all tasks, here and now: a collector would do it anywhere, in the middle of other work too."""
        for host in [*self.hosts, *self.ended_hosts]:
            host.end()
            for task in list(host.loop.tasks):
                try:
                    task.run.close()
                except Exception:  # a last clause that finds its world gone tells nothing
                    pass
            host.loop.tasks.clear()
            host.loop.timers.clear()
            host.loop.ready.clear()
        self.ended_hosts.clear()

    def host(
        self, name: str, report: Optional[Callable[..., None]] = None, rate: float = 1.0, offset: int = 0
    ) -> Host:
        new_host = Host(self, name, report, HostClock(self.clock, rate, offset))
        self.hosts[new_host] = None
        self.mark_runnable(new_host)
        return new_host

    def mark_runnable(self, host: Host) -> None:
        if host.alive and not host.paused:
            self.runnable[host] = None

    def remove_host(self, host: Host) -> None:
        if host in self.hosts:
            del self.hosts[host]
            self.ended_hosts.append(host)
        self.runnable.pop(host, None)

    def run(self, main: Task) -> Any:
        """Until `main`, a task of one of the hosts, has ended; its result. Raises its error, and Hung."""
        for host in list(self.hosts):  # whatever was spawned or set from outside counts too
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
        """Any of those that may run: real processes keep no order, and nothing may lean on one."""
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
        coming = self.network.next_due()
        if coming is not None:
            due.append(coming)
        if not due:
            raise Deadlock(
                f"at {self.clock.time} us: {', '.join(host.name for host in self.hosts)} wait for ever"
            )
        self.clock.time = max(self.clock.time, min(due))
        self.network.run_due()
        for host, at in self.hosts.items():
            if at is not None and at <= self.clock.time:
                self.mark_runnable(host)


__all__ = ["Host", "HostClock", "Deadlock", "World"]
