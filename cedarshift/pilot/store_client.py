"""The pilot's session at the store: opening, renewal, loss and ordered commits.

The pilot counts its lease from when it sent the newest answered renewal, the store from when it received
it. So the pilot always stops before the store considers the session expired.
"""

from __future__ import annotations

from typing import Callable, Optional, Protocol

from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import Backoff
from cedarshift.link import Link, connect
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

DIAL_TIMEOUT_US = 1_000_000  # connect and handshake; also for the answer to Open
MIN_REDIAL_DELAY_US = 100_000
MAX_REDIAL_DELAY_US = 2_000_000
DIAL_PERMIT_POLL_US = 20_000  # between checks whether the budget allows a dial
LEASE_JITTER_DIVISOR = 8  # while the lease runs, redials are spread over this fraction of it
CLOCK_DRIFT_DIVISOR = 500  # the lease is shortened by 1/500, as the store's clock may run up to 0.2% faster
RENEWALS_PER_LEASE = 4

CommitCallback = Callable[[list[m.DeniedWrite]], None]


class StoreObserver(Protocol):
    """Receives the changes of this pilot's slice assignment."""

    def on_slices_assigned(self, rows: list[m.SliceState]) -> None: ...
    def on_slices_revoked(self, slices: list[int]) -> None: ...
    def on_store_session_lost(self) -> None: ...


class StoreBudgets(Protocol):
    """The budgets that use the pilot's store session and limit how often the store is dialled.

    `wish` registers that one dial is wanted, `take` spends it from the budget if that is possible now.
    `holds_claims`: whether something ends for this pilot unless the store is back soon.
    """

    def on_store_link(self, link: Optional[Link]) -> None: ...
    def on_shares(self, message: m.BudgetSharesReply) -> None: ...
    def wish(self, use: str) -> None: ...
    def take(self, use: str) -> bool: ...
    def holds_claims(self) -> bool: ...


