"""The real network: non-blocking sockets under one `select.epoll`, edge-triggered; and the real clock and signals.

Edge-triggered, because then a socket is registered once, for reading and writing alike, and no call changes its
interest when a write buffer fills or empties. The streams above remember what is ready and ask until there is no more.
"""
from __future__ import annotations

import errno
import os
import select
import signal
import socket
import time
from typing import Any, Callable, Iterable, Optional

from cedarshift.loop.core import Coroutine, Loop, Waker

EVENTS_AT_ONCE = 256      # events taken from the kernel a pass
BACKLOG = 1024            # connections that the kernel may hold for an accept
EDGES = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
READS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
HANGS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
WRITES = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR


class MonotonicClock:
    """Microseconds that never jump; the wall clock decides nothing."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Unix time in microseconds, for what comes stamped by other machines. It may jump: read once, at a start."""
    return time.time_ns() // 1000


class EpollNetwork:
    """Hands out pipes, doors and connection attempts over real sockets."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.calls: dict[int, Callable[[bool, bool, bool], None]] = {}

    def poll(self, wait: Optional[int]) -> None:
        # Rounded up to a whole millisecond: epoll counts in those, and rounding down would spin until a timer is due.
        timeout = -1 if wait is None else -(-wait // 1000) / 1000
        for number, events in self.epoll.poll(timeout, EVENTS_AT_ONCE):
            call = self.calls.get(number)
            if call is not None:
                call(bool(events & READS), bool(events & WRITES), bool(events & HANGS))

    def register(self, number: int, call: Callable[[bool, bool, bool], None]) -> None:
        fresh = number not in self.calls
        self.calls[number] = call
        if fresh:
            self.epoll.register(number, EDGES)
        else:
            self.epoll.modify(number, EDGES)   # tells anew of what is ready by now

    def forget(self, number: int) -> None:
        if self.calls.pop(number, None) is not None:
            try:
                self.epoll.unregister(number)
            except OSError:                    # the kernel has dropped it with the descriptor
                pass

    def listen(self, address: tuple[str, int]) -> SocketDoor:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return SocketDoor(self, sock)

    def dial(self, address: tuple[str, int]) -> SocketAttempt:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        result = sock.connect_ex(address)
        if result not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(result, os.strerror(result))
        return SocketAttempt(self, sock, result == 0)


    def datagrams(self, address: tuple[str, int]) -> SocketPort:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return SocketPort(self, sock)


class SocketPort:
    """Datagrams of one address. What the kernel has no room for is lost; a peer that refuses them is none of the port's matter."""

    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        self.address = sock.getsockname()

    def recv(self) -> Optional[tuple[bytes, tuple[str, int]]]:
        while True:
            try:
                return self.sock.recvfrom(65_536)
            except (BlockingIOError, InterruptedError):
                return None
            except ConnectionRefusedError:     # an earlier datagram found nobody; the next read may bring one
                continue

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        try:
            return self.sock.sendto(data, address) == len(data)
        except OSError:
            return False

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.forget(self.sock.fileno())
        self.sock.close()


class SocketPipe:
    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def recv(self, most: int) -> Optional[bytes]:
        try:
            return self.sock.recv(most)
        except (BlockingIOError, InterruptedError):
            return None

    def send(self, view: Any) -> int:
        try:
            return self.sock.send(view)
        except (BlockingIOError, InterruptedError):
            return 0

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.forget(self.sock.fileno())
        self.sock.close()


class SocketDoor:
    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        self.address = sock.getsockname()

    def accept(self) -> Optional[tuple[SocketPipe, str]]:
        while True:
            try:
                sock, peer = self.sock.accept()
                break
            except ConnectionAbortedError:     # it has gone again; others may wait behind it, and no edge tells of them
                continue
            except (BlockingIOError, InterruptedError):
                return None
        sock.setblocking(False)
        return SocketPipe(self.network, sock), f"{peer[0]}:{peer[1]}"

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.forget(self.sock.fileno())
        self.sock.close()


class SocketAttempt:
    """A connect under way; `poll` gives the pipe once it stands, None before, and raises OSError if it failed."""

    def __init__(self, network: EpollNetwork, sock: socket.socket, done: bool) -> None:
        self.network = network
        self.sock = sock
        self.done = done

    def poll(self) -> Optional[SocketPipe]:
        if not self.done:
            result = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if result:
                raise OSError(result, os.strerror(result))
            try:
                self.sock.getpeername()
            except OSError:
                return None
            self.done = True
        return SocketPipe(self.network, self.sock)

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.forget(self.sock.fileno())
        self.sock.close()


class Signals:
    """Signals as something to wait for, by a wake pipe; only the main thread may hold one. A pipe, as a pair of sockets would
    be Unix sockets, for which there is no room where the platform runs the program."""

    def __init__(self, loop: Loop, network: EpollNetwork, numbers: Iterable[int]) -> None:
        self.loop = loop
        self.came: list[int] = []
        self.waiting: Optional[Waker] = None
        self.inner, self.outer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self.outer, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)
        network.register(self.inner, self._ready)

    def _ready(self, readable: bool, writable: bool, hung: bool) -> None:
        try:
            self.came.extend(os.read(self.inner, 512))
        except (BlockingIOError, InterruptedError):
            return
        if self.waiting is not None:
            self.waiting.wake()

    def next(self) -> Coroutine:
        """The next signal's number."""
        while not self.came:
            self.waiting = self.loop.waker()
            try:
                yield
            finally:
                self.waiting = None
        return self.came.pop(0)


def fresh_bytes(count: int) -> bytes:
    """From the machine's own source of chance; the seed of a process and the challenges of its handshakes."""
    return os.urandom(count)


def real_loop(report: Optional[Callable[..., None]] = None) -> Loop:
    """A loop on the machine's own clock and sockets."""
    return Loop(MonotonicClock(), EpollNetwork(), report)
