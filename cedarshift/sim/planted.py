"""Faults that are injected into the real code, one at a time, to test that the simulation finds each of them.

A fault that no seed finds shows a gap in the scenarios or in the checks.

python -m cedarshift.sim.planted [--seeds 400] [--jobs 8] [--only NAME]
"""

from __future__ import annotations

import argparse
import math
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from typing import Any, Callable, Iterator, NamedTuple, Optional

from cedarshift import brain
from cedarshift.agent.client import Agent
from cedarshift.agent.tables import Tables
from cedarshift.brain import Pilot
from cedarshift.codec import messages as m
from cedarshift.judge import write_stops
from cedarshift.judge.charge import SliceAssignment
from cedarshift.judge.write_stops import WriteStops
from cedarshift.link import Link
from cedarshift.loop.core import Coroutine
from cedarshift.pilot import store_client
from cedarshift.pilot.service import PilotService
from cedarshift.pilot.store_client import StoreClient
from cedarshift.roster.sources import ServiceSource
from cedarshift.sim.disk import Disk
from cedarshift.sim.play import run_scenario
from cedarshift.sim.scenario import draw

MAX_SEEDS = 400  # each fault must be found within these
SEEDS_PER_TASK = 8  # per task of a worker process

Patches = list[tuple[Any, str, Any]]


class InjectedFault(NamedTuple):
    """A fault: a description and the attributes to replace, as (object, attribute, value)."""

    description: str
    patches: Callable[[], Patches]


@contextmanager
def inject_fault(name: str) -> Iterator[None]:
    """Injects a fault for the duration of the context."""
    originals = []
    try:
        for target, attribute, value in INJECTED_FAULTS[name].patches():
            originals.append((target, attribute, getattr(target, attribute)))
            setattr(target, attribute, value)
        yield
    finally:
        for target, attribute, value in reversed(originals):
            setattr(target, attribute, value)


# ---- the decision module


def _skip_settle_time() -> Patches:
    init = Pilot.__init__

    def patched_init(self: Any, terms: Any) -> None:
        init(self, terms)
        self.settle_time = 0

    return [(Pilot, "__init__", patched_init)]


def _replace_stop(change: Callable[[Any, Any, Any, Optional[int]], Optional[int]]) -> Patches:
    stop = WriteStops.proxy_stop_time
    return [(WriteStops, "proxy_stop_time", lambda self, p, s: change(self, p, s, stop(self, p, s)))]


def _grant_without_wait() -> Patches:
    given = Pilot.on_slice_assigned

    def on_slice_assigned(self: Any, now: int, slice_id: int, held: bool) -> None:
        given(self, now, slice_id, held)
        if held:
            self.slices[slice_id].state = brain.EMPTY

    return [(Pilot, "on_slice_assigned", on_slice_assigned)]


def _ignore_phases() -> Patches:
    def set_phase(self: Any, e: Any, phase: str, now: int) -> None:
        e.phase = "on"

    return [(Pilot, "_set_phase", set_phase)]


# ---- proxies


def _ack_before_applying() -> Patches:
    handle_message = Agent._handle_message

    def ack_first(self: Any, name: str, link: Any, message: Any, heartbeats: Any, cost: int) -> Coroutine:
        if (
            isinstance(message, m.Order) and message.mark is not None and self.identity.id[-1] in "13"
        ):  # some proxies only
            link.send(m.Ack(message.mark))
            yield from self.loop.sleep(300_000)
            message = m.Order(message.seq, message.waited, message.lines, message.levels)
        yield from handle_message(self, name, link, message, heartbeats, cost)

    return [(Agent, "_handle_message", ack_first)]


def _triple_lease() -> Patches:
    def on_lease(self: Any, pilot: str, asked_at: int) -> None:
        view = self.views[pilot]
        view.lease_until = max(view.lease_until, asked_at + 3 * self.lease)

    return [(Tables, "on_lease", on_lease)]


def _write_without_lease() -> Patches:
    pick = Tables.pick

    def pick_without_lease(self: Any, now: int, slice_id: int, op_type: int, random_value: float) -> Any:
        self.single_owner = False
        return pick(self, now, slice_id, op_type, random_value)

    return [(Tables, "pick", pick_without_lease)]


