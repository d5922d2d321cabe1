"""The five rules, checked from what passed on the sockets of proxies and endpoints, and from what the list told the pilots.

Nothing that a pilot believes is read. Each checker returns a verdict with what broke it first.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import defaultdict, deque
from typing import Any, NamedTuple, Sequence

from cedarshift.rehearsal.answer import answer_kept
from cedarshift.rehearsal.evidence import Evidence, Row
from cedarshift.rehearsal.verdict import Verdict


def check_all(evidence: Evidence) -> list[Verdict]:
    found = [
        nobody_without(evidence),
        one_owner(evidence),
        drains(evidence),
        no_cold_pushed(evidence),
        short_queue(evidence),
    ]
    if evidence.limits.budgets:
        found.append(budgets_kept(evidence))
    if evidence.limits.answer is not None:
        found.append(answer_kept(evidence))
    return found


# ---- budgets, where the deployment has any


def beyond_rate(times: Sequence[int], rate: float) -> tuple[float, int]:
    """By how many the worst span of any length passes `rate` a second, and where it ends; `times` in us, in order."""
    low, worst, worst_at = 0.0, 0.0, 0
    for count, at in enumerate(times):
        level = count - rate * (at - times[0]) / 1e6
        low = min(low, level)
        if level + 1 - low > worst:
            worst, worst_at = level + 1 - low, at
    return worst, worst_at


def budgets_kept(evidence: Evidence) -> Verdict:
    """No span of any length holds more spends than its rate x (span + burst), and one token for each bucket that can save one
    and each stop of a process between its check and its record."""
    verdict = Verdict("budgets", "the fleet spends no more than the whole of each budget")
    for use, (rate, burst, spenders) in sorted(evidence.limits.budgets.items()):
        times = [
            row.at
            for row in evidence.of("spend", "call")
            if (row.told[0] if row.what == "spend" else "list_calls") == use
        ]
        allowed, (worst, worst_at) = rate * burst / 1e6 + spenders, beyond_rate(times, rate)
        verdict.figures[f"{use}_spent"] = float(len(times))
        verdict.figures[f"{use}_beyond_rate"] = worst
        if worst > allowed:
            verdict.broken(
                f"{use}: {worst:.1f} spends beyond {rate:g} a second by {evidence.seconds(worst_at):.3f} s, {allowed:.1f} allowed"
            )
    return verdict


# ---- rule one


def nobody_without(evidence: Evidence) -> Verdict:
    verdict = Verdict("nobody-without", "no joined proxy is left without an endpoint for a slice")
    longest = 0
    joined: dict[str, set[str]] = defaultdict(set)
    bare: dict[str, dict[int, int]] = defaultdict(dict)

    def over(who: str, number: int, at: int) -> None:
        nonlocal longest
        since = bare[who].pop(number, None)
        if since is None:
            return
        longest = max(longest, at - since)
        if evidence.limits.without(since, at) > evidence.limits.empty_for:
            verdict.broken(
                f"{who} had no endpoint for slice {number} from {evidence.seconds(since):.3f} s "
                f"to {evidence.seconds(at):.3f} s"
            )

    held: dict[str, dict[int, str]] = defaultdict(dict)
    for row in evidence.of("start", "joined", "lost", "slice"):
        who = row.who
        if row.what == "start":
            joined[who].clear()
            bare[who].clear()
            held[who].clear()
        elif row.what == "joined":
            joined[who].add(row.told[0])
            for number, owner in held[who].items():
                if not owner:
                    bare[who].setdefault(number, row.at)
        elif row.what == "lost":
            joined[who].discard(row.told[0])
            if not joined[who]:  # cut off: the rule speaks of joined proxies
                for number in list(bare[who]):
                    over(who, number, row.at)
        else:
            number, owner = row.told[0], row.told[1]
            held[who][number] = owner
            if owner:
                over(who, number, row.at)
            elif joined[who]:
                bare[who].setdefault(number, row.at)
    for who in list(bare):
        for number in list(bare[who]):
            over(who, number, evidence.end)
    verdict.figures["longest_s"] = longest / 1e6
    return verdict


# ---- rule two


class Write(NamedTuple):
    begun: int
    over: int
    endpoint: str
    op: str
    slice: int


def writes_of(evidence: Evidence) -> list[Write]:
    """Writes that endpoints took in. One that was cut off by the endpoint's end was over then."""
    begun: dict[tuple[str, str], list[Any]] = {}
    made = []
    for row in evidence.of("start", "accept", "end", "tipped", "died"):
        if row.what == "accept" and row.told[5]:
            begun[row.who, row.told[0]] = [row.at, row.told[7], row.told[1]]
        elif row.what == "end" and (row.who, row.told[0]) in begun:
            at, overdue, number = begun.pop((row.who, row.told[0]))
            over = min(row.at, overdue) if row.told[1] == "expired" else row.at
            made.append(Write(at, max(at, over), row.who, row.told[0], number))
        elif row.what in ("start", "tipped", "died"):
            for who, op in [key for key in begun if key[0] == row.who]:
                at, overdue, number = begun.pop((who, op))
                made.append(Write(at, min(row.at, overdue), who, op, number))
    made += [
        Write(at, min(evidence.end, overdue), who, op, number)
        for (who, op), (at, overdue, number) in begun.items()
    ]
    return sorted(made)


