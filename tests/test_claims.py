"""Claims: by themselves with messages lost, late and doubled; and with a store and pilots as processes, killed, stopped, cut off."""

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

LEASE = 1_000_000
DRIFT = 0.05


def rights(claims=True, budget="", cold=("e",), moves=0, charge=True, right=(0, 1 << 60)):
    told = []
    fleet = FleetAccess(lambda: list(cold), lambda: moves, lambda: charge, lambda: ["p0"], told.append)
    found = DecisionBudgets("p0", DRIFT, LEASE // 4, claims, budget, fleet, lambda *a, **k: None)
    found.moves_grant = lambda now: right
    return found, told


def test_one_has_it_and_the_next_after_its_end():
    giver = ClaimGrantor(LEASE, 7, 0)
    assert giver.ask(10, "a", 1, 7, 1, [ClaimRequest("e", False)]) == [Claim("e", LEASE)]
    assert giver.ask(20, "b", 2, 7, 1, [ClaimRequest("e", False)]) == []
    assert giver.ask(10 + LEASE, "b", 2, 7, 2, [ClaimRequest("e", False)]) == [Claim("e", LEASE)]


@pytest.mark.parametrize(
    "asks, gets",
    [
        (
            [("a", 1, 7, 1, ["e"]), ("a", 1, 7, 2, []), ("b", 2, 7, 1, ["e"])],
            [1, 0, 1],
        ),  # named no more: free
        (
            [("a", 1, 7, 2, ["e"]), ("a", 1, 7, 1, []), ("b", 2, 7, 1, ["e"])],
            [1, 0, 0],
        ),  # the late word frees nothing
        ([("a", 1, 7, 1, ["e"]), ("a", 9, 7, 1, ["e"])], [1, 0]),  # another life of one name
        ([("a", 1, 6, 1, ["e"]), ("b", 2, 7, 1, ["e"])], [0, 1]),  # asked under a former era
    ],
)
def test_what_an_ask_takes_and_frees(asks, gets):
    giver = ClaimGrantor(LEASE, 7, 0)
    assert [
        len(giver.ask(10 + at, *ask[:4], [ClaimRequest(resource, False) for resource in ask[4]]))
        for at, ask in enumerate(asks)
    ] == gets


def test_a_life_that_left_frees_all_and_its_late_ask_takes_nothing():
    giver = ClaimGrantor(LEASE, 7, 0)
    giver.ask(10, "a", 1, 7, 1, [ClaimRequest("e", False)])
    giver.leave("a", 1)
    assert giver.ask(11, "a", 1, 7, 2, [ClaimRequest("e", True)]) == []
    assert giver.ask(12, "b", 2, 7, 1, [ClaimRequest("e", False)])


def test_after_a_start_only_what_is_held_is_prolonged():
    giver = ClaimGrantor(LEASE, 7, LEASE)
    assert giver.ask(10, "a", 1, 7, 1, [ClaimRequest("e", True), ClaimRequest("f", False)]) == [
        Claim("e", LEASE)
    ]
    assert giver.ask(20, "b", 2, 7, 1, [ClaimRequest("f", False)]) == []
    assert giver.ask(LEASE, "b", 2, 7, 2, [ClaimRequest("f", False)]) == [Claim("f", LEASE)]


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
    giver = ClaimGrantor(LEASE, 7, 0)
    assert (
        len(giver.ask(1, "a", 1, 7, 1, [ClaimRequest(str(n), False) for n in range(2 * MAX_CLAIMS_PER_ASK)]))
        == MAX_CLAIMS_PER_ASK
    )


def play(seed, holder_class=ClaimHolder, giver_class=ClaimGrantor):
    """Three pilots at clocks 5% apart, a giver that is started anew, messages lost, late and doubled, pilots killed and stopped. Returns
    (time, thing, holders) of the first moment at which two hold one thing, and how many claims were had in all."""
    chance = random.Random(seed)
    speed = [chance.uniform(1 - DRIFT, 1) for _ in range(3)]
    holders, lives, eras, drawn = [holder_class(DRIFT) for _ in speed], [1, 2, 3], [1] * 3, [0] * 3
    stopped, wanted, post, had = [0] * 3, [[], [], []], [], set()
    giver, era, life = giver_class(LEASE, 1, 0), 1, 3
    for now in range(0, 12 * LEASE, 10_000):
        for at in sorted([mail for mail in post if mail[0] <= now], key=lambda mail: mail[:2]):
            post.remove(at)
            _, _, who, one_life, ask, body = at
            if ask is not None:
                claims = giver.ask(int(now), f"p{who}", one_life, *ask, body)
                for _ in range(chance.choice([0, 1, 1, 1, 2])):
                    post.append(
                        (
                            now + chance.choice([1_000, 200_000, 900_000]),
                            chance.random(),
                            who,
                            one_life,
                            None,
                            (era, ask[1], claims),
                        )
                    )
            elif one_life == lives[who] and now >= stopped[who]:
                told, number, claims = body
                if told != eras[who]:
                    eras[who] = told
                    holders[who].lost()
                else:
                    holders[who].on_answer(int(now * speed[who]), number, claims)
        if chance.random() < 0.002:
            era += 1
            giver = giver_class(LEASE, era, now + LEASE)
        for who in range(3):
            if chance.random() < 0.001:
                life += 1
                holders[who], lives[who], drawn[who], eras[who] = holder_class(DRIFT), life, 0, 0
            if chance.random() < 0.001:
                stopped[who] = now + chance.choice([LEASE // 2, 2 * LEASE])
            if chance.random() < 0.02:
                wanted[who] = [resource for resource in "ef" if chance.random() < 0.6]
            if now >= stopped[who] and chance.random() < 0.06:
                drawn[who] += 1
                wishes = holders[who].ask(int(now * speed[who]), drawn[who], wanted[who])
                for _ in range(chance.choice([0, 1, 1, 1, 2])):
                    post.append(
                        (
                            now + chance.choice([1_000, 100_000, 700_000]),
                            chance.random(),
                            who,
                            lives[who],
                            (eras[who], drawn[who]),
                            wishes,
                        )
                    )
        for resource in "ef":
            those = [who for who in range(3) if resource in holders[who].held(int(now * speed[who]))]
            had.update((who, resource, lives[who]) for who in those)
            if len(those) > 1:
                return (now, resource, those), len(had)
    return None, len(had)


def test_no_two_ever_hold_one_thing():
    found = [play(seed) for seed in range(60)]
    assert [broken for broken, _ in found if broken] == []
    assert sum(had for _, had in found) > 300


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
    def ask(self, now, holder, life, era, number, wishes):
        self.heard.pop((holder, life), None)
        return super().ask(now, holder, life, era, number, wishes)


@pytest.mark.parametrize("planted", [LateEnd, NoDrift, AnyAnswer, NoWait, LateFrees])
def test_planted_faults_are_found(planted):
    kinds = {"holder_class": planted} if issubclass(planted, ClaimHolder) else {"giver_class": planted}
    assert any(play(seed, **kinds)[0] for seed in range(300))


def test_the_first_by_lot_asks_at_once_and_the_next_a_step_later():
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


# ---- what the module is told


def test_rights_end_before_a_decision_is_made_on_them():
    found, told = rights()
    found.claim_requests(0, 1)
    found.on_answer(10, 1, [Claim("e", LEASE)])
    found.publish_changes(20)
    assert told[-1] == {"": math.inf, "*": 0.0, "e": 1.0}
    found.publish_changes(5 * LEASE)  # it was stopped for long: nothing else was called
    assert told[-1] == {"": math.inf, "*": 0.0}


def test_who_has_no_slices_claims_nothing_and_gives_up_what_it_had():
    found, told = rights()
    found.claim_requests(0, 1)
    found.on_answer(10, 1, [Claim("e", LEASE)])
    found.fleet = found.fleet._replace(has_slices=lambda: False)
    assert found.claim_requests(20, 2) == [
        ClaimRequest("e", True)
    ]  # the charge may be given anew in a moment
    found.on_answer(30, 2, [Claim("e", 2 * LEASE)])
    assert found.claim_requests(LEASE + 20, 3) == [] and told[-1] == {"": math.inf, "*": 0.0}


def test_moves_are_told_by_right_and_end():
    found, told = rights(claims=False, budget="m", right=(3, 500))
    found.publish_changes(0)
    assert told == [{"": 3}]
    found.moves_grant = lambda now: (1, 1 << 60)
    found.publish_changes(499)
    assert told == [{"": 3}]
    found.publish_changes(500)
    assert told[-1] == {"": 1}


def module(right, cold=False):
    """Eight endpoints of which one has all slices and is jammed; `cold`: one of the others has just come."""
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


def moved(pilot, until=400_000):
    """How many slices were on their way to a named endpoint at a time, at most."""
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
    pilot.lease = pilot.settle_time = 30_000  # so that moves take a while
    pilot.single_owner = True
    got, went = moved(pilot)
    assert got == most and (went > 0) == (most > 0)


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
    """A busy deploy on the virtual clock; with room for a thousand the pilots have more under way than two at a time."""
    under_way, worst, publish_changes = {}, [0], DecisionBudgets.publish_changes

    def seen(self, now):
        publish_changes(self, now)
        under_way[self.schedule.me] = self.fleet.moves_in_flight()
        worst[0] = max(worst[0], sum(under_way.values()))

    monkeypatch.setattr(DecisionBudgets, "publish_changes", seen)
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
        'budgets {{\n    claim_cold = true\n    budget "moves" {{\n      use = "handovers"\n      held = 4\n      floor = 1\n    }}\n',
        1,
    )
)
COLD = [f"c{n}" for n in range(8)]


class Warming(spenders.Spenders):
    """A store and three pilots; after a while eight endpoints come, cold for a minute."""

    def __init__(self, folder, **named):
        super().__init__(folder, spenders=0, text=TEXT, **named)
        self.until(lambda: all(self.ask(name) for name in self.names), 20)
        self.until(
            lambda: sum(len(self.log(name, "given")) > 0 for name in self.names) == len(self.names), 20
        )
        time.sleep(2 * spenders.LEASE)
        entries = [
            {"endpoint": "e", "phase": "on", "start": "1"},
            *({"endpoint": one, "phase": "on", "start": "2"} for one in COLD),
        ]
        (folder / "next.json").write_text(json.dumps({"endpoints": entries}))
        (folder / "next.json").replace(folder / "list.json")
        self.until(self.all_held, 20)

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

    def until(self, true, seconds):
        end = time.monotonic() + seconds
        while not true():
            assert time.monotonic() < end, self.held()
            time.sleep(0.1)

    def spans(self, ends):
        """(endpoint, begin, end, pilot) in us of all claims by the pilots' logs; `ends`: when killed or stopped ones stopped doing anything."""
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

    def alone(self, **ends):
        spans = self.spans(ends)
        assert spans and len({one for one, *_ in spans}) == len(COLD)
        return all(one[0] != other[0] or one[2] <= other[1] for one, other in zip(spans, spans[1:])), spans


@pytest.fixture
def warming(tmp_path):
    made = []

    def build(**named):
        made.append(Warming(tmp_path, **named))
        return made[-1]

    yield build
    for one in made:
        one.end()


SETTLED = (
    1.0  # s; a claim is begun, and written to the log, at the pilot's next beat after it has heard of it
)


def now_us():
    return int(time.monotonic() * 1e6)


def test_a_killed_pilots_endpoints_are_warmed_by_the_others(warming):
    w = warming()
    had = [one for name, one in w.held() if name == "p1"]
    assert had and len({name for name, _ in w.held()}) == 3
    at = now_us()
    w.kill("p1")
    w.until(lambda: w.all_held("p0", "p2"), 6 * spenders.LEASE)

    def taken_by_others():
        return [begin for one, begin, _, name in w.spans({"p1": [at]}) if one in had and name != "p1"]

    w.until(lambda: len(taken_by_others()) == len(had), SETTLED)
    good, spans = w.alone(p1=[at])
    assert good, spans
    taken = taken_by_others()
    assert len(taken) == len(had) and min(taken) > at + 1_000_000  # not before its lease had run out


def test_a_stopped_pilot_has_nothing_left_when_it_wakes(warming):
    w = warming()
    at = now_us()
    w.signal("p0", signal.SIGSTOP)
    w.until(lambda: w.all_held("p1", "p2"), 6 * spenders.LEASE)
    w.signal("p0", signal.SIGCONT)
    woke = now_us()
    time.sleep(1)
    good, spans = w.alone(p0=[at])
    assert good, spans
    ended = [row["at_us"] for row in w.log("p0", "claim") if not row["held"]]
    assert ended and max(ended) < woke + 900_000


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_pilot_cut_from_the_store_one_way_gives_up_before_another_begins(warming, way):
    w = warming()
    w.way("p2", way, "drop")
    w.until(lambda: w.all_held("p0", "p1"), 8 * spenders.LEASE)
    w.way("p2", way, "pass")
    time.sleep(1)
    good, spans = w.alone()
    assert good, spans


def test_a_pilot_that_leaves_hands_on_at_once(warming):
    w = warming()
    had = [one for name, one in w.held() if name == "p1"]
    at = now_us()
    w.leave("p1")
    w.until(lambda: w.all_held("p0", "p2"), 4 * spenders.LEASE)
    good, spans = w.alone()
    assert good, spans
    assert had and min(begin for one, begin, _, name in spans if one in had and name != "p1") < at + 1_900_000


def test_a_store_that_comes_back_in_time_changes_nothing(warming):
    w = warming()
    before = sorted(w.held())
    w.kill("store")
    w.start("store")
    time.sleep(2 * spenders.LEASE)
    assert sorted(w.held()) == before
    good, spans = w.alone()
    assert good and len(spans) == len(COLD), spans
