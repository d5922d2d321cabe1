"""One member, free of I/O: what it hears and the time go in, datagrams and wishes for streams come out.

Records that are new to it ride on what it sends anyway, each a bounded number of times, the newest first; a peer whose digest
stays another one is asked for everything by a stream. What a datagram is about its receiver (a verdict, a report, a newer life)
always rides along: so that it can answer.
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
    RiderRecord,
    Seal,
    VerdictRecord,
)
from cedarshift.judge.chance import Lcg
from cedarshift.judge.detector import NACK_TIMEOUT_PERIODS, Detector, ProbeRequest, Reachability
from cedarshift.judge.roll import DEAD, UNHEARD, VOUCHER_PERIODS, Change, Edge, MemberTable, Verdict, Word

Address = tuple[str, int]

# Constants: unit, then the reason for the size.
TOLD_LEAST = 6  # times that a record is told on in the smallest fleet, with some lost
TOLD_MORE = 0.5  # times log2 of the members more: an epidemic needs few where each tells six others
LOOKS = 4  # times a period that the roll is looked at, at most, where nothing is due sooner
VOUCH_PART = 2.5  # periods that an answered probe is good for a voucher: a slow one answers late, and a report takes three
VOUCH_AGAIN = VOUCHER_PERIODS / 3  # periods after which a voucher is given anew while reports stand
UNLIKE_FOR = 3.0  # periods that a peer's digest may differ from one's own before everything is exchanged
EXCHANGE_EVERY = 2.0  # periods between two exchanges begun by one member
EXCHANGE_WITHIN = 1.0  # periods that one may take
ANSWER_PUT_OFF = (
    32  # periods at most that a member which is called dead time and again waits before it answers
)
ANSWERS_KEPT = 60.0  # periods over which its answers count
SEND_CAP = 12  # datagrams a subject and period, over all reasons: a bound, several times what is usual
WINDOW = 64  # newest numbers of a sender by which a datagram that comes again is told
LEAVING_TOLD = 12  # members that hear of a leaving at once
BODY_ROOM = (
    g.MAX_DATAGRAM_BYTES - g.HEADER.size - 150
)  # bytes for records, besides names and numbers of the body itself


class Routes(NamedTuple):
    """Where a member may be reached: as configured, and where its newest datagram came from."""

    configured: Optional[Address]
    seen: Optional[Address]


class Wish(NamedTuple):
    """A stream to be opened to `address`; `data` is the first frame, sealed. Its answer goes to `hear_stream`."""

    name: str
    address: Address
    data: bytes


class Help(NamedTuple):
    """A probe sent for another."""

    asker: Address
    nonce: int
    about: str
    sent: int


class Rider(NamedTuple):
    """What a member tells beside the roll; `at`: when it held, by this one's clock."""

    start: int
    seq: int
    at: int
    payload: bytes


class Window:
    """Which numbers of a sender's life were heard (RFC 4303, section 3.4.3)."""

    def __init__(self) -> None:
        self.start = -1
        self.newest = 0
        self.seen = 0

    def fresh(self, start: int, seq: int) -> bool:
        if start != self.start:
            if start < self.start:
                return False
            self.start, self.newest, self.seen = start, seq, 1
            return True
        ahead = seq - self.newest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.newest = seq
            return True
        if -ahead >= WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


