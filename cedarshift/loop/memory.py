"""A network and a clock that live in memory: time passes only when every task waits. One process, no sockets.

The pipes delay by a stated time, hold a bounded number of bytes and can be cut. One loop may use the network by itself;
where several do (`loop/world.py`), each pipe, door and attempt belongs to one host, which hears of its edges.
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

MAX_BUFFERED_BYTES = 65_536  # bytes on the way in one direction, as in a small socket buffer
MAX_ACCEPT_QUEUE = 1_024  # connections that wait to be accepted; beyond, a dial is left without an answer
MAX_QUEUED_DATAGRAMS = 256  # datagrams that wait to be read, as in a socket's buffer
RETRANSMIT_DELAY_US = 200_000  # us; a piece of a stream that is lost comes so much later


class Owner(Protocol):
    """A host among several: `hear` passes an edge on, when the host runs; `adopt` learns of a pipe of its own."""

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
    def __init__(self, start: int = 1_000_000) -> None:
        self.time = start

    def now(self) -> int:
        return self.time


class LinkConditions:
    """What befalls what one host sends to another; the way back has a state of its own. Shares are from 0 to 1."""

    def __init__(
        self, loss: float = 0.0, delay: int = 0, jitter: int = 0, duplicated: float = 0.0, cut: bool = False
    ) -> None:
        self.loss = loss
        self.delay = delay  # us, beside the network's own
        self.jitter = jitter  # us at most, drawn for each datagram by itself: they overtake each other
        self.duplicated = duplicated
        self.cut = cut  # datagrams are lost; bytes of streams wait until it is mended


class MemoryNetwork:
    """`delay(source, target)` gives the microseconds of one way; `refuse` holds addresses that do not answer. `ways` holds what
    is wrong between hosts, by (source, target); `chance` draws it."""

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
        ] = {}  # what waits in a stream for a cut to be mended
        self.ports: dict[Address, MemoryDatagramSocket] = {}
        self.clock = clock
        self.delay = delay or (lambda: 100)
        self.acceptors: dict[tuple[str, int], MemoryAcceptor] = {}
        self.refused_addresses: set[tuple[str, int]] = set()
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.event_sequence = 0
        self.next_port = 40_000
        self.segmenter: Optional[Callable[[bytes], list[bytes]]] = (
            None  # how what is sent at once comes in several
        )
        self.max_accept_queue = MAX_ACCEPT_QUEUE
        self.dropped_dials = 0  # dials that found a full queue

    def call_later(self, span: int, call: Callable[[], None]) -> int:
        self.event_sequence += 1
        at = self.clock.time + span
        heapq.heappush(self.due, (at, self.event_sequence, call))
        return at

    def next_due(self) -> Optional[int]:
        return self.due[0][0] if self.due else None

    def run_due(self) -> None:
        while self.due and self.due[0][0] <= self.clock.time:
            heapq.heappop(self.due)[2]()

    def poll(self, wait: Optional[int]) -> None:
        limit = None if wait is None else self.clock.time + wait
        if self.due and (limit is None or self.due[0][0] <= limit):
            self.clock.time = max(self.clock.time, self.due[0][0])
            self.run_due()
        elif limit is None:
            raise RuntimeError("every task waits, and nothing is due: the program hangs")
        else:
            self.clock.time = limit

    def conditions(self, source: Optional[Owner], target: Optional[Owner]) -> Optional[LinkConditions]:
        if not self.link_conditions:
            return None
        return self.link_conditions.get((getattr(source, "name", ""), getattr(target, "name", "")))

    def set_link_conditions(self, source: str, target: str, conditions: Optional[LinkConditions]) -> None:
        """From now on; None for sound. What waited for a cut passes on, in its order."""
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
        made = self.ports[host, port] = MemoryDatagramSocket(self, (host, port), owner)
        return made

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
    def __init__(self, network: MemoryNetwork, owner: Optional[Owner] = None) -> None:
        self.network = network
        self.owner = owner
        self.peer: Optional[MemoryTransport] = None
        self.inbox: deque[bytes] = deque()
        self.buffered_bytes = 0  # bytes sent to this side and not read yet
        self.last_arrival = 0  # when the newest of them does: streams keep their order
        self.call: Optional[ReadyCallback] = None
        self.finished = False  # the other side will send no more
        self.reset = False
        self.closed = False
        if owner is not None:
            owner.add_transport(self)

    def watch(self, call: ReadyCallback) -> None:
        self.call = call

    def recv(self, most: int) -> Optional[bytes]:
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        if not self.inbox:
            return b"" if self.finished else None
        data = b"".join(self.inbox)  # less than was asked for means, as on a socket, that no more is there
        self.inbox.clear()
        if len(data) > most:
            self.inbox.append(data[most:])
            data = data[:most]
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

    def _schedule_arrival(self, late: int, call: Callable[[], None]) -> None:
        """After all that is on its way to this side: streams keep their order, also what a cut had held."""
        at = max(self.last_arrival, self.network.clock.time + max(late, self.network.delay()))
        self.last_arrival = self.network.call_later(at - self.network.clock.time, call)

    def _arrive(self, data: bytes) -> None:
        if not self.closed:
            self.inbox.append(data)
            self._notify(True, False)

    def _notify(self, readable: bool, writable: bool) -> None:
        if self.call is not None and not self.closed:
            _notify_owner(self.owner, self.call, readable, writable, self.finished or self.reset)

    def _finish(self) -> None:
        self.finished = True
        self._notify(True, False)

    def finish_writing(self) -> None:
        """The peer comes to the end; what it sends still arrives here."""
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
        """Resets both sides at once; what was on the way is lost."""
        for side in (self, self.peer):
            if side is not None:
                side.reset = True
                side._notify(True, True)


class MemoryDatagramSocket:
    """Datagrams of one address: lost, late, doubled and out of order as its ways say."""

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
            late = 0 if conditions is None else conditions.delay + int(rng.random() * conditions.jitter)
            network.call_later(network.delay() + late, functools.partial(target._arrive, data, self.address))
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
        if self.network.acceptors.get(self.address) is self:  # the address may be another's by now
            del self.network.acceptors[self.address]


class MemoryAttempt:
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
                return  # nothing answers: the dial runs into its limit
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
