"""A bench day, as `lbsim draw` prints it, made into a rehearsal: its troubles at their times, scaled to one machine.

The load's share of capacity, the rules' figures, the channel, leases and reports are the day's; the fleet and the rate
shrink together. How each kind of trouble is played, and what can't be, is said line by line; nothing is left out silently.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any, Callable

from cedarshift.deployment.deployment import (
    ChannelSettings,
    Deployment,
    ListSettings,
    OpTypeSettings,
    PilotSettings,
    ProxySettings,
    RuleSettings,
    StoreSettings,
)
from cedarshift.rehearsal.day import Day, EndpointKind, Fault

ENDPOINTS_MOST = 14  # what a machine of eight cores holds as processes beside their load
PROXIES_MOST = 8
RATE_MOST = 120.0  # ops a second
PAUSES_MOST = 40  # pauses played of one trouble
NOWHERE = ("127.0.0.1", 1)

Told = tuple[list[Fault], str]


class Scale:
    """From the day's indices to those of the smaller fleet."""

    def __init__(self, day: dict[str, Any], share: float) -> None:
        self.day = day
        self.share = share
        self.zones = day["zones"]
        self.pilots = len(day["fam"]["controllers"])
        self.all_proxies = len(day["balancers"])
        self.running = [n for n, server in enumerate(day["servers"]) if server["up"]]
        self.endpoints = max(3, round(len(self.running) * share))
        self.proxies = max(2, round(self.all_proxies * share))

    def count(self, many: int) -> int:
        return max(1, round(many * self.share)) if many else 0

    def endpoints_of(self, on: list[int]) -> list[int]:
        """Distinct endpoints in the place of those struck, as many as the scale leaves."""
        return [n % self.endpoints for n in range(self.count(len(on)))]


def map_day(path: str, share: float = 0.0) -> tuple[Day, list[str]]:
    """The day to rehearse, and what is to be said of it. Raises ValueError for a file that is no such day."""
    with open(path, encoding="utf-8") as source:
        try:
            return _mapped(json.load(source), path, share)
        except (json.JSONDecodeError, LookupError, TypeError) as error:
            raise ValueError(f"{path}: no day of the bench ({type(error).__name__}: {error})") from None


def _mapped(raw: dict[str, Any], path: str, share: float) -> tuple[Day, list[str]]:
    slices = raw["fam"]["slices"]
    if raw.get("family") != "control" or not slices:
        raise ValueError(
            f"{path}: only days of control planes with slices can be played; this one has {slices} slices"
        )
    rate = _rate(raw)
    share = share or min(
        1.0,
        ENDPOINTS_MOST / len([s for s in raw["servers"] if s["up"]]),
        PROXIES_MOST / len(raw["balancers"]),
        RATE_MOST / rate,
    )
    scale = Scale(raw, share)
    faults, said = _troubles(raw, scale)
    day = Day(
        name=f"{raw['site']}-{raw['kind']}",
        file=path,
        deployment=_deployment(raw, path),
        length=raw["length"],
        seed=raw["noise"] % 100_000,
        endpoints=scale.endpoints,
        proxies=scale.proxies,
        clients=2,
        spare_ports=sum(f.values.get("count", 0) for f in faults if f.kind == "deploy"),
        rate=rate * _capacity(raw, scale.endpoints) / _capacity(raw),
        work=round(_work(raw)),
        keys=max(100, raw["traffic"]["keys"]),
        zipf=raw["traffic"]["key_zipf"],
        retries=raw["clients"]["retries"],
        notice=raw["discovery"]["notice"],
        add_notice=raw["discovery"]["add"],
        kinds=_kinds(raw),
        shares={c["name"]: c["share"] for c in raw["classes"]},
        faults=tuple(sorted(faults, key=lambda f: f.at)),
        broken=(),
    )
    head = (
        f"{path}: scaled by {share:.2f} to {scale.endpoints} endpoints (of {len(scale.running)}), {scale.proxies} "
        f"proxies (of {scale.all_proxies}), {day.rate:.0f} ops/s (of {rate:.0f}); {slices} slices, {scale.pilots} pilots"
    )
    kept = [f for f in day.faults if f.at < day.length]
    said += [
        "not modelled here: keys' warmth, connection tables and their cost, the load's shape over the day"
    ]
    return replace(day, faults=tuple(kept)), [head, *said]


