"""Restarts background work that must survive its own exceptions."""

from __future__ import annotations

import traceback
from typing import Callable

from cedarshift.loop.core import Cancelled, Coroutine, Loop

RESTART_DELAY_US = 200_000  # keeps a persistent failure from busy-looping


def supervise(loop: Loop, work: Callable[[], Coroutine], name: str) -> Coroutine:
    """Runs `work()`; if it raises, reports the error and restarts it after RESTART_DELAY_US.

    Returns when a run returns, and ends when cancelled. State that has to outlive a restart must be kept
    outside the coroutine."""
    while True:
        try:
            return (yield from work())
        except Cancelled:
            raise
        except Exception as failure:
            loop.report("task_failed", task=name, error=repr(failure), traceback=traceback.format_exc())
        yield from loop.sleep(RESTART_DELAY_US)
