"""Server side of the facts exchange between pilots: serves what this pilot knows in chunks.

Each chunk is built on request, within a configured share of the pilot's time.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import TYPE_CHECKING, Any, Optional

import msgspec
import zstandard

from cedarshift.codec import messages as m
from cedarshift.link import Link
from cedarshift.loop.core import Coroutine
from cedarshift.pilot.intake import SliceTotals, ZoneTotals
from cedarshift.pilot.terms import TICK_US

if TYPE_CHECKING:
    from cedarshift.pilot.service import PilotService

ENDPOINTS_PER_CHUNK = 100  # orders wait while a chunk is built
SLICES_PER_CHUNK = 400
PROXIES_PER_CHUNK = 400
MAX_REPORTS_PER_ENDPOINT = 24  # newest ones
MAX_REPORTS_PER_SLICE = 4  # newest ones
MAX_PLANS = 4  # whose transfers can be resumed; requests of unknown versions make new ones
PLAN_TTL_US = 30_000_000  # an interrupted transfer can be resumed for this long
BORROWER_TIMEOUT_US = 1_000_000  # a borrower without requests for this long gives way to another one

ENCODER = msgspec.msgpack.Encoder()


class LendingPlan:
    """The keys of one transfer, split into chunks. Keys are fixed at its start, facts are read per chunk."""

    def __init__(self, version: str, endpoints: list[str], slices: list[int], proxies: list[int]) -> None:
        self.version = version
        parts: list[tuple[str, list[Any]]] = [
            ("endpoints", endpoints[n : n + ENDPOINTS_PER_CHUNK])
            for n in range(0, len(endpoints), ENDPOINTS_PER_CHUNK)
        ]
        parts += [
            ("slices", slices[n : n + SLICES_PER_CHUNK]) for n in range(0, len(slices), SLICES_PER_CHUNK)
        ]
        parts += [
            ("proxies", proxies[n : n + PROXIES_PER_CHUNK]) for n in range(0, len(proxies), PROXIES_PER_CHUNK)
        ]
        self.parts = parts or [("endpoints", [])]
        self.last_used_at = 0  # us


class Lending:
    """Serves facts to one borrower at a time. `incarnation` identifies this run of the pilot."""

    def __init__(self, service: PilotService, incarnation: str) -> None:
        self.service = service
        self.loop = service.loop
        self.incarnation = incarnation
        # Reports with the time of their receipt (us), by endpoint and by slice (there with the op type).
        self.endpoint_stats: dict[str, deque[tuple[int, ZoneTotals]]] = {}
        self.slice_stats: dict[int, deque[tuple[int, str, SliceTotals]]] = {}
        self.plans: dict[str, LendingPlan] = {}  # by version
        self.plan_count = 0
        self.borrower: Optional[Link] = None
        self.asked_at = -BORROWER_TIMEOUT_US  # us, newest request of the borrower
        self.free_at = 0  # us, when the next chunk may be built
        self.counts = {"chunks_lent": 0, "facts_lent": 0, "bytes_lent": 0, "lendings_declined": 0}

    def record_endpoint_stats(self, at: int, stats: ZoneTotals) -> None:
        """Keeps a first-hand report on an endpoint for borrowers."""
        self.endpoint_stats.setdefault(stats.endpoint, deque(maxlen=MAX_REPORTS_PER_ENDPOINT)).append(
            (at, stats)
        )

    def record_slice_stats(self, at: int, op_type: str, stats: SliceTotals) -> None:
        """Keeps a first-hand report on a slice for borrowers."""
        self.slice_stats.setdefault(stats.slice, deque(maxlen=MAX_REPORTS_PER_SLICE)).append(
            (at, op_type, stats)
        )

    def serve(self, link: Link, first: list[m.Message]) -> Coroutine:
        """Handles one borrower's connection until it ends."""
        messages = first
        try:
            while True:
                for message in messages:
                    if isinstance(message, m.FactsRequest) and not link.closed:
                        yield from self._handle_request(link, message)
                messages = yield from link.receive(self.loop.now() + PLAN_TTL_US)
        finally:
            if self.borrower is link:
                self.borrower = None

    def _handle_request(self, link: Link, request: m.FactsRequest) -> Coroutine:
        """Sends the requested chunk, delayed to keep within the configured share of time, or declines."""
        now = self.loop.now()
        if self.borrower not in (None, link) and now - self.asked_at < BORROWER_TIMEOUT_US:
            self.counts["lendings_declined"] += 1
            link.send(m.FactsDeclined("another pilot is learning from this one", BORROWER_TIMEOUT_US))
            return
        self.borrower, self.asked_at = link, now
        if now < self.free_at:
            yield from self.loop.sleep(self.free_at - now)
        if link.closed:  # an answer is of no use to anybody else
            return
        started_at = self.loop.now()
        plan = self._get_plan(request.version)
        if request.chunk >= len(plan.parts):
            link.send(m.FactsDeclined(f"chunk {request.chunk} of {len(plan.parts)}"))
            return
        link.send(self._build_chunk(plan, request.chunk if plan.version == request.version else 0))
        learn = self.service.deployment.learn
        assert learn is not None
        now = self.loop.now()
        self.free_at = now + int((now - started_at) * (1 / learn.lend_share - 1))

    def _get_plan(self, version: str) -> LendingPlan:
        """Returns the plan of the requested version, or a new one if that has expired."""
        now = self.loop.now()
        self.plans = {
            name: plan for name, plan in self.plans.items() if now - plan.last_used_at < PLAN_TTL_US
        }
        plan = self.plans.get(version)
        if plan is None:
            self.plan_count += 1
            service = self.service
            names = sorted({*service.listed, *service.borrowed_endpoints()})
            plan = LendingPlan(
                f"{self.incarnation}/{self.plan_count}",
                names,
                sorted({*service.slices, *self.slice_stats}),
                sorted(service.proxies),
            )
            self.plans[plan.version] = plan
        plan.last_used_at = now
        while len(self.plans) > MAX_PLANS:
            del self.plans[min(self.plans, key=lambda name: self.plans[name].last_used_at)]
        return plan

    def _build_chunk(self, plan: LendingPlan, number: int) -> m.Facts:
        """Encodes one chunk of a plan with the facts as they are now."""
        kind, keys = plan.parts[number]
        service, now = self.service, self.loop.now()
        confirmed = service.source.confirmed
        chunk = m.Chunk(
            self.incarnation,
            -1 if confirmed is None else now - confirmed,
            len(service.proxies),
            service.in_charge(),
            service.brain.level,
        )
        if kind == "endpoints":
            chunk.endpoints = [fact for name in keys for fact in self._endpoint_facts(name, now)]
        elif kind == "slices":
            chunk.slices = [self._slice_fact(slice_id, now) for slice_id in keys]
        else:
            chunk.proxies = [
                m.ProxyFact(s.name, s.zone, service.proxy_rate(s))
                for proxy in keys
                if (s := service.proxies.get(proxy)) is not None
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

    def _endpoint_facts(self, name: str, now: int) -> list[m.EndpointFact]:
        """Returns what this pilot has borrowed about an endpoint, and last what its own list says."""
        service = self.service
        facts = [
            m.EndpointFact(
                name,
                report.phase,
                report.start,
                1.0,
                "",
                now - report.heard,
                -1,
                -1,
                0,
                [],
                source,
                report.rev,
                report.origin,
                report.hops,
            )
            for source, report in service.borrowed_reports(name)
        ]
        entry, known = service.listed.get(name), service.brain.endpoints.get(name)
        confirmed = service.source.confirmed
        if entry is None or known is None or confirmed is None:
            return facts
        start, started = service.source.starts.known.get(name, ("", None))
        leave_age = (
            now - known.leave_reported_at * TICK_US if entry.phase != "on" and known.leave_reported_at else -1
        )
        recorded = [
            m.LentEndpointStats(now - at, stats.tries, stats.aborted, stats.took, stats.span, stats.zone)
            for at, stats in self.endpoint_stats.get(name, ())
        ]
        # A sickness that was borrowed is not lent as this pilot's own.
        sick = known.sick_until if known.sick_until > service.borrowed_sick_until.get(name, 0) else 0
        facts.append(
            m.EndpointFact(
                name,
                entry.phase,
                start,
                entry.size,
                entry.zone,
                now - confirmed,
                leave_age,
                now - started * TICK_US if started is not None else -1,
                max(0, sick * TICK_US - now),
                recorded,
                service.source.name,
                service.source.rev,
                self.incarnation,
                0,
            )
        )
        return facts

    def _slice_fact(self, number: int, now: int) -> m.SliceFact:
        """Returns the first-hand reports on a slice."""
        recorded = [
            m.LentSliceStats(now - at, op_type, stats.ops, stats.unanswered, stats.span)
            for at, op_type, stats in self.slice_stats.get(number, ())
        ]
        return m.SliceFact(number, recorded, self.incarnation, 0)
