"""All decisions of a cedarshift pilot; no I/O, and no clock but the time passed in.

The host builds Pilot(terms), calls an on_... method for each thing learnt, which only updates what is known,
then next_decision(now) until it returns None. A decision is a plain tuple, verb first. Types, verbs and units
are in cedarshift/interface.py; the mechanism is told in docs/design.md."""

from __future__ import annotations

import math
from collections import deque
from itertools import takewhile
from typing import Collection, Iterable, Optional

from cedarshift.diagnostics import DecisionCounts, HandOverWait, KeptReason
from cedarshift.interface import Entry, Terms
from cedarshift.judge.chance import Lcg
from cedarshift.judge.order_channel import ACKS_PAUSE, OrderChannel
from cedarshift.judge.write_stops import BARRIERS, WriteStops
from cedarshift.observations import EMPTY, HOLD, OWNED, REVOKING, SETTLING, Endpoint, Proxy, Slice, rendezvous

# Constants: unit, then the reason for the size.
BEAT = 250  # 0.1 ms; how often a pilot looks at what is due: small beside any lease or grace
WEIGH_EVERY = 2_000  # 0.1 ms; rates and warmth change slowly beside this
CHECK_EVERY = 20_000  # 0.1 ms; the mover's pace: jams grow within seconds, so under the design's 5 s
MARGIN = 0.2  # share over the mean at which an endpoint counts as hot: the design's figure
CHECKS_RUNNING = 2  # checks; the design's two, so that one late report moves nothing
MOVES_A_TURN = 2  # slices; the design's figure, in a small fleet
MOVES_PART = 8  # endpoints to a move a turn in a larger fleet: hot slices come several at a time
MOVES_A_SOURCE = 2  # slices that one hot endpoint gives up a turn: more would overshoot on late sums
STRAINED = 0.08  # share of ops aborted beyond the middle endpoint's: an endpoint worth relieving
WORTH_MOVING = 0.4  # share of the tightest target latency; under it a hot endpoint is in time
LATE = 15_000  # 0.1 ms; how late a sum may come; one begun sooner after a move tells of before
RECENT = 4  # report periods over which figures are worked out; fewer is noise, more is late
RECENT_LEAST = 40_000  # 0.1 ms; with short periods, less time than this holds too few ops
QUICK_LEAST = 4  # sums with acks; fewer say little of an endpoint's speed
SPEED_MOST = 2.0  # times as fast as the middle endpoint, or as slow; more is chance or a queue
WAY_LEAST = 40  # ops; what fewer say of the way from a zone to a zone is chance
WAY_LOST = 0.2  # share of ops lost more than on the best way; less is chance in a few dozen ops
WAY_LATE = 0.3  # share of the tightest target latency that acks take longer than on the best way
SICK_SHARE = 0.75  # share of ops aborted; what loses a third of all ops seldom reaches it by chance
SICK_LEAST = 12  # ops; fewer tell nothing of a share, and each endpoint is judged again and again
SICK_MOST = 0.34  # share of endpoints; when more look bad at once the cause is not the endpoint
SICK_SLOW = 0.7  # share of the tightest target latency; slower acks beside the aborts tell overload
SICK_HOLD = 150_000  # 0.1 ms; no slices for a sick endpoint, doubled for each time it was sick again
COLD_FIRST = 0.5  # share of a cold budget given first: how fast the machine is shows only in its sums
SERVED_WELL = 1.75  # acked share of all that comes by the tipping multiple: less shrinks cold budgets
SERVED_LEAST = 0.1  # share; sums that came apart in time must not shrink a cold budget to nothing
COLD_SHED = 0.6  # share of the tipping load past which a restarted owner gives slices up
LEVEL_STEP = 0.05  # added to the level a check; full again within some ten checks
LEVEL_SHARE = 0.85  # what is left of the level after a check under overload
LEVEL_LEAST = 0.6  # the level never goes below: deeper cuts reject what would be acked
OVERLOAD = 0.7  # share of the tightest target latency that the middle endpoint takes under overload
ASK_AGAIN = 10_000  # 0.1 ms; first wait after a failed list call, doubled up to a quarter of the bound
RENEW = 8  # longest waits after which a subscription that seems sound is asked for again
ALL_CLASSES = 0  # the mask that stands for all classes
ALL_TABLES = 65535  # the table number that stands for all
FORGET = 600_000  # 0.1 ms; longer than a machine takes to restart; what was known is old by then
PATIENCE_PART = 2  # of the time that a proxy may be without a line: the rest is for the way of the order through a slow channel
ACK_WAYS = 2  # longest ways to a proxy after which an acknowledgement that has not come is asked for again
MARKS = BARRIERS


