"""Decisions of a pilot: hand-overs, cold budgets, sickness, rebalancing, and use of the order channel."""

import pytest
from helpers import decisions, entry, pilot, report_outcomes, states

from cedarshift.brain import MARK_MODULUS
from cedarshift.judge.chance import Lcg
from cedarshift.judge.order_channel import Batch
from cedarshift.observations import EMPTY, OWNED, SETTLING, rendezvous


def revoking(now=100_000, **kw):
    """Returns a pilot whose revoke of slice 0, owned by a draining endpoint, went out at `now`."""
    p = pilot(**kw)
    p.on_list(now, "update", [entry("a", "fading")])
    assert ("level", 0, 2, 0, 0) in decisions(p, now)
    return p


def test_a_healthy_fleet_needs_no_decisions():
    assert decisions(pilot(), 100_000) == []


@pytest.mark.parametrize(
    "acks, leaves, after, stopped",
    [
        ((0, 1), (), 0, True),  # acked by every proxy
        ((0,), (), 10**7, False),  # an open stream without an ack proves nothing
        ((0,), (1,), 24_999, False),  # the lease of the broken stream is still running
        ((0,), (1,), 25_000, True),
    ],
)
def test_revoke_waits_for_acks_or_lease(acks, leaves, after, stopped):
    p = revoking()
    for proxy in leaves:
        p.on_leave(100_000, proxy)
    for proxy in acks:
        p.on_ack(100_000, proxy, p.mark, 10)
    assert (p.stops.last_stop_time(p.slices[0], 100_000 + after) is not None) is stopped


def test_a_proxy_that_joins_during_a_revoke_is_awaited():
    p = revoking()
    p.on_join(100_500, 2, "z")
    for proxy in (0, 1):
        p.on_ack(101_000, proxy, p.mark, 10)
    assert None is p.stops.last_stop_time(p.slices[0], 101_000)
    mark = p.mark
    decisions(p, 101_500)
    assert p.mark == mark + 1
    p.on_ack(102_000, 2, p.mark, 10)
    assert p.stops.last_stop_time(p.slices[0], 102_000) is not None


@pytest.mark.parametrize(
    "left, acked, came, stopped",
    [
        (
            70_000,
            101_000,
            102_000,
            95_000,
        ),  # absent for a lease, and the store held the revoke when it joined
        (70_000, 103_000, 102_000, None),  # no ack yet when it joined: it may have read the old table
        (70_000, 101_000, 99_000, None),  # it joined before the revoke
        (90_000, 101_000, 102_000, None),  # absent for less than a lease: it may still be writing
        (101_500, 101_000, 102_000, None),
    ],
)
def test_a_proxy_absent_for_a_lease_is_not_awaited_if_it_reads_the_revoke(left, acked, came, stopped):
    p = pilot(proxies=3)
    events = [
        (left, 1, lambda: p.on_leave(left, 1)),
        (came, 2, lambda: p.on_join(came, 1, "z")),
        (100_000, 3, lambda: (p.on_list(100_000, "update", [entry("a", "fading")]), decisions(p, 100_000))),
        (acked, 4, lambda: [p.on_ack(acked, n, p.mark, 10) for n in (0, 2)]),
    ]
    for _, _, event in sorted(events, key=lambda e: e[:2]):
        event()
    assert p.stops.proxy_stop_time(p.proxies[1], p.slices[0]) == stopped
    marks = p.mark
    decisions(p, 110_000)
    assert (p.mark != marks) == (stopped is None and came > 100_000)  # a mark is sent only to awaited proxies


def test_an_ack_from_before_a_broken_stream_still_counts():
    p = revoking()
    for proxy in (0, 1):
        p.on_ack(100_500, proxy, p.mark, 10)
    p.on_leave(101_000, 1)
    p.on_join(102_000, 1, "z")
    assert (
        p.stops.last_stop_time(p.slices[0], 103_000) == p.stops.last_stop_time(p.slices[0], 203_000) < 101_000
    )


