"""`cedarshift sim`: simulates the whole program on a virtual clock with random faults."""

from __future__ import annotations

import json
import os
from typing import Optional

import click

from cedarshift.sim.scenario import Scenario, draw, from_json


def parse_seeds(text: str) -> list[int]:
    """Parses a seed or a range such as "7" or "1-10000". Raises click.BadParameter."""
    first, _, last = text.partition("-")
    if not first.isdigit() or (last and not last.isdigit()) or (last and int(last) < int(first)):
        raise click.BadParameter(f'{text!r}: "7" or "1-10000" is wanted')
    return list(range(int(first), int(last or first) + 1))


def read_scenario(path: str) -> Scenario:
    """Reads a scenario. Raises click.ClickException with the position of an error."""
    try:
        with open(path, "rb") as source:
            return from_json(source.read())
    except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors
        raise click.ClickException(f"{path}: {error}") from None


def run_scenario(scenario: Scenario, trace: bool, plot: str) -> int:
    """Runs a scenario, prints the result and returns the exit code."""
    from cedarshift.sim.trace import as_plot, as_text, record_trace

    result, events = record_trace(scenario)
    if trace:
        click.echo(as_text(scenario, result, events))
    else:
        for violation in result.violations:
            click.echo(f"{violation.check} at {violation.at / 1e6:.4f} s: {violation.detail}")
        click.echo(
            f"{'BROKEN' if result.violations else 'held'}: {result.steps} steps, "
            f"{result.virtual_s:.1f} virtual seconds, "
            f"{result.acked} of {result.ops} ops acked, digest {result.digest}"
        )
    if plot:
        as_plot(scenario, result, events, plot)
    return 1 if result.violations else 0


@click.group()
def sim() -> None:
    """Simulate the program on a virtual clock with random faults, checking every step."""


@sim.command()
@click.option("--seed", type=int, required=True)
@click.option("--trace", is_flag=True, help="Print the events, with a column per process.")
@click.option("--plot", type=click.Path(), default="", help="Write the events as a plot.")
def run(seed: int, trace: bool, plot: str) -> None:
    """Run one seed; exit code 1 if an invariant breaks."""
    raise SystemExit(run_scenario(draw(seed), trace, plot))


@sim.command()
@click.argument("file", type=click.Path())
@click.option("--trace", is_flag=True, help="Print the events, with a column per process.")
@click.option("--plot", type=click.Path(), default="", help="Write the events as a plot.")
def replay(file: str, trace: bool, plot: str) -> None:
    """Run a scenario from a file, with the same steps each time."""
    raise SystemExit(run_scenario(read_scenario(file), trace, plot))


@sim.command()
@click.option("--seeds", default="1-1000", help='Such as "1-10000".')
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Processes; default: one per core.")
@click.option(
    "--out", type=click.Path(), default="hunts/sim", help="Directory for scenarios that break an invariant."
)
@click.option("--guided", is_flag=True, help="Mutate scenarios that reached new states.")
@click.option("--quiet", is_flag=True, help="No progress.")
def hunt(seeds: str, jobs: Optional[int], out: str, guided: bool, quiet: bool) -> None:
    """Run many seeds and print a JSON report; exit code 1 if any breaks an invariant."""
    from cedarshift.sim.hunt import hunt as hunting

    found = hunting(
        parse_seeds(seeds),
        jobs or os.cpu_count() or 1,
        out,
        lambda text: None if quiet else click.echo(text, err=True),
        guided,
    )
    click.echo(json.dumps(found, indent=1))
    raise SystemExit(1 if found["found"] else 0)


@sim.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), required=True, help="File for the reduced scenario.")
def shrink(file: str, out: str) -> None:
    """Reduce a scenario while it still breaks the same invariant."""
    from cedarshift.sim.play import run_scenario
    from cedarshift.sim.shrink import shrink as smaller

    scenario = read_scenario(file)
    violations = run_scenario(scenario).violations
    if not violations:
        raise click.ClickException(f"{file}: no invariant breaks")
    best = smaller(scenario, violations[0].check, lambda text: click.echo(text, err=True))
    with open(out, "wb") as target:
        target.write(best.to_json())
    click.echo(f"{out}: {violations[0].check} with {len(best.faults)} faults, of {len(scenario.faults)}")


__all__ = ["sim"]
