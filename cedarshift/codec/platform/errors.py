"""What can be wrong with what the platform's parties send."""

from __future__ import annotations


class Unreadable(Exception):
    """Bytes that can't be read: the connection they came on is of no more use."""


class Spoilt(Exception):
    """One message that can't be used; those around it may be good."""


class Refused(Exception):
    """A file or variable that a pilot can't start with; the text has place and reason."""


class Unfinished(Refused):
    """A file that may be in the middle of being written or replaced: it may be whole a moment later."""