def _accept_older_epochs() -> Patches:
    def adopt_row(self: Any, row: Any, pilot: str) -> None:
        holding = self.held[row.slice]
        holding.epoch, holding.pilot, holding.owner = row.epoch, pilot, row.owner
        holding.levels, holding.writes_until = list(row.levels), None

    return [(Tables, "_adopt_row", adopt_row)]


def _keep_lease_of_revoked_slices() -> Patches:
    return [(Tables, "_revoke", lambda self, now, holding: None)]


def _skip_lines() -> Patches:
    set_owner = Tables._set_owner

    def set_some_owners(self: Any, pilot: str, line: Any) -> None:
        if line.weight > 0 or line.table % 2:
            set_owner(self, pilot, line)

    return [
        (Tables, "_set_owner", set_some_owners),
        (Tables, "_check_level", lambda self, levels, table, op_type, random_value: None),
    ]


def _leak_heartbeat_tasks() -> Patches:
    heartbeat_loop = Agent._heartbeat_loop

    def sleep_forever(self: Any, interval: int) -> Coroutine:
        while True:
            yield from self.loop.sleep(interval)

    def leaking_heartbeat_loop(self: Any, name: str, link: Any, sent: Any, interval: int) -> Coroutine:
        self.loop.spawn(sleep_forever(self, interval), f"agent {name} leaked heartbeat")
        yield from heartbeat_loop(self, name, link, sent, interval)

    return [(Agent, "_heartbeat_loop", leaking_heartbeat_loop)]


# ---- the store


def _keep_epoch() -> Patches:
    step = SliceAssignment.step

    def step_keeping_epochs(self: Any, now: int) -> Any:
        epochs = {slice_id: row.epoch for slice_id, row in self.rows.items()}
        changes = step(self, now)
        for row in changes.changed:
            row.epoch = max(1, epochs[row.slice])
        return changes

    return [(SliceAssignment, "step", step_keeping_epochs)]


def _free_slices_on_new_session() -> Patches:
    """The former bug that seed 20125 found."""
    open_session = SliceAssignment.open

    def open_and_free(self: Any, now: int, pilot: str) -> int:
        session_number = open_session(self, now, pilot)
        self.regrant.clear()
        for row in self.rows.values():
            if row.pilot == pilot:
                row.pilot = ""
        return session_number

    return [(SliceAssignment, "open", open_and_free)]


def _raise_on_broken_stream() -> Patches:
    """The former bug that seed 102 found."""

    def send(self: Any, message: Any) -> None:
        if not self.closed:
            self.stream.write(self.session.send(message))

    return [(Link, "send", send)]


def _ignore_list_identity() -> Patches:
    """The former bug that seed 312 found."""
    call = ServiceSource._fetch

    def call_unnamed(self: Any) -> Coroutine:
        name, self.name = self.name, "unnamed"
        self.name = name.removeprefix("list:")
        yield from call(self)

    return [(ServiceSource, "_fetch", call_unnamed)]


def _reassign_at_once() -> Patches:
    step = SliceAssignment.step

    def step_and_release(self: Any, now: int) -> Any:
        changes = step(self, now)
        for pilot, slice_ids in changes.taken.items():
            self.released(pilot, slice_ids)
        return changes

    return [(SliceAssignment, "step", step_and_release)]


def _end_sessions_early() -> Patches:
    def renew(self: Any, now: int, pilot: str, number: int) -> bool:
        holder = self.holders.get(pilot)
        if holder is None or holder.number != number or now >= holder.until:
            return False
        holder.until = now + self.lease // 3
        return True

    return [(SliceAssignment, "renew", renew)]


def _forget_sessions_on_restart() -> Patches:
    init = SliceAssignment.__init__

    def patched_init(self: Any, *args: Any, **options: Any) -> None:
        init(self, *args, **options)
        self.holders.clear()
        for row in self.rows.values():
            row.pilot = ""

    return [(SliceAssignment, "__init__", patched_init)]


def _skip_sync() -> Patches:
    return [
        (Disk, "sync", lambda self: self.synced.append(self.cached.pop(0)) if len(self.cached) > 3 else None)
    ]


def _reuse_epochs() -> Patches:
    init = SliceAssignment.__init__

    def patched_init(
        self: Any, rows: Any, pilots: Any, lease: int, takeover: int, back_after: int, now: int, life: int = 1
    ) -> None:
        init(self, rows, pilots, lease, takeover, back_after, now, 1)

    return [(SliceAssignment, "__init__", patched_init)]


