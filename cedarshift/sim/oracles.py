"""The checks of a run: invariants after each step, rules over the whole record, and convergence at the end.

The rules are those of the rehearsals (`rehearsal/rules.py`). Their time limits exclude the intervals in which
faults hindered the pilots, each extended by two seconds.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple, Optional

from cedarshift.agent import NoPick
from cedarshift.loop.world import Host
from cedarshift.rehearsal.evidence import Evidence
from cedarshift.rehearsal.rules import drains, nobody_without, one_owner, short_queue
from cedarshift.sim.actors import OP_TYPES
from cedarshift.sim.stage import Simulation

MAX_TIMERS = 3_000  # per host; cancelled timers are removed in batches
MAX_TASKS = 400
WRITE_OP_TYPE = next(index for index, (_, writes, _) in enumerate(OP_TYPES) if writes)
MAX_STREAMS = 600  # per host, including closed streams not yet removed


class Violation(NamedTuple):
    """A violated check: its name, the time in us, and a description."""

    check: str
    at: int
    detail: str


class StepChecker:
    """Checks fencing, acknowledged writes and resource bounds of the host that ran, after each step."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.violation: Optional[Violation] = None
        # (proxy, incarnation, slice) -> highest epoch that the proxy held
        self.epochs: dict[tuple[str, int, int], int] = {}
        # slice -> (highest epoch at any pilot, that pilot)
        self.newest_epochs: dict[int, tuple[int, str]] = {}
        # slice -> (epoch, version) that a pilot has seen committed
        self.committed_versions: dict[int, tuple[int, int]] = {}
        # slice -> endpoint -> when a proxy last could send it a write
        self.writable_at: dict[int, dict[str, int]] = {}
        self.steps = 0

    def _report(self, check: str, detail: str) -> None:
        if self.violation is None:
            self.violation = Violation(check, self.simulation.world.clock.time, detail)

    def after_step(self, host: Host) -> None:
        """Checks the host that has just run; `violation` keeps the first one found."""
        self.steps += 1
        if self.violation is not None or not host.alive:
            return
        name = host.name
        service = self.simulation.services.get(name)
        if service is None:
            return
        if name[0] == "x":
            self._check_proxy(name, service)
        elif name[0] == "p":
            self._check_pilot(name, service)
        elif name == "store":
            self._check_store(service)
        loop = host.loop
        if len(loop.timers) > MAX_TIMERS or len(loop.tasks) > MAX_TASKS or len(host.transports) > MAX_STREAMS:
            self._report(
                "leak",
                f"{name} holds {len(loop.timers)} timers, {len(loop.tasks)} tasks, {len(host.transports)} streams",
            )

    def _check_proxy(self, name: str, proxy: object) -> None:
        incarnation = self.simulation.incarnations[name]
        for slice_id, holding in proxy.tables.held.items():  # type: ignore[attr-defined]
            before = self.epochs.get((name, incarnation, slice_id), 0)
            if holding.epoch < before:
                self._report(
                    "epoch-back",
                    f"{name} went back to epoch {holding.epoch} of slice {slice_id} from {before}",
                )
            self.epochs[name, incarnation, slice_id] = holding.epoch
        self._check_writes(name, proxy)

    def _check_writes(self, name: str, proxy: Any) -> None:
        """Checks which endpoint a proxy could write to now, not only the writes that it sent.

        A write that could have gone to another endpoint must be over, by the op timeout.
        """
        if self.simulation.disk.lost_blocks or self.simulation.disk.loses_last_sync:
            return
        now, clock = self.simulation.world.clock.time, proxy.loop.now()
        if clock < proxy.agent.applying_until:
            return
        for slice_id in proxy.tables.held:
            pick = proxy.tables.pick(clock, slice_id, WRITE_OP_TYPE, 0.5)
            if isinstance(pick, NoPick):
                continue
            others = self.writable_at.setdefault(slice_id, {})
            for endpoint, at in others.items():
                if endpoint != pick.endpoint and now < at + OP_TYPES[WRITE_OP_TYPE][2]:
                    self._report(
                        "two-owners",
                        f"{name} may write slice {slice_id} to {pick.endpoint}, "
                        f"{(now - at) / 1e3:.0f} ms after a proxy could to {endpoint}",
                    )
            others[pick.endpoint] = now

    def _check_pilot(self, name: str, pilot: object) -> None:
        for slice_id, row in pilot.slices.items():  # type: ignore[attr-defined]
            newest_epoch, holder = self.newest_epochs.get(slice_id, (0, name))
            if row.epoch > newest_epoch:
                self.newest_epochs[slice_id] = (row.epoch, name)
            elif row.epoch == newest_epoch and holder != name:
                self._report(
                    "two-in-charge", f"{name} and {holder} both hold slice {slice_id} under epoch {row.epoch}"
                )
            if (row.epoch, row.version) > self.committed_versions.get(slice_id, (0, 0)):
                self.committed_versions[slice_id] = (row.epoch, row.version)
        self._check_exclusive_charge(name, pilot)
        if pilot.channel.waiting > pilot.channel.max_waiting_lines:  # type: ignore[attr-defined]
            self._report("channel", f"{pilot.channel.waiting:.0f} lines wait at {name}")  # type: ignore[attr-defined]

    def _check_exclusive_charge(self, name: str, pilot: Any) -> None:
        """Checks that no two pilots are in charge of the same slice at a time."""
        if self.simulation.disk.lost_blocks or self.simulation.disk.loses_last_sync or not pilot.in_charge():
            return
        for other, service in self.simulation.services.items():
            host = self.simulation.hosts[other]
            if other[0] == "p" and other != name and host.alive and not host.paused and service.in_charge():
                both = pilot.slices.keys() & service.slices.keys()
                if both:
                    self._report(
                        "both-in-charge",
                        f"{name} and {other} are in charge of slices {sorted(both)} at a time",
                    )

    def _check_store(self, store: object) -> None:
        """Checks that the store holds all acknowledged writes, unless its disk has lost a sync."""
        if self.simulation.disk.lost_blocks or self.simulation.disk.loses_last_sync:
            return
        for slice_id, row in store.assignment.rows.items():  # type: ignore[attr-defined]
            if (row.epoch, row.version) < self.committed_versions.get(slice_id, (0, 0)):
                self._report(
                    "lost-write",
                    f"the store holds slice {slice_id} at {(row.epoch, row.version)}, "
                    f"{self.committed_versions[slice_id]} was acknowledged",
                )


