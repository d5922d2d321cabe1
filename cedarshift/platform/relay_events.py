"""The relay's event stream: an initial snapshot, then each event, in order.

What the pilot knows is as old as the newest event that it has handled. After a stall that is older than it
seems, as the first data to arrive was sent before the stall.
"""

from __future__ import annotations

from typing import Optional, Protocol, Union

from cedarshift.codec.platform import events
from cedarshift.codec.platform.errors import InvalidMessage
from cedarshift.loop import Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.platform.reconnect import Address, RandomSource, ReconnectingStream, Report
from cedarshift.web import StreamedResponse

SILENCE_TIMEOUT_US = 2_500_000  # heartbeats come every second
MAX_HEARTBEAT_INTERVAL_US = 1_100_000  # of heartbeats that are on time
BURST_PAUSE_US = 25_000
MAX_BURST_PAUSES = 2  # a single pause may be this process not being scheduled
SNAPSHOT_HEARTBEATS = 1  # heartbeats that end the initial snapshot
# Heartbeats that end a backlog. The first may have been sent before the stall; the relay sends no other while
# it can't be reached.
BACKLOG_HEARTBEATS = 2
# The store reassigns slices 0.8 s after a connection is lost; a call that is sent before is over by then.
# Events that come after a silence of this length may have been sent at its beginning.
MIN_TAKEOVER_GAP_US = 700_000


class RelayEventHandler(Protocol):
    """Receives the relay's events in the order of the stream.

    `proxies` maps a proxy to its zone, `slices` an assigned slice to the endpoint of its table line, "" for
    none. `latency` is in 0.1 ms; `requested_at` and `stream_started_at` are loop times in us.
    `on_events_current` is called when all events that the relay sent up to `as_of` (us) were handled."""

    def on_snapshot(
        self, proxies: dict[int, str], slices: dict[int, str], silence_us: int, requested_at: int
    ) -> None: ...
    def on_snapshot_complete(self) -> None: ...
    def on_heartbeat(self, stream_started_at: int) -> None: ...
    def on_events_current(self, as_of: int) -> None: ...
    def on_join(self, proxy: int, zone: str) -> None: ...
    def on_leave(self, proxy: int) -> None: ...
    def on_ack(self, proxy: int, mark: int, latency: int) -> None: ...
    def on_slice_added(self, slice_id: int) -> None: ...
    def on_slice_removed(self, slice_id: int) -> None: ...
    def on_table_line(self, slice_id: int, endpoint: str) -> None: ...


class Snapshot:
    """The state sent at the beginning of a stream, updated by events that arrive meanwhile."""

    def __init__(self) -> None:
        self.proxies: dict[int, str] = {}
        self.slices: dict[int, str] = {}
        self.acks: list[tuple[int, int, int]] = []

    def on_join(self, proxy: int, zone: str) -> None:
        self.proxies[proxy] = zone

    def on_leave(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)

    def on_ack(self, proxy: int, mark: int, latency: int) -> None:
        self.acks.append((proxy, mark, latency))

    def on_slice_added(self, slice_id: int) -> None:
        self.slices[slice_id] = ""

    def on_slice_removed(self, slice_id: int) -> None:
        self.slices.pop(slice_id, None)

    def on_table_line(self, slice_id: int, endpoint: str) -> None:
        if slice_id in self.slices:
            self.slices[slice_id] = endpoint


class Burst:
    """Data that the relay sends at once. It ends when the stream pauses, or at a later heartbeat."""

    def __init__(self, last_heartbeat: int) -> None:
        self.last_heartbeat = last_heartbeat  # counted from the beginning of the stream
        self.pauses = 0

    def ended(self, heartbeats: int) -> bool:
        return self.pauses >= MAX_BURST_PAUSES or heartbeats >= self.last_heartbeat


