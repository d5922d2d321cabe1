"""Scripted platform services on the virtual clock: a relay, a discovery service and a configuration."""

import json
from urllib.parse import parse_qs

import h11
from program import SECOND, virtual_loop

from cedarshift.codec.platform import frames
from cedarshift.codec.platform.config import Environment, parse_config
from cedarshift.loop import StreamBroken, TimedOut, dial, listen
from cedarshift.platform.service import PlatformPilot

RELAY, DISCOVERY, PILOT = ("127.0.0.1", 6400), ("127.0.0.1", 8500), ("127.0.0.1", 8081)
START_S = 1_700_000_000  # Unix time when the virtual clock reads 0
SETTINGS = {
    "classes": [
        {"name": "get", "on_time_ns": 2_000_000_000, "deadline_ns": 6_000_000_000},
        {"name": "put", "on_time_ns": 2_000_000_000, "deadline_ns": 3_000_000_000},
    ],
    "discovery": "push",
    "fleet_size": 1,
    "position": 0,
    "zones": ["za", "zb"],
    "family_info": {
        "ranges": 4,
        "one_owner": True,
        "mutating": [False, True],
        "throttle_by": "fraction",
        "lease_ns": 800_000_000,
        "in_flight_max_ns": 1_000_000_000,
        "per_message": 16.0,
        "pending_max": 9500.0,
        "push_rate": 6300.0,
        "report_every_ns": 2_000_000_000,
        "push_delay_max_ns": 100_000_000,
    },
    "rules": {
        "drain_grace_ns": 3_000_000_000,
        "warm_within_ns": 15_000_000_000,
        "cold_from": 0.2,
        "fall_multiple": 3.0,
    },
}


def instance(name, lifecycle="ready", started=0, zone="za"):
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:1",
        "zone": zone,
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def listing(revision, *instances, reset=False):
    return {"generation": revision, "reset": reset, "instances": list(instances)}


def configuration(**changes):
    return {
        "name": "n0",
        "listen": "127.0.0.1:8081",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "registry": {"address": "127.0.0.1:6400"},
        "known": listing(7, instance("a"), instance("b"), reset=True),
        "settings": SETTINGS,
        **changes,
    }


ENVIRONMENT = Environment("n0", PILOT, DISCOVERY, "config.json")


def make_config(**changes):
    return parse_config(ENVIRONMENT, json.dumps(configuration(**changes)).encode())


class Relay:
    """A relay. `script` holds the outcomes of the next calls, "ok" when it is empty: "silent" (applied, no
    response), "lost" (not applied, reset), "spoilt" (applied, invalid response), "busy", or a number of
    orders to accept."""

    def __init__(self, loop, address=RELAY):
        self.loop, self.script, self.snapshot, self.streams = loop, [], [], []
        self.calls = []  # (connection number, orders) of each call
        self.connections = self.closed_by_pilot = 0
        self.refuses_streams = False  # calls are still answered
        self.listener = listen(loop, address)
        loop.spawn(self._accept(), "relay")

    def set_snapshot(self, proxies=(0, 1), slices=None, zone="za"):
        """Sets the initial events of a stream: joined proxies, and slices with owners ("" for none)."""
        owners = {0: "a", 1: "b", 2: "a", 3: "b"} if slices is None else slices
        self.snapshot = [("hello", f"node={n}&locality={zone}&w=2.5&cold=0") for n in proxies]
        for number, owner in owners.items():
            self.snapshot.append(("lease", f"shard={number}&set=1"))
            if owner:
                self.snapshot.append(("line", f"shard={number}&endpoint={owner}&w=1.0"))

    def send_event(self, event, data):
        self._write(f"event: {event}\ndata: {data}\n\n")

    def _write(self, text):
        self.streams = [one for one in self.streams if not one[0].closed]
        for stream, conn in self.streams:
            stream.write(conn.send(h11.Data(data=text.encode())))

    def cut(self):
        for stream, _ in self.streams:
            stream.close()
        self.streams = []

    def _accept(self):
        while True:
            stream = yield from self.listener.accept()
            self.connections += 1
            self.loop.spawn(self._talk(stream, self.connections), "relay connection")

    def _talk(self, stream, number):
        conn = h11.Connection(h11.SERVER)
        try:
            while True:
                head, body = yield from self._request(stream, conn)
                if head.method == b"GET":
                    if self.refuses_streams:
                        raise StreamBroken("refused")
                    stream.write(
                        conn.send(
                            h11.Response(
                                status_code=200,
                                headers=[
                                    ("content-type", "text/event-stream"),
                                    ("transfer-encoding", "chunked"),
                                ],
                            )
                        )
                    )
                    self.streams = [(stream, conn)]
                    for event, data in self.snapshot:
                        self.send_event(event, data)
                    yield from stream.read()
                    self.closed_by_pilot += 1
                    return
                self._answer(stream, conn, number, parse_qs(body.decode())["orders"][0].split(";"))
                conn.start_next_cycle()
        except (StreamBroken, TimedOut, h11.ProtocolError):
            stream.close()
        except TimeoutError:
            yield from read_to_the_end(stream)

    def _request(self, stream, conn):
        head, body = None, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = yield from stream.read()
                if not data:
                    raise StreamBroken("gone")
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return head, body

    def _answer(self, stream, conn, number, orders):
        self.calls.append((number, orders))
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome == "silent":
            raise TimeoutError("no response, connection left open")
        if outcome == "lost":
            raise StreamBroken("lost")
        accepted = len(orders) if outcome == "ok" else outcome
        text = (
            '<?xml version="1.0"?>\n'
            f"<Response><entries><item><ok_count>{accepted}</ok_count></item></entries></Response>"
        )
        if outcome == "busy":
            text = "<Response><Errors><Error><Code>BUSY</Code></Error></Errors></Response>"
        if outcome == "spoilt":
            text = text[:40]
        stream.write(
            conn.send(h11.Response(status_code=200, headers=[("content-length", str(len(text)))]))
            + conn.send(h11.Data(data=text.encode()))
            + conn.send(h11.EndOfMessage())
        )


