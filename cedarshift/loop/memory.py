"""A simulated network and clock in memory, without sockets: time advances only when the network is polled.

Transports have latency, a bounded buffer and can be reset. A single loop may use the network directly. If
several hosts share it (`loop/world.py`), each transport, acceptor and attempt has an owner, which receives
its readiness events.
"""

from __future__ import annotations

import errno
import functools
import heapq
import random
from collections import deque
from typing import Any, Callable, Optional, Protocol

ReadyCallback = Callable[[bool, bool, bool], None]
Address = tuple[str, int]

MAX_BUFFERED_BYTES = 65_536  # sent but not yet read, per direction
MAX_ACCEPT_QUEUE = 1_024  # connections waiting to be accepted; further dials get no answer
MAX_QUEUED_DATAGRAMS = 256  # per socket; further ones are dropped
RETRANSMIT_DELAY_US = 200_000  # added to the link's delay for a lost stream segment


class Owner(Protocol):
    """A host on the network: `deliver` runs a readiness callback in it, `add_transport` adds a transport.

    Its `name` attribute, if any, identifies it in `MemoryNetwork.link_conditions`."""

    alive: bool

    def deliver(self, call: ReadyCallback, readable: bool, writable: bool, hung_up: bool) -> None: ...
    def add_transport(self, transport: MemoryTransport) -> None: ...


def _notify_owner(
    owner: Optional[Owner], call: ReadyCallback, readable: bool, writable: bool, hung_up: bool
) -> None:
    if owner is None:
        call(readable, writable, hung_up)
    else:
        owner.deliver(call, readable, writable, hung_up)


class VirtualClock:
    """A clock in microseconds that is advanced explicitly."""

    def __init__(self, start: int = 1_000_000) -> None:
        self.time = start

    def now(self) -> int:
        return self.time


class LinkConditions:
    """Impairments of traffic in one direction between two hosts.

    `loss`: probability that a datagram is dropped or a stream segment is delayed by RETRANSMIT_DELAY_US.
    `duplicated`: probability that a datagram arrives twice."""

    def __init__(
        self, loss: float = 0.0, delay: int = 0, jitter: int = 0, duplicated: float = 0.0, cut: bool = False
    ) -> None:
        self.loss = loss
        self.delay = delay  # us; added to the network's own for datagrams, its lower bound for streams
        self.jitter = jitter  # us at most, drawn per datagram, so that they may be reordered
        self.duplicated = duplicated
        self.cut = cut  # datagrams are dropped, dials get no answer, stream data waits until it is repaired


class MemoryNetwork:
    """`delay()` returns the one-way latency in microseconds. `refused_addresses` refuse connections.
    `link_conditions` holds the impairments by the names of (source, target) host; `rng` draws them."""

    def __init__(
        self,
        clock: VirtualClock,
        delay: Optional[Callable[[], int]] = None,
        rng: Optional[random.Random] = None,
    ) -> None:
        self.rng = rng or random.Random(0)
        self.link_conditions: dict[tuple[str, str], LinkConditions] = {}
        self.blocked: dict[
            tuple[str, str], list[tuple[MemoryTransport, Callable[[], None]]]
        ] = {}  # stream data waiting for a cut link to be repaired
        self.ports: dict[Address, MemoryDatagramSocket] = {}  # open datagram sockets
        self.clock = clock
        self.delay = delay or (lambda: 100)
        self.acceptors: dict[tuple[str, int], MemoryAcceptor] = {}
        self.refused_addresses: set[tuple[str, int]] = set()
        self.due: list[tuple[int, int, Callable[[], None]]] = []  # heap of (time, sequence, call)
        self.event_sequence = 0
        self.next_port = 40_000  # port numbers assigned automatically start above it
        self.segmenter: Optional[Callable[[bytes], list[bytes]]] = None  # splits one write into segments
        self.max_accept_queue = MAX_ACCEPT_QUEUE
        self.dropped_dials = 0  # because the accept queue was full

    def call_later(self, delay: int, call: Callable[[], None]) -> int:
        """Schedules `call` in `delay` microseconds; returns that time."""
        self.event_sequence += 1
        at = self.clock.time + delay
        heapq.heappush(self.due, (at, self.event_sequence, call))
        return at

    def next_due(self) -> Optional[int]:
        """The time of the next event, or None."""
        return self.due[0][0] if self.due else None

    def run_due(self) -> None:
        """Runs all events that are due."""
        while self.due and self.due[0][0] <= self.clock.time:
            heapq.heappop(self.due)[2]()

    def poll(self, wait: Optional[int]) -> None:
        """Advances the clock to the next event, or by `wait` microseconds if none is due before that.

        Raises RuntimeError if `wait` is None and no event is scheduled."""
        limit = None if wait is None else self.clock.time + wait
        if self.due and (limit is None or self.due[0][0] <= limit):
            self.clock.time = max(self.clock.time, self.due[0][0])
            self.run_due()
        elif limit is None:
            raise RuntimeError("deadlock: every task waits and no event is scheduled")
        else:
            self.clock.time = limit

    def conditions(self, source: Optional[Owner], target: Optional[Owner]) -> Optional[LinkConditions]:
        """Returns the impairments of traffic from `source` to `target`, None if there are none."""
        if not self.link_conditions:
            return None
        return self.link_conditions.get((getattr(source, "name", ""), getattr(target, "name", "")))

    def set_link_conditions(self, source: str, target: str, conditions: Optional[LinkConditions]) -> None:
        """Sets the conditions of traffic from host `source` to host `target`, None for unimpaired.

        Unless they cut the link, stream data that waited for its repair is delivered."""
        if conditions is None:
            self.link_conditions.pop((source, target), None)
        else:
            self.link_conditions[source, target] = conditions
        if conditions is None or not conditions.cut:
            for transport, call in self.blocked.pop((source, target), []):
                transport._schedule_arrival(0, call)

    def datagrams(self, address: Address, owner: Optional[Owner] = None) -> MemoryDatagramSocket:
        host, port = address
        if not port:
            self.next_port += 1
            port = self.next_port
        if (host, port) in self.ports:
            raise OSError(errno.EADDRINUSE, f"{host}:{port}: address already in use")
        new_socket = self.ports[host, port] = MemoryDatagramSocket(self, (host, port), owner)
        return new_socket

    def listen(self, address: tuple[str, int], owner: Optional[Owner] = None) -> MemoryAcceptor:
        host, port = address
        if not port:
            self.next_port += 1
            port = self.next_port
        if (host, port) in self.acceptors:
            raise OSError(errno.EADDRINUSE, f"{host}:{port}: address already in use")
        acceptor = self.acceptors[host, port] = MemoryAcceptor(self, (host, port), owner)
        return acceptor

    def dial(self, address: tuple[str, int], owner: Optional[Owner] = None) -> MemoryAttempt:
        return MemoryAttempt(self, address, owner)


