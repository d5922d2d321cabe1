"""A stand-in platform on loopback, after the users' pages: relays with their store, discovery, proxies,
endpoints and clients. It checks the rules from what proxies and endpoints do. Times are in seconds.

One process plays everything but the pilots, which are started with `run` of the deploy file.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
NEVER = float("inf")
MAX_LAG = 0.15  # a stand-in that ran later than this judges nothing


def deploy_command(key):
    """A command of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[key]


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, *more):
        self.file.write(f"{self.now():9.4f} {what} {' '.join(map(str, more))}\n")
        self.file.flush()


class Site:
    """The figures of a small deployment, as the settings hand them to a pilot."""

    def __init__(self, **changes):
        self.pilots = 1
        self.proxies = 12
        self.endpoints = 16
        self.slices = 80
        self.lease = 2.5
        self.in_flight = 3.02
        self.empty_for = 14.0
        self.grace = 3.0
        self.rate = 4500.0
        self.pending = 4500.0
        self.header = 12
        self.messages_most = 12
        self.span = 10.0
        self.transit = 0.2  # mean time of a message, once it has left the channel
        self.transit_most = 0.5
        self.warm_within = 14.0
        self.takeover = (0.9, 3.4)
        self.read_store = (0.083, 0.48)
        self.ops_per_s = 210.0
        self.op_time = (0.2, 0.6)
        self.report_every = 1.0
        self.heard_late = 0.5  # by how much sums come late
        self.intake = 200.0  # lines of sums a second at most, the oldest first
        self.cold_from = 0.25
        self.fall_multiple = 2.5
        # name, target latency, op timeout, whether it writes; a class that writes must never run twice
        self.classes = (("consulta-cobertura", 1.2, 3.0, False), ("reserva-franja", 2.0, 3.0, True))
        self.__dict__.update(changes)

    def settings(self, position):
        def ns(seconds):
            return int(seconds * 1e9)

        return {
            "classes": [
                {
                    "name": name,
                    "on_time_ns": ns(aim),
                    "deadline_ns": ns(limit),
                    "effect": "unsafe" if writes else "safe",
                    "credit": 1.0,
                    "late_share": 0.1,
                    "group": "all",
                    "window_ns": 0,
                }
                for name, aim, limit, writes in self.classes
            ],
            "discovery": "push",
            "fleet_size": self.pilots,
            "position": position,
            "zones": ["za", "zb", "zc"],
            "zone": "za",
            "weights": "none",
            "family_info": {
                "ranges": self.slices,
                "one_owner": True,
                "mutating": [writes for _, _, _, writes in self.classes],
                "stays_local": [False, False],
                "throttle_by": "fraction",
                "lease_ns": ns(self.lease),
                "in_flight_max_ns": ns(self.in_flight),
                "empty_for_ns": ns(self.empty_for),
                "per_message": float(self.header),
                "pending_max": float(self.pending),
                "push_rate": float(self.rate),
                "messages_most": self.messages_most,
                "reload_span_ns": ns(self.span),
                "report_every_ns": ns(self.report_every),
                "transit_ns": ns(self.transit),
                "push_delay_max_ns": ns(self.transit_most),
                "data_plane_size": self.proxies,
                "retry_default": 1,
                "outlier_after": 3,
            },
            "policy_limits": {"dial_timeout_ns": ns(0.5), "peers": False, "probing": False},
            "rules": {
                "ask_within_ns": ns(10),
                "drain_grace_ns": int(self.grace * 1e9),
                "warm_within_ns": ns(self.warm_within),
                "cold_from": self.cold_from,
                "fall_multiple": self.fall_multiple,
                "tip_after_ns": ns(2),
            },
        }


class Proxy:
    """A proxy. `rows`: slice -> (owner, version of its grant, version of its row, classes closed)."""

    def __init__(self, number, rows):
        self.number = number
        self.rows = rows
        self.joined = {}  # pilot -> time of joining
        self.stream = {}  # pilot -> number of the stream
        self.reading = 0.0  # until when the store is read
        self.write_until = {}  # slice -> end of the lease; absent: no limit
        self.messages = {}  # pilot -> times of the messages written
        self.empty_since = {}  # slice -> since when a joined proxy has no line


