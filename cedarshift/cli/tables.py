"""Fetches the status pages of a pilot and formats them as text."""

from __future__ import annotations

from typing import Any

import msgspec

from cedarshift.loop import StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import real_loop
from cedarshift.web import Pool

TIMEOUT_US = 5_000_000


def fetch(address: tuple[str, int], target: str = "/tables", method: str = "GET", body: bytes = b"") -> bytes:
    """Sends one request. Raises OSError without an answer or for a status other than 200."""
    loop = real_loop()
    pool = Pool(loop, TIMEOUT_US)

    def main() -> Coroutine:
        try:
            return (yield from pool.request(address, method, target, [], body, loop.now() + TIMEOUT_US))
        except (StreamBroken, TimedOut) as error:
            raise OSError(str(error) or "no answer in time") from None

    reply = loop.run(loop.spawn(main(), "ask"))
    pool.close_idle()
    loop.network.epoll.close()  # type: ignore[attr-defined]
    if reply.status != 200:
        raise OSError(f"{address[0]}:{address[1]} answered {reply.status}")
    return reply.body


def format_tables(raw: bytes) -> str:
    """Formats the page /tables."""
    page: dict[str, Any] = msgspec.json.decode(raw)
    lines = [
        f"pilot {page['pilot']} of {page['deployment']}, "
        f"{'in charge' if page['in_charge'] else 'NOT in charge'}",
        f"proxies joined: {len(page['proxies'])}; endpoints listed: {len(page['endpoints'])}; "
        f"slices: {len(page['slices'])}",
        "channel: {waiting:.0f} lines waiting, {peak:.0f} at peak, {most:.0f} allowed".format(
            **page["channel"]
        ),
        "",
    ]
    if page["slices"]:
        lines.append(f"{'slice':>6} {'epoch':>6} {'version':>8}  {'state':<9} owner")
    for row in page["slices"]:
        closed = " (writes closed)" if any(lv["share"] == 0 for lv in row["levels"]) else ""
        lines.append(
            f"{row['slice']:>6} {row['epoch']:>6} {row['version']:>8}  "
            f"{row['state']:<9} {row['owner'] or '-'}{closed}"
        )
    for number, weights in page["tables"].items():
        lines.append(
            f"table {number}: " + ", ".join(f"{end} x{weight:g}" for end, weight in sorted(weights.items()))
        )
    return "\n".join(lines)


def format_facts(raw: bytes) -> str:
    """Formats the page /facts: what the pilot has learnt from other pilots."""
    page: dict[str, Any] = msgspec.json.decode(raw)
    if not page:
        return "no facts from other pilots: the deployment has no block learn"
    lines = ["lenders:"] + [
        f"  {lender['origin']}: its list answered {lender['list_age_s']:.1f} s ago, "
        f"{'in charge' if lender['in_charge'] else 'not in charge'}, soundness {lender['soundness']:g}"
        for lender in page["lenders"]
    ]
    lines.append(f"{'endpoint':<24} {'phase':<8} {'age s':>7} {'weight':>7} {'hops':>5}  origin, source")
    lines += [
        f"{fact['endpoint']:<24} {fact['phase']:<8} {fact['age_s']:>7.1f} {fact['weight']:>7.3f} "
        f"{fact['hops']:>5}  {fact['origin']}, {fact['source']} rev {fact['rev']}"
        for fact in page["phases"]
    ]
    lines += [f"{fact['endpoint']:<24} started {fact['age_s']:.1f} s ago" for fact in page["starts"]]
    lines += [
        f"{fact['endpoint']:<24} found sick, {fact['left_s']:.1f} s left, by {fact['origin']}"
        for fact in page["sick"]
    ]
    lines.append(", ".join(f"{name} {count}" for name, count in page["counts"].items()))
    return "\n".join(lines)


def format_pilots(raw: bytes) -> str:
    """Formats the page /pilots: the state of each pilot as this one sees it."""
    page: dict[str, Any] = msgspec.json.decode(raw)
    if not page:
        return "no membership among pilots: the deployment has no block membership"
    lines = [
        f"pilot {page['me']}, {page['side']} of {page['configured']} configured pilots on its side"
        + (
            ""
            if 2 * page["side"] > page["configured"]
            else " (NO MAJORITY: a pilot it considers dead may be alive elsewhere)"
        ),
        f"period {page['period_s']:g} s, own health {page['health']} (0 is healthy)"
        + (", SUPERSEDED by a later process of its name" if page["superseded"] else ""),
        "",
        f"{'pilot':<16} {'state':<8} {'for s':>8} {'incarnation':>11}  silent to / heard by",
    ]
    for row in page["members"]:
        since = f"{row['since_s']:.1f}" if row["since_s"] is not None else "-"
        edges = "; ".join(
            f"{label} {', '.join(row[key])}"
            for label, key in (("silent to", "silent_to"), ("heard by", "heard_by"))
            if row[key]
        )
        lines.append(f"{row['name']:<16} {row['state']:<8} {since:>8} {row['incarnation']:>11}  {edges}")
    dropped = {name: count for name, count in page["counts"].items() if name.startswith("dropped_") and count}
    lines += [
        "",
        "datagrams sent {datagrams_sent}, received {datagrams_heard}, limited by the cap {capped}".format(
            **page["counts"]
        ),
    ]
    if dropped:
        lines.append("dropped: " + ", ".join(f"{name[8:]} {count}" for name, count in dropped.items()))
    return "\n".join(lines)


def format_members(raw: bytes) -> str:
    """Formats the page /members: the source of the list, its nodes and the listed endpoints."""
    page: dict[str, Any] = msgspec.json.decode(raw)
    last_contact = page.get("heard_s")
    lines = [
        f"pilot {page['pilot']}, source {page['source']}, last contact "
        + ("never" if last_contact is None else f"{last_contact:.1f} s ago")
    ]
    if "state" in page:
        lines += [
            f"{page['state']} for {page['state_since_s']:.0f} s"
            + (f" at {page['server']}" if page["server"] else ""),
            f"session {page['session']}, timeout {page['timeout_ms']} ms, zxid {page['zxid']}, "
            f"{page['watch']} watch",
        ]
        if page["denied"]:
            lines.append(f"NOT READ: {page['denied']}")
        lines += [
            "",
            f"{'node':<28} {'endpoint':<22} {'phase':<7} {'size':>6} {'zone':<10} "
            f"{'start':<10} {'session':<14} {'read':>8}",
        ]
        lines += [
            f"{member['node']:<28} {member['endpoint']:<22} {member['phase']:<7} {member['size']:>6g} "
            f"{member['zone']:<10} {member['start']:<10} {member['session']:<14} {member['age_s']:>6.0f} s"
            for member in page["members"]
        ]
        lines += [
            f"vanished {endpoint['since_s']:.1f} s ago, "
            f"{'retained' if endpoint['in_doubt'] else 'held back'}: {endpoint['endpoint']}"
            for endpoint in page["vanished"]
        ]
        lines += [f"INVALID: {node['node']}: {node['reason']}" for node in page["refused"]]
    lines += ["", f"{'listed':<22} {'phase':<7} {'size':>6} {'zone':<10} started"]
    lines += [
        f"{entry['endpoint']:<22} {entry['phase']:<7} {entry['size']:>6g} {entry['zone']:<10} "
        + ("long ago" if entry["start_s"] is None else f"{entry['start_s']:.0f} s ago")
        for entry in page["listed"]
    ]
    return "\n".join(lines)
