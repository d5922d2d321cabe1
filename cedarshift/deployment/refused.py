"""What is wrong with a file, and where: apart from the readers, so that telling of it needs none of their libraries."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    file: str
    line: int
    what: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.what}"


class FileRefused(Exception):
    """A file with problems; `problems` holds all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(p) for p in problems))
        self.problems = problems
