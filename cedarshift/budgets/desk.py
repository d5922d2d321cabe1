"""The store's side: hears asks, keeps what changes, then answers; tells of each division that moved something."""

from __future__ import annotations

from typing import Any, Callable, Union

import msgspec

from cedarshift.budgets.ledger import MemoryShares, ShareLedger
from cedarshift.budgets.terms import plan_of
from cedarshift.codec import messages as m
from cedarshift.judge.budgets import Grantor, Key, Plan, Row, ShareRequest
from cedarshift.judge.claims import ClaimGrantor, ClaimRequest
from cedarshift.link import Link
from cedarshift.loop import Loop

TIDY_EVERY = 64  # asks between two looks for rows of lives that are over
CLAIMS = ("", "", 0)  # their row in the ledger, under no budget's name
WAITING_MOST = 1_000  # asks that wait for one write; a pilot asks four times a lease


def open_desk(
    loop: Loop, terms: Any, pilots: int, era: int, ledger: Union[ShareLedger, MemoryShares]
) -> ShareDesk:
    """`terms`: a deployment's `BudgetSystemSettings`, for so many pilots."""
    return ShareDesk(
        loop, plan_of(terms.named, pilots), terms.lease, era, ledger, loop.report, terms.claim_cold
    )


class ShareDesk:
    """`era` names this life of the store. `hear` only takes in; `carry_out` writes once for all that came, then answers."""

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        lease: int,
        era: int,
        ledger: Union[ShareLedger, MemoryShares],
        report: Callable[..., None],
        keeps_claims: bool = False,
    ) -> None:
        self.loop = loop
        self.ledger = ledger
        self.report = report
        rows = ledger.load()
        self.kept = {row[:3] for row in rows}
        self.giver = Grantor(plan, lease, era, loop.now(), rows)
        self.claims = ClaimGrantor(lease, era, self.giver.recovery_until)
        # Claims end as shares do, and no claim is kept: one row tells a later life how long the longest may run.
        self.claims_span = max([lease, *(row.duration for row in rows if row[:3] == CLAIMS)])
        self.waiting: list[tuple[Link, str, m.Message]] = []
        self.asks = 0
        self.told: dict[Key, int] = {}  # amounts as they were logged last
        if keeps_claims:
            ledger.put([Row(*CLAIMS, 0, 0, self.claims_span)])
        report(
            "budgets_serve",
            budgets=len(plan.budgets),
            quiet_us=self.giver.recovery_until - loop.now(),
            rows=len(rows),
        )

    def hear(self, peer: Link, name: str, message: m.Message) -> None:
        if len(self.waiting) >= WAITING_MOST:
            peer.close("busy", f"{WAITING_MOST} asks for shares wait")
            return
        self.waiting.append((peer, name, message))

    def carry_out(self) -> None:
        waiting, self.waiting = self.waiting, []
        if not waiting:
            return
        now, answers = self.loop.now(), []
        rows: dict[Key, Row] = {}
        for peer, name, message in waiting:
            if isinstance(message, m.LeaveBudgets):
                self.claims.leave(name, message.life)
                for key in self.giver.leave(now, name, message.life):
                    rows.pop(key, None)
                    self._log(now, key, 0, "left")
            elif isinstance(message, m.BudgetSharesRequest):
                shares, changed = self.giver.ask(
                    now,
                    name,
                    message.life,
                    message.era,
                    message.number,
                    [ShareRequest(*msgspec.structs.astuple(want)) for want in message.wants],
                    message.doubted,
                )
                rows.update({row[:3]: row for row in changed})
                for share in shares:
                    self._log(
                        now,
                        (share.budget, name, message.life),
                        share.amount,
                        "quiet" if self.giver.recovering(now) else "divided",
                    )
                claimed = self.claims.ask(
                    now,
                    name,
                    message.life,
                    message.era,
                    message.number,
                    [ClaimRequest(one.thing, one.held) for one in message.claims],
                )
                answers.append(
                    (
                        peer,
                        m.BudgetSharesReply(
                            message.number,
                            self.giver.era,
                            [m.BudgetGrant(*share) for share in shares],
                            [m.GrantedClaim(*claim) for claim in claimed],
                        ),
                    )
                )
        if rows:
            self.ledger.put(rows.values())
            self.kept.update(rows)
        for peer, answer in answers:
            peer.send(answer)
        self.asks += len(waiting)
        if self.asks >= TIDY_EVERY:
            self.asks = 0
            self._tidy(now)

    def _tidy(self, now: int) -> None:
        """Rows of lives that are over, once the giver knows that they are."""
        self.giver.in_force(now, self.giver.plan.leaves[0])
        gone = [key for key in self.kept if key not in self.giver.accounts and key != CLAIMS]
        if gone:
            self.ledger.drop(gone)
            self.kept.difference_update(gone)
        if self.claims_span > self.giver.lease and not self.giver.recovering(now):
            self.claims_span = self.giver.lease  # the longer ones of a former life are over
            self.ledger.put([Row(*CLAIMS, 0, 0, self.claims_span)])
        for key in [key for key in self.told if key not in self.giver.accounts]:
            self._log(now, key, 0, "over")

    def _log(self, now: int, key: Key, amount: int, reason: str) -> None:
        """Where a share has changed. Its demand and what others have tell why it is no other."""
        if self.told.get(key, 0) == amount:
            return
        account, before = self.giver.accounts.get(key), self.told.pop(key, 0)
        if amount:
            self.told[key] = amount
        self.report(
            "share",
            budget=key[0],
            pilot=key[1],
            before=before,
            after=amount,
            reason=reason,
            demand=account.demand if account is not None else 0,
            given=self.giver.in_force(now, key[0]),
            whole=self.giver.plan.leasable(key[0]),
        )

    def shown(self) -> bytes:
        return msgspec.json.encode(
            {
                "era": self.giver.era,
                "lease_us": self.giver.lease,
                "counts": self.giver.counts,
                "budgets": self.giver.shown(self.loop.now()),
                "claims": self.claims.shown(self.loop.now()),
                "claim_counts": self.claims.counts,
            }
        )

    def close(self) -> None:
        self.ledger.close()
