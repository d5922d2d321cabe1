import os
import signal
import stat

import pytest

from cedarshift.loop.epoll import Signals, real_loop


@pytest.mark.parametrize("end", ["inner", "outer"])
def test_signals_wake_the_loop_by_a_pipe_and_no_unix_socket(end):
    loop = real_loop()
    signals = Signals(loop, loop.network, [])
    try:
        assert stat.S_ISFIFO(os.fstat(getattr(signals, end)).st_mode)
    finally:
        signal.set_wakeup_fd(-1)
