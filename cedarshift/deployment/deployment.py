"""The settings of a deployment, loaded from an HCL file. All durations are integers in microseconds."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, Callable, Optional

from cedarshift.budgets.terms import BUDGET_USES, CONCURRENCY_USES, HEARTBEATS_PER_LEASE, build_plan
from cedarshift.codec.zookeeper.jute import check_path
from cedarshift.deployment import hcl
from cedarshift.deployment.hcl import REQUIRED, CheckedBlock, InvalidFile, Problem, Schema
from cedarshift.judge.budgets import ASKS_PER_LEASE, MIN_ASK_INTERVAL_US, InvalidBudget
from cedarshift.overload.digest import MAX_OP_TYPES

Address = tuple[str, int]


DEFAULT_MEMORY_MB = 256  # of a pilot or a store


@dataclass(frozen=True)
class OpTypeSettings:
    """The settings of an op type. `repeats`: "retryable", "deduplicated" or "once-only"."""

    name: str
    target_latency: int
    op_timeout: int
    earnings: float
    late_share: float
    repeats: str
    writes: bool
    own_zone: bool


@dataclass(frozen=True)
class PilotSettings:
    """The addresses and the zone of one pilot."""

    name: str
    listen: Address
    admin: Optional[Address]
    zone: str
    gossip: Optional[Address] = None


@dataclass(frozen=True)
class MembershipSettings:
    """Enables membership tracking among pilots. `period`: the probe period in us."""

    period: int


@dataclass(frozen=True)
class BudgetSettings:
    """A budget of the whole fleet: either `rate` tokens a second or `held` units at a time.

    `burst`: the time in us over which unused tokens of a rate accumulate. `floor`: the amount that each
    pilot has without asking the store. `of_fresh`: the share of a retry that each first try adds to the
    allowance of a proxy.
    """

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
class BudgetSystemSettings:
    """The leases of budget shares and the budgets by name.

    `lease`, `proxy_lease`: from store to pilot and from pilot to proxy, in us. `clock_drift`: the greatest
    drift between clocks, as a fraction of 1. `claim_cold`: a cold endpoint is warmed by the one pilot that
    holds its claim, rather than by one chosen at random without regard to which pilots are alive.
    """

    lease: int
    proxy_lease: int
    clock_drift: float
    claim_cold: bool
    named: dict[str, BudgetSettings]


@dataclass(frozen=True)
class OverloadSettings:
    """Enables coordinated overload control. `costs`: the relative work of an op of each type."""

    costs: dict[str, float]


@dataclass(frozen=True)
class StoreSettings:
    """The address, the file and the lease times of the durable store."""

    listen: Address
    path: str
    embedded: bool
    session_lease: int
    takeover: int
    back_after: int


@dataclass(frozen=True)
class RosterSettings:
    """A ZooKeeper roster: members keep ephemeral nodes under `path`.

    `hold`: how long the removal of a vanished node may be withheld, in us; its grace runs meanwhile.
    `auth`: pairs of (scheme, credential).
    """

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
class ListSettings:
    """The source of the endpoint list: exactly one of `service`, `file` and `nodes`.

    `saved`: the file in which a pilot keeps the newest list for its next start.
    """

    service: Optional[Address]
    file: str
    saved: str
    refresh: int
    asks: bool
    gone_binds: bool
    nodes: Optional[RosterSettings] = None


@dataclass(frozen=True)
class ChannelSettings:
    """The rate and size limits of the channel from one pilot to its proxies."""

    lines_per_s: float
    lines_waiting_most: float
    lines_per_message: float
    messages_most: int
    messages_span: int
    transit_most: int


@dataclass(frozen=True)
class ProxySettings:
    """The settings that every proxy of the deployment follows."""

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
class RuleSettings:
    """The time limits and thresholds of the service's rules."""

    empty_for: int
    drain_grace: int
    ask_within: int
    warm_within: int
    cold_share: float
    tip_multiple: float
    tip_after: int


@dataclass(frozen=True)
class LearningSettings:
    """Enables learning from other pilots. `sources`: the pilots to ask, all the others if empty."""

    sources: tuple[str, ...]
    duration: int
    again: int
    patience: int
    answer_within: int
    lend_share: float
    compress: bool


