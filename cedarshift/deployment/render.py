"""Renders a deployment as the text of a deployment file, which `load` reads back unchanged."""

from __future__ import annotations

import dataclasses
from typing import Any

from cedarshift.deployment.deployment import (
    BUDGET_SCHEMA,
    CHANNEL_SCHEMA,
    LIST_SCHEMA,
    OP_TYPE_SCHEMA,
    PILOT_SCHEMA,
    PROXY_SCHEMA,
    RULES_SCHEMA,
    STORE_SCHEMA,
    Deployment,
    LearningSettings,
    ListSettings,
)
from cedarshift.deployment.hcl import Schema


def render(deployment: Deployment, secret_file: str = "") -> str:
    """Renders a deployment. `secret_file`: the file that contains its secret, if it has one."""
    lines = [f'deployment "{deployment.name}" {{']
    for name in (
        "slices",
        "zones",
        "single_owner",
        "pick",
        "levels",
        "intake_per_s",
        "proxies_most",
        "memory",
    ):
        lines.append(f"  {name} = {_literal(getattr(deployment, name))}")
    if secret_file:
        lines.append(f"  secret_file = {_literal(secret_file)}")
    for op in deployment.op_types:
        lines += _render_block(f'op_type "{op.name}"', OP_TYPE_SCHEMA, op)
    for pilot in deployment.pilots:
        lines += _render_block(f'pilot "{pilot.name}"', PILOT_SCHEMA, pilot)
    if deployment.store is not None:
        lines += _render_block("store", STORE_SCHEMA, deployment.store)
    lines += (
        _render_roster(deployment.listed)
        if deployment.listed.nodes is not None
        else _render_block("list", LIST_SCHEMA, deployment.listed)
    )
    for kind, schema, body in (
        ("channel", CHANNEL_SCHEMA, deployment.channel),
        ("proxy", PROXY_SCHEMA, deployment.proxy),
        ("rules", RULES_SCHEMA, deployment.rules),
    ):
        lines += _render_block(kind, schema, body)
    if deployment.membership is not None:
        lines += ["  membership {", f'    period = "{deployment.membership.period}us"', "  }"]
    if deployment.budgets is not None:
        budgets = deployment.budgets
        lines += [
            "  budgets {",
            f'    lease = "{budgets.lease}us"',
            f'    proxy_lease = "{budgets.proxy_lease}us"',
            f"    clock_drift = {budgets.clock_drift!r}",
            f"    claim_cold = {_literal(budgets.claim_cold)}",
        ]
        for name, budget in budgets.named.items():
            rows = _render_block(f'budget "{name}"', BUDGET_SCHEMA, budget)
            lines += ["  " + row for row in rows if not row.endswith((" = 0", " = 0.0", '"0us"'))]
        lines.append("  }")
    if deployment.overload is not None:
        lines += [
            "  overload {",
            *(
                f'    op "{name}" {{\n      cost = {cost!r}\n    }}'
                for name, cost in deployment.overload.costs.items()
            ),
            "  }",
        ]
    if deployment.learn is not None:
        lines += _render_learning(deployment.learn)
    return "\n".join(lines + ["}", ""])


def _render_roster(listed: ListSettings) -> list[str]:
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


def _render_learning(learn: LearningSettings) -> list[str]:
    rows = [
        f"    from = {_literal(learn.sources)}",
        f'    for = "{learn.duration}us"',
        f"    lend_share = {learn.lend_share!r}",
        f"    compress = {_literal(learn.compress)}",
    ]
    rows += [f'    {name} = "{getattr(learn, name)}us"' for name in ("again", "patience", "answer_within")]
    return ["  learn {", *rows, "  }"]


def _render_block(title: str, schema: Schema, body: Any) -> list[str]:
    duration_names = {
        name for name, (test, _) in schema.attributes.items() if test.__qualname__.startswith("duration.")
    }
    rows = []
    for name, value in dataclasses.asdict(body).items():
        if name in schema.attributes and value not in (None, ""):
            rows.append(f"    {name} = " + (f'"{value}us"' if name in duration_names else _literal(value)))
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
