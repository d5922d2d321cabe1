"""The pilot's page for people and for a metrics collector: /health, /metrics, /tables. Plain HTTP, loopback by default."""

from __future__ import annotations

import resource
from typing import Callable

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from cedarshift.loop.core import Coroutine
from cedarshift.pilot.service import PilotService
from cedarshift.roster import EphemeralSource
from cedarshift.web import Answer, Asked


class Figures:
    """Read from the pilot when asked; nothing is counted twice."""

    def __init__(self, service: PilotService) -> None:
        self.service = service

    def collect(self):  # type: ignore[no-untyped-def]
        s = self.service
        lent = {**(s.lending.counts if s.lending else {}), **(s.learning.counts if s.learning else {})}
        for name, count in {**s.counts, **lent}.items():
            yield CounterMetricFamily(f"cedarshift_{name}", f"{name} since the start", value=count)
        acks = sorted(s.in_force_us)
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
            **_of_source(s),
            **(s.membership.gauges() if s.membership is not None else {}),
            **(s.budgets.gauges() if s.budgets is not None else {}),
            **(s.overload.gauges() if s.overload is not None else {}),
            "joins_sent_away": float(s.gate.sent_away),
            "slowest_step_seconds": s.loop.slowest_step_us / 1e6,
            "in_force_seconds_p50": acks[len(acks) // 2] / 1e6 if acks else 0.0,
            "in_force_seconds_p99": acks[len(acks) * 99 // 100] / 1e6 if acks else 0.0,
            "cpu_seconds": resource.getrusage(resource.RUSAGE_SELF).ru_utime
            + resource.getrusage(resource.RUSAGE_SELF).ru_stime,
            "memory_peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0,
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"cedarshift_{name}", name.replace("_", " "), value=value)


def _of_source(service: PilotService) -> dict[str, float]:
    """What an alarm is set on: how old the list may be, and how many members stand although their nodes have gone."""
    source, now = service.source, service.loop.now()
    found = {"list_age_seconds": -1.0 if source.confirmed is None else (now - source.confirmed) / 1e6}
    if isinstance(source, EphemeralSource):
        found["source_connected"] = float(source.client.state == "connected")
        found["members"] = float(len(source.judge.nodes))
        found["members_vanished"] = float(len(source.judge.gone))
        found["members_in_doubt"] = float(len(source.judge.doubted))
        found["nodes_refused"] = float(len(source.refused))
        found.update({f"source_{name}": float(count) for name, count in source.client.counts.items()})
        found.update({f"members_{name}_ever": float(count) for name, count in source.judge.counts.items()})
    return found


def admin_page(service: PilotService) -> Callable[[Asked], Coroutine]:
    registry = CollectorRegistry()
    registry.register(Figures(service))  # type: ignore[arg-type]

    def answer(asked: Asked) -> Coroutine:
        yield from service.loop.yield_control()
        if asked.target == "/health":
            return Answer(200, b"ok\n" if service.listed else b"ok, no list yet\n")
        if asked.target == "/metrics":
            return Answer(200, generate_latest(registry), (("content-type", "text/plain; version=0.0.4"),))
        if asked.target == "/tables":
            return Answer(200, msgspec.json.encode(service.shown()), (("content-type", "application/json"),))
        if asked.target == "/facts":
            facts = service.learning.shown() if service.learning is not None else {}
            return Answer(200, msgspec.json.encode(facts), (("content-type", "application/json"),))
        if asked.target == "/members":
            return Answer(
                200, msgspec.json.encode(service.members()), (("content-type", "application/json"),)
            )
        if asked.target == "/pilots":
            pilots = service.membership.shown() if service.membership is not None else {}
            return Answer(200, msgspec.json.encode(pilots), (("content-type", "application/json"),))
        if asked.target == "/budgets":
            budgets = service.budgets.shown() if service.budgets is not None else {}
            return Answer(200, msgspec.json.encode(budgets), (("content-type", "application/json"),))
        if asked.target == "/overload":
            overload = service.overload.shown() if service.overload is not None else {}
            return Answer(200, msgspec.json.encode(overload), (("content-type", "application/json"),))
        return Answer(
            404, b"/health, /metrics, /tables, /facts, /members, /pilots, /budgets and /overload are served\n"
        )

    return answer
