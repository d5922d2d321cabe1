"""Asks a pilot's page what it holds, and shows it as text."""

from __future__ import annotations

from typing import Any

import msgspec

from cedarshift.loop import StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import real_loop
from cedarshift.web import Pool

TIMEOUT = 5_000_000  # us


def fetch(address: tuple[str, int], target: str = "/tables", method: str = "GET", body: bytes = b"") -> bytes:
    """One request. Raises OSError where nobody answers, or not with 200."""
    loop = real_loop()
    pool = Pool(loop, TIMEOUT)

    def main() -> Coroutine:
        try:
            return (yield from pool.request(address, method, target, [], body, loop.now() + TIMEOUT))
        except (StreamBroken, TimedOut) as error:
            raise OSError(str(error) or "no answer in time") from None

    reply = loop.run(loop.spawn(main(), "ask"))
    pool.close_idle()
    loop.network.epoll.close()  # type: ignore[attr-defined]
    if reply.status != 200:
        raise OSError(f"{address[0]}:{address[1]} answered {reply.status}")
    return reply.body


def shown(raw: bytes) -> str:
    held: dict[str, Any] = msgspec.json.decode(raw)
    out = [
        f"pilot {held['pilot']} of {held['deployment']}, {'in charge' if held['in_charge'] else 'NOT in charge'}",
        f"proxies joined: {len(held['proxies'])}; endpoints listed: {len(held['endpoints'])}; "
        f"slices: {len(held['slices'])}",
        "channel: {waiting:.0f} lines wait, {peak:.0f} at most so far, {most:.0f} allowed".format(
            **held["channel"]
        ),
        "",
    ]
    if held["slices"]:
        out.append(f"{'slice':>6} {'epoch':>6} {'version':>8}  {'state':<9} owner")
    for row in held["slices"]:
        closed = " (writes closed)" if any(lv["share"] == 0 for lv in row["levels"]) else ""
        out.append(
            f"{row['slice']:>6} {row['epoch']:>6} {row['version']:>8}  {row['state']:<9} {row['owner'] or '-'}{closed}"
        )
    for number, lines in held["tables"].items():
        out.append(
            f"table {number}: " + ", ".join(f"{end} x{weight:g}" for end, weight in sorted(lines.items()))
        )
    return "\n".join(out)


def shown_facts(raw: bytes) -> str:
    held: dict[str, Any] = msgspec.json.decode(raw)
    if not held:
        return "nothing is borrowed: the deployment has no block learn"
    out = ["lenders:"] + [
        f"  {one['origin']}: its list answered {one['list_age_s']:.1f} s ago, "
        f"{'in charge' if one['in_charge'] else 'not in charge'}, soundness {one['soundness']:g}"
        for one in held["lenders"]
    ]
    out.append(f"{'endpoint':<24} {'phase':<8} {'age s':>7} {'weight':>7} {'hops':>5}  origin, source")
    out += [
        f"{one['endpoint']:<24} {one['phase']:<8} {one['age_s']:>7.1f} {one['weight']:>7.3f} {one['hops']:>5}  "
        f"{one['origin']}, {one['source']} rev {one['rev']}"
        for one in held["phases"]
    ]
    out += [f"{one['endpoint']:<24} started {one['age_s']:.1f} s ago" for one in held["starts"]]
    out += [
        f"{one['endpoint']:<24} found sick, {one['left_s']:.1f} s left, by {one['origin']}"
        for one in held["sick"]
    ]
    out.append(", ".join(f"{name} {count}" for name, count in held["counts"].items()))
    return "\n".join(out)


def shown_pilots(raw: bytes) -> str:
    """The roll of the pilots as one of them holds it."""
    held: dict[str, Any] = msgspec.json.decode(raw)
    if not held:
        return "the pilots keep no roll of each other: the deployment has no block membership"
    out = [
        f"pilot {held['me']}, {held['side']} of {held['configured']} configured pilots on its side"
        + (
            ""
            if 2 * held["side"] > held["configured"]
            else " (NOT MOST: what it holds for dead may live elsewhere)"
        ),
        f"period {held['period_s']:g} s, own health {held['health']} (0 is well)"
        + (", SUPERSEDED by a later life of its name" if held["superseded"] else ""),
        "",
        f"{'pilot':<16} {'state':<8} {'for s':>8} {'incarnation':>11}  silent to / heard by",
    ]
    for row in held["members"]:
        since = f"{row['since_s']:.1f}" if row["since_s"] is not None else "-"
        edges = "; ".join(
            f"{word} {', '.join(row[key])}"
            for word, key in (("silent to", "silent_to"), ("heard by", "heard_by"))
            if row[key]
        )
        out.append(f"{row['name']:<16} {row['state']:<8} {since:>8} {row['incarnation']:>11}  {edges}")
    dropped = {name: count for name, count in held["counts"].items() if name.startswith("dropped_") and count}
    out += [
        "",
        "datagrams sent {datagrams_sent}, heard {datagrams_heard}, held back by the cap {capped}".format(
            **held["counts"]
        ),
    ]
    if dropped:
        out.append("dropped: " + ", ".join(f"{name[8:]} {count}" for name, count in dropped.items()))
    return "\n".join(out)


def shown_members(raw: bytes) -> str:
    """The source of the list, its nodes, and what the module was told."""
    held: dict[str, Any] = msgspec.json.decode(raw)
    heard = held.get("heard_s")
    out = [
        f"pilot {held['pilot']}, source {held['source']}, heard "
        + ("never" if heard is None else f"{heard:.1f} s ago")
    ]
    if "state" in held:
        out += [
            f"{held['state']} for {held['state_since_s']:.0f} s"
            + (f" at {held['server']}" if held["server"] else ""),
            f"session {held['session']}, time-out {held['timeout_ms']} ms, zxid {held['zxid']}, {held['watch']} watch",
        ]
        if held["denied"]:
            out.append(f"NOT READ: {held['denied']}")
        out += [
            "",
            f"{'node':<28} {'endpoint':<22} {'phase':<7} {'size':>6} {'zone':<10} {'start':<10} {'session':<14} {'read':>8}",
        ]
        out += [
            f"{m['node']:<28} {m['endpoint']:<22} {m['phase']:<7} {m['size']:>6g} {m['zone']:<10} {m['start']:<10} "
            f"{m['session']:<14} {m['age_s']:>6.0f} s"
            for m in held["members"]
        ]
        out += [
            f"vanished {v['since_s']:.1f} s ago, {'stands in doubt' if v['in_doubt'] else 'held back'}: {v['endpoint']}"
            for v in held["vanished"]
        ]
        out += [f"NOT UNDERSTOOD: {one['node']}: {one['reason']}" for one in held["refused"]]
    out += ["", f"{'listed':<22} {'phase':<7} {'size':>6} {'zone':<10} started"]
    out += [
        f"{e['endpoint']:<22} {e['phase']:<7} {e['size']:>6g} {e['zone']:<10} "
        + ("long ago" if e["start_s"] is None else f"{e['start_s']:.0f} s ago")
        for e in held["listed"]
    ]
    return "\n".join(out)
