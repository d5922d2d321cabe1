"""Types exchanged between a host and the decision module.

All times and durations are integers in units of 0.1 ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterator, NamedTuple, Optional, Protocol


class OpType(NamedTuple):
    """An op type that clients may send."""

    name: str
    target_latency: int
    op_timeout: int
    writes: bool
    own_zone: bool


class Entry(NamedTuple):
    """An endpoint as the list shows it.

    `started` is None where it started long ago. `late` is how long ago the host learned of the phase, where
    it withheld the report; the drain grace runs from then.
    """

    endpoint: str
    phase: str  # "on", "fading" or "off"
    size: float
    zone: str
    started: Optional[int]
    late: int = 0


@dataclass(frozen=True)
class DecisionConfig:
    """Configuration of a pilot, taken from its deployment. Missing values keep a neutral default."""

    op_types: tuple[OpType, ...] = ()
    zones: tuple[str, ...] = ()
    slices: int = 0
    single_owner: bool = False
    asks_list: bool = False
    levels: str = "fraction"  # what a level means; "none": levels are not supported
    gone_binds: bool = True  # whether an endpoint missing from the list must be left within the grace
    retry_default: int = 0
    seed: int = 0
    pilots: int = 1  # in the deployment
    pilot_index: int = 0  # of this pilot, from 0
    lines_per_message: float = 0.0
    lines_waiting_most: float = 0.0
    lines_per_s: float = 0.0
    messages_most: int = 0
    messages_span: int = 0
    transit_most: int = 0
    connect_most: int = 0  # longest wait of a proxy for a new connection
    report_period: int = 0
    lease: int = 0
    in_flight_most: int = 0
    drain_grace: int = 0
    empty_for: int = 0  # longest time that a joined proxy may be without a line; 0: no limit
    ask_within: int = 0
    warm_within: int = 0
    cold_share: float = 1.0
    tip_multiple: float = 1.0


class DecisionModule(Protocol):
    """Calls that a host may make. Inputs only update state; decisions are then pulled until None is returned.

    Decisions: ("ask_list", watch) ("wake", after, nonce) ("note", text)
    ("line", table, endpoint, weight) ("level", table, op_mask, share, retries)
    ("mark", number, everyone) ("install", proxy, op_mask, table)
    """

    def on_list(self, now: int, kind: str, entries: list[Entry]) -> None: ...
    def on_join(self, now: int, proxy: int, zone: str) -> None: ...
    def on_leave(self, now: int, proxy: int) -> None: ...
    def on_slice_assigned(self, now: int, slice_id: int, given: bool) -> None: ...
    def on_stored_owner(self, now: int, slice_id: int, endpoint: str, all_closed: bool = False) -> None: ...
    def on_ack(self, now: int, proxy: int, mark: int, took: int) -> None: ...
    def on_stream_alive(self, now: int, began: int) -> None: ...
    def on_endpoint_report(
        self, now: int, endpoint: str, zone: str, tries: int, aborted: int, took: int, span: int
    ) -> None: ...
    def on_slice_report(
        self, now: int, slice_id: int, op_type: str, ops: int, unanswered: int, span: int
    ) -> None: ...
    def on_sick_warning(self, now: int, endpoint: str, until: int) -> None: ...
    # By endpoint; "*": any other endpoint; "": moves allowed at a time.
    def on_budgets(self, now: int, budgets: dict[str, float]) -> None: ...
    def on_alarm(self, now: int, nonce: int) -> None: ...
    def next_decision(self, now: int) -> Optional[tuple]: ...


def pull_decisions(decider: DecisionModule, now: int) -> Iterator[tuple]:
    """Yields all decisions at a time, in order."""
    while (decision := decider.next_decision(now)) is not None:
        yield decision
