"""All decisions of a cedarshift pilot; no I/O, and no clock but the time passed in.

The host builds Pilot(terms), calls an on_... method for each thing learnt, which only updates what is known,
then next_decision(now) until it returns None. A decision is a plain tuple, verb first. Types, verbs and units
are in cedarshift/interface.py; the mechanism is told in docs/design.md."""

from __future__ import annotations

import math
from collections import deque
from itertools import takewhile
from typing import Collection, Iterable, Optional

from cedarshift.diagnostics import DecisionCounts, HandOverWait, NoMoveReason
from cedarshift.interface import Entry, PilotConfig
from cedarshift.judge.chance import Lcg
from cedarshift.judge.order_channel import MAX_ACK_PAUSE, OrderChannel
from cedarshift.judge.write_stops import BARRIER_MODULUS, WriteStops
from cedarshift.observations import (
    EMPTY,
    MOVE_COOLDOWN,
    OWNED,
    REVOKING,
    SETTLING,
    Endpoint,
    Proxy,
    Slice,
    rendezvous,
)

# Constants: unit, then the reason for the size.
POLL_INTERVAL = 250  # 0.1 ms; how often a pilot looks at what is due: small beside any lease or grace
ESTIMATE_INTERVAL = 2_000  # 0.1 ms; rates and warmth change slowly beside this
MIN_CHECK_INTERVAL = 20_000  # 0.1 ms; the mover's pace: jams grow within seconds, so under the design's 5 s
HOT_MARGIN = 0.2  # share over the mean at which an endpoint counts as hot: the design's figure
MIN_HOT_CHECKS = 2  # checks; the design's two, so that one late report moves nothing
MIN_MOVES_PER_CHECK = 2  # slices; the design's figure, in a small fleet
ENDPOINTS_PER_MOVE = 8  # endpoints to a move a turn in a larger fleet: hot slices come several at a time
MAX_MOVES_PER_SOURCE = 2  # slices that one hot endpoint gives up a turn: more would overshoot on late sums
STRAINED_ABORT_SHARE = 0.08  # share of ops aborted beyond the middle endpoint's: an endpoint worth relieving
STRAINED_LATENCY_SHARE = 0.4  # share of the tightest target latency; under it a hot endpoint is in time
MAX_REPORT_DELAY = 15_000  # 0.1 ms; how late a sum may come; one begun sooner after a move tells of before
WINDOW_REPORTS = 4  # report periods over which figures are worked out; fewer is noise, more is late
MIN_WINDOW = 40_000  # 0.1 ms; with short periods, less time than this holds too few ops
MIN_SPEED_SAMPLES = 4  # sums with acks; fewer say little of an endpoint's speed
MAX_SPEED_RATIO = 2.0  # times as fast as the middle endpoint, or as slow; more is chance or a queue
MIN_PATH_OPS = 40  # ops; what fewer say of the way from a zone to a zone is chance
PATH_LOSS_SHARE = 0.2  # share of ops lost more than on the best way; less is chance in a few dozen ops
PATH_DELAY_SHARE = 0.3  # share of the tightest target latency that acks take longer than on the best way
SICK_ABORT_SHARE = 0.75  # share of ops aborted; what loses a third of all ops seldom reaches it by chance
MIN_SICK_OPS = 12  # ops; fewer tell nothing of a share, and each endpoint is judged again and again
MAX_SICK_SHARE = 0.34  # share of endpoints; when more look bad at once the cause is not the endpoint
SICK_LATENCY_SHARE = 0.7  # share of the tightest target latency; slower acks beside the aborts tell overload
SICK_PERIOD = 150_000  # 0.1 ms; no slices for a sick endpoint, doubled for each time it was sick again
COLD_INITIAL_SHARE = 0.5  # share of a cold budget given first: how fast the machine is shows only in its sums
FULL_BUDGET_ACK_RATIO = (
    1.75  # acked share of all that comes by the tipping multiple: less shrinks cold budgets
)
MIN_BUDGET_SCALE = 0.1  # share; sums that came apart in time must not shrink a cold budget to nothing
COLD_LOAD_SHARE = 0.6  # share of the tipping load past which a restarted owner gives slices up
LEVEL_STEP = 0.05  # added to the level a check; full again within some ten checks
LEVEL_BACKOFF = 0.85  # what is left of the level after a check under overload
MIN_LEVEL = 0.6  # the level never goes below: deeper cuts reject what would be acked
OVERLOAD_LATENCY_SHARE = (
    0.7  # share of the tightest target latency that the middle endpoint takes under overload
)
MIN_LIST_RETRY = 10_000  # 0.1 ms; first wait after a failed list call, doubled up to a quarter of the bound
LIST_RENEWAL_WAITS = 8  # longest waits after which a subscription that seems sound is asked for again
ALL_OP_TYPES = 0  # the mask that stands for all classes
ALL_TABLES = 65535  # the table number that stands for all
ENDPOINT_RETENTION = 600_000  # 0.1 ms; longer than a machine takes to restart; what was known is old by then
HAND_OVER_TIMEOUT_DIVISOR = 2  # of the time that a proxy may be without a line: the rest is for the way of the order through a slow channel
ACK_TIMEOUT_TRANSITS = (
    2  # longest ways to a proxy after which an acknowledgement that has not come is asked for again
)
MARK_MODULUS = BARRIER_MODULUS


