"""The totals that follow samples as they come and leave the window, against sums made anew."""

import os
import signal
import stat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarshift.loop.epoll import Signals, real_loop
from cedarshift.observations import SAMPLES, Endpoint, Slice

SUM = st.tuples(
    st.integers(0, 3_000),
    st.integers(1, 40),
    st.integers(0, 40),
    st.sampled_from((0, 7, 900, 4_000)),
    st.integers(1, 5_000),
    st.sampled_from("abc"),
)


def window(samples, now, recent):
    return [s for s in samples if s[0] >= now - recent]


@given(st.lists(SUM, max_size=130), st.integers(500, 9_000), st.sets(st.integers(0, 130)))
def test_an_endpoints_totals_are_those_of_the_windows_samples(steps, recent, looks):
    e, now, all_heard = Endpoint("e"), 0, []
    for n, (gap, *figures) in enumerate(steps):
        now += gap
        all_heard.append((now, *figures))
        e.hear(all_heard[-1])
        if n in looks:
            e.look(now, recent)
    now += 100
    e.look(now, recent)
    kept = all_heard[-SAMPLES:]
    got = window(kept, now, recent)
    acked = [s for s in got if s[3] > 0]
    assert e.total == [
        sum(s[1] for s in got),
        sum(s[2] for s in got),
        sum(s[1] - s[2] for s in acked),
        sum((s[1] - s[2]) * s[3] for s in acked),
    ]
    assert [sum(column) for column in zip([0] * 4, *e.fares.values())] == e.total
    assert e.times == sorted(s[3] for s in kept if s[3])
    assert e.holds == (got[0][0] + recent if got else float("inf"))


@given(
    st.lists(st.tuples(st.integers(0, 3_000), st.integers(0, 50), st.integers(1, 900)), max_size=130),
    st.integers(500, 9_000),
)
def test_a_slices_totals_are_those_of_the_windows_samples(steps, recent):
    s, now, all_heard = Slice(0, 0), 0, []
    for gap, ops, span in steps:
        now += gap
        all_heard.append((now, ops, span, 0, "get"))
        s.hear(all_heard[-1])
    s.look(now, recent)
    got = window(all_heard[-SAMPLES:], now, recent)
    assert (s.ops, s.span, s.inside) == (sum(g[1] for g in got), sum(g[2] for g in got), len(got))


def test_a_new_process_has_no_sums_of_the_old_one():
    e = Endpoint("e")
    e.hear((10, 5, 1, 700, 100, "a"))
    e.forget()
    assert (e.total, e.times, e.fares, e.inside, len(e.samples)) == ([0, 0, 0, 0], [], {}, 0, 0)


@pytest.mark.parametrize("end", ["read_fd", "write_fd"])
def test_signals_wake_the_loop_by_a_pipe_and_no_unix_socket(end):
    loop = real_loop()
    signals = Signals(loop, loop.network, [])
    try:
        assert stat.S_ISFIFO(os.fstat(getattr(signals, end)).st_mode)
    finally:
        signal.set_wakeup_fd(-1)
