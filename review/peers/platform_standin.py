"""A stand-in for the platform: relay and store, discovery, collectors, proxies, clients and endpoints.

One process on loopback addresses and the real clock. The pilot is started by `run` of the deploy file as a
process of its own. Proxies, clients and endpoints live inside this process: the pilot meets them only through
the relay, discovery and the collectors, as the protocol page says. Needs the standard library alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT = 1.0  # signs of life of the relay's news
LIST_HEARTBEAT = 2.0
READY_WITHIN = 30.0
ALL = -1  # for the level of all slices; where a slice has one of its own too, the lower one holds


class Record:
    """Lines of what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, who: str, text: str) -> None:
        self.file.write(f"{self.now():9.3f} {who:10} {text}\n")
        self.file.flush()


class Endpoint:
    """Does work at `cores` core seconds a second; less while it is cold. Work waits in one queue."""

    def __init__(self, name, zone, cores, started=None, cold_from=1.0, cold_for=0.0, curve=1.0):
        self.name, self.zone, self.cores = name, zone, cores
        self.started, self.cold_from, self.cold_for, self.curve = started, cold_from, cold_for, curve
        self.lifecycle = "ready"
        self.backlog, self.updated = 0.0, 0.0
        self.met: dict[int, float] = {}  # key -> when it was last met

    def share(self, now):
        """The share of its full capacity that it has now."""
        if self.started is None or now - self.started >= self.cold_for:
            return 1.0
        part = max(0.0, now - self.started) / self.cold_for
        return self.cold_from + (1 - self.cold_from) * part**self.curve

    def take(self, now, work):
        """Queues an op and returns how long its answer takes."""
        rate = self.cores * self.share(now)
        self.backlog = max(0.0, self.backlog - (now - self.updated) * rate) + work
        self.updated = now
        return work / self.share(now) + max(0.0, self.backlog - work) / rate

    def entry(self, unix_offset):
        started = 0 if self.started is None else int((self.started + unix_offset) * 1000)
        return {
            "instanceId": self.name,
            "hostPort": "127.0.0.1:9",
            "zone": self.zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": started,
        }


class Proxy:
    """Holds tables. `applies_at`: when the newest message on its way reaches it."""

    def __init__(self, number, zone):
        self.number, self.zone = number, zone
        self.table: dict[int, str] = {}
        self.levels: dict[tuple[int, str], float] = {}
        self.applies_at = 0.0
        self.sent_at: list[float] = []  # when messages were sent to it
        self.ordered_at = -1.0  # when the newest message that it has applied was ordered
        self.joined_at = self.read_at = 0.0  # when it joined, and when it then read the store
        self.joined, self.stream = True, 0  # `stream` counts its streams
        self.may_write_until = float("inf")


