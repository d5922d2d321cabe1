"""Relays between the real programs, one door a link, which pass, drop, refuse, delay or reset as they are told.

A link is named "x3>p0" or "p0>store". A relay reads the heads of the frames that pass, so that it can cut a pilot off
when its order has reached just so many proxies. A datagram link has a door for datagrams beside that for streams, at the same
address. The two directions of a link are set each by itself: "there" is what goes to its target.

    POST /control  {"links": [...], "mode": "pass" | "drop" | "refuse" | "reset", "delay_ms": n, "for_s": s,
                    "way": "both" | "there" | "back", "loss": share of datagrams}
                   {"arm": PILOT, "passes": n}
    GET  /sprung   the pilots whose trap has sprung
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

ORDER = 17  # the frame kind of an order
CALLERS_MOST = 64  # of a datagram link; the ports of callers that were started anew stay open
ORDER_LEAST = 60  # bytes of an order that holds lines, rather than a mark alone


class RelayPlan(msgspec.Struct):
    address: tuple[str, int]
    links: dict[str, tuple[tuple[str, int], tuple[str, int]]]  # name -> (door, target)
    datagrams: list[str] = []  # those that carry datagrams too
    seed: int = 0  # of what is lost


class Way:
    """One link's present state."""

    def __init__(self) -> None:
        self.mode = "pass"  # of the link; a single direction may be dropped beside
        self.delay = 0
        self.dropped = {False: False, True: False}  # by whether it is the way back
        self.loss = {False: 0.0, True: 0.0}
        self.streams: set[Stream] = set()

    def silent(self, back: bool) -> bool:
        return self.mode in ("drop", "refuse") or self.dropped[back]


