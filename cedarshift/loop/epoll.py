"""Sockets, clock and signals of the operating system, on edge-triggered `select.epoll`.

Each socket is registered once for reading and writing, so no system call is needed when a write buffer fills
or drains. Streams remember readiness and read or write until the socket would block.
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

# Errors of accept(2) that concern only the connection being accepted; others may be queued behind it.
ABORTED_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EPERM,
    }
)
MAX_ABORTED_ACCEPTS = 64  # skipped by one accept call
MAX_DATAGRAM_ERRORS = 64  # errors of earlier datagrams skipped by one receive call
SIGNAL_READ_BYTES = 512  # read from the wakeup pipe at a time
MAX_EVENTS_PER_POLL = 256
ACCEPT_BACKLOG = 1024  # connections queued by the kernel
REGISTERED_EVENTS = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
HANGUP_EVENTS = select.EPOLLHUP | select.EPOLLERR  # not RDHUP: the peer may still read
WRITE_EVENTS = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR


class MonotonicClock:
    """The system's monotonic clock in microseconds."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Unix time in microseconds, to compare with timestamps of other machines. Not monotonic."""
    return time.time_ns() // 1000


class EpollNetwork:
    """Creates the operating system's sockets and polls them for readiness."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[bool, bool, bool], None]] = {}

    def poll(self, wait: Optional[int]) -> None:
        """Waits up to `wait` microseconds (None: no limit) and runs the callbacks of ready descriptors."""
        # epoll has millisecond resolution; rounding down would busy-wait until a timer is due.
        timeout = -1 if wait is None else -(-wait // 1000) / 1000
        try:
            ready = self.epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        except InterruptedError:  # the loop checks its timers and polls again
            return
        for descriptor, events in ready:
            call = self.callbacks.get(descriptor)
            if call is not None:
                call(bool(events & READ_EVENTS), bool(events & WRITE_EVENTS), bool(events & HANGUP_EVENTS))

    def register(self, descriptor: int, call: Callable[[bool, bool, bool], None]) -> None:
        """Has `call(readable, writable, hung_up)` run on readiness changes, also if already ready now.
        `hung_up`: nothing can be sent any more.

        Replaces an earlier callback. Raises OSError (ENOSPC, ENOMEM) if the kernel is out of resources."""
        if descriptor in self.callbacks:
            self.epoll.modify(descriptor, REGISTERED_EVENTS)  # has the kernel report current readiness again
        else:
            self.epoll.register(descriptor, REGISTERED_EVENTS)
        self.callbacks[descriptor] = call

    def unregister(self, descriptor: int) -> None:
        """Stops the callbacks of a descriptor; has no effect if it is not registered."""
        if self.callbacks.pop(descriptor, None) is not None:
            try:
                self.epoll.unregister(descriptor)
            except OSError:  # already removed with the closed descriptor
                pass

    def listen(self, address: tuple[str, int]) -> SocketAcceptor:
        """Opens a listening TCP socket. Raises OSError, with the address, if it cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(ACCEPT_BACKLOG)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return SocketAcceptor(self, sock)

    def dial(self, address: tuple[str, int]) -> SocketAttempt:
        """Starts a non-blocking connect. Raises OSError if it fails at once."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        result = sock.connect_ex(address)
        if result not in (0, errno.EINPROGRESS, errno.EINTR):  # after EINTR the connect continues: connect(2)
            sock.close()
            raise OSError(result, os.strerror(result))
        return SocketAttempt(self, sock, result == 0)

    def datagrams(self, address: tuple[str, int]) -> UdpSocket:
        """Opens a UDP socket. Raises OSError, with the address, if it cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return UdpSocket(self, sock)


