import errno
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from platform_parts import (
    PILOT,
    SETTINGS,
    ListAgent,
    Relay,
    Stage,
    configuration,
    connect_and_send,
    frame,
    instance,
    listing,
    make_config,
)
from program import SECOND

from cedarshift.codec.platform.errors import ConfigError, ConfigNotReady
from cedarshift.loop import dial
from cedarshift.loop.epoll import real_loop
from cedarshift.observations import OWNED, REVOKING, SETTLING
from cedarshift.platform.log import MAX_COUNTED_EVENTS, MAX_LINES_PER_WINDOW, WINDOW_US, make_report
from cedarshift.platform.start import apply_reload
from cedarshift.rehearsal.fleet import Ports

LINE, OTHER = ("line", 0, "a", 1), ("line", 1, "b", 1)
OUTCOMES = dict(t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0)


# ---- relay calls


@pytest.mark.parametrize("outcome", ["silent", "lost", "spoilt"])
def test_a_call_without_an_answer_is_made_again_before_anything_later(outcome):
    stage = Stage().run(1)
    stage.relay.script = [outcome, outcome]
    stage.order(LINE, ("mark", 9, True))
    stage.order(OTHER)  # decided during the call: has to wait
    stage.run(3)
    first = ["share,0,a,1", "mark,9,1"]
    assert [orders for _, orders in stage.relay.calls] == [first, first, first, ["share,1,b,1"]]
    assert len({number for number, _ in stage.relay.calls[:3]}) == 3  # each retry on a new connection


@pytest.mark.parametrize("outcome", ["silent", "spoilt"])
@pytest.mark.parametrize(
    "acks, calls",
    [
        (["node=1&nonce=9&latency=5.0"], 1),
        (["node=1&nonce=8&latency=5.0"], 2),
        (["node=7&nonce=9&latency=5.0"], 2),
        ([], 2),
    ],
)
def test_a_call_whose_mark_is_acked_was_carried_out_and_is_not_made_again(outcome, acks, calls):
    stage = Stage().run(1)
    stage.relay.script = [outcome]
    stage.order(LINE, ("mark", 9, True))
    stage.run(0.3)
    for ack in acks:
        stage.relay.send_event("ack", ack)
    stage.run(1)
    assert [orders for _, orders in stage.relay.calls] == [["share,0,a,1", "mark,9,1"]] * calls
    assert not stage.pilot.calls.busy and stage.pilot.slices[0] == "a"


def test_an_ack_proves_nothing_about_orders_after_its_mark():
    stage = Stage().run(1)
    stage.relay.script = ["silent", "lost"]
    stage.order(("level", 0, 2, 0, 0), ("mark", 9, True))
    stage.run(0.3)
    stage.pilot._reopen_slice(0, "admit,0,put,1,0")
    stage.run(0.4)  # retried with the order after the mark, and lost
    stage.relay.send_event("ack", "node=0&nonce=9&latency=5.0")
    stage.run(0.5)
    assert [orders for _, orders in stage.relay.calls[1:]] == [
        ["admit,0,put,0,0", "mark,9,1", "admit,0,put,1,0"],
        ["admit,0,put,1,0"],
    ]


def test_an_order_that_is_not_accepted_is_dropped_and_the_rest_is_sent():
    stage = Stage().run(1)
    stage.relay.script = [1]
    stage.brain.slices[1].owner = "never-listed"
    stage.order(LINE, ("line", 1, "never-listed", 1), ("line", 2, "b", 1), ("mark", 9, True))
    stage.run(0.3)
    assert [orders for _, orders in stage.relay.calls[:2]] == [
        ["share,0,a,1", "share,1,never-listed,1", "share,2,b,1", "mark,9,1"],
        ["share,2,b,1", "mark,9,1"],
    ]
    assert stage.logged("order_refused")[0]["order"] == "share,1,never-listed,1"
    assert stage.brain.slices[1].owner == "b" == stage.pilot.slices[1]  # same as in the store


