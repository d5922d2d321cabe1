"""Client side of the facts exchange between pilots: fetches a peer's facts in chunks and applies them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Optional

import msgspec
import zstandard

from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.deployment.deployment import LearningSettings
from cedarshift.interface import Entry
from cedarshift.judge.trust import (
    BAD,
    MAX_HOPS,
    MAX_WARNED_SHARE,
    ON,
    BorrowedFacts,
    Lender,
    OwnEntry,
    PhaseReport,
    SicknessReport,
    latest_start,
    oldest_heard_at,
)
from cedarshift.link import Link, connect
from cedarshift.loop import StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.pilot.terms import round_down

if TYPE_CHECKING:
    from cedarshift.pilot.service import PilotService

DIAL_TIMEOUT_US = 1_000_000
NEXT_LENDER_DELAY_US = 300_000  # pause before another lender is tried
WARNING_CHECK_INTERVAL_US = 500_000
MAX_PAYLOAD_BYTES = 8 << 20  # of a decompressed chunk
MAX_CHUNKS = 4_096  # chunks in one transfer

DECODER = msgspec.msgpack.Decoder(m.Chunk)


class LearningError(Exception):
    """A lender's answer is invalid, or the lender declines. The message names the reason."""


def unpack_chunk(facts: m.Facts) -> m.Chunk:
    """Verifies, decompresses and decodes a chunk. Raises LearningError if it is invalid."""
    if hashlib.blake2b(facts.payload, digest_size=16).digest() != facts.digest:
        raise LearningError(f"chunk {facts.chunk}: digest mismatch")
    payload = facts.payload
    if facts.packed:
        try:
            # zstandard ignores max_output_size if the frame states its content size.
            if zstandard.frame_content_size(payload) > MAX_PAYLOAD_BYTES:
                raise LearningError(f"chunk {facts.chunk}: over {MAX_PAYLOAD_BYTES} bytes when decompressed")
            payload = zstandard.ZstdDecompressor().decompress(payload, max_output_size=MAX_PAYLOAD_BYTES)
        except zstandard.ZstdError as error:
            raise LearningError(f"chunk {facts.chunk}: {error}") from None
    try:
        chunk = DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise LearningError(f"chunk {facts.chunk}: {error}") from None
    if not 0 <= facts.chunk < facts.chunks <= MAX_CHUNKS:
        raise LearningError(
            f"chunk number {facts.chunk} of {facts.chunks}, at most {MAX_CHUNKS} chunks are allowed"
        )
    return chunk


def _heard_at(pair: tuple[int, Any]) -> int:
    """Sort key: the time alone, since the reports themselves are not orderable."""
    return pair[0]


