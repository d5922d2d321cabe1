"""The pilot and the store as processes: started, reloaded and stopped by signals."""

from __future__ import annotations

import random
import signal
import sqlite3
from typing import Any, Callable, Optional

from cedarshift.budgets.desk import ShareAllocator, open_share_allocator
from cedarshift.budgets.ledger import ShareLedger
from cedarshift.budgets.pilot import open_budgets
from cedarshift.codec import Identity
from cedarshift.deployment import Deployment, FileRefused, load
from cedarshift.deployment.deployment import changes
from cedarshift.gossip.service import Membership, MembershipTerms
from cedarshift.judge.roll import DEAD
from cedarshift.loop import Loop, listen
from cedarshift.loop.core import Coroutine, Task
from cedarshift.loop.epoll import Signals, random_bytes, real_loop, wall_clock
from cedarshift.overload.start import open_overload
from cedarshift.pilot import PilotService
from cedarshift.pilot.admin import admin_handler
from cedarshift.pilot.rights import attach_claims
from cedarshift.roster.formats import Member
from cedarshift.roster.register import RegisterTerms, Registration
from cedarshift.store.ledger import Ledger
from cedarshift.store.service import StoreService
from cedarshift.web import serve_http

Report = Callable[..., None]
LAST_WORDS = 300_000  # us for the last frames to leave after a stop
CHALLENGE = 16  # bytes


def open_store(loop: Loop, deployment: Deployment) -> StoreService:
    """Raises DamagedLedgerError if the file can't be trusted, OSError if the address is taken."""
    place = deployment.store
    if place is None:
        raise ValueError(f"{deployment.file} has no block store")
    ledger = Ledger(deployment.beside(place.path), deployment.name, deployment.slices)
    identity = Identity(deployment.name, "store", "store", "", deployment.secret)
    return StoreService(
        loop,
        listen(loop, place.listen),
        ledger,
        identity,
        [p.name for p in deployment.pilots],
        place.session_lease,
        place.takeover,
        place.back_after,
        lambda: random_bytes(CHALLENGE),
        share_desk(loop, deployment),
    )


def fresh_life() -> int:
    """Names one life of a process; 52 bits, so that it travels as a count."""
    return 1 + (int.from_bytes(random_bytes(8), "big") >> 12)


def share_desk(loop: Loop, deployment: Deployment) -> Optional[ShareAllocator]:
    """None where the deployment has no budgets. Its file lies beside the store's. Raises DamagedLedgerError."""
    if deployment.budgets is None or deployment.store is None:
        return None
    return open_share_allocator(
        loop,
        deployment.budgets,
        len(deployment.pilots),
        fresh_life(),
        ShareLedger(deployment.beside(deployment.store.path) + "-shares"),
    )


def held_for_dead(service: PilotService) -> list[str]:
    """By most of the pilots, where they keep a roll."""
    if service.membership is None:
        return []
    roll = service.membership.member.roll
    return [name for name in roll.names if name in roll.verdicts and roll.states[name] == DEAD]


def _until_stopped(
    loop: Loop, signals: Signals, reload: Callable[[], None], fatal: Optional[Task]
) -> Coroutine:
    """SIGHUP reloads; SIGTERM and SIGINT stop; a store that can't write stops too, since its memory is ahead of its disk."""

    def watch_fatal() -> Coroutine:
        assert fatal is not None
        try:
            yield from fatal.join()
        except sqlite3.Error as error:
            loop.report("store_failed", reason=str(error))
            failed.append(error)
            signals.pending.append(signal.SIGTERM)
            if signals.waiting is not None:
                signals.waiting.wake()

    failed: list[Exception] = []
    if fatal is not None:
        loop.spawn(watch_fatal(), "store watch")
    while True:
        number = yield from signals.next()
        if number != signal.SIGHUP:
            return 1 if failed else 0
        reload()


