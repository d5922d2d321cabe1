"""Plays a day: curtain up, clients, faults, the end; then the rules are checked and the report written."""

from __future__ import annotations

import os
import signal
import time
from typing import Any, Callable, Optional

import msgspec

from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import real_loop
from cedarshift.loop.world import World
from cedarshift.rehearsal.day import Day, mixed
from cedarshift.rehearsal.evidence import Evidence, Limits, read_records
from cedarshift.rehearsal.faults import Faults
from cedarshift.rehearsal.fleet import Fleet, Ports
from cedarshift.rehearsal.report import make_report, write_report
from cedarshift.rehearsal.stage import Stage
from cedarshift.rehearsal.virtual import VirtualFleet, VirtualPorts

WARM_MOST = 40_000_000  # us for all slices to have owners after the start
LEAD = 1_500_000  # us from the clients' start to the day's begin
TAIL = 8_000_000  # us after the last arrival for the last answers
EVERY = 5_000_000  # us between two lines of progress

Say = Optional[Callable[[str], None]]


class Hall:
    """What the run knows of itself."""

    def __init__(self) -> None:
        self.begin = 0
        self.end = 0
        self.ended: list[str] = []


def play(
    day: Day, out: str, seed: Optional[int], say: Say, virtual: bool = False, page: bool = True
) -> dict[str, Any]:
    """Returns the report; it also stands as report.json and report.html in the run's folder. `virtual` plays the day in
    this process on a virtual clock (`rehearsal/virtual.py` says what that leaves out); without `page` no page is drawn."""
    folder = out or os.path.join("rehearsals", f"{day.name}-{time.strftime('%Y%m%d-%H%M%S')}")
    os.makedirs(folder, exist_ok=True)
    if any(name.startswith("record-") for name in os.listdir(folder)):
        raise FileExistsError(f"{folder} holds records of another run")
    seed, hall = day.seed if seed is None else seed, Hall()
    day = mixed(day, seed)
    run = _play_virtual if virtual else _play_real
    run(day, os.path.abspath(folder), seed, hall, say or (lambda text: None))
    evidence = Evidence(limits_of(day), read_records(folder), hall.begin, hall.end)
    report = make_report(day, evidence, hall.ended, seed=seed)
    write_report(report, evidence, folder, page)
    return report


def _play_real(day: Day, folder: str, seed: int, hall: Hall, say: Callable[[str], None]) -> None:
    loop = real_loop(lambda event, **fields: say(f"{event} {fields}"))
    stage = Stage(loop, day, Fleet(loop, folder), Ports(loop), seed)
    signal.signal(signal.SIGTERM, _interrupted)
    try:
        loop.run(loop.spawn(_day(stage, day, hall, say), "day"))
    finally:
        stage.fleet.stop_all()
        stage.ports.release()


def _play_virtual(day: Day, folder: str, seed: int, hall: Hall, say: Callable[[str], None]) -> None:
    world = World(seed)
    loop = world.host("rehearsal", lambda event, **fields: say(f"{event} {fields}")).loop
    stage = Stage(loop, day, VirtualFleet(world, loop, folder, seed), VirtualPorts(), seed)
    try:
        world.run(loop.spawn(_day(stage, day, hall, say), "day"))
    finally:
        stage.fleet.stop_all()
        stage.recorder.close()
        world.dispose()


def _interrupted(number: int, frame: object) -> None:
    """A rehearsal that is ended takes its processes with it."""
    raise KeyboardInterrupt


def limits_of(day: Day) -> Limits:
    d = day.deployment
    return Limits(
        empty_for=d.rules.empty_for,
        drain_grace=d.rules.drain_grace,
        warm_within=d.rules.warm_within,
        lines_waiting_most=d.channel.lines_waiting_most,
        lines_per_message=d.channel.lines_per_message,
        messages_most=d.channel.messages_most,
        messages_span=d.channel.messages_span,
        once_only=frozenset(op.name for op in d.op_types if op.repeats == "once-only"),
        gone_binds=d.listed.gone_binds,
        budgets=_budgets(day),
        answer=day.answer,
        worths={op.name: (op.earnings, op.target_latency, op.op_timeout, op.late_share) for op in d.op_types},
    )