def owners_of(evidence: Evidence) -> dict[int, list[tuple[int, str]]]:
    """By slice: (first seen at any proxy, owner), each giving and grant once, in order. A late copy is no new grant."""
    seen: set[tuple] = set()
    newest: dict[int, int] = defaultdict(int)
    owners: dict[int, list[tuple[int, str]]] = defaultdict(list)
    for row in evidence.of("order", "held"):
        if row.what == "order":
            pilot, _, _, _, mark, lines = row.told
            found: list[tuple] = [
                (number, endpoint, epoch, (pilot, mark))
                for number, endpoint, weight, epoch in lines
                if weight > 0
            ]
        else:
            found = [(number, owner, epoch, ("held",)) for number, epoch, owner in row.told[1] if owner]
        for number, endpoint, epoch, source in found:
            identity = (number, endpoint, epoch, source)
            if identity in seen or epoch < newest[number]:
                continue
            fresh = source[0] != "held" or epoch > newest[number]
            seen.add(identity)
            newest[number] = epoch
            if fresh and (not owners[number] or owners[number][-1][1] != endpoint):
                owners[number].append((row.at, endpoint))
    return owners


def one_owner(evidence: Evidence) -> Verdict:
    verdict = Verdict(
        "one-owner", "no effect twice: one owner's writes at a time, never a former owner after a later"
    )
    names = {row.who: row.told[0] for row in evidence.of("start") if row.who.startswith("e")}
    owners = defaultdict(list, evidence.owners) if evidence.owners is not None else owners_of(evidence)
    open_writes: dict[int, list[tuple[int, Write]]] = defaultdict(list)
    newest: dict[int, tuple[int, Write]] = {}
    writes = writes_of(evidence)
    for write in writes:
        others = open_writes[write.slice]
        while others and others[0][0] <= write.begun:
            heapq.heappop(others)
        for _, other in others:
            if other.endpoint != write.endpoint:
                verdict.broken(
                    f"op {write.op} reached {write.endpoint} at {evidence.seconds(write.begun):.3f} s while "
                    f"{other.endpoint} held op {other.op} of slice {write.slice}"
                )
                break
        heapq.heappush(others, (write.over, write))
        period = _period(owners[write.slice], names.get(write.endpoint, write.endpoint), write.begun)
        later = newest.get(write.slice)
        if later is not None and later[0] > period and later[1].endpoint != write.endpoint:
            verdict.broken(
                f"op {write.op} reached {write.endpoint}, a former owner of slice {write.slice}, at "
                f"{evidence.seconds(write.begun):.3f} s, after op {later[1].op} at {later[1].endpoint}"
            )
        elif later is None or period > later[0]:
            newest[write.slice] = (period, write)
    _never_twice(evidence, verdict)
    verdict.figures["writes"] = len(writes)
    verdict.figures["owner_changes"] = sum(max(0, len(seen) - 1) for seen in owners.values())
    return verdict


def _period(owners: list[tuple[int, str]], endpoint: str, at: int) -> int:
    """The newest period in which the endpoint was the owner, as seen by then; -1 for none."""
    upto = bisect_right(owners, (at, "\uffff"))
    return max((n for n in range(upto) if owners[n][1] == endpoint), default=-1)


def _never_twice(evidence: Evidence, verdict: Verdict) -> None:
    taken: dict[str, Row] = {}
    twice = 0
    for row in evidence.of("accept"):
        op, op_type = row.told[0], row.told[2]
        if op_type in evidence.limits.once_only:
            if op in taken:
                twice += 1
                verdict.broken(
                    f"once-only op {op} was taken in at {taken[op].who} and again at {row.who} at "
                    f"{evidence.seconds(row.at):.3f} s"
                )
            taken.setdefault(op, row)
    verdict.figures["once_only_ops"] = len(taken)
    verdict.figures["taken_twice"] = twice


# ---- rule three


