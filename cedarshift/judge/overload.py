"""What a fleet lets in when its endpoints can't carry all that comes: the picture of load, and the answer to it. No I/O.

Each pilot tells the others a `Row` of what its proxies saw. From the rows that it holds each works out the same answer: which share of
the offered work may be let in, filled by the op types that earn most for their cost. Ways weighed: `docs/design/overload.md`.

Shares are of 1, rates a second, spans microseconds. *Pressure* is how long an op that comes now will take at the middle endpoint, as a
part of the tightest target latency. It is told by what is under way and what is acked (Little, 1961), not by what acks took: those came in
before the queue was what it is. Unlike a mean the middle is not moved by a third of the endpoints that are dead, slow, or misreported.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Iterable, NamedTuple, Optional, Sequence

# Constants: unit, then the reason for the size.
TARGET_PRESSURE = (
    0.3  # of the target; where endpoints never run dry and acks are in time with room for the unlucky
)
ENGAGE_PRESSURE = (
    0.5  # of the target; beyond it what comes is shed: acks of twice the middle's time are late then
)
EASE_PRESSURE = 0.2  # of the target; under it the endpoints run dry, and more is let in
ENGAGE_STEPS = 2  # looks in a row; one late sum sheds nothing
ENGAGE_STEPS_AT_START = (
    6  # looks in a row, while nothing was ever carried: the first ops of a start tell nothing
)
JOIN_OTHERS_SHARE = 0.9  # of the others; a pilot that sees nothing by itself sheds with them
ENGAGE_NOW_PRESSURE = 0.65  # of the target; so much is no chance any more, and each half second counts
GAIN_FACTOR = 0.8  # of the target by the delay of what is told: at 1.6 (a quarter turn of lag) the answer would swing for ever
MAX_GAIN = 1.5  # of what is carried, a target's length from the aim; more would empty the queues of endpoints that are well
MAX_PRESSURE_ERROR = 1.0  # of the target from the aim; beyond it the answer is as strong as it gets
RISE_PER_S = 0.25  # of the known capacity a second, while endpoints run dry: all is back within four seconds
FITS_SHARE = 0.95  # of the known capacity; what comes then is tried whole, while nobody waits for long
CALM_AFTER_US = 3_000_000  # us that all fits before the limits are taken away
SMOOTHING = 0.5  # weight of a new look at what is acked: the chance of a hundred ops a second is a tenth
CAPACITY_DECAY = 0.99  # a look; a capacity that was seen once is forgotten within a minute
MIN_SHARE = 0.05  # always let in: without any ack nothing would tell that the endpoints are back
FULL_PRESSURE = 1.5  # of the target; what an op counts for that an endpoint was too full to take
MAX_PRESSURE = 4.0  # of the target; an endpoint that answers nothing tells no more
MIN_ACKED = 0.5  # acks within the view; with fewer one op under way would tell of a jam
FRESH_FOR_US = 2_000_000  # us; a row younger than this counts whole
STALE_AFTER_US = 8_000_000  # us; an older one counts for nothing
OUTLIER_FACTOR = 4.0  # times the middle row; beyond it a row is taken for nonsense, and cut
MIN_REPORTS_TO_CLAMP = 3  # rows from which there is a middle to hold one against
CONSENSUS_PULL = (
    0.3  # of the way to the middle of the others' shares: what differs by late rows does not stay apart
)
RESTART_GAP_US = 2_500_000  # us without a look, as after a stop: what was worked out before is worth nothing
JAM_AFTER_US = 2_000_000  # us that what comes would fit and is not carried: longer than any burst's own queue takes to drain
JAM_OFFERED_SHARE = 0.9  # of the known capacity; fresh work under it ought to be carried
JAM_CARRIED_SHARE = (
    0.3  # of the known capacity; queues that are full, and ops that come to nothing, leave more than that
)
JAM_LIMIT_SHARE = (
    0.5  # of the known capacity, while a jam is ended: queues drain in the time that they took to fill
)
MAX_JAM_US = 8_000_000  # us; then it is no jam but less capacity, and is answered as that
JAM_COOLDOWN_US = 20_000_000  # us before another may be found: the way out must not become a habit
MAX_REPEAT_RATIO = 0.1  # repeats for each fresh op, in peace
REJECT_WAIT_US = {
    "calm": 200_000,
    "limited": 1_000_000,
    "jam": 2_000_000,
}  # us that a rejected client is asked to wait
MIN_SHARE_FACTOR, MAX_SHARE_FACTOR = (
    0.1,
    3.0,
)  # times the fleet's share that an endpoint's own may be; more comes of too few ops
SHARE_FACTOR_SMOOTHING = (
    0.7  # weight of a new look; what was acked is smooth already, and what is under way is told exactly
)
MIN_ENDPOINT_OPS = 8.0  # ops behind an endpoint's own share, at least
SHARE_FACTOR_GROWTH = (
    1.5  # a look, of an endpoint that was spared while the fleet is calm: it has all again within two seconds
)
OVERLOADED_STEPS = 4  # looks in a row before an endpoint is spared while the fleet is calm: a jam of all is the fleet's to answer
STATES = ("calm", "limited", "jam")
MAX_RATE = 1e7  # a second; no fleet of this kind comes near


class OpValue(NamedTuple):
    """An op type: what an ack in time earns, and the work it takes against the others."""

    name: str
    earnings: float
    cost: float


class Flow(NamedTuple):
    """Of one op type, a second. `full`: turned away by endpoints that had no room. `took`: mean us of the acked."""

    fresh: float = 0.0
    repeats: float = 0.0
    let_in: float = 0.0
    acked: float = 0.0
    aborted: float = 0.0
    full: float = 0.0
    took: float = 0.0


class LoadReport(NamedTuple):
    """What one pilot tells. `at`: when it held, by the hearer's clock. `ops`: behind the pressure, a second. `share`: its answer."""

    start: int
    seq: int
    at: int
    flows: tuple[Flow, ...]
    pressure: float
    ops: float
    share: float
    state: str


