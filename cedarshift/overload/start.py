"""Opens the answer to overload at a pilot, as its deployment has it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Optional

from cedarshift.budgets.terms import HEARTBEATS_PER_LEASE
from cedarshift.deployment import Deployment
from cedarshift.judge.overload import OpValue
from cedarshift.loop import Loop
from cedarshift.overload.pilot import OverloadTerms, PilotOverload

if TYPE_CHECKING:
    from cedarshift.pilot import PilotService


def terms_of(deployment: Deployment) -> OverloadTerms:
    assert deployment.overload is not None
    worths = tuple(
        OpValue(op.name, op.earnings, deployment.overload.costs[op.name]) for op in deployment.op_types
    )
    return OverloadTerms(
        worths,
        min(op.target_latency for op in deployment.op_types),
        deployment.proxy.report_every,
        deployment.proxy.lease // HEARTBEATS_PER_LEASE,
    )


def open_overload(
    loop: Loop, deployment: Deployment, service: PilotService, start: int, report: Callable[..., None]
) -> Optional[PilotOverload]:
    """None where the deployment has no block overload. `start` is new for each life of the pilot."""
    if deployment.overload is None:
        return None
    return PilotOverload(
        loop,
        terms_of(deployment),
        service.name,
        start,
        service.membership,
        service.owner_of,
        report,
        service.rng.random,
        None if deployment.slices else lambda: sorted(service.listed),
        lambda endpoint: endpoint in service.listed,
    )
