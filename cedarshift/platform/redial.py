"""An answer that does not end, asked for anew when it ends, falls silent or can't be read."""

from __future__ import annotations

import traceback
from typing import Callable, Optional

from cedarshift.codec.platform.errors import Unreadable
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Cancelled, Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.web import Followed, NotFollowed, connect

Address = tuple[str, int]
Report = Callable[..., None]
Chance = Callable[[], float]

# Constants: unit, then the reason for the size.
DIAL_WITHIN = 500_000  # us; who is in reach answers a dial at once
REDIAL_FIRST = 20_000  # us; grows with each answer that did not last
REDIAL_MOST = 500_000  # us; a drain's grace runs from when discovery's agent has the news
LASTED = 3_000_000  # us; an answer that has lasted so long was a good one


class Redialled:
    """`target()` is what to ask for next, `hear(followed)` takes in one answer until it raises; `silence` (us) is how long an
    answer's head may take. `lost` names the event that tells of an end; `refused(status)` hears of an answer with another status than 200."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        target: Callable[[], str],
        hear: Callable[[Followed], Coroutine],
        silence: int,
        lost: str,
        report: Report,
        chance: Chance,
        refused: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.loop = loop
        self.address = address
        self.target = target
        self.hear = hear
        self.silence = silence
        self.lost = lost
        self.refused = refused
        self.report = report
        self.redial = Backoff(REDIAL_FIRST, REDIAL_MOST, chance)
        self.followed: Optional[Followed] = (
            None  # from when it is connected on, its head may be still to come
        )
        self.waiting: Optional[Waker] = None  # between two tries
        self.asked_at = (
            loop.now()
        )  # when the newest answer was asked for: what it tells may be as old as that
        self.task = loop.spawn(self._run(), lost)

    def move(self, address: Address) -> None:
        """Leaves the old address at once, also while its answer is waited for, or the wait before the next try goes on."""
        self.address = address
        self.redial.reset()  # what failed at the old address tells nothing of the new one
        self.again()
        if self.waiting is not None:
            self.waiting.wake()

    def again(self) -> None:
        """Ends the answer under way, or the wait for its head: it is asked for anew."""
        if self.followed is not None:
            self.followed.close()

    def stop(self) -> None:
        """Asks for nothing any more."""
        self.again()
        self.task.cancel()

    def _run(self) -> Coroutine:
        while True:
            begun = self.asked_at = self.loop.now()
            address = self.address
            try:
                yield from self._try(address)
            except (StreamBroken, TimedOut, Unreadable) as error:
                if isinstance(error, NotFollowed):
                    self.refused(error.status)
                self.report(self.lost, reason=f"{type(error).__name__}: {error}"[:200])
            except Cancelled:
                raise
            except Exception as failure:  # a fault of whoever hears it: the next answer tells all anew
                self.report(
                    "task_failed", task=self.lost, error=repr(failure), traceback=traceback.format_exc()
                )
            finally:
                self.again()
                self.followed = None
            if self.loop.now() - begun > LASTED:
                self.redial.reset()
            if address == self.address:
                yield from self._wait()

    def _try(self, address: Address) -> Coroutine:
        followed = yield from connect(self.loop, address, DIAL_WITHIN)
        self.followed = followed
        if address != self.address:
            raise StreamBroken("moved while it was dialled")
        yield from followed.ask(f"{address[0]}:{address[1]}", self.target(), self.loop.now() + self.silence)
        yield from self.hear(followed)

    def _wait(self) -> Coroutine:
        """Until the next try is due, or the address has changed."""
        until = self.loop.now() + self.redial.wait()
        self.waiting = self.loop.waker()
        try:
            yield from self.loop.park(until)
        except TimedOut:
            pass
        finally:
            self.waiting = None
