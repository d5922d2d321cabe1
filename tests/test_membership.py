"""From nodes to the module's list: by cases, and by properties over random news."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarshift.judge import membership as ms
from cedarshift.judge.membership import Membership, Node

S = 1_000_000
HOLD = S


def node(endpoint="a", phase="on", owner=1, created_zxid=1, start="", zone="z", size=1.0):
    return Node(endpoint, phase, size, zone, start, owner, created_zxid)


def judge(*nodes, zone_pools=False, hold_us=HOLD):
    made = Membership(hold_us, zone_pools)
    made.on_nodes(0, {f"n{i}": one for i, one in enumerate(nodes)}, set())
    made.take(0)
    return made


def phases(changes):
    return [(one.endpoint, one.phase) for one in changes]


@pytest.mark.parametrize(
    "back_at, changes", [(0.1, []), (0.99, []), (1.0, [("a", "off")]), (3, [("a", "off")])]
)
def test_a_vanished_node_is_told_after_the_hold_unless_it_comes_back(back_at, changes):
    j, at = judge(node("a"), node("b")), int(back_at * S)
    j.on_nodes(0, {}, {"n0"})
    assert j.take(0) == [] and j.due() == HOLD
    seen = j.take(at)
    j.on_nodes(at, {"n9": node("a", owner=2, created_zxid=5)}, set())
    assert phases(seen) == changes
    assert phases(j.take(at)) == ([("a", "on")] if changes else [])


@pytest.mark.parametrize(
    "tries, aborted, at_once", [(20, 20, True), (20, 10, True), (20, 9, False), (3, 3, False), (0, 0, False)]
)
def test_one_that_the_data_plane_loses_ops_at_is_told_at_once(tries, aborted, at_once):
    j = judge(node("a"), node("b"))
    j.on_nodes(0, {}, {"n0"})
    j.on_sums(S // 10, "a", tries, aborted)
    assert phases(j.take(S // 10)) == ([("a", "off")] if at_once else [])


def test_sums_of_before_the_vanishing_do_not_call_it_dead():
    j = judge(node("a"), node("b"))
    j.on_sums(1, "a", 20, 20)
    j.on_nodes(2, {}, {"n0"})
    assert j.take(3) == []


@pytest.mark.parametrize("phase", ["fading", "off"])
def test_one_that_drained_or_says_that_it_is_off_is_told_at_once(phase):
    j = judge(node("a"), node("b"))
    j.on_nodes(1, {"n0": node("a", phase)}, set())
    assert phases(j.take(1)) == [("a", phase)]
    j.on_nodes(2, {}, {"n0"})
    assert (
        phases(j.take(2)) == ([("a", "off")] if phase == "fading" else []) and j.due() is None and not j.gone
    )


@pytest.mark.parametrize(
    "first, second, other",
    [
        (
            node(owner=1, created_zxid=1),
            node(owner=2, created_zxid=2),
            True,
        ),  # two sessions at once: two processes
        (
            node(owner=1, created_zxid=1, start="x"),
            node(owner=2, created_zxid=2, start="x"),
            False,
        ),  # its own word decides
        (node(owner=1, created_zxid=1, start="x"), node(owner=1, created_zxid=1, start="y"), True),
        (node(owner=1, created_zxid=1), node(owner=1, created_zxid=2), False),
    ],
)
def test_two_nodes_of_one_endpoint(first, second, other):
    j = judge(first)
    before = j.published["a"].process
    j.on_nodes(S, {"n1": second}, set())
    changes = j.take(S)
    assert bool(changes) is other and (j.published["a"].process != before) is other
    j.on_nodes(2 * S, {}, {"n0"})  # the old session expires at last: nothing to tell
    assert j.take(2 * S) == [] and j.take(9 * S) == []


def test_of_two_nodes_the_newest_speaks():
    j = judge(node("a", created_zxid=1))
    j.on_nodes(S, {"n1": node("a", "fading", owner=1, created_zxid=7)}, set())
    assert phases(j.take(S)) == [("a", "fading")]
    j.on_nodes(S, {"n2": node("a", "on", owner=1, created_zxid=5)}, set())
    assert j.take(S) == []


@pytest.mark.parametrize(
    "absent, outcomes, other",
    [(5, None, False), (11, None, True), (60, (20, 0), False), (5, (20, 20), True), (60, (2, 0), True)],
)
def test_whether_a_return_is_another_process(absent, outcomes, other):
    j = judge(node("a"), node("b"))
    j.on_nodes(S, {}, {"n0"})
    j.take(3 * S)
    if outcomes:
        j.on_sums(4 * S, "a", *outcomes)
    j.on_nodes(S + absent * S, {"n5": node("a", owner=2, created_zxid=9)}, set())
    (entry,) = j.take(S + absent * S)
    assert entry.phase == "on" and (entry.process != "0") is other


@pytest.mark.parametrize("acking, stands", [(("a", "b"), ["a", "b"]), (("a",), ["a"]), ((), [])])
def test_a_pool_is_not_emptied_while_it_acks(acking, stands):
    j = judge(node("a"), node("b"))
    for name in acking:
        j.on_sums(S, name, 20, 1)
    j.on_nodes(S, {}, {"n0", "n1"})
    assert sorted(e for e, phase in phases(j.take(3 * S)) if phase == "off") == sorted(
        {"a", "b"} - set(stands)
    )
    assert sorted(j.retained) == stands and j.due() is None
    j.on_nodes(4 * S, {"n7": node("c", created_zxid=8)}, set())
    assert sorted(phases(j.take(4 * S))) == sorted([("c", "on")] + [(name, "off") for name in stands])


def test_one_in_doubt_leaves_when_its_acks_end():
    j = judge(node("a"))
    j.on_sums(S, "a", 20, 0)
    j.on_nodes(S, {}, {"n0"})
    assert j.take(3 * S) == []
    assert phases(j.take(S + ms.OUTCOMES_FRESH_US + 1)) == [("a", "off")]


def test_where_zones_are_pools_each_has_its_own_doubt():
    j = judge(node("a", zone="x"), node("b", zone="y"), zone_pools=True)
    j.on_sums(S, "a", 20, 0)
    j.on_nodes(S, {}, {"n0"})
    assert j.take(3 * S) == [] and j.retained == {"a"}
    j = judge(node("a", zone="x"), node("b", zone="y"), zone_pools=False)
    j.on_sums(S, "a", 20, 0)
    j.on_nodes(S, {}, {"n0"})
    assert phases(j.take(3 * S)) == [("a", "off")]


def test_one_that_drained_is_never_in_doubt():
    j = judge(node("a", "fading"))
    j.on_sums(S, "a", 20, 0)
    j.on_nodes(S, {}, {"n0"})
    assert phases(j.take(S)) == [("a", "off")]


def test_a_node_that_comes_to_name_another_endpoint():
    j = judge(node("a"), node("b"))
    j.on_nodes(S, {"n0": node("z", created_zxid=1)}, set())
    assert phases(j.take(S)) == [("z", "on")] and phases(j.take(3 * S)) == [("a", "off")]


NEWS = st.one_of(
    st.tuples(
        st.just("seen"),
        st.integers(0, 4),
        st.integers(0, 3),
        st.sampled_from(["on", "on", "fading", "off"]),
        st.integers(1, 3),
    ),
    st.tuples(st.just("gone"), st.integers(0, 4)),
    st.tuples(st.just("sums"), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("wait"), st.integers(1, 25)),
)


@settings(max_examples=400, deadline=None)
@given(news=st.lists(NEWS, max_size=40), looks=st.booleans())
def test_nobody_stands_past_the_hold_and_no_acking_pool_is_emptied_by_vanishing(news, looks):
    j, now, created_zxid, state = Membership(HOLD), S, 0, {}
    for one in news:
        if one[0] == "seen":
            created_zxid += 1
            j.on_nodes(
                now,
                {f"n{one[1]}": node(f"e{one[2]}", one[3], owner=one[4], created_zxid=created_zxid)},
                set(),
            )
        elif one[0] == "gone":
            j.on_nodes(now, {}, {f"n{one[1]}"})
        elif one[0] == "sums":
            j.on_sums(now, f"e{one[1]}", 20, 0 if one[2] else 20)
        else:
            now += one[1] * S // 10
        if looks or one[0] == "wait":
            before = {name for name, phase in state.items() if phase == "on"}
            for entry in j.take(now):
                state[entry.endpoint] = entry.phase
            on = {name for name, phase in state.items() if phase == "on"}
            for name in on:
                assert name in j.nodes_by_endpoint or name in j.retained or now < j.gone[name].until
            for name in before - on if not on else ():
                fresh = [
                    outcomes
                    for outcomes in j.endpoints[name].outcomes
                    if outcomes[0] >= now - ms.OUTCOMES_FRESH_US
                ]
                assert name in j.nodes_by_endpoint or not fresh or any(aborted for _, _, aborted in fresh)
    now += 60 * S
    for entry in j.take(now):
        state[entry.endpoint] = entry.phase
    there = {name: j._entry(name).phase for name in j.nodes_by_endpoint}
    assert {n: p for n, p in state.items() if p != "off"} == {n: p for n, p in there.items() if p != "off"}
    assert not j.gone and j.due() is None


@pytest.mark.parametrize("looked_at, late", [(HOLD, HOLD), (3 * S, 3 * S)])
def test_news_that_was_held_back_says_for_how_long(looked_at, late):
    j = judge(node("a"), node("b"))
    j.on_nodes(0, {}, {"n0"})
    assert j.take(HOLD - 1) == []
    assert [one.late for one in j.take(looked_at)] == [late] and j.published["a"].late == 0


def test_a_drain_was_not_held_back():
    j = judge(node("a", "fading"), node("b"))
    j.on_nodes(S, {}, {"n0"})
    assert [one.late for one in j.take(S)] == [0]


@pytest.mark.parametrize(
    "listed, vanish, apart, mass",
    [
        (10, 2, 0, None),
        (10, 3, 0, (3, 10)),
        (30, 5, 0, None),
        (30, 6, 0, (6, 30)),
        (10, 4, 1.5, None),
        (10, 4, 0.5, (4, 10)),
    ],
)
def test_a_vanishing_of_many(listed, vanish, apart, mass):
    j, now = judge(*[node(f"e{n}") for n in range(listed)], hold_us=30 * S), 0
    for n in range(vanish):
        j.on_nodes(now, {}, {f"n{n}"})
        now += int(apart * S)
    got = j.mass(now)
    assert (got and got[:2]) == mass


def test_who_acks_tells_a_cut_from_a_loss():
    j = judge(*[node(f"e{n}") for n in range(4)], hold_us=30 * S)
    j.on_nodes(0, {}, {"n0", "n1", "n2"})
    j.on_sums(1, "e0", 20, 0)
    j.on_sums(1, "e1", 20, 20)
    assert j.mass(2) == ms.MassVanishing(3, 4, 1, 1)
