"""One run of a scenario, and what came of it."""

from __future__ import annotations

import traceback
from hashlib import blake2b
from typing import Any, Callable, NamedTuple, Optional

import msgspec

from cedarshift.loop.world import Deadlock, Host
from cedarshift.sim.oracles import Broken, Steps, whole_run
from cedarshift.sim.scenario import Scenario
from cedarshift.sim.stage import Stage


class Played(NamedTuple):
    """`digest` is of every step and of every row: the same for the same scenario, wherever it is played."""

    broken: list[Broken]
    digest: str
    steps: int
    virtual_s: float
    acked: int
    ops: int
    reached: frozenset[tuple]


class Stop(Exception):
    """A step broke something: the run ends there."""


def play(
    scenario: Scenario, note: Optional[Callable[[int, str, str, dict[str, Any]], None]] = None
) -> Played:
    stage = Stage(scenario, note)
    steps, digest = Steps(stage), blake2b(digest_size=16)

    def after(host: Host) -> None:
        steps.after(host)
        digest.update(
            b"%d %s %d;" % (stage.world.clock.time, host.name.encode(), stage.world.network.event_sequence)
        )
        if host.name == "store":
            stage._watch_store()
        if steps.broken is not None:
            raise Stop

    stage.world.after_pass = after
    main = stage.director.loop.spawn(stage.direct(), "director")
    broken: list[Broken] = []
    try:
        stage.world.run(main)
    except Stop:
        assert steps.broken is not None
        broken.append(steps.broken)
    except Deadlock as error:
        broken.append(Broken("hung", stage.world.clock.time, str(error)))
    except Exception as error:  # what escapes a loop ends its process
        where = traceback.extract_tb(error.__traceback__)
        inside = [
            f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno} {frame.name}"
            for frame in where
            if "cedarshift" in frame.filename
        ]
        broken.append(
            Broken(
                "crashed",
                stage.world.clock.time,
                f"{type(error).__name__}: {error}; {', '.join(inside[-5:])}",
            )
        )
    end = stage.world.clock.time
    if not broken:
        broken = whole_run(stage, end)
    for row in stage.rows:
        digest.update(msgspec.json.encode(row))
    proxies = [one for name, one in stage.services.items() if name[0] == "x"]
    acked = sum(proxy.outcomes["acked"] for proxy in proxies)
    ops = sum(sum(proxy.outcomes.values()) for proxy in proxies)
    stage.world.after_pass = None
    stage.world.dispose()
    return Played(broken, digest.hexdigest(), steps.steps, end / 1e6, acked, ops, frozenset(stage.reached))
