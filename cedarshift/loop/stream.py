"""Byte streams with limits, over whatever pipes the network hands out.

A pipe is non-blocking: `recv(most) -> bytes | None` (None: nothing now; b"": the peer has finished), `send(view) ->
int` (0: no room now), `close()`, `watch(call)` where `call(readable, writable, hung)` tells of edges, `hung` that the
peer has finished. Readiness is told by edges, once a change; the stream remembers it and asks the pipe until there is no more
(None, or 0). A transfer may be short at any time, so its length tells nothing of what is left.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Callable, Optional, Protocol

from cedarshift.loop.core import Coroutine, Loop, TimedOut, Waker

READ_CHUNK_BYTES = 65_536  # bytes taken from a pipe at a time
MAX_READS_PER_STEP = 4  # reads without a pause; a peer that always has more must not hold the loop
MAX_PENDING_BYTES = 1 << 20  # bytes that may wait to be written before the stream counts as stalled
DIAL_TIMEOUT_US = 1_000_000  # us
MAX_LINGER_BYTES = (
    4 << 20
)  # bytes thrown away of a peer that goes on sending: what the buffers on the way hold at most
MAX_LINGER_READS = 8  # reads of them without a pause
ACCEPT_RETRY_DELAY_US = 50_000  # us between tries while the machine has no room for a connection


class StreamBroken(Exception):
    """The stream has ended in a way that the reader or writer did not ask for."""


class BufferFull(StreamBroken):
    """The peer reads too slowly: more would have to wait than the stream's limit."""


class Transport(Protocol):
    def recv(self, max_bytes: int) -> Optional[bytes]: ...
    def send(self, view: Any) -> int: ...
    def finish_writing(self) -> None: ...
    def close(self) -> None: ...
    def watch(self, call: Callable[[bool, bool, bool], None]) -> None: ...


class Stream:
    """One connection. At most one task reads and one drains at a time."""

    def __init__(
        self, loop: Loop, transport: Transport, peer: str = "", max_pending_bytes: int = MAX_PENDING_BYTES
    ) -> None:
        self.loop = loop
        self.transport = transport
        self.peer = peer
        self.max_pending_bytes = max_pending_bytes
        self.pending = 0  # bytes that wait to be written
        self.closed = False
        self.chunks: deque[memoryview] = deque()
        self.readable = True  # until the pipe says otherwise
        self.writable = True
        self.close_error: Optional[StreamBroken] = None
        self.reader: Optional[Waker] = None
        self.drainer: Optional[Waker] = None
        self.reads = 0
        self.has_written = False  # something was sent: to close with unread input would reset it on its way
        self.finishing = False  # no more is read or written on this side
        self.lingering = False  # all is written, and the peer's end is waited for
        self.discarded_bytes = 0  # bytes that came while it was
        transport.watch(self._ready)

    # ---- reading

    def read(self, until: Optional[int] = None) -> Coroutine:
        """The next bytes; b"" once the peer has finished. Raises TimedOut at `until`, StreamBroken on a reset."""
        self.reads += 1
        if self.reads > MAX_READS_PER_STEP:
            self.reads = 0
            yield from self.loop.yield_control()
        while True:
            if (data := self.take()) is not None:
                return data
            self.reads = 0
            self.reader = self.loop.waker()
            try:
                yield from self.loop.park(until)
            finally:
                self.reader = None

    def take(self, ignore_readiness: bool = False) -> Optional[bytes]:
        """What has come, without waiting: None where there is nothing, b"" at the peer's end. `unseen`: also what no edge has
        told of yet. Raises StreamBroken."""
        self._check_open()
        if not self.readable and not ignore_readiness:
            return None
        try:
            data = self.transport.recv(READ_CHUNK_BYTES)
        except OSError as error:
            broken = StreamBroken(str(error))
            self._fail(broken)
            raise broken from None
        self.readable = data is not None
        return data

    def _check_open(self) -> None:
        if self.closed or self.finishing:
            raise self.close_error or StreamBroken("closed on this side")

    # ---- writing

    def write(self, data: bytes) -> None:
        """Sends what the pipe takes and keeps the rest. Raises BufferFull, and closes, past the limit."""
        self._check_open()
        self.has_written = True
        view = memoryview(data)
        if not self.chunks and self.writable:
            view = view[self._send_view(view) :]
        if self.close_error is not None:
            raise self.close_error
        if view:
            self.chunks.append(view)
            self.pending += len(view)
            if self.pending > self.max_pending_bytes:
                full = BufferFull(
                    f"{self.pending} bytes wait for {self.peer}, {self.max_pending_bytes} at most"
                )
                self._fail(full)
                raise full

    def _send_view(self, view: memoryview) -> int:
        """Hands over until all has gone or the pipe has no room; the number of bytes that went."""
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
        """Waits until no more than `below` bytes wait to be written."""
        while self.pending > below:
            if self.closed:
                raise self.close_error or StreamBroken("closed on this side")
            self.drainer = self.loop.waker()
            try:
                yield from self.loop.park(until)
            finally:
                self.drainer = None

    # ---- ending

    def close(self) -> None:
        """Closes at once; what still waits to be written is lost."""
        if not self.closed:
            self.closed = True
            self.chunks.clear()
            self.pending = 0
            self.transport.close()
            for waker in (self.reader, self.drainer):
                if waker is not None:
                    waker.wake()

    def finish(self, timeout: int) -> None:
        """Closes once everything is written and the peer has had it, or after `within` microseconds. Until the peer ends its side
        what it still sends is read and thrown away: to close over unread input makes the kernel reset the connection, and
        a reset destroys the last answer on its way."""
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
        if self.pending or self.lingering or self.closed:
            return
        try:
            self.transport.finish_writing()
        except OSError:  # the peer has gone
            self.close()
            return
        self.lingering = True
        self._discard_input()

    def _discard_input(self) -> None:
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
        if readable:
            self.readable = True
            if self.reader is not None:
                self.reader.wake()
            if self.lingering:
                self._discard_input()
        if writable and not self.closed:
            self.writable = True
            while self.chunks and self.writable:
                view = self.chunks[0]
                sent = self._send_view(view)
                if self.closed:
                    return
                self.pending -= sent
                if sent == len(view):
                    self.chunks.popleft()
                else:
                    self.chunks[0] = view[sent:]
            if self.drainer is not None:
                self.drainer.wake()
            if self.finishing:
                self._linger()