class Pilot:
    def __init__(self, terms: Terms) -> None:
        self.single, self.gone_binds, self.asks = terms.single_owner, terms.gone_binds, terms.asks_list
        self.zones = list(terms.zones)
        ops = terms.op_types
        self.kinds = max(1, len(ops))
        self.writes = sum(1 << i for i, op in enumerate(ops) if op.writes)
        self.local_ops = sum(1 << i for i, op in enumerate(ops) if op.own_zone)
        self.tight = min((op.target_latency for op in ops), default=0)
        self.timeout = max((op.op_timeout for op in ops), default=0)
        self.can_close = terms.levels != "none" and self.single and bool(self.writes)
        self.can_level = terms.levels == "fraction"
        self.retries = terms.retry_default
        self.lease, self.settle = (terms.lease, terms.in_flight_most) if self.single else (0, 0)
        self.recent = max(RECENT * terms.report_period, RECENT_LEAST)
        self.check_every = max(CHECK_EVERY, terms.report_period)
        self.pilots, self.place, self.slices_in_all = max(1, terms.pilots), terms.place, terms.slices
        self.cold_share, self.warm_within, self.tip = terms.cold_share, terms.warm_within, terms.tip_multiple
        self.channel = OrderChannel(terms)
        # A drained endpoint's lines go so long after it was heard, less the channel's queue: an op taken in
        # before may still wait for its connection.
        self.grace = terms.drain_grace - terms.drain_grace // 6 - terms.transit_most - terms.connect_most
        self.ask_most = max(ASK_AGAIN, terms.ask_within // 4)
        self.endpoints: dict[str, Endpoint] = {}
        self.stops = WriteStops(self.lease, terms.transit_most)
        self.proxies = self.stops.proxies
        # Without a line for so long, a slice names its former owner again, closed; a move that waits for so long is given up.
        self.patience = terms.empty_for / PATIENCE_PART if terms.empty_for else math.inf
        self.ack_within = ACKS_PAUSE + ACK_WAYS * terms.transit_most
        self.slices: dict[int, Slice] = {}
        self.mark = Lcg(terms.seed).draw(MARKS)  # the first one by chance: no mark of a life before
        self.newcomers: set[int] = set()  # proxies joined since then: no mark has reached them
        self.beat = 0  # nonce of the alarm that counts
        self.ask_at, self.ask_wait = 0, ASK_AGAIN
        self.check_at = 0  # when the mover and the level look next
        self.planned: dict[
            int, str
        ] = {}  # slice -> target: moves of the newest check that have not gone out yet
        self.level, self.level_sent = 1.0, 1.0
        self.laid: dict[tuple[int, str], bool] = {}
        self.ways, self.ways_to = {}, {}  # what ways lose and delay; the same by the endpoints' zone
        self.ordered: Optional[list[Slice]] = None  # all slices by number; None: one came or went
        self.roomy: Optional[list[tuple]] = None  # who may take slices, worked out once a turn
        self.rights: dict[str, float] = {}  # empty: nobody divides them; the lot gives cold endpoints
        self.news, self.weighed_at = True, 0  # the list, the charge or the orders changed since the weigh-up
        self.held: dict[str, list[Slice]] = {}  # the slices that each endpoint owns
        self.mean_rate = 1e-3  # ops of a slice in 0.1 ms, until sums come
        self.counts = DecisionCounts()
        self.out, self.fresh = deque(), False  # decisions to hand out; a beat or a list came since the last

    # ---- inputs: only what is known changes here

    def on_list(self, now: int, kind: str, entries: list[Entry]) -> None:
        self.fresh = self.news = True
        if kind == "unavailable":  # an unreachable list is not an empty one: the old one stands
            self.ask_at, self.ask_wait = now + self.ask_wait, min(self.ask_most, 2 * self.ask_wait)
            return
        if kind != "restored":
            self.ask_wait, self.ask_at = ASK_AGAIN, now + RENEW * self.ask_most
        for e in entries:
            known = self.endpoints.setdefault(e.endpoint, Endpoint(e.endpoint))
            self._set_phase(known, e.phase, now - e.late)
            if e.started and e.started != known.started:
                known.forget()  # a new process: what the old one did tells nothing
                known.sick_until = 0
            known.size, known.zone = e.size, e.zone
            known.started = e.started if e.started is not None else known.started
        if kind in ("replace", "restored"):
            named = {e.endpoint for e in entries}
            for known in [known for name, known in self.endpoints.items() if name not in named]:
                self._set_phase(known, "off", now)

    def on_join(self, now: int, proxy: int, zone: str) -> None:
        self.stops.on_join(now, proxy, zone)
        self.newcomers.add(proxy)

    def on_leave(self, now: int, proxy: int) -> None:
        self.stops.on_leave(now, proxy)

    def on_given(self, now: int, slice_id: int, given: bool) -> None:
        self.news = True
        self.slices.pop(slice_id, None)
        self.planned.pop(slice_id, None)  # if it comes back, with an owner that nothing was decided for
        self.ordered = None
        if given:
            s = self.slices[slice_id] = Slice(slice_id, now)
            # No line held: a hand-over was cut off, so the lease and the settle time are waited out.
            s.state = REVOKING if self.single else EMPTY
            self.level_sent = 1.0  # levels are reset at a giving

    def on_held(self, now: int, slice_id: int, endpoint: str, shut: bool = False) -> None:
        """`shut`: the line was held with every class closed, unless the slice was another pilot's since: it is revoked anew."""
        s = self.slices.get(slice_id)
        if s:
            s.state, s.owner, s.line = OWNED, endpoint, True
            s.closed = s.shut = shut
            if endpoint not in self.endpoints:  # in a store's line but in no list: as good as gone
                self.endpoints[endpoint] = Endpoint(endpoint)
                self._set_phase(self.endpoints[endpoint], "off", now)

    def on_ack(self, now: int, proxy: int, mark: int, took: int) -> None:
        p = self.proxies.get(proxy)
        batch = self.channel.batch(mark)
        in_force_at = (
            min(now, batch.ordered_at + took) if batch else now
        )  # it took effect before it was heard
        if p and self.stops.on_ack(now, p, mark, in_force_at) and batch:
            batch.waiting -= batch.lines  # its message has left the channel
            self.channel.newest_took = took
        self.channel.left_before(mark)

    def on_sign(self, now: int, began: int) -> None:
        """All acknowledgements up to now have been heard, in a stream of events that began at `began`. If there was none for so long,
        none is to come: what was ordered has left the channel, and the acknowledgements were lost."""
        silent = now - max(self.stops.heard_at, self.channel.sent_at, began)
        if silent >= max(self.ack_within, ACK_WAYS * self.channel.newest_took):
            self.channel.all_left()

    def on_met(
        self, now: int, endpoint: str, zone: str, tries: int, aborted: int, took: int, span: int
    ) -> None:
        if endpoint in self.endpoints and tries > 0:
            self.endpoints[endpoint].hear((now, tries, aborted, took, span, zone))

    def on_heat(self, now: int, slice_id: int, op_type: str, ops: int, unanswered: int, span: int) -> None:
        if slice_id in self.slices:
            self.slices[slice_id].hear((now, ops, span, unanswered, op_type))

    def on_warned(self, now: int, endpoint: str, until: int) -> None:
        if endpoint in self.endpoints:  # a peer found it sick; what it does here is judged as ever
            self.news, known = True, self.endpoints[endpoint]
            known.sick_until = max(known.sick_until, until)

    def on_rights(self, now: int, rights: dict[str, float]) -> None:
        self.rights = rights  # the fleet's: endpoints to warm, "*": others; "": moves

    def on_alarm(self, now: int, nonce: int) -> None:
        self.fresh = self.fresh or nonce == self.beat

    # ---- figures worked out from what is known

    def _set_phase(self, e: Endpoint, phase: str, now: int) -> None:
        """A list may call running endpoints gone. Where that does not bind, one that never was seen to drain
        is only "dropped": its sums decide. One that drained stays bound when it leaves the list."""
        if phase == "off" and e.phase != "fading" and not self.gone_binds:
            phase = "off" if e.phase == "off" else "dropped"
        if phase != "on" and e.phase == "on":
            e.told_at = now
        e.phase = phase

    def _stands(self, e: Endpoint, now: int) -> bool:
        """Listed, or dropped from the list while its newest sums are acked (or have not had time to come).
        Guards against a wrong or stale list; a dead endpoint is left some sums later than its dropping."""
        if e.phase != "dropped":
            return e.phase == "on"
        tries, aborted, _ = self._last_met(e, now)
        return aborted <= SICK_SHARE * tries if tries else now - e.told_at < self.recent

    def _warmth(self, e: Endpoint, now: int) -> float:
        """Share of its usual capacity that an endpoint has at least."""
        if not e.started or now - e.started >= self.warm_within:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0, now - e.started) / self.warm_within

    @staticmethod
    def _since(samples: deque, at: int) -> list[tuple]:
        """The samples heard from a time on, newest first."""
        return list(takewhile(lambda s: s[0] >= at, reversed(samples)))

    def _sorted_slices(self) -> list[Slice]:
        if self.ordered is None:
            self.ordered = [s for _, s in sorted(self.slices.items())]
        return self.ordered

    def _weigh_up(self, now: int) -> None:
        """Works out, at a pace of its own, the figures of the whole fleet that the decisions use."""
        self.news, self.weighed_at, self.roomy = False, now, None
        self.live = [e for _, e in sorted(self.endpoints.items()) if self._stands(e, now)]
        self.standing = {e.name for e in self.live}
        self._weigh_ways(now)
        self.met = {e.name: self._met(e, now) for e in self.live}
        shares = sorted(aborted / tries for tries, aborted, _ in self.met.values() if tries) or [0.0]
        self.usual = shares[len(shares) // 2]  # share of ops that abort at the middle endpoint
        self._look_for_sick(now)
        self._weigh_slices(now)
        self._forget(now)
        stay = {name for name in self.endpoints if not self._must_leave(name)}
        self.leaving = sum([s.owner not in stay for s in self._sorted_slices() if s.line])
        self._weigh_speeds(now)
        self.mean_size = sum(e.part for e in self.live) / max(1, len(self.live))
        self.unit = sum(self.rate.values()) / max(1e-9, self.mean_size * len(self.live))  # fair for size 1
        self.whole = max(1.0, self.slices_in_all / max(1, len(self.slices)))  # all pilots' slices, in its own
        came = sum([s.ops for s in self._sorted_slices()])
        self.served = max(SERVED_LEAST, min(1.0, self.tip * self.acked / came / SERVED_WELL)) if came else 1.0

    def _weigh_slices(self, now: int) -> None:
        """Ops of each slice in a tenth of a millisecond, the mean where nothing was heard; who bears them."""
        ordered = self._sorted_slices()
        for s in ordered:
            if now > s.holds:
                s.look(now, self.recent)
                s.rate = s.ops / max(1, s.span / self.kinds) if s.inside else None
        if known := [s.rate for s in ordered if s.rate is not None]:
            self.mean_rate = sum(known) / len(known)
        mean, more = self.mean_rate, self.mean_rate * 0.1
        rates = [(mean if s.rate is None else s.rate) + more for s in ordered]
        self.rate = {s.number: rate for s, rate in zip(ordered, rates)}
        burden, held = self.burden, self.held = {}, {}
        for s, rate in zip(ordered, rates):
            if bearer := s.target or s.owner:
                burden[bearer] = burden.get(bearer, 0.0) + rate
            if s.state == OWNED:
                held.setdefault(s.owner, []).append(s)

    def _forget(self, now: int) -> None:
        """An endpoint gone for long, that no slice names, is forgotten: where each start has a new id they
        pile up."""
        gone = [
            e.name
            for e in self.endpoints.values()
            if e.phase in ("off", "dropped") and now - e.told_at > FORGET
        ]
        named = {name for s in self.slices.values() for name in (s.owner, s.target)} if gone else set()
        for name in set(gone) - named - self.standing:
            del self.endpoints[name]

    def _weigh_speeds(self, now: int) -> None:
        """An endpoint's fair part is its listed size by its speed: its quicker acks against the fleet's."""
        quick = {e.name: e.times[len(e.times) // 4] for e in self.live if len(e.times) >= QUICK_LEAST}
        usual = sorted(quick.values())[len(quick) // 2] if quick else 1
        for e in self.live:
            speed = usual / quick.get(e.name, usual) if self._warmth(e, now) >= 1.0 else 1.0
            e.part = e.size * max(1 / SPEED_MOST, min(SPEED_MOST, speed))

    def _weigh_ways(self, now: int) -> None:
        """How much worse a zone's proxies fare at a zone's endpoints than those that fare best there: a slow
        or lossy link, or proxies that stand still. No move or level cures that, so no endpoint is blamed.
        Harm: endpoints that fail for the zone with nearly all the traffic are left late."""
        self.ways, self.ways_to = {}, {}
        got: dict[tuple[str, str], list[list[int]]] = {}
        for e in self.live:
            if now > e.holds:
                e.look(now, self.recent)
            for origin, part in e.fares.items():
                got.setdefault((origin, e.zone), []).append(part)
        summed = {way: [sum(column) for column in zip(*parts)] for way, parts in got.items()}
        fare = {
            way: (tries, aborted, time / acked if acked else 0.0)
            for way, (tries, aborted, acked, time) in summed.items()
            if tries
        }
        self.acked = sum(tries - aborted for tries, aborted, _ in fare.values())
        for zone in {z for _, z in fare}:
            share = {o: (m[1] / m[0], m[2]) for (o, z), m in fare.items() if z == zone and m[0] >= WAY_LEAST}
            best = min((t for _, t in share.values() if t), default=0.0)
            for origin, (lost, took) in share.items():
                lost, late = lost - min(b for b, _ in share.values()), took - best
                if lost > WAY_LOST or late > WAY_LATE * self.tight:
                    self.ways[origin, zone] = (lost, max(0.0, late))
                    self.ways_to.setdefault(zone, []).append((origin, self.ways[origin, zone]))

    def _met(self, e: Endpoint, now: int, after: int = 0) -> tuple[int, float, float]:
        """Tries, aborted ops and mean time of the acked ones over the last periods."""
        if now > e.holds:
            e.look(now, self.recent)
        if e.zone not in self.ways_to and e.holds - self.recent - e.longest >= after:  # all begun by then
            tries, aborted, acked, time = e.total
            return tries, aborted, time / acked if acked else 0.0
        got = self._since(e.samples, now - self.recent)
        return self._sum([s for s in got if s[0] - s[4] >= after], e.zone)

    def _last_met(self, e: Endpoint, now: int) -> tuple[int, float, float]:
        """The same over the newest sums alone, as many as hold enough ops: a change shows there first."""
        ways = self.ways_to.get(e.zone)
        if e.newest is not None and now <= e.newest[0] and ways == e.newest[1]:
            return e.newest[2]
        got: list[tuple] = []
        for s in reversed(e.samples):
            if now - s[0] > self.recent or (sum(g[1] for g in got) >= SICK_LEAST and s[0] != got[-1][0]):
                break
            got.append(s)
        e.newest = (got[-1][0] + self.recent if got else math.inf, ways, self._sum(got, e.zone))
        return e.newest[2]

    def _sum(self, got: list[tuple], zone: str) -> tuple[int, float, float]:
        tries, aborted, acked, time = 0, 0.0, 0, 0.0
        for _, n, bad, took, _, origin in got:
            lost, late = self.ways.get((origin, zone), (0.0, 0.0))
            tries, aborted = tries + n, aborted + max(0.0, bad - lost * n)
            if took > 0:
                acked, time = acked + n - bad, time + (n - bad) * max(1.0, took - late)
        return tries, aborted, time / acked if acked else 0.0

    def _look_for_sick(self, now: int) -> None:
        """An endpoint that aborts most of what it is sent, fast or with no ack, unlike its peers, is sick.
        Slow acks tell overload: to take all its slices would pass the load on. The held ones count, so no
        chain of judgements empties the fleet. Harm: a sound one whose ops fail by the clients' fault."""
        met = {e.name: self._last_met(e, now) for e in self.live if now >= e.sick_until}
        bad = [
            e
            for e in self.live
            if e.name in met
            and (m := met[e.name])[0] >= SICK_LEAST
            and m[1] > SICK_SHARE * m[0]
            and max(m[2], self.met[e.name][2]) < SICK_SLOW * self.tight
            and not self._serves_a_type(e, now)
        ]
        if len(bad) + len(self.live) - len(met) <= SICK_MOST * len(self.live):
            for e in bad:
                e.sick_until = now + (SICK_HOLD << min(e.strikes, 3))
                e.strikes += 1
                e.forget()

    def _serves_a_type(self, e: Endpoint, now: int) -> bool:
        """Whether one op type at least is answered: such an endpoint is strained, not sick, and gives slices
        as the others can bear them; all at once would jam them and lose that type too."""
        met: dict[str, list[int]] = {}
        for s in self.held.get(e.name, ()):
            newest = {g[4]: g for g in reversed(self._since(s.samples, max(s.since, now - self.recent)))}
            for _, ops, _, unanswered, op_type in newest.values():
                met[op_type] = [a + b for a, b in zip(met.get(op_type, (0, 0)), (ops, unanswered))]
        return any(2 * ops >= SICK_LEAST and 2 * bad < SICK_SHARE * ops for ops, bad in met.values())

    def _unfit(self, name: Optional[str], now: int) -> bool:
        return name not in self.standing or now < self.endpoints[name].sick_until

    def _must_leave(self, name: Optional[str]) -> bool:
        e = self.endpoints.get(name or "")
        return e is None or e.phase in ("fading", "off")

    def _told(self, s: Slice) -> float:  # from when on the grace runs for its owner, if that must be left
        e = self.endpoints.get(s.owner or "")
        return max(e.told_at, s.given_at) if e and self._must_leave(e.name) else math.inf

    def _overdue(self, s: Slice, now: int) -> bool:
        return now >= self._told(s) + self.grace - self.channel.delay

    def _room_at(self, e: Endpoint, now: int) -> float:
        """What an endpoint may bear of this pilot's slices. A cold one is a budget of the tipping multiple
        that one pilot has whole, by lot: split among all of them it would not hold a single slice of any."""
        warmth = self._warmth(e, now)
        if warmth >= 1.0:
            return self.unit * e.part
        if e.ours is None:
            e.ours = self.place == max(range(self.pilots), key=lambda place: rendezvous(e.name, place, 1.0))
        if not self.rights.get(e.name, self.rights.get("*", e.ours)):
            return 0.0
        fair = self.whole * self.unit * min(e.part, self.mean_size)
        first = 1.0 if e.gained_at > e.started else COLD_FIRST
        if first == 1.0 and now > e.gained_at and not self._met(e, now, e.gained_at)[0]:
            return 0.0  # what it was given last has not shown in its sums yet
        return first * min(1.0, COLD_SHED * self.tip) * warmth * fair * self.served

    def _with_room(self, s: Slice, now: int) -> Optional[str]:
        """The rendezvous choice among live endpoints with room."""
        rate, burden = self.rate[s.number], self.burden
        if self.roomy is None:
            self.roomy = self._roomy(now)
        fit = [
            (rendezvous(e.name, s.number, e.part), e.name)
            for e, room in self.roomy
            if burden.get(e.name, 0.0) + rate <= (self._room_at(e, now) if room is None else room)
        ]
        return max(fit)[1] if fit else None

    def _roomy(self, now: int) -> list[tuple[Endpoint, Optional[float]]]:
        """Who may take slices, and up to what burden; None for a cold one, whose room changes as it gains."""
        return [
            (e, self._room_at(e, now) if self._warmth(e, now) >= 1.0 else None)
            for e in self.live
            if now >= e.sick_until and not self._strained(self.met[e.name])
        ]

    def _choose(self, s: Slice, now: int) -> Optional[str]:
        """With no room anywhere the least burdened warm endpoint takes an orphan, then a cold or sick one."""
        fit = [e for e in self.live if now >= e.sick_until]
        warm = [e for e in fit if self._warmth(e, now) >= 1.0] or fit or self.live
        full = {e.name: self.burden.get(e.name, 0.0) / (e.part * self._warmth(e, now)) for e in warm}
        return self._with_room(s, now) or min(full, key=lambda name: (full[name], name), default=None)

    def hand_over_waits(self, now: int) -> list[HandOverWait]:
        """Slices in the middle of a hand-over, those first that have been without a line for longest. For the log."""
        waits = [
            HandOverWait(s.number, s.state, now - s.since, 0 if s.line or s.held else now - s.empty_since)
            for s in self._sorted_slices()
            if s.state != OWNED
        ]
        return sorted(waits, key=lambda wait: (-wait.without_line, -wait.age))

    def awaited(self, slice_id: int) -> list[int]:
        """Proxies that may still write to a slice's former owner, by number. For the log."""
        s = self.slices[slice_id]
        if s.state != REVOKING or s.mark is None:
            return []
        return list(self.stops.awaited(s))

    # ---- the slice's state machine: each step gives its lines

    def _revoke(self, s: Slice, now: int, target: Optional[str], at_once: bool = False) -> list[tuple]:
        """Closes the slice to writes. The owner's line stays for the other op types while the owner is
        sound: a pilot killed now leaves the old line, and levels are reset at a giving: the abort."""
        s.state, s.since, s.target, s.mark, s.overtaken_at = REVOKING, now, target, self.mark, None
        old = self.endpoints[s.owner]
        if self.can_close and not at_once and old.phase != "off" and now >= old.sick_until:
            s.closed = True
            return [("level", s.number, self.writes, 0, self.retries)]
        return self._clear(s, now)

    def _clear(self, s: Slice, now: int) -> list[tuple]:
        s.line, s.empty_since = False, now
        return [("line", s.number, s.owner, 0)]

    def _grant(self, s: Slice, now: int, owner: str) -> list[tuple]:
        self.burden[owner] = self.burden.get(owner, 0.0) + self.rate[s.number]
        lines: list[tuple] = []
        if s.line and not self.single and s.owner != owner:
            lines.append(("line", s.number, s.owner, 0))
        if not s.line or s.owner != owner:
            lines.append(("line", s.number, owner, 1))
        if s.closed:
            lines.append(("level", s.number, self.writes, 1, self.retries))
        if s.shut:
            lines.append(("level", s.number, ALL_CLASSES, 1, self.retries))
        if s.owner != owner:
            s.moved_at = self.endpoints[owner].changed_at = self.endpoints[owner].gained_at = now
            if s.owner in self.endpoints:
                self.endpoints[s.owner].changed_at = now
        s.state, s.owner, s.target, s.line, s.closed, s.since = OWNED, owner, None, True, False, now
        s.held = s.shut = False
        return lines

    def _hold(self, s: Slice) -> list[tuple]:
        """Names the former owner again with every class closed, where a proxy may still write to it: a slice must not be without a
        line for as long as the slowest proxy takes. Nothing is sent there; and if the pilot is killed now, and levels are opened by a
        giving, the one endpoint that may have writes in hand is the one that gets them."""
        self.counts.lines_held += 1
        s.held = s.shut = True
        return [("level", s.number, ALL_CLASSES, 0, self.retries), ("line", s.number, s.owner, 1)]

    def _wants_hold(self, s: Slice, now: int) -> bool:
        """Whether a slice has been without a line for as long as a hand-over may wait for the proxies."""
        return (
            self.can_close
            and s.owner in self.endpoints
            and not s.held
            and self._without_line_for_long(s, now)
        )

    def _without_line_for_long(self, s: Slice, now: int) -> bool:
        return not s.line and now - s.empty_since >= self.patience

    def _may_go_back(self, s: Slice, now: int) -> bool:
        """Whether a sound owner gets the slice back: the target has become unfit, or the proxies take too long to stop."""
        if not s.owner or self._unfit(s.owner, now) or not (s.line or s.state == SETTLING):
            return False
        stalled = s.state == REVOKING and now - s.since >= self.patience
        return (stalled or s.target is None or self._unfit(s.target, now)) and self._warmth(
            self.endpoints[s.owner], now
        ) >= 1.0

    def _due(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """(urgency, slice, step, endpoint): what a rule asks for, then grants, then revokes, then moves."""
        due: list[tuple[int, int, str, Optional[str]]] = []
        stopped: dict[tuple, Optional[int]] = {}  # slices revoked by one turn have stopped together
        fit = {e.name for e in self.live if now >= e.sick_until}
        told: dict[int, float] = {}
        for s in [s for s in self._sorted_slices() if s.state != OWNED or s.owner not in fit or s.shut]:
            n = s.number
            told[n] = self._told(s)
            overdue = now >= told[n] + self.grace - self.channel.delay
            if s.state == REVOKING:
                turn = (s.mark, s.since, s.given_at)
                if turn not in stopped:
                    stopped[turn] = self.stops.stopped(s, now)
                if (at := stopped[turn]) is not None:
                    s.state, s.since = SETTLING, at
            if s.state == SETTLING and now >= s.since + self.settle:
                s.state = EMPTY
            sound = not self._unfit(s.owner, now)
            if s.state == OWNED and s.shut:
                due.append((0, n, "shed", None))
            elif s.state == OWNED and not sound:
                urgency = 0 if overdue else 1 if self._must_leave(s.owner) else 2
                due.append((urgency, n, "revoke", None))
            elif s.state in (REVOKING, SETTLING):
                if s.line and overdue:
                    due.append((0, n, "clear", None))
                elif self._may_go_back(s, now):
                    due.append((1, n, "grant", s.owner))  # the abort
                elif self._wants_hold(s, now):
                    due.append((0, n, "hold", None))
            elif s.state == EMPTY:
                due.append((0 if self._without_line_for_long(s, now) else 1, n, "grant", None))
        return sorted(due + self._cold_excess(now), key=lambda d: (d[0], told.get(d[1], math.inf), d[1]))

    def _cold_excess(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """A restarted owner is cold with all its slices: those past its budget leave, the last one too."""
        due = []
        for e in self.live:
            warmth = self._warmth(e, now)
            limit = COLD_SHED * self.tip * warmth * self.served * self.unit * e.part
            over = self.burden.get(e.name, 0.0) - limit
            for s in self.held.get(e.name, ()) if warmth < 1.0 else ():
                if over > 0 and s.state == OWNED:
                    over -= self.rate[s.number]
                    due.append((0, s.number, "shed", None))
        return due

    # ---- the cautious mover and the level

    def _check(self, now: int) -> list[tuple[int, int, str, Optional[str]]]:
        """The moves of the newest check that still hold. One that finds no room waits for the next turn that has some: to drop
        it would be to drop the checks that led to it, and under a release no turn finds the channel without unacked lines."""
        if now >= self.check_at:
            self._plan_moves(now)
        return [
            (3, number, "move", target)
            for number, target in self.planned.items()
            if (s := self.slices.get(number))
            and s.state == OWNED
            and not self._unfit(target, now)
            and not self._unfit(s.owner, now)
        ]

    def _plan_moves(self, now: int) -> None:
        """Plans anew the moves that may go until the next check."""
        self.counts.check(now)
        self.check_at = now + self.check_every
        self._set_level([self.met[e.name] for e in self.live if now >= e.sick_until])
        load = {e.name: load for e in self.live if (load := self._load(e, now)) is not None}
        mean = sum(load.values()) / max(1, len(load))
        even = max(1e-9, sum(self.rate.values())) / max(1, len(self.live))
        empty = sum(e.name not in self.burden for e in self.live) // self.pilots  # its share of those
        most = max(MOVES_A_TURN, len(self.live) // MOVES_PART, empty)
        most = min(most, self.rights.get("", math.inf) - sum(bool(s.target) for s in self.slices.values()))
        self.planned = {}
        moving = {name for s in self.slices.values() if s.state != OWNED for name in (s.target, s.owner)}
        idle = [
            e
            for e in self.live
            if e.name not in moving
            and now - e.changed_at >= LATE + self.recent
            and not self._unfit(e.name, now)
            and self._warmth(e, now) >= 1.0
            and not self._strained(self.met[e.name])
        ]
        coolest: Optional[Endpoint] = None  # of the idle ones, until a slice is given to it
        for e in sorted(self.live, key=lambda e: (-load.get(e.name, mean), e.name)):
            full = self.burden.get(e.name, 0.0) > self.unit * e.part * (1 + MARGIN)
            hot = self._strained(self.met[e.name]) and (full or load.get(e.name, mean) > mean * (1 + MARGIN))
            e.hot_checks = e.hot_checks + 1 if hot else 0  # an endpoint with no fresh sums is not hot
            e.kept = None if not hot else KeptReason.FIRST_CHECK
            if e.hot_checks < CHECKS_RUNNING:
                continue
            moved, e.kept = 0, KeptReason.RECENTLY_MOVED
            own = [
                s
                for s in self.held.get(e.name, ())
                if s.state == OWNED and now - s.moved_at >= HOLD and now - s.given_at >= self.lease
            ]
            own.sort(key=lambda s: (-self.rate[s.number], s.number))
            for s in own:
                # Its part is its ops at the fleet's usual cost: a jammed source's own tell of its queue.
                part = mean * self.rate[s.number] / even
                if len(self.planned) >= most or moved >= MOVES_A_SOURCE:
                    e.kept = None if moved else KeptReason.MOVE_LIMIT
                    break
                coolest = coolest or min(idle, key=lambda t: (load.get(t.name, mean), t.name), default=None)
                cool = (coolest or e).name
                if cool == e.name or load.get(cool, mean) + part >= load.get(e.name, mean) - part:
                    # Where most are jammed none is far above the mean: who is past the fair share gives.
                    cool = self._with_room(s, now) if full else None
                e.kept = None if cool or moved else KeptReason.NO_TARGET
                if cool:
                    self.planned[s.number] = cool
                    load[cool] = load.get(cool, mean) + part  # so that not all go to one
                    coolest = None
                    self.burden[cool] = self.burden.get(cool, 0.0) + self.rate[s.number]
                    moved += 1

    def _load(self, e: Endpoint, now: int) -> Optional[float]:
        """Mean time of an op, by sums begun after the last move; an aborted one counts as an op timeout.
        Reports are not read: a count means little between machines, and a false nought draws slices."""
        tries, aborted, took = self._met(e, now, e.changed_at + LATE)
        return ((tries - aborted) * took + aborted * self.timeout) / tries if tries else None

    def _strained(self, met: tuple[int, int, float]) -> bool:
        """A hand-over costs seconds of writes: not for one in time that aborts no more than its peers."""
        tries, aborted, took = met
        return tries > 0 and aborted > (STRAINED + self.usual) * tries or took > WORTH_MOVING * self.tight

    def _set_level(self, met: list[tuple[int, int, float]]) -> None:
        """Only the middle endpoint's slow acks tell of overload; a few full ones are left to the mover."""
        slow = sorted(took for tries, _, took in met if tries) or [0.0]
        if slow[len(slow) // 2] > OVERLOAD * self.tight:
            self.level = max(LEVEL_LEAST, self.level * LEVEL_SHARE)
        else:
            self.level = min(1.0, self.level + LEVEL_STEP)

    # ---- the outlet: every order passes here

    def _turn(self, now: int) -> None:
        """All that is due and fits becomes one delta message a proxy, with one mark."""
        joined = sum(p.joined for p in self.proxies.values())
        channel = self.channel
        if not channel.ready(now, joined):
            return
        self.roomy = None
        channel.estimate_delay(now, joined, self.leaving)
        due = self._due(now)
        if channel.crowded(now, joined, self._lines_due(due), self.stops.heard_at):
            self.counts.waits_for_acks += 1
            return
        if now - channel.sent_at >= 2 * channel.even:  # so that a drain seldom meets a turn just gone
            due += self._check(now)
        revoked = {
            (s.mark, s.since, s.given_at): s
            for s in self._sorted_slices()
            if s.state == REVOKING and s.mark is not None
        }.values()
        unmarked = channel.fits_barrier(joined) and self._barrier_is_due(revoked, now)
        if self.can_level and self.slices and abs(self.level - self.level_sent) >= LEVEL_STEP / 2:
            due.append((3, -1, "level", None))
        if not (due or unmarked):
            return
        self.mark = (self.mark + 1) % MARKS
        lines: list[tuple] = []
        for at, (urgency, n, step, name) in enumerate(due):
            if not channel.fits(urgency, joined, len(lines)):
                self.counts.moves_without_room += sum(one[2] == "move" for one in due[at:])
                break
            lines += self._step(step, self.slices.get(n), name, now)
        if lines or unmarked:
            self.counts.turn(bool(lines))
            self.news = True
            lines.append(("mark", self.mark, True))
            self.out.extend(lines)
            channel.send(now, self.mark, joined, len(lines))
            self.newcomers.clear()
        else:
            self.mark = (self.mark - 1) % MARKS  # nothing fitted: an unsent mark would use up the ring

    def _barrier_is_due(self, revoked: Collection[Slice], now: int) -> bool:
        """Whether a barrier goes out by itself: for proxies that have joined since the last one, or as an acknowledgement may be lost."""
        if now - self.channel.sent_at >= self.ack_within:
            asked: Iterable[Proxy] = (proxy for proxy in self.proxies.values() if proxy.joined)
        else:
            asked = (self.proxies[number] for number in self.newcomers)
        return any(self.stops.stop(proxy, s) is None for proxy in asked for s in revoked)

    def _lines_due(self, due: list[tuple]) -> int:
        """Lines a proxy that a batch needs for all that a rule asks for and all grants, its barrier among them."""
        return 1 + sum(
            self._lines_of(step, self.slices[number]) for urgency, number, step, _ in due if urgency <= 1
        )

    def _lines_of(self, step: str, s: Slice) -> int:
        """Lines a proxy that a step of a slice's hand-over takes, as `_step` gives them at most."""
        if step == "hold":
            return 2
        if step != "grant":
            return 1
        return 1 + s.closed + s.shut + (s.line and not self.single)

    def _step(self, step: str, s: Optional[Slice], name: Optional[str], now: int) -> list[tuple]:
        if step == "level":
            self.level_sent = self.level
            return [("level", ALL_TABLES, 0, round(self.level, 3), self.retries)]
        if step == "move":
            self.endpoints[s.owner].hot_checks = 0
            del self.planned[s.number]
        if step in ("revoke", "move", "shed"):
            return self._revoke(s, now, name, step == "shed" or self._overdue(s, now))
        if step == "clear":
            return self._clear(s, now)
        if step == "hold":
            return self._hold(s)
        owner = name or (s.target if not self._unfit(s.target, now) else None) or self._choose(s, now)
        return self._grant(s, now, owner) if owner else []

    def _lay_tables(self, now: int) -> None:
        """Sites without slices: one table for all, or one a zone where an op type must stay in its zone."""
        zones = self.zones if self.local_ops else [""]
        warm = [e for e in self.live if self._warmth(e, now) >= 1.0] or self.live
        for t, zone in enumerate(zones):
            want = {e.name for e in warm if not zone or e.zone == zone}
            for name in sorted(want | {n for k, n in self.laid if k == t}):
                if self.laid.get((t, name), False) != (name in want) and (want or not self._must_leave(name)):
                    self.out.append(("line", t, name, self.endpoints[name].size if name in want else 0))
                    self.laid[t, name] = name in want
        for n, p in sorted(self.proxies.items()):
            t = zones.index(p.zone) if p.zone in zones else 0
            if p.joined and p.table is None and any(on for (k, _), on in self.laid.items() if k == t):
                p.table = t
                self.out.append(("install", n, 0, t))

    def next_decision(self, now: int) -> Optional[tuple]:
        if self.fresh and not self.out:
            self.fresh = False
            if self.asks and now >= self.ask_at:
                self.ask_at = now + self.ask_most
                self.out.append(("ask_list", True))
            if self.news or now >= self.weighed_at + WEIGH_EVERY:
                self._weigh_up(now)
            if self.slices_in_all:
                self._turn(now)
            else:
                self._lay_tables(now)
            self.beat += 1  # an alarm asked for earlier is passed over
            self.out.append(("wake", BEAT, self.beat))
        return self.out.popleft() if self.out else None
