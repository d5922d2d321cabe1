"""Builds the state that tests of the decision module need."""

from cedarshift.brain import Pilot
from cedarshift.interface import DecisionConfig, Entry, OpType
from cedarshift.observations import OWNED

TERMS = dict(
    op_types=(OpType("get", 20_000, 60_000, False, False), OpType("put", 20_000, 30_000, True, False)),
    slices=8,
    single_owner=True,
    report_period=10_000,
    lease=25_000,
    in_flight_most=30_000,
    drain_grace=40_000,
    lines_per_message=10.0,
    lines_waiting_most=4000.0,
    transit_most=5_000,
    cold_share=0.2,
    warm_within=150_000,
    tip_multiple=3.0,
    ask_within=100_000,
)


def pilot(endpoints="abcd", owners="abcdabcd", proxies=2, now=0, **terms):
    """Returns a pilot with warm endpoints, joined proxies and a slice per letter of `owners` ('-': none)."""
    p = Pilot(DecisionConfig(**{**TERMS, "slices": len(owners), **terms}))
    p.on_list(now, "restored", [entry(n) for n in endpoints])
    for i in range(proxies):
        p.on_join(now, i, "z")
        p.proxies[i].acked = p.mark
    for i, owner in enumerate(owners):
        p.on_slice_assigned(now, i, True)
        if owner != "-":
            p.on_stored_owner(now, i, owner)
    p._update_estimates(now)
    return p


def entry(name, phase="on", started=None, size=1.0):
    """Returns an endpoint of the list."""
    return Entry(name, phase, size, "z", started)


def decisions(p, now):
    """Returns all decisions at a time, except timers and marks."""
    p.wake_pending = True
    out = []
    while (d := p.next_decision(now)) is not None:
        out.append(d)
    return [d for d in out if d[0] not in ("wake", "mark")]


def report_outcomes(p, now, name, tries, aborted, took, zone="z"):
    """Reports the ops to an endpoint over the last three periods."""
    for at in (now - 10_000, now - 5_000, now):
        p.on_endpoint_report(at, name, zone, tries, aborted, took, 10_000)


def states(p):
    """Returns a letter per slice: 'o' owned, 'r' revoking, 's' settling, 'e' empty."""
    return "".join({OWNED: "o"}.get(s.state, s.state[0]) for _, s in sorted(p.slices.items()))
