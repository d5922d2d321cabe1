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

from cedarshift.judge.rng import Lcg

# Constants: unit, then the reason for the size.
MISSES_FOR_SILENCE = (
    3  # probes in a row; of those a third of all datagrams lost leaves one in a thousand, with helpers
)
HELPERS_PER_PROBE = 3  # asked for each probe that is late: one may be cut off itself
RETRANSMIT_PERIODS = (
    0.2,
    0.4,
    0.7,
)  # of a period after its first ping that a probe is tried anew: the cheapest cure for loss
DIRECT_TIMEOUT_PERIODS = 0.4  # of a period for a direct answer; the rest is for helpers and streams
NACK_TIMEOUT_PERIODS = 0.3  # of a period within which a helper answers, either way
STREAM_AFTER_MISSES = 1  # probes missed before a stream is tried as well: a stream costs more than a datagram
LATE_ANSWER_PERIODS = 8  # periods that late answers still count
MIN_PROBE_PERIODS = (
    0.8  # of a period that a probe has at least: where subjects come and go the next one is early
)
MAX_HEALTH_SCORE = 4  # steps of ill health
LATE_TIMER_PERIODS = 0.25  # of a period by which a timer is late that tells of a slow process
SUSPENDED_PERIODS = 2.0  # periods by which it is late that tell of one that was stopped
SILENT_HELPER_SHARE = 0.9  # of the helpers asked: when so many say nothing it is the observer's own ways; loss takes half at most
EXTRA_SUBJECT_PERIODS = 4  # periods that a member which missed a random probe is observed


class ProbeRequest(NamedTuple):
    """What is to be sent. `how`: "ping" (to `to`), "help" (ask `to` to probe `about`), "stream" (probe `to` by a stream)."""

    how: str
    to: str
    about: str
    nonce: int


class Reachability(NamedTuple):
    """Whether a subject is heard; `at`: when the newest answered probe was sent, or when the silence was found."""

    subject: str
    hears: bool
    at: int


class Probe:
    def __init__(self, subject: str, sent: int) -> None:
        self.subject = subject
        self.sent = sent
        self.retransmits = 0  # times that it was tried anew
        self.escalated = False  # helpers were asked
        self.helpers: set[str] = set()  # those that have not said anything
        self.asked = 0  # how many were asked


class Subject:
    def __init__(self, since: int) -> None:
        self.heard = since  # when the newest probe that was answered was sent, or when it became a subject
        self.has_answered = False  # one was
        self.missed: list[int] = []  # when those after it were sent that have run out
        self.nonce: Optional[int] = None  # of its newest probe, while that may run out
        self.silent = False  # told so


