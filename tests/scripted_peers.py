"""Peers on real loopback sockets whose every byte a test sends itself, and a loop whose clock moves only when told.

The program's own parts run over `select.epoll` in the test's thread. So the order of two events is what the test makes it: it
acts as the peer, or moves the clock, and then lets the loop run until what it waits for is seen.
"""

import os
import socket
import struct
import time
from urllib.parse import parse_qs

from platform_parts import a_place

from cedarshift.codec.platform import frames
from cedarshift.loop import Loop, listen
from cedarshift.loop.epoll import EpollNetwork
from cedarshift.platform.service import PlatformPilot

PATIENCE = 5.0  # s of real time after which what is waited for has not come
QUIET_PASSES = 5  # passes of the loop without an event after which nothing more is under way on loopback
SECOND = 1_000_000  # us
WALL = 1_700_000_000 * SECOND


class SteppedClock:
    def __init__(self):
        self.time = 1_000 * SECOND

    def now(self):
        return self.time


class SteppedLoop(Loop):
    """A loop over real sockets on a clock that `advance` moves."""

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
        """Runs until `condition()` gives something true, which is returned."""
        limit = time.monotonic() + PATIENCE
        while not (got := condition()):
            assert time.monotonic() < limit, "what is waited for has not come"
            self.step()
        return got

    def settle(self, wait=1_000):
        """Runs until everything that is under way has come. `wait`: us of real time for each of some looks at the network."""
        for _ in range(QUIET_PASSES):
            self.step(wait)
            while self.ready:
                self.step(wait)

    def advance(self, seconds):
        self.clock.time += int(seconds * SECOND)
        self.settle()

    def held(self):
        """What must be back at its former count after a test: tasks, timers, and sockets that the loop watches."""
        timers = sum(timer.call is not None for _, _, timer in self.timers)
        return {
            "tasks": sorted(task.name for task in self.tasks),
            "timers": timers,
            "sockets": len(self.network.callbacks),
        }


class Peer:
    """One end of a connection, in the test's hands."""

    def __init__(self, loop, sock):
        self.loop = loop
        self.sock = sock
        self.sock.setblocking(False)
        self.got = b""
        self.ended = None  # "finished" or "reset", once the other side has ended

    def look(self):
        """Takes in what has come."""
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
            self.got += data
        return self

    def until(self, text):
        """Runs the loop until `text` has come; returns all up to its end and keeps the rest."""
        self.loop.until(lambda: text in self.look().got)
        at = self.got.index(text) + len(text)
        taken, self.got = self.got[:at], self.got[at:]
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
        self.loop.until(lambda: len(self.look().got) >= length)
        body, self.got = self.got[:length], self.got[length:]
        return head.split("\r\n")[0], body

    def until_ended(self):
        return self.loop.until(lambda: self.look().ended)

    def say(self, data):
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
        self.text = "%s:%d" % self.address

    def waiting(self):
        """The next connection, or None where nobody has connected."""
        try:
            return Peer(self.loop, self.sock.accept()[0])
        except BlockingIOError:
            return None

    def accept(self):
        return self.loop.until(self.waiting)

    def close(self):
        self.sock.close()


def call_to(loop, address):
    sock = socket.create_connection(address, timeout=PATIENCE)
    return Peer(loop, sock)


def frame(**message):
    return frames.encode(message)


def answer(body, extra=b"", length=None):
    """An HTTP answer. `length`: what its head claims."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) if length is None else length}\r\n\r\n"
    return head.encode() + body + extra


def taken(count):
    """The body of a relay's answer that tells how many orders it took."""
    return f"<?xml version='1.0'?>\n<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>".encode()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text):
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def news(event, data):
    return f"event: {event}\ndata: {data}\n\n"


def standing(proxies=(0, 1), slices=None, zone="za"):
    """What a stream begins with, up to the first sign of life."""
    owners = {0: "a", 1: "b", 2: "a", 3: "b"} if slices is None else slices
    text = "".join(news("hello", f"node={n}&locality={zone}&w=2.5&cold=0") for n in proxies)
    for number, owner in owners.items():
        text += news("lease", f"shard={number}&set=1")
        if owner:
            text += news("line", f"shard={number}&endpoint={owner}&w=1.0")
    return text + ":\n\n"


class Stage:
    """A pilot between a scripted relay and a scripted discovery; `streams` are its stream of events and its watch, answered."""

    def __init__(self, **changes):
        self.loop = SteppedLoop()
        self.relay, self.discovery = Server(self.loop), Server(self.loop)
        self.listener = listen(self.loop, ("127.0.0.1", 0))
        place = a_place(
            **{"registry": {"address": self.relay.text}, "discovery": self.discovery.text, **changes}
        )
        self.pilot = PlatformPilot(
            self.loop, place, lambda: self.loop.now() + WALL, self.listener, self.loop.report, lambda: 0.5
        )
        self.brain = self.pilot.brain
        self.calls = self.pilot.calls

    def begin(self, **stands):
        """Answers the first stream and the first watch; returns them."""
        stream, watch = self.relay.accept(), self.discovery.accept()
        assert stream.request()[0].startswith("GET /api/stream")
        stream.say(CHUNKED + chunk(standing(**stands)))
        self.loop.until(lambda: self.loop.reported("standing"))
        watch.request()
        watch.say(CHUNKED + chunk("\n"))
        return stream, watch

    def order(self, *decisions):
        """Has the module decide these, beside whatever it decides itself."""
        self.brain.out.extend(decisions)
        self.pilot._pull()
        self.loop.settle()

    def moved_to(self, relay, discovery):
        return a_place(registry={"address": relay.text}, discovery=discovery.text)

    def call(self):
        """A connection to the pilot's own address."""
        return call_to(self.loop, self.listener.address)


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


class AnsweringRelay:
    """Answers what comes to a stage's relay: a stream with `stands`, a call as the next word of `script` says.

    "ok" and nothing: all orders taken. "lost": reset, not carried out. "unheard": carried out, then reset."""

    def __init__(self, stage):
        self.stage, self.script, self.stands = stage, [], standing()
        self.open, self.stream = [], None
        self.orders = []  # (time in us, order) of each order that was carried out

    def look(self):
        while (peer := self.stage.relay.waiting()) is not None:
            self.open.append(peer)
        for peer in list(self.open):
            if b"\r\n\r\n" in peer.look().got:
                self._answer(peer)
            elif peer.ended:
                self.open.remove(peer)

    def _answer(self, peer):
        line, body = peer.request()
        if line.startswith("GET"):
            self.stream = peer
            peer.say(CHUNKED + chunk(self.stands))
            return
        orders = parse_qs(body.decode())["orders"][0].split(";")
        fate = self.script.pop(0) if self.script else "ok"
        if fate != "lost":
            self.orders += [(self.stage.loop.now(), order) for order in orders]
        if fate == "ok":
            peer.say(answer(taken(len(orders))))
        else:
            self.open.remove(peer)
            peer.reset()

    def say(self, *events):
        self.stream.say(chunk("".join(news(*event) for event in events)))
