"""Protocols as bytes and states, free of I/O: the main one's frames, messages, and what may be said when.

The main protocol's names are looked up when first used: its libraries stay out of a program that speaks another one.
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
    home = "session" if name in ("Identity", "Session") else "errors"
    return getattr(import_module(f"{__name__}.{home}"), name)
