import pytest

from cedarshift.brain import Pilot
from cedarshift.interface import Entry, OpType, Terms


def drain(pilot, now):
    out = []
    while (d := pilot.next_decision(now)) is not None:
        out.append(d)
    return out


def test_nothing_due_means_only_a_timer():
    p = Pilot(Terms(op_types=(OpType("put", 1, 2, True, False),), slices=1, single_owner=True))
    p.on_list(0, "restored", [Entry("a:1", "on", 1.0, "z", None)])
    p.on_given(0, 0, True)
    p.on_held(0, 0, "a:1")
    assert [d[0] for d in drain(p, 0)] == ["wake"]
