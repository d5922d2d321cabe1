"""The store's server: pilot sessions, group commits and table reads."""

from __future__ import annotations

from typing import Any, Callable, Optional, Protocol, Union

from cedarshift.codec import Busy, Identity, Refused, Session
from cedarshift.codec import messages as m
from cedarshift.codec.frames import pack_rows
from cedarshift.judge.admission import JoinLimiter
from cedarshift.judge.charge import SliceAssignment, SliceRecord
from cedarshift.link import Link, serve
from cedarshift.loop import Listener, Loop, TimedOut
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.store.ledger import Ledger, MemoryLedger

MAX_MESSAGES_PER_S = 2_000  # from one peer
MAX_READERS_PER_S = 500.0  # proxies that read all tables, limited so that pilots are not delayed
READER_BURST = 100.0  # readers admitted at once


def to_held_row(row: SliceRecord) -> m.SliceState:
    """Converts a stored row to the form sent to pilots and proxies."""
    return m.SliceState(row.slice, row.epoch, row.version, row.owner, row.levels)


class BudgetAllocator(Protocol):
    """Allocates shares of the budgets among the pilots.

    `hear` queues a request, `carry_out` answers all queued ones, `shown` returns the status as JSON.
    """

    def hear(self, peer: Link, name: str, message: m.Message) -> None: ...
    def carry_out(self) -> None: ...
    def shown(self) -> bytes: ...
    def close(self) -> None: ...


