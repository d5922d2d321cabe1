"""Creates the overload control of a pilot from its deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Optional

from cedarshift.budgets.terms import HEARTBEATS_PER_LEASE
from cedarshift.deployment import Deployment
from cedarshift.judge.overload import OpValue
from cedarshift.loop import Loop
from cedarshift.overload.pilot import OverloadConfig, PilotOverload

if TYPE_CHECKING:
    from cedarshift.pilot import PilotService


def overload_config(deployment: Deployment) -> OverloadConfig:
    assert deployment.overload is not None
    op_values = tuple(
        OpValue(op.name, op.earnings, deployment.overload.costs[op.name]) for op in deployment.op_types
    )
    return OverloadConfig(
        op_values,
        min(op.target_latency for op in deployment.op_types),
        deployment.proxy.report_every,
        deployment.proxy.lease // HEARTBEATS_PER_LEASE,
    )


def open_overload(
    loop: Loop, deployment: Deployment, service: PilotService, start: int, report: Callable[..., None]
) -> Optional[PilotOverload]:
    """Returns None if the deployment has no overload block. `start` differs at each start of the pilot."""
    if deployment.overload is None:
        return None
    return PilotOverload(
        loop,
        overload_config(deployment),
        service.name,
        start,
        service.membership,
        service.owner_of,
        report,
        service.rng.random,
        None if deployment.slices else lambda: sorted(service.listed),
        lambda endpoint: endpoint in service.listed,
    )
