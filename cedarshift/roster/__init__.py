"""Sources of the endpoint list: a watched file, a list service, ephemeral nodes; and the newest list kept for the next start."""

from cedarshift.roster.entries import ListRefused, Starts, parse_list
from cedarshift.roster.ephemeral import EphemeralSource, EphemeralTerms
from cedarshift.roster.sources import FileSource, ServiceSource

__all__ = [
    "EphemeralSource",
    "EphemeralTerms",
    "FileSource",
    "ListRefused",
    "ServiceSource",
    "Starts",
    "parse_list",
]
