"""A rehearsal's script: fleet, load, faults and their times, from an HCL file; and the deployment it plays on."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, replace
from typing import Any, Optional

from cedarshift.deployment import Deployment, InvalidFile, Problem, hcl, load
from cedarshift.deployment.hcl import REQUIRED, Schema
from cedarshift.rehearsal.evidence import AnswerBounds

DAYS = os.path.join(os.path.dirname(__file__), "days")


@dataclass(frozen=True)
class EndpointKind:
    name: str
    share: float
    cores: int
    speed: float
    queue: int


@dataclass(frozen=True)
class Fault:
    """`kind` is one of FAULTS; `at` in us from the day's begin; `line` in the file, for messages."""

    kind: str
    at: int
    values: dict[str, Any]
    line: int


@dataclass(frozen=True)
class Day:
    name: str
    file: str
    deployment: Deployment
    length: int
    seed: int
    endpoints: int
    spare_ports: int
    proxies: int
    clients: int
    rate: float
    work: int
    keys: int
    zipf: float
    retries: int
    notice: int
    add_notice: int
    kinds: tuple[EndpointKind, ...]
    shares: dict[str, float]
    faults: tuple[Fault, ...]
    broken: tuple[str, ...]  # rules that this day breaks on purpose
    list_ages: bool = True  # whether the list tells when processes started
    learn: bool = False  # pilots learn from each other
    roster: str = "service"  # where pilots have their list from: "service", "file" or "zookeeper"
    session_timeout: int = 4_000_000  # us; of the members' sessions, where they keep ephemeral nodes
    window: tuple[int, int] = (0, 0)  # us; a stretch of the day that is told by itself
    answer: Optional[AnswerBounds] = None
    mix: tuple[
        str, ...
    ] = ()  # days of which two are drawn by the seed, whose faults are played over each other
    proxy_kind: str = "plain"
    let_in: tuple[float, ...] = ()  # of proxies of the kind "fixed", by op type


KIND = Schema(
    {
        "share": (hcl.number(0, 1000), 1.0),
        "cores": (hcl.integer(1, 256), 4),
        "speed": (hcl.number(0.01, 100), 1.0),
        "queue": (hcl.integer(1, 100_000), 40),
    }
)
AT = {"at": (hcl.duration(), REQUIRED)}
FOR = {"for": (hcl.duration(1_000), REQUIRED)}
WHICH = {"which": (hcl.integer(), 0)}
COUNT = {"count": (hcl.integer(1), 1)}
SHARE = {"share": (hcl.number(0, 1), REQUIRED)}

