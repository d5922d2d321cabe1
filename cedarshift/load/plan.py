"""Load files in HCL: schema, validation and conversion to a load plan."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

from cedarshift.deployment import hcl
from cedarshift.deployment.hcl import REQUIRED, CheckedBlock, InvalidFile, Problem
from cedarshift.load import trace as traces
from cedarshift.load.arrivals import MAX_KEYS, LoadPlan, OpMix, Shape

TIME_ATTRIBUTES = {"at": (hcl.duration(), 0), "for": (hcl.duration(1_000), REQUIRED)}
SHAPE_ATTRIBUTES: dict[str, dict[str, Any]] = {
    "ramp": {**TIME_ATTRIBUTES, "from": (hcl.number(0, 1000), 1.0), "to": (hcl.number(0, 1000), REQUIRED)},
    "wave": {
        **TIME_ATTRIBUTES,
        "depth": (hcl.number(0, 1), REQUIRED),
        "period": (hcl.duration(10_000), REQUIRED),
    },
    "burst": {**TIME_ATTRIBUTES, "times": (hcl.number(0, 1000), REQUIRED)},
    "hot_key": {**TIME_ATTRIBUTES, "share": (hcl.number(0, 1), REQUIRED)},
    "shift": {
        **TIME_ATTRIBUTES,
        "share": (hcl.number(0, 1), REQUIRED),
        "target": (hcl.integer(0, 10_000), REQUIRED),
    },
    "mix": {
        **TIME_ATTRIBUTES,
        "op_types": (hcl.strings, REQUIRED),
        "shares": (lambda raw: _parse_shares(raw), REQUIRED),
    },
}
OP_TYPE_SCHEMA = hcl.Schema(
    {
        "share": (hcl.number(0, 1000), 1.0),
        "op_timeout": (hcl.duration(1_000), 6_000_000),
        "work": (hcl.duration(), 100_000),
    }
)
TRACE_SCHEMA = hcl.Schema(
    {
        "file": (hcl.string, REQUIRED),
        "unit": (hcl.choice(*traces.US_PER_UNIT), "s"),
        "gap_most": (hcl.duration(1_000), 60_000_000),
        "gaps": (hcl.choice("keep", "close", "refuse"), "keep"),
        "back": (hcl.choice("sort", "drop", "refuse"), "sort"),
        "empty": (hcl.choice("drop", "refuse"), "refuse"),
        "speed": (hcl.number(0.001, 1000), 1.0),
    }
)
LOAD_SCHEMA = hcl.Schema(
    {
        "targets": (hcl.addresses, REQUIRED),
        "rate": (hcl.number(0.01, 1_000_000), 100.0),
        "length": (hcl.duration(100_000), 10_000_000),
        "workers": (hcl.integer(1, 64), 1),
        "seed": (hcl.integer(), 1),
        "arrivals": (hcl.choice("poisson", "bursty", "heavy", "even"), "poisson"),
        "burst_times": (hcl.number(1, 1000), 4.0),
        "burst_span": (hcl.duration(1_000), 500_000),
        "calm_span": (hcl.duration(1_000), 2_000_000),
        "tail": (hcl.number(1.05, 10), 1.6),
        "keys": (hcl.integer(1, MAX_KEYS), 2_000),
        "zipf": (hcl.number(0, 5), 0.8),
        "clients": (hcl.integer(1, 100_000), 50),
        "sizes_cv": (hcl.number(0, 10), 0.6),
        "work_cv": (hcl.number(0, 10), 0.5),
    },
    {
        "op_type": (OP_TYPE_SCHEMA, 1, 1, 64),
        "shape": (hcl.Schema({}), 1, 0, 100),
        "trace": (TRACE_SCHEMA, 0, 0, 1),
    },
)
FILE_SCHEMA = hcl.Schema({}, {"load": (LOAD_SCHEMA, 1, 1, 1)})


class LoadFile(NamedTuple):
    """A load file: its name and path, the target addresses, the load plan and the trace."""

    name: str
    file: str
    targets: list[tuple[str, int]]
    workers: int
    plan: LoadPlan
    trace: traces.Trace


def _parse_shares(raw: Any) -> tuple[Any, str]:
    fits = (
        isinstance(raw, list)
        and raw
        and all(type(one) in (int, float) and one >= 0 for one in raw)
        and sum(raw) > 0
    )
    return (
        ([float(one) for one in raw], "") if fits else (None, "a list of numbers from 0, not all of them 0")
    )


def load_file(path: str) -> LoadFile:
    """Reads a load file. Raises InvalidFile with every problem, InvalidTrace for its trace, and OSError."""
    with open(path, encoding="utf-8") as source:
        top = hcl.parse(source.read(), path)
    problems: list[Problem] = []
    shapes = _read_shapes(top, path, problems)
    found = hcl.check(top, FILE_SCHEMA, path, problems)
    if problems or not found.blocks["load"]:
        raise InvalidFile(problems)
    body = found.blocks["load"][0]
    ops = tuple(
        OpMix(one.labels[0], one["share"], one["op_timeout"], one["work"]) for one in body.blocks["op_type"]
    )
    _check_consistency(body, ops, shapes, path, problems)
    if problems:
        raise InvalidFile(problems)
    plan = LoadPlan(
        ops=ops,
        targets=len(body["targets"]),
        shapes=tuple(shapes),
        **{name: body[name] for name in LOAD_SCHEMA.attributes if name not in ("targets", "workers")},
    )
    trace = _read_trace(body, path)
    _note_unused_rows(trace, plan)
    return LoadFile(body.labels[0], path, body["targets"], body["workers"], plan, trace)


def _read_shapes(top: hcl.Block, path: str, problems: list[Problem]) -> list[Shape]:
    """Checks each shape against the schema of its kind and empties its body for the general check."""
    parsed_shapes = []
    for block in [b for load in top.blocks for b in load.blocks if b.kind == "shape" and len(b.labels) == 1]:
        kind = block.labels[0]
        if kind not in SHAPE_ATTRIBUTES:
            problems.append(
                Problem(
                    path,
                    block.line,
                    f"shape {kind!r} is unknown; known: {', '.join(sorted(SHAPE_ATTRIBUTES))}",
                )
            )
        else:
            got = hcl.check(block, hcl.Schema(SHAPE_ATTRIBUTES[kind]), path, problems, f' in shape "{kind}"')
            parsed_shapes.append((kind, got, block.line))
        block.attributes = {}
        block.labels = [f"{kind} {block.line}"]
    if problems:
        return []
    return [
        Shape(
            kind,
            got["at"],
            got["for"],
            start=got.values.get("from", 1.0),
            end=got.values.get("to", got.values.get("times", 1.0)),
            depth=got.values.get("depth", 0.0),
            period=got.values.get("period", 1),
            share=got.values.get("share", 0.0),
            target=got.values.get("target", 0),
            shares=tuple(zip(got.values.get("op_types", []), got.values.get("shares", []))),
        )
        for kind, got, _ in parsed_shapes
    ]


def _check_consistency(
    body: CheckedBlock, ops: tuple[OpMix, ...], shapes: list[Shape], path: str, problems: list[Problem]
) -> None:
    names = {op.name for op in ops}
    if not sum(op.share for op in ops):
        problems.append(Problem(path, body.line, "every op type's share is 0"))
    if (
        body["arrivals"] == "bursty"
        and body["burst_times"] * body["burst_span"] > body["calm_span"] + body["burst_span"]
    ):
        problems.append(
            Problem(
                path,
                body.lines["burst_times"],
                "bursts alone are more than the rate: burst_times times burst_span "
                "exceeds calm_span and burst_span together",
            )
        )
    for shape in shapes:
        if shape.kind == "shift" and shape.target >= len(body["targets"]):
            problems.append(
                Problem(
                    path,
                    body.line,
                    f"shape shift names target {shape.target}, there are {len(body['targets'])}",
                )
            )
        for name, _ in shape.shares:
            if name not in names:
                problems.append(Problem(path, body.line, f"shape mix names {name!r}, which is no op type"))
        if shape.kind == "mix" and not sum(share for _, share in shape.shares):
            problems.append(Problem(path, body.line, "shape mix: every share is 0"))


def _read_trace(body: CheckedBlock, path: str) -> traces.Trace:
    if not body.blocks["trace"]:
        return traces.Trace()
    values = dict(body.blocks["trace"][0].values)
    file = os.path.join(os.path.dirname(path), values.pop("file"))
    return traces.read(file, traces.TraceSettings(**values))


def _note_unused_rows(trace: traces.Trace, plan: LoadPlan) -> None:
    names = {op.name for op in plan.ops}
    unknown = sorted({row.op_type for row in trace.rows} - names)
    if unknown:
        trace.notices.append(
            f"op types of the trace without a block op_type, played with the first one's op_timeout and "
            f"work: {', '.join(unknown[:20])}"
        )
    beyond = sum(row.at >= plan.length for row in trace.rows)
    if beyond:
        trace.notices.append(
            f"{beyond} rows of the trace lie beyond length = {plan.length / 1e6:g} s and are not played"
        )


__all__ = ["LoadFile", "load_file"]