def test_calls_to_a_busy_relay_are_retried_with_a_delay():
    stage = Stage().run(1)
    stage.relay.script = ["busy"] * 10
    stage.order(LINE)
    stage.run(0.55)
    assert 3 < len(stage.relay.calls) < 7
    stage.run(2)
    assert len(stage.relay.calls) == 11 and stage.relay.connections < 5


@pytest.mark.parametrize("back", [False, True])
def test_orders_of_a_removed_slice_are_not_retried(back):
    stage = Stage().run(1)
    stage.relay.script = ["silent"]
    stage.order(("line", 0, "b", 1), OTHER, ("mark", 9, True))
    stage.run(0.05)
    stage.relay.send_event("lease", "shard=0&set=0")
    if back:
        stage.relay.send_event("lease", "shard=0&set=1")
        stage.relay.send_event("line", "shard=0&endpoint=a&w=1.0")
    stage.run(1)
    assert [orders for _, orders in stage.relay.calls[:2]] == [
        ["share,0,b,1", "share,1,b,1", "mark,9,1"],
        ["share,1,b,1", "mark,9,1"],
    ]
    assert (0 in stage.brain.slices) is back and (not back or stage.brain.slices[0].owner == "a")


# A slice that went and came back while its grant waited for a retry was granted by the former proof.
def test_orders_of_a_slice_removed_during_the_delay_before_a_retry_are_not_sent():
    stage = Stage(proxies=()).run(1)
    stage.relay.script = ["lost"] * 6
    stage.order(("line", 0, "b", 1), OTHER, ("mark", 9, True))
    while len(stage.relay.calls) < 6:
        stage.run(0.01)
    for event in ("shard=0&set=0", "shard=0&set=1"):
        stage.relay.send_event("lease", event)
    stage.run(1)
    assert [orders for _, orders in stage.relay.calls[5:7]] == [
        ["share,0,b,1", "share,1,b,1", "mark,9,1"],
        ["share,1,b,1", "mark,9,1"],
    ]


def test_ack_latency_counts_from_the_decision_however_late_the_call_was_accepted():
    stage = Stage().run(1)
    stage.relay.script = ["lost", "lost"]
    stage.brain.channel.send(stage.pilot._now(), 9, 0, 1)
    decided = stage.pilot._now()
    stage.order(("mark", 9, True))
    stage.run(1.5)
    taken = stage.pilot.marks[9].accepted_at // 100 + stage.pilot.start_times.base // 100
    assert taken - decided >= 90  # 9 ms or more of retries
    stage.relay.send_event("ack", "node=0&nonce=9&latency=5.0")
    stage.run(0.05)
    assert stage.brain.proxies[0].acked_at >= taken + 50


@pytest.mark.parametrize(
    "ack",
    [
        "node=0&nonce=77&latency=1",
        "node=9&nonce=9&latency=1",
        "node=0&nonce=9&latency=-1",
        "node=0&nonce=9&latency=inf",
        "node=0&nonce=9",
    ],
)
def test_invalid_acks_are_ignored(ack):
    stage = Stage().run(1)
    stage.order(("mark", 9, True))
    stage.run(0.1)
    stage.relay.send_event("ack", ack)
    stage.run(0.1)
    assert [p.acked for p in stage.brain.proxies.values()] == [None, None]


