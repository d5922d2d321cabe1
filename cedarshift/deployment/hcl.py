"""Parses HCL and validates it against schemas.

The parse tree of python-hcl2 is read rather than its dicts, because only the tree has line numbers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any, Callable, NamedTuple, Optional, Union

import hcl2
import lark

from cedarshift.deployment.refused import InvalidFile, Problem

US_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
DURATION_PATTERN = re.compile(r"^(\d+(?:\.\d+)?)(us|ms|s|m)$")


class Value(NamedTuple):
    """The value of an attribute and its line."""

    line: int
    value: Any


@dataclass
class Block:
    """A parsed block with its labels, attributes and inner blocks.

    `duplicates`: a problem for each attribute that is set twice.
    """

    kind: str
    labels: list[str]
    line: int
    attributes: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    duplicates: list[Problem] = field(default_factory=list)


# Returns (checked value, "") for a valid value, else (None, a description of what is allowed).
Check = Callable[[Any], tuple[Any, str]]


def duration(minimum: int = 0, maximum: int = 3_600_000_000) -> Check:
    """Accepts a time such as "250ms" or "1.5s" and converts it to integer microseconds."""
    allowed = f'a time such as "250ms" or "1.5s", from {minimum} us to {maximum} us'

    def check(raw: Any) -> tuple[Any, str]:
        match = DURATION_PATTERN.match(raw) if isinstance(raw, str) else None
        us = round(float(match[1]) * US_PER_UNIT[match[2]]) if match else -1
        return (us, "") if match and minimum <= us <= maximum else (None, allowed)

    return check


def integer(minimum: int = 0, maximum: int = 1 << 31) -> Check:
    return lambda raw: (
        (raw, "")
        if type(raw) is int and minimum <= raw <= maximum
        else (None, f"an integer from {minimum} to {maximum}")
    )


def number(minimum: float = 0.0, maximum: float = 1e12) -> Check:
    return lambda raw: (
        (float(raw), "")
        if type(raw) in (int, float) and minimum <= raw <= maximum
        else (None, f"a number from {minimum:g} to {maximum:g}")
    )


def boolean(raw: Any) -> tuple[Any, str]:
    return (raw, "") if type(raw) is bool else (None, "true or false")


def string(raw: Any) -> tuple[Any, str]:
    return (raw, "") if isinstance(raw, str) and raw else (None, "a non-empty string")


def choice(*names: str) -> Check:
    return lambda raw: (raw, "") if raw in names else (None, "one of " + ", ".join(f'"{n}"' for n in names))


def strings(raw: Any) -> tuple[Any, str]:
    valid = isinstance(raw, list) and all(isinstance(item, str) and item for item in raw)
    return (list(raw), "") if valid and len(set(raw)) == len(raw) else (None, "a list of different strings")


def address(raw: Any) -> tuple[Any, str]:
    """Accepts "host:port" and converts it to a pair."""
    match = re.match(r"^([A-Za-z0-9.\-]+):(\d{1,5})$", raw) if isinstance(raw, str) else None
    valid = match and int(match[2]) <= 65_535
    return (
        ((match[1], int(match[2])), "") if match and valid else (None, 'an address such as "127.0.0.1:7100"')
    )


def addresses(raw: Any) -> tuple[Any, str]:
    """Accepts a list of at least one "host:port" without repetitions."""
    pairs = [address(item)[0] for item in raw] if isinstance(raw, list) else []
    valid = pairs and None not in pairs and len(set(pairs)) == len(pairs)
    return (pairs, "") if valid else (None, 'a list of different addresses such as ["127.0.0.1:2181"]')


REQUIRED = object()  # in place of a default: the attribute must be set


@dataclass
class Schema:
    """The attributes and blocks that a body may have.

    `attributes`: name -> (check, default); `blocks`: kind -> (schema, number of labels, minimum, maximum).
    """

    attributes: dict[str, tuple[Check, Any]]
    blocks: dict[str, tuple[Schema, int, int, int]] = field(default_factory=dict)


@dataclass
class CheckedBlock:
    """A validated body: values and their lines by name, inner blocks by kind."""

    labels: list[str]
    line: int
    values: dict[str, Any]
    lines: dict[str, int]
    blocks: dict[str, list[CheckedBlock]]

    def __getitem__(self, name: str) -> Any:
        return self.values[name]


def parse(source: str, name: str) -> Block:
    """Parses a file to a block without labels. Raises InvalidFile with the line of a syntax error."""
    try:
        tree = hcl2.parses_to_tree(source if source.endswith("\n") else source + "\n")
    except lark.exceptions.UnexpectedInput as error:
        line = error.line if isinstance(error.line, int) and error.line > 0 else source.count("\n") + 1
        found = getattr(error, "token", None) or getattr(error, "char", "")
        raise InvalidFile([Problem(name, line, f"this is not HCL: found {str(found)!r}")]) from None
    top = Block("", [], 1)
    _read_body(next(c for c in tree.children if c.data == "body"), top, name)
    return top


def _read_body(body: lark.Tree, into: Block, file: str) -> None:
    for child in body.children:
        if child.data == "attribute":
            name = str(child.children[0].children[0])
            if name in into.attributes:
                into.duplicates.append(Problem(file, child.meta.line, f"{name} is set twice"))
            into.attributes[name] = Value(child.meta.line, _read_value(child.children[-1], file))
        elif child.data == "block":
            into.blocks.append(_read_block(child, file))


def _read_block(block: lark.Tree, file: str) -> Block:
    names = [
        _read_name(c)
        for c in block.children
        if isinstance(c, lark.Tree) and c.data in ("identifier", "string")
    ]
    result = Block(names[0], names[1:], block.meta.line)
    _read_body(next(c for c in block.children if isinstance(c, lark.Tree) and c.data == "body"), result, file)
    return result


def _read_name(node: lark.Tree) -> str:
    return str(node.children[0]) if node.data == "identifier" else _read_value(node, "")


def _read_value(node: Any, file: str) -> Any:
    """Converts a literal. Raises InvalidFile for expressions."""
    kind = node.data
    inner: list[Any] = [
        c for c in node.children if isinstance(c, lark.Tree) and c.data != "new_line_or_comment"
    ]
    if (
        kind == "expr_term"
        and len(inner) == 1
        and len(node.children) == len([c for c in node.children if isinstance(c, lark.Tree)])
    ):
        return _read_value(inner[0], file)
    if kind == "int_lit":
        return int(node.children[0])
    if kind == "float_lit":
        return float(node.children[0])
    if kind == "unary_op" and str(node.children[0]) == "-":
        return -_read_value(inner[0], file)
    if kind == "literal_value":
        return {"true": True, "false": False}.get(str(node.children[0]))
    if kind == "string" and all(
        part.data == "string_part" and part.children[0].type in ("STRING_CHARS", "ESCAPED_INTERPOLATION")
        for part in inner
    ):
        return "".join(str(part.children[0]) for part in inner).replace('\\"', '"').replace("\\\\", "\\")
    if kind == "tuple":
        return [_read_value(c, file) for c in inner]
    raise InvalidFile([Problem(file, node.meta.line, f"{kind} is not allowed, only plain values are")])


def check(block: Block, schema: Schema, file: str, problems: list[Problem], where: str = "") -> CheckedBlock:
    """Validates a body against a schema.

    Errors are appended to `problems`; an invalid or missing value is replaced by its default.
    """
    checked = CheckedBlock(block.labels, block.line, {}, {}, {})
    problems += block.duplicates
    for name, attribute in block.attributes.items():
        if name not in schema.attributes:
            problems.append(
                Problem(
                    file,
                    attribute.line,
                    f"{name} is unknown{where}; known: "
                    f"{', '.join(sorted(schema.attributes)) or 'no attributes'}",
                )
            )
    for name, (check_value, default) in schema.attributes.items():
        raw = block.attributes.get(name)
        checked.lines[name] = raw.line if raw else block.line
        checked.values[name] = None if default is REQUIRED else default
        if raw is not None:
            value, allowed = check_value(raw.value)
            if allowed:
                problems.append(
                    Problem(
                        file, raw.line, f"{name} = {_format_value(raw.value)}{where}: {allowed} is allowed"
                    )
                )
            else:
                checked.values[name] = value
        elif default is REQUIRED:
            problems.append(Problem(file, block.line, f"{name} is missing{where}"))
    _check_blocks(block, schema, file, problems, where, checked)
    return checked


def _check_blocks(
    block: Block, schema: Schema, file: str, problems: list[Problem], where: str, checked: CheckedBlock
) -> None:
    for inner in block.blocks:
        if inner.kind not in schema.blocks:
            problems.append(
                Problem(
                    file,
                    inner.line,
                    f"block {inner.kind} is unknown{where}; known: "
                    f"{', '.join(sorted(schema.blocks)) or 'no blocks'}",
                )
            )
            continue
        inner_schema, labels, _, _ = schema.blocks[inner.kind]
        if len(inner.labels) != labels:
            problems.append(
                Problem(
                    file, inner.line, f"block {inner.kind} has {len(inner.labels)} names, {labels} required"
                )
            )
            continue
        context = " in " + " ".join([inner.kind] + [f'"{label}"' for label in inner.labels])
        checked.blocks.setdefault(inner.kind, []).append(check(inner, inner_schema, file, problems, context))
    for kind, (_, labels, minimum, maximum) in schema.blocks.items():
        found = checked.blocks.setdefault(kind, [])
        if not minimum <= len(found) <= maximum and sum(child.kind == kind for child in block.blocks) == len(
            found
        ):
            problems.append(
                Problem(
                    file, block.line, f"{len(found)} blocks {kind}{where}, {minimum} to {maximum} required"
                )
            )
        names = [tuple(checked_block.labels) for checked_block in found]
        for checked_block in found:
            if labels and names.count(tuple(checked_block.labels)) > 1:
                problems.append(
                    Problem(
                        file,
                        checked_block.line,
                        f"{kind} {checked_block.labels[0]!r} is declared twice{where}",
                    )
                )


def _format_value(value: Union[str, Any]) -> str:
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
    "CheckedBlock",
    "InvalidFile",
    "REQUIRED",
    "Optional",
    "Problem",
    "Schema",
    "check",
    "parse",
]