@dataclass(frozen=True)
class Deployment:
    """The settings of a deployment. `file`: the path they were loaded from."""

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
    op_types: tuple[OpTypeSettings, ...]
    pilots: tuple[PilotSettings, ...]
    store: Optional[StoreSettings]
    listed: ListSettings
    channel: ChannelSettings
    proxy: ProxySettings
    rules: RuleSettings
    learn: Optional[LearningSettings] = None
    membership: Optional[MembershipSettings] = None
    budgets: Optional[BudgetSystemSettings] = None
    overload: Optional[OverloadSettings] = None
    memory: int = DEFAULT_MEMORY_MB  # MB that a pilot or a store may use

    def resolve_path(self, path: str) -> str:
        """Resolves a path relative to the directory of the deployment file; an empty path stays empty."""
        return os.path.join(os.path.dirname(self.file), path) if path else ""

    def pilot(self, name: str) -> PilotSettings:
        """Returns the settings of a pilot. Raises KeyError with the known names."""
        for settings in self.pilots:
            if settings.name == name:
                return settings
        raise KeyError(
            f"no pilot {name!r} in {self.file}; there are {', '.join(p.name for p in self.pilots)}"
        )


OP_TYPE_SCHEMA = Schema(
    {
        "target_latency": (hcl.duration(1_000), REQUIRED),
        "op_timeout": (hcl.duration(1_000), REQUIRED),
        "earnings": (hcl.number(), 1.0),
        "late_share": (hcl.number(0, 1), 0.0),
        "repeats": (hcl.choice("retryable", "deduplicated", "once-only"), REQUIRED),
        "writes": (hcl.boolean, False),
        "own_zone": (hcl.boolean, False),
    }
)
PILOT_SCHEMA = Schema(
    {
        "listen": (hcl.address, REQUIRED),
        "admin": (hcl.address, None),
        "zone": (hcl.string, ""),
        "gossip": (hcl.address, None),
    }
)
MEMBERSHIP_SCHEMA = Schema({"period": (hcl.duration(50_000, 60_000_000), 1_000_000)})
BUDGET_SCHEMA = Schema(
    {
        "use": (hcl.choice(*BUDGET_USES), ""),
        "rate": (hcl.number(0.001, 1e9), 0.0),
        "held": (hcl.integer(1, 1_000_000), 0),
        "burst": (hcl.duration(1_000, 60_000_000), 500_000),
        "floor": (hcl.number(0, 1e9), 0.0),
        "within": (hcl.string, ""),
        "priority": (hcl.integer(0, 100), 0),
        "weight": (hcl.integer(1, 1_000), 1),
        "of_fresh": (hcl.number(0, 1), 0.0),
    }
)
BUDGETS_SCHEMA = Schema(
    {
        "lease": (hcl.duration(200_000, 60_000_000), 3_000_000),
        "proxy_lease": (hcl.duration(200_000, 60_000_000), 1_000_000),
        "clock_drift": (hcl.number(0, 0.2), 0.02),
        "claim_cold": (hcl.boolean, False),
    },
    {"budget": (BUDGET_SCHEMA, 1, 1, 64)},
)
STORE_SCHEMA = Schema(
    {
        "listen": (hcl.address, REQUIRED),
        "path": (hcl.string, REQUIRED),
        "embedded": (hcl.boolean, False),
        "session_lease": (hcl.duration(100_000), 2_000_000),
        "takeover": (hcl.duration(), 500_000),
        "back_after": (hcl.duration(), 3_000_000),
    }
)
LIST_SCHEMA = Schema(
    {
        "service": (hcl.address, None),
        "file": (hcl.string, ""),
        "saved": (hcl.string, ""),
        "refresh": (hcl.duration(10_000), 250_000),
        "asks": (hcl.boolean, False),
        "gone_binds": (hcl.boolean, True),
    }
)
ROSTER_SCHEMA = Schema(
    {
        "servers": (hcl.addresses, REQUIRED),
        "path": (hcl.string, REQUIRED),
        "session_timeout": (hcl.duration(400_000), 6_000_000),
        "format": (hcl.choice("serverset", "curator", "plain"), "serverset"),
        "port_name": (hcl.string, ""),
        "watch": (hcl.choice("recursive", "one-shot"), "recursive"),
        "read_only": (hcl.boolean, True),
        "hold": (hcl.duration(), 1_000_000),
        "auth": (hcl.string, ""),
        "saved": (hcl.string, ""),
        "gone_binds": (hcl.boolean, True),
    }
)
CHANNEL_SCHEMA = Schema(
    {
        "lines_per_s": (hcl.number(1), 6_000.0),
        "lines_waiting_most": (hcl.number(1), 9_000.0),
        "lines_per_message": (hcl.number(), 16.0),
        "messages_most": (hcl.integer(), 0),
        "messages_span": (hcl.duration(), 10_000_000),
        "transit_most": (hcl.duration(), 250_000),
    }
)
PROXY_SCHEMA = Schema(
    {
        "lease": (hcl.duration(50_000), 800_000),
        "in_flight_most": (hcl.duration(1_000), REQUIRED),
        "buffer_for": (hcl.duration(), 200_000),
        "connect_most": (hcl.duration(1_000), 500_000),
        "report_every": (hcl.duration(50_000), 2_000_000),
        "apply_cost": (hcl.duration(), 0),
        "outlier_after": (hcl.integer(), 3),
        "retry_default": (hcl.integer(0, 3), 0),
        "silence": (hcl.duration(500_000), 4_000_000),
        "joins_per_s": (hcl.number(1, 100_000), 500.0),
    }
)
OVERLOAD_SCHEMA = Schema({}, {"op": (Schema({"cost": (hcl.number(0.001, 1_000), REQUIRED)}), 1, 0, 64)})
RULES_SCHEMA = Schema(
    {
        "empty_for": (hcl.duration(), 12_000_000),
        "drain_grace": (hcl.duration(100_000), 3_000_000),
        "ask_within": (hcl.duration(), 10_000_000),
        "warm_within": (hcl.duration(), 15_000_000),
        "cold_share": (hcl.number(0.01, 1), 1.0),
        "tip_multiple": (hcl.number(1), 3.0),
        "tip_after": (hcl.duration(), 1_500_000),
    }
)
LEARN_SCHEMA = Schema(
    {
        "from": (hcl.strings, []),
        "for": (hcl.duration(), 20_000_000),
        "again": (hcl.duration(100_000), 2_000_000),
        "patience": (hcl.duration(), 2_000_000),
        "answer_within": (hcl.duration(10_000), 2_000_000),
        "lend_share": (hcl.number(0.001, 0.5), 0.05),
        "compress": (hcl.boolean, True),
    }
)
DEPLOYMENT_SCHEMA = Schema(
    {
        "slices": (hcl.integer(0, 60_000), REQUIRED),
        "zones": (hcl.strings, []),
        "single_owner": (hcl.boolean, True),
        "pick": (hcl.choice("even", "chance"), "even"),
        "levels": (hcl.choice("fraction", "none"), "fraction"),
        "intake_per_s": (hcl.number(1), 150.0),
        "proxies_most": (hcl.integer(1), 1_000),
        "memory": (hcl.integer(32, 1 << 20), DEFAULT_MEMORY_MB),
        "secret_file": (hcl.string, ""),
    },
    {
        "op_type": (OP_TYPE_SCHEMA, 1, 1, 64),
        "pilot": (PILOT_SCHEMA, 1, 1, 64),
        "store": (STORE_SCHEMA, 0, 0, 1),
        "list": (LIST_SCHEMA, 0, 0, 1),
        "roster": (ROSTER_SCHEMA, 1, 0, 1),
        "channel": (CHANNEL_SCHEMA, 0, 0, 1),
        "proxy": (PROXY_SCHEMA, 0, 1, 1),
        "rules": (RULES_SCHEMA, 0, 0, 1),
        "learn": (LEARN_SCHEMA, 0, 0, 1),
        "membership": (MEMBERSHIP_SCHEMA, 0, 0, 1),
        "budgets": (BUDGETS_SCHEMA, 0, 0, 1),
        "overload": (OVERLOAD_SCHEMA, 0, 0, 1),
    },
)
FILE_SCHEMA = Schema({}, {"deployment": (DEPLOYMENT_SCHEMA, 1, 1, 1)})


