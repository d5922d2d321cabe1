"""Faults planted in the real code, one at a time, each to be found by some seed. One that no seed finds is a hole in the scenarios or in what is checked.

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
from cedarshift.sim.play import play
from cedarshift.sim.scenario import draw

SEEDS = 400  # within which each is to be found
SEEDS_AT_ONCE = 8  # played by one process between two looks whether one has found it

Patches = list[tuple[Any, str, Any]]


class Planted(NamedTuple):
    what: str
    patches: Callable[[], Patches]


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The fault is in force inside."""
    before = []
    try:
        for where, attribute, value in PLANTED[name].patches():
            before.append((where, attribute, getattr(where, attribute)))
            setattr(where, attribute, value)
        yield
    finally:
        for where, attribute, value in reversed(before):
            setattr(where, attribute, value)


# ---- the module


def _no_settle() -> Patches:
    init = Pilot.__init__

    def made(self: Any, terms: Any) -> None:
        init(self, terms)
        self.settle = 0

    return [(Pilot, "__init__", made)]


def _stops(change: Callable[[Any, Any, Any, Optional[int]], Optional[int]]) -> Patches:
    stop = WriteStops.stop
    return [(WriteStops, "stop", lambda self, p, s: change(self, p, s, stop(self, p, s)))]


def _given_empty() -> Patches:
    given = Pilot.on_given

    def on_given(self: Any, now: int, slice_id: int, held: bool) -> None:
        given(self, now, slice_id, held)
        if held:
            self.slices[slice_id].state = brain.EMPTY

    return [(Pilot, "on_given", on_given)]


def _deaf_to_drains() -> Patches:
    def set_phase(self: Any, e: Any, phase: str, now: int) -> None:
        e.phase = "on"

    return [(Pilot, "_set_phase", set_phase)]


# ---- proxies


def _ack_first() -> Patches:
    take = Agent._handle_message

    def late(self: Any, name: str, link: Any, message: Any, beats: Any, cost: int) -> Coroutine:
        if (
            isinstance(message, m.Order) and message.mark is not None and self.badge.id[-1] in "13"
        ):  # not all alike
            link.send(m.Ack(message.mark))
            yield from self.loop.sleep(300_000)
            message = m.Order(message.seq, message.waited, message.lines, message.levels)
        yield from take(self, name, link, message, beats, cost)

    return [(Agent, "_handle_message", late)]


def _lease_when_answered() -> Patches:
    def on_lease(self: Any, pilot: str, asked_at: int) -> None:
        view = self.views[pilot]
        view.lease_until = max(view.lease_until, asked_at + 3 * self.lease)

    return [(Tables, "on_lease", on_lease)]


def _no_lease() -> Patches:
    pick = Tables.pick

    def picked(self: Any, now: int, slice_id: int, op_type: int, chance: float) -> Any:
        self.single_owner = False
        return pick(self, now, slice_id, op_type, chance)

    return [(Tables, "pick", picked)]


def _any_epoch() -> Patches:
    def take(self: Any, row: Any, pilot: str) -> None:
        holding = self.held[row.slice]
        holding.epoch, holding.pilot, holding.owner = row.epoch, pilot, row.owner
        holding.levels, holding.writes_until = list(row.levels), None

    return [(Tables, "_adopt_row", take)]


def _lease_goes_on() -> Patches:
    return [(Tables, "_revoke", lambda self, now, holding: None)]


def _lines_are_passed_over() -> Patches:
    set_owner = Tables._set_owner

    def some(self: Any, pilot: str, line: Any) -> None:
        if line.weight > 0 or line.table % 2:
            set_owner(self, pilot, line)

    return [(Tables, "_set_owner", some), (Tables, "_check_level", lambda self, levels, table, op_type: None)]


def _helpers_stay() -> Patches:
    beat = Agent._heartbeat_loop

    def on_and_on(self: Any, every: int) -> Coroutine:
        while True:
            yield from self.loop.sleep(every)

    def beats(self: Any, name: str, link: Any, sent: Any, every: int) -> Coroutine:
        self.loop.spawn(on_and_on(self, every), f"agent {name} beat again")
        yield from beat(self, name, link, sent, every)

    return [(Agent, "_heartbeat_loop", beats)]


# ---- the store


def _epoch_stays() -> Patches:
    step = SliceAssignment.step

    def stepped(self: Any, now: int) -> Any:
        before = {number: row.epoch for number, row in self.rows.items()}
        found = step(self, now)
        for row in found.changed:
            row.epoch = max(1, before[row.slice])
        return found

    return [(SliceAssignment, "step", stepped)]


def _reopened_at_once() -> Patches:
    """As it was until run 20125 found it."""
    opened = SliceAssignment.open

    def open_anew(self: Any, now: int, pilot: str) -> int:
        number = opened(self, now, pilot)
        self.regrant.clear()
        for row in self.rows.values():
            if row.pilot == pilot:
                row.pilot = ""
        return number

    return [(SliceAssignment, "open", open_anew)]


