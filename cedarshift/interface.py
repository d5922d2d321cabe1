"""The types that pass between a host and the decision module. All times are whole tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterator, NamedTuple, Optional, Protocol


class OpType(NamedTuple):
    """What a client may ask for."""

    name: str
    target_latency: int
    op_timeout: int
    writes: bool
    own_zone: bool


class Entry(NamedTuple):
    """One endpoint as the list shows it; `started` is None where the start lies long back. `late`: how long ago the host was
    told of this phase, where it has kept the news back; the drain's grace runs from then."""

    endpoint: str
    phase: str  # "on", "fading" or "off"
    size: float
    zone: str
    started: Optional[int]
    late: int = 0


@dataclass(frozen=True)
class PilotConfig:
    """The terms of the deployment that a pilot works under. Missing figures stay at the neutral value."""

    op_types: tuple[OpType, ...] = ()
    zones: tuple[str, ...] = ()
    slices: int = 0
    single_owner: bool = False
    asks_list: bool = False
    levels: str = "fraction"  # what a level holds; "none": levels are disregarded
    gone_binds: bool = True  # an endpoint dropped from the list must be left within the grace
    retry_default: int = 0
    seed: int = 0
    pilots: int = 1  # how many there are, and this one's place among them, from 0
    pilot_index: int = 0
    lines_per_message: float = 0.0
    lines_waiting_most: float = 0.0
    lines_per_s: float = 0.0
    messages_most: int = 0
    messages_span: int = 0
    transit_most: int = 0
    connect_most: int = 0  # how long a proxy waits for a new connection
    report_period: int = 0
    lease: int = 0
    in_flight_most: int = 0
    drain_grace: int = 0
    empty_for: int = 0  # how long a joined proxy may be without a line; 0: not told
    ask_within: int = 0
    warm_within: int = 0
    cold_share: float = 1.0
    tip_multiple: float = 1.0


class DecisionModule(Protocol):
    """What a host may call. Inputs only update what is known; decisions are then pulled until None comes.

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
    def on_budgets(
        self, now: int, budgets: dict[str, float]
    ) -> None: ...  # by endpoint; "*": any other; "": moves at a time
    def on_alarm(self, now: int, nonce: int) -> None: ...
    def next_decision(self, now: int) -> Optional[tuple]: ...


def pull_decisions(decider: DecisionModule, now: int) -> Iterator[tuple]:
    """All that is decided at a time, in order: one turn."""
    while (decision := decider.next_decision(now)) is not None:
        yield decision
