"""Endpoint list sources: a watched file, a list service, and ephemeral ZooKeeper nodes."""

from cedarshift.roster.entries import InvalidList, StartTimes, parse_list
from cedarshift.roster.ephemeral import EphemeralSettings, EphemeralSource
from cedarshift.roster.sources import FileSource, ServiceSource

__all__ = [
    "EphemeralSource",
    "EphemeralSettings",
    "FileSource",
    "InvalidList",
    "ServiceSource",
    "StartTimes",
    "parse_list",
]
