"""When a proxy counts as stopped, and what a hand-over does that waits for long."""

import pytest
from helpers import decisions, entry, pilot

from cedarshift.observations import OWNED, REVOKING, SETTLING

LEASE, WAY, READ = 25_000, 5_000, 10_000  # of the helpers' terms; the wire page's second
SILENT = READ + LEASE + READ
EMPTY_FOR = 120_000


def revoked(proxies=3, **terms):
    """Slice 0 leaves a draining owner; its revoke went out at 100,000 with the pilot's newest barrier."""
    p = pilot(proxies=proxies, **terms)
    p.on_list(100_000, "update", [entry("a", "fading")])
    decisions(p, 100_000)
    assert p.slices[0].state == REVOKING
    return p


def acknowledge(p, now, *proxies):
    for proxy in proxies:
        p.on_ack(now, proxy, p.mark, 10)


def test_an_acknowledgement_counts_also_while_the_proxy_is_away_and_after_each_return():
    p = revoked()
    acknowledge(p, 101_000, 0, 1, 2)
    for at in range(101_500, 140_000, 2_000):
        p.on_leave(at, 1)
        assert p.stops.stopped(p.slices[0], at) == 100_010, (
            "the break of a stopped proxy starts its wait anew"
        )
        p.on_join(at + 1_000, 1, "z")
        assert p.stops.stopped(p.slices[0], at + 1_000) == 100_010


def test_who_came_back_after_a_lease_and_read_the_revoke_stays_stopped_through_later_breaks():
    p = revoked()
    p.on_leave(100_100, 1)
    acknowledge(p, 101_000, 0, 2)
    p.on_join(130_000, 1, "z")
    assert p.stops.stopped(p.slices[0], 130_000) == 100_100 + LEASE
    p.on_leave(131_000, 1)
    p.on_join(132_000, 1, "z")
    assert p.stops.stopped(p.slices[0], 132_000) == 100_100 + LEASE


@pytest.mark.parametrize("heard, stopped", [(101_000 + SILENT - 1, False), (101_000 + SILENT, True)])
def test_a_silent_proxy_has_stopped_once_its_message_must_have_come_and_a_lease_has_passed(heard, stopped):
    p = revoked()
    first = p.mark
    acknowledge(p, 100_500, 0, 2)
    p.mark += 1
    p.on_ack(101_000, 0, p.mark, 10)  # a later barrier: all messages up to the revoke's have left the channel
    assert p.stops.stop(p.proxies[1], p.slices[0]) is None
    p.on_ack(heard, 2, p.mark, 10)  # the events have come up to here, and no break among them
    assert (p.stops.stop(p.proxies[1], p.slices[0]) is not None) is stopped
    p.on_leave(heard, 1)
    p.on_join(heard + 1, 1, "z")
    assert (p.stops.stop(p.proxies[1], p.slices[0]) == 101_000 + SILENT) is stopped, (
        "what a stream has proved is kept"
    )
    assert p.proxies[1].acked != first or stopped


def test_silence_proves_nothing_where_nobody_has_acknowledged_a_later_barrier():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    assert p.stops.stop(p.proxies[1], p.slices[0]) is None
    assert p.stops.stopped(p.slices[0], 10**8) is None


def test_silence_counts_from_the_newest_joining():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    p.mark += 1
    p.on_ack(101_500, 0, p.mark, 10)
    p.on_leave(110_000, 1)
    p.on_join(111_000, 1, "z")
    p.on_ack(101_500 + SILENT, 2, p.mark, 10)
    assert p.stops.stop(p.proxies[1], p.slices[0]) is None


def test_an_empty_slice_that_was_given_waits_for_no_streams_that_break_since():
    p = pilot(owners="-bcd", proxies=3)
    for at in range(1_000, 30_000, 2_000):
        p.on_leave(at, 1)
        p.on_join(at + 1_000, 1, "z")
    assert p.stops.stopped(p.slices[0], 31_000) == LEASE


def test_a_barrier_is_repeated_for_an_acknowledgement_that_does_not_come():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    before = p.mark
    decisions(p, 100_000 + p.ack_timeout - 1)
    assert p.mark == before
    decisions(p, 100_000 + p.ack_timeout)
    assert p.mark == before + 1


def test_a_slice_without_a_line_for_long_names_its_former_owner_again_with_every_class_closed():
    p = revoked(empty_for=EMPTY_FOR)
    decisions(p, 100_000 + 40_000)  # the grace: the drained owner's line is emptied
    assert not p.slices[0].has_line and p.slices[0].writes_closed
    emptied = p.slices[0].empty_since
    assert all(one[:2] != ("line", 0) for one in decisions(p, emptied + EMPTY_FOR // 2 - 1))
    assert [one for one in decisions(p, emptied + EMPTY_FOR // 2) if one[1] == 0] == [
        ("level", 0, 0, 0, 0),
        ("line", 0, "a", 1),
    ]
    for at in range(emptied + 60_500, emptied + 80_000, 2_500):
        assert all(one[1] != 0 for one in decisions(p, at)), "once is enough, and no class is opened"
    acknowledge(p, emptied + 80_000, 0, 1, 2)
    decisions(p, emptied + 80_000)
    assert p.slices[0].state == SETTLING
    lines = [one for one in decisions(p, emptied + 110_000) if one[1] == 0]
    assert p.slices[0].state == OWNED and p.slices[0].owner != "a"
    assert lines == [("line", 0, p.slices[0].owner, 1), ("level", 0, 2, 1, 0), ("level", 0, 0, 1, 0)]


@pytest.mark.parametrize("terms", [{"levels": "none"}, {"empty_for": 0}])
def test_no_line_is_held_where_classes_cannot_be_closed_or_no_limit_is_told(terms):
    p = revoked(**{"empty_for": EMPTY_FOR, **terms})
    for at in range(140_000, 400_000, 5_000):
        decisions(p, at)
    assert not p.slices[0].line_restored and not p.slices[0].has_line


def test_a_move_that_the_proxies_hold_up_for_long_goes_back_to_its_sound_owner():
    p = pilot(proxies=3, empty_for=EMPTY_FOR)
    p._update_estimates(100_000)
    p.planned_moves = {0: "b"}
    p.next_check_at = 10**9
    assert ("level", 0, 2, 0, 0) in decisions(p, 100_000)
    decisions(p, 100_000 + EMPTY_FOR // 2 - 1)
    assert p.slices[0].state == REVOKING
    assert ("level", 0, 2, 1, 0) in decisions(p, 100_000 + EMPTY_FOR // 2)
    assert (p.slices[0].state, p.slices[0].owner) == (OWNED, "a")


def test_a_held_line_that_is_told_anew_is_revoked_anew_and_stays_shut():
    p = pilot(proxies=2, empty_for=EMPTY_FOR)
    p.on_slice_assigned(100_000, 0, True)
    p.on_stored_owner(100_000, 0, "b", all_closed=True)
    assert [one for one in decisions(p, 100_000) if one[1] == 0] == [("line", 0, "b", 0)]
    assert p.slices[0].state == REVOKING and p.slices[0].mark == p.mark
    assert p.stops.stopped(p.slices[0], 100_000 + LEASE) is None, "who wrote before may not have stopped"
    acknowledge(p, 101_000, 0, 1)
    lines = [one for at in (126_000, 156_000) for one in decisions(p, at) if one[1] == 0]
    assert ("level", 0, 0, 1, 0) in lines and p.slices[0].state == OWNED
