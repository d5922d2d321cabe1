"""A stand-in list service: late, wrong or unreachable on demand. What each pilot was told, and when, is recorded.

GET  /v1/endpoints?since=REV&wait_ms=N&by=PILOT&of=NAME     (of: which list REV is a revision of; another one is told whole)
POST /control  {"entries": [...]} and {"mode": "ok" | "unreachable", "for_s": s}
"""

from __future__ import annotations

from typing import Any, Optional
from urllib.parse import parse_qs, urlsplit

import msgspec

from cedarshift.loop import Loop, TimedOut, listen
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.roster.entries import EndpointList, ListEntry
from cedarshift.standins.record import Recorder
from cedarshift.web import HttpReply, HttpRequest, serve_http


class ListPlan(msgspec.Struct):
    """`ages`: whether the list tells when a process started, or only that it is another one."""

    address: tuple[str, int]
    ages: bool = True


class ListService:
    """Entries come from the rehearsal with `born_us`, so that an age is worked out when it is told."""

    def __init__(self, loop: Loop, plan: ListPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.recorder = recorder
        self.plan = plan
        self.name = f"stand-in#{loop.now():x}"  # a restart counts its revisions anew
        self.rev = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.dark_until = 0
        self.waiting: list[Waker] = []
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._answer), "http")

    def _answer(self, asked: HttpRequest) -> Coroutine:
        parts = urlsplit(asked.target)
        if parts.path == "/control":
            self._control(msgspec.json.decode(asked.body))
            yield from self.loop.breathe()
            return HttpReply(200, b"{}")
        if parts.path != "/v1/endpoints":
            return HttpReply(404, b"")
        self.recorder.note("call")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        since = int(query.get("since", "0")) if query.get("of", self.name) == self.name else 0
        until = self.loop.now() + int(query.get("wait_ms", "0")) * 1000
        while self.rev <= since and self.loop.now() < until and self.loop.now() >= self.dark_until:
            self.waiting.append(self.loop.waker())
            try:
                yield from self.loop.park(until)
            except TimedOut:
                break
        if self.loop.now() < self.dark_until:
            yield from self.loop.sleep(50_000)
            return HttpReply(503, None)
        if self.rev <= since:
            return HttpReply(304, b"")
        return self._told(since, query.get("by", ""))

    def _told(self, since: int, by: str) -> HttpReply:
        changed = [e for name, e in sorted(self.entries.items()) if self.changed_at[name] > since]
        rows = [
            ListEntry(e["endpoint"], e["phase"], e["size"], e["zone"], e["start"], self._age(e))
            for e in changed
        ]
        self.recorder.note("told", by, self.rev, [[e["endpoint"], e["phase"], e["start"]] for e in changed])
        return HttpReply(
            200,
            msgspec.json.encode(EndpointList(rows, "update" if since else "replace", self.rev, self.name)),
        )

    def _age(self, entry: dict[str, Any]) -> Optional[int]:
        if not self.plan.ages:
            return None
        return max(0, self.loop.now() - entry["born_us"]) // 1000

    def _control(self, order: dict[str, Any]) -> None:
        if order.get("mode") == "unreachable":
            self.dark_until = self.loop.now() + int(order["for_s"] * 1e6)
            self.recorder.note("dark", order["for_s"])
        if "entries" in order:
            self.rev += 1
            for entry in order["entries"]:
                self.entries[entry["endpoint"]] = entry
                self.changed_at[entry["endpoint"]] = self.rev
        waiting, self.waiting = self.waiting, []
        for waker in waiting:
            waker.wake()


def run(loop: Loop, raw: bytes, record: str) -> ListService:
    return ListService(loop, msgspec.json.decode(raw, type=ListPlan), Recorder(loop, record))