def check_run(simulation: Simulation, end: int) -> list[Violation]:
    """Checks the rules over the record, failed tasks, and convergence at the end of the run."""
    simulation.limits.hindered = merge_intervals(simulation.hindered)
    evidence = Evidence(simulation.limits, simulation.rows, 0, end, simulation.owners)
    violations = [
        Violation(verdict.rule, end, verdict.breaks[0])
        for verdict in (
            nobody_without(evidence),
            one_owner(evidence),
            drains(evidence),
            short_queue(evidence),
        )
        if not verdict.held
    ]
    if simulation.disk.lost_blocks:  # not guaranteed after a disk has lost a synced block
        violations = [one for one in violations if one.check != "one-owner"]
    violations += [Violation("failed", end, one) for one in simulation.failures[:1]]
    return violations + check_convergence(simulation, end)


def merge_intervals(unsorted: list[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    """Sorts intervals and merges those that overlap."""
    intervals: list[tuple[int, int]] = []
    for begin, end in sorted(unsorted):
        if intervals and begin <= intervals[-1][1]:
            intervals[-1] = (intervals[-1][0], max(end, intervals[-1][1]))
        else:
            intervals.append((begin, end))
    return tuple(intervals)


def check_convergence(simulation: Simulation, end: int) -> list[Violation]:
    """Checks that each slice has one living pilot and a listed owner, and that the proxies agree."""
    problems: list[str] = []
    listed = {
        name
        for name, entry in simulation.entries.items()
        if entry["phase"] == "on" and simulation.endpoints[name].alive
    }
    pilots = {
        name: one
        for name, one in simulation.services.items()
        if name[0] == "p" and simulation.hosts[name].alive
    }
    for slice_id in range(simulation.scenario.slices):
        holders = [name for name, one in pilots.items() if slice_id in one.slices and one.in_charge()]
        if len(holders) != 1:
            problems.append(f"slice {slice_id} is in the charge of {holders or 'nobody'}")
            continue
        row = pilots[holders[0]].slices[slice_id]
        if row.owner not in listed:
            problems.append(
                f"slice {slice_id} is owned by {row.owner or 'nobody'}; listed are {sorted(listed)}"
            )
        for name, proxy in simulation.services.items():
            if name[0] == "x" and simulation.hosts[name].alive:
                holding = proxy.tables.held[slice_id]
                if (holding.pilot, holding.owner) != (holders[0], row.owner):
                    problems.append(
                        f"{name} holds slice {slice_id} as {holding.pilot}'s, owned by {holding.owner}; "
                        f"{holders[0]} assigned it to {row.owner}"
                    )
    for name, proxy in simulation.services.items():
        if name[0] != "x" or not simulation.hosts[name].alive:
            continue
        if sum(view.joined for view in proxy.tables.views.values()) < len(pilots):
            problems.append(
                f"{name} is joined to {[one for one, view in proxy.tables.views.items() if view.joined]}"
            )
        duplicated = [
            task
            for task, count in Counter(
                task.name for task in proxy.loop.tasks if task.name.startswith("agent")
            ).items()
            if count > 1
        ]
        if duplicated:
            problems.append(f"{name} runs more than one task {', '.join(duplicated)}")
    return [Violation("not-well", end, "; ".join(problems[:3]))] if problems else []
