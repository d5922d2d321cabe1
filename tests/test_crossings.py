"""Races between two events at the pilot's connections, on real sockets, with the order set by the test."""

import pytest
from scripted_peers import (
    CHUNKED,
    SECOND,
    Server,
    Stage,
    SteppedLoop,
    accepted_response,
    chunk,
    connect_to,
    frame,
    http_response,
    open_descriptors,
    snapshot_text,
    sse_event,
)

from cedarshift.loop import StreamBroken
from cedarshift.loop.epoll import SocketAttempt, SocketTransport
from cedarshift.observations import REVOKING
from cedarshift.platform import collectors, reconnect, relay
from cedarshift.platform.collectors import Limits
from cedarshift.platform.relay import RESPONSE_TIMEOUT_US
from cedarshift.web import NotSentError, Pool

LINE, OTHER = ("line", 0, "a", 1), ("line", 1, "b", 1)
MARK = ("mark", 9, True)
OUTCOMES = dict(t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0)


@pytest.fixture
def stage():
    stage = Stage()
    yield stage
    assert not stage.loop.reported("task_failed") and not stage.loop.reported("timer_failed")
    assert not stage.loop.reported("module_failed")


# ---- connection pool


class PoolClient:
    """A pool on a stepped loop, with a server controlled by the test."""

    def __init__(self, idle=2 * SECOND):
        self.loop = SteppedLoop()
        self.server = Server(self.loop)
        self.pool = Pool(self.loop, SECOND, idle, max_idle=1)

    def request(self, body=b"x"):
        exchange = self.pool.request(self.server.address, "POST", "/", [], body, self.loop.now() + SECOND)
        return self.loop.spawn(exchange, "ask")

    def exchange(self, extra=b""):
        """Makes one complete exchange and returns the server's end of its connection."""
        task = self.request()
        peer = self.server.accept()
        peer.request()
        peer.send(http_response(b"one", extra))
        self.loop.until(lambda: task.done)
        assert task.result.body == b"one"
        return peer


@pytest.fixture
def client():
    return PoolClient()


@pytest.mark.parametrize("extra", [http_response(b"stale"), b"\r\n", b"x", b"HTTP/1.1 200 OK\r\n"])
def test_bytes_after_a_response_are_never_read_as_the_next_one(client, extra):
    peer = client.exchange(extra)
    assert peer.until_ended()
    task = client.request(b"two")
    other = client.server.accept()
    assert other.request()[1] == b"two"
    other.send(http_response(b"fresh"))
    client.loop.until(lambda: task.done)
    assert task.result.body == b"fresh"


def test_a_response_before_its_request_is_fully_written_closes_the_connection(client, monkeypatch):
    send, room = SocketTransport.send, [10]  # bytes the kernel accepts before EAGAIN

    def send_what_fits(transport, view):
        taken = send(transport, view[: room[0]]) if room[0] else 0
        room[0] -= taken
        return taken

    monkeypatch.setattr(SocketTransport, "send", send_what_fits)
    task = client.request()
    peer = client.server.accept()
    peer.until(b"POST / HTT")
    peer.send(http_response(b"too early"))
    client.loop.until(lambda: task.done)
    assert task.result.body == b"too early" and peer.until_ended() and not client.pool.idle_connections


@pytest.mark.parametrize("how", ["finish", "reset", "send"])
def test_an_idle_connection_that_its_peer_ends_in_the_same_step_is_not_reused(client, how):
    peer = client.exchange()
    peer.sock.sendall(b"HTTP/1.1 408 Too slow\r\n\r\n") if how == "send" else getattr(peer, how)()
    task = client.request(b"two")  # the loop has not polled the network since
    client.loop.run_pass()
    other = client.server.accept()
    assert other.request()[1] == b"two" and (how == "reset" or not peer.poll().received)
    other.send(http_response(b"fresh"))
    client.loop.until(lambda: task.done)
    assert task.result.body == b"fresh" and client.pool.dialled == 2


