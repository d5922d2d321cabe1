"""What a deployment file says, read from HCL and checked: every error with file, line, what was found, what is allowed.

Names are looked up when first used: the readers' libraries stay out of a program that reads no such file.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarshift.deployment.deployment import (
        Channel,
        Deployment,
        Guarantees,
        ListSource,
        PilotPlace,
        ProxyTerms,
        ServedOp,
        StorePlace,
        load,
    )
    from cedarshift.deployment.refused import FileRefused, Problem

__all__ = [
    "Channel",
    "Deployment",
    "FileRefused",
    "Guarantees",
    "ListSource",
    "PilotPlace",
    "Problem",
    "ProxyTerms",
    "ServedOp",
    "StorePlace",
    "load",
]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    home = "refused" if name in ("FileRefused", "Problem") else "deployment"
    return getattr(import_module(f"{__name__}.{home}"), name)
