"""The lender's side: what this pilot knows, cut into chunks, each built when it is asked for, within a share of its time."""

from __future__ import annotations

import hashlib
from collections import deque
from typing import TYPE_CHECKING, Any, Optional

import msgspec
import zstandard

from cedarshift.codec import messages as m
from cedarshift.link import Link
from cedarshift.loop.core import Coroutine
from cedarshift.pilot.intake import SliceHeat, ZoneMet
from cedarshift.pilot.terms import UNIT

if TYPE_CHECKING:
    from cedarshift.pilot.service import PilotService

ENDPOINTS_A_CHUNK = 100  # a few ms to build and some 30 kB; an order waits no longer than for one chunk
SLICES_A_CHUNK = 400
PROXIES_A_CHUNK = 400
SUMS_LENT = 24  # newest sums of an endpoint: half of what the module keeps, some periods from a few zones
HEATS_LENT = 4  # newest of a slice
KEPT = 30_000_000  # us for which a lending that broke off may go on where it stopped
BUSY = 1_000_000  # us after its last question in which a borrower has the lender for itself

ENCODER = msgspec.msgpack.Encoder()


class Plan:
    """What one lending covers: names frozen at its start, facts read chunk by chunk as they are then."""

    def __init__(self, version: str, endpoints: list[str], slices: list[int], proxies: list[int]) -> None:
        self.version = version
        parts: list[tuple[str, list[Any]]] = [
            ("endpoints", endpoints[n : n + ENDPOINTS_A_CHUNK])
            for n in range(0, len(endpoints), ENDPOINTS_A_CHUNK)
        ]
        parts += [("slices", slices[n : n + SLICES_A_CHUNK]) for n in range(0, len(slices), SLICES_A_CHUNK)]
        parts += [
            ("proxies", proxies[n : n + PROXIES_A_CHUNK]) for n in range(0, len(proxies), PROXIES_A_CHUNK)
        ]
        self.parts = parts or [("endpoints", [])]
        self.used = 0


