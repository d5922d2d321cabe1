"""The tables that a proxy holds, and its picks. Free of I/O; times are microseconds passed in.

Two rules make single ownership safe here. A write goes to a slice's owner only while the lease from the pilot in charge
of that slice runs, counted from when the proxy *asked* for it. And a line under an older epoch than the one held is
refused, whoever sends it and however late: a former pilot can't bring a former owner back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Callable, NamedTuple, Optional, Union

from cedarshift.agent.thinning import Thinning
from cedarshift.codec import OutOfOrder
from cedarshift.codec.messages import Level, Line, Order, SliceAssignment, SliceState, Snapshot

ALL_TABLES = 65_535
AVOID = 3_000_000  # us; how long an endpoint is avoided after a run of the proxy's own failures
TRIALS_FOR = 3_000_000  # us that what a pilot told of trials holds; it is told anew each second
LEAVE_FOR = 1_000_000  # us that a leave to try a shut endpoint holds
SHUNNED_MOST = 32  # told in one message; more at a time are not single endpoints' matter


class OpKind(NamedTuple):
    """What the proxy must know of an op type."""

    name: str
    writes: bool


class Pick(NamedTuple):
    endpoint: str
    pilot: str  # who gets the sums of it
    epoch: int


class NoPick(NamedTuple):
    """The op was not sent anywhere. `waits`: it may be held a little, since an owner may come soon."""

    reason: str  # "no-owner", "closed", "level", "lease"
    waits: bool = False


@dataclass
class Holding:
    """A slice as this proxy knows it."""

    epoch: int = 0
    pilot: str = ""  # in charge, as far as known; "" where only the store was read
    owner: str = ""
    levels: list[Level] = field(default_factory=list)
    writes_until: Optional[int] = None  # set when it left its pilot's charge


@dataclass
class View:
    """What one pilot has told."""

    joined: bool = False
    lease_until: int = 0
    seq: int = 0
    table: int = -1
    lines: dict[str, float] = field(default_factory=dict)
    levels: list[Level] = field(default_factory=list)
    credit: dict[str, float] = field(default_factory=dict)


class Tables:
    """`lease` in us; `even` picks evenly by weight in place of by chance; `chance()` gives [0, 1)."""

    def __init__(
        self,
        slices: int,
        op_types: list[OpKind],
        single_owner: bool,
        lease: int,
        even: bool,
        outlier_after: int = 0,
    ) -> None:
        self.slices = slices
        self.op_types = op_types
        self.single_owner = single_owner
        self.lease = lease
        self.even = even
        self.outlier_after = outlier_after
        self.held: dict[int, Holding] = {n: Holding() for n in range(slices)}
        self.views: dict[str, View] = {}
        self.admitted = Thinning()
        self.failures: dict[str, int] = {}
        self.avoided: dict[str, int] = {}
        self.may_probe: Optional[Callable[[], bool]] = None  # asked before an avoided endpoint is tried again
        self.trials: dict[
            str, tuple[int, dict[str, float]]
        ] = {}  # by pilot: when it was told, shares of endpoints on trial
        self.leave: dict[str, int] = {}  # shut endpoints that may be tried once -> until when
        self.answered: Optional[Callable[[int, str], bool]] = (
            None  # whether a pilot's answer to overload holds
        )
        self.stale = 0  # lines refused for an older epoch

    # ---- what pilots and the store tell

    def on_join(self, pilot: str) -> None:
        view = self.views.setdefault(pilot, View())
        view.joined, view.seq = True, 0

    def on_lost(self, pilot: str) -> None:
        """The stream broke: what is held stays; the lease runs out by itself."""
        if pilot in self.views:
            self.views[pilot].joined = False

    def on_lease(self, pilot: str, asked_at: int) -> None:
        view = self.views[pilot]
        view.lease_until = max(view.lease_until, asked_at + self.lease)

    def on_snapshot(self, now: int, pilot: str, snapshot: Snapshot) -> None:
        view = self.views[pilot]
        view.levels = list(snapshot.levels)
        view.table = snapshot.table
        view.lines = {line.endpoint: line.weight for line in snapshot.lines}
        named = {row.slice for row in snapshot.slices}
        for number, holding in self.held.items():
            if holding.pilot == pilot and number not in named:
                self._leave(now, holding)
        for row in snapshot.slices:
            self._take(row, pilot)

    def on_charge(self, now: int, pilot: str, charge: SliceAssignment) -> None:
        for number in charge.taken:
            holding = self.held.get(number)
            if holding is not None and holding.pilot == pilot:
                self._leave(now, holding)
        for row in charge.given:
            self._take(row, pilot)

    def on_store(self, rows: list[SliceState]) -> None:
        """What the store holds, for a proxy that reaches no pilot: good for what is no write."""
        for row in rows:
            self._take(row, "")

    def _take(self, row: SliceState, pilot: str) -> None:
        holding = self.held.get(row.slice)
        if holding is None:
            raise OutOfOrder(f"slice {row.slice}, there are {self.slices}")
        if row.epoch < holding.epoch or (row.epoch == holding.epoch and not pilot):
            self.stale += 1  # a former pilot's, or the store's of before
            return
        holding.epoch, holding.pilot, holding.owner = row.epoch, pilot, row.owner
        holding.levels, holding.writes_until = list(row.levels), None

    def _leave(self, now: int, holding: Holding) -> None:
        """Out of its pilot's charge: no lease is added to the one that runs."""
        holding.writes_until = min(self.views[holding.pilot].lease_until, now + self.lease)

    def on_order(self, pilot: str, order: Order) -> None:
        """Puts one turn's lines and levels in force. Raises OutOfOrder on a gap: nothing of it is applied then."""
        view = self.views[pilot]
        if order.seq != view.seq + 1:
            raise OutOfOrder(f"order {order.seq} after {view.seq}")
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
                holding = self.held[level.table]
                if level.epoch != holding.epoch or pilot != holding.pilot:
                    self.stale += 1
                else:
                    self._set_level(holding.levels, level)

    def _set_owner(self, pilot: str, line: Line) -> None:
        holding = self.held.get(line.table)
        if holding is None:
            raise OutOfOrder(f"slice {line.table}, there are {self.slices}")
        if line.epoch > holding.epoch:
            raise OutOfOrder(
                f"a line of slice {line.table} under epoch {line.epoch}, given under {holding.epoch}"
            )
        if line.epoch < holding.epoch or pilot != holding.pilot:
            self.stale += 1
        elif line.weight > 0:
            holding.owner = line.endpoint
        elif holding.owner == line.endpoint:
            holding.owner = ""

    @staticmethod
    def _set_line(view: View, line: Line) -> None:
        if line.weight > 0:
            view.lines[line.endpoint] = line.weight
        else:
            view.lines.pop(line.endpoint, None)
            view.credit.pop(line.endpoint, None)

    @staticmethod
    def _set_level(levels: list[Level], level: Level) -> None:
        levels[:] = [old for old in levels if old.mask != level.mask] + [level]

    # ---- picks

    def pick(self, now: int, slice_id: int, op_type: int, chance: float) -> Union[Pick, NoPick]:
        """Where an op goes. `slice_id` is passed over at sites without slices."""
        if not self.slices:
            return self._pick_line(now, op_type, chance)
        holding = self.held[slice_id]
        view = self.views.get(holding.pilot)
        levels = holding.levels + (self._general(now, holding.pilot, view) if view else [])
        if (refused := self._level(levels, slice_id, op_type)) is not None:
            return refused
        if self.single_owner and self.op_types[op_type].writes:
            if view is None or now >= view.lease_until:
                return NoPick("lease")
            if holding.writes_until is not None and now >= holding.writes_until:
                return NoPick("lease")
        if not holding.owner:
            return NoPick("no-owner", waits=True)
        return Pick(holding.owner, holding.pilot, holding.epoch)

    def _pick_line(self, now: int, op_type: int, chance: float) -> Union[Pick, NoPick]:
        joined = [name for name, view in self.views.items() if view.joined and view.lines]
        name = next(iter(joined or [name for name, view in self.views.items() if view.lines]), "")
        if not name:
            return NoPick("no-owner", waits=True)
        view = self.views[name]
        if (refused := self._level(self._general(now, name, view), view.table, op_type)) is not None:
            return refused
        trials = self._on_trial(now, name)
        if trials and not self.op_types[op_type].writes and (tried := self._leave_for(now, view)):
            return Pick(tried, name, 0)
        fit = {
            end: w * trials.get(end, 1.0)
            for end, w in view.lines.items()
            if (trials[end] > 0 if end in trials else self.avoided.get(end, 0) <= now)
        } or view.lines
        endpoint = self._evenly(view, fit) if self.even else self._by_chance(fit, chance)
        if (
            endpoint in self.avoided
            and endpoint not in trials
            and self.may_probe is not None
            and not self.may_probe()
        ):
            sound = {end: w for end, w in view.lines.items() if end not in self.avoided}
            if sound:  # without another one it is tried all the same: an op needs somewhere to go
                endpoint = self._evenly(view, sound) if self.even else self._by_chance(sound, chance)
        return Pick(endpoint, name, 0)

    def _general(self, now: int, pilot: str, view: View) -> list[Level]:
        """The levels for all tables. While the fleet's answer to overload holds it stands in the place of their shares: both cut the
        same ops, and one after the other they would cut twice. What is closed stays closed."""
        if self.answered is None or not self.answered(now, pilot):
            return view.levels
        return [level for level in view.levels if level.share <= 0]

    def told_by(self, slice_id: int) -> str:
        """The pilot whose matter an op is, "" where none is known."""
        if self.slices:
            return self.held[slice_id].pilot
        return next((name for name, view in self.views.items() if view.joined), "")

    # ---- trials of the whole fleet, in the place of this proxy's own

    def on_trials(self, now: int, pilot: str, told: dict[str, float]) -> None:
        self.trials[pilot] = (now, told)

    def on_leave(self, now: int, endpoint: str) -> None:
        """One op may try a shut endpoint."""
        self.leave[endpoint] = now + LEAVE_FOR

    def shunned(self, now: int) -> list[str]:
        """Endpoints that this proxy avoids for what they did to it."""
        return sorted(end for end, until in self.avoided.items() if until > now)[:SHUNNED_MOST]

    def _on_trial(self, now: int, pilot: str) -> dict[str, float]:
        at, told = self.trials.get(pilot, (0, {}))
        return told if now - at <= TRIALS_FOR else {}

    def _leave_for(self, now: int, view: View) -> str:
        for endpoint, until in list(self.leave.items()):
            del self.leave[endpoint]
            if now < until and endpoint in view.lines:
                return endpoint
        return ""

    @staticmethod
    def _by_chance(lines: dict[str, float], chance: float) -> str:
        left = chance * sum(lines.values())
        for endpoint, weight in lines.items():
            left -= weight
            if left < 0:
                return endpoint
        return next(reversed(lines))

    @staticmethod
    def _evenly(view: View, lines: dict[str, float]) -> str:
        """Smooth weighted rotation: each gains its weight, the richest is picked and pays the sum."""
        for endpoint, weight in lines.items():
            view.credit[endpoint] = view.credit.get(endpoint, 0.0) + weight
        best = max(lines, key=lambda end: (view.credit[end], end))
        view.credit[best] -= sum(lines.values())
        return best

    def _level(self, levels: list[Level], table: int, op_type: int) -> Optional[NoPick]:
        """Admits a share of an op type: the lower of the levels that stand."""
        share = min((lv.share for lv in levels if not lv.mask or lv.mask >> op_type & 1), default=1.0)
        if share >= 1.0:
            return None
        if share <= 0.0:
            return NoPick("closed")
        return None if self.admitted.passes((table, op_type), share) else NoPick("level")

    def retries(self, slice_id: int, op_type: int) -> int:
        """0: no further try; 1: one after proof that the first never ran; 2, 3: one, two after any failure."""
        if self.slices:
            holding = self.held[slice_id]
            view = self.views.get(holding.pilot)
            levels = (view.levels if view else []) + holding.levels  # the table's own comes last and decides
        else:
            levels = next((view.levels for view in self.views.values() if view.joined), [])
        return next((lv.retries for lv in reversed(levels) if not lv.mask or lv.mask >> op_type & 1), 0)

    def on_outcome(self, now: int, endpoint: str, aborted: bool) -> None:
        """Counts the proxy's own failures in a row; after some the endpoint is avoided where there is another."""
        if not aborted:
            self.failures.pop(endpoint, None)
            if self.avoided.get(endpoint, now) < now:
                del self.avoided[endpoint]  # its trial has gone well
        elif self.outlier_after:
            self.failures[endpoint] = self.failures.get(endpoint, 0) + 1
            if self.failures[endpoint] >= self.outlier_after:
                self.failures.pop(endpoint)
                self.avoided[endpoint] = now + AVOID

    def without_owner(self) -> list[int]:
        return [number for number, holding in self.held.items() if not holding.owner]
