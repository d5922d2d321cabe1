"""A pilot's overload control: combines its proxies' loads with other pilots' reports and sets policies.

The decisions are made in `judge/overload.py`. Reports arrive with the proxies' statistics and with gossip;
policies are sent with the answers to heartbeats.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, Optional

import msgspec

from cedarshift.codec import messages as m
from cedarshift.gossip.service import Membership
from cedarshift.judge.overload import (
    CALM,
    MIN_SHARE,
    Answer,
    EndpointLoads,
    FleetLoad,
    Flow,
    LoadReport,
    OpValue,
    OverloadController,
    Totals,
    fair_cap,
    gain_for_delay,
    shares,
)
from cedarshift.judge.roll import DEAD, LEFT
from cedarshift.judge.trials import Trials
from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine
from cedarshift.overload.digest import pack_report, unpack_report

UPDATE_INTERVAL_US = 500_000
TRIALS_RESEND_INTERVAL_US = 1_000_000  # a third of the time for which proxies keep trials
MAX_ENDPOINT_SHARES = 128  # in a policy; those that differ most from the fleet's share come first
MAX_REPORT_AGE_PERIODS = 3  # of a proxy's loads, in report periods
LOAD_WINDOW_PERIODS = 3.0  # in report periods
MIN_LOAD_WINDOW_US = 3_000_000  # a shorter window holds too few acks of one endpoint
MAX_PROXY_RATE = 1e5  # ops per second of one op type; bounds what a faulty proxy can report
MAX_SHUNNED_PER_PROXY = 32
MIN_LOGGED_CHANGE = 0.1  # of the admitted share


class OverloadConfig(NamedTuple):
    """`op_values` has one entry per op type; `target` is the lowest target latency. Times are in us."""

    op_values: tuple[OpValue, ...]
    target: int
    report_interval: int
    heartbeat_interval: int


class ProxyLoads(NamedTuple):
    """A proxy's newest loads."""

    at: int
    loads: dict[int, m.OpTypeStats]


