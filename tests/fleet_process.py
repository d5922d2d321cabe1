"""The real program at the platform before a relay of 150 modelled proxies, over loopback: streams that break, flap, stay mute or
deaf, answers to calls that are lost, event streams that are reset, kills and restarts. By hand, eight seeds side by side:
`.venv/bin/python tests/fleet_process.py FIRST LAST [SECONDS]`.

What decides are the oracles of `cedarshift/standins/proxy_fleet.py`, over what the proxies hold.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from platform_parts import SETTINGS, ListAgent, Relay, configuration, frame, instance, listing

from cedarshift.loop import StreamBroken
from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports
from cedarshift.standins.proxy_fleet import Faults, ProxyFleet

PROXIES, ENDPOINTS, SLICES = 150, 30, 84
EMPTY_FOR = 17.9  # s, as on the days of the report
SLACK = 0.3  # s, the protocol page's
NEWS_LOST_WAITS = 4.0  # s, the protocol page's, for each time that the only stream of events ended
LEASE, IN_HAND = 0.8, 3.02
UNIT = 100  # us in the model's unit
TICK = 10_000  # us between two looks of the model
SIGN_EVERY = 500_000  # us between two signs of life
REPLACE_EVERY, GONE_AFTER = 3.0, 4.5
TAKEN_OVER_AFTER = 0.9  # s from the loss of a pilot to its slices' next giving, at the earliest
READY_WITHIN = 10.0
SIDE_BY_SIDE = 8  # seeds at a time, by hand
EARLIEST_KILL = 0.7  # s after SIGTERM
PROBE, ALIVE = frame(t="probe"), frame(t="alive")


@dataclass
class DoorFaults:
    """`answers`: by outcome of a call its share ("silent", "lost", "spoilt"). `resets`: event streams reset a second. `stalls`: times a
    second that events are held back for 0.2 to 4 s, and come in order then. `stops`: (s after the start, seconds until the next
    start, graceful) of the process."""

    answers: dict[str, float] = field(default_factory=dict)
    resets: float = 0.0
    stalls: float = 0.0
    stops: tuple[tuple[float, float, bool], ...] = ()


class FleetRelay(Relay):
    """A relay whose store and proxies are the model's. Slices and proxies come as events once a stream has begun."""

    def __init__(self, loop, address, seed, faults, door, owners):
        super().__init__(loop, address)
        self.chance, self.door_faults, self.began = random.Random(seed), door, loop.now()
        self.fleet = ProxyFleet(
            seed, faults, owners, self._tell, PROXIES, int(LEASE * 10_000), int(IN_HAND * 10_000)
        )
        self.lost_at, self.losing = None, False
        self.stalled_until, self.held_back = 0, []  # (streams, text) of each write meanwhile
        self.asked_at = []  # s; when each stream of events but the first began
        self.followed = None
        loop.spawn(self._play(), "fleet")

    def now(self):
        return (self.loop.now() - self.began) // UNIT

    def lose_pilot(self):
        """The process is gone: its proxies' leases run out, and its slices are another's from then on."""
        self.losing, self.lost_at, self.snapshot = False, self.loop.now(), []
        self.cut()
        self.fleet.lose_pilot()

    def _play(self):
        next_sign = 0
        while True:
            yield from self.loop.sleep(TICK)
            self.fleet.advance(self.now())
            if self.streams and self.streams != self.followed:
                self.asked_at += [self.now() * UNIT / 1e6] if self.followed else []
                self.followed = list(self.streams)
            if self.losing:
                self.lose_pilot()
            elif self.lost_at is None:
                self.snapshot = self._stands()
            elif self.streams and self.loop.now() - self.lost_at > TAKEN_OVER_AFTER * 1e6:
                self._give_back()
            if self.chance.random() < self.door_faults.resets * TICK / 1e6:
                self.cut()
            if self.chance.random() < self.door_faults.stalls * TICK / 1e6:
                self.stalled_until = self.loop.now() + int(self.chance.uniform(0.2, 4) * 1e6)
            if self.loop.now() >= next_sign:
                next_sign = self.loop.now() + SIGN_EVERY
                self._write(":\n\n")

    def _give_back(self):
        self.lost_at = None
        for number, row in self.fleet.reassign_slices().items():
            self.send_event("lease", f"shard={number}&set=1")
            if row.owner:
                self.send_event("line", f"shard={number}&endpoint={row.owner}&w=1.0")

    def _stands(self):
        told = [("hello", _hello(number)) for number, proxy in self.fleet.proxies.items() if proxy.joined]
        for number, row in self.fleet.store.items():
            told.append(("lease", f"shard={number}&set=1"))
            if row.owner:
                told.append(("line", f"shard={number}&endpoint={row.owner}&w=1.0"))
        return told

    def _tell(self, event, proxy, *more):
        if event == "ack":
            self.send_event("ack", f"node={proxy}&nonce={more[0]}&latency={more[1] / 10}")
        else:
            self.send_event(
                "hello" if event == "join" else "bye", _hello(proxy) if event == "join" else f"node={proxy}"
            )

    def _write(self, text):
        if self.loop.now() < self.stalled_until:
            self.held_back.append((list(self.streams), text))
            return
        held, self.held_back = self.held_back, []
        for streams, late in held:  # what a stream that has gone was to tell is lost
            if streams == self.streams:
                self._write_now(late)
        self._write_now(text)

    def _write_now(self, text):
        try:
            super()._write(text)
        except StreamBroken:  # the process was killed: whoever follows next is told what stands
            self.streams = []

    def _answer(self, stream, conn, number, orders):
        drawn = self.chance.random()
        for outcome, share in self.door_faults.answers.items():
            drawn -= share
            if drawn < 0:
                self.script = [outcome]
                break
        if self.script != ["lost"] and self.lost_at is None:
            self.fleet.apply_batch(self.now(), [one for one in map(_order, orders) if one is not None])
        super()._answer(stream, conn, number, orders)