# ---- the pilot


def _ignore_session_expiry() -> Patches:
    return [
        (StoreClient, "in_charge", lambda self: not self.lapsed),
        (StoreClient, "_check_lapsed", lambda self: None),
    ]


def _ignore_dropped_batch() -> Patches:
    """The former bug that seed 3981 found."""

    def commit(self: Any, writes: Any, then: Any) -> bool:
        if self.link is None or not self.in_charge():
            return False
        self.last_number += 1
        self.pending_commits[self.last_number] = then
        self.link.send(m.Commit(self.last_number, writes))
        return True

    return [(StoreClient, "commit", commit)]


def _ignore_clock_drift() -> Patches:
    """The former bug that seed 718 found."""
    return [(store_client, "CLOCK_DRIFT_DIVISOR", 1 << 40)]


def _send_before_commit() -> Patches:
    submit = PilotService._submit_batch

    def send_and_submit(self: Any, batch: Any) -> None:
        if self.deployment.slices:
            self._send_batch(batch)
        submit(self, batch)

    return [(PilotService, "_submit_batch", send_and_submit)]


def _send_denied_orders() -> Patches:
    committed = PilotService._committed

    def commit_all(self: Any, batch: Any, writes: Any, denied: Any) -> None:
        committed(self, batch, writes, [])

    return [
        (PilotService, "_committed", commit_all),
        (PilotService, "on_slices_revoked", lambda self, slices: None),
    ]


def _let_empty_batches_overtake() -> Patches:
    submit = PilotService._submit_batch

    def send_empty_first(self: Any, batch: Any) -> None:
        if self.deployment.slices and not self._writes(batch):
            self._send_batch(batch)
        else:
            submit(self, batch)

    return [(PilotService, "_submit_batch", send_empty_first)]


def _backdate_acks() -> Patches:
    ack = Pilot.on_ack
    return [(Pilot, "on_ack", lambda self, now, proxy, mark, took: ack(self, now, proxy, mark, took - 6_000))]


def _revoke_silently() -> Patches:
    """The pilot drops revoked slices without telling its proxies, but tells the store that it did."""

    def drop_slices(self: Any, slices: list[int]) -> None:
        for slice_id in slices:
            self.slices.pop(slice_id, None)
            self.brain.on_slice_assigned(self._now_ticks(), slice_id, False)

    return [(PilotService, "on_slices_revoked", drop_slices)]


def _drop_removals() -> Patches:
    call = ServiceSource._fetch

    def call_without_removals(self: Any) -> Coroutine:
        publish = self.tell
        self.tell = lambda kind, entries: publish(kind, [e for e in entries if e.phase == "on"])
        try:
            yield from call(self)
        finally:
            self.tell = publish

    return [(ServiceSource, "_fetch", call_without_removals)]


def _reuse_marks() -> Patches:
    return [(brain, "MARK_MODULUS", 2), (write_stops, "BARRIER_MODULUS", 2)]


