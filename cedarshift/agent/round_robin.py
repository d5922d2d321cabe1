"""Weighted round robin over the endpoints of one table, out of step with the other proxies. No I/O."""

from __future__ import annotations

import random


class WeightedRoundRobin:
    """Picks each endpoint at even distances, in proportion to its weight (earliest deadline first).

    An endpoint that comes in, or comes back, begins at a random point of its cycle. With a fixed one, all
    proxies that are told of it at the same time would pick it at the same time, however low its weight.
    """

    def __init__(self) -> None:
        self.progress: dict[str, float] = {}  # endpoint -> elapsed fraction of its cycle

    def pick(self, weights: dict[str, float], random_value: float) -> str:
        """Returns the next endpoint. `weights` has all that may be picked; `random_value` is in [0, 1)."""
        if self.progress.keys() != weights.keys():
            self._set_endpoints(weights, random_value)
        due_in = {endpoint: (1.0 - self.progress[endpoint]) / weight for endpoint, weight in weights.items()}
        picked = min(due_in, key=due_in.__getitem__)
        elapsed = max(0.0, due_in[picked])  # a rounding error may leave it below 0
        for endpoint, weight in weights.items():
            self.progress[endpoint] += elapsed * weight
        self.progress[picked] = 0.0
        return picked

    def _set_endpoints(self, weights: dict[str, float], random_value: float) -> None:
        """Forgets endpoints that may no longer be picked and adds new ones."""
        rng = random.Random(random_value)
        self.progress = {
            endpoint: self.progress[endpoint] if endpoint in self.progress else rng.random()
            for endpoint in weights
        }
