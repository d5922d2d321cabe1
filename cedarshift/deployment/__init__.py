"""Loads and validates deployment files written in HCL.

Names are imported on first use, so that a program that reads no such file does not load the parser.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarshift.deployment.deployment import (
        ChannelSettings,
        Deployment,
        ListSettings,
        OpTypeSettings,
        PilotSettings,
        ProxySettings,
        RuleSettings,
        StoreSettings,
        load,
    )
    from cedarshift.deployment.refused import InvalidFile, Problem

__all__ = [
    "ChannelSettings",
    "Deployment",
    "InvalidFile",
    "RuleSettings",
    "ListSettings",
    "PilotSettings",
    "Problem",
    "ProxySettings",
    "OpTypeSettings",
    "StoreSettings",
    "load",
]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = "refused" if name in ("InvalidFile", "Problem") else "deployment"
    return getattr(import_module(f"{__name__}.{module}"), name)
