"""How long a reader of ephemeral nodes takes to a true list, over loopback sockets against the stand-in ensemble.

For each number of nodes and each way of watching: time, calls, bytes and memory to the first whole list; the same for one
node in a hundred that changes; and a herd that registers at once. The round trips that are needed at least are told beside.
A reader is a process of its own, so that its memory is its own.

    python -m benchmarks.roster [--sizes 100,1000,10000] [--herd 300]
"""

from __future__ import annotations

import argparse
import json
import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from typing import Any

from cedarshift.codec.zookeeper import ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports
from cedarshift.roster.ephemeral import EphemeralSettings, EphemeralSource
from cedarshift.roster.formats import Member, write_member
from cedarshift.roster.members import MAX_IN_FLIGHT
from cedarshift.roster.register import OPEN_ACL, Registration, RegistrationSettings
from cedarshift.roster.sources import SavedList
from cedarshift.roster.zookeeper import CONNECTED, ZooKeeperClient

PATH = "/bench"
SECOND = 1_000_000
WINDOW = 200  # creates in flight while the tree is filled
DRAIN = 50  # one node in so many changes


def member(n: int, phase: str = "on") -> bytes:
    return write_member(Member(f"10.0.{n >> 8}.{n & 255}:9000", phase, 1.0, "north", "boot-1"), "serverset")


def client_of(loop: Loop, places: list[tuple[str, int]]) -> ZooKeeperClient:
    return ZooKeeperClient(
        loop,
        places,
        20 * SECOND,
        random.Random(1).random,
        lambda state: None,
        lambda event: None,
        lambda event, **fields: None,
    )


def connected(loop: Loop, client: ZooKeeperClient) -> Coroutine:
    while client.state != CONNECTED:
        yield from loop.sleep(10_000)


def many(loop: Loop, client: ZooKeeperClient, requests: list[tuple[int, Any]]) -> Coroutine:
    """Posts all of them, a window at a time."""
    for start in range(0, len(requests), WINDOW):
        calls = [client.post(op, body) for op, body in requests[start : start + WINDOW]]
        for call in calls:
            yield from call.wait()


def fill(loop: Loop, client: ZooKeeperClient, count: int) -> Coroutine:
    yield from connected(loop, client)
    try:
        yield from client.call(r.CREATE, r.Create(PATH, b"", OPEN_ACL, r.PERSISTENT))
    except ZooKeeperError:
        pass
    got = yield from client.call(r.GET_CHILDREN2, r.WatchRequest(PATH, False))
    yield from many(loop, client, [(r.DELETE, r.Delete(f"{PATH}/{name}", -1)) for name in got.children])
    yield from many(
        loop,
        client,
        [
            (r.CREATE, r.Create(f"{PATH}/member_{n:06d}", member(n), OPEN_ACL, r.EPHEMERAL))
            for n in range(count)
        ],
    )


