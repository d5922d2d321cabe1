"""The pilot as a process at 70 proxies, 60 endpoints, 400 slices and the sums of 600 ops/s: CPU, memory, restart.

Store and pilot run as processes of their own; the agents in this one hand in sums of made-up ops. The machine's own
baseline: how long this process takes for a fixed piece of Python, in the same run.

    python -m benchmarks.footprint [--seconds 20]
"""

from __future__ import annotations

import argparse
import random
import re
import subprocess
import sys
import tempfile
import time
from typing import Any

from benchmarks.fixtures import make_agents, make_deployment, write_list
from cedarshift.agent.tables import Pick
from cedarshift.loop.epoll import real_loop
from cedarshift.web import Pool

PROXIES, ENDPOINTS, SLICES, OPS_PER_S = 70, 60, 400, 600


def baseline() -> float:
    begun = time.perf_counter()
    sum(n * n % 7 for n in range(3_000_000))
    return time.perf_counter() - begun


def figures(text: bytes) -> dict[str, float]:
    return {
        name: float(value)
        for name, value in re.findall(r"^(cedarshift_\w+) ([\d.e+-]+)$", text.decode(), re.M)
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=20)
    args = parser.parse_args()
    loop = real_loop(lambda event, **fields: None)
    processes: dict[str, subprocess.Popen] = {}
    chance = random.Random(1)
    with tempfile.TemporaryDirectory() as folder:
        d = make_deployment(loop, folder, SLICES, ENDPOINTS, 20_000)
        pool = Pool(loop, 1_000_000)
        first_order: list[int] = []

        def observe(n: int, event: str, **fields: Any) -> None:
            if event == "order" and fields["order"].lines + fields["order"].levels:
                first_order.append(loop.now())

        def start(name: str, *arguments: str) -> None:
            with open(f"{folder}/{name}.log", "ab") as log:
                processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "cedarshift", "--log", "json", *arguments], stdout=log, stderr=log
                )

        def asked() -> Any:
            assert d.pilots[0].admin is not None
            reply = yield from pool.request(
                d.pilots[0].admin, "GET", "/metrics", [], b"", loop.now() + 2_000_000
            )
            return figures(reply.body)

        def ops() -> Any:
            """600 ops a second as the agents count them; two in a hundred abort."""
            while True:
                yield from loop.sleep(10_000)
                for _ in range(OPS_PER_S // 100):
                    agent, number = chance.choice(agents), chance.randrange(SLICES)
                    kind = int(chance.random() < 0.3)
                    agent.on_op_received(number, kind)
                    pick = agent.tables.pick(loop.now(), number, kind, 0.5)
                    if isinstance(pick, Pick):
                        agent.on_try_finished(
                            pick, chance.random() < 0.02, int(chance.lognormvariate(12.5, 0.5))
                        )

        def play() -> Any:
            start("store", "store", "serve", d.file)
            start("pilot", "pilot", d.file, "p0")
            while any(not h.owner for a in agents for h in a.tables.held.values()):
                yield from loop.sleep(50_000)
            loop.spawn(ops(), "ops")
            yield from loop.sleep(3_000_000)
            before = yield from asked()
            yield from loop.sleep(args.seconds * 1_000_000)
            after = yield from asked()
            cpu = (after["cedarshift_cpu_seconds"] - before["cedarshift_cpu_seconds"]) / args.seconds
            print(
                f"{PROXIES} proxies, {ENDPOINTS} endpoints, {SLICES} slices, sums of {OPS_PER_S} ops/s, {args.seconds} s"
            )
            print(
                f"pilot's CPU {100 * cpu:.1f}% of a core; memory at most {after['cedarshift_memory_peak_bytes'] / 2**20:.0f} MiB; "
                f"slowest step {1000 * after['cedarshift_slowest_step_seconds']:.0f} ms"
            )
            yield from restart()

        def restart() -> Any:
            processes["pilot"].kill()
            processes["pilot"].wait()
            write_list(folder, ENDPOINTS, (0,))  # something to order as soon as it is in charge
            first_order.clear()
            begun = loop.now()
            while any(a.links for a in agents):
                yield from loop.sleep(1_000)
            start("pilot", "pilot", d.file, "p0")
            while not all(a.links for a in agents):
                yield from loop.sleep(5_000)
            joined = loop.now()
            while not first_order:
                yield from loop.sleep(5_000)
            print(
                f"killed and started again: all {PROXIES} proxies joined after {(joined - begun) / 1e6:.2f} s, "
                f"first order at a proxy after {(first_order[0] - begun) / 1e6:.2f} s"
            )

        agents = make_agents(loop, d, PROXIES, observe)
        try:
            loop.run(loop.spawn(play(), "play"))
        finally:
            for process in processes.values():
                process.kill()
                process.wait()
    print(f"this machine: {baseline():.3f} s for three million steps of plain Python")


if __name__ == "__main__":
    main()
