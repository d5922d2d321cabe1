"""Each rule checker on records built by hand, held and broken; and one short day on real sockets."""

import os

import pytest

from cedarshift.rehearsal import rules
from cedarshift.rehearsal.answer import answer_kept
from cedarshift.rehearsal.day import load_day
from cedarshift.rehearsal.evidence import AnswerBounds, Evidence, Limits, Row, read_records
from cedarshift.rehearsal.run import play

SECOND = 1_000_000
LIMITS = Limits(
    empty_for=5_000_000,
    drain_grace=3_000_000,
    warm_within=15_000_000,
    lines_waiting_most=100,
    lines_per_message=10,
    messages_most=2,
    messages_span=10_000_000,
    once_only=frozenset({"put"}),
)


def evidence(*rows, end=60_000_000, **limits):
    made = [Row(int(at * 1e6), who, what, list(told)) for at, who, what, *told in rows]
    return Evidence(Limits(**{**LIMITS.__dict__, **limits}), sorted(made, key=lambda r: r.at), 0, end)


def accept(at, who, op, number=0, kind="put", writes=True, overdue=None):
    return (at, who, "accept", op, number, kind, 0, "x0", writes, 1000, int((overdue or at + 3) * 1e6))


STARTS = [(0, "e0", "start", "A", "z", 4, 1.0, True), (0, "e1", "start", "B", "z", 4, 1.0, True)]


def grant(at, owner, epoch=1, mark=1, who="x0", number=0):
    return (at, who, "order", "p0", 1, 0, 1, mark, [[number, owner, 1.0, epoch]])


JOINED = [(1, "x0", "joined", "p0", ""), (2, "x0", "slice", 0, "A", False, "p0")]


@pytest.mark.parametrize(
    "rows, held",
    [
        (JOINED, True),
        (
            JOINED + [(10, "x0", "slice", 0, "", False, "p0"), (14.9, "x0", "slice", 0, "B", False, "p0")],
            True,
        ),
        (
            JOINED + [(10, "x0", "slice", 0, "", False, "p0"), (15.1, "x0", "slice", 0, "B", False, "p0")],
            False,
        ),
        (JOINED + [(10, "x0", "slice", 0, "", False, "p0")], False),
        (JOINED + [(10, "x0", "slice", 0, "", False, "p0"), (12, "x0", "lost", "p0", "")], True),
        (
            JOINED
            + [
                (10, "x0", "slice", 0, "", False, "p0"),
                (12, "x0", "lost", "p0", ""),
                (20, "x0", "joined", "p0", ""),
            ],
            False,
        ),
        (JOINED + [(10, "x0", "slice", 0, "", False, "p0"), (12, "x0", "start", "x0", "z", "plain")], True),
    ],
)
def test_rule_one(rows, held):
    assert rules.nobody_without(evidence(*rows)).held is held


MOVE = STARTS + [grant(1, "A"), grant(10, "B", mark=2)]


@pytest.mark.parametrize(
    "rows, held",
    [
        (
            MOVE
            + [
                accept(2, "e0", "a"),
                (3, "e0", "end", "a", "acked"),
                accept(11, "e1", "b"),
                (12, "e1", "end", "b", "acked"),
            ],
            True,
        ),
        # a write in hand at the old owner while the new one takes another
        (MOVE + [accept(9, "e0", "a"), accept(11, "e1", "b"), (11.5, "e0", "end", "a", "acked")], False),
        # the same, but the first was over by its op timeout, whenever the hung endpoint noticed
        (
            MOVE
            + [accept(7, "e0", "a", overdue=10), accept(11, "e1", "b"), (19, "e0", "end", "a", "expired")],
            True,
        ),
        # a former owner after a later one, with nothing in hand
        (MOVE + [accept(11, "e1", "b"), (11.1, "e1", "end", "b", "acked"), accept(12, "e0", "c")], False),
        # back to the former owner by a new grant
        (
            MOVE
            + [
                accept(11, "e1", "b"),
                (11.1, "e1", "end", "b", "acked"),
                grant(15, "A", mark=3),
                accept(16, "e0", "c"),
            ],
            True,
        ),
        # a late copy of the old grant at another proxy is no new grant
        (
            MOVE
            + [
                accept(11, "e1", "b"),
                (11.1, "e1", "end", "b", "acked"),
                grant(15, "A", mark=1, who="x1"),
                accept(16, "e0", "c"),
            ],
            False,
        ),
        # a grant that only a later giving shows
        (
            STARTS
            + [
                grant(1, "A"),
                (9, "x0", "held", "p1", [[0, 2, "B"]]),
                accept(10, "e1", "b"),
                (10.1, "e1", "end", "b", "acked"),
                accept(12, "e0", "c"),
            ],
            False,
        ),
        # an endpoint's end ends what it had in hand
        (MOVE + [accept(9, "e0", "a"), (9.5, "e0", "died"), accept(11, "e1", "b")], True),
        # reads go anywhere
        (MOVE + [accept(11, "e1", "b"), accept(12, "e0", "c", kind="get", writes=False)], True),
        # a once-only op taken in twice
        (MOVE + [accept(2, "e0", "a"), (2.1, "e0", "end", "a", "failed"), accept(3, "e0", "a")], False),
    ],
)
def test_rule_two(rows, held):
    assert rules.one_owner(evidence(*rows)).held is held


