"""Unit tests of the channel, the intake, the endpoint list, HTTP, the command line and bench days."""

import json

import pytest
from click.testing import CliRunner
from program import SECOND, virtual_loop, write_list

from cedarshift.cli.main import main
from cedarshift.codec.messages import EndpointStats, SliceStats
from cedarshift.loop import StreamBroken, TimedOut, dial, listen
from cedarshift.pilot.channel import PacedChannel
from cedarshift.pilot.intake import Intake
from cedarshift.rehearsal.bench_day import map_day
from cedarshift.roster import FileSource, InvalidList, ServiceSource, StartTimes, parse_list
from cedarshift.roster.entries import ListEntry
from cedarshift.roster.sources import SavedList
from cedarshift.standins.lists import ListPlan, ListService
from cedarshift.web import HttpReply, Pool, serve_http
from cedarshift.web.client import NotSentError

ADDRESS = ("127.0.0.1", 7400)


# ---- channel and intake


def test_messages_leave_at_the_configured_rate_and_in_order():
    c = PacedChannel(1000, 100, 9, 0, 0)
    for n in range(3):
        c.put(0, n, 1, n)
    sent = []
    for now in range(0, 40_000, 1000):
        while (message := c.take(now)) is not None:
            sent.append((now, message.item))
    assert sent == [(10_000, 0), (20_000, 1), (30_000, 2)] and c.waiting == 0 and c.peak == 30


def test_violations_of_the_channels_limits_are_counted():
    c = PacedChannel(1000, 25, 9, 2, 10 * SECOND)
    for _ in range(3):
        c.put(0, 1, 1, None)
    assert c.breaches == 1  # 30 lines were queued
    while c.take(SECOND):
        pass
    assert c.breaches == 2  # three messages were sent to one proxy


def test_messages_queued_for_a_broken_stream_are_dropped():
    c = PacedChannel(1000, 100, 9, 0, 0)
    c.put(0, 1, 1, "a")
    c.put(0, 2, 1, "b")
    c.drop(1)
    assert c.waiting == 10 and c.take(SECOND).item == "b"


def test_reports_beyond_the_intake_rate_accumulate_and_follow_oldest_first():
    i = Intake(2, SECOND, 0)
    for now in (0, 100):
        i.add_endpoint_stats(now, "z", EndpointStats("a", 4, 1, 100, 50))
        i.add_endpoint_stats(now, "y", EndpointStats("b", 2, 2, 0, 50))
        i.add_slice_stats(now, SliceStats(3, 0, 5, 1, 50))
    outcomes, slice_ops = i.take(SECOND)
    assert [(one.endpoint, one.zone, one.tries, one.aborted, one.took) for one in outcomes] == [
        ("a", "z", 8, 2, 100),
        ("b", "y", 4, 4, 0),
    ]
    assert slice_ops == [] and i.lines_waiting() == 1
    assert i.take(2 * SECOND)[1][0][:4] == (3, 0, 10, 2)


def test_more_aborted_than_tried_counts_as_all_aborted():
    i = Intake(9, SECOND, 0)
    i.add_endpoint_stats(0, "z", EndpointStats("a", 2, 9, 100, 50))
    assert i.take(SECOND)[0][0][2:5] == (2, 2, 0)


# ---- endpoint list


@pytest.mark.parametrize(
    "raw, reason",
    [
        (b"{", "truncated"),
        (b'{"endpoints": [{"phase": "on"}]}', "endpoint"),
        (b'{"endpoints": [{"endpoint": "a", "phase": "gone"}]}', r"endpoints\[0\] 'a': phase 'gone'"),
        (b'{"endpoints": [{"endpoint": "a"}, {"endpoint": "a"}]}', r"endpoints\[1\] 'a': stands twice"),
        (b'{"endpoints": [{"endpoint": "a", "size": 0}]}', "above 0"),
        (b'{"endpoints": [], "kind": "some"}', "kind"),
    ],
)
def test_an_invalid_list_is_refused_with_entry_and_reason(raw, reason):
    with pytest.raises(InvalidList, match=reason):
        parse_list(raw, "list")


def test_a_start_time_is_computed_once_and_stays():
    s = StartTimes()
    assert [e.started for e in s.entries(50 * SECOND, [ListEntry("a", start="1")])] == [None]
    assert (
        s.entry(55 * SECOND, ListEntry("c", start="1")).started == 550_000
    )  # added later, so it may be cold
    first = s.entry(60 * SECOND, ListEntry("b", start="1", age_ms=2_000)).started
    assert first == 580_000
    assert s.entry(61 * SECOND, ListEntry("b", start="1", age_ms=3_007)).started == first
    assert s.entry(62 * SECOND, ListEntry("a", start="2")).started == 620_000