class Totals(NamedTuple):
    """The fleet's, a second: work `offered` (by fresh ops alone) and `acked`, the `pressure`, repeats, and of how many pilots. `mix`: each
    op type's part of the offered work."""

    offered: float
    acked: float
    pressure: float
    mix: tuple[float, ...]
    repeats: float
    pilots: int


class Answer(NamedTuple):
    """`share` of the offered work is let in, the types in `order` first; `again`: repeats for each fresh op; `wait`: us for who is
    rejected."""

    state: str
    share: float
    order: tuple[int, ...]
    mix: tuple[float, ...]
    again: float
    wait: int


CALM = Answer("calm", 1.0, (), (), MAX_REPEAT_RATIO, REJECT_WAIT_US["calm"])


def is_plausible(row: LoadReport, kinds: int) -> bool:
    """Whether a row may be counted at all: its figures are numbers within what can be."""
    figures = [value for flow in row.flows for value in flow[:6]] + [row.ops]
    times = [flow.took for flow in row.flows]
    return (
        len(row.flows) == kinds
        and row.state in STATES
        and all(0 <= value <= MAX_RATE for value in figures)
        and all(0 <= value < math.inf for value in times)
        and 0 <= row.pressure < math.inf
        and 0 <= row.share <= 1
    )


def weighted_median(values: Iterable[tuple[float, float]]) -> float:
    """The middle of (value, weight); 0 of nothing."""
    rows = sorted((value, weight) for value, weight in values if weight > 0)
    half, seen = sum(weight for _, weight in rows) / 2, 0.0
    for value, weight in rows:
        seen += weight
        if seen >= half:
            return value
    return 0.0


