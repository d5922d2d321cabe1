"""Fleet-wide circuit breaker for sick endpoints: when one is probed, by whom, and how it recovers. No I/O.

At sites without slices each proxy picks among all endpoints and avoids those that failed it. Unsupervised, a
thousand proxies would probe a sick endpoint a thousand times each few seconds, and all return at its first
good answer. Here an endpoint that enough proxies shun is closed for all; one pilot lets one proxy at a time
probe it, and then its share is doubled step by step.

That pilot is chosen by rendezvous hashing among the live ones that have proxies. While pilots disagree on who
lives, an endpoint may be probed twice; this does no harm. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Iterable, NamedTuple, Optional

from cedarshift.judge.chance import Lcg

MIN_SHUN_SHARE = 0.2  # of the fleet's proxies; fewer may have a network problem of their own
MIN_SHUNNING_PROXIES = 2
PROBE_INTERVAL_US = 1_000_000  # between the fleet's probes of an endpoint; doubled with each strike
MAX_PROBE_INTERVAL_US = 8_000_000
PROBE_TIMEOUT_US = 3_000_000  # to deliver, make and report a probe
PROBES_TO_RAMP = 3  # consecutive good probes
RAMP_INITIAL_SHARE = 1 / 16
RAMP_INTERVAL_US = 1_000_000  # then the share is doubled
MIN_RAMP_TRIES = 4  # ops in a ramp step before its failures count
MAX_RAMP_ABORT_SHARE = 0.4  # of the ops in a ramp step; with more the endpoint is closed again
STRIKE_MEMORY_US = 60_000_000  # time for which a strike counts after recovery
MAX_REPORTED_TRIALS = 8  # also the most shunned endpoints that a report names


@lru_cache(maxsize=1 << 16)
def tag_of(endpoint: str) -> int:
    """Return a 32-bit hash of an endpoint's name, as exchanged between pilots."""
    return int.from_bytes(blake2b(endpoint.encode(), digest_size=4).digest(), "big")


class TrialReport(NamedTuple):
    """What a pilot tells the others: its number of proxies, how many of them shun an endpoint (by tag), and
    share and strikes of its own trials.
    """

    proxies: int
    shuns: dict[int, int]
    trials: dict[int, tuple[float, int]]


@dataclass
class Trial:
    """A trial of one endpoint, from its closing until it is open to all again. Times are microseconds.

    `share`: the part of its usual load that is admitted; 0 while it is closed and probed. `strikes`: how
    often it was closed again during or soon after a trial. `next_at`: when the next probe or ramp step is
    due. `prober`: the proxy that was asked to probe at `asked_at`. `tries` and `failed`: ops in this ramp
    step.
    """

    share: float
    strikes: int
    since: int
    next_at: int
    good_probes: int = 0
    prober: str = ""
    asked_at: int = 0
    tries: int = 0
    failed: int = 0


