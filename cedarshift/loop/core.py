"""The scheduler: tasks and timers over a clock and a network supplied by the caller.

A coroutine is a generator that suspends with a bare `yield` after it created a `Waker`. Times are integer
microseconds of a monotonic clock. `network.poll(wait)` is called once per pass with the longest wait in
microseconds, or None for no limit, and invokes the callbacks of whatever became ready.
"""

from __future__ import annotations

import heapq
import traceback
from collections import deque
from typing import Any, Callable, Generator, Optional, Protocol

from cedarshift.loop.stream_memory import StreamMemory

SLOW_STEP_US = 50_000  # longer task steps are reported
TIMER_COMPACTION_THRESHOLD = 1024  # growth of the timer heap after which cancelled timers are removed
MAX_STEPS_PER_PASS = 64  # ready tasks run between two polls of the network, so that I/O is not starved

Coroutine = Generator[None, Any, Any]


class Clock(Protocol):
    """A monotonic clock in integer microseconds."""

    def now(self) -> int: ...


class Network(Protocol):
    """Creates listeners, connection attempts and datagram sockets, and waits for their readiness."""

    def poll(self, wait: Optional[int]) -> None: ...
    def listen(self, address: tuple[str, int]) -> Any: ...
    def dial(self, address: tuple[str, int]) -> Any: ...
    def datagrams(self, address: tuple[str, int]) -> Any: ...


class Cancelled(Exception):
    """Raised inside a task that was cancelled."""


class TimedOut(Exception):
    """A wait reached its deadline."""


class Timer:
    """A call scheduled at `at` (us); `cancel` prevents it from running."""

    __slots__ = ("at", "call", "args")

    def __init__(self, at: int, call: Callable[..., None], args: tuple) -> None:
        self.at = at
        self.call: Optional[Callable[..., None]] = call
        self.args = args

    def cancel(self) -> None:
        self.call = None
        self.args = ()


class Waker:
    """Resumes a task from its current suspension; has no effect once the task was resumed or cancelled."""

    __slots__ = ("task", "ticket")

    def __init__(self, task: Task, ticket: int) -> None:
        self.task = task
        self.ticket = ticket

    def wake(self, value: Any = None) -> None:
        """Resumes the task with `value`."""
        task = self.task
        if task.ticket == self.ticket and not task.done:
            task.ticket += 1
            task.loop.ready.append((task, value, None))

    def wake_first(self) -> None:
        """Resumes the task before all others that are ready."""
        task = self.task
        if task.ticket == self.ticket and not task.done:
            task.ticket += 1
            task.loop.ready.appendleft((task, None, None))

    def fail(self, error: BaseException) -> None:
        """Resumes the task by raising `error` in it."""
        task = self.task
        if task.ticket == self.ticket and not task.done:
            task.ticket += 1
            task.loop.ready.append((task, None, error))


class Task:
    """A scheduled coroutine.

    `ticket` counts its wake-ups, so that stale wakers can be detected. `joiners`: tasks waiting in `join`."""

    __slots__ = ("loop", "name", "run", "ticket", "done", "result", "error", "joiners")

    def __init__(self, loop: Loop, run: Coroutine, name: str) -> None:
        self.loop = loop
        self.name = name
        self.run = run
        self.ticket = 0
        self.done = False
        self.result: Any = None
        self.error: Optional[BaseException] = None
        self.joiners: list[Waker] = []

    def cancel(self) -> None:
        """Raises Cancelled inside the task at its next step; has no effect on a finished task."""
        if not self.done:
            self.ticket += 1
            self.loop.ready.append((self, None, Cancelled(self.name)))

    def join(self) -> Coroutine:
        """Waits for the task to finish; returns its result or raises its error."""
        while not self.done:
            self.joiners.append(self.loop.waker())
            yield
        if self.error is not None:
            raise self.error
        return self.result


