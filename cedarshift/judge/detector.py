"""Finds out which of the members that it observes still answer; what it finds goes to the roll as edges.

Each period every subject gets one probe, spread over the period. One that is not answered in time is tried again through
helpers, and by a stream where datagrams were lost before. Three probes in a row without an answer, and a period more for
each step of the observer's own ill health, are a silence. An answer counts as of when its probe was sent, however late it
comes: who is slow answers all the same.

Own health worsens when the observer's timers are late, when nobody at all answers, and when helpers say nothing; it is told
by a clock that runs while the process is stopped. After a stop nothing that was under way counts.

No I/O; times are whole microseconds passed in, chance is handed in.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.judge.chance import Lcg

# Constants: unit, then the reason for the size.
MISSES = 3  # probes in a row; of those a third of all datagrams lost leaves one in a thousand, with helpers
HELPERS = 3  # asked for each probe that is late: one may be cut off itself
PINGS_AT = (
    0.2,
    0.4,
    0.7,
)  # of a period after its first ping that a probe is tried anew: the cheapest cure for loss
DIRECT_PART = 0.4  # of a period for a direct answer; the rest is for helpers and streams
NACK_PART = 0.3  # of a period within which a helper answers, either way
STREAM_AFTER = 1  # probes missed before a stream is tried as well: a stream costs more than a datagram
ANSWERS_FOR = 8  # periods that late answers still count
PROBE_PART = 0.8  # of a period that a probe has at least: where subjects come and go the next one is early
HEALTH_MOST = 4  # steps of ill health
LATE_PART = 0.25  # of a period by which a timer is late that tells of a slow process
STOPPED = 2.0  # periods by which it is late that tell of one that was stopped
QUIET_PART = 0.9  # of the helpers asked: when so many say nothing it is the observer's own ways; loss takes half at most
GUEST_FOR = 4  # periods that a member which missed a random probe is observed


class Ask(NamedTuple):
    """What is to be sent. `how`: "ping" (to `to`), "help" (ask `to` to probe `about`), "stream" (probe `to` by a stream)."""

    how: str
    to: str
    about: str
    nonce: int


class Found(NamedTuple):
    """Whether a subject is heard; `at`: when the newest answered probe was sent, or when the silence was found."""

    subject: str
    hears: bool
    at: int


class Probe:
    def __init__(self, subject: str, sent: int) -> None:
        self.subject = subject
        self.sent = sent
        self.again = 0  # times that it was tried anew
        self.pressed = False  # helpers were asked
        self.helpers: set[str] = set()  # those that have not said anything
        self.asked = 0  # how many were asked


class Subject:
    def __init__(self, since: int) -> None:
        self.heard = since  # when the newest probe that was answered was sent, or when it became a subject
        self.ever = False  # one was
        self.missed: list[int] = []  # when those after it were sent that have run out
        self.nonce: Optional[int] = None  # of its newest probe, while that may run out
        self.silent = False  # told so


class Detector:
    """`usable()`: the members that may be probed and asked for help, `me` not among them. `vouchers(subject)`: those of them
    that are known to hear it; they are asked first."""

    def __init__(
        self,
        period: int,
        chance: Lcg,
        now: int,
        usable: Callable[[], list[str]],
        vouchers: Callable[[str], list[str]] = lambda subject: [],
    ) -> None:
        self.period = period
        self.chance = chance
        self.usable = usable
        self.vouchers = vouchers
        self.subjects: dict[str, Subject] = {}
        self.guests: dict[str, int] = {}  # members beyond those, missed by chance -> until when observed
        self.probes: dict[int, Probe] = {}  # by nonce, oldest first
        self.round: list[str] = []  # whom to probe still in this period
        self.next_at = now
        self.gap = period
        self.health = 0
        self.answered = 0  # in this round
        self.asked = 0
        self.quiet_helpers = 0  # in this round, of those asked for probes that ran out
        self.helpers_asked = 0
        self.late = False
        self.heard_any = now
        self.counts = {"probes": 0, "helps": 0, "streams": 0, "silences": 0, "stops": 0}

    # ---- whom

    def observe(self, now: int, names: list[str]) -> None:
        """The subjects from now on; what is known of those that stay is kept."""
        wanted = dict.fromkeys([*names, *self.guests])
        for name in [name for name in self.subjects if name not in wanted]:
            del self.subjects[name]
        for name in self.chance.shuffle([name for name in wanted if name not in self.subjects]):
            self.subjects[name] = Subject(now)

    def heard_at(self, name: str) -> Optional[int]:
        """When the newest answered probe to a subject was sent; None where none was since it is one."""
        subject = self.subjects.get(name)
        return subject.heard if subject is not None and subject.ever and not subject.silent else None

    # ---- time

    def due(self) -> int:
        return min(
            [
                self.next_at,
                *(
                    p.sent + int(PINGS_AT[p.again] * self.period)
                    for p in self.probes.values()
                    if p.again < len(PINGS_AT)
                ),
            ]
        )

    def step(self, now: int) -> tuple[list[Ask], list[Found]]:
        asks: list[Ask] = []
        found: list[Found] = []
        lateness = now - self.next_at
        if lateness > STOPPED * self.period:
            self._woke(now)
        elif lateness > LATE_PART * self.period:
            self.late = True
        while self.next_at <= now:
            if not self.round:
                self._begin_round(now)
            if self.round:
                self._probe(now, self.round.pop(), asks, found)
            self.next_at += self.gap
        self._press(now, asks)
        self._forget(now)
        return asks, found

    def _woke(self, now: int) -> None:
        """The process stood still: what it did not hear meanwhile is its own fault."""
        self.counts["stops"] += 1
        self.health = HEALTH_MOST
        self.probes.clear()
        for subject in self.subjects.values():
            subject.missed.clear()
            subject.nonce = None
        self.next_at = now
        self.heard_any = now

    def _begin_round(self, now: int) -> None:
        self._judge_self(now)
        self.guests = {name: until for name, until in self.guests.items() if now < until}
        self.round = list(
            reversed(self.subjects)
        )  # always in the same order, so that a period lies between two probes
        others = [name for name in self.usable() if name not in self.subjects]
        if others:
            self.round.append(self.chance.pick(others))
        self.gap = max(1, self.period // max(1, len(self.round)))

    def _judge_self(self, now: int) -> None:
        """Slower to judge the worse it fares; a step better for each period in which nothing was amiss."""
        deaf = self.asked >= 2 and not self.answered and now - self.heard_any > self.period
        unhelped = self.helpers_asked > HELPERS and self.quiet_helpers >= QUIET_PART * self.helpers_asked
        amiss = self.late + deaf + unhelped
        self.health = min(HEALTH_MOST, self.health + amiss) if amiss else max(0, self.health - 1)
        self.late, self.asked, self.answered, self.quiet_helpers, self.helpers_asked = False, 0, 0, 0, 0

    # ---- probes

    def _probe(self, now: int, name: str, asks: list[Ask], found: list[Found]) -> None:
        subject = self.subjects.get(name)
        if subject is not None:
            self._close(now, name, subject, found)
        nonce = self.nonce()
        self.probes[nonce] = Probe(name, now)
        if subject is not None:
            subject.nonce = nonce
        self.asked += 1
        self.counts["probes"] += 1
        asks.append(Ask("ping", name, name, nonce))

    def nonce(self) -> int:
        while True:
            drawn = self.chance.draw(2**31)
            if drawn and drawn not in self.probes:
                return drawn

    def _close(self, now: int, name: str, subject: Subject, found: list[Found]) -> None:
        """The probe of a period ago has had its time."""
        probe = self.probes.get(subject.nonce) if subject.nonce is not None else None
        if probe is None or probe.sent <= subject.heard or now - probe.sent < PROBE_PART * self.period:
            return
        subject.missed.append(probe.sent)
        self.quiet_helpers += len(probe.helpers)
        self.helpers_asked += probe.asked
        if len(subject.missed) >= MISSES + self.health and not subject.silent:
            subject.silent = True
            self.counts["silences"] += 1
            found.append(Found(name, False, now))

    def _press(self, now: int, asks: list[Ask]) -> None:
        for nonce, probe in self.probes.items():
            if probe.again < len(PINGS_AT) and now >= probe.sent + int(PINGS_AT[probe.again] * self.period):
                probe.again += 1
                asks.append(Ask("ping", probe.subject, probe.subject, nonce))
            if probe.pressed or now < probe.sent + int(DIRECT_PART * self.period):
                continue
            probe.pressed = True
            subject = self.subjects.get(probe.subject)
            helpers = self.chance.sample(self.vouchers(probe.subject), HELPERS - 1)
            helpers += self.chance.sample(
                [name for name in self.usable() if name != probe.subject and name not in helpers],
                HELPERS - len(helpers),
            )
            probe.asked = len(helpers)
            for helper in helpers:
                probe.helpers.add(helper)
                asks.append(Ask("help", helper, probe.subject, nonce))
            self.counts["helps"] += len(helpers)
            if subject is not None and len(subject.missed) >= STREAM_AFTER:
                self.counts["streams"] += 1
                asks.append(Ask("stream", probe.subject, probe.subject, nonce))

    def _forget(self, now: int) -> None:
        """Probes run out; a member outside of the subjects that missed one is observed for a while."""
        for nonce in [n for n, p in self.probes.items() if now - p.sent > ANSWERS_FOR * self.period]:
            del self.probes[nonce]
        for probe in self.probes.values():
            if probe.pressed and probe.subject not in self.subjects and now - probe.sent > self.period:
                self.guests[probe.subject] = now + GUEST_FOR * self.period
                self.subjects[probe.subject] = Subject(probe.sent)

    # ---- answers

    def answered_by(self, now: int, nonce: int) -> Optional[Found]:
        """An answer, by whichever way; what it changes, if it ends a silence."""
        probe = self.probes.pop(nonce, None)
        self.heard_any = now
        if probe is None:
            return None
        self.answered += 1
        subject = self.subjects.get(probe.subject)
        if subject is None:
            return None
        subject.heard, subject.ever = max(subject.heard, probe.sent), True
        subject.missed = [sent for sent in subject.missed if sent > probe.sent]
        if subject.silent and not subject.missed:
            subject.silent = False
            return Found(probe.subject, True, probe.sent)
        return None

    def declined_by(self, nonce: int, helper: str) -> None:
        """A helper says that it had no answer either: it is well, at least."""
        probe = self.probes.get(nonce)
        if probe is not None:
            probe.helpers.discard(helper)
