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
MAX_CLAIMS_PER_ASK = (
    256  # in one ask; so many endpoints cold at a time are a release, and the rest comes as these grow warm
)
SILENT_LIFE_LEASES = (
    16  # leases that a silent life's newest number is remembered: what it sent is seconds late at most
)
MAX_OPEN_ASKS = 64  # asks of a holder that may still be answered; it makes some four a lease


class ClaimRequest(NamedTuple):
    """A thing that is asked for, and whether it is held now."""

    resource: str
    held: bool


class Claim(NamedTuple):
    """`span` (us) counts from the asking."""

    resource: str
    duration: int


class ClaimLease(NamedTuple):
    holder: str
    life: int
    until: int  # by the giver's clock


# ---- giving


class ClaimGrantor:
    """`era` names this life of the giver. Nothing new is given before `quiet_until`."""

    def __init__(self, lease: int, era: int, recovery_until: int) -> None:
        assert lease > 0, "a claim without an end could never pass on"
        self.lease = lease
        self.era = era
        self.recovery_until = recovery_until
        self.leases: dict[str, ClaimLease] = {}
        self.heard: dict[tuple[str, int], tuple[int, int]] = {}  # holder and life -> newest ask, and when
        self.swept_at = 0
        self.counts = {"given": 0, "refused": 0, "stray": 0, "late": 0}

    def ask(
        self, now: int, holder: str, life: int, era: int, number: int, requests: Iterable[ClaimRequest]
    ) -> list[Claim]:
        """What this life has from now on; all else that it had is free. Nothing for an ask of another era, or a late one."""
        if era != self.era:
            return []
        if number <= self.heard.get((holder, life), (0, 0))[0]:
            self.counts["late"] += 1
            return []
        self.heard[holder, life] = (number, now)
        self._remove_expired(now)
        requested = list(requests)[:MAX_CLAIMS_PER_ASK]
        self._release(holder, life, {request.resource for request in requested})
        given = [
            Claim(request.resource, self.lease)
            for request in requested
            if self._may_grant(now, holder, life, request)
        ]
        for claim in given:
            self.leases[claim.resource] = ClaimLease(holder, life, now + self.lease)
        self.counts["given"] += len(given)
        self.counts["refused"] += len(requested) - len(given)
        return given

    def _may_grant(self, now: int, holder: str, life: int, request: ClaimRequest) -> bool:
        lease = self.leases.get(request.resource)
        if lease is not None and lease.until > now:
            own = (lease.holder, lease.life) == (holder, life)
            self.counts["stray"] += (
                request.held and not own
            )  # two that both say they hold it: a clock beyond the drift
            return own
        return request.held or now >= self.recovery_until

    def leave(self, holder: str, life: int) -> None:
        """A life says that it uses nothing any more, and takes no answer any more."""
        self._release(holder, life, set())
        self.heard[holder, life] = (1 << 62, self.heard.get((holder, life), (0, 0))[1])

    def _release(self, holder: str, life: int, kept: set[str]) -> None:
        for resource in [
            resource
            for resource, lease in self.leases.items()
            if (lease.holder, lease.life) == (holder, life) and resource not in kept
        ]:
            del self.leases[resource]

    def _remove_expired(self, now: int) -> None:
        """Once a lease: what has ended, and lives long silent."""
        if now - self.swept_at < self.lease:
            return
        self.swept_at = now
        self.leases = {resource: lease for resource, lease in self.leases.items() if lease.until > now}
        self.heard = {
            one: (number, at)
            for one, (number, at) in self.heard.items()
            if now - at < SILENT_LIFE_LEASES * self.lease
        }

    def shown(self, now: int) -> list[dict[str, object]]:
        return [
            {"thing": resource, "holder": lease.holder, "ends_in_us": lease.until - now}
            for resource, lease in sorted(self.leases.items())
            if lease.until > now
        ]


# ---- holding


class ClaimHolder:
    """One life's side. `drift`: how much faster one clock may run than another, as a part of 1."""

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.since: dict[str, int] = {}  # thing -> the ask with which it was wished first, without a break
        self.until: dict[str, int] = {}
        self.asked: dict[int, int] = {}  # ask's number -> when

    def ask(self, now: int, number: int, resources: Iterable[str]) -> list[ClaimRequest]:
        """Asks for these; what is not named any more is given up now, before it is said. `number` grows from ask to ask of a life."""
        requested = list(dict.fromkeys(resources))[:MAX_CLAIMS_PER_ASK]
        self.since = {resource: self.since.get(resource, number) for resource in requested}
        self.until = {resource: until for resource, until in self.until.items() if resource in self.since}
        self.asked[number] = now
        self.asked.pop(number - MAX_OPEN_ASKS, None)
        return [ClaimRequest(resource, now < self.until.get(resource, now)) for resource in requested]

    def on_answer(self, now: int, number: int, claims: Iterable[Claim]) -> None:
        """An answer of the present era; the first to an ask counts."""
        asked_at = self.asked.pop(number, None)
        if asked_at is None:
            return
        for claim in claims:
            until = asked_at + int(claim.duration * (1 - self.drift))
            if number >= self.since.get(claim.resource, number + 1) and until > max(
                now, self.until.get(claim.resource, 0)
            ):
                self.until[claim.resource] = until

    def lost(self) -> None:
        """No answer to what was asked counts any more: another life of the giver, or a stream that is gone."""
        self.asked.clear()

    def held(self, now: int) -> frozenset[str]:
        return frozenset(resource for resource, until in self.until.items() if now < until)

    def next_end(self) -> int:
        """When the first of what is held ends, if nothing more is heard; beyond any time where nothing is."""
        return min(self.until.values(), default=1 << 62)

    def drop(self) -> None:
        self.since.clear()
        self.until.clear()
        self.asked.clear()


# ---- who asks first


class ClaimSchedule:
    """Which things to ask for: all pilots see the same cold endpoints, and one has to be first. By lot among those that live; the next
    asks a step later, should the first be gone or want nothing. Rolls that differ make two ask at once, and the giver decides."""

    def __init__(self, me: str, step: int) -> None:
        self.me = me
        self.step = step
        self.seen: dict[str, int] = {}

    def requests(
        self, now: int, resources: Iterable[str], living: Iterable[str], held: frozenset[str]
    ) -> list[str]:
        names = {*living, self.me}
        self.seen = {resource: self.seen.get(resource, now) for resource in sorted(resources)}
        return [
            resource
            for resource, at in self.seen.items()
            if resource in held or now - at >= self.step * self._rank(resource, names)
        ]

    def _rank(self, resource: str, names: set[str]) -> int:
        own = self._priority(resource, self.me)
        return sum(self._priority(resource, name) > own for name in names)

    @staticmethod
    def _priority(resource: str, name: str) -> tuple[bytes, str]:
        return blake2b(f"{resource}/{name}".encode(), digest_size=8).digest(), name
