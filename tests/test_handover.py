"""Hand-over of a slice over real sockets, from a drain report to the grant, disturbed at each step."""

import json

import pytest
from platform_parts import SETTINGS, instance, listing
from scripted_peers import CHUNKED, SECOND, AnsweringRelay, Stage, chunk, frame, snapshot_text

from cedarshift.brain import MARK_MODULUS

LEASE, SETTLE_TIME = 0.8, 1.0  # s
POLL_INTERVAL = 0.025  # s
OWNERS = {0: "a", 1: "b", 2: "c", 3: "b"}


class Scene:
    """Three endpoints, two proxies and four slices; `a` owns slice 0. Time advances in polling intervals."""

    def __init__(self, settings=SETTINGS):
        zones = settings["zones"]
        known = listing(
            7, *(instance(name, zone=zones[at % len(zones)]) for at, name in enumerate("abc")), reset=True
        )
        self.stage = Stage(known=known, settings=settings)
        self.relay = AnsweringRelay(self.stage)
        self.relay.snapshot = snapshot_text(slices=OWNERS, zone=zones[0])
        self.watch = self.stage.discovery.accept()
        self.watch.request()
        self.watch.send(CHUNKED + chunk("\n"))
        self.polls = 0
        self.run(1.5)
        assert len(self.stage.loop.reported("standing")) == 1

    def run(self, seconds):
        for _ in range(round(seconds / POLL_INTERVAL)):
            self.stage.loop.clock.time += int(POLL_INTERVAL * SECOND)
            self.stage.loop.settle(wait=0)
            self.relay.poll()
            self.stage.loop.settle(wait=0)
            self.polls += 1
            if self.polls % 20 == 0:
                self.watch.send(chunk("\n"))
                if self.relay.stream is not None and not self.relay.stream.poll().ended:
                    self.relay.stream.send(chunk(":\n\n"))
        return self

    def until(self, found, within=6.0):
        """Advances time until `found` returns a value."""
        for _ in range(round(within / POLL_INTERVAL)):
            if (got := found()) is not None:
                return got
            self.run(POLL_INTERVAL)
        raise AssertionError("what is waited for has not come")

    def list(self, revision, *instances):
        self.watch.send(chunk(json.dumps(listing(revision, *instances)) + "\n"))

    def ordered(self, start, since=0):
        """(time in s, order) of the first order with a prefix, from number `since` on; None without one."""
        return next(
            ((at / SECOND, one) for at, one in self.relay.orders[since:] if one.startswith(start)), None
        )

    def revoke(self, writes="put"):
        """Drains `a` and waits for the revoke of slice 0; returns the number of its mark."""
        self.list(8, instance("a", "draining"))
        at, _ = self.until(lambda: self.ordered(f"admit,0,{writes},0,"))
        return self.mark_since(at)

    def mark_since(self, at, within=6.0):
        """Waits for a mark ordered at or after a time in s; returns its number."""
        _, mark = self.until(
            lambda: next(
                ((t, one) for t, one in self.relay.orders if t >= at * SECOND and one.startswith("mark,")),
                None,
            ),
            within,
        )
        return int(mark.split(",")[1])

    def older_mark(self):
        """Orders a mark older than any later revoke's; returns its number."""
        number = (self.stage.brain.mark - 1) % MARK_MODULUS
        self.stage.order(("mark", number, True))
        self.until(lambda: self.ordered(f"mark,{number},"))
        return number

    def ack(self, proxy, mark, at=None):
        """Sends an acknowledgement now, for a mark applied now or at `at`.

        The latency states the time since the relay received the mark.
        """
        applied = self.stage.loop.now() if at is None else int(at * SECOND)
        taken_at = next((at for at, one in self.relay.orders if one.startswith(f"mark,{mark},")), applied)
        latency = (applied - taken_at) / 1_000
        self.relay.send(("ack", f"node={proxy}&nonce={mark}&latency={latency}"))

    def now(self):
        return self.stage.loop.now() / SECOND

    def grant(self, within=6.0):
        """Waits for the first grant of slice 0; returns (time, endpoint)."""
        at, order = self.until(
            lambda: next(
                (
                    (t / SECOND, one)
                    for t, one in self.relay.orders
                    if one.startswith("share,0,") and one.endswith(",1")
                ),
                None,
            ),
            within,
        )
        return at, order.split(",")[2]

    def grants(self):
        """All grants of slice 0."""
        return [one for _, one in self.relay.orders if one.startswith("share,0,") and one.endswith(",1")]


@pytest.fixture
def scene():
    scene = Scene()
    yield scene
    loop = scene.stage.loop
    assert (
        not loop.reported("task_failed")
        and not loop.reported("module_failed")
        and not loop.reported("timer_failed")
    )


def test_a_grant_waits_for_the_last_proxy_s_ack_and_the_settle_time(scene):
    mark = scene.revoke()
    scene.ack(0, mark)
    scene.run(0.5)
    scene.ack(1, mark)
    last = scene.now()
    at, endpoint = scene.grant()
    assert last + SETTLE_TIME - 0.01 <= at <= last + SETTLE_TIME + 0.5 and endpoint in ("b", "c")
    scene.run(2)
    assert len(scene.grants()) == 1 and scene.stage.pilot.slices[0] == endpoint