class Platform:
    def __init__(self, record, settings, proxies, slices, endpoints, rates, seed):
        """`rates`: slice -> ops a second. `slices`: slice -> endpoint."""
        self.record, self.settings, self.random = record, settings, random.Random(seed)
        self.family = settings["family_info"]
        self.classes = [c["name"] for c in settings["classes"]]
        self.share_of_class = [c["share"] for c in settings["classes"]]
        self.work_of_class = [c["work_s"] for c in settings["classes"]]
        self.endpoints = {e.name: e for e in endpoints}
        self.proxies = {p.number: p for p in proxies}
        self.store = dict(slices)
        self.store_levels: dict[tuple[int, str], float] = {}
        self.rates = rates
        self.generation = 1
        self.changes: list[tuple[int, dict]] = []
        self.news: set[asyncio.StreamWriter] = set()
        self.watches: set[asyncio.StreamWriter] = set()
        self.channel_free = 0.0  # when all messages have left the channel
        self.push_rate = self.family["push_rate"]  # lines a second, now
        self.most_waiting = 0.0  # lines that waited in the channel at most
        self.calls = 0
        self.answer = lambda number: "ok"  # fate of a call: "ok", "reset", "spoilt" or "silent"
        self.watch_fate = lambda number: "ok"  # of a watch: "ok" or "silent"
        self.watch_number = 0
        self.transit = lambda: self.random.uniform(0.05, 0.25)
        self.report_delay = 0.9
        self.gain = 0.4  # less work for a key that the endpoint met lately
        self.gain_for = 20.0
        self.met = {}  # (zone, endpoint) -> [tries, errors, time]
        self.heat = {}  # (slice, class) -> [ops, errors]
        self.unreported = {}  # sums that wait for the intake, and over how long, oldest first
        self.on_send = lambda now, proxy, number, name, endpoint, work: None
        self.on_write = lambda now, number, endpoint, ends: None
        self.on_table = lambda now, number: None
        self.on_told = lambda now, endpoint: None
        self.unix_offset = time.time() - record.now()
        self.process = None
        self.starts = 0
        self.gives_anew = False  # the next news stream is of a new life: levels are reset
        self.tasks: list[asyncio.Future] = []
        self.writers: list[asyncio.StreamWriter] = []  # of every connection

    # ---- the relay

    def event(self, name, data):
        text = f"event: {name}\ndata: {data}\n\n".encode()
        self.record.write("news", f"{name} {data}")
        for writer in list(self.news):
            self.chunk(writer, text)

    @staticmethod
    def chunk(writer, data):
        if not writer.is_closing() and not getattr(writer, "silent", False):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        length = next((int(x.split(":")[1]) for x in lines if x.lower().startswith("content-length")), 0)
        return lines[0], (await reader.readexactly(length) if length else b"")

    async def relay(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                line, body = await self.read_request(reader)
                if line.startswith("GET"):
                    await self.stream(reader, writer)
                    return
                if not self.call(writer, body.decode()):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def stream(self, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        if self.gives_anew:
            self.gives_anew = False
            self.store_levels.clear()
        parts = [
            f"event: hello\ndata: node={p.number}&locality={p.zone}&w=10&cold=0\n\n"
            for p in self.proxies.values()
            if p.joined
        ]
        for number, owner in self.store.items():
            parts.append(f"event: lease\ndata: shard={number}&set=1\n\n")
            if owner:
                parts.append(f"event: line\ndata: shard={number}&endpoint={owner}&w=1.0\n\n")
        self.record.write("news", f"begins: {len(self.proxies)} proxies, {len(self.store)} slices")
        self.chunk(writer, "".join(parts).encode())
        self.news.add(writer)
        try:
            while True:
                self.chunk(writer, b":\n\n")
                try:
                    if not await asyncio.wait_for(reader.read(1), HEARTBEAT):
                        return
                except asyncio.TimeoutError:
                    pass
        finally:
            self.news.discard(writer)

    def call(self, writer, body):
        """Carries out a call and answers it; returns whether the connection stays open."""
        self.calls += 1
        orders = parse_qs(body)["orders"][0].split(";")
        fate = self.answer(self.calls)
        self.record.write("call", f"{self.calls} {fate}: {';'.join(orders)}")
        if fate == "lost":
            writer.transport.abort()
            return False
        taken = self.carry_out(orders)
        text = (
            '<?xml version="1.0"?>\n'
            f"<Response><entries><item><ok_count>{taken}</ok_count></item></entries></Response>"
        )
        if fate == "reset":
            writer.transport.abort()
            return False
        if fate == "spoilt":
            text = text.replace("ok_count", "ok_c")
        if fate != "silent":
            writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {len(text)}\r\n\r\n{text}".encode())
        return True

    def carry_out(self, orders):
        now = self.record.now()
        parsed = []
        for order in orders:
            parts = order.split(",")
            if parts[0] == "share":
                number, name, weight = int(parts[1]), parts[2], float(parts[3])
                if name not in self.endpoints:
                    break
                owner = name if weight > 0 else ""
                if weight > 0 or self.store.get(number) == name:
                    self.store[number] = owner
                parsed.append(("line", number, name, weight))
            elif parts[0] == "admit":
                numbers = [ALL if parts[1] == "*" else int(parts[1])]
                named = self.classes if parts[2] == "*" else parts[2].split("+")
                for number in numbers:
                    for name in named:
                        self.store_levels[number, name] = float(parts[3])
                parsed.append(("level", numbers, named, float(parts[3])))
            elif parts[0] == "mark":
                parsed.append(("mark", int(parts[1])))
            else:
                break
        if parsed:
            self.send_messages(now, parsed)
        for item in parsed:
            if item[0] == "line" and item[3] > 0:
                self.event("line", f"shard={item[1]}&endpoint={item[2]}&w=1.0")
        return len(parsed)

    def send_messages(self, now, parsed):
        """One message for each proxy, which counts its lines and the head."""
        transit = self.transit()
        lines = self.family["per_message"] + len(parsed)
        for proxy in self.proxies.values():
            if not proxy.joined:
                continue
            self.channel_free = max(now, self.channel_free) + lines / self.push_rate
            proxy.sent_at.append(now)
            reaches = self.channel_free + min(
                self.family["push_delay_max_ns"] / 1e9, transit * self.random.uniform(0.95, 1.05)
            )
            proxy.applies_at = max(proxy.applies_at, reaches)
            asyncio.get_running_loop().call_later(
                proxy.applies_at - now, self.apply, proxy, parsed, now, proxy.applies_at - now, proxy.stream
            )

        self.most_waiting = max(self.most_waiting, (self.channel_free - now) * self.push_rate)

    def leave(self, proxy, noticed=0.0):
        """A proxy's stream breaks, which is noticed later. Messages on their way are lost."""
        proxy.joined, proxy.stream = False, proxy.stream + 1
        # Where it has not read the store since an earlier break, the lease of that one runs on.
        proxy.may_write_until = min(proxy.may_write_until, self.record.now() + self.family["lease_ns"] / 1e9)
        asyncio.get_running_loop().call_later(noticed, self.event, "bye", f"node={proxy.number}")

    def join(self, proxy):
        """A proxy joins, and reads the store a little later; until then it goes by what it holds."""
        proxy.joined, proxy.joined_at = True, self.record.now()
        self.event("hello", f"node={proxy.number}&locality={proxy.zone}&w=10&cold=0")
        delay = self.random.uniform(0.08, 0.48)
        proxy.applies_at = self.record.now() + delay
        asyncio.get_running_loop().call_later(delay, self.read_store, proxy, proxy.stream)

    def read_store(self, proxy, stream):
        if stream == proxy.stream:
            proxy.read_at = self.record.now()
            proxy.table = {n: o for n, o in self.store.items() if o}
            proxy.levels = dict(self.store_levels)
            proxy.may_write_until = float("inf")
            for number in self.store:
                self.on_table(self.record.now(), number)

    def apply(self, proxy, parsed, ordered_at, latency, stream):
        if stream != proxy.stream:
            return
        if ordered_at < proxy.read_at:  # the store held these orders when it was read
            parsed = [item for item in parsed if item[0] == "mark"]
        proxy.ordered_at = ordered_at
        for item in parsed:
            if item[0] == "line":
                if item[3] > 0:
                    proxy.table[item[1]] = item[2]
                elif proxy.table.get(item[1]) == item[2]:
                    proxy.table.pop(item[1])
                self.on_table(self.record.now(), item[1])
            elif item[0] == "level":
                for number in item[1]:
                    for name in item[2]:
                        proxy.levels[number, name] = item[3]
            else:
                self.event("ack", f"node={proxy.number}&nonce={item[1]}&latency={latency * 1000:.1f}")

    # ---- discovery

    def change(self, endpoint, lifecycle=None):
        """Discovery tells a change of an endpoint."""
        if lifecycle:
            endpoint.lifecycle = lifecycle
        self.generation += 1
        self.on_told(self.record.now(), endpoint)
        entry = endpoint.entry(self.unix_offset)
        self.changes.append((self.generation, entry))
        self.record.write("discovery", f"{endpoint.name} {endpoint.lifecycle}")
        for writer in list(self.watches):
            self.tell(writer, self.generation, [entry])

    def tell(self, writer, generation, entries, reset=False):
        text = json.dumps({"generation": generation, "reset": reset, "instances": entries}) + "\n"
        self.chunk(writer, text.encode())

    def listing(self):
        entries = [e.entry(self.unix_offset) for e in self.endpoints.values() if e.lifecycle != "gone"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    async def agent(self, reader, writer):
        self.writers.append(writer)
        try:
            line, _ = await self.read_request(reader)
            self.watch_number += 1
            fate = self.watch_fate(self.watch_number)
            self.record.write("discovery", f"watch {self.watch_number} {fate}: {line}")
            if fate == "silent":
                await reader.read(1)
                return
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            target = line.split()[1]
            since = int(target.split("index=")[1]) if "index=" in target else -1
            if since < 0:
                self.chunk(writer, json.dumps(self.listing()).encode() + b"\n")
            else:
                missed = {e["instanceId"]: e for g, e in self.changes if g > since}
                self.tell(writer, self.generation, list(missed.values()))
            self.watches.add(writer)
            while True:
                try:
                    if not await asyncio.wait_for(reader.read(1), LIST_HEARTBEAT):
                        return
                except asyncio.TimeoutError:
                    if writer in self.watches:
                        self.chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    # ---- clients, proxies and endpoints

    def add_endpoint(self, endpoint):
        self.endpoints[endpoint.name] = endpoint

    async def traffic(self):
        """Clients send ops at the slices' rates; each goes by the table of a random proxy."""
        tick, last = 0.01, self.record.now()
        numbers = list(self.store)
        keys = 60  # of a slice
        while True:
            await asyncio.sleep(tick)
            now = self.record.now()
            weights = [self.rates[n] for n in numbers]
            count = self.poisson(sum(weights) * (now - last))
            last = now
            for number in self.random.choices(numbers, weights, k=count):
                at = self.random.choices(range(len(self.classes)), self.share_of_class)[0]
                self.send_op(now, number, at, number * keys + self.random.randrange(keys))

    def poisson(self, mean):
        limit, count, product = 2.718281828**-mean, 0, self.random.random()
        while product > limit:
            count, product = count + 1, product * self.random.random()
        return count

    def send_op(self, now, number, at, key):
        proxy = self.random.choice(list(self.proxies.values()))
        name = self.classes[at]
        heat = self.heat.setdefault((number, name), [0, 0])
        heat[0] += 1
        owner = proxy.table.get(number)
        level = min(proxy.levels.get((number, name), 1.0), proxy.levels.get((ALL, name), 1.0))
        if owner is None or self.random.random() >= level:
            return
        if self.family["mutating"][at] and now >= proxy.may_write_until:
            return
        endpoint = self.endpoints[owner]
        work = self.work_of_class[at] * self.random.lognormvariate(-0.08, 0.4)
        if now - endpoint.met.get(key, -1e9) < self.gain_for:
            work *= 1 - self.gain
        endpoint.met[key] = now
        self.on_send(now, proxy, number, name, endpoint, work)
        took = endpoint.take(now, work)
        self.record.write(
            "op",
            f"{name}, slice {number}: proxy {proxy.number} to {owner}, {work:.3f} s of work, {took:.3f} s",
        )
        if self.family["mutating"][at]:
            limit = self.family["in_flight_max_ns"] / 1e9
            self.on_write(now, number, endpoint, now + min(took, limit))
        met = self.met.setdefault((proxy.zone, owner), [0, 0, 0.0])
        met[0] += 1
        if took > self.settings["classes"][at]["deadline_ns"] / 1e9 or endpoint.lifecycle == "gone":
            met[1] += 1
            heat[1] += 1
        else:
            met[2] += took

    async def collect(self, address):
        """A collector for each zone; the first one passes the slices' sums on."""
        zones = self.settings["zones"]
        writers = []
        for zone in zones:
            _, writer = await asyncio.open_connection(*address)
            self.frame(writer, {"t": "agent", "locality": zone})
            writers.append(writer)
            self.writers.append(writer)
        period = self.family["report_every_ns"] / 1e9
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(period)
            met, self.met = self.met, {}
            heat, self.heat = self.heat, {}
            loop.call_later(self.report_delay, self.report, zones, writers, met, heat, period * 1000)

    def report(self, zones, writers, met, heat, period):
        """Passes on as many lines as the intake allows, the oldest first; the rest adds up and follows."""
        for kind, sums in (("met", met), ("heat", heat)):
            for key, values in sums.items():
                waiting = self.unreported.setdefault((kind, key), [0.0] * (len(values) + 1))
                for at, value in enumerate([*values, period]):
                    waiting[at] += value
        for kind, key in list(self.unreported)[: int(self.family["intake_per_s"] * period / 1000)]:
            *values, interval = self.unreported.pop((kind, key))
            if kind == "met":
                zone, name = key
                tries, errors, took = values
                message = {
                    "t": "outcomes",
                    "locality": zone,
                    "endpoint": name,
                    "total": int(tries),
                    "errors": int(errors),
                    "rtt": took / (tries - errors) * 1000 if tries > errors else 0.0,
                    "interval": interval,
                }
                self.frame(writers[zones.index(zone)], message)
            else:
                message = {
                    "t": "hot",
                    "shard": key[0],
                    "route": key[1],
                    "total": int(values[0]),
                    "errors": int(values[1]),
                    "interval": interval,
                }
                self.frame(writers[0], message)

    @staticmethod
    def frame(writer, message):
        body = json.dumps(message).encode()
        writer.write(len(body).to_bytes(4, "big") + body)

    # ---- the pilot

    async def start(self, known=None, sockets=256):
        """Starts relay, discovery and the pilot, and waits until a probe is answered."""
        for proxy in self.proxies.values():
            proxy.table = {n: o for n, o in self.store.items() if o}
        relay = await asyncio.start_server(self.relay, "127.0.0.1", 0, limit=1 << 20)
        agent = await asyncio.start_server(self.agent, "127.0.0.1", 0)
        self.servers = [relay, agent]
        self.discovery_address = "127.0.0.1:%d" % agent.sockets[0].getsockname()[1]
        self.relay_address = "127.0.0.1:%d" % relay.sockets[0].getsockname()[1]
        self.address = ("127.0.0.1", free_port())
        self.folder = tempfile.TemporaryDirectory()
        self.log = (Path(self.record.file.name).parent / "pilot.log").open("wb")
        await self.launch(known or self.listing(), sockets)

    async def launch(self, known, sockets=256):
        """Starts the pilot with the list that it last held, and waits until a probe is answered."""
        listen = f"127.0.0.1:{self.address[1]}"
        path = Path(self.folder.name) / "config.json"
        self.starts += 1
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": listen,
                    "discovery": self.discovery_address,
                    "seed": f"8c1f30d27a5be9{self.starts:02x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                    "registry": {"address": self.relay_address},
                    "known": known,
                    "settings": self.settings,
                }
            )
        )
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": self.discovery_address,
            "RELAY_CONFIG": str(path),
            "TMPDIR": self.folder.name,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.write("pilot", f"started: {run}")
        deadline = self.record.now() + READY_WITHIN
        while not await self.probe():
            if self.record.now() > deadline or self.process.returncode is not None:
                raise RuntimeError("the pilot did not become ready")
            await asyncio.sleep(0.1)
        self.record.write("pilot", "ready")

    async def kill(self):
        """Kills the pilot. Proxies lose their streams and go on with what they hold."""
        self.record.write("pilot", "killed")
        self.process.kill()
        await self.process.wait()
        for writer in list(self.news):
            writer.close()
        self.news.clear()
        self.gives_anew = True
        for proxy in self.proxies.values():
            if proxy.joined:
                self.leave(proxy)

    async def probe(self):
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            self.frame(writer, {"t": "probe"})
            size = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), 1), "big")
            return json.loads(await reader.readexactly(size)) == {"t": "alive"}
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        ended = self.process is not None and self.process.returncode is not None
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 3)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()
        for server in getattr(self, "servers", []):
            server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.05)
        if ended:
            raise RuntimeError("the pilot ended by itself")


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


async def limited(play, record, trouble):
    """Plays for 115 s at most. A signal to stop ends the case and what it has started."""
    task = asyncio.ensure_future(asyncio.wait_for(play(record, trouble), 115))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def main(play, folder):
    """Runs `play(record, trouble)`, which returns whether the rule held; exits with 0, 1 or 2."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"trouble={int(trouble)}")
    try:
        held = asyncio.run(limited(play, record, trouble))
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.write("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("case", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
