"""The pilot's admin HTTP endpoint: health, Prometheus metrics and JSON status pages."""

from __future__ import annotations

import resource
from typing import Callable

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from cedarshift.loop.core import Coroutine
from cedarshift.pilot.service import PilotService
from cedarshift.roster import EphemeralSource
from cedarshift.web import HttpReply, HttpRequest


class PilotMetrics:
    """Prometheus collector that reads a pilot's counters and gauges at scrape time."""

    def __init__(self, service: PilotService) -> None:
        self.service = service

    def collect(self):  # type: ignore[no-untyped-def]
        s = self.service
        facts_counts = {
            **(s.lending.counts if s.lending else {}),
            **(s.learning.counts if s.learning else {}),
        }
        for name, count in {**s.counts, **facts_counts}.items():
            yield CounterMetricFamily(f"cedarshift_{name}", f"{name} since the start", value=count)
        latencies = sorted(s.in_force_us)
        gauges: dict[str, float] = {
            "proxies_joined": len(s.proxies),
            "slices_in_charge": len(s.slices),
            "endpoints_listed": len(s.listed),
            "channel_lines_waiting": s.channel.waiting,
            "channel_lines_peak": s.channel.peak,
            "channel_breaches": s.channel.breaches,
            "intake_lines_waiting": s.intake.lines_waiting(),
            "in_charge": float(s.in_charge()),
            "endpoints_warned_of": s.learning.warned if s.learning else 0,
            **_source_gauges(s),
            **(s.membership.gauges() if s.membership is not None else {}),
            **(s.budgets.gauges() if s.budgets is not None else {}),
            **(s.overload.gauges() if s.overload is not None else {}),
            "joins_sent_away": float(s.join_limiter.deferred),
            "memory_evictions": float(s.loop.stream_memory.evicted),
            "slowest_step_seconds": s.loop.slowest_step_us / 1e6,
            "in_force_seconds_p50": latencies[len(latencies) // 2] / 1e6 if latencies else 0.0,
            "in_force_seconds_p99": latencies[len(latencies) * 99 // 100] / 1e6 if latencies else 0.0,
            "cpu_seconds": resource.getrusage(resource.RUSAGE_SELF).ru_utime
            + resource.getrusage(resource.RUSAGE_SELF).ru_stime,
            "memory_peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0,
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"cedarshift_{name}", name.replace("_", " "), value=value)


def _source_gauges(service: PilotService) -> dict[str, float]:
    """Gauges of the endpoint list's source: age of the list (-1 before the first) and counts of members."""
    source, now = service.source, service.loop.now()
    gauges = {"list_age_seconds": -1.0 if source.confirmed is None else (now - source.confirmed) / 1e6}
    if isinstance(source, EphemeralSource):
        gauges["source_connected"] = float(source.client.state == "connected")
        gauges["members"] = float(len(source.tracker.nodes))
        gauges["members_vanished"] = float(len(source.tracker.gone))
        gauges["members_in_doubt"] = float(len(source.tracker.retained))
        gauges["nodes_refused"] = float(len(source.refused))
        gauges.update({f"source_{name}": float(count) for name, count in source.client.counts.items()})
        gauges.update({f"members_{name}_ever": float(count) for name, count in source.tracker.counts.items()})
    return gauges


def admin_handler(service: PilotService) -> Callable[[HttpRequest], Coroutine]:
    """Returns the HTTP request handler of the admin endpoint."""
    registry = CollectorRegistry()
    registry.register(PilotMetrics(service))  # type: ignore[arg-type]

    def handle(request: HttpRequest) -> Coroutine:
        yield from service.loop.yield_control()
        if request.target == "/health":
            return HttpReply(200, b"ok\n" if service.listed else b"ok, no list yet\n")
        if request.target == "/metrics":
            return HttpReply(200, generate_latest(registry), (("content-type", "text/plain; version=0.0.4"),))
        if request.target == "/tables":
            return HttpReply(
                200, msgspec.json.encode(service.status()), (("content-type", "application/json"),)
            )
        if request.target == "/facts":
            facts = service.learning.status() if service.learning is not None else {}
            return HttpReply(200, msgspec.json.encode(facts), (("content-type", "application/json"),))
        if request.target == "/members":
            return HttpReply(
                200, msgspec.json.encode(service.members()), (("content-type", "application/json"),)
            )
        if request.target == "/pilots":
            pilots = service.membership.status() if service.membership is not None else {}
            return HttpReply(200, msgspec.json.encode(pilots), (("content-type", "application/json"),))
        if request.target == "/budgets":
            budgets = service.budgets.shown() if service.budgets is not None else {}
            return HttpReply(200, msgspec.json.encode(budgets), (("content-type", "application/json"),))
        if request.target == "/overload":
            overload = service.overload.shown() if service.overload is not None else {}
            return HttpReply(200, msgspec.json.encode(overload), (("content-type", "application/json"),))
        return HttpReply(
            404, b"/health, /metrics, /tables, /facts, /members, /pilots, /budgets and /overload are served\n"
        )

    return handle