def _work(raw: dict[str, Any]) -> float:
    shares = sum(c["share"] for c in raw["classes"])
    return sum(c["share"] * (c["work"] + c["io"]) for c in raw["classes"]) / shares


def _capacity(raw: dict[str, Any], first: int = 0) -> float:
    """Cores by speed of the endpoints that run at the start; of the first few, scaled up by whole fleets."""
    kinds, up = raw["tiers"][0]["kinds"], [s for s in raw["servers"] if s["up"]]
    return sum(kinds[s["kind"]]["cores"] * s["speed"] for s in up) * (first / len(up) if first else 1.0)


def _rate(raw: dict[str, Any]) -> float:
    return raw["traffic"]["load"] * _capacity(raw) * 1e6 / _work(raw)


def _kinds(raw: dict[str, Any]) -> tuple[EndpointKind, ...]:
    made = []
    for n, kind in enumerate(raw["tiers"][0]["kinds"]):
        speeds = [s["speed"] for s in raw["servers"] if s["up"] and s["kind"] == n]
        if speeds:
            made.append(
                EndpointKind(
                    kind["name"], len(speeds), kind["cores"], sum(speeds) / len(speeds), max(1, kind["queue"])
                )
            )
    return tuple(made)


def _deployment(raw: dict[str, Any], path: str) -> Deployment:
    fam, classes = raw["fam"], raw["classes"]
    tier = raw["tiers"][0]
    repeats = {"safe": "retryable", "keyed": "deduplicated", "unsafe": "once-only"}
    ops = tuple(
        OpTypeSettings(
            c["name"],
            c["aim"],
            c["deadline"],
            c["worth"],
            c["late_worth"],
            repeats[c["effect"]],
            c["write"],
            False,
        )
        for c in classes
    )
    zones = tuple(raw["zones"])
    pilots = tuple(
        PilotSettings(f"p{n}", NOWHERE, NOWHERE, zones[zone % len(zones)])
        for n, zone in enumerate(fam["controllers"])
    )
    writes = [op.op_timeout for op in ops if op.writes]
    return Deployment(
        name=raw["site"],
        file=path,
        slices=fam["slices"],
        zones=zones,
        single_owner=fam["exclusive"],
        pick="even" if fam["pick"] == "round" else "chance",
        levels="fraction" if fam["admit"] == "share" else "none",
        intake_per_s=fam["intake"],
        proxies_most=1_000,
        secret=b"",
        op_types=ops,
        pilots=pilots,
        store=StoreSettings(
            NOWHERE,
            "store.db",
            False,
            max(1_000_000, fam["takeover"]),
            500_000,
            max(2_000_000, fam["rehome"]),
        ),
        listed=ListSettings(
            NOWHERE, "", "", 250_000, False, not any(t["kind"] == "wrong_list" for t in raw["troubles"])
        ),
        channel=ChannelSettings(
            fam["rate"], fam["backlog"], fam["head"], fam["messages_most"], 10_000_000, 2 * int(fam["late"])
        ),
        proxy=ProxySettings(
            max(200_000, fam["lease"]),
            max([fam["settle"], *writes]) + 50_000,
            fam["hold"],
            raw["tiers"][0]["connect_timeout"],
            fam["period"],
            round(fam["apply"]),
            fam["ejects"],
            fam["usual_how"],
            max(4_000_000, 5 * fam["lease"]),
        ),
        rules=RuleSettings(
            fam["bare"],
            raw["drain_grace"],
            10_000_000,
            tier["stated_cold"],
            tier["stated_cold_from"],
            raw["fall_multiple"],
            raw["fall_for"],
        ),
    )


# ---- troubles


def _troubles(raw: dict[str, Any], scale: Scale) -> tuple[list[Fault], list[str]]:
    faults: list[Fault] = []
    said = []
    for trouble in raw["troubles"]:
        kind = trouble["kind"]
        play = PLAYED.get(kind)
        if play is None:
            said.append(
                f"{kind} at {trouble['at'] / 1e6:.1f} s: NOT PLAYED, {UNPLAYED.get(kind, 'an unknown kind')}"
            )
            continue
        made, how = play(trouble, scale)
        faults += made
        said.append(f"{kind} at {trouble['at'] / 1e6:.1f} s: {how}")
    return faults, said


