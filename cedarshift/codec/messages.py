"""The messages of the main protocol, encoded in MessagePack. Durations are integer microseconds.

Messages are encoded as maps: newer minor versions may add fields, which older ones ignore. Records within
them (`Line`, `Level`, ...) are encoded as arrays, to which fields may be appended.
"""

from __future__ import annotations

from typing import Annotated, Optional

import msgspec

# Protocol version.
MAJOR = 1
MINOR = 0

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
TableId = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
ShortString = Annotated[str, msgspec.Meta(max_length=256)]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A record inside a message, encoded as an array."""


class Line(Row, frozen=True, array_like=True):
    """A line of a routing table; weight 0 removes it. `epoch`: the slice epoch under which it was ordered."""

    table: TableId
    endpoint: ShortString
    weight: NonNegativeFloat = 1.0
    epoch: NonNegativeInt = 0


class Level(Row, frozen=True, array_like=True):
    """The share of ops of some types that is admitted to a table.

    `table` 65535: all tables. `mask`: bit i stands for op type i; 0: all op types. `retries`: 0 for none, 1
    for one if the first try certainly did not run, 2 for one after any failure, 3 for two. `epoch`: as in
    `Line`."""

    table: TableId
    mask: NonNegativeInt
    share: NonNegativeFloat
    retries: NonNegativeInt = 0
    epoch: NonNegativeInt = 0


class EndpointStats(Row, frozen=True, array_like=True):
    """Outcomes of tries at an endpoint, as seen by a proxy.

    `took`: mean time of the acked tries (us). `span`: period covered (us). `full`: aborted tries that the
    endpoint rejected for lack of capacity. `open`: tries in flight."""

    endpoint: ShortString
    tries: NonNegativeInt
    aborted: NonNegativeInt
    took: NonNegativeInt
    span: NonNegativeInt
    full: NonNegativeInt = 0
    open: NonNegativeInt = 0


class SliceStats(Row, frozen=True, array_like=True):
    """Ops that arrived for a slice in `span` microseconds.

    `op_type`: index of the op type. `unanswered`: ops that were admitted but not answered."""

    slice: TableId
    op_type: NonNegativeInt
    ops: NonNegativeInt
    unanswered: NonNegativeInt
    span: NonNegativeInt


class SliceState(Row, frozen=True, array_like=True):
    """A slice in the store: epoch of its assignment to a pilot, version, owning endpoint ("" for none) and
    levels."""

    slice: TableId
    epoch: NonNegativeInt
    version: NonNegativeInt
    owner: ShortString
    levels: list[Level] = []


class SliceWrite(Row, frozen=True, array_like=True):
    """A write to a slice in the store, denied unless `epoch` is that of the pilot's assignment.

    `owner` None keeps the owner, "" clears it; `levels` None keeps the levels."""

    slice: TableId
    epoch: NonNegativeInt
    owner: Optional[ShortString]
    levels: Optional[list[Level]] = None


class DeniedWrite(Row, frozen=True, array_like=True):
    """A write that the store rejected, with the reason."""

    slice: int
    epoch: int
    reason: str


class LentEndpointStats(Row, frozen=True, array_like=True):
    """Endpoint outcomes received by the lending pilot `age` us ago; other fields as in `EndpointStats`."""

    age: NonNegativeInt
    tries: NonNegativeInt
    aborted: NonNegativeInt
    took: NonNegativeInt
    span: NonNegativeInt
    zone: ShortString


class EndpointFact(Row, frozen=True, array_like=True):
    """What a pilot knows about an endpoint. Ages are in us when the lender answers; -1 if unknown.

    `source` and `rev`: the list this comes from; `confirmed`: age of that list's last answer. `origin`:
    incarnation of the pilot that observed it directly; `hops`: number of times it has been forwarded since.
    `told`: age of the report that it leaves. `start`: identifies its process, `started`: age of that.
    `sick_left`: us that it still counts as sick. `sums`: its outcomes."""

    endpoint: ShortString
    phase: ShortString
    start: ShortString
    size: NonNegativeFloat
    zone: ShortString
    confirmed: NonNegativeInt
    told: int
    started: int
    sick_left: NonNegativeInt
    sums: list[LentEndpointStats]
    source: ShortString
    rev: NonNegativeInt
    origin: ShortString
    hops: NonNegativeInt


class LentSliceStats(Row, frozen=True, array_like=True):
    """Slice ops received by the lending pilot `age` us ago; other fields as in `SliceStats`."""

    age: NonNegativeInt
    op_type: ShortString
    ops: NonNegativeInt
    unanswered: NonNegativeInt
    span: NonNegativeInt


class SliceFact(Row, frozen=True, array_like=True):
    """What a pilot knows about a slice. `heats`: its ops; `origin` and `hops` as in `EndpointFact`."""

    slice: TableId
    heats: list[LentSliceStats]
    origin: ShortString
    hops: NonNegativeInt


class ProxyFact(Row, frozen=True, array_like=True):
    """A proxy joined to the lending pilot: its zone and recent ops per second."""

    id: ShortString
    zone: ShortString
    rate: NonNegativeFloat


class BudgetSpec(Row, frozen=True, array_like=True):
    """A budget that proxies spend from. `use`: the activity that it limits, such as "retries".

    `burst`: time (us) over which unused tokens accumulate. `of_fresh`: tokens earned per fresh op, 0 for no
    such limit. `drift`: assumed relative clock drift."""

    name: ShortString
    use: ShortString
    burst: NonNegativeInt
    of_fresh: NonNegativeFloat
    drift: NonNegativeFloat


class BudgetRequest(Row, frozen=True, array_like=True):
    """A request for a share of a budget.

    `demand` and `amount` are in thousandths of a token per second, or units of a budget that is held.
    `number` and `amount`: the grant currently held. `newest`: the newest grant number seen. `weight`: number
    of spenders this request stands for."""

    budget: ShortString
    demand: NonNegativeInt
    number: NonNegativeInt = 0
    amount: NonNegativeInt = 0
    newest: NonNegativeInt = 0
    weight: NonNegativeInt = 1


class BudgetGrant(Row, frozen=True, array_like=True):
    """A share of a budget, granted for `span` us from the request; `amount` is in units of `BudgetRequest`.

    Higher numbers replace lower ones."""

    budget: ShortString
    number: NonNegativeInt
    amount: NonNegativeInt
    span: NonNegativeInt


class RequestedClaim(Row, frozen=True, array_like=True):
    """A claim to exclusive use of the resource `thing`, and whether the requester holds it now.

    Claims missing from a later request are released."""

    thing: ShortString
    held: bool


class GrantedClaim(Row, frozen=True, array_like=True):
    """Exclusive use of a resource for `span` us from the request."""

    thing: ShortString
    span: NonNegativeInt


class OpTypeStats(Row, frozen=True, array_like=True):
    """Ops of a type that arrived for a pilot's slices, with their outcomes.

    `fresh`: first tries of an op by its caller, `repeats`: later ones. `let_in`: admitted ops.
    `full`: ops rejected by endpoints for lack of capacity. `took`: mean time of the acked ops (us). `span`:
    period covered (us)."""

    op_type: NonNegativeInt
    fresh: NonNegativeInt
    repeats: NonNegativeInt
    let_in: NonNegativeInt
    acked: NonNegativeInt
    aborted: NonNegativeInt
    full: NonNegativeInt
    took: NonNegativeInt
    span: NonNegativeInt


class EndpointShare(Row, frozen=True, array_like=True):
    """An endpoint whose admitted share differs from the fleet's."""

    endpoint: ShortString
    share: NonNegativeFloat


