"""`cedarshift budgets`: the store's ledger, a pilot's part, and a plan without anybody running."""

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

TIMEOUT = 5_000_000  # us
ASKS_AS = "operator"  # the role under which the store is read


def ask_store(deployment: Deployment) -> bytes:
    """What the store's ledger holds, as JSON. Raises OSError where it does not answer."""
    assert deployment.store is not None
    loop, address = real_loop(), deployment.store.listen
    identity = Identity(deployment.name, ASKS_AS, ASKS_AS, "", deployment.secret)

    def main() -> Coroutine:
        try:
            link, _ = yield from connect(
                loop, address, Session(identity, challenge=random_bytes(16)), TIMEOUT
            )
            link.send(m.ReadBudgetStatus(1))
            while True:
                for message in (yield from link.receive(loop.now() + TIMEOUT)):
                    if isinstance(message, m.BudgetStatus):
                        link.close("done", "read")
                        return message.payload
        except (StreamBroken, ProtocolError, TimedOut) as error:
            raise OSError(str(error) or "no answer in time") from None

    held = loop.run(loop.spawn(main(), "ask"))
    loop.network.epoll.close()  # type: ignore[attr-defined]
    if not held:
        raise OSError("it was started without the block budgets")
    return held


def _tokens(count: int, held: bool = False) -> str:
    return f"{count} at a time" if held else f"{count / PARTS_PER_TOKEN:g}/s"


def _held(deployment: Deployment) -> set[str]:
    """Budgets of so many at a time."""
    return (
        {name for name, budget in deployment.budgets.named.items() if budget.held}
        if deployment.budgets is not None
        else set()
    )


def shown_store(raw: bytes, deployment: Deployment) -> str:
    held: dict[str, Any] = msgspec.json.decode(raw)
    out = [f"store of {deployment.name}, leases of {held['lease_us'] / 1e6:g} s"]
    for budget in held["budgets"]:
        within = f", within {budget['within']}" if budget["within"] else ""
        quiet = (
            f"; nothing new for {budget['quiet_us'] / 1e6:.1f} s after its start"
            if budget["quiet_us"]
            else ""
        )
        held_ones = budget["budget"] in _held(deployment)
        out.append(
            f"{budget['budget']}: whole {_tokens(budget['whole'], held_ones)}{within}, set aside {_tokens(budget['floors'], held_ones)}, "
            f"given {_tokens(budget['given'], held_ones)}{quiet}"
        )
        out += [
            f"  {one['holder']:<16} given {_tokens(one['given'], held_ones):>10}  asked {_tokens(one['demand'], held_ones):>10}  "
            f"ends in {max(0, one['ends_in_us']) / 1e6:5.1f} s  heard {one['heard_us_ago'] / 1e6:5.1f} s ago"
            for one in budget["holders"]
        ]
    out += [
        f"cold endpoint {one['thing']} is {one['holder']}'s to warm, ends in {one['ends_in_us'] / 1e6:.1f} s"
        for one in held["claims"]
    ]
    return "\n".join(out)


def shown_pilot(raw: bytes) -> str:
    held: dict[str, Any] = msgspec.json.decode(raw)
    if not held:
        return "no budgets: the pilot was started without the block"
    out = ["the store answers" if held["store"] else "NO STORE: floors alone, and what has not ended yet"]
    for one in held["budgets"]:
        spent = "" if one["spent"] is None else f", spent {one['spent']}, refused {one['refused']}"
        kind = one["held"]
        used = f"under way {one['in_hand']}" if kind else f"handed on {_tokens(one['handed_on'])}"
        out.append(
            f"{one['budget']}: right {_tokens(one['right'], kind)} (floor {_tokens(one['floor'], kind)}), "
            f"ends in {(one['ends_in_us'] or 0) / 1e6:.1f} s, asked {_tokens(one['asked'], kind)}, {used}{spent}"
        )
        out += [
            f"  {p['proxy']:<16} has {_tokens(p['given']):>10}  asked {_tokens(p['asked']):>10}"
            for p in held["proxies"]
            if p["budget"] == one["budget"]
        ]
    out += [f"cold endpoint {name} is this pilot's to warm" for name in held["claims"]]
    return "\n".join(out)


def planned(deployment: Deployment, down: Iterable[str], demand: Iterable[str]) -> str:
    """The division as the store would make it. Raises ValueError where a name or a figure can't be."""
    terms = deployment.budgets
    assert terms is not None
    pilots, plan = (
        [place.name for place in deployment.pilots],
        build_plan(terms.named, len(deployment.pilots)),
    )
    for name in down:
        if name not in pilots:
            raise ValueError(f"--down {name}: pilots are {', '.join(pilots)}")
    living = [name for name in pilots if name not in set(down)]
    demands = {leaf: dict.fromkeys(living, plan.budgets[leaf].capacity) for leaf in plan.leaves}
    for text in demand:
        place, _, tokens = text.partition("=")
        leaf, _, pilot = place.partition(":")
        if leaf not in plan.leaves or pilot not in pilots:
            raise ValueError(
                f'--demand {text!r}: "BUDGET:PILOT=TOKENS" with budgets {", ".join(plan.leaves)} and pilots {", ".join(pilots)}'
            )
        try:
            wanted = float(tokens)
        except ValueError:
            raise ValueError(f"--demand {text!r}: {tokens!r} is no number") from None
        if pilot in demands[leaf]:
            units = int(wanted) if leaf in _held(deployment) else millitokens(wanted)
            demands[leaf][pilot] = max(0, units - plan.budgets[leaf].floor)
    targets = plan.targets(demands, {root: plan.leasable(root) for root in plan.roots})
    out = [
        f"{deployment.name}, were all to ask for {'what is stated' if demand else 'all'}"
        + (f", without {', '.join(down)}" if down else "")
    ]
    for leaf, found in targets.items():
        floor, kind = plan.budgets[leaf].floor, leaf in _held(deployment)
        whole = sum(found.values()) + floor * len(living)
        out.append(f"{leaf}: {_tokens(whole, kind)} of {_tokens(plan.budgets[leaf].capacity, kind)} in use")
        out += [
            f"  {name:<16} {_tokens(found.get(name, 0) + floor if name in living else 0, kind):>10}"
            + ("" if name in living else f"  down; its floor of {_tokens(floor, kind)} is kept")
            for name in pilots
        ]
    return "\n".join(out)
