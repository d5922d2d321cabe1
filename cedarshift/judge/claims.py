"""Exclusive claims on resources, each granted to one pilot at a time as a lease. No I/O; times are
microseconds.

Budgets divide a capacity into shares; a claim covers something that cannot be divided. The holder counts a
lease from its request, shortened by the clock drift, and the grantor from the grant. Claims are used for cold
endpoints: the load that one may bear is too small to be split among the pilots, and two pilots that both use
it would overload it.

No ledger is needed: a grantor that starts grants nothing new for one longest lease, and renews only what
holders present as held. A resource that a holder no longer names is free at once, since the holder stops
using it before it says so; answers to earlier asks are ignored. Leases follow Gray and Cheriton (1989).
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Iterable, NamedTuple

# Resources beyond these are left out; so many cold at a time are a release, the rest comes as these
# grow warm.
MAX_CLAIMS_PER_ASK = 256
# Leases after which a silent holder life is forgotten; its late asks come within seconds.
SILENT_LIFE_LEASES = 16
MAX_OPEN_ASKS = 64  # asks of a holder that may still be answered; some four a lease are made


class ClaimRequest(NamedTuple):
    """A requested resource, and whether the requester holds it now."""

    resource: str
    held: bool


class Claim(NamedTuple):
    """A granted claim; `duration` (us) counts from the request."""

    resource: str
    duration: int


class ClaimLease(NamedTuple):
    """A claim as the grantor keeps it."""

    holder: str
    life: int
    until: int  # us, grantor's clock


# ---- granting


class ClaimGrantor:
    """The grantor's side. `lease` (us): duration of a claim. `era` identifies this life of the grantor; only
    claims presented as held are granted before `recovery_until`.
    """

    def __init__(self, lease: int, era: int, recovery_until: int) -> None:
        assert lease > 0, "the lease must be positive"
        self.lease = lease
        self.era = era
        self.recovery_until = recovery_until
        self.leases: dict[str, ClaimLease] = {}
        self.heard: dict[tuple[str, int], tuple[int, int]] = {}  # (holder, life) -> (newest ask, when)
        self.swept_at = 0
        self.counts = {"given": 0, "refused": 0, "stray": 0, "late": 0}

    def ask(
        self, now: int, holder: str, life: int, era: int, number: int, requests: Iterable[ClaimRequest]
    ) -> list[Claim]:
        """Return the claims that this life of the holder has from now on; its other ones are released.

        An ask of another era, or one that arrives out of order, gets nothing and releases nothing.
        """
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
            # Two holders of one claim: a clock beyond the drift bound.
            self.counts["stray"] += request.held and not own
            return own
        return request.held or now >= self.recovery_until

    def leave(self, holder: str, life: int) -> None:
        """Release all claims of a holder's life; later asks of it are ignored."""
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
        """Once a lease, drop expired claims and lives that have long been silent."""
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
        """Return the claims in force, for the status page."""
        return [
            {"thing": resource, "holder": lease.holder, "ends_in_us": lease.until - now}
            for resource, lease in sorted(self.leases.items())
            if lease.until > now
        ]


# ---- holding


class ClaimHolder:
    """The holder's side, for one life. `drift`: by how much one clock may run faster than another, as a
    fraction.
    """

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.since: dict[str, int] = {}  # resource -> number of the first of its consecutive asks
        self.until: dict[str, int] = {}  # resource -> end of its claim (us)
        self.asked: dict[int, int] = {}  # ask number -> when

    def ask(self, now: int, number: int, resources: Iterable[str]) -> list[ClaimRequest]:
        """Request these resources; any other is given up at once, before the ask is sent. `number` grows with
        each ask of a life.
        """
        requested = list(dict.fromkeys(resources))[:MAX_CLAIMS_PER_ASK]
        self.since = {resource: self.since.get(resource, number) for resource in requested}
        self.until = {resource: until for resource, until in self.until.items() if resource in self.since}
        self.asked[number] = now
        self.asked.pop(number - MAX_OPEN_ASKS, None)
        return [ClaimRequest(resource, now < self.until.get(resource, now)) for resource in requested]

    def on_answer(self, now: int, number: int, claims: Iterable[Claim]) -> None:
        """Take in an answer of the present era; only the first answer to an ask counts."""
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
        """Ignore the answers to all earlier asks: the grantor restarted, or the stream is gone."""
        self.asked.clear()

    def held(self, now: int) -> frozenset[str]:
        """Return the resources held now."""
        return frozenset(resource for resource, until in self.until.items() if now < until)

    def next_end(self) -> int:
        """Return when the first held claim ends unless renewed; far in the future if none is held."""
        return min(self.until.values(), default=1 << 62)

    def drop(self) -> None:
        """Give up all claims."""
        self.since.clear()
        self.until.clear()
        self.asked.clear()


# ---- order of asking


class ClaimSchedule:
    """Decides which resources to ask for. All pilots see the same cold endpoints; for each of them rendezvous
    hashing ranks the live pilots, and each asks one `step` (us) after the previous. If membership views
    differ and two ask at once, the grantor decides.
    """

    def __init__(self, me: str, step: int) -> None:
        self.me = me
        self.step = step
        self.seen: dict[str, int] = {}

    def requests(
        self, now: int, resources: Iterable[str], living: Iterable[str], held: frozenset[str]
    ) -> list[str]:
        """Return the held resources and those for which this pilot's time to ask has come."""
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
