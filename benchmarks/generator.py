"""Scheduling error of the load generator over loopback: send lateness and cost at each rate.

Runs against stand-in endpoints that answer at once, then once more with a worker stopped (SIGSTOP) for two
seconds; that run must not be certified.

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

LOAD_TEMPLATE = """load "bench" {{
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


def run_with_stopped_worker(path: str) -> str:
    """Runs the load file in a child process, stops one worker for two seconds and returns the output."""
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
    addresses = [ports.take() for _ in range(args.endpoints)]
    endpoint_processes = []
    with tempfile.TemporaryDirectory() as folder:
        for n, address in enumerate(addresses):
            plan = os.path.join(folder, f"plan-{n}.json")
            with open(plan, "w") as out:
                json.dump({"name": f"e{n}", "address": address, "cores": 1000, "queue": 100_000}, out)
            endpoint_processes.append(
                subprocess.Popen([sys.executable, "-m", "cedarshift.standins", "endpoint", plan, os.devnull])
            )
        try:
            time.sleep(0.5)
            targets = ", ".join(f'"{host}:{port}"' for host, port in addresses)
            path = os.path.join(folder, "load.hcl")
            print(
                f"{'asked/s':>8} {'acked/s':>8} {'late p99 ms':>11} {'late max ms':>11} "
                f"{'busiest worker':>14} {'p50 ms':>7} {'p99 ms':>7}  verdict"
            )
            for rate in [int(rate_text) for rate_text in args.rates.split(",")]:
                with open(path, "w") as out:
                    out.write(
                        LOAD_TEMPLATE.format(
                            targets=targets, rate=rate, length=args.length, workers=args.workers
                        )
                    )
                report = play(path, lambda text: None)
                acked = sum(counts.get("acked", 0) for counts in report["outcomes"].values())
                busiest = max((worker["busy"] for worker in report["workers"]), default=0.0)
                times = report["latency_ms"].get("tile-fetch", {"p50": 0.0, "p99": 0.0})
                seconds = float(args.length.rstrip("s"))
                print(
                    f"{rate:>8} {acked / seconds:>8.0f} {report['late_ms']['p99']:>11.2f} "
                    f"{report['late_ms']['max']:>11.1f} {busiest:>14.2f} "
                    f"{times['p50']:>7.2f} {times['p99']:>7.2f}  "
                    f"{'certified' if report['certified'] else report['faults'][0]}",
                    flush=True,
                )
            with open(path, "w") as out:
                out.write(LOAD_TEMPLATE.format(targets=targets, rate=500, length="6s", workers=2))
            print("one of two workers stopped for 2 s, 500 ops/s for 6 s:\n" + run_with_stopped_worker(path))
        finally:
            for process in endpoint_processes:
                process.kill()
                process.wait()
            ports.release()


if __name__ == "__main__":
    main()
