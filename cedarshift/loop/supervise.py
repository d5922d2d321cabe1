"""Work that must go on for the life of a process: a fault ends one run of it, not the work."""

from __future__ import annotations

import traceback
from typing import Callable

from cedarshift.loop.core import Cancelled, Coroutine, Loop

RESTART_DELAY_US = 200_000  # us; a fault that stays must not spin


def supervise(loop: Loop, work: Callable[[], Coroutine], name: str) -> Coroutine:
    """Runs `work()`, and again a moment after each fault of it, which is reported; ends when a run of it ends, or is cancelled.

    For work that takes up where it was: what it holds has to be kept outside of the coroutine."""
    while True:
        try:
            return (yield from work())
        except Cancelled:
            raise
        except Exception as failure:
            loop.report("task_failed", task=name, error=repr(failure), traceback=traceback.format_exc())
        yield from loop.sleep(RESTART_DELAY_US)
