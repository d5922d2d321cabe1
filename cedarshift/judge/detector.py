"""Failure detector: finds out which observed members still answer, and reports changes as edges to the member
table.

Each subject is probed once per period. A probe without a timely answer is retried through helpers, and by a
stream if datagrams were lost before. A subject is silent after three consecutive unanswered probes, plus one
for each step of the observer's health score. An answer counts as of the send time of its probe, however late
it comes.

The health score (0 is healthy) rises when timers are late, when nobody answers, and when helpers are silent.
The clock passed in must run while the process is suspended; after a suspension all probes in flight are
discarded.

No I/O; times are microseconds, passed in, as is the random generator.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.judge.chance import Lcg

# Consecutive unanswered probes; a third of all datagrams lost gives one false silence in a thousand.
MISSES_FOR_SILENCE = 3
HELPERS_PER_PROBE = 3  # members asked for an indirect probe; one may be cut off itself
RETRANSMIT_PERIODS = (0.2, 0.4, 0.7)  # periods after the first ping; the cheapest cure for loss
DIRECT_TIMEOUT_PERIODS = 0.4  # then helpers and streams are tried
NACK_TIMEOUT_PERIODS = 0.3  # periods within which a helper answers, with an ack or a nack
STREAM_AFTER_MISSES = 1  # missed probes before a stream is tried too; a stream costs more than a datagram
LATE_ANSWER_PERIODS = 8  # periods for which late answers are accepted
MIN_PROBE_PERIODS = 0.8  # a probe's minimum time; the next may come early when subjects change
MAX_HEALTH_SCORE = 4  # 0 is healthy
LATE_TIMER_PERIODS = 0.25  # timer delay that shows a slow process
SUSPENDED_PERIODS = 2.0  # timer delay that shows a suspended process
SILENT_HELPER_SHARE = 0.9  # of the helpers asked; above what packet loss explains
EXTRA_SUBJECT_PERIODS = 4  # periods for which a member that missed a random probe is observed


class ProbeRequest(NamedTuple):
    """A message to send. `how`: "ping" (to `to`), "help" (ask `to` to probe `about`) or "stream" (probe `to`
    by a stream).
    """

    how: str
    to: str
    about: str
    nonce: int


class Reachability(NamedTuple):
    """Whether a subject is heard; `at`: when its newest answered probe was sent, or when the silence was
    found (us).
    """

    subject: str
    hears: bool
    at: int


class Probe:
    """A probe in flight."""

    def __init__(self, subject: str, sent: int) -> None:
        self.subject = subject
        self.sent = sent
        self.retransmits = 0
        self.escalated = False  # helpers were asked
        self.helpers: set[str] = set()  # helpers that have not answered
        self.asked = 0  # number of helpers asked


class Subject:
    """An observed member."""

    def __init__(self, since: int) -> None:
        self.heard = since  # send time of the newest answered probe, or when observation began (us)
        self.has_answered = False
        self.missed: list[int] = []  # send times of later probes that timed out (us)
        self.nonce: Optional[int] = None  # of the newest probe
        self.silent = False  # reported as silent


class Detector:
    """The failure detector of one member; `period` in microseconds.

    `usable()`: the other members that may be probed or asked for help. `vouchers(subject)`: those of them
    that are known to hear the subject; they are asked for help first.
    """

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
        self.extra_subjects: dict[str, int] = {}  # member -> until when it is observed (us)
        self.probes: dict[int, Probe] = {}  # by nonce, oldest first
        self.pending_subjects: list[str] = []  # still to be probed in this period
        self.next_at = now
        self.probe_interval = period
        self.health = 0
        self.answered = 0  # in this period
        self.asked = 0
        self.silent_helpers = 0  # in this period, of probes that timed out
        self.helpers_asked = 0
        self.timer_late = False
        self.last_heard_at = now
        self.counts = {"probes": 0, "helps": 0, "streams": 0, "silences": 0, "stops": 0}

    # ---- subjects

    def observe(self, now: int, names: list[str]) -> None:
        """Set the subjects, besides those observed for a while after a missed random probe; the state of
        those that remain is kept.
        """
        wanted = dict.fromkeys([*names, *self.extra_subjects])
        for name in [name for name in self.subjects if name not in wanted]:
            del self.subjects[name]
        for name in self.rng.shuffle([name for name in wanted if name not in self.subjects]):
            self.subjects[name] = Subject(now)

    def heard_at(self, name: str) -> Optional[int]:
        """Return when the newest answered probe to a subject was sent (us); None if it has not answered or is
        silent.
        """
        subject = self.subjects.get(name)
        return subject.heard if subject is not None and subject.has_answered and not subject.silent else None

    # ---- timers

    def due(self) -> int:
        """Return when `step` is to be called next."""
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
        """Return the messages to send and the changes found."""
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
        """Discard all probes after a suspension: answers may have been missed."""
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
        )  # fixed order, so that probes of a subject are one period apart
        others = [name for name in self.usable() if name not in self.subjects]
        if others:
            self.pending_subjects.append(self.rng.pick(others))
        self.probe_interval = max(1, self.period // max(1, len(self.pending_subjects)))

    def _update_health(self, now: int) -> None:
        """Raise the health score for each problem of this period; lower it by one if there was none."""
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
        """Return a nonce that no probe in flight has."""
        while True:
            drawn = self.rng.draw(2**31)
            if drawn and drawn not in self.probes:
                return drawn

    def _finish_probe(self, now: int, name: str, subject: Subject, found: list[Reachability]) -> None:
        """Count a subject's previous probe as missed if it is unanswered; report the subject once silent."""
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
        """Retransmit pings that are due, and ask helpers and streams for probes past their direct timeout."""
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
        """Drop old probes, and start to observe members that missed a random probe."""
        for nonce in [n for n, p in self.probes.items() if now - p.sent > LATE_ANSWER_PERIODS * self.period]:
            del self.probes[nonce]
        for probe in self.probes.values():
            if probe.escalated and probe.subject not in self.subjects and now - probe.sent > self.period:
                self.extra_subjects[probe.subject] = now + EXTRA_SUBJECT_PERIODS * self.period
                self.subjects[probe.subject] = Subject(probe.sent)

    # ---- answers

    def on_answer(self, now: int, nonce: int) -> Optional[Reachability]:
        """Handle an answer to a probe, direct or indirect; return the change if it ends a silence."""
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
        """Note that a helper answered the request, though it had no answer from the subject either."""
        probe = self.probes.get(nonce)
        if probe is not None:
            probe.helpers.discard(helper)
