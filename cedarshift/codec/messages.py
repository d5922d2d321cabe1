"""The messages of the main protocol. Spans are whole microseconds; no message carries a wall-clock time.

Bodies are MessagePack. Structs travel as maps, so a newer minor version may add fields, which an older one
passes over; the small rows (`Line`, `Level`, ...) travel as arrays, to which fields may be added at the end.
"""

from __future__ import annotations

from typing import Annotated, Optional

import msgspec

MAJOR = 1
MINOR = 0

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]  # counts and spans: never below nought
TableId = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
ShortString = Annotated[str, msgspec.Meta(max_length=256)]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A small array inside a message."""


class Line(Row, frozen=True, array_like=True):
    """One line of a table: weight 0 removes it. `epoch` is the giving under which it was ordered."""

    table: TableId
    endpoint: ShortString
    weight: NonNegativeFloat = 1.0
    epoch: NonNegativeInt = 0


class Level(Row, frozen=True, array_like=True):
    """What share of some op types a table lets in; mask 0 stands for all op types, table 65535 for all
    tables."""

    table: TableId
    mask: NonNegativeInt
    share: NonNegativeFloat
    retries: NonNegativeInt = 0
    epoch: NonNegativeInt = 0


class EndpointStats(Row, frozen=True, array_like=True):
    """What a proxy met at an endpoint: tries, those aborted, mean time of the acked (us), span counted over
    (us); of the aborted, those that the endpoint turned away for want of room; and how many are under way
    now."""

    endpoint: ShortString
    tries: NonNegativeInt
    aborted: NonNegativeInt
    took: NonNegativeInt
    span: NonNegativeInt
    full: NonNegativeInt = 0
    open: NonNegativeInt = 0


class SliceStats(Row, frozen=True, array_like=True):
    """What came for a slice: ops of a type (by its place among the op types), those let in and not answered,
    span."""

    slice: TableId
    op_type: NonNegativeInt
    ops: NonNegativeInt
    unanswered: NonNegativeInt
    span: NonNegativeInt


class SliceState(Row, frozen=True, array_like=True):
    """A slice as the store holds it: the giving's epoch, the version, the owner ("" for none) and its
    levels."""

    slice: TableId
    epoch: NonNegativeInt
    version: NonNegativeInt
    owner: ShortString
    levels: list[Level] = []


class SliceWrite(Row, frozen=True, array_like=True):
    """A change of a slice in the store under an epoch; `owner` None leaves the line as it is, "" empties
    it."""

    slice: TableId
    epoch: NonNegativeInt
    owner: Optional[ShortString]
    levels: Optional[list[Level]] = None


class DeniedWrite(Row, frozen=True, array_like=True):
    """A write that the store refused, and why."""

    slice: int
    epoch: int
    reason: str


class LentEndpointStats(Row, frozen=True, array_like=True):
    """Sums that the lender took in: how long ago (us), then as in `Met`; `zone` is the proxies'."""

    age: NonNegativeInt
    tries: NonNegativeInt
    aborted: NonNegativeInt
    took: NonNegativeInt
    span: NonNegativeInt
    zone: ShortString


class EndpointFact(Row, frozen=True, array_like=True):
    """What a pilot knows of an endpoint. Ages are us at the lender's answering; -1 where it is not known.

    `source` and `rev`: the list that said so; `confirmed`: how long ago that list last answered. `origin` is
    the life of the pilot that heard it first-hand, `hops` how often it was borrowed since."""

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
    """What came for a slice: how long ago it was heard (us), then as in `Heat`."""

    age: NonNegativeInt
    op_type: ShortString
    ops: NonNegativeInt
    unanswered: NonNegativeInt
    span: NonNegativeInt


class SliceFact(Row, frozen=True, array_like=True):
    slice: TableId
    heats: list[LentSliceStats]
    origin: ShortString
    hops: NonNegativeInt


class ProxyFact(Row, frozen=True, array_like=True):
    """A proxy that is joined to the lender: its zone, and ops a second that it told of lately."""

    id: ShortString
    zone: ShortString
    rate: NonNegativeFloat


class BudgetSpec(Row, frozen=True, array_like=True):
    """A budget that proxies spend: what for, its burst (us of the rate), the part of a token that a fresh op
    earns (0: no such limit), and how far clocks may run apart."""

    name: ShortString
    use: ShortString
    burst: NonNegativeInt
    of_fresh: NonNegativeFloat
    drift: NonNegativeFloat


