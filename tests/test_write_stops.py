"""When a proxy counts as stopped, and what happens in a hand-over that takes long."""

import pytest
from helpers import decisions, entry, pilot

from cedarshift.observations import OWNED, REVOKING, SETTLING
from cedarshift.sim.planted import inject_fault

LEASE, TRANSIT, READ_DELAY = 25_000, 5_000, 10_000  # 0.1 ms
SILENCE = READ_DELAY + LEASE + READ_DELAY
EMPTY_FOR = 120_000


def revoked(proxies=3, **terms):
    """Returns a pilot whose revoke of slice 0, owned by a draining endpoint, went out at 100,000."""
    p = pilot(proxies=proxies, **terms)
    p.on_list(100_000, "update", [entry("a", "fading")])
    decisions(p, 100_000)
    assert p.slices[0].state == REVOKING
    return p


def acknowledge(p, now, *proxies):
    """Acknowledges the pilot's newest mark by some proxies."""
    for proxy in proxies:
        p.on_ack(now, proxy, p.mark, 10)


def test_an_acknowledgement_counts_while_the_proxy_is_absent_and_after_it_returns():
    p = revoked()
    acknowledge(p, 101_000, 0, 1, 2)
    for at in range(101_500, 140_000, 2_000):
        p.on_leave(at, 1)
        assert p.stops.last_stop_time(p.slices[0], at) == 100_010, (
            "the break of a stopped proxy restarts the wait"
        )
        p.on_join(at + 1_000, 1, "z")
        assert p.stops.last_stop_time(p.slices[0], at + 1_000) == 100_010


def test_a_proxy_that_read_the_revoke_on_return_stays_stopped_after_later_breaks():
    p = revoked()
    p.on_leave(100_100, 1)
    acknowledge(p, 101_000, 0, 2)
    p.on_join(130_000, 1, "z")
    assert p.stops.last_stop_time(p.slices[0], 130_000) == 100_100 + LEASE
    p.on_leave(131_000, 1)
    p.on_join(132_000, 1, "z")
    assert p.stops.last_stop_time(p.slices[0], 132_000) == 100_100 + LEASE


@pytest.mark.parametrize("heard, stopped", [(101_000 + SILENCE - 1, False), (101_000 + SILENCE, True)])
def test_a_silent_proxy_has_stopped_after_the_transit_time_and_a_lease(heard, stopped):
    p = revoked()
    first = p.mark
    acknowledge(p, 100_500, 0, 2)
    p.mark += 1
    p.on_ack(101_000, 0, p.mark, 10)  # a later barrier: the revoke's messages have left the channel
    assert p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) is None
    p.on_ack(heard, 2, p.mark, 10)  # no break was reported up to now
    assert (p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) is not None) is stopped
    p.on_leave(heard, 1)
    p.on_join(heard + 1, 1, "z")
    assert (p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) == 101_000 + SILENCE) is stopped, (
        "the proof of a closed stream is lost"
    )
    assert p.proxies[1].acked != first or stopped


def test_silence_proves_nothing_without_a_later_acknowledgement():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    assert p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) is None
    assert p.stops.last_stop_time(p.slices[0], 10**8) is None


def test_silence_counts_from_the_last_join():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    p.mark += 1
    p.on_ack(101_500, 0, p.mark, 10)
    p.on_leave(110_000, 1)
    p.on_join(111_000, 1, "z")
    p.on_ack(101_500 + SILENCE, 2, p.mark, 10)
    assert p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) is None


def awaits_a_proxy_that_joined_after_the_revoke():
    p = revoked()
    p.on_join(100_500, 3, "z")
    acknowledge(p, 101_000, 0, 1, 2)
    return p.stops.last_stop_time(p.slices[0], 101_000) is None


# The planted fault "newcomer" was found by no seed of the simulation.
def test_a_proxy_that_joined_after_the_revoke_is_awaited():
    assert awaits_a_proxy_that_joined_after_the_revoke()
    with inject_fault("newcomer"):
        assert not awaits_a_proxy_that_joined_after_the_revoke()


def test_a_newly_assigned_empty_slice_waits_only_for_the_lease():
    p = pilot(owners="-bcd", proxies=3)
    for at in range(1_000, 30_000, 2_000):
        p.on_leave(at, 1)
        p.on_join(at + 1_000, 1, "z")
    assert p.stops.last_stop_time(p.slices[0], 31_000) == LEASE


SETTLE_TIME = 30_000
STOPPED_AT, TAKEN_AT = 140_010, 150_000


def interrupted(taken_at=TAKEN_AT, back_at=TAKEN_AT + 5_000, stopped=(0, 1, 2), unwritten=True):
    """Returns a pilot that lost slice 0 in a hand-over and has got it back, without a line."""
    p = revoked()
    decisions(p, 140_000)  # the drained owner's line is removed
    acknowledge(p, 141_000, *stopped)
    decisions(p, 141_500)
    p.on_slice_assigned(taken_at, 0, False)
    p.on_slice_assigned(back_at, 0, True)
    if unwritten:
        p.on_slice_unwritten(back_at, 0)
    return p


def granted_at(p, start, end=300_000, step=250):
    """Returns when slice 0 is granted, in steps from `start` on."""
    for at in range(start, end, step):
        decisions(p, at)
        if p.slices[0].state == OWNED:
            return at
    return None