def load(path: str) -> Deployment:
    """Reads a deployment file. Raises InvalidFile with every problem, OSError if it can't be read."""
    with open(path, encoding="utf-8") as source:
        top = hcl.parse(source.read(), path)
    problems: list[Problem] = []
    found = hcl.check(top, FILE_SCHEMA, path, problems)
    deployment = None
    if found.blocks["deployment"] and not problems:
        deployment = _build(found.blocks["deployment"][0], path, problems)
    if problems or deployment is None:
        raise InvalidFile(problems)
    return deployment


def _optional_block(body: CheckedBlock, kind: str, schema: Schema) -> CheckedBlock:
    """Returns the block of a kind that may occur once, or one with the defaults of its schema."""
    blocks = body.blocks[kind]
    return (
        blocks[0]
        if blocks
        else CheckedBlock([], body.line, {n: d for n, (_, d) in schema.attributes.items()}, {}, {})
    )


def _build(body: CheckedBlock, path: str, problems: list[Problem]) -> Optional[Deployment]:
    ops = tuple(OpTypeSettings(name=op.labels[0], **op.values) for op in body.blocks["op_type"])
    pilots = tuple(PilotSettings(name=p.labels[0], **p.values) for p in body.blocks["pilot"])
    store = StoreSettings(**body.blocks["store"][0].values) if body.blocks["store"] else None
    rules = RuleSettings(**_optional_block(body, "rules", RULES_SCHEMA).values)
    proxy = ProxySettings(**body.blocks["proxy"][0].values)
    secret = _read_secret(body, path, problems)
    listed = _build_list(body, path, problems)
    if problems:
        return None
    _check_consistency(body, ops, pilots, store, rules, proxy, path, problems)
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
        memory=body["memory"],
        secret=secret,
        op_types=ops,
        pilots=pilots,
        store=store,
        listed=listed,
        channel=ChannelSettings(**_optional_block(body, "channel", CHANNEL_SCHEMA).values),
        proxy=proxy,
        rules=rules,
        learn=_build_learning(body),
        membership=MembershipSettings(**body.blocks["membership"][0].values)
        if body.blocks["membership"]
        else None,
        budgets=_build_budgets(body, len(pilots), store, path, problems),
        overload=_build_overload(body, ops, path, problems),
    )