class BudgetRequest(Row, frozen=True, array_like=True):
    """What is asked of a budget, in parts: demand; the number and amount of the right that is held; the
    newest number taken; how many spend below."""

    budget: ShortString
    demand: NonNegativeInt
    number: NonNegativeInt = 0
    amount: NonNegativeInt = 0
    newest: NonNegativeInt = 0
    weight: NonNegativeInt = 1


class BudgetGrant(Row, frozen=True, array_like=True):
    """A right to so many parts for `span` us from the asking. A higher number takes the place of a lower
    one."""

    budget: ShortString
    number: NonNegativeInt
    amount: NonNegativeInt
    span: NonNegativeInt


class RequestedClaim(Row, frozen=True, array_like=True):
    """A thing that is claimed, and whether it is held now. What a later ask does not name is given up."""

    thing: ShortString
    held: bool


class GrantedClaim(Row, frozen=True, array_like=True):
    """A right to all of a thing for `span` us from the asking."""

    thing: ShortString
    span: NonNegativeInt


class OpTypeStats(Row, frozen=True, array_like=True):
    """Ops of a type that came for a pilot's slices: fresh, repeats, those let in, acked, aborted, turned away
    by endpoints without room; mean time of the acked (us), span counted over (us)."""

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
    """An endpoint at which another share is let in than the fleet's."""

    endpoint: ShortString
    share: NonNegativeFloat


class AdmissionPolicy(Row, frozen=True, array_like=True):
    """What is let in: `share` of all work, the op types in `order` first, each `mix` of it; repeats for each
    fresh op; us that who is rejected is to wait; endpoints with a share of their own."""

    state: ShortString
    share: NonNegativeFloat
    again: NonNegativeFloat
    wait: NonNegativeInt
    order: list[int] = []
    mix: list[NonNegativeFloat] = []
    own: list[EndpointShare] = []


class Message(msgspec.Struct, omit_defaults=True):
    """A frame's body."""


class Greet(Message):
    """First word of the side that accepts: who it is, and a challenge for the secret's proof."""

    deployment: str
    role: str
    id: str
    challenge: bytes
    minor: int = MINOR


class Hello(Message):
    """First word of the side that dials. `proof`: HMAC-SHA256 of challenge and id under the deployment's
    secret."""

    deployment: str
    role: str
    id: str
    zone: str = ""
    proof: bytes = b""
    challenge: bytes = b""
    minor: int = MINOR


class Welcome(Message):
    """The hello is taken. `session` numbers it; `lease` and `beat_every` are spans in us. `proof`: as in the
    Hello, over the Hello's challenge and this side's id."""

    session: int
    lease: int = 0
    beat_every: int = 0
    report_every: int = 0
    apply_cost: int = 0
    proof: bytes = b""
    budgets: list[BudgetSpec] = []
    loads: bool = False


class Bye(Message):
    """The last word before a close: a code and a reason for people; `after`: us before which another try is
    not wanted."""

    code: str
    reason: str = ""
    after: NonNegativeInt = 0


class Ping(Message):
    nonce: int = 0


class Pong(Message):
    nonce: int = 0


class Snapshot(Message):
    """All that the pilot has in its charge for this proxy: replaces what this pilot told before.

    `slices` at sites with slices; `table` and `lines` at sites without. `levels` are those that stand for
    all."""

    slices: list[SliceState] = []
    table: int = -1
    lines: list[Line] = []
    levels: list[Level] = []


class Order(Message):
    """One turn's delta. `waited`: us that it lay in the pilot's channel; `seq` grows by one a message a
    session."""

    seq: int
    waited: int = 0
    lines: list[Line] = []
    levels: list[Level] = []
    mark: Optional[int] = None


class SliceAssignment(Message):
    """Slices that came into this pilot's charge, as the store holds them, and slices that left it."""

    given: list[SliceState] = []
    taken: list[int] = []


class Heartbeat(Message):
    """A proxy asks whether its lease may run on, counted from when it asked; and, where `ask` is set, for its
    shares: the ask's number, this life of the proxy, the life of the pilot that it knows, and what it
    wants."""

    n: int
    ask: NonNegativeInt = 0
    life: NonNegativeInt = 0
    era: NonNegativeInt = 0
    wants: list[BudgetRequest] = []