class Pilot:
    def __init__(self, terms: PilotConfig) -> None:
        self.single_owner, self.gone_binds, self.asks_list = (
            terms.single_owner,
            terms.gone_binds,
            terms.asks_list,
        )
        self.zones = list(terms.zones)
        ops = terms.op_types
        self.op_type_count = max(1, len(ops))
        self.write_mask = sum(1 << i for i, op in enumerate(ops) if op.writes)
        self.own_zone_mask = sum(1 << i for i, op in enumerate(ops) if op.own_zone)
        self.min_target_latency = min((op.target_latency for op in ops), default=0)
        self.max_op_timeout = max((op.op_timeout for op in ops), default=0)
        self.can_close_writes = terms.levels != "none" and self.single_owner and bool(self.write_mask)
        self.supports_level = terms.levels == "fraction"
        self.retries = terms.retry_default
        self.lease, self.settle_time = (terms.lease, terms.in_flight_most) if self.single_owner else (0, 0)
        self.window = max(WINDOW_REPORTS * terms.report_period, MIN_WINDOW)
        self.check_interval = max(MIN_CHECK_INTERVAL, terms.report_period)
        self.pilots, self.pilot_index, self.total_slices = (
            max(1, terms.pilots),
            terms.pilot_index,
            terms.slices,
        )
        self.cold_share, self.warm_within, self.tip_multiple = (
            terms.cold_share,
            terms.warm_within,
            terms.tip_multiple,
        )
        self.channel = OrderChannel(terms)
        # A drained endpoint's lines go so long after it was heard, less the channel's queue: an op taken in
        # before may still wait for its connection.
        self.grace = terms.drain_grace - terms.drain_grace // 6 - terms.transit_most - terms.connect_most
        self.max_list_retry = max(MIN_LIST_RETRY, terms.ask_within // 4)
        self.endpoints: dict[str, Endpoint] = {}
        self.stops = WriteStops(self.lease, terms.transit_most)
        self.proxies = self.stops.proxies
        # Without a line for so long, a slice names its former owner again, closed; a move that waits for so long is given up.
        self.hand_over_timeout = terms.empty_for / HAND_OVER_TIMEOUT_DIVISOR if terms.empty_for else math.inf
        self.ack_timeout = MAX_ACK_PAUSE + ACK_TIMEOUT_TRANSITS * terms.transit_most
        self.slices: dict[int, Slice] = {}
        self.mark = Lcg(terms.seed).draw(MARK_MODULUS)  # the first one by chance: no mark of a life before
        self.unmarked_proxies: set[int] = set()  # proxies joined since then: no mark has reached them
        self.alarm_nonce = 0  # nonce of the alarm that counts
        self.next_list_request_at, self.list_retry_delay = 0, MIN_LIST_RETRY
        self.next_check_at = 0  # when the mover and the level look next
        self.planned_moves: dict[
            int, str
        ] = {}  # slice -> target: moves of the newest check that have not gone out yet
        self.level, self.level_sent = 1.0, 1.0
        self.installed: dict[tuple[int, str], bool] = {}
        self.path_penalties, self.path_penalties_to = (
            {},
            {},
        )  # what ways lose and delay; the same by the endpoints' zone
        self.sorted_slices: Optional[list[Slice]] = None  # all slices by number; None: one came or went
        self.candidates: Optional[list[tuple]] = None  # who may take slices, worked out once a turn
        self.budgets: dict[str, float] = {}  # empty: nobody divides them; the lot gives cold endpoints
        self.inputs_changed, self.estimated_at = (
            True,
            0,
        )  # the list, the charge or the orders changed since the weigh-up
        self.owned_slices: dict[str, list[Slice]] = {}  # the slices that each endpoint owns
        self.mean_rate = 1e-3  # ops of a slice in 0.1 ms, until sums come
        self.counts = DecisionCounts()
        self.pending_decisions, self.wake_pending = (
            deque(),
            False,
        )  # decisions to hand out; a beat or a list came since the last

    # ---- inputs: only what is known changes here

    def on_list(self, now: int, kind: str, entries: list[Entry]) -> None:
        self.wake_pending = self.inputs_changed = True
        if kind == "unavailable":  # an unreachable list is not an empty one: the old one stands
            self.next_list_request_at, self.list_retry_delay = (
                now + self.list_retry_delay,
                min(self.max_list_retry, 2 * self.list_retry_delay),
            )
            return
        if kind != "restored":
            self.list_retry_delay, self.next_list_request_at = (
                MIN_LIST_RETRY,
                now + LIST_RENEWAL_WAITS * self.max_list_retry,
            )
        for e in entries:
            known = self.endpoints.setdefault(e.endpoint, Endpoint(e.endpoint))
            self._set_phase(known, e.phase, now - e.late)
            if e.started and e.started != known.started:
                known.reset()  # a new process: what the old one did tells nothing
                known.sick_until = 0
            known.size, known.zone = e.size, e.zone
            known.started = e.started if e.started is not None else known.started
        if kind in ("replace", "restored"):
            named = {e.endpoint for e in entries}
            for known in [known for name, known in self.endpoints.items() if name not in named]:
                self._set_phase(known, "off", now)

    def on_join(self, now: int, proxy: int, zone: str) -> None:
        self.stops.on_join(now, proxy, zone)
        self.unmarked_proxies.add(proxy)

    def on_leave(self, now: int, proxy: int) -> None:
        self.stops.on_leave(now, proxy)

    def on_slice_assigned(self, now: int, slice_id: int, given: bool) -> None:
        self.inputs_changed = True
        self.slices.pop(slice_id, None)
        self.planned_moves.pop(slice_id, None)  # if it comes back, with an owner that nothing was decided for
        self.sorted_slices = None
        if given:
            s = self.slices[slice_id] = Slice(slice_id, now)
            # No line held: a hand-over was cut off, so the lease and the settle time are waited out.
            s.state = REVOKING if self.single_owner else EMPTY
            self.level_sent = 1.0  # levels are reset at a giving

    def on_stored_owner(self, now: int, slice_id: int, endpoint: str, all_closed: bool = False) -> None:
        """`all_closed`: the line was held with every class closed, unless the slice was another pilot's since: it is revoked anew."""
        s = self.slices.get(slice_id)
        if s:
            s.state, s.owner, s.has_line = OWNED, endpoint, True
            s.writes_closed = s.all_closed = all_closed
            if endpoint not in self.endpoints:  # in a store's line but in no list: as good as gone
                self.endpoints[endpoint] = Endpoint(endpoint)
                self._set_phase(self.endpoints[endpoint], "off", now)

    def on_ack(self, now: int, proxy: int, mark: int, took: int) -> None:
        p = self.proxies.get(proxy)
        batch = self.channel.find_batch(mark)
        in_force_at = (
            min(now, batch.ordered_at + took) if batch else now
        )  # it took effect before it was heard
        if p and self.stops.on_ack(now, p, mark, in_force_at) and batch:
            batch.waiting -= batch.lines  # its message has left the channel
            self.channel.last_ack_latency = took
        self.channel.discard_before(mark)

    def on_stream_alive(self, now: int, began: int) -> None:
        """All acknowledgements up to now have been heard, in a stream of events that began at `began`. If there was none for so long,
        none is to come: what was ordered has left the channel, and the acknowledgements were lost."""
        silent = now - max(self.stops.last_ack_heard_at, self.channel.sent_at, began)
        if silent >= max(self.ack_timeout, ACK_TIMEOUT_TRANSITS * self.channel.last_ack_latency):
            self.channel.discard_all()

    def on_endpoint_report(
        self, now: int, endpoint: str, zone: str, tries: int, aborted: int, took: int, span: int
    ) -> None:
        if endpoint in self.endpoints and tries > 0:
            self.endpoints[endpoint].add_sample((now, tries, aborted, took, span, zone))

    def on_slice_report(
        self, now: int, slice_id: int, op_type: str, ops: int, unanswered: int, span: int
    ) -> None:
        if slice_id in self.slices:
            self.slices[slice_id].add_sample((now, ops, span, unanswered, op_type))

    def on_sick_warning(self, now: int, endpoint: str, until: int) -> None:
        if endpoint in self.endpoints:  # a peer found it sick; what it does here is judged as ever
            self.inputs_changed, known = True, self.endpoints[endpoint]
            known.sick_until = max(known.sick_until, until)

    def on_budgets(self, now: int, budgets: dict[str, float]) -> None:
        self.budgets = budgets  # the fleet's: endpoints to warm, "*": others; "": moves

    def on_alarm(self, now: int, nonce: int) -> None:
        self.wake_pending = self.wake_pending or nonce == self.alarm_nonce

    # ---- figures worked out from what is known

    def _set_phase(self, e: Endpoint, phase: str, now: int) -> None:
        """A list may call running endpoints gone. Where that does not bind, one that never was seen to drain
        is only "dropped": its sums decide. One that drained stays bound when it leaves the list."""
        if phase == "off" and e.phase != "fading" and not self.gone_binds:
            phase = "off" if e.phase == "off" else "dropped"
        if phase != "on" and e.phase == "on":
            e.leave_reported_at = now
        e.phase = phase

    def _is_live(self, e: Endpoint, now: int) -> bool:
        """Listed, or dropped from the list while its newest sums are acked (or have not had time to come).
        Guards against a wrong or stale list; a dead endpoint is left some sums later than its dropping."""
        if e.phase != "dropped":
            return e.phase == "on"
        tries, aborted, _ = self._newest_totals(e, now)
        return aborted <= SICK_ABORT_SHARE * tries if tries else now - e.leave_reported_at < self.window

    def _warmth(self, e: Endpoint, now: int) -> float:
        """Share of its median_time capacity that an endpoint has at least."""
        if not e.started or now - e.started >= self.warm_within:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0, now - e.started) / self.warm_within

    @staticmethod
    def _samples_since(samples: deque, at: int) -> list[tuple]:
        """The samples heard from a time on, newest first."""
        return list(takewhile(lambda s: s[0] >= at, reversed(samples)))

    def _sorted_slices(self) -> list[Slice]:
        if self.sorted_slices is None:
            self.sorted_slices = [s for _, s in sorted(self.slices.items())]
        return self.sorted_slices

    def _update_estimates(self, now: int) -> None:
        """Works out, at a pace of its own, the figures of the whole fleet that the decisions use."""
        self.inputs_changed, self.estimated_at, self.candidates = False, now, None
        self.live = [e for _, e in sorted(self.endpoints.items()) if self._is_live(e, now)]
        self.live_names = {e.name for e in self.live}
        self._update_path_penalties(now)
        self.endpoint_totals = {e.name: self._window_totals(e, now) for e in self.live}
        shares = sorted(aborted / tries for tries, aborted, _ in self.endpoint_totals.values() if tries) or [
            0.0
        ]
        self.median_abort_share = shares[len(shares) // 2]  # share of ops that abort at the middle endpoint
        self._detect_sick(now)
        self._update_slice_rates(now)
        self._remove_stale_endpoints(now)
        stay = {name for name in self.endpoints if not self._must_leave(name)}
        self.leaving = sum([s.owner not in stay for s in self._sorted_slices() if s.has_line])
        self._update_capacities(now)
        self.mean_capacity = sum(e.capacity for e in self.live) / max(1, len(self.live))
        self.fair_rate = sum(self.slice_rates.values()) / max(
            1e-9, self.mean_capacity * len(self.live)
        )  # fair for size 1
        self.fleet_slice_ratio = max(
            1.0, self.total_slices / max(1, len(self.slices))
        )  # all pilots' slices, in its own
        came = sum([s.ops for s in self._sorted_slices()])
        self.budget_scale = (
            max(MIN_BUDGET_SCALE, min(1.0, self.tip_multiple * self.acked_ops / came / FULL_BUDGET_ACK_RATIO))
            if came
            else 1.0
        )

    def _update_slice_rates(self, now: int) -> None:
        """Ops of each slice in a tenth of a millisecond, the mean where nothing was heard; who bears them."""
        sorted_slices = self._sorted_slices()
        for s in sorted_slices:
            if now > s.totals_valid_until:
                s.advance(now, self.window)
                s.rate = s.ops / max(1, s.span / self.op_type_count) if s.window_count else None
        if known := [s.rate for s in sorted_slices if s.rate is not None]:
            self.mean_rate = sum(known) / len(known)
        mean, more = self.mean_rate, self.mean_rate * 0.1
        rates = [(mean if s.rate is None else s.rate) + more for s in sorted_slices]
        self.slice_rates = {s.number: rate for s, rate in zip(sorted_slices, rates)}
        assigned_rates, held = self.assigned_rates, self.owned_slices = {}, {}
        for s, rate in zip(sorted_slices, rates):
            if bearer := s.target or s.owner:
                assigned_rates[bearer] = assigned_rates.get(bearer, 0.0) + rate
            if s.state == OWNED:
                held.setdefault(s.owner, []).append(s)

    def _remove_stale_endpoints(self, now: int) -> None:
        """An endpoint gone for long, that no slice names, is forgotten: where each start has a new id they
        pile up."""
        gone = [
            e.name
            for e in self.endpoints.values()
            if e.phase in ("off", "dropped") and now - e.leave_reported_at > ENDPOINT_RETENTION
        ]
        named = {name for s in self.slices.values() for name in (s.owner, s.target)} if gone else set()
        for name in set(gone) - named - self.live_names:
            del self.endpoints[name]

    def _update_capacities(self, now: int) -> None:
        """An endpoint's fair part is its listed size by its speed: its quicker acks against the fleet's."""
        quick = {
            e.name: e.ack_times[len(e.ack_times) // 4]
            for e in self.live
            if len(e.ack_times) >= MIN_SPEED_SAMPLES
        }
        median_time = sorted(quick.values())[len(quick) // 2] if quick else 1
        for e in self.live:
            speed = median_time / quick.get(e.name, median_time) if self._warmth(e, now) >= 1.0 else 1.0
            e.capacity = e.size * max(1 / MAX_SPEED_RATIO, min(MAX_SPEED_RATIO, speed))

    def _update_path_penalties(self, now: int) -> None:
        """How much worse a zone's proxies fare at a zone's endpoints than those that fare best there: a slow
        or lossy link, or proxies that stand still. No move or level cures that, so no endpoint is blamed.
        Harm: endpoints that fail for the zone with nearly all the traffic are left late."""
        self.path_penalties, self.path_penalties_to = {}, {}
        got: dict[tuple[str, str], list[list[int]]] = {}
        for e in self.live:
            if now > e.totals_valid_until:
                e.advance(now, self.window)
            for origin, part in e.totals_by_origin.items():
                got.setdefault((origin, e.zone), []).append(part)
        summed = {way: [sum(column) for column in zip(*parts)] for way, parts in got.items()}
        fare = {
            way: (tries, aborted, time / acked if acked else 0.0)
            for way, (tries, aborted, acked, time) in summed.items()
            if tries
        }
        self.acked_ops = sum(tries - aborted for tries, aborted, _ in fare.values())
        for zone in {z for _, z in fare}:
            share = {
                o: (m[1] / m[0], m[2]) for (o, z), m in fare.items() if z == zone and m[0] >= MIN_PATH_OPS
            }
            best = min((t for _, t in share.values() if t), default=0.0)
            for origin, (lost, took) in share.items():
                lost, late = lost - min(b for b, _ in share.values()), took - best
                if lost > PATH_LOSS_SHARE or late > PATH_DELAY_SHARE * self.min_target_latency:
                    self.path_penalties[origin, zone] = (lost, max(0.0, late))
                    self.path_penalties_to.setdefault(zone, []).append(
                        (origin, self.path_penalties[origin, zone])
                    )

    def _window_totals(self, e: Endpoint, now: int, after: int = 0) -> tuple[int, float, float]:
        """Tries, aborted ops and mean time of the acked ones over the last periods."""
        if now > e.totals_valid_until:
            e.advance(now, self.window)
        if (
            e.zone not in self.path_penalties_to and e.totals_valid_until - self.window - e.max_span >= after
        ):  # all begun by then
            tries, aborted, acked, time = e.totals
            return tries, aborted, time / acked if acked else 0.0
        got = self._samples_since(e.samples, now - self.window)
        return self._sum_samples([s for s in got if s[0] - s[4] >= after], e.zone)

    def _newest_totals(self, e: Endpoint, now: int) -> tuple[int, float, float]:
        """The same over the newest sums alone, as many as hold enough ops: a change shows there first."""
        path_penalties = self.path_penalties_to.get(e.zone)
        if e.newest_totals is not None and now <= e.newest_totals[0] and path_penalties == e.newest_totals[1]:
            return e.newest_totals[2]
        got: list[tuple] = []
        for s in reversed(e.samples):
            if now - s[0] > self.window or (sum(g[1] for g in got) >= MIN_SICK_OPS and s[0] != got[-1][0]):
                break
            got.append(s)
        e.newest_totals = (
            got[-1][0] + self.window if got else math.inf,
            path_penalties,
            self._sum_samples(got, e.zone),
        )
        return e.newest_totals[2]

    def _sum_samples(self, got: list[tuple], zone: str) -> tuple[int, float, float]:
        tries, aborted, acked, time = 0, 0.0, 0, 0.0
        for _, n, bad, took, _, origin in got:
            lost, late = self.path_penalties.get((origin, zone), (0.0, 0.0))
            tries, aborted = tries + n, aborted + max(0.0, bad - lost * n)
            if took > 0:
                acked, time = acked + n - bad, time + (n - bad) * max(1.0, took - late)
        return tries, aborted, time / acked if acked else 0.0

    def _detect_sick(self, now: int) -> None:
        """An endpoint that aborts most of what it is sent, fast or with no ack, unlike its peers, is sick.
        Slow acks tell overload: to take all its slices would pass the load on. The held ones count, so no
        chain of judgements empties the fleet. Harm: a sound one whose ops fail by the clients' fault."""
        met = {e.name: self._newest_totals(e, now) for e in self.live if now >= e.sick_until}
        bad = [
            e
            for e in self.live
            if e.name in met
            and (m := met[e.name])[0] >= MIN_SICK_OPS
            and m[1] > SICK_ABORT_SHARE * m[0]
            and max(m[2], self.endpoint_totals[e.name][2]) < SICK_LATENCY_SHARE * self.min_target_latency
            and not self._answers_some_op_type(e, now)
        ]
        if len(bad) + len(self.live) - len(met) <= MAX_SICK_SHARE * len(self.live):
            for e in bad:
                e.sick_until = now + (SICK_PERIOD << min(e.sick_count, 3))
                e.sick_count += 1
                e.reset()

    def _answers_some_op_type(self, e: Endpoint, now: int) -> bool:
        """Whether one op type at least is answered: such an endpoint is strained, not sick, and gives slices
        as the others can bear them; all at once would jam them and lose that type too."""
        met: dict[str, list[int]] = {}
        for s in self.owned_slices.get(e.name, ()):
            newest = {
                g[4]: g
                for g in reversed(self._samples_since(s.samples, max(s.state_since, now - self.window)))
            }
            for _, ops, _, unanswered, op_type in newest.values():
                met[op_type] = [a + b for a, b in zip(met.get(op_type, (0, 0)), (ops, unanswered))]
        return any(2 * ops >= MIN_SICK_OPS and 2 * bad < SICK_ABORT_SHARE * ops for ops, bad in met.values())

    def _is_unfit(self, name: Optional[str], now: int) -> bool:
        return name not in self.live_names or now < self.endpoints[name].sick_until

    def _must_leave(self, name: Optional[str]) -> bool:
        e = self.endpoints.get(name or "")
        return e is None or e.phase in ("fading", "off")

    def _leave_reported_at(
        self, s: Slice
    ) -> float:  # from when on the grace runs for its owner, if that must be left
        e = self.endpoints.get(s.owner or "")
        return max(e.leave_reported_at, s.assigned_at) if e and self._must_leave(e.name) else math.inf

    def _is_overdue(self, s: Slice, now: int) -> bool:
        return now >= self._leave_reported_at(s) + self.grace - self.channel.estimated_delay

    def _rate_limit(self, e: Endpoint, now: int) -> float:
        """What an endpoint may bear of this pilot's slices. A cold one is a budget of the tipping multiple
        that one pilot has whole, by lot: split among all of them it would not hold a single slice of any."""
        warmth = self._warmth(e, now)
        if warmth >= 1.0:
            return self.fair_rate * e.capacity
        if e.has_cold_budget is None:
            e.has_cold_budget = self.pilot_index == max(
                range(self.pilots), key=lambda pilot_index: rendezvous(e.name, pilot_index, 1.0)
            )
        if not self.budgets.get(e.name, self.budgets.get("*", e.has_cold_budget)):
            return 0.0
        fair = self.fleet_slice_ratio * self.fair_rate * min(e.capacity, self.mean_capacity)
        first = 1.0 if e.slice_gained_at > e.started else COLD_INITIAL_SHARE
        if first == 1.0 and now > e.slice_gained_at and not self._window_totals(e, now, e.slice_gained_at)[0]:
            return 0.0  # what it was given last has not shown in its sums yet
        return first * min(1.0, COLD_LOAD_SHARE * self.tip_multiple) * warmth * fair * self.budget_scale

    def _choose_within_limit(self, s: Slice, now: int) -> Optional[str]:
        """The rendezvous choice among live endpoints with room."""
        rate, assigned_rates = self.slice_rates[s.number], self.assigned_rates
        if self.candidates is None:
            self.candidates = self._find_candidates(now)
        fit = [
            (rendezvous(e.name, s.number, e.capacity), e.name)
            for e, room in self.candidates
            if assigned_rates.get(e.name, 0.0) + rate <= (self._rate_limit(e, now) if room is None else room)
        ]
        return max(fit)[1] if fit else None

    def _find_candidates(self, now: int) -> list[tuple[Endpoint, Optional[float]]]:
        """Who may take slices, and up to what burden; None for a cold one, whose room changes as it gains."""
        return [
            (e, self._rate_limit(e, now) if self._warmth(e, now) >= 1.0 else None)
            for e in self.live
            if now >= e.sick_until and not self._is_strained(self.endpoint_totals[e.name])
        ]

    def _choose_owner(self, s: Slice, now: int) -> Optional[str]:
        """With no room anywhere the least burdened warm endpoint takes an orphan, then a cold or sick one."""
        fit = [e for e in self.live if now >= e.sick_until]
        warm = [e for e in fit if self._warmth(e, now) >= 1.0] or fit or self.live
        full = {
            e.name: self.assigned_rates.get(e.name, 0.0) / (e.capacity * self._warmth(e, now)) for e in warm
        }
        return self._choose_within_limit(s, now) or min(
            full, key=lambda name: (full[name], name), default=None
        )

    def hand_over_waits(self, now: int) -> list[HandOverWait]:
        """Slices in the middle of a hand-over, those first that have been without a line for longest. For the log."""
        waits = [
            HandOverWait(
                s.number,
                s.state,
                now - s.state_since,
                0 if s.has_line or s.line_restored else now - s.empty_since,
            )
            for s in self._sorted_slices()
            if s.state != OWNED
        ]
        return sorted(waits, key=lambda wait: (-wait.without_line, -wait.age))

    def awaited(self, slice_id: int) -> list[int]:
        """Proxies that may still write to a slice's former owner, by number. For the log."""
        s = self.slices[slice_id]
        if s.state != REVOKING or s.mark is None:
            return []
        return list(self.stops.awaited(s))

    # ---- the slice's state machine: each step gives its lines

    def _revoke(self, s: Slice, now: int, target: Optional[str], at_once: bool = False) -> list[tuple]:
        """Closes the slice to writes. The owner's line stays for the other op types while the owner is
        sound: a pilot killed now leaves the old line, and levels are reset at a giving: the abort."""
        s.state, s.state_since, s.target, s.mark, s.passed_at = REVOKING, now, target, self.mark, None
        old = self.endpoints[s.owner]
        if self.can_close_writes and not at_once and old.phase != "off" and now >= old.sick_until:
            s.writes_closed = True
            return [("level", s.number, self.write_mask, 0, self.retries)]
        return self._clear(s, now)

    def _clear(self, s: Slice, now: int) -> list[tuple]:
        s.has_line, s.empty_since = False, now
        return [("line", s.number, s.owner, 0)]

    def _grant(self, s: Slice, now: int, owner: str) -> list[tuple]:
        self.assigned_rates[owner] = self.assigned_rates.get(owner, 0.0) + self.slice_rates[s.number]
        lines: list[tuple] = []
        if s.has_line and not self.single_owner and s.owner != owner:
            lines.append(("line", s.number, s.owner, 0))
        if not s.has_line or s.owner != owner:
            lines.append(("line", s.number, owner, 1))
        if s.writes_closed:
            lines.append(("level", s.number, self.write_mask, 1, self.retries))
        if s.all_closed:
            lines.append(("level", s.number, ALL_OP_TYPES, 1, self.retries))
        if s.owner != owner:
            s.moved_at = self.endpoints[owner].slices_changed_at = self.endpoints[owner].slice_gained_at = now
            if s.owner in self.endpoints:
                self.endpoints[s.owner].slices_changed_at = now
        s.state, s.owner, s.target, s.has_line, s.writes_closed, s.state_since = (
            OWNED,
            owner,
            None,
            True,
            False,
            now,
        )
        s.line_restored = s.all_closed = False
        return lines

    def _restore_closed_line(self, s: Slice) -> list[tuple]:
        """Names the former owner again with every class closed, where a proxy may still write to it: a slice must not be without a
        line for as long as the slowest proxy takes. Nothing is sent there; and if the pilot is killed now, and levels are opened by a
        giving, the one endpoint that may have writes in hand is the one that gets them."""
        self.counts.lines_held += 1
        s.line_restored = s.all_closed = True
        return [("level", s.number, ALL_OP_TYPES, 0, self.retries), ("line", s.number, s.owner, 1)]

    def _needs_restored_line(self, s: Slice, now: int) -> bool:
        """Whether a slice has been without a line for as long as a hand-over may wait for the proxies."""
        return (
            self.can_close_writes
            and s.owner in self.endpoints
            and not s.line_restored
            and self._empty_too_long(s, now)
        )

    def _empty_too_long(self, s: Slice, now: int) -> bool:
        return not s.has_line and now - s.empty_since >= self.hand_over_timeout

    def _may_return(self, s: Slice, now: int) -> bool:
        """Whether a sound owner gets the slice back: the target has become unfit, or the proxies take too long to stop."""
        if not s.owner or self._is_unfit(s.owner, now) or not (s.has_line or s.state == SETTLING):
            return False
        stalled = s.state == REVOKING and now - s.state_since >= self.hand_over_timeout
        return (stalled or s.target is None or self._is_unfit(s.target, now)) and self._warmth(
            self.endpoints[s.owner], now
        ) >= 1.0

    def _due(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """(urgency, slice, step, endpoint): what a rule asks for, then grants, then revokes, then moves."""
        due: list[tuple[int, int, str, Optional[str]]] = []
        stopped: dict[tuple, Optional[int]] = {}  # slices revoked by one turn have stopped together
        fit = {e.name for e in self.live if now >= e.sick_until}
        told: dict[int, float] = {}
        for s in [s for s in self._sorted_slices() if s.state != OWNED or s.owner not in fit or s.all_closed]:
            n = s.number
            told[n] = self._leave_reported_at(s)
            overdue = now >= told[n] + self.grace - self.channel.estimated_delay
            if s.state == REVOKING:
                turn = (s.mark, s.state_since, s.assigned_at)
                if turn not in stopped:
                    stopped[turn] = self.stops.stopped(s, now)
                if (at := stopped[turn]) is not None:
                    s.state, s.state_since = SETTLING, at
            if s.state == SETTLING and now >= s.state_since + self.settle_time:
                s.state = EMPTY
            sound = not self._is_unfit(s.owner, now)
            if s.state == OWNED and s.all_closed:
                due.append((0, n, "shed", None))
            elif s.state == OWNED and not sound:
                urgency = 0 if overdue else 1 if self._must_leave(s.owner) else 2
                due.append((urgency, n, "revoke", None))
            elif s.state in (REVOKING, SETTLING):
                if s.has_line and overdue:
                    due.append((0, n, "clear", None))
                elif self._may_return(s, now):
                    due.append((1, n, "grant", s.owner))  # the abort
                elif self._needs_restored_line(s, now):
                    due.append((0, n, "hold", None))
            elif s.state == EMPTY:
                due.append((0 if self._empty_too_long(s, now) else 1, n, "grant", None))
        return sorted(due + self._cold_excess(now), key=lambda d: (d[0], told.get(d[1], math.inf), d[1]))

    def _cold_excess(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """A restarted owner is cold with all its slices: those past its budget leave, the last one too."""
        due = []
        for e in self.live:
            warmth = self._warmth(e, now)
            limit = (
                COLD_LOAD_SHARE * self.tip_multiple * warmth * self.budget_scale * self.fair_rate * e.capacity
            )
            over = self.assigned_rates.get(e.name, 0.0) - limit
            for s in self.owned_slices.get(e.name, ()) if warmth < 1.0 else ():
                if over > 0 and s.state == OWNED:
                    over -= self.slice_rates[s.number]
                    due.append((0, s.number, "shed", None))
        return due

    # ---- the cautious mover and the level

    def _current_moves(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """The moves of the newest check that still hold. One that finds no room waits for the next turn that has some: to drop
        it would be to drop the checks that led to it, and under a release no turn finds the channel without unacked lines."""
        if now >= self.next_check_at:
            self._plan_moves(now)
        return [
            (3, number, "move", target)
            for number, target in self.planned_moves.items()
            if (s := self.slices.get(number))
            and s.state == OWNED
            and not self._is_unfit(target, now)
            and not self._is_unfit(s.owner, now)
        ]

    def _plan_moves(self, now: int) -> None:
        """Plans anew the moves that may go until the next check."""
        self.counts.record_check(now)
        self.next_check_at = now + self.check_interval
        self._set_level([self.endpoint_totals[e.name] for e in self.live if now >= e.sick_until])
        load = {e.name: load for e in self.live if (load := self._mean_time(e, now)) is not None}
        mean = sum(load.values()) / max(1, len(load))
        min_interval = max(1e-9, sum(self.slice_rates.values())) / max(1, len(self.live))
        empty = sum(e.name not in self.assigned_rates for e in self.live) // self.pilots  # its share of those
        most = max(MIN_MOVES_PER_CHECK, len(self.live) // ENDPOINTS_PER_MOVE, empty)
        most = min(most, self.budgets.get("", math.inf) - sum(bool(s.target) for s in self.slices.values()))
        self.planned_moves = {}
        moving = {name for s in self.slices.values() if s.state != OWNED for name in (s.target, s.owner)}
        idle = [
            e
            for e in self.live
            if e.name not in moving
            and now - e.slices_changed_at >= MAX_REPORT_DELAY + self.window
            and not self._is_unfit(e.name, now)
            and self._warmth(e, now) >= 1.0
            and not self._is_strained(self.endpoint_totals[e.name])
        ]
        coolest: Optional[Endpoint] = None  # of the idle ones, until a slice is given to it
        for e in sorted(self.live, key=lambda e: (-load.get(e.name, mean), e.name)):
            full = self.assigned_rates.get(e.name, 0.0) > self.fair_rate * e.capacity * (1 + HOT_MARGIN)
            hot = self._is_strained(self.endpoint_totals[e.name]) and (
                full or load.get(e.name, mean) > mean * (1 + HOT_MARGIN)
            )
            e.hot_checks = e.hot_checks + 1 if hot else 0  # an endpoint with no fresh sums is not hot
            e.no_move_reason = None if not hot else NoMoveReason.FIRST_CHECK
            if e.hot_checks < MIN_HOT_CHECKS:
                continue
            moved, e.no_move_reason = 0, NoMoveReason.RECENTLY_MOVED
            own = [
                s
                for s in self.owned_slices.get(e.name, ())
                if s.state == OWNED
                and now - s.moved_at >= MOVE_COOLDOWN
                and now - s.assigned_at >= self.lease
            ]
            own.sort(key=lambda s: (-self.slice_rates[s.number], s.number))
            for s in own:
                # Its part is its ops at the fleet's median_time cost: a jammed source's own tell of its queue.
                part = mean * self.slice_rates[s.number] / min_interval
                if len(self.planned_moves) >= most or moved >= MAX_MOVES_PER_SOURCE:
                    e.no_move_reason = None if moved else NoMoveReason.MOVE_LIMIT
                    break
                coolest = coolest or min(idle, key=lambda t: (load.get(t.name, mean), t.name), default=None)
                cool = (coolest or e).name
                if cool == e.name or load.get(cool, mean) + part >= load.get(e.name, mean) - part:
                    # Where most are jammed none is far above the mean: who is past the fair share gives.
                    cool = self._choose_within_limit(s, now) if full else None
                e.no_move_reason = None if cool or moved else NoMoveReason.NO_TARGET
                if cool:
                    self.planned_moves[s.number] = cool
                    load[cool] = load.get(cool, mean) + part  # so that not all go to one
                    coolest = None
                    self.assigned_rates[cool] = (
                        self.assigned_rates.get(cool, 0.0) + self.slice_rates[s.number]
                    )
                    moved += 1

    def _mean_time(self, e: Endpoint, now: int) -> Optional[float]:
        """Mean time of an op, by sums begun after the last move; an aborted one counts as an op timeout.
        Reports are not read: a count means little between machines, and a false nought draws slices."""
        tries, aborted, took = self._window_totals(e, now, e.slices_changed_at + MAX_REPORT_DELAY)
        return ((tries - aborted) * took + aborted * self.max_op_timeout) / tries if tries else None

    def _is_strained(self, met: tuple[int, int, float]) -> bool:
        """A hand-over costs seconds of writes: not for one in time that aborts no more than its peers."""
        tries, aborted, took = met
        return (
            tries > 0
            and aborted > (STRAINED_ABORT_SHARE + self.median_abort_share) * tries
            or took > STRAINED_LATENCY_SHARE * self.min_target_latency
        )

    def _set_level(self, met: list[tuple[int, int, float]]) -> None:
        """Only the middle endpoint's slow acks tell of overload; a few full ones are left to the mover."""
        slow = sorted(took for tries, _, took in met if tries) or [0.0]
        if slow[len(slow) // 2] > OVERLOAD_LATENCY_SHARE * self.min_target_latency:
            self.level = max(MIN_LEVEL, self.level * LEVEL_BACKOFF)
        else:
            self.level = min(1.0, self.level + LEVEL_STEP)

    # ---- the outlet: every order passes here

    def _send_batch(self, now: int) -> None:
        """All that is due and fits becomes one delta message a proxy, with one mark."""
        joined = sum(p.joined for p in self.proxies.values())
        channel = self.channel
        if not channel.ready(now, joined):
            return
        self.candidates = None
        channel.estimate_delay(now, joined, self.leaving)
        due = self._due(now)
        if channel.must_wait_for_acks(now, joined, self._line_count_due(due), self.stops.last_ack_heard_at):
            self.counts.waits_for_acks += 1
            return
        if now - channel.sent_at >= 2 * channel.min_interval:  # so that a drain seldom meets a turn just gone
            due += self._current_moves(now)
        revoked = {
            (s.mark, s.state_since, s.assigned_at): s
            for s in self._sorted_slices()
            if s.state == REVOKING and s.mark is not None
        }.values()
        unmarked = channel.fits_barrier(joined) and self._needs_barrier(revoked, now)
        if self.supports_level and self.slices and abs(self.level - self.level_sent) >= LEVEL_STEP / 2:
            due.append((3, -1, "level", None))
        if not (due or unmarked):
            return
        self.mark = (self.mark + 1) % MARK_MODULUS
        lines: list[tuple] = []
        for at, (urgency, n, step, name) in enumerate(due):
            if not channel.fits(urgency, joined, len(lines)):
                self.counts.moves_without_room += sum(one[2] == "move" for one in due[at:])
                break
            lines += self._apply_step(step, self.slices.get(n), name, now)
        if lines or unmarked:
            self.counts.record_batch(bool(lines))
            self.inputs_changed = True
            lines.append(("mark", self.mark, True))
            self.pending_decisions.extend(lines)
            channel.send(now, self.mark, joined, len(lines))
            self.unmarked_proxies.clear()
        else:
            self.mark = (self.mark - 1) % MARK_MODULUS  # nothing fitted: an unsent mark would use up the ring

    def _needs_barrier(self, revoked: Collection[Slice], now: int) -> bool:
        """Whether a barrier goes out by itself: for proxies that have joined since the last one, or as an acknowledgement may be lost."""
        if now - self.channel.sent_at >= self.ack_timeout:
            asked: Iterable[Proxy] = (proxy for proxy in self.proxies.values() if proxy.joined)
        else:
            asked = (self.proxies[number] for number in self.unmarked_proxies)
        return any(self.stops.stop(proxy, s) is None for proxy in asked for s in revoked)

    def _line_count_due(self, due: list[tuple]) -> int:
        """Lines a proxy that a batch needs for all that a rule asks for and all grants, its barrier among them."""
        return 1 + sum(
            self._line_count(step, self.slices[number]) for urgency, number, step, _ in due if urgency <= 1
        )

    def _line_count(self, step: str, s: Slice) -> int:
        """Lines a proxy that a step of a slice's hand-over takes, as `_step` gives them at most."""
        if step == "hold":
            return 2
        if step != "grant":
            return 1
        return 1 + s.writes_closed + s.all_closed + (s.has_line and not self.single_owner)

    def _apply_step(self, step: str, s: Optional[Slice], name: Optional[str], now: int) -> list[tuple]:
        if step == "level":
            self.level_sent = self.level
            return [("level", ALL_TABLES, 0, round(self.level, 3), self.retries)]
        if step == "move":
            self.endpoints[s.owner].hot_checks = 0
            del self.planned_moves[s.number]
        if step in ("revoke", "move", "shed"):
            return self._revoke(s, now, name, step == "shed" or self._is_overdue(s, now))
        if step == "clear":
            return self._clear(s, now)
        if step == "hold":
            return self._restore_closed_line(s)
        owner = (
            name or (s.target if not self._is_unfit(s.target, now) else None) or self._choose_owner(s, now)
        )
        return self._grant(s, now, owner) if owner else []

    def _install_tables(self, now: int) -> None:
        """Sites without slices: one table for all, or one a zone where an op type must stay in its zone."""
        zones = self.zones if self.own_zone_mask else [""]
        warm = [e for e in self.live if self._warmth(e, now) >= 1.0] or self.live
        for t, zone in enumerate(zones):
            want = {e.name for e in warm if not zone or e.zone == zone}
            for name in sorted(want | {n for k, n in self.installed if k == t}):
                if self.installed.get((t, name), False) != (name in want) and (
                    want or not self._must_leave(name)
                ):
                    self.pending_decisions.append(
                        ("line", t, name, self.endpoints[name].size if name in want else 0)
                    )
                    self.installed[t, name] = name in want
        for n, p in sorted(self.proxies.items()):
            t = zones.index(p.zone) if p.zone in zones else 0
            if p.joined and p.table is None and any(on for (k, _), on in self.installed.items() if k == t):
                p.table = t
                self.pending_decisions.append(("install", n, 0, t))

    def next_decision(self, now: int) -> Optional[tuple]:
        if self.wake_pending and not self.pending_decisions:
            self.wake_pending = False
            if self.asks_list and now >= self.next_list_request_at:
                self.next_list_request_at = now + self.max_list_retry
                self.pending_decisions.append(("ask_list", True))
            if self.inputs_changed or now >= self.estimated_at + ESTIMATE_INTERVAL:
                self._update_estimates(now)
            if self.total_slices:
                self._send_batch(now)
            else:
                self._install_tables(now)
            self.alarm_nonce += 1  # an alarm asked for earlier is passed over
            self.pending_decisions.append(("wake", POLL_INTERVAL, self.alarm_nonce))
        return self.pending_decisions.popleft() if self.pending_decisions else None
