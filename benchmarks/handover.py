"""Hand-over on loopback: how long a slice's writes are closed, split into acks, settle time and grant.

Store (SQLite, synced), pilot and agents share one loop in one process; endpoints are drained one after the
other. The lower bound of a hand-over is the settle time (in_flight_most).

    python -m benchmarks.handover [--proxies 70] [--rounds 6]
"""

from __future__ import annotations

import argparse
import tempfile
from typing import Any

from benchmarks.fixtures import make_agents, make_deployment, percentile, write_list
from cedarshift.cli.daemons import open_store
from cedarshift.loop import listen
from cedarshift.loop.epoll import real_loop
from cedarshift.pilot import PilotService

ENDPOINTS, SLICES = 12, 96


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", type=int, default=70)
    parser.add_argument("--rounds", type=int, default=6)
    args = parser.parse_args()
    loop = real_loop(lambda event, **fields: None)
    with tempfile.TemporaryDirectory() as folder:
        deployment = make_deployment(loop, folder, SLICES, ENDPOINTS, 20_000)
        store = open_store(loop, deployment)
        pilot = PilotService(
            loop, listen(loop, deployment.pilots[0].listen), deployment, "p0", 1, lambda event, **fields: None
        )
        closed_since: dict[tuple[int, int], int] = {}
        closed_periods_s: list[float] = []

        def observe(n: int, event: str, **fields: Any) -> None:
            if event != "in_force":
                return
            for number, holding in agents[n].tables.held.items():
                closed = not holding.owner or any(lv.share <= 0 for lv in holding.levels)
                if closed:
                    closed_since.setdefault((n, number), loop.now())
                elif (n, number) in closed_since:
                    closed_at = closed_since.pop((n, number))
                    if measuring_from[0]:
                        closed_periods_s.append((loop.now() - closed_at) / 1e6)

        measuring_from = [0]
        agents = make_agents(loop, deployment, args.proxies, observe)

        def drain_endpoints() -> Any:
            while any(not h.owner for a in agents for h in a.tables.held.values()):
                yield from loop.sleep(50_000)
            measuring_from[0] = loop.now()
            pilot.in_force_us.clear()
            for n in range(args.rounds):
                write_list(folder, ENDPOINTS, tuple(range(n + 1)))
                yield from loop.sleep(int(1.6 * deployment.proxy.in_flight_most))

        loop.run(loop.spawn(drain_endpoints(), "play"))
        acks = [us / 1e6 for us in pilot.in_force_us]
        settle = deployment.proxy.in_flight_most / 1e6
        print(
            f"{args.proxies} proxies, {ENDPOINTS} endpoints, {SLICES} slices, {args.rounds} drains one "
            f"after the other; "
            f"channel {deployment.channel.lines_per_s:g} lines/s"
        )
        print(f"{'':<34}{'p50 s':>8}{'p99 s':>8}{'max s':>8}")
        for name, values in (
            ("decided to in force and acked", acks),
            ("writes closed at a proxy", closed_periods_s),
            ("  above the settle time (floor)", [s - settle for s in closed_periods_s]),
        ):
            print(
                f"{name:<34}{percentile(values, 0.5):>8.3f}{percentile(values, 0.99):>8.3f}"
                f"{max(values, default=0):>8.3f}"
            )
        print(
            f"settle time {settle:g} s; closings seen {len(closed_periods_s)}; store commits "
            f"{store.ledger.commits}"
        )


if __name__ == "__main__":
    main()
