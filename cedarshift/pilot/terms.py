"""Converts a deployment's settings to the parameters of the decision module, in its time unit."""

from __future__ import annotations

from cedarshift import units
from cedarshift.deployment import Deployment
from cedarshift.interface import OpType, Terms

TICK_US = 100  # the decision module counts time in tenths of a millisecond


def up(span: int) -> int:
    """Converts us to ticks, rounded up."""
    return units.up(span, TICK_US)


def down(span: int) -> int:
    """Converts us to ticks, rounded down."""
    return units.down(span, TICK_US)


def module_config(deployment: Deployment, place: int, seed: int) -> Terms:
    """Returns the module's parameters for the pilot at index `place` of the deployment's pilots.

    Durations that must not be undershot are rounded up, deadlines are rounded down.
    """
    d, proxy, channel, rules = deployment, deployment.proxy, deployment.channel, deployment.rules
    ops = tuple(
        OpType(op.name, up(op.target_latency), up(op.op_timeout), op.writes, op.own_zone) for op in d.op_types
    )
    return Terms(
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
        place=place,
        lines_per_message=channel.lines_per_message,
        lines_waiting_most=channel.lines_waiting_most,
        lines_per_s=channel.lines_per_s,
        messages_most=channel.messages_most,
        messages_span=up(channel.messages_span),
        transit_most=up(channel.transit_most),
        connect_most=up(proxy.connect_most),
        report_period=up(proxy.report_every),
        lease=up(proxy.lease),
        in_flight_most=up(proxy.in_flight_most),
        drain_grace=down(rules.drain_grace),
        ask_within=down(rules.ask_within),
        warm_within=up(rules.warm_within),
        cold_share=rules.cold_share,
        tip_multiple=rules.tip_multiple,
    )