def test_an_ack_of_an_older_mark_is_ignored():
    p = revoking()
    for proxy in (0, 1):
        p.on_ack(100_000, proxy, (p.mark - 1) % MARK_MODULUS, 10)
    assert None is p.stops.last_stop_time(p.slices[0], 100_000)


def test_grant_comes_only_after_the_settle_time():
    p = revoking()
    for proxy in (0, 1):
        p.on_ack(101_000, proxy, p.mark, 400)  # took effect 400 after the order
    decisions(p, 101_000)
    assert p.slices[0].state == SETTLING
    decisions(p, 130_399)
    assert p.slices[0].state == SETTLING
    out = decisions(p, 130_400)
    assert p.slices[0].state == OWNED and p.slices[0].owner != "a"
    assert ("level", 0, 2, 1, 0) in out


@pytest.mark.parametrize("line", [True, False])
def test_taking_over_a_slice_without_an_owner_waits_for_lease_and_settle_time(line):
    p = pilot(owners="abc" + ("d" if line else "-"))
    decisions(p, 24_999)
    assert states(p) == ("oooo" if line else "ooor")
    decisions(p, 25_000)
    decisions(p, 54_999)
    assert states(p) == ("oooo" if line else "ooos")
    decisions(p, 55_000)
    assert states(p) == "oooo"


def test_a_failed_target_returns_the_slice_to_its_owner():
    p = pilot()
    p._revoke(p.slices[0], 100_000, "b")
    p.on_list(100_100, "update", [entry("b", "off")])
    out = decisions(p, 100_200)
    assert ("level", 0, 2, 1, 0) in out and p.slices[0].owner == "a" and p.slices[0].state == OWNED


@pytest.mark.parametrize(
    "at, connect, removed",
    [(105_000, 0, False), (138_000, 0, True), (127_000, 0, False), (127_000, 5_000, True)],
)
def test_a_drained_endpoints_line_is_removed_within_the_grace(at, connect, removed):
    p = revoking(connect_most=connect)
    assert (("line", 0, "a", 0) in decisions(p, at)) is removed


@pytest.mark.parametrize("late, removed", [(0, False), (20_000, True)])
def test_the_drain_grace_runs_from_when_the_host_learned_of_the_phase(late, removed):
    p = pilot()
    p.on_list(100_000, "update", [entry("a", "fading")._replace(late=late)])
    decisions(p, 100_000)
    assert (("line", 0, "a", 0) in decisions(p, 118_000)) is removed


def test_a_dead_owners_line_is_removed_at_once():
    p = pilot()
    p.on_list(100_000, "update", [entry("a", "off")])
    assert ("line", 0, "a", 0) in decisions(p, 100_000)


def test_an_endpoint_that_returns_is_accepted_as_cold():
    p = pilot()
    p.on_list(10, "update", [entry("a", "off")])
    p.on_list(20, "update", [entry("a", started=20)])
    assert not p._is_unfit("a", 20) and p._warmth(p.endpoints["a"], 20) == pytest.approx(0.2)


@pytest.mark.parametrize("age, slices", [(0, 1), (75_000, 2), (150_000, 3)])
def test_a_cold_endpoint_has_a_budget_that_grows_with_age(age, slices):
    p = pilot(endpoints="abcde", owners="abcd" * 5 + "----", now=0)
    for s in p.slices.values():
        s.state_since = 0
    p.on_list(500_000 - age, "update", [entry("e", started=500_000 - age)])
    p._update_estimates(500_000)
    e, taken = p.endpoints["e"], 0
    while p.assigned_rates.get("e", 0.0) + p.slice_rates[0] <= p._rate_limit(e, 500_000):
        p.assigned_rates["e"], taken = p.assigned_rates.get("e", 0.0) + p.slice_rates[0], taken + 1
    assert taken >= slices - 1 and p.assigned_rates.get("e", 0) <= 3.0 * p._warmth(e, 500_000) * p.fair_rate


