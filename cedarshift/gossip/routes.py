"""Chooses the address at which a member is reached: the configured one, or another that it is seen to use."""

from __future__ import annotations

from typing import Optional

from cedarshift.judge.chance import Lcg

Address = tuple[str, int]


class Routes:
    """Addresses of one member.

    `seen`: the source of its newest datagram. `proved`: where it last answered a probe that was sent there; a
    source alone proves nothing, as a member may send from an address at which it can't be reached.
    """

    def __init__(self, configured: Optional[Address]) -> None:
        self.configured = configured
        self.seen: Optional[Address] = None
        self.probed: Optional[Address] = None  # where the newest probe was sent
        self.proved: Optional[Address] = None

    @property
    def preferred(self) -> Optional[Address]:
        """The address to use while the member answers."""
        return self.proved or self.configured or self.seen

    def choose(self, rng: Lcg, doubted: bool) -> Optional[Address]:
        """Return where to send a datagram; `doubted`: the member does not answer, so all are tried."""
        if not doubted:
            return self.preferred
        if self.seen is not None and (self.configured is None or rng.draw(2)):
            return self.seen
        return self.configured

    def choose_for_stream(self, rng: Lcg, doubted: bool) -> Optional[Address]:
        """Return where to open a stream. An address that answers datagrams may not take streams."""
        return self.choose(rng, doubted or self.preferred != self.configured)

    def note_answer(self, source: Address) -> None:
        """An answer came from `source`."""
        if source == self.probed:
            self.proved = source