class Learning:
    """Facts learnt from peers, and the task that fetches them. `terms` is the deployment's block `learn`.

    `incarnation` identifies this run of the pilot; facts that originate from it are refused.
    """

    def __init__(self, service: PilotService, terms: LearningSettings, incarnation: str) -> None:
        self.service = service
        self.loop = service.loop
        self.terms = terms
        self.incarnation = incarnation
        self.trust = BorrowedFacts()  # peers' reports on endpoints
        self.lenders: dict[str, Lender] = {}  # by incarnation
        self.endpoints: dict[str, m.EndpointFact] = {}  # newest first-hand fact
        self.slice_stats: dict[int, list[tuple[int, m.LentSliceStats]]] = {}  # slice -> (heard at, stats)
        self.endpoint_stats: dict[
            str, list[tuple[int, m.LentEndpointStats]]
        ] = {}  # endpoint -> (heard at, stats)
        self.proxies: dict[str, tuple[int, m.ProxyFact, str]] = {}  # proxy -> (asked at, fact, origin)
        self.levels: dict[str, tuple[int, float]] = {}  # origin -> (asked at, level)
        self.resume: dict[str, tuple[str, int]] = {}  # lender -> (version, next chunk)
        self.counts = {"chunks_learnt": 0, "facts_learnt": 0, "facts_refused": 0, "lessons_refused": 0}
        self.starts: dict[
            str, tuple[str, int]
        ] = {}  # endpoint -> (process, start), as first passed to the decision module
        self.warned = 0  # endpoints under a borrowed warning now
        self.done_at: Optional[int] = None  # us, when the first transfer was complete
        self.started_at = self.loop.now()
        self.tasks = [
            self.loop.spawn(self._fetch_loop(), "learning"),
            self.loop.spawn(self._refresh_warnings(), "borrowed warnings"),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    # ---- fetching

    def _fetch_loop(self) -> Coroutine:
        """Fetches from one lender after the other until the learning period is over."""
        names = list(self.terms.sources) or [
            p.name for p in self.service.deployment.pilots if p.name != self.service.name
        ]
        names = [name for name in names if name != self.service.name]
        at = 0
        while names and self.loop.now() < self.started_at + self.terms.duration:
            name = self._next_lender(names, at)
            try:
                yield from self._fetch_all(name)
                yield from self.loop.sleep(self.terms.again)
                continue
            except (StreamBroken, ProtocolError, TimedOut, LearningError) as error:
                self.counts["lessons_refused"] += 1
                self.service.report(
                    "lesson_refused", lender=name, reason=str(error) or "the lender answers too slowly"
                )
            at += 1
            yield from self.loop.sleep(NEXT_LENDER_DELAY_US)

    def _next_lender(self, names: list[str], at: int) -> str:
        """Picks lenders round robin, from the live ones if membership is known."""
        membership = self.service.membership
        live = [name for name in membership.live_members() if name in names] if membership is not None else []
        return (live or names)[at % len(live or names)]

    def _fetch_all(self, name: str) -> Coroutine:
        """Fetches all chunks of one lender, resuming an interrupted transfer."""
        service = self.service
        identity = Identity(
            service.deployment.name,
            "pilot",
            service.name,
            service.settings.zone,
            service.deployment.secret,
        )
        session = Session(identity, challenge=service.challenge())
        address = service.deployment.pilot(name).listen
        link, _ = yield from connect(self.loop, address, session, DIAL_TIMEOUT_US)
        try:
            if link.peer.id != name:
                raise LearningError(f"{link.peer.id} answers where {name} was expected")
            yield from self._fetch_chunks(name, link)
        finally:
            link.close("done", "learnt")

    def _fetch_chunks(self, name: str, link: Link) -> Coroutine:
        """Requests and applies chunk after chunk. Raises LearningError on an unexpected version or number."""
        version, number = self.resume.get(name, ("", 0))
        while True:
            asked_at = self.loop.now()
            link.send(m.FactsRequest(version, number))
            facts = yield from self._receive_chunk(link, asked_at)
            if facts.version != version:  # the lender has restarted, or no longer keeps the transfer
                if version and facts.chunk:
                    raise LearningError(
                        f"received version {facts.version} at chunk {facts.chunk}, requested {version}"
                    )
                version, number = facts.version, 0
            if facts.chunk != number:
                raise LearningError(f"received chunk {facts.chunk}, requested {number}")
            self._apply_chunk(name, unpack_chunk(facts), asked_at)
            number += 1
            self.resume[name] = (version, number)
            if number >= facts.chunks:
                del self.resume[name]
                if self.done_at is None:
                    self.done_at = self.loop.now()
                    self.service.report(
                        "learnt",
                        lender=name,
                        facts=self.counts["facts_learnt"],
                        took_ms=(self.done_at - self.started_at) // 1000,
                    )
                return

    def _receive_chunk(self, link: Link, asked_at: int) -> Coroutine:
        """Returns the lender's answer. Raises TimedOut if it is too slow.

        If the lender declines, raises LearningError after the wait that it asks for.
        """
        while True:
            for message in (yield from link.receive(asked_at + self.terms.answer_within)):
                if isinstance(message, m.Facts):
                    return message
                if isinstance(message, m.FactsDeclined):
                    yield from self.loop.sleep(min(message.again_after, self.terms.again))
                    raise LearningError(f"the lender declines: {message.reason}")

    # ---- applying chunks

    def _apply_chunk(self, name: str, chunk: m.Chunk, asked_at: int) -> None:
        """Merges a chunk's facts. Ages count from the request, so a slow answer makes no fact fresher."""
        if chunk.origin == self.incarnation:
            raise LearningError("the lender is this pilot itself")
        list_confirmed_at = -(1 << 60) if chunk.list_age < 0 else oldest_heard_at(asked_at, chunk.list_age)
        lender = self.lenders[chunk.origin] = Lender(chunk.origin, list_confirmed_at, chunk.in_charge)
        self.counts["chunks_learnt"] += 1
        self.levels[chunk.origin] = (asked_at, chunk.level)
        for fact in chunk.endpoints:
            self._apply_endpoint(fact, lender, asked_at)
        for slice_fact in chunk.slices:
            if slice_fact.origin != self.incarnation:
                self.counts["facts_learnt"] += 1
                self.slice_stats[slice_fact.slice] = sorted(
                    ((oldest_heard_at(asked_at, stats.age), stats) for stats in slice_fact.heats),
                    key=_heard_at,
                )
        for proxy in chunk.proxies:
            self.counts["facts_learnt"] += 1
            self.proxies[proxy.id] = (asked_at, proxy, chunk.origin)
        if chunk.endpoints:
            self.service.apply_learnt_facts()

    def _apply_endpoint(self, fact: m.EndpointFact, lender: Lender, asked_at: int) -> None:
        """Merges one endpoint's fact; refuses this pilot's own facts and those passed on too often."""
        hops = fact.hops + 1
        if fact.origin == self.incarnation or hops > MAX_HOPS or fact.phase not in (ON, *BAD):
            self.counts["facts_refused"] += 1
            return
        self.counts["facts_learnt"] += 1
        heard = oldest_heard_at(asked_at, fact.confirmed)
        trust, name = self.trust, fact.endpoint
        trust.set_soundness(fact.origin, lender.soundness(asked_at))
        trust.merge_phase(
            name,
            fact.source,
            PhaseReport(fact.rev, heard, fact.phase in BAD, fact.phase, fact.start, hops, fact.origin),
        )
        if fact.started >= 0:
            trust.merge_start(name, fact.start, latest_start(self.loop.now(), fact.started))
        if fact.sick_left:
            trust.merge_sickness(name, SicknessReport(asked_at + fact.sick_left, asked_at, hops, fact.origin))
        if fact.hops == 0:
            self.endpoints[name] = fact
            if fact.sums and name not in self.endpoint_stats:
                self.endpoint_stats[name] = sorted(
                    ((oldest_heard_at(asked_at, stats.age), stats) for stats in fact.sums), key=_heard_at
                )

    # ---- inputs for the decision module

    def _refresh_warnings(self) -> Coroutine:
        """Updates borrowed warnings as they expire, and uses a borrowed list if no own one arrives."""
        while True:
            yield from self.loop.sleep(WARNING_CHECK_INTERVAL_US)
            if not self.service.listed and self.loop.now() >= self.started_at + self.terms.patience:
                self._apply_borrowed_list()
            self.trust.forget_starts(self.loop.now() - self.service.deployment.rules.warm_within)
            self.service.apply_learnt_facts()

    def _apply_borrowed_list(self) -> None:
        """Adds borrowed endpoints to the list. They stay until a warning arrives, even if facts expire."""
        now, applied = self.loop.now(), self.service.applied_entries
        entries = []
        for name in sorted(self.trust.offered(now)):
            fact = self.endpoints.get(name)
            if fact is not None and name not in applied:
                start = self.trust.starts.get((name, fact.start))
                entries.append(
                    Entry(
                        name, ON, fact.size, fact.zone, None if start is None else max(1, round_down(start))
                    )
                )
        warned = [
            entry._replace(phase="fading")
            for name, entry in sorted(applied.items())
            if entry.phase == ON and self.trust.warning(name, None, now) is not None
        ]
        if len(warned) <= MAX_WARNED_SHARE * len(applied):
            entries += warned
        if entries:
            self.service.report("borrowed_list", endpoints=len(entries))
            self.service.on_borrowed_list(entries)

    def overlay(self, own: dict[str, OwnEntry], entries: dict[str, Entry]) -> dict[str, Entry]:
        """Returns this pilot's entries with borrowed warnings and cold starts applied."""
        now, warm_within = self.loop.now(), self.service.deployment.rules.warm_within
        warned = self.trust.warnings(own, now)
        self.warned = len(warned)
        result = {}
        for name, entry in entries.items():
            if name in warned:  # drained with a hand-over
                entry = entry._replace(phase="fading")
            started = self.trust.started(name, own[name], now, warm_within)
            if started is not None:
                entry = entry._replace(
                    started=max(1, round_down(self._first_reported_start(name, own[name].start, started)))
                )
            result[name] = entry
        return result

    def _first_reported_start(self, name: str, process: str, started: int) -> int:
        """Returns the start time first passed on for a process.

        The decision module takes a different start time for a new process and would discard its measurements.
        """
        if self.starts.get(name, ("", 0))[0] != process:
            self.starts[name] = (process, started)
        return self.starts[name][1]

    def take_endpoint_stats(self, observed_endpoints: set[str]) -> list[tuple[int, str, m.LentEndpointStats]]:
        """Removes and returns unapplied stats of endpoints without first-hand reports, oldest first."""
        known = self.service.brain.endpoints
        ready = [name for name, stats_list in self.endpoint_stats.items() if stats_list and name in known]
        found = [
            (heard, name, stats)
            for name in ready
            if name not in observed_endpoints
            for heard, stats in self.endpoint_stats[name]
        ]
        for name in ready:
            self.endpoint_stats[name] = []
        return sorted(found, key=lambda row: row[:2])

    def sick_endpoints(self, running: list[str], observed_endpoints: set[str]) -> dict[str, int]:
        """Returns endpoint -> end of its sickness (us), or nothing if too many of them are sick."""
        now = self.loop.now()
        found = {
            name: until
            for name in running
            if name not in observed_endpoints and (until := self.trust.sick_until(name, now))
        }
        return found if len(found) <= MAX_WARNED_SHARE * len(running) else {}

    def take_slice_stats(self, number: int) -> list[tuple[int, m.LentSliceStats]]:
        """Removes and returns the learnt stats of a slice as (heard at, stats), oldest first."""
        return self.slice_stats.pop(number, [])

    # ---- status

    def status(self) -> dict[str, Any]:
        """Returns the learnt facts and their sources for `/facts`."""
        now, trust = self.loop.now(), self.trust
        rows = []
        for reports, weight_of in ((trust.good, trust.good_weight), (trust.bad, trust.bad_weight)):
            for (name, source), report in sorted(reports.items()):
                rows.append(
                    {
                        "endpoint": name,
                        "phase": report.phase,
                        "start": report.start,
                        "origin": report.origin,
                        "hops": report.hops,
                        "source": source,
                        "rev": report.rev,
                        "age_s": (now - report.heard) / 1e6,
                        "weight": round(weight_of(report, now), 3),
                    }
                )
        return {
            "phases": rows,
            "starts": [
                {"endpoint": name, "start": process, "age_s": (now - at) / 1e6}
                for (name, process), at in sorted(trust.starts.items())
            ],
            "sick": [
                {
                    "endpoint": name,
                    "left_s": (sickness.until - now) / 1e6,
                    "origin": sickness.origin,
                    "hops": sickness.hops,
                }
                for name, sickness in sorted(trust.sickness.items())
                if sickness.until > now
            ],
            "lenders": [
                {
                    "origin": lender.life,
                    "list_age_s": (now - lender.list_heard) / 1e6,
                    "in_charge": lender.in_charge,
                    "soundness": lender.soundness(now),
                }
                for _, lender in sorted(self.lenders.items())
            ],
            "proxies": [
                {
                    "id": name,
                    "zone": fact.zone,
                    "rate": fact.rate,
                    "age_s": (now - at) / 1e6,
                    "origin": origin,
                }
                for name, (at, fact, origin) in sorted(self.proxies.items())
            ],
            "levels": [
                {"origin": origin, "level": level, "age_s": (now - at) / 1e6}
                for origin, (at, level) in sorted(self.levels.items())
            ],
            "counts": {**self.counts, "warned": self.warned},
        }


__all__ = ["Learning", "LearningError", "unpack_chunk"]