def test_a_restarted_owner_gives_up_slices_beyond_its_budget():
    p = pilot(owners="aaaaabcd")
    p.on_list(100_000, "update", [entry("a", started=100_000)])
    p._update_estimates(100_000)
    assert len(p._cold_excess(100_000)) == 5
    p._update_estimates(200_000)
    assert 1 <= len(p._cold_excess(200_000)) <= 4


@pytest.mark.parametrize("max_messages, after, sent", [(0, 0, True), (12, 9_000, False), (12, 9_100, True)])
def test_batches_keep_a_minimum_interval(max_messages, after, sent):
    p = pilot(messages_most=max_messages, messages_span=100_000)
    p.channel.sent_at = 100_000 - after
    p.on_list(100_000, "update", [entry("a", "off")])
    assert (decisions(p, 100_000) != []) is sent


def test_a_batch_that_does_not_fit_the_channel_waits():
    p = pilot(lines_waiting_most=70.0)
    p.channel.unacknowledged.append(Batch(p.mark, 0, 40.0, 20.0))
    p.on_list(100_000, "update", [entry("a", "off")])
    assert decisions(p, 100_000) == []
    p.on_ack(100_100, 0, (p.mark + 1) % MARK_MODULUS, 10)  # the earlier batch has left the channel
    assert decisions(p, 100_200) != []


def test_an_unreachable_list_is_retried_and_keeps_the_last_one():
    p = pilot(asks_list=True)
    waits = []
    for now in (0, 100_000, 200_000, 300_000):
        p.on_list(now, "unavailable", [])
        waits.append(p.next_list_request_at - now)
    assert waits == [10_000, 20_000, 25_000, 25_000] and states(p) == "oooooooo"
    assert ("ask_list", True) in decisions(p, 325_000)


@pytest.mark.parametrize(
    "tries, aborted, took, sick",
    [
        (20, 18, 0, True),  # accepts ops and answers none
        (20, 17, 3_000, True),  # aborts fast
        (20, 17, 30_000, False),  # slow acks indicate overload
        (20, 11, 3_000, False),  # within random variation where a fifth of ops is lost
        (20, 2, 3_000, False),
        (3, 3, 0, False),  # too few ops
    ],
)
def test_sick_endpoints_are_distinguished_from_overloaded_ones(tries, aborted, took, sick):
    p = pilot()
    for n in "bcd":
        report_outcomes(p, 100_000, n, 20, 0, 3_000)
    report_outcomes(p, 100_000, "a", tries, aborted, took)
    p._update_estimates(100_000)
    assert (p.endpoints["a"].sick_until > 100_000) is sick


def test_many_failing_endpoints_at_once_are_not_sick():
    p = pilot()
    for n in "abc":
        report_outcomes(p, 100_000, n, 20, 20, 0)
    p._update_estimates(100_000)
    assert not any(e.sick_until for e in p.endpoints.values())


@pytest.mark.parametrize("slow, aborted, level", [("a", 0, 1.0), ("", 19, 1.0), ("abcd", 0, 0.85)])
def test_the_level_falls_only_if_the_median_endpoint_acks_slowly(slow, aborted, level):
    p = pilot()
    p._set_level([(20, aborted, 19_000 if n in slow else 3_000) for n in "abcd"])
    assert p.level == pytest.approx(level)


@pytest.mark.parametrize("changed, load", [(0, 30_000), (95_000, None)])
def test_reports_begun_before_a_move_are_ignored(changed, load):
    p = pilot()
    report_outcomes(p, 100_000, "a", 10, 0, 30_000)
    p.endpoints["a"].slices_changed_at = changed
    assert p._mean_time(p.endpoints["a"], 100_000) == load


@pytest.mark.parametrize("took, moved", [(20_000, True), (5_000, False)])
def test_slices_move_from_a_hot_endpoint_to_the_least_loaded(took, moved):
    p = pilot(owners="aaaabcd")
    for now in (300_000, 350_000, 400_000):
        for n, t in (("a", took), ("b", 3_000), ("c", 2_000), ("d", 3_000)):
            report_outcomes(p, now, n, 10, 0, t)
        decisions(p, now)
    assert ("c" in [s.target for s in p.slices.values()]) is moved


