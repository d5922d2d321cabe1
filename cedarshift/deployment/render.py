"""A deployment as the text of a deployment file: what `load` reads back as the same."""

from __future__ import annotations

import dataclasses
from typing import Any

from cedarshift.deployment.deployment import (
    BUDGET,
    CHANNEL,
    LIST,
    OP_TYPE,
    PILOT,
    PROXY,
    RULES,
    STORE,
    Deployment,
    LearnTerms,
    ListSource,
)
from cedarshift.deployment.hcl import Shape


def render(d: Deployment, secret_file: str = "") -> str:
    """`secret_file` has to hold the deployment's secret where it has one."""
    out = [f'deployment "{d.name}" {{']
    for name in ("slices", "zones", "single_owner", "pick", "levels", "intake_per_s", "proxies_most"):
        out.append(f"  {name} = {_literal(getattr(d, name))}")
    if secret_file:
        out.append(f"  secret_file = {_literal(secret_file)}")
    for op in d.op_types:
        out += _block(f'op_type "{op.name}"', OP_TYPE, op)
    for place in d.pilots:
        out += _block(f'pilot "{place.name}"', PILOT, place)
    if d.store is not None:
        out += _block("store", STORE, d.store)
    out += _roster(d.listed) if d.listed.nodes is not None else _block("list", LIST, d.listed)
    for kind, shape, body in (
        ("channel", CHANNEL, d.channel),
        ("proxy", PROXY, d.proxy),
        ("rules", RULES, d.rules),
    ):
        out += _block(kind, shape, body)
    if d.membership is not None:
        out += ["  membership {", f'    period = "{d.membership.period}us"', "  }"]
    if d.budgets is not None:
        b = d.budgets
        out += [
            "  budgets {",
            f'    lease = "{b.lease}us"',
            f'    proxy_lease = "{b.proxy_lease}us"',
            f"    clock_drift = {b.clock_drift!r}",
            f"    claim_cold = {_literal(b.claim_cold)}",
        ]
        for name, plan in b.named.items():
            rows = _block(f'budget "{name}"', BUDGET, plan)
            out += ["  " + row for row in rows if not row.endswith((" = 0", " = 0.0", '"0us"'))]
        out.append("  }")
    if d.overload is not None:
        out += [
            "  overload {",
            *(
                f'    op "{name}" {{\n      cost = {cost!r}\n    }}'
                for name, cost in d.overload.costs.items()
            ),
            "  }",
        ]
    if d.learn is not None:
        out += _learn(d.learn)
    return "\n".join(out + ["}", ""])


def _roster(listed: ListSource) -> list[str]:
    nodes = listed.nodes
    assert nodes is not None
    servers = ", ".join(_literal(address) for address in nodes.servers)
    rows = [
        f"    servers = [{servers}]",
        f'    session_timeout = "{nodes.session_timeout}us"',
        f'    hold = "{nodes.hold}us"',
        f"    gone_binds = {_literal(listed.gone_binds)}",
    ]
    more = {
        "path": nodes.path,
        "format": nodes.format,
        "port_name": nodes.port_name,
        "watch": nodes.watch,
        "read_only": nodes.read_only,
        "auth": nodes.auth_file,
        "saved": listed.saved,
    }
    rows += [f"    {name} = {_literal(value)}" for name, value in more.items() if value != ""]
    return ['  roster "zookeeper" {', *rows, "  }"]


def _learn(learn: LearnTerms) -> list[str]:
    rows = [
        f"    from = {_literal(learn.sources)}",
        f'    for = "{learn.span}us"',
        f"    lend_share = {learn.lend_share!r}",
        f"    compress = {_literal(learn.compress)}",
    ]
    rows += [f'    {name} = "{getattr(learn, name)}us"' for name in ("again", "patience", "answer_within")]
    return ["  learn {", *rows, "  }"]


def _block(title: str, shape: Shape, body: Any) -> list[str]:
    spans = {name for name, (test, _) in shape.attributes.items() if test.__qualname__.startswith("span.")}
    rows = []
    for name, value in dataclasses.asdict(body).items():
        if name in shape.attributes and value not in (None, ""):
            rows.append(f"    {name} = " + (f'"{value}us"' if name in spans else _literal(value)))
    return [f"  {title} {{", *rows, "  }"]


def _literal(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):
        return f'"{value[0]}:{value[1]}"'
    if isinstance(value, (tuple, list)):
        return "[" + ", ".join(_literal(one) for one in value) + "]"
    return repr(value)
