"""Two events that cross at the door to the platform, on real sockets, the order of them made by the test."""

import pytest
from scripted_peers import (
    CHUNKED,
    SECOND,
    Server,
    Stage,
    SteppedLoop,
    answer,
    call_to,
    chunk,
    frame,
    news,
    open_descriptors,
    standing,
    taken,
)

from cedarshift.loop import StreamBroken
from cedarshift.loop.epoll import SocketAttempt, SocketTransport
from cedarshift.observations import REVOKING
from cedarshift.platform import collectors, redial, relay
from cedarshift.platform.collectors import Limits
from cedarshift.platform.relay import ANSWER_WITHIN
from cedarshift.web import NotSent, Pool

LINE, OTHER = ("line", 0, "a", 1), ("line", 1, "b", 1)
MARK = ("mark", 9, True)
MET = dict(t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0)


@pytest.fixture
def stage():
    stage = Stage()
    yield stage
    assert not stage.loop.reported("task_failed") and not stage.loop.reported("timer_failed")
    assert not stage.loop.reported("module_failed")


# ---- a pool's connections


class Asking:
    """A pool on a stepped loop with a server of the test's."""

    def __init__(self, idle=2 * SECOND):
        self.loop = SteppedLoop()
        self.server = Server(self.loop)
        self.pool = Pool(self.loop, SECOND, idle, keep=1)

    def ask(self, body=b"x"):
        asked = self.pool.ask(self.server.address, "POST", "/", [], body, self.loop.now() + SECOND)
        return self.loop.spawn(asked, "ask")

    def exchange(self, extra=b""):
        """One whole exchange; the server's end of its connection."""
        task = self.ask()
        peer = self.server.accept()
        peer.request()
        peer.say(answer(b"one", extra))
        self.loop.until(lambda: task.done)
        assert task.result.body == b"one"
        return peer


@pytest.fixture
def asking():
    return Asking()


@pytest.mark.parametrize("extra", [answer(b"stale"), b"\r\n", b"x", b"HTTP/1.1 200 OK\r\n"])
def test_what_comes_behind_an_answer_is_never_read_as_the_next_one(asking, extra):
    peer = asking.exchange(extra)
    assert peer.until_ended()
    task = asking.ask(b"two")
    other = asking.server.accept()
    assert other.request()[1] == b"two"
    other.say(answer(b"fresh"))
    asking.loop.until(lambda: task.done)
    assert task.result.body == b"fresh"


def test_an_answer_that_comes_before_its_request_is_written_whole_keeps_no_connection(asking, monkeypatch):
    send, room = SocketTransport.send, [10]  # what the kernel has room for; then it says so (EAGAIN)

    def send_what_fits(transport, view):
        taken = send(transport, view[: room[0]]) if room[0] else 0
        room[0] -= taken
        return taken

    monkeypatch.setattr(SocketTransport, "send", send_what_fits)
    task = asking.ask()
    peer = asking.server.accept()
    peer.until(b"POST / HTT")
    peer.say(answer(b"too early"))
    asking.loop.until(lambda: task.done)
    assert task.result.body == b"too early" and peer.until_ended() and not asking.pool.free


@pytest.mark.parametrize("how", ["finish", "reset", "say"])
def test_an_idle_connection_that_its_peer_ends_in_the_step_that_takes_it_is_not_used(asking, how):
    peer = asking.exchange()
    peer.sock.sendall(b"HTTP/1.1 408 Too slow\r\n\r\n") if how == "say" else getattr(peer, how)()
    task = asking.ask(b"two")  # the loop has not looked at the network since
    asking.loop.run_pass()
    other = asking.server.accept()
    assert other.request()[1] == b"two" and (how == "reset" or not peer.look().got)
    other.say(answer(b"fresh"))
    asking.loop.until(lambda: task.done)
    assert task.result.body == b"fresh" and asking.pool.dialled == 2


