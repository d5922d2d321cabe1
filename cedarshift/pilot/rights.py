"""Connects a pilot's budgets for cold starts and moves to its decision module and membership."""

from __future__ import annotations

from cedarshift.budgets.rights import FleetAccess
from cedarshift.judge.roll import DEAD, LEFT
from cedarshift.pilot.service import PilotService


def attach_claims(service: PilotService) -> None:
    """Lets the pilot's budgets, if any, claim cold endpoints and moves for its decision module."""
    if service.budgets is None:
        return
    brain, plan = service.brain, service.deployment.budgets
    assert plan is not None

    def cold_endpoints() -> list[str]:
        now = service._now_ticks()
        return [
            e.name
            for e in brain.endpoints.values()
            if e.phase == "on" and e.started and brain._warmth(e, now) < 1.0
        ]

    def moves_in_progress() -> int:
        return sum(s.target is not None for s in brain.slices.values())

    def live_pilots() -> list[str]:
        if service.membership is None:
            return [pilot.name for pilot in service.deployment.pilots]
        membership_table = service.membership.member.table
        return [name for name in membership_table.names if membership_table.states[name] not in (DEAD, LEFT)]

    fleet = FleetAccess(
        cold_endpoints,
        moves_in_progress,
        lambda: bool(service.slices),
        live_pilots,
        lambda rights: brain.on_budgets(service._now_ticks(), rights),
        service._pull_decisions,
    )
    service.budgets.attach_decision_budgets(service.name, plan.clock_drift, plan.claim_cold, fleet)
