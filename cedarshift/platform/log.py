"""Rate-limited log lines on standard error, one JSON object each.

Used instead of the logger in cedarshift.cli.log, whose dependencies need too much of a pilot's memory limit
here.
"""

from __future__ import annotations

from typing import Any, Callable, Optional

import orjson

from cedarshift.log_output import LogOutput
from cedarshift.loop.core import Clock

WINDOW_US = 1_000_000
MAX_LINES_PER_WINDOW = 5  # of one event; the first line of the next window tells how many were suppressed
MAX_COUNTED_EVENTS = 64  # distinct event names with a count


def make_report(clock: Clock, name: str, write: Optional[Callable[[str], Any]] = None) -> Callable[..., None]:
    """Returns `report(event, **fields)`, which writes to standard error unless `write` is given.

    It neither raises nor blocks if the reader of the log is gone or stalls."""
    write = write or LogOutput().write
    windows: dict[str, tuple[int, int]] = {}  # event -> (start of its window, lines since)

    def report(event: str, **fields: Any) -> None:
        now = clock.now()
        started_at, lines = windows.get(event, (now, 0))
        suppressed = 0
        if now - started_at >= WINDOW_US:
            suppressed, started_at, lines = max(0, lines - MAX_LINES_PER_WINDOW), now, 0
        if event in windows or len(windows) < MAX_COUNTED_EVENTS:
            windows[event] = (started_at, lines + 1)
        if lines >= MAX_LINES_PER_WINDOW:
            return
        line = {
            "at_ms": now // 1000,
            "pilot": name,
            "event": event,
            **fields,
            **({"held_back": suppressed} if suppressed else {}),
        }
        try:
            write(orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode() + "\n")
        except (OSError, ValueError):  # the reader is gone, or a value cannot be encoded
            pass

    return report
