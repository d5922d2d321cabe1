"""The pilot process: signals, restarts, reloads, descriptors. SIGSTOP makes events coincide."""

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
from ports import free_address
from scripted_peers import (
    CHUNKED,
    TIMEOUT_S,
    Peer,
    Server,
    accepted_response,
    chunk,
    frame,
    http_response,
    snapshot_text,
)

STOP_TIMEOUT_S = 0.7  # the platform kills no earlier after SIGTERM
READY_TIMEOUT_S = 10.0  # to be met by nine in ten restarts
SHORT_LEASE_SETTINGS = {
    **SETTINGS,
    "family_info": {**SETTINGS["family_info"], "lease_ns": 20_000_000, "in_flight_max_ns": 20_000_000},
}
MIN_SOCKETS = 64  # the minimum that a configuration may set
OUTCOMES = dict(t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0)


class RealTime:
    """Replaces the loop of in-process tests: waits in real time for another process."""

    def until(self, condition, within=TIMEOUT_S):
        limit = time.monotonic() + within
        while not (result := condition()):
            assert time.monotonic() < limit, "condition not met in time"
            time.sleep(0.001)
        return result

    def settle(self):
        pass


class Process:
    """A pilot process with a scripted relay and discovery service."""

    def __init__(self, folder, sockets=256, listen=None):
        self.time = RealTime()
        self.relay, self.discovery = Server(self.time), Server(self.time)
        self.listen = listen or free_address()
        self.sockets = sockets
        self.path = Path(folder) / "config.json"
        self.log_path = Path(folder) / "log"
        self.write(self.relay, self.discovery)
        self.process = None

    def config_text(self, relay, discovery):
        return json.dumps(
            configuration(
                listen="%s:%d" % self.listen,
                discovery=discovery.address_text,
                registry={"address": relay.address_text},
                limits={"sockets": self.sockets},
                settings=SHORT_LEASE_SETTINGS,
            )
        )

    def write(self, relay, discovery):
        self.path.write_text(self.config_text(relay, discovery))

    def start(self):
        listen = "%s:%d" % self.listen
        variables = {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": self.discovery.address_text,
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
        return Peer(self.time, socket.create_connection(self.listen, timeout=TIMEOUT_S))

    def alive(self):
        """Whether the pilot answers a health probe."""
        try:
            with socket.create_connection(self.listen, timeout=0.5) as probe:
                probe.sendall(frame(t="probe"))
                return probe.recv(100) == frame(t="alive")
        except OSError:
            return False

    def until_ready(self):
        started_at = time.monotonic()
        self.time.until(self.alive, READY_TIMEOUT_S)
        return time.monotonic() - started_at

    def begin(self, **snapshot):
        """Answers the event stream and the watch, and returns both."""
        stream, watch = self.relay.accept(), self.discovery.accept()
        stream.request()
        stream.send(CHUNKED + chunk(snapshot_text(**snapshot)))
        watch.request()
        watch.send(CHUNKED + chunk("\n"))
        self.until_logged("standing")
        return stream, watch

    def trigger_call(self, stream):
        """Makes the pilot call the relay by assigning it a slice without an owner."""
        stream.send(chunk("event: lease\ndata: shard=3&set=0\n\nevent: lease\ndata: shard=3&set=1\n\n"))
        peer = self.relay.accept()
        assert b"share,3," in peer.request()[1]
        return peer

    def suspend(self):
        self.process.send_signal(signal.SIGSTOP)
        self.time.until(
            lambda: "T" in Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        )

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def wait_ended(self, within=STOP_TIMEOUT_S):
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
    collector = pilot.connect().send(frame(t="agent", locality="za"))
    call = pilot.trigger_call(stream)
    if crossing == "between calls":
        call.send(http_response(accepted_response(2)))
    pilot.suspend()
    body = http_response(accepted_response(2))
    {
        "answer unread": lambda: call.send(body),
        "answer half come": lambda: call.send(body[:-3]),
        "refused": lambda: call.send(http_response(accepted_response(0))),
        "news unread": lambda: stream.send(chunk("event: lease\ndata: shard=2&set=0\n\n")),
        "list half come": lambda: watch.send(chunk('{"generation":8,"re')),
        "reset": lambda: (call.reset(), stream.reset(), watch.reset()),
        "collector half come": lambda: collector.send(frame(**OUTCOMES)[:20]),
        "accept waiting": lambda: pilot.connect().send(frame(t="probe")),
    }.get(crossing, lambda: None)()
    pilot.process.send_signal(number)
    pilot.resume()
    assert pilot.wait_ended() == 0
    assert collector.until_ended()
    while (later := pilot.relay.accept_now()) is not None:
        assert b"CommitChanges" not in later.poll().received
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
    pilot.path.write_text("{")  # an incomplete file, which a reload retries
    pilot.suspend()
    pilot.process.send_signal(first)
    pilot.process.send_signal(second)
    pilot.resume()
    assert pilot.wait_ended() == 0


def test_sigterm_while_a_reload_waits_for_the_rest_of_its_file(pilot):
    pilot.start().until_ready()
    pilot.begin()
    pilot.path.write_text("{")
    pilot.process.send_signal(signal.SIGHUP)
    pilot.until_logged("reload_refused")
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.wait_ended() == 0


@pytest.mark.parametrize("answered", ["nothing", "head", "half of what stands"])
def test_sigterm_while_the_first_stream_or_list_is_on_its_way(pilot, answered):
    pilot.start().until_ready()
    stream, watch = pilot.relay.accept(), pilot.discovery.accept()
    for peer in (stream, watch):
        peer.request()
        if answered != "nothing":
            peer.send(CHUNKED)
    if answered == "half of what stands":
        stream.send(chunk(snapshot_text()[:100]))
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.wait_ended() == 0 and stream.until_ended() and watch.until_ended()


def test_sigterm_at_any_time_of_a_start_ends_the_process(pilot):
    """Before the handler is installed the signal itself ends the process, afterwards the pilot does."""
    for delay in range(0, 300, 30):
        pilot.start()
        until = time.monotonic() + delay / 1000
        while time.monotonic() < until:
            pass
        pilot.process.send_signal(signal.SIGTERM)
        assert pilot.wait_ended(TIMEOUT_S) in (0, -signal.SIGTERM)
        assert not [line for line in pilot.log_path.read_text().splitlines() if "Traceback" in line]


def test_sigterm_while_a_start_waits_for_its_file(pilot):
    pilot.path.write_text("{")
    pilot.start().until_logged("start_waits")
    pilot.process.send_signal(signal.SIGTERM)
    assert pilot.wait_ended() == 0


# ---- start


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
def test_an_impossible_start_fails_with_one_line(pilot, text, reason):
    pilot.path.write_text(text)
    assert pilot.start().wait_ended(READY_TIMEOUT_S) == 2
    lines = [line for line in pilot.log_path.read_text().splitlines() if not line.startswith("{")]
    assert len(lines) == 1 and reason in lines[0] and str(pilot.path) in lines[0]
    (failure,) = pilot.log("start_failed")
    assert reason in failure["reason"]
    # By the pilot's clock: a busy machine may take seconds to load the program.
    assert failure["after_ms"] <= 3500
    assert (failure["after_ms"] > 2000) is (text == "{")
    assert bool(pilot.log("start_waits")) is (text == "{")


@pytest.mark.parametrize("peers", ["absent", "accept and say nothing", "a head and no more", "reset"])
def test_nine_in_ten_restarts_are_ready_in_time_whatever_relay_and_discovery_do(tmp_path, peers):
    startup_times = []
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
                    peer.send(CHUNKED) if peers == "a head and no more" else peer.reset()
            startup_times.append(pilot.until_ready())
            pilot.process.send_signal(signal.SIGTERM)
            assert pilot.wait_ended() == 0
    finally:
        pilot.process.kill()
        pilot.process.wait()
    assert sorted(startup_times)[8] < READY_TIMEOUT_S and sorted(startup_times)[4] < 2


# ---- SIGHUP


def test_sighup_with_the_same_file_changes_nothing(pilot):
    pilot.start().until_ready()
    stream, watch = pilot.begin()
    pilot.process.send_signal(signal.SIGHUP)
    pilot.until_logged("reloaded")
    assert stream.poll().ended is None and watch.poll().ended is None
    assert pilot.relay.accept_now() is None and pilot.discovery.accept_now() is None


def test_sighups_that_meet_end_at_the_newest_file(pilot):
    """The file changes again while the first reload waits for an address that accepts but never responds."""
    pilot.start().until_ready()
    pilot.begin()
    silent, good = (Server(pilot.time), Server(pilot.time)), (Server(pilot.time), Server(pilot.time))
    pilot.write(*silent)
    pilot.process.send_signal(signal.SIGHUP)
    held = [server.accept() for server in silent]
    pilot.suspend()
    pilot.write(*good)
    pilot.process.send_signal(signal.SIGHUP)
    pilot.process.send_signal(signal.SIGHUP)
    pilot.resume()
    started_at = time.monotonic()
    for server in good:
        assert server.accept().request()[0].startswith("GET ")
    assert time.monotonic() - started_at < 1  # less than the silence timeout
    for peer in held:
        assert peer.until_ended()


def test_a_reload_whose_file_is_unreadable_at_first_is_made_when_it_is_whole(pilot):
    pilot.start().until_ready()
    pilot.begin()
    relay, discovery = Server(pilot.time), Server(pilot.time)
    text = pilot.config_text(relay, discovery)
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
    call = pilot.trigger_call(stream)
    relay, discovery = Server(pilot.time), Server(pilot.time)
    pilot.suspend()
    pilot.write(relay, discovery)
    pilot.process.send_signal(signal.SIGHUP)
    call.finish()  # in the same step as the reload
    pilot.resume()
    stream = relay.accept()
    assert stream.request()[0].startswith("GET /api/stream")
    stream.send(CHUNKED + chunk(snapshot_text(slices={0: "a", 1: "b", 2: "a", 3: ""})))
    call, body = relay.accept(), b""
    while b"share,3," not in body:  # the first call may hold only its mark
        body = call.request()[1]
        call.send(http_response(accepted_response(body.count(b"%3B") + 1)))


# ---- file descriptors


def test_a_collector_joins_and_the_relay_is_called_beside_silent_connections_up_to_the_limit(tmp_path):
    pilot = Process(tmp_path, sockets=MIN_SOCKETS).start()
    silent = []
    try:
        pilot.until_ready()
        stream, _ = pilot.begin()
        for _ in range(4 * MIN_SOCKETS):
            silent.append(pilot.connect())
        collector = pilot.connect().send(frame(t="agent", locality="za"))
        collector.send(frame(**OUTCOMES))
        call = pilot.trigger_call(stream)
        call.send(http_response(accepted_response(2)))
        assert pilot.alive()
        pilot.time.until(lambda: all(one.poll().ended for one in silent))
        assert collector.poll().ended is None
        pilot.until_logged("figures")
        assert pilot.log("figures")[-1]["joined"] == 1 and pilot.log("figures")[-1]["reports"] == 1
        assert not pilot.log("task_failed")
    finally:
        pilot.process.kill()
        pilot.process.wait()


def test_a_closed_log_pipe_does_not_stop_the_pilot(tmp_path):
    pilot = Process(tmp_path)
    reader, writer = os.pipe()
    variables = {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": "%s:%d" % pilot.listen,
        "RELAY_DISCOVERY": pilot.discovery.address_text,
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
            peer.reset()  # each is logged and requested again
        assert pilot.relay.accept().request()[0].startswith("GET ")
        assert pilot.discovery.accept().request()[0].startswith("GET ")
        assert pilot.alive()
        pilot.process.send_signal(signal.SIGTERM)
        assert pilot.wait_ended() == 0
    finally:
        pilot.process.kill()
        pilot.process.wait()
