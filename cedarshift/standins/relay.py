"""Relays between the programs of a rehearsal that pass, drop, refuse, delay or reset traffic on command.

A link is named "x3>p0" or "p0>store" and has its own listening address, for streams and, if configured, for
datagrams. A relay reads the headers of the frames that pass, so that it can stop a pilot's traffic once an
order has reached a given number of proxies. The two directions of a link are set separately: "there" is
towards the target.

    POST /control  {"links": [...], "mode": "pass" | "drop" | "refuse" | "reset", "delay_ms": n, "for_s": s,
                    "way": "both" | "there" | "back", "loss": share of datagrams}
                   {"arm": PILOT, "passes": n}
    GET  /sprung   the armed pilots whose traffic has been stopped
"""

from __future__ import annotations

import random
from typing import Any, Optional

import msgspec

from cedarshift.codec.frames import HEADER
from cedarshift.loop import Datagrams, Listener, Loop, Stream, StreamBroken, TimedOut, datagrams, dial, listen
from cedarshift.loop.core import Coroutine
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, serve_http

ORDER_KIND = 17  # the frame kind of an order
MAX_CALLERS = 64  # per datagram link; sockets of restarted callers stay open
MIN_ORDER_BYTES = 60  # shorter orders hold a mark only


class RelayPlan(msgspec.Struct):
    """Settings of a relay, passed as JSON."""

    address: tuple[str, int]
    links: dict[str, tuple[tuple[str, int], tuple[str, int]]]  # name -> (listening address, target)
    datagrams: list[str] = []  # names of the links that also carry datagrams
    seed: int = 0  # of the random losses


class LinkState:
    """The faults of one link; `dropped` and `loss` by direction, True for the way back."""

    def __init__(self) -> None:
        self.mode = "pass"  # of both directions
        self.delay_us = 0
        self.dropped = {False: False, True: False}
        self.loss = {False: 0.0, True: 0.0}
        self.streams: set[Stream] = set()

    def is_dropping(self, back: bool) -> bool:
        return self.mode in ("drop", "refuse") or self.dropped[back]


