"""Decisions of a pilot: which endpoint owns each slice, and the admission level.

No I/O; time is passed in. The host builds a `Pilot`, reports events through the `on_...` methods, which only
update state, and then calls `next_decision(now)` until it returns None. `cedarshift/interface.py` defines the
types, decisions, units and terms.

A hand-over revokes a slice from its owner, waits until no proxy may write to that owner, lets ops in flight
settle and grants the slice to another endpoint. Its steps:

- revoke, move, shed: close the slice to writes or remove its line. A move has a target. A shed removes the
  line at once, to relieve a cold owner or to revoke a held slice again.
- clear: removes the line of a slice that is closed to writes.
- hold: sets the former owner's line again with all op types closed.
- grant: assigns the slice to an owner and reopens it.
- retract: revokes the slice from the owner of a grant that may be in force, see `on_grant_withheld`.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import takewhile
from typing import Collection, Iterable, Optional

from cedarshift.diagnostics import DecisionCounts, HandOverWait, NoMoveReason
from cedarshift.interface import DecisionConfig, Entry
from cedarshift.judge.assignment_lease import AssignmentLease
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
    Ungranted,
    rendezvous,
)

# Durations are in units of 0.1 ms. Shares are fractions of 1.
POLL_INTERVAL = 250  # from a decision round to its "wake"; small beside any lease or grace
# Longest time between two updates of the estimates; rates and warmth change more slowly.
ESTIMATE_INTERVAL = 2_000
MIN_CHECK_INTERVAL = 20_000  # between two checks of the rebalancer; jams grow within seconds
HOT_MARGIN = 0.2  # excess over the mean load or the fair share at which an endpoint counts as hot
MIN_HOT_CHECKS = 2  # consecutive checks, so that a single late report moves nothing
MIN_MOVES_PER_CHECK = 2
# Larger fleets allow one move per check for this many endpoints; hot slices come several at a time.
ENDPOINTS_PER_MOVE = 8
MAX_MOVES_PER_SOURCE = 2  # per check and hot endpoint; reports lag behind, and more would overshoot
STRAINED_ABORT_SHARE = 0.08  # of ops, above the median endpoint's share
STRAINED_LATENCY_SHARE = 0.4  # of the lowest target latency; below it a hot endpoint still acks in time
# After the end of the reported period; a period that began sooner after a move tells of before it.
MAX_REPORT_DELAY = 15_000
WINDOW_REPORTS = 4  # report periods in the sample window; fewer are noise, more are late
MIN_WINDOW = 40_000  # length of the sample window where report periods are short; less time holds too few ops
MIN_SPEED_SAMPLES = 4  # samples with acked ops, to measure an endpoint's speed; fewer say little
MAX_SPEED_RATIO = 2.0  # of an endpoint's speed to the median, in either direction; more is chance or a queue
MIN_PATH_OPS = 40  # in the window, to compare a path between two zones with others; what fewer say is chance
# Of ops, above the loss on the best path to the zone; less is chance in a few dozen ops.
PATH_LOSS_SHARE = 0.2
PATH_DELAY_SHARE = 0.3  # of the lowest target latency, above the delay on the best path to the zone
SICK_ABORT_SHARE = 0.75  # of an endpoint's ops; one that loses a third of its ops seldom reaches it by chance
# In the newest samples, to detect an endpoint as sick; fewer tell nothing of a share, and each
# endpoint is judged again and again.
MIN_SICK_OPS = 12
MAX_SICK_SHARE = 0.34  # of endpoints; more failures at once have a common cause elsewhere
SICK_LATENCY_SHARE = 0.7  # of the lowest target latency; slower acks point to overload instead
SICK_PERIOD = 150_000  # of the first detection; doubles with each further one, up to eightfold
# Of a cold endpoint's budget, until it has gained a slice; its speed shows only in its reports.
COLD_INITIAL_SHARE = 0.5
FULL_BUDGET_ACK_RATIO = 1.75  # acked ops times `tip_multiple`, per op received, for full cold budgets
# Factor on cold budgets while few ops are acked; reports that arrive apart in time must not shrink a
# budget to nothing.
MIN_BUDGET_SCALE = 0.1
COLD_LOAD_SHARE = 0.6  # budget of a cold endpoint, as a share of the load at which it tips
LEVEL_STEP = 0.05  # raises the admission level per check; full again within some ten checks
LEVEL_BACKOFF = 0.85  # multiplies the admission level per check under overload
MIN_LEVEL = 0.6  # lowest admission level under overload; deeper cuts reject ops that would be acked
OVERLOAD_LATENCY_SHARE = 0.7  # of the lowest target latency, at the median endpoint
MIN_LIST_RETRY = 10_000  # before an unavailable list is requested again; doubles up to a limit
LIST_RENEWAL_WAITS = 8  # time from a list to the next request, as a multiple of the longest retry delay
ALL_OP_TYPES = 0  # mask
ALL_TABLES = 65535  # table number
# Of the state of an endpoint that left the list; longer than a machine takes to restart.
ENDPOINT_RETENTION = 600_000
HAND_OVER_TIMEOUT_DIVISOR = 2  # the other half of `empty_for` is for delivery to the proxies
ACK_TIMEOUT_TRANSITS = 2  # transit times of silence after which no acknowledgement is outstanding
MIN_REPEAT_INTERVAL = 4_500  # of a call; shorter than the time that a broken call adds to a drain grace
MARK_MODULUS = BARRIER_MODULUS


class Pilot:
    """Decision module of one pilot; implements `DecisionModule`. Not thread-safe.

    `_update_estimates` sets further attributes, which the decisions use.
    """

    def __init__(self, config: DecisionConfig) -> None:
        self.single_owner, self.gone_binds, self.asks_list = (
            config.single_owner,
            config.gone_binds,
            config.asks_list,
        )
        self.zones = list(config.zones)
        ops = config.op_types
        self.op_type_count = max(1, len(ops))
        self.write_mask = sum(1 << i for i, op in enumerate(ops) if op.writes)
        self.own_zone_mask = sum(1 << i for i, op in enumerate(ops) if op.own_zone)
        self.min_target_latency = min((op.target_latency for op in ops), default=0)
        self.max_op_timeout = max((op.op_timeout for op in ops), default=0)
        self.can_close_writes = config.levels != "none" and self.single_owner and bool(self.write_mask)
        self.supports_level = config.levels == "fraction"
        self.retries = config.retry_default
        self.lease, self.settle_time = (config.lease, config.in_flight_most) if self.single_owner else (0, 0)
        self.window = max(WINDOW_REPORTS * config.report_period, MIN_WINDOW)
        self.check_interval = max(MIN_CHECK_INTERVAL, config.report_period)
        self.pilots, self.pilot_index, self.total_slices = (
            max(1, config.pilots),
            config.pilot_index,
            config.slices,
        )
        self.cold_share, self.warm_within, self.tip_multiple = (
            config.cold_share,
            config.warm_within,
            config.tip_multiple,
        )
        self.channel = OrderChannel(config)
        # Time from a drain report to the removal of the endpoint's lines, before the channel's delay is
        # subtracted. The margin covers ops that still wait for a connection.
        self.drain_grace = config.drain_grace
        self.grace = config.drain_grace - config.drain_grace // 6 - config.transit_most - config.connect_most
        self.max_list_retry = max(MIN_LIST_RETRY, config.ask_within // 4)
        self.endpoints: dict[str, Endpoint] = {}
        self.stops = WriteStops(self.lease, config.transit_most, self.settle_time)
        self.proxies = self.stops.proxies
        self.assignments = AssignmentLease(
            config.assignment_lease if self.single_owner else 0, config.renewal_most
        )
        # A slice without a line for longer is assigned to its former owner again, closed to all ops.
        # A move that waits for longer is aborted.
        self.hand_over_timeout = (
            config.empty_for / HAND_OVER_TIMEOUT_DIVISOR if config.empty_for else math.inf
        )
        self.ack_timeout = MAX_ACK_PAUSE + ACK_TIMEOUT_TRANSITS * config.transit_most
        self.slices: dict[int, Slice] = {}
        # Number of the newest mark; starts at random to differ from those of an earlier process.
        self.mark = Lcg(config.seed).draw(MARK_MODULUS)
        self.unmarked_proxies: set[int] = set()  # joined since the newest mark was sent
        self.alarm_nonce = 0  # nonce of the newest alarm; earlier ones are ignored
        self.next_list_request_at, self.list_retry_delay = 0, MIN_LIST_RETRY
        self.next_check_at = 0  # of the rebalancer and the admission level
        self.planned_moves: dict[int, str] = {}  # slice -> target: moves that were not sent yet
        self.level, self.level_sent = 1.0, 1.0  # admission level of all slices, wanted and last sent
        self.installed: dict[tuple[int, str], bool] = {}  # (table, endpoint) -> whether it has a line
        # (proxy zone, endpoint zone) -> (loss share, delay), and these by endpoint zone; only bad paths.
        self.path_penalties, self.path_penalties_to = {}, {}
        self.sorted_slices: Optional[list[Slice]] = None  # cache; None after a slice was added or removed
        self.candidates: Optional[list[tuple]] = None  # cache of `_find_candidates` for one batch
        self.budgets: dict[str, float] = {}  # see `on_budgets`; empty where pilots do not share budgets
        self.inputs_changed, self.estimated_at = True, 0
        self.owned_slices: dict[str, list[Slice]] = {}  # slices in state OWNED, by endpoint
        self.mean_rate = 1e-3  # mean op rate of a slice, per 0.1 ms
        self.counts = DecisionCounts()
        self.pending_decisions, self.wake_pending = deque(), False

    # ---- inputs

    def on_list(self, now: int, kind: str, entries: list[Entry]) -> None:
        """Takes the endpoint list or a change to it.

        `kind` is "replace" or "restored" for a whole list, "unavailable" where it could not be read; any
        other kind is an update of the named entries.
        """
        self.wake_pending = self.inputs_changed = True
        if kind == "unavailable":  # an unreachable list is not an empty one: keeps the last known
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
                known.reset()  # a new process, of which the former one's reports tell nothing
                known.sick_until = 0
            known.size, known.zone = e.size, e.zone
            known.started = e.started if e.started is not None else known.started
        if kind in ("replace", "restored"):
            named = {e.endpoint for e in entries}
            for known in [known for name, known in self.endpoints.items() if name not in named]:
                self._set_phase(known, "off", now)

    def on_join(self, now: int, proxy: int, zone: str) -> None:
        """A proxy's stream is established."""
        self.stops.on_join(now, proxy, zone)
        self.unmarked_proxies.add(proxy)

    def on_leave(self, now: int, proxy: int) -> None:
        """A proxy's stream has broken."""
        self.stops.on_leave(now, proxy)

    def on_slice_assigned(self, now: int, slice_id: int, given: bool) -> None:
        """The store assigned a slice to this pilot (`given`), or took it away."""
        self.inputs_changed = True
        taken = self.slices.pop(slice_id, None)
        if taken is not None:
            self.stops.interrupt(now, taken)
        self.planned_moves.pop(slice_id, None)
        self.assignments.in_doubt.discard(slice_id)
        self.sorted_slices = None
        if given:
            s = self.slices[slice_id] = Slice(slice_id, now)
            # Another pilot may have been in the middle of a hand-over: waits out the lease and settle time.
            s.state = REVOKING if self.single_owner else EMPTY
            self.level_sent = 1.0  # an assignment resets levels

    def on_slice_unwritten(self, now: int, slice_id: int) -> None:
        """A newly assigned slice has no owner, as when it was taken from this pilot, and nobody has written
        its row since. Its hand-over goes on where it was, if all proxies had stopped by then.
        """
        s = self.slices.get(slice_id)
        kept = self.stops.resume(now, slice_id) if s is not None else None
        if s is not None and kept is not None:
            s.state, s.state_since, s.stopped_at = SETTLING, kept.stopped_at, kept.stopped_at
            s.empty_since = kept.empty_since

    def on_stored_owner(self, now: int, slice_id: int, endpoint: str, all_closed: bool = False) -> None:
        """The store's table names an owner for a newly assigned slice.

        `all_closed`: every op type of the slice is closed, and another pilot may have had the slice since; it
        is revoked again before it is granted.
        """
        s = self.slices.get(slice_id)
        if s:
            s.state, s.owner, s.has_line = OWNED, endpoint, True
            s.writes_closed = s.all_closed = all_closed
            if endpoint not in self.endpoints:  # not listed: treated as gone
                self.endpoints[endpoint] = Endpoint(endpoint)
                self._set_phase(self.endpoints[endpoint], "off", now)

    def on_assignments_known(self, now: int, as_of: int) -> None:
        """All assignments that the store made up to `as_of` have been reported, but for slices in doubt."""
        self.assignments.renew(as_of)

    def on_slices_in_doubt(self, now: int, slice_ids: Collection[int]) -> None:
        """These slices, and no others, may have been reassigned without a report."""
        self.assignments.in_doubt = set(slice_ids)

    def on_grant_withheld(self, now: int, slice_id: int) -> None:
        """Orders that name an owner of a slice or admit its op types were withheld, as `may_grant` asks.

        They may be in force all the same, from an attempt without an answer. So the hand-over keeps its
        progress, but only the same owner may be granted the slice, or it is revoked from that one first.
        """
        s = self.slices.get(slice_id)
        if s is None or s.grant_in_doubt:
            return
        if s.line_restored:
            s.line_restored = False
        else:
            s.undo_grant(now)

    def on_ack(self, now: int, proxy: int, mark: int, took: int) -> None:
        """A proxy acknowledged all orders up to a mark, which took effect `took` after they were sent."""
        p = self.proxies.get(proxy)
        batch = self.channel.find_batch(mark)
        in_force_at = min(now, batch.ordered_at + took) if batch else now
        if p and self.stops.on_ack(now, p, mark, in_force_at) and batch:
            batch.waiting -= batch.lines
            self.channel.last_ack_latency = took
        self.channel.discard_before(mark)
        self.channel.messages.on_ack(now, proxy, mark)

    def on_call_unanswered(self, now: int) -> None:
        """The newest call got no answer; it may have been carried out."""
        self.channel.messages.on_unanswered()

    def on_call_refused(self, now: int) -> None:
        """The newest call was not carried out."""
        self.channel.messages.on_refused()

    def on_further_call(self, now: int, has_mark: bool) -> None:
        """A call is made beside the first one of the newest batch: a repeat, or another part of it."""
        self.channel.send_further(now, self.mark if has_mark else None)

    def on_stream_alive(self, now: int, began: int) -> None:
        """The event stream that began at `began` is alive and complete up to now.

        After a long enough silence no acknowledgement is outstanding, so the channel is empty.
        """
        silent = now - max(self.stops.last_ack_heard_at, self.channel.sent_at, began)
        if silent >= max(self.ack_timeout, ACK_TIMEOUT_TRANSITS * self.channel.last_ack_latency):
            self.channel.discard_all()
        self.channel.messages.on_silence(now, began, self.ack_timeout)

    def on_endpoint_report(
        self, now: int, endpoint: str, zone: str, tries: int, aborted: int, took: int, span: int
    ) -> None:
        """A zone's proxies report on an endpoint over a period of length `span`.

        `tries` counts ops sent and `aborted` those without an ack; `took` is the mean ack time, 0 for none.
        """
        if endpoint in self.endpoints and tries > 0:
            self.endpoints[endpoint].add_sample((now, tries, aborted, took, span, zone))

    def on_slice_report(
        self, now: int, slice_id: int, op_type: str, ops: int, unanswered: int, span: int
    ) -> None:
        """Proxies report the ops of one type to a slice over a period of length `span`."""
        if slice_id in self.slices:
            self.slices[slice_id].add_sample((now, ops, span, unanswered, op_type))

    def on_sick_warning(self, now: int, endpoint: str, until: int) -> None:
        """Another pilot considers an endpoint sick until a time."""
        if endpoint in self.endpoints:
            self.inputs_changed, known = True, self.endpoints[endpoint]
            known.sick_until = max(known.sick_until, until)

    def on_budgets(self, now: int, budgets: dict[str, float]) -> None:
        """Takes this pilot's share of the fleet's budgets, which replaces the previous one.

        The value of an endpoint is nonzero where this pilot may assign slices to it while it is cold; "*"
        stands for any other endpoint, and "" is the number of moves allowed at a time.
        """
        self.budgets = budgets

    def on_alarm(self, now: int, nonce: int) -> None:
        """The time of a "wake" decision has come."""
        self.wake_pending = self.wake_pending or nonce == self.alarm_nonce

    # ---- estimates

    def _set_phase(self, e: Endpoint, phase: str, now: int) -> None:
        """Changes an endpoint's phase.

        Where removal from the list does not bind, an endpoint that was not draining becomes "dropped" instead
        of "off": its reports decide whether it is gone.
        """
        if phase == "off" and e.phase != "fading" and not self.gone_binds:
            phase = "off" if e.phase == "off" else "dropped"
        if phase != "on" and e.phase == "on":
            e.leave_reported_at = now
        e.phase = phase

    def _is_live(self, e: Endpoint, now: int) -> bool:
        """Whether an endpoint is listed as in service, or was dropped from the list but still acks ops.

        A dropped endpoint without reports stays live for a window, since reports may be on their way. This
        protects against a wrong or stale list.
        """
        if e.phase != "dropped":
            return e.phase == "on"
        tries, aborted, _ = self._newest_totals(e, now)
        return aborted <= SICK_ABORT_SHARE * tries if tries else now - e.leave_reported_at < self.window

    def _warmth(self, e: Endpoint, now: int) -> float:
        """Lower bound of the share of its full capacity that an endpoint has reached after a start."""
        if not e.started or now - e.started >= self.warm_within:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0, now - e.started) / self.warm_within

    @staticmethod
    def _samples_since(samples: deque, at: int) -> list[tuple]:
        """Samples received at or after a time, newest first."""
        return list(takewhile(lambda s: s[0] >= at, reversed(samples)))

    def _sorted_slices(self) -> list[Slice]:
        """This pilot's slices by number."""
        if self.sorted_slices is None:
            self.sorted_slices = [s for _, s in sorted(self.slices.items())]
        return self.sorted_slices

    def _update_estimates(self, now: int) -> None:
        """Recomputes the fleet-wide estimates that decisions use."""
        self.inputs_changed, self.estimated_at, self.candidates = False, now, None
        # Endpoints that may own slices, by name.
        self.live = [e for _, e in sorted(self.endpoints.items()) if self._is_live(e, now)]
        self.live_names = {e.name for e in self.live}
        self._update_path_penalties(now)
        self.endpoint_totals = {e.name: self._window_totals(e, now) for e in self.live}
        abort_shares = sorted(
            aborted / tries for tries, aborted, _ in self.endpoint_totals.values() if tries
        ) or [0.0]
        self.median_abort_share = abort_shares[len(abort_shares) // 2]
        self._detect_sick(now)
        self._update_slice_rates(now)
        self._remove_stale_endpoints(now)
        staying = {name for name in self.endpoints if not self._must_leave(name)}
        # Slices whose line names an endpoint that must be left.
        self.leaving = sum([s.owner not in staying for s in self._sorted_slices() if s.has_line])
        self._update_capacities(now)
        self.mean_capacity = sum(e.capacity for e in self.live) / max(1, len(self.live))
        # Op rate per unit of capacity in an even distribution.
        self.fair_rate = sum(self.slice_rates.values()) / max(1e-9, self.mean_capacity * len(self.live))
        # Slices of the fleet per slice of this pilot.
        self.fleet_slice_ratio = max(1.0, self.total_slices / max(1, len(self.slices)))
        received_ops = sum([s.ops for s in self._sorted_slices()])
        # Reduces the budgets of cold endpoints while few of the ops that slices receive are acked.
        self.budget_scale = (
            max(
                MIN_BUDGET_SCALE,
                min(1.0, self.tip_multiple * self.acked_ops / received_ops / FULL_BUDGET_ACK_RATIO),
            )
            if received_ops
            else 1.0
        )

    def _update_slice_rates(self, now: int) -> None:
        """Recomputes the op rate of each slice and the total rate assigned to each endpoint.

        Slices without reports get the mean rate. A tenth of the mean is added to each, so that slices
        without ops count as well.
        """
        sorted_slices = self._sorted_slices()
        for s in sorted_slices:
            if now > s.totals_valid_until:
                s.advance(now, self.window)
                s.rate = s.ops / max(1, s.span / self.op_type_count) if s.window_count else None
        if known := [s.rate for s in sorted_slices if s.rate is not None]:
            self.mean_rate = sum(known) / len(known)
        mean_rate, base_rate = self.mean_rate, self.mean_rate * 0.1
        rates = [(mean_rate if s.rate is None else s.rate) + base_rate for s in sorted_slices]
        self.slice_rates = {s.number: rate for s, rate in zip(sorted_slices, rates)}
        assigned_rates, owned = self.assigned_rates, self.owned_slices = {}, {}
        for s, rate in zip(sorted_slices, rates):
            if owner := s.target or s.owner:
                assigned_rates[owner] = assigned_rates.get(owner, 0.0) + rate
            if s.state == OWNED:
                owned.setdefault(s.owner, []).append(s)

    def _remove_stale_endpoints(self, now: int) -> None:
        """Forgets endpoints that left the list long ago and that no slice refers to.

        Where each start has a new name they would pile up.
        """
        stale = [
            e.name
            for e in self.endpoints.values()
            if e.phase in ("off", "dropped") and now - e.leave_reported_at > ENDPOINT_RETENTION
        ]
        named = {name for s in self.slices.values() for name in (s.owner, s.target)} if stale else set()
        for name in set(stale) - named - self.live_names:
            del self.endpoints[name]

    def _update_capacities(self, now: int) -> None:
        """An endpoint's capacity is its listed size scaled by its speed relative to the median endpoint."""
        fast_ack_times = {
            e.name: e.ack_times[len(e.ack_times) // 4]
            for e in self.live
            if len(e.ack_times) >= MIN_SPEED_SAMPLES
        }
        median = sorted(fast_ack_times.values())[len(fast_ack_times) // 2] if fast_ack_times else 1
        for e in self.live:
            speed = median / fast_ack_times.get(e.name, median) if self._warmth(e, now) >= 1.0 else 1.0
            e.capacity = e.size * max(1 / MAX_SPEED_RATIO, min(MAX_SPEED_RATIO, speed))

    def _update_path_penalties(self, now: int) -> None:
        """Finds paths between zones that lose or delay ops far more than the best path to the same zone.

        The excess is not attributed to the endpoints, since no move or level would help. Endpoints that fail
        only for the zone with most of the traffic are therefore detected late.
        """
        self.path_penalties, self.path_penalties_to = {}, {}
        parts_by_path: dict[tuple[str, str], list[list[int]]] = {}
        for e in self.live:
            if now > e.totals_valid_until:
                e.advance(now, self.window)
            for origin, part in e.totals_by_origin.items():
                parts_by_path.setdefault((origin, e.zone), []).append(part)
        sums = {path: [sum(column) for column in zip(*parts)] for path, parts in parts_by_path.items()}
        path_totals = {
            path: (tries, aborted, time / acked if acked else 0.0)
            for path, (tries, aborted, acked, time) in sums.items()
            if tries
        }
        self.acked_ops = sum(tries - aborted for tries, aborted, _ in path_totals.values())
        for zone in {z for _, z in path_totals}:
            by_origin = {
                o: (m[1] / m[0], m[2])
                for (o, z), m in path_totals.items()
                if z == zone and m[0] >= MIN_PATH_OPS
            }
            best = min((t for _, t in by_origin.values() if t), default=0.0)
            for origin, (lost, took) in by_origin.items():
                lost, delay = lost - min(b for b, _ in by_origin.values()), took - best
                if lost > PATH_LOSS_SHARE or delay > PATH_DELAY_SHARE * self.min_target_latency:
                    self.path_penalties[origin, zone] = (lost, max(0.0, delay))
                    self.path_penalties_to.setdefault(zone, []).append(
                        (origin, self.path_penalties[origin, zone])
                    )

    def _window_totals(self, e: Endpoint, now: int, after: int = 0) -> tuple[int, float, float]:
        """Tries, aborted ops and mean ack time in the window, from periods that began at or after `after`."""
        if now > e.totals_valid_until:
            e.advance(now, self.window)
        if e.zone not in self.path_penalties_to and e.totals_valid_until - self.window - e.max_span >= after:
            tries, aborted, acked, time = e.totals
            return tries, aborted, time / acked if acked else 0.0
        samples = self._samples_since(e.samples, now - self.window)
        return self._sum_samples([s for s in samples if s[0] - s[4] >= after], e.zone)

    def _newest_totals(self, e: Endpoint, now: int) -> tuple[int, float, float]:
        """Same as `_window_totals` over the newest samples with enough ops, which show a change first."""
        path_penalties = self.path_penalties_to.get(e.zone)
        if e.newest_totals is not None and now <= e.newest_totals[0] and path_penalties == e.newest_totals[1]:
            return e.newest_totals[2]
        samples: list[tuple] = []
        for s in reversed(e.samples):
            if now - s[0] > self.window or (
                sum(g[1] for g in samples) >= MIN_SICK_OPS and s[0] != samples[-1][0]
            ):
                break
            samples.append(s)
        e.newest_totals = (
            samples[-1][0] + self.window if samples else math.inf,
            path_penalties,
            self._sum_samples(samples, e.zone),
        )
        return e.newest_totals[2]

    def _sum_samples(self, samples: list[tuple], zone: str) -> tuple[int, float, float]:
        """Tries, aborted ops and mean ack time of samples, less the penalties of their paths."""
        tries, aborted, acked, time = 0, 0.0, 0, 0.0
        for _, sample_tries, sample_aborted, took, _, origin in samples:
            loss, delay = self.path_penalties.get((origin, zone), (0.0, 0.0))
            tries, aborted = tries + sample_tries, aborted + max(0.0, sample_aborted - loss * sample_tries)
            if took > 0:
                acked, time = (
                    acked + sample_tries - sample_aborted,
                    time + (sample_tries - sample_aborted) * max(1.0, took - delay),
                )
        return tries, aborted, time / acked if acked else 0.0

    def _detect_sick(self, now: int) -> None:
        """Sets endpoints to sick that abort most ops, with fast acks or none, while their peers do not.

        Slow acks indicate overload, where moving every slice would overload the others. Endpoints already
        sick count towards the limit, so that successive detections cannot empty the fleet.
        """
        totals = {e.name: self._newest_totals(e, now) for e in self.live if now >= e.sick_until}
        failing = [
            e
            for e in self.live
            if e.name in totals
            and (m := totals[e.name])[0] >= MIN_SICK_OPS
            and m[1] > SICK_ABORT_SHARE * m[0]
            and max(m[2], self.endpoint_totals[e.name][2]) < SICK_LATENCY_SHARE * self.min_target_latency
            and not self._answers_some_op_type(e, now)
        ]
        if len(failing) + len(self.live) - len(totals) <= MAX_SICK_SHARE * len(self.live):
            for e in failing:
                e.sick_until = now + (SICK_PERIOD << min(e.sick_count, 3))
                e.sick_count += 1
                e.reset()

    def _answers_some_op_type(self, e: Endpoint, now: int) -> bool:
        """Whether an endpoint answers at least one op type.

        Such an endpoint is overloaded rather than sick, and gives slices up one by one.
        """
        counts: dict[str, list[int]] = {}
        for s in self.owned_slices.get(e.name, ()):
            newest = {
                g[4]: g
                for g in reversed(self._samples_since(s.samples, max(s.state_since, now - self.window)))
            }
            for _, ops, _, unanswered, op_type in newest.values():
                counts[op_type] = [a + b for a, b in zip(counts.get(op_type, (0, 0)), (ops, unanswered))]
        return any(
            2 * ops >= MIN_SICK_OPS and 2 * failed < SICK_ABORT_SHARE * ops for ops, failed in counts.values()
        )

    def _is_unfit(self, name: Optional[str], now: int) -> bool:
        """Whether an endpoint is not live, or sick."""
        return name not in self.live_names or now < self.endpoints[name].sick_until

    def _must_leave(self, name: Optional[str]) -> bool:
        """Whether an endpoint is draining, gone or unknown."""
        e = self.endpoints.get(name or "")
        return e is None or e.phase in ("fading", "off")

    def _leave_reported_at(self, s: Slice) -> float:
        """When the drain grace of a slice began; infinite where no endpoint that may own it need be left."""
        begun_at = self._drain_begun_at(s.owner, s)
        if s.grant_in_doubt:
            begun_at = min(begun_at, self._drain_begun_at(s.target, s))
        return begun_at

    def _drain_begun_at(self, name: Optional[str], s: Slice) -> float:
        """When the grace began within which a slice must leave an endpoint; infinite if it need not."""
        e = self.endpoints.get(name or "")
        return max(e.leave_reported_at, s.assigned_at) if e and self._must_leave(e.name) else math.inf

    def _is_overdue(self, s: Slice, now: int) -> bool:
        """Whether a slice's line must be removed now to meet the drain grace."""
        return now >= self._leave_reported_at(s) + self.grace - self.channel.estimated_delay

    def _rate_limit(self, e: Endpoint, now: int) -> float:
        """Op rate that this pilot may assign to an endpoint: its fair share, or its budget while it is cold.

        The budget of a cold endpoint belongs to a single pilot: divided among all it would be too small for a
        slice. It is 0 for the other pilots, and until a report covers the newest slice gained.
        An endpoint that has lost its slices since waits for no report.
        """
        warmth = self._warmth(e, now)
        if warmth >= 1.0:
            return self.fair_rate * e.capacity
        if not self._holds_cold_budget(e):
            return 0.0
        initial_share = 1.0 if e.slice_gained_at > e.started else COLD_INITIAL_SHARE
        if (
            initial_share == 1.0
            and e.name in self.owned_slices
            and now > e.slice_gained_at
            and not self._window_totals(e, now, e.slice_gained_at)[0]
        ):
            return 0.0  # no report covers its newest slice yet
        return initial_share * self._cold_budget(e, warmth)

    def _holds_cold_budget(self, e: Endpoint) -> bool:
        """Whether this pilot may assign slices to a cold endpoint: by grant, or else by rendezvous choice."""
        if e.has_cold_budget is None:
            e.has_cold_budget = self.pilot_index == max(
                range(self.pilots), key=lambda pilot_index: rendezvous(e.name, pilot_index, 1.0)
            )
        return self.budgets.get(e.name, self.budgets.get("*", e.has_cold_budget))

    def _cold_budget(self, e: Endpoint, warmth: float) -> float:
        """Op rate that the whole fleet may assign to a cold endpoint."""
        fleet_share = self.fleet_slice_ratio * self.fair_rate * min(e.capacity, self.mean_capacity)
        return min(1.0, COLD_LOAD_SHARE * self.tip_multiple) * warmth * fleet_share * self.budget_scale

    def _choose_within_limit(self, s: Slice, now: int) -> Optional[str]:
        """Rendezvous choice among the healthy endpoints with spare capacity; None where there is none."""
        rate, assigned_rates = self.slice_rates[s.number], self.assigned_rates
        if self.candidates is None:
            self.candidates = self._find_candidates(now)
        scores = [
            (rendezvous(e.name, s.number, e.capacity), e.name)
            for e, limit in self.candidates
            if assigned_rates.get(e.name, 0.0) + rate
            <= (self._rate_limit(e, now) if limit is None else limit)
        ]
        return max(scores)[1] if scores else None

    def _find_candidates(self, now: int) -> list[tuple[Endpoint, Optional[float]]]:
        """Endpoints that are neither sick nor strained, with their rate limits.

        None stands for the limit of a cold endpoint, which changes as it gains slices.
        """
        return [
            (e, self._rate_limit(e, now) if self._warmth(e, now) >= 1.0 else None)
            for e in self.live
            if now >= e.sick_until and not self._is_strained(self.endpoint_totals[e.name])
        ]

    def _choose_owner(self, s: Slice, now: int) -> Optional[str]:
        """Endpoint for a slice without an owner.

        Where none has spare capacity it is the least loaded warm endpoint; without any, a cold one or
        at last a sick one.
        """
        healthy = [e for e in self.live if now >= e.sick_until]
        warm = [e for e in healthy if self._warmth(e, now) >= 1.0] or healthy or self.live
        utilization = {
            e.name: self.assigned_rates.get(e.name, 0.0) / (e.capacity * self._warmth(e, now)) for e in warm
        }
        return self._choose_within_limit(s, now) or min(
            utilization, key=lambda name: (utilization[name], name), default=None
        )

    def hand_over_waits(self, now: int) -> list[HandOverWait]:
        """Hand-overs under way, for the log; those longest without a line come first."""
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

    def may_grant(self, now: int, slice_id: int) -> bool:
        """Whether orders may be sent that name an owner of a slice or admit op types that were closed.

        The host asks again before it sends such an order, also one that it repeats. Other orders may go.
        """
        return self.assignments.covers(slice_id, now)

    def latest_repeat(self, now: int, called_at: int, extension: int) -> float:
        """When a call without an answer, made at `called_at`, is to be repeated at the latest.

        That is when lines that must be removed can still be applied within the drain grace, which unanswered
        calls of the batch have extended by `extension`, or as soon as the message limit allows another one.
        Infinite where no such line may stand.
        """
        deadlines = [
            deadline
            for s in self.slices.values()
            if (deadline := self._drain_deadline_in_doubt(s)) < math.inf
        ]
        if not deadlines:
            return math.inf
        joined = sum(p.joined for p in self.proxies.values())
        time_to_apply = self.channel.time_to_apply(joined, len(deadlines))
        return max(
            min(deadlines) + extension - time_to_apply,
            called_at + MIN_REPEAT_INTERVAL,
            self.channel.messages.next_at(now),
        )

    def _drain_deadline_in_doubt(self, s: Slice) -> float:
        """When the drain grace ends of an endpoint that proxies may still use for a slice, as long as it is
        not known that the newest batch was carried out; infinite if there is none."""
        removed_by_batch = s.line_removed_at == self.channel.sent_at
        begun_at = self._leave_reported_at(s) if s.has_line or removed_by_batch else math.inf
        if s.ungranted is not None and s.ungranted.has_line and s.state_since == self.channel.sent_at:
            begun_at = min(begun_at, self._drain_begun_at(s.ungranted.owner, s))
        return begun_at + self.drain_grace

    def grants_waiting(self, now: int) -> list[int]:
        """How long each grant that only `may_grant` holds back has been due, for the log."""
        settled = (s for s in self._sorted_slices() if s.state in (SETTLING, EMPTY))
        waiting = (s for s in settled if not self.may_grant(now, s.number))
        ages = [now - s.state_since - (0 if s.grant_in_doubt else self.settle_time) for s in waiting]
        return [age for age in ages if age >= 0]

    def awaited(self, slice_id: int) -> list[int]:
        """Numbers of the proxies that may still write to a slice's former owner, for the log."""
        s = self.slices[slice_id]
        if s.state != REVOKING or s.mark is None:
            return []
        return list(self.stops.awaited(s))

    # ---- steps of a hand-over; each returns its decisions

    def _revoke(self, s: Slice, now: int, target: Optional[str], at_once: bool = False) -> list[tuple]:
        """Closes a slice to writes, or removes its line where the owner is gone or sick, or `at_once` is set.

        A closed slice keeps its line for the other op types. Another pilot that takes the slice over resets
        its levels, which aborts the hand-over.
        """
        s.state, s.state_since, s.target, s.mark, s.passed_at = REVOKING, now, target, self.mark, None
        s.stopped_at = s.ungranted = None
        s.grant_in_doubt = False
        old = self.endpoints[s.owner]
        if self.can_close_writes and not at_once and old.phase != "off" and now >= old.sick_until:
            s.writes_closed = True
            return [("level", s.number, self.write_mask, 0, self.retries)]
        return self._clear(s, now)

    def _retract(self, s: Slice, now: int) -> list[tuple]:
        """Revokes a slice from the owner of a grant that is in doubt, and clears the former owner's line."""
        empty_since = now if s.has_line else s.empty_since
        lines = self._clear(s, now) if s.has_line and s.owner != s.target else []
        s.owner = s.target
        lines += self._revoke(s, now, None, at_once=True)
        s.empty_since = empty_since
        return lines

    def _clear(self, s: Slice, now: int) -> list[tuple]:
        """Removes the line of a slice."""
        s.has_line, s.empty_since, s.line_removed_at = False, now, now
        return [("line", s.number, s.owner, 0)]

    def _grant(self, s: Slice, now: int, owner: str) -> list[tuple]:
        """Assigns a slice to an owner and reopens what was closed."""
        self.assigned_rates[owner] = self.assigned_rates.get(owner, 0.0) + self.slice_rates[s.number]
        s.ungranted = Ungranted(s.owner, s.has_line, s.writes_closed, s.all_closed)
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
        s.line_restored = s.all_closed = s.grant_in_doubt = False
        return lines

    def _restore_closed_line(self, s: Slice) -> list[tuple]:
        """Sets the former owner's line again with every op type closed, while proxies may still write to it.

        Bounds the time without a line where a proxy is slow to stop. It is safe if another pilot takes over
        and opens the levels, since no other endpoint may have writes in flight.
        """
        self.counts.lines_held += 1
        s.line_restored = s.all_closed = True
        return [("level", s.number, ALL_OP_TYPES, 0, self.retries), ("line", s.number, s.owner, 1)]

    def _needs_restored_line(self, s: Slice, now: int) -> bool:
        """Whether a slice has been without a line for `hand_over_timeout` and can be held."""
        return (
            self.can_close_writes
            and s.owner in self.endpoints
            and not s.line_restored
            and self._empty_too_long(s, now)
        )

    def _empty_too_long(self, s: Slice, now: int) -> bool:
        """Whether a slice has been without a line for `hand_over_timeout`."""
        return not s.has_line and now - s.empty_since >= self.hand_over_timeout

    def _should_abort_hand_over(self, s: Slice, now: int) -> bool:
        """Whether a slice should go back to its former owner, which is fit and warm.

        The target is unfit or missing, or proxies take too long to stop.
        """
        if not s.owner or self._is_unfit(s.owner, now) or not (s.has_line or s.state == SETTLING):
            return False
        stalled = s.state == REVOKING and now - s.state_since >= self.hand_over_timeout
        return (stalled or s.target is None or self._is_unfit(s.target, now)) and self._warmth(
            self.endpoints[s.owner], now
        ) >= 1.0

    def _due(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """Steps that are due, as (urgency, slice, step, endpoint), the most urgent first.

        Urgency 0: required by a rule; 1: grants, and revokes from endpoints that must be left; 2: other
        revokes. Also advances the states of slices whose proxies have stopped or whose ops have settled.
        """
        due: list[tuple[int, int, str, Optional[str]]] = []
        stop_times: dict[tuple, Optional[int]] = {}
        healthy = {e.name for e in self.live if now >= e.sick_until}
        leave_reported: dict[int, float] = {}
        for s in [
            s for s in self._sorted_slices() if s.state != OWNED or s.owner not in healthy or s.all_closed
        ]:
            leave_reported[s.number] = self._leave_reported_at(s)
            overdue = now >= leave_reported[s.number] + self.grace - self.channel.estimated_delay
            self._advance_state(s, now, stop_times)
            if step := self._closing_step(s, now, overdue) or self._opening_step(s, now):
                urgency, name, endpoint = step
                due.append((urgency, s.number, name, endpoint))
        return sorted(
            due + self._cold_excess(now), key=lambda d: (d[0], leave_reported.get(d[1], math.inf), d[1])
        )

    def _advance_state(self, s: Slice, now: int, stop_times: dict[tuple, Optional[int]]) -> None:
        """Advances a slice whose proxies have stopped or whose ops have settled.

        `stop_times` caches when all proxies had stopped, by the batch of the revoke.
        """
        if s.state == REVOKING:
            batch = (s.mark, s.state_since, s.assigned_at)
            if batch not in stop_times:
                stop_times[batch] = self.stops.last_stop_time(s, now)
            if (stopped_at := stop_times[batch]) is not None:
                s.state, s.state_since, s.stopped_at = SETTLING, stopped_at, stopped_at
        if s.state == SETTLING and now >= s.state_since + self.settle_time:
            s.state = EMPTY

    def _closing_step(self, s: Slice, now: int, overdue: bool) -> Optional[tuple[int, str, Optional[str]]]:
        """The step that is due of those that are safe whoever has the slice: (urgency, step, endpoint)."""
        if s.state == OWNED and s.all_closed:
            return 0, "shed", None
        if s.state == OWNED and self._is_unfit(s.owner, now):
            return 0 if overdue else 1 if self._must_leave(s.owner) else 2, "revoke", None
        if s.grant_in_doubt and self._is_unfit(s.target, now):
            return 0 if overdue else 1, "retract", None
        if s.has_line and overdue and (s.state != EMPTY or not self.may_grant(now, s.number)):
            return 0, "clear", None
        return None

    def _opening_step(self, s: Slice, now: int) -> Optional[tuple[int, str, Optional[str]]]:
        """The step that is due of those that need `may_grant`: (urgency, step, endpoint)."""
        if not self.may_grant(now, s.number):
            return None
        if s.state in (REVOKING, SETTLING):
            if self._should_abort_hand_over(s, now):
                return 1, "grant", s.owner  # aborts the move
            if self._needs_restored_line(s, now):
                return 0, "hold", None
        if s.state == EMPTY:
            return 0 if self._empty_too_long(s, now) else 1, "grant", s.target if s.grant_in_doubt else None
        return None

    def _cold_excess(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """Shed steps for the slices of cold endpoints that exceed their budgets."""
        due = []
        for e in self.live:
            warmth = self._warmth(e, now)
            limit = max(
                COLD_LOAD_SHARE
                * self.tip_multiple
                * warmth
                * self.budget_scale
                * self.fair_rate
                * e.capacity,
                self._cold_budget(e, warmth) if self._holds_cold_budget(e) else 0.0,
            )
            excess = self.assigned_rates.get(e.name, 0.0) - limit
            for s in self.owned_slices.get(e.name, ()) if warmth < 1.0 else ():
                if excess > 0 and s.state == OWNED:
                    excess -= self.slice_rates[s.number]
                    due.append((0, s.number, "shed", None))
        return due

    # ---- rebalancing and the admission level

    def _current_moves(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """Planned moves that still apply, after a check where one is due.

        A move that does not fit the channel stays planned, so that the endpoint need not be found hot again.
        """
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
        """Runs a check: updates the admission level and plans the moves until the next check."""
        self.counts.record_check(now)
        self.next_check_at = now + self.check_interval
        self._set_level([self.endpoint_totals[e.name] for e in self.live if now >= e.sick_until])
        load = {e.name: load for e in self.live if (load := self._mean_time(e, now)) is not None}
        mean = sum(load.values()) / max(1, len(load))
        mean_endpoint_rate = max(1e-9, sum(self.slice_rates.values())) / max(1, len(self.live))
        empty_endpoints = sum(e.name not in self.assigned_rates for e in self.live) // self.pilots
        max_moves = max(MIN_MOVES_PER_CHECK, len(self.live) // ENDPOINTS_PER_MOVE, empty_endpoints)
        max_moves = min(
            max_moves, self.budgets.get("", math.inf) - sum(bool(s.target) for s in self.slices.values())
        )
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
        least_loaded: Optional[Endpoint] = None  # of the idle endpoints
        for e in sorted(self.live, key=lambda e: (-load.get(e.name, mean), e.name)):
            over_fair_share = self.assigned_rates.get(e.name, 0.0) > self.fair_rate * e.capacity * (
                1 + HOT_MARGIN
            )
            hot = self._is_strained(self.endpoint_totals[e.name]) and (
                over_fair_share or load.get(e.name, mean) > mean * (1 + HOT_MARGIN)
            )
            e.hot_checks = e.hot_checks + 1 if hot else 0
            e.no_move_reason = None if not hot else NoMoveReason.FIRST_CHECK
            if e.hot_checks < MIN_HOT_CHECKS:
                continue
            moves, e.no_move_reason = 0, NoMoveReason.RECENTLY_MOVED
            movable = [
                s
                for s in self.owned_slices.get(e.name, ())
                if s.state == OWNED
                and now - s.moved_at >= MOVE_COOLDOWN
                and now - s.assigned_at >= self.lease
            ]
            movable.sort(key=lambda s: (-self.slice_rates[s.number], s.number))
            for s in movable:
                # Costs the slice at the fleet's mean: the source's own latency includes its queue.
                cost = mean * self.slice_rates[s.number] / mean_endpoint_rate
                if len(self.planned_moves) >= max_moves or moves >= MAX_MOVES_PER_SOURCE:
                    e.no_move_reason = None if moves else NoMoveReason.MOVE_LIMIT
                    break
                least_loaded = least_loaded or min(
                    idle, key=lambda t: (load.get(t.name, mean), t.name), default=None
                )
                target = (least_loaded or e).name
                if target == e.name or load.get(target, mean) + cost >= load.get(e.name, mean) - cost:
                    # Where most endpoints are overloaded none is far above the mean: goes by fair share.
                    target = self._choose_within_limit(s, now) if over_fair_share else None
                e.no_move_reason = None if target or moves else NoMoveReason.NO_TARGET
                if target:
                    self.planned_moves[s.number] = target
                    load[target] = load.get(target, mean) + cost
                    least_loaded = None
                    self.assigned_rates[target] = (
                        self.assigned_rates.get(target, 0.0) + self.slice_rates[s.number]
                    )
                    moves += 1

    def _mean_time(self, e: Endpoint, now: int) -> Optional[float]:
        """Mean time of an op, from periods after its slices last changed; None without reports.

        An aborted op counts with the longest op timeout.
        """
        tries, aborted, took = self._window_totals(e, now, e.slices_changed_at + MAX_REPORT_DELAY)
        return ((tries - aborted) * took + aborted * self.max_op_timeout) / tries if tries else None

    def _is_strained(self, totals: tuple[int, int, float]) -> bool:
        """Whether an endpoint is slow, or aborts a larger share of ops than its peers.

        A hand-over costs seconds of writes, which an endpoint that acks in time is not worth.
        """
        tries, aborted, took = totals
        return (
            tries > 0
            and aborted > (STRAINED_ABORT_SHARE + self.median_abort_share) * tries
            or took > STRAINED_LATENCY_SHARE * self.min_target_latency
        )

    def _set_level(self, totals: list[tuple[int, int, float]]) -> None:
        """Lowers the admission level while the median endpoint acks slowly, and raises it otherwise.

        Only the median's slow acks show overload; a few full endpoints are left to the rebalancer.
        """
        ack_times = sorted(took for tries, _, took in totals if tries) or [0.0]
        if ack_times[len(ack_times) // 2] > OVERLOAD_LATENCY_SHARE * self.min_target_latency:
            self.level = max(MIN_LEVEL, self.level * LEVEL_BACKOFF)
        else:
            self.level = min(1.0, self.level + LEVEL_STEP)

    # ---- output

    def _send_batch(self, now: int) -> None:
        """Sends all that is due and fits the channel as one batch that ends in a mark."""
        joined = sum(p.joined for p in self.proxies.values())
        channel = self.channel
        if not channel.free(now):
            return
        if channel.in_gap(now, joined) and not channel.gap_breaks_deadline(
            now, joined, self.leaving, self._first_drain_deadline()
        ):
            return
        self.candidates = None
        channel.estimate_delay(now, joined, self.leaving)
        due = self._due(now)
        if channel.must_wait_for_acks(
            now,
            joined,
            1 + self._line_count_due(due, max_urgency=1),
            self._line_count_due(due, max_urgency=0),
            self.stops.last_ack_heard_at,
        ):
            self.counts.waits_for_acks += 1
            return
        if self._should_wait_for_grants(due, now):
            return
        if now - channel.sent_at >= 2 * channel.min_interval:  # keeps moves from delaying a drain
            due += self._current_moves(now)
        revoked = {
            (s.mark, s.state_since, s.assigned_at): s
            for s in self._sorted_slices()
            if s.state == REVOKING and s.mark is not None
        }.values()
        barrier_needed = channel.fits_barrier(joined) and self._needs_barrier(revoked, now)
        if self.supports_level and self.slices and abs(self.level - self.level_sent) >= LEVEL_STEP / 2:
            due.append((3, -1, "level", None))
        if not (due or barrier_needed):
            return
        self.mark = (self.mark + 1) % MARK_MODULUS
        lines: list[tuple] = []
        for index, (urgency, number, step, endpoint) in enumerate(due):
            if not channel.fits(urgency, joined, len(lines)):
                self.counts.moves_without_room += sum(one[2] == "move" for one in due[index:])
                break
            lines += self._apply_step(step, self.slices.get(number), endpoint, now)
        if lines or barrier_needed:
            self.counts.record_batch(bool(lines))
            self.inputs_changed = True
            lines.append(("mark", self.mark, True))
            self.pending_decisions.extend(lines)
            channel.send(now, self.mark, joined, len(lines))
            self.unmarked_proxies.clear()
        else:
            self.mark = (self.mark - 1) % MARK_MODULUS  # nothing fitted: unsent marks would use up the ring

    def _should_wait_for_grants(self, due: list[tuple], now: int) -> bool:
        """Whether a batch should wait for grants that may be sent as soon as the lease is renewed.

        They would otherwise have to wait until the batch has left the channel.
        """
        urgent = any(urgency == 0 for urgency, *_ in due)
        return not urgent and self.assignments.is_due_for_renewal(now) and bool(self.grants_waiting(now))

    def _needs_barrier(self, revoked: Collection[Slice], now: int) -> bool:
        """Whether a mark is needed even without lines, so that awaited proxies can acknowledge a revoke.

        Applies to proxies that joined since the last one, and to all where an acknowledgement may be lost.
        """
        if now - self.channel.sent_at >= self.ack_timeout:
            asked: Iterable[Proxy] = (proxy for proxy in self.proxies.values() if proxy.joined)
        else:
            asked = (self.proxies[number] for number in self.unmarked_proxies)
        return any(self.stops.proxy_stop_time(proxy, s) is None for proxy in asked for s in revoked)

    def _first_drain_deadline(self) -> float:
        """When the first drain grace ends among the slices whose line names an endpoint that must be left."""
        begun_at = (self._leave_reported_at(s) for s in self.slices.values() if s.has_line)
        return self.drain_grace + min(begun_at, default=math.inf)

    def _line_count_due(self, due: list[tuple], max_urgency: int) -> int:
        """Lines per proxy of all steps up to an urgency, without a mark."""
        return sum(
            self._line_count(step, self.slices[number])
            for urgency, number, step, _ in due
            if urgency <= max_urgency
        )

    def _line_count(self, step: str, s: Slice) -> int:
        """Upper bound of the decisions that `_apply_step` returns for a step."""
        if step in ("hold", "retract"):
            return 2
        if step != "grant":
            return 1
        return 1 + s.writes_closed + s.all_closed + (s.has_line and not self.single_owner)

    def _apply_step(self, step: str, s: Optional[Slice], name: Optional[str], now: int) -> list[tuple]:
        """Carries out a step, see the module docstring, and returns its decisions."""
        if step == "level":
            self.level_sent = self.level
            return [("level", ALL_TABLES, 0, round(self.level, 3), self.retries)]
        if step == "move":
            self.endpoints[s.owner].hot_checks = 0
            del self.planned_moves[s.number]
        if step in ("revoke", "move", "shed"):
            return self._revoke(s, now, name, step == "shed" or self._is_overdue(s, now))
        if step == "retract":
            return self._retract(s, now)
        if step == "clear":
            return self._clear(s, now)
        if step == "hold":
            return self._restore_closed_line(s)
        owner = (
            name or (s.target if not self._is_unfit(s.target, now) else None) or self._choose_owner(s, now)
        )
        return self._grant(s, now, owner) if owner else []

    def _install_tables(self, now: int) -> None:
        """Decides on tables and their installation, in deployments without slices.

        One table serves all zones, or each zone has its own where an op type must stay in its zone.
        """
        zones = self.zones if self.own_zone_mask else [""]
        warm = [e for e in self.live if self._warmth(e, now) >= 1.0] or self.live
        for t, zone in enumerate(zones):
            wanted = {e.name for e in warm if not zone or e.zone == zone}
            for name in sorted(wanted | {n for k, n in self.installed if k == t}):
                if self.installed.get((t, name), False) != (name in wanted) and (
                    wanted or not self._must_leave(name)
                ):
                    self.pending_decisions.append(
                        ("line", t, name, self.endpoints[name].size if name in wanted else 0)
                    )
                    self.installed[t, name] = name in wanted
        for n, p in sorted(self.proxies.items()):
            t = zones.index(p.zone) if p.zone in zones else 0
            if p.joined and p.table is None and any(on for (k, _), on in self.installed.items() if k == t):
                p.table = t
                self.pending_decisions.append(("install", n, 0, t))

    def next_decision(self, now: int) -> Optional[tuple]:
        """The next decision, or None where nothing is left to decide at this time."""
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
            self.alarm_nonce += 1  # invalidates earlier alarms
            self.pending_decisions.append(("wake", POLL_INTERVAL, self.alarm_nonce))
        return self.pending_decisions.popleft() if self.pending_decisions else None
