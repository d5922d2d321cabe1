"""The events of a run as text or as a plot, with one lane per program."""

from __future__ import annotations

from typing import Any, NamedTuple

from cedarshift.sim.play import RunResult, run_scenario
from cedarshift.sim.scenario import Scenario, describe

MAX_EVENT_CHARS = 46  # of an event and its fields, beyond the text's fixed part
HIDDEN_EVENTS = ("list", "share", "budget_right")  # frequent events that are left out


class Event(NamedTuple):
    """An event of a host, at a time in us."""

    at: int
    who: str
    name: str
    fields: dict[str, Any]


def record_trace(scenario: Scenario) -> tuple[RunResult, list[Event]]:
    """Runs a scenario and returns its result and events."""
    events: list[Event] = []
    result = run_scenario(
        scenario, lambda at, who, event, fields: events.append(Event(at, who, event, fields))
    )
    return result, events


def as_text(scenario: Scenario, result: RunResult, events: list[Event]) -> str:
    """Formats the events with one column per program; faults are in the first column."""
    lanes = [
        "director",
        "store",
        "list",
        *(f"p{n}" for n in range(scenario.pilots)),
        *(f"x{n}" for n in range(scenario.proxies)),
    ]
    lines = [
        f"{scenario.pilots} pilots, {scenario.proxies} proxies, {scenario.endpoints} endpoints, "
        f"{scenario.slices} slices; digest {result.digest}"
    ]
    lines += ["  " + describe(fault) for fault in scenario.faults]
    lines.append(f"{'s':>9}  " + "  ".join(f"{lane:<10}" for lane in lanes))
    for event in events:
        if event.name in HIDDEN_EVENTS:
            continue
        fields = ", ".join(
            f"{name} {str(value)[:30]}"
            for name, value in event.fields.items()
            if name not in ("traceback",) and value != ""
        )
        column = lanes.index(event.who) if event.who in lanes else 0
        lines.append(
            f"{event.at / 1e6:9.4f}  "
            + " " * (12 * column)
            + f"{event.name} {fields}"[: MAX_EVENT_CHARS + 60]
        )
    lines += [
        f"BROKEN {violation.check} at {violation.at / 1e6:.4f} s: {violation.detail}"
        for violation in result.violations
    ] or ["everything held"]
    return "\n".join(lines)


def as_plot(scenario: Scenario, result: RunResult, events: list[Event], path: str) -> None:
    """Plots faults as bars and events as marks, with one lane per program."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    lanes = [
        "store",
        "list",
        *(f"p{n}" for n in range(scenario.pilots)),
        *(f"x{n}" for n in range(scenario.proxies)),
        *(f"e{n}" for n in range(scenario.endpoints)),
    ]
    figure, axes = plt.subplots(figsize=(12, 0.5 * len(lanes) + 1.5))
    for fault in scenario.faults:
        for who in {fault.who, fault.to} & set(lanes) or {lanes[0]}:
            axes.barh(
                lanes.index(who),
                max(0.03, fault.span / 1e6),
                left=(1_000_000 + fault.at) / 1e6,
                height=0.7,
                alpha=0.35,
                color="tab:red",
            )
            axes.text((1_000_000 + fault.at) / 1e6, lanes.index(who) + 0.3, fault.kind, fontsize=6)
    for event in events:
        if event.who in lanes and event.name not in HIDDEN_EVENTS:
            axes.plot(event.at / 1e6, lanes.index(event.who), "|", color="tab:blue", markersize=8)
    for violation in result.violations:
        axes.axvline(violation.at / 1e6, color="black", linewidth=1)
        axes.text(violation.at / 1e6, len(lanes) - 0.4, violation.check, fontsize=7)
    axes.set_yticks(range(len(lanes)), lanes)
    axes.set_xlabel("virtual seconds")
    axes.set_title(
        f"seed {scenario.seed}: "
        f"{'; '.join(violation.check for violation in result.violations) or 'everything held'}",
        fontsize=9,
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
