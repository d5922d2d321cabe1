"""Documented failures of Linux system calls, injected under real loopback sockets and processes."""

import errno
import gc
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading

import pytest

from cedarshift.log_output import LogOutput
from cedarshift.loop import StreamBroken, datagrams, dial, listen
from cedarshift.loop.epoll import EpollNetwork, Signals, SocketTransport, real_loop

SECOND = 1_000_000
SIZE = 200_000  # bytes; exceeds a socket buffer


def descriptors():
    """The open file descriptors of this process, after garbage collection."""
    gc.collect()
    return set(os.listdir("/proc/self/fd"))


class ShortPipe:
    """Patches SocketTransport so that each call transfers a few bytes at most."""

    def __init__(self, monkeypatch, reads, writes):
        full_recv, full_send = SocketTransport.recv, SocketTransport.send
        if reads:
            monkeypatch.setattr(SocketTransport, "recv", lambda pipe, most: full_recv(pipe, min(most, reads)))
        if writes:
            monkeypatch.setattr(SocketTransport, "send", lambda pipe, view: full_send(pipe, view[:writes]))


def run_with_limit(loop, coroutine, seconds=5):
    """Runs a coroutine on a loop; fails the test after `seconds`."""

    def stop():
        loop.stop()

    loop.at(loop.now() + seconds * SECOND, stop)
    task = loop.spawn(coroutine, "test")
    result = loop.run(task)
    assert task.done, f"not done within {seconds} s"
    return result


def echo_peer(size):
    """Starts a thread that echoes `size` bytes on one connection, and returns its address."""
    door = socket.create_server(("127.0.0.1", 0))

    def serve():
        peer, _ = door.accept()
        received = b""
        while len(received) < size:
            received += peer.recv(65_536)
        peer.sendall(received)
        peer.close()
        door.close()

    threading.Thread(target=serve, daemon=True).start()
    return door.getsockname()


@pytest.mark.parametrize("reads, writes", [(0, 0), (7, 0), (0, 7), (1, 1), (4096, 1000)])
def test_a_stream_goes_on_after_short_transfers(monkeypatch, reads, writes):
    ShortPipe(monkeypatch, reads, writes)
    size = SIZE if min(reads or SIZE, writes or SIZE) > 100 else 2_000
    loop, sent = real_loop(), os.urandom(size)
    address = echo_peer(size)

    def exchange():
        stream = yield from dial(loop, address)
        stream.write(sent)
        received = b""
        while data := (yield from stream.read()):
            received += data
        return received

    assert run_with_limit(loop, exchange()) == sent


def refuse_once(monkeypatch, code):
    """The next registration with epoll fails with an errno; later ones pass."""
    full, refused = EpollNetwork.register, []

    def register(network, number, call):
        if not refused:
            refused.append(number)
            network.epoll = FailingEpoll(network.epoll, code)
        full(network, number, call)

    monkeypatch.setattr(EpollNetwork, "register", register)
    return refused


class FailingEpoll:
    """An epoll object whose next control call fails."""

    def __init__(self, real, code):
        self.real, self.code = real, code

    def register(self, number, events):
        if self.code is not None:
            code, self.code = self.code, None
            raise OSError(code, os.strerror(code))
        return self.real.register(number, events)

    def __getattr__(self, name):
        return getattr(self.real, name)


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.ENOMEM])
def test_a_dial_whose_registration_is_refused_ends_as_a_broken_stream(monkeypatch, code):
    loop = real_loop()
    door = socket.create_server(("127.0.0.1", 0))
    refused = refuse_once(monkeypatch, code)

    def dial_twice():
        with pytest.raises(StreamBroken):
            yield from dial(loop, door.getsockname())
        return (yield from dial(loop, door.getsockname()))

    before = descriptors()
    stream = run_with_limit(loop, dial_twice())
    assert refused and not stream.closed
    stream.close()
    assert descriptors() == before  # no descriptor leaked


LOG = """
import os, sys
from cedarshift.loop.epoll import real_loop
from cedarshift.platform.log import make_report
report = make_report(real_loop().clock, "n0")
for number in range(400):
    report(f"event{number % 60}", text="x" * 400)
os.write(1, b"returned")
"""


