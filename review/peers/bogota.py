"""The deployment `bogota-zonas`: its size and figures, as the brief and its site file give them."""

from __future__ import annotations

import random

from platform_standin import Endpoint, Platform, Proxy

ZONES = ["bog-norte", "bog-centro", "bog-occidente"]
CORES = 6 * 0.975  # cores times speed of c6-estandar
NS = 1_000_000_000
COLD_FROM = 0.25
WARM_WITHIN = 14.0  # seconds
MESSAGES_MOST = 12
MESSAGES_SPAN = 10.0  # seconds


def settings(**family):
    return {
        "classes": [
            {
                "name": "consulta-cobertura",
                "on_time_ns": int(1.2 * NS),
                "deadline_ns": 3 * NS,
                "effect": "safe",
                "credit": 1.0,
                "late_share": 0.2,
                "share": 0.67,
                "work_s": 0.26,
            },
            {
                "name": "reserva-franja",
                "on_time_ns": 2 * NS,
                "deadline_ns": 3 * NS,
                "effect": "unsafe",
                "credit": 3.0,
                "late_share": 0.1,
                "share": 0.33,
                "work_s": 0.43,
            },
        ],
        "discovery": "ask",
        "fleet_size": 1,
        "position": 0,
        "zones": ZONES,
        "zone": ZONES[0],
        "family_info": {
            "ranges": 75,
            "one_owner": True,
            "mutating": [False, True],
            "throttle_by": "fraction",
            "lease_ns": int(2.5 * NS),
            "in_flight_max_ns": int(3.02 * NS),
            "per_message": 12.0,
            "pending_max": 4400.0,
            "push_rate": 4400.0,
            "report_every_ns": NS,
            "push_delay_max_ns": int(0.75 * NS),
            "transit_ns": int(0.3 * NS),
            "intake_per_s": 200.0,
            "messages_most": MESSAGES_MOST,
            "reload_span_ns": int(MESSAGES_SPAN * NS),
            "empty_for_ns": 14 * NS,
            "retry_default": 1,
            "data_plane_size": 7,
            "warm_keys": True,
            "choice": "random",
            **family,
        },
        "policy_limits": {"dial_timeout_ns": int(0.3 * NS), "peers": True, "probing": False},
        "rules": {
            "ask_within_ns": 10 * NS,
            "cold_from": COLD_FROM,
            "drain_grace_ns": 3 * NS,
            "fall_multiple": 2.5,
            "tip_after_ns": 2 * NS,
            "warm_within_ns": int(WARM_WITHIN * NS),
        },
    }


def fleet(record, seed, ops_per_s=210.0, endpoints=15, proxies=7, slices=75, **family):
    """Every slice starts on one endpoint, whose keys it has met."""
    draw = random.Random(seed)
    named = [Endpoint(f"s-{draw.getrandbits(32):08x}", ZONES[i % 3], CORES) for i in range(endpoints)]
    weights = {n: draw.lognormvariate(0, 0.4) for n in range(slices)}
    total = sum(weights.values())
    store = {n: named[n % endpoints].name for n in range(slices)}
    platform = Platform(
        record,
        settings(ranges=slices, **family),
        [Proxy(n, ZONES[n % 3]) for n in range(proxies)],
        store,
        named,
        {n: ops_per_s * w / total for n, w in weights.items()},
        seed,
    )
    platform.report_delay = 0.5
    for number, owner in store.items():
        for key in range(number * 60, number * 60 + 60):
            platform.endpoints[owner].met[key] = 10.0
    return platform