def test_random_numbers_and_rendezvous_are_deterministic():
    assert [Lcg(7).draw(100) for _ in range(2)] == [Lcg(7).draw(100)] * 2
    assert rendezvous("a", 1, 1.0) == rendezvous("a", 1, 1.0) != rendezvous("b", 1, 1.0)
    wins = sum(rendezvous("a", n, 3.0) > rendezvous("b", n, 1.0) for n in range(1000))
    assert 700 < wins < 800


@pytest.mark.parametrize("acked, budget", [(20, 1.0), (5, 0.43), (0, 0.1)])
def test_cold_budgets_shrink_with_the_acked_share(acked, budget):
    p = pilot()
    report_outcomes(p, 100_000, "a", 20, 20 - acked, 3_000)
    for at in (90_000, 95_000, 100_000):
        p.on_slice_report(at, 0, "get", 20, 0, 10_000)
    p._update_estimates(100_000)
    assert p.budget_scale == pytest.approx(budget, abs=0.01)


def test_a_target_without_reports_may_take_several_slices():
    p = pilot(endpoints="abcde", owners="aaaabbbbcd")
    for now in (300_000, 350_000, 400_000):
        for n, took in (("a", 25_000), ("b", 25_000), ("c", 30_000), ("d", 30_000)):
            report_outcomes(p, now, n, 10, 2, took)
        p._update_estimates(now)
        p.next_check_at = now
        due = p._current_moves(now)
    assert all(step == "move" and target == "e" for _, _, step, target in due)


def test_an_overloaded_endpoint_without_recent_acks_is_not_sick():
    p = pilot()
    for n in "bcd":
        report_outcomes(p, 100_000, n, 20, 0, 3_000)
    p.on_endpoint_report(90_000, "a", "z", 20, 12, 40_000, 10_000)
    p.on_endpoint_report(100_000, "a", "z", 20, 20, 0, 10_000)
    p._update_estimates(100_000)
    assert p.endpoints["a"].sick_until == 0


@pytest.mark.parametrize(
    "until, stored_owner",
    [
        (100_000, "a"),  # revoked: the old line stays, and levels are reset
        (120_000, "a"),  # in the settle time
        (139_000, "-"),  # the drained owner's line was removed within the grace
        (150_000, None),  # granted
    ],
)
def test_a_pilot_killed_at_any_step_leaves_a_consistent_store(until, stored_owner):
    p, line = revoking(in_flight_most=45_000), "a"
    for now in (100_000, 101_000, 120_000, 138_000, 139_000, 150_000):
        if now <= until:
            for proxy in (0, 1):
                p.on_ack(now, proxy, p.mark, 10)
            for d in decisions(p, now):
                if d[0] == "line" and d[1] == 0:
                    line = d[2] if d[3] else "-"
    assert line == stored_owner or (stored_owner is None and line in "bcd")
    successor = pilot(owners=line, now=until)
    successor.on_list(until, "update", [entry("a", "fading")])
    early = [d for t in (0, 10_000, 24_000, 25_000, 40_000) for d in decisions(successor, until + t)]
    assert not any(d[0] == "line" and d[3] for d in early)


def test_without_slices_proxies_get_a_table_of_the_live_endpoints():
    p = pilot(owners="", slices=0, single_owner=False)
    assert [d for d in decisions(p, 0) if d[0] == "install"] == [("install", 0, 0, 0), ("install", 1, 0, 0)]
    p.on_list(10, "update", [entry("a", "fading")])
    assert decisions(p, 10) == [("line", 0, "a", 0)]


