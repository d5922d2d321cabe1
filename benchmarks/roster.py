"""Time for a reader of ephemeral nodes to obtain a true list, over loopback against the stand-in ensemble.

For each number of nodes and each kind of watch it prints the time, calls, bytes and memory until the first
complete list, the same for a change of 2% of the nodes, and the minimum number of round trips. Finally many
members register at once. Each reader runs in its own process so that its memory can be measured.

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
FILL_WINDOW = 200  # requests in flight while filling the tree
CHANGED_NODE_INTERVAL = 50  # one node in 50 is changed


def encode_member(n: int, phase: str = "on") -> bytes:
    return write_member(Member(f"10.0.{n >> 8}.{n & 255}:9000", phase, 1.0, "north", "boot-1"), "serverset")


def make_client(loop: Loop, addresses: list[tuple[str, int]]) -> ZooKeeperClient:
    return ZooKeeperClient(
        loop,
        addresses,
        20 * SECOND,
        random.Random(1).random,
        lambda state: None,
        lambda event: None,
        lambda event, **fields: None,
    )


def wait_connected(loop: Loop, client: ZooKeeperClient) -> Coroutine:
    while client.state != CONNECTED:
        yield from loop.sleep(10_000)


def send_requests(loop: Loop, client: ZooKeeperClient, requests: list[tuple[int, Any]]) -> Coroutine:
    """Sends the requests in windows and waits for each window."""
    for start in range(0, len(requests), FILL_WINDOW):
        calls = [client.post(op, body) for op, body in requests[start : start + FILL_WINDOW]]
        for call in calls:
            yield from call.wait()


def fill_tree(loop: Loop, client: ZooKeeperClient, count: int) -> Coroutine:
    yield from wait_connected(loop, client)
    try:
        yield from client.call(r.CREATE, r.Create(PATH, b"", OPEN_ACL, r.PERSISTENT))
    except ZooKeeperError:
        pass
    result = yield from client.call(r.GET_CHILDREN2, r.WatchRequest(PATH, False))
    yield from send_requests(
        loop, client, [(r.DELETE, r.Delete(f"{PATH}/{name}", -1)) for name in result.children]
    )
    yield from send_requests(
        loop,
        client,
        [
            (r.CREATE, r.Create(f"{PATH}/member_{n:06d}", encode_member(n), OPEN_ACL, r.EPHEMERAL))
            for n in range(count)
        ],
    )


def run_reader(addresses: list[tuple[str, int]], count: int, recursive: bool) -> dict[str, Any]:
    """Runs in the reader process; measures the first complete list and then one change.

    Printing "ready" asks the parent process to make the change.
    """
    loop = real_loop(lambda event, **fields: None)
    listed: dict[str, str] = {}
    updated_at: list[int] = []

    def on_update(kind: str, entries: list[Any]) -> None:
        updated_at.append(loop.now())
        listed.update({e.endpoint: e.phase for e in entries})

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started_at = loop.now()
    source = EphemeralSource(
        loop,
        EphemeralSettings(tuple(addresses), PATH, 20 * SECOND, "serverset", "", recursive, False, SECOND, ()),
        False,
        random.Random(2).random,
        SavedList(""),
        on_update,
        lambda event, **fields: None,
    )
    measurements: dict[str, Any] = {}

    def main() -> Coroutine:
        while len(listed) < count:
            yield from loop.sleep(1_000)
        client = source.client
        measurements.update(
            first_ms=(updated_at[-1] - started_at) / 1e3,
            calls=client.counts["calls"],
            kib=client.counts["bytes_read"] / 1024,
            memory_mib=(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024,
            slowest_step_ms=loop.slowest_step_us / 1e3,
        )
        calls, size = client.counts["calls"], client.counts["bytes_read"]
        print("ready", flush=True)
        while sum(phase == "fading" for phase in listed.values()) < max(1, count // CHANGED_NODE_INTERVAL):
            yield from loop.sleep(1_000)
        measurements.update(
            changed_at=updated_at[-1],
            change_calls=client.counts["calls"] - calls,
            change_kib=(client.counts["bytes_read"] - size) / 1024,
        )

    loop.run(loop.spawn(main(), "main"))
    source.stop()
    return measurements


def measure(
    loop: Loop, filler: ZooKeeperClient, addresses: list[tuple[str, int]], count: int, recursive: bool
) -> dict[str, Any]:
    loop.run(loop.spawn(fill_tree(loop, filler, count), "fill"))
    reader = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.roster", "--read", json.dumps([addresses, count, recursive])],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert reader.stdout is not None
    ready_fd = os.dup(reader.stdout.fileno())
    os.set_blocking(ready_fd, False)

    def change() -> Coroutine:
        while True:  # polls so that the loop keeps the filler's session alive
            try:
                if os.read(ready_fd, 64):
                    break
            except BlockingIOError:
                pass
            yield from loop.sleep(5_000)
        started_at = loop.now()
        yield from send_requests(
            loop,
            filler,
            [
                (r.SET_DATA, r.SetData(f"{PATH}/member_{n:06d}", encode_member(n, "fading"), -1))
                for n in range(max(1, count // CHANGED_NODE_INTERVAL))
            ],
        )
        return started_at

    started_at = loop.run(loop.spawn(change(), "change"))
    measurements = json.loads(reader.communicate(timeout=60)[0].splitlines()[-1])
    os.close(ready_fd)
    return {**measurements, "change_ms": (measurements["changed_at"] - started_at) / 1e3}


def register_herd(loop: Loop, addresses: list[tuple[str, int]], count: int) -> tuple[float, int]:
    """Registers `count` members at once; returns the ms until the list is true and the reader's calls."""
    listed: dict[str, str] = {}

    def ignore_event(event: str, **fields: Any) -> None:
        pass

    source = EphemeralSource(
        loop,
        EphemeralSettings(tuple(addresses), PATH, 20 * SECOND, "serverset", "", True, False, SECOND, ()),
        False,
        random.Random(2).random,
        SavedList(""),
        lambda kind, entries: listed.update({e.endpoint: e.phase for e in entries}),
        ignore_event,
    )
    settings = RegistrationSettings(tuple(addresses), PATH, 20 * SECOND, "serverset", "bench", ())

    def main() -> Coroutine:
        while not source.primed:
            yield from loop.sleep(1_000)
        started_at, calls = loop.now(), source.client.counts["calls"]
        registrations = [
            Registration(
                loop,
                settings,
                Member(f"herd:{n + 1}", "on", 1.0, "north", "b"),
                random.Random(n).random,
                ignore_event,
            )
            for n in range(count)
        ]
        while sum(name.startswith("herd") for name in listed) < count:
            yield from loop.sleep(1_000)
        elapsed_ms, calls = (loop.now() - started_at) / 1e3, source.client.counts["calls"] - calls
        for one in registrations:
            one.stop()
        source.stop()
        return elapsed_ms, calls

    return loop.run(loop.spawn(main(), "herd"))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="100,1000,10000")
    parser.add_argument("--herd", type=int, default=300)
    parser.add_argument("--read", default="")
    args = parser.parse_args()
    if args.read:
        addresses, count, recursive = json.loads(args.read)
        print(json.dumps(run_reader([(host, port) for host, port in addresses], count, recursive)))
        return
    loop = real_loop(lambda event, **fields: None)
    ports = Ports(loop)
    addresses, control = [ports.take() for _ in range(3)], ports.take()
    with tempfile.TemporaryDirectory() as folder:
        plan = {"addresses": addresses, "control": control, "read_path": "", "form": "serverset", "seed": 1}
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
            filler = make_client(loop, addresses)
            print(
                f"{'nodes':>6} {'watch':<10} {'first ms':>9} {'calls':>6} {'KiB':>7} {'MiB':>6} "
                f"{'trips':>6} {'step ms':>8}   "
                f"{'2% change ms':>12} {'calls':>6} {'KiB':>7}"
            )
            for count in [int(size) for size in args.sizes.split(",")]:
                for recursive in (True, False):
                    result = measure(loop, filler, addresses, count, recursive)
                    trips = 3 + int(recursive) + -(-count // MAX_IN_FLIGHT)
                    print(
                        f"{count:>6} {'recursive' if recursive else 'one-shot':<10} "
                        f"{result['first_ms']:>9.1f} {result['calls']:>6} "
                        f"{result['kib']:>7.0f} {result['memory_mib']:>6.1f} {trips:>6} "
                        f"{result['slowest_step_ms']:>8.1f}   "
                        f"{result['change_ms']:>12.1f} {result['change_calls']:>6} "
                        f"{result['change_kib']:>7.1f}",
                        flush=True,
                    )
            loop.run(loop.spawn(fill_tree(loop, filler, 0), "empty"))
            elapsed_ms, calls = register_herd(loop, addresses, args.herd)
            print(
                f"a herd of {args.herd} that registers at once: a true list after {elapsed_ms:.0f} ms, "
                f"{calls} calls of the reader; "
                "members, reader and their sessions in one process"
            )
        finally:
            ensemble.kill()
            ensemble.wait()
            ports.release()


if __name__ == "__main__":
    main()
