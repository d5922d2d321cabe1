"""Runs the pilot, the store and registrations as processes that are reloaded and stopped by signals."""

from __future__ import annotations

import random
import signal
import sqlite3
from typing import Any, Callable, Optional

from cedarshift.budgets.desk import ShareAllocator, open_share_allocator
from cedarshift.budgets.ledger import ShareLedger
from cedarshift.budgets.pilot import open_budgets
from cedarshift.codec import Identity
from cedarshift.deployment import Deployment, InvalidFile, load
from cedarshift.deployment.deployment import diff_settings
from cedarshift.gossip.service import Membership, MembershipConfig
from cedarshift.judge.roll import DEAD
from cedarshift.loop import Loop, listen
from cedarshift.loop.core import Coroutine, Task
from cedarshift.loop.epoll import Signals, random_bytes, real_loop, wall_clock
from cedarshift.overload.start import open_overload
from cedarshift.pilot import PilotService
from cedarshift.pilot.admin import admin_handler
from cedarshift.pilot.rights import attach_claims
from cedarshift.roster.formats import Member
from cedarshift.roster.register import Registration, RegistrationSettings
from cedarshift.store.ledger import Ledger
from cedarshift.store.service import StoreService
from cedarshift.web import serve_http

Report = Callable[..., None]
FLUSH_TIME_US = 300_000  # time for the last frames to be sent after a stop
CHALLENGE_BYTES = 16


def open_store(loop: Loop, deployment: Deployment) -> StoreService:
    """Opens the store. Raises DamagedLedgerError if its file is damaged, OSError if the address is in use."""
    settings = deployment.store
    if settings is None:
        raise ValueError(f"{deployment.file} has no block store")
    ledger = Ledger(deployment.resolve_path(settings.path), deployment.name, deployment.slices)
    identity = Identity(deployment.name, "store", "store", "", deployment.secret)
    return StoreService(
        loop,
        listen(loop, settings.listen),
        ledger,
        identity,
        [pilot.name for pilot in deployment.pilots],
        settings.session_lease,
        settings.takeover,
        settings.back_after,
        lambda: random_bytes(CHALLENGE_BYTES),
        open_share_desk(loop, deployment),
    )


def new_incarnation() -> int:
    """Returns a random incarnation of a process, of 52 bits so that it fits an integer on the wire."""
    return 1 + (int.from_bytes(random_bytes(8), "big") >> 12)


def open_share_desk(loop: Loop, deployment: Deployment) -> Optional[ShareAllocator]:
    """Opens the budget shares, in a file next to the store's; None if the deployment has no budgets.

    Raises DamagedLedgerError.
    """
    if deployment.budgets is None or deployment.store is None:
        return None
    return open_share_allocator(
        loop,
        deployment.budgets,
        len(deployment.pilots),
        new_incarnation(),
        ShareLedger(deployment.resolve_path(deployment.store.path) + "-shares"),
    )


def dead_pilots(service: PilotService) -> list[str]:
    """Returns the pilots that a majority declares dead; empty without a block membership."""
    if service.membership is None:
        return []
    roll = service.membership.member.table
    return [name for name in roll.names if name in roll.verdicts and roll.states[name] == DEAD]


def _run_until_stopped(
    loop: Loop, signals: Signals, reload: Callable[[], None], fatal: Optional[Task]
) -> Coroutine:
    """Waits for SIGTERM or SIGINT, reloading on SIGHUP; returns the exit code.

    A failed write of the store also stops the process, because its memory is then ahead of its disk.
    """

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
        received = yield from signals.next()
        if received != signal.SIGHUP:
            return 1 if failed else 0
        reload()


