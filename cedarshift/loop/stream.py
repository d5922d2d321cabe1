"""Byte streams with limits over non-blocking transports, and listeners that accept them.

Readiness of a transport is edge-triggered: its `watch` callback runs once per change. The stream remembers
readiness and reads or writes until the transport would block; a short transfer does not mean that it would.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Callable, Optional, Protocol

from cedarshift.loop.core import Coroutine, Loop, TimedOut, Waker
from cedarshift.loop.stream_memory import StreamMemory

READ_CHUNK_BYTES = 65_536
MAX_READS_PER_STEP = 1  # reads of one stream before other tasks run
MAX_PENDING_BYTES = 1 << 20  # unsent bytes after which a write fails
DIAL_TIMEOUT_US = 1_000_000
MAX_LINGER_BYTES = 4 << 20  # input discarded while waiting for the peer to close
MAX_LINGER_READS = 8  # before other tasks run
ACCEPT_RETRY_DELAY_US = 50_000  # while the system is out of resources


class StreamBroken(Exception):
    """The connection could not be made, or the stream or listener was closed or reset."""


class BufferFull(StreamBroken):
    """The peer reads too slowly: unsent data exceeds the stream's limit."""


class MemoryExceeded(StreamBroken):
    """The connections of the process hold too much, and this one the most for the longest time."""


class Transport(Protocol):
    """A non-blocking byte stream.

    `recv` returns None if it would block and b"" at the end of the stream; `send` returns the number of bytes
    taken, 0 if it would block. `watch` sets the callback `call(readable, writable, hung_up)`."""

    def recv(self, max_bytes: int) -> Optional[bytes]: ...
    def send(self, view: Any) -> int: ...
    def finish_writing(self) -> None: ...
    def close(self) -> None: ...
    def watch(self, call: Callable[[bool, bool, bool], None]) -> None: ...


