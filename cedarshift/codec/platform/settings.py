"""Parsing of the settings object, which the simulator and a pilot's configuration share."""

from __future__ import annotations

from typing import Any

from cedarshift import units
from cedarshift.interface import DecisionConfig, OpType

TENTH_MS_NS = 100_000


def round_up(ns: Any) -> int:
    """Nanoseconds to tenths of a millisecond, rounded up."""
    return units.round_up(ns, TENTH_MS_NS)


def round_down(ns: Any) -> int:
    """Nanoseconds to tenths of a millisecond, rounded down."""
    return units.round_down(ns, TENTH_MS_NS)


def parse_terms(seed: Any, env: dict) -> DecisionConfig:
    """Converts the settings to a DecisionConfig, with durations in tenths of a millisecond."""
    fam, rules = env.get("family_info") or {}, env.get("rules") or {}
    mutating, local = fam.get("mutating") or [], fam.get("stays_local") or []
    ops = tuple(
        OpType(
            c.get("name") or "",
            round_up(c.get("on_time_ns")),
            round_up(c.get("deadline_ns")),
            bool(mutating[i]) if i < len(mutating) else False,
            bool(local[i]) if i < len(local) else False,
        )
        for i, c in enumerate(env.get("classes") or [])
    )
    return DecisionConfig(
        op_types=ops,
        zones=tuple(env.get("zones") or ()),
        slices=int(fam.get("ranges") or 0),
        single_owner=bool(fam.get("one_owner")),
        asks_list=env.get("discovery") == "ask",
        levels=fam.get("throttle_by") or "none",
        gone_binds=not rules.get("soft_removal"),
        retry_default=int(fam.get("retry_default") or 0),
        seed=int(seed or 0),
        pilots=int(env.get("fleet_size") or 1),
        pilot_index=int(env.get("position") or 0),
        lines_per_message=float(fam.get("per_message") or 0),
        lines_waiting_most=float(fam.get("pending_max") or 0),
        lines_per_s=float(fam.get("push_rate") or 0),
        messages_most=int(fam.get("messages_most") or 0),
        messages_span=round_up(fam.get("reload_span_ns")),
        transit_most=round_up(fam.get("push_delay_max_ns")),
        report_period=round_up(fam.get("report_every_ns")),
        connect_most=round_up((env.get("policy_limits") or {}).get("dial_timeout_ns")),
        lease=round_up(fam.get("lease_ns")),
        in_flight_most=round_up(fam.get("in_flight_max_ns")),
        drain_grace=round_down(rules.get("drain_grace_ns")),
        empty_for=round_down(fam.get("empty_for_ns")),
        ask_within=round_down(rules.get("ask_within_ns")),
        warm_within=round_up(rules.get("warm_within_ns")),
        cold_share=float(rules.get("cold_from") or 1.0),
        tip_multiple=float(rules.get("fall_multiple") or 1.0),
    )