def test_an_exception_in_the_module_is_logged_and_its_alarms_continue(monkeypatch):
    stage = Stage().run(1)
    monkeypatch.setattr(stage.brain, "_send_batch", lambda now: 1 // 0)
    stage.run(1)
    assert "ZeroDivisionError" in stage.logged("module_failed")[0]["error"]
    monkeypatch.undo()
    alarms_before = stage.brain.alarm_nonce
    stage.run(1)
    assert stage.brain.alarm_nonce > alarms_before + 10


def test_later_line_events_of_a_slice_do_not_end_its_hand_over():
    stage = Stage().run(1)
    stage.brain.slices[0].state = REVOKING
    stage.relay.send_event("line", "shard=0&endpoint=a&w=1.0")
    stage.run(0.01)
    assert stage.brain.slices[0].state == REVOKING


@pytest.mark.parametrize("how", ["cut", "silent"])
def test_an_event_stream_that_ends_or_goes_silent_is_reopened_and_reconciled(how):
    stage = Stage(proxies=(0, 1, 2)).run(1)
    stage.relay.set_snapshot((1, 2, 3), {1: "b", 2: "b", 3: "b"})
    before, joined = dict(stage.brain.slices), stage.brain.proxies[1]
    if how == "cut":
        stage.relay.cut()
    else:
        stage.heartbeats = False
        stage.run(3)
        # Without a heartbeat the snapshot may be incomplete.
        assert stage.brain.proxies[0].joined and 0 in stage.brain.slices
        stage.heartbeats = True
    stage.run(4)
    assert stage.pilot.events.counts["streams"] >= 2 and (how == "cut" or stage.relay.closed_by_pilot)
    assert {n for n, p in stage.brain.proxies.items() if p.joined} == {1, 2, 3}
    assert stage.brain.proxies[1] is not joined  # joins again, as its stream may have broken
    assert sorted(stage.brain.slices) == [1, 2, 3]
    assert stage.brain.slices[1] is before[1]  # unchanged
    assert (
        stage.brain.slices[2] is not before[2] and stage.brain.slices[2].owner == "b"
    )  # moved by another pilot


@pytest.mark.parametrize(
    "gap, flaps, answered, state",
    [
        (0.2, False, True, REVOKING),
        (1.5, False, True, OWNED),
        (1.5, False, False, OWNED),
        (0.9, True, True, OWNED),
    ],
)  # a stream that breaks during its snapshot does not end a gap
def test_a_hand_over_goes_on_over_a_short_gap_and_is_undone_where_the_slice_may_have_been_away(
    gap, flaps, answered, state
):
    stage = Stage(proxies=(0, 1)).run(1)
    s = stage.brain.slices[0]
    stage.relay.script = [] if answered else ["silent"] * 9
    stage.order(("level", 0, 2, 0, 0))
    s.state, s.writes_closed, s.mark, s.state_since = REVOKING, True, 9, stage.pilot._now()
    stage.brain.endpoints["a"].phase = "fading"  # keeps the module from cancelling the hand-over
    stage.brain.estimated_at = stage.pilot._now() + 10**9
    stage.run(0.1)
    assert stage.pilot.reopen_orders.get(0) == ("admit,0,put,1,0" if answered else None)
    stage.relay.listener.close()
    stage.relay.cut()
    stage.run(gap)
    if flaps:
        flapping_relay = Relay(stage.loop)
        flapping_relay.set_snapshot()
        while not flapping_relay.streams:
            stage.run(0.01)
        flapping_relay.listener.close()
        flapping_relay.cut()
    ordered = len(stage.orders())
    old, stage.relay = stage.relay, Relay(stage.loop)  # calls keep their open connection
    stage.relay.set_snapshot()
    seen = []
    for _ in range(60):
        stage.run(0.02)
        if len(stage.logged("standing")) == 2 and not seen:
            seen = [stage.brain.slices[0] is s]
    assert seen[0] == (state == REVOKING)
    since = [one for _, orders in old.calls for one in orders][ordered:] + stage.orders()
    assert ("admit,0,put,1,0" in since) == (state == OWNED)


@pytest.mark.parametrize("gap", [0.2, 0.9])
@pytest.mark.parametrize("late", [True, False])
def test_a_grant_accepted_after_a_stream_request_outlives_the_older_snapshot(gap, late):
    """A snapshot read before a grant but received after its response must not revert the grant."""
    stage = Stage().run(1)
    stage.brain.estimated_at = stage.pilot._now() + 10**9
    stage.relay.set_snapshot(slices={0: "a", 1: "b", 2: "a", 3: "b"})
    talk = stage.relay._talk
    stage.order(("mark", 8, True))  # opens the connection that later calls use
    stage.run(0.1)
    stage.relay.cut()
    stage.relay._talk = lambda stream, number: delayed_talk(stage, talk, stream, number, gap)
    stage.run(0.1)
    if late:
        stage.order(("line", 0, "b", 1), ("mark", 9, True))
    stage.run(gap + 0.05)
    stage.relay._talk = talk
    if late:
        assert stage.pilot.slices[0] == "b" and stage.pilot.counts["slices_given_anew"] == 0
        stage.relay.set_snapshot(slices={0: "b", 1: "b", 2: "a", 3: "b"})
    stage.run(1.5)
    assert stage.pilot.slices[0] == ("b" if late else "a") and stage.pilot.counts["slices_given_anew"] == 0
    assert not stage.pilot.resync_silence_us
    assert len(stage.logged("standing")) == (3 if late and gap > 0.7 else 2)


def delayed_talk(stage, talk, stream, number, gap):
    """Delays the first bytes of an event stream."""
    yield from stage.loop.sleep(int(gap * 1e6))
    yield from talk(stream, number)


@pytest.mark.parametrize("bad", ["event: ack\ndata: node=x\n\n", "event: new\ndata: a=b\n\n", "data\n\n"])
def test_an_invalid_event_is_skipped(bad):
    stage = Stage().run(1)
    stage.relay._write(bad)
    stage.relay.send_event("bye", "node=1")
    stage.run(0.1)
    assert not stage.brain.proxies[1].joined and stage.pilot.events.counts["streams"] == 1


# ---- discovery


def test_a_watch_begins_at_the_known_revision_and_follows_changes():
    stage = Stage().run(1)
    assert stage.agent.requested_targets == ["/registry/instances?stream=1&index=7"]
    stage.agent.publish(listing(8, instance("a", "draining"), instance("c", started=1_700_000_000_500)))
    stage.run(0.1)
    known = stage.brain.endpoints
    assert (known["a"].phase, known["b"].phase, known["c"].started) == ("fading", "on", 17_000_000_005_000)
    stage.agent.publish(listing(9, instance("c", started=1_700_000_000_500), reset=True))
    stage.run(0.1)
    assert (known["b"].phase, known["c"].phase) == ("off", "on")


@pytest.mark.parametrize("bad", ["{not json\n", '{"generation": 9}\n', None])
def test_a_malformed_or_silent_watch_is_resumed_from_the_last_revision(bad):
    stage = Stage().run(1)
    stage.agent.publish(listing(8, instance("c")))
    stage.run(0.1)
    if bad is None:
        stage.heartbeats = False
    else:
        stage.agent.publish(bad)
    stage.run(6)
    assert stage.agent.requested_targets[1] == "/registry/instances?stream=1&index=8"
    assert stage.brain.endpoints["c"].phase == "on"  # a lost watch does not empty the list


@pytest.mark.parametrize("whose", ["every machine's", "the pilot's alone"])
@pytest.mark.parametrize("step", [3600, 5, -5, -3600])
def test_an_endpoint_warms_up_in_real_time_though_the_wall_clock_was_stepped(step, whose):
    stage = Stage().run(1)
    before = stage.wall_offset
    stage.step_wall_clock(step)
    stage.run(0.1)
    if whose == "the pilot's alone":
        stamp = (stage.loop.now() + before) // 1000
    else:
        stamp = stage.unix_ms()
    stage.agent.publish(listing(8, instance("c", started=stamp)))
    shares = []
    for seconds in (0.1, 7.4, 7.4, 3):
        stage.run(seconds)
        shares.append(round(stage.brain._warmth(stage.brain.endpoints["c"], stage.pilot._now()), 1))
    assert shares == [0.2, 0.6, 1.0, 1.0]  # warm-up from 0.2 within 15 s
    stage.agent.publish(listing(9, instance("c", started=stamp), reset=True))
    stage.run(0.1)
    assert (
        stage.brain._warmth(stage.brain.endpoints["c"], stage.pilot._now()) == 1.0
    )  # the same start time, received again


# ---- listening port


@pytest.mark.parametrize(
    "sent",
    [
        (),
        (b"\0",),
        (b'\0\0\0\x10{"t":',),
        (b"\xff\xff\xff\xff",),
        (b"\0\x10\0\1" + b"x" * 100,),
        (b"\0\0\0\0",),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",),
        (b"POST /api/ HTTP/1.1\r\n\r\n",),
        (b"\0\0\0\x03abc",),
        (frame(t="agent", locality="nowhere"),),
        (frame(t="agent"),),
        (frame(**OUTCOMES),),
        (frame(t="hello", node=99_999),),
        (frame(t="share"),),
        (frame(u=1),),
        (frame(t="probe"),),
    ],
)
def test_connections_that_do_not_join_are_closed_in_time(sent):
    stage = Stage().run(1)
    got, after = stage.do(connect_and_send(stage, *sent))
    assert after is not None and after < 2
    assert not stage.pilot.collectors.unjoined and not stage.logged("task_failed")


def test_probes_are_answered_on_any_connection():
    stage = Stage().run(1)
    alive = frame(t="alive")
    assert stage.do(connect_and_send(stage, frame(t="probe"), frame(t="probe")))[0] == alive * 2
    assert (
        stage.do(connect_and_send(stage, frame(t="agent", locality="za"), frame(t="probe"), until=2))[0]
        == alive
    )


def test_an_invalid_report_is_dropped_and_its_collector_stays_connected():
    stage = Stage().run(1)
    sent = [
        frame(t="agent", locality="za"),
        frame(**OUTCOMES),
        frame(**{**OUTCOMES, "total": "x"}),
        frame(t="news"),
        frame(**OUTCOMES),
    ]
    assert stage.do(connect_and_send(stage, *sent, until=3)) == (b"", None)
    assert len(stage.brain.endpoints["a"].samples) == 2 and stage.pilot.collectors.counts["spoilt"] == 2


@pytest.mark.parametrize(
    "bad", [b"\0\0\0\x03abc", b"\xff\xff\xff\xff", b"\0\0\1\0{", frame(t="probe") * 6_000]
)
def test_a_collector_that_sends_malformed_or_too_many_messages_is_closed_and_another_may_join(bad):
    stage = Stage().run(1)
    assert stage.do(connect_and_send(stage, frame(t="agent", locality="za"), bad))[1] < 6
    stage.do(connect_and_send(stage, frame(t="agent", locality="za"), frame(**OUTCOMES), until=1))
    assert len(stage.brain.endpoints["a"].samples) == 1


def test_hundreds_of_silent_connections_leave_room_for_a_collector():
    stage = Stage().run(1)

    def flood():
        streams = []
        for _ in range(400):
            streams.append((yield from dial(stage.loop, PILOT)))
        got = yield from connect_and_send(
            stage, frame(t="agent", locality="za"), frame(**OUTCOMES), until=0.3
        )
        held = len(stage.pilot.collectors.unjoined)
        return got, held, streams

    got, held, streams = stage.do(flood())
    assert got == (b"", None) and len(stage.brain.endpoints["a"].samples) == 1
    assert held <= 256 // 4 and stage.pilot.collectors.counts["evicted"] >= 400 - held


def test_connections_wait_while_descriptors_are_exhausted(monkeypatch):
    stage = Stage().run(1)
    acceptor = stage.pilot.collectors.listener.acceptor

    def full():
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(acceptor, "accept", full)
    stage.loop.at(stage.loop.now() + 200_000, monkeypatch.undo)
    got, _ = stage.do(connect_and_send(stage, frame(t="probe")))
    assert got == frame(t="alive") and stage.logged("accept_failed")


def test_new_addresses_are_used_and_an_unanswered_call_goes_on_there():
    stage = Stage().run(1)
    stage.relay.script = ["silent"]
    stage.order(LINE, ("mark", 9, True))
    stage.run(0.01)
    new_relay, agent = Relay(stage.loop, ("127.0.0.1", 6401)), ListAgent(stage.loop, ("127.0.0.1", 8501))
    new_relay.set_snapshot()
    new = make_config(registry={"address": "127.0.0.1:6401"}, discovery="127.0.0.1:8501")
    reads = [ConfigError("half written"), ConfigError("half written"), new]

    def read():
        one = reads.pop(0)
        if isinstance(one, ConfigError):
            raise one
        return one

    stage.do(apply_reload(stage.loop, read, stage.pilot, stage.loop.report))
    stage.run(1)
    assert len(stage.logged("reload_refused")) == 2
    assert [orders for _, orders in new_relay.calls] == [["share,0,a,1", "mark,9,1"]]
    assert new_relay.streams and agent.requested_targets == ["/registry/instances?stream=1&index=7"]
    assert stage.brain.slices[0].state == OWNED and len(stage.logged("standing")) == 2


def test_a_configuration_that_stays_unreadable_for_long_is_still_applied():
    stage, reads = Stage().run(1), []
    new = make_config(discovery="127.0.0.1:8501")

    def read():
        reads.append(stage.loop.now())
        if len(reads) < 60:
            raise ConfigNotReady("config.json: Input/output error")
        return new

    stage.do(apply_reload(stage.loop, read, stage.pilot, stage.loop.report))
    assert (
        stage.pilot.discovery.watch.address == ("127.0.0.1", 8501)
        and 40 * SECOND < reads[-1] - reads[0] < 60 * SECOND
    )


def test_an_exception_while_orders_are_sent_does_not_stop_later_orders(monkeypatch):
    stage = Stage().run(1)
    ask, faults = stage.pilot.calls.pool.request, [OSError(errno.ENOMEM, "no memory"), ZeroDivisionError()]

    def failing(*arguments):
        if faults:
            raise faults.pop()
        return ask(*arguments)

    monkeypatch.setattr(stage.pilot.calls.pool, "request", failing)
    stage.order(LINE, ("mark", 9, True))
    stage.run(1.5)
    assert [orders for _, orders in stage.relay.calls][0] == ["share,0,a,1", "mark,9,1"]
    assert not stage.pilot.calls.busy and len(stage.logged("task_failed")) == 2


def test_signals_of_a_real_process(tmp_path):
    ports = Ports(real_loop())
    listen, nobody = (f"{host}:{port}" for host, port in (ports.take(), ports.take()))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(listen=listen, discovery=nobody, registry={"address": nobody})))
    variables = {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": nobody,
        "RELAY_CONFIG": str(path),
    }
    ports.release()
    process = subprocess.Popen(
        [sys.executable, "-m", "cedarshift", "platform"],
        env={**os.environ, **variables},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert "pilot_serves" in process.stderr.readline()
        path.write_text("{")  # incomplete
        process.send_signal(signal.SIGHUP)
        while "reload_refused" not in (line := process.stderr.readline()):
            assert line, "the process has ended"
        with socket.create_connection(tuple(listen.rsplit(":", 1)), timeout=5) as asking:
            asking.sendall(frame(t="probe"))
            assert asking.recv(100) == frame(t="alive")
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
    finally:
        process.kill()
        process.wait()


def test_log_lines_are_rate_limited_and_count_suppressed_ones():
    lines = []
    clock = type("Clock", (), {"time": 0, "now": lambda self: self.time})()
    report = make_report(clock, "n0", lines.append)
    for _ in range(1000):
        report("spoilt", reason="x")
    clock.time = WINDOW_US
    report("spoilt", reason="y")
    for number in range(10 * MAX_COUNTED_EVENTS):
        report(f"event {number}")
    assert [json.loads(line)["event"] for line in lines].count("spoilt") == MAX_LINES_PER_WINDOW + 1
    assert json.loads(lines[MAX_LINES_PER_WINDOW])["held_back"] == 1000 - MAX_LINES_PER_WINDOW


def stage_with_held_line():
    """A stage whose slice 0 was revoked from its owner, then restored with op types blocked."""
    family = {**SETTINGS["family_info"], "empty_for_ns": 8_000_000_000}
    stage = Stage(settings={**SETTINGS, "family_info": family}).run(2)
    stage.agent.publish(listing(8, instance("a", "draining")))
    stage.run(7)
    orders = stage.orders()
    assert stage.pilot.held_lines == {0, 2} and orders.index("admit,0,*,0,0") < orders.index("share,0,a,1")
    return stage


def test_a_held_line_is_revoked_again_after_a_long_event_stream_outage():
    stage = stage_with_held_line()
    stage.heartbeats = False
    stage.run(1)  # longer than another pilot needs to take over
    stage.relay.set_snapshot(slices={0: "a", 1: "b", 2: "a", 3: "b"})
    before = len(stage.orders())
    stage.relay.cut()
    stage.heartbeats = True
    stage.run(3)
    orders_after = stage.orders()[before:]
    assert "share,0,a,0" in orders_after and not any(
        one.startswith(("admit,0,put,1", "admit,0,*,1", "share,0,b")) for one in orders_after
    )
    for proxy in (0, 1):
        stage.relay.send_event("ack", f"node={proxy}&nonce={stage.brain.mark}&latency=10.0")
    stage.run(3)
    orders_after = stage.orders()[before:]
    assert (
        orders_after.index("share,0,a,0")
        < orders_after.index("share,0,b,1")
        < orders_after.index("admit,0,*,1,0")
    )
    assert not stage.pilot.held_lines and 0 not in stage.pilot.reopen_orders


def test_a_held_line_stays_through_a_short_event_stream_outage():
    stage = stage_with_held_line()
    stage.relay.set_snapshot(slices={0: "a", 1: "b", 2: "a", 3: "b"})
    before = len(stage.orders())
    stage.relay.cut()
    stage.run(1)
    assert (
        not any(one.startswith(("share,0", "admit,0")) for one in stage.orders()[before:])
        and stage.brain.slices[0].line_restored
    )


def test_an_emptied_slice_keeps_waiting_for_its_proxies_over_an_event_stream_outage():
    stage = Stage().run(2)
    stage.agent.publish(listing(8, instance("a", "draining")))
    stage.run(4)
    assert not stage.brain.slices[0].has_line and stage.brain.slices[0].writes_closed
    mark = stage.brain.slices[0].mark
    stage.heartbeats = False
    stage.run(1)
    stage.relay.set_snapshot(slices={0: "", 1: "b", 2: "", 3: "b"})
    stage.relay.cut()
    stage.heartbeats = True
    stage.run(3)
    assert stage.brain.slices[0].mark == mark and stage.brain.slices[0].state == "revoking"
    assert "share,0,b,1" not in stage.orders(), "granted before the revoke was acked"


def test_lost_acks_do_not_block_the_channel_forever():
    """Acks free channel capacity; if they are lost, heartbeats must free it instead."""
    family = {**SETTINGS["family_info"], "pending_max": 60.0}
    stage = Stage(settings={**SETTINGS, "family_info": family}).run(2)
    stage.agent.publish(listing(8, instance("a", "draining")))
    stage.run(6)
    assert "share,0,a,0" in stage.orders() and "share,2,a,0" in stage.orders(), (
        "the drained owner's lines were never emptied"
    )


# A pilot granted slices over a dead event stream, though another pilot may have had them meanwhile.
@pytest.mark.parametrize("gap, granted", [(0.2, True), (1.5, False)])
def test_a_grant_waits_for_the_snapshot_where_the_slice_may_have_been_away(gap, granted):
    stage = Stage(proxies=(0, 1)).run(1)
    s = stage.brain.slices[0]
    stage.order(("mark", 8, True))  # opens the connection that later calls use
    stage.run(0.1)
    stage.relay.listener.close()
    stage.relay.cut()
    stage.brain.endpoints["a"].phase = "fading"
    stage.brain.estimated_at = stage.pilot._now() + 10**9
    s.state, s.target, s.mark = SETTLING, "b", 9
    s.state_since = s.stopped_at = stage.pilot._now() + int(gap * 10_000) - stage.brain.settle_time
    stage.run(gap + 0.3)
    assert any(order.startswith("share,0,b") for order in stage.orders()) is granted
