"""Assigns slices to pilots. No I/O; times are microseconds, passed in.

Each slice has a home pilot. A pilot is in charge while its session lasts: until `lease` after its last
renewal. The slices of a dead pilot are assigned to live ones by rendezvous hashing, and return once their
home has been alive for a while. Each assignment has a new epoch, which serves as fencing token: orders under
an older epoch are refused.

A slice is moved away from a live pilot in two steps. First it is marked as leaving, and its orders are
refused; it is assigned anew only when that pilot confirms that its proxies were told, or its session ends. So
a proxy's lease under the former pilot ends at most one proxy lease after the new assignment, which the new
pilot waits out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Iterable, NamedTuple, Optional

# Upper bound on the assignments of one slice in a life of the store; ten a second for three weeks.
EPOCHS_PER_LIFE = 1 << 24


@dataclass
class SliceRecord:
    """The durable state of a slice. `epoch` grows with each assignment, `version` with each write.

    `pilot` is in charge of the slice ("": none); `owner` is the endpoint that serves it; `levels` are
    the admission levels set while the slice is being revoked from its owner.
    """

    slice: int
    epoch: int = 0
    version: int = 0
    pilot: str = ""
    owner: str = ""
    levels: list[Any] = field(default_factory=list)


@dataclass
class PilotSession:
    """A pilot's session, open since `since`, which ends at `until` unless it is renewed (us).

    Number 0 stands for a session from before the start of this process, which may still be in use.
    """

    number: int
    since: int
    until: int


class AssignmentChanges(NamedTuple):
    """What a step requires: store `changed` durably first, then tell the pilots.

    `given` and `taken` are the newly assigned slices and those to be released, by pilot.
    """

    changed: list[SliceRecord]
    given: dict[str, list[SliceRecord]]
    taken: dict[str, list[int]]


class SliceAssignment:
    """The assignment of all slices, from their stored `rows`. Times are microseconds.

    `pilots`: all configured ones; their order determines the home pilots. `lease`: duration of a session.
    `takeover`: how long a home pilot must be absent before its slices go to others. `back_after`: how long it
    must be back before they return. `life`: number of this life of the store, from 1.

    After a start every pilot that has slices counts as alive for one lease, since its session may still
    stand.
    """

    def __init__(
        self,
        rows: Iterable[SliceRecord],
        pilots: list[str],
        lease: int,
        takeover: int,
        back_after: int,
        now: int,
        life: int = 1,
    ) -> None:
        assert pilots, "at least one pilot is required"
        # Epochs of a later life exceed all of an earlier one, even of an assignment that the disk has lost.
        self.min_epoch = (life - 1) * EPOCHS_PER_LIFE + 1
        self.rows = {row.slice: row for row in rows}
        self.pilots = list(pilots)
        self.lease = lease
        self.takeover = takeover
        self.back_after = back_after
        self.holders: dict[str, PilotSession] = {}
        self.absent_since = {name: now for name in pilots}
        self.leaving: set[int] = set()
        self.regrant: set[int] = set()  # to be assigned again to the same pilot, for its new session
        self.last_session = 0
        for name in sorted({row.pilot for row in self.rows.values() if row.pilot}):
            self.holders[name] = PilotSession(0, now, now + lease)

    # ---- sessions

    def open(self, now: int, pilot: str) -> int:
        """Open a session for a pilot, which replaces an older one; return its number.

        Its slices are assigned to it again, and to nobody else, as it acts under the old session until it
        hears of the new one. Slices that belong elsewhere are then moved in two steps. Raises ValueError for
        an unknown pilot.
        """
        if pilot not in self.absent_since:
            raise ValueError(f"unknown pilot {pilot!r}, configured: {', '.join(self.pilots)}")
        self.last_session += 1
        self.holders[pilot] = PilotSession(self.last_session, now, now + self.lease)
        for row in self.rows.values():
            if row.pilot == pilot:  # a new epoch settles unanswered orders
                self.regrant.add(row.slice)
                self.leaving.discard(row.slice)
        return self.last_session

    def renew(self, now: int, pilot: str, number: int) -> bool:
        """Renew a session; return whether it still stands."""
        holder = self.holders.get(pilot)
        if holder is None or holder.number != number or now >= holder.until:
            return False
        holder.until = now + self.lease
        return True

    def close(self, now: int, pilot: str, number: int) -> None:
        """End the session of a pilot that shuts down after telling its proxies, without waiting for the
        lease.
        """
        holder = self.holders.get(pilot)
        if holder is not None and holder.number == number:
            self._end_session(now, pilot)

    def released(self, pilot: str, slices: Iterable[int]) -> None:
        """Free slices that are leaving a pilot, as its proxies have been told: they may be assigned anew."""
        for number in slices:
            row = self.rows.get(number)
            if row is not None and row.pilot == pilot and number in self.leaving:
                self.leaving.discard(number)
                row.pilot = ""

    def _end_session(self, now: int, pilot: str) -> None:
        self.absent_since[pilot] = min(now, self.holders.pop(pilot).until)
        for row in self.rows.values():
            if row.pilot == pilot:
                row.pilot = ""
                self.leaving.discard(row.slice)

    # ---- assignment

    def home(self, slice_id: int) -> str:
        """Return the home pilot of a slice."""
        return self.pilots[slice_id % len(self.pilots)]

    def _desired_pilot(self, row: SliceRecord, now: int) -> Optional[str]:
        """Return who should be in charge; None if no pilot is live or the home pilot may still return."""
        home = self.home(row.slice)
        holder = self.holders.get(home)
        if holder is not None:
            settled = now - holder.since >= self.back_after
            if not row.pilot or row.pilot == home or settled:
                return home
            return row.pilot
        if not row.pilot and now - self.absent_since[home] < self.takeover:
            return None
        live_pilots = [name for name in self.pilots if name in self.holders]
        if row.pilot in live_pilots:
            return row.pilot
        return max(
            live_pilots, key=lambda name: (self._rendezvous_score(name, row.slice), name), default=None
        )

    @staticmethod
    def _rendezvous_score(pilot: str, slice_id: int) -> bytes:
        return blake2b(f"{pilot}/{slice_id}".encode(), digest_size=8).digest()

    def step(self, now: int) -> AssignmentChanges:
        """End expired sessions and move slices where needed."""
        for name in [name for name, holder in self.holders.items() if now >= holder.until]:
            self._end_session(now, name)
        step = AssignmentChanges([], {}, {})
        for number, row in sorted(self.rows.items()):
            desired = self._desired_pilot(row, now)
            if number in self.regrant and row.pilot:
                self._assign(row, row.pilot, step)
            elif (
                row.pilot
                and desired != row.pilot
                and number not in self.leaving
                and self.holders[row.pilot].number
            ):
                self.leaving.add(number)
                step.taken.setdefault(row.pilot, []).append(number)
            elif not row.pilot and desired is not None and self.holders[desired].number:
                self._assign(row, desired, step)
        self.regrant.clear()  # slices without a pilot are assigned as usual
        return step

    def _assign(self, row: SliceRecord, pilot: str, step: AssignmentChanges) -> None:
        row.pilot = pilot
        row.epoch = max(row.epoch + 1, self.min_epoch)
        row.version += 1
        row.levels = []  # an assignment aborts a revocation in progress
        step.changed.append(row)
        step.given.setdefault(pilot, []).append(row)

    def due(self, now: int) -> int:
        """Return when `step` may have something to do next (us)."""
        deadlines = [holder.until for holder in self.holders.values()]
        deadlines += [holder.since + self.back_after for holder in self.holders.values()]
        deadlines += [at + self.takeover for at in self.absent_since.values()]
        return min((at for at in deadlines if at > now), default=now + self.lease)

    # ---- orders

    def refusal(self, now: int, pilot: str, session: int, slice_id: int, epoch: int) -> str:
        """Return why a pilot's order to write a slice is refused; "" if it is accepted."""
        row = self.rows.get(slice_id)
        holder = self.holders.get(pilot)
        if row is None:
            return f"unknown slice {slice_id}"
        if holder is None or holder.number != session or now >= holder.until:
            return "the session has ended"
        if row.pilot != pilot:
            return f"in charge of {row.pilot or 'nobody'}"
        if row.epoch != epoch:
            return f"epoch {epoch}, now {row.epoch}"
        if slice_id in self.leaving:
            return "taken back"
        return ""

    def write(self, slice_id: int, owner: Optional[str], levels: Optional[list[Any]]) -> SliceRecord:
        """Apply an order that `refusal` accepts; None leaves a field as it is. Return the row to store."""
        row = self.rows[slice_id]
        row.version += 1
        if owner is not None:
            row.owner = owner
        if levels is not None:
            row.levels = levels
        return row