class MemoryTransport:
    """One side of an in-memory byte stream."""

    def __init__(self, network: MemoryNetwork, owner: Optional[Owner] = None) -> None:
        self.network = network
        self.owner = owner
        self.peer: Optional[MemoryTransport] = None
        self.inbox: deque[bytes] = deque()
        self.buffered_bytes = 0  # sent to this side and not read yet
        self.last_arrival = 0  # time (us) at which the newest segment arrives, to keep the stream in order
        self.call: Optional[ReadyCallback] = None
        self.finished = False  # the peer has shut down its sending side
        self.reset = False
        self.closed = False
        if owner is not None:
            owner.add_transport(self)

    def watch(self, call: ReadyCallback) -> None:
        self.call = call

    def recv(self, max_bytes: int) -> Optional[bytes]:
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        if not self.inbox:
            return b"" if self.finished else None
        data = b"".join(self.inbox)  # as on a socket, one read may return the data of several writes
        self.inbox.clear()
        if len(data) > max_bytes:
            self.inbox.append(data[max_bytes:])
            data = data[:max_bytes]
        full = self.buffered_bytes >= MAX_BUFFERED_BYTES
        self.buffered_bytes -= len(data)
        peer = self.peer
        if full and peer is not None:
            self.network.call_later(0, lambda: peer._notify(False, True))
        return data

    def send(self, view: Any) -> int:
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        peer = self.peer
        if peer is None or peer.closed:
            raise OSError(errno.EPIPE, "broken pipe")
        data = bytes(view[: max(0, MAX_BUFFERED_BYTES - peer.buffered_bytes)])
        if data:
            peer.buffered_bytes += len(data)
            for piece in [data] if self.network.segmenter is None else self.network.segmenter(data):
                self._transmit(peer, functools.partial(peer._arrive, piece))
        return len(data)

    def _transmit(self, peer: MemoryTransport, call: Callable[[], None]) -> None:
        conditions = self.network.conditions(self.owner, peer.owner)
        if conditions is not None and conditions.cut:
            key = (getattr(self.owner, "name", ""), getattr(peer.owner, "name", ""))
            self.network.blocked.setdefault(key, []).append((peer, call))
            return
        peer._schedule_arrival(
            0
            if conditions is None
            else conditions.delay
            + (RETRANSMIT_DELAY_US if self.network.rng.random() < conditions.loss else 0),
            call,
        )

    def _schedule_arrival(self, min_delay: int, call: Callable[[], None]) -> None:
        """Schedules `call` after everything already on its way to this side."""
        at = max(self.last_arrival, self.network.clock.time + max(min_delay, self.network.delay()))
        self.last_arrival = self.network.call_later(at - self.network.clock.time, call)

    def _arrive(self, data: bytes) -> None:
        if not self.closed:
            self.inbox.append(data)
            self._notify(True, False)

    def _notify(self, readable: bool, writable: bool) -> None:
        if self.call is not None and not self.closed:
            _notify_owner(self.owner, self.call, readable, writable, self.reset)

    def _finish(self) -> None:
        self.finished = True
        self._notify(True, False)

    def finish_writing(self) -> None:
        """Shuts down the sending side; the peer's data can still be read."""
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        if self.peer is not None:
            self._transmit(self.peer, self.peer._finish)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.peer is not None:
                self._transmit(self.peer, self.peer._finish)

    def abort(self) -> None:
        """Resets both sides at once; data in flight is lost."""
        for side in (self, self.peer):
            if side is not None:
                side.reset = True
                side._notify(True, True)


