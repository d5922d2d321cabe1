"""Sums of the proxies, added up by endpoint and zone, and by slice and op type, and handed on within a limit. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from cedarshift.codec.messages import EndpointStats, SliceStats


class ZoneMet(NamedTuple):
    endpoint: str
    zone: str
    tries: int
    aborted: int
    took: int  # us, mean of the acked ones; 0 where none was
    span: int  # us


class SliceHeat(NamedTuple):
    slice: int
    op_type: int
    ops: int
    unanswered: int
    span: int  # us


class Intake:
    """At most `per_s` lines a second leave, the oldest first; what does not fit adds up and follows."""

    def __init__(self, per_s: float, period: int, now: int) -> None:
        self.per_s = per_s
        self.period = period
        self.met: dict[tuple[str, str], list[int]] = {}  # tries, aborted, acked time in all, counted since
        self.heat: dict[tuple[int, int], list[int]] = {}  # ops, unanswered, counted since
        self.credit = 0.0
        self.looked_at = now

    def add_met(self, now: int, zone: str, met: EndpointStats) -> None:
        got = self.met.setdefault((met.endpoint, zone), [0, 0, 0, now - met.span])
        tries, aborted = met.tries, min(met.aborted, met.tries)
        got[0] += tries
        got[1] += aborted
        got[2] += met.took * (tries - aborted)

    def add_heat(self, now: int, heat: SliceStats) -> None:
        got = self.heat.setdefault((heat.slice, heat.op_type), [0, 0, now - heat.span])
        got[0] += heat.ops
        got[1] += min(heat.unanswered, heat.ops)

    def take(self, now: int) -> tuple[list[ZoneMet], list[SliceHeat]]:
        """What may be handed on now. A line's span is at least a period: sums of several proxies overlap."""
        self.credit = min(
            self.per_s * self.period / 1e6, self.credit + (now - self.looked_at) * self.per_s / 1e6
        )
        self.looked_at = now
        mets, heats = [], []
        while self.credit >= 1 and (self.met or self.heat):
            met_since = next(iter(self.met.values()))[3] if self.met else None
            heat_since = next(iter(self.heat.values()))[2] if self.heat else None
            self.credit -= 1
            if heat_since is None or (met_since is not None and met_since <= heat_since):
                end, zone = next(iter(self.met))
                tries, aborted, took, since = self.met.pop((end, zone))
                mets.append(
                    ZoneMet(
                        end,
                        zone,
                        tries,
                        aborted,
                        took // max(1, tries - aborted),
                        max(self.period, now - since),
                    )
                )
            else:
                number, kind = next(iter(self.heat))
                ops, lost, since = self.heat.pop((number, kind))
                heats.append(SliceHeat(number, kind, ops, lost, max(self.period, now - since)))
        return mets, heats

    def lines_waiting(self) -> int:
        return len(self.met) + len(self.heat)