class Lending:
    """`life` names this life of the pilot: a restart has another memory, and another name for it."""

    def __init__(self, service: PilotService, life: str) -> None:
        self.service = service
        self.loop = service.loop
        self.life = life
        self.sums: dict[str, deque[tuple[int, ZoneMet]]] = {}
        self.heats: dict[int, deque[tuple[int, str, SliceHeat]]] = {}
        self.plans: dict[str, Plan] = {}
        self.drawn = 0
        self.borrower: Optional[Link] = None
        self.asked_at = -BUSY
        self.free_at = 0
        self.counts = {"chunks_lent": 0, "facts_lent": 0, "bytes_lent": 0, "lendings_declined": 0}

    def heard_sum(self, at: int, met: ZoneMet) -> None:
        self.sums.setdefault(met.endpoint, deque(maxlen=SUMS_LENT)).append((at, met))

    def heard_heat(self, at: int, op_type: str, heat: SliceHeat) -> None:
        self.heats.setdefault(heat.slice, deque(maxlen=HEATS_LENT)).append((at, op_type, heat))

    def serve(self, link: Link, first: list[m.Message]) -> Coroutine:
        """One borrower's session."""
        got = first
        try:
            while True:
                for message in got:
                    if isinstance(message, m.FactsRequest):
                        yield from self._answer(link, message)
                got = yield from link.receive(self.loop.now() + KEPT)
        finally:
            if self.borrower is link:
                self.borrower = None

    def _answer(self, link: Link, ask: m.FactsRequest) -> Coroutine:
        now = self.loop.now()
        if self.borrower not in (None, link) and now - self.asked_at < BUSY:
            self.counts["lendings_declined"] += 1
            link.send(m.FactsDeclined("another pilot is learning from this one", BUSY))
            return
        self.borrower, self.asked_at = link, now
        if now < self.free_at:  # its share of this pilot's time is used up: the borrower waits, no order does
            yield from self.loop.sleep(self.free_at - now)
        begun = self.loop.now()
        plan = self._plan(ask.version)
        if ask.chunk >= len(plan.parts):
            link.send(m.FactsDeclined(f"chunk {ask.chunk} of {len(plan.parts)}"))
            return
        link.send(self._chunk(plan, ask.chunk if plan.version == ask.version else 0))
        learn = self.service.deployment.learn
        assert learn is not None
        now = self.loop.now()
        self.free_at = now + int((now - begun) * (1 / learn.lend_share - 1))

    def _plan(self, version: str) -> Plan:
        """The one asked for, if it is still kept; else a new one."""
        now = self.loop.now()
        self.plans = {name: plan for name, plan in self.plans.items() if now - plan.used < KEPT}
        plan = self.plans.get(version)
        if plan is None:
            self.drawn += 1
            service = self.service
            names = sorted({*service.listed, *service.trust_names()})
            plan = Plan(
                f"{self.life}/{self.drawn}",
                names,
                sorted({*service.slices, *self.heats}),
                sorted(service.proxies),
            )
            self.plans[plan.version] = plan
        plan.used = now
        return plan

    def _chunk(self, plan: Plan, number: int) -> m.Facts:
        kind, names = plan.parts[number]
        service, now = self.service, self.loop.now()
        confirmed = service.source.confirmed
        chunk = m.Chunk(
            self.life,
            -1 if confirmed is None else now - confirmed,
            len(service.proxies),
            service.in_charge(),
            service.brain.level,
        )
        if kind == "endpoints":
            chunk.endpoints = [fact for name in names for fact in self._endpoint(name, now)]
        elif kind == "slices":
            chunk.slices = [self._slice(n, now) for n in names]
        else:
            chunk.proxies = [
                m.ProxyFact(s.name, s.zone, service.proxy_rate(s))
                for n in names
                if (s := service.proxies.get(n)) is not None
            ]
        payload = ENCODER.encode(chunk)
        learn = service.deployment.learn
        packed = learn is not None and learn.compress
        if packed:
            payload = zstandard.ZstdCompressor(level=3).compress(payload)
        self.counts["chunks_lent"] += 1
        self.counts["facts_lent"] += len(chunk.endpoints) + len(chunk.slices) + len(chunk.proxies)
        self.counts["bytes_lent"] += len(payload)
        digest = hashlib.blake2b(payload, digest_size=16).digest()
        return m.Facts(plan.version, number, len(plan.parts), digest, payload, packed)

    def _endpoint(self, name: str, now: int) -> list[m.EndpointFact]:
        """What this pilot's own list says, and what it has borrowed itself, with its hops."""
        service = self.service
        facts = [
            m.EndpointFact(
                name,
                word.phase,
                word.start,
                1.0,
                "",
                now - word.heard,
                -1,
                -1,
                0,
                [],
                source,
                word.rev,
                word.origin,
                word.hops,
            )
            for source, word in service.borrowed_words(name)
        ]
        entry, known = service.listed.get(name), service.brain.endpoints.get(name)
        confirmed = service.source.confirmed
        if entry is None or known is None or confirmed is None:
            return facts
        start, started = service.source.starts.known.get(name, ("", None))
        told = now - known.told_at * UNIT if entry.phase != "on" and known.told_at else -1
        sums = [
            m.LentEndpointStats(now - at, s.tries, s.aborted, s.took, s.span, s.zone)
            for at, s in self.sums.get(name, ())
        ]
        sick = known.sick_until if known.sick_until > service.warned.get(name, 0) else 0
        facts.append(
            m.EndpointFact(
                name,
                entry.phase,
                start,
                entry.size,
                entry.zone,
                now - confirmed,
                told,
                now - started * UNIT if started is not None else -1,
                max(0, sick * UNIT - now),
                sums,
                service.source.name,
                service.source.rev,
                self.life,
                0,
            )
        )
        return facts

    def _slice(self, number: int, now: int) -> m.SliceFact:
        heats = [
            m.LentSliceStats(now - at, op_type, h.ops, h.unanswered, h.span)
            for at, op_type, h in self.heats.get(number, ())
        ]
        return m.SliceFact(number, heats, self.life, 0)
