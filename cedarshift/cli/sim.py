"""`cedarshift sim`: runs of the whole program on a virtual clock under drawn faults."""

from __future__ import annotations

import json
import os
from typing import Optional

import click

from cedarshift.sim.scenario import Scenario, draw, from_json


def seeds_of(text: str) -> list[int]:
    """ "7" or "1-10000". Raises click.BadParameter."""
    first, _, last = text.partition("-")
    if not first.isdigit() or (last and not last.isdigit()) or (last and int(last) < int(first)):
        raise click.BadParameter(f'{text!r}: "7" or "1-10000" is wanted')
    return list(range(int(first), int(last or first) + 1))


def read(path: str) -> Scenario:
    """Raises click.ClickException with the place of what is wrong."""
    try:
        with open(path, "rb") as source:
            return from_json(source.read())
    except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors too
        raise click.ClickException(f"{path}: {error}") from None


def show(scenario: Scenario, trace: bool, plot: str) -> int:
    from cedarshift.sim.trace import as_plot, as_text, record_trace

    played, events = record_trace(scenario)
    if trace:
        click.echo(as_text(scenario, played, events))
    else:
        for one in played.violations:
            click.echo(f"{one.check} at {one.at / 1e6:.4f} s: {one.detail}")
        click.echo(
            f"{'BROKEN' if played.violations else 'held'}: {played.steps} steps, {played.virtual_s:.1f} virtual seconds, {played.acked} of {played.ops} "
            f"ops acked, digest {played.digest}"
        )
    if plot:
        as_plot(scenario, played, events, plot)
    return 1 if played.violations else 0


@click.group()
def sim() -> None:
    """The program itself on a virtual clock, under faults drawn from a seed, checked at every step."""


@sim.command()
@click.option("--seed", type=int, required=True)
@click.option("--trace", is_flag=True, help="What happened, a lane a program.")
@click.option("--plot", type=click.Path(), default="", help="The same as a picture.")
def run(seed: int, trace: bool, plot: str) -> None:
    """Play one seed; 1 if anything breaks."""
    raise SystemExit(show(draw(seed), trace, plot))


@sim.command()
@click.argument("file", type=click.Path())
@click.option("--trace", is_flag=True, help="What happened, a lane a program.")
@click.option("--plot", type=click.Path(), default="", help="The same as a picture.")
def replay(file: str, trace: bool, plot: str) -> None:
    """Play a scenario from a file, the same steps to the last one."""
    raise SystemExit(show(read(file), trace, plot))


@sim.command()
@click.option("--seeds", default="1-1000", help='Such as "1-10000".')
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Processes; default: one a core.")
@click.option(
    "--out", type=click.Path(), default="hunts/sim", help="Folder for scenarios that break something."
)
@click.option("--guided", is_flag=True, help="Go on from runs that reached something new.")
@click.option("--quiet", is_flag=True, help="No progress.")
def hunt(seeds: str, jobs: Optional[int], out: str, guided: bool, quiet: bool) -> None:
    """Play many seeds; 1 if any breaks something. Prints a JSON report."""
    from cedarshift.sim.hunt import hunt as hunting

    found = hunting(
        seeds_of(seeds),
        jobs or os.cpu_count() or 1,
        out,
        lambda text: None if quiet else click.echo(text, err=True),
        guided,
    )
    click.echo(json.dumps(found, indent=1))
    raise SystemExit(1 if found["found"] else 0)


@sim.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), required=True, help="Where the smaller scenario goes.")
def shrink(file: str, out: str) -> None:
    """Cut a scenario down to what still breaks the same."""
    from cedarshift.sim.play import run_scenario
    from cedarshift.sim.shrink import shrink as smaller

    scenario = read(file)
    violations = run_scenario(scenario).violations
    if not violations:
        raise click.ClickException(f"{file}: nothing breaks")
    best = smaller(scenario, violations[0].check, lambda text: click.echo(text, err=True))
    with open(out, "wb") as target:
        target.write(best.to_json())
    click.echo(f"{out}: {violations[0].check} with {len(best.faults)} faults, of {len(scenario.faults)}")


__all__ = ["sim"]
