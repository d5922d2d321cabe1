"""A pilot's part: counts its proxies' loads, tells the other pilots, works the answer out, and tells its proxies.

All decisions are in `judge/overload.py`. What is told rides on what goes between pilots and proxies anyway: sums, datagrams of the roll,
answers to beats.
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
from cedarshift.overload.digest import packed, unpacked

# Constants: unit, then the reason for the size.
LOOK_EVERY = 500_000  # us; sums come each second or so, and a burst fills a queue within two
TELL_EVERY = 1_000_000  # us between two words on trials that stand; they hold three times as long at a proxy
OWN_MOST = 128  # endpoints with a share of their own that are told, those first that differ most
OLD_SUMS = 3  # report periods after which a proxy's loads count no more
SPAN_PART = 3.0  # report periods that the view of what an endpoint can do covers; what is under way there is told exactly
SPAN_LEAST = (
    3_000_000  # us; what a machine can do changes slowly, and a second holds few acks of one endpoint
)
PROXY_RATE_MOST = (
    1e5  # ops a second of one proxy and op type; what it tells beyond is nonsense, and must not spoil the sum
)
SHUNS_MOST = 32  # endpoints that one proxy may shun; a proxy that shuns more has a bad way to all
SHOWN_CHANGE = 0.1  # of the share; a smaller change is not logged


class OverloadTerms(NamedTuple):
    """`worths` of the op types in their order; `target`: the tightest latency; how often proxies report and beat (us)."""

    worths: tuple[OpValue, ...]
    target: int
    report_every: int
    beat_every: int


class Loaded(NamedTuple):
    """A proxy's newest loads."""

    at: int
    loads: dict[int, m.OpTypeStats]


