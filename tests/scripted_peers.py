"""Scripted peers on real loopback sockets, and a loop whose clock advances only when a test advances it.

The pilot runs over `select.epoll` in the test's thread, so a test controls the order of events: it acts as a
peer or advances the clock, then runs the loop until a condition holds.
"""

import os
import socket
import struct
import time
from urllib.parse import parse_qs

from platform_parts import make_config

from cedarshift.codec.platform import frames
from cedarshift.loop import Loop, listen
from cedarshift.loop.epoll import EpollNetwork
from cedarshift.platform.service import PlatformPilot

TIMEOUT_S = 5.0  # of real time
QUIET_PASSES = 5  # loop passes after which loopback traffic has been delivered
SECOND = 1_000_000  # us
WALL_CLOCK_OFFSET_US = 1_700_000_000 * SECOND


class SteppedClock:
    def __init__(self):
        self.time = 1_000 * SECOND

    def now(self):
        return self.time


class SteppedLoop(Loop):
    """A loop over real sockets whose clock is moved by `advance`."""

    def __init__(self):
        self.events = []
        super().__init__(
            SteppedClock(), EpollNetwork(), lambda event, **fields: self.events.append((event, fields))
        )

    def reported(self, event):
        return [fields for name, fields in self.events if name == event]

    def step(self, wait=1_000):
        self.run_pass()
        self.network.poll(wait)

    def until(self, condition):
        """Runs until `condition()` returns a true value, and returns it."""
        limit = time.monotonic() + TIMEOUT_S
        while not (result := condition()):
            assert time.monotonic() < limit, "condition not met in time"
            self.step()
        return result

    def settle(self, wait=1_000):
        """Runs until pending traffic has been handled. `wait` is the real time of each network poll in us."""
        for _ in range(QUIET_PASSES):
            self.step(wait)
            while self.ready:
                self.step(wait)

    def advance(self, seconds):
        self.clock.time += int(seconds * SECOND)
        self.settle()

    def open_resources(self):
        """Counts of tasks, timers and watched sockets, to detect leaks."""
        timers = sum(timer.call is not None for _, _, timer in self.timers)
        return {
            "tasks": sorted(task.name for task in self.tasks),
            "timers": timers,
            "sockets": len(self.network.callbacks),
        }


class Peer:
    """One end of a connection, controlled by the test."""

    def __init__(self, loop, sock):
        self.loop = loop
        self.sock = sock
        self.sock.setblocking(False)
        self.received = b""
        self.ended = None  # "finished" or "reset", once the other side has ended

    def poll(self):
        """Reads the available bytes."""
        while self.ended is None:
            try:
                data = self.sock.recv(65_536)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "finished"
            self.received += data
        return self

    def until(self, text):
        """Runs the loop until `text` arrives. Returns the bytes up to its end and keeps the rest."""
        self.loop.until(lambda: text in self.poll().received)
        at = self.received.index(text) + len(text)
        taken, self.received = self.received[:at], self.received[at:]
        return taken

    def request(self):
        """(request line, body) of the next HTTP request."""
        head = self.until(b"\r\n\r\n").decode()
        length = next(
            (
                int(line.partition(":")[2])
                for line in head.split("\r\n")
                if line.lower().startswith("content-length")
            ),
            0,
        )
        self.loop.until(lambda: len(self.poll().received) >= length)
        body, self.received = self.received[:length], self.received[length:]
        return head.split("\r\n")[0], body

    def until_ended(self):
        return self.loop.until(lambda: self.poll().ended)

    def send(self, data):
        self.sock.sendall(data)
        self.loop.settle()
        return self

    def finish(self):
        """FIN, with the reading side left open."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self):
        """RST instead of FIN."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self):
        self.sock.close()
        self.ended = self.ended or "closed here"


class Server:
    """A listening peer. Connections wait in the kernel until `accept`."""

    def __init__(self, loop, receive_buffer=0):
        self.loop = loop
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.address_text = "%s:%d" % self.address

    def accept_now(self):
        """The next connection, or None if none is waiting."""
        try:
            return Peer(self.loop, self.sock.accept()[0])
        except BlockingIOError:
            return None

    def accept(self):
        return self.loop.until(self.accept_now)

    def close(self):
        self.sock.close()


