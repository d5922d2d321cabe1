"""What a checker says of one rule: held or broken, by what first, and its figures."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SHOWN = 5  # breaks that a verdict names; the first ones say most


@dataclass
class Verdict:
    rule: str
    says: str
    breaks: list[str] = field(default_factory=list)
    count: int = 0
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def held(self) -> bool:
        return self.count == 0

    def broken(self, text: str) -> None:
        self.count += 1
        if len(self.breaks) < SHOWN:
            self.breaks.append(text)
