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

Call = Callable[[bool, bool, bool], None]
Address = tuple[str, int]

HOLDS = 65_536  # bytes on the way in one direction, as in a small socket buffer
QUEUE_MOST = 1_024  # connections that wait to be accepted; beyond, a dial is left without an answer
WAITING_MOST = 256  # datagrams that wait to be read, as in a socket's buffer
RESENT = 200_000  # us; a piece of a stream that is lost comes so much later


class Owner(Protocol):
    """A host among several: `hear` passes an edge on, when the host runs; `adopt` learns of a pipe of its own."""

    alive: bool

    def hear(self, call: Call, readable: bool, writable: bool, hung: bool) -> None: ...
    def adopt(self, pipe: MemoryPipe) -> None: ...


def _pass_on(owner: Optional[Owner], call: Call, readable: bool, writable: bool, hung: bool) -> None:
    if owner is None:
        call(readable, writable, hung)
    else:
        owner.hear(call, readable, writable, hung)


class VirtualClock:
    def __init__(self, start: int = 1_000_000) -> None:
        self.time = start

    def now(self) -> int:
        return self.time


class Way:
    """What befalls what one host sends to another; the way back has a state of its own. Shares are from 0 to 1."""

    def __init__(
        self, loss: float = 0.0, delay: int = 0, jitter: int = 0, doubled: float = 0.0, cut: bool = False
    ) -> None:
        self.loss = loss
        self.delay = delay  # us, beside the network's own
        self.jitter = jitter  # us at most, drawn for each datagram by itself: they overtake each other
        self.doubled = doubled
        self.cut = cut  # datagrams are lost; bytes of streams wait until it is mended


class MemoryNetwork:
    """`delay(source, target)` gives the microseconds of one way; `refuse` holds addresses that do not answer. `ways` holds what
    is wrong between hosts, by (source, target); `chance` draws it."""

    def __init__(
        self,
        clock: VirtualClock,
        delay: Optional[Callable[[], int]] = None,
        chance: Optional[random.Random] = None,
    ) -> None:
        self.chance = chance or random.Random(0)
        self.ways: dict[tuple[str, str], Way] = {}
        self.held: dict[
            tuple[str, str], list[tuple[MemoryPipe, Callable[[], None]]]
        ] = {}  # what waits in a stream for a cut to be mended
        self.ports: dict[Address, MemoryPort] = {}
        self.clock = clock
        self.delay = delay or (lambda: 100)
        self.doors: dict[tuple[str, int], MemoryDoor] = {}
        self.refuse: set[tuple[str, int]] = set()
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.drawn = 0
        self.next_port = 40_000
        self.pieces: Optional[Callable[[bytes], list[bytes]]] = (
            None  # how what is sent at once comes in several
        )
        self.queue_most = QUEUE_MOST
        self.overflows = 0  # dials that found a full queue

    def later(self, span: int, call: Callable[[], None]) -> int:
        self.drawn += 1
        at = self.clock.time + span
        heapq.heappush(self.due, (at, self.drawn, call))
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

    def way(self, source: Optional[Owner], target: Optional[Owner]) -> Optional[Way]:
        if not self.ways:
            return None
        return self.ways.get((getattr(source, "name", ""), getattr(target, "name", "")))

    def set_way(self, source: str, target: str, way: Optional[Way]) -> None:
        """From now on; None for sound. What waited for a cut passes on, in its order."""
        if way is None:
            self.ways.pop((source, target), None)
        else:
            self.ways[source, target] = way
        if way is None or not way.cut:
            for pipe, call in self.held.pop((source, target), []):
                pipe._comes(0, call)

    def datagrams(self, address: Address, owner: Optional[Owner] = None) -> MemoryPort:
        host, port = address
        if not port:
            self.next_port += 1
            port = self.next_port
        if (host, port) in self.ports:
            raise OSError(errno.EADDRINUSE, f"{host}:{port}: address already in use")
        made = self.ports[host, port] = MemoryPort(self, (host, port), owner)
        return made

    def listen(self, address: tuple[str, int], owner: Optional[Owner] = None) -> MemoryDoor:
        host, port = address
        if not port:
            self.next_port += 1
            port = self.next_port
        if (host, port) in self.doors:
            raise OSError(errno.EADDRINUSE, f"{host}:{port}: address already in use")
        door = self.doors[host, port] = MemoryDoor(self, (host, port), owner)
        return door

    def dial(self, address: tuple[str, int], owner: Optional[Owner] = None) -> MemoryAttempt:
        return MemoryAttempt(self, address, owner)


