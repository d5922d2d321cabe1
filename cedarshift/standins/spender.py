"""A stand-in that runs a proxy's agent and spends budget tokens at given rates.

    POST /control  {"retries": spends per second, ...}

Its record has a line for each spend, written after the budget has allowed it.
"""

from __future__ import annotations

import random
from typing import Any, Optional

import msgspec

from cedarshift.agent import Agent, Tables
from cedarshift.codec import Identity
from cedarshift.loop import Loop, listen
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import random_bytes
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, serve_http

STEP_US = 20_000


class SpenderPlan(msgspec.Struct):
    """Settings of a spender, passed as JSON. `wishes`: spends per second, by use."""

    name: str
    address: tuple[str, int]
    deployment: str
    pilots: dict[str, tuple[str, int]]
    wishes: dict[str, float]
    secret: str = ""


class Spender:
    """Spends from each budget at its target rate, as far as the budget allows."""

    def __init__(self, loop: Loop, plan: SpenderPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.target_rates = dict(plan.wishes)
        self.recorder = recorder
        rng = random.Random(random_bytes(8))
        identity = Identity(plan.deployment, "proxy", plan.name, "", plan.secret.encode())
        self.agent = Agent(
            loop,
            identity,
            plan.pilots,
            None,
            Tables(0, [], False, 800_000, True),
            rng.random,
            self._observe,
            lambda: random_bytes(16),
        )
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._handle_request), "http")
        loop.spawn(self._spend(), "spend")

    def _observe(self, event: str, **fields: Any) -> None:
        if event in ("joined", "lost"):
            self.recorder.note(event, fields["pilot"])

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        yield from self.loop.yield_control()
        self.target_rates = msgspec.json.decode(request.body, type=dict[str, float])
        return HttpReply(200, b"{}")

    def _spend(self) -> Coroutine:
        credit = dict.fromkeys(self.target_rates, 0.0)
        while True:
            yield from self.loop.sleep(STEP_US)
            for use, rate in self.target_rates.items():
                if use not in self.agent.shares.budget_by_use:
                    continue  # budgets not received yet
                credit[use] = min(2.0, credit.get(use, 0.0)) + rate * STEP_US / 1e6
                while credit[use] >= 1:
                    credit[use] -= 1
                    if self.agent.shares.spend(self.loop.now(), use):
                        self.recorder.note("spend", use)


def run(loop: Loop, raw: bytes, record: str) -> Optional[Spender]:
    return Spender(loop, msgspec.json.decode(raw, type=SpenderPlan), Recorder(loop, record))