class FleetAgent(ListAgent):
    """A discovery that outlives the process it serves."""

    def publish(self, text):
        try:
            super().publish(text)
        except StreamBroken:
            self.streams = []


def _hello(proxy):
    return f"node={proxy}&locality=za&w=2.5&cold=0"


def _order(text):
    """A relay's order in the model's words; None for one that changes no slice."""
    verb, *rest = text.split(",")
    if verb == "mark":
        return "mark", int(rest[0])
    if rest[0] == "*":
        return None
    if verb == "share":
        return "line", int(rest[0]), rest[1], float(rest[2])
    return "level", int(rest[0]), float(rest[2])


class FleetScene:
    """One seed: the process, its relay and its discovery, a release of the endpoints, and a client that probes."""

    def __init__(self, seed, faults, door, folder):
        self.seed, self.door, self.folder = seed, door, Path(folder)
        ports = self.ports = Ports(real_loop())  # held to the end: scenes side by side share no address
        self.listen, relay, discovery = ports.take(), ports.take(), ports.take()
        self.names = [f"e{number:02}" for number in range(ENDPOINTS)]
        family = {
            **SETTINGS["family_info"],
            "ranges": 2 * SLICES,
            "lease_ns": int(LEASE * 1e9),
            "in_flight_max_ns": int(IN_HAND * 1e9),
            "empty_for_ns": int(EMPTY_FOR * 1e9),
            "push_delay_max_ns": 662_500_000,
        }
        known = listing(7, *(instance(name) for name in self.names), reset=True)
        (self.folder / "config.json").write_text(
            json.dumps(
                configuration(
                    listen="%s:%d" % self.listen,
                    discovery="%s:%d" % discovery,
                    registry={"address": "%s:%d" % relay},
                    known=known,
                    settings={**SETTINGS, "family_info": family},
                )
            )
        )
        self.environ = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": "%s:%d" % self.listen,
            "RELAY_DISCOVERY": "%s:%d" % discovery,
            "RELAY_CONFIG": str(self.folder / "config.json"),
        }
        owners = {2 * number: self.names[number % ENDPOINTS] for number in range(SLICES)}
        self.loop = real_loop(self._report)
        self.relay = FleetRelay(self.loop, relay, seed, faults, door, owners)
        self.agent = FleetAgent(self.loop, discovery)
        self.loop.spawn(self._release(), "release")
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.broken, self.longest = [], 0.0

    def _report(self, event, **fields):
        """A fault of the peers themselves is no verdict on the program."""
        if event in ("task_failed", "timer_failed"):
            self.broken.append(f"the stand-in: {event} {fields}"[:2000])

    def run(self, seconds):
        """Returns what was broken."""
        self.thread.start()
        process, begun = self._start(), time.monotonic()
        try:
            for at, away, graceful in self.door.stops:
                time.sleep(max(0, begun + at - time.monotonic()))
                self._stop(process, graceful)
                time.sleep(away)
                process = self._start()
            time.sleep(max(0, begun + seconds - time.monotonic()))
        finally:
            process.kill()
            process.wait()
        self.loop.stop()
        self.thread.join()
        self.ports.release()
        self._judge()
        return self.broken

    def _judge(self):
        fleet = self.relay.fleet
        self.longest = fleet.finish()
        over = [gap for gap in fleet.gaps if gap.until - gap.since > EMPTY_FOR + SLACK + self._waits(gap)]
        if over:
            self.broken.append(f"{len(over)} without a line for too long, first {over[0]}")
        if fleet.conflicts:
            self.broken.append(f"{len(fleet.conflicts)} conflicting owners, first {fleet.conflicts[0]}")
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            if any(word in line for word in ("task_failed", "timer_failed", "module_failed", "Traceback")):
                self.broken.append(line[:300])

    def _waits(self, gap):
        """The protocol page: where the relay breaks off its only news, time limits wait 4 s, each time."""
        return NEWS_LOST_WAITS * sum(gap.since <= at <= gap.until for at in self.relay.asked_at)

    def _start(self):
        with open(self.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "cedarshift", "platform"], env=self.environ, stderr=log
            )
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            try:
                with socket.create_connection(self.listen, timeout=1) as asking:
                    asking.sendall(PROBE)
                    if asking.recv(100) == ALIVE:
                        return process
            except OSError:
                time.sleep(0.02)
        self.broken.append(f"not ready within {READY_WITHIN} s")
        return process

    def _stop(self, process, graceful):
        if graceful:
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(EARLIEST_KILL)
            except subprocess.TimeoutExpired:
                self.broken.append(f"still there {EARLIEST_KILL} s after SIGTERM")
        process.kill()
        process.wait()
        self.relay.losing = True

    def _release(self):
        """One endpoint drains, and another comes, each 3 s; signs of life between."""
        listed = {name: instance(name) for name in self.names}
        revision, gone, next_at = 8, [], self.loop.now() + int(REPLACE_EVERY * 1e6)
        while True:
            yield from self.loop.sleep(250_000)
            changes = []
            while gone and gone[0][0] <= self.loop.now():
                changes.append(instance(gone.pop(0)[1], "gone"))
            if self.loop.now() >= next_at:
                next_at += int(REPLACE_EVERY * 1e6)
                old, new = self.names.pop(0), f"e{revision:03}"
                self.names.append(new)
                gone.append((self.loop.now() + int(GONE_AFTER * 1e6), old))
                changes += [instance(old, "draining"), instance(new, started=int(time.time() * 1000))]
            if changes:
                revision += 1
                listed.update({one["instanceId"]: one for one in changes})
                self.agent.initial_lists = [
                    listing(
                        revision, *(one for one in listed.values() if one["lifecycle"] != "gone"), reset=True
                    )
                ]
            self.agent.publish(listing(revision, *changes) if changes else "\n")


