"""What passed on a process's sockets, a JSON array a line, written through at once so that a kill loses no line."""

from __future__ import annotations

import os
from typing import Any

import msgspec

from cedarshift.loop import Loop

ENCODER = msgspec.json.Encoder()


class Recorder:
    """Rows are [time in us on the machine's monotonic clock, what happened, ...]."""

    def __init__(self, loop: Loop, path: str) -> None:
        self.loop = loop
        self.out = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, what: str, *details: Any) -> None:
        if self.out >= 0:
            os.write(self.out, ENCODER.encode([self.loop.now(), what, *details]) + b"\n")

    def close(self) -> None:
        """For runs with many lives in one process; what is noted after it is of a life that is over, and lost."""
        os.close(self.out)
        self.out = -1
