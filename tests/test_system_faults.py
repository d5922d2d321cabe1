"""System calls that fail in ways that Linux documents, under real loopback sockets and real processes."""
import errno
import os
import select
import socket
import subprocess
import sys
import threading

import pytest

from cedarshift.loop import StreamBroken, dial, listen
from cedarshift.loop.epoll import EpollNetwork, SocketPipe, real_loop

SECOND = 1_000_000
SIZE = 200_000            # bytes, more than a socket's buffer takes at once


class ShortPipe:
    """Patches SocketPipe so that each call transfers a few bytes at most."""

    def __init__(self, monkeypatch, reads, writes):
        full_recv, full_send = SocketPipe.recv, SocketPipe.send
        if reads:
            monkeypatch.setattr(SocketPipe, "recv", lambda pipe, most: full_recv(pipe, min(most, reads)))
        if writes:
            monkeypatch.setattr(SocketPipe, "send", lambda pipe, view: full_send(pipe, view[:writes]))


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
    """A thread that takes one connection, reads `size` bytes and sends them back; its address."""
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
    before = set(os.listdir("/proc/self/fd"))
    stream = run_with_limit(loop, dial_twice())
    assert refused and not stream.closed
    stream.close()
    assert set(os.listdir("/proc/self/fd")) == before      # the refused connection has left no descriptor behind


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
    said = os.read(done.stdout.fileno(), 100) if ready else b""
    done.kill()
    done.communicate()
    assert said == b"returned"