# kind -> (what it does, its attributes)
FAULTS: dict[str, tuple[str, dict[str, Any]]] = {
    "kill_pilot": ("a pilot is killed (kill -9) and started again", {**AT, **FOR, **WHICH}),
    "kill_pilot_in_order": (
        "a pilot is killed when its order has reached `after` proxies",
        {**AT, **FOR, **WHICH, "after": (hcl.integer(), 1)},
    ),
    "pause_pilot": ("a pilot is stopped (SIGSTOP) and goes on", {**AT, **FOR, **WHICH}),
    "reload_pilot": ("SIGHUP", {**AT, **WHICH}),
    "stop_pilot": ("SIGTERM, and started again", {**AT, **FOR, **WHICH}),
    "kill_store": ("the store is killed (kill -9) and started again", {**AT, **FOR}),
    "kill_proxy": ("a proxy is killed and started again", {**AT, **FOR, **WHICH}),
    "pause_proxy": ("a proxy is stopped (SIGSTOP) and goes on", {**AT, **FOR, **WHICH}),
    "kill_endpoint": ("an endpoint is killed; it comes back cold", {**AT, **FOR, **WHICH}),
    "hang": ("an endpoint holds everything and answers nothing", {**AT, **FOR, **WHICH}),
    "fast_errors": ("an endpoint fails a share of its ops at once", {**AT, **FOR, **WHICH, **SHARE}),
    "class_fail": (
        "an endpoint fails one op type",
        {**AT, **FOR, **WHICH, "op_type": (hcl.string, REQUIRED)},
    ),
    "cut_replies": (
        "an endpoint dies in the middle of a share of its replies",
        {**AT, **FOR, **WHICH, **SHARE},
    ),
    "slow_endpoint": (
        "an endpoint takes longer for each op",
        {**AT, **FOR, **WHICH, "times": (hcl.number(1, 100), REQUIRED)},
    ),
    "slow_many": (
        "endpoints take longer for each op",
        {**AT, **FOR, **COUNT, "times": (hcl.number(1, 100), REQUIRED)},
    ),
    "outage": ("every endpoint holds everything and answers nothing", {**AT, **FOR}),
    "flap": (
        "endpoints fail everything and are well again, in turn",
        {**AT, **FOR, **COUNT, "every": (hcl.duration(100_000), 2_000_000)},
    ),
    "herd": ("the store and half of the pilots are killed at once, and all come back at once", {**AT, **FOR}),
    "deaf_pilot": ("a pilot hears no other, while the others hear it", {**AT, **FOR, **WHICH}),
    "half_blind": (
        "a pilot hears only proxies of one zone",
        {**AT, **FOR, **WHICH, "zone": (hcl.string, REQUIRED)},
    ),
    "deploy": (
        "endpoints are drained, stopped, and replaced by new ones that come in cold",
        {
            **AT,
            **COUNT,
            "every": (hcl.duration(1_000), 4_000_000),
            "drain": (hcl.duration(100_000), 8_000_000),
        },
    ),
    "shrink": (
        "endpoints are drained and stopped for good",
        {**AT, **COUNT, "drain": (hcl.duration(100_000), 8_000_000)},
    ),
    "burst": ("arrivals are multiplied", {**AT, **FOR, "times": (hcl.number(0.01, 100), REQUIRED)}),
    "hot_key": ("one key draws a share of all traffic", {**AT, **FOR, **SHARE}),
    "shift": ("traffic turns to the proxies of one zone", {**AT, **FOR, "zone": (hcl.string, REQUIRED)}),
    "reconnect": ("a share of the streams between proxies and pilots break at once", {**AT, **SHARE}),
    "cut_proxies": (
        "proxies reach no pilot; `how`: dropped in silence or refused",
        {**AT, **FOR, **COUNT, "how": (hcl.choice("drop", "refuse"), "drop")},
    ),
    "cut_store": (
        "a pilot does not reach the store",
        {**AT, **FOR, **WHICH, "how": (hcl.choice("drop", "refuse"), "drop")},
    ),
    "slow_channel": (
        "what pilots send takes longer to arrive",
        {**AT, **FOR, "delay": (hcl.duration(1_000, 2_000_000), REQUIRED)},
    ),
    "slow_link": (
        "ops between a zone's proxies and another zone's endpoints take longer",
        {
            **AT,
            **FOR,
            "from": (hcl.string, REQUIRED),
            "to": (hcl.string, REQUIRED),
            "delay": (hcl.duration(1_000, 5_000_000), REQUIRED),
        },
    ),
    "list_unreachable": ("the list service does not answer", {**AT, **FOR}),
    "cut_list": (
        "a pilot does not reach the list service",
        {**AT, **FOR, **WHICH, "how": (hcl.choice("drop", "refuse"), "refuse")},
    ),
    "expire": ("the sessions of `count` endpoints expire while they run", {**AT, **COUNT, **WHICH}),
    "expire_all": ("the ensemble forgets every session, as when it is restarted from nothing", {**AT}),
    "expire_pilot": ("a pilot's session expires", {**AT, **WHICH}),
    "cut_server": (
        "a server of the ensemble loses the others: it only reads, and nobody hears news there",
        {**AT, **FOR, **WHICH},
    ),
    "lag_server": (
        "a server of the ensemble is late by `delay`",
        {**AT, **FOR, **WHICH, "delay": (hcl.duration(1_000), REQUIRED)},
    ),
    "list_wrong": ("the list calls `count` running endpoints gone", {**AT, **FOR, **COUNT}),
    "bad_proxy": (
        "a proxy of a broken kind takes the place of a plain one; for seeing the checkers fire",
        {**AT, **WHICH, "how": (hcl.choice("deaf", "forgetful", "pushy"), REQUIRED)},
    ),
    "loose_pilots": (
        "pilots are told a channel without limits, while the rules keep to the day's; for the checkers",
        {**AT},
    ),
}

