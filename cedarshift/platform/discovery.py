"""Discovery: one watch on the list, begun anew from the last revision when it ends."""

from __future__ import annotations

from typing import Callable, Optional

from cedarshift.codec.platform.entries import Listed, ListLines, watch
from cedarshift.loop import Loop, StreamBroken
from cedarshift.loop.core import Coroutine
from cedarshift.platform.redial import Address, Chance, Redialled, Report
from cedarshift.web import Followed

REVISION_REFUSED = range(
    400, 500
)  # status: the request is at fault, and the revision is all that differs from one to the next
SILENCE_MOST = 4_500_000  # us; a sign of life comes every 2 s: one may be lost and the next be late


class Discovery:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        known: Optional[Listed],
        on_list: Callable[[Listed], None],
        report: Report,
        chance: Chance,
    ) -> None:
        self.loop = loop
        self.revision = None if known is None else known.revision
        self.on_list = on_list
        self.counts = {"watches": 0, "lists": 0}
        self.watch = Redialled(
            loop,
            address,
            lambda: watch(self.revision),
            self._hear,
            SILENCE_MOST,
            "watch_lost",
            report,
            chance,
            self._refused,
        )

    def _refused(self, status: int) -> None:
        """A discovery that can't tell changes since a revision, as it never had it or has it no more, is asked for the whole list."""
        if status in REVISION_REFUSED:
            self.revision = None

    def _hear(self, followed: Followed) -> Coroutine:
        self.counts["watches"] += 1
        lines = ListLines()
        while True:
            piece = yield from followed.piece(self.loop.now() + SILENCE_MOST)
            if not piece:
                raise StreamBroken("discovery ended its watch")
            for listed in lines.feed(piece):
                self.counts["lists"] += 1
                self.revision = listed.revision
                self.on_list(listed)