def drawn(seed):
    """The faults of a seed: one to four kinds, and in some lives a stop of the process."""
    chance = random.Random(seed)
    faults, door = Faults(), DoorFaults()
    for kind in chance.sample(
        ["breaks", "flap", "mute", "deaf", "lost", "slow", "answers", "resets", "stops", "stalls"],
        chance.randint(1, 4),
    ):
        if kind == "breaks":
            faults.breaks, faults.away = (
                chance.uniform(0.5, 8),
                chance.choice([(1.0, 3.0), (0.2, 0.7), (0.2, 3.0)]),
            )
        elif kind == "flap":
            faults.flapping = (chance.randint(1, 40), chance.uniform(0.2, 1.5), chance.uniform(0.05, 0.75))
        elif kind in ("mute", "deaf"):
            setattr(faults, kind, frozenset(chance.sample(range(PROXIES), chance.randint(1, 10))))
        elif kind == "lost":
            faults.lost = chance.uniform(0.02, 0.4)
        elif kind == "slow":
            faults.slow = (10.0, 25.0, chance.uniform(1.5, 4))
        elif kind == "answers":
            door.answers = {outcome: chance.uniform(0, 0.05) for outcome in ("silent", "lost", "spoilt")}
        elif kind == "resets":
            door.resets = chance.uniform(0.02, 0.2)
        elif kind == "stalls":
            door.stalls = chance.uniform(0.02, 0.2)
        else:
            door.stops = tuple(
                (at, chance.uniform(0, 1), chance.random() < 0.5)
                for at in sorted(chance.sample(range(6, 30), 2))
            )
    return faults, door


def soak(seed, seconds):
    """(what was broken, the longest time without a line in s, the faults) of one seed."""
    faults, door = drawn(seed)
    with tempfile.TemporaryDirectory() as folder:
        scene = FleetScene(seed, faults, door, folder)
        return scene.run(seconds), scene.longest, (faults, door)


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 40.0
    failed = 0
    seeds = range(first, last + 1)
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        for seed, (broken, longest, faults) in zip(seeds, pool.map(lambda seed: soak(seed, seconds), seeds)):
            failed += bool(broken)
            print(seed, "BROKEN" if broken else "kept", f"{longest:.1f} s", *broken[:3], *faults, flush=True)
    print(f"{last - first + 1} seeds, {failed} broken")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
