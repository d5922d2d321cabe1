"""The real program at the platform, before a relay of 150 simulated proxies over loopback.

Streams break, flap, or carry nothing in one direction; answers to calls are lost, event streams are reset,
and the process is killed and restarted. `cedarshift/standins/proxy_fleet.py` checks what the proxies hold. To
run a range of seeds, eight in parallel: `.venv/bin/python tests/fleet_process.py FIRST LAST [SECONDS]`.
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
EMPTY_FOR = 17.9  # s
SLACK = 0.3  # s, by the protocol
STREAM_LOSS_DELAY = 4.0  # s, by the protocol, for each loss of the only event stream
LEASE, IN_FLIGHT = 0.8, 3.02
UNIT_US = 100  # in the model's unit of 0.1 ms
TICK_US = 10_000  # between steps of the model
HEARTBEAT_INTERVAL_US = 1_000_000  # by the protocol
REPLACE_INTERVAL, DRAIN_TIME = 3.0, 4.5
TAKEOVER_DELAY = 0.9  # s, shortest time from the loss of a pilot to the next assignment of its slices
READY_TIMEOUT = 10.0
# Outcomes of calls beside those of `Relay`: the relay's outcome that callers see alike.
APPLIED_AND_RESET, IGNORED = "applied, reset", "ignored"
SEEN_AS = {APPLIED_AND_RESET: "lost", IGNORED: "silent"}
NOT_APPLIED = ("lost", IGNORED)
PARALLEL_SEEDS = 8
STOP_TIMEOUT = 0.7  # s after SIGTERM
PROBE, ALIVE = frame(t="probe"), frame(t="alive")


@dataclass
class RelayFaults:
    """Faults of the relay and stops of the process.

    `answers`: share of calls by outcome ("silent", "lost", "spoilt"). `resets`: resets of event streams per
    second. `stalls`: times per second that events are delayed for 0.2 to 4 s and then delivered in order.
    `stops`: (s after the start, s until the next start, graceful) for each stop of the process.
    """

    answers: dict[str, float] = field(default_factory=dict)
    resets: float = 0.0
    stalls: float = 0.0
    stops: tuple[tuple[float, float, bool], ...] = ()


class FleetRelay(Relay):
    """A relay with the model's store and proxies. Slices and proxies arrive as events of each stream."""

    def __init__(self, loop, address, seed, faults, relay_faults, owners, proxies=PROXIES, lease=LEASE):
        super().__init__(loop, address)
        self.rng, self.relay_faults, self.began = random.Random(seed), relay_faults, loop.now()
        self.fleet = ProxyFleet(
            seed, faults, owners, self._tell, proxies, int(lease * 10_000), int(IN_FLIGHT * 10_000)
        )
        self.lost_at, self.pilot_lost = None, False
        self.stalled_until, self.held_back = 0, []  # (streams, text) of each write during a stall
        self.stream_started_at = []  # s; start of each event stream but the first
        self.followed = None
        loop.spawn(self._run(), "fleet")

    def now(self):
        return (self.loop.now() - self.began) // UNIT_US

    def lose_pilot(self):
        """The process has stopped: its proxies' leases run out, and its slices are reassigned."""
        self.pilot_lost, self.lost_at, self.snapshot = False, self.loop.now(), []
        self.cut()
        self.fleet.lose_pilot()

    def _run(self):
        next_heartbeat = 0
        while True:
            yield from self.loop.sleep(TICK_US)
            self.fleet.advance(self.now())
            if self.streams and self.streams != self.followed:
                self.stream_started_at += [self.now() * UNIT_US / 1e6] if self.followed else []
                self.followed = list(self.streams)
            if self.pilot_lost:
                self.lose_pilot()
            elif self.lost_at is None:
                self.snapshot = self._snapshot()
            elif self.streams and self.loop.now() - self.lost_at > TAKEOVER_DELAY * 1e6:
                self._reassign()
            if self.rng.random() < self.relay_faults.resets * TICK_US / 1e6:
                self.cut()
            if self.rng.random() < self.relay_faults.stalls * TICK_US / 1e6:
                self.stalled_until = self.loop.now() + int(self.rng.uniform(0.2, 4) * 1e6)
            if self.loop.now() >= next_heartbeat:
                next_heartbeat = self.loop.now() + HEARTBEAT_INTERVAL_US
                self._write(":\n\n")

    def _reassign(self):
        self.lost_at = None
        for number, row in self.fleet.reassign_slices().items():
            self.send_event("lease", f"shard={number}&set=1")
            if row.owner:
                self.send_event("line", f"shard={number}&endpoint={row.owner}&w=1.0")

    def _snapshot(self):
        events = [
            ("hello", _proxy_event(number)) for number, proxy in self.fleet.proxies.items() if proxy.joined
        ]
        for number, row in self.fleet.store.items():
            events.append(("lease", f"shard={number}&set=1"))
            if row.owner:
                events.append(("line", f"shard={number}&endpoint={row.owner}&w=1.0"))
        return events

    def _tell(self, event, proxy, *more):
        if event == "ack":
            self.send_event("ack", f"node={proxy}&nonce={more[0]}&latency={more[1] / 10}")
        else:
            self.send_event(
                "hello" if event == "join" else "bye",
                _proxy_event(proxy) if event == "join" else f"node={proxy}",
            )

    def _write(self, text):
        if self.loop.now() < self.stalled_until:
            self.held_back.append((list(self.streams), text))
            return
        held, self.held_back = self.held_back, []
        for streams, late in held:  # text for a closed stream is lost
            if streams == self.streams:
                self._write_now(late)
        self._write_now(text)

    def _write_now(self, text):
        try:
            super()._write(text)
        except StreamBroken:  # the process was killed
            self.streams = []

    def _answer(self, stream, conn, number, orders):
        outcome = self._choose_outcome(orders)
        self.script = [SEEN_AS.get(outcome, outcome)]
        if outcome not in NOT_APPLIED and self.lost_at is None:
            self.fleet.apply_batch(self.now(), [one for one in map(_parse_order, orders) if one is not None])
        super()._answer(stream, conn, number, orders)

    def _choose_outcome(self, orders):
        """Draws the outcome of a call."""
        remaining = self.rng.random()
        for outcome, share in self.relay_faults.answers.items():
            remaining -= share
            if remaining < 0:
                return outcome
        return "ok"


