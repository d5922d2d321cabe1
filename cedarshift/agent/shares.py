"""A proxy's shares, one set from each pilot that it is joined to, and what it spends of them. Free of I/O."""

from __future__ import annotations

from typing import Optional

import msgspec

from cedarshift.codec import messages as m
from cedarshift.judge.budgets import ASK_LEAST, ASKS_A_LEASE, Holder, Share
from cedarshift.judge.spending import Bucket, Wishes

FRESH_MOST = 10.0  # tokens that fresh ops may save up for repeats, so that a quiet hour buys no storm


class ProxyShares:
    """`life` is new for each start of the proxy. Where no pilot has told of budgets, everything may be spent."""

    def __init__(self, life: int, now: int) -> None:
        self.life = life
        self.terms: dict[str, m.BudgetSpec] = {}
        self.names: dict[str, str] = {}  # use -> budget
        self.holders: dict[str, Holder] = {}
        self.buckets: dict[tuple[str, str], Bucket] = {}
        self.wishes: dict[str, Wishes] = {}
        self.joined: set[str] = set()
        self.asked_at: dict[str, int] = {}
        self.ask_every: dict[str, int] = {}  # by pilot, after the span of what it gave last
        self.of_fresh: dict[str, float] = {}
        self.told: dict[str, list[m.BudgetSpec]] = {}  # by pilot, of those that are joined

    # ---- streams

    def on_join(self, now: int, pilot: str, terms: list[m.BudgetSpec]) -> None:
        """A pilot tells of its budgets, of others than before where its deployment has changed, or of none."""
        changed = terms != self.told.get(pilot)
        self.told[pilot] = terms
        self.asked_at.pop(pilot, None)
        self.ask_every.pop(pilot, None)
        if changed:  # a pilot's terms change with its life: it knows no number of this one's
            self.holders[pilot] = Holder(
                {one.name: 0 for one in terms}, self.life, max([one.drift for one in terms], default=0.0)
            )
            self.buckets = {key: bucket for key, bucket in self.buckets.items() if key[1] != pilot}
            self.buckets.update({(one.name, pilot): Bucket(one.burst, one.drift, now) for one in terms})
        if terms:
            self.joined.add(pilot)
        else:
            self.joined.discard(pilot)
        self._know(now)

    def _know(self, now: int) -> None:
        """What is limited: as any pilot told that is joined, or was last."""
        self.terms = {one.name: one for terms in self.told.values() for one in terms}
        self.names = {one.use: one.name for one in self.terms.values()}
        for name in self.terms:
            if name not in self.wishes:
                self.wishes[name] = Wishes(now)
                self.of_fresh[name] = FRESH_MOST

    def on_lost(self, now: int, pilot: str) -> None:
        """What came from there stays there: a proxy that goes to another pilot takes nothing with it."""
        self.joined.discard(pilot)
        if pilot in self.holders:
            self.holders[pilot].drop()
            self.holders[pilot].lost()
        for (_, other), bucket in self.buckets.items():
            if other == pilot:
                bucket.grant(now, 0, 0)

    def on_beat(self, now: int, pilot: str, beat: m.Heartbeat) -> m.Heartbeat:
        """The beat, with an ask where one is due."""
        every = self.ask_every.get(pilot, ASK_LEAST)
        if pilot not in self.joined or now - self.asked_at.get(pilot, -every) < every:
            return beat
        self.asked_at[pilot] = now
        holder = self.holders[pilot]
        beat.ask, wants = holder.ask(now, self._demands(now))
        beat.life, beat.era = self.life, holder.era
        beat.wants = [m.BudgetRequest(*want) for want in wants]
        return beat

    def on_beat_ok(self, now: int, pilot: str, answer: m.HeartbeatOk) -> None:
        holder = self.holders.get(pilot)
        if holder is None or not answer.era:
            return
        if holder.hear(
            now, answer.ask, answer.era, [Share(*msgspec.structs.astuple(one)) for one in answer.shares]
        ):
            spans = [
                share.span for share in answer.shares
            ]  # asks ride on beats, so they are made a little sooner than they must
            self.ask_every[pilot] = max(ASK_LEAST, min(spans, default=0) // (ASKS_A_LEASE + 1))
            for name in holder.floors:
                self.buckets[name, pilot].grant(now, holder.right(now, name), holder.until(now, name))
        elif answer.era != holder.era:
            holder.joined(answer.era)
            self.asked_at.pop(pilot, None)

    def _demands(self, now: int) -> dict[str, int]:
        """An equal part from each pilot: any of them may give it."""
        for wishes in self.wishes.values():
            wishes.look(now)
        return {name: -(-wishes.rate() // max(1, len(self.joined))) for name, wishes in self.wishes.items()}

    # ---- spending

    def on_fresh(self) -> None:
        """A fresh op: it earns its part of a repeat."""
        for name, one in self.terms.items():
            if one.of_fresh:
                self.of_fresh[name] = min(FRESH_MOST, self.of_fresh[name] + one.of_fresh)

    def spend(self, now: int, use: str) -> bool:
        """Whether one may be spent now, from whichever pilot's share."""
        name = self.names.get(use)
        if name is None:
            return True
        limited = self.terms[name].of_fresh > 0
        if limited and self.of_fresh[name] < 1.0:
            return False
        self.wishes[name].wish()
        for (budget, _), bucket in self.buckets.items():
            if budget == name and bucket.take(now):
                self.of_fresh[name] -= 1.0 if limited else 0.0
                return True
        return False

    def right(self, now: int, use: str) -> Optional[int]:
        """Parts that may be spent by all shares; None where nothing limits."""
        name = self.names.get(use)
        return None if name is None else sum(holder.right(now, name) for holder in self.holders.values())
