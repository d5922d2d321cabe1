"""Tests of the event loop, its streams and listeners, on real sockets and on the in-memory network."""

import os
import signal
from types import SimpleNamespace

import pytest
from program import virtual_loop

from cedarshift.loop import BufferFull, Loop, StreamBroken, TimedOut, dial, listen
from cedarshift.loop.epoll import Signals, real_loop
from cedarshift.loop.memory import LinkConditions, MemoryNetwork, VirtualClock

ADDRESS = ("127.0.0.1", 7300)


def echo(loop, listener):
    def one(stream):
        while data := (yield from stream.read()):
            stream.write(data)
        stream.finish(100_000)

    while True:
        stream = yield from listener.accept()
        loop.spawn(one(stream), "echo")


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
def test_the_same_code_runs_on_sockets_and_in_memory(make):
    loop = make()
    listener = listen(loop, ("127.0.0.1", 0))
    loop.spawn(echo(loop, listener), "accept")

    def main():
        stream = yield from dial(loop, listener.address)
        stream.write(b"x" * 300_000)
        got = 0
        while got < 300_000:
            got += len((yield from stream.read(loop.now() + 2_000_000)))
        stream.close()
        return got

    assert loop.run(loop.spawn(main(), "main")) == 300_000


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
def test_a_dial_to_a_closed_listener_fails_and_a_read_times_out(make):
    loop = make()
    listener = listen(loop, ("127.0.0.1", 0))

    def main():
        stream = yield from dial(loop, listener.address)
        with pytest.raises(TimedOut):
            yield from stream.read(loop.now() + 20_000)
        listener.close()
        with pytest.raises(StreamBroken):
            yield from dial(loop, listener.address)

    loop.run(loop.spawn(main(), "main"))


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
def test_a_peer_that_does_not_read_fills_only_its_own_buffer(make):
    loop = make()
    listener = listen(loop, ("127.0.0.1", 0), max_pending_bytes=100_000)

    def main():
        stalled = yield from dial(loop, listener.address)
        to_stalled = yield from listener.accept()
        live = yield from dial(loop, listener.address)
        to_live = yield from listener.accept()
        with pytest.raises(BufferFull):
            for _ in range(1000):
                to_stalled.write(b"y" * 65_536)
        to_live.write(b"z")
        assert (yield from live.read(loop.now() + 1_000_000)) == b"z"
        stalled.close()
        live.close()

    loop.run(loop.spawn(main(), "main"))


def test_timers_run_in_order_and_a_cancelled_one_does_not():
    loop, ran = virtual_loop(), []
    loop.at(loop.now() + 300, ran.append, 3)
    loop.at(loop.now() + 100, ran.append, 1)
    loop.at(loop.now() + 100, ran.append, 2)
    loop.at(loop.now() + 200, ran.append, 9).cancel()
    loop.run(loop.spawn(loop.sleep(1000), "main"))
    assert ran == [1, 2, 3]


def test_a_task_that_raises_is_reported_once_with_its_traceback_and_ends_alone():
    loop = virtual_loop()

    def bad():
        yield from loop.sleep(10)
        raise KeyError("here")

    loop.spawn(bad(), "bad")
    loop.run(loop.spawn(loop.sleep(1000), "main"))
    assert [(event, fields["task"]) for event, fields in loop.events] == [("task_failed", "bad")]
    assert "KeyError" in loop.events[0][1]["traceback"]


def test_a_cancelled_task_cleans_up_and_is_not_reported():
    loop, seen = virtual_loop(), []

    def waits():
        try:
            yield from loop.sleep(10_000_000)
        finally:
            seen.append("cleaned")

    task = loop.spawn(waits(), "waits")
    loop.at(loop.now() + 100, task.cancel)
    loop.run(loop.spawn(loop.sleep(1000), "main"))
    assert seen == ["cleaned"] and task.done and loop.events == []


def test_a_waker_resumes_its_task_only_once():
    loop, got = virtual_loop(), []

    def main():
        waker = loop.waker()
        loop.at(loop.now() + 100, waker.wake, "first")
        loop.at(loop.now() + 100, waker.wake, "second")
        got.append((yield))
        yield from loop.sleep(1000)

    loop.run(loop.spawn(main(), "main"))
    assert got == ["first"]