class Detector:
    """`usable()`: the members that may be probed and asked for help, `me` not among them. `vouchers(subject)`: those of them
    that are known to hear it; they are asked first."""

    def __init__(
        self,
        period: int,
        rng: Lcg,
        now: int,
        usable: Callable[[], list[str]],
        vouchers: Callable[[str], list[str]] = lambda subject: [],
    ) -> None:
        self.period = period
        self.rng = rng
        self.usable = usable
        self.vouchers = vouchers
        self.subjects: dict[str, Subject] = {}
        self.extra_subjects: dict[
            str, int
        ] = {}  # members beyond those, missed by chance -> until when observed
        self.probes: dict[int, Probe] = {}  # by nonce, oldest first
        self.pending_subjects: list[str] = []  # whom to probe still in this period
        self.next_at = now
        self.probe_interval = period
        self.health = 0
        self.answered = 0  # in this round
        self.asked = 0
        self.silent_helpers = 0  # in this round, of those asked for probes that ran out
        self.helpers_asked = 0
        self.timer_late = False
        self.last_heard_at = now
        self.counts = {"probes": 0, "helps": 0, "streams": 0, "silences": 0, "stops": 0}

    # ---- whom

    def observe(self, now: int, names: list[str]) -> None:
        """The subjects from now on; what is known of those that stay is kept."""
        wanted = dict.fromkeys([*names, *self.extra_subjects])
        for name in [name for name in self.subjects if name not in wanted]:
            del self.subjects[name]
        for name in self.rng.shuffle([name for name in wanted if name not in self.subjects]):
            self.subjects[name] = Subject(now)

    def heard_at(self, name: str) -> Optional[int]:
        """When the newest answered probe to a subject was sent; None where none was since it is one."""
        subject = self.subjects.get(name)
        return subject.heard if subject is not None and subject.has_answered and not subject.silent else None

    # ---- time

    def due(self) -> int:
        return min(
            [
                self.next_at,
                *(
                    p.sent + int(RETRANSMIT_PERIODS[p.retransmits] * self.period)
                    for p in self.probes.values()
                    if p.retransmits < len(RETRANSMIT_PERIODS)
                ),
            ]
        )

    def step(self, now: int) -> tuple[list[ProbeRequest], list[Reachability]]:
        asks: list[ProbeRequest] = []
        found: list[Reachability] = []
        lateness = now - self.next_at
        if lateness > SUSPENDED_PERIODS * self.period:
            self._on_resume(now)
        elif lateness > LATE_TIMER_PERIODS * self.period:
            self.timer_late = True
        while self.next_at <= now:
            if not self.pending_subjects:
                self._begin_round(now)
            if self.pending_subjects:
                self._probe(now, self.pending_subjects.pop(), asks, found)
            self.next_at += self.probe_interval
        self._escalate(now, asks)
        self._expire(now)
        return asks, found

    def _on_resume(self, now: int) -> None:
        """The process stood still: what it did not hear meanwhile is its own fault."""
        self.counts["stops"] += 1
        self.health = MAX_HEALTH_SCORE
        self.probes.clear()
        for subject in self.subjects.values():
            subject.missed.clear()
            subject.nonce = None
        self.next_at = now
        self.last_heard_at = now

    def _begin_round(self, now: int) -> None:
        self._update_health(now)
        self.extra_subjects = {name: until for name, until in self.extra_subjects.items() if now < until}
        self.pending_subjects = list(
            reversed(self.subjects)
        )  # always in the same order, so that a period lies between two probes
        others = [name for name in self.usable() if name not in self.subjects]
        if others:
            self.pending_subjects.append(self.rng.pick(others))
        self.probe_interval = max(1, self.period // max(1, len(self.pending_subjects)))

    def _update_health(self, now: int) -> None:
        """Slower to judge the worse it fares; a step better for each period in which nothing was amiss."""
        unanswered = self.asked >= 2 and not self.answered and now - self.last_heard_at > self.period
        helpers_silent = (
            self.helpers_asked > HELPERS_PER_PROBE
            and self.silent_helpers >= SILENT_HELPER_SHARE * self.helpers_asked
        )
        problems = self.timer_late + unanswered + helpers_silent
        self.health = min(MAX_HEALTH_SCORE, self.health + problems) if problems else max(0, self.health - 1)
        self.timer_late, self.asked, self.answered, self.silent_helpers, self.helpers_asked = (
            False,
            0,
            0,
            0,
            0,
        )

    # ---- probes

    def _probe(self, now: int, name: str, asks: list[ProbeRequest], found: list[Reachability]) -> None:
        subject = self.subjects.get(name)
        if subject is not None:
            self._finish_probe(now, name, subject, found)
        nonce = self.nonce()
        self.probes[nonce] = Probe(name, now)
        if subject is not None:
            subject.nonce = nonce
        self.asked += 1
        self.counts["probes"] += 1
        asks.append(ProbeRequest("ping", name, name, nonce))

    def nonce(self) -> int:
        while True:
            drawn = self.rng.draw(2**31)
            if drawn and drawn not in self.probes:
                return drawn

    def _finish_probe(self, now: int, name: str, subject: Subject, found: list[Reachability]) -> None:
        """The probe of a period ago has had its time."""
        probe = self.probes.get(subject.nonce) if subject.nonce is not None else None
        if probe is None or probe.sent <= subject.heard or now - probe.sent < MIN_PROBE_PERIODS * self.period:
            return
        subject.missed.append(probe.sent)
        self.silent_helpers += len(probe.helpers)
        self.helpers_asked += probe.asked
        if len(subject.missed) >= MISSES_FOR_SILENCE + self.health and not subject.silent:
            subject.silent = True
            self.counts["silences"] += 1
            found.append(Reachability(name, False, now))

    def _escalate(self, now: int, asks: list[ProbeRequest]) -> None:
        for nonce, probe in self.probes.items():
            if probe.retransmits < len(RETRANSMIT_PERIODS) and now >= probe.sent + int(
                RETRANSMIT_PERIODS[probe.retransmits] * self.period
            ):
                probe.retransmits += 1
                asks.append(ProbeRequest("ping", probe.subject, probe.subject, nonce))
            if probe.escalated or now < probe.sent + int(DIRECT_TIMEOUT_PERIODS * self.period):
                continue
            probe.escalated = True
            subject = self.subjects.get(probe.subject)
            helpers = self.rng.sample(self.vouchers(probe.subject), HELPERS_PER_PROBE - 1)
            helpers += self.rng.sample(
                [name for name in self.usable() if name != probe.subject and name not in helpers],
                HELPERS_PER_PROBE - len(helpers),
            )
            probe.asked = len(helpers)
            for helper in helpers:
                probe.helpers.add(helper)
                asks.append(ProbeRequest("help", helper, probe.subject, nonce))
            self.counts["helps"] += len(helpers)
            if subject is not None and len(subject.missed) >= STREAM_AFTER_MISSES:
                self.counts["streams"] += 1
                asks.append(ProbeRequest("stream", probe.subject, probe.subject, nonce))

    def _expire(self, now: int) -> None:
        """Probes run out; a member outside of the subjects that missed one is observed for a while."""
        for nonce in [n for n, p in self.probes.items() if now - p.sent > LATE_ANSWER_PERIODS * self.period]:
            del self.probes[nonce]
        for probe in self.probes.values():
            if probe.escalated and probe.subject not in self.subjects and now - probe.sent > self.period:
                self.extra_subjects[probe.subject] = now + EXTRA_SUBJECT_PERIODS * self.period
                self.subjects[probe.subject] = Subject(probe.sent)

    # ---- answers

    def on_answer(self, now: int, nonce: int) -> Optional[Reachability]:
        """An answer, by whichever way; what it changes, if it ends a silence."""
        probe = self.probes.pop(nonce, None)
        self.last_heard_at = now
        if probe is None:
            return None
        self.answered += 1
        subject = self.subjects.get(probe.subject)
        if subject is None:
            return None
        subject.heard, subject.has_answered = max(subject.heard, probe.sent), True
        subject.missed = [sent for sent in subject.missed if sent > probe.sent]
        if subject.silent and not subject.missed:
            subject.silent = False
            return Reachability(probe.subject, True, probe.sent)
        return None

    def on_nack(self, nonce: int, helper: str) -> None:
        """A helper says that it had no answer either: it is well, at least."""
        probe = self.probes.get(nonce)
        if probe is not None:
            probe.helpers.discard(helper)
