"""Reduces a scenario that violates a check, while it still does.

It removes faults (ddmin: Zeller and Hildebrandt, 2002) and programs, simplifies the network, and shortens
faults.
"""

from __future__ import annotations

from typing import Any, Callable, Iterator

import msgspec

from cedarshift.sim.play import run_scenario
from cedarshift.sim.scenario import Fault, Scenario, hosts_by_kind, with_faults

MAX_RUNS = 300  # runs of the scenario


def shrink(
    scenario: Scenario,
    check: str,
    progress: Callable[[str], None] = lambda text: None,
    max_runs: int = MAX_RUNS,
) -> Scenario:
    """Returns the smallest scenario found that still violates the check; the given one if none is smaller."""
    remaining_runs = max_runs

    def is_violating(candidate: Scenario) -> bool:
        nonlocal remaining_runs
        remaining_runs -= 1
        return remaining_runs >= 0 and any(
            violation.check == check for violation in run_scenario(candidate).violations
        )

    best = _fewer_faults(scenario, is_violating)
    changed = True
    while changed and remaining_runs > 0:
        changed = False
        for smaller in _simplifications(best):
            if remaining_runs > 0 and is_violating(smaller):
                best, changed = smaller, True
                progress(
                    f"{len(best.faults)} faults, {best.pilots} pilots, {best.proxies} proxies, "
                    f"{best.endpoints} endpoints, {best.slices} slices"
                )
                break
    return _fewer_faults(best, is_violating)


def _fewer_faults(scenario: Scenario, is_violating: Callable[[Scenario], bool]) -> Scenario:
    best, parts = scenario, 2
    while len(best.faults) > 1:
        faults = list(best.faults)
        size = max(1, len(faults) // parts)
        for index in range(0, len(faults), size):
            smaller = with_faults(best, faults[:index] + faults[index + size :])
            if is_violating(smaller):
                best, parts = smaller, max(2, parts - 1)
                break
        else:
            if size == 1:
                return best
            parts = min(len(faults), 2 * parts)
    return best


def _simplifications(scenario: Scenario) -> Iterator[Scenario]:
    """Yields scenarios that are one step simpler."""
    change = msgspec.structs.replace
    for field, minimum in (("pilots", 1), ("proxies", 1), ("endpoints", 2)):
        count = getattr(scenario, field)
        if count > minimum:
            smaller = change(scenario, **{field: count - 1})
            present = {name for some in hosts_by_kind(smaller).values() for name in some} | {
                "store",
                "list",
                "",
            }
            if all(
                fault.who in present and (fault.to in present or fault.kind == "ambush")
                for fault in scenario.faults
            ):
                yield smaller
    if scenario.slices > 1:
        yield change(scenario, slices=scenario.slices // 2)
        yield change(scenario, slices=scenario.slices - 1)
    simpler_values: tuple[dict[str, Any], ...] = (
        {"rates": {}, "offsets": {}},
        {"chunks": 1},
        {"delay_most": 300},
        {"reserve": 0},
        {"ages": True},
    )
    for values in simpler_values:
        if any(getattr(scenario, field) != value for field, value in values.items()):
            yield change(scenario, **values)
    for index, fault in enumerate(scenario.faults):
        if fault.span > 50_000:
            faults: list[Fault] = list(scenario.faults)
            faults[index] = change(fault, span=fault.span // 2)
            yield with_faults(scenario, faults)
