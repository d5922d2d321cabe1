"""The store's share allocator: collects requests, records the granted shares and then answers."""

from __future__ import annotations

from typing import Any, Callable, Union

import msgspec

from cedarshift.budgets.ledger import MemoryShareLedger, ShareLedger
from cedarshift.budgets.terms import build_plan
from cedarshift.codec import messages as m
from cedarshift.judge.budgets import Grantor, Key, Plan, Row, ShareRequest
from cedarshift.judge.claims import ClaimGrantor, ClaimRequest
from cedarshift.link import Link
from cedarshift.loop import Loop

ASKS_PER_CLEANUP = 64
CLAIMS_KEY = ("", "", 0)  # ledger key of the claims' row; no budget has an empty name
MAX_WAITING_ASKS = 1_000


def open_share_allocator(
    loop: Loop, settings: Any, pilots: int, era: int, ledger: Union[ShareLedger, MemoryShareLedger]
) -> ShareAllocator:
    """Creates the allocator for a deployment's budget settings and number of pilots."""
    return ShareAllocator(
        loop,
        build_plan(settings.named, pilots),
        settings.lease,
        era,
        ledger,
        loop.report,
        settings.claim_cold,
    )


class ShareAllocator:
    """Grants shares and claims to pilots.

    `hear` queues a request; `carry_out` processes the queue, writes the ledger once and sends the answers.
    `era` identifies this run of the store; `lease` is in us.
    """

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        lease: int,
        era: int,
        ledger: Union[ShareLedger, MemoryShareLedger],
        report: Callable[..., None],
        claims_enabled: bool = False,
    ) -> None:
        self.loop = loop
        self.ledger = ledger
        self.report = report
        rows = ledger.load()
        self.stored_keys = {row[:3] for row in rows}
        self.grantor = Grantor(plan, lease, era, loop.now(), rows)
        self.claims = ClaimGrantor(lease, era, self.grantor.recovery_until)
        # Claims are not stored; one row records how long the longest may last, for the wait after a restart.
        self.claims_duration = max([lease, *(row.duration for row in rows if row[:3] == CLAIMS_KEY)])
        self.waiting: list[tuple[Link, str, m.Message]] = []
        self.asks_since_cleanup = 0
        self.logged_amounts: dict[Key, int] = {}  # amounts in the last log events
        self.logged_claims: dict[str, str] = {}  # endpoint -> pilot in the last log events
        if claims_enabled:
            ledger.put([Row(*CLAIMS_KEY, 0, 0, self.claims_duration)])
        report(
            "budgets_serve",
            budgets=len(plan.budgets),
            quiet_us=self.grantor.recovery_until - loop.now(),
            rows=len(rows),
        )

    def hear(self, peer: Link, name: str, message: m.Message) -> None:
        if len(self.waiting) >= MAX_WAITING_ASKS:
            peer.close("busy", f"{MAX_WAITING_ASKS} asks for shares wait")
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
                for key in self.grantor.leave(now, name, message.life):
                    rows.pop(key, None)
                    self._log(now, key, 0, "left")
            elif isinstance(message, m.BudgetSharesRequest):
                shares, changed = self.grantor.ask(
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
                        "quiet" if self.grantor.recovering(now) else "divided",
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
                            self.grantor.era,
                            [m.BudgetGrant(*share) for share in shares],
                            [m.GrantedClaim(*claim) for claim in claimed],
                        ),
                    )
                )
        self._log_claims(now)
        if rows:
            self.ledger.put(rows.values())
            self.stored_keys.update(rows)
        for peer, reply in answers:
            peer.send(reply)
        self.asks_since_cleanup += len(waiting)
        if self.asks_since_cleanup >= ASKS_PER_CLEANUP:
            self.asks_since_cleanup = 0
            self._drop_ended(now)

    def _drop_ended(self, now: int) -> None:
        """Deletes the rows of holders whose shares have ended."""
        self.grantor.in_force(now, self.grantor.plan.leaves[0])
        ended = [key for key in self.stored_keys if key not in self.grantor.accounts and key != CLAIMS_KEY]
        if ended:
            self.ledger.drop(ended)
            self.stored_keys.difference_update(ended)
        if self.claims_duration > self.grantor.lease and not self.grantor.recovering(now):
            self.claims_duration = self.grantor.lease  # longer claims from before the restart have ended
            self.ledger.put([Row(*CLAIMS_KEY, 0, 0, self.claims_duration)])
        for key in [key for key in self.logged_amounts if key not in self.grantor.accounts]:
            self._log(now, key, 0, "over")

    def _log(self, now: int, key: Key, amount: int, reason: str) -> None:
        """Logs a share whose amount has changed."""
        if self.logged_amounts.get(key, 0) == amount:
            return
        account, before = self.grantor.accounts.get(key), self.logged_amounts.pop(key, 0)
        if amount:
            self.logged_amounts[key] = amount
        self.report(
            "share",
            budget=key[0],
            pilot=key[1],
            before=before,
            after=amount,
            reason=reason,
            demand=account.demand if account is not None else 0,
            given=self.grantor.in_force(now, key[0]),
            whole=self.grantor.plan.leasable(key[0]),
        )

    def _log_claims(self, now: int) -> None:
        """Logs the claims whose holder has changed."""
        holders = {
            endpoint: lease.holder for endpoint, lease in self.claims.leases.items() if lease.until > now
        }
        for endpoint in sorted(holders.keys() | self.logged_claims.keys()):
            before, after = self.logged_claims.get(endpoint, ""), holders.get(endpoint, "")
            if before != after:
                self.report("claim_holder", endpoint=endpoint, before=before, after=after, at_us=now)
        self.logged_claims = holders

    def shown(self) -> bytes:
        return msgspec.json.encode(
            {
                "era": self.grantor.era,
                "lease_us": self.grantor.lease,
                "counts": self.grantor.counts,
                "budgets": self.grantor.shown(self.loop.now()),
                "claims": self.claims.shown(self.loop.now()),
                "claim_counts": self.claims.counts,
            }
        )

    def close(self) -> None:
        self.ledger.close()
