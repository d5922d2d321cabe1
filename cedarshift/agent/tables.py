"""The routing tables of a proxy and the choice of an endpoint for each op. No I/O; times are microseconds.

Two rules protect single ownership. A write is sent to a slice's owner only while the lease of the slice's
pilot runs, counted from when the proxy requested it. A line with an older epoch than the one held is
refused, so a former pilot can't restore a former owner.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Callable, NamedTuple, Optional, Union

from cedarshift.agent.round_robin import WeightedRoundRobin
from cedarshift.agent.thinning import Thinning
from cedarshift.codec import OutOfOrder
from cedarshift.codec.messages import Level, Line, Order, SliceAssignment, SliceState, Snapshot

ALL_TABLES = 65_535  # table number of levels that apply to every table
AVOID_DURATION_US = 3_000_000  # how long an endpoint is avoided after consecutive failures
TRIALS_TTL_US = 3_000_000  # pilots repeat the trials every second
PROBE_PERMIT_TTL_US = 1_000_000  # an unused permit expires after this
MAX_AVOIDED_REPORTED = 32  # endpoints in one report


class OpKind(NamedTuple):
    """The properties of an op type that matter to a proxy."""

    name: str
    writes: bool


class Pick(NamedTuple):
    """The endpoint chosen for an op."""

    endpoint: str
    pilot: str  # receives the report on the outcome
    epoch: int  # of the slice, 0 without slices


class NoPick(NamedTuple):
    """No endpoint was chosen. `waits` is whether the op may wait briefly for an owner.

    Reasons: "no-owner"; "closed", a level admits none of its op type; "level", outside the share that a level
    admits; "lease", a write without a running lease of the slice's pilot.
    """

    reason: str
    waits: bool = False


@dataclass
class HeldSlice:
    """A slice as this proxy knows it."""

    epoch: int = 0
    pilot: str = ""  # assigned pilot; "" if the slice is known from the store only
    owner: str = ""
    levels: list[Level] = field(default_factory=list)
    writes_until: Optional[int] = None  # us, end of writes once the slice is revoked from its pilot


@dataclass
class PilotView:
    """The state received from one pilot."""

    joined: bool = False
    lease_until: int = 0
    seq: int = 0  # of the last order
    table: int = -1  # installed table, in deployments without slices
    lines: dict[str, float] = field(default_factory=dict)  # endpoint -> weight
    levels: list[Level] = field(default_factory=list)
    rotation: WeightedRoundRobin = field(default_factory=WeightedRoundRobin)


class Tables:
    """The tables that a proxy has received from its pilots and the store.

    `lease` is how long a pilot's answer to a heartbeat allows writes, in us, counted from the heartbeat.
    Endpoints are picked by weighted round robin if `round_robin` is set, else at random by weight. After
    `outlier_after` consecutive failures an endpoint is avoided; 0 disables this.
    """

    def __init__(
        self,
        slices: int,
        op_types: list[OpKind],
        single_owner: bool,
        lease: int,
        round_robin: bool,
        outlier_after: int = 0,
    ) -> None:
        self.slices = slices
        self.op_types = op_types
        self.single_owner = single_owner
        self.lease = lease
        self.round_robin = round_robin
        self.outlier_after = outlier_after
        self.held: dict[int, HeldSlice] = {n: HeldSlice() for n in range(slices)}
        self.views: dict[str, PilotView] = {}  # by pilot
        self.admitted = Thinning()
        self.consecutive_failures: dict[str, int] = {}  # by endpoint
        self.avoided_until: dict[str, int] = {}  # us, by endpoint; kept until a try succeeds
        self.may_probe: Optional[Callable[[], bool]] = None  # asked before an avoided endpoint is retried
        self.trials: dict[
            str, tuple[int, dict[str, float]]
        ] = {}  # pilot -> time received, share of each endpoint on trial
        self.probe_permits: dict[str, int] = {}  # endpoint that may be probed once -> expiry
        self.overload_active: Optional[Callable[[int, str], bool]] = (
            None  # whether a pilot's overload policy is in force
        )
        self.stale = 0  # rows refused for an older epoch or a former pilot

    # ---- messages of pilots and the store

    def on_join(self, pilot: str) -> None:
        """A pilot's stream has opened. Its orders are numbered from 1 again."""
        view = self.views.setdefault(pilot, PilotView())
        view.joined, view.seq = True, 0

    def on_lost(self, pilot: str) -> None:
        """A pilot's stream has ended. Its tables are kept, and its lease expires by itself."""
        if pilot in self.views:
            self.views[pilot].joined = False

    def on_lease(self, pilot: str, asked_at: int) -> None:
        """Extends a pilot's lease, counted from when it was requested."""
        view = self.views[pilot]
        view.lease_until = max(view.lease_until, asked_at + self.lease)

    def on_snapshot(self, now: int, pilot: str, snapshot: Snapshot) -> None:
        """Replaces the tables of a pilot; slices it no longer names are revoked."""
        view = self.views[pilot]
        view.levels = list(snapshot.levels)
        view.table = snapshot.table
        view.lines = {line.endpoint: line.weight for line in snapshot.lines}
        named = {row.slice for row in snapshot.slices}
        for number, held_slice in self.held.items():
            if held_slice.pilot == pilot and number not in named:
                self._revoke(now, held_slice)
        for row in snapshot.slices:
            self._adopt_row(row, pilot)

    def on_assignment(self, now: int, pilot: str, assignment: SliceAssignment) -> None:
        """Applies a change of the slices assigned to a pilot."""
        for number in assignment.taken:
            held_slice = self.held.get(number)
            if held_slice is not None and held_slice.pilot == pilot:
                self._revoke(now, held_slice)
        for row in assignment.given:
            self._adopt_row(row, pilot)

    def on_store(self, rows: list[SliceState]) -> None:
        """Takes over the store's tables, which allow reads while no pilot is reachable."""
        for row in rows:
            self._adopt_row(row, "")

    def _adopt_row(self, row: SliceState, pilot: str) -> None:
        """Takes over a slice's row unless it is stale. Raises OutOfOrder if the slice does not exist."""
        held_slice = self.held.get(row.slice)
        if held_slice is None:
            raise OutOfOrder(f"slice {row.slice} does not exist, there are {self.slices}")
        if row.epoch < held_slice.epoch or (row.epoch == held_slice.epoch and not pilot):
            self.stale += 1
            return
        held_slice.epoch, held_slice.pilot, held_slice.owner = row.epoch, pilot, row.owner
        held_slice.levels, held_slice.writes_until = list(row.levels), None

    def _revoke(self, now: int, held_slice: HeldSlice) -> None:
        """Ends a slice's writes with the lease that runs now, as its pilot no longer holds it."""
        held_slice.writes_until = min(self.views[held_slice.pilot].lease_until, now + self.lease)

    def on_order(self, pilot: str, order: Order) -> None:
        """Applies an order's lines and levels. Raises OutOfOrder on a gap, with nothing applied."""
        view = self.views[pilot]
        if order.seq != view.seq + 1:
            raise OutOfOrder(f"order {order.seq} received after order {view.seq}")
        view.seq = order.seq
        for line in order.lines:
            if self.slices:
                self._set_owner(pilot, line)
            elif line.table == view.table:
                self._set_line(view, line)
        for level in order.levels:
            if level.table == ALL_TABLES:
                self._set_level(view.levels, level)
            elif level.table in self.held:
                held_slice = self.held[level.table]
                if level.epoch != held_slice.epoch or pilot != held_slice.pilot:
                    self.stale += 1
                else:
                    self._set_level(held_slice.levels, level)

    def _set_owner(self, pilot: str, line: Line) -> None:
        """Applies a line of a slice. Raises OutOfOrder if its epoch was never assigned."""
        held_slice = self.held.get(line.table)
        if held_slice is None:
            raise OutOfOrder(f"slice {line.table} does not exist, there are {self.slices}")
        if line.epoch > held_slice.epoch:
            raise OutOfOrder(
                f"line of slice {line.table} with epoch {line.epoch}, assigned epoch is {held_slice.epoch}"
            )
        if line.epoch < held_slice.epoch or pilot != held_slice.pilot:
            self.stale += 1
        elif line.weight > 0:
            held_slice.owner = line.endpoint
        elif held_slice.owner == line.endpoint:
            held_slice.owner = ""

    @staticmethod
    def _set_line(view: PilotView, line: Line) -> None:
        """Sets an endpoint's weight; weight 0 removes the endpoint."""
        if line.weight > 0:
            view.lines[line.endpoint] = line.weight
        else:
            view.lines.pop(line.endpoint, None)

    @staticmethod
    def _set_level(levels: list[Level], level: Level) -> None:
        """Appends a level in place of the one for the same op types."""
        levels[:] = [old for old in levels if old.mask != level.mask] + [level]

    # ---- picks

    def pick(self, now: int, slice_id: int, op_type: int, random_value: float) -> Union[Pick, NoPick]:
        """Chooses the endpoint for an op. `slice_id` is ignored in deployments without slices.

        `random_value` is in [0, 1).
        """
        if not self.slices:
            return self._pick_line(now, op_type, random_value)
        held_slice = self.held[slice_id]
        view = self.views.get(held_slice.pilot)
        levels = held_slice.levels + (self._fleet_levels(now, held_slice.pilot, view) if view else [])
        if (refused := self._check_level(levels, slice_id, op_type, random_value)) is not None:
            return refused
        if self.single_owner and self.op_types[op_type].writes:
            if view is None or now >= view.lease_until:
                return NoPick("lease")
            if held_slice.writes_until is not None and now >= held_slice.writes_until:
                return NoPick("lease")
        if not held_slice.owner:
            return NoPick("no-owner", waits=True)
        return Pick(held_slice.owner, held_slice.pilot, held_slice.epoch)

    def _pick_line(self, now: int, op_type: int, random_value: float) -> Union[Pick, NoPick]:
        """Chooses an endpoint by weight from a joined pilot's table, else from the last one received."""
        joined = [name for name, view in self.views.items() if view.joined and view.lines]
        name = next(iter(joined or [name for name, view in self.views.items() if view.lines]), "")
        if not name:
            return NoPick("no-owner", waits=True)
        view = self.views[name]
        if (
            refused := self._check_level(
                self._fleet_levels(now, name, view), view.table, op_type, random_value
            )
        ) is not None:
            return refused
        trials = self._current_trials(now, name)
        if trials and not self.op_types[op_type].writes and (probed := self._take_probe_permit(now, view)):
            return Pick(probed, name, 0)
        usable = {
            candidate: weight * trials.get(candidate, 1.0)
            for candidate, weight in view.lines.items()
            if (trials[candidate] > 0 if candidate in trials else self.avoided_until.get(candidate, 0) <= now)
        } or view.lines
        endpoint = self._choose(view, usable, random_value)
        if (
            endpoint in self.avoided_until
            and endpoint not in trials
            and self.may_probe is not None
            and not self.may_probe()
        ):
            healthy = {
                candidate: weight
                for candidate, weight in view.lines.items()
                if candidate not in self.avoided_until
            }
            if healthy:  # else the avoided endpoint is used, as there is no alternative
                endpoint = self._choose(view, healthy, random_value)
        return Pick(endpoint, name, 0)

    def _fleet_levels(self, now: int, pilot: str, view: PilotView) -> list[Level]:
        """Returns the levels for all tables, or only the closing ones while an overload policy is active.

        The policy limits the same ops as the levels' shares; both together would limit them twice.
        """
        if self.overload_active is None or not self.overload_active(now, pilot):
            return view.levels
        return [level for level in view.levels if level.share <= 0]

    def pilot_for(self, slice_id: int) -> str:
        """Returns the pilot that an op is reported to, or "" if none is known."""
        if self.slices:
            return self.held[slice_id].pilot
        return next((name for name, view in self.views.items() if view.joined), "")

    # ---- fleet-wide trials of endpoints, which override this proxy's own outlier detection

    def on_trials(self, now: int, pilot: str, shares: dict[str, float]) -> None:
        """Replaces a pilot's trials: endpoint -> fraction of its weight that it gets meanwhile."""
        self.trials[pilot] = (now, shares)

    def on_probe_permit(self, now: int, endpoint: str) -> None:
        """Allows one op to probe an endpoint that is on trial."""
        self.probe_permits[endpoint] = now + PROBE_PERMIT_TTL_US

    def avoided_endpoints(self, now: int) -> list[str]:
        """Returns the endpoints that this proxy avoids after failures of its own."""
        return sorted(endpoint for endpoint, until in self.avoided_until.items() if until > now)[
            :MAX_AVOIDED_REPORTED
        ]

    def _current_trials(self, now: int, pilot: str) -> dict[str, float]:
        """Returns a pilot's trials unless they have expired."""
        at, shares = self.trials.get(pilot, (0, {}))
        return shares if now - at <= TRIALS_TTL_US else {}

    def _take_probe_permit(self, now: int, view: PilotView) -> str:
        """Removes permits up to the first usable one and returns its endpoint, or "" if none is usable."""
        for endpoint, until in list(self.probe_permits.items()):
            del self.probe_permits[endpoint]
            if now < until and endpoint in view.lines:
                return endpoint
        return ""

    def _choose(self, view: PilotView, lines: dict[str, float], random_value: float) -> str:
        if self.round_robin:
            return view.rotation.pick(lines, random_value)
        return self._weighted_random(lines, random_value)

    @staticmethod
    def _weighted_random(lines: dict[str, float], random_value: float) -> str:
        """Picks an endpoint with a probability proportional to its weight."""
        left = random_value * sum(lines.values())
        for endpoint, weight in lines.items():
            left -= weight
            if left < 0:
                return endpoint
        return next(reversed(lines))

    def _check_level(
        self, levels: list[Level], table: int, op_type: int, random_value: float
    ) -> Optional[NoPick]:
        """Returns None if an op is within the lowest share of the levels for its type, else why not.

        `random_value` spreads the proxies, so that those with the same level do not admit together.
        """
        share = min((lv.share for lv in levels if not lv.mask or lv.mask >> op_type & 1), default=1.0)
        if share >= 1.0:
            return None
        if share <= 0.0:
            return NoPick("closed")
        return None if self.admitted.passes((table, op_type), share, random_value) else NoPick("level")

    def retries(self, slice_id: int, op_type: int) -> int:
        """Returns how ops of a type may be retried, by the last level that applies to them.

        0: no retry; 1: one, if the first try provably never ran; 2: one after any failure; 3: two.
        """
        if self.slices:
            held_slice = self.held[slice_id]
            view = self.views.get(held_slice.pilot)
            levels = (
                view.levels if view else []
            ) + held_slice.levels  # the slice's own levels take precedence
        else:
            levels = next((view.levels for view in self.views.values() if view.joined), [])
        return next((lv.retries for lv in reversed(levels) if not lv.mask or lv.mask >> op_type & 1), 0)

    def on_outcome(self, now: int, endpoint: str, aborted: bool) -> None:
        """Counts consecutive failures of an endpoint, which is avoided after `outlier_after` of them."""
        if not aborted:
            self.consecutive_failures.pop(endpoint, None)
            if self.avoided_until.get(endpoint, now) < now:
                del self.avoided_until[endpoint]  # a probe succeeded
        elif self.outlier_after:
            self.consecutive_failures[endpoint] = self.consecutive_failures.get(endpoint, 0) + 1
            if self.consecutive_failures[endpoint] >= self.outlier_after:
                self.consecutive_failures.pop(endpoint)
                self.avoided_until[endpoint] = now + AVOID_DURATION_US

    def without_owner(self) -> list[int]:
        """Returns the slices that have no owner."""
        return [number for number, held_slice in self.held.items() if not held_slice.owner]
