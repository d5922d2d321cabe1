"""Determines when proxies have stopped writing to the former owner of a slice. No I/O; time is passed in.

A slice is revoked by a batch of orders that ends in a numbered barrier, the mark of the slice. A proxy has
stopped once one of the following is proved. A proof stays valid: a proxy never goes back behind tables that
it has applied, or that it must read before it writes.

1. It acknowledged the revoke's barrier or a later one, in any stream. 2. Its stream broke a lease ago, and it
has not joined since. 3. It joined after an absence of a lease, when the store held the revoke, which it reads
before it writes. 4. It is silent in an open stream. All messages up to a barrier have left the channel once
any proxy acknowledges a later one. Within the longest transit time the proxy's message has then reached it,
or its stream had broken unnoticed and its lease has run out; a proxy that joined meanwhile has read the store
within the stated time. This counts only after a still later acknowledgement from any proxy: events arrive in
order, so a break or a join would have been received before it.
"""

from __future__ import annotations

from collections import deque
from typing import Iterable, NamedTuple, Optional

from cedarshift.observations import Proxy, Slice

# Durations are in units of 0.1 ms.
BARRIER_MODULUS = 65536  # barrier numbers wrap around
ACK_RETENTION = 6_000_000  # of an absent proxy's barriers; later, numbers may have wrapped around
MAX_READ_DELAY = 10_000  # from joining to reading the store, by the protocol
NEVER = -(1 << 62)  # before any time
MAX_PASSED_BARRIERS = 1024  # kept; covers several minutes of batches


def precedes(a: int, b: int) -> bool:
    """Whether barrier `a` came before `b`."""
    return a != b and (b - a) % BARRIER_MODULUS < BARRIER_MODULUS // 2


class PassedBarrier(NamedTuple):
    """All messages up to a barrier had left the channel by a time."""

    barrier: int
    at: int  # 0.1 ms


class Interruption(NamedTuple):
    """A hand-over in which all proxies had stopped when the store took the slice. Times are in 0.1 ms."""

    taken_at: int
    stopped_at: int
    empty_since: int


