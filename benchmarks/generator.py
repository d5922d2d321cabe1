"""The load generator's own error against its schedule, over loopback: how late it sends at each rate, and at what cost.

Against stand-in endpoints that answer at once, two processes of them; then the same with a generator that is held up for two
seconds (SIGSTOP), which must not be certified.

    python -m benchmarks.generator [--rates 1000,5000,20000] [--workers 4] [--length 5s]
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from cedarshift.load.run import play
from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports

FILE = """load "bench" {{
  targets = [{targets}]
  rate    = {rate}
  length  = "{length}"
  workers = {workers}
  op_type "tile-fetch" {{
    op_timeout = "2s"
    work       = "1us"
  }}
}}
"""


def held_up(path: str) -> str:
    """Plays it in a process of its own and stops one of its workers for two seconds."""
    run = subprocess.Popen(
        [sys.executable, "-m", "cedarshift", "load", path, "--quiet"], stdout=subprocess.PIPE, text=True
    )
    time.sleep(3.5)
    children = subprocess.run(
        ["ps", "-o", "pid=", "--ppid", str(run.pid)], capture_output=True, text=True
    ).stdout.split()
    for number in children[:1]:
        os.kill(int(number), signal.SIGSTOP)
        time.sleep(2)
        os.kill(int(number), signal.SIGCONT)
    return run.communicate()[0]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="1000,5000,20000")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--endpoints", type=int, default=2)
    parser.add_argument("--length", default="5s")
    args = parser.parse_args()
    ports = Ports(real_loop())
    places = [ports.take() for _ in range(args.endpoints)]
    running = []
    with tempfile.TemporaryDirectory() as folder:
        for n, place in enumerate(places):
            plan = os.path.join(folder, f"plan-{n}.json")
            with open(plan, "w") as out:
                json.dump({"name": f"e{n}", "address": place, "cores": 1000, "queue": 100_000}, out)
            running.append(
                subprocess.Popen([sys.executable, "-m", "cedarshift.standins", "endpoint", plan, os.devnull])
            )
        try:
            time.sleep(0.5)
            targets = ", ".join(f'"{host}:{port}"' for host, port in places)
            path = os.path.join(folder, "load.hcl")
            print(
                f"{'asked/s':>8} {'acked/s':>8} {'late p99 ms':>11} {'late max ms':>11} {'busiest worker':>14} {'p50 ms':>7} {'p99 ms':>7}  verdict"
            )
            for rate in [int(one) for one in args.rates.split(",")]:
                with open(path, "w") as out:
                    out.write(
                        FILE.format(targets=targets, rate=rate, length=args.length, workers=args.workers)
                    )
                got = play(path, lambda text: None)
                acked = sum(counts.get("acked", 0) for counts in got["outcomes"].values())
                busiest = max((one["busy"] for one in got["workers"]), default=0.0)
                times = got["latency_ms"].get("tile-fetch", {"p50": 0.0, "p99": 0.0})
                seconds = float(args.length.rstrip("s"))
                print(
                    f"{rate:>8} {acked / seconds:>8.0f} {got['late_ms']['p99']:>11.2f} {got['late_ms']['max']:>11.1f} {busiest:>14.2f} "
                    f"{times['p50']:>7.2f} {times['p99']:>7.2f}  {'certified' if got['certified'] else got['faults'][0]}",
                    flush=True,
                )
            with open(path, "w") as out:
                out.write(FILE.format(targets=targets, rate=500, length="6s", workers=2))
            print("one of two workers stopped for 2 s, 500 ops/s for 6 s:\n" + held_up(path))
        finally:
            for one in running:
                one.kill()
                one.wait()
            ports.release()


if __name__ == "__main__":
    main()