class Listener:
    """Accepts streams; beyond `most` open ones a newcomer is closed at once, so that the others keep their share. Where the
    machine has no room for one more (descriptors, memory) it is waited for: no failed accept ends who accepts."""

    def __init__(self, loop: Loop, acceptor: Any, max_streams: int, max_pending_bytes: int) -> None:
        self.loop = loop
        self.acceptor = acceptor
        self.max_streams = max_streams
        self.max_pending_bytes = max_pending_bytes
        self.open: set[Stream] = set()
        self.refused_count = 0
        self.failures = 0  # accepts that failed
        self.waiting: Optional[Waker] = None
        self.closed = False
        acceptor.watch(self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.acceptor.address

    def accept(self) -> Coroutine:
        """The next stream."""
        while True:
            if self.closed:
                raise StreamBroken("the listener was closed")
            try:
                stream = self.take()
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

    def take(self) -> Optional[Stream]:
        """The next stream that waits, None where there is none. Raises OSError where the machine has no room for one."""
        while (got := self.acceptor.accept()) is not None:
            transport, peer = got
            self.open = {stream for stream in self.open if not stream.closed}
            if len(self.open) >= self.max_streams:
                self.refused_count += 1
                transport.close()
                continue
            try:
                stream = Stream(self.loop, transport, peer, self.max_pending_bytes)
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
    """Opens a listener at an address; port 0 takes any. Raises OSError where the address is taken."""
    return Listener(loop, loop.network.listen(address), max_streams, max_pending_bytes)


def dial(
    loop: Loop,
    address: tuple[str, int],
    timeout: int = DIAL_TIMEOUT_US,
    max_pending_bytes: int = MAX_PENDING_BYTES,
) -> Coroutine:
    """Connects; raises StreamBroken where nobody answers or the connect takes longer than `timeout` (us)."""
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
