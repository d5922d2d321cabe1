"""Overload control: measures the load of the fleet and decides which share of it is admitted. No I/O.

Each pilot sends the others a `LoadReport` of what its proxies saw. From the reports that it has, each
computes the same answer: the share of the offered work to admit, filled with the op types that earn most for
their cost. The design is described in `docs/design/overload.md`.

Shares are fractions of 1, rates per second, times microseconds. *Pressure* is the expected latency of a new
op at the median endpoint, as a fraction of the tightest target latency. It is computed from ops in flight and
acked (Little's law), not from measured latencies, which lag behind the queue. Unlike a mean, the median is
not moved by a third of the endpoints being dead, slow or misreported.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Iterable, NamedTuple, Optional, Sequence

TARGET_PRESSURE = 0.3  # endpoints stay busy, with room for slow ops
ENGAGE_PRESSURE = 0.5  # above it load is shed
EASE_PRESSURE = 0.2  # below it endpoints run idle and more is admitted
ENGAGE_STEPS = 2  # consecutive steps above ENGAGE_PRESSURE until load is shed; one late report sheds nothing
ENGAGE_STEPS_AT_START = 6  # the same while the capacity is unknown; the first ops of a start tell nothing
JOIN_OTHERS_SHARE = 0.9  # median share of the others below which a pilot sheds load too
ENGAGE_NOW_PRESSURE = 0.65  # above it a single step is enough
GAIN_FACTOR = 0.8  # below pi/2, the stability limit of an integrator with delay
MAX_GAIN = 1.5  # of the controller, however fresh the reports
MAX_PRESSURE_ERROR = 1.0  # excess over TARGET_PRESSURE that the controller acts on at most
# Rise of the limit a second, as a share of the known capacity; all is back within four seconds.
RISE_PER_S = 0.25
FITS_SHARE = 0.95  # of the known capacity; offered work below it fits
CALM_AFTER_US = 3_000_000  # time for which all load fits before the limit is lifted
SMOOTHING = 0.5  # weight of the newest sample of acked work
CAPACITY_DECAY = 0.99  # per step; an outdated capacity is forgotten within a minute
MIN_SHARE = 0.05  # always admitted, so that recovery is noticed
FULL_PRESSURE = 1.5  # pressure of an op that an endpoint had no room for
MAX_PRESSURE = 4.0  # an endpoint that answers nothing tells no more
MIN_ACKED = 0.5  # lower bound on the acked ops by which ops in flight are divided
FRESH_FOR_US = 2_000_000  # age up to which a report has its full weight
STALE_AFTER_US = 8_000_000  # age from which a report has no weight
OUTLIER_FACTOR = 4.0  # times the median; larger figures are clamped
MIN_REPORTS_TO_CLAMP = 3  # fewer have no middle to compare with
CONSENSUS_PULL = 0.3  # towards the median of the others' shares, so that pilots do not drift apart
RESTART_GAP_US = 2_500_000  # longest time between steps; then earlier state is discarded
JAM_AFTER_US = 2_000_000  # longer than a burst's queue takes to drain
JAM_OFFERED_SHARE = 0.9  # of the known capacity
JAM_CARRIED_SHARE = 0.3  # of the known capacity; less means that the cause persists
JAM_LIMIT_SHARE = 0.5  # of the known capacity, while queues drain
MAX_JAM_US = 8_000_000  # after which the capacity counts as reduced
JAM_COOLDOWN_US = 20_000_000  # until the next jam may be detected; ending a jam must not become a habit
MAX_REPEAT_RATIO = 0.1  # repeats per fresh op while calm
# By state
REJECT_WAIT_US = {
    "calm": 200_000,
    "limited": 1_000_000,
    "jam": 2_000_000,
}
# Bounds of an endpoint's share, relative to the fleet's
MIN_SHARE_FACTOR, MAX_SHARE_FACTOR = (
    0.1,
    3.0,
)
SHARE_FACTOR_SMOOTHING = 0.7  # weight of the newest sample
MIN_ENDPOINT_OPS = 8.0  # fewer ops give no share of its own
SHARE_FACTOR_GROWTH = 1.5  # per step, while the fleet is calm
# Consecutive steps before a single endpoint is relieved while the fleet is calm; a jam of all is for
# the fleet's answer.
OVERLOADED_STEPS = 4
STATES = ("calm", "limited", "jam")
MAX_RATE = 1e7  # per second; larger figures are implausible


class OpValue(NamedTuple):
    """An op type: what an ack in time earns, and its cost relative to the others."""

    name: str
    earnings: float
    cost: float


class Flow(NamedTuple):
    """Rates of one op type, per second: first tries (`fresh`), retries by clients (`repeats`), admitted ops
    (`let_in`), outcomes, and ops refused by endpoints without room (`full`). `took`: mean latency of acked
    ops (us).
    """

    fresh: float = 0.0
    repeats: float = 0.0
    let_in: float = 0.0
    acked: float = 0.0
    aborted: float = 0.0
    full: float = 0.0
    took: float = 0.0


class LoadReport(NamedTuple):
    """What one pilot reports. `at`: when it was measured, by the receiver's clock (us). `flows`: by op type.
    `ops`: the ops a second from which `pressure` was computed. `share` and `state`: its own answer.
    """

    start: int
    seq: int
    at: int
    flows: tuple[Flow, ...]
    pressure: float
    ops: float
    share: float
    state: str


class Totals(NamedTuple):
    """Totals of the fleet, per second: work `offered` (fresh ops only) and `acked`, the `pressure`, repeats,
    and the number of pilots. `mix`: each op type's part of the offered work.
    """

    offered: float
    acked: float
    pressure: float
    mix: tuple[float, ...]
    repeats: float
    pilots: int


class Answer(NamedTuple):
    """What to admit: `share` of the offered work, op types in `order`; `mix`: each type's part of that work.

    `again`: repeats allowed per fresh op. `wait`: delay that rejected clients are asked for (us).
    """

    state: str
    share: float
    order: tuple[int, ...]
    mix: tuple[float, ...]
    again: float
    wait: int


CALM = Answer("calm", 1.0, (), (), MAX_REPEAT_RATIO, REJECT_WAIT_US["calm"])


def is_plausible(report: LoadReport, kinds: int) -> bool:
    """Whether a report has `kinds` flows (one for each op type), and all its figures are within bounds."""
    figures = [value for flow in report.flows for value in flow[:6]] + [report.ops]
    times = [flow.took for flow in report.flows]
    return (
        len(report.flows) == kinds
        and report.state in STATES
        and all(0 <= value <= MAX_RATE for value in figures)
        and all(0 <= value < math.inf for value in times)
        and 0 <= report.pressure < math.inf
        and 0 <= report.share <= 1
    )


def weighted_median(values: Iterable[tuple[float, float]]) -> float:
    """Return the median of (value, weight) pairs; 0 if there is no weight."""
    rows = sorted((value, weight) for value, weight in values if weight > 0)
    half, cumulative = sum(weight for _, weight in rows) / 2, 0.0
    for value, weight in rows:
        cumulative += weight
        if cumulative >= half:
            return value
    return 0.0


class FleetLoad:
    """The newest report of each pilot, this one (`me`) included, and the totals computed from them."""

    def __init__(self, me: str, op_values: Sequence[OpValue]) -> None:
        self.me = me
        self.op_values = list(op_values)
        self.rows: dict[str, LoadReport] = {}

    def add_report(self, pilot: str, report: LoadReport) -> bool:
        """Store a report; return whether it is plausible and newer than the stored one."""
        if not is_plausible(report, len(self.op_values)):
            return False
        held = self.rows.get(pilot)
        if held is not None and (report.start, report.seq) <= (held.start, held.seq):
            return False
        self.rows[pilot] = report
        return True

    def weight(self, pilot: str, now: int) -> float:
        """Return a report's weight: 1 while it is fresh, then falling with its age."""
        age = now - self.rows[pilot].at
        return (
            1.0
            if age <= FRESH_FOR_US
            else max(0.0, 1.0 - (age - FRESH_FOR_US) / (STALE_AFTER_US - FRESH_FOR_US))
        )

    def totals(self, now: int, gone: Iterable[str] = ()) -> Totals:
        """Return the fleet's totals; a report that has lost weight is replaced by the median in proportion.

        `gone`: pilots that left or are considered dead. They are left out, as their proxies move to others.
        """
        left = set(gone) - {self.me}
        weights = {name: self.weight(name, now) for name in self.rows if name not in left}
        flows = self._clamp_outliers(
            [(self.rows[name].flows, weight) for name, weight in sorted(weights.items())]
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
            pressure=self._pressure(weights),
            mix=tuple(one / offered for one in work) if offered else (),
            pilots=len(weights),
            repeats=sum(flow.repeats for flow in summed),
        )

    def _clamp_outliers(
        self, rows: list[tuple[tuple[Flow, ...], float]]
    ) -> list[tuple[tuple[Flow, ...], float]]:
        """Clamp each figure to a multiple of its median, so that a faulty report has little effect."""
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
        """Return the stand-in for a pilot whose report has lost weight."""
        return Flow._make(
            [*(weighted_median((flows[kind][n], weight) for flows, weight in rows) for n in range(6)), 0.0]
        )

    def _pressure(self, weights: dict[str, float]) -> float:
        """Return the median of the pilots' pressures, weighted by ops. No pilot's weight exceeds the median
        one, so that none dominates.
        """
        reported = [
            (self.rows[name].pressure, weight, self.rows[name].ops) for name, weight in weights.items()
        ]
        median_ops = weighted_median((ops, weight) for _, weight, ops in reported)
        return weighted_median(
            (pressure, weight * min(ops, median_ops or ops)) for pressure, weight, ops in reported
        )

    def others_share(self, now: int, gone: Iterable[str] = ()) -> Optional[float]:
        """Return the weighted median of the other pilots' shares, the larger where two qualify; None if no
        report has weight.
        """
        left = {*gone, self.me}
        reported = [
            (report.share, self.weight(name, now)) for name, report in self.rows.items() if name not in left
        ]
        return (
            1.0 - weighted_median((1.0 - share, weight) for share, weight in reported)
            if any(weight > 0 for _, weight in reported)
            else None
        )