class FleetLoad:
    """The newest row of each pilot."""

    def __init__(self, me: str, op_values: Sequence[OpValue]) -> None:
        self.me = me
        self.op_values = list(op_values)
        self.rows: dict[str, LoadReport] = {}

    def add_report(self, pilot: str, row: LoadReport) -> bool:
        """Whether it is newer than what is held, and can be at all."""
        if not is_plausible(row, len(self.op_values)):
            return False
        held = self.rows.get(pilot)
        if held is not None and (row.start, row.seq) <= (held.start, held.seq):
            return False
        self.rows[pilot] = row
        return True

    def weight(self, pilot: str, now: int) -> float:
        """How much a row still counts: whole while it is fresh, then less with its age."""
        age = now - self.rows[pilot].at
        return (
            1.0
            if age <= FRESH_FOR_US
            else max(0.0, 1.0 - (age - FRESH_FOR_US) / (STALE_AFTER_US - FRESH_FOR_US))
        )

    def totals(self, now: int, gone: Iterable[str] = ()) -> Totals:
        """`gone`: pilots that left, or that most hold for dead; their proxies' ops come to others now."""
        left = set(gone) - {self.me}
        known = {name: self.weight(name, now) for name in self.rows if name not in left}
        flows = self._clamp_outliers(
            [(self.rows[name].flows, weight) for name, weight in sorted(known.items())]
        )
        median = [self._median_flow(kind, flows) for kind in range(len(self.op_values))]
        summed = [
            Flow._make(
                [
                    *(
                        sum(weight * flow[kind][n] + (1 - weight) * median[kind][n] for flow, weight in flows)
                        for n in range(6)
                    ),
                    0.0,
                ]
            )
            for kind in range(len(self.op_values))
        ]
        costs = [op_value.cost for op_value in self.op_values]
        work = [cost * flow.fresh for cost, flow in zip(costs, summed)]
        offered = sum(work)
        return Totals(
            offered=offered,
            acked=sum(cost * flow.acked for cost, flow in zip(costs, summed)),
            pressure=self._pressure(known),
            mix=tuple(one / offered for one in work) if offered else (),
            pilots=len(known),
            repeats=sum(flow.repeats for flow in summed),
        )

    def _clamp_outliers(
        self, rows: list[tuple[tuple[Flow, ...], float]]
    ) -> list[tuple[tuple[Flow, ...], float]]:
        """Rows far above the middle are cut to a multiple of it, figure by figure: one that reports nonsense moves little."""
        if len(rows) < MIN_REPORTS_TO_CLAMP:
            return rows
        tops = [
            [
                OUTLIER_FACTOR * weighted_median((flows[kind][n], weight) for flows, weight in rows)
                for n in range(6)
            ]
            for kind in range(len(self.op_values))
        ]
        return [
            (
                tuple(
                    Flow._make(
                        [
                            *(min(flow[n], tops[kind][n]) if tops[kind][n] else flow[n] for n in range(6)),
                            flow.took,
                        ]
                    )
                    for kind, flow in enumerate(flows)
                ),
                weight,
            )
            for flows, weight in rows
        ]

    @staticmethod
    def _median_flow(kind: int, rows: list[tuple[tuple[Flow, ...], float]]) -> Flow:
        """What stands for a pilot whose row has faded: neither nought nor its last word."""
        return Flow._make(
            [*(weighted_median((flows[kind][n], weight) for flows, weight in rows) for n in range(6)), 0.0]
        )

    def _pressure(self, known: dict[str, float]) -> float:
        """The middle of the pilots' pressures by the ops behind each, none for more than the middle: so one alone is never half of them."""
        reported = [(self.rows[name].pressure, weight, self.rows[name].ops) for name, weight in known.items()]
        most = weighted_median((ops, weight) for _, weight, ops in reported)
        return weighted_median(
            (pressure, weight * min(ops, most or ops)) for pressure, weight, ops in reported
        )

    def others_share(self, now: int, gone: Iterable[str] = ()) -> Optional[float]:
        """The middle of the other pilots' shares, of two the larger; None without a row that still counts."""
        left = {*gone, self.me}
        reported = [
            (row.share, self.weight(name, now)) for name, row in self.rows.items() if name not in left
        ]
        return (
            1.0 - weighted_median((1.0 - share, weight) for share, weight in reported)
            if any(weight > 0 for _, weight in reported)
            else None
        )


def gain_for_delay(target: int, delay: int) -> float:
    """How much of what is carried a target's length of waiting takes away, where what is told is `delay` us old: the more in step the less
    the wait that is aimed at can be kept."""
    return min(MAX_GAIN, GAIN_FACTOR * target / max(1, delay))


def merit_order(op_values: Sequence[OpValue]) -> tuple[int, ...]:
    """Places of the op types, those that earn most for their cost first; ties by place."""
    return tuple(sorted(range(len(op_values)), key=lambda n: (-op_values[n].earnings / op_values[n].cost, n)))


def shares(share: float, order: Sequence[int], mix: Sequence[float]) -> list[float]:
    """What part of each op type is let in where `share` of all work is: the first in order wholly before the next at all."""
    found = [1.0] * len(mix)
    left = share
    for kind in order:
        found[kind] = 1.0 if mix[kind] <= 0 else min(1.0, max(0.0, left) / mix[kind])
        left -= mix[kind]
    return found


