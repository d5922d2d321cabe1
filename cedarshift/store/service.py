"""Serves the store on a listener: sessions of pilots, commits in groups, reads of proxies."""

from __future__ import annotations

from typing import Any, Callable, Optional, Protocol, Union

from cedarshift.codec import Busy, Identity, Refused, Session
from cedarshift.codec import messages as m
from cedarshift.codec.frames import pack_rows
from cedarshift.judge.admission import Gate
from cedarshift.judge.charge import Charge, Row
from cedarshift.link import Link, serve
from cedarshift.loop import Listener, Loop, TimedOut
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.store.ledger import Ledger, MemoryLedger

MESSAGES_A_SECOND = 2_000  # from one peer; a pilot sends a commit a turn and renews a few times a second
READERS_A_SECOND = (
    500.0  # proxies that join to read all tables; pilots, whose leases run, are never held up by them
)
READERS_AT_ONCE = 100.0


def held(row: Row) -> m.SliceState:
    return m.SliceState(row.slice, row.epoch, row.version, row.owner, row.levels)


class Desk(Protocol):
    """Who gives shares of the budgets: hears in one pass of the loop, carries out at its end."""

    def hear(self, peer: Link, name: str, message: m.Message) -> None: ...
    def carry_out(self) -> None: ...
    def shown(self) -> bytes: ...
    def close(self) -> None: ...


