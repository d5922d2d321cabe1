"""The borrower's side: asks one lender at a time for chunks, and hands what is believed to the module's own inputs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Optional

import msgspec
import zstandard

from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.deployment.deployment import LearnTerms
from cedarshift.interface import Entry
from cedarshift.judge.trust import (
    BAD,
    DOUBT_MOST,
    HOPS_MOST,
    ON,
    Ill,
    Lender,
    Own,
    Trust,
    Word,
    heard_at,
    started_by,
)
from cedarshift.link import Link, connect
from cedarshift.loop import StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.pilot.terms import down

if TYPE_CHECKING:
    from cedarshift.pilot.service import PilotService

DIAL_TIMEOUT = 1_000_000  # us
NEXT_LENDER = 300_000  # us before another lender is tried
LOOK_AGAIN = 500_000  # us between two looks at whether a warning still stands
PAYLOAD_MOST = 8 << 20  # bytes of a chunk when unpacked
CHUNKS_MOST = 4_096  # chunks of one lending

DECODER = msgspec.msgpack.Decoder(m.Chunk)


class Rejected(Exception):
    """A lender's answer that is not taken, and why."""


def unpack(facts: m.Facts) -> m.Chunk:
    """Raises Rejected where the digest, the packing or the contents are wrong."""
    if hashlib.blake2b(facts.payload, digest_size=16).digest() != facts.digest:
        raise Rejected(f"chunk {facts.chunk}: the digest does not match")
    payload = facts.payload
    if facts.packed:
        try:
            # The library heeds its own bound only where the frame does not state its size.
            if zstandard.frame_content_size(payload) > PAYLOAD_MOST:
                raise Rejected(f"chunk {facts.chunk}: over {PAYLOAD_MOST} bytes when unpacked")
            payload = zstandard.ZstdDecompressor().decompress(payload, max_output_size=PAYLOAD_MOST)
        except zstandard.ZstdError as error:
            raise Rejected(f"chunk {facts.chunk}: {error}") from None
    try:
        chunk = DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise Rejected(f"chunk {facts.chunk}: {error}") from None
    if not 0 <= facts.chunk < facts.chunks <= CHUNKS_MOST:
        raise Rejected(f"chunk {facts.chunk} of {facts.chunks}")
    return chunk


def _heard(pair: tuple[int, Any]) -> int:
    """Sums of two zones may have come at the same time; they have no order of their own."""
    return pair[0]