def connect_to(loop, address):
    sock = socket.create_connection(address, timeout=TIMEOUT_S)
    return Peer(loop, sock)


def frame(**message):
    return frames.encode(message)


def http_response(body, extra=b"", length=None):
    """An HTTP response. `length` overrides the content length in its head."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) if length is None else length}\r\n\r\n"
    return head.encode() + body + extra


def accepted_response(count):
    """The body of a relay's response that accepted `count` orders."""
    return (
        "<?xml version='1.0'?>\n"
        f"<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>"
    ).encode()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text):
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def sse_event(event, data):
    return f"event: {event}\ndata: {data}\n\n"


def snapshot_text(proxies=(0, 1), slices=None, zone="za"):
    """The initial snapshot of a stream, including the first heartbeat."""
    owners = {0: "a", 1: "b", 2: "a", 3: "b"} if slices is None else slices
    text = "".join(sse_event("hello", f"node={n}&locality={zone}&w=2.5&cold=0") for n in proxies)
    for number, owner in owners.items():
        text += sse_event("lease", f"shard={number}&set=1")
        if owner:
            text += sse_event("line", f"shard={number}&endpoint={owner}&w=1.0")
    return text + ":\n\n"


class Stage:
    """A pilot between a scripted relay and a scripted discovery service."""

    def __init__(self, **changes):
        self.loop = SteppedLoop()
        self.relay, self.discovery = Server(self.loop), Server(self.loop)
        self.listener = listen(self.loop, ("127.0.0.1", 0))
        config = make_config(
            **{
                "registry": {"address": self.relay.address_text},
                "discovery": self.discovery.address_text,
                **changes,
            }
        )
        self.pilot = PlatformPilot(
            self.loop,
            config,
            lambda: self.loop.now() + WALL_CLOCK_OFFSET_US,
            self.listener,
            self.loop.report,
            lambda: 0.5,
        )
        self.brain = self.pilot.brain
        self.calls = self.pilot.calls

    def begin(self, **snapshot):
        """Answers the first event stream and the first watch, and returns both."""
        stream, watch = self.relay.accept(), self.discovery.accept()
        assert stream.request()[0].startswith("GET /api/stream")
        stream.send(CHUNKED + chunk(snapshot_text(**snapshot)))
        self.loop.until(lambda: self.loop.reported("standing"))
        watch.request()
        watch.send(CHUNKED + chunk("\n"))
        return stream, watch

    def order(self, *decisions):
        """Adds decisions to those of the module and submits them."""
        self.brain.pending_decisions.extend(decisions)
        self.pilot._pull_decisions()
        self.loop.settle()

    def config_for(self, relay, discovery):
        return make_config(registry={"address": relay.address_text}, discovery=discovery.address_text)

    def connect(self):
        """Connects to the pilot's listening port."""
        return connect_to(self.loop, self.listener.address)


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


class AnsweringRelay:
    """Serves a stage's relay: streams begin with `snapshot`, and calls end as the next item of `script` says.

    "ok" (the default): all orders accepted. "lost": not applied, reset. "unheard": applied, then reset."""

    def __init__(self, stage):
        self.stage, self.script, self.snapshot = stage, [], snapshot_text()
        self.connections, self.stream = [], None
        self.orders = []  # (time in us, order) of each applied order

    def poll(self):
        while (peer := self.stage.relay.accept_now()) is not None:
            self.connections.append(peer)
        for peer in list(self.connections):
            if b"\r\n\r\n" in peer.poll().received:
                self._answer(peer)
            elif peer.ended:
                self.connections.remove(peer)

    def _answer(self, peer):
        line, body = peer.request()
        if line.startswith("GET"):
            self.stream = peer
            peer.send(CHUNKED + chunk(self.snapshot))
            return
        orders = parse_qs(body.decode())["orders"][0].split(";")
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome != "lost":
            self.orders += [(self.stage.loop.now(), order) for order in orders]
        if outcome == "ok":
            peer.send(http_response(accepted_response(len(orders))))
        else:
            self.connections.remove(peer)
            peer.reset()

    def send(self, *events):
        self.stream.send(chunk("".join(sse_event(*event) for event in events)))
