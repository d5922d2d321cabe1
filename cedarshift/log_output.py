"""Where log lines go: a descriptor that is never waited for. A reader that stalls costs lines, not the program's time."""

from __future__ import annotations

import os
import socket
import stat
from typing import Callable

WAITING_MAX = 65_536  # bytes kept for a reader that stalls; as much as a pipe holds
STANDARD_ERROR = 2

Put = Callable[[bytes], int]


class LogOutput:
    """Writes text without blocking, in whole lines and in order; what finds no room is dropped and counted.

    It never raises: whoever reads the log may be gone, and the program goes on without. Only a regular file can hold
    it up, as the kernel has no write to one that does not wait."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.put = _put_without_waiting(descriptor)
        self.waiting = b""  # taken here, not yet by the descriptor
        self.lost = 0  # lines dropped since the last line that told of it

    def write(self, text: str) -> None:
        """Takes one or more whole lines."""
        self.flush()
        data = text.encode(errors="replace")
        if self.lost:
            data = b'{"event":"log_lines_lost","lines":%d}\n' % self.lost + data
        if len(self.waiting) + len(data) > WAITING_MAX:
            self.lost += 1
            return
        self.lost = 0
        self.waiting += data
        self.flush()

    def flush(self) -> None:
        """Hands over what the descriptor takes now."""
        while self.waiting:
            try:
                taken = self.put(self.waiting)
            except BlockingIOError:
                return
            except BrokenPipeError:  # nobody will read it
                self.waiting = b""
                return
            except OSError:  # a full disk, say: kept, for as long as there is room
                return
            self.waiting = self.waiting[taken:]


def _put_without_waiting(descriptor: int) -> Put:
    """A write to a descriptor that raises BlockingIOError where it would wait. The descriptor itself may be shared with other
    processes, whose writes must go on waiting: so a pipe or terminal is opened anew, with flags of its own."""
    try:
        kind = os.fstat(descriptor).st_mode
    except OSError:
        return _nowhere
    if stat.S_ISSOCK(kind):
        connection = socket.socket(fileno=os.dup(descriptor))
        return lambda data: connection.send(data, socket.MSG_DONTWAIT)
    if stat.S_ISFIFO(kind) or stat.S_ISCHR(kind):
        descriptor = _opened_anew(descriptor)
    return lambda data: os.write(descriptor, data)


def _opened_anew(descriptor: int) -> int:
    try:
        return os.open(
            f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
        )
    except OSError:  # no /proc, or no right to it
        os.set_blocking(descriptor, False)
        return descriptor


def _nowhere(data: bytes) -> int:
    """The descriptor is closed."""
    return len(data)
