"""A deployment of the size and with the figures of one of the briefs, for the cases."""

from __future__ import annotations

import random

from platform_standin import Endpoint, Platform, Proxy

ZONES = ["tukwila", "hillsboro", "moses-lake"]
KINDS = [4 * 1.4, 5 * 1.0, 3 * 0.6]  # cores times speed of fast-4, std-5 and old-3
FALL_AFTER = 2.0  # seconds
FALL_MULTIPLE = 4.0
COLD_FROM = 0.17
WARM_WITHIN = 18.0  # seconds
NS = 1_000_000_000


def settings(**family):
    return {
        "classes": [
            {
                "name": "reading-batch",
                "on_time_ns": 2 * NS,
                "deadline_ns": 5 * NS,
                "effect": "safe",
                "credit": 1.0,
                "late_share": 0.2,
                "share": 0.54,
                "work_s": 0.37,
            },
            {
                "name": "alarm-ack",
                "on_time_ns": int(1.2 * NS),
                "deadline_ns": 2 * NS,
                "effect": "unsafe",
                "credit": 2.0,
                "late_share": 0.1,
                "share": 0.46,
                "work_s": 0.22,
            },
        ],
        "discovery": "push",
        "fleet_size": 1,
        "position": 0,
        "zones": ZONES,
        "zone": ZONES[0],
        "family_info": {
            "ranges": 60,
            "one_owner": True,
            "mutating": [False, True],
            "throttle_by": "fraction",
            "lease_ns": 4 * NS,
            "in_flight_max_ns": int(2.02 * NS),
            "per_message": 12.0,
            "pending_max": 8000.0,
            "push_rate": 8000.0,
            "report_every_ns": NS // 2,
            "push_delay_max_ns": int(0.55 * NS),
            "transit_ns": int(0.22 * NS),
            "intake_per_s": 150.0,
            "messages_most": 20,
            "reload_span_ns": 10 * NS,
            "empty_for_ns": 16 * NS,
            "retry_default": 1,
            "data_plane_size": 10,
            "warm_keys": True,
            "choice": "random",
            **family,
        },
        "policy_limits": {"dial_timeout_ns": int(0.3 * NS), "peers": False, "probing": False},
        "rules": {
            "ask_within_ns": 10 * NS,
            "cold_from": COLD_FROM,
            "drain_grace_ns": 3 * NS,
            "fall_multiple": FALL_MULTIPLE,
            "tip_after_ns": int(FALL_AFTER * NS),
            "warm_within_ns": int(WARM_WITHIN * NS),
        },
    }


def fleet(record, seed, ops_per_s=160.0, endpoints=12, proxies=10, slices=60, **family):
    """Every slice starts on one endpoint, whose keys it has met."""
    draw = random.Random(seed)
    named = [Endpoint(f"s-{draw.getrandbits(32):08x}", ZONES[i % 3], KINDS[i % 3]) for i in range(endpoints)]
    weights = {n: draw.lognormvariate(0, 0.5) for n in range(slices)}
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
    for number, owner in store.items():
        for key in range(number * 60, number * 60 + 60):
            platform.endpoints[owner].met[key] = 10.0
    return platform
