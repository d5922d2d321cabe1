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

# Errors of accept() that concern the one connection alone (accept(2)): it has gone again, and others may wait behind it.
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
MAX_ABORTED_ACCEPTS = 64  # skipped by one accept; a fault that stays must not hold the loop
MAX_DATAGRAM_ERRORS = 64  # errors of earlier datagrams taken off a socket by one read
SIGNAL_READ_BYTES = 512  # bytes read from the wake pipe at a time
MAX_EVENTS_PER_POLL = 256  # events taken from the kernel a pass
ACCEPT_BACKLOG = 1024  # connections that the kernel may hold for an accept
REGISTERED_EVENTS = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
WRITE_EVENTS = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR


class MonotonicClock:
    """Microseconds that never jump; the wall clock decides nothing."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Unix time in microseconds, for what comes stamped by other machines. It may be stepped: no span is measured by it."""
    return time.time_ns() // 1000


class EpollNetwork:
    """Hands out pipes, doors and connection attempts over real sockets."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[bool, bool, bool], None]] = {}

    def poll(self, wait: Optional[int]) -> None:
        # Rounded up to a whole millisecond: epoll counts in those, and rounding down would spin until a timer is due.
        timeout = -1 if wait is None else -(-wait // 1000) / 1000
        try:
            ready = self.epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        except InterruptedError:  # the loop looks at its timers and waits again
            return
        for number, events in ready:
            call = self.callbacks.get(number)
            if call is not None:
                call(bool(events & READ_EVENTS), bool(events & WRITE_EVENTS), bool(events & HANGUP_EVENTS))

    def register(self, number: int, call: Callable[[bool, bool, bool], None]) -> None:
        """Raises OSError where the kernel has no room for one more (ENOSPC, ENOMEM); then nothing is registered."""
        if number in self.callbacks:
            self.epoll.modify(number, REGISTERED_EVENTS)  # tells anew of what is ready by now
        else:
            self.epoll.register(number, REGISTERED_EVENTS)
        self.callbacks[number] = call

    def unregister(self, number: int) -> None:
        if self.callbacks.pop(number, None) is not None:
            try:
                self.epoll.unregister(number)
            except OSError:  # the kernel has dropped it with the descriptor
                pass

    def listen(self, address: tuple[str, int]) -> SocketAcceptor:
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
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        result = sock.connect_ex(address)
        if result not in (0, errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on by itself: connect(2)
            sock.close()
            raise OSError(result, os.strerror(result))
        return SocketAttempt(self, sock, result == 0)

    def datagrams(self, address: tuple[str, int]) -> UdpSocket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return UdpSocket(self, sock)


class UdpSocket:
    """Datagrams of one address. What the kernel has no room for is lost; a peer that refuses them is none of the port's matter."""

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
            except OSError:  # of an earlier datagram that found nobody: the next read may bring one
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
            except InterruptedError:  # no edge would tell again of what is there
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
        """Tells the peer that no more will come; what it has sent can still be read."""
        self.sock.shutdown(socket.SHUT_WR)

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class SocketAcceptor:
    def __init__(self, network: EpollNetwork, sock: socket.socket) -> None:
        self.network = network
        self.sock = sock
        self.address = sock.getsockname()

    def accept(self) -> Optional[tuple[SocketTransport, str]]:
        """The next connection, None where none waits. Raises OSError where the machine has no room for one (EMFILE, ENFILE,
        ENOBUFS, ENOMEM): it stays in the kernel's queue, and no edge tells of it again."""
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
                continue  # others may wait behind it, and no edge tells of them
            sock.setblocking(False)
            try:
                return SocketTransport(self.network, sock), f"{peer[0]}:{peer[1]}"
            except OSError:  # reset before it was taken
                sock.close()
        raise OSError(errno.EAGAIN, "one connection after the other has gone before it was taken")

    def watch(self, call: Callable[[bool, bool, bool], None]) -> None:
        self.network.register(self.sock.fileno(), call)

    def close(self) -> None:
        self.network.unregister(self.sock.fileno())
        self.sock.close()


class SocketAttempt:
    """A connect under way; `poll` gives the pipe once it stands, None before, and raises OSError if it failed."""

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
    """Signals as something to wait for, by a wake pipe; only the main thread may hold one. A pipe, as a pair of sockets would
    be Unix sockets, for which there is no room where the platform runs the program."""

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
            except BlockingIOError:  # a short read is no end: no edge tells of what is left
                break
            except InterruptedError:
                continue
        if self.waiting is not None and self.pending:
            self.waiting.wake()

    def ignore(self) -> None:
        """For the end of a process: the interpreter gives handlers up before it is gone, and a signal that comes after the one
        which ended it would turn its exit code into a death by signal."""
        for number in self.numbers:
            signal.signal(number, signal.SIG_IGN)

    def next(self) -> Coroutine:
        """The next signal's number."""
        while not self.pending:
            self.waiting = self.loop.waker()
            try:
                yield
            finally:
                self.waiting = None
        return self.pending.pop(0)


def random_bytes(count: int) -> bytes:
    """From the machine's own source of chance; the seed of a process and the challenges of its handshakes."""
    return os.urandom(count)


def real_loop(report: Optional[Callable[..., None]] = None) -> Loop:
    """A loop on the machine's own clock and sockets."""
    return Loop(MonotonicClock(), EpollNetwork(), report)
