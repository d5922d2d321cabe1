"""Discovery: one watch on the list, dialled anew from the last revision when it ends, falls silent or can't be read."""
from __future__ import annotations

from typing import Callable, Optional

from cedarshift.codec.platform.entries import Listed, ListLines, watch
from cedarshift.codec.platform.errors import Unreadable
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.web import Followed, follow

Address = tuple[str, int]

# Constants: unit, then the reason for the size.
DIAL_WITHIN = 500_000     # us; the agent is on this machine
SILENCE_MOST = 4_500_000  # us; a sign of life comes every 2 s: one may be lost and the next be late
REDIAL_FIRST = 20_000     # us; doubled for each watch that did not last
REDIAL_MOST = 500_000     # us; a drain's grace runs from when the agent has the news
LASTED = 3_000_000        # us; a watch that has lasted so long was a good one


class Discovery:
    def __init__(self, loop: Loop, address: Address, known: Optional[Listed], on_list: Callable[[Listed], None],
                 report: Callable[..., None]) -> None:
        self.loop = loop
        self.address = address
        self.revision = None if known is None else known.revision
        self.on_list = on_list
        self.report = report
        self.followed: Optional[Followed] = None
        self.counts = {"watches": 0, "lists": 0}
        self.task = loop.spawn(self._run(), "discovery")

    def move(self, address: Address) -> None:
        self.address = address
        self.ask()

    def ask(self) -> None:
        """Begins a new watch: what was missed comes first."""
        if self.followed is not None:
            self.followed.close()

    def _run(self) -> Coroutine:
        wait = REDIAL_FIRST
        while True:
            begun = self.loop.now()
            try:
                self.followed = yield from follow(self.loop, self.address, watch(self.revision), DIAL_WITHIN, SILENCE_MOST)
                self.counts["watches"] += 1
                yield from self._hear(self.followed)
            except (StreamBroken, TimedOut, Unreadable) as error:
                self.report("watch_lost", revision=self.revision, reason=f"{type(error).__name__}: {error}"[:200])
            finally:
                if self.followed is not None:
                    self.followed.close()
                self.followed = None
            wait = REDIAL_FIRST if self.loop.now() - begun > LASTED else min(REDIAL_MOST, 2 * wait)
            yield from self.loop.sleep(wait)

    def _hear(self, followed: Followed) -> Coroutine:
        lines = ListLines()
        while True:
            piece = yield from followed.piece(self.loop.now() + SILENCE_MOST)
            if not piece:
                raise StreamBroken("discovery ended its watch")
            for listed in lines.feed(piece):
                self.counts["lists"] += 1
                self.revision = listed.revision
                self.on_list(listed)
