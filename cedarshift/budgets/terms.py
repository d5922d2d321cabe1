"""A deployment's budgets as the plan that is divided, and what a spender has to know of each."""

from __future__ import annotations

from typing import Any

from cedarshift.codec import messages as m
from cedarshift.judge.budgets import Budget, Plan
from cedarshift.judge.spending import PARTS_PER_TOKEN

BEATS_A_LEASE = 4  # beats in a proxy's lease, so that three may be lost; asks for shares ride on them
USES = ("retries", "probes", "list_calls", "store_dials", "handovers")
HELD = ("handovers",)  # so many at a time, not so many a second
AT_PROXIES = ("retries", "probes")  # spent by proxies; the others by pilots themselves


def parts(rate: float) -> int:
    """Thousandths of a token a second."""
    return round(rate * PARTS_PER_TOKEN)


def plan_of(named: dict[str, Any], pilots: int) -> Plan:
    """`named`: a deployment's `BudgetSettings` by name. Raises Refusal."""
    return Plan(
        [
            Budget(
                name,
                b.held or parts(b.rate),
                int(b.floor) if b.held else parts(b.floor),
                b.within,
                b.priority,
                b.weight,
            )
            for name, b in named.items()
        ],
        pilots,
    )


def told_to_proxies(named: dict[str, Any], drift: float) -> list[m.BudgetSpec]:
    """Those that proxies spend."""
    return [
        m.BudgetSpec(name, b.use, b.burst, b.of_fresh, drift)
        for name, b in named.items()
        if b.use in AT_PROXIES
    ]
