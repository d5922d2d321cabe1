"""Admission control of a proxy: applies its pilots' overload policies and counts its load for them. No I/O.

Without a pilot that asks for loads every op is admitted and nothing is counted. A policy expires after a few
seconds, so a proxy that has lost its pilots admits everything again. All times are microseconds.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Optional

from cedarshift.agent.thinning import Thinning
from cedarshift.codec import messages as m
from cedarshift.judge.overload import MAX_REPEAT_RATIO, REJECT_WAIT_US, shares

POLICY_TTL_US = 3_000_000
MAX_SAVED_REPEATS = 10.0  # repeats; bounds the burst of repeats after a quiet period
LATENCY_TTL_US = 3_000_000
MIN_LATENCY_SAMPLES = 3  # acks before the latency estimate is used
LATENCY_EWMA_WEIGHT = 0.2  # of the newest ack
MIN_REMAINING_SHARE = 0.8  # an op is rejected as late with less time left than this share of the latency

# The counters per op type, in order; "took" is the total latency of the acked ops in us.
LOAD_COUNTERS = (
    "fresh",
    "repeats",
    "let_in",
    "acked",
    "aborted",
    "full",
    "took",
)


class Rejection(NamedTuple):
    """Why an op was rejected and whether to retry it.

    `again` is "no", "later" (after `wait` us) or "elsewhere" (at another proxy).
    """

    reason: str
    again: str
    wait: int


class AckLatency:
    """Moving average of an endpoint's ack latency, in us."""

    def __init__(self) -> None:
        self.took = 0.0  # the average
        self.count = 0  # acks in the average
        self.at = 0  # when the newest ack was recorded

    def record(self, now: int, took: int) -> None:
        """Adds an ack; the average starts anew if the last one is older than LATENCY_TTL_US."""
        if now - self.at > LATENCY_TTL_US:
            self.count = 0
        self.took = took if not self.count else self.took + LATENCY_EWMA_WEIGHT * (took - self.took)
        self.count += 1
        self.at = now


class ActivePolicy(NamedTuple):
    """A pilot's policy as received."""

    at: int  # us, when it was received
    policy: m.AdmissionPolicy
    fair: list[float]  # by op type, the factor on the admitted share for this proxy
    own: dict[str, float]  # endpoint -> its admitted share, where that differs from the policy's


