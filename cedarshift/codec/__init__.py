"""Wire protocols without I/O: encoding, decoding and session state machines.

The names of the main protocol are imported on first use, so that programs that use only another protocol do
not load its libraries.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarshift.codec.errors import (
        BadBody,
        BadVersion,
        Busy,
        FrameTooLarge,
        OutOfOrder,
        PeerClosed,
        ProtocolError,
        Refused,
        TooManyMessages,
        UnknownKind,
    )
    from cedarshift.codec.session import Identity, Session

__all__ = [
    "Identity",
    "BadBody",
    "BadVersion",
    "Busy",
    "FrameTooLarge",
    "OutOfOrder",
    "PeerClosed",
    "ProtocolError",
    "Refused",
    "Session",
    "TooManyMessages",
    "UnknownKind",
]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = "session" if name in ("Identity", "Session") else "errors"
    return getattr(import_module(f"{__name__}.{module}"), name)
