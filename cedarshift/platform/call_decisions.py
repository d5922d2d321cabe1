"""What the decision module decides about calls to the relay, in the loop's time."""

from __future__ import annotations

import math
from typing import Callable

from cedarshift import units
from cedarshift.interface import DecisionModule
from cedarshift.loop import Loop

TENTH_MS_US = 100  # 0.1 ms, the time unit of the decision module


class CallDecisions:
    """Passes the outcomes of calls to the module, and asks it about the next ones.

    `now()` returns the module's time."""

    def __init__(self, loop: Loop, module: DecisionModule, now: Callable[[], int]) -> None:
        self.loop = loop
        self.module = module
        self.now = now

    def may_grant(self, slice_id: int) -> bool:
        """Whether an order that grants a slice may be sent now."""
        return self.module.may_grant(self.now(), slice_id)

    def on_unanswered(self) -> None:
        """The newest call may have been carried out or not."""
        self.module.on_call_unanswered(self.now())

    def on_refused(self) -> None:
        """The newest call was not carried out."""
        self.module.on_call_refused(self.now())

    def on_further_call(self, has_mark: bool) -> None:
        """A call is made that the module has not decided: a repeat, or another part of a batch."""
        self.module.on_further_call(self.now(), has_mark)

    def latest_repeat(self, called_at_us: int, extension_us: int) -> float:
        """When a call without an answer is to be repeated at the latest, in us; infinite if any time will do.

        `extension_us`: by how much the unanswered calls of the batch have extended time limits."""
        now_us, now = self.loop.now(), self.now()
        called_at = now - units.round_up(now_us - called_at_us, TENTH_MS_US)
        latest = self.module.latest_repeat(now, called_at, units.round_down(extension_us, TENTH_MS_US))
        return now_us + (latest - now) * TENTH_MS_US if latest < math.inf else math.inf
