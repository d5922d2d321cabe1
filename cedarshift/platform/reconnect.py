"""A long-lived response that is requested again when it ends, times out or cannot be parsed."""

from __future__ import annotations

import traceback
from typing import Callable, Optional

from cedarshift.codec.platform.errors import MalformedStream
from cedarshift.judge.redial import Backoff
from cedarshift.loop import Cancelled, Loop, StreamBroken, TimedOut
from cedarshift.loop.core import Coroutine, Waker
from cedarshift.web import StreamedResponse, UnexpectedStatus, connect

Address = tuple[str, int]
Report = Callable[..., None]
RandomSource = Callable[[], float]

DIAL_TIMEOUT_US = 500_000
RECONNECT_MIN_DELAY_US = 20_000  # grows with each consecutive failure
RECONNECT_MAX_DELAY_US = 500_000  # short, as an endpoint's drain grace runs meanwhile
STABLE_AFTER_US = 3_000_000  # a response that lasted this long resets the delay


class ReconnectingStream:
    """Keeps one streamed response open, reconnecting with backoff.

    `target()` returns the request target of the next attempt, and `consume(response)` reads one response
    until it raises. The response head has to arrive within `head_timeout_us`. Each end is logged as
    `lost_event`; `on_status(status)` is called for a status other than 200."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        target: Callable[[], str],
        consume: Callable[[StreamedResponse], Coroutine],
        head_timeout_us: int,
        lost_event: str,
        report: Report,
        random: RandomSource,
        on_status: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.loop = loop
        self.address = address
        self.target = target
        self.consume = consume
        self.head_timeout_us = head_timeout_us
        self.lost_event = lost_event
        self.on_status = on_status
        self.report = report
        self.backoff = Backoff(RECONNECT_MIN_DELAY_US, RECONNECT_MAX_DELAY_US, random)
        self.response: Optional[StreamedResponse] = None  # set once connected
        self.delay_waker: Optional[Waker] = None  # set while waiting for the next attempt
        self.requested_at = loop.now()  # start of the current attempt
        self.task = loop.spawn(self._run(), lost_event)

    def change_address(self, address: Address) -> None:
        """Reconnects to `address` at once, ending the current response, attempt or delay."""
        self.address = address
        self.backoff.reset()  # failures at the old address do not count
        self.restart()
        if self.delay_waker is not None:
            self.delay_waker.wake()

    def restart(self) -> None:
        """Closes the current response, so that it is requested again."""
        if self.response is not None:
            self.response.close()

    def stop(self) -> None:
        """Closes the response for good."""
        self.restart()
        self.task.cancel()

    def _run(self) -> Coroutine:
        while True:
            started_at = self.requested_at = self.loop.now()
            address = self.address
            try:
                yield from self._attempt(address)
            except (StreamBroken, TimedOut, MalformedStream) as error:
                if isinstance(error, UnexpectedStatus):
                    self.on_status(error.status)
                self.report(self.lost_event, reason=f"{type(error).__name__}: {error}"[:200])
            except Cancelled:
                raise
            except Exception as failure:  # a bug in the consumer must not end the task
                self.report(
                    "task_failed", task=self.lost_event, error=repr(failure), traceback=traceback.format_exc()
                )
            finally:
                self.restart()
                self.response = None
            if self.loop.now() - started_at > STABLE_AFTER_US:
                self.backoff.reset()
            if address == self.address:
                yield from self._delay()

    def _attempt(self, address: Address) -> Coroutine:
        response = yield from connect(self.loop, address, DIAL_TIMEOUT_US)
        self.response = response
        if address != self.address:
            raise StreamBroken("address changed while connecting")
        yield from response.get(
            f"{address[0]}:{address[1]}", self.target(), self.loop.now() + self.head_timeout_us
        )
        yield from self.consume(response)

    def _delay(self) -> Coroutine:
        """Waits until the next attempt is due or the address has changed."""
        deadline = self.loop.now() + self.backoff.wait()
        self.delay_waker = self.loop.waker()
        try:
            yield from self.loop.park(deadline)
        except TimedOut:
            pass
        finally:
            self.delay_waker = None
