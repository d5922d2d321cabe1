"""Size-limited datagrams over a non-blocking socket supplied by the network.

Readiness of the socket is edge-triggered, as for stream transports.
"""

from __future__ import annotations

from typing import Any, Callable, Optional, Protocol

from cedarshift.loop.core import Coroutine, Loop, Waker

MAX_DATAGRAM_BYTES = 65_507  # largest UDP payload over IPv4
MAX_RECEIVES_PER_STEP = 64  # datagrams received before other tasks run


class DatagramSocket(Protocol):
    """A non-blocking datagram socket.

    `recv` returns None if no datagram is waiting. `send` returns False if it could not hand over the
    datagram, for example because the socket buffer is full; the datagram is dropped."""

    address: tuple[str, int]

    def recv(self) -> Optional[tuple[bytes, tuple[str, int]]]: ...
    def send(self, data: bytes, address: tuple[str, int]) -> bool: ...
    def watch(self, call: Callable[[bool, bool, bool], None]) -> None: ...
    def close(self) -> None: ...


class Datagrams:
    """Sends and receives at one local address; one task may receive at a time.

    `port`: the socket. Received datagrams of more than `max_bytes` are dropped and counted as "too_long"."""

    def __init__(self, loop: Loop, port: DatagramSocket, max_bytes: int) -> None:
        self.loop = loop
        self.port = port
        self.max_bytes = max_bytes
        self.readable = True  # until the socket would block
        self.reader: Optional[Waker] = None
        self.receives_since_yield = 0
        self.closed = False
        self.counts = {"sent": 0, "unsent": 0, "heard": 0, "too_long": 0}
        port.watch(self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.port.address

    def receive(self, until: Optional[int] = None) -> Coroutine:
        """Returns the next datagram and its source address. Raises TimedOut at `until` (us)."""
        self.receives_since_yield += 1
        if self.receives_since_yield > MAX_RECEIVES_PER_STEP:
            self.receives_since_yield = 0
            yield from self.loop.yield_control()
        while True:
            datagram = self.port.recv() if self.readable and not self.closed else None
            if datagram is None:
                self.readable = False
                self.receives_since_yield = 0
                self.reader = self.loop.waker()
                try:
                    yield from self.loop.park(until)
                finally:
                    self.reader = None
            elif len(datagram[0]) > self.max_bytes:
                self.counts["too_long"] += 1
            else:
                self.counts["heard"] += 1
                return datagram

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; if the socket is closed or cannot take it, drops it and counts it as unsent."""
        sent = not self.closed and self.port.send(data, address)
        self.counts["sent" if sent else "unsent"] += 1

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.port.close()

    def _ready(self, readable: bool, writable: bool, hung_up: bool) -> None:
        if readable:
            self.readable = True
            if self.reader is not None:
                self.reader.wake()


def datagrams(loop: Loop, address: tuple[str, int], max_bytes: int = MAX_DATAGRAM_BYTES) -> Datagrams:
    """Opens a datagram socket; port 0 selects a free port. Raises OSError if the address is in use."""
    network: Any = loop.network
    return Datagrams(loop, network.datagrams(address), max_bytes)