class Relay:
    """Relays all links of a plan."""

    def __init__(self, loop: Loop, plan: RelayPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.recorder = recorder
        self.link_states = {name: LinkState() for name in plan.links}
        self.orders_until_stop: dict[str, int] = {}
        self.stopped: set[str] = set()
        for name, (address, target) in plan.links.items():
            loop.spawn(self._accept(name, listen(loop, address), target), f"relay {name}")
        self.rng = random.Random(plan.seed)
        for name in plan.datagrams:
            address, target = plan.links[name]
            loop.spawn(self._datagrams(name, datagrams(loop, address), target), f"relay {name} datagrams")
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._handle_request), "http")

    def _datagrams(self, name: str, listener: Datagrams, target: tuple[str, int]) -> Coroutine:
        """Relays datagrams to the target, from one socket per caller, to tell whose answer comes back."""
        caller_sockets: dict[tuple[str, int], Datagrams] = {}
        while True:
            data, source = yield from listener.receive()
            if source not in caller_sockets:
                if len(caller_sockets) >= MAX_CALLERS:
                    continue
                caller_sockets[source] = datagrams(self.loop, (listener.address[0], 0))
                self.loop.spawn(
                    self._datagrams_back(name, caller_sockets[source], listener, source),
                    f"relay {name} datagrams back",
                )
            self._pass_datagram(name, False, caller_sockets[source], data, target)

    def _datagrams_back(
        self, name: str, upstream: Datagrams, listener: Datagrams, source: tuple[str, int]
    ) -> Coroutine:
        while True:
            data, _ = yield from upstream.receive()
            self._pass_datagram(name, True, listener, data, source)

    def _pass_datagram(
        self, name: str, back: bool, socket: Datagrams, data: bytes, to: tuple[str, int]
    ) -> None:
        link_state = self.link_states[name]
        if link_state.is_dropping(back) or self.rng.random() < link_state.loss[back]:
            return
        if link_state.delay_us:
            self.loop.at(self.loop.now() + link_state.delay_us, socket.send, data, to)
        else:
            socket.send(data, to)

    def _accept(self, name: str, listener: Listener, target: tuple[str, int]) -> Coroutine:
        while True:
            client_stream = yield from listener.accept()
            if self.link_states[name].mode == "refuse":
                client_stream.close()
            else:
                self.loop.spawn(self._relay_stream(name, client_stream, target), f"relay {name}")

    def _relay_stream(self, name: str, client_stream: Stream, target: tuple[str, int]) -> Coroutine:
        try:
            target_stream = yield from dial(self.loop, target, 500_000)
        except StreamBroken:
            client_stream.close()
            return
        link_state = self.link_states[name]
        link_state.streams |= {client_stream, target_stream}
        back = self.loop.spawn(
            self._copy_stream(name, target_stream, client_stream, True), f"relay {name} back"
        )
        yield from self._copy_stream(name, client_stream, target_stream, False)
        yield from back.join()
        link_state.streams -= {client_stream, target_stream}

    def _copy_stream(self, name: str, source: Stream, target: Stream, back: bool) -> Coroutine:
        link_state, buffer = self.link_states[name], bytearray()
        try:
            while data := (yield from source.read()):
                if (
                    link_state.mode == "drop" or link_state.dropped[back]
                ):  # the streams stay open without traffic
                    continue
                if link_state.delay_us:
                    yield from self.loop.sleep(link_state.delay_us)
                if (
                    back and self.orders_until_stop and name.rpartition(">")[2] in self.orders_until_stop
                ):  # a proxy's link to the pilot
                    buffer += data
                    data = self._take_passing_frames(name.rpartition(">")[2], buffer)
                if data:
                    target.write(data)
        except (StreamBroken, TimedOut):
            pass
        source.close()
        target.finish(200_000)

    def _take_passing_frames(self, pilot: str, buffer: bytearray) -> bytes:
        """Takes the frames that may pass off the buffer; none once the pilot has been stopped."""
        out = b""
        while len(buffer) >= HEADER.size and pilot not in self.stopped:
            length, kind, _ = HEADER.unpack_from(buffer)
            if len(buffer) < 4 + length:
                break
            if pilot in self.orders_until_stop and kind == ORDER_KIND and length >= MIN_ORDER_BYTES:
                if self.orders_until_stop[pilot] <= 0:
                    self.stopped.add(pilot)
                    self.recorder.note("sprung", pilot)
                    break
                self.orders_until_stop[pilot] -= 1
            out += bytes(buffer[: 4 + length])
            del buffer[: 4 + length]
        return out

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        yield from self.loop.yield_control()
        if request.target == "/sprung":
            return HttpReply(200, msgspec.json.encode(sorted(self.stopped)))
        if request.target != "/control":
            return HttpReply(404, b"")
        self._control(msgspec.json.decode(request.body))
        return HttpReply(200, b"{}")

    def _control(self, command: dict[str, Any]) -> None:
        self.recorder.note("control", command)
        if "arm" in command:
            self.stopped.discard(command["arm"])
            self.orders_until_stop[command["arm"]] = command["passes"]
        if "disarm" in command:
            self.orders_until_stop.pop(command["disarm"], None)
            self.stopped.discard(command["disarm"])
        for name in command.get("links", []):
            self._set_link(
                name,
                command.get("mode", "pass"),
                int(command.get("delay_ms", 0) * 1000),
                command.get("way", "both"),
                command.get("loss", 0.0),
            )
        if command.get("for_s"):
            self.loop.at(
                self.loop.now() + int(command["for_s"] * 1e6), self._restore, command.get("links", [])
            )

    def _set_link(
        self, name: str, mode: str, delay_us: int, direction: str = "both", loss: float = 0.0
    ) -> None:
        link_state = self.link_states[name]
        back_flags = [
            back for back, word in ((False, "there"), (True, "back")) if direction in ("both", word)
        ]
        for back in back_flags:
            link_state.loss[back] = loss
        if direction != "both":
            restored = any(link_state.dropped[back] for back in back_flags) and mode == "pass"
            for back in back_flags:
                link_state.dropped[back] = mode == "drop"
            if restored:
                for stream in list(link_state.streams):
                    stream.close()
            return
        link_state.dropped = {False: False, True: False}
        previous_mode, link_state.mode, link_state.delay_us = (
            link_state.mode,
            mode if mode != "reset" else "pass",
            delay_us,
        )
        if mode in ("refuse", "reset") or (
            previous_mode == "drop" and mode == "pass"
        ):  # dropped bytes can't be recovered: the streams must restart
            for stream in list(link_state.streams):
                stream.close()

    def _restore(self, names: list[str]) -> None:
        for name in names:
            self._set_link(name, "pass", 0)


def run(loop: Loop, raw: bytes, record: str) -> Optional[Relay]:
    return Relay(loop, msgspec.json.decode(raw, type=RelayPlan), Recorder(loop, record))
