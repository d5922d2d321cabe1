"""Runs generators as coroutines over a clock and a network that are handed in; nothing above it meets a socket."""

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