class AdmissionPolicy(Row, frozen=True, array_like=True):
    """What proxies admit.

    `share`: admitted part of all work. `order`: op types by priority; each is admitted in full before the
    next. `mix`: part of each op type in the offered work. `again`: repeats per fresh op. `wait`: us that
    rejected callers are asked to wait. `own`: endpoints with a share of their own."""

    state: ShortString
    share: NonNegativeFloat
    again: NonNegativeFloat
    wait: NonNegativeInt
    order: list[int] = []
    mix: list[NonNegativeFloat] = []
    own: list[EndpointShare] = []


class Message(msgspec.Struct, omit_defaults=True):
    """The body of a frame, encoded as a map."""


class Greet(Message):
    """First message of the accepting side: its identity and a challenge for authentication."""

    deployment: str
    role: str
    id: str
    challenge: bytes
    minor: int = MINOR


class Hello(Message):
    """First message of the dialing side. `proof`: HMAC-SHA256 of challenge and id."""

    deployment: str
    role: str
    id: str
    zone: str = ""
    proof: bytes = b""
    challenge: bytes = b""
    minor: int = MINOR


class Welcome(Message):
    """Accepts a Hello. `session`: its number.

    `lease`, `beat_every` (interval of heartbeats), `report_every`: us. `apply_cost`: us that the
    proxy takes to apply a table line. `proof`: as in the Hello, over the Hello's challenge and this
    side's id. `loads`: whether the proxy is to report `OpTypeStats`."""

    session: int
    lease: int = 0
    beat_every: int = 0
    report_every: int = 0
    apply_cost: int = 0
    proof: bytes = b""
    budgets: list[BudgetSpec] = []
    loads: bool = False


