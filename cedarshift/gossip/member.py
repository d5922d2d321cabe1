"""Gossip member without I/O: takes datagrams, frames and the time, and returns datagrams and stream requests.

New records are piggybacked on outgoing messages, each a bounded number of times, newest first. If a peer's
digest stays different, the full state is exchanged over a stream. Records about the receiver of a message are
always included, so that it can refute them.

All times are in microseconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Callable, NamedTuple, Optional

from cedarshift.codec import gossip as g
from cedarshift.codec.gossip import (
    Body,
    InvalidMessage,
    MemberRecord,
    ObservationRecord,
    Seal,
    VerdictRecord,
)
from cedarshift.gossip.replay_window import ReplayWindow
from cedarshift.gossip.riders import Riders
from cedarshift.gossip.routes import Address, Routes
from cedarshift.judge.chance import Lcg
from cedarshift.judge.detector import NACK_TIMEOUT_PERIODS, Detector, ProbeRequest, Reachability
from cedarshift.judge.roll import DEAD, UNHEARD, VOUCHER_PERIODS, Change, Edge, MemberTable, Verdict, Word

MIN_TRANSMISSIONS = 6  # times a record is sent in the smallest fleet
TRANSMISSIONS_PER_LOG2_MEMBERS = 0.5  # further transmissions in larger fleets
MAX_UPDATES_PER_PERIOD = 4  # evaluations of the member table
MAX_VOUCHER_AGE_PERIODS = 2.5  # age up to which an answered probe justifies a voucher
VOUCHER_RENEWAL_PERIODS = VOUCHER_PERIODS / 3  # while silence reports exist
DIGEST_MISMATCH_PERIODS = 3.0  # before a full state exchange
EXCHANGE_INTERVAL_PERIODS = 2.0  # minimum between two exchanges started by one member
EXCHANGE_TIMEOUT_PERIODS = 1.0
MAX_REFUTATION_DELAY_PERIODS = 32  # of a member that is repeatedly declared dead
REFUTATION_MEMORY_PERIODS = 60.0  # for which past refutations count towards the delay
MAX_DATAGRAMS_PER_SUBJECT = 12  # sent per period
LEAVE_RECIPIENTS = 12  # members notified directly of a departure
MAX_RECORDS_BYTES = g.MAX_DATAGRAM_BYTES - g.HEADER.size - 150  # in one datagram, besides the fixed fields


class StreamRequest(NamedTuple):
    """A stream to open to `address`. `data`: the sealed first frame. The reply goes to `Member.on_frame`."""

    name: str
    address: Address
    data: bytes


class RelayedProbe(NamedTuple):
    """An indirect probe sent on behalf of another member."""

    asker: Address
    nonce: int
    about: str
    sent: int


class Member:
    """One member of the gossip group.

    `addresses` holds all configured members by name, including this one. `period` is the probe period (us).
    `start` identifies the life of the process and increases with each restart. `on_change(now, change)` is
    called for each state change in the member table.
    """

    def __init__(
        self,
        me: str,
        addresses: dict[str, Address],
        seal: Seal,
        period: int,
        start: int,
        seed: int,
        now: int,
        on_change: Callable[[int, Change], None] = lambda now, change: None,
    ) -> None:
        self.me = me
        self.seal = seal
        self.period = period
        self.rng = Lcg(seed)
        self.start = start
        self.incarnation = 0
        self.on_change = on_change
        self.table = MemberTable(me, addresses, period)
        self.detector = Detector(period, self.rng, now + self.rng.draw(period), self._usable, self._vouchers)
        self.routes = {name: Routes(address) for name, address in addresses.items()}
        self.windows: dict[str, ReplayWindow] = {}
        self.out: list[tuple[Address, bytes]] = []
        self.stream_requests: list[StreamRequest] = []
        self.queue: OrderedDict[tuple, int] = OrderedDict()  # record key -> transmissions left
        self.max_transmissions = MIN_TRANSMISSIONS + math.ceil(
            TRANSMISSIONS_PER_LOG2_MEMBERS * math.log2(len(addresses) + 1)
        )
        self.riders = Riders(me, self.max_transmissions)
        self.seq = 0
        self.edge_seq = 0
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.mismatched_since: dict[str, int] = {}  # peer with a different digest -> first seen at
        self.digest_since = now
        self.digest = 0
        self.exchanging_until = 0
        self.exchange_at = now
        self.next_absent_ping_at = now
        self.next_update_at = now
        self.vouch_at = 1 << 62  # next renewal of vouchers
        self.refutations: list[int] = []  # times of recent refutations
        self.refute_at: Optional[int] = None
        self.unanswered = True  # no reply received in this life yet
        self.unconfirmed = True  # no proof yet that another member has received this life
        self.superseded = False
        self.left = False
        self.tokens_at = now
        self.send_tokens = float(self._send_burst())
        self.counts = {
            "datagrams_sent": 0,
            "datagrams_heard": 0,
            "bytes_sent": 0,
            "bytes_heard": 0,
            "capped": 0,
            "again": 0,
            "exchanges": 0,
            "answers": 0,
            "changes": 0,
            **{
                f"dropped_{why}": 0
                for why in ("short", "long", "foreign", "version", "proof", "body", "unknown")
            },
        }
        self._announce()
        self._update_subjects(now)

    # ---- time

    def due(self) -> int:
        """Return the time of the next call to `tick`."""
        if self.superseded or self.left:
            return 1 << 62
        times = [
            self.detector.due(),
            self.next_absent_ping_at,
            max(
                self.next_update_at, 0 if self.table.needs_update else min(self.table.look_at, self.vouch_at)
            ),
        ]
        if self.relayed_probes:
            times.append(
                min(h.sent for h in self.relayed_probes.values()) + int(NACK_TIMEOUT_PERIODS * self.period)
            )
        if self.refute_at is not None:
            times.append(self.refute_at)
        return min(times)

    def tick(self, now: int) -> None:
        """Run all timers that are due."""
        if self.superseded or self.left:
            return
        probe_requests, found = self.detector.step(now)
        for observation in found:
            self._report(now, observation)
        for probe_request in probe_requests:
            self._send_probe(now, probe_request)
        self._send_due_nacks(now)
        if now >= self.next_absent_ping_at:
            self.next_absent_ping_at = now + self.period
            self._ping_absent(now)
        if self.refute_at is not None and now >= self.refute_at:
            self._refute_verdict(now)
        if now >= self.next_update_at and (
            self.table.needs_update or now >= min(self.table.look_at, self.vouch_at)
        ):
            self._update_states(now)

    def _update_states(self, now: int) -> None:
        self.next_update_at = now + self.period // MAX_UPDATES_PER_PERIOD
        self.vouch_at = now + self.period if self._renew_vouchers(now) else 1 << 62
        changes = self.table.update_states(now, self.detector.health, self.detector.heard_at)
        for change in changes:
            self.counts["changes"] += 1
            if change.after == DEAD and change.name in self.table.verdicts:
                self._enqueue(("v", change.name))
            self.on_change(now, change)
        if changes:
            self._update_subjects(now)
        if self.table.dead(self.me) is not None and self.refute_at is None:
            self.refutations = [
                at for at in self.refutations if now - at < REFUTATION_MEMORY_PERIODS * self.period
            ]
            wait = min(MAX_REFUTATION_DELAY_PERIODS, 2 ** len(self.refutations) - 1)
            self.refute_at = now + wait * self.period

    def _update_subjects(self, now: int) -> None:
        reported_silent = [name for name in self._usable() if self._reported_silent(name)]
        self.detector.observe(now, [*self.table.subjects(), *reported_silent])
        # A silence is withdrawn by its reporter, even if the subject is no longer assigned to it.
        for name in reported_silent:
            self.detector.subjects[name].silent = True

    def _reported_silent(self, name: str) -> bool:
        own, word = self.table.edges.get(name, {}).get(self.me), self.table.words.get(name)
        return (
            own is not None
            and word is not None
            and not own.hears
            and own[5:] == (word.start, word.incarnation)
        )

    def _usable(self) -> list[str]:
        return [name for name in self.table.names if name != self.me and self.table.usable(name)]

    def _vouchers(self, subject: str) -> list[str]:
        return [
            observer
            for observer, edge in self.table.edges.get(subject, {}).items()
            if edge.hears and observer != self.me and self.table.usable(observer)
        ]

    # ---- observations

    def _report(self, now: int, found: Reachability) -> None:
        word = self.table.words.get(found.subject)
        if word is None:
            return
        self.edge_seq += 1
        edge = Edge(
            self.start, self.edge_seq, found.at, self.incarnation, found.hears, word.start, word.incarnation
        )
        if self.table.merge_edge(now, self.me, found.subject, edge):
            self._enqueue(("e", self.me, found.subject))

    def _renew_vouchers(self, now: int) -> bool:
        """Vouch for members that others report silent but this one hears. Return whether any are reported."""
        reported = False
        for name, edges in list(self.table.edges.items()):
            if (
                name == self.me
                or self.table.states[name] == DEAD
                or all(edge.hears for edge in edges.values())
            ):
                continue
            reported = True
            heard = self.detector.heard_at(name)
            own = edges.get(self.me)
            if heard is None or now - heard > MAX_VOUCHER_AGE_PERIODS * self.period:
                continue
            word = self.table.words.get(name)
            fits = (
                own is not None
                and word is not None
                and own[5:] == (word.start, word.incarnation)
                and own[3] == self.incarnation
            )
            if (
                own is None
                or not fits
                or not own.hears
                or heard - own.at >= VOUCHER_RENEWAL_PERIODS * self.period
            ):
                self._report(now, Reachability(name, True, heard))
        return reported

    def _refute_verdict(self, now: int) -> None:
        """Refute a death verdict on this member by a higher incarnation."""
        self.refute_at = None
        if self.table.dead(self.me) is None:
            return
        self.refutations.append(now)
        self.counts["answers"] += 1
        self.incarnation += 1
        self._announce()
        # Reissue this member's own silence reports under the new incarnation.
        for subject, edges in list(self.table.edges.items()):
            own = edges.get(self.me)
            if own is not None and not own.hears:
                self._report(now, Reachability(subject, False, own.at))

    def _announce(self) -> None:
        self.table.merge_word(self.me, Word(self.start, self.left, self.incarnation))
        self._enqueue(("w", self.me))

    # ---- sending

    def _send_probe(self, now: int, probe_request: ProbeRequest) -> None:
        streamed = probe_request.how == "stream"
        address = self._stream_route(probe_request.to) if streamed else self._route(probe_request.to)
        if address is None:
            return
        if probe_request.how == "ping":
            self._send(now, address, g.PING, probe_request.to, probe_request.nonce)
        elif probe_request.how == "help":
            self._send(
                now, address, g.PING_REQUEST, probe_request.to, probe_request.nonce, probe_request.about
            )
        else:
            self.stream_requests.append(
                StreamRequest(
                    probe_request.to,
                    address,
                    self.seal.close(self._body(now, g.PING, probe_request.to, probe_request.nonce)),
                )
            )

    def _route(self, name: str) -> Optional[Address]:
        return self.routes[name].choose(self.rng, self._is_doubted(name))

    def _stream_route(self, name: str) -> Optional[Address]:
        return self.routes[name].choose_for_stream(self.rng, self._is_doubted(name))

    def _is_doubted(self, name: str) -> bool:
        """Whether a member is not known to answer."""
        subject = self.detector.subjects.get(name)
        return self.table.states[name] in (UNHEARD, DEAD) or (subject is not None and len(subject.missed) > 1)

    def _send_burst(self) -> int:
        return MAX_DATAGRAMS_PER_SUBJECT * (self.table.rings.count + 2)

    def _send(self, now: int, address: Address, kind: int, to: str, nonce: int = 0, about: str = "") -> None:
        self.send_tokens = min(
            self._send_burst(), self.send_tokens + (now - self.tokens_at) / self.period * self._send_burst()
        )
        self.tokens_at = now
        if self.send_tokens < 1:
            self.counts["capped"] += 1
            return
        self.send_tokens -= 1
        if kind in (g.PING, g.PING_REQUEST):
            self.routes[to].probed = address
        sealed = self.seal.close(self._body(now, kind, to, nonce, about))
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += len(sealed)
        self.out.append((address, sealed))

    def _body(self, now: int, kind: int, to: str, nonce: int, about: str = "") -> Body:
        self.seq += 1
        body = Body(kind, self.me, self.start, self.incarnation, self.seq, nonce, about, self._digest())
        available = MAX_RECORDS_BYTES - len(self.me) - len(about)
        chosen: dict[tuple, None] = {}
        subject = self.detector.subjects.get(to)
        heard = subject is None or not subject.missed  # else the message is likely lost: not counted
        for key in self._records_about(to):
            available -= self._encoded_size(key)
            chosen[key] = None
        available = self.riders.add_own(body, available, now)
        for key in list(self.queue):
            size = self._encoded_size(key)
            if size > available:
                break
            if key in chosen:
                continue
            available -= size
            chosen[key] = None
            if heard:
                self._count_transmission(key)
        self.riders.add_queued(body, available, now)
        for key in chosen:
            self._add_record(body, key, now)
        return body

    def _records_about(self, to: str) -> list[tuple]:
        """Return the keys of the records about `to` itself."""
        keys: list[tuple] = [("w", to)] if to in self.table.words else []
        if self.table.dead(to) is not None:
            keys.append(("v", to))
        return keys

    @staticmethod
    def _encoded_size(key: tuple) -> int:
        """Return an upper bound of the record's msgpack size in bytes."""
        return sum(len(part) + 2 for part in key[1:]) + {"w": 21, "e": 57, "v": 30}[key[0]]

    def _enqueue(self, key: tuple) -> None:
        self.queue[key] = self.max_transmissions
        self.queue.move_to_end(key, last=False)

    def _count_transmission(self, key: tuple) -> None:
        """Count one transmission of a record and move it to the end of the queue."""
        self.queue[key] -= 1
        if self.queue[key] <= 0:
            del self.queue[key]
        else:
            self.queue.move_to_end(key)

    def _add_record(self, body: Body, key: tuple, now: int) -> None:
        table = self.table
        if key[0] == "w" and key[1] in table.words:
            word = table.words[key[1]]
            body.members = [*body.members, MemberRecord(key[1], word.start, word.left, word.incarnation)]
        elif key[0] == "v":
            verdict = table.verdicts.get(key[1]) or table.minority_verdicts.get(key[1])
            if verdict is not None:
                body.verdicts = [*body.verdicts, VerdictRecord(key[1], *verdict)]
        elif key[0] == "e":
            edge = table.edges.get(key[2], {}).get(key[1])
            if edge is not None:
                body.observations = [*body.observations, self._edge_record(key[1], key[2], edge, now)]

    @staticmethod
    def _edge_record(observer: str, subject: str, edge: Edge, now: int) -> ObservationRecord:
        return ObservationRecord(
            observer,
            subject,
            edge.observer_start,
            edge.seq,
            max(0, now - edge.at),
            edge.observer_incarnation,
            edge.hears,
            edge.start,
            edge.incarnation,
        )

    def _ping_absent(self, now: int) -> None:
        """Ping one dead or unheard member: it may have started since."""
        absent = [
            name
            for name in self.table.names
            if name != self.me and self.table.states[name] in (DEAD, UNHEARD)
        ]
        if absent:
            name = self.rng.pick(absent)
            address = self._route(name)
            if address is not None:
                self._send(now, address, g.PING, name, self.detector.nonce())
        if self.unanswered and now >= self.exchange_at:
            others = [name for name in self.table.names if name != self.me]
            if others:
                self._exchange(now, self.rng.pick(others))

    def _send_due_nacks(self, now: int) -> None:
        for nonce in [
            n for n, h in self.relayed_probes.items() if now - h.sent >= NACK_TIMEOUT_PERIODS * self.period
        ]:
            relayed = self.relayed_probes.pop(nonce)
            self._send(now, relayed.asker, g.NACK, "", relayed.nonce, relayed.about)

    # ---- receiving

    def on_datagram(self, now: int, data: bytes, source: Address) -> None:
        """Handle a datagram. Invalid ones are only counted."""
        body = self._open(data, g.MAX_DATAGRAM_BYTES)
        if body is None or self.left:
            return
        self.counts["datagrams_heard"] += 1
        self.counts["bytes_heard"] += len(data)
        if not self.windows.setdefault(body.sender, ReplayWindow()).accept(body.start, body.seq):
            self.counts["again"] += 1
            return
        self.detector.last_heard_at = now
        self.routes[body.sender].seen = source
        self._merge(now, body)
        self._compare_digest(now, body)
        if self.superseded:
            return
        if body.kind == g.PING:
            self._send(now, source, g.ACK, body.sender, body.nonce, self.me)
        elif body.kind == g.ACK:
            self.routes[body.sender].note_answer(source)
            self._on_ack(now, body)
        elif (
            body.kind == g.PING_REQUEST
            and body.subject in self.routes
            and len(self.relayed_probes) < self._send_burst()
        ):
            self._relay_probe(now, body, source)
        elif body.kind == g.NACK:
            self.detector.on_nack(body.nonce, body.sender)

    def on_frame(self, now: int, data: bytes) -> Optional[bytes]:
        """Handle a frame of a stream; return the sealed reply, if any."""
        body = self._open(data, g.MAX_FRAME_BYTES)
        if body is None or self.left or self.superseded:
            return None
        self._merge(now, body)
        if body.kind == g.PING:
            return self.seal.close(self._body(now, g.ACK, body.sender, body.nonce, self.me))
        if body.kind == g.ACK:
            self._on_ack(now, body)
        elif body.kind == g.FULL_STATE:
            return self.full_state(now, g.FULL_STATE_REPLY)
        elif body.kind == g.FULL_STATE_REPLY:
            self._note_reply()
            self.exchanging_until = 0
        return None

    def _open(self, data: bytes, most: int) -> Optional[Body]:
        try:
            body = self.seal.open(data, most)
        except InvalidMessage as error:
            self.counts[f"dropped_{error.why}"] += 1
            return None
        if body.sender not in self.routes or body.sender == self.me and body.start == self.start:
            self.counts["dropped_unknown"] += 1
            return None
        return body

    def _on_ack(self, now: int, body: Body) -> None:
        relayed = self.relayed_probes.pop(body.nonce, None)
        if relayed is not None and body.sender == relayed.about:
            self._send(now, relayed.asker, g.ACK, "", relayed.nonce, relayed.about)
            return
        self._note_reply()
        found = self.detector.on_answer(now, body.nonce)
        if found is not None:
            self._report(now, found)

    def _note_reply(self) -> None:
        self.unanswered = False
        self.unconfirmed = False

    def _relay_probe(self, now: int, body: Body, source: Address) -> None:
        nonce = self.detector.nonce()
        address = self._route(body.subject)
        if address is not None:
            self.relayed_probes[nonce] = RelayedProbe(source, body.nonce, body.subject, now)
            self._send(now, address, g.PING, body.subject, nonce)

    def _merge(self, now: int, body: Body) -> None:
        """Merge the records of a message, the sender's own first."""
        table = self.table
        self._merge_word(now, MemberRecord(body.sender, body.start, False, body.incarnation))
        for record in body.members:
            self._merge_word(now, record)
        for observation in body.observations:
            if observation.observer == self.me:
                continue  # own observations are never taken from others
            self._merge_life(now, observation.subject, observation.start, observation.incarnation)
            edge = Edge(
                observation.observer_start,
                observation.seq,
                now - max(0, observation.age),
                observation.observer_incarnation,
                observation.hears,
                observation.start,
                observation.incarnation,
            )
            if table.merge_edge(now, observation.observer, observation.subject, edge):
                self._enqueue(("e", observation.observer, observation.subject))
        for rider in body.riders:
            if rider.name != self.me and rider.name in self.routes:
                self.riders.merge(now, rider)
        for one in body.verdicts:
            self._merge_life(now, one.name, one.start, one.incarnation)
            verdict = Verdict(one.start, one.incarnation, one.side)
            if table.merge_verdict(one.name, verdict):
                self._enqueue(("v", one.name))
            elif (
                one.name == self.me
                and (one.start, one.incarnation) == (self.start, self.incarnation)
                and self.me not in table.minority_verdicts
            ):
                table.minority_verdicts[self.me] = verdict  # to be refuted too
                table.needs_update = True

    def _merge_word(self, now: int, record: MemberRecord) -> None:
        word = Word(record.start, record.left, record.incarnation)
        if record.name == self.me:
            self._merge_own_word(word)
        elif self.table.merge_word(record.name, word):
            self._enqueue(("w", record.name))
            if (
                record.name in self.detector.subjects
            ):  # earlier misses concern the previous life or incarnation
                self.detector.subjects[record.name].missed.clear()
                self.detector.subjects[record.name].silent = False

    def _merge_life(self, now: int, name: str, start: int, incarnation: int) -> None:
        """Merge the word that a record about a member's life shows: who made the record had received it.

        Without it a record about a later life, whose word was lost with its last holder, would outrank all
        records about the life known here.
        """
        word = self.table.words.get(name)
        if word is None or (start, incarnation) > (word.start, word.incarnation):
            self._merge_word(now, MemberRecord(name, start, False, incarnation))

    def _merge_own_word(self, word: Word) -> None:
        """Merge a record about this member's own name, from this life or another one."""
        if word.start > self.start or (word.start == self.start and word.left and not self.left):
            if self.unconfirmed:  # the clock ran ahead in an earlier life
                self.start = word.start + 1
                self._announce()
            else:
                self.superseded = True
        elif word.start == self.start:
            self.unconfirmed = False  # the sender has received this life and knows of no later one
            if word.incarnation > self.incarnation:
                self.incarnation = word.incarnation
                self._announce()

    # ---- full state exchange

    def _compare_digest(self, now: int, body: Body) -> None:
        """Start a full state exchange with a peer whose digest stays different."""
        if self._digest() != self.digest:
            self.digest, self.digest_since = self._digest(), now
        if body.digest == self.digest:
            self.mismatched_since.pop(body.sender, None)
            return
        since = self.mismatched_since.setdefault(body.sender, now)
        # A message from a member considered dead means that a partition has healed: exchange at once.
        patience = DIGEST_MISMATCH_PERIODS * self.period if self.table.states[body.sender] != DEAD else -1.0
        gap = now >= self.exchange_at and now >= self.exchanging_until
        if gap and now - since > patience and now - self.digest_since > patience / 2:
            self.mismatched_since.clear()
            self._exchange(now, body.sender)

    def _digest(self) -> int:
        """Return the digest over words, verdicts and current silence reports."""
        return self.table.digest ^ self.table.silence_digest

    def _exchange(self, now: int, name: str) -> None:
        address = self._stream_route(name)
        if address is None:
            return
        self.exchange_at = now + int(EXCHANGE_INTERVAL_PERIODS * self.period) + self.rng.draw(self.period)
        self.exchanging_until = now + int(EXCHANGE_TIMEOUT_PERIODS * self.period)
        self.counts["exchanges"] += 1
        self.stream_requests.append(StreamRequest(name, address, self.full_state(now, g.FULL_STATE)))

    def full_state(self, now: int, kind: int) -> bytes:
        """Return the sealed frame with all records."""
        self.seq += 1
        body = Body(kind, self.me, self.start, self.incarnation, self.seq, 0, "", self._digest())
        body.members = [MemberRecord(name, *word) for name, word in self.table.words.items()]
        body.observations = [
            self._edge_record(observer, subject, edge, now)
            for subject, edges in self.table.edges.items()
            for observer, edge in edges.items()
        ]
        body.verdicts = [VerdictRecord(name, *verdict) for name, verdict in self.table.verdicts.items()]
        return self.seal.close(body)

    # ---- riders, shutdown and status

    def set_rider(self, now: int, payload: bytes) -> None:
        """Set the payload that this member attaches to its messages."""
        self.riders.set_own(now, self.start, payload)

    def leave(self, now: int) -> None:
        """Announce the departure to some members; nothing is handled afterwards."""
        if self.left or self.superseded:
            return
        self.left = True
        self._announce()
        recipients = self.rng.sample(self._usable(), LEAVE_RECIPIENTS)
        for name in [*recipients, *recipients]:  # twice, against packet loss
            address = self.routes[name].preferred
            if address is not None:
                self._send(now, address, g.UPDATE, name)

    def status(self, now: int) -> dict[str, object]:
        """Return the status page: state, life and observers of each member."""
        rows = []
        for name in self.table.names:
            standing = self.table.standing(name)
            state, start, incarnation = (
                self.table.view()[name]
                if len(self.table.names) <= 64
                else (self.table.states[name], *self.table._life(name))
            )
            rows.append(
                {
                    "name": name,
                    "state": state,
                    "start": start,
                    "incarnation": incarnation,
                    "since_s": (now - self.table.changed_at[name]) / 1e6
                    if name in self.table.changed_at
                    else None,
                    "silent_to": sorted(o for o, e in standing.items() if not e.hears),
                    "heard_by": sorted(o for o, e in standing.items() if e.hears),
                }
            )
        return {
            "me": self.me,
            "period_s": self.period / 1e6,
            "health": self.detector.health,
            "side": self.table.side(),
            "configured": len(self.table.names),
            "superseded": self.superseded,
            "members": rows,
            "counts": dict(self.counts),
            "detector": dict(self.detector.counts),
        }