TOLD = [(1, "x0", "joined", "p0", ""), (10, "list", "told", "p0", 2, [["A", "fading", "1"]])]


def send(at, endpoint="A", pilot="p0", number=0):
    return (at, "x0", "send", "op", number, "get", endpoint, pilot, 1)


@pytest.mark.parametrize(
    "rows, held",
    [
        (TOLD + [send(12.9)], True),
        (TOLD + [send(13.1)], False),
        (TOLD + [send(13.1, "B")], True),
        (TOLD + [send(13.1, pilot="p1")], True),
        (TOLD + [(11, "x0", "lost", "p0", ""), send(14)], True),
        (TOLD + [(11, "x0", "lost", "p0", ""), (12, "x0", "joined", "p0", ""), send(14)], True),
        (TOLD + [(11, "x0", "lost", "p0", ""), (12, "x0", "joined", "p0", ""), send(15.1)], False),
        (TOLD + [(12, "x0", "held", "p0", [[0, 2, "A"]]), send(14)], True),
        (TOLD + [(12, "list", "told", "p0", 3, [["A", "on", "2"]]), send(20)], True),
        (TOLD + [(12, "list", "told", "p0", 3, [["A", "off", "1"]]), send(13.5)], False),
    ],
)
def test_rule_three(rows, held):
    assert rules.drains(evidence(*rows)).held is held


@pytest.mark.parametrize("binds", [True, False])
def test_rule_three_where_gone_does_not_bind(binds):
    rows = [(1, "x0", "joined", "p0", ""), (10, "list", "told", "p0", 2, [["A", "off", "1"]]), send(20)]
    assert rules.drains(evidence(*rows, gone_binds=binds)).held is not binds


def test_rule_four():
    assert rules.no_cold_pushed(evidence(*STARTS)).held
    assert not rules.no_cold_pushed(evidence(*STARTS, (5, "e0", "tipped", 2e6, 0.2, ["a"]))).held


def ordered(at, waited, rows, who="x0"):
    return (at, who, "order", "p0", 1, int(waited * 1e6), rows, 1, [])


@pytest.mark.parametrize(
    "rows, held",
    [
        ([ordered(1, 0.5, 40), ordered(1.4, 0.3, 40, "x1")], True),
        ([ordered(1, 0.5, 45), ordered(1.1, 0.5, 45, "x1")], False),
        ([ordered(1, 0, 1), ordered(5, 0, 1), ordered(11.5, 0, 1)], True),
        ([ordered(1, 0, 1), ordered(5, 0, 1), ordered(10.5, 0, 1)], False),
    ],
)
def test_rule_five(rows, held):
    assert rules.short_queue(evidence(*rows)).held is held


def test_a_record_cut_off_by_a_kill_is_read_up_to_there(tmp_path):
    (tmp_path / "record-e0.jsonl").write_text('[5,"start","A"]\n[7,"accept"\n[9,"died"]\n')
    assert [row.what for row in read_records(str(tmp_path))] == ["start", "died"]