def _budgets(day: Day) -> dict[str, tuple[float, int, int]]:
    """Of what the records tell: repeats at proxies, calls at the list service."""
    terms, d = day.deployment.budgets, day.deployment
    if terms is None:
        return {}
    spend = {
        "retries": day.proxies * len(d.pilots),
        "list_calls": len(d.pilots),
    }  # a proxy has a bucket from each pilot
    return {b.use: (b.rate, b.burst, spend[b.use]) for b in terms.named.values() if b.use in spend}


def _day(stage: Stage, day: Day, hall: Hall, say: Callable[[str], None]) -> Coroutine:
    loop = stage.loop
    say(
        f"{day.name}: {len(stage.pilots)} pilots, {day.proxies} proxies, {day.endpoints} endpoints, "
        f"{day.deployment.slices} slices, {day.rate:g} ops/s for {day.length / 1e6:g} s; seed {stage.seed}"
    )
    yield from stage.raise_curtain()
    yield from _all_owned(stage)
    hall.begin = loop.now() + LEAD
    clients = stage.start_clients(hall.begin)
    stage.recorder.note("begin", day.name, stage.seed)
    say("every slice has an owner; the day begins")
    Faults(stage, day, lambda text: say(f"{(loop.now() - hall.begin) / 1e6:6.1f} s  {text}")).spawn_all(
        hall.begin
    )
    shown = hall.begin
    while loop.now() < hall.begin + day.length + TAIL:
        yield from loop.sleep(200_000)
        gone = stage.fleet.ended()
        hall.ended += [one for one in gone if one.split(" ")[0] not in clients]
        for one in hall.ended[len(hall.ended) - len(gone) :] if gone else []:
            say(f"{(loop.now() - hall.begin) / 1e6:6.1f} s  {one} ended by itself")
        if loop.now() >= shown + EVERY:
            shown += EVERY
            say(f"{(loop.now() - hall.begin) / 1e6:6.1f} s of {day.length / 1e6:g} s")
        if not any(stage.fleet.alive(c) for c in clients):
            break
        if day.window[1]:
            yield from _note_pictures(stage)
    hall.end = loop.now()


def _note_pictures(stage: Stage) -> Coroutine:
    """What each pilot's module makes of the endpoints, by its page; for figures beside the rules, never for a rule."""
    for name in stage.pilots:
        reply = yield from stage.fleet.ask(f"{name}-admin", "/tables")
        if reply is not None and reply.status == 200:
            rows = msgspec.json.decode(reply.body)["endpoints"]
            stage.recorder.note(
                "picture",
                name,
                {e["endpoint"]: [round(e["part"], 4), round(e["warmth"], 4), e["phase"]] for e in rows},
            )


def _all_owned(stage: Stage) -> Coroutine:
    """Until the pilots together hold every slice with an owner."""
    until = stage.loop.now() + WARM_MOST
    admin = {p.name: p.admin for p in stage.deployment.pilots}
    while stage.loop.now() < until:
        owned = 0
        for name, address in admin.items():
            assert address is not None
            stage.fleet.addresses[f"{name}-admin"] = address
            reply = yield from stage.fleet.ask(f"{name}-admin", "/tables")
            if reply is not None and reply.status == 200:
                owned += sum(bool(row["owner"]) for row in msgspec.json.decode(reply.body)["slices"])
        if owned == stage.deployment.slices:
            return
        yield from stage.loop.sleep(200_000)
    raise TimeoutError(
        f"after {WARM_MOST / 1e6:g} s not every slice had an owner; see the logs in {stage.fleet.folder}"
    )