def read(places: list[tuple[str, int]], count: int, recursive: bool) -> dict[str, Any]:
    """The reader's process: to the first whole list, then to the end of a change that the filler makes on its sign."""
    loop = real_loop(lambda event, **fields: None)
    listed: dict[str, str] = {}
    told_at: list[int] = []

    def tell(kind: str, entries: list[Any]) -> None:
        told_at.append(loop.now())
        listed.update({e.endpoint: e.phase for e in entries})

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    begun = loop.now()
    source = EphemeralSource(
        loop,
        EphemeralSettings(tuple(places), PATH, 20 * SECOND, "serverset", "", recursive, False, SECOND, ()),
        False,
        random.Random(2).random,
        SavedList(""),
        tell,
        lambda event, **fields: None,
    )
    found: dict[str, Any] = {}

    def main() -> Coroutine:
        while len(listed) < count:
            yield from loop.sleep(1_000)
        client = source.client
        found.update(
            first_ms=(told_at[-1] - begun) / 1e3,
            calls=client.counts["calls"],
            kib=client.counts["bytes_read"] / 1024,
            memory_mib=(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024,
            slowest_step_ms=loop.slowest_step_us / 1e3,
        )
        calls, size = client.counts["calls"], client.counts["bytes_read"]
        print("ready", flush=True)
        while sum(phase == "fading" for phase in listed.values()) < max(1, count // DRAIN):
            yield from loop.sleep(1_000)
        found.update(
            changed_at=told_at[-1],
            change_calls=client.counts["calls"] - calls,
            change_kib=(client.counts["bytes_read"] - size) / 1024,
        )

    loop.run(loop.spawn(main(), "main"))
    source.stop()
    return found


def measure(
    loop: Loop, filler: ZooKeeperClient, places: list[tuple[str, int]], count: int, recursive: bool
) -> dict[str, Any]:
    loop.run(loop.spawn(fill(loop, filler, count), "fill"))
    reader = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.roster", "--read", json.dumps([places, count, recursive])],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert reader.stdout is not None
    waiting = os.dup(reader.stdout.fileno())
    os.set_blocking(waiting, False)

    def change() -> Coroutine:
        while True:  # the filler's own session must be kept alive meanwhile
            try:
                if os.read(waiting, 64):
                    break
            except BlockingIOError:
                pass
            yield from loop.sleep(5_000)
        begun = loop.now()
        yield from many(
            loop,
            filler,
            [
                (r.SET_DATA, r.SetData(f"{PATH}/member_{n:06d}", member(n, "fading"), -1))
                for n in range(max(1, count // DRAIN))
            ],
        )
        return begun

    begun = loop.run(loop.spawn(change(), "change"))
    found = json.loads(reader.communicate(timeout=60)[0].splitlines()[-1])
    os.close(waiting)
    return {**found, "change_ms": (found["changed_at"] - begun) / 1e3}


def herd(loop: Loop, places: list[tuple[str, int]], count: int) -> tuple[float, int]:
    """Members that register all at once, each with a session of its own: ms to the true list, calls of the reader."""
    listed: dict[str, str] = {}

    def quiet(event: str, **fields: Any) -> None:
        pass

    source = EphemeralSource(
        loop,
        EphemeralSettings(tuple(places), PATH, 20 * SECOND, "serverset", "", True, False, SECOND, ()),
        False,
        random.Random(2).random,
        SavedList(""),
        lambda kind, entries: listed.update({e.endpoint: e.phase for e in entries}),
        quiet,
    )
    terms = RegistrationSettings(tuple(places), PATH, 20 * SECOND, "serverset", "bench", ())

    def main() -> Coroutine:
        while not source.primed:
            yield from loop.sleep(1_000)
        begun, calls = loop.now(), source.client.counts["calls"]
        made = [
            Registration(
                loop, terms, Member(f"herd:{n + 1}", "on", 1.0, "north", "b"), random.Random(n).random, quiet
            )
            for n in range(count)
        ]
        while sum(name.startswith("herd") for name in listed) < count:
            yield from loop.sleep(1_000)
        took, calls = (loop.now() - begun) / 1e3, source.client.counts["calls"] - calls
        for one in made:
            one.stop()
        source.stop()
        return took, calls

    return loop.run(loop.spawn(main(), "herd"))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="100,1000,10000")
    parser.add_argument("--herd", type=int, default=300)
    parser.add_argument("--read", default="")
    args = parser.parse_args()
    if args.read:
        places, count, recursive = json.loads(args.read)
        print(json.dumps(read([(host, port) for host, port in places], count, recursive)))
        return
    loop = real_loop(lambda event, **fields: None)
    ports = Ports(loop)
    places, control = [ports.take() for _ in range(3)], ports.take()
    with tempfile.TemporaryDirectory() as folder:
        plan = {"addresses": places, "control": control, "read_path": "", "form": "serverset", "seed": 1}
        with open(os.path.join(folder, "plan.json"), "w") as out:
            json.dump(plan, out)
        ensemble = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cedarshift.standins",
                "ensemble",
                out.name,
                os.path.join(folder, "record.jsonl"),
            ]
        )
        try:
            time.sleep(0.5)
            filler = client_of(loop, places)
            print(
                f"{'nodes':>6} {'watch':<10} {'first ms':>9} {'calls':>6} {'KiB':>7} {'MiB':>6} {'trips':>6} {'step ms':>8}   "
                f"{'2% change ms':>12} {'calls':>6} {'KiB':>7}"
            )
            for count in [int(size) for size in args.sizes.split(",")]:
                for recursive in (True, False):
                    got = measure(loop, filler, places, count, recursive)
                    trips = 3 + int(recursive) + -(-count // MAX_IN_FLIGHT)
                    print(
                        f"{count:>6} {'recursive' if recursive else 'one-shot':<10} {got['first_ms']:>9.1f} {got['calls']:>6} "
                        f"{got['kib']:>7.0f} {got['memory_mib']:>6.1f} {trips:>6} {got['slowest_step_ms']:>8.1f}   "
                        f"{got['change_ms']:>12.1f} {got['change_calls']:>6} {got['change_kib']:>7.1f}",
                        flush=True,
                    )
            loop.run(loop.spawn(fill(loop, filler, 0), "empty"))
            took, calls = herd(loop, places, args.herd)
            print(
                f"a herd of {args.herd} that registers at once: a true list after {took:.0f} ms, {calls} calls of the reader; "
                "members, reader and their sessions in one process"
            )
        finally:
            ensemble.kill()
            ensemble.wait()
            ports.release()


if __name__ == "__main__":
    main()