class PilotOverload:
    """Overload control of one pilot.

    `owner_of(slice)` returns the slice's current endpoint, and `random()` a number in [0, 1) that sets the
    phase of the updates. `endpoints()` returns the endpoints that proxies choose from if the fleet has no
    slices; without it sick endpoints get no trials, as their slices are moved instead. Statistics of
    endpoints that are not `is_listed` are ignored.
    """

    def __init__(
        self,
        loop: Loop,
        config: OverloadConfig,
        name: str,
        start: int,
        membership: Optional[Membership],
        owner_of: Callable[[int], str],
        report: Callable[..., None],
        random: Callable[[], float],
        endpoints: Optional[Callable[[], list[str]]] = None,
        is_listed: Callable[[str], bool] = lambda endpoint: True,
    ) -> None:
        self.loop = loop
        self.config = config
        self.name = name
        self.start = start
        self.membership = membership
        self.owner_of = owner_of
        self.report = report
        self.fleet_load = FleetLoad(name, config.op_values)
        gain = gain_for_delay(
            config.target, config.report_interval + UPDATE_INTERVAL_US + config.heartbeat_interval
        )
        self.controller = OverloadController(list(config.op_values), loop.now(), gain)
        self.endpoint_loads = EndpointLoads(
            config.target, max(MIN_LOAD_WINDOW_US, int(LOAD_WINDOW_PERIODS * config.report_interval)), gain
        )
        self.endpoints = endpoints
        self.is_listed = is_listed
        self.trials = Trials(name, start)
        self.trial_shares: dict[str, float] = {}
        self.trial_version = 0
        self.sent_trials: dict[str, tuple[int, int]] = {}  # proxy -> (version, time)
        self.proxies: dict[str, ProxyLoads] = {}
        self.answer: Answer = CALM
        self.totals: Optional[Totals] = None
        self.endpoint_shares: dict[str, float] = {}
        self.fair_factors: dict[str, list[float]] = {}
        self.load_report: Optional[LoadReport] = None
        self.policy: Optional[msgspec.Raw] = None
        self.policy_state = "calm"
        self.policy_version = 0
        self.sent_versions: dict[str, int] = {}  # proxy -> newest policy version sent
        self.logged_share = 1.0
        self.counts = {"limited": 0, "jams": 0, "calmed": 0, "rows": 0, "rows_refused": 0, "probes": 0}
        self.task = loop.spawn(self._run(int(UPDATE_INTERVAL_US * random())), "overload")

    def stop(self) -> None:
        self.task.cancel()

    # ---- messages of proxies

    def on_proxy_report(self, proxy: str, proxy_report: m.ProxyReport) -> None:
        now = self.loop.now()
        endpoint_stats = [stats for stats in proxy_report.met if self.is_listed(stats.endpoint)]
        self.endpoint_loads.set_in_flight(
            proxy, {stats.endpoint: stats.open for stats in endpoint_stats if stats.open}
        )
        for stats in endpoint_stats:
            aborted = min(stats.aborted, stats.tries)
            self.endpoint_loads.met(stats.endpoint, stats.tries, aborted, min(stats.full, aborted))
        for slice_stats in proxy_report.heat:
            owner = self.owner_of(slice_stats.slice)
            if owner:
                self.endpoint_loads.came(owner, slice_stats.ops)
        if self.endpoints is not None:
            self.trials.on_proxy(
                proxy,
                [
                    endpoint
                    for endpoint in proxy_report.shuns[:MAX_SHUNNED_PER_PROXY]
                    if self.is_listed(endpoint)
                ],
            )
            for stats in endpoint_stats:
                self.trials.on_met(now, proxy, stats.endpoint, stats.tries, min(stats.aborted, stats.tries))
        loads = {
            load.op_type: load
            for load in proxy_report.loads
            if load.op_type < len(self.config.op_values) and load.span > 0
        }
        self.proxies[proxy] = ProxyLoads(now, loads)

    def on_left(self, proxy: str) -> None:
        self.proxies.pop(proxy, None)
        self.endpoint_loads.set_in_flight(proxy, {})
        self.sent_versions.pop(proxy, None)
        self.trials.on_left(proxy)
        self.sent_trials.pop(proxy, None)
        self.fair_factors.pop(proxy, None)

    def policy_for_heartbeat(self, proxy: str) -> tuple[Optional[msgspec.Raw], list[float]]:
        """Returns the policy and fairness factors for a heartbeat answer, if this proxy lacks the newest."""
        if self.policy is None or self.sent_versions.get(proxy, 0) == self.policy_version:
            return None, []
        self.sent_versions[proxy] = self.policy_version
        return self.policy, self.fair_factors.get(proxy, [])

    def trials_for_heartbeat(self, proxy: str) -> tuple[Optional[list[m.EndpointShare]], str]:
        """Returns the trials if they are due to be sent, and an endpoint that this proxy may probe or ""."""
        if self.endpoints is None:
            return None, ""
        now = self.loop.now()
        probe = self.trials.probe(now, proxy) or ""
        if probe:
            self.counts["probes"] += 1
        version, at = self.sent_trials.get(proxy, (0, 0))
        if version == self.trial_version and not (
            self.trial_shares and now - at >= TRIALS_RESEND_INTERVAL_US
        ):
            return None, probe
        self.sent_trials[proxy] = (self.trial_version, now)
        return [
            m.EndpointShare(endpoint, share) for endpoint, share in sorted(self.trial_shares.items())
        ], probe

    def _update_trials(self, now: int, gone: list[str]) -> None:
        assert self.endpoints is not None
        live_pilots = (
            [self.name]
            if self.membership is None
            else [name for name in self.membership.member.table.names if name not in gone]
        )
        before, self.trial_shares = self.trial_shares, self.trials.step(now, self.endpoints(), live_pilots)
        if self.trial_shares != before:
            self.trial_version += 1
            for endpoint in sorted({*before, *self.trial_shares}):
                previous, share = before.get(endpoint, 1.0), self.trial_shares.get(endpoint, 1.0)
                if previous != share and (
                    endpoint in self.trials.own_trials or endpoint not in self.trial_shares
                ):
                    self.report(
                        "trial",
                        endpoint=endpoint,
                        before=previous,
                        share=share,
                        strikes=self.trials.own_trials[endpoint].strikes
                        if endpoint in self.trials.own_trials
                        else 0,
                    )

    # ---- updates

    def _run(self, phase: int) -> Coroutine:
        yield from self.loop.sleep(phase)
        while True:
            self._update()
            yield from self.loop.sleep(UPDATE_INTERVAL_US)

    def _dead_pilots(self) -> list[str]:
        if self.membership is None:
            return []
        roll = self.membership.member.table
        return [name for name in roll.names if roll.states[name] in (DEAD, LEFT)]

    def _merge_other_reports(self) -> None:
        if self.membership is None:
            return
        for name, rider in self.membership.member.riders.newest.items():
            known = self.fleet_load.rows.get(name)
            if name == self.name or (
                known is not None and (known.start, known.seq) == (rider.start, rider.seq)
            ):
                continue
            found = unpack_report(rider.payload, rider.start, rider.seq, rider.at)
            if found is None or not self.fleet_load.add_report(name, found[0]):
                self.counts["rows_refused"] += 1
            else:
                self.counts["rows"] += 1
                self.trials.on_report(name, found[1])

    def _flows(self, now: int) -> tuple[Flow, ...]:
        """Returns the load of this pilot's proxies by op type, from their newest reports."""
        fresh = [
            one.loads
            for one in self.proxies.values()
            if now - one.at <= MAX_REPORT_AGE_PERIODS * self.config.report_interval
        ]
        flows = []
        for kind in range(len(self.config.op_values)):
            rows = [loads[kind] for loads in fresh if kind in loads]
            rates = [
                sum(min(MAX_PROXY_RATE, getattr(row, name) * 1e6 / row.span) for row in rows)
                for name in ("fresh", "repeats", "let_in", "acked", "aborted", "full")
            ]
            acked = sum(row.acked for row in rows)
            flows.append(
                Flow._make([*rates, sum(row.took * row.acked for row in rows) / acked if acked else 0.0])
            )
        return tuple(flows)

    def _update(self) -> None:
        now, gone = self.loop.now(), self._dead_pilots()
        self._merge_other_reports()
        pressure, ops = self.endpoint_loads.look(now)
        seq = 1 if self.load_report is None else self.load_report.seq + 1
        self.load_report = LoadReport(
            self.start,
            seq,
            now,
            self._flows(now),
            pressure,
            ops,
            self.controller.share,
            self.controller.state,
        )
        self.fleet_load.add_report(self.name, self.load_report)
        self.totals = self.fleet_load.totals(now, gone)
        before = self.controller.state
        self.answer = self.controller.step(now, self.totals, self.fleet_load.others_share(now, gone))
        self.endpoint_shares = self.endpoint_loads.shares(now, self.answer.share)
        self._update_policy(now)
        if self.endpoints is not None:
            self._update_trials(now, gone)
        if self.membership is not None:
            row = self.load_report._replace(share=self.answer.share, state=self.answer.state)
            self.membership.member.set_rider(
                now, pack_report(row, self.trials.report() if self.endpoints is not None else None)
            )
        self._log(before)

    def _update_policy(self, now: int) -> None:
        state = (
            self.answer.state if self.answer.state != "calm" or not self.endpoint_shares else "limited"
        )  # only single endpoints are limited
        if state == "calm" and self.policy_state == "calm":
            return
        endpoint_shares = sorted(
            self.endpoint_shares.items(), key=lambda one: (-abs(one[1] - self.answer.share), one[0])
        )[:MAX_ENDPOINT_SHARES]
        policy = m.AdmissionPolicy(
            state,
            self.answer.share,
            self.answer.again,
            self.answer.wait,
            list(self.answer.order),
            [round(part, 4) for part in self.answer.mix],
            [m.EndpointShare(end, round(share, 3)) for end, share in sorted(endpoint_shares)],
        )
        self.policy = msgspec.Raw(msgspec.msgpack.encode(policy))
        self.policy_state = state
        self.policy_version += 1
        self._update_fair_factors(now)

    def _update_fair_factors(self, now: int) -> None:
        """Sets factors per proxy for partly admitted op types, so busy proxies cannot crowd out others."""
        self.fair_factors = {}
        if self.answer.state == "calm" or not self.answer.mix:
            return
        admitted = shares(self.answer.share, self.answer.order, self.answer.mix)
        fresh = {
            name: one.loads
            for name, one in self.proxies.items()
            if now - one.at <= MAX_REPORT_AGE_PERIODS * self.config.report_interval
        }
        factors = {name: [1.0] * len(admitted) for name in fresh}
        for kind, share in enumerate(admitted):
            if not 0.0 < share < 1.0:
                continue
            rates = {
                name: loads[kind].fresh * 1e6 / loads[kind].span
                for name, loads in fresh.items()
                if kind in loads
            }
            cap = fair_cap(list(rates.values()), share)
            for name, rate in rates.items():
                if rate > 0:
                    factors[name][kind] = round(max(MIN_SHARE, min(1.0, cap / rate)) / share, 3)
        self.fair_factors = {
            name: rows for name, rows in factors.items() if any(abs(row - 1.0) > 0.02 for row in rows)
        }

    # ---- status and metrics

    def _log(self, before: str) -> None:
        controller, totals = self.controller, self.totals
        assert totals is not None
        if controller.state != before:
            self.counts[{"limited": "limited", "jam": "jams", "calm": "calmed"}[controller.state]] += 1
        if controller.state != before or abs(self.answer.share - self.logged_share) >= MIN_LOGGED_CHANGE:
            self.logged_share = self.answer.share
            names = [op_value.name for op_value in self.config.op_values]
            admitted = (
                shares(self.answer.share, self.answer.order, self.answer.mix) if self.answer.mix else []
            )
            self.report(
                "overload",
                before=before,
                state=controller.state,
                why=controller.why if controller.state != before else "follows",
                share=round(self.answer.share, 3),
                let_in={name: round(part, 3) for name, part in zip(names, admitted)},
                offered=round(totals.offered, 1),
                acked=round(totals.acked, 1),
                repeats=round(totals.repeats, 1),
                pressure=round(totals.pressure, 3),
                carried=round(controller.carried, 1),
                known=round(controller.known, 1),
                pilots=totals.pilots,
                own_shares=len(self.endpoint_shares),
            )

    def shown(self) -> dict[str, Any]:
        """Returns the status that `cedarshift overload` prints."""
        now, names = self.loop.now(), [op_value.name for op_value in self.config.op_values]
        admitted = (
            shares(self.answer.share, self.answer.order, self.answer.mix)
            if self.answer.mix
            else [1.0] * len(names)
        )
        rows = [
            {
                "pilot": name,
                "age_s": (now - row.at) / 1e6,
                "weight": round(self.fleet_load.weight(name, now), 2),
                "state": row.state,
                "share": round(row.share, 3),
                "pressure": round(row.pressure, 3),
                "op_types": {
                    op: {field: round(value, 1) for field, value in zip(Flow._fields, flow)}
                    for op, flow in zip(names, row.flows)
                },
            }
            for name, row in sorted(self.fleet_load.rows.items())
        ]
        totals = self.totals._asdict() if self.totals is not None else {}
        return {
            "pilot": self.name,
            "state": self.controller.state,
            "why": self.controller.why,
            "share": round(self.answer.share, 3),
            "let_in": {name: round(part, 3) for name, part in zip(names, admitted)},
            "again": round(self.answer.again, 3),
            "wait_s": self.answer.wait / 1e6,
            "carried": round(self.controller.carried, 1),
            "known": round(self.controller.known, 1),
            "totals": totals,
            "pilots": rows,
            "endpoints": {name: round(share, 3) for name, share in sorted(self.endpoint_shares.items())},
            "trials": {name: share for name, share in sorted(self.trial_shares.items())},
            "unfair": {name: rows for name, rows in sorted(self.fair_factors.items())},
            "gone": self._dead_pilots(),
            "counts": dict(self.counts),
        }

    def gauges(self) -> dict[str, float]:
        found = {
            "overload_share": self.answer.share,
            "overload_limited": float(self.controller.state != "calm"),
            "overload_jam": float(self.controller.state == "jam"),
            "overload_own_shares": float(len(self.endpoint_shares)),
            "overload_known_work": self.controller.known,
        }
        if self.totals is not None:
            found.update(
                {
                    "overload_pressure": self.totals.pressure,
                    "overload_offered_work": self.totals.offered,
                    "overload_acked_work": self.totals.acked,
                    "overload_repeats": self.totals.repeats,
                    "overload_pilots": float(self.totals.pilots),
                }
            )
        found.update({f"overload_{name}": float(count) for name, count in self.counts.items()})
        return found
