"""Errors of a configuration file, in a module of their own so that handling them needs no parser library."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """An error at a line of a file."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class InvalidFile(Exception):
    """Raised for a file with errors; `problems` holds all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