ENSEMBLE = ("expire", "expire_all", "expire_pilot", "cut_server", "lag_server")
LISTED = ("list_unreachable", "list_wrong")
SERVERS = 3  # of the stand-in ensemble
LIKE_MOST = 8  # days that build on each other
ANSWER = Schema(
    {
        "cause_at": (hcl.duration(), REQUIRED),
        "calm_at": (hcl.duration(), REQUIRED),
        "back_within": (hcl.duration(), None),
        "repeats_most": (hcl.number(), None),
        "top": (hcl.string, ""),
        "top_least": (hcl.number(0, 1), None),
        "earned_least": (hcl.number(0, 1), None),
        "lapses_most": (hcl.integer(), None),
    }
)
DAY = Schema(
    {
        "deployment": (hcl.string, REQUIRED),
        "length": (hcl.duration(1_000_000), REQUIRED),
        "seed": (hcl.integer(), 1),
        "endpoints": (hcl.integer(1, 200), REQUIRED),
        "proxies": (hcl.integer(1, 200), REQUIRED),
        "clients": (hcl.integer(1, 16), 2),
        "rate": (hcl.number(0.1, 5_000), REQUIRED),
        "work": (hcl.duration(1_000), 300_000),
        "keys": (hcl.integer(1), 2_000),
        "zipf": (hcl.number(0, 3), 0.7),
        "retries": (hcl.integer(0, 5), 2),
        "notice": (hcl.duration(), 2_000_000),
        "add_notice": (hcl.duration(), 1_500_000),
        "broken": (hcl.strings, []),
        "list_ages": (hcl.boolean, True),
        "learn": (hcl.boolean, False),
        "roster": (hcl.choice("service", "file", "zookeeper"), "service"),
        "session_timeout": (hcl.duration(400_000), 4_000_000),
        "window_from": (hcl.duration(), 0),
        "window_to": (hcl.duration(), 0),
        "mix": (hcl.strings, []),
    },
    {
        "endpoint_kind": (KIND, 1, 0, 16),
        "answer": (ANSWER, 0, 0, 1),
        "op_share": (Schema({"share": (hcl.number(0, 1000), REQUIRED)}), 1, 0, 64),
        "fault": (Schema({}), 1, 0, 200),
    },
)
FILE = Schema({}, {"rehearsal": (DAY, 1, 1, 1)})


def find(name: str) -> str:
    """The path of a day: a path as it is, or the name of one that comes with the program."""
    if os.path.exists(name):
        return name
    path = os.path.join(DAYS, name + ".hcl")
    if not os.path.exists(path):
        known = sorted(
            f[:-4] for f in os.listdir(DAYS) if f.endswith(".hcl") and not f.startswith("deployment-")
        )
        raise InvalidFile(
            [Problem(name, 0, f"there is no such file and no such day; days: {', '.join(known)}")]
        )
    return path


def load_day(name: str) -> Day:
    """Raises InvalidFile with every problem of the day's file or its deployment's."""
    path = find(name)
    with open(path, encoding="utf-8") as source:
        top = hcl.parse(source.read(), path)
    problems: list[Problem] = []
    _build_on(top, path)
    faults = _faults(top, path, problems)
    found = hcl.check(top, FILE, path, problems)
    if problems or not found.blocks["rehearsal"]:
        raise InvalidFile(problems)
    body = found.blocks["rehearsal"][0]
    deployment = load(os.path.join(os.path.dirname(path), body["deployment"]))
    kinds = tuple(EndpointKind(name=k.labels[0], **k.values) for k in body.blocks["endpoint_kind"]) or (
        EndpointKind("usual", 1.0, 4, 1.0, 40),
    )
    shares = {one.labels[0]: one["share"] for one in body.blocks["op_share"]}
    values = {
        name: body[name]
        for name in DAY.attributes
        if name not in ("deployment", "broken", "window_from", "window_to", "mix")
    }
    day = Day(
        name=body.labels[0],
        file=path,
        deployment=deployment,
        kinds=kinds,
        shares=shares,
        faults=tuple(faults),
        broken=tuple(body["broken"]),
        mix=tuple(body["mix"]),
        answer=AnswerBounds(**body.blocks["answer"][0].values) if body.blocks["answer"] else None,
        window=(body["window_from"], body["window_to"]),
        spare_ports=sum(f.values.get("count", 0) for f in faults if f.kind == "deploy"),
        **values,
    )
    _agree(day, problems)
    if problems:
        raise InvalidFile(problems)
    return day