class Learning:
    """What was borrowed, and the task that borrows. `life` is this pilot's own; its facts coming back are refused."""

    def __init__(self, service: PilotService, terms: LearnTerms, life: str) -> None:
        self.service = service
        self.loop = service.loop
        self.terms = terms
        self.life = life
        self.trust = Trust()
        self.lenders: dict[str, Lender] = {}
        self.endpoints: dict[str, m.EndpointFact] = {}  # the newest of each, for size and zone
        self.heats: dict[int, list[tuple[int, m.LentSliceStats]]] = {}
        self.sums: dict[str, list[tuple[int, m.LentEndpointStats]]] = {}
        self.proxies: dict[str, tuple[int, m.ProxyFact, str]] = {}
        self.levels: dict[str, tuple[int, float]] = {}
        self.resume: dict[str, tuple[str, int]] = {}  # lender -> (version, next chunk)
        self.counts = {"chunks_learnt": 0, "facts_learnt": 0, "facts_refused": 0, "lessons_refused": 0}
        self.starts: dict[
            str, tuple[str, int]
        ] = {}  # endpoint -> (process, start), as the module was told them
        self.warned = 0  # endpoints that lenders talk this pilot out of now
        self.done_at: Optional[int] = None  # when a whole lending had come for the first time
        self.begun = self.loop.now()
        self.tasks = [
            self.loop.spawn(self._learn(), "learning"),
            self.loop.spawn(self._look(), "borrowed warnings"),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    # ---- asking

    def _learn(self) -> Coroutine:
        names = list(self.terms.sources) or [
            p.name for p in self.service.deployment.pilots if p.name != self.service.name
        ]
        names = [name for name in names if name != self.service.name]
        at = 0
        while names and self.loop.now() < self.begun + self.terms.span:
            name = self._lender(names, at)
            try:
                yield from self._lesson(name)
                yield from self.loop.sleep(self.terms.again)
                continue
            except (StreamBroken, ProtocolError, TimedOut, Rejected) as error:
                self.counts["lessons_refused"] += 1
                self.service.report(
                    "lesson_refused", lender=name, reason=str(error) or "it answers too slowly"
                )
            at += 1
            yield from self.loop.sleep(NEXT_LENDER)

    def _lender(self, names: list[str], at: int) -> str:
        """In turn; where there is a roll of the pilots, among those that live, the best heard first."""
        membership = self.service.membership
        living = [name for name in membership.living() if name in names] if membership is not None else []
        return (living or names)[at % len(living or names)]

    def _lesson(self, name: str) -> Coroutine:
        """One lending from its first chunk, or from where it broke off, to its last."""
        service = self.service
        identity = Identity(
            service.deployment.name, "pilot", service.name, service.place.zone, service.deployment.secret
        )
        session = Session(identity, challenge=service.challenge())
        address = service.deployment.pilot(name).listen
        link, _ = yield from connect(self.loop, address, session, DIAL_TIMEOUT)
        try:
            if link.peer.id != name:
                raise Rejected(f"{link.peer.id} answers where {name} was expected")
            yield from self._chunks(name, link)
        finally:
            link.close("done", "learnt")

    def _chunks(self, name: str, link: Link) -> Coroutine:
        version, number = self.resume.get(name, ("", 0))
        while True:
            asked_at = self.loop.now()
            link.send(m.FactsRequest(version, number))
            facts = yield from self._answer(link, asked_at)
            if facts.version != version:  # a new lending: the lender began anew, or has restarted
                if version and facts.chunk:
                    raise Rejected(f"version {facts.version} at chunk {facts.chunk}, asked for {version}")
                version, number = facts.version, 0
            if facts.chunk != number:
                raise Rejected(f"chunk {facts.chunk}, asked for {number}")
            self._take(name, unpack(facts), asked_at)
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
                        took_ms=(self.done_at - self.begun) // 1000,
                    )
                return

    def _answer(self, link: Link, asked_at: int) -> Coroutine:
        while True:
            for message in (yield from link.receive(asked_at + self.terms.answer_within)):
                if isinstance(message, m.Facts):
                    return message
                if isinstance(message, m.FactsDeclined):
                    yield from self.loop.sleep(min(message.again_after, self.terms.again))
                    raise Rejected(f"the lender declines: {message.reason}")

    # ---- taking in

    def _take(self, name: str, chunk: m.Chunk, asked_at: int) -> None:
        """All ages count from the asking: what passed since then is added, whoever took that long."""
        if chunk.origin == self.life:
            raise Rejected("the lender is this pilot itself")
        listed = -(1 << 60) if chunk.list_age < 0 else heard_at(asked_at, chunk.list_age)
        lender = self.lenders[chunk.origin] = Lender(chunk.origin, listed, chunk.in_charge)
        self.counts["chunks_learnt"] += 1
        self.levels[chunk.origin] = (asked_at, chunk.level)
        for fact in chunk.endpoints:
            self._take_endpoint(fact, lender, asked_at)
        for one in chunk.slices:
            if one.origin != self.life:
                self.counts["facts_learnt"] += 1
                self.heats[one.slice] = sorted(
                    ((heard_at(asked_at, heat.age), heat) for heat in one.heats), key=_heard
                )
        for proxy in chunk.proxies:
            self.counts["facts_learnt"] += 1
            self.proxies[proxy.id] = (asked_at, proxy, chunk.origin)
        if chunk.endpoints:
            self.service.tell_learnt()

    def _take_endpoint(self, fact: m.EndpointFact, lender: Lender, asked_at: int) -> None:
        hops = fact.hops + 1
        if fact.origin == self.life or hops > HOPS_MOST or fact.phase not in (ON, *BAD):
            self.counts["facts_refused"] += 1
            return
        self.counts["facts_learnt"] += 1
        heard = heard_at(asked_at, fact.confirmed)
        trust, name = self.trust, fact.endpoint
        trust.vouch(fact.origin, lender.soundness(asked_at))
        trust.hear_phase(
            name,
            fact.source,
            Word(fact.rev, heard, fact.phase in BAD, fact.phase, fact.start, hops, fact.origin),
        )
        if fact.started >= 0:
            trust.hear_start(name, fact.start, started_by(self.loop.now(), fact.started))
        if fact.sick_left:
            trust.hear_sick(name, Ill(asked_at + fact.sick_left, asked_at, hops, fact.origin))
        if fact.hops == 0:
            self.endpoints[name] = fact
            if fact.sums and name not in self.sums:
                self.sums[name] = sorted(((heard_at(asked_at, s.age), s) for s in fact.sums), key=_heard)

    # ---- handing over

    def _look(self) -> Coroutine:
        """Warnings fade and are lifted; a pilot whose own list does not come takes a borrowed one, after its patience."""
        while True:
            yield from self.loop.sleep(LOOK_AGAIN)
            if not self.service.listed and self.loop.now() >= self.begun + self.terms.patience:
                self._offer_list()
            self.trust.forget_starts(self.loop.now() - self.service.deployment.rules.warm_within)
            self.service.tell_learnt()

    def _offer_list(self) -> None:
        """What was offered once stands, as an old list does, until it is warned of: that it fades is no bad news."""
        now, told = self.loop.now(), self.service.told
        entries = []
        for name in sorted(self.trust.offered(now)):
            fact = self.endpoints.get(name)
            if fact is not None and name not in told:
                start = self.trust.starts.get((name, fact.start))
                entries.append(
                    Entry(name, ON, fact.size, fact.zone, None if start is None else max(1, down(start)))
                )
        warned = [
            entry._replace(phase="fading")
            for name, entry in sorted(told.items())
            if entry.phase == ON and self.trust.warning(name, None, now) is not None
        ]
        if len(warned) <= DOUBT_MOST * len(told):
            entries += warned
        if entries:
            self.service.report("borrowed_list", endpoints=len(entries))
            self.service.on_borrowed_list(entries)

    def overlay(self, own: dict[str, Own], entries: dict[str, Entry]) -> dict[str, Entry]:
        """This pilot's entries with the warnings and the cold starts that its own list does not tell of."""
        now, warm_within = self.loop.now(), self.service.deployment.rules.warm_within
        warned = self.trust.warnings(own, now)
        self.warned = len(warned)
        seen = {}
        for name, entry in entries.items():
            if name in warned:  # left as a drain is: with a hand-over, within the grace
                entry = entry._replace(phase="fading")
            started = self.trust.started(name, own[name], now, warm_within)
            if started is not None:
                entry = entry._replace(started=max(1, down(self._steady(name, own[name].start, started))))
            seen[name] = entry
        return seen

    def _steady(self, name: str, process: str, started: int) -> int:
        """What was handed on for a process stands: to the module another time of starting is another process, of which it
        knows nothing yet."""
        if self.starts.get(name, ("", 0))[0] != process:
            self.starts[name] = (process, started)
        return self.starts[name][1]

    def sums_for(self, first_hand: set[str]) -> list[tuple[int, str, m.LentEndpointStats]]:
        """Sums not handed on yet, oldest first, of endpoints of which nothing was heard first-hand."""
        known = self.service.brain.endpoints
        ready = [name for name, sums in self.sums.items() if sums and name in known]
        found = [
            (heard, name, one) for name in ready if name not in first_hand for heard, one in self.sums[name]
        ]
        for name in ready:
            self.sums[name] = []
        return sorted(found, key=lambda row: row[:2])

    def sick_now(self, running: list[str], first_hand: set[str]) -> dict[str, int]:
        """Endpoint -> until when (us); none of it where it would be most of the fleet."""
        now = self.loop.now()
        found = {
            name: until
            for name in running
            if name not in first_hand and (until := self.trust.sick_until(name, now))
        }
        return found if len(found) <= DOUBT_MOST * len(running) else {}

    def heats_for(self, number: int) -> list[tuple[int, m.LentSliceStats]]:
        return self.heats.pop(number, [])

    # ---- for people

    def shown(self) -> dict[str, Any]:
        now, trust = self.loop.now(), self.trust
        rows = []
        for kept, weigh in ((trust.good, trust.good_weight), (trust.bad, trust.bad_weight)):
            for (name, source), word in sorted(kept.items()):
                rows.append(
                    {
                        "endpoint": name,
                        "phase": word.phase,
                        "start": word.start,
                        "origin": word.origin,
                        "hops": word.hops,
                        "source": source,
                        "rev": word.rev,
                        "age_s": (now - word.heard) / 1e6,
                        "weight": round(weigh(word, now), 3),
                    }
                )
        return {
            "phases": rows,
            "starts": [
                {"endpoint": name, "start": process, "age_s": (now - at) / 1e6}
                for (name, process), at in sorted(trust.starts.items())
            ],
            "sick": [
                {"endpoint": name, "left_s": (i.until - now) / 1e6, "origin": i.origin, "hops": i.hops}
                for name, i in sorted(trust.ill.items())
                if i.until > now
            ],
            "lenders": [
                {
                    "origin": one.life,
                    "list_age_s": (now - one.list_heard) / 1e6,
                    "in_charge": one.in_charge,
                    "soundness": one.soundness(now),
                }
                for _, one in sorted(self.lenders.items())
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


__all__ = ["Learning", "Rejected", "unpack"]
