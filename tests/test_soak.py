"""Short seeded soak runs: persistent clients, bursts of signals and, for some seeds, a burst of clients."""

import pytest
from soak import soak


@pytest.mark.parametrize("seed", range(1, 13))
def test_what_was_read_is_answered_whatever_signals_come(seed):
    violations, outcomes = soak(seed)
    assert not violations, outcomes
    assert outcomes["answered"] > 50, outcomes
