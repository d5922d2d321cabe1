"""Which pilot is in charge of which slice. No I/O; times are microseconds passed in.

Each slice has a home among the pilots. A pilot is in charge while its session lasts; a session ends `lease` after its
last renewal was heard. A dead pilot's slices go to the live pilots by rendezvous, and back once their home has been
alive for a while. Each giving has a new epoch, and an order under an older one is refused: that is the fence.

A slice is taken from a live pilot in two steps. It is marked as leaving, from when on its orders are refused, and goes
on only when that pilot has said that its proxies were told, or its session has ended. So a proxy's leave to write under
the former pilot ends no later than one proxy lease after the giving, which the new pilot waits out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Iterable, NamedTuple, Optional

EPOCHS_PER_LIFE = (
    1 << 24
)  # givings of one slice in a life of the store: ten a second for three weeks; lives that fit a count: 2 ** 29


@dataclass
class SliceRecord:
    """A slice as it must be kept: `epoch` grows with each giving, `version` with each write."""

    slice: int
    epoch: int = 0
    version: int = 0
    pilot: str = ""
    owner: str = ""
    levels: list[Any] = field(default_factory=list)


@dataclass
class PilotSession:
    """A pilot's session. It was heard of last at a time that puts its end at `until`."""

    number: int
    since: int
    until: int


class AssignmentChanges(NamedTuple):
    """What is to be done: keep `changed` durably first, then tell of the givings and takings, by pilot."""

    changed: list[SliceRecord]
    given: dict[str, list[SliceRecord]]
    taken: dict[str, list[int]]


class SliceAssignment:
    """`pilots` in the order of their places; `lease`, `takeover` and `back_after` in us.

    After a start every pilot that holds slices counts as alive for one lease: its session may still stand."""

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
        assert pilots, "a store needs at least one pilot to give slices to"
        # Epochs of a later life are above all of a former one's, also of a giving that its disk has lost: it is in force somewhere.
        self.min_epoch = (life - 1) * EPOCHS_PER_LIFE + 1
        self.rows = {row.slice: row for row in rows}
        self.pilots = list(pilots)
        self.lease = lease
        self.takeover = takeover
        self.back_after = back_after
        self.holders: dict[str, PilotSession] = {}
        self.absent_since = {name: now for name in pilots}
        self.leaving: set[int] = set()
        self.regrant: set[int] = set()  # to be given again to the pilot that has them, for its new session
        self.last_session = 0
        for name in sorted({row.pilot for row in self.rows.values() if row.pilot}):
            self.holders[name] = PilotSession(0, now, now + lease)

    # ---- sessions

    def open(self, now: int, pilot: str) -> int:
        """A new session, which replaces an older one of the same pilot; its slices are given to it anew, and to nobody else: until it has
        heard of the new session it goes on under the old one. Whoever else should have them gets them in two steps, as ever."""
        if pilot not in self.absent_since:
            raise ValueError(f"pilot {pilot!r} is none of {', '.join(self.pilots)}")
        self.last_session += 1
        self.holders[pilot] = PilotSession(self.last_session, now, now + self.lease)
        for row in self.rows.values():
            if row.pilot == pilot:  # what was ordered and not answered is settled by giving anew
                self.regrant.add(row.slice)
                self.leaving.discard(row.slice)
        return self.last_session

    def renew(self, now: int, pilot: str, number: int) -> bool:
        """Whether the session still stands; if so it is prolonged."""
        holder = self.holders.get(pilot)
        if holder is None or holder.number != number or now >= holder.until:
            return False
        holder.until = now + self.lease
        return True

    def close(self, now: int, pilot: str, number: int) -> None:
        """A pilot that stops in good order says so, after it has told its proxies: nobody waits for its lease."""
        holder = self.holders.get(pilot)
        if holder is not None and holder.number == number:
            self._end_session(now, pilot)

    def released(self, pilot: str, slices: Iterable[int]) -> None:
        """The pilot has told its proxies of these; they may be given on."""
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

    # ---- giving and taking

    def home(self, slice_id: int) -> str:
        return self.pilots[slice_id % len(self.pilots)]

    def _desired_pilot(self, row: SliceRecord, now: int) -> Optional[str]:
        """Who should be in charge; None while the home may still come."""
        home = self.home(row.slice)
        holder = self.holders.get(home)
        if holder is not None:
            settled = now - holder.since >= self.back_after
            if not row.pilot or row.pilot == home or settled:
                return home
            return row.pilot
        if not row.pilot and now - self.absent_since[home] < self.takeover:
            return None
        live = [name for name in self.pilots if name in self.holders]
        if row.pilot in live:
            return row.pilot
        return max(live, key=lambda name: (self._rendezvous_score(name, row.slice), name), default=None)

    @staticmethod
    def _rendezvous_score(pilot: str, slice_id: int) -> bytes:
        return blake2b(f"{pilot}/{slice_id}".encode(), digest_size=8).digest()

    def step(self, now: int) -> AssignmentChanges:
        """Ends the sessions that have run out, and moves what has to move."""
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
        self.regrant.clear()  # what has no pilot any more is given as any other
        return step

    def _assign(self, row: SliceRecord, pilot: str, step: AssignmentChanges) -> None:
        row.pilot = pilot
        row.epoch = max(row.epoch + 1, self.min_epoch)
        row.version += 1
        row.levels = []  # levels are reset at a giving: the abort of a cut-off revoke
        step.changed.append(row)
        step.given.setdefault(pilot, []).append(row)

    def due(self, now: int) -> int:
        """When `step` may have something to do next (us)."""
        times = [holder.until for holder in self.holders.values()]
        times += [holder.since + self.back_after for holder in self.holders.values()]
        times += [at + self.takeover for at in self.absent_since.values()]
        return min((at for at in times if at > now), default=now + self.lease)

    # ---- orders

    def refusal(self, now: int, pilot: str, session: int, slice_id: int, epoch: int) -> str:
        """Why an order may not be taken; "" where it may."""
        row = self.rows.get(slice_id)
        holder = self.holders.get(pilot)
        if row is None:
            return f"there is no slice {slice_id}"
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
        """Takes an order that was not refused."""
        row = self.rows[slice_id]
        row.version += 1
        if owner is not None:
            row.owner = owner
        if levels is not None:
            row.levels = levels
        return row