class Stream:
    """A buffered connection. At most one task may read and one may drain at a time.

    `memory` bounds what this and other streams hold together; None if it does not count."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        peer: str = "",
        max_pending_bytes: int = MAX_PENDING_BYTES,
        memory: Optional[StreamMemory] = None,
    ) -> None:
        self.loop = loop
        self.transport = transport
        self.peer = peer
        self.max_pending_bytes = max_pending_bytes
        self.memory = memory
        self.pending = 0  # unsent bytes
        self.shared_pending = 0  # of them, those in buffers that other streams hold as well
        self.held_input = 0  # bytes that the protocol holds, see `hold`
        self.closed = False
        self.chunks: deque[tuple[memoryview, bool]] = deque()  # unsent data, and whether it is shared
        self.readable = True  # until the transport would block
        self.writable = True
        self.close_error: Optional[StreamBroken] = None
        self.reader: Optional[Waker] = None
        self.drainer: Optional[Waker] = None
        self.hung_up = False  # the connection was reset, or both sides have ended it
        self.reads = 0  # since the reader last waited or let other tasks run
        self.has_written = False  # if so, closing at once could lose data the peer has not read
        self.finishing = False  # `finish` was called: no more reads or writes
        self.lingering = False  # everything is sent, waiting for the peer to close
        self.discarded_bytes = 0  # while lingering
        transport.watch(self._ready)

    # ---- reading

    def read(self, until: Optional[int] = None, max_bytes: int = READ_CHUNK_BYTES) -> Coroutine:
        """Returns the next bytes, `max_bytes` at most, b"" at the end of the stream.

        Raises TimedOut at `until` (us), and StreamBroken if the stream is reset or closed on this side."""
        self.reads += 1
        if self.reads > MAX_READS_PER_STEP:
            self.reads = 0
            yield from self.loop.yield_control()
        while True:
            if (data := self.read_nowait(max_bytes=max_bytes)) is not None:
                return data
            self.reads = 0
            self.reader = self.loop.waker()
            try:
                yield from self.loop.park(until)
            finally:
                self.reader = None

    def read_nowait(
        self, ignore_readiness: bool = False, max_bytes: int = READ_CHUNK_BYTES
    ) -> Optional[bytes]:
        """Reads without waiting: None if there is no data, b"" at the end of the stream. Raises StreamBroken.

        `ignore_readiness`: asks the transport even if it has not reported data."""
        self._check_open()
        if not self.readable and not ignore_readiness:
            return None
        try:
            data = self.transport.recv(max_bytes)
        except OSError as error:
            self._fail(StreamBroken(str(error)))
            raise self._closing_error() from None
        self.readable = data is not None
        return data

    def _check_open(self) -> None:
        if self.closed or self.finishing:
            raise self._closing_error()

    def _closing_error(self) -> StreamBroken:
        """Why the stream is closed. A new object each time: an error that is raised refers to the frames
        that it passed, and these to the stream, so that a kept one would keep all that they hold."""
        error = self.close_error or StreamBroken("closed on this side")
        return type(error)(*error.args)

    # ---- memory

    def hold(self, input_bytes: int) -> None:
        """Tells how many bytes of input the protocol holds that it can't handle yet.

        Together with those of other connections they may be too many, which closes this or another stream."""
        if input_bytes != self.held_input and not self.closed:
            self.held_input = input_bytes
            self._account()

    def evict(self, reason: str) -> None:
        """Closes the stream to free memory; its reader and its next write get the error.

        Its task runs before others, which would read more meanwhile."""
        for waker in (self.reader, self.drainer):
            if waker is not None:
                waker.wake_first()
        self._fail(MemoryExceeded(reason))

    def _account(self) -> None:
        if self.memory is not None:
            self.memory.update(self, self.held_input + self.pending - self.shared_pending)

    # ---- writing

    def write(self, data: bytes, shared: bool = False) -> None:
        """Sends what the transport takes and buffers the rest, without waiting. `shared`: others hold the
        same data, so that it costs this stream no memory.

        If more than `max_pending_bytes` are then unsent, closes the stream and raises BufferFull. Raises
        StreamBroken if the stream is closed or the transport fails."""
        self._check_open()
        self.has_written = True
        view = memoryview(data)
        if not self.chunks and self.writable:
            view = view[self._send_view(view) :]
        if self.close_error is not None:
            raise self._closing_error()
        if view:
            self.chunks.append((view, shared))
            self.pending += len(view)
            self.shared_pending += len(view) if shared else 0
            if self.pending > self.max_pending_bytes:
                reason = f"{self.pending} unsent bytes, at most {self.max_pending_bytes} allowed"
                self._fail(BufferFull(f"{self.peer}: {reason}"))
            self._account()
            if self.close_error is not None:
                raise self._closing_error()

    def _send_view(self, view: memoryview) -> int:
        """Sends until the view is empty or the transport would block; returns the number of bytes sent."""
        sent = 0
        while sent < len(view):
            try:
                taken = self.transport.send(view[sent:])
            except OSError as error:
                self._fail(StreamBroken(str(error)))
                return 0
            if not taken:
                self.writable = False
                break
            sent += taken
        return sent

    def drain(self, below: int = 0, until: Optional[int] = None) -> Coroutine:
        """Waits until at most `below` bytes are unsent, or the stream is closed, which discards unsent data.

        Raises TimedOut at `until` (us)."""
        while self.pending > below:
            if self.closed:
                raise self._closing_error()
            self.drainer = self.loop.waker()
            try:
                yield from self.loop.park(until)
            finally:
                self.drainer = None

    # ---- ending

    def close(self) -> None:
        """Closes immediately; unsent data is lost."""
        if not self.closed:
            self.closed = True
            self.chunks.clear()
            self.pending = self.shared_pending = self.held_input = 0
            self._account()
            self.transport.close()
            for waker in (self.reader, self.drainer):
                if waker is not None:
                    waker.wake()

    def finish(self, timeout: int) -> None:
        """Closes once everything is sent and the peer has closed, or after `timeout` microseconds.

        Closes at once if nothing was written, and early if more than MAX_LINGER_BYTES arrive.
        Input is read and discarded meanwhile: closing a socket with unread input resets the connection, which
        can destroy data the peer has not read yet."""
        if self.closed or self.finishing:
            return
        if not self.has_written:
            self.close()
            return
        self.finishing = True
        self.loop.at(self.loop.now() + timeout, self.close)
        for waker in (self.reader, self.drainer):
            if waker is not None:
                waker.wake()
        self._linger()

    def _linger(self) -> None:
        """Once everything is sent, shuts down the sending side and starts to discard input."""
        if self.pending or self.lingering or self.closed:
            return
        try:
            self.transport.finish_writing()
        except OSError:  # the peer has disconnected
            self.close()
            return
        self.lingering = True
        self._discard_input()

    def _discard_input(self) -> None:
        """Discards the available input; closes at its end, on an error or past MAX_LINGER_BYTES."""
        for _ in range(MAX_LINGER_READS):
            if self.closed:
                return
            try:
                data = self.transport.recv(READ_CHUNK_BYTES)
            except OSError:
                data = b""
            if data is None:
                return
            self.discarded_bytes += len(data)
            if not data or self.discarded_bytes > MAX_LINGER_BYTES:
                self.close()
        self.loop.at(self.loop.now(), self._discard_input)

    def _fail(self, error: StreamBroken) -> None:
        if self.close_error is None:
            self.close_error = error
        self.close()

    def _ready(self, readable: bool, writable: bool, hung_up: bool) -> None:
        if self.closed:
            return
        self.hung_up = self.hung_up or hung_up
        if readable:
            self.readable = True
            if self.reader is not None:
                self.reader.wake()
            if self.lingering:
                self._discard_input()
        if writable and not self.closed:
            self.writable = True
            while self.chunks and self.writable:
                view, shared = self.chunks[0]
                sent = self._send_view(view)
                if self.closed:
                    return
                self.pending -= sent
                self.shared_pending -= sent if shared else 0
                if sent == len(view):
                    self.chunks.popleft()
                else:
                    self.chunks[0] = view[sent:], shared
            self._account()
            if self.drainer is not None:
                self.drainer.wake()
            if self.finishing:
                self._linger()


class Listener:
    """Accepts streams, at most `max_streams` open at a time; further connections are closed immediately.

    While the system is out of resources (descriptors, memory), `accept` retries."""

    def __init__(self, loop: Loop, acceptor: Any, max_streams: int, max_pending_bytes: int) -> None:
        self.loop = loop
        self.acceptor = acceptor
        self.max_streams = max_streams
        self.max_pending_bytes = max_pending_bytes
        self.open: set[Stream] = set()
        self.refused_count = 0  # connections closed because of `max_streams`
        self.failures = 0  # failed accepts
        self.waiting: Optional[Waker] = None
        self.closed = False
        acceptor.watch(self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.acceptor.address

    def accept(self) -> Coroutine:
        """Waits for the next stream. Raises StreamBroken if the listener is closed."""
        while True:
            if self.closed:
                raise StreamBroken("the listener was closed")
            try:
                stream = self.accept_nowait()
            except OSError as error:
                self._failed(error)
                yield from self.loop.sleep(ACCEPT_RETRY_DELAY_US)
                continue
            if stream is not None:
                return stream
            self.waiting = self.loop.waker()
            try:
                yield
            finally:
                self.waiting = None

    def accept_nowait(self) -> Optional[Stream]:
        """Returns the next stream, or None if no connection is waiting.

        Raises OSError if the acceptor cannot accept, for example for lack of resources."""
        while (got := self.acceptor.accept()) is not None:
            transport, peer = got
            self.open = {stream for stream in self.open if not stream.closed}
            if len(self.open) >= self.max_streams:
                self.refused_count += 1
                transport.close()
                continue
            try:
                stream = Stream(self.loop, transport, peer, self.max_pending_bytes, self.loop.stream_memory)
            except OSError:
                transport.close()
                raise
            self.open.add(stream)
            return stream
        return None

    def _failed(self, error: OSError) -> None:
        self.failures += 1
        self.loop.report("accept_failed", reason=str(error), failures=self.failures)

    def _ready(self, readable: bool, writable: bool, hung_up: bool) -> None:
        if self.waiting is not None:
            self.waiting.wake()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.acceptor.close()
            self._ready(True, False, True)


def listen(
    loop: Loop, address: tuple[str, int], max_streams: int = 4096, max_pending_bytes: int = MAX_PENDING_BYTES
) -> Listener:
    """Opens a listener; port 0 selects a free port. Raises OSError if the address is in use.

    `max_streams`: connections open at a time. `max_pending_bytes`: limit on unsent data, per stream."""
    return Listener(loop, loop.network.listen(address), max_streams, max_pending_bytes)


def dial(
    loop: Loop,
    address: tuple[str, int],
    timeout: int = DIAL_TIMEOUT_US,
    max_pending_bytes: int = MAX_PENDING_BYTES,
) -> Coroutine:
    """Connects to `address`. Raises StreamBroken if that fails or takes longer than `timeout` (us)."""
    peer = f"{address[0]}:{address[1]}"
    try:
        attempt = loop.network.dial(address)
    except OSError as error:
        raise StreamBroken(f"{peer}: {error}") from None
    until = loop.now() + timeout
    try:
        while (transport := attempt.poll()) is None:
            waker = loop.waker()
            attempt.watch(lambda readable, writable, hung_up: waker.wake())
            yield from loop.park(until)
        return Stream(loop, transport, peer, max_pending_bytes)
    except OSError as error:
        attempt.close()
        raise StreamBroken(f"{peer}: {error}") from None
    except TimedOut:
        attempt.close()
        raise StreamBroken(f"{peer}: no answer within {timeout // 1000} ms") from None
    except BaseException:
        attempt.close()
        raise
