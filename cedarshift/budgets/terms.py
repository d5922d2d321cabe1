"""Conversion of the configured budgets to the allocation plan and to the specs that proxies receive."""

from __future__ import annotations

from typing import Any

from cedarshift.codec import messages as m
from cedarshift.judge.budgets import Budget, Plan
from cedarshift.judge.spending import PARTS_PER_TOKEN

HEARTBEATS_PER_LEASE = 4  # three may be lost before the lease expires
BUDGET_USES = ("retries", "probes", "list_calls", "store_dials", "handovers")
CONCURRENCY_USES = ("handovers",)  # limited by number in flight, not by rate
PROXY_USES = ("retries", "probes")  # spent by proxies; pilots spend the others


def millitokens(rate: float) -> int:
    """Converts a rate in tokens per second to thousandths of a token per second."""
    return round(rate * PARTS_PER_TOKEN)


def build_plan(named: dict[str, Any], pilots: int) -> Plan:
    """Builds the plan from a deployment's budget settings by name. Raises InvalidBudget."""
    return Plan(
        [
            Budget(
                name,
                b.held or millitokens(b.rate),
                int(b.floor) if b.held else millitokens(b.floor),
                b.within,
                b.priority,
                b.weight,
            )
            for name, b in named.items()
        ],
        pilots,
    )


def proxy_budget_specs(named: dict[str, Any], drift: float) -> list[m.BudgetSpec]:
    """Returns the specs of the budgets that proxies spend."""
    return [
        m.BudgetSpec(name, b.use, b.burst, b.of_fresh, drift)
        for name, b in named.items()
        if b.use in PROXY_USES
    ]
