"""CPU, memory and restart time of a pilot process with 70 proxies, 60 endpoints, 400 slices and 600 ops/s.

Store and pilot run as processes; the agents in this process report synthetic ops. A fixed computation is
timed in the same run as a baseline of the machine.

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


def measure_baseline() -> float:
    """Returns the seconds that a fixed computation takes on this machine."""
    started_at = time.perf_counter()
    sum(n * n % 7 for n in range(3_000_000))
    return time.perf_counter() - started_at


def parse_metrics(text: bytes) -> dict[str, float]:
    """Parses the unlabelled metrics of a /metrics body."""
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
    rng = random.Random(1)
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

        def fetch_metrics() -> Any:
            assert d.pilots[0].admin is not None
            reply = yield from pool.request(
                d.pilots[0].admin, "GET", "/metrics", [], b"", loop.now() + 2_000_000
            )
            return parse_metrics(reply.body)

        def generate_ops() -> Any:
            """Reports 600 synthetic ops per second, of which 2% abort."""
            while True:
                yield from loop.sleep(10_000)
                for _ in range(OPS_PER_S // 100):
                    agent, number = rng.choice(agents), rng.randrange(SLICES)
                    kind = int(rng.random() < 0.3)
                    agent.on_op_received(number, kind)
                    pick = agent.tables.pick(loop.now(), number, kind, 0.5)
                    if isinstance(pick, Pick):
                        agent.on_try_finished(pick, rng.random() < 0.02, int(rng.lognormvariate(12.5, 0.5)))

        def run_scenario() -> Any:
            start("store", "store", "serve", d.file)
            start("pilot", "pilot", d.file, "p0")
            while any(not h.owner for a in agents for h in a.tables.held.values()):
                yield from loop.sleep(50_000)
            loop.spawn(generate_ops(), "ops")
            yield from loop.sleep(3_000_000)
            before = yield from fetch_metrics()
            yield from loop.sleep(args.seconds * 1_000_000)
            after = yield from fetch_metrics()
            cpu = (after["cedarshift_cpu_seconds"] - before["cedarshift_cpu_seconds"]) / args.seconds
            print(
                f"{PROXIES} proxies, {ENDPOINTS} endpoints, {SLICES} slices, sums of {OPS_PER_S} ops/s, "
                f"{args.seconds} s"
            )
            print(
                f"pilot's CPU {100 * cpu:.1f}% of a core; memory at most "
                f"{after['cedarshift_memory_peak_bytes'] / 2**20:.0f} MiB; "
                f"slowest step {1000 * after['cedarshift_slowest_step_seconds']:.0f} ms"
            )
            yield from restart()

        def restart() -> Any:
            processes["pilot"].kill()
            processes["pilot"].wait()
            write_list(folder, ENDPOINTS, (0,))  # makes the restarted pilot issue orders
            first_order.clear()
            started_at = loop.now()
            while any(a.links for a in agents):
                yield from loop.sleep(1_000)
            start("pilot", "pilot", d.file, "p0")
            while not all(a.links for a in agents):
                yield from loop.sleep(5_000)
            joined = loop.now()
            while not first_order:
                yield from loop.sleep(5_000)
            print(
                f"killed and started again: all {PROXIES} proxies joined after "
                f"{(joined - started_at) / 1e6:.2f} s, "
                f"first order at a proxy after {(first_order[0] - started_at) / 1e6:.2f} s"
            )

        agents = make_agents(loop, d, PROXIES, observe)
        try:
            loop.run(loop.spawn(run_scenario(), "play"))
        finally:
            for process in processes.values():
                process.kill()
                process.wait()
    print(f"this machine: {measure_baseline():.3f} s for three million steps of plain Python")


if __name__ == "__main__":
    main()