class Bye(Message):
    """Last message before closing. `after`: minimum delay before a retry (us)."""

    code: str
    reason: str = ""
    after: NonNegativeInt = 0


class Ping(Message):
    """Asks for a Pong with the same nonce."""

    nonce: int = 0


class Pong(Message):
    """Answers a Ping."""

    nonce: int = 0


class Snapshot(Message):
    """Everything the pilot is in charge of for this proxy; replaces what this pilot sent before.

    `slices` if the site has slices, `table` and `lines` otherwise. `levels`: those that apply to all
    slices."""

    slices: list[SliceState] = []
    table: int = -1
    lines: list[Line] = []
    levels: list[Level] = []


class Order(Message):
    """A change of the tables. `seq` increases by one per message of the session.

    `waited`: us spent in the pilot's send queue. `mark`: if set, the proxy is to answer with an Ack of it."""

    seq: int
    waited: int = 0
    lines: list[Line] = []
    levels: list[Level] = []
    mark: Optional[int] = None


class SliceAssignment(Message):
    """Slices newly assigned to this pilot, with their state in the store, and slices taken away from it."""

    given: list[SliceState] = []
    taken: list[int] = []


class Heartbeat(Message):
    """Sent by a proxy to renew its lease, counted from when this was sent; with `ask` also requests budget
    shares.

    `ask`: number of the request. `life`: incarnation of the proxy. `era`: incarnation of the pilot
    process that the proxy knows. `wants`: the requested shares."""

    n: int
    ask: NonNegativeInt = 0
    life: NonNegativeInt = 0
    era: NonNegativeInt = 0
    wants: list[BudgetRequest] = []


class HeartbeatOk(Message):
    """Answers the Heartbeat with number `n`.

    `in_charge`: the pilot still owns its slices, so the lease is renewed. `told`: the new admission policy,
    if changed. `fair`: per op type, the factor on it for this proxy. `trials`: endpoints that get part of
    their share (0: none); replaces the previous list. `probe`: one of them that this proxy may try once."""

    n: int
    in_charge: bool = True
    ask: NonNegativeInt = 0
    era: NonNegativeInt = 0
    shares: list[BudgetGrant] = []
    told: Optional[AdmissionPolicy] = None
    fair: list[NonNegativeFloat] = []
    trials: Optional[list[EndpointShare]] = None
    probe: ShortString = ""


class Ack(Message):
    """The message with this mark and all before it are in force. `held`: us from then until this was sent."""

    mark: TableId
    held: NonNegativeInt = 0


class ProxyReport(Message):
    """What the proxy observed since its last report. `met`: outcomes by endpoint. `heat`: ops by slice.

    `loads`: if requested in the Welcome. `shuns`: endpoints the proxy avoids because of failures."""

    met: list[EndpointStats] = []
    heat: list[SliceStats] = []
    loads: list[OpTypeStats] = []
    shuns: list[ShortString] = []


class Open(Message):
    """A pilot asks the store for a session. `place`: index of the pilot in the configuration."""

    place: int = 0


class Opened(Message):
    """The pilot's session; it expires `lease` us after the last answered request was sent."""

    session: int
    lease: int


class Renew(Message):
    """A pilot asks the store to renew its session, counted from when this was sent."""

    n: int


class Renewed(Message):
    """Answers the Renew with number `n`."""

    n: int


class FactsRequest(Message):
    """A pilot asks another for one chunk of its facts; `version` "" starts a new transfer."""

    version: ShortString = ""
    chunk: NonNegativeInt = 0