class RelayEvents:
    """Follows the relay's event stream: the initial snapshot, then each event.

    What arrives after a stall is a backlog: it may have been sent before the stall, and more may follow. The
    events are current again at its end."""

    def __init__(
        self, loop: Loop, address: Address, handler: RelayEventHandler, report: Report, random: RandomSource
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.report = report
        self.updated_at = loop.now()  # as of when all events are known
        self.received_at = loop.now()  # when data last arrived, or else the current stream was requested
        self.backlog: Optional[Burst] = None
        self.heartbeat_at: Optional[int] = None  # when the last heartbeat arrived outside a backlog
        self.counts = {"streams": 0, "events": 0, "news_spoilt": 0}
        self.stream = ReconnectingStream(
            loop,
            address,
            lambda: "/api/stream",
            self._consume,
            SILENCE_TIMEOUT_US,
            "news_lost",
            report,
            random,
        )

    def _consume(self, response: StreamedResponse) -> Coroutine:
        self.counts["streams"] += 1
        decoder = events.EventStreamDecoder()
        self.received_at, self.backlog, self.heartbeat_at = self.stream.requested_at, None, None
        yield from self._read_snapshot(response, decoder)
        stream_started_at = self.loop.now()
        complete, heartbeats_seen = False, 0
        while True:
            if not complete and decoder.heartbeats:
                complete = True
                self.handler.on_snapshot_complete()
            if decoder.heartbeats > heartbeats_seen:
                heartbeats_seen = decoder.heartbeats
                self.handler.on_heartbeat(stream_started_at)
            yield from self._read_events(response, decoder, self.handler, self.backlog)
            if self.backlog is None or self.backlog.ended(decoder.heartbeats):
                self.backlog, self.updated_at = None, self.received_at
                self.handler.on_events_current(self.updated_at)

    def _read_snapshot(self, response: StreamedResponse, decoder: events.EventStreamDecoder) -> Coroutine:
        """Reads the snapshot until the first heartbeat or until the stream pauses.

        A pause may also be a stalled stream, so anything missing counts as gone only at the first
        heartbeat, when `on_snapshot_complete` is called."""
        snapshot, burst = Snapshot(), Burst(SNAPSHOT_HEARTBEATS)
        yield from self._read_events(response, decoder, snapshot, None)
        while not burst.ended(decoder.heartbeats):
            yield from self._read_events(response, decoder, snapshot, burst)
        # The silence includes earlier streams that broke before their snapshot was handled.
        silence_us, self.updated_at = self.loop.now() - self.updated_at, self.stream.requested_at
        self.handler.on_snapshot(snapshot.proxies, snapshot.slices, silence_us, self.stream.requested_at)
        for ack in snapshot.acks:
            self.handler.on_ack(*ack)

    def _read_events(
        self,
        response: StreamedResponse,
        decoder: events.EventStreamDecoder,
        handler: Union[RelayEventHandler, Snapshot],
        burst: Optional[Burst],
    ) -> Coroutine:
        """Reads and handles the next piece of the stream. In a burst it returns after a pause as well."""
        timeout_us = SILENCE_TIMEOUT_US if burst is None else BURST_PAUSE_US
        try:
            piece = yield from response.read_body(self.loop.now() + timeout_us)
        except TimedOut:
            if burst is None:
                raise
            burst.pauses += 1
            return
        if not piece:
            raise StreamBroken("the relay closed the event stream")
        if burst is not None:
            burst.pauses = 0
        heartbeats = decoder.heartbeats
        if self.loop.now() - self.received_at >= MIN_TAKEOVER_GAP_US:
            self.backlog = Burst(heartbeats + BACKLOG_HEARTBEATS)
        self.received_at = self.loop.now()
        self._dispatch(decoder, piece, handler)
        if decoder.heartbeats > heartbeats:
            self._check_heartbeat()

    def _check_heartbeat(self) -> None:
        """Ends a backlog at a heartbeat that is on time: it was delayed no longer than the one before."""
        if (
            self.heartbeat_at is not None
            and self.received_at - self.heartbeat_at <= MAX_HEARTBEAT_INTERVAL_US
        ):
            self.backlog = None
        if self.backlog is None:
            self.heartbeat_at = self.received_at

    def _dispatch(
        self, decoder: events.EventStreamDecoder, piece: bytes, handler: Union[RelayEventHandler, Snapshot]
    ) -> None:
        for name, data in decoder.feed(piece):
            self.counts["events"] += 1
            try:
                _dispatch_event(handler, name, events.parse_fields(data))
            except InvalidMessage as error:
                self.counts["news_spoilt"] += 1
                self.report("news_spoilt", news=name, reason=str(error))


def _dispatch_event(handler: Union[RelayEventHandler, Snapshot], name: str, values: dict[str, str]) -> None:
    if name == "ack":
        handler.on_ack(events.proxy(values), events.mark(values), events.latency(values))
    elif name == "hello":
        handler.on_join(events.proxy(values), events.zone(values))
    elif name == "bye":
        handler.on_leave(events.proxy(values))
    elif name == "lease":
        (handler.on_slice_added if events.is_assigned(values) else handler.on_slice_removed)(
            events.slice_id(values)
        )
    elif name == "line":
        handler.on_table_line(events.slice_id(values), events.line_endpoint(values))
