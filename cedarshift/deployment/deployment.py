"""A deployment as the program uses it. All spans are whole microseconds."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, Callable, Optional

from cedarshift.budgets.terms import BUDGET_USES, CONCURRENCY_USES, HEARTBEATS_PER_LEASE, build_plan
from cedarshift.codec.zookeeper.jute import check_path
from cedarshift.deployment import hcl
from cedarshift.deployment.hcl import MUST, Checked, FileRefused, Problem, Shape
from cedarshift.judge.budgets import ASKS_PER_LEASE, MIN_ASK_INTERVAL_US, InvalidBudget
from cedarshift.overload.digest import MAX_OP_TYPES

Address = tuple[str, int]


@dataclass(frozen=True)
class ServedOp:
    """An op type. `repeats`: "retryable", "deduplicated" or "once-only"."""

    name: str
    target_latency: int
    op_timeout: int
    earnings: float
    late_share: float
    repeats: str
    writes: bool
    own_zone: bool


@dataclass(frozen=True)
class PilotPlace:
    name: str
    listen: Address
    admin: Optional[Address]
    zone: str
    gossip: Optional[Address] = None


@dataclass(frozen=True)
class MembershipPlan:
    """Where it stands, pilots keep a roll of each other. `period` in us."""

    period: int


@dataclass(frozen=True)
class BudgetPlan:
    """One whole for the fleet: `rate` tokens a second with `burst` (us of it), or so many `held` at a time. `floor`: of it for each pilot
    without asking. `of_fresh`: the part of a repeat that a fresh op earns a proxy."""

    use: str
    rate: float
    held: int
    burst: int
    floor: float
    within: str
    priority: int
    weight: int
    of_fresh: float


@dataclass(frozen=True)
class BudgetTerms:
    """Leases of the shares (us), store to pilot and pilot to proxy, and how far clocks may run apart, as a part of 1. `claim_cold`: whether
    a cold endpoint is warmed by the one pilot that claims it, in place of one by a lot that knows nothing of who lives."""

    lease: int
    proxy_lease: int
    clock_drift: float
    claim_cold: bool
    named: dict[str, BudgetPlan]


@dataclass(frozen=True)
class OverloadPlan:
    """Where it stands, pilots answer overload as one. `costs`: the work of an op of each type, against the others."""

    costs: dict[str, float]


@dataclass(frozen=True)
class StorePlace:
    listen: Address
    path: str
    embedded: bool
    session_lease: int
    takeover: int
    back_after: int


@dataclass(frozen=True)
class NodeRoster:
    """Members that keep ephemeral nodes under `path`. `hold`: how long a vanished node may stay untold; its grace runs
    meanwhile. `auth`: (scheme, credential) each."""

    servers: tuple[Address, ...]
    path: str
    session_timeout: int
    format: str
    port_name: str
    watch: str
    read_only: bool
    hold: int
    auth_file: str
    auth: tuple[tuple[str, bytes], ...]


@dataclass(frozen=True)
class ListSource:
    """`service`, `file` or `nodes`, one of them. `saved`: where a pilot keeps the newest list for its next start."""

    service: Optional[Address]
    file: str
    saved: str
    refresh: int
    asks: bool
    gone_binds: bool
    nodes: Optional[NodeRoster] = None


@dataclass(frozen=True)
class Channel:
    """The channel of one pilot."""

    lines_per_s: float
    lines_waiting_most: float
    lines_per_message: float
    messages_most: int
    messages_span: int
    transit_most: int


@dataclass(frozen=True)
class ProxyTerms:
    """What every proxy of the deployment keeps to."""

    lease: int
    in_flight_most: int
    buffer_for: int
    connect_most: int
    report_every: int
    apply_cost: int
    outlier_after: int
    retry_default: int
    silence: int
    joins_per_s: float = 500.0


@dataclass(frozen=True)
class Guarantees:
    """The figures of the rules."""

    empty_for: int
    drain_grace: int
    ask_within: int
    warm_within: int
    cold_share: float
    tip_multiple: float
    tip_after: int


@dataclass(frozen=True)
class LearnTerms:
    """Where it stands, pilots lend each other what they know. `sources`: pilots to ask; none: all the others."""

    sources: tuple[str, ...]
    span: int
    again: int
    patience: int
    answer_within: int
    lend_share: float
    compress: bool


@dataclass(frozen=True)
class Deployment:
    name: str
    file: str
    slices: int
    zones: tuple[str, ...]
    single_owner: bool
    pick: str
    levels: str
    intake_per_s: float
    proxies_most: int
    secret: bytes
    op_types: tuple[ServedOp, ...]
    pilots: tuple[PilotPlace, ...]
    store: Optional[StorePlace]
    listed: ListSource
    channel: Channel
    proxy: ProxyTerms
    rules: Guarantees
    learn: Optional[LearnTerms] = None
    membership: Optional[MembershipPlan] = None
    budgets: Optional[BudgetTerms] = None
    overload: Optional[OverloadPlan] = None

    def beside(self, path: str) -> str:
        """A path of the file, which counts from the folder that the file lies in."""
        return os.path.join(os.path.dirname(self.file), path) if path else ""

    def pilot(self, name: str) -> PilotPlace:
        """Raises KeyError with the names that there are."""
        for place in self.pilots:
            if place.name == name:
                return place
        raise KeyError(
            f"no pilot {name!r} in {self.file}; there are {', '.join(p.name for p in self.pilots)}"
        )


OP_TYPE = Shape(
    {
        "target_latency": (hcl.span(1_000), MUST),
        "op_timeout": (hcl.span(1_000), MUST),
        "earnings": (hcl.number(), 1.0),
        "late_share": (hcl.number(0, 1), 0.0),
        "repeats": (hcl.choice("retryable", "deduplicated", "once-only"), MUST),
        "writes": (hcl.flag, False),
        "own_zone": (hcl.flag, False),
    }
)
PILOT = Shape(
    {
        "listen": (hcl.address, MUST),
        "admin": (hcl.address, None),
        "zone": (hcl.text, ""),
        "gossip": (hcl.address, None),
    }
)
MEMBERSHIP = Shape({"period": (hcl.span(50_000, 60_000_000), 1_000_000)})
BUDGET = Shape(
    {
        "use": (hcl.choice(*BUDGET_USES), ""),
        "rate": (hcl.number(0.001, 1e9), 0.0),
        "held": (hcl.whole(1, 1_000_000), 0),
        "burst": (hcl.span(1_000, 60_000_000), 500_000),
        "floor": (hcl.number(0, 1e9), 0.0),
        "within": (hcl.text, ""),
        "priority": (hcl.whole(0, 100), 0),
        "weight": (hcl.whole(1, 1_000), 1),
        "of_fresh": (hcl.number(0, 1), 0.0),
    }
)
BUDGETS = Shape(
    {
        "lease": (hcl.span(200_000, 60_000_000), 3_000_000),
        "proxy_lease": (hcl.span(200_000, 60_000_000), 1_000_000),
        "clock_drift": (hcl.number(0, 0.2), 0.02),
        "claim_cold": (hcl.flag, False),
    },
    {"budget": (BUDGET, 1, 1, 64)},
)
STORE = Shape(
    {
        "listen": (hcl.address, MUST),
        "path": (hcl.text, MUST),
        "embedded": (hcl.flag, False),
        "session_lease": (hcl.span(100_000), 2_000_000),
        "takeover": (hcl.span(), 500_000),
        "back_after": (hcl.span(), 3_000_000),
    }
)
LIST = Shape(
    {
        "service": (hcl.address, None),
        "file": (hcl.text, ""),
        "saved": (hcl.text, ""),
        "refresh": (hcl.span(10_000), 250_000),
        "asks": (hcl.flag, False),
        "gone_binds": (hcl.flag, True),
    }
)
ROSTER = Shape(
    {
        "servers": (hcl.addresses, MUST),
        "path": (hcl.text, MUST),
        "session_timeout": (hcl.span(400_000), 6_000_000),
        "format": (hcl.choice("serverset", "curator", "plain"), "serverset"),
        "port_name": (hcl.text, ""),
        "watch": (hcl.choice("recursive", "one-shot"), "recursive"),
        "read_only": (hcl.flag, True),
        "hold": (hcl.span(), 1_000_000),
        "auth": (hcl.text, ""),
        "saved": (hcl.text, ""),
        "gone_binds": (hcl.flag, True),
    }
)
CHANNEL = Shape(
    {
        "lines_per_s": (hcl.number(1), 6_000.0),
        "lines_waiting_most": (hcl.number(1), 9_000.0),
        "lines_per_message": (hcl.number(), 16.0),
        "messages_most": (hcl.whole(), 0),
        "messages_span": (hcl.span(), 10_000_000),
        "transit_most": (hcl.span(), 250_000),
    }
)
PROXY = Shape(
    {
        "lease": (hcl.span(50_000), 800_000),
        "in_flight_most": (hcl.span(1_000), MUST),
        "buffer_for": (hcl.span(), 200_000),
        "connect_most": (hcl.span(1_000), 500_000),
        "report_every": (hcl.span(50_000), 2_000_000),
        "apply_cost": (hcl.span(), 0),
        "outlier_after": (hcl.whole(), 3),
        "retry_default": (hcl.whole(0, 3), 0),
        "silence": (hcl.span(500_000), 4_000_000),
        "joins_per_s": (hcl.number(1, 100_000), 500.0),
    }
)
OVERLOAD = Shape({}, {"op": (Shape({"cost": (hcl.number(0.001, 1_000), MUST)}), 1, 0, 64)})
RULES = Shape(
    {
        "empty_for": (hcl.span(), 12_000_000),
        "drain_grace": (hcl.span(100_000), 3_000_000),
        "ask_within": (hcl.span(), 10_000_000),
        "warm_within": (hcl.span(), 15_000_000),
        "cold_share": (hcl.number(0.01, 1), 1.0),
        "tip_multiple": (hcl.number(1), 3.0),
        "tip_after": (hcl.span(), 1_500_000),
    }
)
LEARN = Shape(
    {
        "from": (hcl.texts, []),
        "for": (hcl.span(), 20_000_000),
        "again": (hcl.span(100_000), 2_000_000),
        "patience": (hcl.span(), 2_000_000),
        "answer_within": (hcl.span(10_000), 2_000_000),
        "lend_share": (hcl.number(0.001, 0.5), 0.05),
        "compress": (hcl.flag, True),
    }
)
DEPLOYMENT = Shape(
    {
        "slices": (hcl.whole(0, 60_000), MUST),
        "zones": (hcl.texts, []),
        "single_owner": (hcl.flag, True),
        "pick": (hcl.choice("even", "chance"), "even"),
        "levels": (hcl.choice("fraction", "none"), "fraction"),
        "intake_per_s": (hcl.number(1), 150.0),
        "proxies_most": (hcl.whole(1), 1_000),
        "secret_file": (hcl.text, ""),
    },
    {
        "op_type": (OP_TYPE, 1, 1, 64),
        "pilot": (PILOT, 1, 1, 64),
        "store": (STORE, 0, 0, 1),
        "list": (LIST, 0, 0, 1),
        "roster": (ROSTER, 1, 0, 1),
        "channel": (CHANNEL, 0, 0, 1),
        "proxy": (PROXY, 0, 1, 1),
        "rules": (RULES, 0, 0, 1),
        "learn": (LEARN, 0, 0, 1),
        "membership": (MEMBERSHIP, 0, 0, 1),
        "budgets": (BUDGETS, 0, 0, 1),
        "overload": (OVERLOAD, 0, 0, 1),
    },
)
FILE = Shape({}, {"deployment": (DEPLOYMENT, 1, 1, 1)})


def load(path: str) -> Deployment:
    """Reads and checks a deployment file. Raises FileRefused with every problem, OSError if it can't be read."""
    with open(path, encoding="utf-8") as source:
        top = hcl.parse(source.read(), path)
    problems: list[Problem] = []
    found = hcl.check(top, FILE, path, problems)
    made = None
    if found.blocks["deployment"] and not problems:
        made = _build(found.blocks["deployment"][0], path, problems)
    if problems or made is None:
        raise FileRefused(problems)
    return made


