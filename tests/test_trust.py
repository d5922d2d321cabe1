"""Borrowed facts: by cases and by properties over random input."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarshift.judge import trust as tr
from cedarshift.judge.trust import BorrowedFacts, Lender, OwnEntry, PhaseReport, SicknessReport

SECOND = 1_000_000
NOW = 1_000 * SECOND


def report(phase="on", rev=5, age=1.0, start="1", hops=1, origin="p1#a"):
    return PhaseReport(rev, NOW - int(age * SECOND), phase != "on", phase, start, hops, origin)


def own_entry(phase="on", rev=4, source="list", confirmed=0.5, start="1", started=None):
    return OwnEntry(phase, start, started, rev, source, NOW - int(confirmed * SECOND))


def borrowed(*reports, source="list"):
    facts = BorrowedFacts()
    for one in reports:
        facts.merge_phase("e", source, one)
    return facts


@pytest.mark.parametrize(
    "reports, entry, source, warned",
    [
        ([report("fading")], None, "list", True),
        (
            [report("fading")],
            own_entry(rev=4),
            "list",
            True,
        ),  # same list, the lender has seen a newer revision
        (
            [report("fading")],
            own_entry(rev=5),
            "list",
            False,
        ),  # same list, this pilot has seen the same revision
        (
            [report("fading")],
            own_entry(confirmed=0.5),
            "other",
            False,
        ),  # another list, heard later by this pilot
        (
            [report("fading")],
            own_entry(confirmed=2),
            "other",
            True,
        ),  # another list, heard earlier by this pilot
        ([report("fading", rev=5), report("on", rev=6)], None, "list", False),
        (
            [report("fading", rev=6), report("on", rev=5, age=0)],
            None,
            "list",
            True,
        ),  # later heard, but of an older revision
        ([report("off", age=120)], None, "list", True),  # bad reports last longer ...
        ([report("off", age=250)], None, "list", False),  # ... but not indefinitely
        ([report("off", hops=4, age=1)], None, "list", True),
    ],
)
def test_which_warnings_stand(reports, entry, source, warned):
    facts = borrowed(*reports, source=source if source == "list" else "theirs")
    if source == "other":
        entry = entry._replace(source="own")
    assert (facts.warning("e", entry, NOW) is not None) is warned


@pytest.mark.parametrize(
    "reports, offered",
    [
        ([report("on", age=1)], True),
        ([report("on", age=30)], False),  # a lender cut off from its list for 30 s
        ([report("on", age=1, hops=3)], False),
        ([report("on", age=1), report("fading", age=1)], False),
        ([report("on", age=1, rev=6), report("fading", age=1, rev=5)], True),
    ],
)
def test_what_is_offered_to_a_pilot_without_a_list(reports, offered):
    assert ("e" in borrowed(*reports).offered(NOW)) is offered


def test_an_unsound_lenders_good_news_counts_half_and_its_bad_news_in_full():
    facts = borrowed(report("on", age=1))
    facts.set_soundness("p1#a", Lender("p1#a", NOW - 20 * SECOND, True).soundness(NOW))
    assert facts.offered(NOW) == {}
    facts = borrowed(report("fading", age=1))
    facts.set_soundness("p1#a", tr.UNSOUND_FACTOR)
    assert facts.warning("e", None, NOW) is not None


def test_soundness_depends_on_the_age_of_the_lenders_list():
    assert Lender("p1#a", NOW - SECOND, True).soundness(NOW) == 1.0
    assert Lender("p1#a", NOW - 7 * SECOND, True).soundness(NOW) == tr.UNSOUND_FACTOR
    assert Lender("p1#a", NOW, False).soundness(NOW) == tr.UNSOUND_FACTOR


@pytest.mark.parametrize("count, warned", [(3, 3), (4, 0)])
def test_warnings_against_most_of_the_fleet_are_ignored(count, warned):
    facts, own_entries = BorrowedFacts(), {f"e{n}": own_entry() for n in range(10)}
    for n in range(count):
        facts.merge_phase(f"e{n}", "list", report("off"))
    assert len(facts.warnings(own_entries, NOW)) == warned


@pytest.mark.parametrize(
    "entry, started",
    [(own_entry(), NOW - 3 * SECOND), (own_entry(start="2"), None), (own_entry(started=5), None)],
)
def test_a_cold_start_is_borrowed_for_the_process_that_is_listed_and_only_where_nothing_is_known(
    entry, started
):
    facts = BorrowedFacts()
    facts.merge_start("e", "1", NOW - 3 * SECOND)
    assert facts.started("e", entry, NOW, 15 * SECOND) == started
    assert facts.started("e", entry, NOW + 13 * SECOND, 15 * SECOND) is None


def test_a_borrowed_sickness_ends_by_itself():
    facts = BorrowedFacts()
    facts.merge_sickness("e", SicknessReport(NOW + 9 * SECOND, NOW, 1, "p1#a"))
    assert facts.sick_until("e", NOW) == NOW + 9 * SECOND and facts.sick_until("e", NOW + 9 * SECOND) == 0


def test_a_stated_age_counts_from_the_asking_and_a_slow_clock_is_allowed_for():
    assert tr.oldest_heard_at(NOW, 10 * SECOND) == NOW - 10 * SECOND - SECOND // 10


NEWS = st.builds(
    lambda name, source, rev, age, phase, start, hops: (
        name,
        source,
        PhaseReport(rev, NOW - age * SECOND, phase != "on", phase, start, hops, "o"),
    ),
    st.sampled_from("abcd"),
    st.sampled_from(["l1", "l2"]),
    st.integers(0, 6),
    st.integers(0, 40),
    st.sampled_from(["on", "fading", "off"]),
    st.sampled_from("12"),
    st.integers(1, 4),
)


def state(news):
    facts = BorrowedFacts()
    for name, source, w in news:
        facts.merge_phase(name, source, w)
    return facts.good, facts.bad


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=12), st.integers(0, 1 << 30), st.integers(0, 12))
def test_merging_is_commutative_associative_and_idempotent(news, seed, cut):
    shuffled = news + news[:cut]
    random.Random(seed).shuffle(shuffled)
    assert state(shuffled) == state(news)
    good, bad = state(news[:cut]), state(news[cut:])
    joined = BorrowedFacts()
    for kept in (bad[0], bad[1], good[0], good[1]):
        for (name, source), w in kept.items():
            joined.merge_phase(name, source, w)
    assert (joined.good, joined.bad) == state(news)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=12))
def test_nothing_is_offered_that_a_newer_report_called_bad(news):
    facts = BorrowedFacts()
    for name, source, w in news:
        facts.merge_phase(name, source, w)
    for name in facts.offered(NOW):
        for source in ("l1", "l2"):
            said = [w for n, s, w in news if (n, s) == (name, source)]
            newest = max(said, key=lambda w: (w.rev, w.heard, w.bad), default=None)
            if newest is not None and newest.bad:
                assert facts.bad_weight(newest, NOW) < tr.MIN_BAD_WEIGHT, (name, source, newest)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=10), st.integers(0, 6), st.integers(0, 40))
def test_no_warning_survives_an_own_list_that_is_as_recent(news, rev, age):
    facts = BorrowedFacts()
    for name, source, w in news:
        facts.merge_phase(name, source, w)
    own = OwnEntry("on", "1", None, rev, "l1", NOW - age * SECOND)
    for name in "abcd":
        found = facts.warning(name, own, NOW)
        if found is not None:
            told = [s for n, s, w in news if n == name and w == found]
            assert any(found.rev > rev if s == "l1" else found.heard >= own.confirmed for s in told)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(0, 60 * SECOND),
    st.lists(st.tuples(st.integers(0, 5 * SECOND), st.integers(0, 3 * SECOND)), max_size=4),
)
def test_facts_do_not_become_fresher_by_being_passed_on(age, legs):
    """Each hop: how long the lender keeps the fact, and how long its answer takes."""
    clock, heard, truth = NOW, NOW - age, NOW - age
    for kept_for, answer_time in legs:
        clock += kept_for
        stated = clock - heard  # at the lender, when it answers
        asked = clock - answer_time // 2  # the borrower asked before that
        heard = min(heard, tr.oldest_heard_at(asked, stated))
        clock += answer_time
        assert heard <= truth


@pytest.mark.parametrize(
    "received, age, latest", [(100 * SECOND, 10 * SECOND, 90.1 * SECOND), (100 * SECOND, 0, 100 * SECOND)]
)
def test_the_latest_start_allows_for_a_fast_clock(received, age, latest):
    assert tr.latest_start(received, age) == latest


def test_of_several_bounds_on_one_start_the_earliest_stands_and_another_process_has_its_own():
    facts = BorrowedFacts()
    for process, latest in (
        ("1", NOW - 3 * SECOND),
        ("1", NOW - 4 * SECOND),
        ("1", NOW - 2 * SECOND),
        ("2", NOW - SECOND),
    ):
        facts.merge_start("e", process, latest)
    assert (
        facts.started("e", own_entry(), NOW, 15 * SECOND) == NOW - 4 * SECOND
        and facts.started("e", own_entry(start="2"), NOW, 15 * SECOND) == NOW - SECOND
    )
    facts.forget_starts(NOW - 2 * SECOND)
    assert (
        facts.started("e", own_entry(), NOW, 15 * SECOND) is None
        and facts.started("e", own_entry(start="2"), NOW, 15 * SECOND) == NOW - SECOND
    )
