"""Every request that was read is answered, however its connection or the process ends."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from platform_parts import configuration, frame
from program import SECOND, virtual_loop

from cedarshift.loop import listen
from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports
from cedarshift.web import Pool, serve_http

PROBE, ALIVE = frame(t="probe"), frame(t="alive")
KILL_DELAY_S = 0.7  # the platform kills no earlier after SIGTERM


class Program:
    """The pilot process, with no relay and no discovery listening."""

    def __init__(self, folder):
        ports = Ports(real_loop())
        listen, nobody = (f"{host}:{port}" for host, port in (ports.take(), ports.take()))
        path = folder / "config.json"
        path.write_text(
            json.dumps(configuration(listen=listen, discovery=nobody, registry={"address": nobody}))
        )
        variables = {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": nobody,
            "RELAY_CONFIG": str(path),
        }
        ports.release()
        self.address = tuple(listen.rsplit(":", 1))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cedarshift", "platform"],
            env={**os.environ, **variables},
            stderr=subprocess.DEVNULL,
        )
        self._wait_until_ready()

    def _wait_until_ready(self):
        for _ in range(200):
            try:
                with self.connect() as probe:
                    probe.sendall(PROBE)
                    if probe.recv(100) == ALIVE:
                        return
            except OSError:
                time.sleep(0.05)
        raise AssertionError("not ready in 10 s")

    def connect(self):
        return socket.create_connection(self.address, timeout=5)

    def signal(self, *numbers):
        for number in numbers:
            self.process.send_signal(number)

    def end(self):
        self.process.kill()
        self.process.wait()


@pytest.fixture
def program(tmp_path):
    started = Program(tmp_path)
    yield started
    started.end()


@pytest.fixture
def virtual():
    return virtual_loop()


def read_to_end(connection):
    """Returns (bytes received, name of the error that ended the connection or None)."""
    received = b""
    try:
        while data := connection.recv(65_536):
            received += data
    except OSError as error:
        return received, type(error).__name__
    return received, None


@pytest.mark.parametrize("behind", [b"", b"x" * 100_000])
def test_an_error_reaches_a_caller_that_goes_on_sending(program, behind):
    for _ in range(10):
        with program.connect() as caller:
            for _ in range(20):  # some arrive after the first was rejected
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n" + behind)
            received, ended = read_to_end(caller)
        assert b'"t":"error"' in received and ended is None


def test_probes_that_came_before_a_signal_to_stop_are_answered_on_open_and_new_connections(program):
    idle = [program.connect() for _ in range(20)]
    for one in idle:
        one.sendall(PROBE)
        assert one.recv(100) == ALIVE
    program.signal(signal.SIGSTOP)
    new = [program.connect() for _ in range(20)]
    for one in idle + new:
        one.sendall(PROBE)
    program.signal(signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGCONT)
    started_at = time.monotonic()
    answers = [read_to_end(one) for one in idle + new]
    assert program.process.wait(KILL_DELAY_S) == 0 and time.monotonic() - started_at < KILL_DELAY_S
    assert answers == [(ALIVE, None)] * 40


HALT_S = 0.3  # for which a stopping program gets no core


# The last answers took 0.4 s of the 0.7 s whenever a client went on asking, and little was left for the rest.
@pytest.mark.parametrize("halted_at", [0.0, 0.1, 0.2, 0.3, 0.38, 0.4, 0.42])
def test_a_program_that_gets_no_core_for_a_while_ends_before_it_is_killed(program, halted_at):
    client = threading.Thread(target=probe_to_the_end, args=(program,))
    client.start()
    time.sleep(0.1)
    terminated_at = time.monotonic()
    program.signal(signal.SIGTERM)
    time.sleep(halted_at)
    program.signal(signal.SIGSTOP)
    time.sleep(HALT_S)
    program.signal(signal.SIGCONT)
    assert program.process.wait(terminated_at + KILL_DELAY_S - time.monotonic()) == 0
    client.join()


def probe_to_the_end(program):
    """Sends probes on one connection, each as soon as the one before is answered."""
    with program.connect() as connection:
        try:
            while True:
                connection.sendall(PROBE)
                if connection.recv(100) != ALIVE:
                    return
        except OSError:
            return


def test_an_evicted_connection_is_answered_first(program):
    program.signal(signal.SIGSTOP)
    crowd = [program.connect() for _ in range(150)]  # more than the limit of 64, 1/4 of 256 descriptors
    for one in crowd:
        one.sendall(PROBE)
    program.signal(signal.SIGCONT)
    answers = [read_to_end(one) for one in crowd]
    assert [received for received, _ in answers] == [ALIVE] * 150 and {ended for _, ended in answers} == {
        None
    }


def test_a_request_whose_handler_fails_is_answered(virtual):
    loop = virtual
    listener = listen(loop, ("127.0.0.1", 80))

    def handler(asked):
        yield from loop.sleep(1)
        raise ZeroDivisionError

    loop.spawn(serve_http(loop, listener, handler), "server")
    pool = Pool(loop, SECOND)
    for _ in range(2):
        reply = loop.run(
            loop.spawn(pool.request(("127.0.0.1", 80), "GET", "/", [], b"", loop.now() + SECOND), "ask")
        )
        assert reply.status == 500
    assert pool.dialled == 1 and [event for event, _ in loop.events] == ["request_failed"] * 2
