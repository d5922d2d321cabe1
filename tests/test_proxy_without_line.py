"""The real program before a relay of 150 proxies: nobody is without a line for longer than the settings allow.

Several processes play side by side, each under faults of its own, so that the file takes as long as one of them.
"""

import tempfile
from concurrent.futures import ThreadPoolExecutor

import pytest
from fleet_process import DoorFaults, FleetScene, drawn

from cedarshift.standins.proxy_fleet import Faults

SECONDS = 32  # a drain at second 3 empties lines by second 5; what lasts is over the limit by second 23
SCENES = {
    "streams that break": (Faults(breaks=6, away=(0.2, 3.0)), DoorFaults()),
    "streams that flap within a lease": (Faults(flapping=(25, 0.6, 0.3)), DoorFaults()),
    "a mute proxy, lost acknowledgements": (Faults(mute=frozenset({7}), lost=0.05), DoorFaults()),
    "a deaf proxy, and calls without answers": (
        Faults(deaf=frozenset({7}), breaks=1),
        DoorFaults({"silent": 0.03, "lost": 0.03, "spoilt": 0.03}),
    ),
    "event streams that are reset": (Faults(breaks=3), DoorFaults(resets=0.2)),
    "event streams that stall": (Faults(breaks=3, mute=frozenset({7})), DoorFaults(stalls=0.15)),
    **{
        f"drawn, seed {seed}": drawn(seed) for seed in (212, 226, 242)
    },  # two stops each, beside two or three other faults
}


@pytest.fixture(scope="module")
def played():
    def play(name):
        with tempfile.TemporaryDirectory() as folder:
            scene = FleetScene(1, *SCENES[name], folder)
            return scene.run(SECONDS), scene.longest

    with ThreadPoolExecutor(len(SCENES)) as pool:
        return dict(zip(SCENES, pool.map(play, SCENES)))


@pytest.mark.parametrize("name", SCENES)
def test_nobody_is_without_a_line_for_too_long_on_real_sockets(played, name):
    broken, longest = played[name]
    assert not broken, broken
    assert longest > 2, "no slice was handed over"
