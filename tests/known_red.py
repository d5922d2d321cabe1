"""The list of tests that fail for a fault which is known and not mended yet: KNOWN-RED.txt at the root, read by `conftest.py`.

One line a test: its name as pytest prints it (with or without parameters), the cause, and the issue, parted by ` | `. A listed test still runs.
"""

from __future__ import annotations

from typing import Iterable, NamedTuple

FILE = "KNOWN-RED.txt"
LINES_MOST = 3  # more would be a habit
PARTS = 3  # of a line
SEPARATOR = " | "


class BadList(Exception):
    """The list can't be used; the text has the line and the reason."""


class KnownRed(NamedTuple):
    test: str
    cause: str
    issue: str

    def names(self, nodeid: str) -> bool:
        return nodeid == self.test or nodeid.startswith(self.test + "[")


def parse(text: str) -> list[KnownRed]:
    """The entries of the list. Raises BadList."""
    lines = [(number, line.strip()) for number, line in enumerate(text.splitlines(), 1) if line.strip()]
    if len(lines) > LINES_MOST:
        raise BadList(f"{FILE}: {len(lines)} lines, {LINES_MOST} at most")
    found = []
    for number, line in lines:
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != PARTS or not all(parts) or "::" not in parts[0]:
            raise BadList(
                f"{FILE}:{number}: {line[:80]!r}, FILE::TEST{SEPARATOR}CAUSE{SEPARATOR}ISSUE is wanted"
            )
        found.append(KnownRed(*parts))
    return found


def check_names(listed: list[KnownRed], nodeids: Iterable[str], whole_run: bool) -> None:
    """Raises BadList for an entry that names no test. In a run of some files alone, only entries of these files are checked."""
    collected = set(nodeids)
    files = {nodeid.partition("::")[0] for nodeid in collected}
    for entry in listed:
        if (whole_run or entry.test.partition("::")[0] in files) and not any(map(entry.names, collected)):
            raise BadList(f"{FILE}: {entry.test!r} names no test")
