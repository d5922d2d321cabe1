"""Membership: list entries derived from nodes, by cases and by properties over random input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarshift.judge import membership as ms
from cedarshift.judge.membership import Membership, Node

SECOND = 1_000_000
HOLD_US = SECOND


def node(endpoint="a", phase="on", owner=1, created_zxid=1, start="", zone="z", size=1.0):
    return Node(endpoint, phase, size, zone, start, owner, created_zxid)


def make_members(*nodes, zone_pools=False, hold_us=HOLD_US):
    made = Membership(hold_us, zone_pools)
    made.on_nodes(0, {f"n{i}": one for i, one in enumerate(nodes)}, set())
    made.take(0)
    return made


def phases(changes):
    return [(one.endpoint, one.phase) for one in changes]


@pytest.mark.parametrize(
    "back_at, changes", [(0.1, []), (0.99, []), (1.0, [("a", "off")]), (3, [("a", "off")])]
)
def test_a_vanished_node_is_published_after_the_hold_unless_it_returns(back_at, changes):
    members, at = make_members(node("a"), node("b")), int(back_at * SECOND)
    members.on_nodes(0, {}, {"n0"})
    assert members.take(0) == [] and members.due() == HOLD_US
    seen = members.take(at)
    members.on_nodes(at, {"n9": node("a", owner=2, created_zxid=5)}, set())
    assert phases(seen) == changes
    assert phases(members.take(at)) == ([("a", "on")] if changes else [])


@pytest.mark.parametrize(
    "tries, aborted, at_once", [(20, 20, True), (20, 10, True), (20, 9, False), (3, 3, False), (0, 0, False)]
)
def test_a_vanished_endpoint_that_loses_ops_is_published_at_once(tries, aborted, at_once):
    members = make_members(node("a"), node("b"))
    members.on_nodes(0, {}, {"n0"})
    members.on_sums(SECOND // 10, "a", tries, aborted)
    assert phases(members.take(SECOND // 10)) == ([("a", "off")] if at_once else [])


def test_outcomes_before_the_vanishing_do_not_count_as_losses():
    members = make_members(node("a"), node("b"))
    members.on_sums(1, "a", 20, 20)
    members.on_nodes(2, {}, {"n0"})
    assert members.take(3) == []


@pytest.mark.parametrize("phase", ["fading", "off"])
def test_a_drained_or_off_endpoint_is_published_at_once(phase):
    members = make_members(node("a"), node("b"))
    members.on_nodes(1, {"n0": node("a", phase)}, set())
    assert phases(members.take(1)) == [("a", phase)]
    members.on_nodes(2, {}, {"n0"})
    assert (
        phases(members.take(2)) == ([("a", "off")] if phase == "fading" else [])
        and members.due() is None
        and not members.gone
    )


@pytest.mark.parametrize(
    "first, second, other",
    [
        (
            node(owner=1, created_zxid=1),
            node(owner=2, created_zxid=2),
            True,
        ),  # concurrent sessions are two processes
        (
            node(owner=1, created_zxid=1, start="x"),
            node(owner=2, created_zxid=2, start="x"),
            False,
        ),  # the stated start decides
        (node(owner=1, created_zxid=1, start="x"), node(owner=1, created_zxid=1, start="y"), True),
        (node(owner=1, created_zxid=1), node(owner=1, created_zxid=2), False),
    ],
)
def test_two_nodes_of_one_endpoint(first, second, other):
    members = make_members(first)
    before = members.published["a"].process
    members.on_nodes(SECOND, {"n1": second}, set())
    changes = members.take(SECOND)
    assert bool(changes) is other and (members.published["a"].process != before) is other
    members.on_nodes(2 * SECOND, {}, {"n0"})  # the old session expires: no change
    assert members.take(2 * SECOND) == [] and members.take(9 * SECOND) == []


def test_the_newest_of_two_nodes_defines_the_endpoint():
    members = make_members(node("a", created_zxid=1))
    members.on_nodes(SECOND, {"n1": node("a", "fading", owner=1, created_zxid=7)}, set())
    assert phases(members.take(SECOND)) == [("a", "fading")]
    members.on_nodes(SECOND, {"n2": node("a", "on", owner=1, created_zxid=5)}, set())
    assert members.take(SECOND) == []


@pytest.mark.parametrize(
    "absent, outcomes, other",
    [(5, None, False), (11, None, True), (60, (20, 0), False), (5, (20, 20), True), (60, (2, 0), True)],
)
def test_whether_a_returning_endpoint_is_another_process(absent, outcomes, other):
    members = make_members(node("a"), node("b"))
    members.on_nodes(SECOND, {}, {"n0"})
    members.take(3 * SECOND)
    if outcomes:
        members.on_sums(4 * SECOND, "a", *outcomes)
    members.on_nodes(SECOND + absent * SECOND, {"n5": node("a", owner=2, created_zxid=9)}, set())
    (entry,) = members.take(SECOND + absent * SECOND)
    assert entry.phase == "on" and (entry.process != "0") is other


@pytest.mark.parametrize("acking, stands", [(("a", "b"), ["a", "b"]), (("a",), ["a"]), ((), [])])
def test_a_pool_is_not_emptied_while_it_acks(acking, stands):
    members = make_members(node("a"), node("b"))
    for name in acking:
        members.on_sums(SECOND, name, 20, 1)
    members.on_nodes(SECOND, {}, {"n0", "n1"})
    assert sorted(e for e, phase in phases(members.take(3 * SECOND)) if phase == "off") == sorted(
        {"a", "b"} - set(stands)
    )
    assert sorted(members.retained) == stands and members.due() is None
    members.on_nodes(4 * SECOND, {"n7": node("c", created_zxid=8)}, set())
    assert sorted(phases(members.take(4 * SECOND))) == sorted(
        [("c", "on")] + [(name, "off") for name in stands]
    )


def test_a_retained_endpoint_is_removed_when_its_acks_end():
    members = make_members(node("a"))
    members.on_sums(SECOND, "a", 20, 0)
    members.on_nodes(SECOND, {}, {"n0"})
    assert members.take(3 * SECOND) == []
    assert phases(members.take(SECOND + ms.OUTCOMES_FRESH_US + 1)) == [("a", "off")]


def test_with_zone_pools_endpoints_are_retained_per_zone():
    members = make_members(node("a", zone="x"), node("b", zone="y"), zone_pools=True)
    members.on_sums(SECOND, "a", 20, 0)
    members.on_nodes(SECOND, {}, {"n0"})
    assert members.take(3 * SECOND) == [] and members.retained == {"a"}
    members = make_members(node("a", zone="x"), node("b", zone="y"), zone_pools=False)
    members.on_sums(SECOND, "a", 20, 0)
    members.on_nodes(SECOND, {}, {"n0"})
    assert phases(members.take(3 * SECOND)) == [("a", "off")]


def test_a_drained_endpoint_is_never_retained():
    members = make_members(node("a", "fading"))
    members.on_sums(SECOND, "a", 20, 0)
    members.on_nodes(SECOND, {}, {"n0"})
    assert phases(members.take(SECOND)) == [("a", "off")]


def test_a_node_that_changes_its_endpoint():
    members = make_members(node("a"), node("b"))
    members.on_nodes(SECOND, {"n0": node("z", created_zxid=1)}, set())
    assert phases(members.take(SECOND)) == [("z", "on")] and phases(members.take(3 * SECOND)) == [
        ("a", "off")
    ]


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
def test_no_entry_outlives_the_hold_and_no_acking_pool_is_emptied(news, looks):
    members, now, created_zxid, state = Membership(HOLD_US), SECOND, 0, {}
    for one in news:
        if one[0] == "seen":
            created_zxid += 1
            members.on_nodes(
                now,
                {f"n{one[1]}": node(f"e{one[2]}", one[3], owner=one[4], created_zxid=created_zxid)},
                set(),
            )
        elif one[0] == "gone":
            members.on_nodes(now, {}, {f"n{one[1]}"})
        elif one[0] == "sums":
            members.on_sums(now, f"e{one[1]}", 20, 0 if one[2] else 20)
        else:
            now += one[1] * SECOND // 10
        if looks or one[0] == "wait":
            before = {name for name, phase in state.items() if phase == "on"}
            for entry in members.take(now):
                state[entry.endpoint] = entry.phase
            on = {name for name, phase in state.items() if phase == "on"}
            for name in on:
                assert (
                    name in members.nodes_by_endpoint
                    or name in members.retained
                    or now < members.gone[name].until
                )
            for name in before - on if not on else ():
                fresh = [
                    outcomes
                    for outcomes in members.endpoints[name].outcomes
                    if outcomes[0] >= now - ms.OUTCOMES_FRESH_US
                ]
                assert (
                    name in members.nodes_by_endpoint or not fresh or any(aborted for _, _, aborted in fresh)
                )
    now += 60 * SECOND
    for entry in members.take(now):
        state[entry.endpoint] = entry.phase
    there = {name: members._entry(name).phase for name in members.nodes_by_endpoint}
    assert {n: p for n, p in state.items() if p != "off"} == {n: p for n, p in there.items() if p != "off"}
    assert not members.gone and members.due() is None


@pytest.mark.parametrize("looked_at, late", [(HOLD_US, HOLD_US), (3 * SECOND, 3 * SECOND)])
def test_a_delayed_removal_states_its_delay(looked_at, late):
    members = make_members(node("a"), node("b"))
    members.on_nodes(0, {}, {"n0"})
    assert members.take(HOLD_US - 1) == []
    assert [one.late for one in members.take(looked_at)] == [late] and members.published["a"].late == 0


def test_the_removal_of_a_drained_endpoint_is_not_delayed():
    members = make_members(node("a", "fading"), node("b"))
    members.on_nodes(SECOND, {}, {"n0"})
    assert [one.late for one in members.take(SECOND)] == [0]


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
def test_mass_vanishing_thresholds(listed, vanish, apart, mass):
    members, now = make_members(*[node(f"e{n}") for n in range(listed)], hold_us=30 * SECOND), 0
    for n in range(vanish):
        members.on_nodes(now, {}, {f"n{n}"})
        now += int(apart * SECOND)
    found = members.mass(now)
    assert (found and found[:2]) == mass


def test_mass_vanishing_counts_acking_and_losing_endpoints():
    members = make_members(*[node(f"e{n}") for n in range(4)], hold_us=30 * SECOND)
    members.on_nodes(0, {}, {"n0", "n1", "n2"})
    members.on_sums(1, "e0", 20, 0)
    members.on_sums(1, "e1", 20, 20)
    assert members.mass(2) == ms.MassVanishing(3, 4, 1, 1)
