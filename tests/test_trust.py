"""The trust in borrowed facts: by cases, and by properties over random news."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarshift.judge import trust as tr
from cedarshift.judge.trust import BorrowedFacts, Lender, OwnEntry, PhaseReport, SicknessReport

S = 1_000_000
NOW = 1_000 * S


def word(phase="on", rev=5, age=1.0, start="1", hops=1, origin="p1#a"):
    return PhaseReport(rev, NOW - int(age * S), phase != "on", phase, start, hops, origin)


def own(phase="on", rev=4, source="list", confirmed=0.5, start="1", started=None):
    return OwnEntry(phase, start, started, rev, source, NOW - int(confirmed * S))


def trust(*words, source="list"):
    t = BorrowedFacts()
    for w in words:
        t.merge_phase("e", source, w)
    return t


@pytest.mark.parametrize(
    "words, entry, source, warned",
    [
        ([word("fading")], None, "list", True),
        ([word("fading")], own(rev=4), "list", True),  # the same list, of which the lender has seen more
        (
            [word("fading")],
            own(rev=5),
            "list",
            False,
        ),  # this pilot has seen as much of it: first-hand replaces
        ([word("fading")], own(confirmed=0.5), "other", False),  # another list, heard later here
        ([word("fading")], own(confirmed=2), "other", True),  # another list, heard before
        ([word("fading", rev=5), word("on", rev=6)], None, "list", False),
        (
            [word("fading", rev=6), word("on", rev=5, age=0)],
            None,
            "list",
            True,
        ),  # later heard, but of an older revision
        ([word("off", age=120)], None, "list", True),  # bad news outlives ...
        ([word("off", age=250)], None, "list", False),  # ... but not for ever
        ([word("off", hops=4, age=1)], None, "list", True),
    ],
)
def test_which_warnings_stand(words, entry, source, warned):
    t = trust(*words, source=source if source == "list" else "theirs")
    if source == "other":
        entry = entry._replace(source="mine")
    assert (t.warning("e", entry, NOW) is not None) is warned


@pytest.mark.parametrize(
    "words, offered",
    [
        ([word("on", age=1)], True),
        ([word("on", age=30)], False),  # a lender cut off from its list for 30 s
        ([word("on", age=1, hops=3)], False),
        ([word("on", age=1), word("fading", age=1)], False),
        ([word("on", age=1, rev=6), word("fading", age=1, rev=5)], True),
    ],
)
def test_what_is_offered_to_a_pilot_without_a_list(words, offered):
    assert ("e" in trust(*words).offered(NOW)) is offered


def test_an_unsound_lenders_good_news_counts_half_and_its_bad_news_in_full():
    t = trust(word("on", age=1))
    t.set_soundness("p1#a", Lender("p1#a", NOW - 20 * S, True).soundness(NOW))
    assert t.offered(NOW) == {}
    t = trust(word("fading", age=1))
    t.set_soundness("p1#a", tr.UNSOUND_FACTOR)
    assert t.warning("e", None, NOW) is not None


def test_a_lender_is_believed_by_its_ages_and_not_by_what_it_claims():
    assert Lender("p1#a", NOW - S, True).soundness(NOW) == 1.0
    assert Lender("p1#a", NOW - 7 * S, True).soundness(NOW) == tr.UNSOUND_FACTOR
    assert Lender("p1#a", NOW, False).soundness(NOW) == tr.UNSOUND_FACTOR


@pytest.mark.parametrize("count, warned", [(3, 3), (4, 0)])
def test_lenders_do_not_talk_a_pilot_out_of_most_of_its_fleet(count, warned):
    t, mine = BorrowedFacts(), {f"e{n}": own() for n in range(10)}
    for n in range(count):
        t.merge_phase(f"e{n}", "list", word("off"))
    assert len(t.warnings(mine, NOW)) == warned


@pytest.mark.parametrize(
    "entry, started", [(own(), NOW - 3 * S), (own(start="2"), None), (own(started=5), None)]
)
def test_a_cold_start_is_borrowed_for_the_process_that_is_listed_and_only_where_nothing_is_known(
    entry, started
):
    t = BorrowedFacts()
    t.merge_start("e", "1", NOW - 3 * S)
    assert t.started("e", entry, NOW, 15 * S) == started
    assert t.started("e", entry, NOW + 13 * S, 15 * S) is None


def test_a_borrowed_sickness_ends_by_itself():
    t = BorrowedFacts()
    t.merge_sickness("e", SicknessReport(NOW + 9 * S, NOW, 1, "p1#a"))
    assert t.sick_until("e", NOW) == NOW + 9 * S and t.sick_until("e", NOW + 9 * S) == 0


def test_a_stated_age_counts_from_the_asking_and_a_slow_clock_is_allowed_for():
    assert tr.oldest_heard_at(NOW, 10 * S) == NOW - 10 * S - S // 10


NEWS = st.builds(
    lambda name, source, rev, age, phase, start, hops: (
        name,
        source,
        PhaseReport(rev, NOW - age * S, phase != "on", phase, start, hops, "o"),
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
    t = BorrowedFacts()
    for name, source, w in news:
        t.merge_phase(name, source, w)
    return t.good, t.bad


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
def test_nothing_is_offered_that_fresher_news_called_bad(news):
    t = BorrowedFacts()
    for name, source, w in news:
        t.merge_phase(name, source, w)
    for name in t.offered(NOW):
        for source in ("l1", "l2"):
            said = [w for n, s, w in news if (n, s) == (name, source)]
            newest = max(said, key=lambda w: (w.rev, w.heard, w.bad), default=None)
            if newest is not None and newest.bad:
                assert t.bad_weight(newest, NOW) < tr.MIN_BAD_WEIGHT, (name, source, newest)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=10), st.integers(0, 6), st.integers(0, 40))
def test_no_warning_survives_a_list_of_ones_own_that_has_seen_as_much(news, rev, age):
    t = BorrowedFacts()
    for name, source, w in news:
        t.merge_phase(name, source, w)
    mine = OwnEntry("on", "1", None, rev, "l1", NOW - age * S)
    for name in "abcd":
        found = t.warning(name, mine, NOW)
        if found is not None:
            told = [s for n, s, w in news if n == name and w == found]
            assert any(found.rev > rev if s == "l1" else found.heard >= mine.confirmed for s in told)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 60 * S), st.lists(st.tuples(st.integers(0, 5 * S), st.integers(0, 3 * S)), max_size=4))
def test_nothing_grows_fresher_by_going_round(age, legs):
    """Each leg: how long it lies at a lender, and how long the answer takes. The true time is never passed."""
    clock, heard, truth = NOW, NOW - age, NOW - age
    for lies, takes in legs:
        clock += lies
        stated = clock - heard  # at the lender, when it answers
        asked = clock - takes // 2  # the borrower asked before that
        heard = min(heard, tr.oldest_heard_at(asked, stated))
        clock += takes
        assert heard <= truth


@pytest.mark.parametrize("received, age, latest", [(100 * S, 10 * S, 90.1 * S), (100 * S, 0, 100 * S)])
def test_a_process_is_taken_for_as_young_as_its_stated_age_allows(received, age, latest):
    assert tr.latest_start(received, age) == latest


def test_of_several_bounds_on_one_start_the_earliest_stands_and_another_process_has_its_own():
    t = BorrowedFacts()
    for process, latest in (("1", NOW - 3 * S), ("1", NOW - 4 * S), ("1", NOW - 2 * S), ("2", NOW - S)):
        t.merge_start("e", process, latest)
    assert (
        t.started("e", own(), NOW, 15 * S) == NOW - 4 * S
        and t.started("e", own(start="2"), NOW, 15 * S) == NOW - S
    )
    t.forget_starts(NOW - 2 * S)
    assert (
        t.started("e", own(), NOW, 15 * S) is None and t.started("e", own(start="2"), NOW, 15 * S) == NOW - S
    )
