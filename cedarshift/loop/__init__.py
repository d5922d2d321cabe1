"""A generator-based event loop with pluggable clock and network; code above it never handles sockets
directly.
"""

from cedarshift.loop.core import Cancelled, Loop, Task, TimedOut
from cedarshift.loop.datagram import Datagrams, datagrams
from cedarshift.loop.stream import BufferFull, Listener, Stream, StreamBroken, dial, listen
from cedarshift.loop.supervise import supervise

__all__ = [
    "BufferFull",
    "Cancelled",
    "Datagrams",
    "Listener",
    "Loop",
    "Stream",
    "StreamBroken",
    "Task",
    "TimedOut",
    "datagrams",
    "dial",
    "supervise",
    "listen",
]
