"""When proxies have surely stopped writing to a former owner of a slice. No I/O, and no clock but the time passed in.

A slice is revoked by a batch of orders that ends in a numbered barrier. A proxy has stopped once one of these is proved, and
what is proved once stays proved: a proxy never goes back behind tables that it has applied, or that it must read before it writes.

1. It acknowledged the revoke's barrier or a later one, in whatever stream.
2. Its stream broke a lease ago, and it has not joined since.
3. It joined after it had been away for a lease, when the store surely held the revoke: it reads that before it writes.
4. It stays silent with an open stream. All messages up to a barrier have left the channel when someone acknowledges a later one.
   Then the proxy's has reached it within the longest way, or its stream had broken by then unnoticed and its lease has run
   out; a proxy that joined meanwhile has read the store within the stated time. It counts only once an acknowledgement of anyone has
   been heard after all that: events come in order, so a break or a joining would have been heard before.
"""

from __future__ import annotations

from collections import deque
from typing import Iterable, NamedTuple, Optional

from cedarshift.observations import Proxy, Slice

# Constants: unit, then the reason for the size.
BARRIER_MODULUS = 65536  # barriers are numbered in a ring of this size
ACK_RETENTION = (
    6_000_000  # 0.1 ms; a proxy away for longer acknowledged barriers that the ring may have passed
)
MAX_READ_DELAY = 10_000  # 0.1 ms; the wire page: a proxy that joins reads the store within a second
NEVER = -(1 << 62)  # 0.1 ms; before any time
MAX_PASSED_BARRIERS = 1024  # newest barriers of which it is remembered when a later one was acknowledged; a minute of batches has some 200


def precedes(a: int, b: int) -> bool:
    """Whether barrier `a` came before `b`."""
    return a != b and (b - a) % BARRIER_MODULUS < BARRIER_MODULUS // 2


class PassedBarrier(NamedTuple):
    """All messages up to a barrier had left the channel at a time."""

    barrier: int
    at: int


class WriteStops:
    """What is known of the proxies' streams and acknowledgements. `lease` and `longest_way` in 0.1 ms."""

    def __init__(self, lease: int, max_transit: int) -> None:
        self.lease = lease
        self.silence_timeout = max(max_transit, MAX_READ_DELAY) + lease + MAX_READ_DELAY
        self.proxies: dict[int, Proxy] = {}
        self.newest_barrier: Optional[int] = (
            None  # newest barrier that anyone acknowledged: the store holds all up to it
        )
        self.last_ack_heard_at = NEVER  # when the newest acknowledgement was heard
        self.passed: deque[PassedBarrier] = deque(maxlen=MAX_PASSED_BARRIERS)

    # ---- inputs

    def on_join(self, now: int, number: int, zone: str) -> None:
        """A proxy's stream is established."""
        old = self.proxies.get(number)
        if old is not None and old.joined:
            self._confirm_silent(old)  # a break that was not told of
        if old is not None and not old.joined and now - old.left_at > ACK_RETENTION:
            old.acked = old.read_barrier = None
        new = self.proxies[number] = Proxy(zone, now, old)
        if now - new.absent_since >= self.lease and self.newest_barrier is not None:
            new.read_barrier, new.read_absent_since, new.read_joined_at = (
                self.newest_barrier,
                new.absent_since,
                now,
            )

    def on_leave(self, now: int, number: int) -> None:
        """A proxy's stream is known to have broken."""
        proxy = self.proxies.get(number)
        if proxy is not None and proxy.joined:
            self._confirm_silent(proxy)
            proxy.joined, proxy.left_at = False, now

    def on_ack(self, now: int, proxy: Proxy, barrier: int, in_force_at: int) -> bool:
        """Whether the acknowledgement tells anything new: a batch may be carried out twice."""
        if not proxy.joined or proxy.acked is not None and not precedes(proxy.acked, barrier):
            return False
        proxy.acked, proxy.acked_at = barrier, in_force_at
        self.last_ack_heard_at = now
        if self.newest_barrier is None or precedes(self.newest_barrier, barrier):
            self.newest_barrier = barrier
            self.passed.append(PassedBarrier((barrier - 1) % BARRIER_MODULUS, now))
        return True

    # ---- what is proved

    def stopped(self, revoked: Slice, now: int) -> Optional[int]:
        """When the last proxy stopped, None while one may go on. No proxy holds a slice longer than a lease after it changed hands."""
        ends = [revoked.state_since, revoked.assigned_at + self.lease]
        if revoked.mark is not None:
            for proxy in self.proxies.values():
                end = self.stop(proxy, revoked)
                if end is None:
                    return None
                ends.append(end)
        return max(ends) if max(ends) <= now else None

    def stop(self, proxy: Proxy, revoked: Slice) -> Optional[int]:
        """When one proxy stopped, or will have; None where that is not known."""
        assert revoked.mark is not None, "a slice that was not revoked has no barrier to be acknowledged"
        if proxy.acked is not None and not precedes(proxy.acked, revoked.mark):
            return proxy.acked_at
        away = max(proxy.read_absent_since, revoked.assigned_at) + self.lease
        if (
            proxy.read_barrier is not None
            and not precedes(proxy.read_barrier, revoked.mark)
            and proxy.read_joined_at >= max(away, revoked.state_since)
        ):
            return away
        if not proxy.joined:
            return proxy.left_at + self.lease
        silent = self._silent_end(proxy, revoked)
        return silent if silent is not None and silent <= self.last_ack_heard_at else None

    def awaited(self, revoked: Slice) -> Iterable[int]:
        """Proxies that may still write to the former owner, by number."""
        return (number for number, proxy in sorted(self.proxies.items()) if self.stop(proxy, revoked) is None)

    def _silent_end(self, proxy: Proxy, revoked: Slice) -> Optional[int]:
        """When a proxy that stays silent in its open stream must have stopped; None while its message may wait in the channel."""
        if revoked.passed_at is None:
            revoked.passed_at = self._passed_at(revoked.mark)
        if revoked.passed_at is None:
            return None
        return max(revoked.passed_at, proxy.joined_at) + self.silence_timeout

    def _passed_at(self, barrier: Optional[int]) -> Optional[int]:
        """When all messages up to a barrier were first known to have left the channel; None while they may wait there."""
        if barrier is None or not self.passed or precedes(self.passed[-1].barrier, barrier):
            return None
        return next(one.at for one in self.passed if not precedes(one.barrier, barrier))

    def _confirm_silent(self, proxy: Proxy) -> None:
        """Keeps what a stream that ends has proved by its silence."""
        until = self.last_ack_heard_at - self.silence_timeout
        proved = next((one for one in reversed(self.passed) if one.at <= until), None)
        if proved is None or proxy.joined_at > until:
            return
        if proxy.acked is None or precedes(proxy.acked, proved.barrier):
            proxy.acked = proved.barrier
            proxy.acked_at = max(proved.at, proxy.joined_at) + self.silence_timeout
