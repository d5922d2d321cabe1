"""Follows a list and tells of each change. `tell(kind, entries)` has the kinds of the module's `on_list`."""

from __future__ import annotations

import os
from typing import Any, Callable, Optional, Union
from urllib.parse import quote

from cedarshift.interface import Entry
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Loop, StreamBroken, TimedOut, supervise
from cedarshift.loop.core import Coroutine, Task
from cedarshift.roster.entries import ENCODER, Listed, ListRefused, Starts, WholeList, parse_list
from cedarshift.web import Pool

CALL_TIMEOUT = 2_000_000  # us for an answer that is not a long poll
LONG_POLL = 2_000_000  # us that the service may hold a call until something changes
FAILED_WAIT = 250_000  # us before the next call after the first failed one
FAILED_MOST = (
    2_000_000  # us; as long as a long poll, so that a service that is back is noticed as soon as ever
)

Tell = Callable[[str, list[Entry]], None]


def read_file(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read()


class SavedList:
    """The newest list on disk, replaced whole: a kill in between leaves the one before."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.entries: dict[str, Listed] = {}

    def keep(self, got: WholeList) -> None:
        self.take(got)
        self.write()

    def take(self, got: WholeList) -> None:
        if got.kind == "replace":
            self.entries.clear()
        for one in got.endpoints:
            self.entries[one.endpoint] = one

    def write(self) -> None:
        if self.path:
            kept = [Listed(e.endpoint, e.phase, e.size, e.zone, e.start) for e in self.entries.values()]
            with open(self.path + ".part", "wb") as out:
                out.write(ENCODER.encode(WholeList(kept)))
                out.flush()
                os.fsync(out.fileno())
            os.replace(self.path + ".part", self.path)

    def restore(self) -> Optional[WholeList]:
        """What was kept; None where nothing was. Raises ListRefused if it is damaged."""
        if not self.path or not os.path.exists(self.path):
            return None
        return parse_list(read_file(self.path), self.path)


def _shown(source: Union[FileSource, ServiceSource]) -> dict[str, Any]:
    """For `cedarshift members`: what is known of the source itself; its entries are the pilot's."""
    age = None if source.confirmed is None else (source.loop.now() - source.confirmed) / 1e6
    return {"source": source.name, "rev": source.rev, "heard_s": age}


class FileSource:
    """A JSON file, looked at every `refresh` us; a change is seen by its time, size and inode."""

    def __init__(self, loop: Loop, path: str, refresh: int, tell: Tell, report: Callable[..., None]) -> None:
        self.loop = loop
        self.path = path
        self.refresh = refresh
        self.tell = tell
        self.report = report
        self.starts = Starts()
        self.seen: Optional[tuple[int, int, int]] = None
        self.name = f"file:{path}"
        self.rev = 0  # counts the lists that were taken
        self.confirmed: Optional[int] = None  # when the list in force was last seen to stand
        self.task: Task = loop.spawn(supervise(loop, self._follow, "list file"), "list file")

    def ask(self) -> None:
        """The file is looked at anyway."""

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """A file's word stands, whatever the data plane meets."""

    def shown(self) -> dict[str, Any]:
        return _shown(self)

    def stop(self) -> None:
        self.task.cancel()

    def _follow(self) -> Coroutine:
        while True:
            self._look()
            yield from self.loop.sleep(self.refresh)

    def _look(self) -> None:
        try:
            found = os.stat(self.path)
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
            if stamp == self.seen:
                self.confirmed = self.loop.now() if self.rev else None
                return
            self.seen = stamp
            got = parse_list(read_file(self.path), self.path)
        except (OSError, ListRefused) as error:
            self.report("list_refused", reason=str(error))
            return
        now = self.confirmed = self.loop.now()
        self.rev += 1
        self.tell("replace", self.starts.entries(now, got.endpoints))


class ServiceSource:
    """A list service over HTTP: `GET /v1/endpoints?since=REV&wait_ms=N`, held until something is newer than REV.

    Where `asks` the service is called only after `ask`; else it is followed from the start."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        name: str,
        asks: bool,
        saved: SavedList,
        tell: Tell,
        report: Callable[..., None],
        chance: Callable[[], float],
        may_call: Optional[Callable[[], Coroutine]] = None,
    ) -> None:
        self.loop = loop
        self.may_call = may_call
        self.redial = Backoff(FAILED_WAIT, FAILED_MOST, chance)
        self.address = address
        self.name = f"service:{address[0]}:{address[1]}"
        self.by = name
        self.asks = asks
        self.saved = saved
        self.tell = tell
        self.report = report
        self.starts = Starts()
        self.pool = Pool(loop, CALL_TIMEOUT)
        self.rev = 0
        self.confirmed: Optional[int] = None  # when the service last said that the list in force stands
        self.wanted = not asks
        self.task: Task = loop.spawn(supervise(loop, self._follow, "list service"), "list service")

    def on_sums(self, endpoint: str, tries: int, aborted: int) -> None:
        """The service's word stands, whatever the data plane meets."""

    def shown(self) -> dict[str, Any]:
        return _shown(self)

    def ask(self) -> None:
        if not self.wanted:
            self.wanted = True
            self.task.cancel()
            self.task = self.loop.spawn(supervise(self.loop, self._follow, "list service"), "list service")

    def stop(self) -> None:
        self.task.cancel()
        self.pool.close_idle()

    def _follow(self) -> Coroutine:
        if self.rev == 0:
            self._restore()
        while self.wanted:
            try:
                if self.may_call is not None:
                    yield from self.may_call()
                yield from self._call()
                self.redial.reset()
            except (StreamBroken, TimedOut, ListRefused) as error:
                self.report("list_failed", reason=str(error) or "no answer in time")
                if self.asks:  # the module asks again, with waits of its own
                    self.wanted = False
                    self.tell("unavailable", [])
                    return
                yield from self.loop.sleep(self.redial.wait())

    def _restore(self) -> None:
        try:
            kept = self.saved.restore()
        except (OSError, ListRefused) as error:
            self.report("saved_list_refused", reason=str(error))
            return
        if kept is not None:
            now = self.loop.now()
            self.tell("restored", self.starts.entries(now, kept.endpoints))

    def _call(self) -> Coroutine:
        # Revisions are one list's: a service that was started anew counts from the beginning, and without the name a lower one looks old.
        of = quote(self.name.removeprefix("list:"), safe="") if self.name.startswith("list:") else ""
        target = f"/v1/endpoints?since={self.rev}&wait_ms={LONG_POLL // 1000}&by={self.by}&of={of}"
        reply = yield from self.pool.request(
            self.address, "GET", target, [], b"", self.loop.now() + LONG_POLL + CALL_TIMEOUT
        )
        if reply.status == 304:
            self.confirmed = self.loop.now()
            return
        if reply.status != 200:
            raise StreamBroken(f"the list service answered {reply.status}")
        got = parse_list(reply.body, "list service")
        if got.kind == "update" and got.rev <= self.rev:
            return
        self.rev = got.rev
        if got.name:
            self.name = f"list:{got.name}"
        self.confirmed = self.loop.now()
        try:
            self.saved.keep(got)
        except OSError as error:
            self.report("list_not_saved", reason=str(error))
        now = self.loop.now()
        self.tell(got.kind, self.starts.entries(now, got.endpoints))