class Facts(Message):
    """One chunk. `payload`: a `Chunk` in MessagePack, compressed with zstandard if `packed`.

    `digest`: 16-byte BLAKE2b of the payload as transmitted."""

    version: ShortString
    chunk: NonNegativeInt
    chunks: NonNegativeInt
    digest: bytes
    payload: bytes
    packed: bool = False


class Chunk(msgspec.Struct, array_like=True):
    """Contents of a payload.

    `origin`: incarnation of the lender. `list_age`: us since the lender's list answered last, -1 for never.
    `proxies_joined`: number of proxies joined to the lender. `in_charge`: whether the lender owns its slices.
    `level`: share of ops that the lender admits to all slices."""

    origin: ShortString
    list_age: int
    proxies_joined: NonNegativeInt
    in_charge: bool
    level: NonNegativeFloat
    endpoints: list[EndpointFact] = []
    slices: list[SliceFact] = []
    proxies: list[ProxyFact] = []


class FactsDeclined(Message):
    """The lender declines; `again_after`: delay before a retry (us)."""

    reason: str
    again_after: NonNegativeInt = 0


class Leave(Message):
    """A stopping pilot returns its slices, after it has notified its proxies."""


class AssignSlices(Message):
    """The store assigns slices to a pilot."""

    slices: list[SliceState]


class RevokeSlices(Message):
    """The store revokes slices; the pilot answers SlicesReleased once its proxies have been notified."""

    slices: list[int]
    number: int


class SlicesReleased(Message):
    """The pilot has released the revoked slices."""

    number: int


class Commit(Message):
    """Writes of one batch, under the epochs of the pilot's assignments."""

    number: int
    writes: list[SliceWrite]


class Committed(Message):
    """The writes are durable, except for the denied ones."""

    number: int
    denied: list[DeniedWrite] = []


class ReadTables(Message):
    """A proxy asks the store for all slices."""

    number: int = 0


class Tables(Message):
    """Answers a ReadTables."""

    number: int
    slices: list[SliceState]


class BudgetSharesRequest(Message):
    """A pilot asks the store for budget shares and claims.

    `life`: incarnation of the pilot. `era`: incarnation of the store that the pilot knows.
    `doubted`: pilots that it considers dead."""

    number: NonNegativeInt
    life: NonNegativeInt
    era: NonNegativeInt
    wants: list[BudgetRequest] = []
    doubted: list[ShortString] = []
    claims: list[RequestedClaim] = []


class BudgetSharesReply(Message):
    """Answers a BudgetSharesRequest; durable before it is sent.

    Empty if `era` differs from the requested one. Era 0: the deployment has no budgets."""

    number: NonNegativeInt
    era: NonNegativeInt
    shares: list[BudgetGrant] = []
    claims: list[GrantedClaim] = []


class LeaveBudgets(Message):
    """The pilot process stops spending and accepts no further grants."""

    life: NonNegativeInt


class ReadBudgetStatus(Message):
    """Asks the store for the current budget grants."""

    number: NonNegativeInt = 0


class BudgetStatus(Message):
    """Answers a ReadBudgetStatus; `payload`: JSON for display."""

    number: NonNegativeInt
    payload: bytes = b""


# Message types by the kind number in the frame header.
MESSAGE_TYPES: dict[int, type[Message]] = {
    1: Greet,
    2: Hello,
    3: Welcome,
    4: Bye,
    5: Ping,
    6: Pong,
    16: Snapshot,
    17: Order,
    18: SliceAssignment,
    19: Heartbeat,
    20: HeartbeatOk,
    21: Ack,
    22: ProxyReport,
    32: Open,
    33: Opened,
    34: AssignSlices,
    35: RevokeSlices,
    36: SlicesReleased,
    37: Commit,
    38: Committed,
    39: ReadTables,
    40: Tables,
    41: Renew,
    42: Renewed,
    43: Leave,
    48: FactsRequest,
    49: Facts,
    50: FactsDeclined,
    56: BudgetSharesRequest,
    57: BudgetSharesReply,
    58: LeaveBudgets,
    59: ReadBudgetStatus,
    60: BudgetStatus,
}
MESSAGE_CODES = {kind: number for number, kind in MESSAGE_TYPES.items()}
