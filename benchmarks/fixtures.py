"""Shared fixtures of the benchmarks: a deployment of a given size and agents that act as its proxies."""

from __future__ import annotations

import json
import os
import random
from typing import Any, Callable, Optional

from cedarshift.agent import Agent, Tables
from cedarshift.agent.tables import OpKind
from cedarshift.codec import Identity
from cedarshift.deployment import Deployment, load
from cedarshift.loop import Loop, listen

DEPLOYMENT_TEMPLATE = """
deployment "bench" {{
  slices = {slices}
  zones = ["a", "b", "c", "d"]
  op_type "fetch" {{
    target_latency = "2s"
    op_timeout = "6s"
    repeats = "retryable"
  }}
  op_type "order" {{
    target_latency = "2s"
    op_timeout = "3s"
    repeats = "once-only"
    writes = true
  }}
  pilot "p0" {{
    listen = "127.0.0.1:{pilot}"
    admin = "127.0.0.1:{admin}"
  }}
  store {{
    listen = "127.0.0.1:{store}"
    path = "store.db"
    takeover = "0s"
  }}
  list {{
    file = "list.json"
    refresh = "20ms"
  }}
  channel {{
    lines_per_s = {lines_per_s}
    lines_waiting_most = {waiting}
  }}
  proxy {{
    in_flight_most = "3s"
    report_every = "1s"
  }}
}}
"""


def free_ports(loop: Loop, count: int) -> list[int]:
    """Returns `count` TCP ports that were free on loopback."""
    listeners = [listen(loop, ("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.address[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def write_list(folder: str, endpoints: int, fading: tuple[int, ...] = ()) -> None:
    """Replaces the endpoint list in `folder`; the endpoints numbered in `fading` are draining."""
    rows = [
        {
            "endpoint": f"10.0.0.{n}:7500",
            "phase": "fading" if n in fading else "on",
            "zone": "abcd"[n % 4],
            "start": "1",
        }
        for n in range(endpoints)
    ]
    with open(os.path.join(folder, "list.part"), "w") as out:
        json.dump({"endpoints": rows}, out)
    os.replace(os.path.join(folder, "list.part"), os.path.join(folder, "list.json"))


def make_deployment(loop: Loop, folder: str, slices: int, endpoints: int, lines_per_s: int) -> Deployment:
    """Writes the configuration and endpoint list to `folder` and loads the deployment."""
    pilot, admin, store = free_ports(loop, 3)
    path = os.path.join(folder, "bench.hcl")
    with open(path, "w") as out:
        out.write(
            DEPLOYMENT_TEMPLATE.format(
                slices=slices,
                pilot=pilot,
                admin=admin,
                store=store,
                lines_per_s=lines_per_s,
                waiting=10 * lines_per_s,
            )
        )
    write_list(folder, endpoints)
    return load(path)


def make_agents(
    loop: Loop, d: Deployment, count: int, observe: Optional[Callable[..., Any]] = None
) -> list[Agent]:
    """Starts `count` agents; `observe(agent_number, event, **fields)` receives their events."""
    agents = []
    for n in range(count):
        tables = Tables(
            d.slices, [OpKind(op.name, op.writes) for op in d.op_types], True, d.proxy.lease, True
        )
        observer = (lambda event, n=n, **fields: observe(n, event, **fields)) if observe else None
        agents.append(
            Agent(
                loop,
                Identity("bench", "proxy", f"x{n}", "abcd"[n % 4]),
                {"p0": d.pilots[0].listen},
                None,
                tables,
                random.Random(n).random,
                observer,
            )
        )
    return agents


def percentile(values: list[float], share: float) -> float:
    """Returns the value at the quantile `share` (0 to 1), or 0.0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0