class UdpSocket:
    """A UDP socket. Drops what the kernel cannot take and ignores errors reported by peers."""

    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        self.address = sock.getsockname()

    def recv(self) -> Optional[tuple[bytes, tuple[str, int]]]:
        for _ in range(MAX_DATAGRAM_ERRORS):
            try:
                return self.sock.recvfrom(65_536)
            except BlockingIOError:
                return None
            except InterruptedError:
                continue
            except OSError:  # an ICMP error of an earlier datagram
                continue
        return None

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        try:
            return self.sock.sendto(data, address) == len(data)
        except OSError:
            return False

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class SocketTransport:
    """A connected TCP socket."""

    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def recv(self, max_bytes: int) -> Optional[bytes]:
        while True:
            try:
                return self.sock.recv(max_bytes)
            except BlockingIOError:
                return None
            except InterruptedError:  # readiness would not be reported again
                continue

    def send(self, view: Any) -> int:
        while True:
            try:
                return self.sock.send(view)
            except BlockingIOError:
                return 0
            except InterruptedError:
                continue

    def finish_writing(self) -> None:
        """Shuts down the sending side; the peer's data can still be read."""
        self.sock.shutdown(socket.SHUT_WR)

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class SocketAcceptor:
    """A listening TCP socket."""

    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        self.address = sock.getsockname()

    def accept(self) -> Optional[tuple[SocketTransport, str]]:
        """Returns the next connection and its peer, or None if none is waiting.

        Raises OSError if the system is out of resources (EMFILE, ENFILE, ENOBUFS, ENOMEM), or EAGAIN after
        MAX_ABORTED_ACCEPTS aborted connections. Connections may then remain in the kernel's queue, and
        readiness is not reported again."""
        for _ in range(MAX_ABORTED_ACCEPTS):
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return None
            except InterruptedError:
                continue
            except OSError as error:
                if error.errno not in ABORTED_CONNECTION_ERRORS:
                    raise
                continue  # others may be queued, and readiness is not reported again
            sock.setblocking(False)
            try:
                return SocketTransport(self.network, sock), f"{peer[0]}:{peer[1]}"
            except OSError:  # reset before it was accepted
                sock.close()
        raise OSError(errno.EAGAIN, "too many connections aborted before they were accepted")

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class SocketAttempt:
    """A connect in progress.

    `poll` returns the transport, or None while the connect is not complete, and raises OSError if it has
    failed."""

    def __init__(self, network: EpollNetwork, sock: socket.socket, done: bool) -> None:
        self.network = network
        self.sock = sock
        self.done = done

    def poll(self) -> Optional[SocketTransport]:
        if not self.done:
            result = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if result:
                raise OSError(result, os.strerror(result))
            try:
                self.sock.getpeername()
            except OSError:
                return None
            self.done = True
        return SocketTransport(self.network, self.sock)

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class Signals:
    """Delivers signals to a coroutine through a wakeup pipe; only the main thread may create one.

    A pipe is used because Unix socket pairs may be unavailable in the deployment environment."""

    def __init__(self, loop: Loop, network: EpollNetwork, numbers: Iterable[int]) -> None:
        self.loop = loop
        self.pending: list[int] = []
        self.waiting: Optional[Waker] = None
        self.read_fd, self.write_fd = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self.write_fd, warn_on_full_buffer=False)
        self.numbers = tuple(numbers)
        for number in self.numbers:
            signal.signal(number, lambda *_: None)
        network.register(self.read_fd, self._ready)

    def _ready(self, readable: bool, writable: bool, hung_up: bool) -> None:
        while True:
            try:
                self.pending.extend(os.read(self.read_fd, SIGNAL_READ_BYTES))
            except BlockingIOError:  # read until empty: readiness is not reported again
                break
            except InterruptedError:
                continue
        if self.waiting is not None and self.pending:
            self.waiting.wake()

    def ignore(self) -> None:
        """Ignores the signals from now on.

        Called at exit: the interpreter restores default handlers during shutdown, and a late signal would
        then kill the process and change its exit code."""
        for number in self.numbers:
            signal.signal(number, signal.SIG_IGN)

    def next(self) -> Coroutine:
        """Waits for the next signal and returns its number."""
        while not self.pending:
            self.waiting = self.loop.waker()
            try:
                yield
            finally:
                self.waiting = None
        return self.pending.pop(0)


def random_bytes(count: int) -> bytes:
    """Returns `count` bytes from the operating system's random number generator."""
    return os.urandom(count)


def real_loop(report: Optional[Callable[..., None]] = None) -> Loop:
    """Creates a loop on the system's clock and sockets."""
    return Loop(MonotonicClock(), EpollNetwork(), report)
