"""`cedarshift overload`: formats the overload control state of a pilot."""

from __future__ import annotations

import msgspec


def format_overload(raw: bytes) -> str:
    """Formats the page /overload of a pilot."""
    state = msgspec.json.decode(raw)
    if not state:
        return "this pilot runs without a block overload"
    totals = state["totals"]
    lines = [
        f"{state['pilot']}: {state['state']}" + (f" ({state['why']})" if state["why"] else ""),
        f"  admitted: {state['share']:.3f} of the work; "
        + ", ".join(f"{name} {part:.3f}" for name, part in state["let_in"].items())
        + f"; {state['again']:.2f} retries per first try; wait {state['wait_s']:g} s",
    ]
    if totals:
        lines.append(
            f"  the fleet, a second: {totals['offered']:.1f} of work offered, {totals['acked']:.1f} acked, "
            f"{totals['repeats']:.1f} retries; pressure {totals['pressure']:.2f}; "
            f"known capacity {state['known']:.1f}; {totals['pilots']} pilots"
        )
    for row in state["pilots"]:
        lines.append(
            f"  {row['pilot']:<12} {row['state']:<8} share {row['share']:.3f}  "
            f"pressure {row['pressure']:.2f}  reported {row['age_s']:.1f} s ago, weight {row['weight']:.2f}"
            + ("  GONE" if row["pilot"] in state["gone"] else "")
        )
        lines += [
            f"    {name:<16} first tries {flow['fresh']:>8.1f}  retries {flow['repeats']:>7.1f}  "
            f"admitted {flow['let_in']:>8.1f}  acked {flow['acked']:>8.1f}  "
            f"aborted {flow['aborted']:>7.1f}  full {flow['full']:>7.1f}  took {flow['took'] / 1000:>7.0f} ms"
            for name, flow in row["op_types"].items()
        ]
    if state["endpoints"]:
        lines.append(
            "  endpoints with a share of their own: "
            + ", ".join(f"{name} {share:.2f}" for name, share in state["endpoints"].items())
        )
    if state["trials"]:
        lines.append(
            "  endpoints on trial, with the fraction of their share: "
            + ", ".join(f"{name} {share:g}" for name, share in state["trials"].items())
        )
    if state["unfair"]:
        lines.append("  proxies above their fair share: " + ", ".join(state["unfair"]))
    return "\n".join(lines)
