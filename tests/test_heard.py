"""Running totals of sample windows, against totals computed from all samples; and the loop's wake-up pipe."""

import os
import signal
import stat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarshift.loop.epoll import Signals, real_loop
from cedarshift.observations import MAX_SAMPLES, Endpoint, Slice

REPORT = st.tuples(
    st.integers(0, 3_000),
    st.integers(1, 40),
    st.integers(0, 40),
    st.sampled_from((0, 7, 900, 4_000)),
    st.integers(1, 5_000),
    st.sampled_from("abc"),
)


def window(samples, now, recent):
    return [s for s in samples if s[0] >= now - recent]


@given(st.lists(REPORT, max_size=130), st.integers(500, 9_000), st.sets(st.integers(0, 130)))
def test_an_endpoints_totals_are_those_of_the_windows_samples(steps, recent, advance_after):
    e, now, all_samples = Endpoint("e"), 0, []
    for n, (gap, *figures) in enumerate(steps):
        now += gap
        all_samples.append((now, *figures))
        e.add_sample(all_samples[-1])
        if n in advance_after:
            e.advance(now, recent)
    now += 100
    e.advance(now, recent)
    kept = all_samples[-MAX_SAMPLES:]
    got = window(kept, now, recent)
    acked = [s for s in got if s[3] > 0]
    assert e.totals == [
        sum(s[1] for s in got),
        sum(s[2] for s in got),
        sum(s[1] - s[2] for s in acked),
        sum((s[1] - s[2]) * s[3] for s in acked),
    ]
    assert [sum(column) for column in zip([0] * 4, *e.totals_by_origin.values())] == e.totals
    assert e.ack_times == sorted(s[3] for s in kept if s[3])
    assert e.totals_valid_until == (got[0][0] + recent if got else float("inf"))


@given(
    st.lists(st.tuples(st.integers(0, 3_000), st.integers(0, 50), st.integers(1, 900)), max_size=130),
    st.integers(500, 9_000),
)
def test_a_slices_totals_are_those_of_the_windows_samples(steps, recent):
    s, now, all_samples = Slice(0, 0), 0, []
    for gap, ops, span in steps:
        now += gap
        all_samples.append((now, ops, span, 0, "get"))
        s.add_sample(all_samples[-1])
    s.advance(now, recent)
    got = window(all_samples[-MAX_SAMPLES:], now, recent)
    assert (s.ops, s.span, s.window_count) == (sum(g[1] for g in got), sum(g[2] for g in got), len(got))


def test_reset_drops_all_samples():
    e = Endpoint("e")
    e.add_sample((10, 5, 1, 700, 100, "a"))
    e.reset()
    assert (e.totals, e.ack_times, e.totals_by_origin, e.window_count, len(e.samples)) == (
        [0, 0, 0, 0],
        [],
        {},
        0,
        0,
    )


@pytest.mark.parametrize("end", ["read_fd", "write_fd"])
def test_signals_wake_the_loop_by_a_pipe_and_no_unix_socket(end):
    loop = real_loop()
    signals = Signals(loop, loop.network, [])
    try:
        assert stat.S_ISFIFO(os.fstat(getattr(signals, end)).st_mode)
    finally:
        signal.set_wakeup_fd(-1)
