"""`cedarshift`: the sub-commands."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any, Callable, Optional

import click

from cedarshift.deployment.refused import FileRefused

if TYPE_CHECKING:
    from cedarshift.deployment import Deployment

VERSION = "0.2.0"


def _report(form: str, **always: Any) -> Callable[..., None]:
    from cedarshift.cli.log import make_report

    return make_report(form, **always)


def _load(path: str) -> Deployment:
    from cedarshift.deployment import load as load_deployment

    try:
        return load_deployment(path)
    except (OSError, FileRefused) as error:
        raise click.ClickException(str(error)) from None


class Simulation(click.Group):
    """Its commands are looked up when asked for: the platform's installation has none of the libraries that they need."""

    def get_command(self, ctx: click.Context, cmd_name: str) -> Optional[click.Command]:
        from cedarshift.cli.sim import sim as loaded

        return loaded.get_command(ctx, cmd_name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        from cedarshift.cli.sim import sim as loaded

        return loaded.list_commands(ctx)


@click.group()
@click.option(
    "--log", type=click.Choice(["console", "json"]), default="console", help="Form of the log lines."
)
@click.pass_context
def main(context: click.Context, log: str) -> None:
    """A control service: publishes to plain proxies which endpoint owns which slice, and keeps doing so while things fail."""
    context.obj = log


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.pass_context
def pilot(context: click.Context, file: str, name: str) -> None:
    """Run the pilot NAME of a deployment FILE. SIGTERM stops it, SIGHUP reloads what may change."""
    from cedarshift.cli.daemons import run_pilot
    from cedarshift.store.ledger import DamagedLedgerError

    deployment = _load(file)
    try:
        deployment.pilot(name)
        sys.exit(run_pilot(deployment, name, _report(context.obj, pilot=name)))
    except KeyError as error:
        raise click.ClickException(error.args[0]) from None
    except (OSError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None


@main.command()
def platform() -> None:
    """Run the pilot that the RELAY_ variables name, on the platform's protocol. SIGTERM stops it, SIGHUP reads its file anew."""
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
        sys.exit(run_store(_load(file), _report(context.obj, store=True)))
    except (OSError, ValueError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None


def _ledger_path(deployment: Deployment) -> str:
    if deployment.store is None:
        raise click.ClickException(f"{deployment.file} has no block store")
    return deployment.beside(deployment.store.path)


@store.command()
@click.argument("file", type=click.Path())
@click.argument("target", type=click.Path())
def backup(file: str, target: str) -> None:
    """Copy the store's file to TARGET, whole, while the store goes on."""
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
    """Put a backup in the place of a damaged store file. No owner is taken over: the pilots find them anew."""
    from cedarshift.store.ledger import DamagedLedgerError
    from cedarshift.store.ledger import restore as put_back

    deployment = _load(file)
    try:
        count = put_back(_ledger_path(deployment), source, deployment.name, deployment.slices)
    except (OSError, DamagedLedgerError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{count} slices restored without owners; the file of before is kept beside it as .damaged")


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check a deployment FILE, or a rehearsal's; every error is told with its line and with what is allowed."""
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
    except (OSError, FileRefused) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@main.command()
@click.argument("name")
@click.option(
    "--out",
    type=click.Path(),
    default="",
    help="Folder for records and report; default: rehearsals/NAME-TIME.",
)
@click.option("--seed", type=int, default=None, help="In place of the day's own.")
@click.option("--quiet", is_flag=True, help="No progress.")
@click.option(
    "--virtual",
    is_flag=True,
    help="In this process on a virtual clock: quick, and the same run for the same seed.",
)
def rehearse(name: str, out: str, seed: Optional[int], quiet: bool, virtual: bool) -> None:
    """Play the scripted day NAME (or a file) on loopback and check the rules from what passed."""
    from cedarshift.rehearsal.day import load_day

    try:
        day = load_day(name)
    except (OSError, FileRefused) as error:
        raise click.ClickException(str(error)) from None
    _play(day, out, seed, quiet, virtual)


def _play(day: Any, out: str, seed: Optional[int], quiet: bool, virtual: bool = False) -> None:
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
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Processes; default: one a core.")
@click.option(
    "--out",
    type=click.Path(),
    default="",
    help="Folder for the seeds that break something; default: hunts/NAME.",
)
@click.option("--quiet", is_flag=True, help="No progress.")
def hunt(name: str, seeds: str, jobs: Optional[int], out: str, quiet: bool) -> None:
    """Play many seeds of the day NAME (or a file) on a virtual clock; 1 if any breaks a rule that was to hold."""
    from cedarshift.rehearsal import hunt as hunting
    from cedarshift.rehearsal.day import load_day

    first, dash, last = seeds.partition("-")
    last = last if dash else first
    if not first.isdecimal() or not last.isdecimal() or int(last) < int(first):
        raise click.BadParameter(f'{seeds!r}: seeds such as "1-200" or "7" are allowed', param_hint="--seeds")
    try:
        day = load_day(name)
    except (OSError, FileRefused) as error:
        raise click.ClickException(str(error)) from None
    found = hunting.hunt(
        name,
        list(range(int(first), int(last) + 1)),
        jobs or os.cpu_count() or 1,
        out or os.path.join("hunts", day.name),
        lambda text: None if quiet else click.echo(text, err=True),
    )
    earned = found["earned"]
    click.echo(
        f"{day.name}: {found['seeds']} seeds, {len(found['bad'])} broke something; earned {earned['mean']:.4f} "
        f"({earned['least']:.3f} with seed {found['worst_seed']} to {earned['most']:.3f})"
    )
    for again in found["again"]:
        click.echo(f"  again: {again}")
    sys.exit(1 if found["bad"] else 0)


@main.command()
@click.argument("dayfile", type=click.Path(exists=True))
@click.option("--out", type=click.Path(), default="", help="Folder for records and report.")
@click.option(
    "--scale",
    type=float,
    default=0.0,
    help="Share of the day's fleet and load; default: what one machine holds.",
)
@click.option("--only-map", is_flag=True, help="Say what would be played, and play nothing.")
@click.option("--quiet", is_flag=True, help="No progress.")
def replay(dayfile: str, out: str, scale: float, only_map: bool, quiet: bool) -> None:
    """Play the troubles of a bench day, as `lbsim draw` prints it, through the real pilot."""
    from cedarshift.rehearsal.bench_day import map_day

    try:
        day, said = map_day(dayfile, scale)
    except (OSError, FileRefused, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for line in said:
        click.echo(line, err=True)
    if not only_map:
        _play(day, out, None, quiet)


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--facts",
    is_flag=True,
    help="What it has borrowed from other pilots: origin, age and weight of each fact.",
)
def tables(file: str, name: str, as_json: bool, facts: bool) -> None:
    """What the running pilot NAME of a deployment FILE holds."""
    from cedarshift.cli.tables import fetch, shown, shown_facts

    click.echo(
        _asked(
            file,
            name,
            fetch,
            "/facts" if facts else "/tables",
            None if as_json else shown_facts if facts else shown,
        )
    )


def _asked(file: str, name: str, fetch: Any, target: str, show: Any) -> str:
    """A page of the running pilot NAME, as text where `show` makes one of it."""
    deployment = _load(file)
    try:
        place = deployment.pilot(name)
    except KeyError as error:
        raise click.ClickException(error.args[0]) from None
    if place.admin is None:
        raise click.ClickException(f"pilot {name} has no admin address in {file}")
    try:
        held = fetch(place.admin, target)
    except OSError as error:
        raise click.ClickException(f"pilot {name}: {error}") from None
    return show(held) if show is not None else held.decode()


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--pilots",
    is_flag=True,
    help="The roll of the pilots in its place: who is alive, since when, who hears whom.",
)
def members(file: str, name: str, as_json: bool, pilots: bool) -> None:
    """Where the running pilot NAME has its list from, what it sees there, and how old that is."""
    from cedarshift.cli.tables import fetch, shown_members, shown_pilots

    click.echo(
        _asked(
            file,
            name,
            fetch,
            "/pilots" if pilots else "/members",
            None if as_json else shown_pilots if pilots else shown_members,
        )
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option(
    "--pilot",
    "name",
    default="",
    help="What this pilot has, and hands on to its proxies, in the place of the store's ledger.",
)
@click.option("--plan", is_flag=True, help="Ask nobody: who would have what, were all to ask for all.")
@click.option("--down", multiple=True, help="With --plan: a pilot that is gone; may be given several times.")
@click.option("--demand", multiple=True, help='With --plan: "BUDGET:PILOT=TOKENS", in the place of all.')
def budgets(
    file: str, as_json: bool, name: str, plan: bool, down: tuple[str, ...], demand: tuple[str, ...]
) -> None:
    """Who has what of the fleet's budgets: the whole, what is set aside, given and asked for, by pilot, and until when."""
    from cedarshift.cli.budgets import ask_store, planned, shown_pilot, shown_store
    from cedarshift.cli.tables import fetch

    deployment = _load(file)
    if deployment.budgets is None:
        raise click.ClickException(f"{file} has no block budgets")
    if (down or demand) and not plan:
        raise click.UsageError("--down and --demand go with --plan")
    if plan:
        try:
            click.echo(planned(deployment, down, demand))
        except ValueError as error:
            raise click.ClickException(str(error)) from None
    elif name:
        click.echo(_asked(file, name, fetch, "/budgets", None if as_json else shown_pilot))
    else:
        try:
            held = ask_store(deployment)
        except OSError as error:
            raise click.ClickException(f"store: {error}") from None
        click.echo(held.decode() if as_json else shown_store(held, deployment))


@main.command()
@click.argument("file", type=click.Path())
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def overload(file: str, name: str, as_json: bool) -> None:
    """What the running pilot NAME lets in and why: offered, fresh, acked and rejected by op type and pilot, and endpoints of their own."""
    from cedarshift.cli.overload import shown_overload
    from cedarshift.cli.tables import fetch

    if _load(file).overload is None:
        raise click.ClickException(f"{file} has no block overload")
    click.echo(_asked(file, name, fetch, "/overload", None if as_json else shown_overload))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--endpoint", required=True, help="host:port, as proxies are to reach it.")
@click.option(
    "--size",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    help="What it can do against the others.",
)
@click.option("--zone", default="", help="One of the deployment's zones.")
@click.option("--start", default="", help="Names the process; default: drawn anew at each start.")
@click.option(
    "--drain", default="8s", help='How long it is announced as draining before it leaves, such as "8s".'
)
@click.pass_context
def register(
    ctx: click.Context, file: str, endpoint: str, size: float, zone: str, start: str, drain: str
) -> None:
    """Keep an endpoint's ephemeral node alive, as the roster of a deployment FILE says; SIGTERM drains it, then it leaves."""
    from cedarshift.cli.daemons import run_registration
    from cedarshift.deployment import hcl
    from cedarshift.roster.formats import Member

    deployment = _load(file)
    if deployment.listed.nodes is None:
        raise click.ClickException(f"{file} has no block roster: there is nowhere to register")
    place, allowed = hcl.address(endpoint)
    if place is None:
        raise click.BadParameter(f"{endpoint!r}: {allowed} is allowed", param_hint="--endpoint")
    if zone and zone not in deployment.zones:
        raise click.BadParameter(
            f"{zone!r} is none of {', '.join(deployment.zones) or 'the zones (none)'}", param_hint="--zone"
        )
    span, allowed = hcl.span()(drain)
    if span is None:
        raise click.BadParameter(f"{drain!r}: {allowed} is allowed", param_hint="--drain")
    sys.exit(
        run_registration(
            deployment, Member(endpoint, "on", size, zone, start), span, _report(ctx.obj, endpoint=endpoint)
        )
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), default="", help="The whole report with its histograms, as JSON.")
@click.option("--quiet", is_flag=True, help="No progress.")
def load(file: str, out: str, quiet: bool) -> None:
    """Send the load of FILE to its targets, on time whatever is answered; 1 if the generator itself was the bottleneck."""
    from cedarshift.load.run import as_text, play
    from cedarshift.load.trace import InvalidTrace

    try:
        found = play(file, lambda text: None if quiet else click.echo(text, err=True))
    except (OSError, FileRefused, InvalidTrace) as error:
        raise click.ClickException(str(error)) from None
    if out:
        with open(out, "w", encoding="utf-8") as report:
            json.dump(found, report, indent=2)
    click.echo(as_text(found))
    sys.exit(0 if found["certified"] else 1)


@main.group(cls=Simulation)
def sim() -> None:
    """The program itself on a virtual clock, under faults drawn from a seed, checked at every step."""


@main.command()
def version() -> None:
    """The version."""
    click.echo(f"cedarshift {VERSION}")