def gain_for_delay(target: int, delay: int) -> float:
    """Return the controller's gain for reports that are `delay` (us) old; a longer delay needs a lower gain
    to be stable.
    """
    return min(MAX_GAIN, GAIN_FACTOR * target / max(1, delay))


def merit_order(op_values: Sequence[OpValue]) -> tuple[int, ...]:
    """Return the indexes of the op types, by earnings for their cost, highest first."""
    return tuple(sorted(range(len(op_values)), key=lambda n: (-op_values[n].earnings / op_values[n].cost, n)))


def shares(share: float, order: Sequence[int], mix: Sequence[float]) -> list[float]:
    """Return the admitted part of each op type where `share` of all work is admitted: each type in order is
    filled before the next.
    """
    found = [1.0] * len(mix)
    left = share
    for kind in order:
        found[kind] = 1.0 if mix[kind] <= 0 else min(1.0, max(0.0, left) / mix[kind])
        left -= mix[kind]
    return found


def fair_cap(rates: Sequence[float], share: float) -> float:
    """Return the cap on each of `rates` with which `share` of their sum remains (max-min fairness); inf if
    nothing is capped.
    """
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
    """Computes the share to admit from what the fleet carries. The same totals give the same answer on every
    pilot.

    While endpoints are busy, the acked work is their capacity, so the share follows it, corrected by the
    pressure's distance from its target; while they run idle, more is admitted step by step, up to what was
    carried before.
    """

    op_values: list[OpValue]
    now: int
    gain: float = 1.0  # see `gain_for_delay`
    state: str = "calm"
    share: float = 1.0
    carried: float = 0.0  # work acked a second, smoothed
    known: float = 0.0  # known capacity: work a second carried in time lately
    limit: float = 0.0  # work a second admitted while limited
    steps_above: int = 0  # consecutive steps above ENGAGE_PRESSURE
    steps_others_shed: int = 0  # consecutive steps in which the others shed
    fits_since: Optional[int] = None
    stuck_since: Optional[int] = None
    jam_until: int = 0
    jam_not_before: int = 0
    why: str = ""
    order: tuple[int, ...] = field(default=())

    def __post_init__(self) -> None:
        self.order = merit_order(self.op_values)

    def step(self, now: int, totals: Totals, others: Optional[float] = None) -> Answer:
        """Return the answer for the present totals. `others`: the median share of the other pilots."""
        elapsed, self.now = now - self.now, now
        if elapsed > RESTART_GAP_US:  # suspended meanwhile: adopt the others' share
            self._restart(totals, 1.0 if others is None else others)
            return self._answer(totals)
        self.carried += SMOOTHING * (totals.acked - self.carried) if self.carried else totals.acked
        if totals.pressure <= ENGAGE_PRESSURE:
            self.known = max(self.known, self.carried)
        elif self.state == "limited":  # busy, and less is carried: the capacity has dropped
            self.known = max(self.carried, CAPACITY_DECAY * self.known)
        self.steps_above = self.steps_above + 1 if totals.pressure > ENGAGE_PRESSURE else 0
        required_steps = (
            ENGAGE_STEPS_AT_START
            if not self.known
            else 1
            if totals.pressure > ENGAGE_NOW_PRESSURE
            else ENGAGE_STEPS
        )
        self.steps_others_shed = (
            self.steps_others_shed + 1 if others is not None and others < JOIN_OTHERS_SHARE else 0
        )
        if self.state == "calm" and self.steps_above >= required_steps:
            self._enter("limited", f"ops take {totals.pressure:.2f} of the target")
            self.limit = self._sustainable(totals)
        elif self.state == "calm" and self.steps_others_shed >= ENGAGE_STEPS and others is not None:
            self._enter("limited", f"the other pilots admit {others:.2f}")
            self.limit = others * totals.offered
        elif self.state == "limited":
            self._adjust_limit(now, elapsed, totals)
        elif self.state == "jam":
            self._leave_jam(now, totals)
        self._detect_jam(now, totals)
        own = (
            1.0
            if self.state == "calm"
            else min(1.0, max(MIN_SHARE, self.limit / totals.offered if totals.offered else 1.0))
        )
        if others is not None and self.state != "calm":
            own += CONSENSUS_PULL * (others - own)
        self.share = own
        return self._answer(totals)

    def _restart(self, totals: Totals, share: float) -> None:
        self._enter("limited" if share < 1.0 else "calm", "this pilot was suspended")
        self.share, self.limit = share, share * totals.offered
        self.carried, self.known = 0.0, 0.0

    def _sustainable(self, totals: Totals) -> float:
        """Return the work a second to admit at the present pressure."""
        return self.carried * max(
            0.0, 1 + self.gain * max(-MAX_PRESSURE_ERROR, TARGET_PRESSURE - totals.pressure)
        )

    def _adjust_limit(self, now: int, elapsed: int, totals: Totals) -> None:
        """Adjust the limit while load is shed, and lift it once all load has fitted for a while."""
        fits = totals.pressure < ENGAGE_PRESSURE and totals.offered < FITS_SHARE * self.known
        if totals.pressure < EASE_PRESSURE or fits:
            # Ops may take long without queueing: admit what was carried before.
            self.limit = (
                max(self.limit, self.carried) + RISE_PER_S * max(self.known, self.carried) * elapsed / 1e6
            )
        elif totals.pressure < TARGET_PRESSURE:  # the offered load falls, not the capacity
            self.limit = max(self._sustainable(totals), self.limit)
        else:
            self.limit = self._sustainable(totals)
        self.limit = max(self.limit, MIN_SHARE * totals.offered)
        if self.limit < totals.offered:
            self.fits_since = None
        elif self.fits_since is None:
            self.fits_since = now
        elif now - self.fits_since >= CALM_AFTER_US:
            self._enter("calm", "all offered work fits")

    def _detect_jam(self, now: int, totals: Totals) -> None:
        """Detect congestion that sustains itself: the offered load is below the known capacity, and yet
        endpoints are behind.
        """
        # If next to nothing is carried, the cause persists.
        stuck = (
            self.state != "jam"
            and totals.offered < JAM_OFFERED_SHARE * self.known
            and totals.pressure > ENGAGE_PRESSURE
            and self.carried > JAM_CARRIED_SHARE * self.known
        )
        if not stuck:
            self.stuck_since = None
        elif self.stuck_since is None:
            self.stuck_since = now
        elif now - self.stuck_since >= JAM_AFTER_US and now >= self.jam_not_before:
            self._enter(
                "jam",
                f"offered {totals.offered:.0f}, known {self.known:.0f}, carried {self.carried:.0f} a second",
            )
            self.jam_until, self.jam_not_before = now + MAX_JAM_US, now + MAX_JAM_US + JAM_COOLDOWN_US
            self.limit = JAM_LIMIT_SHARE * self.known

    def _leave_jam(self, now: int, totals: Totals) -> None:
        """End a jam when queues have drained, or when it has lasted too long."""
        if totals.pressure < EASE_PRESSURE:
            self._enter("limited", "the queues have drained")
            self.limit = max(self.carried, JAM_LIMIT_SHARE * self.known)
        elif now >= self.jam_until:
            self._enter("limited", "no jam: the capacity has dropped")
            self.known = self.carried
            self.limit = self._sustainable(totals)

    def _enter(self, state: str, why: str) -> None:
        self.state, self.why = state, why
        self.fits_since, self.stuck_since, self.steps_above, self.steps_others_shed = None, None, 0, 0

    def _answer(self, totals: Totals) -> Answer:
        if self.state == "calm" or not totals.mix:
            return CALM._replace(
                state=self.state, order=self.order, mix=totals.mix, wait=REJECT_WAIT_US[self.state]
            )
        again = 0.0 if self.state == "jam" else MAX_REPEAT_RATIO * self.share
        return Answer(self.state, self.share, self.order, totals.mix, again, REJECT_WAIT_US[self.state])