class WriteStops:
    """Streams and acknowledgements of the proxies, and when they stopped writing. Times are in 0.1 ms.

    `settle_time`: how long ops that were sent before a stop may still take effect.
    """

    def __init__(self, lease: int, max_transit: int, settle_time: int) -> None:
        self.lease = lease
        self.settle_time = settle_time
        # Silence after which a proxy in an open stream must have applied or lost its message.
        self.silence_timeout = max(max_transit, MAX_READ_DELAY) + lease + MAX_READ_DELAY
        self.proxies: dict[int, Proxy] = {}
        # Newest barrier acknowledged by any proxy; the store holds all up to it.
        self.newest_barrier: Optional[int] = None
        self.last_ack_heard_at = NEVER  # when a new acknowledgement was last received
        self.passed: deque[PassedBarrier] = deque(maxlen=MAX_PASSED_BARRIERS)  # oldest first
        self.interruptions: dict[int, Interruption] = {}  # by slice

    # ---- inputs

    def on_join(self, now: int, number: int, zone: str) -> None:
        """A proxy's stream is established."""
        previous = self.proxies.get(number)
        if previous is not None and previous.joined:
            self._record_silence_proof(previous)  # its break was not reported
        if previous is not None and not previous.joined and now - previous.left_at > ACK_RETENTION:
            previous.acked = previous.read_barrier = None
        proxy = self.proxies[number] = Proxy(zone, now, previous)
        if now - proxy.absent_since >= self.lease and self.newest_barrier is not None:
            proxy.read_barrier, proxy.read_absent_since, proxy.read_joined_at = (
                self.newest_barrier,
                proxy.absent_since,
                now,
            )

    def on_leave(self, now: int, number: int) -> None:
        """A proxy's stream has broken."""
        proxy = self.proxies.get(number)
        if proxy is not None and proxy.joined:
            self._record_silence_proof(proxy)
            proxy.joined, proxy.left_at = False, now

    def on_ack(self, now: int, proxy: Proxy, barrier: int, in_force_at: int) -> bool:
        """Records an acknowledgement of orders in force since a time; returns False where it is not new.

        A batch may be carried out twice and then is acknowledged twice.
        """
        if not proxy.joined or proxy.acked is not None and not precedes(proxy.acked, barrier):
            return False
        proxy.acked, proxy.acked_at = barrier, in_force_at
        self.last_ack_heard_at = now
        if self.newest_barrier is None or precedes(self.newest_barrier, barrier):
            self.newest_barrier = barrier
            self.passed.append(PassedBarrier((barrier - 1) % BARRIER_MODULUS, now))
        return True

    # ---- hand-overs interrupted by the store

    def interrupt(self, now: int, taken: Slice) -> None:
        """Keeps the proof that no proxy writes to a slice's former owner, if there is one."""
        self.interruptions.pop(taken.number, None)
        if taken.stopped_at is not None:
            self.interruptions[taken.number] = Interruption(now, taken.stopped_at, taken.empty_since)

    def resume(self, now: int, slice_id: int) -> Optional[Interruption]:
        """Returns the proof kept for a slice that came back without an owner and not written meanwhile.

        It holds for as long as another pilot would have had to wait before it could name an owner, so it does
        not rest on the store's word alone.
        """
        kept = self.interruptions.pop(slice_id, None)
        if kept is None or now - kept.taken_at >= self.lease + self.settle_time:
            return None
        return kept

    # ---- proofs

    def last_stop_time(self, revoked: Slice, now: int) -> Optional[int]:
        """When the last proxy stopped writing to a slice's former owner; None while one may still write.

        No proxy uses the tables of a former pilot for longer than a lease after the slice was reassigned.
        """
        ends = [revoked.state_since, revoked.assigned_at + self.lease]
        if revoked.mark is not None:
            for proxy in self.proxies.values():
                end = self.proxy_stop_time(proxy, revoked)
                if end is None:
                    return None
                ends.append(end)
        return max(ends) if max(ends) <= now else None

    def proxy_stop_time(self, proxy: Proxy, revoked: Slice) -> Optional[int]:
        """When a proxy stopped or will have stopped writing to a revoked slice; None without a proof."""
        assert revoked.mark is not None, "a slice that was not revoked has no barrier"
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
        silent = self._silent_stop_time(proxy, revoked)
        return silent if silent is not None and silent <= self.last_ack_heard_at else None

    def awaited(self, revoked: Slice) -> Iterable[int]:
        """Numbers of the proxies that may still write to the former owner."""
        return (
            number
            for number, proxy in sorted(self.proxies.items())
            if self.proxy_stop_time(proxy, revoked) is None
        )

    def _silent_stop_time(self, proxy: Proxy, revoked: Slice) -> Optional[int]:
        """When a proxy that is silent in an open stream must have stopped.

        None while its message may still be in the channel.
        """
        if revoked.passed_at is None:
            revoked.passed_at = self._passed_at(revoked.mark)
        if revoked.passed_at is None:
            return None
        return max(revoked.passed_at, proxy.joined_at) + self.silence_timeout

    def _passed_at(self, barrier: Optional[int]) -> Optional[int]:
        """When all messages up to a barrier were first known to have left the channel; None before that."""
        if barrier is None or not self.passed or precedes(self.passed[-1].barrier, barrier):
            return None
        return next(one.at for one in self.passed if not precedes(one.barrier, barrier))

    def _record_silence_proof(self, proxy: Proxy) -> None:
        """Records the newest barrier that proof 4 covers for a proxy whose stream ends."""
        until = self.last_ack_heard_at - self.silence_timeout
        proved = next((one for one in reversed(self.passed) if one.at <= until), None)
        if proved is None or proxy.joined_at > until:
            return
        if proxy.acked is None or precedes(proxy.acked, proved.barrier):
            proxy.acked = proved.barrier
            proxy.acked_at = max(proved.at, proxy.joined_at) + self.silence_timeout