def _build_on(top: hcl.Block, path: str, depth: int = 0) -> None:
    """A day with `like` is the day of that name beside it, with its own attributes in place of that one's, and its own blocks
    added."""
    for block in top.blocks:
        like = block.attributes.pop("like", None)
        if like is None:
            continue
        base = os.path.join(os.path.dirname(path), f"{like.value}.hcl")
        if depth >= LIKE_MOST or not os.path.exists(base):
            raise InvalidFile(
                [
                    Problem(
                        path,
                        like.line,
                        f"like = {like.value!r}: there is no such day beside this one, or days build "
                        "on each other in a ring",
                    )
                ]
            )
        with open(base, encoding="utf-8") as source:
            below = hcl.parse(source.read(), base)
        _build_on(below, base, depth + 1)
        for other in below.blocks:
            block.attributes = {**other.attributes, **block.attributes}
            block.blocks = other.blocks + block.blocks


def _faults(top: hcl.Block, path: str, problems: list[Problem]) -> list[Fault]:
    """Each fault is checked against its own kind's shape; its body is then emptied for the general check."""
    faults = []
    for block in [b for day in top.blocks for b in day.blocks if b.kind == "fault" and len(b.labels) == 1]:
        kind = block.labels[0]
        if kind not in FAULTS:
            problems.append(
                Problem(path, block.line, f"fault {kind!r} is unknown; known: {', '.join(sorted(FAULTS))}")
            )
        else:
            got = hcl.check(block, Schema(FAULTS[kind][1]), path, problems, f' in fault "{kind}"')
            faults.append(Fault(kind, got["at"] or 0, got.values, block.line))
        block.attributes = {}
        block.labels = [f"{kind} {len(faults)} {block.line}"]
    return sorted(faults, key=lambda f: f.at)


def mixed(day: Day, seed: int) -> Day:
    """The day itself, or, where it has a mix, with the faults of two of those days, drawn and shifted by the seed."""
    if not day.mix:
        return day
    chance = random.Random(f"mix {seed}")
    faults = list(day.faults)
    for name in chance.sample(day.mix, 2):
        other, shift = (
            load_day(os.path.join(os.path.dirname(day.file), f"{name}.hcl")),
            chance.randrange(6) * 1_000_000,
        )
        faults += [
            replace(fault, at=fault.at + shift) for fault in other.faults if fault.at + shift < day.length
        ]
    return replace(day, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _agree(day: Day, problems: list[Problem]) -> None:
    ops = {op.name for op in day.deployment.op_types}
    if day.answer is not None and not day.answer.cause_at < day.answer.calm_at < day.length:
        problems.append(
            Problem(day.file, 0, "answer: cause_at comes before calm_at, and that before the day's end")
        )
    if day.answer is not None and day.answer.top and day.answer.top not in ops:
        problems.append(
            Problem(day.file, 0, f"answer: top {day.answer.top!r} is no op type of {day.deployment.file}")
        )
    if len(day.mix) == 1:
        problems.append(Problem(day.file, 0, "mix names one day, two are drawn"))
    for name in day.mix:
        if not os.path.exists(os.path.join(os.path.dirname(day.file), f"{name}.hcl")):
            problems.append(Problem(day.file, 0, f"mix: there is no day {name!r} beside this one"))
    for name in day.shares:
        if name not in ops:
            problems.append(Problem(day.file, 0, f"op_share {name!r} is no op type of {day.deployment.file}"))
    limits = {
        "kill_proxy": day.proxies,
        "pause_proxy": day.proxies,
        "kill_endpoint": day.endpoints,
        "hang": day.endpoints,
        "bad_proxy": day.proxies,
        "kill_pilot": len(day.deployment.pilots),
        "kill_pilot_in_order": len(day.deployment.pilots),
        "pause_pilot": len(day.deployment.pilots),
        "deaf_pilot": len(day.deployment.pilots),
        "half_blind": len(day.deployment.pilots),
        "cut_store": len(day.deployment.pilots),
        "cut_list": len(day.deployment.pilots),
        "expire_pilot": len(day.deployment.pilots),
        "cut_server": SERVERS,
        "lag_server": SERVERS,
    }
    for fault in day.faults:
        if (
            fault.kind in ENSEMBLE
            and day.roster != "zookeeper"
            or fault.kind in LISTED
            and day.roster != "service"
        ):
            problems.append(
                Problem(day.file, fault.line, f"fault {fault.kind} does not go with the roster {day.roster}")
            )
        if fault.at >= day.length:
            problems.append(Problem(day.file, fault.line, f"fault {fault.kind} begins after the day's end"))
        if fault.values.get("which", 0) >= limits.get(fault.kind, 1 << 30):
            problems.append(
                Problem(
                    day.file, fault.line, f"which = {fault.values['which']}, there are {limits[fault.kind]}"
                )
            )