def _only(body: Checked, kind: str, shape: Shape) -> Checked:
    got = body.blocks[kind]
    return got[0] if got else Checked([], body.line, {n: d for n, (_, d) in shape.attributes.items()}, {}, {})


def _build(body: Checked, path: str, problems: list[Problem]) -> Optional[Deployment]:
    ops = tuple(ServedOp(name=op.labels[0], **op.values) for op in body.blocks["op_type"])
    pilots = tuple(PilotPlace(name=p.labels[0], **p.values) for p in body.blocks["pilot"])
    store = StorePlace(**body.blocks["store"][0].values) if body.blocks["store"] else None
    rules = Guarantees(**_only(body, "rules", RULES).values)
    proxy = ProxyTerms(**body.blocks["proxy"][0].values)
    secret = _secret(body, path, problems)
    listed = _listed(body, path, problems)
    if problems:
        return None
    _agree(body, ops, pilots, store, rules, proxy, path, problems)
    return Deployment(
        name=body.labels[0],
        file=path,
        slices=body["slices"],
        zones=tuple(body["zones"]),
        single_owner=body["single_owner"] and body["slices"] > 0,
        pick=body["pick"],
        levels=body["levels"],
        intake_per_s=body["intake_per_s"],
        proxies_most=body["proxies_most"],
        secret=secret,
        op_types=ops,
        pilots=pilots,
        store=store,
        listed=listed,
        channel=Channel(**_only(body, "channel", CHANNEL).values),
        proxy=proxy,
        rules=rules,
        learn=_learn(body),
        membership=MembershipPlan(**body.blocks["membership"][0].values)
        if body.blocks["membership"]
        else None,
        budgets=_budgets(body, len(pilots), store, path, problems),
        overload=_overload(body, ops, path, problems),
    )