class Loop:
    """A single-threaded scheduler. `report(event, **fields)` gets failed tasks and timers and slow steps."""

    def __init__(self, clock: Clock, network: Network, report: Optional[Callable[..., None]] = None) -> None:
        self.clock = clock
        self.network = network
        self.report = report or (lambda event, **fields: None)
        self.stream_memory = StreamMemory(self.now, lambda event, **fields: self.report(event, **fields))
        self.ready: deque[tuple[Task, Any, Optional[BaseException]]] = deque()  # task, value or error for it
        self.timers: list[tuple[int, int, Timer]] = []  # heap of (due time, sequence, timer)
        self.compact_at = TIMER_COMPACTION_THRESHOLD  # heap size at which cancelled timers are removed
        self.timer_sequence = 0  # breaks ties: timers due at the same time run in the order they were set
        self.current: Optional[Task] = None
        self.tasks: set[Task] = set()
        self.stopping = False
        self.slowest_step_us = 0

    def now(self) -> int:
        return self.clock.now()

    # ---- tasks

    def spawn(self, run: Coroutine, name: str) -> Task:
        """Starts a coroutine as a task, which runs for the first time in the next pass."""
        task = Task(self, run, name)
        self.tasks.add(task)
        self.ready.append((task, None, None))
        return task

    def waker(self) -> Waker:
        """Creates a waker for the next suspension of the running task."""
        assert self.current is not None, "only a running task can park"
        return Waker(self.current, self.current.ticket)

    def park(self, until: Optional[int] = None) -> Coroutine:
        """Suspends until a waker of this task, created before the call, is used.

        Returns the waker's value or raises its error. Raises TimedOut at `until` (us on the loop's clock)."""
        if until is None:
            return (yield)
        timer = self.at(until, self.waker().fail, TimedOut())
        try:
            return (yield)
        finally:
            timer.cancel()

    def sleep(self, duration: int) -> Coroutine:
        """Suspends for `duration` microseconds."""
        timer = self.at(self.now() + max(0, duration), self.waker().wake)
        try:
            yield
        finally:
            timer.cancel()

    def yield_control(self) -> Coroutine:
        """Lets the other ready tasks and the network run before continuing."""
        self.waker().wake()
        yield

    # ---- timers

    def at(self, when: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules `call(*args)` at `when` (us on the loop's clock)."""
        timer = Timer(when, call, args)
        self.timer_sequence += 1
        heapq.heappush(self.timers, (when, self.timer_sequence, timer))
        if len(self.timers) >= self.compact_at:
            self.timers = [entry for entry in self.timers if entry[2].call is not None]
            heapq.heapify(self.timers)
            self.compact_at = len(self.timers) + TIMER_COMPACTION_THRESHOLD
        return timer

    def _run_timers(self) -> None:
        now = self.now()
        while self.timers and (self.timers[0][0] <= now or self.timers[0][2].call is None):
            timer = heapq.heappop(self.timers)[2]
            if timer.call is not None:
                self._run_timer(timer)

    def _run_timer(self, timer: Timer) -> None:
        """Runs a timer's call; an exception is reported and does not propagate."""
        assert timer.call is not None
        try:
            timer.call(*timer.args)
        except Exception as failure:
            self.report("timer_failed", error=repr(failure), traceback=traceback.format_exc())

    # ---- running

    def run_pass(self) -> None:
        """Runs the due timers and up to MAX_STEPS_PER_PASS ready tasks, without polling the network."""
        self._run_timers()
        for _ in range(min(MAX_STEPS_PER_PASS, len(self.ready))):
            self._step(*self.ready.popleft())

    def next_due(self) -> Optional[int]:
        """The time of the next work: now, or the next timer; None if only the network can produce any."""
        if self.ready:
            return self.now()
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def run(self, main: Optional[Task] = None) -> Any:
        """Runs until `main` finishes, `stop` is called or no tasks and timers are left.

        Returns `main`'s result, None if it has not finished, or raises its error."""
        while not self.stopping and not (main is not None and main.done):
            self.run_pass()
            if self.stopping or (main is not None and main.done):
                break
            if not self.tasks and not self.timers:
                break
            wait: Optional[int] = None
            if self.ready:
                wait = 0
            elif self.timers:
                wait = max(0, self.timers[0][0] - self.now())
            self.network.poll(wait)
        if main is not None and main.error is not None:
            raise main.error
        return main.result if main is not None else None

    def stop(self) -> None:
        """Makes `run` return after the current pass."""
        self.stopping = True

    def _step(self, task: Task, value: Any, error: Optional[BaseException]) -> None:
        """Resumes a task with a value or an error, until it suspends again or ends."""
        if task.done:
            return
        self.current = task
        started = self.now()
        try:
            if error is None:
                task.run.send(value)
            else:
                task.run.throw(error)
        except StopIteration as end:
            task.result = end.value
            self._end(task)
        except Cancelled as cancelled:
            task.error = cancelled
            self._end(task)
        except Exception as failure:  # ends this task only
            task.error = failure
            self.report("task_failed", task=task.name, error=repr(failure), traceback=traceback.format_exc())
            self._end(task)
        finally:
            self.current = None
            elapsed = self.now() - started
            if elapsed > self.slowest_step_us:
                self.slowest_step_us = elapsed
            if elapsed > SLOW_STEP_US:
                self.report("slow_step", task=task.name, took_ms=elapsed // 1000)

    def _end(self, task: Task) -> None:
        task.done = True
        self.tasks.discard(task)
        for waker in task.joiners:
            waker.wake()
        task.joiners = []