class FleetAgent(ListAgent):
    """A discovery service that outlives the process it serves."""

    def publish(self, text):
        try:
            super().publish(text)
        except StreamBroken:
            self.streams = []


def _proxy_event(proxy):
    return f"node={proxy}&locality=za&w=2.5&cold=0"


def _parse_order(text):
    """Decodes a relay's order for the model; None for one that changes no slice."""
    verb, *rest = text.split(",")
    if verb == "mark":
        return "mark", int(rest[0])
    if rest[0] == "*":
        return None
    if verb == "share":
        return "line", int(rest[0]), rest[1], float(rest[2])
    return "level", int(rest[0]), float(rest[2])


class FleetScene:
    """A run of one seed: the process, its relay and discovery, and a release of the endpoints."""

    def __init__(self, seed, faults, relay_faults, folder):
        self.seed, self.relay_faults, self.folder = seed, relay_faults, Path(folder)
        ports = self.ports = Ports(real_loop())  # reserved to the end: parallel runs share no address
        self.listen, relay, discovery = ports.take(), ports.take(), ports.take()
        self.names = [f"e{number:02}" for number in range(ENDPOINTS)]
        family = {
            **SETTINGS["family_info"],
            "ranges": 2 * SLICES,
            "lease_ns": int(LEASE * 1e9),
            "in_flight_max_ns": int(IN_FLIGHT * 1e9),
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
        self.relay = FleetRelay(self.loop, relay, seed, faults, relay_faults, owners)
        self.agent = FleetAgent(self.loop, discovery)
        self.loop.spawn(self._replace_endpoints(), "release")
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.broken, self.longest = [], 0.0

    def _report(self, event, **fields):
        """Reports errors of the test's own peers as failures."""
        if event in ("task_failed", "timer_failed"):
            self.broken.append(f"test peer: {event} {fields}"[:2000])

    def run(self, seconds):
        """Runs the process for a time; returns the failures."""
        self.thread.start()
        process, started_at = self._start(), time.monotonic()
        try:
            for at, away, graceful in self.relay_faults.stops:
                time.sleep(max(0, started_at + at - time.monotonic()))
                self._stop(process, graceful)
                time.sleep(away)
                process = self._start()
            time.sleep(max(0, started_at + seconds - time.monotonic()))
        finally:
            process.kill()
            process.wait()
        self.loop.stop()
        self.thread.join()
        self.ports.release()
        self._check_results()
        return self.broken

    def _check_results(self):
        fleet = self.relay.fleet
        self.longest = fleet.finish()
        over = [
            gap for gap in fleet.gaps if gap.until - gap.since > EMPTY_FOR + SLACK + self._allowed_delay(gap)
        ]
        if over:
            self.broken.append(f"{len(over)} without a line for too long, first: {over[0]}")
        if fleet.conflicts:
            self.broken.append(f"{len(fleet.conflicts)} conflicting owners, first: {fleet.conflicts[0]}")
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            if any(word in line for word in ("task_failed", "timer_failed", "module_failed", "Traceback")):
                self.broken.append(line[:300])

    def _allowed_delay(self, gap):
        """Time limits are extended by 4 s each time the relay breaks off the only event stream."""
        return STREAM_LOSS_DELAY * sum(gap.since <= at <= gap.until for at in self.relay.stream_started_at)

    def _start(self):
        with open(self.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "cedarshift", "platform"], env=self.environ, stderr=log
            )
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            try:
                with socket.create_connection(self.listen, timeout=1) as asking:
                    asking.sendall(PROBE)
                    if asking.recv(100) == ALIVE:
                        return process
            except OSError:
                time.sleep(0.02)
        self.broken.append(f"not ready within {READY_TIMEOUT} s")
        return process

    def _stop(self, process, graceful):
        if graceful:
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                self.broken.append(f"still running {STOP_TIMEOUT} s after SIGTERM")
        process.kill()
        process.wait()
        self.relay.pilot_lost = True

    def _replace_endpoints(self):
        """Drains an endpoint and adds another every 3 s, with heartbeats between."""
        listed = {name: instance(name) for name in self.names}
        revision, leaving, next_at = 8, [], self.loop.now() + int(REPLACE_INTERVAL * 1e6)
        while True:
            yield from self.loop.sleep(250_000)
            changes = []
            while leaving and leaving[0][0] <= self.loop.now():
                changes.append(instance(leaving.pop(0)[1], "gone"))
            if self.loop.now() >= next_at:
                next_at += int(REPLACE_INTERVAL * 1e6)
                old, new = self.names.pop(0), f"e{revision:03}"
                self.names.append(new)
                leaving.append((self.loop.now() + int(DRAIN_TIME * 1e6), old))
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


