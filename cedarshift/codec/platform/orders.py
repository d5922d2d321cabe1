"""The module's decisions as the relay's orders, turns as calls of a bounded size, and the relay's answers."""

from __future__ import annotations

from typing import NamedTuple, Optional, Sequence
from urllib.parse import quote_plus
from xml.parsers import expat

from cedarshift.codec.platform.errors import Unreadable

ORDERS_MOST = 60_000  # bytes of the orders of one call, not yet escaped: the platform's limit
ANSWER_MOST = 65_536  # bytes of an answer; one holds a few dozen
ALL = "*"
FORM = ("content-type", "application/x-www-form-urlencoded")


class Order(NamedTuple):
    """`slice_id`: the slice that it is for; None where it is for all, or no slice's. `line`: the endpoint that its table
    names once this is carried out, "" for none. `reopens`: the order that undoes this one, where it shuts op types out.
    `mark`: the number that acks of it carry."""

    slice_id: Optional[int]
    text: str
    line: Optional[str] = None
    reopens: str = ""
    mark: Optional[int] = None


def order(decision: tuple, op_types: Sequence[str], all_tables: int) -> Order:
    """A decision on tables as one order. Raises ValueError for a verb that is none."""
    verb = decision[0]
    if verb == "line":
        _, number, endpoint, weight = decision
        return Order(number, f"share,{number},{endpoint},{weight:g}", endpoint if weight > 0 else "")
    if verb == "level":
        table = ALL if decision[1] == all_tables else str(decision[1])
        named = [name for at, name in enumerate(op_types) if decision[2] >> at & 1]
        head, tail = f"admit,{table},{'+'.join(named) or ALL}", decision[4]
        return Order(
            None if table == ALL else decision[1],
            f"{head},{decision[3]:g},{tail}",
            reopens="" if decision[3] > 0 else f"{head},1,{tail}",
        )
    if verb == "mark":
        return Order(None, f"mark,{decision[1]},{int(decision[2])}", mark=decision[1])
    raise ValueError(f"unknown decision {verb!r}")


def fitting(orders: Sequence[Order]) -> int:
    """How many of the first orders one call may carry; one at least."""
    size = -1
    for count, one in enumerate(orders):
        size += len(one.text.encode()) + 1
        if size > ORDERS_MOST:
            return max(1, count)
    return len(orders)


def form(orders: Sequence[Order]) -> bytes:
    return (
        b"Action=CommitChanges&orders=" + quote_plus(";".join(one.text for one in orders), safe=",").encode()
    )


class Answer(NamedTuple):
    """`taken`: orders taken, from the first; None where the relay turned the whole call away, for the reason `error`."""

    taken: Optional[int]
    error: str = ""


ERRORS = ("BUSY", "STALE", "FAILED", "SYNTAX")


def answer(body: bytes, asked: int) -> Answer:
    """What the relay said of a call with so many orders. Raises Unreadable where that can't be told."""
    texts = _texts(body)
    for said in (said for told in texts.values() for said in told):
        if said in ERRORS:
            return Answer(None, said)
    counts = texts.get("ok_count", [])
    if (
        len(counts) != 1
        or not counts[0].isdecimal()
        or not counts[0].isascii()
        or not int(counts[0]) <= asked
    ):
        raise Unreadable(f"ok_count: {counts!r:.60}, one whole number from 0 to {asked} is allowed")
    return Answer(int(counts[0]))


def _texts(body: bytes) -> dict[str, list[str]]:
    """The texts of an answer's elements by name. No entities are taken: an answer has none of its own."""
    if len(body) > ANSWER_MOST:
        raise Unreadable(f"an answer of {len(body)} bytes, {ANSWER_MOST} are allowed")
    texts: dict[str, list[str]] = {}
    path: list[list[str]] = []
    parser = expat.ParserCreate()

    def refuse(*_: object) -> None:
        raise Unreadable("an answer that declares entities")

    def begin(name: str, _: dict) -> None:
        path.append([])

    def end(name: str) -> None:
        texts.setdefault(name, []).append("".join(path.pop()).strip())

    parser.StartElementHandler, parser.EndElementHandler, parser.EntityDeclHandler = begin, end, refuse
    parser.CharacterDataHandler = lambda data: path[-1].append(data) if path else None
    try:
        parser.Parse(body, True)
    except expat.ExpatError as error:
        raise Unreadable(f"no XML: {error}") from None
    return texts
