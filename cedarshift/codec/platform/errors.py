"""Errors in data received from the platform."""

from __future__ import annotations


class MalformedStream(Exception):
    """Bytes that cannot be parsed; the connection they came on has to be closed."""


class InvalidMessage(Exception):
    """A single message with missing or invalid fields; other messages on the connection may be valid."""


class ConfigError(Exception):
    """An invalid configuration file or environment variable; the message names the field and the reason."""


class ConfigNotReady(ConfigError):
    """A configuration file that cannot be read or parsed, possibly because it is being written."""