def read_to_the_end(stream):
    """Waits until the peer closes or resets the connection."""
    try:
        yield from stream.read()
    except StreamBroken:
        pass


class ListAgent:
    """A discovery service: each watch receives `initial_lists`, then whatever is published."""

    def __init__(self, loop, address=DISCOVERY):
        self.loop, self.initial_lists, self.requested_targets, self.streams = loop, [], [], []
        self.listener = listen(loop, address)
        loop.spawn(self._accept(), "agent")

    def publish(self, text):
        text = text if isinstance(text, str) else json.dumps(text) + "\n"
        for stream, conn in self.streams:
            stream.write(conn.send(h11.Data(data=text.encode())))

    def _accept(self):
        while True:
            stream = yield from self.listener.accept()
            self.loop.spawn(self._talk(stream), "agent connection")

    def _talk(self, stream):
        try:
            yield from self._serve(stream)
        except StreamBroken:  # reset by the pilot's end
            stream.close()

    def _serve(self, stream):
        conn = h11.Connection(h11.SERVER)
        while not isinstance(event := conn.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Request):
                self.requested_targets.append(event.target.decode())
            elif event is h11.NEED_DATA:
                conn.receive_data((yield from stream.read()))
        stream.write(conn.send(h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])))
        self.streams = [(stream, conn)]
        for one in self.initial_lists:
            self.publish(one)
        yield from stream.read()
        stream.close()


class Stage:
    """A pilot, its relay and its discovery in one loop. `run(seconds)` advances time with heartbeats."""

    def __init__(self, proxies=(0, 1), slices=None, **changes):
        self.loop = virtual_loop()
        self.relay = Relay(self.loop)
        self.relay.set_snapshot(proxies, slices)
        self.agent = ListAgent(self.loop)
        self.config = make_config(**changes)
        self.heartbeats, self.wall_offset = True, START_S * SECOND
        self.pilot = PlatformPilot(
            self.loop,
            self.config,
            lambda: self.loop.now() + self.wall_offset,
            listen(self.loop, PILOT),
            self.loop.report,
            lambda: 0.5,
        )
        self.brain = self.pilot.brain
        self.loop.spawn(self._send_heartbeats(), "heartbeats")

    def _send_heartbeats(self):
        while True:
            yield from self.loop.sleep(SECOND // 2)
            if self.heartbeats:
                self.relay._write(":\n\n")
                self.agent.publish("\n")

    def run(self, seconds):
        def wait():
            yield from self.loop.sleep(int(seconds * SECOND))

        self.loop.run(self.loop.spawn(wait(), "wait"))
        return self

    def step_wall_clock(self, seconds):
        """Steps the wall clock; the monotonic clock is unaffected."""
        self.wall_offset += seconds * SECOND

    def unix_ms(self):
        return (self.loop.now() + self.wall_offset) // 1000

    def do(self, coroutine):
        return self.loop.run(self.loop.spawn(coroutine, "test"))

    def logged(self, event):
        return [fields for name, fields in self.loop.events if name == event]

    def order(self, *decisions):
        """Adds decisions to those of the module and submits them."""
        self.brain.pending_decisions.extend(decisions)
        self.pilot._pull_decisions()

    def orders(self):
        return [one for _, orders in self.relay.calls for one in orders]


def connect_and_send(stage, *pieces, until=10.0):
    """Returns (bytes received, seconds until the connection was closed or None if it stayed open)."""

    def talk():
        stream = yield from dial(stage.loop, PILOT)
        started_at = stage.loop.now()
        for piece in pieces:
            stream.write(piece)
        received = b""
        try:
            while data := (yield from stream.read(started_at + int(until * SECOND))):
                received += data
        except TimedOut:
            return received, None
        except StreamBroken:
            pass
        return received, (stage.loop.now() - started_at) / SECOND

    return talk()


def frame(**message):
    return frames.encode(message)
