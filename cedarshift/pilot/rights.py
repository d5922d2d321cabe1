"""What the rights of a fleet are about, at one pilot: its cold endpoints, its moves under way, who of the pilots lives."""

from __future__ import annotations

from cedarshift.budgets.rights import Fleet
from cedarshift.judge.roll import DEAD, LEFT
from cedarshift.pilot.service import PilotService


def bring_rights(service: PilotService) -> None:
    """Hands the module's rights to the pilot's budgets, where the deployment has any."""
    if service.budgets is None:
        return
    brain, plan = service.brain, service.deployment.budgets
    assert plan is not None

    def cold() -> list[str]:
        now = service._now()
        return [
            e.name
            for e in brain.endpoints.values()
            if e.phase == "on" and e.started and brain._warmth(e, now) < 1.0
        ]

    def moves() -> int:
        return sum(s.target is not None for s in brain.slices.values())

    def living() -> list[str]:
        if service.membership is None:
            return [place.name for place in service.deployment.pilots]
        roll = service.membership.member.roll
        return [name for name in roll.names if roll.states[name] not in (DEAD, LEFT)]

    fleet = Fleet(
        cold,
        moves,
        lambda: bool(service.slices),
        living,
        lambda rights: brain.on_budgets(service._now(), rights),
    )
    service.budgets.bring_rights(service.name, plan.clock_drift, plan.claim_cold, fleet)
