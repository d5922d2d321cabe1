import os
import signal
from types import SimpleNamespace

import pytest
from program import virtual_loop

from cedarshift.loop import BufferFull, Loop, StreamBroken, TimedOut, dial, listen
from cedarshift.loop.epoll import Signals, real_loop
from cedarshift.loop.memory import LinkConditions, MemoryNetwork, VirtualClock

DOOR = ("127.0.0.1", 7300)


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
    door = listen(loop, ("127.0.0.1", 0))
    loop.spawn(echo(loop, door), "accept")

    def main():
        stream = yield from dial(loop, door.address)
        stream.write(b"x" * 300_000)
        got = 0
        while got < 300_000:
            got += len((yield from stream.read(loop.now() + 2_000_000)))
        stream.close()
        return got

    assert loop.run(loop.spawn(main(), "main")) == 300_000


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
def test_a_dial_to_nobody_fails_and_a_read_times_out(make):
    loop = make()
    door = listen(loop, ("127.0.0.1", 0))

    def main():
        stream = yield from dial(loop, door.address)
        with pytest.raises(TimedOut):
            yield from stream.read(loop.now() + 20_000)
        door.close()
        with pytest.raises(StreamBroken):
            yield from dial(loop, door.address)

    loop.run(loop.spawn(main(), "main"))


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
def test_a_peer_that_does_not_read_fills_its_own_buffer_only(make):
    loop = make()
    door = listen(loop, ("127.0.0.1", 0), max_pending_bytes=100_000)

    def main():
        deaf = yield from dial(loop, door.address)
        to_deaf = yield from door.accept()
        live = yield from dial(loop, door.address)
        to_live = yield from door.accept()
        with pytest.raises(BufferFull):
            for _ in range(1000):
                to_deaf.write(b"y" * 65_536)
        to_live.write(b"z")
        assert (yield from live.read(loop.now() + 1_000_000)) == b"z"
        deaf.close()
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


def test_a_task_that_raises_is_told_once_with_its_traceback_and_harms_no_other():
    loop = virtual_loop()

    def bad():
        yield from loop.sleep(10)
        raise KeyError("here")

    loop.spawn(bad(), "bad")
    loop.run(loop.spawn(loop.sleep(1000), "main"))
    assert [(event, fields["task"]) for event, fields in loop.heard] == [("task_failed", "bad")]
    assert "KeyError" in loop.heard[0][1]["traceback"]


def test_a_cancelled_task_cleans_up_and_join_tells_of_it():
    loop, seen = virtual_loop(), []

    def waits():
        try:
            yield from loop.sleep(10_000_000)
        finally:
            seen.append("cleaned")

    task = loop.spawn(waits(), "waits")
    loop.at(loop.now() + 100, task.cancel)
    loop.run(loop.spawn(loop.sleep(1000), "main"))
    assert seen == ["cleaned"] and task.done and loop.heard == []


def test_a_stale_waker_wakes_nobody():
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

    class Nothing:
        def poll(self, wait):
            pass

    heard = []
    loop = Loop(Clock(), Nothing(), lambda event, **fields: heard.append((event, fields["task"])))
    loop.run(loop.spawn(loop.yield_control(), "slow"))
    assert ("slow_step", "slow") in heard


def test_a_reader_that_always_has_more_lets_others_run():
    loop, swallowed = virtual_loop(delay=0), []
    door = listen(loop, DOOR)

    def flood(stream):
        while True:
            stream.write(b"f" * 60_000)
            yield from stream.drain(0)

    def main():
        stream = yield from dial(loop, DOOR)
        loop.spawn(flood((yield from door.accept())), "flood")

        def swallow():
            while True:
                swallowed.append(len((yield from stream.read())))

        loop.spawn(swallow(), "swallow")
        for _ in range(50):
            yield from loop.yield_control()

    loop.run(loop.spawn(main(), "main"))
    assert 0 < len(swallowed) < 200


def test_signals_come_as_something_to_wait_for():
    loop = real_loop()
    signals = Signals(loop, loop.network, [signal.SIGHUP])
    loop.at(loop.now() + 1000, os.kill, os.getpid(), signal.SIGHUP)
    assert loop.run(loop.spawn(signals.next(), "signals")) == signal.SIGHUP
    signal.set_wakeup_fd(-1)


def test_a_full_listener_turns_newcomers_away():
    loop = virtual_loop()
    door = listen(loop, DOOR, max_streams=2)

    def main():
        streams = []
        for _ in range(3):
            streams.append((yield from dial(loop, DOOR)))
        for _ in range(2):
            yield from door.accept()
        loop.spawn(door.accept(), "third")
        assert (yield from streams[2].read(loop.now() + 10_000)) == b""
        assert door.refused_count == 1

    loop.run(loop.spawn(main(), "main"))


@pytest.mark.parametrize("make", [real_loop, virtual_loop])
@pytest.mark.parametrize("size", [1, 65_536, 70_000])
def test_the_end_of_a_stream_is_seen_when_it_came_with_the_last_bytes(make, size):
    loop = make()
    door = listen(loop, ("127.0.0.1", 0))

    def main():
        stream = yield from dial(loop, door.address)
        far = yield from door.accept()
        far.write(b"e" * size)
        far.finish(1_000_000)
        yield from loop.sleep(20_000)  # bytes and end lie there together
        got = 0
        while data := (yield from stream.read(loop.now() + 1_000_000)):
            got += len(data)
        return got

    assert loop.run(loop.spawn(main(), "main")) == size


def test_a_timer_whose_call_fails_is_reported_and_harms_no_other():
    loop, ran = virtual_loop(), []
    loop.at(loop.now(), lambda: 1 // 0)
    loop.at(loop.now(), ran.append, 1)

    def main():
        yield from loop.sleep(1_000)
        return True

    assert loop.run(loop.spawn(main(), "main")) and ran == [1]
    assert [event for event, _ in loop.heard] == ["timer_failed"]


def test_timers_of_waits_that_ended_are_forgotten():
    loop = virtual_loop()
    kept = loop.at(10**12, lambda: None)
    for n in range(20_000):
        loop.at(10**9 + n, lambda: None).cancel()
    assert len(loop.timers) < 3_000 and kept in [timer for _, _, timer in loop.timers]


def test_what_waited_for_a_cut_comes_in_its_order_and_before_what_is_sent_later():
    delays = iter([5, 5, 90, 10, 50, 1, 1, 1, 1, 1])
    network = MemoryNetwork(VirtualClock(), lambda: next(delays, 1))
    door, attempt = network.listen(DOOR), network.dial(DOOR)
    network.poll(1_000)
    near, (far, _) = attempt.poll(), door.accept()
    near.owner, far.owner = (
        SimpleNamespace(name="a", alive=True, deliver=lambda *edge: None),
        SimpleNamespace(name="b", alive=True, deliver=lambda *edge: None),
    )
    network.set_link_conditions("a", "b", LinkConditions(cut=True))
    for piece in (b"one ", b"two ", b"three "):
        near.send(piece)
    network.set_link_conditions("a", "b", None)
    near.send(b"four")
    for _ in range(10):
        network.poll(100)
    assert far.recv(100) == b"one two three four"