@pytest.mark.parametrize(
    "binds, draining, tries, aborted, after, unfit",
    [
        (False, False, 20, 2, 0, False),  # a wrong list: the endpoint still acks
        (False, False, 20, 17, 0, True),  # dead
        (False, False, 0, 0, 30_000, False),  # reports may still arrive
        (False, False, 0, 0, 50_000, True),  # no reports
        (False, True, 20, 0, 0, True),  # draining endpoints must be left
        (True, False, 20, 0, 0, True),  # removal from the list binds
    ],
)
def test_a_dropped_endpoint_keeps_its_slices_while_it_acks(binds, draining, tries, aborted, after, unfit):
    p = pilot(gone_binds=binds)
    if draining:
        p.on_list(99_000, "update", [entry("a", "fading")])
    p.on_list(100_000, "replace", [entry(n) for n in "bcd"])
    if tries:
        report_outcomes(p, 100_000 + after, "a", tries, aborted, 3_000)
    p._update_estimates(100_000 + after)
    assert p._is_unfit("a", 100_000 + after) is unfit


def test_a_single_pilot_has_a_cold_endpoints_whole_budget():
    rooms = []
    for pilot_index in (0, 1, 2):
        p = pilot(endpoints="abcd", pilots=3, pilot_index=pilot_index, slices=24)
        p.on_list(100_000, "update", [entry("a", started=40_000)])
        p._update_estimates(100_000)
        rooms.append(p._rate_limit(p.endpoints["a"], 100_000) / p.slice_rates[0])
    assert sorted(rooms)[:2] == [0, 0] and max(rooms) >= 1


# A pilot took slices away again that it had just granted from the fleet's budget of a cold endpoint.
def test_only_the_pilot_with_a_cold_endpoints_budget_may_fill_it():
    excess = []
    for pilot_index in range(5):
        p = pilot("abcdefgh", "aaaaaaa" + "bcdefgh" * 3, pilots=5, pilot_index=pilot_index, slices=5 * 28)
        p.on_list(100_000, "update", [entry("a", started=40_000)])
        p.endpoints["a"].slice_gained_at = 90_000
        p.on_endpoint_report(100_000, "a", "z", 20, 0, 3_000, 10_000)
        p._update_estimates(100_000)
        holds = p._rate_limit(p.endpoints["a"], 100_000) >= p.assigned_rates["a"]
        excess.append((holds, len(p._cold_excess(100_000))))
    assert sorted(excess)[-1] == (True, 0)
    assert all(not holds and shed > 0 for holds, shed in sorted(excess)[:-1])


def test_a_drain_fits_a_channel_filled_by_moves():
    p = pilot(lines_waiting_most=200.0)
    p.channel.unacknowledged.append(Batch(p.mark, 0, 155.0, 77.5))
    p.on_list(100_000, "update", [entry("a", "fading")])
    assert decisions(p, 100_000) == []
    assert ("line", 0, "a", 0) in decisions(p, 138_000) + decisions(p, 138_500)


@pytest.mark.parametrize("tries, blamed", [(15, False), (2, True)])
def test_failures_on_one_zones_path_are_not_attributed_to_the_endpoint(tries, blamed):
    p = pilot()
    for n in "abcd":
        report_outcomes(p, 100_000, n, 15, 0, 3_000, zone="y")
        report_outcomes(p, 100_000, n, tries, tries, 0, zone="x")
    p._update_estimates(100_000)
    _, aborted, took = p.endpoint_totals["a"]
    assert (aborted > 0) is blamed and took == 3_000


def test_with_most_endpoints_overloaded_moves_follow_the_fair_share():
    p = pilot(endpoints="abcd", owners="aaaabbbbcccc")
    for now in (300_000, 350_000):
        for n in "abc":
            report_outcomes(p, now, n, 10, 5, 25_000)
        p._update_estimates(now)
        p.next_check_at = now
        due = p._current_moves(now)
    assert due and all(step == "move" and target == "d" for _, _, step, target in due)


@pytest.mark.parametrize("gained, room", [(0, True), (110_000, False)])
def test_a_returned_endpoint_waits_for_reports_only_after_gaining_a_slice(gained, room):
    p = pilot()
    p.on_list(100_000, "update", [entry("a", started=100_000)])
    p.endpoints["a"].slices_changed_at, p.endpoints["a"].slice_gained_at = 105_000, gained
    p._update_estimates(150_000)
    assert (p._rate_limit(p.endpoints["a"], 150_000) > 0) is room


