"""Endpoint list sources: a watched file and a list service. Also the saved list for the next start.

A source calls `on_list(kind, entries)` for each change, with the kinds of the decision module's `on_list`.
"""

from __future__ import annotations

import os
from typing import Any, Callable, Optional, Union
from urllib.parse import quote

from cedarshift.interface import Entry
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop, StreamBroken, TimedOut, supervise
from cedarshift.loop.core import Coroutine, Task
from cedarshift.roster.entries import ENCODER, EndpointList, InvalidList, ListEntry, StartTimes, parse_list
from cedarshift.web import Pool

REQUEST_TIMEOUT_US = 2_000_000  # without long polling
LONG_POLL_US = 2_000_000  # time for which the service may hold a request
MIN_RETRY_DELAY_US = 250_000
MAX_RETRY_DELAY_US = 2_000_000

ListHandler = Callable[[str, list[Entry]], None]


def read_file(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read()


class SavedList:
    """The newest list on disk, replaced atomically."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.entries: dict[str, ListEntry] = {}

    def save(self, result: EndpointList) -> None:
        self.take(result)
        self.write()

    def take(self, result: EndpointList) -> None:
        if result.kind == "replace":
            self.entries.clear()
        for one in result.endpoints:
            self.entries[one.endpoint] = one

    def write(self) -> None:
        if self.path:
            kept = [ListEntry(e.endpoint, e.phase, e.size, e.zone, e.start) for e in self.entries.values()]
            with open(self.path + ".part", "wb") as out:
                out.write(ENCODER.encode(EndpointList(kept)))
                out.flush()
                os.fsync(out.fileno())
            os.replace(self.path + ".part", self.path)

    def load(self) -> Optional[EndpointList]:
        """Return the saved list, None if there is none. Raises InvalidList if it is damaged."""
        if not self.path or not os.path.exists(self.path):
            return None
        return parse_list(read_file(self.path), self.path)


def _status(source: Union[FileSource, ServiceSource]) -> dict[str, Any]:
    """Return the status of the source for `cedarshift members`, without its entries."""
    age = None if source.confirmed is None else (source.loop.now() - source.confirmed) / 1e6
    return {"source": source.name, "rev": source.rev, "heard_s": age}


class FileSource:
    """A JSON file, checked every `refresh` us. Changes are detected by modification time, size and inode."""

    def __init__(
        self, loop: Loop, path: str, refresh: int, on_list: ListHandler, report: Callable[..., None]
    ) -> None:
        self.loop = loop
        self.path = path
        self.refresh = refresh
        self.on_list = on_list
        self.report = report
        self.starts = StartTimes()
        self.seen: Optional[tuple[int, int, int]] = None
        self.name = f"file:{path}"
        self.rev = 0  # number of lists read
        self.confirmed: Optional[int] = None  # last time the list was known to be current
        self.task: Task = loop.spawn(supervise(loop, self._poll_loop, "list file"), "list file")

    def request_list(self) -> None:
        """Do nothing: the file is always watched."""

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """Ignore outcomes of the data plane: the file is authoritative."""

    def status(self) -> dict[str, Any]:
        return _status(self)

    def stop(self) -> None:
        self.task.cancel()

    def _poll_loop(self) -> Coroutine:
        while True:
            self._check_file()
            yield from self.loop.sleep(self.refresh)

    def _check_file(self) -> None:
        try:
            file_stat = os.stat(self.path)
            stamp = (file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino)
            if stamp == self.seen:
                self.confirmed = self.loop.now() if self.rev else None
                return
            self.seen = stamp
            result = parse_list(read_file(self.path), self.path)
        except (OSError, InvalidList) as error:
            self.report("list_refused", reason=str(error))
            return
        now = self.confirmed = self.loop.now()
        self.rev += 1
        self.on_list("replace", self.starts.entries(now, result.endpoints))


class ServiceSource:
    """A list service over HTTP: `GET /v1/endpoints?since=REV&wait_ms=N`, held until a newer revision.

    With `on_demand` the service is polled only after `request_list`, else from the start. `acquire_permit`,
    if given, runs before each request. `random()` returns a float in [0, 1).
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        name: str,
        on_demand: bool,
        saved: SavedList,
        on_list: ListHandler,
        report: Callable[..., None],
        random: Callable[[], float],
        acquire_permit: Optional[Callable[[], Coroutine]] = None,
    ) -> None:
        self.loop = loop
        self.acquire_permit = acquire_permit
        self.backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, random)
        self.address = address
        self.name = f"service:{address[0]}:{address[1]}"
        self.pilot = name
        self.on_demand = on_demand
        self.saved = saved
        self.on_list = on_list
        self.report = report
        self.starts = StartTimes()
        self.pool = Pool(loop, REQUEST_TIMEOUT_US)
        self.rev = 0
        self.confirmed: Optional[int] = None  # last time the service confirmed the list
        self.requested = not on_demand
        self.task: Task = loop.spawn(supervise(loop, self._poll_loop, "list service"), "list service")

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """Ignore outcomes of the data plane: the service is authoritative."""

    def status(self) -> dict[str, Any]:
        return _status(self)

    def request_list(self) -> None:
        if not self.requested:
            self.requested = True
            self.task.cancel()
            self.task = self.loop.spawn(supervise(self.loop, self._poll_loop, "list service"), "list service")

    def stop(self) -> None:
        self.task.cancel()
        self.pool.close_idle()

    def _poll_loop(self) -> Coroutine:
        if self.rev == 0:
            self._load_saved()
        while self.requested:
            try:
                if self.acquire_permit is not None:
                    yield from self.acquire_permit()
                yield from self._fetch()
                self.backoff.reset()
            except (StreamBroken, TimedOut, InvalidList) as error:
                self.report("list_failed", reason=str(error) or "no answer in time")
                if self.on_demand:  # the decision module requests the list again
                    self.requested = False
                    self.on_list("unavailable", [])
                    return
                yield from self.loop.sleep(self.backoff.wait())

    def _load_saved(self) -> None:
        try:
            kept = self.saved.load()
        except (OSError, InvalidList) as error:
            self.report("saved_list_refused", reason=str(error))
            return
        if kept is not None:
            now = self.loop.now()
            self.on_list("restored", self.starts.entries(now, kept.endpoints))

    def _fetch(self) -> Coroutine:
        # Revisions are comparable only under one list name: a restarted service counts from the beginning.
        of = quote(self.name.removeprefix("list:"), safe="") if self.name.startswith("list:") else ""
        target = f"/v1/endpoints?since={self.rev}&wait_ms={LONG_POLL_US // 1000}&by={self.pilot}&of={of}"
        reply = yield from self.pool.request(
            self.address, "GET", target, [], b"", self.loop.now() + LONG_POLL_US + REQUEST_TIMEOUT_US
        )
        if reply.status == 304:
            self.confirmed = self.loop.now()
            return
        if reply.status != 200:
            raise StreamBroken(f"the list service answered {reply.status}")
        result = parse_list(reply.body, "list service")
        if result.kind == "update" and result.rev <= self.rev:
            return
        self.rev = result.rev
        if result.name:
            self.name = f"list:{result.name}"
        self.confirmed = self.loop.now()
        try:
            self.saved.save(result)
        except OSError as error:
            self.report("list_not_saved", reason=str(error))
        now = self.loop.now()
        self.on_list(result.kind, self.starts.entries(now, result.endpoints))
