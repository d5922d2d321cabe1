"""Non-blocking log output to a file descriptor.

A reader that stalls costs log lines but never blocks the program.
"""

from __future__ import annotations

import os
import socket
import stat
from typing import Callable

MAX_BUFFERED_BYTES = 65_536  # the default capacity of a pipe
STANDARD_ERROR = 2

Write = Callable[[bytes], int]


class LogOutput:
    """Writes whole lines in order without blocking; lines that do not fit the buffer are dropped and counted.

    Write errors are never raised. Only a regular file may block, as the kernel has no non-blocking writes to
    one.
    """

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.write_some = _non_blocking_write(descriptor)
        self.buffer = b""  # accepted and not yet written
        self.dropped_lines = 0  # since the last line that reported the number

    def write(self, text: str) -> None:
        """Writes one or more whole lines."""
        self.flush()
        data = text.encode(errors="replace")
        if self.dropped_lines:
            data = b'{"event":"log_lines_lost","lines":%d}\n' % self.dropped_lines + data
        if len(self.buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self.dropped_lines = 0
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts now."""
        while self.buffer:
            try:
                written = self.write_some(self.buffer)
            except BlockingIOError:
                return
            except BrokenPipeError:  # no reader is left
                self.buffer = b""
                return
            except OSError:  # for instance a full disk: keeps the data
                return
            self.buffer = self.buffer[written:]


def _non_blocking_write(descriptor: int) -> Write:
    """Returns a function that writes to a descriptor, or raises BlockingIOError where it would block.

    Other processes may share the open file and need blocking writes, so a pipe or terminal is reopened with
    its own flags.
    """
    try:
        kind = os.fstat(descriptor).st_mode
    except OSError:
        return _discard
    if stat.S_ISSOCK(kind):
        connection = socket.socket(fileno=os.dup(descriptor))
        return lambda data: connection.send(data, socket.MSG_DONTWAIT)
    if stat.S_ISFIFO(kind) or stat.S_ISCHR(kind):
        descriptor = _reopen_non_blocking(descriptor)
    return lambda data: os.write(descriptor, data)


def _reopen_non_blocking(descriptor: int) -> int:
    """Reopens a descriptor for non-blocking writes; sets the flag on the shared file where that fails."""
    try:
        return os.open(
            f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
        )
    except OSError:  # no /proc, or no permission
        os.set_blocking(descriptor, False)
        return descriptor


def _discard(data: bytes) -> int:
    """Discards data where the descriptor is closed."""
    return len(data)
