"""The watch on the endpoint list at discovery, resumed from the last revision when it ends."""

from __future__ import annotations

from typing import Callable, Optional

from cedarshift.codec.platform.entries import EndpointList, ListDecoder, watch_target
from cedarshift.loop import Loop, StreamBroken
from cedarshift.loop.core import Coroutine
from cedarshift.platform.reconnect import Address, RandomSource, ReconnectingStream, Report
from cedarshift.web import StreamedResponse

REVISION_REJECTED_STATUSES = range(400, 500)  # the revision is the only variable part of the request
SILENCE_TIMEOUT_US = 4_500_000  # heartbeats come every 2 s


class Discovery:
    """Follows the endpoint list and calls `on_list` with each EndpointList.

    The first watch resumes from `initial_list`, or asks for the full list if it is None."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        initial_list: Optional[EndpointList],
        on_list: Callable[[EndpointList], None],
        report: Report,
        random: RandomSource,
    ) -> None:
        self.loop = loop
        self.revision = None if initial_list is None else initial_list.revision
        self.on_list = on_list
        self.counts = {"watches": 0, "lists": 0}
        self.watch = ReconnectingStream(
            loop,
            address,
            lambda: watch_target(self.revision),
            self._read_lists,
            SILENCE_TIMEOUT_US,
            "watch_lost",
            report,
            random,
            self._on_status,
        )

    def _on_status(self, status: int) -> None:
        """Requests the full list after discovery has rejected the revision."""
        if status in REVISION_REJECTED_STATUSES:
            self.revision = None

    def _read_lists(self, response: StreamedResponse) -> Coroutine:
        self.counts["watches"] += 1
        decoder = ListDecoder()
        while True:
            piece = yield from response.read_body(self.loop.now() + SILENCE_TIMEOUT_US)
            if not piece:
                raise StreamBroken("discovery closed the watch")
            for endpoint_list in decoder.feed(piece):
                self.counts["lists"] += 1
                self.revision = endpoint_list.revision
                self.on_list(endpoint_list)