class Pilot:
    """A pilot process, its relay, its channel and its agent of discovery."""

    def __init__(self, number):
        self.number = number
        self.process = None
        self.news = []  # writers of open event streams
        self.watches = []
        self.free_at = 0.0  # when the channel has sent all
        self.waiting = []  # (time at which a message has left, lines)
        self.told = {}  # endpoint -> when the pilot was told that it drains or is gone
        self.cut = False  # the relay can't be reached: nothing passes, nothing is said
        self.lost_at = None
        self.told_at = 0.0  # when the relay last sent news
        # The outcome of a call: ok, ran-silent, lost-silent, ran-reset or lost-reset.
        self.choose = lambda orders: "ok"
        self.pauses = []  # (time, seconds) by which time limits wait


class World:
    """Relay, store, discovery, proxies, endpoints and clients."""

    def __init__(self, site, folder, record, seed=1):
        self.site = site
        self.folder = Path(folder)
        self.rng = random.Random(seed)
        self.record = Record(record)
        self.writing = {name for name, _, _, writes in site.classes if writes}
        self.lag = 0.0  # the longest time by which this process ran late
        self.now = self.record.now
        self.broken = []  # (rule, text)
        self.generation = 40
        self.listed = {}  # endpoint -> entry of the list
        for n in range(site.endpoints):
            self.add_endpoint(f"s-{n:02}")
        names = sorted(self.listed)
        self.store = {}  # slice -> [owner, grant version, row version, closed classes]
        for n in range(site.slices):
            self.store[n] = [names[n % len(names)], 1, 1, frozenset()]
        self.given_at = {n: 0.0 for n in self.store}
        self.charge = {n: n % site.pilots for n in self.store}
        self.pilots = [Pilot(n) for n in range(site.pilots)]
        self.proxies = [
            Proxy(n, {k: tuple(row) for k, row in self.store.items()}) for n in range(site.proxies)
        ]
        self.writes = {n: {} for n in self.store}  # slice -> endpoint -> writes in progress
        self.newest_write = {n: (0, "") for n in self.store}  # slice -> (grant version, endpoint)
        self.slow = 1.0  # factor of the channel
        self.stalled = set()  # endpoints that answer nothing
        self.worst = {"lines": 0.0, "messages": 0, "empty": 0.0, "drain": 0.0}
        self.tasks = set()
        self.counts = {"ops": 0, "answered": 0, "calls": 0}
        self.samples = {}  # (endpoint, zone) -> [tries, errors, time]
        self.loads = {}  # (slice, class) -> count
        self.ended = False

    # ---- the list

    def add_endpoint(self, name, started=0, lifecycle="ready"):
        zone = f"z{'abc'[len(self.listed) % 3]}"
        self.listed[name] = {
            "instanceId": name,
            "hostPort": f"{HOST}:1",
            "zone": zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started,
        }

    def whole_list(self):
        entries = [one for one in self.listed.values() if one["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def change_list(self, *changes):
        """Publishes changes: (endpoint, lifecycle). An unknown endpoint starts now, cold."""
        entries = []
        for name, lifecycle in changes:
            if name not in self.listed:
                self.add_endpoint(name, int(time.time() * 1000), lifecycle)
            self.listed[name]["lifecycle"] = lifecycle
            entries.append(dict(self.listed[name]))
        self.generation += 1
        line = json.dumps({"generation": self.generation, "reset": False, "instances": entries})
        self.record("list", line)
        for pilot in self.pilots:
            for name, lifecycle in changes:
                if lifecycle != "ready":
                    pilot.told.setdefault(name, self.now())
                else:
                    pilot.told.pop(name, None)
            for writer in list(pilot.watches):
                self.write(writer, chunk(line + "\n"))

    def open_warm(self):
        """Whether an endpoint is listed ready and is no longer cold."""
        return any(
            one["lifecycle"] == "ready" and time.time() - one["startedAtMs"] / 1000 >= self.site.warm_within
            for one in self.listed.values()
        )

    # ---- servers

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def write(self, writer, data):
        if not writer.transport.is_closing():
            writer.write(data)

    async def start(self):
        for pilot in self.pilots:
            pilot.relay = await asyncio.start_server(
                lambda reader, writer, pilot=pilot: self.serve(self.on_relay, pilot, reader, writer), HOST, 0
            )
            pilot.agent = await asyncio.start_server(
                lambda reader, writer, pilot=pilot: self.serve(self.on_agent, pilot, reader, writer), HOST, 0
            )
            pilot.relay_port = pilot.relay.sockets[0].getsockname()[1]
            pilot.agent_port = pilot.agent.sockets[0].getsockname()[1]
            pilot.port = free_port()
        self.spawn(self.heartbeats())
        self.spawn(self.clients())
        self.spawn(self.watch_rules())
        self.spawn(self.collectors())

    async def serve(self, handler, pilot, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = head.decode().split("\r\n")[0]
                size = 0
                for line in head.decode().lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        size = int(line.split(":")[1])
                body = await reader.readexactly(size)
                await handler(pilot, request, body.decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def on_agent(self, pilot, request, body, reader, writer):
        stream = "stream=1" in request
        after = request.partition("index=")[2].split(" ")[0] if "index=" in request else ""
        self.record(f"p{pilot.number} discovery", request)
        text = json.dumps(self.whole_list())
        if not stream:
            self.write(writer, response(text))
            return
        self.write(writer, HEAD % b"application/json")
        if after != str(self.generation):
            self.write(writer, chunk(text + "\n"))
        for name, one in self.listed.items():
            if one["lifecycle"] != "ready":
                pilot.told.setdefault(name, self.now())
        pilot.watches.append(writer)
        try:
            await reader.read()
        finally:
            pilot.watches.remove(writer)

    async def on_relay(self, pilot, request, body, reader, writer):
        if request.startswith("GET"):
            if pilot.cut:
                await reader.read()
                raise ConnectionError
            await self.stream_news(pilot, reader, writer)
            raise ConnectionError
        if pilot.cut:
            self.record(f"p{pilot.number} call lost in the cut")
            pilot.pauses.append((self.now(), 1.5))
            await reader.read()
            raise ConnectionError
        orders = parse_qs(body)["orders"][0].split(";")
        outcome = pilot.choose(orders)
        self.counts["calls"] += 1
        self.record(f"p{pilot.number} call {outcome}", ";".join(orders))
        if outcome != "ok":
            pilot.pauses.append((self.now(), 1.5 if "silent" in outcome else 0.5))
        if not outcome.startswith("lost"):
            self.carry_out(pilot, orders)
        if outcome.endswith("silent"):
            await reader.read()
            raise ConnectionError
        if outcome.endswith("reset"):
            writer.transport.abort()
            raise ConnectionError
        text = (
            f'<?xml version="1.0"?>\n<Response><entries><item><ok_count>{len(orders)}</ok_count>'
            "</item></entries></Response>"
        )
        await asyncio.sleep(0.002)
        if pilot.cut:
            await reader.read()
            raise ConnectionError
        self.write(writer, response(text))
        self.record(f"p{pilot.number} answered", len(orders))

    async def stream_news(self, pilot, reader, writer):
        self.record(f"p{pilot.number} news asked for")
        pilot.lost_at = None
        self.write(writer, HEAD % b"text/event-stream")
        for proxy in self.proxies:
            if pilot.number in proxy.joined:
                self.write(writer, event("hello", hello(proxy)))
        for number, row in self.store.items():
            if self.charge[number] == pilot.number:
                self.write(writer, event("lease", f"shard={number}&set=1"))
                if row[0]:
                    self.write(writer, event("line", f"shard={number}&endpoint={row[0]}&w=1.0"))
        pilot.news.append(writer)
        try:
            await reader.read()
        finally:
            if writer in pilot.news:
                pilot.news.remove(writer)
            if not pilot.news and pilot.lost_at is None:
                pilot.lost_at = self.now()

    def tell(self, pilot, name, data):
        if not pilot.cut:
            pilot.told_at = self.now()
            self.record(f"p{pilot.number} told", name, data)
            for writer in list(pilot.news):
                self.write(writer, event(name, data))

    async def heartbeats(self):
        count = 0
        while True:
            await asyncio.sleep(1.0)
            count += 1
            for pilot in self.pilots:
                if not pilot.cut:
                    pilot.told_at = self.now()
                    for writer in list(pilot.news):
                        self.write(writer, chunk(":\n\n"))
                if count % 2 == 0:
                    for writer in list(pilot.watches):
                        self.write(writer, chunk("\n"))

    # ---- orders

    def carry_out(self, pilot, orders):
        rows, mark = {}, None
        for text in orders:
            verb, *rest = text.split(",")
            if verb == "mark":
                mark = int(rest[0])
                continue
            if rest[0] == "*":
                continue
            number = int(rest[0])
            if self.charge.get(number) != pilot.number:
                continue
            row = self.store[number]
            if verb == "share":
                if float(rest[2]) > 0:
                    if row[0] != rest[1]:
                        row[1] += 1
                    row[0] = rest[1]
                elif row[0] == rest[1]:
                    row[0] = ""
            elif verb == "admit":
                every = {name for name, *_ in self.site.classes}
                names = every if rest[1] == "*" else set(rest[1].split("+"))
                row[3] = row[3] - names if float(rest[2]) > 0 else row[3] | names
            elif verb == "clear":
                row[0], row[3] = "", frozenset()
            row[2] += 1
            rows[number] = tuple(row)
        self.send(pilot, rows, mark, len(orders))

    def send(self, pilot, rows, mark, lines):
        now = self.now()
        pilot.free_at = max(pilot.free_at, now)
        for proxy in self.proxies:
            if pilot.number not in proxy.joined or not (rows or mark is not None):
                continue
            size = lines + self.site.header
            pilot.free_at += size * self.slow / self.site.rate
            pilot.waiting.append((pilot.free_at, size))
            times = proxy.messages.setdefault(pilot.number, [])
            times.append(now)
            recent = sum(now - at < self.site.span for at in times)
            self.worst["messages"] = max(self.worst["messages"], recent)
            if self.site.messages_most and recent > self.site.messages_most:
                self.fail(
                    "short queue", f"{recent} messages to proxy {proxy.number} within {self.site.span} s"
                )
            at = pilot.free_at + self.transit()
            stream = proxy.stream[pilot.number]
            self.spawn(self.deliver(pilot, proxy, stream, rows, mark, now, at))
        pilot.waiting = [(at, size) for at, size in pilot.waiting if at > now]
        waiting = sum(size for _, size in pilot.waiting)
        self.worst["lines"] = max(self.worst["lines"], waiting)
        if waiting > self.site.pending:
            self.fail("short queue", f"{waiting:.0f} lines wait in the channel of p{pilot.number}")

    def transit(self):
        return min(self.site.transit_most, (0.4 + self.rng.expovariate(1 / 0.6)) * self.site.transit)

    async def deliver(self, pilot, proxy, stream, rows, mark, sent, at):
        await asyncio.sleep(max(0, at - self.now()))
        while proxy.reading > self.now():
            await asyncio.sleep(0.01)
        if proxy.stream[pilot.number] != stream or pilot.number not in proxy.joined:
            return
        for number, row in rows.items():
            self.install(proxy, number, row)
        if mark is not None:
            latency = (self.now() - sent) * 1000
            self.tell(pilot, "ack", f"node={proxy.number}&nonce={mark}&latency={latency:.1f}")

    def install(self, proxy, number, row):
        if row[2] <= proxy.rows[number][2]:
            return
        proxy.rows[number] = row
        if row[0]:
            proxy.empty_since.pop(number, None)
        elif proxy.joined:
            proxy.empty_since.setdefault(number, self.now())

    # ---- streams of proxies

    def join(self, proxy, pilot):
        if pilot.number in proxy.joined:
            return
        proxy.joined[pilot.number] = self.now()
        proxy.stream[pilot.number] = proxy.stream.get(pilot.number, 0) + 1
        proxy.messages[pilot.number] = []
        self.tell(pilot, "hello", hello(proxy))
        self.spawn(self.read_store(proxy))

    async def read_store(self, proxy, numbers=None):
        wait = self.rng.uniform(*self.site.read_store)
        proxy.reading = self.now() + wait
        await asyncio.sleep(wait)
        if not proxy.joined:
            return
        for number in numbers if numbers is not None else self.store:
            self.install(proxy, number, tuple(self.store[number]))
            if self.charge[number] in proxy.joined:
                proxy.write_until.pop(number, None)

    def leave(self, proxy, pilot, noticed=0.0):
        """Breaks a stream; the relay notices it after a while."""
        if proxy.joined.pop(pilot.number, None) is None:
            return
        proxy.stream[pilot.number] += 1
        proxy.empty_since.clear()
        for number in self.store:
            if self.charge[number] == pilot.number:
                proxy.write_until.setdefault(number, self.now() + self.site.lease)
        if noticed:
            asyncio.get_running_loop().call_later(noticed, self.tell, pilot, "bye", f"node={proxy.number}")
        else:
            self.tell(pilot, "bye", f"node={proxy.number}")

    def give(self, number, pilot):
        """Gives a slice into the charge of a pilot; its levels are reset and the proxies read it anew."""
        old = self.pilots[self.charge[number]]
        self.charge[number] = pilot.number
        row = self.store[number]
        row[2], row[3] = row[2] + 1, frozenset()
        self.given_at[number] = self.now()
        self.record("given", number, f"to p{pilot.number} line={row[0]!r}")
        if old is not pilot:
            self.tell(old, "lease", f"shard={number}&set=0")
        self.tell(pilot, "lease", f"shard={number}&set=1")
        if row[0]:
            self.tell(pilot, "line", f"shard={number}&endpoint={row[0]}&w=1.0")
        for proxy in self.proxies:
            proxy.write_until[number] = min(
                proxy.write_until.get(number, NEVER), self.now() + self.site.lease
            )

    def give_all(self, numbers, pilot):
        for number in numbers:
            self.give(number, pilot)
        for proxy in self.proxies:
            if proxy.joined:
                self.spawn(self.read_store(proxy, list(numbers)))

    def end_cut(self, pilot):
        pilot.cut = False
        self.record(f"p{pilot.number} answers again")

    # ---- pilots

    def configuration(self, pilot):
        return {
            "name": f"n{pilot.number}",
            "listen": f"{HOST}:{pilot.port}",
            "discovery": f"{HOST}:{pilot.agent_port}",
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "registry": {"address": f"{HOST}:{pilot.relay_port}"},
            "known": self.whole_list(),
            "settings": self.site.settings(pilot.number),
        }

    async def start_pilot(self, pilot, join=True):
        path = self.folder / f"n{pilot.number}.json"
        path.write_text(json.dumps(self.configuration(pilot)))
        environ = {
            **os.environ,
            "RELAY_NAME": f"n{pilot.number}",
            "RELAY_LISTEN": f"{HOST}:{pilot.port}",
            "RELAY_DISCOVERY": f"{HOST}:{pilot.agent_port}",
            "RELAY_CONFIG": str(path),
        }
        log = open(self.folder / f"n{pilot.number}.log", "ab")
        pilot.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environ, stdout=log, stderr=log
        )
        log.close()
        message = frame({"t": "probe"})
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection(HOST, pilot.port)
                writer.write(message)
                size = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), 1), "big")
                answer = json.loads(await reader.readexactly(size))
                writer.close()
                if answer.get("t") == "alive":
                    break
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
        else:
            raise RuntimeError("the pilot is not ready within 30 s")
        pilot.ready_at = self.now()
        self.record(f"p{pilot.number} ready", pilot.process.pid)
        if join:
            for proxy in self.proxies:
                self.join(proxy, pilot)

    def stop_pilot(self, pilot, number=signal.SIGKILL):
        """Ends a pilot: its queue is lost, the streams of the proxies break."""
        self.record(f"p{pilot.number} signal", int(number))
        pilot.process.send_signal(number)
        pilot.process.wait()
        pilot.free_at, pilot.waiting, pilot.told = 0.0, [], {}
        for proxy in self.proxies:
            self.leave(proxy, pilot)

    # ---- clients, endpoints and collectors

    async def clients(self):
        classes = [name for name, *_ in self.site.classes]
        due = self.now()
        while not self.ended:
            due += self.rng.expovariate(self.site.ops_per_s)
            if due > self.now():
                await asyncio.sleep(due - self.now())
            number = self.rng.randrange(self.site.slices)
            proxy = self.rng.choice(self.proxies)
            self.spawn(self.op(proxy, number, self.rng.choice(classes)))

    async def op(self, proxy, number, kind):
        self.counts["ops"] += 1
        number_of_op = self.counts["ops"]
        load = self.loads.setdefault((number, kind), [0, 0])
        load[0] += 1
        owner, grant, _, closed = proxy.rows[number]
        if not owner or kind in closed:
            load[1] += kind not in closed
            self.record("op", number_of_op, f"proxy={proxy.number} slice={number} {kind} refused")
            return
        writes = kind in self.writing
        if writes and self.now() > proxy.write_until.get(number, NEVER):
            return
        self.record("op", number_of_op, f"proxy={proxy.number} slice={number} {kind} to={owner}")
        self.check_drain(proxy, number, owner)
        zone = f"z{'abc'[proxy.number % 3]}"
        if self.listed[owner]["lifecycle"] == "gone":
            self.count_try(number_of_op, owner, zone, None)
            return
        if writes:
            self.check_write(number, owner, grant, proxy)
            held = self.writes[number]
            held[owner] = held.get(owner, 0) + 1
        began = self.now()
        took = self.rng.uniform(*self.site.op_time)
        await asyncio.sleep(3.0 if owner in self.stalled else took)
        self.count_try(number_of_op, owner, zone, None if owner in self.stalled else self.now() - began)
        if writes:
            held[owner] -= 1
            if not held[owner]:
                del held[owner]

    def count_try(self, number_of_op, owner, zone, took):
        """Counts a try that was answered after a time, or failed."""
        sample = self.samples.setdefault((owner, zone), [0, 0, 0.0])
        sample[0] += 1
        sample[1] += took is None
        sample[2] += took or 0.0
        self.counts["answered"] += took is not None
        self.record("op", number_of_op, "failed" if took is None else "answered")

    def check_write(self, number, owner, grant, proxy):
        others = [name for name in self.writes[number] if name != owner]
        if others:
            self.fail("no effect twice", f"slice {number}: write at {owner} while {others} hold one")
        newest, holder = self.newest_write[number]
        if grant < newest and holder != owner:
            self.fail(
                "no effect twice",
                f"slice {number}: proxy {proxy.number} writes to the former owner {owner} after {holder}",
            )
        if grant >= newest:
            self.newest_write[number] = (grant, owner)

    def check_drain(self, proxy, number, owner):
        pilot = self.pilots[self.charge[number]]
        told, joined = pilot.told.get(owner), proxy.joined.get(pilot.number)
        if told is None or joined is None or pilot.process is None or pilot.process.poll() is not None:
            return
        since = max(told, joined, self.given_at[number], pilot.ready_at + 1)
        late = self.now() - since - self.waits(pilot, since)
        if late > self.worst["drain"]:
            self.worst["drain"] = late
        if late > self.site.grace + 0.3:
            self.fail(
                "safe drain",
                f"slice {number}: proxy {proxy.number} sends to {owner}, {late:.2f} s after it was told",
            )

    def waits(self, pilot, since):
        """By how much time limits that run since then wait; overlapping waits are added up."""
        return sum(length for at, length in pilot.pauses if at >= since - length)

    def fail(self, rule, text):
        self.broken.append((rule, text))
        if len(self.broken) < 200:
            self.record("BROKEN", rule, text)

    async def watch_rules(self):
        told = set()
        while not self.ended:
            due = self.now() + 0.05
            await asyncio.sleep(0.05)
            self.lag = max(self.lag, self.now() - due)
            if not self.open_warm():
                continue
            for proxy in self.proxies:
                for number, since in list(proxy.empty_since.items()):
                    pilot = self.pilots[self.charge[number]]
                    if pilot.number not in proxy.joined:
                        continue
                    begin = max(since, self.given_at[number], proxy.joined[pilot.number], pilot.ready_at + 1)
                    lasted = self.now() - begin - self.waits(pilot, begin)
                    self.worst["empty"] = max(self.worst["empty"], lasted)
                    if lasted > self.site.empty_for + 0.3 and (proxy.number, number, since) not in told:
                        told.add((proxy.number, number, since))
                        self.fail(
                            "nobody left without a server",
                            f"slice {number}: proxy {proxy.number} has had no line for {lasted:.2f} s",
                        )

    async def collectors(self):
        """Passes on sums, late and no more lines than allowed, through one collector a zone."""
        writers, waiting = {}, {}  # waiting: sums not passed on yet, the oldest first
        while not self.ended:
            await asyncio.sleep(self.site.report_every)
            for key, sums in [*self.samples.items(), *self.loads.items()]:
                old = waiting.setdefault(key, [0] * len(sums) + [self.now() - self.site.report_every])
                waiting[key] = [a + b for a, b in zip(old, sums)] + [old[-1]]
            self.samples, self.loads = {}, {}
            lines = []
            for key in list(waiting)[: int(self.site.intake * self.site.report_every)]:
                *sums, began = waiting.pop(key)
                lines.append((key, sums, round(1000 * (self.now() - began), 1)))
            self.spawn(self.pass_on(writers, lines))

    async def pass_on(self, writers, lines):
        await asyncio.sleep(self.site.heard_late)
        for pilot in self.pilots:
            try:
                for zone in ("za", "zb", "zc"):
                    if (pilot.number, zone) not in writers:
                        _, writer = await asyncio.open_connection(HOST, pilot.port)
                        writers[pilot.number, zone] = writer
                        writer.write(frame({"t": "agent", "locality": zone}))
                for key, sums, interval in lines:
                    if len(sums) == 3:
                        (name, zone), (tries, errors, took) = key, sums
                        acked = tries - errors
                        message = {"t": "outcomes", "locality": zone, "endpoint": name, "total": tries}
                        message |= {"rtt": 1000 * took / acked if acked and took else 0, "metrics": {}}
                    else:
                        (number, kind), (tries, errors), zone = key, sums, "za"
                        if self.charge[number] != pilot.number:
                            continue
                        message = {"t": "hot", "shard": number, "route": kind, "total": tries}
                    message |= {"errors": errors, "interval": interval}
                    writers[pilot.number, zone].write(frame(message))
            except (OSError, RuntimeError):
                for key in [key for key in writers if key[0] == pilot.number]:
                    del writers[key]

    async def end(self):
        self.ended = True
        for pilot in self.pilots:
            if pilot.process is not None and pilot.process.poll() is None:
                pilot.process.send_signal(signal.SIGCONT)
                pilot.process.terminate()
                try:
                    pilot.process.wait(2)
                except subprocess.TimeoutExpired:
                    pilot.process.kill()
                    pilot.process.wait()
        for task in list(self.tasks):
            task.cancel()
        self.record("worst", {key: round(value, 3) for key, value in self.worst.items()}, self.counts)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nTransfer-Encoding: chunked\r\n\r\n"


