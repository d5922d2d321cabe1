"""`cedarshift overload`: a pilot's answer to overload, as text."""

from __future__ import annotations

import msgspec


def shown_overload(raw: bytes) -> str:
    held = msgspec.json.decode(raw)
    if not held:
        return "this pilot runs without a block overload"
    totals = held["totals"]
    out = [
        f"{held['pilot']}: {held['state']}" + (f" ({held['why']})" if held["why"] else ""),
        f"  let in: {held['share']:.3f} of the work; "
        + ", ".join(f"{name} {part:.3f}" for name, part in held["let_in"].items())
        + f"; {held['again']:.2f} repeats for each fresh op; wait {held['wait_s']:g} s",
    ]
    if totals:
        out.append(
            f"  the fleet, a second: {totals['offered']:.1f} of work offered, {totals['acked']:.1f} acked, {totals['repeats']:.1f} repeats; "
            f"pressure {totals['pressure']:.2f}; {held['known']:.1f} were carried in time lately; {totals['pilots']} pilots"
        )
    for row in held["pilots"]:
        out.append(
            f"  {row['pilot']:<12} {row['state']:<8} share {row['share']:.3f}  pressure {row['pressure']:.2f}  told {row['age_s']:.1f} s ago, "
            f"counts {row['weight']:.2f}" + ("  GONE" if row["pilot"] in held["gone"] else "")
        )
        out += [
            f"    {name:<16} fresh {flow['fresh']:>8.1f}  repeats {flow['repeats']:>7.1f}  let in {flow['let_in']:>8.1f}  acked {flow['acked']:>8.1f}  "
            f"aborted {flow['aborted']:>7.1f}  full {flow['full']:>7.1f}  took {flow['took'] / 1000:>7.0f} ms"
            for name, flow in row["op_types"].items()
        ]
    if held["endpoints"]:
        out.append(
            "  endpoints with a share of their own: "
            + ", ".join(f"{name} {share:.2f}" for name, share in held["endpoints"].items())
        )
    if held["trials"]:
        out.append(
            "  endpoints on trial, by what part of their share they get: "
            + ", ".join(f"{name} {share:g}" for name, share in held["trials"].items())
        )
    if held["unfair"]:
        out.append("  proxies that bring more than their part: " + ", ".join(held["unfair"]))
    return "\n".join(out)
