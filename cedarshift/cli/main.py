"""The `cedarshift` command and its sub-commands."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any, Callable, Optional

import click

from cedarshift.deployment.refused import InvalidFile

if TYPE_CHECKING:
    from cedarshift.deployment import Deployment

VERSION = "0.2.0"


def _make_report(form: str, **always: Any) -> Callable[..., None]:
    from cedarshift.cli.log import make_report

    return make_report(form, **always)


def _load(path: str) -> Deployment:
    """Loads a deployment file; errors become click errors."""
    from cedarshift.deployment import load as load_deployment

    try:
        return load_deployment(path)
    except (OSError, InvalidFile) as error:
        raise click.ClickException(str(error)) from None


class LazySimulationGroup(click.Group):
    """Imports its commands on use, because the platform's installation lacks the libraries they need."""

    def get_command(self, ctx: click.Context, cmd_name: str) -> Optional[click.Command]:
        from cedarshift.cli.sim import sim as loaded

        return loaded.get_command(ctx, cmd_name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        from cedarshift.cli.sim import sim as loaded

        return loaded.list_commands(ctx)


@click.group()
@click.option(
    "--log", type=click.Choice(["console", "json"]), default="console", help="Format of the log lines."
)
@click.pass_context
def main(context: click.Context, log: str) -> None:
    """A control service that publishes to plain proxies which endpoint owns which slice."""
    context.obj = log


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.pass_context
def pilot(context: click.Context, file: str, name: str) -> None:
    """Run the pilot NAME of a deployment FILE. SIGTERM stops it, SIGHUP reloads its settings."""
    from cedarshift.cli.daemons import run_pilot
    from cedarshift.store.ledger import DamagedLedgerError

    deployment = _load(file)
    try:
        deployment.pilot(name)
        sys.exit(run_pilot(deployment, name, _make_report(context.obj, pilot=name)))
    except KeyError as error:
        raise click.ClickException(error.args[0]) from None
    except (OSError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None


@main.command()
def platform() -> None:
    """Run the pilot named by the RELAY_ variables on the platform's protocol.

    SIGTERM stops it, SIGHUP reads its file again.
    """
    from cedarshift.platform.start import run

    sys.exit(run(os.environ))


@main.group()
def store() -> None:
    """The durable store of a deployment's tables."""


@store.command()
@click.argument("file", type=click.Path())
@click.pass_context
def serve(context: click.Context, file: str) -> None:
    """Serve the store of a deployment FILE to its pilots and proxies."""
    from cedarshift.cli.daemons import run_store
    from cedarshift.store.ledger import DamagedLedgerError

    try:
        sys.exit(run_store(_load(file), _make_report(context.obj, store=True)))
    except (OSError, ValueError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None


def _ledger_path(deployment: Deployment) -> str:
    if deployment.store is None:
        raise click.ClickException(f"{deployment.file} has no block store")
    return deployment.resolve_path(deployment.store.path)


@store.command()
@click.argument("file", type=click.Path())
@click.argument("target", type=click.Path())
def backup(file: str, target: str) -> None:
    """Copy the store's file to TARGET while the store runs."""
    from cedarshift.store.ledger import DamagedLedgerError, Ledger

    deployment = _load(file)
    try:
        ledger = Ledger(_ledger_path(deployment), deployment.name, deployment.slices)
        rows = ledger.load()
        ledger.backup(target)
        ledger.close()
    except (OSError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{target}: {len(rows)} slices")


@store.command()
@click.argument("file", type=click.Path())
@click.option("--from", "source", required=True, type=click.Path(exists=True), help="A backup.")
def restore(file: str, source: str) -> None:
    """Replace a damaged store file by a backup. Owners are not restored: the pilots assign them again."""
    from cedarshift.store.ledger import DamagedLedgerError
    from cedarshift.store.ledger import restore as restore_ledger

    deployment = _load(file)
    try:
        count = restore_ledger(_ledger_path(deployment), source, deployment.name, deployment.slices)
    except (OSError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{count} slices restored without owners; the previous file is kept as .damaged")


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check a deployment or rehearsal FILE and print each error with its line and what is allowed."""
    from cedarshift.deployment import load as load_deployment
    from cedarshift.rehearsal.day import load_day

    try:
        with open(file, encoding="utf-8") as source:
            rehearsal = any(line.startswith("rehearsal ") for line in source)
        if rehearsal:
            day = load_day(file)
            click.echo(f"{file}: rehearsal {day.name}, {len(day.faults)} faults, sound")
        else:
            deployment = load_deployment(file)
            click.echo(
                f"{file}: deployment {deployment.name}, {deployment.slices} slices, "
                f"{len(deployment.pilots)} pilots, sound"
            )
    except (OSError, InvalidFile) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@main.command()
@click.argument("name")
@click.option(
    "--out",
    type=click.Path(),
    default="",
    help="Directory for records and report; default: rehearsals/NAME-TIME.",
)
@click.option("--seed", type=int, default=None, help="Overrides the seed of the day.")
@click.option("--quiet", is_flag=True, help="No progress.")
@click.option(
    "--virtual",
    is_flag=True,
    help="Run in this process on a virtual clock: fast, and the same for the same seed.",
)
def rehearse(name: str, out: str, seed: Optional[int], quiet: bool, virtual: bool) -> None:
    """Run the scripted day NAME (or a file) on loopback and check the rules on the recorded traffic."""
    from cedarshift.rehearsal.day import load_day

    try:
        day = load_day(name)
    except (OSError, InvalidFile) as error:
        raise click.ClickException(str(error)) from None
    _run_rehearsal(day, out, seed, quiet, virtual)


def _run_rehearsal(day: Any, out: str, seed: Optional[int], quiet: bool, virtual: bool = False) -> None:
    from cedarshift.rehearsal.report import as_text
    from cedarshift.rehearsal.run import play

    try:
        report = play(day, out, seed, None if quiet else lambda text: click.echo(text, err=True), virtual)
    except (OSError, TimeoutError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(as_text(report))
    sys.exit(0 if report["as_expected"] else 1)


@main.command()
@click.argument("name")
@click.option("--seeds", default="1-20", help='Such as "1-200" or "7".')
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Processes; default: one per core.")
@click.option(
    "--out",
    type=click.Path(),
    default="",
    help="Directory for the seeds that break a rule; default: hunts/NAME.",
)
@click.option("--quiet", is_flag=True, help="No progress.")
def hunt(name: str, seeds: str, jobs: Optional[int], out: str, quiet: bool) -> None:
    """Run many seeds of the day NAME (or a file) on a virtual clock; exit code 1 if any breaks a rule."""
    from cedarshift.rehearsal import hunt as hunting
    from cedarshift.rehearsal.day import load_day

    first, dash, last = seeds.partition("-")
    last = last if dash else first
    if not first.isdecimal() or not last.isdecimal() or int(last) < int(first):
        raise click.BadParameter(f'{seeds!r}: seeds such as "1-200" or "7" are allowed', param_hint="--seeds")
    try:
        day = load_day(name)
    except (OSError, InvalidFile) as error:
        raise click.ClickException(str(error)) from None
    summary = hunting.hunt(
        name,
        list(range(int(first), int(last) + 1)),
        jobs or os.cpu_count() or 1,
        out or os.path.join("hunts", day.name),
        lambda text: None if quiet else click.echo(text, err=True),
    )
    earned = summary["earned"]
    click.echo(
        f"{day.name}: {summary['seeds']} seeds, {len(summary['bad'])} broke a rule; "
        f"earned {earned['mean']:.4f} "
        f"({earned['least']:.3f} with seed {summary['worst_seed']} to {earned['most']:.3f})"
    )
    for again in summary["again"]:
        click.echo(f"  repeat: {again}")
    sys.exit(1 if summary["bad"] else 0)


@main.command()
@click.argument("dayfile", type=click.Path(exists=True))
@click.option("--out", type=click.Path(), default="", help="Directory for records and report.")
@click.option(
    "--scale",
    type=float,
    default=0.0,
    help="Fraction of the day's fleet and load; default: what one machine can run.",
)
@click.option("--only-map", is_flag=True, help="Print what would be run, without running it.")
@click.option("--quiet", is_flag=True, help="No progress.")
def replay(dayfile: str, out: str, scale: float, only_map: bool, quiet: bool) -> None:
    """Run the faults of a bench day, as printed by `lbsim draw`, against the real pilot."""
    from cedarshift.rehearsal.bench_day import map_day

    try:
        day, notes = map_day(dayfile, scale)
    except (OSError, InvalidFile, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for line in notes:
        click.echo(line, err=True)
    if not only_map:
        _run_rehearsal(day, out, None, quiet)


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--facts",
    is_flag=True,
    help="Facts learnt from other pilots: origin, age and weight of each.",
)
def tables(file: str, name: str, as_json: bool, facts: bool) -> None:
    """Show the tables of the running pilot NAME of a deployment FILE."""
    from cedarshift.cli.tables import fetch, format_facts, format_tables

    click.echo(
        _fetch_page(
            file,
            name,
            fetch,
            "/facts" if facts else "/tables",
            None if as_json else format_facts if facts else format_tables,
        )
    )


def _fetch_page(file: str, name: str, fetch: Any, target: str, formatter: Any) -> str:
    """Fetches a status page of the running pilot NAME and formats it with `formatter`, if given."""
    deployment = _load(file)
    try:
        settings = deployment.pilot(name)
    except KeyError as error:
        raise click.ClickException(error.args[0]) from None
    if settings.admin is None:
        raise click.ClickException(f"pilot {name} has no admin address in {file}")
    try:
        page = fetch(settings.admin, target)
    except OSError as error:
        raise click.ClickException(f"pilot {name}: {error}") from None
    return formatter(page) if formatter is not None else page.decode()


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--pilots",
    is_flag=True,
    help="The membership of the pilots instead: which are alive, since when, and who hears whom.",
)
def members(file: str, name: str, as_json: bool, pilots: bool) -> None:
    """Show the endpoint list of the running pilot NAME: its source, content and age."""
    from cedarshift.cli.tables import fetch, format_members, format_pilots

    click.echo(
        _fetch_page(
            file,
            name,
            fetch,
            "/pilots" if pilots else "/members",
            None if as_json else format_pilots if pilots else format_members,
        )
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--pilot",
    "name",
    default="",
    help="Show the shares of this pilot and its proxies instead of the store's ledger.",
)
@click.option(
    "--plan",
    is_flag=True,
    help="Compute the shares if every pilot asked for everything, without a running fleet.",
)
@click.option("--down", multiple=True, help="With --plan: a pilot that is down; may be repeated.")
@click.option("--demand", multiple=True, help='With --plan: "BUDGET:PILOT=TOKENS" instead of everything.')
def budgets(
    file: str, as_json: bool, name: str, plan: bool, down: tuple[str, ...], demand: tuple[str, ...]
) -> None:
    """Show the fleet's budgets: total, reserved, granted and requested amounts by pilot, and expiry."""
    from cedarshift.cli.budgets import fetch_store_status, format_pilot, format_plan, format_store
    from cedarshift.cli.tables import fetch

    deployment = _load(file)
    if deployment.budgets is None:
        raise click.ClickException(f"{file} has no block budgets")
    if (down or demand) and not plan:
        raise click.UsageError("--down and --demand go with --plan")
    if plan:
        try:
            click.echo(format_plan(deployment, down, demand))
        except ValueError as error:
            raise click.ClickException(str(error)) from None
    elif name:
        click.echo(_fetch_page(file, name, fetch, "/budgets", None if as_json else format_pilot))
    else:
        try:
            status = fetch_store_status(deployment)
        except OSError as error:
            raise click.ClickException(f"store: {error}") from None
        click.echo(status.decode() if as_json else format_store(status, deployment))


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def overload(file: str, name: str, as_json: bool) -> None:
    """Show the overload control of the running pilot NAME.

    Prints the offered, admitted and acked load by pilot and op type, and the shares of endpoints.
    """
    from cedarshift.cli.overload import format_overload
    from cedarshift.cli.tables import fetch

    if _load(file).overload is None:
        raise click.ClickException(f"{file} has no block overload")
    click.echo(_fetch_page(file, name, fetch, "/overload", None if as_json else format_overload))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--endpoint", required=True, help="host:port at which proxies reach it.")
@click.option(
    "--size",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    help="Capacity relative to the other endpoints.",
)
@click.option("--zone", default="", help="One of the deployment's zones.")
@click.option("--start", default="", help="Identifies the process; default: random at each start.")
@click.option(
    "--drain", default="8s", help='How long it is announced as draining before it leaves, such as "8s".'
)
@click.pass_context
def register(
    ctx: click.Context, file: str, endpoint: str, size: float, zone: str, start: str, drain: str
) -> None:
    """Keep an endpoint registered in the roster of a deployment FILE. SIGTERM drains and removes it."""
    from cedarshift.cli.daemons import run_registration
    from cedarshift.deployment import hcl
    from cedarshift.roster.formats import Member

    deployment = _load(file)
    if deployment.listed.nodes is None:
        raise click.ClickException(f"{file} has no block roster: there is nowhere to register")
    address, allowed = hcl.address(endpoint)
    if address is None:
        raise click.BadParameter(f"{endpoint!r}: {allowed} is allowed", param_hint="--endpoint")
    if zone and zone not in deployment.zones:
        raise click.BadParameter(
            f"{zone!r} is none of {', '.join(deployment.zones) or 'the zones (none)'}", param_hint="--zone"
        )
    duration, allowed = hcl.duration()(drain)
    if duration is None:
        raise click.BadParameter(f"{drain!r}: {allowed} is allowed", param_hint="--drain")
    sys.exit(
        run_registration(
            deployment,
            Member(endpoint, "on", size, zone, start),
            duration,
            _make_report(ctx.obj, endpoint=endpoint),
        )
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option(
    "--out", type=click.Path(), default="", help="File for the full report with its histograms, as JSON."
)
@click.option("--quiet", is_flag=True, help="No progress.")
def load(file: str, out: str, quiet: bool) -> None:
    """Send the load of FILE to its targets on schedule, whatever they answer.

    Exit code 1 if the generator itself was the bottleneck.
    """
    from cedarshift.load.run import as_text, play
    from cedarshift.load.trace import InvalidTrace

    try:
        result = play(file, lambda text: None if quiet else click.echo(text, err=True))
    except (OSError, InvalidFile, InvalidTrace) as error:
        raise click.ClickException(str(error)) from None
    if out:
        with open(out, "w", encoding="utf-8") as report:
            json.dump(result, report, indent=2)
    click.echo(as_text(result))
    sys.exit(0 if result["certified"] else 1)


@main.group(cls=LazySimulationGroup)
def sim() -> None:
    """Simulate the program on a virtual clock with random faults, checking every step."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"cedarshift {VERSION}")