def fair_cap(rates: Sequence[float], share: float) -> float:
    """The rate to which each is cut so that `share` of the sum is left (max-min fairness); inf where all of it may pass."""
    if share >= 1.0 or not rates:
        return math.inf
    left = share * sum(rates)
    for place, rate in enumerate(sorted(rates)):
        part = left / (len(rates) - place)
        if rate >= part:
            return part
        left -= rate
    return math.inf


@dataclass
class OverloadController:
    """Turns what the fleet carries into the share that is let in. One in each pilot; the same totals give the same answer.

    While endpoints are busy what is acked *is* what they can carry, so the share follows it and the pressure's distance from the aim;
    while they run dry more is let in step by step, up to what was carried before."""

    op_values: list[OpValue]
    now: int
    gain: float = 1.0  # as `gain_for` tells
    state: str = "calm"
    share: float = 1.0
    carried: float = 0.0  # work acked a second, smoothed
    known: float = 0.0  # work a second that was carried in time, lately
    limit: float = 0.0  # work a second that is let in while limited
    steps_above: int = 0  # looks in a row with the pressure beyond
    steps_others_shed: int = 0  # looks in a row in which the others shed
    fits_since: Optional[int] = None
    stuck_since: Optional[int] = None
    jam_until: int = 0
    jam_not_before: int = 0
    why: str = ""
    order: tuple[int, ...] = field(default=())

    def __post_init__(self) -> None:
        self.order = merit_order(self.op_values)

    def step(self, now: int, seen: Totals, others: Optional[float] = None) -> Answer:
        """`others`: the middle of what the other pilots answer."""
        elapsed, self.now = now - self.now, now
        if (
            elapsed > RESTART_GAP_US
        ):  # stopped meanwhile: the others' answer holds until there is one of its own
            self._restart(seen, 1.0 if others is None else others)
            return self._answer(seen)
        self.carried += SMOOTHING * (seen.acked - self.carried) if self.carried else seen.acked
        if seen.pressure <= ENGAGE_PRESSURE:
            self.known = max(self.known, self.carried)
        elif self.state == "limited":  # busy, and yet less is carried: that is what there is
            self.known = max(self.carried, CAPACITY_DECAY * self.known)
        self.steps_above = self.steps_above + 1 if seen.pressure > ENGAGE_PRESSURE else 0
        looks = (
            ENGAGE_STEPS_AT_START
            if not self.known
            else 1
            if seen.pressure > ENGAGE_NOW_PRESSURE
            else ENGAGE_STEPS
        )
        self.steps_others_shed = (
            self.steps_others_shed + 1 if others is not None and others < JOIN_OTHERS_SHARE else 0
        )
        if self.state == "calm" and self.steps_above >= looks:
            self._enter("limited", f"ops take {seen.pressure:.2f} of the target")
            self.limit = self._sustainable(seen)
        elif self.state == "calm" and self.steps_others_shed >= ENGAGE_STEPS and others is not None:
            self._enter("limited", f"the others let {others:.2f} in")
            self.limit = others * seen.offered
        elif self.state == "limited":
            self._adjust_limit(now, elapsed, seen)
        elif self.state == "jam":
            self._leave_jam(now, seen)
        self._detect_jam(now, seen)
        own = (
            1.0
            if self.state == "calm"
            else min(1.0, max(MIN_SHARE, self.limit / seen.offered if seen.offered else 1.0))
        )
        if others is not None and self.state != "calm":
            own += CONSENSUS_PULL * (others - own)
        self.share = own
        return self._answer(seen)

    def _restart(self, seen: Totals, share: float) -> None:
        self._enter("limited" if share < 1.0 else "calm", "this pilot stood still")
        self.share, self.limit = share, share * seen.offered
        self.carried, self.known = 0.0, 0.0

    def _sustainable(self, seen: Totals) -> float:
        return self.carried * max(
            0.0, 1 + self.gain * max(-MAX_PRESSURE_ERROR, TARGET_PRESSURE - seen.pressure)
        )

    def _adjust_limit(self, now: int, elapsed: int, seen: Totals) -> None:
        fits = seen.pressure < ENGAGE_PRESSURE and seen.offered < FITS_SHARE * self.known
        if (
            seen.pressure < EASE_PRESSURE or fits
        ):  # an op may take long though nothing waits: what was carried before is let in again
            self.limit = (
                max(self.limit, self.carried) + RISE_PER_S * max(self.known, self.carried) * elapsed / 1e6
            )
        elif (
            seen.pressure < TARGET_PRESSURE
        ):  # nobody waits for long: what falls is what comes, not what can be carried
            self.limit = max(self._sustainable(seen), self.limit)
        else:
            self.limit = self._sustainable(seen)
        self.limit = max(self.limit, MIN_SHARE * seen.offered)
        if self.limit < seen.offered:
            self.fits_since = None
        elif self.fits_since is None:
            self.fits_since = now
        elif now - self.fits_since >= CALM_AFTER_US:
            self._enter("calm", "all that comes fits")

    def _detect_jam(self, now: int, seen: Totals) -> None:
        """What comes would fit into what was carried before, and yet the endpoints are behind: the jam keeps itself up."""
        stuck = (
            self.state != "jam"
            and seen.offered < JAM_OFFERED_SHARE * self.known
            and seen.pressure > ENGAGE_PRESSURE
            and self.carried > JAM_CARRIED_SHARE * self.known
        )  # where next to nothing is carried the cause is still there
        if not stuck:
            self.stuck_since = None
        elif self.stuck_since is None:
            self.stuck_since = now
        elif now - self.stuck_since >= JAM_AFTER_US and now >= self.jam_not_before:
            self._enter(
                "jam",
                f"{seen.offered:.0f} of work a second come, {self.known:.0f} were carried, {self.carried:.0f} are",
            )
            self.jam_until, self.jam_not_before = now + MAX_JAM_US, now + MAX_JAM_US + JAM_COOLDOWN_US
            self.limit = JAM_LIMIT_SHARE * self.known

    def _leave_jam(self, now: int, seen: Totals) -> None:
        if seen.pressure < EASE_PRESSURE:
            self._enter("limited", "the queues are empty again")
            self.limit = max(self.carried, JAM_LIMIT_SHARE * self.known)
        elif now >= self.jam_until:
            self._enter("limited", "it was no jam: less can be carried than before")
            self.known = self.carried
            self.limit = self._sustainable(seen)

    def _enter(self, state: str, why: str) -> None:
        self.state, self.why = state, why
        self.fits_since, self.stuck_since, self.steps_above, self.steps_others_shed = None, None, 0, 0

    def _answer(self, seen: Totals) -> Answer:
        if self.state == "calm" or not seen.mix:
            return CALM._replace(
                state=self.state, order=self.order, mix=seen.mix, wait=REJECT_WAIT_US[self.state]
            )
        again = 0.0 if self.state == "jam" else MAX_REPEAT_RATIO * self.share
        return Answer(self.state, self.share, self.order, seen.mix, again, REJECT_WAIT_US[self.state])