def random_faults(seed):
    """Returns the faults of a seed: one to four kinds, with stops of the process in some runs."""
    rng = random.Random(seed)
    faults, relay_faults = Faults(), RelayFaults()
    for kind in rng.sample(
        ["breaks", "flap", "mute", "deaf", "lost", "slow", "answers", "resets", "stops", "stalls"],
        rng.randint(1, 4),
    ):
        if kind == "breaks":
            faults.breaks, faults.away = (
                rng.uniform(0.5, 8),
                rng.choice([(1.0, 3.0), (0.2, 0.7), (0.2, 3.0)]),
            )
        elif kind == "flap":
            faults.flapping = (rng.randint(1, 40), rng.uniform(0.2, 1.5), rng.uniform(0.05, 0.75))
        elif kind in ("mute", "deaf"):
            setattr(faults, kind, frozenset(rng.sample(range(PROXIES), rng.randint(1, 10))))
        elif kind == "lost":
            faults.lost = rng.uniform(0.02, 0.4)
        elif kind == "slow":
            faults.slow = (10.0, 25.0, rng.uniform(1.5, 4))
        elif kind == "answers":
            relay_faults.answers = {outcome: rng.uniform(0, 0.05) for outcome in ("silent", "lost", "spoilt")}
        elif kind == "resets":
            relay_faults.resets = rng.uniform(0.02, 0.2)
        elif kind == "stalls":
            relay_faults.stalls = rng.uniform(0.02, 0.2)
        else:
            relay_faults.stops = tuple(
                (at, rng.uniform(0, 1), rng.random() < 0.5) for at in sorted(rng.sample(range(6, 30), 2))
            )
    return faults, relay_faults


def soak(seed, seconds):
    """Returns (failures, longest time without a line in s, faults) of a seed."""
    faults, relay_faults = random_faults(seed)
    with tempfile.TemporaryDirectory() as folder:
        scene = FleetScene(seed, faults, relay_faults, folder)
        return scene.run(seconds), scene.longest, (faults, relay_faults)


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 40.0
    failed = 0
    seeds = range(first, last + 1)
    with ThreadPoolExecutor(PARALLEL_SEEDS) as pool:
        for seed, (broken, longest, faults) in zip(seeds, pool.map(lambda seed: soak(seed, seconds), seeds)):
            failed += bool(broken)
            print(seed, "BROKEN" if broken else "kept", f"{longest:.1f} s", *broken[:3], *faults, flush=True)
    print(f"{last - first + 1} seeds, {failed} broken")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