SHORT = """
rehearsal "short" {
  deployment = "deployment-tiles.hcl"
  length = "7s"
  endpoints = 4
  proxies = 3
  clients = 1
  rate = 40
  work = "60ms"
  fault "cut_replies" {
    at = "0s"
    for = "7s"
    which = 1
    share = 0.5
  }
  fault "shrink" {
    at = "100ms"
    drain = "5s"
  }
  fault "kill_pilot_in_order" {
    at = "500ms"
    for = "2s"
    after = 1
  }
}
"""


def test_a_short_day_on_real_sockets_keeps_every_rule(tmp_path):
    """Scaled down from bad-day: seven seconds, three proxies; a drain, a pilot killed in its order, replies cut off."""
    days = os.path.dirname(__file__) + "/../cedarshift/rehearsal/days/"
    (tmp_path / "deployment-tiles.hcl").write_text(open(days + "deployment-tiles.hcl").read())
    (tmp_path / "short.hcl").write_text(SHORT)
    report = play(load_day(str(tmp_path / "short.hcl")), str(tmp_path / "out"), None, None)
    assert report["as_expected"] and all(rule["held"] for rule in report["rules"]), report["rules"]
    said = [what for _, what, _ in report["faults"]]
    assert "killed in an order" in said and report["service"]["ops"] > 100
    assert (
        report["service"]["outcomes"]["tile-order"].get("aborted", 0) > 0
    )  # cut off, answered so, not repeated
    assert next(r for r in report["rules"] if r["rule"] == "one-owner")["figures"]["taken_twice"] == 0


@pytest.mark.parametrize(
    "times, held",
    [
        ([at * 100_000 for at in range(50)], True),  # ten a second, as allowed
        ([0] * 6 + [at * 100_000 for at in range(50)], True),  # the burst and a token a spender besides
        ([0] * 7 + [at * 100_000 for at in range(50)], False),
        ([at * 50_000 for at in range(20)], False),
        ([at * 50_000 for at in range(10)], True),
    ],
)
def test_spends_over_the_whole_and_its_burst_are_told(times, held):
    limits = Limits(0, 0, 0, 0.0, 0.0, 0, 0, frozenset(), {"retries": (10.0, 500_000, 2)})
    rows = [Row(at, "x0", "spend", ["retries"]) for at in sorted(times)] + [
        Row(0, "x0", "spend", ["probes"])
    ] * 99
    verdict = rules.budgets_kept(Evidence(limits, sorted(rows), 0, 6_000_000))
    assert verdict.held is held and verdict.figures["retries_spent"] == len(times)


@pytest.mark.parametrize(
    "bounds, said",
    [
        ({"back_within": 2_000_000}, "is back after its cause"),
        ({"repeats_most": 0.04}, "repeats for each op"),
        ({"earned_least": 0.9}, "earned: "),
        ({"top": "get", "top_least": 0.9}, "earned_of_get: "),
        ({"lapses_most": 1}, "lapsed lease"),
        ({}, ""),
    ],
)
def test_each_bound_on_overload_can_break_and_holds_where_it_is_met(bounds, said):
    """Thirty seconds with an op a second: those from 10 to 20 s aborted, and acked again from 23 s; two repeats, two lapses."""
    rows = []
    for n in range(30):
        outcome = "aborted" if 10 <= n < 23 else "acked"
        rows += [
            (n, "c0", "op", f"o{n}", "get", "k", n * SECOND, 0),
            (n, "x0", "send", f"o{n}", 0, "get", "e", "p0", 1),
            (n + 0.1, "c0", "done", f"o{n}", outcome, 100_000, 1),
        ]
    rows += [(12, "x0", "send", f"o{n}", 0, "get", "e", "p0", 1) for n in (11, 12)]
    rows += [(13, "x0", "turned", f"o{n}", 0, "lease") for n in (13, 14)]
    verdict = answer_kept(
        evidence(
            *rows,
            answer=AnswerBounds(10 * SECOND, 20 * SECOND, **bounds),
            worths={"get": (1.0, 2 * SECOND, 6 * SECOND, 0.15)},
        )
    )
    assert verdict.held == (not said) and all(said in one for one in verdict.breaks)
    assert (
        verdict.figures["back_after_s"] == 3.0
        and verdict.figures["lapses"] == 2.0
        and verdict.figures["earned"] == 0.0
    )