@dataclass
class EndpointLoad:
    """The load of one endpoint as seen by this pilot's proxies; amounts decay with time."""

    tries: float = 0.0
    acked: float = 0.0
    full: float = 0.0
    came: float = 0.0  # ops for its slices, including rejected ones
    in_flight: float = 0.0  # ops in flight, as last reported by proxies
    share_factor: float = 1.0  # its share relative to the fleet's
    steps_overloaded: int = 0  # consecutive steps above ENGAGE_PRESSURE


class EndpointLoads:
    """Loads of the endpoints over about the last `window` microseconds; `target`: the tightest target latency
    (us); `gain`: see `gain_for_delay`. The loads give the pressure and each
    endpoint's own share, since one share for all would overload the slow endpoints and waste the fast ones.

    Reports are added as they come and decay only at each step, as a thousand proxies report on hundreds of
    endpoints twice a second.
    """

    def __init__(self, target: int, window: int, gain: float = 1.0) -> None:
        self.target = target
        self.gain = gain
        self.window = window
        self.decayed_at = 0
        self.lanes: defaultdict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self.held: dict[str, dict[str, float]] = {}  # reporter -> endpoint -> ops in flight

    def met(self, endpoint: str, tries: float, aborted: float, full: float = 0.0) -> None:
        """Count the outcomes of ops at an endpoint. `full`: the aborted ones that it had no room for."""
        load = self.lanes[endpoint]
        load.tries += tries
        load.acked += tries - aborted
        load.full += full

    def came(self, endpoint: str, ops: float) -> None:
        """Count ops for an endpoint, including rejected ones."""
        self.lanes[endpoint].came += ops

    def set_in_flight(self, who: str, under_way: dict[str, float]) -> None:
        """Replace a reporter's ops in flight; empty for one that has left."""
        for endpoint, count in self.held.pop(who, {}).items():
            load = self.lanes[endpoint]
            load.in_flight = max(0.0, load.in_flight - count)
        if under_way:
            self.held[who] = under_way
        for endpoint, count in under_way.items():
            self.lanes[endpoint].in_flight += count

    def _decay(self, now: int) -> None:
        """Decay all amounts up to `now`."""
        left = math.exp((self.decayed_at - now) / self.window) if now > self.decayed_at else 1.0
        self.decayed_at = max(now, self.decayed_at)
        for load in self.lanes.values() if left < 1.0 else ():
            load.tries, load.acked, load.full, load.came = (
                load.tries * left,
                load.acked * left,
                load.full * left,
                load.came * left,
            )

    def _pressure(self, load: EndpointLoad) -> Optional[float]:
        if load.acked + load.full + load.in_flight < 1:
            return None
        queue_pressure = load.in_flight / max(MIN_ACKED, load.acked) * self.window / self.target
        return min(
            MAX_PRESSURE, queue_pressure + FULL_PRESSURE * load.full / max(1.0, load.acked + load.full)
        )

    def look(self, now: int) -> tuple[float, float]:
        """Return the pressure, and the ops a second from which it was computed.

        Endpoints are weighted by their answered ops, so a hung one counts little; if none answers, by ops in
        flight.
        """
        self._decay(now)
        reported = []
        for endpoint, load in list(self.lanes.items()):
            pressure = self._pressure(load)
            if pressure is not None:
                reported.append((pressure, load.acked + load.full))
            elif load.tries + load.came + load.in_flight < 0.01:
                del self.lanes[endpoint]
        if reported and not any(ops > MIN_ACKED for _, ops in reported):
            reported = [
                (pressure, load.in_flight)
                for load in self.lanes.values()
                if (pressure := self._pressure(load)) is not None
            ]
        return weighted_median(reported), sum(ops for _, ops in reported) * 1e6 / self.window

    def shares(self, now: int, share: float) -> dict[str, float]:
        """Return the endpoints whose share differs from the fleet's.

        While the fleet sheds load this only redistributes it; otherwise an endpoint that stays overloaded is
        relieved alone.
        """
        self._decay(now)
        wanted = {endpoint: self._wanted(load) for endpoint, load in self.lanes.items()}
        reported = [
            (part, self.lanes[endpoint].came) for endpoint, part in wanted.items() if part is not None
        ]
        came = sum(ops for _, ops in reported)
        mean_part = sum(part * ops for part, ops in reported) / came if came else 0.0
        for endpoint, part in wanted.items():
            load = self.lanes[endpoint]
            overloaded = (self._pressure(load) or 0.0) > ENGAGE_PRESSURE
            load.steps_overloaded = load.steps_overloaded + 1 if overloaded else 0
            if (
                part is None
                or not mean_part
                or (share >= 1.0 and load.share_factor >= 1.0 and load.steps_overloaded < OVERLOADED_STEPS)
            ):
                load.share_factor = 1.0
                continue
            target_factor = (
                part / mean_part
                if share < 1.0
                else part
                if overloaded
                else load.share_factor * SHARE_FACTOR_GROWTH
            )
            load.share_factor += SHARE_FACTOR_SMOOTHING * (
                min(MAX_SHARE_FACTOR, max(MIN_SHARE_FACTOR, target_factor)) - load.share_factor
            )
        found = {
            endpoint: min(1.0, share * load.share_factor)
            for endpoint, load in self.lanes.items()
            if load.share_factor != 1.0
        }
        return {endpoint: own for endpoint, own in found.items() if abs(own - share) > 0.01 * share}

    def _wanted(self, load: EndpointLoad) -> Optional[float]:
        """Return the part of the offered ops that an endpoint can serve; None if there were too few."""
        pressure = self._pressure(load)
        if pressure is None or load.came < MIN_ENDPOINT_OPS:
            return None
        return (
            load.acked
            / load.came
            * max(MIN_SHARE_FACTOR, 1 + self.gain * max(-MAX_PRESSURE_ERROR, TARGET_PRESSURE - pressure))
        )
