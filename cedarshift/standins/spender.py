"""A stand-in that is nothing but a proxy's agent which wishes to spend: so many a second of each use, as it was told last.

    POST /control  {"retries": wishes a second, ...}

Its record has a line for each spend, written through after the check: one that was stopped in between is at most one spend late.
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

STEP = 20_000  # us between two looks at what is wished


class SpenderPlan(msgspec.Struct):
    name: str
    address: tuple[str, int]
    deployment: str
    pilots: dict[str, tuple[str, int]]
    wishes: dict[str, float]
    secret: str = ""


class Spender:
    def __init__(self, loop: Loop, plan: SpenderPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.wishes = dict(plan.wishes)
        self.recorder = recorder
        chance = random.Random(random_bytes(8))
        identity = Identity(plan.deployment, "proxy", plan.name, "", plan.secret.encode())
        self.agent = Agent(
            loop,
            identity,
            plan.pilots,
            None,
            Tables(0, [], False, 800_000, True),
            chance.random,
            self._observe,
            lambda: random_bytes(16),
        )
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._answer), "http")
        loop.spawn(self._spend(), "spend")

    def _observe(self, event: str, **fields: Any) -> None:
        if event in ("joined", "lost"):
            self.recorder.note(event, fields["pilot"])

    def _answer(self, asked: HttpRequest) -> Coroutine:
        yield from self.loop.yield_control()
        self.wishes = msgspec.json.decode(asked.body, type=dict[str, float])
        return HttpReply(200, b"{}")

    def _spend(self) -> Coroutine:
        owed = dict.fromkeys(self.wishes, 0.0)
        while True:
            yield from self.loop.sleep(STEP)
            for use, rate in self.wishes.items():
                if use not in self.agent.shares.budget_by_use:
                    continue  # nobody has told of budgets yet
                owed[use] = min(2.0, owed.get(use, 0.0)) + rate * STEP / 1e6
                while owed[use] >= 1:
                    owed[use] -= 1
                    if self.agent.shares.spend(self.loop.now(), use):
                        self.recorder.note("spend", use)


def run(loop: Loop, raw: bytes, record: str) -> Optional[Spender]:
    return Spender(loop, msgspec.json.decode(raw, type=SpenderPlan), Recorder(loop, record))