class PilotOverload:
    """`owner_of(slice)`: the endpoint that owns it now. `chance()` gives the phase of the looks. `endpoints()`: those that proxies pick
    from, at sites without slices; None elsewhere: there a sick one's slices move, and who picks it has no other. `listed(endpoint)`: what is
    told of others is passed over."""

    def __init__(
        self,
        loop: Loop,
        terms: OverloadTerms,
        name: str,
        start: int,
        membership: Optional[Membership],
        owner_of: Callable[[int], str],
        report: Callable[..., None],
        chance: Callable[[], float],
        endpoints: Optional[Callable[[], list[str]]] = None,
        listed: Callable[[str], bool] = lambda endpoint: True,
    ) -> None:
        self.loop = loop
        self.terms = terms
        self.name = name
        self.start = start
        self.membership = membership
        self.owner_of = owner_of
        self.report = report
        self.picture = FleetLoad(name, terms.worths)
        gain = gain_for_delay(terms.target, terms.report_every + LOOK_EVERY + terms.beat_every)
        self.governor = OverloadController(list(terms.worths), loop.now(), gain)
        self.lanes = EndpointLoads(terms.target, max(SPAN_LEAST, int(SPAN_PART * terms.report_every)), gain)
        self.endpoints = endpoints
        self.listed = listed
        self.trials = Trials(name, start)
        self.on_trial: dict[str, float] = {}
        self.trial_version = 0
        self.trials_told: dict[str, tuple[int, int]] = {}  # proxy -> (version, when)
        self.proxies: dict[str, Loaded] = {}
        self.answer: Answer = CALM
        self.totals: Optional[Totals] = None
        self.own: dict[str, float] = {}
        self.fair: dict[str, list[float]] = {}
        self.row: Optional[LoadReport] = None
        self.told: Optional[msgspec.Raw] = None
        self.told_state = "calm"
        self.version = 0  # of what is told
        self.told_to: dict[str, int] = {}  # proxy -> the newest version that it was told
        self.shown_share = 1.0
        self.counts = {"limited": 0, "jams": 0, "calmed": 0, "rows": 0, "rows_refused": 0, "probes": 0}
        self.task = loop.spawn(self._work(int(LOOK_EVERY * chance())), "overload")

    def stop(self) -> None:
        self.task.cancel()

    # ---- what proxies tell

    def on_sums(self, proxy: str, sums: m.ProxyReport) -> None:
        now = self.loop.now()
        mets = [met for met in sums.met if self.listed(met.endpoint)]
        self.lanes.set_in_flight(proxy, {met.endpoint: met.open for met in mets if met.open})
        for met in mets:
            aborted = min(met.aborted, met.tries)
            self.lanes.met(met.endpoint, met.tries, aborted, min(met.full, aborted))
        for heat in sums.heat:
            owner = self.owner_of(heat.slice)
            if owner:
                self.lanes.came(owner, heat.ops)
        if self.endpoints is not None:
            self.trials.on_proxy(
                proxy, [endpoint for endpoint in sums.shuns[:SHUNS_MOST] if self.listed(endpoint)]
            )
            for met in mets:
                self.trials.on_met(now, proxy, met.endpoint, met.tries, min(met.aborted, met.tries))
        loads = {
            load.op_type: load
            for load in sums.loads
            if load.op_type < len(self.terms.worths) and load.span > 0
        }
        self.proxies[proxy] = Loaded(now, loads)

    def on_left(self, proxy: str) -> None:
        self.proxies.pop(proxy, None)
        self.lanes.set_in_flight(proxy, {})
        self.told_to.pop(proxy, None)
        self.trials.on_left(proxy)
        self.trials_told.pop(proxy, None)
        self.fair.pop(proxy, None)

    def for_beat(self, proxy: str) -> tuple[Optional[msgspec.Raw], list[float]]:
        """What rides on the answer to a beat, where this proxy does not have it: once a look while anything is taken away."""
        if self.told is None or self.told_to.get(proxy, 0) == self.version:
            return None, []
        self.told_to[proxy] = self.version
        return self.told, self.fair.get(proxy, [])

    def trials_for_beat(self, proxy: str) -> tuple[Optional[list[m.EndpointShare]], str]:
        """Endpoints on trial, where that is news, and one that this proxy may try now, "" for none."""
        if self.endpoints is None:
            return None, ""
        now = self.loop.now()
        probe = self.trials.probe(now, proxy) or ""
        if probe:
            self.counts["probes"] += 1
        version, at = self.trials_told.get(proxy, (0, 0))
        if version == self.trial_version and not (self.on_trial and now - at >= TELL_EVERY):
            return None, probe
        self.trials_told[proxy] = (self.trial_version, now)
        return [m.EndpointShare(endpoint, share) for endpoint, share in sorted(self.on_trial.items())], probe

    def _try_endpoints(self, now: int, gone: list[str]) -> None:
        assert self.endpoints is not None
        living = (
            [self.name]
            if self.membership is None
            else [name for name in self.membership.member.table.names if name not in gone]
        )
        before, self.on_trial = self.on_trial, self.trials.step(now, self.endpoints(), living)
        if self.on_trial != before:
            self.trial_version += 1
            for endpoint in sorted({*before, *self.on_trial}):
                was, share = before.get(endpoint, 1.0), self.on_trial.get(endpoint, 1.0)
                if was != share and (endpoint in self.trials.own_trials or endpoint not in self.on_trial):
                    self.report(
                        "trial",
                        endpoint=endpoint,
                        before=was,
                        share=share,
                        strikes=self.trials.own_trials[endpoint].strikes
                        if endpoint in self.trials.own_trials
                        else 0,
                    )

    # ---- looks

    def _work(self, phase: int) -> Coroutine:
        yield from self.loop.sleep(phase)
        while True:
            self._look()
            yield from self.loop.sleep(LOOK_EVERY)

    def _gone(self) -> list[str]:
        if self.membership is None:
            return []
        roll = self.membership.member.table
        return [name for name in roll.names if roll.states[name] in (DEAD, LEFT)]

    def _hear_others(self) -> None:
        if self.membership is None:
            return
        for name, rider in self.membership.member.riders.items():
            held = self.picture.rows.get(name)
            if name == self.name or (held is not None and (held.start, held.seq) == (rider.start, rider.seq)):
                continue
            found = unpacked(rider.payload, rider.start, rider.seq, rider.at)
            if found is None or not self.picture.add_report(name, found[0]):
                self.counts["rows_refused"] += 1
            else:
                self.counts["rows"] += 1
                self.trials.on_report(name, found[1])

    def _flows(self, now: int) -> tuple[Flow, ...]:
        """This pilot's own, by its proxies' newest loads."""
        fresh = [
            one.loads for one in self.proxies.values() if now - one.at <= OLD_SUMS * self.terms.report_every
        ]
        flows = []
        for kind in range(len(self.terms.worths)):
            rows = [loads[kind] for loads in fresh if kind in loads]
            rates = [
                sum(min(PROXY_RATE_MOST, getattr(row, name) * 1e6 / row.span) for row in rows)
                for name in ("fresh", "repeats", "let_in", "acked", "aborted", "full")
            ]
            acked = sum(row.acked for row in rows)
            flows.append(
                Flow._make([*rates, sum(row.took * row.acked for row in rows) / acked if acked else 0.0])
            )
        return tuple(flows)

    def _look(self) -> None:
        now, gone = self.loop.now(), self._gone()
        self._hear_others()
        pressure, ops = self.lanes.look(now)
        seq = 1 if self.row is None else self.row.seq + 1
        self.row = LoadReport(
            self.start, seq, now, self._flows(now), pressure, ops, self.governor.share, self.governor.state
        )
        self.picture.add_report(self.name, self.row)
        self.totals = self.picture.totals(now, gone)
        before = self.governor.state
        self.answer = self.governor.step(now, self.totals, self.picture.others_share(now, gone))
        self.own = self.lanes.shares(now, self.answer.share)
        self._tell_proxies(now)
        if self.endpoints is not None:
            self._try_endpoints(now, gone)
        if self.membership is not None:
            row = self.row._replace(share=self.answer.share, state=self.answer.state)
            self.membership.member.set_rider(
                now, packed(row, self.trials.report() if self.endpoints is not None else None)
            )
        self._log(before)

    def _tell_proxies(self, now: int) -> None:
        state = (
            self.answer.state if self.answer.state != "calm" or not self.own else "limited"
        )  # a few endpoints alone
        if state == "calm" and self.told_state == "calm":
            return
        own = sorted(self.own.items(), key=lambda one: (-abs(one[1] - self.answer.share), one[0]))[:OWN_MOST]
        told = m.AdmissionPolicy(
            state,
            self.answer.share,
            self.answer.again,
            self.answer.wait,
            list(self.answer.order),
            [round(part, 4) for part in self.answer.mix],
            [m.EndpointShare(end, round(share, 3)) for end, share in sorted(own)],
        )
        self.told = msgspec.Raw(msgspec.msgpack.encode(told))
        self.told_state = state
        self.version += 1
        self._be_fair(now)

    def _be_fair(self, now: int) -> None:
        """For each op type that is let in by part: what each proxy's part is, so that one that brings much takes nothing from the others."""
        self.fair = {}
        if self.answer.state == "calm" or not self.answer.mix:
            return
        let = shares(self.answer.share, self.answer.order, self.answer.mix)
        fresh = {
            name: one.loads
            for name, one in self.proxies.items()
            if now - one.at <= OLD_SUMS * self.terms.report_every
        }
        times = {name: [1.0] * len(let) for name in fresh}
        for kind, share in enumerate(let):
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
                    times[name][kind] = round(max(MIN_SHARE, min(1.0, cap / rate)) / share, 3)
        self.fair = {name: rows for name, rows in times.items() if any(abs(row - 1.0) > 0.02 for row in rows)}

    # ---- for people

    def _log(self, before: str) -> None:
        governor, seen = self.governor, self.totals
        assert seen is not None
        if governor.state != before:
            self.counts[{"limited": "limited", "jam": "jams", "calm": "calmed"}[governor.state]] += 1
        if governor.state != before or abs(self.answer.share - self.shown_share) >= SHOWN_CHANGE:
            self.shown_share = self.answer.share
            names = [worth.name for worth in self.terms.worths]
            let = shares(self.answer.share, self.answer.order, self.answer.mix) if self.answer.mix else []
            self.report(
                "overload",
                before=before,
                state=governor.state,
                why=governor.why if governor.state != before else "follows",
                share=round(self.answer.share, 3),
                let_in={name: round(part, 3) for name, part in zip(names, let)},
                offered=round(seen.offered, 1),
                acked=round(seen.acked, 1),
                repeats=round(seen.repeats, 1),
                pressure=round(seen.pressure, 3),
                carried=round(governor.carried, 1),
                known=round(governor.known, 1),
                pilots=seen.pilots,
                own_shares=len(self.own),
            )

    def shown(self) -> dict[str, Any]:
        """For `cedarshift overload`."""
        now, names = self.loop.now(), [worth.name for worth in self.terms.worths]
        let = (
            shares(self.answer.share, self.answer.order, self.answer.mix)
            if self.answer.mix
            else [1.0] * len(names)
        )
        rows = [
            {
                "pilot": name,
                "age_s": (now - row.at) / 1e6,
                "weight": round(self.picture.weight(name, now), 2),
                "state": row.state,
                "share": round(row.share, 3),
                "pressure": round(row.pressure, 3),
                "op_types": {
                    op: {field: round(value, 1) for field, value in zip(Flow._fields, flow)}
                    for op, flow in zip(names, row.flows)
                },
            }
            for name, row in sorted(self.picture.rows.items())
        ]
        totals = self.totals._asdict() if self.totals is not None else {}
        return {
            "pilot": self.name,
            "state": self.governor.state,
            "why": self.governor.why,
            "share": round(self.answer.share, 3),
            "let_in": {name: round(part, 3) for name, part in zip(names, let)},
            "again": round(self.answer.again, 3),
            "wait_s": self.answer.wait / 1e6,
            "carried": round(self.governor.carried, 1),
            "known": round(self.governor.known, 1),
            "totals": totals,
            "pilots": rows,
            "endpoints": {name: round(share, 3) for name, share in sorted(self.own.items())},
            "trials": {name: share for name, share in sorted(self.on_trial.items())},
            "unfair": {name: rows for name, rows in sorted(self.fair.items())},
            "gone": self._gone(),
            "counts": dict(self.counts),
        }

    def gauges(self) -> dict[str, float]:
        found = {
            "overload_share": self.answer.share,
            "overload_limited": float(self.governor.state != "calm"),
            "overload_jam": float(self.governor.state == "jam"),
            "overload_own_shares": float(len(self.own)),
            "overload_known_work": self.governor.known,
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
