"""Rule one while the relay resets connections under calls during a step of a rolling deploy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand"))

from loopback import Site, run_case  # noqa: E402

BURST = 1.0  # s in which connections are reset, from the first one on
PAUSE = 5.0  # s at least from one burst to the next
AT_A_TIME = 3  # of 17 endpoints
DRAIN = 4.5  # s from draining to gone
LASTS = 34.0  # s
SITE = Site(
    proxies=9,
    endpoints=17,
    slices=90,
    lease=2.5,
    in_flight=3.02,
    empty_for=16.8,
    grace=3.0,
    rate=4800.0,
    pending=4800.0,
    header=12,
    messages_most=12,
    transit=0.148,
    transit_most=0.37,
    warm_within=14.0,
    read_store=(0.083, 0.48),
    heard_late=0.5,
    intake=200.0,
    ops_per_s=210.0,
)


class Resets:
    """Outcomes of calls: bursts of resets, each begun under a call that gives slices to endpoints."""

    def __init__(self, now):
        self.now = now
        self.began = -BURST - PAUSE

    def outcome(self, orders):
        age = self.now() - self.began
        gives = any(text.startswith("share,") and not text.endswith(",0") for text in orders)
        if gives and age >= BURST + PAUSE:
            self.began, age = self.now(), 0.0
        return "lost-reset" if age < BURST else "ok"


async def play(world, trouble):
    pilot = world.pilots[0]
    await asyncio.sleep(4)
    if trouble:
        pilot.choose = Resets(world.now).outcome
    old = sorted(world.listed)[:AT_A_TIME]
    changes = [(name, "draining") for name in old]
    world.change_list(*changes, *((f"t-{n}", "ready") for n in range(AT_A_TIME)))
    await asyncio.sleep(DRAIN)
    world.change_list(*((name, "gone") for name in old))
    await asyncio.sleep(LASTS - DRAIN)


run_case(SITE, play, "nobody left without a server", Path(__file__).parent / "record.txt")