def _sends_raise() -> Patches:
    """As it was until run 102 found it."""

    def send(self: Any, message: Any) -> None:
        if not self.closed:
            self.stream.write(self.session.send(message))

    return [(Link, "send", send)]


def _list_without_name() -> Patches:
    """As it was until run 312 found it."""
    call = ServiceSource._fetch

    def called(self: Any) -> Coroutine:
        name, self.name = self.name, "unnamed"
        self.name = name.removeprefix("list:")
        yield from call(self)

    return [(ServiceSource, "_fetch", called)]


def _taken_at_once() -> Patches:
    step = SliceAssignment.step

    def stepped(self: Any, now: int) -> Any:
        found = step(self, now)
        for pilot, numbers in found.taken.items():
            self.released(pilot, numbers)
        return found

    return [(SliceAssignment, "step", stepped)]


def _short_sessions() -> Patches:
    def renew(self: Any, now: int, pilot: str, number: int) -> bool:
        holder = self.holders.get(pilot)
        if holder is None or holder.number != number or now >= holder.until:
            return False
        holder.until = now + self.lease // 3
        return True

    return [(SliceAssignment, "renew", renew)]


def _restart_forgets() -> Patches:
    init = SliceAssignment.__init__

    def made(self: Any, *args: Any, **named: Any) -> None:
        init(self, *args, **named)
        self.holders.clear()
        for row in self.rows.values():
            row.pilot = ""

    return [(SliceAssignment, "__init__", made)]


def _no_sync() -> Patches:
    return [
        (Disk, "sync", lambda self: self.synced.append(self.cached.pop(0)) if len(self.cached) > 3 else None)
    ]


def _same_epochs_again() -> Patches:
    init = SliceAssignment.__init__

    def made(
        self: Any, rows: Any, pilots: Any, lease: int, takeover: int, back_after: int, now: int, life: int = 1
    ) -> None:
        init(self, rows, pilots, lease, takeover, back_after, now, 1)

    return [(SliceAssignment, "__init__", made)]


# ---- the pilot


def _always_in_charge() -> Patches:
    return [
        (StoreClient, "in_charge", lambda self: not self.lapsed),
        (StoreClient, "_check_lapsed", lambda self: None),
    ]


def _dropped_turn_forgotten() -> Patches:
    """As it was until run 3981 found it."""

    def commit(self: Any, writes: Any, then: Any) -> bool:
        if self.link is None or not self.in_charge():
            return False
        self.last_number += 1
        self.pending_commits[self.last_number] = then
        self.link.send(m.Commit(self.last_number, writes))
        return True

    return [(StoreClient, "commit", commit)]


def _no_drift_taken_off() -> Patches:
    """As it was until run 718 found it."""
    return [(store_client, "CLOCK_DRIFT_DIVISOR", 1 << 40)]


def _sent_before_committed() -> Patches:
    order = PilotService._submit_batch

    def sent(self: Any, turn: Any) -> None:
        if self.deployment.slices:
            self._send_batch(turn)
        order(self, turn)

    return [(PilotService, "_submit_batch", sent)]


def _denied_goes_out() -> Patches:
    committed = PilotService._committed

    def all_of_it(self: Any, turn: Any, writes: Any, denied: Any) -> None:
        committed(self, turn, writes, [])

    return [
        (PilotService, "_committed", all_of_it),
        (PilotService, "on_slices_revoked", lambda self, slices: None),
    ]


def _empty_turns_overtake() -> Patches:
    order = PilotService._submit_batch

    def ordered(self: Any, turn: Any) -> None:
        if self.deployment.slices and not self._writes(turn):
            self._send_batch(turn)
        else:
            order(self, turn)

    return [(PilotService, "_submit_batch", ordered)]


def _acks_date_back() -> Patches:
    ack = Pilot.on_ack
    return [(Pilot, "on_ack", lambda self, now, proxy, mark, took: ack(self, now, proxy, mark, took - 6_000))]


def _leaves_in_silence() -> Patches:
    """Proxies are not told that slices leave, and the store is told that they were."""

    def taken(self: Any, slices: list[int]) -> None:
        for number in slices:
            self.slices.pop(number, None)
            self.brain.on_given(self._now_ticks(), number, False)

    return [(PilotService, "on_slices_revoked", taken)]


def _gone_is_kept() -> Patches:
    call = ServiceSource._fetch

    def kept(self: Any) -> Coroutine:
        tell = self.tell
        self.tell = lambda kind, entries: tell(kind, [e for e in entries if e.phase == "on"])
        try:
            yield from call(self)
        finally:
            self.tell = tell

    return [(ServiceSource, "_fetch", kept)]


def _marks_come_again() -> Patches:
    return [(brain, "MARKS", 2), (write_stops, "BARRIERS", 2)]


