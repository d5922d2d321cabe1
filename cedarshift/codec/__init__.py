"""The main protocol as bytes and states, free of I/O: frames, messages, and what may be said when."""
from cedarshift.codec.errors import (BadBody, BadVersion, FrameTooLarge, OutOfOrder, PeerClosed, ProtocolError,
                                     Refused, TooManyMessages, UnknownKind)
from cedarshift.codec.session import Badge, Session

__all__ = ["Badge", "BadBody", "BadVersion", "FrameTooLarge", "OutOfOrder", "PeerClosed",
           "ProtocolError", "Refused", "Session",
           "TooManyMessages", "UnknownKind"]
