"""Structured logging, JSON a line or coloured for a console; always to standard error."""

from __future__ import annotations

import sys
from typing import Any, Callable

import structlog

from cedarshift.log_output import LogOutput

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
    """`report(event, **fields)` as the loop and the services take it. `form`: "json" or "console"."""
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