@pytest.mark.parametrize(
    "acks", ["twice by one", "of an older mark", "of no mark", "of a proxy that is not joined"]
)
def test_no_other_ack_replaces_a_missing_one(scene, acks):
    older = scene.older_mark()
    mark = scene.revoke()
    scene.ack(0, mark)
    proxy, number = {
        "twice by one": (0, mark),
        "of an older mark": (1, older),
        "of no mark": (1, (mark + 300) % MARK_MODULUS),
        "of a proxy that is not joined": (7, mark),
    }[acks]
    scene.ack(proxy, number)
    scene.run(LEASE + SETTLE_TIME + 0.6)
    assert not scene.grants()
    scene.ack(1, mark)
    last = scene.now()
    assert scene.grant()[0] >= last + SETTLE_TIME - 0.01


@pytest.mark.parametrize("late", ["the same again", "an older one"])
def test_a_late_or_repeated_ack_does_not_change_the_time_of_the_grant(scene, late):
    older = scene.older_mark()
    mark = scene.revoke()
    scene.run(0.1)
    scene.ack(0, mark)
    both = scene.now()
    scene.run(0.4)
    scene.ack(0, mark if late == "the same again" else older)
    scene.run(0.1)
    scene.ack(1, mark, at=both)  # arrives late
    assert both + SETTLE_TIME - 0.01 <= scene.grant()[0] <= both + SETTLE_TIME + 0.2


def test_a_proxy_that_leaves_is_awaited_for_its_lease_only(scene):
    mark = scene.revoke()
    scene.ack(0, mark)
    scene.relay.send(("bye", "node=1"))
    left = scene.now()
    at, _ = scene.grant()
    assert left + LEASE + SETTLE_TIME - 0.01 <= at <= left + LEASE + SETTLE_TIME + 0.5


def test_a_proxy_that_comes_back_within_its_lease_still_has_to_ack(scene):
    mark = scene.revoke()
    scene.ack(0, mark)
    scene.relay.send(("bye", "node=1"))
    scene.run(LEASE / 2)
    scene.relay.send(("hello", "node=1&locality=za&w=2.5&cold=0"))
    back = scene.now()
    scene.run(LEASE + SETTLE_TIME)
    assert not scene.grants()
    scene.ack(1, scene.mark_since(back - POLL_INTERVAL))
    last = scene.now()
    assert scene.grant()[0] >= last + SETTLE_TIME - 0.01


@pytest.mark.parametrize("anyone_acked", [True, False])
def test_a_proxy_that_joins_is_awaited_unless_the_store_held_the_revoke(scene, anyone_acked):
    """A joining proxy reads the store, which held the revoke if any proxy had acked its mark by then."""
    mark = scene.revoke()
    if anyone_acked:
        scene.ack(0, mark)
    scene.relay.send(("hello", "node=2&locality=za&w=2.5&cold=1"))
    joined = scene.now()
    if not anyone_acked:
        scene.ack(0, mark)
    scene.ack(1, mark)
    last = scene.now()
    if not anyone_acked:
        scene.run(SETTLE_TIME + 0.5)
        assert not scene.grants()
        scene.ack(2, scene.mark_since(joined + 0.001, within=0.5))
        last = scene.now()
    assert last + SETTLE_TIME - 0.01 <= scene.grant()[0] <= last + SETTLE_TIME + 0.5


@pytest.mark.parametrize("line", ["a", "c", ""])
def test_a_reassigned_slice_follows_the_line_in_the_store(scene, line):
    mark = scene.revoke()
    scene.ack(0, mark)
    events = [("lease", "shard=0&set=0"), ("lease", "shard=0&set=1")]
    if line:
        events.append(("line", f"shard=0&endpoint={line}&w=1.0"))
    scene.relay.send(*events)
    back = scene.now()
    scene.ack(1, mark)  # of the interrupted hand-over
    if line == "c":
        scene.run(3)
        assert not scene.grants() and scene.stage.brain.slices[0].owner == "c"
    elif line == "":
        assert scene.grant()[0] >= back + LEASE + SETTLE_TIME - 0.01
    else:  # still draining: revoked again, and only acks of the new mark count
        second = scene.mark_since(back + 0.001)
        scene.run(SETTLE_TIME + 0.5)
        assert not scene.grants()
        for proxy in (0, 1):
            scene.ack(proxy, second)
        last = scene.now()
        assert scene.grant()[0] >= last + SETTLE_TIME - 0.01


@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_an_endpoint_that_leaves_just_before_a_grant_is_not_granted(scene, phase):
    mark = scene.revoke()
    for proxy in (0, 1):
        scene.ack(proxy, mark)
    scene.run(SETTLE_TIME - 2 * POLL_INTERVAL)
    assert not scene.grants()
    scene.list(9, instance("b", phase))
    assert scene.grant()[1] == "c"