def _build_budgets(
    body: CheckedBlock, pilots: int, store: Optional[StoreSettings], path: str, problems: list[Problem]
) -> Optional[BudgetSystemSettings]:
    """Builds the budgets; reports amounts that don't add up at the line of the budget at fault."""
    if not body.blocks["budgets"]:
        return None
    block = body.blocks["budgets"][0]
    named, line_of = (
        {budget.labels[0]: BudgetSettings(**budget.values) for budget in block.blocks["budget"]},
        {},
    )
    problems_before = len(problems)
    ask_interval = max(MIN_ASK_INTERVAL_US, body.blocks["proxy"][0]["lease"] // HEARTBEATS_PER_LEASE)
    if block["proxy_lease"] < ASKS_PER_LEASE * ask_interval:
        line = block.lines.get("proxy_lease", block.line)
        problems.append(
            Problem(
                path,
                line,
                f"proxy_lease is under {ASKS_PER_LEASE * ask_interval} us: proxies ask with each heartbeat, "
                f"every {ask_interval} us, and {ASKS_PER_LEASE} asks must fit into a lease",
            )
        )
    if store is None:
        problems.append(
            Problem(path, block.line, "budgets are allocated by the store: there is no block store")
        )
    name_by_use: dict[str, str] = {}
    for budget in block.blocks["budget"]:
        name = budget.labels[0]
        if name in line_of:
            problems.append(Problem(path, budget.line, f"budget {name!r} is declared twice"))
        line_of[name] = budget.line
        if budget["of_fresh"] and budget["use"] != "retries":
            problems.append(Problem(path, budget.lines["of_fresh"], "of_fresh applies to retries only"))
        problems += [Problem(path, line, message) for line, message in _budget_limit_errors(budget)]
        if budget["use"] and budget["use"] in name_by_use:
            problems.append(
                Problem(
                    path,
                    budget.lines["use"],
                    f"{budget['use']} are limited by {name_by_use[budget['use']]!r} already",
                )
            )
        if budget["use"]:
            name_by_use[budget["use"]] = name
    problems += [
        Problem(path, line, message) for line, message in _held_lease_errors(body, block, name_by_use, store)
    ]
    if len(problems) == problems_before:
        try:
            plan = build_plan(named, pilots)
            for name, planned in named.items():
                if name in plan.children and planned.use:
                    problems.append(
                        Problem(
                            path,
                            line_of[name],
                            f"{name!r} has a use, but others draw on it: only a budget without children "
                            "can be spent",
                        )
                    )
                if name not in plan.children and not planned.use:
                    problems.append(
                        Problem(
                            path,
                            line_of[name],
                            f"{name!r} has no use, and no budget draws on it: nobody could spend it",
                        )
                    )
        except InvalidBudget as error:
            problems.append(Problem(path, line_of[error.budget], f"budget {error.budget!r}: {error}"))
    return BudgetSystemSettings(
        block["lease"], block["proxy_lease"], block["clock_drift"], block["claim_cold"], named
    )


def _budget_limit_errors(budget: CheckedBlock) -> list[tuple[int, str]]:
    """Returns (line, message) for each conflict between the use of a budget and its kind of limit."""
    name, errors = budget.labels[0], []
    if bool(budget["rate"]) == bool(budget["held"]):
        errors.append((budget.line, f"budget {name!r} needs either a rate or a number held at a time"))
    elif budget["use"] and (budget["use"] in CONCURRENCY_USES) != bool(budget["held"]):
        errors.append(
            (
                budget.lines["use"],
                f"{budget['use']} are limited by {'held' if budget['use'] in CONCURRENCY_USES else 'rate'}",
            )
        )
    if budget["held"] and budget["floor"] != int(budget["floor"]):
        errors.append(
            (budget.lines["floor"], f"floor = {budget['floor']:g}: held budgets are counted in whole units")
        )
    if budget["held"] and budget["within"]:
        errors.append((budget.lines["within"], "a held budget draws on no other budget"))
    return errors


def _held_lease_errors(
    body: CheckedBlock, block: CheckedBlock, name_by_use: dict[str, str], store: Optional[StoreSettings]
) -> list[tuple[int, str]]:
    """Returns (line, message) where the lease of a held budget may expire before the store session does.

    A pilot would otherwise keep its slices, and go on moving them, after its share has expired.
    """
    features = [
        feature
        for feature, enabled in (
            ("claim_cold", block["claim_cold"]),
            ('use = "handovers"', "handovers" in name_by_use),
        )
        if enabled
    ]
    if not features:
        return []
    errors = []
    if not body["slices"]:
        errors.append((block.line, f"{features[0]} applies to slices only, and slices = 0"))
    remaining = block["lease"] * (1 - block["clock_drift"]) * (1 - 1 / ASKS_PER_LEASE)
    if store is not None and remaining < store.session_lease:
        errors.append(
            (
                block.lines.get("lease", block.line),
                f"{features[0]}: a share requested a quarter of a lease ago is valid for another "
                f"{remaining / 1e6:.2f} s, less than the store's session_lease of "
                f"{store.session_lease / 1e6:g} s",
            )
        )
    return errors


def _build_overload(
    body: CheckedBlock, ops: tuple[OpTypeSettings, ...], path: str, problems: list[Problem]
) -> Optional[OverloadSettings]:
    if not body.blocks["overload"]:
        return None
    block, costs = body.blocks["overload"][0], {op.name: 1.0 for op in ops}
    if len(body.blocks["pilot"]) > 1 and not body.blocks["membership"]:
        problems.append(
            Problem(
                path,
                block.line,
                "several pilots coordinate through membership: there is no block membership",
            )
        )
    if len(ops) > MAX_OP_TYPES:
        problems.append(
            Problem(
                path,
                block.line,
                f"{len(ops)} op types, the digest that pilots exchange holds at most {MAX_OP_TYPES}",
            )
        )
    seen_names: set[str] = set()
    for cost_block in block.blocks["op"]:
        name = cost_block.labels[0]
        if name not in costs or name in seen_names:
            reason = "is declared twice" if name in seen_names else f"is none of {', '.join(costs)}"
            problems.append(Problem(path, cost_block.line, f"op {name!r} {reason}"))
        seen_names.add(name)
        costs[name] = cost_block["cost"]
    for op, op_block in zip(ops, body.blocks["op_type"]):
        if op.earnings <= 0:
            problems.append(
                Problem(
                    path,
                    op_block.lines.get("earnings", op_block.line),
                    f"{op.name!r} earns nothing, so its shedding order is undefined",
                )
            )
    return OverloadSettings(costs)


def _build_learning(body: CheckedBlock) -> Optional[LearningSettings]:
    if not body.blocks["learn"]:
        return None
    values = dict(body.blocks["learn"][0].values)
    return LearningSettings(sources=tuple(values.pop("from")), duration=values.pop("for"), **values)


def _build_list(body: CheckedBlock, path: str, problems: list[Problem]) -> ListSettings:
    """Builds the list source from the block list or roster; exactly one of them is required."""
    blocks = body.blocks["list"] + body.blocks["roster"]
    if len(blocks) != 1:
        problems.append(
            Problem(path, body.line, f"{len(blocks)} blocks list and roster, exactly one is required")
        )
    if body.blocks["list"]:
        list_block = body.blocks["list"][0]
        if bool(list_block["service"]) == bool(list_block["file"]):
            problems.append(Problem(path, list_block.line, "a list needs either service or file"))
        return ListSettings(**list_block.values)
    if not body.blocks["roster"]:
        return ListSettings(None, "", "", 0, False, True)
    roster = body.blocks["roster"][0]
    return ListSettings(
        None, "", roster["saved"], 0, False, roster["gone_binds"], _build_roster(roster, path, problems)
    )


def _build_roster(block: CheckedBlock, path: str, problems: list[Problem]) -> RosterSettings:
    values = dict(block.values)
    if block.labels != ["zookeeper"]:
        problems.append(
            Problem(path, block.line, f'roster {block.labels[0]!r} is unknown; known: "zookeeper"')
        )
    path_error = check_path(values["path"])
    if path_error or values["path"] == "/":
        problems.append(
            Problem(path, block.lines["path"], f"path {values['path']!r}: {path_error or 'it is the root'}")
        )
    if values["port_name"] and values["format"] == "plain":
        problems.append(
            Problem(path, block.lines["port_name"], "port_name has no meaning with the format plain")
        )
    auth_file = values.pop("auth")
    auth = _read_credentials(auth_file, block, path, problems) if auth_file else ()
    del values["saved"], values["gone_binds"]
    return RosterSettings(auth_file=auth_file, auth=auth, **{**values, "servers": tuple(values["servers"])})


def _read_credentials(
    name: str, block: CheckedBlock, path: str, problems: list[Problem]
) -> tuple[tuple[str, bytes], ...]:
    """Reads lines such as "digest user:password" from a path relative to the deployment file's directory."""
    credentials_path, line = os.path.join(os.path.dirname(path), name), block.lines["auth"]
    try:
        with open(credentials_path, "rb") as source:
            rows = [
                (number, row.strip())
                for number, row in enumerate(source.read().splitlines(), 1)
                if row.strip()
            ]
    except OSError as error:
        problems.append(Problem(path, line, f"auth {credentials_path}: {error.strerror}"))
        return ()
    credentials = []
    for number, row in rows:
        scheme, _, credential = row.partition(b" ")
        if scheme != b"digest" or b":" not in credential:
            problems.append(
                Problem(path, line, f'auth {credentials_path}:{number}: "digest user:password" is allowed')
            )
        credentials.append((scheme.decode(errors="replace"), credential))
    if not rows:
        problems.append(Problem(path, line, f"auth {credentials_path}: it contains no credentials"))
    return tuple(credentials)


def _read_secret(body: CheckedBlock, path: str, problems: list[Problem]) -> bytes:
    """Reads the first line of the secret file, whose path is relative to the deployment file's directory."""
    if not body["secret_file"]:
        return b""
    secret_path = os.path.join(os.path.dirname(path), body["secret_file"])
    try:
        with open(secret_path, "rb") as source:
            secret = source.readline().strip()
    except OSError as error:
        problems.append(
            Problem(path, body.lines["secret_file"], f"secret_file {secret_path}: {error.strerror}")
        )
        return b""
    if len(secret) < 16:
        problems.append(
            Problem(
                path,
                body.lines["secret_file"],
                f"secret_file {secret_path}: {len(secret)} bytes, at least 16 are required",
            )
        )
    return secret


def _check_consistency(
    body: CheckedBlock,
    ops: tuple[OpTypeSettings, ...],
    pilots: tuple[PilotSettings, ...],
    store: Optional[StoreSettings],
    rules: RuleSettings,
    proxy: ProxySettings,
    path: str,
    problems: list[Problem],
) -> None:
    """Reports settings that are valid on their own but contradict each other."""

    def report(line: int, message: str) -> None:
        problems.append(Problem(path, line, message))

    for op, block in zip(ops, body.blocks["op_type"]):
        if op.op_timeout < op.target_latency:
            report(block.lines["op_timeout"], f"op_timeout is under the target_latency of {op.name!r}")
        if op.writes and body["single_owner"] and body["slices"] and proxy.in_flight_most < op.op_timeout:
            report(
                body.blocks["proxy"][0].lines["in_flight_most"],
                f"in_flight_most is under the op_timeout of {op.name!r}, which writes: "
                "a write may outlast it",
            )
    if body["slices"] and store is None:
        report(body.line, "a deployment with slices needs a block store")
    if store is not None and store.embedded and len(pilots) > 1:
        report(
            body.blocks["store"][0].lines["embedded"],
            f"an embedded store serves one pilot, there are {len(pilots)}",
        )
    if store is not None and store.session_lease < 2 * proxy.lease // 4:
        report(body.blocks["store"][0].lines["session_lease"], "session_lease is under half a proxy's lease")
    if rules.drain_grace <= proxy.connect_most + _max_transit_us(body):
        report(
            body.line,
            "drain_grace does not exceed the sum of connect_most and transit_most: "
            "no endpoint could drain in time",
        )
    for block in body.blocks["roster"]:
        if rules.drain_grace - block["hold"] <= proxy.connect_most + _max_transit_us(body):
            report(
                block.lines["hold"],
                "hold leaves no time for a drain: drain_grace minus hold does not exceed the sum of "
                "connect_most and transit_most",
            )
    zones = set(body["zones"])
    for settings, block in zip(pilots, body.blocks["pilot"]):
        if settings.zone and settings.zone not in zones:
            report(
                block.lines["zone"],
                f"zone {settings.zone!r} is none of {', '.join(sorted(zones)) or 'the zones (none)'}",
            )
    for block in body.blocks["learn"]:
        for name in block["from"]:
            if name not in {settings.name for settings in pilots}:
                report(block.lines["from"], f"from names {name!r}, which is not a pilot")
    _check_gossip_addresses(body, pilots, report)
    owner_by_address: dict[Address, str] = {}
    configured_addresses: list[tuple[Optional[Address], str, int]] = []
    for settings, block in zip(pilots, body.blocks["pilot"]):
        configured_addresses += [
            (settings.listen, f"pilot {settings.name}", block.line),
            (settings.admin, f"admin of {settings.name}", block.line),
        ]
    if store is not None:
        configured_addresses.append((store.listen, "store", body.blocks["store"][0].line))
    for address, owner, line in configured_addresses:
        if address is not None and address[1]:
            if address in owner_by_address:
                report(
                    line,
                    f"{address[0]}:{address[1]} is the address of {owner_by_address[address]} and of {owner}",
                )
            owner_by_address[address] = owner


def _check_gossip_addresses(
    body: CheckedBlock, pilots: tuple[PilotSettings, ...], report: Callable[[int, str], None]
) -> None:
    """Checks that all pilots or none have a gossip address, and that each address is used once.

    Gossip uses datagrams and streams on the same port.
    """
    enabled = bool(body.blocks["membership"])
    name_by_address: dict[Address, str] = {}
    for settings, block in zip(pilots, body.blocks["pilot"]):
        if enabled and settings.gossip is None:
            report(
                block.line,
                f"pilot {settings.name!r} has no gossip address, which the block membership requires",
            )
        if settings.gossip is not None and not enabled:
            report(block.lines["gossip"], "gossip has no meaning without a block membership")
        if settings.gossip is not None and settings.gossip in name_by_address:
            report(
                block.lines["gossip"],
                f"gossip of {settings.name!r} is also that of {name_by_address[settings.gossip]!r}",
            )
        if settings.gossip is not None:
            name_by_address[settings.gossip] = settings.name
            if settings.gossip in (settings.listen, settings.admin):
                report(block.lines["gossip"], f"gossip of {settings.name!r} is its listen or admin address")


def _max_transit_us(body: CheckedBlock) -> int:
    return _optional_block(body, "channel", CHANNEL_SCHEMA)["transit_most"]


def diff_settings(old: Deployment, new: Deployment) -> tuple[list[str], list[str]]:
    """Names the settings that differ: (those a running pilot can reload, those that need a restart)."""
    reloadable = {"intake_per_s", "proxies_most", "listed"}
    changed = [
        name
        for name in old.__dataclass_fields__
        if name != "file" and getattr(old, name) != getattr(new, name)
    ]
    return [name for name in changed if name in reloadable], [
        name for name in changed if name not in reloadable
    ]


__all__ = ["Any", "Deployment", "InvalidFile", "diff_settings", "load"]