def _fault(kind: str, at: int, **values: Any) -> Fault:
    return Fault(kind, at, {"at": at, **values}, 0)


def _span(t: dict[str, Any]) -> int:
    return max(1_000, t["len"])


def _crash(t: dict[str, Any], s: Scale) -> Told:
    struck = s.endpoints_of(t["on"])
    return (
        [_fault("kill_endpoint", t["at"], which=n, **{"for": _span(t)}) for n in struck],
        f"{len(struck)} endpoints are killed and come back cold after {t['len'] / 1e6:.1f} s",
    )


def _hang(t: dict[str, Any], s: Scale) -> Told:
    struck = s.endpoints_of(t["on"])
    return (
        [_fault("hang", t["at"], which=n, **{"for": _span(t)}) for n in struck],
        f"{len(struck)} endpoints hang",
    )


def _fast_errors(t: dict[str, Any], s: Scale) -> Told:
    struck, share = s.endpoints_of(t["on"]), min(1.0, t["size"])
    return (
        [_fault("fast_errors", t["at"], which=n, share=share, **{"for": _span(t)}) for n in struck],
        f"{len(struck)} endpoints fail {share:.0%} of their ops at once",
    )


def _class_fail(t: dict[str, Any], s: Scale) -> Told:
    struck, names = s.endpoints_of(t["on"]), [c["name"] for c in s.day["classes"]]
    name = names[t["which"] % len(names)]
    return (
        [_fault("class_fail", t["at"], which=n, op_type=name, **{"for": _span(t)}) for n in struck],
        f"{len(struck)} endpoints fail op type {name}, at once, whatever the day says of how",
    )


def _pauses(t: dict[str, Any], s: Scale) -> Told:
    struck, pause, every = s.endpoints_of(t["on"]), max(1_000, round(t["size"] * 1000)), max(0.2, t["extra"])
    times = range(t["at"], t["at"] + t["len"], round(every * 1e6))[:PAUSES_MOST]
    return (
        [_fault("hang", at, which=n, **{"for": pause}) for at in times for n in struck],
        f"{len(struck)} endpoints hang for {pause / 1000:.0f} ms, {len(times)} times, {every:.1f} s apart",
    )


