"""Faults planted into budgets, one at a time, to see that what checks them finds them: `python -m cedarshift.rehearsal.planted`.

Each is a small change of `judge.budgets` in a subclass; the checker gets it in the place of the sound one.
"""

from __future__ import annotations

from typing import Any, Iterable, NamedTuple

from cedarshift.judge import budgets as b
from cedarshift.rehearsal.shares import Faults, explore, play


class EndFromTheAnswer(b.Holder):
    """Counts a right's end from when the answer came."""

    def on_answer(self, now: int, number: int, era: int, shares: Iterable[b.Share]) -> bool:
        if number in self.asked:
            self.asked[number] = now
        return super().on_answer(now, number, era, shares)


class NoDrift(b.Holder):
    """Takes its clock for the giver's."""

    def __init__(self, floors: Any, life: int, drift: float, *more: Any, **named: Any) -> None:
        super().__init__(floors, life, 0.0, *more, **named)


class LateAnswers(b.Holder):
    """Takes an older right for the newest."""

    def on_answer(self, now: int, number: int, era: int, shares: Iterable[b.Share]) -> bool:
        late = [
            share
            for share in shares
            if self.taken[share.budget] and share.number <= self.taken[share.budget][-1].number
        ]
        asked_at = self.asked.get(number)
        heard = super().on_answer(now, number, era, shares)
        if heard and asked_at is not None:
            for share in late:
                self.taken[share.budget].append(
                    b.HeldShare(share.number, share.amount, asked_at + int(share.duration * (1 - self.drift)))
                )
        return heard


class FloorTwice(b.Plan):
    """Gives what is set aside once more."""

    def leasable(self, name: str) -> int:
        return self.budgets[name].capacity


class FloorsGivenToo(b.Grantor):
    def __init__(self, plan: b.Plan, *more: Any, **named: Any) -> None:
        super().__init__(FloorTwice(plan.budgets.values(), plan.holders), *more, **named)


class ForgottenLives(b.Grantor):
    """What a former life of a holder had is given anew at once."""

    def ask(self, now: int, holder: str, life: int, *more: Any) -> Any:
        for key in [key for key in self.accounts if key[1] == holder and key[2] != life]:
            self.accounts[key].grants.clear()
            self._recount(now, key)
        return super().ask(now, holder, life, *more)


class ShrinkAtOnce(b.Grantor):
    """Counts a shrink before the holder has said so."""

    def _add(self, now: int, key: b.Key, right: b.Grant) -> None:
        self.accounts[key].grants.clear()
        super()._add(now, key, right)


class NoRoom(b.Grantor):
    """Gives what should be had, whatever others still have."""

    def _available(self, now: int, key: b.Key) -> int:
        return b.FOREVER


class LeafOnly(b.Grantor):
    """Does not look at the whole that a budget draws on."""

    def _available(self, now: int, key: b.Key) -> int:
        return max(0, self.plan.leasable(key[0]) - self.in_force(now, key[0], key))


class NoQuiet(b.Grantor):
    """Trusts what the disk has after a start."""

    def recovering(self, now: int) -> bool:
        return False


class NothingKept(b.Grantor):
    """Begins with an empty ledger and without a wait."""

    def __init__(
        self, plan: b.Plan, lease: int, era: int, now: int, rows: Any = (), *more: Any, **named: Any
    ) -> None:
        super().__init__(plan, lease, era, now, (), *more, **named)
        self.recovery_until = now


class EndsBeyond(b.Hub):
    """Hands on for a whole lease, whatever is left of its own right."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        giver = self.giver
        giver._grant_duration = lambda now, key, amount: giver.lease  # type: ignore[method-assign]


class SaidTooSoon(b.Hub):
    """Says that it has shrunk while its proxies have not."""

    def _outstanding(self, now: int, leaf: str) -> int:
        return 0


class RestartRemembers(b.Hub):
    """A new life goes on handing out its floor at once, as if no proxy held any of the former life's."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.giver.recovery_until = 0


class Planted(NamedTuple):
    """`by`: "states" or "seeds"; `made` goes to the one or the other."""

    name: str
    by: str
    made: dict[str, Any]


PLANTED = [
    Planted("end counted from the answer", "seeds", {"hold": EndFromTheAnswer}),
    Planted("drift left out", "states", {"hold": NoDrift, "faults": Faults(0, 0, 0)}),
    Planted("an older right taken for the newest", "seeds", {"hold": LateAnswers}),
    Planted("floor given twice", "states", {"make": FloorsGivenToo}),
    Planted("a former life's share given at once", "seeds", {"giver": ForgottenLives}),
    Planted("shrink in force at once", "states", {"make": ShrinkAtOnce}),
    Planted("room not looked at", "states", {"make": NoRoom}),
    Planted("the whole above not looked at", "states", {"make": LeafOnly}),
    Planted("a store that trusts its disk", "seeds", {"giver": NoQuiet}),
    Planted("a store that starts from nothing", "seeds", {"giver": NothingKept}),
    Planted("handed on beyond one's own end", "seeds", {"hub": EndsBeyond}),
    Planted("shrink said before proxies gave back", "seeds", {"hub": SaidTooSoon}),
    Planted("a new life's floor handed out at once", "seeds", {"hub": RestartRemembers}),
]
SEEDS = 120  # days that are played for a planted fault at most
DEPTH, STATES = 8, 100_000


def found(planted: Planted) -> str:
    """What the checker says of it; "" where it finds nothing."""
    if planted.by == "states":
        got = explore(DEPTH, STATES, **planted.made)
        return (
            got.broken
            and f"{got.broken}, after {got.states:,} states, by {', '.join(' '.join(map(str, step)) for step in got.steps)}"
        )
    for seed in range(1, SEEDS + 1):
        day, _ = play(seed, **planted.made)
        if day.over:
            return f"{day.over}, seed {seed}"
    return ""


def main() -> None:
    for planted in PLANTED:
        print(f"{planted.name}: {found(planted) or 'NOT FOUND'}", flush=True)
    sound = explore(DEPTH, 10 * STATES)
    print(f"without any: {sound.states:,} states, whole to {sound.depth} steps: {sound.broken or 'holds'}")


if __name__ == "__main__":
    main()