class StoreService:
    """Serves one store. Answers to a pilot are sent only after the commit they report.

    `lease` is how long a pilot's session lasts without renewal, `takeover` how long slices wait for
    their absent home pilot before others get them, and `back_after` how long the home pilot must be back
    before they return to it, all in us.
    """

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
        allocator: Optional[BudgetAllocator] = None,
    ) -> None:
        self.loop = loop
        self.allocator = allocator  # None without budgets
        self.listener = listener
        self.ledger = ledger
        self.identity = identity
        self.assignment = SliceAssignment(
            ledger.load(), pilots, lease, takeover, back_after, loop.now(), ledger.record_start()
        )
        self.challenge = challenge
        self.peers: dict[str, Link] = {}  # pilot -> newest connection
        self.session_numbers: dict[str, int] = {}  # pilot -> number of its newest session
        self.waiting: list[tuple[Link, str, m.Commit]] = []  # commits not processed yet
        self.pending_revocations: dict[tuple[str, int], list[int]] = {}  # (pilot, number) -> slices
        self.last_number = 0  # of the connections and revocations, which are numbered together
        self.work_waker: Optional[Waker] = None  # set while _process_loop waits for work
        self.denied = 0  # writes refused since the start
        self.reader_limiter = JoinLimiter(MAX_READERS_PER_S, READER_BURST, loop.now())
        self.packed_rows: Any = None  # cache of all rows, packed
        self.tasks = [
            loop.spawn(self._process_loop(), "store-watch"),
            loop.spawn(
                serve(loop, listener, self._new_session, self._handle_connection, loop.report), "store-accept"
            ),
        ]

    def stop(self) -> None:
        """Closes the connections of the pilots, the ledger and the allocator."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        for peer in list(self.peers.values()):
            peer.close("stopping", "the store stops")
        self.ledger.close()
        if self.allocator is not None:
            self.allocator.close()

    # ---- sessions

    def _new_session(self) -> Session:
        return Session(self.identity, self._admit, self.challenge(), MAX_MESSAGES_PER_S)

    def _admit(self, hello: m.Hello) -> m.Welcome:
        """Accepts a peer. Raises Refused or, if it may retry later, Busy."""
        if hello.role == "pilot" and hello.id not in self.assignment.absent_since:
            raise Refused(f"unknown pilot {hello.id!r}, configured are {', '.join(self.assignment.pilots)}")
        if hello.role == "proxy" and (after := self.reader_limiter.ask(self.loop.now())):
            raise Busy(f"too many readers at once, {self.reader_limiter.deferred} deferred so far", after)
        self.last_number += 1
        return m.Welcome(self.last_number, self.assignment.lease)

    def _handle_connection(self, peer: Link, first: list[m.Message]) -> Coroutine:
        """Handles one connection until it ends. A pilot's session outlives it until its lease expires."""
        name = peer.peer.id
        messages = first
        try:
            while True:
                for message in messages:
                    if isinstance(message, m.ReadTables):
                        peer.send(m.Tables(message.number, self._read_rows()))
                    elif isinstance(message, m.ReadBudgetStatus):
                        peer.send(
                            m.BudgetStatus(
                                message.number, self.allocator.shown() if self.allocator is not None else b""
                            )
                        )
                    else:
                        self._handle_message(peer, name, message)
                messages = yield from peer.receive()
        finally:
            if self.peers.get(name) is peer:
                del self.peers[name]

    def _read_rows(self) -> Any:
        """Returns all rows packed, cached until one changes, since after a restart every proxy reads them."""
        if self.packed_rows is None:
            self.packed_rows = pack_rows(
                [to_held_row(row) for _, row in sorted(self.assignment.rows.items())]
            )
        return self.packed_rows

    def _handle_message(self, peer: Link, name: str, message: m.Message) -> None:
        """Handles a pilot's message. A connection without the pilot's current session is closed."""
        now = self.loop.now()
        if isinstance(message, m.Open):
            former = self.peers.get(name)
            self.peers[name] = peer
            if former is not None and former is not peer:
                former.close("replaced", f"a newer connection of pilot {name}")
            self.session_numbers[name] = self.assignment.open(now, name)
            peer.send(m.Opened(self.session_numbers[name], self.assignment.lease))
            self._wake()
        elif self.peers.get(name) is not peer:
            peer.close("no-session", f"{type(message).__name__} before Open")
        elif isinstance(message, m.Renew):
            if self.assignment.renew(now, name, self.session_numbers[name]):
                peer.send(m.Renewed(message.n))
            else:
                peer.close("session-ended", "the session's lease had run out")
        elif isinstance(message, m.SlicesReleased):
            self.assignment.released(name, self.pending_revocations.pop((name, message.number), ()))
            self._wake()
        elif isinstance(message, m.Leave):
            self.assignment.close(now, name, self.session_numbers[name])
            self._wake()
        elif isinstance(message, m.Commit):
            self.waiting.append((peer, name, message))
            self._wake()
        elif isinstance(message, (m.BudgetSharesRequest, m.LeaveBudgets)):
            if self.allocator is not None:
                self.allocator.hear(peer, name, message)
                self._wake()
            elif isinstance(message, m.BudgetSharesRequest):
                peer.send(m.BudgetSharesReply(message.number, 0))

    # ---- commits and assignments

    def _wake(self) -> None:
        """Lets _process_loop run in the next pass of the loop."""
        if self.work_waker is not None:
            self.work_waker.wake()

    def _process_loop(self) -> Coroutine:
        """Processes commits and assignment changes, those of one pass of the loop in one transaction."""
        while True:
            self._process_commits()
            self._apply_assignments()
            if self.allocator is not None:
                self.allocator.carry_out()
            if self.waiting:
                continue
            self.work_waker = self.loop.waker()
            try:
                yield from self.loop.park(self.assignment.due(self.loop.now()))
            except TimedOut:
                pass
            finally:
                self.work_waker = None

    def _process_commits(self) -> None:
        """Writes all waiting commits in one transaction, then answers them."""
        waiting, self.waiting = self.waiting, []
        now, rows, answers = self.loop.now(), {}, []
        for peer, name, commit in waiting:
            denied = []
            for write in commit.writes:
                reason = self.assignment.refusal(
                    now, name, self.session_numbers.get(name, -1), write.slice, write.epoch
                )
                if reason or self.peers.get(name) is not peer:
                    denied.append(
                        m.DeniedWrite(write.slice, write.epoch, reason or "from a former connection")
                    )
                else:
                    rows[write.slice] = self.assignment.write(write.slice, write.owner, write.levels)
            self.denied += len(denied)
            answers.append((peer, m.Committed(commit.number, denied)))
        if rows:
            self.packed_rows = None
            self.ledger.put(rows.values())
        for peer, answer in answers:
            peer.send(answer)

    def _apply_assignments(self) -> None:
        """Writes due changes of assignment, then informs the pilots."""
        step = self.assignment.step(self.loop.now())
        if step.changed:
            self.packed_rows = None
            self.ledger.put(step.changed)
        for name, rows in step.given.items():
            if name in self.peers:
                self.peers[name].send(m.AssignSlices([to_held_row(row) for row in rows]))
        for name, slices in step.taken.items():
            if name in self.peers:
                self.last_number += 1
                self.pending_revocations[name, self.last_number] = slices
                self.peers[name].send(m.RevokeSlices(slices, self.last_number))