def run_store(deployment: Deployment, report: Report) -> int:
    loop = real_loop(report)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    service = open_store(loop, deployment)
    report("store_serves", address=service.listener.address, slices=deployment.slices)

    def main() -> Coroutine:
        code = yield from _until_stopped(
            loop,
            signals,
            lambda: report("reload_refused", reason="a store has nothing that may change while it runs"),
            service.tasks[0],
        )
        service.stop()
        yield from loop.sleep(LAST_WORDS // 3)
        return code

    return loop.run(loop.spawn(main(), "main"))


def reloaded(deployment: Deployment, report: Report) -> Optional[Deployment]:
    """The deployment as its file says now; None, with the reason told, where it may not be taken over."""
    try:
        new = load(deployment.file)
    except (OSError, FileRefused) as error:
        report("reload_refused", reason=str(error))
        return None
    may, must_not = changes(deployment, new)
    if must_not:
        report("reload_refused", reason=f"{', '.join(must_not)} can't change while a pilot runs; restart it")
        return None
    report("reloaded", changed=may)
    return new


def open_membership(loop: Loop, deployment: Deployment, name: str, report: Report) -> Optional[Membership]:
    """None where the deployment has no block membership. A life's start is the wall clock at its begin with some chance, so that
    two of one name differ; where the clock has gone back, the later life takes a higher one from what the others tell."""
    plan = deployment.membership
    if plan is None:
        return None
    addresses = {place.name: place.gossip for place in deployment.pilots if place.gossip is not None}
    drawn = int.from_bytes(random_bytes(8), "big")
    start = wall_clock() // 1000 << 20 | drawn & 0xFFFFF
    return Membership(
        loop,
        MembershipTerms(plan.period, addresses),
        name,
        deployment.name,
        deployment.secret,
        start,
        drawn,
        report,
    )


def run_pilot(deployment: Deployment, name: str, report: Report) -> int:
    loop = real_loop(report)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    place = deployment.pilot(name)
    embedded = deployment.store is not None and deployment.store.embedded
    store = open_store(loop, deployment) if embedded else None
    seed = int.from_bytes(random_bytes(8), "big")
    service = PilotService(
        loop, listen(loop, place.listen), deployment, name, seed, report, lambda: random_bytes(CHALLENGE)
    )
    service.membership = open_membership(loop, deployment, name, report)
    service.budgets = open_budgets(
        loop, deployment.budgets, len(deployment.pilots), fresh_life(), report, lambda: held_for_dead(service)
    )
    attach_claims(service)
    service.overload = open_overload(loop, deployment, service, fresh_life(), report)
    if place.admin is not None:
        loop.spawn(serve_http(loop, listen(loop, place.admin), admin_handler(service)), "admin")
    report("pilot_serves", address=place.listen, proxies_most=deployment.proxies_most)

    def reload() -> None:
        new = reloaded(service.deployment, report)
        if new is not None:
            service.reload(new)

    def main() -> Coroutine:
        code = yield from _until_stopped(loop, signals, reload, store.tasks[0] if store else None)
        if service.membership is not None:
            service.membership.leave()
        if service.budgets is not None:
            yield from service.budgets.leave()
        service.stop()
        yield from loop.sleep(LAST_WORDS)
        if store is not None:
            store.stop()
        report("pilot_stopped")
        return code

    return loop.run(loop.spawn(main(), "main"))


def run_registration(deployment: Deployment, member: Member, drain: int, report: Report) -> int:
    """Registered until SIGTERM or SIGINT; then it drains for a while and leaves."""
    nodes = deployment.listed.nodes
    assert nodes is not None
    loop = real_loop(report)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT])  # type: ignore[arg-type]
    chance = random.Random(random_bytes(8))
    if not member.start:
        member = member._replace(start=random_bytes(6).hex())
    terms = RegisterTerms(
        nodes.servers, nodes.path, nodes.session_timeout, nodes.format, deployment.name, nodes.auth
    )
    kept = Registration(loop, terms, member, chance.random, report)

    def main() -> Coroutine:
        yield from signals.next()
        report("draining", endpoint=member.endpoint, for_s=drain / 1e6)
        kept.drain()
        yield from loop.sleep(drain)
        yield from kept.leave()
        return 0

    return loop.run(loop.spawn(main(), "main"))


__all__ = ["Any", "run_pilot", "run_registration", "run_store"]