class Trials:
    """The trials of one pilot, `me`; `seed` is for its random generator."""

    def __init__(self, me: str, seed: int) -> None:
        self.me = me
        self.rng = Lcg(seed)
        self.shuns: dict[str, frozenset[str]] = {}  # by proxy
        self.reports: dict[str, TrialReport] = {}  # by other pilot
        self.own_trials: dict[str, Trial] = {}
        self.strikes_until: dict[str, tuple[int, int]] = {}  # endpoint -> (strikes, until when they count)

    # ---- input

    def on_proxy(self, proxy: str, shunned: Iterable[str]) -> None:
        """Set the endpoints that a proxy shuns."""
        self.shuns[proxy] = frozenset(shunned)

    def on_left(self, proxy: str) -> None:
        """Forget a proxy that has left."""
        self.shuns.pop(proxy, None)

    def on_report(self, pilot: str, report: TrialReport) -> None:
        """Take in another pilot's report."""
        self.reports[pilot] = report

    def on_met(self, now: int, proxy: str, endpoint: str, tries: int, aborted: int) -> None:
        """Count a proxy's ops at an endpoint on trial. While it is closed, only its prober's ops count, as
        those of other proxies began earlier.
        """
        trial = self.own_trials.get(endpoint)
        if trial is None or not tries:
            return
        if trial.share:
            trial.tries += tries
            trial.failed += aborted
        elif proxy == trial.prober:
            trial.prober = ""
            trial.good_probes = 0 if aborted else trial.good_probes + 1

    # ---- trials

    def owner(self, endpoint: str, living: Iterable[str]) -> str:
        """Return the pilot that runs the trial of an endpoint."""
        candidates = [
            name
            for name in living
            if (len(self.shuns) if name == self.me else name in self.reports and self.reports[name].proxies)
        ]
        return max(
            candidates,
            key=lambda name: (blake2b(f"{endpoint}/{name}".encode(), digest_size=8).digest(), name),
            default=self.me,
        )

    def step(self, now: int, endpoints: Iterable[str], living: Iterable[str]) -> dict[str, float]:
        """Return the shares of the endpoints on trial at any pilot, 0 if closed; others are not restricted.
        `living`: the live pilots.
        """
        living_pilots = set(living) | {self.me}
        found: dict[str, float] = {}
        counts = self._shunned(living_pilots)
        proxies = len(self.shuns) + sum(
            report.proxies for name, report in self.reports.items() if name in living_pilots
        )
        threshold = min(max(MIN_SHUNNING_PROXIES, MIN_SHUN_SHARE * proxies), max(1, proxies))
        listed = list(endpoints)
        self.own_trials = {
            endpoint: self.own_trials[endpoint] for endpoint in listed if endpoint in self.own_trials
        }
        remote_tags = {
            tag for name, report in self.reports.items() if name in living_pilots for tag in report.trials
        }
        for endpoint in listed:
            tag = tag_of(endpoint)
            if tag not in counts and tag not in remote_tags and endpoint not in self.own_trials:
                continue  # nothing known against it
            owner = self.owner(endpoint, living_pilots)
            if owner != self.me:
                self.own_trials.pop(endpoint, None)
                remote = self.reports[owner].trials.get(tag)
                if remote is not None:
                    found[endpoint] = remote[0]
                continue
            trial = self.own_trials.get(endpoint)
            if trial is None and counts.get(tag, 0) >= threshold:
                self.own_trials[endpoint] = trial = self._close_endpoint(
                    now, endpoint, self._inherited_strikes(tag)
                )
            if trial is not None:
                self._advance(now, endpoint, trial)
                if endpoint in self.own_trials:
                    found[endpoint] = self.own_trials[endpoint].share
        return found

    def _own_shuns(self) -> dict[int, int]:
        """Return how many of this pilot's proxies shun an endpoint, by tag."""
        return dict(Counter(tag_of(endpoint) for shunned in self.shuns.values() for endpoint in shunned))

    def _shunned(self, living_pilots: set[str]) -> dict[int, int]:
        """Return how many proxies of all live pilots shun an endpoint, by tag."""
        counts = self._own_shuns()
        for name, report in self.reports.items():
            for tag, count in report.shuns.items() if name in living_pilots else ():
                counts[tag] = counts.get(tag, 0) + count
        return counts

    def _inherited_strikes(self, tag: int) -> int:
        """Return the strikes that a former owner of the trial reported."""
        return max(
            (report.trials[tag][1] for report in self.reports.values() if tag in report.trials), default=0
        )

    def _close_endpoint(self, now: int, endpoint: str, strikes: int) -> Trial:
        previous, until = self.strikes_until.get(endpoint, (0, 0))
        strikes = max(strikes, previous + 1 if now < until else 0)
        self.strikes_until[endpoint] = (strikes, now + STRIKE_MEMORY_US)
        return Trial(0.0, strikes, now, now + self._probe_interval(strikes))

    @staticmethod
    def _probe_interval(strikes: int) -> int:
        return int(min(MAX_PROBE_INTERVAL_US, PROBE_INTERVAL_US * 2 ** min(strikes, 10)))

    def _advance(self, now: int, endpoint: str, trial: Trial) -> None:
        if trial.share:
            self._ramp(now, endpoint, trial)
        elif trial.good_probes >= PROBES_TO_RAMP:
            trial.share, trial.next_at, trial.tries, trial.failed = (
                RAMP_INITIAL_SHARE,
                now + RAMP_INTERVAL_US,
                0,
                0,
            )
        elif trial.prober and now - trial.asked_at >= PROBE_TIMEOUT_US:
            # No result: the proxy had no op to try it with, or has left.
            trial.prober, trial.good_probes = "", 0

    def _ramp(self, now: int, endpoint: str, trial: Trial) -> None:
        if trial.tries >= MIN_RAMP_TRIES and trial.failed > MAX_RAMP_ABORT_SHARE * trial.tries:
            self.own_trials[endpoint] = self._close_endpoint(now, endpoint, trial.strikes)
        elif now >= trial.next_at:
            trial.share, trial.next_at, trial.tries, trial.failed = (
                2 * trial.share,
                now + RAMP_INTERVAL_US,
                0,
                0,
            )
            if trial.share >= 1.0:
                del self.own_trials[endpoint]
                self.strikes_until[endpoint] = (trial.strikes, now + STRIKE_MEMORY_US)

    def probe(self, now: int, proxy: str) -> Optional[str]:
        """Return a closed endpoint that this proxy is to probe once now, if there is one.

        Called for each heartbeat of a proxy. The prober is picked at random, with a chance of one in the
        number of proxies at each call; once a probe is overdue by PROBE_INTERVAL_US, the next caller gets it.
        """
        for endpoint, trial in self.own_trials.items():
            if (
                not trial.share
                and not trial.prober
                and now >= trial.next_at
                and (self.rng.draw(max(1, len(self.shuns))) == 0 or now >= trial.next_at + PROBE_INTERVAL_US)
            ):
                trial.prober, trial.asked_at, trial.next_at = (
                    proxy,
                    now,
                    now + self._probe_interval(trial.strikes),
                )
                return endpoint
        return None

    def report(self) -> TrialReport:
        """Return what the other pilots need to know."""
        counts = self._own_shuns()
        largest = sorted(counts, key=lambda tag: (-counts[tag], tag))[:MAX_REPORTED_TRIALS]
        own_trials = sorted(
            self.own_trials, key=lambda endpoint: (self.own_trials[endpoint].since, endpoint)
        )[:MAX_REPORTED_TRIALS]
        return TrialReport(
            len(self.shuns),
            {tag: counts[tag] for tag in largest},
            {
                tag_of(endpoint): (self.own_trials[endpoint].share, self.own_trials[endpoint].strikes)
                for endpoint in own_trials
            },
        )