class Member:
    """`addresses`: of all configured members by name, this one's among them; some may be wrong. `start` grows from one life
    of a name to the next. `on_change(change)` hears of each change of the roll."""

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
        self.chance = Lcg(seed)
        self.start = start
        self.incarnation = 0
        self.on_change = on_change
        self.roll = MemberTable(me, addresses, period)
        self.detector = Detector(
            period, self.chance, now + self.chance.draw(period), self._usable, self._vouchers
        )
        self.routes = {name: Routes(address, None) for name, address in addresses.items()}
        self.windows: dict[str, Window] = {}
        self.out: list[tuple[Address, bytes]] = []
        self.wishes: list[Wish] = []
        self.queue: OrderedDict[tuple, int] = OrderedDict()  # what is still to be told -> how often
        self.told_times = TOLD_LEAST + math.ceil(TOLD_MORE * math.log2(len(addresses) + 1))
        self.riders: dict[str, Rider] = {}  # the newest of each, this one's own among them
        self.rider_queue: OrderedDict[str, int] = (
            OrderedDict()
        )  # others' that are still to be told on -> how often
        self.seq = 0
        self.edge_seq = 0
        self.helping: dict[int, Help] = {}
        self.unlike: dict[str, int] = {}  # peers whose digest is another one -> since when
        self.digest_since = now
        self.digest = 0
        self.exchanging_until = 0
        self.exchange_at = now
        self.reach_at = now
        self.look_at = now
        self.vouch_at = 1 << 62  # when reports that stand are looked at again for what this one hears
        self.answers: list[int] = []  # when verdicts on this member were answered
        self.answer_at: Optional[int] = None
        self.young = True  # nobody has answered this life yet
        self.superseded = False
        self.left = False
        self.sent_at = now
        self.room = float(self._cap())
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
        self._say_word()
        self._watch(now)

    # ---- time

    def due(self) -> int:
        """When `tick` is wanted next."""
        if self.superseded or self.left:
            return 1 << 62
        times = [
            self.detector.due(),
            self.reach_at,
            max(self.look_at, 0 if self.roll.needs_update else min(self.roll.look_at, self.vouch_at)),
        ]
        if self.helping:
            times.append(min(h.sent for h in self.helping.values()) + int(NACK_TIMEOUT_PERIODS * self.period))
        if self.answer_at is not None:
            times.append(self.answer_at)
        return min(times)

    def tick(self, now: int) -> None:
        if self.superseded or self.left:
            return
        asks, found = self.detector.step(now)
        for one in found:
            self._report(now, one)
        for ask in asks:
            self._carry_out(now, ask)
        self._decline_late(now)
        if now >= self.reach_at:
            self.reach_at = now + self.period
            self._reach_out(now)
        if self.answer_at is not None and now >= self.answer_at:
            self._answer_verdict(now)
        if now >= self.look_at and (self.roll.needs_update or now >= min(self.roll.look_at, self.vouch_at)):
            self._look(now)

    def _look(self, now: int) -> None:
        self.look_at = now + self.period // LOOKS
        self.vouch_at = now + self.period if self._vouch(now) else 1 << 62
        changes = self.roll.update_states(now, self.detector.health, self.detector.heard_at)
        for change in changes:
            self.counts["changes"] += 1
            if change.after == DEAD and change.name in self.roll.verdicts:
                self._queue(("v", change.name))
            self.on_change(now, change)
        if changes:
            self._watch(now)
        if self.roll.dead(self.me) is not None and self.answer_at is None:
            self.answers = [at for at in self.answers if now - at < ANSWERS_KEPT * self.period]
            wait = min(ANSWER_PUT_OFF, 2 ** len(self.answers) - 1)
            self.answer_at = now + wait * self.period

    def _watch(self, now: int) -> None:
        told = [name for name in self._usable() if self._told_silent(name)]
        self.detector.observe(now, [*self.roll.subjects(), *told])
        for name in told:  # out of view meanwhile or not: a silence that was told is lifted by who told it
            self.detector.subjects[name].silent = True

    def _told_silent(self, name: str) -> bool:
        own, word = self.roll.edges.get(name, {}).get(self.me), self.roll.words.get(name)
        return (
            own is not None
            and word is not None
            and not own.hears
            and own[5:] == (word.start, word.incarnation)
        )

    def _usable(self) -> list[str]:
        return [name for name in self.roll.names if name != self.me and self.roll.usable(name)]

    def _vouchers(self, subject: str) -> list[str]:
        return [
            observer
            for observer, edge in self.roll.edges.get(subject, {}).items()
            if edge.hears and observer != self.me and self.roll.usable(observer)
        ]

    # ---- what is found

    def _report(self, now: int, found: Reachability) -> None:
        word = self.roll.words.get(found.subject)
        if word is None:
            return
        self.edge_seq += 1
        edge = Edge(
            self.start, self.edge_seq, found.at, self.incarnation, found.hears, word.start, word.incarnation
        )
        if self.roll.merge_edge(now, self.me, found.subject, edge):
            self._queue(("e", self.me, found.subject))

    def _vouch(self, now: int) -> bool:
        """For those whom others report and this one hears; whether anyone is reported."""
        reported = False
        for name, edges in list(self.roll.edges.items()):
            if (
                name == self.me
                or self.roll.states[name] == DEAD
                or all(edge.hears for edge in edges.values())
            ):
                continue
            reported = True
            heard = self.detector.heard_at(name)
            own = edges.get(self.me)
            if heard is None or now - heard > VOUCH_PART * self.period:
                continue
            word = self.roll.words.get(name)
            fits = (
                own is not None
                and word is not None
                and own[5:] == (word.start, word.incarnation)
                and own[3] == self.incarnation
            )
            if own is None or not fits or not own.hears or heard - own.at >= VOUCH_AGAIN * self.period:
                self._report(now, Reachability(name, True, heard))
        return reported

    def _answer_verdict(self, now: int) -> None:
        """A verdict on this member, which it has put off answering where it had to before."""
        self.answer_at = None
        if self.roll.dead(self.me) is None:
            return
        self.answers.append(now)
        self.counts["answers"] += 1
        self.incarnation += 1
        self._say_word()
        for subject, edges in list(
            self.roll.edges.items()
        ):  # what it has found holds for this incarnation too
            own = edges.get(self.me)
            if own is not None and not own.hears:
                self._report(now, Reachability(subject, False, own.at))

    def _say_word(self) -> None:
        self.roll.merge_word(self.me, Word(self.start, self.left, self.incarnation))
        self._queue(("w", self.me))

    # ---- sending

    def _carry_out(self, now: int, ask: ProbeRequest) -> None:
        address = self._route(ask.to, now)
        if address is None:
            return
        if ask.how == "ping":
            self._send(now, address, g.PING, ask.to, ask.nonce)
        elif ask.how == "help":
            self._send(now, address, g.PING_REQUEST, ask.to, ask.nonce, ask.about)
        else:
            self.wishes.append(
                Wish(ask.to, address, self.seal.close(self._body(now, g.PING, ask.to, ask.nonce)))
            )

    def _route(self, name: str, now: int) -> Optional[Address]:
        """As configured; where that brought no answer, in turn with where the member was last seen."""
        routes = self.routes[name]
        subject = self.detector.subjects.get(name)
        doubted = self.roll.states[name] in (UNHEARD, DEAD) or (
            subject is not None and len(subject.missed) > 1
        )
        if routes.seen is not None and (routes.configured is None or (doubted and self.chance.draw(2))):
            return routes.seen
        return routes.configured

    def _cap(self) -> int:
        return SEND_CAP * (self.roll.rings.count + 2)

    def _send(self, now: int, address: Address, kind: int, to: str, nonce: int = 0, about: str = "") -> None:
        self.room = min(self._cap(), self.room + (now - self.sent_at) / self.period * self._cap())
        self.sent_at = now
        if self.room < 1:
            self.counts["capped"] += 1
            return
        self.room -= 1
        sealed = self.seal.close(self._body(now, kind, to, nonce, about))
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += len(sealed)
        self.out.append((address, sealed))

    def _body(self, now: int, kind: int, to: str, nonce: int, about: str = "") -> Body:
        self.seq += 1
        body = Body(kind, self.me, self.start, self.incarnation, self.seq, nonce, about, self._digest())
        room = BODY_ROOM - len(self.me) - len(about)
        chosen: dict[tuple, None] = {}
        subject = self.detector.subjects.get(to)
        heard = subject is None or not subject.missed  # what may be lost in a cut is not told yet
        for key in self._about(to):
            room -= self._size(key)
            chosen[key] = None
        room = self._ride(body, room, now, [self.me])
        for key in list(self.queue):
            size = self._size(key)
            if size > room:
                break
            if key in chosen:
                continue
            room -= size
            chosen[key] = None
            if heard:
                self._told(key)
        self._ride(body, room, now, list(self.rider_queue))
        for key in chosen:
            self._put(body, key, now)
        return body

    # ---- riders

    def carry(self, now: int, payload: bytes) -> None:
        """What this member tells from now on, in the place of what it told before."""
        assert len(payload) <= g.MAX_RIDER_BYTES, len(payload)
        former = self.riders.get(self.me)
        self.riders[self.me] = Rider(
            self.start, 1 if former is None or former.start != self.start else former.seq + 1, now, payload
        )

    def _ride(self, body: Body, room: int, now: int, names: list[str]) -> int:
        """Puts in what fits, each told on a bounded number of times but for one's own; the room that is left."""
        for name in names:
            rider = self.riders.get(name)
            size = 0 if rider is None else len(name) + len(rider.payload) + 35  # at most, as msgpack
            if rider is None or size > room:
                continue
            room -= size
            body.riders = [
                *body.riders,
                RiderRecord(name, rider.start, rider.seq, max(0, now - rider.at), rider.payload),
            ]
            if name in self.rider_queue:
                self.rider_queue[name] -= 1
                self.rider_queue.move_to_end(name)
                if self.rider_queue[name] <= 0:
                    del self.rider_queue[name]
        return room

    def _take_rider(self, now: int, said: RiderRecord) -> None:
        if said.name == self.me or said.name not in self.routes:
            return
        held = self.riders.get(said.name)
        if held is None or (said.start, said.seq) > (held.start, held.seq):
            self.riders[said.name] = Rider(said.start, said.seq, now - said.age, said.payload)
            self.rider_queue[said.name] = self.told_times
            self.rider_queue.move_to_end(said.name, last=False)

    def _about(self, to: str) -> list[tuple]:
        """What the receiver has to answer or to know of itself."""
        keys: list[tuple] = [("w", to)] if to in self.roll.words else []
        if self.roll.dead(to) is not None:
            keys.append(("v", to))
        return keys

    @staticmethod
    def _size(key: tuple) -> int:
        """At most, as msgpack: numbers take nine bytes, names their length and two."""
        return sum(len(part) + 2 for part in key[1:]) + {"w": 21, "e": 57, "v": 30}[key[0]]

    def _queue(self, key: tuple) -> None:
        self.queue[key] = self.told_times
        self.queue.move_to_end(key, last=False)

    def _told(self, key: tuple) -> None:
        """Told once more; the others come first next time."""
        self.queue[key] -= 1
        if self.queue[key] <= 0:
            del self.queue[key]
        else:
            self.queue.move_to_end(key)

    def _put(self, body: Body, key: tuple, now: int) -> None:
        roll = self.roll
        if key[0] == "w" and key[1] in roll.words:
            word = roll.words[key[1]]
            body.members = [*body.members, MemberRecord(key[1], word.start, word.left, word.incarnation)]
        elif key[0] == "v":
            verdict = roll.verdicts.get(key[1]) or roll.minority_verdicts.get(key[1])
            if verdict is not None:
                body.verdicts = [*body.verdicts, VerdictRecord(key[1], *verdict)]
        elif key[0] == "e":
            edge = roll.edges.get(key[2], {}).get(key[1])
            if edge is not None:
                body.observations = [*body.observations, self._edge_of(key[1], key[2], edge, now)]

    @staticmethod
    def _edge_of(observer: str, subject: str, edge: Edge, now: int) -> ObservationRecord:
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

    def _reach_out(self, now: int) -> None:
        """To one a period of those that are not observed: dead ones may be back, unheard ones may have come."""
        away = [
            name for name in self.roll.names if name != self.me and self.roll.states[name] in (DEAD, UNHEARD)
        ]
        if away:
            name = self.chance.pick(away)
            address = self._route(name, now)
            if address is not None:
                self._send(now, address, g.PING, name, self.detector.nonce())
        if self.young and now >= self.exchange_at:
            others = [name for name in self.roll.names if name != self.me]
            if others:
                self._exchange(now, self.chance.pick(others))

    def _decline_late(self, now: int) -> None:
        for nonce in [
            n for n, h in self.helping.items() if now - h.sent >= NACK_TIMEOUT_PERIODS * self.period
        ]:
            helped = self.helping.pop(nonce)
            self._send(now, helped.asker, g.NACK, "", helped.nonce, helped.about)

    # ---- hearing

    def hear(self, now: int, data: bytes, source: Address) -> None:
        """A datagram. What is not the deployment's changes nothing but a count."""
        body = self._open(data, g.MAX_DATAGRAM_BYTES)
        if body is None or self.left:
            return
        self.counts["datagrams_heard"] += 1
        self.counts["bytes_heard"] += len(data)
        if not self.windows.setdefault(body.sender, Window()).fresh(body.start, body.seq):
            self.counts["again"] += 1
            return
        self.detector.last_heard_at = now
        self.routes[body.sender] = self.routes[body.sender]._replace(seen=source)
        self._take(now, body)
        self._compare(now, body)
        if self.superseded:
            return
        if body.kind == g.PING:
            self._send(now, source, g.ACK, body.sender, body.nonce, self.me)
        elif body.kind == g.ACK:
            self._acked(now, body)
        elif body.kind == g.PING_REQUEST and body.subject in self.routes and len(self.helping) < self._cap():
            self._help(now, body, source)
        elif body.kind == g.NACK:
            self.detector.on_nack(body.nonce, body.sender)

    def hear_stream(self, now: int, data: bytes) -> Optional[bytes]:
        """A frame of a stream; the frame that answers it, sealed, if it wants one."""
        body = self._open(data, g.MAX_FRAME_BYTES)
        if body is None or self.left or self.superseded:
            return None
        self._take(now, body)
        if body.kind == g.PING:
            return self.seal.close(self._body(now, g.ACK, body.sender, body.nonce, self.me))
        if body.kind == g.ACK:
            self._acked(now, body)
        elif body.kind == g.FULL_STATE:
            return self.whole(now, g.FULL_STATE_REPLY)
        elif body.kind == g.FULL_STATE_REPLY:
            self.young = False
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

    def _acked(self, now: int, body: Body) -> None:
        helped = self.helping.pop(body.nonce, None)
        if helped is not None and body.sender == helped.about:
            self._send(now, helped.asker, g.ACK, "", helped.nonce, helped.about)
            return
        self.young = False
        found = self.detector.on_answer(now, body.nonce)
        if found is not None:
            self._report(now, found)

    def _help(self, now: int, body: Body, source: Address) -> None:
        nonce = self.detector.nonce()
        address = self._route(body.subject, now)
        if address is not None:
            self.helping[nonce] = Help(source, body.nonce, body.subject, now)
            self._send(now, address, g.PING, body.subject, nonce)

    def _take(self, now: int, body: Body) -> None:
        """The records, the sender's own word first."""
        roll = self.roll
        self._take_word(now, MemberRecord(body.sender, body.start, False, body.incarnation))
        for said in body.members:
            self._take_word(now, said)
        for said_edge in body.observations:
            if said_edge.observer == self.me:
                continue  # what this member finds it says itself
            edge = Edge(
                said_edge.observer_start,
                said_edge.seq,
                now - max(0, said_edge.age),
                said_edge.observer_incarnation,
                said_edge.hears,
                said_edge.start,
                said_edge.incarnation,
            )
            if roll.merge_edge(now, said_edge.observer, said_edge.subject, edge):
                self._queue(("e", said_edge.observer, said_edge.subject))
        for rider in body.riders:
            self._take_rider(now, rider)
        for one in body.verdicts:
            verdict = Verdict(one.start, one.incarnation, one.side)
            if roll.merge_verdict(one.name, verdict):
                self._queue(("v", one.name))
            elif (
                one.name == self.me
                and (one.start, one.incarnation) == (self.start, self.incarnation)
                and self.me not in roll.minority_verdicts
            ):
                roll.minority_verdicts[self.me] = verdict  # a minority's: it is answered all the same
                roll.needs_update = True

    def _take_word(self, now: int, said: MemberRecord) -> None:
        word = Word(said.start, said.left, said.incarnation)
        if said.name == self.me:
            self._take_own_word(word)
        elif self.roll.merge_word(said.name, word):
            self._queue(("w", said.name))
            if (
                said.name in self.detector.subjects
            ):  # another life, or one that has answered: misses of before tell nothing
                self.detector.subjects[said.name].missed.clear()
                self.detector.subjects[said.name].silent = False

    def _take_own_word(self, word: Word) -> None:
        """Of another life of this name, or of this one as the others have it."""
        if word.start > self.start or (word.start == self.start and word.left and not self.left):
            if self.young:  # an older life had the later clock
                self.start = word.start + 1
                self._say_word()
            else:
                self.superseded = True
        elif word.start == self.start and word.incarnation > self.incarnation:
            self.incarnation = word.incarnation
            self._say_word()

    # ---- everything at once

    def _compare(self, now: int, body: Body) -> None:
        """A peer whose picture stays another one is asked for all of it."""
        if self._digest() != self.digest:
            self.digest, self.digest_since = self._digest(), now
        if body.digest == self.digest:
            self.unlike.pop(body.sender, None)
            return
        since = self.unlike.setdefault(body.sender, now)
        # One that is held for dead and speaks: a cut has healed, and what was found beyond it is told at once.
        awhile = UNLIKE_FOR * self.period if self.roll.states[body.sender] != DEAD else -1.0
        gap = now >= self.exchange_at and now >= self.exchanging_until
        if gap and now - since > awhile and now - self.digest_since > awhile / 2:
            self.unlike.clear()
            self._exchange(now, body.sender)

    def _digest(self) -> int:
        """Of all that has to be alike at all: words, verdicts, and the reports that stand."""
        return self.roll.digest ^ self.roll.silence_digest

    def _exchange(self, now: int, name: str) -> None:
        address = self._route(name, now)
        if address is None:
            return
        self.exchange_at = now + int(EXCHANGE_EVERY * self.period) + self.chance.draw(self.period)
        self.exchanging_until = now + int(EXCHANGE_WITHIN * self.period)
        self.counts["exchanges"] += 1
        self.wishes.append(Wish(name, address, self.whole(now, g.FULL_STATE)))

    def whole(self, now: int, kind: int) -> bytes:
        """All that is known, as one frame."""
        self.seq += 1
        body = Body(kind, self.me, self.start, self.incarnation, self.seq, 0, "", self._digest())
        body.members = [MemberRecord(name, *word) for name, word in self.roll.words.items()]
        body.observations = [
            self._edge_of(observer, subject, edge, now)
            for subject, edges in self.roll.edges.items()
            for observer, edge in edges.items()
        ]
        body.verdicts = [VerdictRecord(name, *verdict) for name, verdict in self.roll.verdicts.items()]
        return self.seal.close(body)

    # ---- ends, and what others may ask

    def leave(self, now: int) -> None:
        """Says that it leaves, to some members at once; nothing is answered any more."""
        if self.left or self.superseded:
            return
        self.left = True
        self._say_word()
        some = self.chance.sample(self._usable(), LEAVING_TOLD)
        for name in [*some, *some]:  # twice: a datagram may be lost
            address = self.routes[name].configured or self.routes[name].seen
            if address is not None:
                self._send(now, address, g.UPDATE, name)

    def shown(self, now: int) -> dict[str, object]:
        """For people: each member's state, life, since when, and who does and does not hear it."""
        rows = []
        for name in self.roll.names:
            standing = self.roll.standing(name)
            state, start, incarnation = (
                self.roll.view()[name]
                if len(self.roll.names) <= 64
                else (self.roll.states[name], *self.roll._life(name))
            )
            rows.append(
                {
                    "name": name,
                    "state": state,
                    "start": start,
                    "incarnation": incarnation,
                    "since_s": (now - self.roll.changed_at[name]) / 1e6
                    if name in self.roll.changed_at
                    else None,
                    "silent_to": sorted(o for o, e in standing.items() if not e.hears),
                    "heard_by": sorted(o for o, e in standing.items() if e.hears),
                }
            )
        return {
            "me": self.me,
            "period_s": self.period / 1e6,
            "health": self.detector.health,
            "side": self.roll.side(),
            "configured": len(self.roll.names),
            "superseded": self.superseded,
            "members": rows,
            "counts": dict(self.counts),
            "detector": dict(self.detector.counts),
        }