@pytest.mark.parametrize("taken_first", [True, False])
def test_idle_closing_and_a_new_request_in_one_step_leave_one_connection_and_no_timer(taken_first):
    client = PoolClient(idle=SECOND // 2)  # shorter than a request may take
    peer = client.exchange()
    if taken_first:
        task = client.request(b"two")
        client.loop.run_pass()
        client.loop.clock.time += SECOND // 2
    else:
        client.loop.clock.time += SECOND // 2
        task = client.request(b"two")
        client.loop.run_pass()  # timers run before tasks
    other = peer if taken_first else client.server.accept()
    assert other.request()[1] == b"two"
    other.send(http_response(b"fresh"))
    client.loop.until(lambda: task.done)
    assert task.result is not None and task.result.body == b"fresh"
    assert client.pool.dialled == (1 if taken_first else 2) and (taken_first or peer.until_ended())
    assert not client.loop.reported("timer_failed")  # a leaked timer would fail here
    client.pool.close_idle()
    client.loop.settle()
    assert (
        client.loop.open_resources() == {"tasks": [], "timers": 0, "sockets": 0}
        and not client.pool.idle_connections
    )


def test_an_idle_connection_is_closed_in_time_without_another_request(client):
    peer = client.exchange()
    before = open_descriptors()
    client.loop.advance(1.9)
    assert peer.poll().ended is None
    client.loop.advance(0.2)
    assert peer.until_ended() and not client.pool.idle_connections and open_descriptors() == before - 1
    assert client.loop.open_resources() == {"tasks": [], "timers": 0, "sockets": 0}


def test_a_request_that_the_kernel_refuses_counts_as_not_sent(client, monkeypatch):
    peer = client.exchange()
    monkeypatch.setattr(
        Pool, "_closed_by_peer", staticmethod(lambda stream: False)
    )  # the peer resets between this check and the write
    peer.reset()
    with pytest.raises(NotSentError):
        client.loop.until(lambda: not client.loop.ready)
        task = client.request(b"two")
        client.loop.until(lambda: task.done)
        raise task.error


@pytest.mark.parametrize(
    "part, how",
    [
        (b"", "finish"),
        (b"HTTP/1.1 2", "finish"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "reset"),
        (http_response(b"one")[:-1], "finish"),
        (http_response(b"one", length=9), "reset"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", None),
        (b"\0\1\2\r\n\r\n", None),
    ],
)
def test_a_truncated_response_raises_and_its_connection_is_not_kept(client, part, how):
    task = client.request()
    peer = client.server.accept()
    peer.request()
    peer.send(part)
    if how:
        getattr(peer, how)()
    client.loop.until(lambda: task.done)
    assert isinstance(task.error, StreamBroken) and not isinstance(task.error, NotSentError)
    assert not client.pool.idle_connections and client.loop.open_resources() == {
        "tasks": [],
        "timers": 0,
        "sockets": 0,
    }


# ---- relay calls


def test_a_call_whose_connection_is_reset_before_its_answer_is_made_again_only_without_an_ack(stage):
    stream, _ = stage.begin()
    for acked in (True, False):
        stage.order(LINE, MARK)
        first = stage.relay.accept()
        assert first.request()[1].endswith(b"mark,9,1")
        first.reset()
        stage.loop.settle()
        if acked:
            stream.send(chunk(sse_event("ack", "node=0&nonce=9&latency=5.0")))
        else:
            stage.loop.advance(relay.MIN_ACK_WAIT_US / SECOND)
            again = stage.relay.accept()
            assert again.request()[1].endswith(b"mark,9,1")
            again.send(http_response(accepted_response(2)))
        stage.loop.until(lambda: not stage.calls.busy)
        assert stage.relay.accept_now() is None and stage.pilot.slices[0] == "a"
        stage.calls.pool.close_idle()


@pytest.mark.parametrize("pieces", [1, 7])
def test_an_answer_in_pieces_and_a_slice_that_leaves_between_them(stage, pieces):
    """A response for a slice that was removed meanwhile must leave no state behind."""
    stream, _ = stage.begin()
    stage.order(("line", 0, "b", 1), MARK)
    peer = stage.relay.accept()
    peer.request()
    data = http_response(accepted_response(2))
    peer.send(data[:-pieces])
    stream.send(chunk(sse_event("lease", "shard=0&set=0")))
    peer.send(data[-pieces:])
    stage.loop.until(lambda: not stage.calls.busy)
    assert 0 not in stage.pilot.slices and 0 not in stage.brain.slices and 0 not in stage.pilot.accepted_at


# ---- snapshots


def reconnect_stream(stage, stream, gap, text):
    """Resets the stream and answers a new one with `text` after `gap` seconds. Returns the new stream."""
    stream.reset()
    stage.loop.settle()
    stage.loop.advance(gap)
    stream = stage.relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.send(CHUNKED + chunk(text))
    return stream


def test_a_stream_that_stalls_in_its_snapshot_removes_nothing(stage):
    stream, _ = stage.begin(proxies=(0, 1, 2))
    whole = snapshot_text(proxies=(0, 1), slices={0: "a", 1: "b", 2: "a"})
    half = len(snapshot_text(proxies=(0,), slices={})) - len(":\n\n")
    stream = reconnect_stream(stage, stream, 0.1, whole[:half])
    for _ in range(4):
        stage.loop.advance(0.5)  # the partial snapshot counts as complete after two pauses
    assert len(stage.loop.reported("standing")) == 2
    assert all(stage.brain.proxies[n].joined for n in (0, 1, 2)) and sorted(stage.brain.slices) == [
        0,
        1,
        2,
        3,
    ]
    stream.send(chunk(whole[half:]))
    assert [stage.brain.proxies[n].joined for n in (0, 1, 2)] == [True, True, False]
    assert sorted(stage.brain.slices) == sorted(stage.pilot.slices) == [0, 1, 2]
    assert not stage.pilot.missing_proxies and not stage.pilot.missing_slices


@pytest.mark.parametrize(
    "event, joined, left", [("bye", "node=1", True), ("hello", "node=1&locality=za&w=1&cold=0", False)]
)
def test_an_event_before_the_first_heartbeat_counts_once(stage, event, joined, left):
    stream, _ = stage.begin()
    text = snapshot_text(proxies=(0,))[: -len(":\n\n")]
    stream = reconnect_stream(stage, stream, 0.1, text)
    stage.loop.advance(0.1)
    stage.loop.advance(0.1)
    stream.send(chunk(sse_event(event, joined)))
    assert stage.brain.proxies[1].joined is not left
    at = stage.brain.proxies[1].left_at
    stage.loop.advance(0.5)
    stream.send(chunk(":\n\n"))
    assert stage.brain.proxies[1].joined is not left and stage.brain.proxies[1].left_at == at


@pytest.mark.parametrize("carried_out", [True, False])
def test_an_unanswered_order_over_a_long_silence_needs_a_second_snapshot(stage, carried_out):
    """A snapshot older than an order with a lost response must not decide: a later snapshot does."""
    stream, _ = stage.begin()
    stage.brain.estimated_at = 10**15  # suppress other decisions
    stage.order(("line", 0, "b", 1))
    call = stage.relay.accept()
    call.request()
    stream.reset()
    stage.loop.settle()
    stage.loop.clock.time += RESPONSE_TIMEOUT_US * 4 // 5  # before the call times out
    stream = stage.relay.accept()
    stage.pilot.events.updated_at -= 1_000_000  # makes the silence long
    stream.request()
    stream.send(CHUNKED + chunk(snapshot_text()))
    assert len(stage.loop.reported("standing")) == 2 and stage.brain.slices[0].owner == "a"
    call.reset()  # the outcome is unknown
    stage.loop.settle()
    stage.loop.advance(reconnect.RECONNECT_MAX_DELAY_US / SECOND)
    stream = stage.relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.send(
        CHUNKED + chunk(snapshot_text(slices={0: "b" if carried_out else "a", 1: "b", 2: "a", 3: "b"}))
    )
    assert stage.brain.slices[0].owner == stage.pilot.slices[0] == ("b" if carried_out else "a")
    assert not stage.pilot.resync_silence_us and not stage.calls.busy


def test_a_delayed_line_event_of_a_pilot_s_own_grant_ends_no_hand_over(stage):
    """The delayed line event of a pilot's own grant must not end the next hand-over."""
    stream, _ = stage.begin(slices={0: "", 1: "b"})
    stage.brain.estimated_at = 10**15
    assert stage.brain.slices[0].state == REVOKING
    slice_ = stage.brain.slices[0]
    stage.order(("line", 0, "a", 1))
    call = stage.relay.accept()
    call.request()
    call.send(http_response(accepted_response(1)))
    slice_.state, slice_.owner, slice_.has_line = REVOKING, "a", True
    stream.send(chunk(sse_event("line", "shard=0&endpoint=a&w=1.0")))
    assert stage.brain.slices[0] is slice_ and slice_.state == REVOKING and stage.pilot.slices[0] == "a"


# ---- new addresses


def test_a_pending_response_from_the_old_address_counts_and_its_connection_is_closed(stage):
    stage.begin()
    stage.order(LINE, MARK)
    old = stage.relay.accept()
    old.request()
    relay_, discovery = Server(stage.loop), Server(stage.loop)
    stage.pilot.update_addresses(stage.config_for(relay_, discovery))
    stage.loop.settle()
    old.send(http_response(accepted_response(2)))
    stage.loop.until(lambda: not stage.calls.busy)
    assert stage.pilot.slices[0] == "a" and not stage.loop.reported("call_unanswered")
    stage.loop.advance(relay.IDLE_TIMEOUT_US / SECOND)
    assert old.until_ended() and not stage.calls.pool.idle_connections
    stage.order(OTHER, ("line", 1, "b", 0), MARK)  # a grant waits for the new stream
    stream = relay_.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    assert relay_.accept().request()[1].startswith(b"Action=CommitChanges&orders=share,1,b,0")


@pytest.mark.parametrize("which", ["relay", "discovery"])
def test_an_address_that_never_responds_is_left_at_once_for_the_next(stage, which):
    stage.begin()
    silent, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    at = 0 if which == "relay" else 1
    stage.pilot.update_addresses(stage.config_for(*silent))
    held = silent[at].accept()
    held.request()  # requested, never answered
    stage.pilot.update_addresses(stage.config_for(*good))
    assert good[at].accept().request()[0].startswith("GET ")  # at the same clock time
    assert held.until_ended()


@pytest.mark.parametrize("which", ["relay", "discovery"])
def test_a_wait_before_the_next_try_ends_when_the_address_changes(stage, which):
    stream, watch = stage.begin()
    gone, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    for one in gone:
        one.close()
    stage.pilot.update_addresses(stage.config_for(*gone))
    stage.loop.advance(0.5)
    followed = stage.pilot.events.stream if which == "relay" else stage.pilot.discovery.watch
    stage.loop.until(lambda: followed.delay_waker)
    stage.pilot.update_addresses(stage.config_for(*good))
    assert good[0 if which == "relay" else 1].accept().request()[0].startswith("GET ")


def test_a_move_while_the_address_before_is_dialled_ends_at_the_newest(stage, monkeypatch):
    stage.begin()
    poll, first = SocketAttempt.poll, set()

    def not_at_once(attempt):  # simulates a slow connect
        if attempt in first:
            return poll(attempt)
        first.add(attempt)
        return None

    monkeypatch.setattr(SocketAttempt, "poll", not_at_once)
    before, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    stage.pilot.update_addresses(stage.config_for(*before))
    stage.loop.run_pass()
    stage.loop.run_pass()  # the streams have ended and their tasks reconnect
    assert len(first) == 2 and not stage.pilot.events.stream.response
    stage.pilot.update_addresses(stage.config_for(*good))
    for server in good:
        assert server.accept().request()[0].startswith("GET ")
    for server in before:
        old = server.accept()
        assert old.until_ended() and not old.received


def test_nothing_stays_behind_after_a_hundred_moves(stage):
    stage.begin()
    servers = [(Server(stage.loop), Server(stage.loop)) for _ in range(2)]
    counts = []
    for move in range(100):
        relay_, discovery = servers[move % 2]
        stage.pilot.update_addresses(stage.config_for(relay_, discovery))
        stream, watch = relay_.accept(), discovery.accept()
        stream.request()
        stream.send(CHUNKED + chunk(snapshot_text()))
        watch.request()
        watch.send(CHUNKED + chunk("\n"))
        stage.loop.settle()
        counts.append(stage.loop.open_resources())
        for server in servers[1 - move % 2]:
            while (old := server.accept_now()) is not None:
                old.close()
    assert counts[-1] == counts[9] and len(counts[-1]["tasks"]) == 4


# ---- endpoint list


def test_a_watch_cut_in_the_middle_of_a_line_goes_on_from_the_list_before(stage):
    _, watch = stage.begin()
    line = '{"generation":8,"reset":false,"instances":[]}\n'
    watch.send(chunk(line) + chunk(line.replace("8", "9")[:20]))
    watch.finish()
    stage.loop.settle()
    stage.loop.advance(0.1)
    assert "index=8 " in stage.discovery.accept().request()[0]


@pytest.mark.parametrize(
    "status, target", [("410 Gone", "index="), ("404 Not Found", "index="), ("503 Later", None)]
)
def test_a_discovery_that_no_longer_knows_the_revision_is_asked_for_the_whole_list(stage, status, target):
    stage.relay.accept()
    first = stage.discovery.accept()
    assert "index=7 " in first.request()[0]
    first.send(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
    stage.loop.advance(0.1)
    asked = stage.discovery.accept().request()[0]
    assert ("index=" in asked) is (target is None)


def test_an_exception_while_a_list_is_handled_does_not_end_the_watch(monkeypatch):
    stage = Stage()
    _, watch = stage.begin()
    monkeypatch.setattr(stage.brain, "on_list", lambda *_: 1 // 0)
    watch.send(chunk('{"generation":8,"reset":false,"instances":[]}\n'))
    monkeypatch.undo()
    assert "ZeroDivisionError" in stage.loop.reported("task_failed")[0]["error"]
    stage.loop.advance(0.1)
    assert stage.discovery.accept().request()[0].startswith("GET ")


# ---- listening port


def test_a_collector_that_was_quiet_may_send_its_next_report_in_pieces(stage):
    stage.begin()
    collector = stage.connect().send(frame(t="agent", locality="za"))
    report = frame(**OUTCOMES)
    for quiet in (1, 30, 300):
        stage.loop.advance(quiet)
        collector.send(report[:9])
        stage.loop.advance(collectors.MESSAGE_TIMEOUT_US / SECOND - 0.1)
        collector.send(report[9:])
    assert stage.pilot.collectors.counts["reports"] == 3 and collector.poll().ended is None


def test_a_report_that_takes_too_long_to_come_whole_ends_its_connection(stage):
    stage.begin()
    collector = stage.connect().send(frame(t="agent", locality="za"))
    stage.loop.advance(30)
    collector.send(frame(**OUTCOMES)[:9])
    for _ in range(4):
        stage.loop.advance(collectors.MESSAGE_TIMEOUT_US / SECOND / 4)
        if collector.poll().ended is None:
            collector.send(b" ")
    assert collector.until_ended() and not stage.pilot.collectors.joined


def test_joined_connections_that_are_silent_do_not_evict_a_reporting_collector(stage):
    stage.begin()
    limits = stage.pilot.collectors.limits
    collector = stage.connect().send(frame(t="agent", locality="za"))
    strangers = []
    for _ in range(limits.joined + 5):
        strangers.append(stage.connect().send(frame(t="agent", locality="zb")))
        stage.loop.advance(0.01)
        collector.send(frame(**OUTCOMES))
    assert collector.poll().ended is None and stage.pilot.collectors.counts["reports"] == limits.joined + 5
    assert sum(one.poll().ended is not None for one in strangers) == 6
    assert len(stage.pilot.collectors.joined) == limits.joined


def test_a_connection_that_is_reset_before_it_is_accepted_harms_no_other(stage):
    stage.begin()
    gone, here = connections = [connect_to(stage.loop, stage.listener.address) for _ in range(2)]
    gone.sock.sendall(frame(t="probe"))
    gone.reset()
    here.send(frame(t="probe"))
    assert here.until(frame(t="alive")) and len(connections) == 2
    here.close()
    stage.loop.settle()
    assert not stage.pilot.collectors.unjoined


def test_bytes_and_the_end_of_a_connection_in_one_step_are_both_handled(stage):
    stage.begin()
    probe = stage.connect()
    probe.sock.sendall(frame(t="probe"))
    probe.finish()  # before the loop accepts it
    stage.loop.settle()
    assert probe.until(frame(t="alive")) and probe.until_ended()
    collector = stage.connect()
    collector.sock.sendall(frame(t="agent", locality="za") + frame(**OUTCOMES))
    collector.finish()
    stage.loop.settle()
    assert stage.pilot.collectors.counts["reports"] == 1 and not stage.pilot.collectors.joined


def test_an_accept_that_the_kernel_aborts_hides_none_behind_it(stage, monkeypatch):
    stage.begin()
    door = stage.listener.acceptor
    accept, aborted = door.sock.accept, [ConnectionAbortedError(103, "aborted")]

    class Aborting:
        def accept(self):
            if aborted:
                raise aborted.pop()
            return accept()

    monkeypatch.setattr(door, "sock", Aborting())
    probe = stage.connect().send(frame(t="probe"))
    assert probe.until(frame(t="alive"))


@pytest.mark.parametrize(
    "sockets, zones, reports", [(64, 1, 10), (256, 2, 8), (1_024, 200, 300_000), (96, 60, 10)]
)
def test_limits_follow_the_settings_and_leave_descriptors_for_the_pilot_itself(sockets, zones, reports):
    limits = Limits.from_settings(sockets, zones, reports)
    assert limits.unjoined + limits.joined <= sockets * 3 // 4
    assert limits.joined >= min(zones, sockets // 2) and limits.messages_per_s >= reports


def test_a_site_without_zones_accepts_reports():
    settings = {**load_settings(), "zones": []}
    stage = Stage(settings=settings)
    stage.begin(zone="")
    collector = stage.connect().send(frame(t="agent", locality=""))
    collector.send(frame(**{**OUTCOMES, "locality": ""}))
    assert stage.pilot.collectors.counts == {
        **stage.pilot.collectors.counts,
        "reports": 1,
        "spoilt": 0,
        "sent_away": 0,
    }
    assert len(stage.brain.endpoints["a"].samples) == 1


def load_settings():
    from platform_parts import SETTINGS

    return SETTINGS
