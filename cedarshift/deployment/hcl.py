"""HCL to checked values. A `Shape` lists the attributes and blocks that may stand in a body; `check` tells all that is wrong.

Parsed by python-hcl2; its parse tree is read rather than its dicts, since only the tree knows the lines.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any, Callable, NamedTuple, Optional, Union

import hcl2
import lark

from cedarshift.deployment.refused import FileRefused, Problem

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
SPAN = re.compile(r"^(\d+(?:\.\d+)?)(us|ms|s|m)$")


class Value(NamedTuple):
    line: int
    value: Any


@dataclass
class Block:
    kind: str
    labels: list[str]
    line: int
    attributes: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    twice: list[Problem] = field(default_factory=list)


# ---- kinds of values: each gives (checked value, "") or (None, what is allowed)

Check = Callable[[Any], tuple[Any, str]]


def span(least: int = 0, most: int = 3_600_000_000) -> Check:
    """A time such as "250ms" or "1.5s", as whole us."""
    allowed = f'a time such as "250ms" or "1.5s", from {least} us to {most} us'

    def check(raw: Any) -> tuple[Any, str]:
        got = SPAN.match(raw) if isinstance(raw, str) else None
        us = round(float(got[1]) * UNITS[got[2]]) if got else -1
        return (us, "") if got and least <= us <= most else (None, allowed)

    return check


def whole(least: int = 0, most: int = 1 << 31) -> Check:
    return lambda raw: (
        (raw, "")
        if type(raw) is int and least <= raw <= most
        else (None, f"a whole number from {least} to {most}")
    )


def number(least: float = 0.0, most: float = 1e12) -> Check:
    return lambda raw: (
        (float(raw), "")
        if type(raw) in (int, float) and least <= raw <= most
        else (None, f"a number from {least:g} to {most:g}")
    )


def flag(raw: Any) -> tuple[Any, str]:
    return (raw, "") if type(raw) is bool else (None, "true or false")


def text(raw: Any) -> tuple[Any, str]:
    return (raw, "") if isinstance(raw, str) and raw else (None, "a text that is not empty")


def choice(*names: str) -> Check:
    return lambda raw: (raw, "") if raw in names else (None, "one of " + ", ".join(f'"{n}"' for n in names))


def texts(raw: Any) -> tuple[Any, str]:
    fits = isinstance(raw, list) and all(isinstance(one, str) and one for one in raw)
    return (list(raw), "") if fits and len(set(raw)) == len(raw) else (None, "a list of different texts")


def address(raw: Any) -> tuple[Any, str]:
    """ "host:port" as a pair."""
    got = re.match(r"^([A-Za-z0-9.\-]+):(\d{1,5})$", raw) if isinstance(raw, str) else None
    fits = got and int(got[2]) <= 65_535
    return ((got[1], int(got[2])), "") if got and fits else (None, 'an address such as "127.0.0.1:7100"')


def addresses(raw: Any) -> tuple[Any, str]:
    """A list of different "host:port", one at least."""
    found = [address(one)[0] for one in raw] if isinstance(raw, list) else []
    fits = found and None not in found and len(set(found)) == len(found)
    return (found, "") if fits else (None, 'a list of different addresses such as ["127.0.0.1:2181"]')


MUST = object()  # an attribute without a default


@dataclass
class Shape:
    """What may stand in a body. `attributes`: name -> (check, default); `blocks`: kind -> (shape, labels, least, most)."""

    attributes: dict[str, tuple[Check, Any]]
    blocks: dict[str, tuple[Shape, int, int, int]] = field(default_factory=dict)


@dataclass
class Checked:
    """A body that has been checked: values by name with their lines, blocks by kind."""

    labels: list[str]
    line: int
    values: dict[str, Any]
    lines: dict[str, int]
    blocks: dict[str, list[Checked]]

    def __getitem__(self, name: str) -> Any:
        return self.values[name]


# ---- reading


def parse(source: str, name: str) -> Block:
    """The file as a block without labels. Raises FileRefused with the place of a syntax error."""
    try:
        tree = hcl2.parses_to_tree(source if source.endswith("\n") else source + "\n")
    except lark.exceptions.UnexpectedInput as error:
        line = error.line if isinstance(error.line, int) and error.line > 0 else source.count("\n") + 1
        found = getattr(error, "token", None) or getattr(error, "char", "")
        raise FileRefused([Problem(name, line, f"this is not HCL: found {str(found)!r}")]) from None
    top = Block("", [], 1)
    _body(next(c for c in tree.children if c.data == "body"), top, name)
    return top


def _body(body: lark.Tree, into: Block, file: str) -> None:
    for child in body.children:
        if child.data == "attribute":
            name = str(child.children[0].children[0])
            if name in into.attributes:
                into.twice.append(Problem(file, child.meta.line, f"{name} is set twice"))
            into.attributes[name] = Value(child.meta.line, _value(child.children[-1], file))
        elif child.data == "block":
            into.blocks.append(_block(child, file))


def _block(block: lark.Tree, file: str) -> Block:
    names = [
        _name(c) for c in block.children if isinstance(c, lark.Tree) and c.data in ("identifier", "string")
    ]
    made = Block(names[0], names[1:], block.meta.line)
    _body(next(c for c in block.children if isinstance(c, lark.Tree) and c.data == "body"), made, file)
    return made


def _name(node: lark.Tree) -> str:
    return str(node.children[0]) if node.data == "identifier" else _value(node, "")


def _value(node: Any, file: str) -> Any:
    """A literal. Raises FileRefused on expressions: a deployment file states, it does not compute."""
    kind = node.data
    inner: list[Any] = [
        c for c in node.children if isinstance(c, lark.Tree) and c.data != "new_line_or_comment"
    ]
    if (
        kind == "expr_term"
        and len(inner) == 1
        and len(node.children) == len([c for c in node.children if isinstance(c, lark.Tree)])
    ):
        return _value(inner[0], file)
    if kind == "int_lit":
        return int(node.children[0])
    if kind == "float_lit":
        return float(node.children[0])
    if kind == "unary_op" and str(node.children[0]) == "-":
        return -_value(inner[0], file)
    if kind == "literal_value":
        return {"true": True, "false": False}.get(str(node.children[0]))
    if kind == "string" and all(
        part.data == "string_part" and part.children[0].type in ("STRING_CHARS", "ESCAPED_INTERPOLATION")
        for part in inner
    ):
        return "".join(str(part.children[0]) for part in inner).replace('\\"', '"').replace("\\\\", "\\")
    if kind == "tuple":
        return [_value(c, file) for c in inner]
    raise FileRefused([Problem(file, node.meta.line, f"{kind} is not allowed, only plain values are")])


# ---- checking


def check(block: Block, shape: Shape, file: str, problems: list[Problem], where: str = "") -> Checked:
    """Holds a body against a shape; what is wrong is appended to `problems`, with defaults in its place."""
    made = Checked(block.labels, block.line, {}, {}, {})
    problems += block.twice
    for name, given in block.attributes.items():
        if name not in shape.attributes:
            problems.append(
                Problem(
                    file,
                    given.line,
                    f"{name} is unknown{where}; known: "
                    f"{', '.join(sorted(shape.attributes)) or 'no attributes'}",
                )
            )
    for name, (test, default) in shape.attributes.items():
        raw = block.attributes.get(name)
        made.lines[name] = raw.line if raw else block.line
        made.values[name] = None if default is MUST else default
        if raw is not None:
            value, allowed = test(raw.value)
            if allowed:
                problems.append(
                    Problem(file, raw.line, f"{name} = {_shown(raw.value)}{where}: {allowed} is allowed")
                )
            else:
                made.values[name] = value
        elif default is MUST:
            problems.append(Problem(file, block.line, f"{name} is missing{where}"))
    _check_blocks(block, shape, file, problems, where, made)
    return made


def _check_blocks(
    block: Block, shape: Shape, file: str, problems: list[Problem], where: str, made: Checked
) -> None:
    for inner in block.blocks:
        if inner.kind not in shape.blocks:
            problems.append(
                Problem(
                    file,
                    inner.line,
                    f"block {inner.kind} is unknown{where}; known: "
                    f"{', '.join(sorted(shape.blocks)) or 'no blocks'}",
                )
            )
            continue
        below, labels, _, _ = shape.blocks[inner.kind]
        if len(inner.labels) != labels:
            problems.append(
                Problem(
                    file, inner.line, f"block {inner.kind} has {len(inner.labels)} names, {labels} wanted"
                )
            )
            continue
        place = " in " + " ".join([inner.kind] + [f'"{label}"' for label in inner.labels])
        made.blocks.setdefault(inner.kind, []).append(check(inner, below, file, problems, place))
    for kind, (_, labels, least, most) in shape.blocks.items():
        got = made.blocks.setdefault(kind, [])
        if not least <= len(got) <= most and sum(b.kind == kind for b in block.blocks) == len(got):
            problems.append(
                Problem(file, block.line, f"{len(got)} blocks {kind}{where}, {least} to {most} wanted")
            )
        names = [tuple(one.labels) for one in got]
        for one in got:
            if labels and names.count(tuple(one.labels)) > 1:
                problems.append(Problem(file, one.line, f"{kind} {one.labels[0]!r} stands twice{where}"))


def _shown(value: Union[str, Any]) -> str:
    shown = (
        f'"{value}"'
        if isinstance(value, str)
        else str(value).lower()
        if isinstance(value, bool)
        else str(value)
    )
    return shown if len(shown) <= 60 else shown[:57] + "..."


__all__ = [
    "Block",
    "Check",
    "Checked",
    "FileRefused",
    "MUST",
    "Optional",
    "Problem",
    "Shape",
    "check",
    "parse",
]