def run_store(deployment: Deployment, report: Report) -> int:
    """Serves the store until stopped and returns the exit code."""
    loop = real_loop(report)
    loop.stream_memory.set_limit(deployment.memory)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    service = open_store(loop, deployment)
    report("store_serves", address=service.listener.address, slices=deployment.slices)

    def main() -> Coroutine:
        code = yield from _run_until_stopped(
            loop,
            signals,
            lambda: report("reload_refused", reason="a store has no settings that can be reloaded"),
            service.tasks[0],
        )
        service.stop()
        yield from loop.sleep(FLUSH_TIME_US // 3)
        return code

    return loop.run(loop.spawn(main(), "main"))


def reload_deployment(deployment: Deployment, report: Report) -> Optional[Deployment]:
    """Reads the deployment file again; if it can't be applied, logs the reason and returns None."""
    try:
        new_deployment = load(deployment.file)
    except (OSError, InvalidFile) as error:
        report("reload_refused", reason=str(error))
        return None
    changed, unchangeable = diff_settings(deployment, new_deployment)
    if unchangeable:
        report(
            "reload_refused",
            reason=f"{', '.join(unchangeable)} can't change while a pilot runs; restart the pilot",
        )
        return None
    report("reloaded", changed=changed)
    return new_deployment


def open_membership(loop: Loop, deployment: Deployment, name: str, report: Report) -> Optional[Membership]:
    """Starts membership tracking; None if the deployment has no block membership.

    The incarnation is the wall clock with random low bits, so that two processes of one name differ. If the
    clock has gone back, the later process takes a higher incarnation from what the other pilots report.
    """
    settings = deployment.membership
    if settings is None:
        return None
    addresses = {pilot.name: pilot.gossip for pilot in deployment.pilots if pilot.gossip is not None}
    random_bits = int.from_bytes(random_bytes(8), "big")
    incarnation = wall_clock() // 1000 << 20 | random_bits & 0xFFFFF
    return Membership(
        loop,
        MembershipConfig(settings.period, addresses),
        name,
        deployment.name,
        deployment.secret,
        incarnation,
        random_bits,
        report,
    )


def run_pilot(deployment: Deployment, name: str, report: Report) -> int:
    """Runs a pilot until stopped, with the store if it is embedded, and returns the exit code."""
    loop = real_loop(report)
    loop.stream_memory.set_limit(deployment.memory)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    settings = deployment.pilot(name)
    embedded = deployment.store is not None and deployment.store.embedded
    store = open_store(loop, deployment) if embedded else None
    seed = int.from_bytes(random_bytes(8), "big")
    service = PilotService(
        loop,
        listen(loop, settings.listen),
        deployment,
        name,
        seed,
        report,
        lambda: random_bytes(CHALLENGE_BYTES),
    )
    service.membership = open_membership(loop, deployment, name, report)
    service.budgets = open_budgets(
        loop,
        deployment.budgets,
        len(deployment.pilots),
        new_incarnation(),
        report,
        lambda: dead_pilots(service),
    )
    attach_claims(service)
    service.overload = open_overload(loop, deployment, service, new_incarnation(), report)
    if settings.admin is not None:
        loop.spawn(serve_http(loop, listen(loop, settings.admin), admin_handler(service)), "admin")
    report("pilot_serves", address=settings.listen, proxies_most=deployment.proxies_most)

    def reload() -> None:
        new_deployment = reload_deployment(service.deployment, report)
        if new_deployment is not None:
            service.reload(new_deployment)

    def main() -> Coroutine:
        code = yield from _run_until_stopped(loop, signals, reload, store.tasks[0] if store else None)
        if service.membership is not None:
            service.membership.leave()
        if service.budgets is not None:
            yield from service.budgets.leave()
        service.stop()
        yield from loop.sleep(FLUSH_TIME_US)
        if store is not None:
            store.stop()
        report("pilot_stopped")
        return code

    return loop.run(loop.spawn(main(), "main"))


def run_registration(deployment: Deployment, member: Member, drain: int, report: Report) -> int:
    """Keeps a member registered until SIGTERM or SIGINT, then drains it for `drain` us and removes it."""
    nodes = deployment.listed.nodes
    assert nodes is not None
    loop = real_loop(report)
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT])  # type: ignore[arg-type]
    rng = random.Random(random_bytes(8))
    if not member.start:
        member = member._replace(start=random_bytes(6).hex())
    terms = RegistrationSettings(
        nodes.servers, nodes.path, nodes.session_timeout, nodes.format, deployment.name, nodes.auth
    )
    registration = Registration(loop, terms, member, rng.random, report)

    def main() -> Coroutine:
        yield from signals.next()
        report("draining", endpoint=member.endpoint, for_s=drain / 1e6)
        registration.drain()
        yield from loop.sleep(drain)
        yield from registration.leave()
        return 0

    return loop.run(loop.spawn(main(), "main"))


__all__ = ["Any", "run_pilot", "run_registration", "run_store"]