@pytest.mark.parametrize("taken_first", [True, False])
def test_idle_closing_and_a_new_request_in_one_step_leave_one_connection_and_no_timer(taken_first):
    asking = Asking(idle=SECOND // 2)  # less than a request may take
    peer = asking.exchange()
    if taken_first:
        task = asking.ask(b"two")
        asking.loop.run_pass()
        asking.loop.clock.time += SECOND // 2
    else:
        asking.loop.clock.time += SECOND // 2
        task = asking.ask(b"two")
        asking.loop.run_pass()  # timers run before tasks
    other = peer if taken_first else asking.server.accept()
    assert other.request()[1] == b"two"
    other.say(answer(b"fresh"))
    asking.loop.until(lambda: task.done)
    assert task.result is not None and task.result.body == b"fresh"
    assert asking.pool.dialled == (1 if taken_first else 2) and (taken_first or peer.until_ended())
    assert not asking.loop.reported("timer_failed")  # a timer left behind finds its connection gone
    asking.pool.close_idle()
    asking.loop.settle()
    assert asking.loop.held() == {"tasks": [], "timers": 0, "sockets": 0} and not asking.pool.free


def test_an_idle_connection_is_closed_in_time_though_nobody_asks_again(asking):
    peer = asking.exchange()
    before = open_descriptors()
    asking.loop.advance(1.9)
    assert peer.look().ended is None
    asking.loop.advance(0.2)
    assert peer.until_ended() and not asking.pool.free and open_descriptors() == before - 1
    assert asking.loop.held() == {"tasks": [], "timers": 0, "sockets": 0}


def test_a_request_that_the_kernel_refuses_has_surely_not_left(asking, monkeypatch):
    peer = asking.exchange()
    monkeypatch.setattr(
        Pool, "_ended", staticmethod(lambda stream: False)
    )  # it ends after the look, before the write
    peer.reset()
    with pytest.raises(NotSent):
        asking.loop.until(lambda: not asking.loop.ready)
        task = asking.ask(b"two")
        asking.loop.until(lambda: task.done)
        raise task.error


@pytest.mark.parametrize(
    "part, how",
    [
        (b"", "finish"),
        (b"HTTP/1.1 2", "finish"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "reset"),
        (answer(b"one")[:-1], "finish"),
        (answer(b"one", length=9), "reset"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", None),
        (b"\0\1\2\r\n\r\n", None),
    ],
)
def test_an_answer_that_breaks_off_anywhere_is_told_and_its_connection_not_kept(asking, part, how):
    task = asking.ask()
    peer = asking.server.accept()
    peer.request()
    peer.say(part)
    if how:
        getattr(peer, how)()
    asking.loop.until(lambda: task.done)
    assert isinstance(task.error, StreamBroken) and not isinstance(task.error, NotSent)
    assert not asking.pool.free and asking.loop.held() == {"tasks": [], "timers": 0, "sockets": 0}


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
            stream.say(chunk(news("ack", "node=0&nonce=9&latency=5.0")))
        else:
            stage.loop.advance(relay.PROOF_LEAST / SECOND)
            again = stage.relay.accept()
            assert again.request()[1].endswith(b"mark,9,1")
            again.say(answer(taken(2)))
        stage.loop.until(lambda: not stage.calls.busy)
        assert stage.relay.waiting() is None and stage.pilot.slices[0] == "a"
        stage.calls.pool.close_idle()


@pytest.mark.parametrize("pieces", [1, 7])
def test_an_answer_in_pieces_and_a_slice_that_leaves_between_them(stage, pieces):
    """The order was sent while the slice was in charge; its answer comes when it is not. Nothing of it is remembered."""
    stream, _ = stage.begin()
    stage.order(("line", 0, "b", 1), MARK)
    peer = stage.relay.accept()
    peer.request()
    data = answer(taken(2))
    peer.say(data[:-pieces])
    stream.say(chunk(news("lease", "shard=0&set=0")))
    peer.say(data[-pieces:])
    stage.loop.until(lambda: not stage.calls.busy)
    assert 0 not in stage.pilot.slices and 0 not in stage.brain.slices and 0 not in stage.pilot.taken_at


# ---- what stands


def told_anew(stage, stream, gap, text):
    """The stream breaks, and after `gap` seconds a new one is answered with `text`, which is returned."""
    stream.reset()
    stage.loop.settle()
    stage.loop.advance(gap)
    stream = stage.relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.say(CHUNKED + chunk(text))
    return stream


def test_a_stream_that_stalls_in_the_middle_of_what_stands_takes_nothing_away(stage):
    stream, _ = stage.begin(proxies=(0, 1, 2))
    whole = standing(proxies=(0, 1), slices={0: "a", 1: "b", 2: "a"})
    half = len(standing(proxies=(0,), slices={})) - len(":\n\n")
    stream = told_anew(stage, stream, 0.1, whole[:half])
    for _ in range(4):
        stage.loop.advance(0.5)  # it was taken for all that stands long ago
    assert len(stage.loop.reported("standing")) == 2
    assert all(stage.brain.proxies[n].joined for n in (0, 1, 2)) and sorted(stage.brain.slices) == [
        0,
        1,
        2,
        3,
    ]
    stream.say(chunk(whole[half:]))
    assert [stage.brain.proxies[n].joined for n in (0, 1, 2)] == [True, True, False]
    assert sorted(stage.brain.slices) == sorted(stage.pilot.slices) == [0, 1, 2]
    assert not stage.pilot.missing_proxies and not stage.pilot.missing_slices


@pytest.mark.parametrize(
    "event, joined, left", [("bye", "node=1", True), ("hello", "node=1&locality=za&w=1&cold=0", False)]
)
def test_an_event_that_comes_before_the_first_sign_of_life_counts_once(stage, event, joined, left):
    stream, _ = stage.begin()
    text = standing(proxies=(0,))[: -len(":\n\n")]
    stream = told_anew(stage, stream, 0.1, text)
    stage.loop.advance(0.1)
    stage.loop.advance(0.1)
    stream.say(chunk(news(event, joined)))
    assert stage.brain.proxies[1].joined is not left
    at = stage.brain.proxies[1].left_at
    stage.loop.advance(0.5)
    stream.say(chunk(":\n\n"))
    assert stage.brain.proxies[1].joined is not left and stage.brain.proxies[1].left_at == at


@pytest.mark.parametrize("carried_out", [True, False])
def test_an_order_unanswered_over_a_long_silence_is_looked_for_once_more_in_what_stands(stage, carried_out):
    """The stand was read before the relay carried out the order, whose answer is lost: only a later stand tells of it."""
    stream, _ = stage.begin()
    stage.brain.weighed_at = 10**15  # the module decides nothing else meanwhile
    stage.order(("line", 0, "b", 1))
    call = stage.relay.accept()
    call.request()
    stream.reset()
    stage.loop.settle()
    stage.loop.clock.time += ANSWER_WITHIN * 4 // 5  # before the call is given up
    stream = stage.relay.accept()
    stage.pilot.news.heard_at -= 1_000_000  # a silence that began long before
    stream.request()
    stream.say(CHUNKED + chunk(standing()))
    assert len(stage.loop.reported("standing")) == 2 and stage.brain.slices[0].owner == "a"
    call.reset()  # carried out or not: nobody says
    stage.loop.settle()
    stage.loop.advance(redial.REDIAL_MOST / SECOND)
    stream = stage.relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.say(CHUNKED + chunk(standing(slices={0: "b" if carried_out else "a", 1: "b", 2: "a", 3: "b"})))
    assert stage.brain.slices[0].owner == stage.pilot.slices[0] == ("b" if carried_out else "a")
    assert not stage.pilot.doubted and not stage.calls.busy


def test_the_line_of_a_pilot_s_own_grant_that_comes_late_ends_no_hand_over(stage):
    """A slice is given without a line. The line that its grant leaves is told when the next hand-over has begun."""
    stream, _ = stage.begin(slices={0: "", 1: "b"})
    stage.brain.weighed_at = 10**15
    assert stage.brain.slices[0].state == REVOKING
    slice_ = stage.brain.slices[0]
    stage.order(("line", 0, "a", 1))
    call = stage.relay.accept()
    call.request()
    call.say(answer(taken(1)))
    slice_.state, slice_.owner, slice_.line = REVOKING, "a", True
    stream.say(chunk(news("line", "shard=0&endpoint=a&w=1.0")))
    assert stage.brain.slices[0] is slice_ and slice_.state == REVOKING and stage.pilot.slices[0] == "a"


# ---- new addresses


def test_an_answer_under_way_at_the_old_address_counts_and_its_connection_goes(stage):
    stage.begin()
    stage.order(LINE, MARK)
    old = stage.relay.accept()
    old.request()
    relay_, discovery = Server(stage.loop), Server(stage.loop)
    stage.pilot.move(stage.moved_to(relay_, discovery))
    stage.loop.settle()
    old.say(answer(taken(2)))
    stage.loop.until(lambda: not stage.calls.busy)
    assert stage.pilot.slices[0] == "a" and not stage.loop.reported("call_unanswered")
    stage.loop.advance(relay.IDLE_MOST / SECOND)
    assert old.until_ended() and not stage.calls.pool.free
    stage.order(OTHER, MARK)
    stream = relay_.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    assert relay_.accept().request()[1].startswith(b"Action=CommitChanges&orders=share,1,b,1")


@pytest.mark.parametrize("which", ["relay", "discovery"])
def test_an_address_that_accepts_and_says_nothing_is_left_at_once_for_the_next(stage, which):
    stage.begin()
    silent, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    at = 0 if which == "relay" else 1
    stage.pilot.move(stage.moved_to(*silent))
    held = silent[at].accept()
    held.request()  # asked, and never answered
    stage.pilot.move(stage.moved_to(*good))
    assert good[at].accept().request()[0].startswith("GET ")  # the clock has not moved
    assert held.until_ended()


@pytest.mark.parametrize("which", ["relay", "discovery"])
def test_a_wait_before_the_next_try_ends_when_the_address_changes(stage, which):
    stream, watch = stage.begin()
    gone, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    for one in gone:
        one.close()
    stage.pilot.move(stage.moved_to(*gone))
    stage.loop.advance(0.5)
    followed = stage.pilot.news.stream if which == "relay" else stage.pilot.discovery.watch
    stage.loop.until(lambda: followed.waiting)
    stage.pilot.move(stage.moved_to(*good))
    assert good[0 if which == "relay" else 1].accept().request()[0].startswith("GET ")


def test_a_move_while_the_address_before_is_dialled_ends_at_the_newest(stage, monkeypatch):
    stage.begin()
    poll, first = SocketAttempt.poll, set()

    def not_at_once(attempt):  # as where the peer is further away than loopback
        if attempt in first:
            return poll(attempt)
        first.add(attempt)
        return None

    monkeypatch.setattr(SocketAttempt, "poll", not_at_once)
    before, good = (Server(stage.loop), Server(stage.loop)), (Server(stage.loop), Server(stage.loop))
    stage.pilot.move(stage.moved_to(*before))
    stage.loop.run_pass()
    stage.loop.run_pass()  # the streams have ended, and their tasks dial
    assert len(first) == 2 and not stage.pilot.news.stream.followed
    stage.pilot.move(stage.moved_to(*good))
    for server in good:
        assert server.accept().request()[0].startswith("GET ")
    for server in before:
        old = server.accept()
        assert old.until_ended() and not old.got


def test_nothing_stays_behind_after_a_hundred_moves(stage):
    stage.begin()
    servers = [(Server(stage.loop), Server(stage.loop)) for _ in range(2)]
    counts = []
    for run_pass in range(100):
        relay_, discovery = servers[run_pass % 2]
        stage.pilot.move(stage.moved_to(relay_, discovery))
        stream, watch = relay_.accept(), discovery.accept()
        stream.request()
        stream.say(CHUNKED + chunk(standing()))
        watch.request()
        watch.say(CHUNKED + chunk("\n"))
        stage.loop.settle()
        counts.append(stage.loop.held())
        for server in servers[1 - run_pass % 2]:
            while (old := server.waiting()) is not None:
                old.close()
    assert counts[-1] == counts[9] and len(counts[-1]["tasks"]) == 4


# ---- the list


def test_a_watch_cut_in_the_middle_of_a_line_goes_on_from_the_list_before(stage):
    _, watch = stage.begin()
    line = '{"generation":8,"reset":false,"instances":[]}\n'
    watch.say(chunk(line) + chunk(line.replace("8", "9")[:20]))
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
    first.say(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
    stage.loop.advance(0.1)
    asked = stage.discovery.accept().request()[0]
    assert ("index=" in asked) is (target is None)


def test_a_fault_while_a_list_is_taken_in_does_not_end_the_watch(monkeypatch):
    stage = Stage()
    _, watch = stage.begin()
    monkeypatch.setattr(stage.brain, "on_list", lambda *_: 1 // 0)
    watch.say(chunk('{"generation":8,"reset":false,"instances":[]}\n'))
    monkeypatch.undo()
    assert "ZeroDivisionError" in stage.loop.reported("task_failed")[0]["error"]
    stage.loop.advance(0.1)
    assert stage.discovery.accept().request()[0].startswith("GET ")


# ---- the pilot's address


def test_a_collector_that_was_quiet_may_send_its_next_report_in_pieces(stage):
    stage.begin()
    collector = stage.call().say(frame(t="agent", locality="za"))
    report = frame(**MET)
    for quiet in (1, 30, 300):
        stage.loop.advance(quiet)
        collector.say(report[:9])
        stage.loop.advance(collectors.HALF_FOR / SECOND - 0.1)
        collector.say(report[9:])
    assert stage.pilot.collectors.counts["reports"] == 3 and collector.look().ended is None


def test_a_report_that_takes_too_long_to_come_whole_ends_its_connection(stage):
    stage.begin()
    collector = stage.call().say(frame(t="agent", locality="za"))
    stage.loop.advance(30)
    collector.say(frame(**MET)[:9])
    for _ in range(4):
        stage.loop.advance(collectors.HALF_FOR / SECOND / 4)
        if collector.look().ended is None:
            collector.say(b" ")
    assert collector.until_ended() and not stage.pilot.collectors.joined


def test_strangers_that_join_and_say_nothing_push_out_no_collector_that_reports(stage):
    stage.begin()
    limits = stage.pilot.collectors.limits
    collector = stage.call().say(frame(t="agent", locality="za"))
    strangers = []
    for _ in range(limits.joined + 5):
        strangers.append(stage.call().say(frame(t="agent", locality="zb")))
        stage.loop.advance(0.01)
        collector.say(frame(**MET))
    assert collector.look().ended is None and stage.pilot.collectors.counts["reports"] == limits.joined + 5
    assert sum(one.look().ended is not None for one in strangers) == 6
    assert len(stage.pilot.collectors.joined) == limits.joined


def test_a_connection_that_is_reset_before_it_is_accepted_harms_no_other(stage):
    stage.begin()
    gone, here = stage_calls = [call_to(stage.loop, stage.listener.address) for _ in range(2)]
    gone.sock.sendall(frame(t="probe"))
    gone.reset()
    here.say(frame(t="probe"))
    assert here.until(frame(t="alive")) and len(stage_calls) == 2
    here.close()
    stage.loop.settle()
    assert not stage.pilot.collectors.unjoined


def test_bytes_and_the_end_that_come_in_one_step_are_both_heard(stage):
    stage.begin()
    probe = stage.call()
    probe.sock.sendall(frame(t="probe"))
    probe.finish()  # before the loop has accepted it
    stage.loop.settle()
    assert probe.until(frame(t="alive")) and probe.until_ended()
    collector = stage.call()
    collector.sock.sendall(frame(t="agent", locality="za") + frame(**MET))
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
    probe = stage.call().say(frame(t="probe"))
    assert probe.until(frame(t="alive"))


@pytest.mark.parametrize(
    "sockets, zones, reports", [(64, 1, 10), (256, 2, 8), (1_024, 200, 300_000), (96, 60, 10)]
)
def test_limits_follow_the_settings_and_leave_descriptors_for_the_pilot_itself(sockets, zones, reports):
    limits = Limits.of(sockets, zones, reports)
    assert limits.unjoined + limits.joined <= sockets * 3 // 4
    assert limits.joined >= min(zones, sockets // 2) and limits.messages >= reports


def test_a_site_without_zones_hears_its_collector():
    settings = {**a_settings(), "zones": []}
    stage = Stage(settings=settings)
    stage.begin(zone="")
    collector = stage.call().say(frame(t="agent", locality=""))
    collector.say(frame(**{**MET, "locality": ""}))
    assert stage.pilot.collectors.counts == {
        **stage.pilot.collectors.counts,
        "reports": 1,
        "spoilt": 0,
        "sent_away": 0,
    }
    assert len(stage.brain.endpoints["a"].samples) == 1


def a_settings():
    from platform_parts import SETTINGS

    return SETTINGS
