"""The pilot's session at the store: opened, renewed, lost; commits in order.

The session counts as standing until `lease` after the *asking* of the newest renewal that was answered; the store
counts from when it heard, which is later. So the pilot stops first.
"""

from __future__ import annotations

from typing import Callable, Optional, Protocol

from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.judge.redial import Redial
from cedarshift.link import Link, connect
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine

DIAL_TIMEOUT = 1_000_000  # us
REDIAL_FIRST = 100_000  # us before the first try anew; the store is one process, nearby
REDIAL_MOST = 2_000_000  # us; a store that is gone for long is not dialled by all pilots ten times a second
DIAL_LOOK = 20_000  # us between two looks for leave to dial
IN_LEASE = 8  # parts of a lease that a wait covers at most while the charge stands
DRIFT_PARTS = (
    500  # a lease is shorter here by one of so many parts: the store's clock may run faster, by 0.2% at most
)
RENEWALS = 4  # renewals in a lease, so that three may be lost

Then = Callable[[list[m.DeniedWrite]], None]


class Charged(Protocol):
    """Who is told."""

    def on_store_given(self, rows: list[m.SliceState]) -> None: ...
    def on_store_taken(self, slices: list[int]) -> None: ...
    def on_store_lost(self) -> None: ...


class Spends(Protocol):
    """Who asks the store for shares, on the pilot's session, and says when a dial may be made."""

    def on_store_link(self, link: Optional[Link]) -> None: ...
    def on_shares(self, message: m.BudgetSharesReply) -> None: ...
    def wish(self, use: str) -> None: ...
    def take(self, use: str) -> bool: ...


class StoreClient:
    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        identity: Identity,
        place: int,
        told: Charged,
        report: Callable[..., None],
        challenge: Callable[[], bytes] = lambda: b"",
        budgets: Optional[Spends] = None,
        *,
        chance: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.challenge = challenge
        self.address = address
        self.identity = identity
        self.place = place
        self.told = told
        self.report = report
        self.link: Optional[Link] = None
        self.valid_until = 0
        self.lease = 0
        self.asked: dict[int, int] = {}
        self.drawn = 0
        self.waiting: dict[int, Then] = {}
        self.budgets = budgets
        self.chance = chance
        self.redial = Redial(REDIAL_FIRST, REDIAL_MOST, chance)
        self.lapsed = True  # the slices were given up, or none was ever had
        self.task = loop.spawn(self._follow(), "store session")

    def in_charge(self) -> bool:
        """Whether nobody else can have been given this pilot's slices yet."""
        return self.loop.now() < self.valid_until

    def commit(self, writes: list[m.SliceWrite], then: Then) -> bool:
        """Sends writes; `then(denied)` follows in order. False where there is no store now: it is not sent."""
        if self.link is not None and not self.in_charge():
            # Renewals may wait to be read, as after a stop; they must not revive a charge of which the module has had a turn dropped.
            self.link.close("lapsed", "the charge ended before its renewal was read")
            self._lapse()
        if self.link is None or not self.in_charge():
            return False
        self.drawn += 1
        self.waiting[self.drawn] = then
        self.link.send(m.Commit(self.drawn, writes))
        return True

    def stop(self) -> None:
        """Gives the slices back; the proxies must have been told before."""
        self.task.cancel()
        self._give_up()
        if self.link is not None:
            self.link.send(m.Leave())
            self.link.close("stopping", "the pilot stops")

    # ---- the session

    def _follow(self) -> Coroutine:
        while True:
            yield from self._may_dial()
            asked = 0
            try:
                link, first = yield from connect(
                    self.loop, self.address, Session(self.identity, challenge=self.challenge()), DIAL_TIMEOUT
                )
                yield from self._talk(link, first)
            except (StreamBroken, ProtocolError, TimedOut) as error:
                asked = getattr(error, "after", 0)
                self.report("store_lost", reason=str(error) or "silence")
            yield from self._rest(asked)

    def _may_dial(self) -> Coroutine:
        """Waits for leave to dial, where a budget limits that; the charge ends meanwhile when it must."""
        if self.budgets is not None:
            self.budgets.wish("store_dials")
            while not self.budgets.take("store_dials"):
                yield from self.loop.sleep(DIAL_LOOK)
                self._lapse()

    def _rest(self, asked: int) -> Coroutine:
        """Between two connections, `asked` us at least: the charge ends when the session must have. While it stands waits stay short: a
        store that comes back in time must not be missed, and each pilot dials it so for a lease at most."""
        wait = self.redial.wait(asked)
        if not self.lapsed and not asked:
            wait = min(wait, REDIAL_FIRST + int(self.chance() * self.lease / IN_LEASE))
        until = self.loop.now() + wait
        if not self.lapsed and self.valid_until <= until:
            yield from self.loop.sleep(self.valid_until - self.loop.now())
            self._lapse()
        yield from self.loop.sleep(until - self.loop.now())

    def _lapse(self) -> None:
        if not self.lapsed and not self.in_charge():
            self.report("charge_lapsed")
            self._give_up()

    def _give_up(self) -> None:
        if not self.lapsed:
            self.lapsed = True
            self.told.on_store_lost()

    def _talk(self, link: Link, first: list[m.Message]) -> Coroutine:
        asked_at = self.loop.now()
        link.send(m.Open(self.place))
        renewer = None  # set once this connection's session is open
        got = first
        try:
            while True:
                for message in got:
                    if isinstance(message, m.Opened):
                        self.link, self.lease = link, message.lease - message.lease // DRIFT_PARTS
                        self.redial.well()
                        self._give_up()  # what is still held is given anew, with what the store knows of it
                        self.valid_until = asked_at + self.lease
                        renewer = self.loop.spawn(self._renew(link), "store renew")
                        if self.budgets is not None:
                            self.budgets.on_store_link(link)
                    else:
                        self._take(message)
                # Not the end of a former session: on a new connection that would time out before the answer.
                limit = self.valid_until if renewer is not None else asked_at + DIAL_TIMEOUT
                got = yield from link.receive(limit)
        finally:
            if renewer is not None:
                renewer.cancel()
            self.link = None
            if self.budgets is not None:
                self.budgets.on_store_link(None)
            self.waiting.clear()  # what became of them is told by the giving that follows
            link.close("leaving", "this connection is given up")
            self._lapse()

    def _take(self, message: m.Message) -> None:
        if isinstance(message, m.Renewed):
            asked = self.asked.pop(message.n, None)
            if asked is not None:
                self.valid_until = max(self.valid_until, asked + self.lease)
        elif isinstance(message, m.AssignSlices):
            self.lapsed = False
            self.told.on_store_given(message.slices)
        elif isinstance(message, m.RevokeSlices):
            self.told.on_store_taken(message.slices)
            if self.link is not None:
                self.link.send(m.SlicesReleased(message.number))
        elif isinstance(message, m.BudgetSharesReply):
            if self.budgets is not None:
                self.budgets.on_shares(message)
        elif isinstance(message, m.Committed):
            then = self.waiting.pop(message.number, None)
            if then is not None:
                then(message.denied)

    def _renew(self, link: Link) -> Coroutine:
        self.asked.clear()
        every = self.lease // RENEWALS
        wait = int(every * self.chance())  # those that opened together after a restart do not renew together
        while not link.closed:
            yield from self.loop.sleep(wait)
            wait = every
            self.drawn += 1
            self.asked[self.drawn] = self.loop.now()
            try:
                link.send(m.Renew(self.drawn))
            except StreamBroken:
                return