def test_a_log_whose_reader_stalls_blocks_nobody():
    done = subprocess.Popen([sys.executable, "-c", LOG], stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    ready, _, _ = select.select([done.stdout], [], [], 10)
    output = os.read(done.stdout.fileno(), 100) if ready else b""
    done.kill()
    done.communicate()
    assert output == b"returned"


class FailingSocket:
    """A socket whose next calls of one name fail with an errno each."""

    def __init__(self, real, name, codes):
        self.real, self.name, self.codes = real, name, list(codes)

    def __getattr__(self, name):
        if name == self.name and self.codes:
            code = self.codes.pop(0)

            def fail(*_):
                raise OSError(code, os.strerror(code))

            return fail
        return getattr(self.real, name)


@pytest.mark.parametrize(
    "code",
    [
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    ],
)
@pytest.mark.parametrize("times", [1, 100])
def test_connections_are_accepted_once_accept_has_failed_for_a_moment(code, times):
    loop = real_loop()
    listener = listen(loop, ("127.0.0.1", 0))
    listener.acceptor.sock = FailingSocket(listener.acceptor.sock, "accept", [code] * times)
    callers = [socket.create_connection(listener.address) for _ in range(2)]

    def accept_two():
        first = yield from listener.accept()
        second = yield from listener.accept()
        return first, second

    taken = run_with_limit(loop, accept_two(), 8)
    assert len({stream.peer for stream in taken}) == len(callers) == 2


@pytest.mark.parametrize(
    "name, code",
    [
        ("recv", errno.ETIMEDOUT),
        ("recv", errno.EHOSTUNREACH),
        ("recv", errno.ECONNRESET),
        ("recv", errno.ENOMEM),
        ("send", errno.ETIMEDOUT),
        ("send", errno.EHOSTUNREACH),
        ("send", errno.EPIPE),
        ("send", errno.ENOBUFS),
    ],
)
def test_a_connection_that_breaks_in_any_way_ends_as_a_broken_stream(name, code):
    loop = real_loop()
    door = socket.create_server(("127.0.0.1", 0))

    def use():
        stream = yield from dial(loop, door.getsockname())
        stream.transport.sock = FailingSocket(stream.transport.sock, name, [code])
        with pytest.raises(StreamBroken, match=os.strerror(code)):
            stream.write(b"x")
            yield from stream.read(loop.now() + SECOND)
        return stream

    assert run_with_limit(loop, use()).closed


@pytest.mark.parametrize("name", ["recv", "send"])
def test_an_interrupted_transfer_is_made_again(name):
    loop = real_loop()
    address = echo_peer(1)

    def use():
        stream = yield from dial(loop, address)
        stream.transport.sock = FailingSocket(stream.transport.sock, name, [errno.EINTR] * 3)
        stream.write(b"x")
        return (yield from stream.read())

    assert run_with_limit(loop, use()) == b"x"


@pytest.mark.parametrize(
    "code", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EAGAIN]
)
def test_a_dial_that_the_kernel_refuses_ends_as_a_broken_stream(monkeypatch, code):
    loop = real_loop()
    monkeypatch.setattr(socket.socket, "connect_ex", lambda *_: code)
    before = descriptors()
    with pytest.raises(StreamBroken):
        run_with_limit(loop, dial(loop, ("127.0.0.1", 9)))
    assert descriptors() == before


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_dial_without_a_descriptor_ends_as_a_broken_stream(monkeypatch, code):
    loop = real_loop()

    def refuse(*_):
        raise OSError(code, os.strerror(code))

    monkeypatch.setattr(socket, "socket", refuse)
    with pytest.raises(StreamBroken):
        run_with_limit(loop, dial(loop, ("127.0.0.1", 9)))


@pytest.mark.parametrize(
    "code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ENETUNREACH, errno.EINTR]
)
def test_datagrams_come_after_the_error_of_an_earlier_one(code):
    loop = real_loop()
    port = datagrams(loop, ("127.0.0.1", 0))
    port.port.sock = FailingSocket(port.port.sock, "recvfrom", [code] * 3)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"x", port.address)
        assert run_with_limit(loop, port.receive())[0] == b"x"


def test_signals_that_are_read_one_byte_at_a_time_all_come(monkeypatch):
    loop = real_loop()
    signals = Signals(loop, loop.network, [signal.SIGUSR1, signal.SIGUSR2])
    read = os.read
    monkeypatch.setattr(os, "read", lambda number, most: read(number, 1))
    for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGUSR1):
        signal.raise_signal(number)

    def three():
        got = []
        for _ in range(3):
            got.append((yield from signals.next()))
        return got

    try:
        assert sorted(run_with_limit(loop, three())) == [signal.SIGUSR1, signal.SIGUSR1, signal.SIGUSR2]
    finally:
        signal.set_wakeup_fd(-1)


def test_a_log_that_stalls_gives_its_lines_once_it_is_read_and_counts_the_lost_ones():
    reader, writer = os.pipe()
    output = LogOutput(writer)
    lines = [f"{number} {'x' * 400}\n" for number in range(1000)]
    for line in lines:
        output.write(line)
    received = b""
    while len(received) < 100_000:
        received += os.read(reader, 65_536)
        output.flush()
    output.write("last\n")
    received += os.read(reader, 65_536)
    whole = received.decode().splitlines(keepends=True)
    kept = [line for line in whole if line in lines]
    assert (
        whole[-1] == "last\n"
        and json.loads(whole[-2])["lines"] == 1000 - len(kept)
        and kept == lines[: len(kept)]
    )


@pytest.mark.parametrize("kind", ["closed pipe", "socket", "file", "closed descriptor"])
def test_a_log_goes_to_whatever_standard_error_is(kind, tmp_path):
    if kind == "closed pipe":
        reader, descriptor = os.pipe()
        os.close(reader)
    elif kind == "socket":
        near, far = socket.socketpair()
        descriptor = near.fileno()
    elif kind == "file":
        descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    else:
        descriptor = os.dup(2)
        os.close(descriptor)
    output = LogOutput(descriptor)
    for _ in range(3):
        output.write("line\n")
    if kind == "socket":
        assert far.recv(100) == b"line\n" * 3
    if kind == "file":
        assert (tmp_path / "log").read_text() == "line\n" * 3