class MemoryDatagramSocket:
    """A datagram socket whose traffic is impaired according to the link conditions.

    `send` returns False only if the socket is closed: a datagram lost on the way counts as sent."""

    def __init__(self, network: MemoryNetwork, address: Address, owner: Optional[Owner] = None) -> None:
        self.network = network
        self.address = address
        self.owner = owner
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.call: Optional[ReadyCallback] = None
        self.closed = False

    def recv(self) -> Optional[tuple[bytes, Address]]:
        return self.inbox.popleft() if self.inbox else None

    def send(self, data: bytes, address: Address) -> bool:
        network = self.network
        target = network.ports.get(address)
        if self.closed or target is None:
            return not self.closed
        conditions, rng = network.conditions(self.owner, target.owner), network.rng
        if conditions is not None and (conditions.cut or rng.random() < conditions.loss):
            return True
        for _ in range(2 if conditions is not None and rng.random() < conditions.duplicated else 1):
            extra_delay = (
                0 if conditions is None else conditions.delay + int(rng.random() * conditions.jitter)
            )
            network.call_later(
                network.delay() + extra_delay, functools.partial(target._arrive, data, self.address)
            )
        return True

    def _arrive(self, data: bytes, source: Address) -> None:
        if (
            self.closed
            or len(self.inbox) >= MAX_QUEUED_DATAGRAMS
            or (self.owner is not None and not self.owner.alive)
        ):
            return
        self.inbox.append((data, source))
        if self.call is not None:
            _notify_owner(self.owner, self.call, True, False, False)

    def watch(self, call: ReadyCallback) -> None:
        self.call = call

    def close(self) -> None:
        self.closed = True
        if self.network.ports.get(self.address) is self:
            del self.network.ports[self.address]


class MemoryAcceptor:
    """A listening address with its accept queue."""

    def __init__(
        self, network: MemoryNetwork, address: tuple[str, int], owner: Optional[Owner] = None
    ) -> None:
        self.network = network
        self.owner = owner
        self.address = address
        self.queue: deque[MemoryTransport] = deque()
        self.call: Optional[ReadyCallback] = None

    def accept(self) -> Optional[tuple[MemoryTransport, str]]:
        return (self.queue.popleft(), "memory") if self.queue else None

    def watch(self, call: ReadyCallback) -> None:
        self.call = call

    def close(self) -> None:
        if self.network.acceptors.get(self.address) is self:  # the address may have been reused
            del self.network.acceptors[self.address]


class MemoryAttempt:
    """A connect in progress; see `SocketAttempt`."""

    def __init__(
        self, network: MemoryNetwork, address: tuple[str, int], owner: Optional[Owner] = None
    ) -> None:
        self.network = network
        self.owner = owner
        self.address = address
        self.transport: Optional[MemoryTransport] = None
        self.failed = False
        self.call: Optional[ReadyCallback] = None
        network.call_later(network.delay(), self._connect)

    def _connect(self) -> None:
        if self.owner is not None and not self.owner.alive:
            return
        acceptor = self.network.acceptors.get(self.address)
        for conditions in (
            (
                self.network.conditions(self.owner, acceptor.owner),
                self.network.conditions(acceptor.owner, self.owner),
            )
            if acceptor
            else ()
        ):
            if conditions is not None and conditions.cut:
                return  # no answer: the dial times out
        if acceptor is not None and len(acceptor.queue) >= self.network.max_accept_queue:
            self.network.dropped_dials += 1
            return
        if acceptor is None or self.address in self.network.refused_addresses:
            self.failed = True
        else:
            near, far = (
                MemoryTransport(self.network, self.owner),
                MemoryTransport(self.network, acceptor.owner),
            )
            near.peer, far.peer = far, near
            self.transport = near
            acceptor.queue.append(far)
            if acceptor.call is not None:
                _notify_owner(acceptor.owner, acceptor.call, True, False, False)
        if self.call is not None:
            _notify_owner(self.owner, self.call, False, True, False)

    def poll(self) -> Optional[MemoryTransport]:
        if self.failed:
            raise OSError(errno.ECONNREFUSED, "connection refused")
        return self.transport

    def watch(self, call: ReadyCallback) -> None:
        self.call = call

    def close(self) -> None:
        self.call = None