def _budgets(
    body: Checked, pilots: int, store: Optional[StorePlace], path: str, problems: list[Problem]
) -> Optional[BudgetTerms]:
    """Sums that can't hold are refused with the line of the budget to blame."""
    if not body.blocks["budgets"]:
        return None
    block = body.blocks["budgets"][0]
    named, lines = {one.labels[0]: BudgetPlan(**one.values) for one in block.blocks["budget"]}, {}
    before = len(problems)
    asks_every = max(MIN_ASK_INTERVAL_US, body.blocks["proxy"][0]["lease"] // HEARTBEATS_PER_LEASE)
    if block["proxy_lease"] < ASKS_PER_LEASE * asks_every:
        line = block.lines.get("proxy_lease", block.line)
        problems.append(
            Problem(
                path,
                line,
                f"proxy_lease is under {ASKS_PER_LEASE * asks_every} us: proxies ask on beats, each {asks_every} us, "
                f"and {ASKS_PER_LEASE} asks have to fit into it",
            )
        )
    if store is None:
        problems.append(Problem(path, block.line, "budgets are given by the store: there is no block store"))
    uses: dict[str, str] = {}
    for one in block.blocks["budget"]:
        name = one.labels[0]
        if name in lines:
            problems.append(Problem(path, one.line, f"budget {name!r} stands twice"))
        lines[name] = one.line
        if one["of_fresh"] and one["use"] != "retries":
            problems.append(Problem(path, one.lines["of_fresh"], "of_fresh has a meaning for retries only"))
        problems += [Problem(path, line, text) for line, text in _kind_of(one)]
        if one["use"] and one["use"] in uses:
            problems.append(
                Problem(path, one.lines["use"], f"{one['use']} are limited by {uses[one['use']]!r} already")
            )
        if one["use"]:
            uses[one["use"]] = name
    problems += [Problem(path, line, text) for line, text in _rights(body, block, uses, store)]
    if len(problems) == before:
        try:
            plan = build_plan(named, pilots)
            for name, planned in named.items():
                if name in plan.children and planned.use:
                    problems.append(
                        Problem(
                            path,
                            lines[name],
                            f"{name!r} has a use, but others draw on it: only the last of a line is spent",
                        )
                    )
                if name not in plan.children and not planned.use:
                    problems.append(
                        Problem(
                            path,
                            lines[name],
                            f"{name!r} has no use, and none draws on it: nobody could spend it",
                        )
                    )
        except InvalidBudget as refused:
            problems.append(Problem(path, lines[refused.budget], f"budget {refused.budget!r}: {refused}"))
    return BudgetTerms(block["lease"], block["proxy_lease"], block["clock_drift"], block["claim_cold"], named)


def _kind_of(one: Checked) -> list[tuple[int, str]]:
    """A budget is a rate or so many at a time, as its use is."""
    name, found = one.labels[0], []
    if bool(one["rate"]) == bool(one["held"]):
        found.append((one.line, f"budget {name!r} has to have either a rate or a number held at a time"))
    elif one["use"] and (one["use"] in CONCURRENCY_USES) != bool(one["held"]):
        found.append(
            (
                one.lines["use"],
                f"{one['use']} are limited by {'held' if one['use'] in CONCURRENCY_USES else 'rate'}",
            )
        )
    if one["held"] and one["floor"] != int(one["floor"]):
        found.append((one.lines["floor"], f"floor = {one['floor']:g}: what is held comes in whole ones"))
    if one["held"] and one["within"]:
        found.append((one.lines["within"], "what is held at a time draws on no other budget"))
    return found


def _rights(
    body: Checked, block: Checked, uses: dict[str, str], store: Optional[StorePlace]
) -> list[tuple[int, str]]:
    """Rights that are held must outlive the charge: who has lost its share and still has its slices would go on moving them."""
    wanted = [
        word
        for word, on in (("claim_cold", block["claim_cold"]), ('use = "handovers"', "handovers" in uses))
        if on
    ]
    if not wanted:
        return []
    found = []
    if not body["slices"]:
        found.append((block.line, f"{wanted[0]} has a meaning for slices only, and slices = 0"))
    stands = block["lease"] * (1 - block["clock_drift"]) * (1 - 1 / ASKS_PER_LEASE)
    if store is not None and stands < store.session_lease:
        found.append(
            (
                block.lines.get("lease", block.line),
                f"{wanted[0]}: a share asked for a quarter of a lease ago stands for another "
                f"{stands / 1e6:.2f} s, less than the store's session_lease of {store.session_lease / 1e6:g} s",
            )
        )
    return found


def _overload(
    body: Checked, ops: tuple[ServedOp, ...], path: str, problems: list[Problem]
) -> Optional[OverloadPlan]:
    if not body.blocks["overload"]:
        return None
    block, costs = body.blocks["overload"][0], {op.name: 1.0 for op in ops}
    if len(body.blocks["pilot"]) > 1 and not body.blocks["membership"]:
        problems.append(
            Problem(
                path,
                block.line,
                "several pilots answer as one only where they hear of each other: there is no block membership",
            )
        )
    if len(ops) > MAX_OP_TYPES:
        problems.append(
            Problem(
                path,
                block.line,
                f"{len(ops)} op types, {MAX_OP_TYPES} at most fit what pilots tell each other",
            )
        )
    seen: set[str] = set()
    for one in block.blocks["op"]:
        name = one.labels[0]
        if name not in costs or name in seen:
            what = "stands twice" if name in seen else f"is none of {', '.join(costs)}"
            problems.append(Problem(path, one.line, f"op {name!r} {what}"))
        seen.add(name)
        costs[name] = one["cost"]
    for op, place in zip(ops, body.blocks["op_type"]):
        if op.earnings <= 0:
            problems.append(
                Problem(
                    path,
                    place.lines.get("earnings", place.line),
                    f"{op.name!r} earns nothing, so nothing tells when it is to be shed",
                )
            )
    return OverloadPlan(costs)


def _learn(body: Checked) -> Optional[LearnTerms]:
    if not body.blocks["learn"]:
        return None
    found = dict(body.blocks["learn"][0].values)
    return LearnTerms(sources=tuple(found.pop("from")), span=found.pop("for"), **found)


def _listed(body: Checked, path: str, problems: list[Problem]) -> ListSource:
    """From the block list or the block roster, of which there must be one."""
    blocks = body.blocks["list"] + body.blocks["roster"]
    if len(blocks) != 1:
        problems.append(
            Problem(path, body.line, f"{len(blocks)} blocks list and roster, one of them is wanted")
        )
    if body.blocks["list"]:
        listed = body.blocks["list"][0]
        if bool(listed["service"]) == bool(listed["file"]):
            problems.append(Problem(path, listed.line, "a list has either service or file"))
        return ListSource(**listed.values)
    if not body.blocks["roster"]:
        return ListSource(None, "", "", 0, False, True)
    block = body.blocks["roster"][0]
    return ListSource(None, "", block["saved"], 0, False, block["gone_binds"], _roster(block, path, problems))


def _roster(block: Checked, path: str, problems: list[Problem]) -> NodeRoster:
    values = dict(block.values)
    if block.labels != ["zookeeper"]:
        problems.append(
            Problem(path, block.line, f'roster {block.labels[0]!r} is unknown; known: "zookeeper"')
        )
    wrong = check_path(values["path"])
    if wrong or values["path"] == "/":
        problems.append(
            Problem(path, block.lines["path"], f"path {values['path']!r}: {wrong or 'it is the root'}")
        )
    if values["port_name"] and values["format"] == "plain":
        problems.append(
            Problem(path, block.lines["port_name"], "port_name has no meaning with the format plain")
        )
    auth_file = values.pop("auth")
    auth = _credentials(auth_file, block, path, problems) if auth_file else ()
    del values["saved"], values["gone_binds"]
    return NodeRoster(auth_file=auth_file, auth=auth, **{**values, "servers": tuple(values["servers"])})


def _credentials(
    name: str, block: Checked, path: str, problems: list[Problem]
) -> tuple[tuple[str, bytes], ...]:
    """Lines such as "digest user:password" of a file that lies beside the deployment file unless its path is absolute."""
    place, line = os.path.join(os.path.dirname(path), name), block.lines["auth"]
    try:
        with open(place, "rb") as source:
            rows = [
                (number, row.strip())
                for number, row in enumerate(source.read().splitlines(), 1)
                if row.strip()
            ]
    except OSError as error:
        problems.append(Problem(path, line, f"auth {place}: {error.strerror}"))
        return ()
    found = []
    for number, row in rows:
        scheme, _, credential = row.partition(b" ")
        if scheme != b"digest" or b":" not in credential:
            problems.append(Problem(path, line, f'auth {place}:{number}: "digest user:password" is allowed'))
        found.append((scheme.decode(errors="replace"), credential))
    if not rows:
        problems.append(Problem(path, line, f"auth {place}: it holds no credential"))
    return tuple(found)


def _secret(body: Checked, path: str, problems: list[Problem]) -> bytes:
    """The first line of the secret's file, which lies beside the deployment file unless its path is absolute."""
    if not body["secret_file"]:
        return b""
    place = os.path.join(os.path.dirname(path), body["secret_file"])
    try:
        with open(place, "rb") as source:
            secret = source.readline().strip()
    except OSError as error:
        problems.append(Problem(path, body.lines["secret_file"], f"secret_file {place}: {error.strerror}"))
        return b""
    if len(secret) < 16:
        problems.append(
            Problem(path, body.lines["secret_file"], f"secret_file {place}: {len(secret)} bytes, 16 at least")
        )
    return secret


def _agree(
    body: Checked,
    ops: tuple[ServedOp, ...],
    pilots: tuple[PilotPlace, ...],
    store: Optional[StorePlace],
    rules: Guarantees,
    proxy: ProxyTerms,
    path: str,
    problems: list[Problem],
) -> None:
    """What is well formed in itself and yet does not fit together."""

    def wrong(line: int, what: str) -> None:
        problems.append(Problem(path, line, what))

    for op, block in zip(ops, body.blocks["op_type"]):
        if op.op_timeout < op.target_latency:
            wrong(block.lines["op_timeout"], f"op_timeout is under the target_latency of {op.name!r}")
        if op.writes and body["single_owner"] and body["slices"] and proxy.in_flight_most < op.op_timeout:
            wrong(
                body.blocks["proxy"][0].lines["in_flight_most"],
                f"in_flight_most is under the op_timeout of {op.name!r}, which writes: a write may outlast it",
            )
    if body["slices"] and store is None:
        wrong(body.line, "a deployment with slices needs a block store")
    if store is not None and store.embedded and len(pilots) > 1:
        wrong(
            body.blocks["store"][0].lines["embedded"],
            f"an embedded store serves one pilot, there are {len(pilots)}",
        )
    if store is not None and store.session_lease < 2 * proxy.lease // 4:
        wrong(body.blocks["store"][0].lines["session_lease"], "session_lease is under half a proxy's lease")
    if rules.drain_grace <= proxy.connect_most + body_transit(body):
        wrong(
            body.line,
            "drain_grace does not exceed connect_most and transit_most together: no drain could be kept",
        )
    for block in body.blocks["roster"]:
        if rules.drain_grace - block["hold"] <= proxy.connect_most + body_transit(body):
            wrong(
                block.lines["hold"],
                "hold leaves no time for a drain: drain_grace less hold does not exceed connect_most and "
                "transit_most together",
            )
    zones = set(body["zones"])
    for place, block in zip(pilots, body.blocks["pilot"]):
        if place.zone and place.zone not in zones:
            wrong(
                block.lines["zone"],
                f"zone {place.zone!r} is none of {', '.join(sorted(zones)) or 'the zones (none)'}",
            )
    for block in body.blocks["learn"]:
        for name in block["from"]:
            if name not in {place.name for place in pilots}:
                wrong(block.lines["from"], f"from names {name!r}, which is no pilot")
    _agree_on_gossip(body, pilots, wrong)
    doors: dict[Address, str] = {}
    doors_wanted: list[tuple[Optional[Address], str, int]] = []
    for place, block in zip(pilots, body.blocks["pilot"]):
        doors_wanted += [
            (place.listen, f"pilot {place.name}", block.line),
            (place.admin, f"admin of {place.name}", block.line),
        ]
    if store is not None:
        doors_wanted.append((store.listen, "store", body.blocks["store"][0].line))
    for door, who, line in doors_wanted:
        if door is not None and door[1]:
            if door in doors:
                wrong(line, f"{door[0]}:{door[1]} is the address of {doors[door]} and of {who}")
            doors[door] = who


def _agree_on_gossip(
    body: Checked, pilots: tuple[PilotPlace, ...], wrong: Callable[[int, str], None]
) -> None:
    """All pilots have an address for it, or none has; no two the same one. Datagrams and streams share its port."""
    planned = bool(body.blocks["membership"])
    seen: dict[Address, str] = {}
    for place, block in zip(pilots, body.blocks["pilot"]):
        if planned and place.gossip is None:
            wrong(
                block.line, f"pilot {place.name!r} has no gossip address, which the block membership asks for"
            )
        if place.gossip is not None and not planned:
            wrong(block.lines["gossip"], "gossip has no meaning without a block membership")
        if place.gossip is not None and place.gossip in seen:
            wrong(block.lines["gossip"], f"gossip of {place.name!r} is that of {seen[place.gossip]!r} too")
        if place.gossip is not None:
            seen[place.gossip] = place.name
            if place.gossip in (place.listen, place.admin):
                wrong(block.lines["gossip"], f"gossip of {place.name!r} is its listen or admin address")


def body_transit(body: Checked) -> int:
    return _only(body, "channel", CHANNEL)["transit_most"]


def changes(old: Deployment, new: Deployment) -> tuple[list[str], list[str]]:
    """What differs: (what a running pilot may take over, what it must refuse), by name."""
    may = {"intake_per_s", "proxies_most", "listed"}
    differing = [
        name
        for name in old.__dataclass_fields__
        if name != "file" and getattr(old, name) != getattr(new, name)
    ]
    return [name for name in differing if name in may], [name for name in differing if name not in may]


__all__ = ["Any", "Deployment", "FileRefused", "changes", "load"]
