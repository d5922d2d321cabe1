"""Claims of cold endpoints: simulated with message faults, and with a store and pilots as processes."""

import dataclasses
import json
import math
import random
import signal
import time

import pytest
import spenders

from cedarshift.brain import OWNED, Pilot
from cedarshift.budgets.rights import DecisionBudgets, FleetAccess
from cedarshift.interface import DecisionConfig, Entry, OpType
from cedarshift.judge.claims import (
    MAX_CLAIMS_PER_ASK,
    Claim,
    ClaimGrantor,
    ClaimHolder,
    ClaimRequest,
    ClaimSchedule,
)
from cedarshift.rehearsal.day import load_day
from cedarshift.rehearsal.run import play as play_day

LEASE = 1_000_000  # us
DRIFT = 0.05


def decision_budgets(
    claims=True, budget="", cold=("e",), moves=0, charge=True, right=(0, 1 << 60), decide=lambda: None
):
    published = []
    fleet = FleetAccess(
        lambda: list(cold), lambda: moves, lambda: charge, lambda: ["p0"], published.append, decide
    )
    budgets = DecisionBudgets("p0", DRIFT, LEASE // 4, claims, budget, fleet, lambda *a, **k: None)
    budgets.moves_grant = lambda now: right
    return budgets, published


def test_a_claim_is_granted_to_the_next_after_its_end():
    grantor = ClaimGrantor(LEASE, 7, 0)
    assert grantor.ask(10, "a", 1, 7, 1, [ClaimRequest("e", False)]) == [Claim("e", LEASE)]
    assert grantor.ask(20, "b", 2, 7, 1, [ClaimRequest("e", False)]) == []
    assert grantor.ask(10 + LEASE, "b", 2, 7, 2, [ClaimRequest("e", False)]) == [Claim("e", LEASE)]


@pytest.mark.parametrize(
    "asks, gets",
    [
        (
            [("a", 1, 7, 1, ["e"]), ("a", 1, 7, 2, []), ("b", 2, 7, 1, ["e"])],
            [1, 0, 1],
        ),  # no longer requested: released
        (
            [("a", 1, 7, 2, ["e"]), ("a", 1, 7, 1, []), ("b", 2, 7, 1, ["e"])],
            [1, 0, 0],
        ),  # an outdated request releases nothing
        ([("a", 1, 7, 1, ["e"]), ("a", 9, 7, 1, ["e"])], [1, 0]),  # another incarnation of the same pilot
        ([("a", 1, 6, 1, ["e"]), ("b", 2, 7, 1, ["e"])], [0, 1]),  # a request of a former era
    ],
)
def test_what_a_request_claims_and_releases(asks, gets):
    grantor = ClaimGrantor(LEASE, 7, 0)
    assert [
        len(grantor.ask(10 + at, *ask[:4], [ClaimRequest(resource, False) for resource in ask[4]]))
        for at, ask in enumerate(asks)
    ] == gets


def test_a_life_that_left_frees_all_and_its_late_ask_takes_nothing():
    grantor = ClaimGrantor(LEASE, 7, 0)
    grantor.ask(10, "a", 1, 7, 1, [ClaimRequest("e", False)])
    grantor.leave("a", 1)
    assert grantor.ask(11, "a", 1, 7, 2, [ClaimRequest("e", True)]) == []
    assert grantor.ask(12, "b", 2, 7, 1, [ClaimRequest("e", False)])


def test_after_a_start_only_what_is_held_is_prolonged():
    grantor = ClaimGrantor(LEASE, 7, LEASE)
    assert grantor.ask(10, "a", 1, 7, 1, [ClaimRequest("e", True), ClaimRequest("f", False)]) == [
        Claim("e", LEASE)
    ]
    assert grantor.ask(20, "b", 2, 7, 1, [ClaimRequest("f", False)]) == []
    assert grantor.ask(LEASE, "b", 2, 7, 2, [ClaimRequest("f", False)]) == [Claim("f", LEASE)]


def test_an_answer_to_an_ask_before_it_was_given_up_brings_nothing_back():
    holder = ClaimHolder(DRIFT)
    holder.ask(0, 1, ["e"])
    holder.ask(10, 2, [])
    holder.ask(20, 3, ["e"])
    holder.on_answer(30, 1, [Claim("e", LEASE)])
    assert not holder.held(40)
    holder.on_answer(50, 3, [Claim("e", LEASE)])
    assert holder.held(60) == {"e"} and not holder.held(20 + int(LEASE * (1 - DRIFT)))


def test_an_ask_names_no_more_than_a_giver_takes():
    assert (
        len(ClaimHolder(DRIFT).ask(0, 1, [str(n) for n in range(2 * MAX_CLAIMS_PER_ASK)]))
        == MAX_CLAIMS_PER_ASK
    )
    grantor = ClaimGrantor(LEASE, 7, 0)
    assert (
        len(
            grantor.ask(1, "a", 1, 7, 1, [ClaimRequest(str(n), False) for n in range(2 * MAX_CLAIMS_PER_ASK)])
        )
        == MAX_CLAIMS_PER_ASK
    )


def play(seed, holder_class=ClaimHolder, grantor_class=ClaimGrantor):
    """Simulates three pilots with drifting clocks, message faults, crashes and pauses, and grantor restarts.

    Returns (time, resource, holders) of the first claim held twice, or None, and the number of claims.
    """
    rng = random.Random(seed)
    clock_rates = [rng.uniform(1 - DRIFT, 1) for _ in range(3)]
    holders, lives, eras, numbers = [holder_class(DRIFT) for _ in clock_rates], [1, 2, 3], [1] * 3, [0] * 3
    stopped, wanted, messages, granted = [0] * 3, [[], [], []], [], set()
    grantor, era, life = grantor_class(LEASE, 1, 0), 1, 3
    for now in range(0, 12 * LEASE, 10_000):
        for at in sorted(
            [message for message in messages if message[0] <= now], key=lambda message: message[:2]
        ):
            messages.remove(at)
            _, _, who, message_life, ask, body = at
            if ask is not None:
                claims = grantor.ask(int(now), f"p{who}", message_life, *ask, body)
                for _ in range(rng.choice([0, 1, 1, 1, 2])):
                    messages.append(
                        (
                            now + rng.choice([1_000, 200_000, 900_000]),
                            rng.random(),
                            who,
                            message_life,
                            None,
                            (era, ask[1], claims),
                        )
                    )
            elif message_life == lives[who] and now >= stopped[who]:
                answer_era, number, claims = body
                if answer_era != eras[who]:
                    eras[who] = answer_era
                    holders[who].lost()
                else:
                    holders[who].on_answer(int(now * clock_rates[who]), number, claims)
        if rng.random() < 0.002:
            era += 1
            grantor = grantor_class(LEASE, era, now + LEASE)
        for who in range(3):
            if rng.random() < 0.001:
                life += 1
                holders[who], lives[who], numbers[who], eras[who] = holder_class(DRIFT), life, 0, 0
            if rng.random() < 0.001:
                stopped[who] = now + rng.choice([LEASE // 2, 2 * LEASE])
            if rng.random() < 0.02:
                wanted[who] = [resource for resource in "ef" if rng.random() < 0.6]
            if now >= stopped[who] and rng.random() < 0.06:
                numbers[who] += 1
                requests = holders[who].ask(int(now * clock_rates[who]), numbers[who], wanted[who])
                for _ in range(rng.choice([0, 1, 1, 1, 2])):
                    messages.append(
                        (
                            now + rng.choice([1_000, 100_000, 700_000]),
                            rng.random(),
                            who,
                            lives[who],
                            (eras[who], numbers[who]),
                            requests,
                        )
                    )
        for resource in "ef":
            those = [who for who in range(3) if resource in holders[who].held(int(now * clock_rates[who]))]
            granted.update((who, resource, lives[who]) for who in those)
            if len(those) > 1:
                return (now, resource, those), len(granted)
    return None, len(granted)


def test_no_two_pilots_hold_the_same_claim():
    found = [play(seed) for seed in range(60)]
    assert [violation for violation, _ in found if violation] == []
    assert sum(granted for _, granted in found) > 300


class LateEnd(ClaimHolder):
    def on_answer(self, now, number, claims):
        asked_at = self.asked.get(number)
        super().on_answer(now, number, claims)
        if asked_at is not None:
            self.until.update(
                {claim.resource: now + claim.duration for claim in claims if claim.resource in self.until}
            )


class NoDrift(ClaimHolder):
    def __init__(self, drift):
        super().__init__(0.0)


class AnyAnswer(ClaimHolder):
    def ask(self, now, number, things):
        found = super().ask(now, number, things)
        self.since = dict.fromkeys(self.since, 0)
        return found


class NoWait(ClaimGrantor):
    def __init__(self, lease, era, recovery_until):
        super().__init__(lease, era, 0)


class LateFrees(ClaimGrantor):
    def ask(self, now, holder, life, era, number, requests):
        self.heard.pop((holder, life), None)
        return super().ask(now, holder, life, era, number, requests)


@pytest.mark.parametrize("faulty", [LateEnd, NoDrift, AnyAnswer, NoWait, LateFrees])
def test_planted_faults_are_found(faulty):
    kinds = {"holder_class": faulty} if issubclass(faulty, ClaimHolder) else {"grantor_class": faulty}
    assert any(play(seed, **kinds)[0] for seed in range(300))


def test_the_first_ranked_pilot_asks_at_once_and_the_next_a_step_later():
    names, things = ["p0", "p1", "p2"], [f"e{n}" for n in range(30)]
    turns = {name: ClaimSchedule(name, 100) for name in names}
    at = {
        now: [turns[name].requests(now, things, names, frozenset()) for name in names]
        for now in (0, 100, 200)
    }
    assert sorted(sum(at[0], [])) == sorted(things)
    assert [sum(resource in one for one in at[100]) for resource in things] == [2] * 30
    assert [sum(resource in one for one in at[200]) for resource in things] == [3] * 30
    assert min(len(one) for one in at[0]) >= 3
    alone = ClaimSchedule("p1", 100)
    assert alone.requests(0, things, ["p1"], frozenset()) == sorted(things)


# ---- budgets of the decision module


def test_rights_end_before_a_decision_is_made_on_them():
    budgets, published = decision_budgets()
    budgets.claim_requests(0, 1)
    budgets.on_answer(10, 1, [Claim("e", LEASE)])
    budgets.publish_changes(20)
    assert published[-1] == {"": math.inf, "*": 0.0, "e": 1.0}
    budgets.publish_changes(5 * LEASE)  # the process was stopped, so nothing else was called
    assert published[-1] == {"": math.inf, "*": 0.0}


# An answered claim was shown as held while the module did not know of it before its next event.
def test_the_module_decides_on_a_claim_as_soon_as_it_is_answered():
    decided_on = []
    budgets, published = decision_budgets(decide=lambda: decided_on.append(published[-1]))
    budgets.claim_requests(0, 1)
    budgets.on_answer(10, 1, [Claim("e", LEASE)])
    assert decided_on == [{"": math.inf, "*": 0.0, "e": 1.0}]
    budgets.claim_requests(20, 2)
    budgets.on_answer(30, 2, [Claim("e", LEASE)])
    assert len(decided_on) == 1  # a renewal changes nothing


def test_who_has_no_slices_claims_nothing_and_gives_up_what_it_had():
    budgets, published = decision_budgets()
    budgets.claim_requests(0, 1)
    budgets.on_answer(10, 1, [Claim("e", LEASE)])
    budgets.fleet = budgets.fleet._replace(has_slices=lambda: False)
    assert budgets.claim_requests(20, 2) == [ClaimRequest("e", True)]  # its slices may be assigned again
    budgets.on_answer(30, 2, [Claim("e", 2 * LEASE)])
    assert budgets.claim_requests(LEASE + 20, 3) == [] and published[-1] == {"": math.inf, "*": 0.0}


def test_moves_are_told_by_right_and_end():
    budgets, published = decision_budgets(claims=False, budget="m", right=(3, 500))
    budgets.publish_changes(0)
    assert published == [{"": 3}]
    budgets.moves_grant = lambda now: (1, 1 << 60)
    budgets.publish_changes(499)
    assert published == [{"": 3}]
    budgets.publish_changes(500)
    assert published[-1] == {"": 1}


def module(right, cold=False):
    """Eight endpoints, one of them overloaded with all slices; with `cold` another has just started."""
    pilot = Pilot(
        DecisionConfig(
            op_types=(OpType("get", 20_000, 60_000, True, False),),
            slices=16,
            single_owner=False,
            warm_within=600_000,
            cold_share=0.5,
            tip_multiple=3.0,
            report_period=10_000,
            pilots=2,
            pilot_index=0,
        )
    )
    started = 1 if cold else None
    pilot.on_list(
        1, "replace", [Entry(f"e{n}", "on", 1.0, "", started if n == 7 else None) for n in range(8)]
    )
    for n in range(16):
        pilot.on_slice_assigned(1, n, True)
        pilot.on_stored_owner(1, n, "e0")
    if right is not None:
        pilot.on_budgets(1, right)
    return pilot


def run_moves(pilot, until=400_000):
    """Returns the maximum number of moves in flight, and the number of slices moved."""
    most = 0
    for now in range(1, until, 2_500):
        if now % 10_000 == 1:
            pilot.on_endpoint_report(now, "e0", "", 100, 60, 5_000, 10_000)
            for n in range(1, 8):
                pilot.on_endpoint_report(now, f"e{n}", "", 10, 0, 50, 10_000)
            for n in range(16):
                pilot.on_slice_report(now, n, "get", 10, 0, 10_000)
        pilot.on_alarm(now, pilot.alarm_nonce)
        while pilot.next_decision(now):
            pass
        most = max(most, sum(s.target is not None for s in pilot.slices.values()))
    return most, sum(s.state == OWNED and s.owner != "e0" for s in pilot.slices.values())


@pytest.mark.parametrize("right, most", [({"": 0}, 0), ({"": 1}, 1), ({"": math.inf}, 2), (None, 2)])
def test_the_module_has_no_more_moves_under_way_than_its_right(right, most):
    pilot = module(right)
    pilot.lease = pilot.settle_time = 30_000  # so that moves take time
    pilot.single_owner = True
    max_moves, moved = run_moves(pilot)
    assert max_moves == most and (moved > 0) == (most > 0)


@pytest.mark.parametrize(
    "right, room", [({"*": 0.0}, False), ({"*": 0.0, "e7": 1.0}, True), ({"": 5}, None), (None, None)]
)
def test_a_cold_endpoint_has_room_for_who_claims_it_and_by_lot_where_nobody_does(right, room):
    pilot = module(right, cold=True)
    pilot.on_alarm(2, pilot.alarm_nonce)
    while pilot.next_decision(2):
        pass
    endpoint = pilot.endpoints["e7"]
    has = pilot._rate_limit(endpoint, 3) > 0
    assert has == (endpoint.has_cold_budget if room is None else room)


@pytest.mark.parametrize("held, most", [(2, 2), (1_000, None)])
def test_moves_of_the_whole_fleet_stay_within_what_may_be_held(monkeypatch, tmp_path, held, most):
    """A busy deploy on the virtual clock; with a limit of 1000 there are more than two moves in flight."""
    in_flight, worst, publish_changes = {}, [0], DecisionBudgets.publish_changes

    def record_moves(self, now):
        publish_changes(self, now)
        in_flight[self.schedule.me] = self.fleet.moves_in_flight()
        worst[0] = max(worst[0], sum(in_flight.values()))

    monkeypatch.setattr(DecisionBudgets, "publish_changes", record_moves)
    day = load_day("deploy-dead-pilot")
    terms = day.deployment.budgets
    named = {
        name: dataclasses.replace(one, held=held, floor=0.0) if one.use == "handovers" else one
        for name, one in terms.named.items()
    }
    deployment = dataclasses.replace(day.deployment, budgets=dataclasses.replace(terms, named=named))
    report = play_day(
        dataclasses.replace(day, rate=220.0, faults=(), length=20_000_000, deployment=deployment),
        str(tmp_path),
        1,
        None,
        virtual=True,
        page=False,
    )
    assert worst[0] == most if most else worst[0] > 2
    assert [rule["rule"] for rule in report["rules"] if not rule["held"]] == []


# ---- with processes

TEXT = (
    spenders.TEXT.replace("slices = 0", "slices = 12\n  single_owner = false")
    .replace('"4s"', '"1400ms"')
    .replace("  list {{", '  rules {{\n    warm_within = "60s"\n    cold_share = 0.2\n  }}\n  list {{')
    .replace(
        "budgets {{\n",
        'budgets {{\n    claim_cold = true\n    budget "moves" {{\n      use = "handovers"\n      held = 4\n'
        "      floor = 1\n    }}\n",
        1,
    )
)
COLD = [f"c{n}" for n in range(8)]


class WarmingFleet(spenders.Spenders):
    """A store and three pilots; eight endpoints are added, which stay cold for a minute."""

    def __init__(self, folder, **named):
        super().__init__(folder, spenders=0, text=TEXT, **named)
        self.wait_until(lambda: all(self.ask(name) for name in self.names), 20)
        self.wait_until(
            lambda: sum(len(self.log(name, "given")) > 0 for name in self.names) == len(self.names), 20
        )
        time.sleep(2 * spenders.LEASE_S)
        entries = [
            {"endpoint": "e", "phase": "on", "start": "1"},
            *({"endpoint": one, "phase": "on", "start": "2"} for one in COLD),
        ]
        (folder / "next.json").write_text(json.dumps({"endpoints": entries}))
        (folder / "next.json").replace(folder / "list.json")
        self.wait_until(self.all_held, 20)

    def ask(self, name):
        import urllib.request

        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.admin[name]}/budgets", timeout=2) as reply:
                return json.load(reply)
        except OSError:
            return None

    def held(self, *names):
        return [
            (name, one)
            for name in names or self.names
            if name in self.running
            for one in (self.ask(name) or {"claims": []})["claims"]
        ]

    def all_held(self, *names):
        return sorted(one for _, one in self.held(*names)) == COLD

    def wait_until(self, condition, timeout):
        end = time.monotonic() + timeout
        while not condition():
            assert time.monotonic() < end, self.held()
            time.sleep(0.1)

    def claim_periods(self, ends):
        """Returns (endpoint, begin, end, pilot) of all claims in the logs, in us.

        `ends` holds the times at which pilots were killed or stopped.
        """
        found = []
        for name in self.names:
            open_ones = {}
            for row in self.log(name, "claim"):
                if row["held"]:
                    open_ones[row["endpoint"]] = row["at_us"]
                elif row["endpoint"] in open_ones:
                    begin = open_ones.pop(row["endpoint"])
                    found.append(
                        (
                            row["endpoint"],
                            begin,
                            min([row["at_us"], *(end for end in ends.get(name, ()) if end > begin)]),
                            name,
                        )
                    )
            found += [
                (one, begin, min((end for end in ends.get(name, ()) if end > begin), default=1 << 62), name)
                for one, begin in open_ones.items()
            ]
        return sorted(found)

    def check_exclusive(self, **ends):
        periods = self.claim_periods(ends)
        assert periods and len({one for one, *_ in periods}) == len(COLD)
        return all(
            one[0] != other[0] or one[2] <= other[1] for one, other in zip(periods, periods[1:])
        ), periods


@pytest.fixture
def warming(tmp_path):
    made = []

    def build(**named):
        made.append(WarmingFleet(tmp_path, **named))
        return made[-1]

    yield build
    for fleet in made:
        fleet.stop_all()


LOG_DELAY_S = 1.0  # a claim starts and is logged at the pilot's next heartbeat


def now_us():
    return int(time.monotonic() * 1e6)


def test_a_killed_pilots_endpoints_are_warmed_by_the_others(warming):
    w = warming()
    granted = [one for name, one in w.held() if name == "p1"]
    assert granted and len({name for name, _ in w.held()}) == 3
    at = now_us()
    w.kill("p1")
    w.wait_until(lambda: w.all_held("p0", "p2"), 6 * spenders.LEASE_S)

    def taken_by_others():
        return [
            begin for one, begin, _, name in w.claim_periods({"p1": [at]}) if one in granted and name != "p1"
        ]

    w.wait_until(lambda: len(taken_by_others()) == len(granted), LOG_DELAY_S)
    exclusive, periods = w.check_exclusive(p1=[at])
    assert exclusive, periods
    taken = taken_by_others()
    assert len(taken) == len(granted) and min(taken) > at + 1_000_000  # after its lease has expired


def test_a_stopped_pilot_has_nothing_left_when_it_wakes(warming):
    w = warming()
    at = now_us()
    w.signal("p0", signal.SIGSTOP)
    w.wait_until(lambda: w.all_held("p1", "p2"), 6 * spenders.LEASE_S)
    w.signal("p0", signal.SIGCONT)
    woke = now_us()
    time.sleep(1)
    exclusive, periods = w.check_exclusive(p0=[at])
    assert exclusive, periods
    ended = [row["at_us"] for row in w.log("p0", "claim") if not row["held"]]
    assert ended and max(ended) < woke + 900_000


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_pilot_cut_from_the_store_one_way_gives_up_before_another_begins(warming, way):
    w = warming()
    w.set_store_link("p2", way, "drop")
    w.wait_until(lambda: w.all_held("p0", "p1"), 8 * spenders.LEASE_S)
    w.set_store_link("p2", way, "pass")
    time.sleep(1)
    exclusive, periods = w.check_exclusive()
    assert exclusive, periods


def test_a_pilot_that_leaves_hands_on_at_once(warming):
    w = warming()
    granted = [one for name, one in w.held() if name == "p1"]
    at = now_us()
    w.leave("p1")
    w.wait_until(lambda: w.all_held("p0", "p2"), 4 * spenders.LEASE_S)
    exclusive, periods = w.check_exclusive()
    assert exclusive, periods
    assert (
        granted
        and min(begin for one, begin, _, name in periods if one in granted and name != "p1") < at + 1_900_000
    )


LONG_LEASE_S = 8.0  # a busy machine takes over 2 s to start the store's process


def test_a_store_that_comes_back_in_time_changes_nothing(warming):
    w = warming(lease=LONG_LEASE_S)
    before = sorted(w.held())
    w.kill("store")
    w.start("store")
    time.sleep(2 * LONG_LEASE_S)
    assert sorted(w.held()) == before
    exclusive, periods = w.check_exclusive()
    assert exclusive and len(periods) == len(COLD), periods