# Each time the store took the slice and gave it back the wait began anew, for as long as that went on.
def test_a_hand_over_goes_on_where_it_was_if_nobody_wrote_the_slice_meanwhile():
    p = interrupted()
    stopped_at = p.slices[0].stopped_at
    assert stopped_at is not None and stopped_at <= 141_000
    granted = granted_at(p, TAKEN_AT + 5_000)
    assert 0 <= granted - (stopped_at + SETTLE_TIME) < 500


def test_a_grant_that_was_never_written_is_made_again_at_once():
    p = interrupted(taken_at=180_000, back_at=185_000)
    assert granted_at(p, 185_000) == 185_000


@pytest.mark.parametrize(
    "case",
    [
        {"unwritten": False},  # another pilot may have named an owner
        {"stopped": (0, 1)},  # a proxy may still write to the former owner
        {"back_at": TAKEN_AT + LEASE + SETTLE_TIME},  # another pilot could have named one by now
    ],
)
def test_a_hand_over_begins_anew_where_nothing_is_proved(case):
    back_at = case.get("back_at", TAKEN_AT + 5_000)
    assert granted_at(interrupted(**case), back_at) >= back_at + LEASE + SETTLE_TIME


def test_a_proof_of_an_earlier_hand_over_counts_no_more_after_the_next_revoke():
    p = interrupted()
    granted = granted_at(p, TAKEN_AT + 5_000)
    p.on_list(granted + 1_000, "update", [entry(p.slices[0].owner, "off")])
    decisions(p, granted + 10_000)
    assert p.slices[0].state == REVOKING
    p.on_slice_assigned(granted + 11_000, 0, False)
    p.on_slice_assigned(granted + 12_000, 0, True)
    p.on_slice_unwritten(granted + 12_000, 0)
    assert granted_at(p, granted + 12_000) >= granted + 12_000 + LEASE + SETTLE_TIME


def test_a_barrier_is_repeated_if_an_acknowledgement_is_missing():
    p = revoked()
    acknowledge(p, 101_000, 0, 2)
    before = p.mark
    decisions(p, 100_000 + p.ack_timeout - 1)
    assert p.mark == before
    decisions(p, 100_000 + p.ack_timeout)
    assert p.mark == before + 1


def test_a_slice_without_a_line_for_too_long_is_returned_closed_to_its_former_owner():
    p = revoked(empty_for=EMPTY_FOR)
    decisions(p, 100_000 + 40_000)  # after the grace the drained owner's line is removed
    assert not p.slices[0].has_line and p.slices[0].writes_closed
    emptied = p.slices[0].empty_since
    assert all(one[:2] != ("line", 0) for one in decisions(p, emptied + EMPTY_FOR // 2 - 1))
    assert [one for one in decisions(p, emptied + EMPTY_FOR // 2) if one[1] == 0] == [
        ("level", 0, 0, 0, 0),
        ("line", 0, "a", 1),
    ]
    for at in range(emptied + 60_500, emptied + 80_000, 2_500):
        assert all(one[1] != 0 for one in decisions(p, at)), (
            "the line is restored again, or a class is opened"
        )
    acknowledge(p, emptied + 80_000, 0, 1, 2)
    decisions(p, emptied + 80_000)
    assert p.slices[0].state == SETTLING
    lines = [one for one in decisions(p, emptied + 110_000) if one[1] == 0]
    assert p.slices[0].state == OWNED and p.slices[0].owner != "a"
    assert lines == [("line", 0, p.slices[0].owner, 1), ("level", 0, 2, 1, 0), ("level", 0, 0, 1, 0)]


@pytest.mark.parametrize("terms", [{"levels": "none"}, {"empty_for": 0}])
def test_no_line_is_restored_without_levels_or_without_a_time_limit(terms):
    p = revoked(**{"empty_for": EMPTY_FOR, **terms})
    for at in range(140_000, 400_000, 5_000):
        decisions(p, at)
    assert not p.slices[0].line_restored and not p.slices[0].has_line


def test_a_move_delayed_by_proxies_returns_to_its_sound_owner():
    p = pilot(proxies=3, empty_for=EMPTY_FOR)
    p._update_estimates(100_000)
    p.planned_moves = {0: "b"}
    p.next_check_at = 10**9
    assert ("level", 0, 2, 0, 0) in decisions(p, 100_000)
    decisions(p, 100_000 + EMPTY_FOR // 2 - 1)
    assert p.slices[0].state == REVOKING
    assert ("level", 0, 2, 1, 0) in decisions(p, 100_000 + EMPTY_FOR // 2)
    assert (p.slices[0].state, p.slices[0].owner) == (OWNED, "a")


def test_a_restored_line_is_revoked_again_and_stays_closed():
    p = pilot(proxies=2, empty_for=EMPTY_FOR)
    p.on_slice_assigned(100_000, 0, True)
    p.on_stored_owner(100_000, 0, "b", all_closed=True)
    assert [one for one in decisions(p, 100_000) if one[1] == 0] == [("line", 0, "b", 0)]
    assert p.slices[0].state == REVOKING and p.slices[0].mark == p.mark
    assert p.stops.last_stop_time(p.slices[0], 100_000 + LEASE) is None, (
        "earlier writers may not have stopped"
    )
    acknowledge(p, 101_000, 0, 1)
    lines = [one for at in (126_000, 156_000) for one in decisions(p, at) if one[1] == 0]
    assert ("level", 0, 0, 1, 0) in lines and p.slices[0].state == OWNED