INJECTED_FAULTS: dict[str, InjectedFault] = {
    "no-settle": InjectedFault("the settle time is skipped", _skip_settle_time),
    "no-ack": InjectedFault(
        "a revoke is not awaited at joined proxies",
        lambda: _replace_stop(lambda self, p, s, at: s.state_since if p.joined and at is None else at),
    ),
    "left-at-once": InjectedFault(
        "a proxy whose stream broke counts as stopped without its lease",
        lambda: _replace_stop(lambda self, p, s, at: at if p.joined else p.left_at),
    ),
    "newcomer": InjectedFault(
        "a proxy that joined after a revoke is not awaited",
        lambda: _replace_stop(
            lambda self, p, s, at: (
                s.state_since if p.joined and at is None and p.joined_at >= s.state_since else at
            )
        ),
    ),
    "given-empty": InjectedFault(
        "a slice that was just assigned is granted without waiting for the former pilot's leases",
        _grant_without_wait,
    ),
    "deaf-to-drains": InjectedFault("drains and removals in the list are ignored", _ignore_phases),
    "marks-again": InjectedFault(
        "only two marks: one is reused while an ack of its last use may arrive", _reuse_marks
    ),
    "ack-first": InjectedFault("an order is acked before it is applied", _ack_before_applying),
    "long-lease": InjectedFault("a proxy's lease lasts three times as long", _triple_lease),
    "no-lease": InjectedFault("writes are sent without a lease", _write_without_lease),
    "any-epoch": InjectedFault("a proxy accepts rows of an older epoch", _accept_older_epochs),
    "lease-goes-on": InjectedFault(
        "the lease of a slice that was revoked from its pilot stays valid", _keep_lease_of_revoked_slices
    ),
    "lines-lost": InjectedFault("a proxy acks orders but skips some of their lines", _skip_lines),
    "helpers-stay": InjectedFault(
        "the heartbeat task of a stream runs on after its end", _leak_heartbeat_tasks
    ),
    "epoch-stays": InjectedFault("an assignment does not raise the epoch", _keep_epoch),
    "reopened-at-once": InjectedFault(
        "a pilot's new session frees its slices for others at once", _free_slices_on_new_session
    ),
    "sends-raise": InjectedFault("sending to a broken stream raises in the sender", _raise_on_broken_stream),
    "list-unnamed": InjectedFault(
        "a restarted list service is taken for the former one", _ignore_list_identity
    ),
    "taken-at-once": InjectedFault(
        "a slice is reassigned before its pilot has told its proxies", _reassign_at_once
    ),
    "short-sessions": InjectedFault("the store ends sessions before their pilots do", _end_sessions_early),
    "restart-forgets": InjectedFault(
        "a restarted store reassigns slices of live sessions", _forget_sessions_on_restart
    ),
    "no-sync": InjectedFault("the store answers before its disk has synced", _skip_sync),
    "same-epochs": InjectedFault("a restarted store reuses epochs", _reuse_epochs),
    "always-in-charge": InjectedFault(
        "a pilot continues after its session has expired", _ignore_session_expiry
    ),
    "dropped-turn": InjectedFault(
        "an expired session continues after a batch was dropped", _ignore_dropped_batch
    ),
    "no-drift": InjectedFault("a pilot does not allow for clock drift in its session", _ignore_clock_drift),
    "sent-uncommitted": InjectedFault(
        "orders are sent to proxies before the store has committed them", _send_before_commit
    ),
    "denied-goes-out": InjectedFault(
        "denied orders are sent to proxies, and revoked slices are kept", _send_denied_orders
    ),
    "empty-overtake": InjectedFault(
        "batches without writes overtake those that wait for the store", _let_empty_batches_overtake
    ),
    "acks-date-back": InjectedFault("acks are backdated by 0.6 s", _backdate_acks),
    "leaves-in-silence": InjectedFault("proxies are not told of revoked slices", _revoke_silently),
    "gone-is-kept": InjectedFault("list entries of endpoints that are not on are dropped", _drop_removals),
}


def find_fault(task: tuple[str, int, int]) -> tuple[str, Optional[int], str]:
    """Returns the name of the fault, the first seed of a range that finds it, and the check that failed."""
    name, begin, end = task
    with inject_fault(name):
        for seed in range(begin, end):
            violations = run_scenario(draw(seed)).violations
            if violations:
                return name, seed, violations[0].check
    return name, None, ""


def find_faults(names: list[str], seeds: int, jobs: int) -> dict[str, tuple[Optional[int], str]]:
    """Returns for each fault the lowest seed that finds it, and the check that failed."""
    first_by_name: dict[str, tuple[Optional[int], str]] = {}
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        remaining, begin = list(names), 1
        while remaining and begin <= seeds:
            end = min(seeds + 1, begin + SEEDS_PER_TASK * max(1, math.ceil(jobs / len(remaining))))
            tasks = [
                (name, at, min(end, at + SEEDS_PER_TASK))
                for name in remaining
                for at in range(begin, end, SEEDS_PER_TASK)
            ]
            for name, seed, check in pool.map(find_fault, tasks):
                if seed is not None and name not in first_by_name:
                    first_by_name[name] = (seed, check)
            remaining = [name for name in remaining if name not in first_by_name]
            begin = end
    return {name: first_by_name.get(name, (None, "")) for name in names}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=MAX_SEEDS)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    names = [args.only] if args.only else list(INJECTED_FAULTS)
    for name, (seed, check) in find_faults(names, args.seeds, args.jobs).items():
        print(
            f"{name:<18} {'NOT FOUND' if seed is None else f'seed {seed}':<10} {check:<16} "
            f"{INJECTED_FAULTS[name].description}"
        )


if __name__ == "__main__":
    main()
