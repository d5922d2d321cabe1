"""Log lines: one JSON object each on standard error, limited in rate. The program's own logger weighs 9 MB, a tenth of the
memory that a pilot may have here, and 35 ms of a start."""

from __future__ import annotations

from typing import Any, Callable, Optional

import orjson

from cedarshift.log_output import LogOutput
from cedarshift.loop.core import Clock

SPAN = 1_000_000  # us over which lines of one event are counted
LINES_A_SPAN = 5  # of one event; the next line that passes tells how many did not
EVENTS_MOST = 64  # kinds of events with counts of their own


def make_report(clock: Clock, name: str, write: Optional[Callable[[str], Any]] = None) -> Callable[..., None]:
    """`report(event, **fields)`, to standard error unless `write` is given. It never raises and never waits: whoever reads the
    log may be gone or stall, and the work goes on without."""
    write = write or LogOutput().write
    spans: dict[str, tuple[int, int]] = {}  # event -> when its span began, lines since

    def report(event: str, **fields: Any) -> None:
        now = clock.now()
        begun, lines = spans.get(event, (now, 0))
        held = 0
        if now - begun >= SPAN:
            held, begun, lines = max(0, lines - LINES_A_SPAN), now, 0
        if event in spans or len(spans) < EVENTS_MOST:
            spans[event] = (begun, lines + 1)
        if lines >= LINES_A_SPAN:
            return
        line = {
            "at_ms": now // 1000,
            "pilot": name,
            "event": event,
            **fields,
            **({"held_back": held} if held else {}),
        }
        try:
            write(orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode() + "\n")
        except (OSError, ValueError):  # a reader that is gone, or a text that can't be encoded
            pass

    return report
