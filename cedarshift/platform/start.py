"""The pilot as a process: started from variables and a file, moved by SIGHUP, ended by SIGTERM."""

from __future__ import annotations

import errno
import gc
import random
import signal
from typing import Callable, Mapping, Optional

from cedarshift.codec.platform.errors import Refused, Unfinished
from cedarshift.codec.platform.place import Place, Variables, place, variables
from cedarshift.log_output import LogOutput
from cedarshift.loop import Loop, Task, listen, supervise
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import Signals, random_bytes, real_loop, wall_clock
from cedarshift.platform.log import make_report
from cedarshift.platform.service import PlatformPilot

# Constants: unit, then the reason for the size.
REREADS_MOST = 20  # times that a configuration is read again after a signal: it may be half written
REREAD_AFTER = 100_000  # us between them
REREAD_MOST = 1_000_000  # us between tries of a file that can't be read; what it holds is owed once it can
START_WITHIN = 3_000_000  # us that a start waits for a file that is being replaced, or for a former process to leave the address
FIGURES_EVERY = 5_000_000  # us; how often the log tells the pilot's counts
HAND_OVERS_EVERY = 1_000_000  # us; how often it tells what hand-overs wait for
# What may keep a listener from its address for a moment: a former process, or a machine short of descriptors or memory.
FOR_A_MOMENT = frozenset({errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
CALLER_UNREAD = 65_536  # bytes that may wait for a caller: nobody but a prober is sent anything
REFUSED = 2  # exit code of a start that was refused
CONFIG_MOST = 16 << 20  # bytes; a list of 10,000 endpoints has about 2 MB


def read_place(told: Variables) -> Place:
    """Raises Refused with the file, the place in it and the reason; Unfinished where it may be whole a moment later."""
    try:
        with open(told.config, "rb") as source:
            data = source.read(CONFIG_MOST + 1)
    except OSError as error:
        raise Unfinished(f"{told.config}: {error.strerror}") from None
    if len(data) > CONFIG_MOST:
        raise Refused(f"{told.config}: over {CONFIG_MOST} bytes")
    return place(told, data)


def run(environ: Mapping[str, str]) -> int:
    loop = real_loop()
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    try:
        told = variables(environ)
    except Refused as error:
        return refuse(error)
    report = loop.report = make_report(loop.clock, told.name)
    code = loop.run(loop.spawn(serve(loop, signals, told, report), "main"))
    signals.ignore()
    return code


def refuse(error: Exception) -> int:
    LogOutput().write(f"cedarshift platform: {error}\n")
    return REFUSED


def serve(loop: Loop, signals: Signals, told: Variables, report: Callable[..., None]) -> Coroutine:
    """Starts the pilot and ends with the exit code."""
    try:
        started = yield from begun(loop, signals, lambda: read_place(told), report)
    except (Refused, OSError) as error:
        return refuse(error)
    if started is None:
        return 0
    first, listener = started
    pilot = PlatformPilot(loop, first, wall_clock, listener, report, random.Random(random_bytes(8)).random)
    report(
        "pilot_serves",
        address=f"{first.listen[0]}:{first.listen[1]}",
        slices=first.terms.slices,
        listed=0 if first.known is None else len(first.known.entries),
        sockets=first.sockets,
    )
    gc.collect()
    gc.freeze()  # what a start made lives as long as the process: no collection looks at it
    loop.spawn(supervise(loop, lambda: tell_figures(loop, pilot, report), "figures"), "figures")
    loop.spawn(supervise(loop, lambda: tell_hand_overs(loop, pilot), "hand-overs"), "hand-overs")
    code = yield from until_stopped(loop, signals, lambda: read_place(told), pilot, report)
    yield from pilot.stop()
    report("pilot_stopped", **figures(pilot))
    return code


def begun(loop: Loop, signals: Signals, read: Callable[[], Place], report: Callable[..., None]) -> Coroutine:
    """The configuration and a listener at its address; None where a signal to stop came first. A file that is being replaced
    and an address that a former process is about to leave are waited for, START_WITHIN in all; then Refused or OSError."""
    until = loop.now() + START_WITHIN
    while True:
        try:
            first = read()
            return first, listen(loop, first.listen, first.sockets, CALLER_UNREAD)
        except (Unfinished, OSError) as error:
            if loop.now() >= until or isinstance(error, OSError) and error.errno not in FOR_A_MOMENT:
                raise
            report("start_waits", reason=str(error))
        yield from loop.sleep(REREAD_AFTER)
        if any(number != signal.SIGHUP for number in signals.pending):
            return None


def until_stopped(
    loop: Loop, signals: Signals, read: Callable[[], Place], pilot: PlatformPilot, report: Callable[..., None]
) -> Coroutine:
    """Ends with the exit code at SIGTERM: what it held is no longer its duty. One reload runs at a time: each reads the newest file."""
    reload: Optional[Task] = None
    while True:
        number = yield from signals.next()
        if reload is not None:
            reload.cancel()
        if number != signal.SIGHUP:
            return 0
        reload = loop.spawn(moved(loop, read, pilot, report), "reload")


def moved(
    loop: Loop, read: Callable[[], Place], pilot: PlatformPilot, report: Callable[..., None]
) -> Coroutine:
    """The configuration's new addresses. One that is wrong is refused, and read again for a while: it may be half written. One that
    can't be read, or is no JSON, is read again until it can: the reload was taken on, and the disk may fail for long."""
    refused, wait = 0, REREAD_AFTER
    while refused < REREADS_MOST:
        try:
            new = read()
        except Refused as error:
            report("reload_refused", reason=str(error))
            yield from loop.sleep(wait)
            if isinstance(error, Unfinished):
                wait = min(REREAD_MOST, wait + REREAD_AFTER)
            else:
                refused += 1
            continue
        pilot.move(new)
        report(
            "reloaded",
            relay=f"{new.relay[0]}:{new.relay[1]}",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
        )
        return


def figures(pilot: PlatformPilot) -> dict[str, object]:
    return {
        "proxies": len(pilot.proxies),
        "slices": len(pilot.slices),
        **pilot.counts,
        **pilot.brain.counts.fields(),
        **pilot.calls.counts,
        **pilot.news.counts,
        **pilot.discovery.counts,
        **pilot.collectors.counts,
        "slowest_ms": pilot.loop.slowest_step_us // 1000,
    }


def tell_figures(loop: Loop, pilot: PlatformPilot, report: Callable[..., None]) -> Coroutine:
    while True:
        yield from loop.sleep(FIGURES_EVERY)
        report("figures", **figures(pilot))
        report("slowest", endpoints=pilot.slowest_endpoints())


def tell_hand_overs(loop: Loop, pilot: PlatformPilot) -> Coroutine:
    while True:
        yield from loop.sleep(HAND_OVERS_EVERY)
        pilot.tell_hand_overs()
