"""A stand-in list service that can be made unreachable. It records which entries each pilot received.

GET  /v1/endpoints?since=REV&wait_ms=N&by=PILOT&of=NAME     (of: the list that REV belongs to)
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
    """Settings of the list service. `ages`: whether entries include the age of the endpoint's process."""

    address: tuple[str, int]
    ages: bool = True


class ListService:
    """Serves the entries given by POST /control; `born_us` in them is when the process started, in us."""

    def __init__(self, loop: Loop, plan: ListPlan, recorder: Recorder) -> None:
        self.loop = loop
        self.recorder = recorder
        self.plan = plan
        self.name = f"stand-in#{loop.now():x}"  # differs after a restart, as revisions start from 0 again
        self.rev = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in_revision: dict[str, int] = {}
        self.unavailable_until = 0
        self.waiters: list[Waker] = []
        loop.spawn(serve_http(loop, listen(loop, plan.address), self._handle_request), "http")

    def _handle_request(self, request: HttpRequest) -> Coroutine:
        parts = urlsplit(request.target)
        if parts.path == "/control":
            self._control(msgspec.json.decode(request.body))
            yield from self.loop.yield_control()
            return HttpReply(200, b"{}")
        if parts.path != "/v1/endpoints":
            return HttpReply(404, b"")
        self.recorder.note("call")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        since = int(query.get("since", "0")) if query.get("of", self.name) == self.name else 0
        deadline = self.loop.now() + int(query.get("wait_ms", "0")) * 1000
        while self.rev <= since and self.loop.now() < deadline and self.loop.now() >= self.unavailable_until:
            self.waiters.append(self.loop.waker())
            try:
                yield from self.loop.park(deadline)
            except TimedOut:
                break
        if self.loop.now() < self.unavailable_until:
            yield from self.loop.sleep(50_000)
            return HttpReply(503, None)
        if self.rev <= since:
            return HttpReply(304, b"")
        return self._list_reply(since, query.get("by", ""))

    def _list_reply(self, since: int, by: str) -> HttpReply:
        changed = [e for name, e in sorted(self.entries.items()) if self.changed_in_revision[name] > since]
        rows = [
            ListEntry(e["endpoint"], e["phase"], e["size"], e["zone"], e["start"], self._age_ms(e))
            for e in changed
        ]
        self.recorder.note("told", by, self.rev, [[e["endpoint"], e["phase"], e["start"]] for e in changed])
        return HttpReply(
            200,
            msgspec.json.encode(EndpointList(rows, "update" if since else "replace", self.rev, self.name)),
        )

    def _age_ms(self, entry: dict[str, Any]) -> Optional[int]:
        if not self.plan.ages:
            return None
        return max(0, self.loop.now() - entry["born_us"]) // 1000

    def _control(self, command: dict[str, Any]) -> None:
        if command.get("mode") == "unreachable":
            self.unavailable_until = self.loop.now() + int(command["for_s"] * 1e6)
            self.recorder.note("dark", command["for_s"])
        if "entries" in command:
            self.rev += 1
            for entry in command["entries"]:
                self.entries[entry["endpoint"]] = entry
                self.changed_in_revision[entry["endpoint"]] = self.rev
        waiters, self.waiters = self.waiters, []
        for waker in waiters:
            waker.wake()


def run(loop: Loop, raw: bytes, record: str) -> ListService:
    return ListService(loop, msgspec.json.decode(raw, type=ListPlan), Recorder(loop, record))