class HeartbeatOk(Message):
    """The pilot is there; `in_charge`: nobody else can have been given its slices, so the lease runs on.
    `told`: what is let in from now on, where that is news; `fair`: by op type, times that for this proxy.
    `trials`: endpoints that get a part of their share (0: none), in the place of those told before; `probe`:
    one of them that this proxy may try once."""

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
    """The message with this mark, and all before it, is in force; `held`: us from then until this was
    sent."""

    mark: TableId
    held: NonNegativeInt = 0


class ProxyReport(Message):
    """What the proxy met and what came, since its last sums; `loads` where the Welcome asked for them, and
    then the endpoints that it shuns for what they did to it."""

    met: list[EndpointStats] = []
    heat: list[SliceStats] = []
    loads: list[OpTypeStats] = []
    shuns: list[ShortString] = []


class Open(Message):
    """A pilot asks the store for a session."""

    place: int = 0


class Opened(Message):
    """The pilot's session at the store; it ends `lease` us after the pilot sent what the store answered
    last."""

    session: int
    lease: int


class Renew(Message):
    """A pilot asks the store to prolong its session, counted from when it asked."""

    n: int


class Renewed(Message):
    n: int


class FactsRequest(Message):
    """A pilot asks another for one chunk of what it knows. `version` "" begins anew; else it goes on with
    that one."""

    version: ShortString = ""
    chunk: NonNegativeInt = 0


class Facts(Message):
    """One chunk. `payload` is MessagePack of a `Chunk`, compressed by zstandard where `packed`; `digest`:
    BLAKE2b, 16 bytes, of the payload as it travels."""

    version: ShortString
    chunk: NonNegativeInt
    chunks: NonNegativeInt
    digest: bytes
    payload: bytes
    packed: bool = False


class Chunk(msgspec.Struct, array_like=True):
    """What a payload holds. `list_age`: us since the lender's list answered last, -1 for never; `proxies`
    joined to it."""

    origin: ShortString
    list_age: int
    proxies_joined: NonNegativeInt
    in_charge: bool
    level: NonNegativeFloat
    endpoints: list[EndpointFact] = []
    slices: list[SliceFact] = []
    proxies: list[ProxyFact] = []


class FactsDeclined(Message):
    """The lender declines, and says for how long (us)."""

    reason: str
    again_after: NonNegativeInt = 0


class Leave(Message):
    """A pilot that stops gives its slices back, after it has told its proxies."""


class AssignSlices(Message):
    """Slices that the store puts into a pilot's charge."""

    slices: list[SliceState]


class RevokeSlices(Message):
    """Slices that the store takes back; the pilot answers Released once its proxies were told."""

    slices: list[int]
    number: int


class SlicesReleased(Message):
    number: int


class Commit(Message):
    """Writes of one turn, under the epochs by which the pilot holds the slices."""

    number: int
    writes: list[SliceWrite]


class Committed(Message):
    """Durable, but for those denied."""

    number: int
    denied: list[DeniedWrite] = []


class ReadTables(Message):
    """A proxy asks the store for all slices."""

    number: int = 0


class Tables(Message):
    number: int
    slices: list[SliceState]


class BudgetSharesRequest(Message):
    """A pilot asks the store for its shares. `era`: the life of the store that it knows; `doubted`: pilots it
    holds for dead."""

    number: NonNegativeInt
    life: NonNegativeInt
    era: NonNegativeInt
    wants: list[BudgetRequest] = []
    doubted: list[ShortString] = []
    claims: list[RequestedClaim] = []


class BudgetSharesReply(Message):
    """The answer to an ask, kept durably before; of another `era` than was asked under it holds nothing. Era
    0: no budgets here."""

    number: NonNegativeInt
    era: NonNegativeInt
    shares: list[BudgetGrant] = []
    claims: list[GrantedClaim] = []


class LeaveBudgets(Message):
    """A pilot's life spends no more, and takes no answer any more."""

    life: NonNegativeInt


class ReadBudgetStatus(Message):
    """Anyone of the deployment asks the store who has what."""

    number: NonNegativeInt = 0


class BudgetStatus(Message):
    """`payload`: JSON for people."""

    number: NonNegativeInt
    payload: bytes = b""


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