class ProxyGate:
    """Decides which ops a proxy admits. `rng` returns random numbers in [0, 1)."""

    def __init__(self, rng: Callable[[], float]) -> None:
        self.rng = rng
        self.counting_since: dict[str, int] = {}  # pilot that asks for loads -> start of the current counts
        self.policies: dict[str, ActivePolicy] = {}
        self.counters: dict[str, dict[int, list[int]]] = {}  # by pilot and op type, see LOAD_COUNTERS
        self.repeats = MAX_SAVED_REPEATS  # credit for repeats, earned by fresh ops
        self.admitted = Thinning()
        self.ack_latencies: dict[str, AckLatency] = {}

    # ---- pilots

    def on_join(self, now: int, pilot: str, counts: bool) -> None:
        """Resets the state of a pilot; `counts` is whether it asks for loads."""
        self.counting_since.pop(pilot, None)
        self.policies.pop(pilot, None)
        self.counters.pop(pilot, None)
        if counts:
            self.counting_since[pilot] = now

    def on_policy(self, now: int, pilot: str, policy: m.AdmissionPolicy, fair: list[float]) -> None:
        """Replaces a pilot's policy. It is ignored unless its order lists each op type of its mix once."""
        if sorted(policy.order) != list(range(len(policy.mix))):
            return
        self.policies[pilot] = ActivePolicy(
            now, policy, fair, {own.endpoint: own.share for own in policy.own}
        )
        if policy.state == "calm":
            self.admitted = Thinning()

    def active_policy(self, now: int, pilot: str) -> Optional[m.AdmissionPolicy]:
        """Returns a pilot's policy if it has not expired and limits anything."""
        active = self.policies.get(pilot)
        return (
            active.policy
            if active is not None and now - active.at <= POLICY_TTL_US and active.policy.state != "calm"
            else None
        )

    def has_active_policy(self, now: int, pilot: str) -> bool:
        """Returns whether a pilot's policy limits anything now."""
        return self.active_policy(now, pilot) is not None

    def take_loads(self, now: int, pilot: str) -> list[m.OpTypeStats]:
        """Returns the counts to report to a pilot and resets them; none if it does not ask for loads."""
        if pilot not in self.counting_since:
            return []
        span, self.counting_since[pilot] = now - self.counting_since[pilot], now
        loads = []
        for op_type, counts in sorted(self.counters.pop(pilot, {}).items()):
            fresh, repeats, admitted, acked, aborted, full, took = counts
            loads.append(
                m.OpTypeStats(
                    op_type, fresh, repeats, admitted, acked, aborted, full, took // max(1, acked), span
                )
            )
        return loads

    # ---- ops

    def _counters(self, pilot: str, op_type: int) -> Optional[list[int]]:
        """Returns the counters of an op type, or None if the pilot does not ask for loads."""
        if pilot not in self.counting_since:
            return None
        return self.counters.setdefault(pilot, {}).setdefault(op_type, [0] * len(LOAD_COUNTERS))

    def on_op_received(self, now: int, pilot: str, op_type: int, fresh: bool) -> None:
        """Counts an incoming op. `fresh` is whether it is no repeat; fresh ops earn credit for repeats."""
        counts = self._counters(pilot, op_type)
        if counts is not None:
            counts[0 if fresh else 1] += 1
            if fresh:
                policy = self.active_policy(now, pilot)
                self.repeats = min(
                    MAX_SAVED_REPEATS,
                    self.repeats + (policy.again if policy is not None else MAX_REPEAT_RATIO),
                )

    def admit(
        self, now: int, pilot: str, endpoint: str, op_type: int, left: int, fresh: bool
    ) -> Optional[Rejection]:
        """Returns None if an op may be sent, else the rejection.

        `left` is the rest of its op timeout (us).
        """
        counts = self._counters(pilot, op_type)
        if counts is None:
            return None
        policy = self.active_policy(now, pilot)
        if self._too_late(now, endpoint, left):
            return self._reject("late", "no", policy)
        if not fresh:  # repeats are limited by their own credit instead of the policy
            if self.repeats < 1.0:
                return self._reject("repeats", "no", policy)
            self.repeats -= 1.0
        elif policy is not None and not self._passes_limit(pilot, endpoint, op_type, policy):
            return self._reject("shed", "later", policy)
        counts[2] += 1
        return None

    def _too_late(self, now: int, endpoint: str, left: int) -> bool:
        """Returns whether the endpoint's ack would likely arrive after the op timeout."""
        latency = self.ack_latencies.get(endpoint)
        return (
            latency is not None
            and latency.count >= MIN_LATENCY_SAMPLES
            and now - latency.at <= LATENCY_TTL_US
            and left < MIN_REMAINING_SHARE * latency.took
        )

    def _passes_limit(self, pilot: str, endpoint: str, op_type: int, policy: m.AdmissionPolicy) -> bool:
        """Returns whether an op is within the share of its op type that the policy admits."""
        if op_type >= len(policy.mix):
            return True
        active = self.policies[pilot]
        share = shares(active.own.get(endpoint, policy.share), policy.order, policy.mix)[op_type]
        fair = active.fair
        if op_type < len(fair):
            share = min(1.0, share * fair[op_type])
        if share >= 1.0:
            return True
        return self.admitted.passes((pilot, endpoint, op_type), share, self.rng())

    def _reject(self, reason: str, again: str, policy: Optional[m.AdmissionPolicy]) -> Rejection:
        return Rejection(reason, again, self.retry_delay(policy))

    def retry_delay(self, policy: Optional[m.AdmissionPolicy] = None) -> int:
        """Returns a jittered delay (us) after which a rejected client may retry."""
        return int((policy.wait if policy is not None else REJECT_WAIT_US["calm"]) * (0.5 + self.rng()))

    def on_try_finished(
        self, now: int, pilot: str, endpoint: str, op_type: int, outcome: str, took: int
    ) -> None:
        """Counts the outcome of an admitted try: "acked", "aborted" or "full" (no room at the endpoint)."""
        counts = self._counters(pilot, op_type)
        if counts is None:
            return
        counts[LOAD_COUNTERS.index(outcome)] += 1
        if outcome == "acked":
            counts[6] += took
            self.ack_latencies.setdefault(endpoint, AckLatency()).record(now, took)
