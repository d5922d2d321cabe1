"""Runs a scenario and returns its result."""

from __future__ import annotations

import traceback
from hashlib import blake2b
from typing import Any, Callable, NamedTuple, Optional

import msgspec

from cedarshift.loop.world import Deadlock, Host
from cedarshift.sim.oracles import StepChecker, Violation, check_run
from cedarshift.sim.scenario import Scenario
from cedarshift.sim.stage import Simulation


class RunResult(NamedTuple):
    """The result of a run. `digest` covers every step and row and depends on the scenario only."""

    violations: list[Violation]
    digest: str
    steps: int
    virtual_s: float
    acked: int
    ops: int
    reached: frozenset[tuple]


class StopRun(Exception):
    """Ends a run after a violation."""


def run_scenario(
    scenario: Scenario, on_event: Optional[Callable[[int, str, str, dict[str, Any]], None]] = None
) -> RunResult:
    """Runs a scenario; `on_event(time, host, event, fields)` is called for each event."""
    simulation = Simulation(scenario, on_event)
    checker, digest = StepChecker(simulation), blake2b(digest_size=16)

    def after_step(host: Host) -> None:
        checker.after_step(host)
        digest.update(
            b"%d %s %d;"
            % (simulation.world.clock.time, host.name.encode(), simulation.world.network.event_sequence)
        )
        if host.name == "store":
            simulation._watch_store()
        if checker.violation is not None:
            raise StopRun

    simulation.world.after_pass = after_step
    main = simulation.control_host.loop.spawn(simulation.run_main(), "director")
    violations: list[Violation] = []
    try:
        simulation.world.run(main)
    except StopRun:
        assert checker.violation is not None
        violations.append(checker.violation)
    except Deadlock as error:
        violations.append(Violation("hung", simulation.world.clock.time, str(error)))
    except Exception as error:  # an exception that leaves a loop would end the process
        where = traceback.extract_tb(error.__traceback__)
        frames = [
            f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno} {frame.name}"
            for frame in where
            if "cedarshift" in frame.filename
        ]
        violations.append(
            Violation(
                "crashed",
                simulation.world.clock.time,
                f"{type(error).__name__}: {error}; {', '.join(frames[-5:])}",
            )
        )
    end = simulation.world.clock.time
    if not violations:
        violations = check_run(simulation, end)
    for row in simulation.rows:
        digest.update(msgspec.json.encode(row))
    proxies = [one for name, one in simulation.services.items() if name[0] == "x"]
    acked = sum(proxy.outcomes["acked"] for proxy in proxies)
    ops = sum(sum(proxy.outcomes.values()) for proxy in proxies)
    simulation.world.after_pass = None
    simulation.world.dispose()
    return RunResult(
        violations, digest.hexdigest(), checker.steps, end / 1e6, acked, ops, frozenset(simulation.reached)
    )