def _ageing(t: dict[str, Any], s: Scale) -> Told:
    struck, worst = s.endpoints_of(t["on"]), max(1.0, min(10.0, t["size"]))
    third = max(1_000, t["len"] // 3)
    return (
        [
            _fault(
                "slow_endpoint",
                t["at"] + n * third,
                which=e,
                times=1 + (worst - 1) * (n + 1) / 3,
                **{"for": third},
            )
            for n in range(3)
            for e in struck
        ],
        f"{len(struck)} endpoints get slower in three steps, up to {worst:.1f} times; its figures are not documented",
    )


def _burst(t: dict[str, Any], s: Scale) -> Told:
    return (
        [_fault("burst", t["at"], times=t["size"], **{"for": _span(t)})],
        f"arrivals times {t['size']:.2f}, without the rise and fall",
    )


def _hot_key(t: dict[str, Any], s: Scale) -> Told:
    keys = max(1, int(t["extra"]))
    return (
        [_fault("hot_key", t["at"], share=t["size"] / keys, **{"for": _span(t)}) for _ in range(keys)],
        f"{keys} keys draw {t['size']:.3f} of the traffic together",
    )


def _shift(t: dict[str, Any], s: Scale) -> Told:
    zone = s.zones[t["which"] % len(s.zones)]
    return [
        _fault("shift", t["at"], zone=zone, **{"for": _span(t)})
    ], f"six tenths of the traffic turn to zone {zone}"


def _steps(kind: str, t: dict[str, Any], s: Scale) -> Told:
    stops = sum(len(step["stop"]) for step in t["steps"])
    most = min(s.count(stops), s.endpoints - 2)
    drain = max(100_000, round(t["extra"] * 1e6))
    times = [step["at"] for step in t["steps"]]
    made = []
    for n, at in enumerate(times):
        count = most * (n + 1) // len(times) - most * n // len(times)
        if count:
            made.append(
                _fault(kind, at, count=count, drain=drain, **({"every": 1_000} if kind == "deploy" else {}))
            )
    return made, f"{most} endpoints drain for {t['extra']:.1f} s in {len(made)} batches and " + (
        "are replaced by new ones that come in cold" if kind == "deploy" else "are gone for good"
    )


def _discovery_down(t: dict[str, Any], s: Scale) -> Told:
    return [_fault("list_unreachable", t["at"], **{"for": _span(t)})], "the list service does not answer"


def _wrong_list(t: dict[str, Any], s: Scale) -> Told:
    count = min(s.endpoints - 1, s.count(len(t["on"])))
    return [
        _fault("list_wrong", t["at"], count=count, **{"for": _span(t)})
    ], f"the list calls {count} running endpoints gone"


def _balancer_crash(t: dict[str, Any], s: Scale) -> Told:
    pilots = sorted({(n - s.all_proxies) % s.pilots for n in t["on"] if n >= s.all_proxies})
    proxies = list(range(min(s.proxies, s.count(sum(n < s.all_proxies for n in t["on"])))))
    return (
        [_fault("kill_pilot", t["at"], which=n, **{"for": _span(t)}) for n in pilots]
        + [_fault("kill_proxy", t["at"], which=n, **{"for": _span(t)}) for n in proxies],
        f"{len(pilots)} pilots and {len(proxies)} proxies are killed and come back after {t['len'] / 1e6:.1f} s",
    )


def _balancer_stall(t: dict[str, Any], s: Scale) -> Told:
    pilots = sorted({(n - s.all_proxies) % s.pilots for n in t["on"] if n >= s.all_proxies})
    proxies = list(range(min(s.proxies, s.count(sum(n < s.all_proxies for n in t["on"])))))
    pause, every = max(1_000, round(t["size"] * 1000)), max(t["size"] / 1000 + 0.2, t["extra"])
    times = range(t["at"], t["at"] + t["len"], round(every * 1e6))[:PAUSES_MOST]
    return (
        [_fault("pause_pilot", at, which=n, **{"for": pause}) for at in times for n in pilots]
        + [_fault("pause_proxy", at, which=n, **{"for": pause}) for at in times for n in proxies],
        f"{len(pilots)} pilots and {len(proxies)} proxies stand still for {pause / 1000:.0f} ms, {len(times)} times; "
        f"its figures are not documented",
    )


def _counter_down(t: dict[str, Any], s: Scale) -> Told:
    how = "refuse" if t["size"] > 0.5 else "drop"
    count = max(1, s.proxies // 2)
    return (
        [_fault("cut_proxies", t["at"], count=count, how=how, **{"for": _span(t)})],
        f"{count} proxies reach no pilot ({how}); the day does not say how many, so it is half; a pilot that returns "
        f"empty is not played",
    )


def _reconnect(t: dict[str, Any], s: Scale) -> Told:
    return [
        _fault("reconnect", t["at"], share=min(1.0, t["size"]))
    ], f"{t['size']:.0%} of the streams break at once"


def _slow_link(t: dict[str, Any], s: Scale) -> Told:
    n = len(s.zones)
    source, target = s.zones[t["which"] // n % n], s.zones[t["which"] % n]
    delay = max(1_000, round(min(1.0, t["size"]) * 1e6))
    return (
        [_fault("slow_link", t["at"], delay=delay, **{"for": _span(t), "from": source, "to": target})],
        f"ops from {source} to {target} take {delay / 1000:.0f} ms longer each way; lost ops are not played, and its "
        f"figures are not documented",
    )


PLAYED: dict[str, Callable[[dict[str, Any], Scale], Told]] = {
    "crash": _crash,
    "hang": _hang,
    "fast_errors": _fast_errors,
    "class_fail": _class_fail,
    "pauses": _pauses,
    "ageing": _ageing,
    "burst": _burst,
    "hot_key": _hot_key,
    "shift": _shift,
    "deploy": lambda t, s: _steps("deploy", t, s),
    "shrink": lambda t, s: _steps("shrink", t, s),
    "discovery_down": _discovery_down,
    "wrong_list": _wrong_list,
    "balancer_crash": _balancer_crash,
    "balancer_stall": _balancer_stall,
    "counter_down": _counter_down,
    "reconnect": _reconnect,
    "slow_link": _slow_link,
}
UNPLAYED = {
    "false_reports": "the stand-in endpoints report no load, and the module reads no reports",
    "handshake_slow": "the stand-ins take connections at the kernel's cost",
}
