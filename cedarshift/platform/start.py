"""The pilot process: start from environment and file, reload on SIGHUP, stop on SIGTERM."""

from __future__ import annotations

import errno
import gc
import random
import signal
from typing import Callable, Mapping, Optional

from cedarshift.codec.platform.config import Environment, PilotConfig, parse_config, parse_environment
from cedarshift.codec.platform.errors import ConfigError, ConfigNotReady
from cedarshift.log_output import LogOutput
from cedarshift.loop import Loop, Task, listen, supervise
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import Signals, random_bytes, real_loop, wall_clock
from cedarshift.platform.log import make_report
from cedarshift.platform.service import PlatformPilot

MAX_RELOAD_ATTEMPTS = 20  # of an invalid configuration, possibly still being written
REREAD_DELAY_US = 100_000
MAX_REREAD_DELAY_US = 1_000_000  # for a file that cannot be read, which is retried without limit
START_TIMEOUT_US = 3_000_000  # for a readable configuration and a free listen address
COUNTERS_INTERVAL_US = 5_000_000
HAND_OVERS_INTERVAL_US = 1_000_000
# Temporary failures to listen: the address is still in use, or descriptors or memory are exhausted.
TRANSIENT_ERRNOS = frozenset({errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MAX_PENDING_BYTES = 65_536  # output buffer of a connection, which carries only probe answers and errors
EXIT_START_FAILED = 2
MAX_CONFIG_BYTES = 16 << 20  # a list of 10,000 endpoints has about 2 MB


def read_config(environment: Environment) -> PilotConfig:
    """Reads the configuration file. Raises ConfigError, or ConfigNotReady if a later attempt may succeed."""
    try:
        with open(environment.config, "rb") as file:
            data = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise ConfigNotReady(f"{environment.config}: {error.strerror}") from None
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError(f"{environment.config}: over {MAX_CONFIG_BYTES} bytes")
    return parse_config(environment, data)


def run(environ: Mapping[str, str]) -> int:
    """Runs the pilot until it is stopped and returns the exit code."""
    loop = real_loop()
    signals = Signals(loop, loop.network, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])  # type: ignore[arg-type]
    try:
        environment = parse_environment(environ)
    except ConfigError as error:
        return report_start_failure(error)
    report = loop.report = make_report(loop.clock, environment.name)
    code = loop.run(loop.spawn(serve(loop, signals, environment, report), "main"))
    signals.ignore()
    return code


def report_start_failure(error: Exception) -> int:
    """Logs why the pilot could not start and returns the exit code."""
    LogOutput().write(f"cedarshift platform: {error}\n")
    return EXIT_START_FAILED


def serve(loop: Loop, signals: Signals, environment: Environment, report: Callable[..., None]) -> Coroutine:
    """Runs the pilot until a signal to stop. Returns the exit code."""
    began_at = loop.now()
    try:
        loaded = yield from load_and_listen(loop, signals, lambda: read_config(environment), report)
    except (ConfigError, OSError) as error:
        report("start_failed", reason=str(error), after_ms=(loop.now() - began_at) // 1000)
        return report_start_failure(error)
    if loaded is None:
        return 0
    config, listener = loaded
    loop.stream_memory.set_limit(config.max_memory_mb)
    pilot = PlatformPilot(loop, config, wall_clock, listener, report, random.Random(random_bytes(8)).random)
    report(
        "pilot_serves",
        address=f"{config.listen[0]}:{config.listen[1]}",
        slices=config.terms.slices,
        listed=0 if config.initial_list is None else len(config.initial_list.entries),
        sockets=config.max_sockets,
    )
    gc.collect()
    gc.freeze()  # startup objects live as long as the process: exclude them from collection
    loop.spawn(supervise(loop, lambda: log_counters(loop, pilot, report), "figures"), "figures")
    loop.spawn(supervise(loop, lambda: log_hand_overs(loop, pilot), "hand-overs"), "hand-overs")
    code = yield from handle_signals(loop, signals, lambda: read_config(environment), pilot, report)
    stopping_at = loop.now()
    report("pilot_stopping")
    yield from pilot.stop()
    report("pilot_stopped", took_ms=(loop.now() - stopping_at) // 1000, **counters(pilot))
    return code


def load_and_listen(
    loop: Loop, signals: Signals, read_config_file: Callable[[], PilotConfig], report: Callable[..., None]
) -> Coroutine:
    """Returns the configuration and a listener, or None if a signal to stop came first.

    Retries temporary failures for START_TIMEOUT_US. Raises ConfigError or OSError after that, and at once
    for an invalid configuration or another error."""
    deadline = loop.now() + START_TIMEOUT_US
    while True:
        try:
            config = read_config_file()
            return config, listen(loop, config.listen, config.max_sockets, MAX_PENDING_BYTES)
        except (ConfigNotReady, OSError) as error:
            if loop.now() >= deadline or isinstance(error, OSError) and error.errno not in TRANSIENT_ERRNOS:
                raise
            report("start_waits", reason=str(error))
        yield from loop.sleep(REREAD_DELAY_US)
        if any(number != signal.SIGHUP for number in signals.pending):
            return None


def handle_signals(
    loop: Loop,
    signals: Signals,
    read_config_file: Callable[[], PilotConfig],
    pilot: PlatformPilot,
    report: Callable[..., None],
) -> Coroutine:
    """Handles signals until one to stop, then returns the exit code. A SIGHUP starts a reload, and
    cancels one in progress."""
    reload: Optional[Task] = None
    while True:
        number = yield from signals.next()
        if reload is not None:
            reload.cancel()
        if number != signal.SIGHUP:
            return 0
        reload = loop.spawn(apply_reload(loop, read_config_file, pilot, report), "reload")


def apply_reload(
    loop: Loop, read_config_file: Callable[[], PilotConfig], pilot: PlatformPilot, report: Callable[..., None]
) -> Coroutine:
    """Applies the addresses of the new configuration file.

    An invalid configuration is retried MAX_RELOAD_ATTEMPTS times, a file that cannot be read or parsed
    until it can."""
    rejected_attempts, delay_us = 0, REREAD_DELAY_US
    while rejected_attempts < MAX_RELOAD_ATTEMPTS:
        try:
            config = read_config_file()
        except ConfigError as error:
            report("reload_refused", reason=str(error))
            yield from loop.sleep(delay_us)
            if isinstance(error, ConfigNotReady):
                delay_us = min(MAX_REREAD_DELAY_US, delay_us + REREAD_DELAY_US)
            else:
                rejected_attempts += 1
            continue
        pilot.update_addresses(config)
        report(
            "reloaded",
            relay=f"{config.relay[0]}:{config.relay[1]}",
            discovery=f"{config.discovery[0]}:{config.discovery[1]}",
        )
        return


def counters(pilot: PlatformPilot) -> dict[str, object]:
    """The counters of all parts of a pilot, for the log."""
    return {
        "proxies": len(pilot.proxies),
        "slices": len(pilot.slices),
        **pilot.counts,
        **pilot.brain.counts.fields(),
        **pilot.calls.counts,
        **pilot.events.counts,
        **pilot.discovery.counts,
        **pilot.collectors.counts,
        "memory_evictions": pilot.loop.stream_memory.evicted,
        "slowest_ms": pilot.loop.slowest_step_us // 1000,
    }


def log_counters(loop: Loop, pilot: PlatformPilot, report: Callable[..., None]) -> Coroutine:
    """Logs the counters and the slowest endpoints periodically."""
    while True:
        yield from loop.sleep(COUNTERS_INTERVAL_US)
        report("figures", **counters(pilot))
        report("slowest", endpoints=pilot.slowest_endpoints())


def log_hand_overs(loop: Loop, pilot: PlatformPilot) -> Coroutine:
    """Logs pending hand-overs periodically."""
    while True:
        yield from loop.sleep(HAND_OVERS_INTERVAL_US)
        pilot.log_hand_overs()
