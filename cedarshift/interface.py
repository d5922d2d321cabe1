"""Types exchanged between a host and the decision module.

All times and durations are integers in units of 0.1 ms. Terms used in names:

- line: a table entry that assigns a slice to an endpoint, with a weight; weight 0 removes it.
- level: the share of the ops of an op type that proxies admit for a slice, from 0 (closed) to 1 (open).
- mark: a numbered barrier at the end of a batch of orders. A proxy that acknowledges it has applied all
  orders up to it.
- cold, warm: an endpoint has reduced capacity (is cold) until `warm_within` has passed since its start.
- tipping: a cold endpoint fails under a load above `tip_multiple` times its present capacity.
- hold: a slice without a line for too long is given back to its former owner with all op types closed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Collection, Iterator, NamedTuple, Optional, Protocol


class OpType(NamedTuple):
    """An op type that clients may send.

    `writes`: it changes data. `own_zone`: proxies send it to endpoints of their own zone only.
    """

    name: str
    target_latency: int
    op_timeout: int
    writes: bool
    own_zone: bool


class Entry(NamedTuple):
    """An endpoint as the list shows it.

    `size` is its relative capacity. `started` is when its process started; None where that is unknown or long
    ago. `late` is the time between the host learning of the phase and passing it on; the drain grace runs
    from the former.
    """

    endpoint: str
    phase: str  # "on", "fading" (draining) or "off" (gone)
    size: float
    zone: str
    started: Optional[int]
    late: int = 0


@dataclass(frozen=True)
class DecisionConfig:
    """Configuration of a pilot, taken from its deployment. Missing values keep a neutral default."""

    op_types: tuple[OpType, ...] = ()
    zones: tuple[str, ...] = ()
    slices: int = 0  # in the deployment; 0: no slices, a table names every endpoint of its zones
    single_owner: bool = False  # a slice must never be written through two endpoints at a time
    asks_list: bool = False  # the endpoint list is requested, not pushed
    levels: str = "fraction"  # "fraction": a level is a share of ops; "none": levels are not supported
    gone_binds: bool = True  # whether an endpoint missing from the list must be left within the grace
    retry_default: int = 0  # retries of an op by a proxy
    seed: int = 0  # of the random numbers
    pilots: int = 1  # in the deployment
    pilot_index: int = 0  # of this pilot, from 0
    lines_per_message: float = 0.0  # cost of a message's header, in lines
    lines_waiting_most: float = 0.0  # limit of the lines in the channel to all proxies; 0: no limit
    lines_per_s: float = 0.0  # rate of the channel to all proxies; 0: no limit
    messages_most: int = 0  # to a proxy within `messages_span`; 0: no limit
    messages_span: int = 0
    transit_most: int = 0  # longest time of a message from leaving the channel to its effect at the proxy
    connect_most: int = 0  # longest wait of a proxy for a new connection
    report_period: int = 0  # between two reports of a proxy
    lease: int = 0  # how long a proxy may use its tables after it lost its stream
    assignment_lease: int = 0  # how long the store leaves slices with a pilot it can't reach; 0: no limit
    renewal_most: int = 0  # longest time between two renewals of that lease while the store can be reached
    in_flight_most: int = 0  # longest time that an op may be in flight after its proxy sent it
    drain_grace: int = 0  # within which an endpoint that drains or is gone must be left
    empty_for: int = 0  # longest time that a joined proxy may be without a line of a slice; 0: no limit
    ask_within: int = 0  # within which a list that could not be read must be requested again
    warm_within: int = 0  # from the start of an endpoint until it has its full capacity
    cold_share: float = 1.0  # of its full capacity, at the start of an endpoint
    tip_multiple: float = 1.0  # load that a cold endpoint tolerates, as a multiple of its present capacity


class DecisionModule(Protocol):
    """Calls that a host may make; `cedarshift.brain.Pilot` documents the inputs.

    Inputs only update state. Decisions are then pulled until None is returned:

    ("line", table, endpoint, weight): set or remove a line. A table is a slice, or a zone without slices.
    ("level", table, op_mask, share, retries): set the admission level of op types.
    ("mark", number, everyone): end the batch of lines and levels with a barrier, sent to all proxies.
    ("install", proxy, op_mask, table): make a proxy use a table.
    ("ask_list", watch): request the endpoint list, and its changes where `watch` is set.
    ("wake", after, nonce): call `on_alarm` with the nonce after a delay.
    ("note", text): write to the log.

    Bit i of an op mask stands for op type i; 0 stands for all.
    """

    def on_list(self, now: int, kind: str, entries: list[Entry]) -> None: ...
    def on_join(self, now: int, proxy: int, zone: str) -> None: ...
    def on_leave(self, now: int, proxy: int) -> None: ...
    def on_slice_assigned(self, now: int, slice_id: int, given: bool) -> None: ...
    def on_slice_unwritten(self, now: int, slice_id: int) -> None: ...
    def on_stored_owner(self, now: int, slice_id: int, endpoint: str, all_closed: bool = False) -> None: ...
    def on_assignments_known(self, now: int, as_of: int) -> None: ...
    def on_slices_in_doubt(self, now: int, slice_ids: Collection[int]) -> None: ...
    def on_grant_withheld(self, now: int, slice_id: int) -> None: ...
    def on_ack(self, now: int, proxy: int, mark: int, took: int) -> None: ...
    def on_stream_alive(self, now: int, began: int) -> None: ...
    def on_endpoint_report(
        self, now: int, endpoint: str, zone: str, tries: int, aborted: int, took: int, span: int
    ) -> None: ...
    def on_slice_report(
        self, now: int, slice_id: int, op_type: str, ops: int, unanswered: int, span: int
    ) -> None: ...
    def on_sick_warning(self, now: int, endpoint: str, until: int) -> None: ...
    def on_budgets(self, now: int, budgets: dict[str, float]) -> None: ...
    def on_alarm(self, now: int, nonce: int) -> None: ...
    def may_grant(self, now: int, slice_id: int) -> bool: ...
    def latest_repeat(self, now: int, called_at: int, extension: int) -> float: ...
    def on_call_unanswered(self, now: int) -> None: ...
    def on_call_refused(self, now: int) -> None: ...
    def on_further_call(self, now: int, has_mark: bool) -> None: ...
    def next_decision(self, now: int) -> Optional[tuple]: ...


def pull_decisions(decider: DecisionModule, now: int) -> Iterator[tuple]:
    """Yields all decisions at a time, in order."""
    while (decision := decider.next_decision(now)) is not None:
        yield decision
