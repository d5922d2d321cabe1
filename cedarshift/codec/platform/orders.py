"""Encoding of decisions as orders of the relay, and decoding of its responses."""

from __future__ import annotations

from typing import NamedTuple, Optional, Sequence
from urllib.parse import quote_plus
from xml.parsers import expat

from cedarshift.codec.platform.errors import MalformedStream

MAX_ORDERS_BYTES = 60_000  # in one call, before escaping: the platform's limit
MAX_RESPONSE_BYTES = 65_536
WILDCARD = "*"
FORM_CONTENT_TYPE = ("content-type", "application/x-www-form-urlencoded")


class Order(NamedTuple):
    """An encoded order. `slice_id`: the slice concerned, None for a global order. `line`: the endpoint
    that the slice's table names afterwards, "" for none; None if unchanged. `reopen_order`: for an order
    that blocks op types, the order that admits them again. `mark`: the number that acks of this order
    carry."""

    slice_id: Optional[int]
    text: str
    line: Optional[str] = None
    reopen_order: str = ""
    mark: Optional[int] = None

    @property
    def admits(self) -> bool:
        """Whether it admits op types of its slice again."""
        return self.slice_id is not None and self.line is None and not self.reopen_order

    @property
    def grants(self) -> bool:
        """Whether it names an owner of its slice or admits op types again: with the wrong owner, or while
        the slice is handed over, writes could then reach two endpoints."""
        return self.admits or bool(self.line)


def encode_order(decision: tuple, op_types: Sequence[str], all_tables: int) -> Order:
    """Encodes a decision, as listed at `interface.DecisionModule`. Raises ValueError for any but line, level
    and mark."""
    verb = decision[0]
    if verb == "line":
        _, number, endpoint, weight = decision
        return Order(number, f"share,{number},{endpoint},{weight:g}", endpoint if weight > 0 else "")
    if verb == "level":
        table = WILDCARD if decision[1] == all_tables else str(decision[1])
        named = [name for at, name in enumerate(op_types) if decision[2] >> at & 1]
        head, tail = f"admit,{table},{'+'.join(named) or WILDCARD}", decision[4]
        return Order(
            None if table == WILDCARD else decision[1],
            f"{head},{decision[3]:g},{tail}",
            reopen_order="" if decision[3] > 0 else f"{head},1,{tail}",
        )
    if verb == "mark":
        return Order(None, f"mark,{decision[1]},{int(decision[2])}", mark=decision[1])
    raise ValueError(f"unknown decision {verb!r}")


def count_fitting(orders: Sequence[Order]) -> int:
    """The number of leading orders that fit into one call; at least one."""
    size = -1
    for count, order in enumerate(orders):
        size += len(order.text.encode()) + 1
        if size > MAX_ORDERS_BYTES:
            return max(1, count)
    return len(orders)


def encode_form(orders: Sequence[Order]) -> bytes:
    return (
        b"Action=CommitChanges&orders="
        + quote_plus(";".join(order.text for order in orders), safe=",").encode()
    )


class CallResponse(NamedTuple):
    """`accepted`: the number of leading orders accepted; None if the call failed with the code `error`."""

    accepted: Optional[int]
    error: str = ""


ERROR_CODES = ("BUSY", "STALE", "FAILED", "SYNTAX")


def parse_response(body: bytes, order_count: int) -> CallResponse:
    """Parses the response to a call of `order_count` orders. Raises MalformedStream."""
    texts = _element_texts(body)
    for value in (value for values in texts.values() for value in values):
        if value in ERROR_CODES:
            return CallResponse(None, value)
    counts = texts.get("ok_count", [])
    if (
        len(counts) != 1
        or not counts[0].isdecimal()
        or not counts[0].isascii()
        or not int(counts[0]) <= order_count
    ):
        raise MalformedStream(f"ok_count: {counts!r:.60}, expected one integer from 0 to {order_count}")
    return CallResponse(int(counts[0]))


def _element_texts(body: bytes) -> dict[str, list[str]]:
    """The texts of all XML elements by element name. Entity declarations are rejected."""
    if len(body) > MAX_RESPONSE_BYTES:
        raise MalformedStream(f"response of {len(body)} bytes, at most {MAX_RESPONSE_BYTES} expected")
    texts: dict[str, list[str]] = {}
    path: list[list[str]] = []
    parser = expat.ParserCreate()

    def reject_entities(*_: object) -> None:
        raise MalformedStream("response declares XML entities")

    def start(name: str, _: dict) -> None:
        path.append([])

    def end(name: str) -> None:
        texts.setdefault(name, []).append("".join(path.pop()).strip())

    parser.StartElementHandler, parser.EndElementHandler, parser.EntityDeclHandler = (
        start,
        end,
        reject_entities,
    )
    parser.CharacterDataHandler = lambda data: path[-1].append(data) if path else None
    try:
        parser.Parse(body, True)
    except expat.ExpatError as error:
        raise MalformedStream(f"invalid XML: {error}") from None
    return texts