@dataclass
class EndpointLoad:
    """One endpoint as this pilot's proxies meet it; amounts fall away with time."""

    tries: float = 0.0
    acked: float = 0.0
    full: float = 0.0
    came: float = 0.0  # ops for its slices, the rejected too
    in_flight: float = 0.0  # under way, as proxies told last
    share_factor: float = 1.0  # its share against the fleet's
    looks_overloaded: int = 0  # looks in a row with its pressure beyond


class EndpointLoads:
    """Endpoints by what was met there, over the last `span` us or so. They give the pressure, and each endpoint's own share: where
    one is behind and another runs dry, the fleet's one share would drown the first and waste the second.

    A thousand proxies tell of hundreds of endpoints twice a second: what they tell is added up as it comes, and falls away at the looks."""

    def __init__(self, target: int, elapsed: int, gain: float = 1.0) -> None:
        self.target = target
        self.gain = gain
        self.elapsed = elapsed
        self.decayed_at = 0
        self.lanes: defaultdict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self.held: dict[str, dict[str, float]] = {}  # by who told: what it has under way at each endpoint

    def met(self, endpoint: str, tries: float, aborted: float, full: float = 0.0) -> None:
        """`full`: of the aborted, those that the endpoint had no room for."""
        lane = self.lanes[endpoint]
        lane.tries += tries
        lane.acked += tries - aborted
        lane.full += full

    def came(self, endpoint: str, ops: float) -> None:
        self.lanes[endpoint].came += ops

    def set_in_flight(self, who: str, under_way: dict[str, float]) -> None:
        """What `who` has under way now, in the place of what it told before; nothing, of one that has left."""
        for endpoint, count in self.held.pop(who, {}).items():
            lane = self.lanes[endpoint]
            lane.in_flight = max(0.0, lane.in_flight - count)
        if under_way:
            self.held[who] = under_way
        for endpoint, count in under_way.items():
            self.lanes[endpoint].in_flight += count

    def _decay(self, now: int) -> None:
        left = math.exp((self.decayed_at - now) / self.elapsed) if now > self.decayed_at else 1.0
        self.decayed_at = max(now, self.decayed_at)
        for lane in self.lanes.values() if left < 1.0 else ():
            lane.tries, lane.acked, lane.full, lane.came = (
                lane.tries * left,
                lane.acked * left,
                lane.full * left,
                lane.came * left,
            )

    def _pressure(self, lane: EndpointLoad) -> Optional[float]:
        if lane.acked + lane.full + lane.in_flight < 1:
            return None
        waits = lane.in_flight / max(MIN_ACKED, lane.acked) * self.elapsed / self.target
        return min(MAX_PRESSURE, waits + FULL_PRESSURE * lane.full / max(1.0, lane.acked + lane.full))

    def look(self, now: int) -> tuple[float, float]:
        """The pressure and the ops a second behind it. An endpoint counts by what it answers, so one that answers nothing counts little
        beside others; where none answers anything they all count by what is under way."""
        self._decay(now)
        reported = []
        for endpoint, lane in list(self.lanes.items()):
            pressure = self._pressure(lane)
            if pressure is not None:
                reported.append((pressure, lane.acked + lane.full))
            elif lane.tries + lane.came + lane.in_flight < 0.01:
                del self.lanes[endpoint]
        if reported and not any(ops > MIN_ACKED for _, ops in reported):
            reported = [
                (pressure, lane.in_flight)
                for lane in self.lanes.values()
                if (pressure := self._pressure(lane)) is not None
            ]
        return weighted_median(reported), sum(ops for _, ops in reported) * 1e6 / self.elapsed

    def shares(self, now: int, share: float) -> dict[str, float]:
        """Of endpoints at which another share than the fleet's is let in. While the fleet sheds they only move it: what is let in at one
        endpoint more is let in at others less. While it does not, an endpoint that stays behind is spared alone."""
        self._decay(now)
        wanted = {endpoint: self._wanted(lane) for endpoint, lane in self.lanes.items()}
        reported = [
            (part, self.lanes[endpoint].came) for endpoint, part in wanted.items() if part is not None
        ]
        came = sum(ops for _, ops in reported)
        usual = sum(part * ops for part, ops in reported) / came if came else 0.0
        for endpoint, part in wanted.items():
            lane = self.lanes[endpoint]
            pressed = (self._pressure(lane) or 0.0) > ENGAGE_PRESSURE
            lane.looks_overloaded = lane.looks_overloaded + 1 if pressed else 0
            if (
                part is None
                or not usual
                or (share >= 1.0 and lane.share_factor >= 1.0 and lane.looks_overloaded < OVERLOADED_STEPS)
            ):
                lane.share_factor = 1.0
                continue
            to = part / usual if share < 1.0 else part if pressed else lane.share_factor * SHARE_FACTOR_GROWTH
            lane.share_factor += SHARE_FACTOR_SMOOTHING * (
                min(MAX_SHARE_FACTOR, max(MIN_SHARE_FACTOR, to)) - lane.share_factor
            )
        found = {
            endpoint: min(1.0, share * lane.share_factor)
            for endpoint, lane in self.lanes.items()
            if lane.share_factor != 1.0
        }
        return {endpoint: own for endpoint, own in found.items() if abs(own - share) > 0.01 * share}

    def _wanted(self, lane: EndpointLoad) -> Optional[float]:
        """What part of all that comes for it an endpoint could do; None where too little came to tell."""
        pressure = self._pressure(lane)
        if pressure is None or lane.came < MIN_ENDPOINT_OPS:
            return None
        return (
            lane.acked
            / lane.came
            * max(MIN_SHARE_FACTOR, 1 + self.gain * max(-MAX_PRESSURE_ERROR, TARGET_PRESSURE - pressure))
        )