def test_an_invalid_file_leaves_the_list_in_force(tmp_path):
    loop, received = virtual_loop(), []
    write_list(tmp_path, [("a", "on", "1")])
    FileSource(
        loop,
        str(tmp_path / "list.json"),
        1000,
        lambda kind, entries: received.append([e.endpoint for e in entries]),
        loop.report,
    )
    loop.run(loop.spawn(loop.sleep(5000), "wait"))
    (tmp_path / "list.json").write_text("{broken")
    loop.run(loop.spawn(loop.sleep(5000), "wait"))
    write_list(tmp_path, [("a", "on", "1"), ("b", "on", "1")])
    loop.run(loop.spawn(loop.sleep(5000), "wait"))
    assert received == [["a"], ["a", "b"]] and [event for event, _ in loop.events] == ["list_refused"]


def entry_of(name, phase="on"):
    return {"endpoint": name, "phase": phase, "size": 1.0, "zone": "z", "start": "1", "born_us": 0}


class NullRecorder:
    def note(self, *details):
        pass


def test_a_list_service_is_followed_through_changes_and_an_outage_and_saved_to_disk(tmp_path):
    loop, received = virtual_loop(), []
    service = ListService(loop, ListPlan(ADDRESS), NullRecorder())
    service._control({"entries": [entry_of("a"), entry_of("b")]})
    saved = SavedList(str(tmp_path / "saved.json"))
    source = ServiceSource(
        loop,
        ADDRESS,
        "p0",
        False,
        saved,
        lambda kind, entries: received.append((kind, [(e.endpoint, e.phase) for e in entries])),
        loop.report,
        lambda: 0.5,
    )
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    service._control({"mode": "unreachable", "for_s": 3})
    service._control({"entries": [entry_of("b", "fading")]})
    loop.run(loop.spawn(loop.sleep(2 * SECOND), "wait"))
    assert received == [("replace", [("a", "on"), ("b", "on")])]
    loop.run(loop.spawn(loop.sleep(4 * SECOND), "wait"))
    assert received[1:] == [("update", [("b", "fading")])] and source.name == "list:" + service.name
    restored = []
    ServiceSource(
        loop,
        ("127.0.0.1", 9),
        "p0",
        False,
        saved,
        lambda kind, entries: restored.append((kind, len(entries))),
        loop.report,
        lambda: 0.5,
    )
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    assert restored == [("restored", 2)]


def test_a_service_that_does_not_answer_a_request_is_reported_as_unavailable():
    loop, kinds = virtual_loop(), []
    source = ServiceSource(
        loop,
        ADDRESS,
        "p0",
        True,
        SavedList(""),
        lambda kind, entries: kinds.append(kind),
        loop.report,
        lambda: 0.5,
    )
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    assert kinds == []
    source.request_list()
    loop.run(loop.spawn(loop.sleep(SECOND), "wait"))
    assert kinds == ["unavailable"]


# ---- HTTP


def web(handler):
    loop = virtual_loop()
    loop.spawn(serve_http(loop, listen(loop, ADDRESS), handler), "http")
    return loop, Pool(loop, 100_000)


def request(loop, pool, **options):
    return loop.run(
        loop.spawn(
            pool.request(
                ADDRESS,
                "POST",
                "/op",
                [("x-a", "1")],
                options.get("body", b"hi"),
                loop.now() + options.get("within", SECOND),
            ),
            "ask",
        )
    )


def test_a_connection_is_kept_for_the_next_request():
    def handler(received):
        yield from loop.yield_control()
        return HttpReply(200, received.body + received.headers["x-a"].encode())

    loop, pool = web(handler)
    assert [request(loop, pool).body for _ in range(3)] == [b"hi1"] * 3 and pool.dialled == 1


@pytest.mark.parametrize(
    "answer, error",
    [(HttpReply(200, b"hello", cut=2), StreamBroken), (HttpReply(200, None), StreamBroken), (None, TimedOut)],
)
def test_an_incomplete_or_missing_reply_is_an_error(answer, error):
    def handler(received):
        yield from loop.sleep(0 if answer else 10 * SECOND)
        return answer

    loop, pool = web(handler)
    with pytest.raises(error) as raised:
        request(loop, pool)
    assert not isinstance(raised.value, NotSentError)


def test_a_refused_connection_sends_nothing():
    loop = virtual_loop()
    with pytest.raises(NotSentError):
        request(loop, Pool(loop, 100_000))


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"GARBAGE\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 20_000, b"431"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 90000\r\n\r\n" + b"z" * 90_000, b"413"),
    ],
)
def test_a_request_beyond_a_limit_is_answered_with_the_reason(raw, status):
    loop, _ = web(lambda received: iter(()))

    def client():
        stream = yield from dial(loop, ADDRESS)
        stream.write(raw)
        return (yield from stream.read(loop.now() + SECOND))

    assert status in loop.run(loop.spawn(client(), "client"))[:20]


# ---- command line and bench days


