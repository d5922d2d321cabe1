"""Parser of KNOWN-RED.txt, the list of tests with a known, unfixed failure; used by `conftest.py`.

Each line holds a pytest node ID (with or without parameters), the cause and the issue, separated by ` | `.
Listed tests still run.
"""

from __future__ import annotations

from typing import Iterable, NamedTuple

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELDS_PER_LINE = 3
SEPARATOR = " | "


class InvalidListError(Exception):
    """The list is invalid; the message states the entry and the reason."""


class KnownRed(NamedTuple):
    """A test with a known failure."""

    test: str
    cause: str
    issue: str

    def matches(self, nodeid: str) -> bool:
        """Returns whether the entry covers `nodeid`, including its parametrized cases."""
        return nodeid == self.test or nodeid.startswith(self.test + "[")


def parse(text: str) -> list[KnownRed]:
    """Returns the entries of the list. Raises InvalidListError if it is malformed or too long."""
    lines = [(number, line.strip()) for number, line in enumerate(text.splitlines(), 1) if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise InvalidListError(f"{FILE}: {len(lines)} lines, {MAX_ENTRIES} at most")
    entries = []
    for number, line in lines:
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELDS_PER_LINE or not all(fields) or "::" not in fields[0]:
            raise InvalidListError(
                f"{FILE}:{number}: {line[:80]!r}, FILE::TEST{SEPARATOR}CAUSE{SEPARATOR}ISSUE is wanted"
            )
        entries.append(KnownRed(*fields))
    return entries


def check_names(listed: list[KnownRed], nodeids: Iterable[str], full_run: bool) -> None:
    """Raises InvalidListError for an entry that matches no collected test.

    In a partial run only the entries of the collected files are checked.
    """
    collected = set(nodeids)
    files = {nodeid.partition("::")[0] for nodeid in collected}
    for entry in listed:
        if (full_run or entry.test.partition("::")[0] in files) and not any(map(entry.matches, collected)):
            raise InvalidListError(f"{FILE}: {entry.test!r} names no test")