class StoreClient:
    """Keeps a pilot's session at the store open.

    `pilot_index` is the pilot's position among the deployment's pilots; `rng` returns random numbers in
    [0, 1).
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        identity: Identity,
        pilot_index: int,
        observer: StoreObserver,
        report: Callable[..., None],
        challenge: Callable[[], bytes] = lambda: b"",
        budgets: Optional[StoreBudgets] = None,
        *,
        rng: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.challenge = challenge
        self.address = address
        self.identity = identity
        self.pilot_index = pilot_index
        self.observer = observer
        self.report = report
        self.link: Optional[Link] = None
        self.valid_until = 0  # us, when the session's lease expires
        self.lease = 0  # us, as counted here: shortened for clock drift
        self.renewals: dict[int, int] = {}  # unanswered renewal -> when it was sent (us)
        self.last_number = 0  # of the commits and renewals, which are numbered together
        self.pending_commits: dict[int, CommitCallback] = {}  # by number
        self.budgets = budgets
        self.rng = rng
        self.backoff = Backoff(MIN_REDIAL_DELAY_US, MAX_REDIAL_DELAY_US, rng)
        self.lapsed = True  # no slices are assigned
        self.task = loop.spawn(self._session_loop(), "store session")

    def in_charge(self) -> bool:
        """Returns whether the lease runs, so that no other pilot can have this pilot's slices."""
        return self.loop.now() < self.valid_until

    def commit(self, writes: list[m.SliceWrite], then: CommitCallback) -> bool:
        """Sends writes and returns True, or returns False if there is no valid session.

        `then(denied)` is called once the store has answered, in the order of the commits. It is never called
        if the session ends before.
        """
        if self.link is not None and not self.in_charge():
            # Answers to renewals may still be unread, e.g. after the process was suspended. They must not
            # revive the session: this batch is dropped, so the slices have to be assigned anew.
            self.link.close("lapsed", "the charge ended before its renewal was read")
            self._check_lapsed()
        if self.link is None or not self.in_charge():
            return False
        self.last_number += 1
        self.pending_commits[self.last_number] = then
        self.link.send(m.Commit(self.last_number, writes))
        return True

    def stop(self) -> None:
        """Releases the slices and ends the session. The proxies must have been informed before."""
        self.task.cancel()
        self._release_slices()
        if self.link is not None:
            self.link.send(m.Leave())
            self.link.close("stopping", "the pilot stops")

    # ---- session

    def _session_loop(self) -> Coroutine:
        """Dials the store, runs the session and redials after it has ended."""
        while True:
            yield from self._await_dial_permit()
            min_wait = 0
            try:
                link, first = yield from connect(
                    self.loop,
                    self.address,
                    Session(self.identity, challenge=self.challenge()),
                    DIAL_TIMEOUT_US,
                )
                yield from self._run_session(link, first)
            except (StreamBroken, ProtocolError, TimedOut) as error:
                min_wait = getattr(error, "after", 0)
                self.report("store_lost", reason=str(error) or "silence")
            yield from self._wait_before_redial(min_wait)

    def _await_dial_permit(self) -> Coroutine:
        """Waits until the budget allows a dial, releasing the slices if their lease expires meanwhile."""
        if self.budgets is not None:
            self.budgets.wish("store_dials")
            while not self.budgets.take("store_dials"):
                yield from self.loop.sleep(DIAL_PERMIT_POLL_US)
                self._check_lapsed()

    def _wait_before_redial(self, min_wait: int) -> Coroutine:
        """Waits at least `min_wait` us, releasing the slices if their lease expires meanwhile.

        While the lease runs, or claims are held, the wait stays short, so that a store that returns in time
        is found.
        """
        wait = self.backoff.wait(min_wait)
        holds_something = not self.lapsed or (self.budgets is not None and self.budgets.holds_claims())
        if holds_something and not min_wait:
            wait = min(wait, MIN_REDIAL_DELAY_US + int(self.rng() * self.lease / LEASE_JITTER_DIVISOR))
        until = self.loop.now() + wait
        if not self.lapsed and self.valid_until <= until:
            yield from self.loop.sleep(self.valid_until - self.loop.now())
            self._check_lapsed()
        yield from self.loop.sleep(until - self.loop.now())

    def _check_lapsed(self) -> None:
        """Releases the slices if the lease has expired."""
        if not self.lapsed and not self.in_charge():
            self.report("charge_lapsed")
            self._release_slices()

    def _release_slices(self) -> None:
        """Informs the observer, once per session, that no slice is assigned any more."""
        if not self.lapsed:
            self.lapsed = True
            self.observer.on_store_session_lost()

    def _run_session(self, link: Link, first: list[m.Message]) -> Coroutine:
        """Opens a session on a connection and handles its messages until it ends."""
        opened_at = self.loop.now()
        link.send(m.Open(self.pilot_index))
        renewer = None  # set once this connection's session is open
        messages = first
        try:
            while True:
                for message in messages:
                    if isinstance(message, m.Opened):
                        self.link, self.lease = link, message.lease - message.lease // CLOCK_DRIFT_DIVISOR
                        self.backoff.reset()
                        self._release_slices()  # the store assigns them anew with their committed state
                        self.valid_until = opened_at + self.lease
                        renewer = self.loop.spawn(self._renew_loop(link), "store renew")
                        if self.budgets is not None:
                            self.budgets.on_store_link(link)
                    else:
                        self._handle_message(message)
                # Before the answer, valid_until still belongs to the former session.
                deadline = self.valid_until if renewer is not None else opened_at + DIAL_TIMEOUT_US
                messages = yield from link.receive(deadline)
        finally:
            if renewer is not None:
                renewer.cancel()
            self.link = None
            if self.budgets is not None:
                self.budgets.on_store_link(None)
            self.pending_commits.clear()  # the next assignment shows which of them were committed
            link.close("leaving", "this connection is given up")
            self._check_lapsed()

    def _handle_message(self, message: m.Message) -> None:
        if isinstance(message, m.Renewed):
            sent_at = self.renewals.pop(message.n, None)
            if sent_at is not None:
                self.valid_until = max(self.valid_until, sent_at + self.lease)
        elif isinstance(message, m.AssignSlices):
            self.lapsed = False
            self.observer.on_slices_assigned(message.slices)
        elif isinstance(message, m.RevokeSlices):
            self.observer.on_slices_revoked(message.slices)
            if self.link is not None:
                self.link.send(m.SlicesReleased(message.number))
        elif isinstance(message, m.BudgetSharesReply):
            if self.budgets is not None:
                self.budgets.on_shares(message)
        elif isinstance(message, m.Committed):
            then = self.pending_commits.pop(message.number, None)
            if then is not None:
                then(message.denied)

    def _renew_loop(self, link: Link) -> Coroutine:
        """Renews the lease periodically, starting after a random part of the period to spread the pilots."""
        self.renewals.clear()
        interval = self.lease // RENEWALS_PER_LEASE
        wait = int(interval * self.rng())
        while not link.closed:
            yield from self.loop.sleep(wait)
            wait = interval
            self.last_number += 1
            self.renewals[self.last_number] = self.loop.now()
            try:
                link.send(m.Renew(self.last_number))
            except StreamBroken:
                return
