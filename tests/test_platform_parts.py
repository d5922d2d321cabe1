"""The scripted relay and discovery service on real sockets, when a pilot is killed in mid-talk."""

import socket
import struct

import pytest
from platform_parts import ListAgent, Relay
from program import SECOND

from cedarshift.loop.epoll import real_loop

WATCH = b"GET /watch HTTP/1.1\r\nHost: a\r\n\r\n"
CALL = (
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Type: application/x-www-form-urlencoded\r\n"
    b"Content-Length: 15\r\n\r\norders=mark%2C1"
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for 0 s


def reset_after(loop, listener, sent):
    """Connects, sends some bytes, lets the server read them and resets the connection."""
    with socket.create_connection(listener.address) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.sendall(sent)
        run_for(loop, SECOND // 10)
    run_for(loop, SECOND // 10)


def run_for(loop, duration):
    def wait():
        yield from loop.sleep(duration)

    loop.run(loop.spawn(wait(), "wait"))


# A reset by a killed pilot ended a task of the stand-in, which a soak counts as a failure.
@pytest.mark.parametrize("sent", [b"", WATCH[:20], WATCH])
def test_a_reset_ends_a_talk_with_discovery_without_a_failure(sent):
    failures = []
    loop = real_loop(lambda event, **fields: failures.append((event, fields)))
    agent = ListAgent(loop, ("127.0.0.1", 0))
    reset_after(loop, agent.listener, sent)
    assert not failures


@pytest.mark.parametrize("outcome", ["ok", "silent", "lost"])
@pytest.mark.parametrize("sent", [b"", CALL[:60], CALL, WATCH])
def test_a_reset_ends_a_talk_with_the_relay_without_a_failure(sent, outcome):
    failures = []
    loop = real_loop(lambda event, **fields: failures.append((event, fields)))
    relay = Relay(loop, ("127.0.0.1", 0))
    relay.script = [outcome]
    reset_after(loop, relay.listener, sent)
    assert not failures