class StoreService:
    """One store. Every answer to a pilot follows the commit that it tells of."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        ledger: Union[Ledger, MemoryLedger],
        identity: Identity,
        pilots: list[str],
        lease: int,
        takeover: int,
        back_after: int,
        challenge: Callable[[], bytes] = lambda: b"",
        desk: Optional[Desk] = None,
    ) -> None:
        self.loop = loop
        self.desk = desk  # of the budgets, where the deployment has any
        self.listener = listener
        self.ledger = ledger
        self.identity = identity
        self.charge = Charge(ledger.load(), pilots, lease, takeover, back_after, loop.now(), ledger.begin())
        self.challenge = challenge
        self.peers: dict[str, Link] = {}  # the pilots' newest connections
        self.numbers: dict[str, int] = {}  # and their sessions
        self.waiting: list[tuple[Link, str, m.Commit]] = []
        self.takes: dict[tuple[str, int], list[int]] = {}
        self.drawn = 0
        self.changed: Optional[Waker] = None
        self.denied = 0
        self.gate = Gate(READERS_A_SECOND, READERS_AT_ONCE, loop.now())
        self.rows_read: Any = None  # all rows as they were last packed, until one changes
        self.tasks = [
            loop.spawn(self._watch(), "store-watch"),
            loop.spawn(serve(loop, listener, self._session, self._talk, loop.report), "store-accept"),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        for peer in list(self.peers.values()):
            peer.close("stopping", "the store stops")
        self.ledger.close()
        if self.desk is not None:
            self.desk.close()

    # ---- sessions

    def _session(self) -> Session:
        return Session(self.identity, self._admit, self.challenge(), MESSAGES_A_SECOND)

    def _admit(self, hello: m.Hello) -> m.Welcome:
        if hello.role == "pilot" and hello.id not in self.charge.gone_since:
            raise Refused(f"pilot {hello.id!r} is none of {', '.join(self.charge.pilots)}")
        if hello.role == "proxy" and (after := self.gate.ask(self.loop.now())):
            raise Busy(f"{self.gate.sent_away} were sent away so far", after)
        self.drawn += 1
        return m.Welcome(self.drawn, self.charge.lease)

    def _talk(self, peer: Link, first: list[m.Message]) -> Coroutine:
        """One connection until it ends. A pilot's session outlives it until its lease has run out."""
        name = peer.peer.id
        got = first
        try:
            while True:
                for message in got:
                    if isinstance(message, m.ReadTables):
                        peer.send(m.Tables(message.number, self._rows()))
                    elif isinstance(message, m.ReadBudgetStatus):
                        peer.send(
                            m.BudgetStatus(
                                message.number, self.desk.shown() if self.desk is not None else b""
                            )
                        )
                    else:
                        self._hear(peer, name, message)
                got = yield from peer.receive()
        finally:
            if self.peers.get(name) is peer:
                del self.peers[name]

    def _rows(self) -> Any:
        """All rows, packed once for all that read them until one changes: after a restart every proxy reads."""
        if self.rows_read is None:
            self.rows_read = pack_rows([held(row) for _, row in sorted(self.charge.rows.items())])
        return self.rows_read

    def _hear(self, peer: Link, name: str, message: m.Message) -> None:
        now = self.loop.now()
        if isinstance(message, m.Open):
            former = self.peers.get(name)
            self.peers[name] = peer
            if former is not None and former is not peer:
                former.close("replaced", f"a newer connection of pilot {name}")
            self.numbers[name] = self.charge.open(now, name)
            peer.send(m.Opened(self.numbers[name], self.charge.lease))
            self._wake()
        elif self.peers.get(name) is not peer:
            peer.close("no-session", f"{type(message).__name__} before Open")
        elif isinstance(message, m.Renew):
            if self.charge.renew(now, name, self.numbers[name]):
                peer.send(m.Renewed(message.n))
            else:
                peer.close("session-ended", "the session's lease had run out")
        elif isinstance(message, m.SlicesReleased):
            self.charge.released(name, self.takes.pop((name, message.number), ()))
            self._wake()
        elif isinstance(message, m.Leave):
            self.charge.close(now, name, self.numbers[name])
            self._wake()
        elif isinstance(message, m.Commit):
            self.waiting.append((peer, name, message))
            self._wake()
        elif isinstance(message, (m.BudgetSharesRequest, m.LeaveBudgets)):
            if self.desk is not None:
                self.desk.hear(peer, name, message)
                self._wake()
            elif isinstance(message, m.BudgetSharesRequest):
                peer.send(m.BudgetSharesReply(message.number, 0))

    # ---- what is durable comes first

    def _wake(self) -> None:
        if self.changed is not None:
            self.changed.wake()

    def _watch(self) -> Coroutine:
        """Carries out commits and givings, all that came in one pass of the loop in one transaction."""
        while True:
            self._commit()
            self._give()
            if self.desk is not None:
                self.desk.carry_out()
            if self.waiting:
                continue
            self.changed = self.loop.waker()
            try:
                yield from self.loop.park(self.charge.due(self.loop.now()))
            except TimedOut:
                pass
            finally:
                self.changed = None

    def _commit(self) -> None:
        waiting, self.waiting = self.waiting, []
        now, rows, answers = self.loop.now(), {}, []
        for peer, name, commit in waiting:
            denied = []
            for write in commit.writes:
                reason = self.charge.refusal(now, name, self.numbers.get(name, -1), write.slice, write.epoch)
                if reason or self.peers.get(name) is not peer:
                    denied.append(
                        m.DeniedWrite(write.slice, write.epoch, reason or "from a former connection")
                    )
                else:
                    rows[write.slice] = self.charge.write(write.slice, write.owner, write.levels)
            self.denied += len(denied)
            answers.append((peer, m.Committed(commit.number, denied)))
        if rows:
            self.rows_read = None
            self.ledger.put(rows.values())
        for peer, answer in answers:
            peer.send(answer)

    def _give(self) -> None:
        step = self.charge.step(self.loop.now())
        if step.changed:
            self.rows_read = None
            self.ledger.put(step.changed)
        for name, rows in step.given.items():
            if name in self.peers:
                self.peers[name].send(m.AssignSlices([held(row) for row in rows]))
        for name, slices in step.taken.items():
            if name in self.peers:
                self.drawn += 1
                self.takes[name, self.drawn] = slices
                self.peers[name].send(m.RevokeSlices(slices, self.drawn))
