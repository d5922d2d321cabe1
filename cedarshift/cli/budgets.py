"""`cedarshift budgets`: the shares in the store's ledger, those of a pilot, and a plan from the file."""

from __future__ import annotations

from typing import Any, Iterable

import msgspec

from cedarshift.budgets.terms import build_plan, millitokens
from cedarshift.codec import Identity, ProtocolError, Session
from cedarshift.codec import messages as m
from cedarshift.deployment import Deployment
from cedarshift.judge.spending import PARTS_PER_TOKEN
from cedarshift.link import connect
from cedarshift.loop import StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import random_bytes, real_loop

TIMEOUT_US = 5_000_000
OPERATOR_ROLE = "operator"  # the role in which the store is read


def fetch_store_status(deployment: Deployment) -> bytes:
    """Fetches the state of the store's ledger as JSON. Raises OSError if the store does not answer."""
    assert deployment.store is not None
    loop, address = real_loop(), deployment.store.listen
    identity = Identity(deployment.name, OPERATOR_ROLE, OPERATOR_ROLE, "", deployment.secret)

    def main() -> Coroutine:
        try:
            link, _ = yield from connect(
                loop, address, Session(identity, challenge=random_bytes(16)), TIMEOUT_US
            )
            link.send(m.ReadBudgetStatus(1))
            while True:
                for message in (yield from link.receive(loop.now() + TIMEOUT_US)):
                    if isinstance(message, m.BudgetStatus):
                        link.close("done", "read")
                        return message.payload
        except (StreamBroken, ProtocolError, TimedOut) as error:
            raise OSError(str(error) or "no answer in time") from None

    held = loop.run(loop.spawn(main(), "ask"))
    loop.network.epoll.close()  # type: ignore[attr-defined]
    if not held:
        raise OSError("the store runs without a block budgets")
    return held


def _tokens(count: int, held: bool = False) -> str:
    """Formats a number of units held at a time, or a rate in parts of a token per second."""
    return f"{count} at a time" if held else f"{count / PARTS_PER_TOKEN:g}/s"


def _held_budgets(deployment: Deployment) -> set[str]:
    """Returns the names of budgets that limit how many units are held at a time."""
    return (
        {name for name, budget in deployment.budgets.named.items() if budget.held}
        if deployment.budgets is not None
        else set()
    )


def format_store(raw: bytes, deployment: Deployment) -> str:
    """Formats the state of the store's ledger."""
    state: dict[str, Any] = msgspec.json.decode(raw)
    lines = [f"store of {deployment.name}, leases of {state['lease_us'] / 1e6:g} s"]
    for budget in state["budgets"]:
        within = f", within {budget['within']}" if budget["within"] else ""
        recovery = (
            f"; no new shares for {budget['quiet_us'] / 1e6:.1f} s after its start"
            if budget["quiet_us"]
            else ""
        )
        is_held = budget["budget"] in _held_budgets(deployment)
        lines.append(
            f"{budget['budget']}: whole {_tokens(budget['whole'], is_held)}{within}, "
            f"set aside {_tokens(budget['floors'], is_held)}, given {_tokens(budget['given'], is_held)}"
            f"{recovery}"
        )
        lines += [
            f"  {holder['holder']:<16} given {_tokens(holder['given'], is_held):>10}  "
            f"asked {_tokens(holder['demand'], is_held):>10}  "
            f"ends in {max(0, holder['ends_in_us']) / 1e6:5.1f} s  "
            f"last seen {holder['heard_us_ago'] / 1e6:5.1f} s ago"
            for holder in budget["holders"]
        ]
    lines += [
        f"cold endpoint {claim['thing']} is claimed by {claim['holder']}, "
        f"ends in {claim['ends_in_us'] / 1e6:.1f} s"
        for claim in state["claims"]
    ]
    return "\n".join(lines)


def format_pilot(raw: bytes) -> str:
    """Formats the budget shares of a pilot."""
    state: dict[str, Any] = msgspec.json.decode(raw)
    if not state:
        return "this pilot runs without a block budgets"
    lines = ["the store answers" if state["store"] else "NO STORE: only floors and unexpired shares"]
    for budget in state["budgets"]:
        spent = "" if budget["spent"] is None else f", spent {budget['spent']}, refused {budget['refused']}"
        is_held = budget["held"]
        used = (
            f"in use {budget['in_hand']}" if is_held else f"granted to proxies {_tokens(budget['handed_on'])}"
        )
        lines.append(
            f"{budget['budget']}: share {_tokens(budget['right'], is_held)} "
            f"(floor {_tokens(budget['floor'], is_held)}), "
            f"ends in {(budget['ends_in_us'] or 0) / 1e6:.1f} s, "
            f"asked {_tokens(budget['asked'], is_held)}, {used}{spent}"
        )
        lines += [
            f"  {share['proxy']:<16} has {_tokens(share['given']):>10}  asked {_tokens(share['asked']):>10}"
            for share in state["proxies"]
            if share["budget"] == budget["budget"]
        ]
    lines += [f"cold endpoint {name} is claimed by this pilot" for name in state["claims"]]
    return "\n".join(lines)


def format_plan(deployment: Deployment, down: Iterable[str], demand: Iterable[str]) -> str:
    """Formats the shares that the store would grant. Raises ValueError for a bad name or number."""
    terms = deployment.budgets
    assert terms is not None
    pilots, plan = (
        [settings.name for settings in deployment.pilots],
        build_plan(terms.named, len(deployment.pilots)),
    )
    for name in down:
        if name not in pilots:
            raise ValueError(f"--down {name}: pilots are {', '.join(pilots)}")
    live_pilots = [name for name in pilots if name not in set(down)]
    demands = {leaf: dict.fromkeys(live_pilots, plan.budgets[leaf].capacity) for leaf in plan.leaves}
    for text in demand:
        target, _, tokens = text.partition("=")
        leaf, _, pilot = target.partition(":")
        if leaf not in plan.leaves or pilot not in pilots:
            raise ValueError(
                f'--demand {text!r}: "BUDGET:PILOT=TOKENS" with budgets {", ".join(plan.leaves)} '
                f"and pilots {', '.join(pilots)}"
            )
        try:
            requested = float(tokens)
        except ValueError:
            raise ValueError(f"--demand {text!r}: {tokens!r} is no number") from None
        if pilot in demands[leaf]:
            units = int(requested) if leaf in _held_budgets(deployment) else millitokens(requested)
            demands[leaf][pilot] = max(0, units - plan.budgets[leaf].floor)
    targets = plan.targets(demands, {root: plan.leasable(root) for root in plan.roots})
    lines = [
        f"{deployment.name}, if every pilot asks for {'its demand' if demand else 'everything'}"
        + (f", without {', '.join(down)}" if down else "")
    ]
    for leaf, shares in targets.items():
        floor, is_held = plan.budgets[leaf].floor, leaf in _held_budgets(deployment)
        total = sum(shares.values()) + floor * len(live_pilots)
        lines.append(
            f"{leaf}: {_tokens(total, is_held)} of {_tokens(plan.budgets[leaf].capacity, is_held)} in use"
        )
        lines += [
            f"  {name:<16} {_tokens(shares.get(name, 0) + floor if name in live_pilots else 0, is_held):>10}"
            + (
                ""
                if name in live_pilots
                else f"  down; its floor of {_tokens(floor, is_held)} stays reserved"
            )
            for name in pilots
        ]
    return "\n".join(lines)
