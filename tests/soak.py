"""Soak test of the platform command: a real process under bursts of signals and client load.

Usage: `.venv/bin/python tests/soak.py FIRST_SEED LAST_SEED [NAME=VALUE ...]`; the variables are set in the
environment of the process under test only.

Every probe that the process reads must be answered. If a probe was left unread at shutdown, the kernel resets
the connection; an end of stream without an answer means that a request was read and lost.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from platform_parts import SECOND, ListAgent, Relay, configuration, frame, instance, listing

from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports

PROBE, ALIVE = frame(t="probe"), frame(t="alive")
KILL_GRACE_S = 0.7  # earliest SIGKILL after SIGTERM
READY_TIMEOUT_S = 10.0
LOOP_STOP_TIMEOUT_S = 0.5  # a loop without timers left does not notice
ANSWER_TIMEOUT_S = 3.0
CLIENTS, BURST_CLIENTS, PROCESS_RUNS = 8, 60, 2
RESET_TIMEOUT_S = 1.0  # for a reset to follow an end of stream on loopback


def cpu_time_s(pid):
    """Returns the CPU time that a process has used, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


class Peers:
    """Relay and discovery servers on an event loop in a background thread."""

    def __init__(self, relay, discovery):
        self.loop = real_loop()
        self.relay, self.agent = Relay(self.loop, relay), ListAgent(self.loop, discovery)
        self.relay.set_snapshot()
        self.loop.spawn(self._send_updates(), "signs")
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()

    def stop(self):
        """Ends the loop and frees the servers' ports."""
        self.loop.stop()
        self.thread.join(LOOP_STOP_TIMEOUT_S)
        self.relay.listener.close()
        self.agent.listener.close()

    def _send_updates(self):
        revision = 8
        while True:
            yield from self.loop.sleep(SECOND // 4)
            revision += 1
            self.relay._write(":\n\n")
            self.agent.publish(listing(revision, instance("a", started=int(time.time() * 1000))))


class Soak:
    """One seeded run: successive processes under the same long-running clients."""

    def __init__(self, seed, folder, environ):
        self.rng = random.Random(seed)
        # Held until the end of the run so that concurrent runs do not share an address.
        ports = self.ports = Ports(real_loop())
        self.listen, relay, discovery = ports.take(), ports.take(), ports.take()
        self.path = Path(folder) / "config.json"
        self.text = json.dumps(
            configuration(
                listen="%s:%d" % self.listen,
                discovery="%s:%d" % discovery,
                registry={"address": "%s:%d" % relay},
            )
        )
        self.path.write_text(self.text)
        self.environ = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": "%s:%d" % self.listen,
            "RELAY_DISCOVERY": "%s:%d" % discovery,
            "RELAY_CONFIG": str(self.path),
            **environ,
        }
        self.peers = Peers(relay, discovery)
        self.log = open(Path(folder) / "log", "ab")
        self.outcomes, self.violations, self.stopping = Counter(), [], False
        self.last_sigterm_at = None

    def run(self):
        """Runs all processes and returns the list of violations."""
        clients = [
            threading.Thread(target=self._client, args=(self.rng.random(),), daemon=True)
            for _ in range(CLIENTS)
        ]
        clients.append(threading.Thread(target=self._collector, daemon=True))
        for run_index in range(PROCESS_RUNS):
            process = subprocess.Popen(
                [sys.executable, "-m", "cedarshift", "platform"], env=self.environ, stderr=self.log
            )
            try:
                self._wait_until_ready()
                if not run_index:
                    for one in clients:
                        one.start()
                if self.rng.random() < 0.4:
                    self._start_burst()
                self._send_signals(process)
                self._terminate(process)
            finally:
                process.kill()
                process.wait()
        self.stopping = True
        for one in clients:
            one.join(ANSWER_TIMEOUT_S)
        self.peers.stop()
        self.ports.release()
        self._read_log()
        return self.violations

    def _wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                with socket.create_connection(self.listen, timeout=1) as connection:
                    connection.sendall(PROBE)
                    if connection.recv(100) == ALIVE:
                        return
            except OSError:
                time.sleep(0.02)
        self.violations.append(f"not ready within {READY_TIMEOUT_S} s")

    def _send_signals(self, process):
        for _ in range(self.rng.randint(0, 5)):
            time.sleep(self.rng.uniform(0, 0.25))
            kind = self.rng.choice(["reload", "torn", "pause"])
            if kind == "pause":
                process.send_signal(signal.SIGSTOP)
                time.sleep(self.rng.uniform(0.02, 0.2))
                process.send_signal(signal.SIGCONT)
                continue
            if kind == "torn":
                self.path.write_text(self.text[: self.rng.randrange(len(self.text))])
            for _ in range(self.rng.randint(1, 4)):
                process.send_signal(signal.SIGHUP)
            self.path.write_text(self.text)

    def _terminate(self, process):
        """Sends SIGTERM and further signals, and requires a clean exit within the grace period."""
        terminated_at = self.last_sigterm_at = time.monotonic()
        cpu_before = cpu_time_s(process.pid)
        process.send_signal(signal.SIGTERM)
        for _ in range(self.rng.randint(0, 4)):
            time.sleep(self.rng.uniform(0, 0.05))
            process.send_signal(self.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        try:
            code = process.wait(max(0, terminated_at + KILL_GRACE_S - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.violations.append(
                f"still running {KILL_GRACE_S} s after SIGTERM: "
                + self._describe_stop(process.pid, terminated_at, cpu_before)
            )
            return
        if code != 0:
            self.violations.append(f"exit code {code} after SIGTERM")

    def _describe_stop(self, pid, terminated_at, cpu_before):
        """Returns the CPU time that the process used since SIGTERM, and when it logged what."""
        used = cpu_time_s(pid) - cpu_before
        self.log.flush()
        lines = Path(self.log.name).read_text(errors="replace").splitlines()
        rows = [json.loads(line) for line in lines if line.startswith('{"at_ms"')]
        events = [
            f"{row['event']} at {row['at_ms'] / 1000 - terminated_at:.3f} s"
            for row in rows
            if row["at_ms"] / 1000 >= terminated_at
        ]
        return f"{used:.2f} s of CPU time; logged: {', '.join(events) or 'nothing'}"

    def _client(self, seed):
        """Sends probes on one connection until it ends, then reconnects."""
        rng = random.Random(seed)
        while not self.stopping:
            try:
                with socket.create_connection(self.listen, timeout=ANSWER_TIMEOUT_S) as connection:
                    while not self.stopping and self._probe(connection):
                        time.sleep(rng.uniform(0, 0.06))
            except OSError:
                self.outcomes["no connection"] += 1
                time.sleep(0.01)

    def _start_burst(self):
        threads = [threading.Thread(target=self._burst_client, daemon=True) for _ in range(BURST_CLIENTS)]
        for one in threads:
            one.start()

    def _burst_client(self):
        try:
            with socket.create_connection(self.listen, timeout=ANSWER_TIMEOUT_S) as connection:
                while self._probe(connection):
                    time.sleep(0.02)
        except OSError:
            self.outcomes["no connection"] += 1

    def _probe(self, connection):
        """Sends one probe; returns whether the connection is still usable."""
        try:
            sent = time.monotonic()
            connection.sendall(PROBE)
            received = b""
            while len(received) < len(ALIVE):
                data = connection.recv(100)
                if not data:
                    waited = time.monotonic() - sent
                    self._record(
                        "never read" if self._was_reset(connection) else "read and not answered", sent, waited
                    )
                    return False
                received += data
        except TimeoutError:
            self._record("no answer in time", sent, ANSWER_TIMEOUT_S)
            return False
        except OSError:
            self.outcomes["never read"] += 1
            return False
        self.outcomes["answered"] += 1
        return True

    @staticmethod
    def _was_reset(connection):
        """Returns whether a reset follows the end of stream.

        The reset can be delayed on a busy machine, so it is polled for.
        """
        deadline = time.monotonic() + RESET_TIMEOUT_S
        while time.monotonic() < deadline:
            if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            time.sleep(0.01)
        return False

    def _record(self, outcome, sent, waited):
        self.outcomes[outcome] += 1
        if outcome != "never read":
            when = (
                f"{sent - self.last_sigterm_at:.4f} s after the newest SIGTERM"
                if self.last_sigterm_at
                else "before any SIGTERM"
            )
            self.violations.append(f"probe: {outcome}; sent {when}, waited {waited:.4f} s")

    def _collector(self):
        report = frame(
            t="outcomes", locality="za", endpoint="a", total=12, errors=3, rtt=41.7, interval=2000.0
        )
        while not self.stopping:
            try:
                with socket.create_connection(self.listen, timeout=ANSWER_TIMEOUT_S) as connection:
                    connection.sendall(frame(t="agent", locality="za"))
                    while not self.stopping:
                        connection.sendall(report * 5)
                        time.sleep(0.05)
            except OSError:
                time.sleep(0.02)

    def _read_log(self):
        self.log.close()
        for line in Path(self.log.name).read_text(errors="replace").splitlines():
            if any(word in line for word in ("task_failed", "timer_failed", "module_failed", "Traceback")):
                self.violations.append(line[:300])


def soak(seed, environ=None):
    """Runs one seed and returns (violations, count of probes by outcome)."""
    with tempfile.TemporaryDirectory() as folder:
        one = Soak(seed, folder, environ or {})
        return one.run(), one.outcomes


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    environ = dict(part.split("=", 1) for part in sys.argv[3:])
    failed = 0
    for seed in range(first, last + 1):
        violations, outcomes = soak(seed, environ)
        failed += bool(violations)
        print(seed, "BROKEN" if violations else "kept", dict(outcomes), *violations[:5], flush=True)
    print(f"{last - first + 1} seeds, {failed} broken")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