@pytest.mark.parametrize(
    "arguments, code, output",
    [
        (["version"], 0, "cedarshift 0"),
        (["check", "examples/lone.hcl"], 0, "32 slices"),
        (["check", "cedarshift/rehearsal/days/bad-day.hcl"], 0, "sound"),
        (["check", "none.hcl"], 1, "No such file"),
        (["pilot", "examples/lone.hcl", "p9"], 1, "there are p0"),
        (["rehearse", "none"], 1, "days: bad-day"),
        (["tables", "examples/lone.hcl", "p0"], 1, "127.0.0.1:7180"),
    ],
)
def test_the_command_line_reports_errors(arguments, code, output):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code and output in result.output


def bench_day(troubles, **changes):
    tier = {
        "stated_cold": 15_000_000,
        "stated_cold_from": 0.2,
        "connect_timeout": 500_000,
        "kinds": [{"name": "k", "cores": 4, "queue": 40}],
    }
    fam = {
        "slices": 60,
        "controllers": [0, 1],
        "exclusive": True,
        "pick": "round",
        "admit": "share",
        "intake": 150.0,
        "takeover": 2_000_000,
        "rehome": 3_000_000,
        "rate": 5000.0,
        "backlog": 8000.0,
        "head": 16.0,
        "messages_most": 0,
        "late": 270_000,
        "lease": 800_000,
        "settle": 3_020_000,
        "hold": 200_000,
        "period": 2_000_000,
        "apply": 30.0,
        "ejects": 3,
        "usual_how": 0,
        "bare": 12_000_000,
    }
    return {
        "family": "control",
        "site": "s",
        "kind": "trouble",
        "length": 50_000_000,
        "noise": 7,
        "zones": ["a", "b"],
        "servers": [{"up": True, "kind": 0, "speed": 1.0}] * 20,
        "balancers": [{}] * 16,
        "tiers": [tier],
        "fam": fam,
        "traffic": {"load": 0.5, "keys": 1000, "key_zipf": 0.5},
        "clients": {"retries": 2},
        "drain_grace": 4_000_000,
        "fall_multiple": 3.0,
        "fall_for": 1_500_000,
        "discovery": {"notice": 3_000_000, "add": 2_000_000},
        "classes": [
            {
                "name": "get",
                "share": 0.7,
                "work": 300_000,
                "io": 0,
                "aim": 2_000_000,
                "deadline": 6_000_000,
                "worth": 3.0,
                "late_worth": 0.1,
                "effect": "safe",
                "write": False,
            },
            {
                "name": "put",
                "share": 0.3,
                "work": 300_000,
                "io": 0,
                "aim": 2_000_000,
                "deadline": 3_000_000,
                "worth": 2.0,
                "late_worth": 0.1,
                "effect": "unsafe",
                "write": True,
            },
        ],
        "troubles": troubles,
        **changes,
    }


def trouble(kind, on=(), size=0.5, extra=0.0, which=0, steps=()):
    return {
        "kind": kind,
        "at": 9_000_000,
        "len": 5_000_000,
        "size": size,
        "extra": extra,
        "on": list(on),
        "which": which,
        "steps": list(steps),
    }


@pytest.mark.parametrize(
    "given, faults, line",
    [
        (trouble("crash", on=[3, 7]), ["kill_endpoint"], "1 endpoints are killed"),
        (trouble("balancer_crash", on=[16]), ["kill_pilot"], "1 pilots and 0 proxies"),
        (trouble("balancer_crash", on=[0, 1, 2, 3]), ["kill_proxy"] * 2, "0 pilots and 2 proxies"),
        (trouble("hot_key", size=0.2, extra=2.5), ["hot_key"] * 2, "2 keys draw 0.200"),
        (
            trouble("deploy", extra=3.0, steps=[{"at": 9_000_000, "stop": [1, 2], "start": [20, 21]}] * 4),
            ["deploy"] * 4,
            "4 endpoints",
        ),
        (trouble("pauses", on=[1], size=200.0, extra=1.0), ["hang"] * 5, "200 ms, 5 times"),
        (trouble("false_reports"), [], "NOT PLAYED"),
        (trouble("sharks"), [], "NOT PLAYED, an unknown kind"),
    ],
)
def test_a_bench_days_troubles_are_played_or_reported_as_unsupported(tmp_path, given, faults, line):
    path = tmp_path / "day.json"
    path.write_text(json.dumps(bench_day([given])))
    day, lines = map_day(str(path))
    assert [f.kind for f in day.faults] == faults and any(line in printed for printed in lines)
    assert all(f.at >= 9_000_000 for f in day.faults) and (day.endpoints, day.proxies) == (10, 8)


@pytest.mark.parametrize("changes", [{"family": "proxy"}, {"fam": {}}, {"tiers": []}])
def test_a_file_that_is_no_bench_day_is_refused(tmp_path, changes):
    path = tmp_path / "day.json"
    path.write_text(json.dumps(bench_day([], **changes)))
    with pytest.raises(ValueError, match="day.json: "):
        map_day(str(path))
