"""What happened in a run, for people: a lane a program, as text and as a plot."""

from __future__ import annotations

from typing import Any, NamedTuple

from cedarshift.sim.play import Played, play
from cedarshift.sim.scenario import Scenario, described

WIDTH = 46  # characters of what is told of an event
QUIET = ("list", "share", "budget_right")  # events that come often and tell little of order


class Event(NamedTuple):
    at: int
    who: str
    what: str
    fields: dict[str, Any]


def traced(scenario: Scenario) -> tuple[Played, list[Event]]:
    events: list[Event] = []
    played = play(scenario, lambda at, who, what, fields: events.append(Event(at, who, what, fields)))
    return played, events


def as_text(scenario: Scenario, played: Played, events: list[Event]) -> str:
    """A column a program; what befell the fleet stands on the left."""
    lanes = [
        "director",
        "store",
        "list",
        *(f"p{n}" for n in range(scenario.pilots)),
        *(f"x{n}" for n in range(scenario.proxies)),
    ]
    out = [
        f"{scenario.pilots} pilots, {scenario.proxies} proxies, {scenario.endpoints} endpoints, {scenario.slices} slices; digest {played.digest}"
    ]
    out += ["  " + described(fault) for fault in scenario.faults]
    out.append(f"{'s':>9}  " + "  ".join(f"{lane:<10}" for lane in lanes))
    for event in events:
        if event.what in QUIET:
            continue
        told = ", ".join(
            f"{name} {str(value)[:30]}"
            for name, value in event.fields.items()
            if name not in ("traceback",) and value != ""
        )
        place = lanes.index(event.who) if event.who in lanes else 0
        out.append(f"{event.at / 1e6:9.4f}  " + " " * (12 * place) + f"{event.what} {told}"[: WIDTH + 60])
    out += [f"BROKEN {one.what} at {one.at / 1e6:.4f} s: {one.how}" for one in played.broken] or [
        "everything held"
    ]
    return "\n".join(out)


def as_plot(scenario: Scenario, played: Played, events: list[Event], path: str) -> None:
    """Faults as bars, events as marks, a lane a program."""
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
        if event.who in lanes and event.what not in QUIET:
            axes.plot(event.at / 1e6, lanes.index(event.who), "|", color="tab:blue", markersize=8)
    for one in played.broken:
        axes.axvline(one.at / 1e6, color="black", linewidth=1)
        axes.text(one.at / 1e6, len(lanes) - 0.4, one.what, fontsize=7)
    axes.set_yticks(range(len(lanes)), lanes)
    axes.set_xlabel("virtual seconds")
    axes.set_title(
        f"seed {scenario.seed}: {'; '.join(one.what for one in played.broken) or 'everything held'}",
        fontsize=9,
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
