"""The process as it is started: signals, restarts, new configurations, descriptors. Events meet while it is stopped by SIGSTOP."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from platform_parts import SETTINGS, configuration
from scripted_peers import CHUNKED, PATIENCE, Peer, Server, answer, chunk, frame, standing, taken

ENDS_WITHIN = 0.7  # s; the platform kills no sooner after SIGTERM
READY_WITHIN = 10.0  # s; what nine in ten restarts must keep to
QUICK = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "lease_ns": 20_000_000, "in_flight_max_ns": 20_000_000},
}
DESCRIPTORS = 64  # the fewest that a configuration may state
MET = dict(t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0)


class RealTime:
    """Stands where an in-process test has its loop: waits for what another process does."""

    def until(self, condition, within=PATIENCE):
        limit = time.monotonic() + within
        while not (got := condition()):
            assert time.monotonic() < limit, "what is waited for has not come"
            time.sleep(0.001)
        return got

    def settle(self):
        pass


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


class Process:
    """One pilot with a relay and a discovery that the test scripts."""

    def __init__(self, folder, sockets=256, listen=None):
        self.time = RealTime()
        self.relay, self.discovery = Server(self.time), Server(self.time)
        self.listen = listen or free_address()
        self.sockets = sockets
        self.path = Path(folder) / "config.json"
        self.log_path = Path(folder) / "log"
        self.write(self.relay, self.discovery)
        self.process = None

    def text(self, relay, discovery):
        return json.dumps(
            configuration(
                listen="%s:%d" % self.listen,
                discovery=discovery.text,
                registry={"address": relay.text},
                limits={"sockets": self.sockets},
                settings=QUICK,
            )
        )

    def write(self, relay, discovery):
        self.path.write_text(self.text(relay, discovery))

    def start(self):
        listen = "%s:%d" % self.listen
        variables = {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": self.discovery.text,
            "RELAY_CONFIG": str(self.path),
        }
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cedarshift", "platform"],
                env={**os.environ, **variables},
                stderr=log,
                preexec_fn=self._limit,
            )
        return self

    def _limit(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

    def log(self, event):
        found = [line for line in self.log_path.read_text().splitlines() if line.startswith("{")]
        return [one for one in map(json.loads, found) if one["event"] == event]

    def until_logged(self, event, count=1):
        self.time.until(lambda: len(self.log(event)) >= count)

    def connect(self):
        return Peer(self.time, socket.create_connection(self.listen, timeout=PATIENCE))

    def alive(self):
        """Whether a probe is answered, as the platform asks before it uses a pilot."""
        try:
            with socket.create_connection(self.listen, timeout=0.5) as probe:
                probe.sendall(frame(t="probe"))
                return probe.recv(100) == frame(t="alive")
        except OSError:
            return False

    def until_ready(self):
        begun = time.monotonic()
        self.time.until(self.alive, READY_WITHIN)
        return time.monotonic() - begun

    def begin(self, **stands):
        """Answers the stream and the watch, and one call if `call`; returns them."""
        stream, watch = self.relay.accept(), self.discovery.accept()
        stream.request()
        stream.say(CHUNKED + chunk(standing(**stands)))
        watch.request()
        watch.say(CHUNKED + chunk("\n"))
        self.until_logged("standing")
        return stream, watch

    def a_call(self, stream):
        """Has the pilot make a call: a slice with no owner is granted one as soon as a lease and the settle time are over."""
        stream.say(chunk("event: lease\ndata: shard=3&set=0\n\nevent: lease\ndata: shard=3&set=1\n\n"))
        peer = self.relay.accept()
        assert b"share,3," in peer.request()[1]
        return peer

    def stopped(self):
        self.process.send_signal(signal.SIGSTOP)
        self.time.until(
            lambda: "T" in Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        )

    def goes_on(self):
        self.process.send_signal(signal.SIGCONT)

    def ends(self, within=ENDS_WITHIN):
        return self.process.wait(within)


@pytest.fixture
def pilot(tmp_path):
    one = Process(tmp_path)
    yield one
    if one.process is not None:
        one.process.kill()
        one.process.wait()
    assert not one.log("task_failed") and not one.log("module_failed") and not one.log("timer_failed")


# ---- SIGTERM


@pytest.mark.parametrize(
    "crossing",
    [
        "unanswered",
        "answer unread",
        "answer half come",
        "refused",
        "between calls",
        "news unread",
        "list half come",
        "reset",
        "collector half come",
        "accept waiting",
    ],
)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_to_stop_that_meets_another_event_ends_the_process_in_time_and_no_call_follows(
    pilot, crossing, number
):
    pilot.start().until_ready()
    stream, watch = pilot.begin()
    collector = pilot.connect().say(frame(t="agent", locality="za"))
    call = pilot.a_call(stream)
    if crossing == "between calls":
        call.say(answer(taken(2)))
    pilot.stopped()
    body = answer(taken(2))
    {
        "answer unread": lambda: call.say(body),
        "answer half come": lambda: call.say(body[:-3]),
        "refused": lambda: call.say(answer(taken(0))),
        "news unread": lambda: stream.say(chunk("event: lease\ndata: shard=2&set=0\n\n")),
        "list half come": lambda: watch.say(chunk('{"generation":8,"re')),
        "reset": lambda: (call.reset(), stream.reset(), watch.reset()),
        "collector half come": lambda: collector.say(frame(**MET)[:20]),
        "accept waiting": lambda: pilot.connect().say(frame(t="probe")),
    }.get(crossing, lambda: None)()
    pilot.process.send_signal(number)
    pilot.goes_on()
    assert pilot.ends() == 0
    assert collector.until_ended()
    while (later := pilot.relay.waiting()) is not None:
        assert b"CommitChanges" not in later.look().got
    assert len(pilot.log("pilot_stopped")) == 1


@pytest.mark.parametrize(
    "first, second",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGINT, signal.SIGTERM),
    ],
)
def test_two_signals_in_one_step(pilot, first, second):
    pilot.start().until_ready()
    pilot.begin()
    pilot.path.write_text("{")  # a reload would have to wait for the rest
    pilot.stopped()
    pilot.process.send_signal(first)
    pilot.process.send_signal(second)
    pilot.goes_on()
    assert pilot.ends() == 0


def test_sigterm_while_a_reload_waits_for_the_rest_of_its_file(pilot):
    pilot.start().until_ready()
    pilot.begin()
    pilot.path.write_text("{")
    pilot.process.send_signal(signal.SIGHUP)
    pilot.until_logged("reload_refused")
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.ends() == 0


@pytest.mark.parametrize("answered", ["nothing", "head", "half of what stands"])
def test_sigterm_while_the_first_stream_or_list_is_on_its_way(pilot, answered):
    pilot.start().until_ready()
    stream, watch = pilot.relay.accept(), pilot.discovery.accept()
    for peer in (stream, watch):
        peer.request()
        if answered != "nothing":
            peer.say(CHUNKED)
    if answered == "half of what stands":
        stream.say(chunk(standing()[:100]))
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.ends() == 0 and stream.until_ended() and watch.until_ended()


def test_sigterm_at_any_time_of_a_start_ends_the_process(pilot):
    """Before Python has installed the handler the signal itself ends it; from then on the program does."""
    for delay in range(0, 300, 30):
        pilot.start()
        until = time.monotonic() + delay / 1000
        while time.monotonic() < until:
            pass
        pilot.process.send_signal(signal.SIGTERM)
        assert pilot.ends(PATIENCE) in (0, -signal.SIGTERM)
        assert not [line for line in pilot.log_path.read_text().splitlines() if "Traceback" in line]


def test_sigterm_while_a_start_waits_for_its_file(pilot):
    pilot.path.write_text("{")
    pilot.start().until_logged("start_waits")
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.ends() == 0


# ---- a start


@pytest.mark.parametrize("state", ["missing", "empty", "half"])
def test_a_start_waits_for_a_file_that_is_being_replaced(pilot, state):
    text = pilot.path.read_text()
    pilot.path.unlink() if state == "missing" else pilot.path.write_text(
        "" if state == "empty" else text[: len(text) // 2]
    )
    pilot.start().until_logged("start_waits")
    pilot.path.write_text(text)
    pilot.until_ready()


def test_a_start_waits_for_a_former_process_to_leave_its_address(pilot):
    former = socket.socket()
    former.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    former.bind(pilot.listen)
    former.listen()
    pilot.start().until_logged("start_waits")
    former.close()
    pilot.until_ready()


@pytest.mark.parametrize(
    "text, reason", [('{"registry": 3}', "registry: 3"), ("[]", "expected an object"), ("{", "invalid JSON")]
)
def test_a_start_that_can_t_be_is_refused_with_one_line(pilot, text, reason):
    pilot.path.write_text(text)
    begun = time.monotonic()
    assert pilot.start().ends(PATIENCE) == 2
    lines = [line for line in pilot.log_path.read_text().splitlines() if not line.startswith("{")]
    assert len(lines) == 1 and reason in lines[0] and str(pilot.path) in lines[0]
    assert (time.monotonic() - begun > 2) is (text == "{")


@pytest.mark.parametrize("peers", ["absent", "accept and say nothing", "a head and no more", "reset"])
def test_nine_in_ten_restarts_are_ready_in_time_whatever_relay_and_discovery_do(tmp_path, peers):
    took = []
    pilot = Process(tmp_path)
    if peers == "absent":
        pilot.relay.close()
        pilot.discovery.close()
    try:
        for _ in range(10):
            pilot.start()
            if peers in ("a head and no more", "reset"):
                for server in (pilot.relay, pilot.discovery):
                    peer = server.accept()
                    peer.say(CHUNKED) if peers == "a head and no more" else peer.reset()
            took.append(pilot.until_ready())
            pilot.process.send_signal(signal.SIGTERM)
            assert pilot.ends() == 0
    finally:
        pilot.process.kill()
        pilot.process.wait()
    assert sorted(took)[8] < READY_WITHIN and sorted(took)[4] < 2


# ---- SIGHUP


def test_sighup_with_the_same_file_changes_nothing(pilot):
    pilot.start().until_ready()
    stream, watch = pilot.begin()
    pilot.process.send_signal(signal.SIGHUP)
    pilot.until_logged("reloaded")
    assert stream.look().ended is None and watch.look().ended is None
    assert pilot.relay.waiting() is None and pilot.discovery.waiting() is None


def test_sighups_that_meet_end_at_the_newest_file(pilot):
    """The file changes again while the first reload is on its way, to an address that accepts and says nothing."""
    pilot.start().until_ready()
    pilot.begin()
    silent, good = (Server(pilot.time), Server(pilot.time)), (Server(pilot.time), Server(pilot.time))
    pilot.write(*silent)
    pilot.process.send_signal(signal.SIGHUP)
    held = [server.accept() for server in silent]
    pilot.stopped()
    pilot.write(*good)
    pilot.process.send_signal(signal.SIGHUP)
    pilot.process.send_signal(signal.SIGHUP)
    pilot.goes_on()
    begun = time.monotonic()
    for server in good:
        assert server.accept().request()[0].startswith("GET ")
    assert time.monotonic() - begun < 1  # a silent answer would be waited for over two seconds
    for peer in held:
        assert peer.until_ended()


def test_a_reload_whose_file_is_unreadable_at_first_is_made_when_it_is_whole(pilot):
    pilot.start().until_ready()
    pilot.begin()
    relay, discovery = Server(pilot.time), Server(pilot.time)
    text = pilot.text(relay, discovery)
    pilot.path.unlink()
    pilot.process.send_signal(signal.SIGHUP)
    pilot.until_logged("reload_refused")
    pilot.path.write_text(text[:50])
    pilot.until_logged("reload_refused", 3)
    pilot.path.write_text(text)
    assert relay.accept().request()[0].startswith("GET ") and discovery.accept().request()[0].startswith(
        "GET "
    )


def test_a_call_at_the_old_address_that_is_closed_without_an_answer_goes_on_at_the_new_one(pilot):
    pilot.start().until_ready()
    stream, _ = pilot.begin()
    call = pilot.a_call(stream)
    relay, discovery = Server(pilot.time), Server(pilot.time)
    pilot.stopped()
    pilot.write(relay, discovery)
    pilot.process.send_signal(signal.SIGHUP)
    call.finish()  # in the step that reloads
    pilot.goes_on()
    stream = relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.say(CHUNKED + chunk(standing(slices={0: "a", 1: "b", 2: "a", 3: ""})))
    call, body = relay.accept(), b""
    while b"share,3," not in body:  # first its mark alone, where the slice was given anew over the silence
        body = call.request()[1]
        call.say(answer(taken(body.count(b"%3B") + 1)))


# ---- descriptors


def test_beside_silent_connections_up_to_the_limit_a_collector_joins_and_the_relay_is_called(tmp_path):
    pilot = Process(tmp_path, sockets=DESCRIPTORS).start()
    silent = []
    try:
        pilot.until_ready()
        stream, _ = pilot.begin()
        for _ in range(4 * DESCRIPTORS):
            silent.append(pilot.connect())
        collector = pilot.connect().say(frame(t="agent", locality="za"))
        collector.say(frame(**MET))
        call = pilot.a_call(stream)
        call.say(answer(taken(2)))
        assert pilot.alive()
        pilot.time.until(lambda: all(one.look().ended for one in silent))
        assert collector.look().ended is None
        pilot.until_logged("figures")
        assert pilot.log("figures")[-1]["joined"] == 1 and pilot.log("figures")[-1]["reports"] == 1
        assert not pilot.log("task_failed")
    finally:
        pilot.process.kill()
        pilot.process.wait()


def test_a_log_that_nobody_reads_any_more_ends_nothing(tmp_path):
    pilot = Process(tmp_path)
    reader, writer = os.pipe()
    variables = {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": "%s:%d" % pilot.listen,
        "RELAY_DISCOVERY": pilot.discovery.text,
        "RELAY_CONFIG": str(pilot.path),
    }
    pilot.process = subprocess.Popen(
        [sys.executable, "-m", "cedarshift", "platform"], env={**os.environ, **variables}, stderr=writer
    )
    os.close(writer)
    try:
        pilot.until_ready()
        os.close(reader)
        stream, watch = pilot.relay.accept(), pilot.discovery.accept()
        for peer in (stream, watch):
            peer.reset()  # each is told of in the log, and asked for anew
        assert pilot.relay.accept().request()[0].startswith("GET ")
        assert pilot.discovery.accept().request()[0].startswith("GET ")
        assert pilot.alive()
        pilot.process.send_signal(signal.SIGTERM)
        assert pilot.ends() == 0
    finally:
        pilot.process.kill()
        pilot.process.wait()
