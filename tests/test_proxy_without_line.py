"""The real program before a relay of 150 proxies: the time without a line is limited.

Several processes run in parallel, each under its own faults, to limit the duration of the file.
"""

import tempfile
from concurrent.futures import ThreadPoolExecutor

import pytest
from fleet_process import FleetScene, RelayFaults, random_faults

from cedarshift.standins.proxy_fleet import Faults

SECONDS = 32  # a line lost in the drain at second 3 exceeds the limit by second 23
SCENES = {
    "streams that break": (Faults(breaks=6, away=(0.2, 3.0)), RelayFaults()),
    "streams that flap within a lease": (Faults(flapping=(25, 0.6, 0.3)), RelayFaults()),
    "a mute proxy, lost acknowledgements": (Faults(mute=frozenset({7}), lost=0.05), RelayFaults()),
    "a deaf proxy, and calls without answers": (
        Faults(deaf=frozenset({7}), breaks=1),
        RelayFaults({"silent": 0.03, "lost": 0.03, "spoilt": 0.03}),
    ),
    "event streams that are reset": (Faults(breaks=3), RelayFaults(resets=0.2)),
    "event streams that stall": (Faults(breaks=3, mute=frozenset({7})), RelayFaults(stalls=0.15)),
    **{
        f"drawn, seed {seed}": random_faults(seed) for seed in (212, 226, 242)
    },  # two stops each and two or three other faults
}


@pytest.fixture(scope="module")
def results():
    def run_scene(name):
        with tempfile.TemporaryDirectory() as folder:
            scene = FleetScene(1, *SCENES[name], folder)
            return scene.run(SECONDS), scene.longest

    with ThreadPoolExecutor(len(SCENES)) as pool:
        return dict(zip(SCENES, pool.map(run_scene, SCENES)))


@pytest.mark.parametrize("name", SCENES)
def test_nobody_is_without_a_line_for_too_long_on_real_sockets(results, name):
    broken, longest = results[name]
    assert not broken, broken
    assert longest > 2, "no slice was handed over"