def test_an_owner_that_is_ready_again_before_the_grant_keeps_its_slice_and_its_writes(scene):
    mark = scene.revoke()
    scene.ack(0, mark)
    scene.list(9, instance("a"))
    at, _ = scene.until(lambda: scene.ordered("admit,0,put,1,"))
    scene.ack(1, mark)
    scene.run(LEASE + SETTLE_TIME + 0.5)
    assert not scene.grants() and not scene.ordered("share,0,") and scene.stage.brain.slices[0].owner == "a"


@pytest.mark.parametrize("fate, again", [("lost", True), ("unheard", True)])
def test_a_revoke_with_a_lost_answer_counts_from_when_it_was_carried_out(scene, fate, again):
    scene.relay.script = [fate]
    mark = scene.revoke()
    carried_out = scene.ordered("admit,0,put,0,")[0]
    for proxy in (0, 1):
        scene.ack(proxy, mark)
    last = scene.now()
    at, _ = scene.grant()
    assert at >= max(last, carried_out) + SETTLE_TIME - 0.01
    assert len(scene.grants()) == 1


@pytest.mark.parametrize("when", ["before the acks", "between the acks", "in the settle time"])
def test_a_stream_reset_during_a_hand_over_does_not_hasten_the_grant(scene, when):
    mark = scene.revoke()
    if when != "before the acks":
        scene.ack(0, mark)
    if when == "in the settle time":
        scene.ack(1, mark)
        last = scene.now()
        scene.run(SETTLE_TIME / 2)
    scene.relay.stream.reset()
    scene.relay.stream = None
    scene.until(lambda: len(scene.stage.loop.reported("standing")) == 2 or None)
    if when != "in the settle time":
        scene.run(0.2)
        for proxy in (0, 1):
            scene.ack(proxy, mark)
        last = scene.now()
    assert scene.grant()[0] >= last + SETTLE_TIME - 0.01
    assert len(scene.grants()) == 1


def test_a_grant_with_a_lost_answer_is_repeated_for_the_same_owner_only(scene):
    mark = scene.revoke()
    for proxy in (0, 1):
        scene.ack(proxy, mark)
    scene.run(SETTLE_TIME - POLL_INTERVAL)
    scene.relay.script = ["unheard"]
    at, endpoint = scene.grant()
    scene.relay.snapshot = snapshot_text(slices={**OWNERS, 0: endpoint})
    scene.relay.stream.reset()
    scene.relay.stream = None
    scene.run(3)
    assert set(scene.grants()) == {f"share,0,{endpoint},1"}
    assert scene.stage.brain.slices[0].owner == scene.stage.pilot.slices[0] == endpoint


def renamed(classes, zones):
    """The same settings under other names."""
    return {
        **SETTINGS,
        "zones": zones,
        "classes": [{**one, "name": name} for one, name in zip(SETTINGS["classes"], classes)],
    }


def orders_of_scenario(settings):
    """Reports an overloaded owner and slow classes, then drains it and hands its slice over.

    Returns (time, order) of all orders, under the names of `SETTINGS`.
    """
    scene = Scene(settings)
    names, zones = [one["name"] for one in settings["classes"]], settings["zones"]
    collector = scene.stage.connect().send(frame(t="agent", locality=zones[0]))
    for period in range(6):
        for at, endpoint in enumerate("abc"):
            for far, zone in enumerate(zones):  # the path from the second zone loses half of all ops
                collector.send(
                    frame(
                        t="outcomes",
                        locality=zone,
                        endpoint=endpoint,
                        total=60,
                        errors=(period * 9 * at) % 30 + 30 * far,
                        rtt=900.0 + 700 * at + 900 * far,
                        interval=2000.0,
                    )
                )
        for number in range(4):
            for at, name in enumerate(names):
                collector.send(
                    frame(
                        t="hot",
                        shard=number,
                        route=name,
                        total=20 + 9 * number,
                        errors=at * number,
                        interval=2000.0,
                    )
                )
        scene.run(2)
    mark = scene.revoke(names[1])
    for proxy in (0, 1):
        scene.ack(proxy, mark)
    scene.grant()
    assert scene.stage.pilot.collectors.counts["spoilt"] == 0 and scene.stage.pilot.collectors.counts[
        "reports"
    ] == 6 * (6 + 8)
    back = dict(zip(names, (one["name"] for one in SETTINGS["classes"])))
    return [
        (
            at,
            ",".join("+".join(back.get(name, name) for name in part.split("+")) for part in order.split(",")),
        )
        for at, order in scene.relay.orders
    ]


def test_names_of_classes_and_zones_do_not_affect_decisions():
    first = orders_of_scenario(SETTINGS)
    assert any(order.startswith("admit,*,") for _, order in first) and any(
        ",put,0," in order for _, order in first
    )
    for classes, zones in ((["zz-read", "aa-write"], ["south", "north"]), (["put", "get"], ["zb", "za"])):
        other = orders_of_scenario(renamed(classes, zones))
        assert [order for _, order in other] == [order for _, order in first]