# A cold endpoint that lost its slices before a report stayed without any until it was warm.
@pytest.mark.parametrize("owners, room", [("abcdabcd", False), ("bbcdbbcd", True)])
def test_a_cold_endpoint_without_slices_waits_for_no_report(owners, room):
    p = pilot(owners=owners)
    p.on_list(100_000, "update", [entry("a", started=100_000)])
    p.endpoints["a"].slices_changed_at = p.endpoints["a"].slice_gained_at = 110_000
    p._update_estimates(150_000)
    assert (p._rate_limit(p.endpoints["a"], 150_000) > 0) is room


@pytest.mark.parametrize("put_unanswered, sick", [(0, False), (9, True)])
def test_an_endpoint_that_serves_one_op_type_is_not_sick(put_unanswered, sick):
    p = pilot()
    for n in "bcd":
        report_outcomes(p, 100_000, n, 20, 0, 3_000)
    report_outcomes(p, 100_000, "a", 30, 25, 3_000)
    p.on_slice_report(100_000, 0, "get", 20, 20, 10_000)
    p.on_slice_report(100_000, 0, "put", 10, put_unanswered, 10_000)
    p._update_estimates(100_000)
    assert (p.endpoints["a"].sick_until > 100_000) is sick


def test_small_batches_keep_a_gap_for_their_headers():
    p = pilot(lines_per_s=1_000.0)  # headers for two proxies take 22 ms
    p.on_list(100_000, "update", [entry("a", "off")])
    assert decisions(p, 100_000) != []
    p.on_list(100_100, "update", [entry("b", "off")])
    assert decisions(p, 100_250) == [] and decisions(p, 100_440) != []


def test_unacked_messages_of_a_quarter_of_proxies_leave_room_for_grants():
    p = pilot(owners="-" * 16, proxies=100, lines_waiting_most=4_600.0)
    p.channel.unacknowledged.append(
        Batch(p.mark, 0, 25 * 16.0, 16.0)
    )  # never acked by 25 disconnected proxies
    for s in p.slices.values():
        s.state = EMPTY
    assert len([d for d in decisions(p, 100_000) if d[0] == "line"]) >= 12


@pytest.mark.parametrize("took, capacity", [(1_500, 2.0), (3_000, 1.0), (4_000, 0.75), (30_000, 0.5)])
def test_capacity_is_the_listed_size_scaled_by_ack_speed(took, capacity):
    p = pilot()
    for at in (90_000, 100_000):
        for n in "abcd":
            report_outcomes(p, at, n, 10, 0, took if n == "a" else 3_000)
    p._update_estimates(100_000)
    assert p.endpoints["a"].capacity == pytest.approx(capacity)


