"""Whether the answer to overload held on a day: from what clients, proxies and endpoints recorded, never from what a pilot believes."""

from __future__ import annotations

from collections import Counter, defaultdict

from cedarshift.rehearsal.evidence import AnswerBounds, Evidence
from cedarshift.rehearsal.verdict import Verdict

SECOND = 1_000_000
BACK = (
    0.92  # of what was earned before, at which things are back; seconds differ by a few hundredths in peace
)
BACK_FOR = 3  # seconds in a row: one alone is chance
SETTLED = 4  # seconds of the cause that count as its onset


class Earnings:
    """By second of the intended begin: asked and earned, in all and by op type."""

    def __init__(self, evidence: Evidence) -> None:
        self.asked: dict[str, Counter[int]] = defaultdict(Counter)
        self.earned: dict[str, Counter[int]] = defaultdict(Counter)
        self.ops = 0
        intended: dict[str, tuple[str, int]] = {}
        for row in evidence.of("op", "done"):
            if row.what == "op":
                name, op_type, _, at, _ = row.told
                intended[name] = (op_type, at)
                self.asked[op_type][(at - evidence.begin) // SECOND] += 1
                self.ops += 1
            elif row.told[0] in intended:
                op_type, at = intended.pop(row.told[0])
                _, target, timeout, late = evidence.limits.worths[op_type]
                if row.told[1] == "acked":
                    worth = 1.0 if row.told[2] <= target else late if row.told[2] <= timeout else 0.0
                    self.earned[op_type][(at - evidence.begin) // SECOND] += worth  # type: ignore[assignment]
        self.worths = {name: figures[0] for name, figures in evidence.limits.worths.items()}

    def share(self, first: int, last: int, op_type: str = "") -> float:
        """Of what was asked in the seconds from `first` to before `last`."""
        kinds = [op_type] if op_type else list(self.asked)
        asked = sum(self.worths[kind] * self.asked[kind][at] for kind in kinds for at in range(first, last))
        earned = sum(self.worths[kind] * self.earned[kind][at] for kind in kinds for at in range(first, last))
        return earned / asked if asked else 1.0


def answer_kept(evidence: Evidence) -> Verdict:
    """Each bound that the day states; the figures stand in the report whether a bound is stated or not."""
    bounds = evidence.limits.answer
    assert bounds is not None
    verdict = Verdict(
        "overload", "what is too much is answered as the day states, and is over soon after its cause"
    )
    earnings = Earnings(evidence)
    _back(verdict, earnings, bounds, evidence)
    _repeats(verdict, evidence, earnings.ops, bounds)
    first, last = bounds.cause_at // SECOND + SETTLED, bounds.calm_at // SECOND
    if last > first:
        _at_least(verdict, "earned", earnings.share(first, last), bounds.earned_least)
        for name in earnings.worths:
            _at_least(
                verdict,
                f"earned_of_{name}",
                earnings.share(first, last, name),
                bounds.top_least if name == bounds.top else None,
            )
    lapses = sum(1 for row in evidence.of("turned") if row.told[2] == "lease" and row.at >= evidence.begin)
    verdict.figures["lapses"] = float(lapses)
    if bounds.lapses_most is not None and lapses > bounds.lapses_most:
        verdict.broken(f"{lapses} ops were rejected for a lapsed lease, {bounds.lapses_most} are allowed")
    return verdict


def _at_least(verdict: Verdict, name: str, found: float, least: float | None) -> None:
    verdict.figures[name] = round(found, 4)
    if least is not None and found < least:
        verdict.broken(f"{name}: {found:.3f}, {least:g} at least")


def _back(verdict: Verdict, earnings: Earnings, bounds: AnswerBounds, evidence: Evidence) -> None:
    calm, end = (
        bounds.calm_at // SECOND,
        max((at for counts in earnings.asked.values() for at in counts), default=0),
    )
    before = earnings.share(1, max(2, bounds.cause_at // SECOND))
    back = next(
        (
            at
            for at in range(calm, end - BACK_FOR + 1)
            if all(earnings.share(at + n, at + n + 1) >= BACK * before for n in range(BACK_FOR))
        ),
        None,
    )
    verdict.figures["before"] = round(before, 4)
    verdict.figures["back_after_s"] = float("inf") if back is None else float(back - calm)
    if bounds.back_within is not None and (back is None or (back - calm) * SECOND > bounds.back_within):
        what = "not by the day's end" if back is None else f"{back - calm} s"
        verdict.broken(
            f"what is earned is back after its cause: {what}; {bounds.back_within / SECOND:g} s are allowed"
        )


def _repeats(verdict: Verdict, evidence: Evidence, ops: int, bounds: AnswerBounds) -> None:
    """Tries that reached endpoints or were meant to, beyond each op's first."""
    tries: Counter[str] = Counter(row.told[0] for row in evidence.of("send"))
    repeats = sum(count - 1 for count in tries.values()) / max(1, ops)
    verdict.figures["repeats"] = round(repeats, 4)
    if bounds.repeats_most is not None and repeats > bounds.repeats_most:
        verdict.broken(f"{repeats:.3f} repeats for each op, {bounds.repeats_most:g} at most")