def test_a_slow_step_is_reported_with_its_name():
    times = iter(range(0, 100_000_000, 60_000))

    class Clock:
        def now(self):
            return next(times)

    class IdleNetwork:
        def poll(self, wait):
            pass

    reported = []
    loop = Loop(Clock(), IdleNetwork(), lambda event, **fields: reported.append((event, fields["task"])))
    loop.run(loop.spawn(loop.yield_control(), "slow"))
    assert ("slow_step", "slow") in reported


def test_a_reader_that_always_has_more_lets_others_run():
    loop, read_sizes = virtual_loop(delay=0), []
    listener = listen(loop, ADDRESS)

    def flood(stream):
        while True:
            stream.write(b"f" * 60_000)
            yield from stream.drain(0)

    def main():
        stream = yield from dial(loop, ADDRESS)
        loop.spawn(flood((yield from listener.accept())), "flood")

        def read_all():
            while True:
                read_sizes.append(len((yield from stream.read())))

        loop.spawn(read_all(), "read all")
        for _ in range(50):
            yield from loop.yield_control()

    loop.run(loop.spawn(main(), "main"))
    assert 0 < len(read_sizes) < 200


def test_a_coroutine_can_wait_for_a_signal():
    loop = real_loop()
    signals = Signals(loop, loop.network, [signal.SIGHUP])
    loop.at(loop.now() + 1000, os.kill, os.getpid(), signal.SIGHUP)
    assert loop.run(loop.spawn(signals.next(), "signals")) == signal.SIGHUP
    signal.set_wakeup_fd(-1)


def test_a_full_listener_closes_further_connections():
    loop = virtual_loop()
    listener = listen(loop, ADDRESS, max_streams=2)

    def main():
        streams = []
        for _ in range(3):
            streams.append((yield from dial(loop, ADDRESS)))
        for _ in range(2):
            yield from listener.accept()
        loop.spawn(listener.accept(), "third")
        assert (yield from streams[2].read(loop.now() + 10_000)) == b""
        assert listener.refused_count == 1

    loop.run(loop.spawn(main(), "main"))


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
@pytest.mark.parametrize("size", [1, 65_536, 70_000])
def test_the_end_of_a_stream_is_seen_when_it_arrives_with_the_last_bytes(make, size):
    loop = make()
    listener = listen(loop, ("127.0.0.1", 0))

    def main():
        stream = yield from dial(loop, listener.address)
        far = yield from listener.accept()
        far.write(b"e" * size)
        far.finish(1_000_000)
        yield from loop.sleep(20_000)  # data and end of stream are both waiting
        got = 0
        while data := (yield from stream.read(loop.now() + 1_000_000)):
            got += len(data)
        return got

    assert loop.run(loop.spawn(main(), "main")) == size


def test_a_timer_whose_call_fails_is_reported_and_others_still_run():
    loop, ran = virtual_loop(), []
    loop.at(loop.now(), lambda: 1 // 0)
    loop.at(loop.now(), ran.append, 1)

    def main():
        yield from loop.sleep(1_000)
        return True

    assert loop.run(loop.spawn(main(), "main")) and ran == [1]
    assert [event for event, _ in loop.events] == ["timer_failed"]


def test_cancelled_timers_are_removed():
    loop = virtual_loop()
    kept = loop.at(10**12, lambda: None)
    for n in range(20_000):
        loop.at(10**9 + n, lambda: None).cancel()
    assert len(loop.timers) < 3_000 and kept in [timer for _, _, timer in loop.timers]


def test_data_held_back_by_a_cut_link_arrives_in_order_before_later_data():
    delays = iter([5, 5, 90, 10, 50, 1, 1, 1, 1, 1])
    network = MemoryNetwork(VirtualClock(), lambda: next(delays, 1))
    listener, attempt = network.listen(ADDRESS), network.dial(ADDRESS)
    network.poll(1_000)
    near, (far, _) = attempt.poll(), listener.accept()
    near.owner, far.owner = (
        SimpleNamespace(name="a", alive=True, deliver=lambda *edge: None),
        SimpleNamespace(name="b", alive=True, deliver=lambda *edge: None),
    )
    network.set_link_conditions("a", "b", LinkConditions(cut=True))
    for segment in (b"one ", b"two ", b"three "):
        near.send(segment)
    network.set_link_conditions("a", "b", None)
    near.send(b"four")
    for _ in range(10):
        network.poll(100)
    assert far.recv(100) == b"one two three four"