class MemoryPipe:
    def __init__(self, network: MemoryNetwork, owner: Optional[Owner] = None) -> None:
        self.network = network
        self.owner = owner
        self.peer: Optional[MemoryPipe] = None
        self.inbox: deque[bytes] = deque()
        self.held = 0  # bytes sent to this side and not read yet
        self.arrives = 0  # when the newest of them does: streams keep their order
        self.call: Optional[Call] = None
        self.finished = False  # the other side will send no more
        self.reset = False
        self.closed = False
        if owner is not None:
            owner.adopt(self)

    def watch(self, call: Call) -> None:
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
        full = self.held >= HOLDS
        self.held -= len(data)
        peer = self.peer
        if full and peer is not None:
            self.network.later(0, lambda: peer._tell(False, True))
        return data

    def send(self, view: Any) -> int:
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        peer = self.peer
        if peer is None or peer.closed:
            raise OSError(errno.EPIPE, "broken pipe")
        data = bytes(view[: max(0, HOLDS - peer.held)])
        if data:
            peer.held += len(data)
            for piece in [data] if self.network.pieces is None else self.network.pieces(data):
                self._reach(peer, functools.partial(peer._arrive, piece))
        return len(data)

    def _reach(self, peer: MemoryPipe, call: Callable[[], None]) -> None:
        way = self.network.way(self.owner, peer.owner)
        if way is not None and way.cut:
            key = (getattr(self.owner, "name", ""), getattr(peer.owner, "name", ""))
            self.network.held.setdefault(key, []).append((peer, call))
            return
        peer._comes(
            0 if way is None else way.delay + (RESENT if self.network.chance.random() < way.loss else 0), call
        )

    def _comes(self, late: int, call: Callable[[], None]) -> None:
        """After all that is on its way to this side: streams keep their order, also what a cut had held."""
        at = max(self.arrives, self.network.clock.time + max(late, self.network.delay()))
        self.arrives = self.network.later(at - self.network.clock.time, call)

    def _arrive(self, data: bytes) -> None:
        if not self.closed:
            self.inbox.append(data)
            self._tell(True, False)

    def _tell(self, readable: bool, writable: bool) -> None:
        if self.call is not None and not self.closed:
            _pass_on(self.owner, self.call, readable, writable, self.finished or self.reset)

    def _finish(self) -> None:
        self.finished = True
        self._tell(True, False)

    def finish_writing(self) -> None:
        """The peer comes to the end; what it sends still arrives here."""
        if self.reset:
            raise OSError(errno.ECONNRESET, "connection reset")
        if self.peer is not None:
            self._reach(self.peer, self.peer._finish)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.peer is not None:
                self._reach(self.peer, self.peer._finish)

    def cut(self) -> None:
        """Resets both sides at once; what was on the way is lost."""
        for side in (self, self.peer):
            if side is not None:
                side.reset = True
                side._tell(True, True)


class MemoryPort:
    """Datagrams of one address: lost, late, doubled and out of order as its ways say."""

    def __init__(self, network: MemoryNetwork, address: Address, owner: Optional[Owner] = None) -> None:
        self.network = network
        self.address = address
        self.owner = owner
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.call: Optional[Call] = None
        self.closed = False

    def recv(self) -> Optional[tuple[bytes, Address]]:
        return self.inbox.popleft() if self.inbox else None

    def send(self, data: bytes, address: Address) -> bool:
        network = self.network
        target = network.ports.get(address)
        if self.closed or target is None:
            return not self.closed
        way, chance = network.way(self.owner, target.owner), network.chance
        if way is not None and (way.cut or chance.random() < way.loss):
            return True
        for _ in range(2 if way is not None and chance.random() < way.doubled else 1):
            late = 0 if way is None else way.delay + int(chance.random() * way.jitter)
            network.later(network.delay() + late, functools.partial(target._arrive, data, self.address))
        return True

    def _arrive(self, data: bytes, source: Address) -> None:
        if (
            self.closed
            or len(self.inbox) >= WAITING_MOST
            or (self.owner is not None and not self.owner.alive)
        ):
            return
        self.inbox.append((data, source))
        if self.call is not None:
            _pass_on(self.owner, self.call, True, False, False)

    def watch(self, call: Call) -> None:
        self.call = call

    def close(self) -> None:
        self.closed = True
        if self.network.ports.get(self.address) is self:
            del self.network.ports[self.address]


class MemoryDoor:
    def __init__(
        self, network: MemoryNetwork, address: tuple[str, int], owner: Optional[Owner] = None
    ) -> None:
        self.network = network
        self.owner = owner
        self.address = address
        self.queue: deque[MemoryPipe] = deque()
        self.call: Optional[Call] = None

    def accept(self) -> Optional[tuple[MemoryPipe, str]]:
        return (self.queue.popleft(), "memory") if self.queue else None

    def watch(self, call: Call) -> None:
        self.call = call

    def close(self) -> None:
        if self.network.doors.get(self.address) is self:  # the address may be another's by now
            del self.network.doors[self.address]


class MemoryAttempt:
    def __init__(
        self, network: MemoryNetwork, address: tuple[str, int], owner: Optional[Owner] = None
    ) -> None:
        self.network = network
        self.owner = owner
        self.address = address
        self.pipe: Optional[MemoryPipe] = None
        self.failed = False
        self.call: Optional[Call] = None
        network.later(network.delay(), self._reach)

    def _reach(self) -> None:
        if self.owner is not None and not self.owner.alive:
            return
        door = self.network.doors.get(self.address)
        for way in (
            (self.network.way(self.owner, door.owner), self.network.way(door.owner, self.owner))
            if door
            else ()
        ):
            if way is not None and way.cut:
                return  # nothing answers: the dial runs into its limit
        if door is not None and len(door.queue) >= self.network.queue_most:
            self.network.overflows += 1
            return
        if door is None or self.address in self.network.refuse:
            self.failed = True
        else:
            near, far = MemoryPipe(self.network, self.owner), MemoryPipe(self.network, door.owner)
            near.peer, far.peer = far, near
            self.pipe = near
            door.queue.append(far)
            if door.call is not None:
                _pass_on(door.owner, door.call, True, False, False)
        if self.call is not None:
            _pass_on(self.owner, self.call, False, True, False)

    def poll(self) -> Optional[MemoryPipe]:
        if self.failed:
            raise OSError(errno.ECONNREFUSED, "connection refused")
        return self.pipe

    def watch(self, call: Call) -> None:
        self.call = call

    def close(self) -> None:
        self.call = None
