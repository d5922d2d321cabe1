"""Cost of lending to the lender: order latency with and without a borrower, and bytes per fact.

One process runs a pilot, its agents and a borrower that requests all facts repeatedly. Endpoints are drained
one after the other, first without a borrower, then with one. Facts on 20,000 slices and 12 endpoints are
lent.

    python -m benchmarks.lending [--proxies 70] [--rounds 5]
"""

from __future__ import annotations

import argparse
import dataclasses
import tempfile
import time
from typing import Any

from benchmarks.fixtures import make_agents, make_deployment, percentile, write_list
from cedarshift.cli.daemons import open_store
from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.deployment.deployment import LearningSettings
from cedarshift.link import connect
from cedarshift.loop import listen
from cedarshift.loop.epoll import real_loop
from cedarshift.pilot import PilotService
from cedarshift.pilot.intake import SliceTotals, ZoneTotals
from cedarshift.pilot.learning import unpack_chunk

ENDPOINTS, SLICES, LENT_SLICES = 12, 96, 20_000


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", type=int, default=70)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    loop = real_loop(lambda event, **fields: None)
    with tempfile.TemporaryDirectory() as folder:
        learn = LearningSettings((), 0, 2_000_000, 2_000_000, 2_000_000, 0.05, True)
        d = dataclasses.replace(make_deployment(loop, folder, SLICES, ENDPOINTS, 20_000), learn=learn)
        open_store(loop, d)
        pilot = PilotService(loop, listen(loop, d.pilots[0].listen), d, "p0", 1, lambda event, **fields: None)
        agents = make_agents(loop, d, args.proxies)
        counters = {"chunks": 0, "lendings": 0}

        def record_stats() -> None:
            """Records statistics of many slices and of all endpoints."""
            assert pilot.lending is not None
            for n in range(LENT_SLICES):
                for k in range(4):
                    pilot.lending.record_slice_stats(
                        loop.now(), "fetch", SliceTotals(n, 0, 40 + k, n % 3, 1_000_000)
                    )
            for n in range(ENDPOINTS):
                for k in range(24):
                    pilot.lending.record_endpoint_stats(
                        loop.now(),
                        ZoneTotals(f"10.0.0.{n}:7500", "abcd"[k % 4], 30 + k, n % 4, 150_000 + n, 1_000_000),
                    )

        def borrow() -> Any:
            link, _ = yield from connect(
                loop, d.pilots[0].listen, Session(Identity("bench", "pilot", "p1")), 1_000_000
            )
            while True:
                version, number, chunks = "", 0, 1
                while number < chunks:
                    link.send(m.FactsRequest(version, number))
                    got = (yield from link.receive(loop.now() + 30_000_000))[0]
                    assert isinstance(got, m.Facts), got
                    unpack_chunk(got)
                    version, number, chunks = got.version, number + 1, got.chunks
                    counters["chunks"] += 1
                counters["lendings"] += 1

        def drain_endpoints() -> Any:
            while any(not h.owner for a in agents for h in a.tables.held.values()):
                yield from loop.sleep(50_000)
            record_stats()
            for name in ("nobody borrows", "lending all the time"):
                pilot.in_force_us.clear()
                loop.slowest_step_us = 0
                for n in range(args.rounds):
                    write_list(folder, ENDPOINTS, tuple((n + k) % ENDPOINTS for k in range(2)))
                    yield from loop.sleep(int(1.6 * d.proxy.in_flight_most))
                acks = [us / 1000 for us in pilot.in_force_us]
                print(
                    f"{name:<22} decided to acked: p50 {percentile(acks, 0.5):.1f} ms, p99 "
                    f"{percentile(acks, 0.99):.1f} ms, "
                    f"max {max(acks):.1f} ms; longest step {loop.slowest_step_us / 1000:.1f} ms; "
                    f"{counters['chunks']} chunks",
                    flush=True,
                )
                if not counters["chunks"]:
                    loop.spawn(borrow(), "borrower")

        print(
            f"{args.proxies} proxies, {SLICES} slices ordered, {ENDPOINTS} endpoints and {LENT_SLICES} "
            f"slices lent, "
            f"a lender's share {learn.lend_share:g}"
        )
        loop.run(loop.spawn(drain_endpoints(), "play"))
        for packed in (False, True):
            pilot.deployment = dataclasses.replace(d, learn=dataclasses.replace(learn, compress=packed))
            assert pilot.lending is not None
            plan = pilot.lending._get_plan("")
            started_at, size, facts, longest_s = time.perf_counter(), 0, 0, 0.0
            for number in range(len(plan.parts)):
                chunk_started_at = time.perf_counter()
                chunk = pilot.lending._build_chunk(plan, number)
                longest_s = max(longest_s, time.perf_counter() - chunk_started_at)
                size += len(chunk.payload)
                facts_chunk = unpack_chunk(chunk)
                facts += len(facts_chunk.endpoints) + len(facts_chunk.slices)
            elapsed_s = time.perf_counter() - started_at
            print(
                f"{'zstandard' if packed else 'plain':<10} {facts} facts in {len(plan.parts)} chunks, "
                f"{size / 1024:.0f} KiB, "
                f"{size / facts:.0f} bytes a fact; built and read in {elapsed_s:.2f} s, longest chunk "
                f"{longest_s * 1000:.1f} ms"
            )


if __name__ == "__main__":
    main()
