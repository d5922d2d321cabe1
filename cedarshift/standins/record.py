"""Event records of the stand-ins: one JSON array per line, unbuffered, so that a kill loses no line."""

from __future__ import annotations

import os
from typing import Any

import msgspec

from cedarshift.loop import Loop

ENCODER = msgspec.json.Encoder()


class Recorder:
    """Appends rows to a file: [monotonic time in us, event, details...]."""

    def __init__(self, loop: Loop, path: str) -> None:
        self.loop = loop
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, event: str, *details: Any) -> None:
        if self.fd >= 0:
            os.write(self.fd, ENCODER.encode([self.loop.now(), event, *details]) + b"\n")

    def close(self) -> None:
        """Closes the file; later events are dropped. Used where one process runs many stand-ins in turn."""
        os.close(self.fd)
        self.fd = -1
