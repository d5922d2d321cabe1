"""A scenario that breaks something, cut down to what still breaks it: fewer faults (ddmin, Zeller and Hildebrandt, 2002), fewer programs, a
plainer network, shorter faults."""

from __future__ import annotations

from typing import Any, Callable, Iterator

import msgspec

from cedarshift.sim.play import play
from cedarshift.sim.scenario import Fault, Scenario, names, with_faults

TRIES_MOST = 300  # plays; some two minutes


def shrink(
    scenario: Scenario,
    what: str,
    say: Callable[[str], None] = lambda text: None,
    tries_most: int = TRIES_MOST,
) -> Scenario:
    """The smallest that was found and still breaks `what`; the scenario itself where nothing smaller does."""
    left = tries_most

    def breaks(one: Scenario) -> bool:
        nonlocal left
        left -= 1
        return left >= 0 and any(broken.what == what for broken in play(one).broken)

    best = _fewer_faults(scenario, breaks)
    changed = True
    while changed and left > 0:
        changed = False
        for smaller in _plainer(best):
            if left > 0 and breaks(smaller):
                best, changed = smaller, True
                say(
                    f"{len(best.faults)} faults, {best.pilots} pilots, {best.proxies} proxies, {best.endpoints} endpoints, {best.slices} slices"
                )
                break
    return _fewer_faults(best, breaks)


def _fewer_faults(scenario: Scenario, breaks: Callable[[Scenario], bool]) -> Scenario:
    best, parts = scenario, 2
    while len(best.faults) > 1:
        faults = list(best.faults)
        size = max(1, len(faults) // parts)
        for at in range(0, len(faults), size):
            smaller = with_faults(best, faults[:at] + faults[at + size :])
            if breaks(smaller):
                best, parts = smaller, max(2, parts - 1)
                break
        else:
            if size == 1:
                return best
            parts = min(len(faults), 2 * parts)
    return best


def _plainer(scenario: Scenario) -> Iterator[Scenario]:
    """Single steps towards a plainer run."""
    change = msgspec.structs.replace
    for field, least in (("pilots", 1), ("proxies", 1), ("endpoints", 2)):
        count = getattr(scenario, field)
        if count > least:
            smaller = change(scenario, **{field: count - 1})
            there = {name for some in names(smaller).values() for name in some} | {"store", "list", ""}
            if all(
                fault.who in there and (fault.to in there or fault.kind == "ambush")
                for fault in scenario.faults
            ):
                yield smaller
    if scenario.slices > 1:
        yield change(scenario, slices=scenario.slices // 2)
        yield change(scenario, slices=scenario.slices - 1)
    plainer: tuple[dict[str, Any], ...] = (
        {"rates": {}, "offsets": {}},
        {"chunks": 1},
        {"delay_most": 300},
        {"reserve": 0},
        {"ages": True},
    )
    for plain in plainer:
        if any(getattr(scenario, field) != value for field, value in plain.items()):
            yield change(scenario, **plain)
    for at, fault in enumerate(scenario.faults):
        if fault.span > 50_000:
            faults: list[Fault] = list(scenario.faults)
            faults[at] = change(fault, span=fault.span // 2)
            yield with_faults(scenario, faults)
