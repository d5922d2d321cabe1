"""Structured logging to standard error, as JSON lines or as coloured text."""

from __future__ import annotations

import sys
from typing import Any, Callable

import structlog

from cedarshift.log_output import LogOutput

# Events logged at level warning; all others are logged at level info.
WARNINGS = {
    "task_failed",
    "slow_step",
    "store_lost",
    "charge_lapsed",
    "order_refused",
    "turn_dropped",
    "list_refused",
    "list_failed",
    "saved_list_refused",
    "list_not_saved",
    "proxy_stalled",
    "session_refused",
    "reload_refused",
    "rule_at_risk",
    "store_failed",
    "mass_vanishing",
    "source_went_back",
    "source_refuses",
    "source_auth_refused",
    "node_refused",
    "register_failed",
}


def make_report(form: str, **always: Any) -> Callable[..., None]:
    """Returns the function `report(event, **fields)` that the loop and the services log with.

    `form`: "json" or "console"; `always`: fields added to each event.
    """
    output: Any = LogOutput()
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    logger = structlog.get_logger().bind(**always)

    def report(event: str, **fields: Any) -> None:
        (logger.warning if event in WARNINGS else logger.info)(event, **fields)

    return report