class Relay:
    def __init__(self, loop: Loop, plan: RelayPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.recorder = recorder
        self.ways = {name: Way() for name in plan.links}
        self.armed: dict[str, int] = {}
        self.sprung: set[str] = set()
        for name, (door, target) in plan.links.items():
            loop.spawn(self._accept(name, listen(loop, door), target), f"relay {name}")
        self.chance = random.Random(plan.seed)
        for name in plan.datagrams:
            door, target = plan.links[name]
            loop.spawn(self._datagrams(name, datagrams(loop, door), target), f"relay {name} datagrams")
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._answer), "http")

    def _datagrams(self, name: str, door: Datagrams, target: tuple[str, int]) -> Coroutine:
        """Each caller has a port of its own towards the target, by which its answers come back to it."""
        ports: dict[tuple[str, int], Datagrams] = {}
        while True:
            data, source = yield from door.receive()
            if source not in ports:
                if len(ports) >= CALLERS_MOST:
                    continue
                ports[source] = datagrams(self.loop, (door.address[0], 0))
                self.loop.spawn(
                    self._datagrams_back(name, ports[source], door, source), f"relay {name} datagrams back"
                )
            self._pass_datagram(name, False, ports[source], data, target)

    def _datagrams_back(
        self, name: str, port: Datagrams, door: Datagrams, source: tuple[str, int]
    ) -> Coroutine:
        while True:
            data, _ = yield from port.receive()
            self._pass_datagram(name, True, door, data, source)

    def _pass_datagram(
        self, name: str, back: bool, port: Datagrams, data: bytes, to: tuple[str, int]
    ) -> None:
        way = self.ways[name]
        if way.silent(back) or self.chance.random() < way.loss[back]:
            return
        if way.delay:
            self.loop.at(self.loop.now() + way.delay, port.send, data, to)
        else:
            port.send(data, to)

    def _accept(self, name: str, listener: Listener, target: tuple[str, int]) -> Coroutine:
        while True:
            near = yield from listener.accept()
            if self.ways[name].mode == "refuse":
                near.close()
            else:
                self.loop.spawn(self._link(name, near, target), f"relay {name}")

    def _link(self, name: str, near: Stream, target: tuple[str, int]) -> Coroutine:
        try:
            far = yield from dial(self.loop, target, 500_000)
        except StreamBroken:
            near.close()
            return
        way = self.ways[name]
        way.streams |= {near, far}
        back = self.loop.spawn(self._carry(name, far, near, True), f"relay {name} back")
        yield from self._carry(name, near, far, False)
        yield from back.join()
        way.streams -= {near, far}

    def _carry(self, name: str, source: Stream, target: Stream, back: bool) -> Coroutine:
        way, buffer = self.ways[name], bytearray()
        try:
            while data := (yield from source.read()):
                if (
                    way.mode == "drop" or way.dropped[back]
                ):  # silence: the streams stay open and nothing comes
                    continue
                if way.delay:
                    yield from self.loop.sleep(way.delay)
                if (
                    back and self.armed and name.rpartition(">")[2] in self.armed
                ):  # a proxy's link: it carries frames
                    buffer += data
                    data = self._until_sprung(name.rpartition(">")[2], buffer)
                if data:
                    target.write(data)
        except (StreamBroken, TimedOut):
            pass
        source.close()
        target.finish(200_000)

    def _until_sprung(self, pilot: str, buffer: bytearray) -> bytes:
        """The whole frames that may pass; once the trap has sprung, none."""
        out = b""
        while len(buffer) >= HEADER.size and pilot not in self.sprung:
            length, kind, _ = HEADER.unpack_from(buffer)
            if len(buffer) < 4 + length:
                break
            if pilot in self.armed and kind == ORDER and length >= ORDER_LEAST:
                if self.armed[pilot] <= 0:
                    self.sprung.add(pilot)
                    self.recorder.note("sprung", pilot)
                    break
                self.armed[pilot] -= 1
            out += bytes(buffer[: 4 + length])
            del buffer[: 4 + length]
        return out

    def _answer(self, asked: HttpRequest) -> Coroutine:
        yield from self.loop.yield_control()
        if asked.target == "/sprung":
            return HttpReply(200, msgspec.json.encode(sorted(self.sprung)))
        if asked.target != "/control":
            return HttpReply(404, b"")
        self._control(msgspec.json.decode(asked.body))
        return HttpReply(200, b"{}")

    def _control(self, order: dict[str, Any]) -> None:
        self.recorder.note("control", order)
        if "arm" in order:
            self.sprung.discard(order["arm"])
            self.armed[order["arm"]] = order["passes"]
        if "disarm" in order:
            self.armed.pop(order["disarm"], None)
            self.sprung.discard(order["disarm"])
        for name in order.get("links", []):
            self._set(
                name,
                order.get("mode", "pass"),
                int(order.get("delay_ms", 0) * 1000),
                order.get("way", "both"),
                order.get("loss", 0.0),
            )
        if order.get("for_s"):
            self.loop.at(self.loop.now() + int(order["for_s"] * 1e6), self._restore, order.get("links", []))

    def _set(self, name: str, mode: str, delay: int, side: str = "both", loss: float = 0.0) -> None:
        way = self.ways[name]
        sides = [back for back, word in ((False, "there"), (True, "back")) if side in ("both", word)]
        for back in sides:
            way.loss[back] = loss
        if side != "both":
            mended = any(way.dropped[back] for back in sides) and mode == "pass"
            for back in sides:
                way.dropped[back] = mode == "drop"
            if mended:
                for stream in list(way.streams):
                    stream.close()
            return
        way.dropped = {False: False, True: False}
        was, way.mode, way.delay = way.mode, mode if mode != "reset" else "pass", delay
        if mode in ("refuse", "reset") or (
            was == "drop" and mode == "pass"
        ):  # what was dropped is missing for good
            for stream in list(way.streams):
                stream.close()

    def _restore(self, names: list[str]) -> None:
        for name in names:
            self._set(name, "pass", 0)


def run(loop: Loop, raw: bytes, record: str) -> Optional[Relay]:
    return Relay(loop, msgspec.json.decode(raw, type=RelayPlan), Recorder(loop, record))
