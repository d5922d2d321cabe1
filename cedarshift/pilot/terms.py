"""Converts a deployment's settings to the parameters of the decision module, in its time unit."""

from __future__ import annotations

from cedarshift import units
from cedarshift.deployment import Deployment
from cedarshift.interface import DecisionConfig, OpType

TICK_US = 100  # the decision module counts time in tenths of a millisecond


def round_up(span: int) -> int:
    """Converts us to ticks, rounded up."""
    return units.round_up(span, TICK_US)


def round_down(span: int) -> int:
    """Converts us to ticks, rounded down."""
    return units.round_down(span, TICK_US)


def module_config(deployment: Deployment, pilot_index: int, seed: int) -> DecisionConfig:
    """Returns the module's parameters for the pilot at `pilot_index` of the deployment's pilots.

    Durations that must not be undershot are rounded up, deadlines are rounded down.
    """
    d, proxy, channel, rules = deployment, deployment.proxy, deployment.channel, deployment.rules
    ops = tuple(
        OpType(op.name, round_up(op.target_latency), round_up(op.op_timeout), op.writes, op.own_zone)
        for op in d.op_types
    )
    return DecisionConfig(
        op_types=ops,
        zones=d.zones,
        slices=d.slices,
        single_owner=d.single_owner,
        asks_list=d.listed.asks,
        levels=d.levels,
        gone_binds=d.listed.gone_binds,
        retry_default=proxy.retry_default,
        seed=seed,
        pilots=len(d.pilots),
        pilot_index=pilot_index,
        lines_per_message=channel.lines_per_message,
        lines_waiting_most=channel.lines_waiting_most,
        lines_per_s=channel.lines_per_s,
        messages_most=channel.messages_most,
        messages_span=round_up(channel.messages_span),
        transit_most=round_up(channel.transit_most),
        connect_most=round_up(proxy.connect_most),
        report_period=round_up(proxy.report_every),
        lease=round_up(proxy.lease),
        in_flight_most=round_up(proxy.in_flight_most),
        drain_grace=round_down(rules.drain_grace),
        ask_within=round_down(rules.ask_within),
        warm_within=round_up(rules.warm_within),
        cold_share=rules.cold_share,
        tip_multiple=rules.tip_multiple,
    )
