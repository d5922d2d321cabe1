"""Claims: things of which one pilot at a time has the right, each as a lease. No I/O; times are whole microseconds.

Budgets divide a whole into parts. A thing that bears no division is claimed: one holder has all of it until an end that it counts from
its asking, shortened by the clock drift, and the giver from its giving. Used for cold endpoints: split among all pilots what such an
endpoint may bear would not hold a single slice of any, and two that each think it theirs push it over.

Safe without a ledger: a giver that starts gives nothing new for one longest lease, and prolongs only what its holder presents as held.
A thing that a holder names no more is free at once, since it has stopped using it before it said so; an answer to an ask from before
that time is passed over, so nothing comes back late. Leases after Gray and Cheriton (1989).
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Iterable, NamedTuple

# Constants: unit, then the reason for the size.
THINGS_MOST = (
    256  # in one ask; so many endpoints cold at a time are a release, and the rest comes as these grow warm
)
LIVES_KEPT = (
    16  # leases that a silent life's newest number is remembered: what it sent is seconds late at most
)
ASKS_KEPT = 64  # asks of a holder that may still be answered; it makes some four a lease


class Wish(NamedTuple):
    """A thing that is asked for, and whether it is held now."""

    thing: str
    held: bool


class Claim(NamedTuple):
    """`span` (us) counts from the asking."""

    thing: str
    span: int


class Right(NamedTuple):
    holder: str
    life: int
    until: int  # by the giver's clock


# ---- giving


class ClaimGiver:
    """`era` names this life of the giver. Nothing new is given before `quiet_until`."""

    def __init__(self, lease: int, era: int, quiet_until: int) -> None:
        assert lease > 0, "a claim without an end could never pass on"
        self.lease = lease
        self.era = era
        self.quiet_until = quiet_until
        self.rights: dict[str, Right] = {}
        self.heard: dict[tuple[str, int], tuple[int, int]] = {}  # holder and life -> newest ask, and when
        self.swept_at = 0
        self.counts = {"given": 0, "refused": 0, "stray": 0, "late": 0}

    def ask(
        self, now: int, holder: str, life: int, era: int, number: int, wishes: Iterable[Wish]
    ) -> list[Claim]:
        """What this life has from now on; all else that it had is free. Nothing for an ask of another era, or a late one."""
        if era != self.era:
            return []
        if number <= self.heard.get((holder, life), (0, 0))[0]:
            self.counts["late"] += 1
            return []
        self.heard[holder, life] = (number, now)
        self._sweep(now)
        wanted = list(wishes)[:THINGS_MOST]
        self._free(holder, life, {wish.thing for wish in wanted})
        given = [Claim(wish.thing, self.lease) for wish in wanted if self._may_have(now, holder, life, wish)]
        for claim in given:
            self.rights[claim.thing] = Right(holder, life, now + self.lease)
        self.counts["given"] += len(given)
        self.counts["refused"] += len(wanted) - len(given)
        return given

    def _may_have(self, now: int, holder: str, life: int, wish: Wish) -> bool:
        right = self.rights.get(wish.thing)
        if right is not None and right.until > now:
            mine = (right.holder, right.life) == (holder, life)
            self.counts["stray"] += (
                wish.held and not mine
            )  # two that both say they hold it: a clock beyond the drift
            return mine
        return wish.held or now >= self.quiet_until

    def leave(self, holder: str, life: int) -> None:
        """A life says that it uses nothing any more, and takes no answer any more."""
        self._free(holder, life, set())
        self.heard[holder, life] = (1 << 62, self.heard.get((holder, life), (0, 0))[1])

    def _free(self, holder: str, life: int, but: set[str]) -> None:
        for thing in [
            thing
            for thing, right in self.rights.items()
            if (right.holder, right.life) == (holder, life) and thing not in but
        ]:
            del self.rights[thing]

    def _sweep(self, now: int) -> None:
        """Once a lease: what has ended, and lives long silent."""
        if now - self.swept_at < self.lease:
            return
        self.swept_at = now
        self.rights = {thing: right for thing, right in self.rights.items() if right.until > now}
        self.heard = {
            one: (number, at)
            for one, (number, at) in self.heard.items()
            if now - at < LIVES_KEPT * self.lease
        }

    def shown(self, now: int) -> list[dict[str, object]]:
        return [
            {"thing": thing, "holder": right.holder, "ends_in_us": right.until - now}
            for thing, right in sorted(self.rights.items())
            if right.until > now
        ]


# ---- holding


class ClaimHolder:
    """One life's side. `drift`: how much faster one clock may run than another, as a part of 1."""

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.since: dict[str, int] = {}  # thing -> the ask with which it was wished first, without a break
        self.until: dict[str, int] = {}
        self.asked: dict[int, int] = {}  # ask's number -> when

    def ask(self, now: int, number: int, things: Iterable[str]) -> list[Wish]:
        """Asks for these; what is not named any more is given up now, before it is said. `number` grows from ask to ask of a life."""
        wanted = list(dict.fromkeys(things))[:THINGS_MOST]
        self.since = {thing: self.since.get(thing, number) for thing in wanted}
        self.until = {thing: until for thing, until in self.until.items() if thing in self.since}
        self.asked[number] = now
        self.asked.pop(number - ASKS_KEPT, None)
        return [Wish(thing, now < self.until.get(thing, now)) for thing in wanted]

    def hear(self, now: int, number: int, claims: Iterable[Claim]) -> None:
        """An answer of the present era; the first to an ask counts."""
        asked_at = self.asked.pop(number, None)
        if asked_at is None:
            return
        for claim in claims:
            until = asked_at + int(claim.span * (1 - self.drift))
            if number >= self.since.get(claim.thing, number + 1) and until > max(
                now, self.until.get(claim.thing, 0)
            ):
                self.until[claim.thing] = until

    def lost(self) -> None:
        """No answer to what was asked counts any more: another life of the giver, or a stream that is gone."""
        self.asked.clear()

    def held(self, now: int) -> frozenset[str]:
        return frozenset(thing for thing, until in self.until.items() if now < until)

    def next_end(self) -> int:
        """When the first of what is held ends, if nothing more is heard; beyond any time where nothing is."""
        return min(self.until.values(), default=1 << 62)

    def drop(self) -> None:
        self.since.clear()
        self.until.clear()
        self.asked.clear()


# ---- who asks first


class Turns:
    """Which things to ask for: all pilots see the same cold endpoints, and one has to be first. By lot among those that live; the next
    asks a step later, should the first be gone or want nothing. Rolls that differ make two ask at once, and the giver decides."""

    def __init__(self, me: str, step: int) -> None:
        self.me = me
        self.step = step
        self.seen: dict[str, int] = {}

    def wishes(
        self, now: int, things: Iterable[str], living: Iterable[str], held: frozenset[str]
    ) -> list[str]:
        names = {*living, self.me}
        self.seen = {thing: self.seen.get(thing, now) for thing in sorted(things)}
        return [
            thing
            for thing, at in self.seen.items()
            if thing in held or now - at >= self.step * self._place(thing, names)
        ]

    def _place(self, thing: str, names: set[str]) -> int:
        mine = self._lot(thing, self.me)
        return sum(self._lot(thing, name) > mine for name in names)

    @staticmethod
    def _lot(thing: str, name: str) -> tuple[bytes, str]:
        return blake2b(f"{thing}/{name}".encode(), digest_size=8).digest(), name