def hello(proxy):
    return f"node={proxy.number}&locality=z{'abc'[proxy.number % 3]}&w=21.5&cold=0"


def chunk(text):
    data = text.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(name, data):
    return chunk(f"event: {name}\ndata: {data}\n\n")


def response(text):
    data = text.encode()
    return b"HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


def frame(message):
    data = json.dumps(message).encode()
    return len(data).to_bytes(4, "big") + data


def free_port():
    with socket.socket() as one:
        one.bind((HOST, 0))
        return one.getsockname()[1]


def run_case(site, play, rule, record, seed=1):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `play(world, trouble)` is a coroutine; `trouble` is False where TROUBLE=0 is set. `record` is
    the file of what was sent, answered and run. All processes are ended, also at SIGTERM and after 110 s.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            world = World(site, temporary, record, seed)
            try:
                await world.start()
                for pilot in world.pilots:
                    await world.start_pilot(pilot)
                await play(world, trouble)
                dead = [one.number for one in world.pilots if one.process.poll() is not None]
            finally:
                await world.end()
        return world, dead

    async def bounded():
        return await asyncio.wait_for(whole(), 110)

    try:
        world, dead = asyncio.run(bounded())
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    found = [text for name, text in world.broken if name == rule]
    others = sorted({name for name, _ in world.broken} - {rule})
    print(f"trouble={int(trouble)} {rule}: broken {len(found)} times; worst {world.worst}; others {others}")
    for text in found[:3]:
        print("  ", text)
    if dead or world.lag > MAX_LAG:
        print(f"the case couldn't run: ended pilots {dead}, stand-in late by {world.lag:.3f} s")
        sys.exit(2)
    sys.exit(1 if found else 0)