def test_a_deploy_of_a_full_fleet_keeps_the_rules():
    names = [f"e{i:02}" for i in range(80)]
    owners = [names[i % 80] for i in range(600)]
    p = pilot(names, owners, 70, lines_per_s=10_000.0, lines_waiting_most=5_000.0)
    estimated_times, update_estimates = [], p._update_estimates
    p._update_estimates = lambda now: (estimated_times.append(now), update_estimates(now))
    draining, channel_free_at, acks, stopped, line_at, batches = names[:8], 0, [], {}, {}, 0
    p.on_list(100_000, "update", [entry(n, "fading") for n in draining])
    for now in range(100_000, 250_000, 250):
        for at, proxy, mark, sent in [a for a in acks if a[0] <= now]:
            p.on_ack(now, proxy, mark, at - sent)
        acks = [a for a in acks if a[0] > now]
        p.on_endpoint_report(now, names[now // 250 % 80], "z", 10, 0, 3_000, 10_000)
        out = decisions(p, now)
        if not out:
            continue
        batches, channel_free_at = (
            batches + 1,
            max(now, channel_free_at) + 70 * (len(out) + 11),
        )  # a line takes 0.1 ms
        assert channel_free_at - now <= 5_000  # limit of waiting lines
        acks += [(channel_free_at + 2_000, proxy, p.mark, now) for proxy in range(70)]
        for d in out:
            if d[0] == "level" or d[3] == 0:
                stopped.setdefault(d[1], channel_free_at + 2_000)
            if d[0] == "line":
                line_at[d[1]] = (d[2] if d[3] else None, channel_free_at + 2_000)
                assert not d[3] or now >= stopped[d[1]] + 30_000  # every ack, then the settle time
    moved = [n for n in range(600) if names[n % 80] in draining]
    assert all(n in stopped and p.slices[n].owner not in draining for n in moved)
    assert all(line_at[n][0] not in draining + [None] for n in moved) and set(line_at) == set(moved)
    assert (
        len(estimated_times) <= 150_000 / 2_000 + 2 * batches + 2
    )  # estimates are not recomputed for each report


def test_drained_lines_are_removed_within_the_grace_in_a_full_fleet():
    names = [f"e{i:02}" for i in range(80)]
    owners = [names[i % 80] for i in range(600)]
    p = pilot(names, owners, 70, lines_per_s=10_000.0, lines_waiting_most=15_000.0)
    p.on_list(100_000, "update", [entry(n, "fading") for n in names[:8]])
    removed = {}
    for now in range(100_000, 140_000, 250):  # no proxy acks, so no hand-over proceeds
        removed.update({d[1]: now for d in decisions(p, now) if d[0] == "line"})
    assert len(removed) == 64 and max(removed.values()) + 5_000 + 70 * 75 <= 140_000


@pytest.mark.parametrize("peers_aborted, strained", [(0, True), (3, False)])
def test_an_endpoint_that_aborts_no_more_than_its_peers_is_not_strained(peers_aborted, strained):
    p = pilot()
    for n in "abcd":
        report_outcomes(p, 100_000, n, 20, 4 if n == "a" else peers_aborted, 3_000)
    p._update_estimates(100_000)
    assert p._is_strained(p.endpoint_totals["a"]) is strained


def test_the_endpoint_whose_grace_ends_first_is_left_first():
    p = pilot()
    p.on_list(100_000, "update", [entry("d", "off")])
    p.on_list(101_000, "update", [entry("a", "off")])
    p._update_estimates(130_000)
    assert [n for _, n, step, _ in p._due(130_000)] == [3, 7, 0, 4]


@pytest.mark.parametrize("pilots, moves", [(1, 4), (2, 2)])
def test_a_check_allows_a_move_per_empty_endpoint(pilots, moves):
    p = pilot("abcdefgh", "aabbccdd" * 2, pilots=pilots)
    for now in (300_000, 350_000):
        for n in "abcd":
            report_outcomes(p, now, n, 10, 5, 25_000)
        p._update_estimates(now)
        p.next_check_at = now
        due = p._current_moves(now)
    assert len(due) == moves


def overloaded(owners="aaabcd", **terms):
    """Returns a pilot whose endpoint `a` is hot on its second check, and the time of that check."""
    p = pilot(owners=owners, **terms)
    for now in (300_000, 330_000):
        for name in "abcd":
            report_outcomes(p, now, name, 40, 30 if name == "a" else 0, 15_000 if name == "a" else 3_000)
        for number, owner in enumerate(owners):
            p.on_slice_report(now, number, "get", 40 if owner == "a" else 10, 0, 10_000)
        p._update_estimates(now)
        p.next_check_at = now
        due = p._current_moves(now)
    assert due and p.planned_moves and p.endpoints["a"].hot_checks >= 2
    return p, now


def revoked(p, now):
    return [d[1] for d in decisions(p, now) if d[0] == "level" and d[3] == 0]


def test_a_move_that_does_not_fit_is_sent_with_a_later_batch():
    p, now = overloaded(proxies=100, lines_waiting_most=3_000.0)
    p.channel.unacknowledged.append(Batch(p.mark, now, 2_500.0, 25.0))
    assert revoked(p, now + 250) == [] and p.endpoints["a"].hot_checks >= 2
    p.channel.unacknowledged.clear()
    assert set(revoked(p, now + 5_000)) and p.endpoints["a"].hot_checks == 0 and not p.planned_moves


def test_a_move_is_sent_beside_an_unacked_batch_if_headers_dominate():
    p, now = overloaded(proxies=148, lines_waiting_most=9_500.0, lines_per_message=16.0)
    p.channel.unacknowledged.append(Batch(p.mark, now, 148 * 17.0, 17.0))
    assert revoked(p, now + 250)


@pytest.mark.parametrize("event", ["given anew", "target drains", "source drains"])
def test_a_planned_move_that_no_longer_applies_is_dropped(event):
    p, now = overloaded(proxies=100, lines_waiting_most=3_000.0)
    number, target = next(iter(p.planned_moves.items()))
    if event == "given anew":
        for given in (False, True):
            p.on_slice_assigned(now, number, given)
        p.on_stored_owner(now, number, "b")
    else:
        p.on_list(now, "update", [entry(target if event == "target drains" else "a", "fading")])
        p._update_estimates(now)
    assert number not in [one[1] for one in p._current_moves(now + 250)]


def test_a_batch_waits_until_the_channel_is_free():
    p = pilot(lines_per_s=1_000.0)
    p.channel.free_at = 100_900.0
    p.on_list(100_000, "update", [entry("a", "off")])
    assert decisions(p, 100_800) == [] and decisions(p, 101_000) != []


@pytest.mark.parametrize("last_ack, goes", [(99_000, False), (90_000, True)])
def test_in_a_slow_channel_steps_are_collected_while_acks_arrive(last_ack, goes):
    p = pilot(owners="a" * 20 + "b", proxies=100, lines_waiting_most=5_000.0)
    p.on_list(50_000, "update", [entry("a", "off")])
    p.channel.unacknowledged.append(Batch(p.mark + 1, 0, 2_500.0, 25.0))
    p.on_ack(last_ack, 0, p.mark + 1, 10)  # 99 of 100 messages wait; the lines due do not all fit
    assert bool(decisions(p, 100_000)) is goes


@pytest.mark.parametrize("phase, goes", [("fading", True), ("off", True)])
def test_the_lines_due_are_counted_by_step(phase, goes):
    p = pilot(owners="a" * 12 + "b", proxies=100, lines_waiting_most=5_000.0)
    p.on_list(50_000, "update", [entry("a", phase)])
    p.channel.unacknowledged.append(Batch(p.mark + 1, 0, 2_000.0, 20.0))
    p.on_ack(
        99_000, 0, p.mark + 1, 10
    )  # 1,980 lines wait; 12 lines with mark and header add 2,400; 4,500 are allowed
    assert bool(decisions(p, 100_000)) is goes


def test_a_mark_alone_needs_room_and_an_unsent_one_is_reused():
    p = revoking(proxies=100, lines_waiting_most=3_000.0)
    mark = p.mark
    p.channel.unacknowledged.append(Batch(p.mark, 0, 2_900.0, 29.0))
    p.on_join(100_500, 100, "z")  # needs a mark
    for now in range(102_000, 112_000, 250):
        assert decisions(p, now) == [] and p.mark == mark
    p.channel.unacknowledged.clear()
    decisions(p, 112_000)
    assert p.mark != mark


def test_a_repeated_ack_frees_no_more_of_the_channel():
    p = pilot()
    p.channel.unacknowledged.append(Batch(p.mark + 1, 0, 40.0, 20.0))
    for took in (10, 900):
        p.on_ack(1_000, 0, p.mark + 1, took)
    assert p.channel.unacknowledged[0].waiting == 20.0 and p.proxies[0].acked_at == 10


def test_stale_endpoints_are_forgotten_unless_a_slice_refers_to_them():
    p = pilot()
    p.on_list(1_000, "update", [entry("d", "off")])
    for n in range(3_000):
        now = 10_000 + n * 5_000
        p.on_list(now, "update", [entry(f"e{n}"), entry(f"e{n - 5}", "off")])
        decisions(p, now)  # no proxy acks: the slices of d stay in hand-over
    assert len(p.endpoints) < 150 and "d" in p.endpoints
    assert {s.owner for s in p.slices.values()} == set("abcd")