def drains(evidence: Evidence) -> Verdict:
    verdict = Verdict("drains", "an endpoint that drains or is gone is left within the grace")
    told: dict[tuple[str, str], int] = {}  # (pilot, endpoint) -> when it was told to leave it
    since: dict[tuple[str, str], int] = {}  # (proxy, pilot) -> joined at
    given: dict[tuple[str, int], tuple[int, int]] = {}  # (proxy, slice) -> (epoch, when)
    latest = 0
    for row in evidence.of("told", "joined", "lost", "held", "send"):
        if row.what == "told":
            for endpoint, phase, _ in row.told[2]:
                if phase == "on":
                    told.pop((row.told[0], endpoint), None)
                elif phase == "fading" or evidence.limits.gone_binds:
                    told.setdefault((row.told[0], endpoint), row.at)
        elif row.what == "joined":
            since[row.who, row.told[0]] = row.at
        elif row.what == "lost":
            since.pop((row.who, row.told[0]), None)
        elif row.what == "held":
            for number, epoch, _ in row.told[1]:
                if given.get((row.who, number), (-1, 0))[0] < epoch:
                    given[row.who, number] = (epoch, row.at)
        else:
            op, number, _, endpoint, pilot = row.told[:5]
            left = told.get((pilot, endpoint))
            if left is None or (row.who, pilot) not in since:
                continue
            start = max(left, since[row.who, pilot], given.get((row.who, number), (0, 0))[1])
            latest = max(latest, row.at - start)
            if evidence.limits.without(start, row.at) > evidence.limits.drain_grace:
                verdict.broken(
                    f"{row.who} sent op {op} to {endpoint} at {evidence.seconds(row.at):.3f} s, "
                    f"{(row.at - start) / 1e6:.3f} s after {pilot} was told to leave it"
                )
    verdict.figures["last_send_after_s"] = latest / 1e6
    verdict.figures["endpoints_left"] = len({endpoint for _, endpoint in told})
    return verdict


# ---- rule four


def no_cold_pushed(evidence: Evidence) -> Verdict:
    verdict = Verdict("no-cold-pushed", "no cold endpoint is pushed over")
    cold = 0
    for row in evidence.of("start", "tipped"):
        if row.what == "start" and row.who.startswith("e"):
            cold += not row.told[4]
        elif row.what == "tipped":
            work, share, waiting = row.told
            verdict.broken(
                f"{row.who} fell over at {evidence.seconds(row.at):.3f} s: {work / 1e6:.2f} s of work within the "
                f"window at {share:.2f} of its capacity; in hand: {', '.join(waiting[:4]) or 'none'}"
            )
    verdict.figures["cold_starts"] = cold
    return verdict


# ---- rule five


def short_queue(evidence: Evidence) -> Verdict:
    """Each order tells how long it lay in the channel, so what waited when is seen from the proxies' side."""
    limits = evidence.limits
    verdict = Verdict(
        "short-queue",
        "no more lines wait in a pilot's channel, and no more messages go to one proxy, than stated",
    )
    moves: dict[str, list[tuple[int, int, float]]] = defaultdict(list)
    recent: dict[tuple[str, str], deque[int]] = defaultdict(deque)
    most_messages = 0
    for row in evidence.of("order"):
        pilot, _, waited, rows = row.told[:4]
        lines = limits.lines_per_message + rows
        moves[pilot] += [(row.at - waited, 1, lines), (row.at, 0, -lines)]
        times = recent[row.who, pilot]
        times.append(row.at)
        while times[0] <= row.at - limits.messages_span:
            times.popleft()
        most_messages = max(most_messages, len(times))
        if limits.messages_most and len(times) > limits.messages_most:
            verdict.broken(
                f"{pilot} wrote {len(times)} messages to {row.who} within "
                f"{limits.messages_span / 1e6:g} s by {evidence.seconds(row.at):.3f} s"
            )
    peak = 0.0
    for pilot, steps in moves.items():
        waiting, above = 0.0, False
        for at, _, lines in sorted(steps):
            waiting += lines
            peak = max(peak, waiting)
            if waiting > limits.lines_waiting_most and not above:
                verdict.broken(
                    f"{waiting:.0f} lines waited in the channel of {pilot} at {evidence.seconds(at):.3f} s, "
                    f"{limits.lines_waiting_most:.0f} are allowed"
                )
            above = waiting > limits.lines_waiting_most
    verdict.figures["lines_waiting_at_most"] = peak
    verdict.figures["messages_to_one_at_most"] = most_messages
    return verdict


# ---- figures beside the rules


def handover_gaps(evidence: Evidence) -> list[float]:
    """Seconds for which a slice's writes were closed at a proxy, for every closing that was followed by an opening."""
    shut: dict[tuple[str, int], int] = {}
    gaps = []
    for row in evidence.of("start", "slice"):
        if row.what == "start":
            shut = {key: at for key, at in shut.items() if key[0] != row.who}
            continue
        number, owner, closed, _ = row.told
        if closed or not owner:
            shut.setdefault((row.who, number), row.at)
        elif (row.who, number) in shut:
            began = shut.pop((row.who, number))
            if began >= evidence.begin:  # at the start every slice waits for its first owner
                gaps.append((row.at - began) / 1e6)
    return sorted(gaps)