PLANTED: dict[str, Planted] = {
    "no-settle": Planted("the settle time is skipped", _no_settle),
    "no-ack": Planted(
        "a revoke is not awaited at joined proxies",
        lambda: _stops(lambda self, p, s, at: s.since if p.joined and at is None else at),
    ),
    "left-at-once": Planted(
        "a proxy whose stream broke counts as stopped without its lease",
        lambda: _stops(lambda self, p, s, at: at if p.joined else p.left_at),
    ),
    "newcomer": Planted(
        "a proxy that joined after a revoke is not awaited",
        lambda: _stops(
            lambda self, p, s, at: s.since if p.joined and at is None and p.joined_at >= s.since else at
        ),
    ),
    "given-empty": Planted(
        "a slice that was just given is granted without waiting out the former pilot", _given_empty
    ),
    "deaf-to-drains": Planted("the list's drains and deaths are not heard", _deaf_to_drains),
    "marks-again": Planted(
        "a ring of two marks: one is used again while it may still be acked", _marks_come_again
    ),
    "ack-first": Planted("an order is acked before it is in force", _ack_first),
    "long-lease": Planted("a proxy's lease runs three times as long", _lease_when_answered),
    "no-lease": Planted("writes go out without a lease", _no_lease),
    "any-epoch": Planted("a proxy takes rows of an older epoch", _any_epoch),
    "lease-goes-on": Planted("the lease of a slice that left its pilot's charge goes on", _lease_goes_on),
    "lines-lost": Planted("a proxy acks orders of which it passes over some lines", _lines_are_passed_over),
    "helpers-stay": Planted("a stream's beats go on after its end", _helpers_stay),
    "epoch-stays": Planted("a giving does not raise the epoch", _epoch_stays),
    "reopened-at-once": Planted(
        "a pilot's new session frees its slices for others at once", _reopened_at_once
    ),
    "sends-raise": Planted("a message to a stream that has just broken ends its sender", _sends_raise),
    "list-unnamed": Planted("a list service that counts anew is taken for an old one", _list_without_name),
    "taken-at-once": Planted("a slice is given on before its pilot has told its proxies", _taken_at_once),
    "short-sessions": Planted("the store ends sessions before their pilots do", _short_sessions),
    "restart-forgets": Planted("a store that starts gives away what sessions still hold", _restart_forgets),
    "no-sync": Planted("the store answers before its disk has synced", _no_sync),
    "same-epochs": Planted("lives of the store use the same epochs", _same_epochs_again),
    "always-in-charge": Planted("a pilot goes on after its session must have ended", _always_in_charge),
    "dropped-turn": Planted(
        "a charge that had lapsed goes on after a turn was dropped", _dropped_turn_forgotten
    ),
    "no-drift": Planted(
        "a pilot's session lasts as long by its clock as by the store's", _no_drift_taken_off
    ),
    "sent-uncommitted": Planted("orders reach proxies before the store has them", _sent_before_committed),
    "denied-goes-out": Planted(
        "orders that the store refused reach proxies, and what was taken stays", _denied_goes_out
    ),
    "empty-overtake": Planted(
        "turns without writes overtake those that wait for the store", _empty_turns_overtake
    ),
    "acks-date-back": Planted("acks count as of 0.6 s before", _acks_date_back),
    "leaves-in-silence": Planted("proxies are not told that slices leave", _leaves_in_silence),
    "gone-is-kept": Planted("the list's news of endpoints that are not on is dropped", _gone_is_kept),
}


def first_found(task: tuple[str, int, int]) -> tuple[str, Optional[int], str]:
    """The first of a run of seeds that finds a planted fault, and by what."""
    name, begin, end = task
    with planted(name):
        for seed in range(begin, end):
            broken = play(draw(seed)).broken
            if broken:
                return name, seed, broken[0].what
    return name, None, ""


def hunt_planted(names: list[str], seeds: int, jobs: int) -> dict[str, tuple[Optional[int], str]]:
    """By name the lowest seed that finds it, and what was broken; the seeds go in steps, so that an easy one costs little."""
    found: dict[str, tuple[Optional[int], str]] = {}
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        left, begin = list(names), 1
        while left and begin <= seeds:
            end = min(seeds + 1, begin + SEEDS_AT_ONCE * max(1, math.ceil(jobs / len(left))))
            tasks = [
                (name, at, min(end, at + SEEDS_AT_ONCE))
                for name in left
                for at in range(begin, end, SEEDS_AT_ONCE)
            ]
            for name, seed, what in pool.map(first_found, tasks):
                if seed is not None and name not in found:
                    found[name] = (seed, what)
            left = [name for name in left if name not in found]
            begin = end
    return {name: found.get(name, (None, "")) for name in names}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    names = [args.only] if args.only else list(PLANTED)
    for name, (seed, what) in hunt_planted(names, args.seeds, args.jobs).items():
        print(
            f"{name:<18} {'NOT FOUND' if seed is None else f'seed {seed}':<10} {what:<16} {PLANTED[name].what}"
        )


if __name__ == "__main__":
    main()
