"""Tests the ZooKeeper codec, and the client, source and registration against the stand-in ensemble."""

import struct

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from program import SECOND, virtual_loop
from zoo import MEMBER_SERVERS, PATH, SERVERS, ZooKeeperHarness

from cedarshift.codec.zookeeper import Code, ProtocolError, ZooKeeperError
from cedarshift.codec.zookeeper import records as r
from cedarshift.codec.zookeeper.jute import Frames, check_path, decode, encode
from cedarshift.codec.zookeeper.session import EXPIRED, ClientSession, Reply, ServerSession
from cedarshift.loop import listen
from cedarshift.roster import members as members_module
from cedarshift.roster.formats import InvalidNode, Member, read_member, write_member
from cedarshift.roster.zookeeper import ZooKeeperClient

STAT = r.Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
OPEN_ACL = [r.Acl(31, r.Id("world", "anyone"))]
# (record, encoding in hex), written by hand from zookeeper.jute.
VECTORS = [
    (
        r.ConnectRequest(0, 0, 6000, 0, b"\0" * 16),
        "00000000000000000000000000001770000000000000000000000010" + "00" * 16,
    ),
    (r.RequestHeader(1, r.GET_CHILDREN2), "000000010000000c"),
    (r.WatchRequest("/a", True), "000000022f6101"),
    (
        r.Create("/a", b"x", OPEN_ACL, r.EPHEMERAL),
        "000000022f610000000178000000010000001f00000005776f726c6400000006616e796f6e6500000001",
    ),
    (r.Delete("/a", -1), "000000022f61ffffffff"),
    (r.ReplyHeader(1, 0x100000002, -101), "000000010000000100000002ffffff9b"),
    (r.WatchEvent(r.DELETED, r.CONNECTED, "/a"), "0000000200000003000000022f61"),
    (r.AddWatch("/a", r.WATCH_RECURSIVE), "000000022f6100000001"),
    (r.SetData("/a", None, 0), "000000022f61ffffffff00000000"),
    (
        STAT,
        "0000000000000001"
        "0000000000000002"
        "0000000000000003"
        "0000000000000004"
        "00000005"
        "00000006"
        "00000007"
        "0000000000000008"
        "00000009"
        "0000000a"
        "000000000000000b",
    ),
]


@pytest.mark.parametrize("record, raw", VECTORS)
def test_records_are_the_specifications_bytes(record, raw):
    assert encode(record).hex() == raw and decode(bytes.fromhex(raw), type(record)) == record


@pytest.mark.parametrize(
    "kind, raw",
    [
        (r.WatchRequest, "ffffff9c2f6101"),
        (r.WatchRequest, "7fffffff2f6101"),
        (r.WatchRequest, "000000022f6102"),
        (r.WatchRequest, "000000022f610100"),
        (r.WatchRequest, "00000002fffe01"),
        (r.ChildrenReply, "7fffffff"),
        (r.ChildrenReply, "fffffffe"),
        (r.DataReply, "f0000000"),
        (r.WatchRequest, "000000022f"),
        (r.Stat, "00" * 67),
        (r.WatchRequest, "00001001" + "61" * 4097 + "01"),
    ],
)
def test_garbage_is_refused_without_being_kept(kind, raw):
    with pytest.raises(ProtocolError):
        decode(bytes.fromhex(raw), kind)


@pytest.mark.parametrize("head", ["ffffffff", "7fffffff", "00400001"])
def test_a_frame_of_a_negative_or_a_huge_length_is_refused_at_its_head(head):
    with pytest.raises(ProtocolError):
        Frames().feed(bytes.fromhex(head))


@given(st.lists(st.binary(max_size=40), max_size=8), st.lists(st.integers(0, 200), max_size=8))
def test_frames_are_the_same_however_the_stream_is_cut(payloads, cuts):
    raw = b"".join(struct.pack(">i", len(p)) + p for p in payloads)
    places = sorted({0, len(raw), *(c for c in cuts if c < len(raw))})
    frames, got = Frames(), []
    for a, b in zip(places, places[1:]):
        got += frames.feed(raw[a:b])
    assert got == payloads


@given(st.binary(max_size=200))
def test_random_bytes_end_in_an_error_or_a_record_and_in_nothing_else(raw):
    for kind in (r.ChildrenReply, r.Create, r.AclReply, r.SetWatches2):
        try:
            decode(raw, kind)
        except ProtocolError:
            pass


@pytest.mark.parametrize(
    "path, wrong",
    [
        ("/", ""),
        ("/a/b", ""),
        ("/é", ""),
        ("a", "begin"),
        ("/a/", "empty"),
        ("//", "empty"),
        ("/a/../b", "'..'"),
        ("/a/./b", "'.'"),
        ("/a\0", "character"),
        ("/" + "x" * 5000, "longer"),
        ("/a" * 70, "deeper"),
    ],
)
def test_paths(path, wrong):
    assert (wrong in check_path(path)) if wrong else check_path(path) == ""


def opened(last_zxid=0):
    """Returns a connected client and server session."""
    client, server = ClientSession(4000, last_zxid=last_zxid), ServerSession()
    server.feed(client.connect_request())
    client.feed(server.connect_response(4000, 7, b"p" * 16))
    return client, server


@pytest.mark.parametrize(
    "op, body, answer",
    [
        (r.CREATE2, r.Create("/a", b"", OPEN_ACL, 0), r.Created2("/a", STAT)),
        (r.DELETE, r.Delete("/a", -1), None),
        (r.GET_DATA, r.WatchRequest("/a", True), r.DataReply(b"x", STAT)),
        (r.GET_CHILDREN, r.WatchRequest("/", False), r.ChildrenReply(["a", "b"])),
        (r.GET_ACL, r.PathRecord("/a"), r.AclReply(OPEN_ACL, STAT)),
        (r.SET_ACL, r.SetAcl("/a", OPEN_ACL, -1), r.StatReply(STAT)),
        (r.SYNC, r.PathRecord("/a"), r.PathRecord("/a")),
        (r.SET_WATCHES, r.SetWatches(3, ["/a"], [], ["/"]), None),
        (r.SET_WATCHES2, r.SetWatches2(3, ["/a"], [], [], ["/p"], ["/r"]), None),
        (r.AUTH, r.Auth(0, "digest", b"u:p"), None),
        (r.ADD_WATCH, r.AddWatch("/a", 1), r.ErrorReply(0)),
        (r.CLOSE, None, None),
        (r.REMOVE_WATCHES, r.RemoveWatches("/a", 3), None),
        (
            r.MULTI,
            r.Multi([(r.CHECK, r.Check("/a", 1)), (r.CREATE, r.Create("/b", b"", OPEN_ACL, 0))]),
            r.MultiReply([(r.CHECK, None, 0), (r.CREATE, r.Created("/b"), 0)]),
        ),
        (
            r.MULTI,
            r.Multi([(r.DELETE, r.Delete("/a", 1)), (r.SET_DATA, r.SetData("/b", b"", 0))]),
            r.MultiReply([(r.ERROR, None, 0), (r.ERROR, None, -101)]),
        ),
    ],
)
def test_requests_and_replies_round_trip(op, body, answer):
    client, server = opened()
    xid, raw = client.request(op, body)
    (request,) = server.feed(raw)
    assert (request.xid, request.op, request.body) == (xid, op, body)
    (reply,) = client.feed(server.reply(xid, 9, 0, answer))
    assert reply == Reply(xid, op, 9, 0, answer) and client.last_zxid == 9


def test_session_zero_means_that_the_session_has_expired():
    client, server = ClientSession(4000, session=9), ServerSession()
    server.feed(client.connect_request())
    client.feed(server.connect_response(0, 0, b"\0" * 16))
    assert client.state == EXPIRED


@pytest.mark.parametrize(
    "frames, said",
    [
        (lambda s: s.reply(5, 9, 0, r.Created("/a")), "xid 5"),
        (lambda s: s.reply(r.XID_PING, 9, 0), "ping"),
        (lambda s: s.event(r.WatchEvent(r.DELETED, 3, "/b")), "is not watched"),
        (lambda s: s.reply(1, 2, 0, r.StatReply(STAT)), "zxid decreased"),
        (
            lambda s: s.reply(1, 9, 0, r.StatReply(STAT)) + s.reply(1, 9, 0, r.StatReply(STAT)),
            "expected xid: none",
        ),
        (lambda s: s.reply(1, 9, 0, r.Created("/a")), "stated"),
        (lambda s: b"\xff\xff\xff\xf0", "frame of"),
    ],
)
def test_a_protocol_violation_by_the_server_ends_the_connection(frames, said):
    client, server = opened(last_zxid=5)
    client.request(r.EXISTS, r.WatchRequest("/a", True))
    with pytest.raises(ProtocolError, match=said):
        client.feed(frames(server))


def test_an_operation_that_is_unknown_is_answered_and_an_endless_multi_refused():
    client, server = opened()
    (got,) = server.feed(struct.pack(">iii", 8, 1, 16))
    assert got.error_code == Code.UNIMPLEMENTED
    with pytest.raises(ProtocolError):
        server.feed(client.request(r.MULTI, r.Multi([(r.CHECK, r.Check("/a", 1))] * 1001))[1])


# ---- node formats


@pytest.mark.parametrize("form", ["serverset", "curator", "plain"])
@pytest.mark.parametrize("phase", ["on", "fading"])
def test_a_member_is_read_as_it_was_written(form, phase):
    member = Member("host:80", phase, 2.5, "north", "boot-7")
    assert read_member(write_member(member, form, "tiles"), form) == member


@pytest.mark.parametrize(
    "form, raw, wanted",
    [
        (
            "serverset",
            '{"serviceEndpoint":{"host":"a","port":1},"additionalEndpoints":{},"status":"ALIVE","shard":3}',
            Member("a:1", "on", 1.0, "", ""),
        ),
        (
            "serverset",
            '{"serviceEndpoint":{"host":"a","port":1},"status":"STOPPING"}',
            Member("a:1", "fading", 1.0, "", ""),
        ),
        (
            "serverset",
            '{"serviceEndpoint":{"host":"a","port":1},"status":"STARTING"}',
            Member("a:1", "off", 1.0, "", ""),
        ),
        (
            "curator",
            '{"name":"t","id":"x","address":"a","port":1,"sslPort":null,"payload":null,"registrationTimeUTC":5}',
            Member("a:1", "on", 1.0, "", ""),
        ),
        (
            "curator",
            '{"name":"t","address":"a","port":null,"sslPort":443,"enabled":false,"payload":{"weight":"3"}}',
            Member("a:443", "fading", 3.0, "", ""),
        ),
        ("plain", '{"endpoint":"e","size":2,"start":4}', Member("e", "on", 2.0, "", "4")),
    ],
)
def test_common_node_formats_are_read(form, raw, wanted):
    assert read_member(raw.encode(), form) == wanted


def test_an_additional_endpoint_can_be_selected():
    raw = b'{"serviceEndpoint":{"host":"a","port":1},"additionalEndpoints":{"admin":{"host":"a","port":9}}}'
    assert read_member(raw, "serverset", "admin").endpoint == "a:9"
    with pytest.raises(InvalidNode, match="additionalEndpoints"):
        read_member(raw, "serverset", "thrift")


@pytest.mark.parametrize(
    "form, raw, said",
    [
        ("plain", b"", "no data"),
        ("plain", None, "no data"),
        ("plain", b"[1]", "list"),
        ("plain", b"{", "JSON"),
        ("plain", b"{}", "endpoint"),
        ("plain", b"\xff\xfe", "JSON"),
        ("plain", b'{"endpoint":"e","size":0}', "above 0"),
        ("plain", b'{"endpoint":"e","phase":"up"}', "phase"),
        ("serverset", b'{"serviceEndpoint":{"host":"a","port":70000}}', "70000"),
        ("serverset", b"{}", "missing"),
        ("serverset", b'{"serviceEndpoint":{"host":"a","port":1},"status":"ODD"}', "ODD"),
        ("plain", b" " * 70_000, "70000 bytes"),
        ("curator", b'{"address":"a","port":1,"enabled":"yes"}', "enabled"),
        ("curator", b'{"address":"a","port":1,"payload":[]}', "payload"),
    ],
)
def test_a_broken_node_is_refused_with_the_reason(form, raw, said):
    with pytest.raises(InvalidNode, match=said):
        read_member(raw, form)


# ---- the source against the ensemble

WATCH_MODES = pytest.mark.parametrize("recursive", [True, False])
FORMS = pytest.mark.parametrize("form", ["serverset", "curator", "plain"])


@WATCH_MODES
@FORMS
def test_members_come_drain_and_leave(recursive, form):
    zoo = ZooKeeperHarness(form, recursive, members=3)
    assert zoo.on() == ["h:9000", "h:9001", "h:9002"] and zoo.source.confirmed is not None
    zoo.members["h:9000"].drain()
    zoo.run(0.2)
    assert zoo.listed["h:9000"].phase == "fading"
    zoo.loop.spawn(zoo.members["h:9000"].leave(), "leave")
    zoo.run(0.2)
    assert zoo.listed["h:9000"].phase == "off"  # a drained member is not held back
    zoo.member("h:9009")
    zoo.run(1)
    assert zoo.on() == ["h:9001", "h:9002", "h:9009"]


@WATCH_MODES
@pytest.mark.parametrize("count", [1, 30, 300])
def test_sessions_that_expire_and_come_back_within_a_second_change_nothing(recursive, count):
    zoo = ZooKeeperHarness(recursive=recursive, members=count, hold=3 * SECOND)
    before = dict(zoo.listed)
    zoo.updates.clear()
    zoo.expire_sessions(*zoo.members)
    zoo.run(8)
    assert zoo.updates == [] and zoo.listed == before and len(zoo.on()) == count
    assert zoo.source.tracker.counts["returned"] == count and zoo.source.tracker.counts["restarts"] == 0


@WATCH_MODES
def test_a_killed_member_is_told_gone_a_hold_after_its_node_has_left(recursive):
    zoo = ZooKeeperHarness(recursive=recursive, members=2)
    zoo.members["h:9000"].stop()
    zoo.run(1.2)
    assert zoo.on() == ["h:9000", "h:9001"] and not zoo.source.tracker.gone  # its session has not expired
    zoo.run(0.9)
    vanished = zoo.source.tracker.gone["h:9000"].since
    zoo.run(2)
    assert zoo.on() == ["h:9001"]
    at = next(at for at, name, phase in zoo.updates if name == "h:9000" and phase == "off")
    assert 0 <= at - vanished - SECOND < 10_000


@WATCH_MODES
@pytest.mark.parametrize("between", [0, 1_000, 20_000])
def test_a_node_that_is_made_anew_between_the_event_and_the_reading(recursive, between):
    """Guards against a lost update: the node is deleted and created again before it is read."""
    zoo = ZooKeeperHarness(recursive=recursive, members=2, delay=5_000)
    path, data = f"{PATH}/x", write_member(Member("x:1", "on", 1.0, "z", "1"), "plain")
    zoo.ensemble.commit([("create", path, data, OPEN_ACL, 0)])
    zoo.run(1)
    zoo.updates.clear()
    zoo.ensemble.commit([("delete", path)])
    zoo.run(between / SECOND)
    newer = data.replace(b'"start":"1"', b'"start":"2"')
    zoo.ensemble.commit([("create", path, newer, OPEN_ACL, 0)])
    zoo.run(3)
    assert "x:1" in zoo.on() and zoo.phases("x:1") == ["on"]  # a restart, not a disappearance
    assert zoo.source.tracker.nodes["x"].start == "2" and not zoo.source.tracker.gone


@WATCH_MODES
def test_a_session_goes_on_at_another_server_without_a_lost_or_a_doubled_event(recursive):
    zoo = ZooKeeperHarness(recursive=recursive, members=5)
    session = zoo.source.client.session
    zoo.updates.clear()
    zoo.ensemble.control({"drop": [0, 1, 2]})
    zoo.ensemble.commit([("delete", f"{PATH}/h:9001")])
    zoo.run(0.01)
    zoo.members["h:9002"].drain()
    zoo.run(4)
    assert zoo.source.client.session == session and zoo.source.client.counts["expiries"] == 0
    assert zoo.on() == [
        "h:9000",
        "h:9001",
        "h:9003",
        "h:9004",
    ]  # the deleted node was created again by its member
    assert [phase for _, _, phase in zoo.updates].count("off") <= 1


@WATCH_MODES
def test_an_expired_reader_reads_all_anew_and_the_list_stands_meanwhile(recursive):
    zoo = ZooKeeperHarness(recursive=recursive, members=4)
    zoo.updates.clear()
    zoo.ensemble.control({"cut": [0, 1, 2]})
    zoo.source.client.read_only = False
    zoo.run(6)  # all sessions have expired
    assert zoo.on() == ["h:9000", "h:9001", "h:9002", "h:9003"] and zoo.source.client.state == "disconnected"
    assert zoo.loop.now() - zoo.source.confirmed > 5 * SECOND
    zoo.members["h:9003"].stop()
    zoo.ensemble.control({"heal": [0, 1, 2]})
    zoo.run(8)
    assert zoo.source.client.counts["expiries"] == 1 and zoo.on() == ["h:9000", "h:9001", "h:9002"]
    assert zoo.phases("h:9003") == ["off"] and zoo.source.watcher.recursive == recursive


def test_a_server_that_is_cut_off_is_read_and_left_when_one_that_writes_is_found():
    zoo = ZooKeeperHarness(members=2)
    zoo.ensemble.control({"cut": [0, 1, 2]})
    zoo.run(1)
    assert zoo.source.client.state == "read-only"
    confirmed = zoo.source.confirmed
    zoo.run(1)
    assert zoo.source.confirmed == confirmed  # a read-only server confirms nothing
    other = [n for n, place in enumerate(SERVERS) if place != zoo.source.client.server]
    for server in other:
        zoo.ensemble.servers[server].cut = False
    zoo.run(6)
    assert zoo.source.client.state == "connected" and zoo.source.confirmed > confirmed


def test_an_older_server_is_refused_by_its_zxid_and_an_ensemble_that_went_back_is_begun_anew():
    zoo = ZooKeeperHarness(members=2)
    zoo.ensemble.servers[1].lag = zoo.ensemble.servers[2].lag = 20 * SECOND
    zoo.member("h:9005")
    zoo.run(1)
    zoo.ensemble.control({"drop": [0]})
    zoo.run(2)
    assert zoo.source.client.server == SERVERS[0] and "h:9005" in zoo.on()
    zoo.ensemble.control({"reset": True})
    zoo.run(12)
    assert zoo.reports("source_went_back") and zoo.source.client.state == "connected"
    assert set(zoo.on()) == {"h:9000", "h:9001", "h:9005"}


def test_a_lagging_server_delays_changes_but_loses_none():
    zoo = ZooKeeperHarness(members=2)
    number = SERVERS.index(zoo.source.client.server)
    zoo.ensemble.servers[number].lag = 20 * SECOND
    zoo.member("h:9007")
    zoo.run(10)
    assert "h:9007" not in zoo.on()
    zoo.run(12)
    assert "h:9007" in zoo.on()


def test_thirty_vanish_during_a_deploy_while_ten_of_them_drain():
    zoo = ZooKeeperHarness(members=40, hold=SECOND)
    names = sorted(zoo.members)
    for name in names[:10]:
        zoo.members[name].drain()
    zoo.run(0.5)
    zoo.updates.clear()
    for n in range(30):
        zoo.member(f"s:{n}", start="cold")
    zoo.expire_sessions(*names[:30])
    for name in names[:30]:
        zoo.members[name].stop()
    zoo.run(0.4)
    off = {name for _, name, phase in zoo.updates if phase == "off"}
    assert off == set(names[:10])  # the drained ones; the others are held back
    zoo.run(2)
    (report,) = zoo.reports("mass_vanishing")
    assert report["vanished"] == 20 and report["own_session"] == "lived"
    assert {name for _, name, phase in zoo.updates if phase == "off"} == set(names[:30])
    assert zoo.on() == sorted(names[30:] + [f"s:{n}" for n in range(30)])
    assert all(zoo.listed[f"s:{n}"].started is not None for n in range(30))


def test_the_whole_ensembles_restart_empties_no_pool_that_acks():
    zoo = ZooKeeperHarness(members=3)
    for name in zoo.members:
        for _ in range(3):
            zoo.source.on_sums(name, 20, 0)
    zoo.ensemble.control({"expire": "all"})
    for member in zoo.members.values():
        member.stop()
    zoo.run(3)
    assert zoo.on() == sorted(zoo.members) and zoo.source.status()["vanished"][0]["in_doubt"]
    assert zoo.reports("mass_vanishing")[0]["own_session"] == "expired too"
    zoo.source.on_sums("h:9000", 20, 20)  # lost operations show that it is dead
    zoo.run(0.1)
    assert zoo.on() == ["h:9001", "h:9002"]
    zoo.member("n:1")
    zoo.run(1)
    assert zoo.on() == ["n:1"]  # with another member present the grace period applies


def test_a_herd_of_300_is_read_with_bounded_calls_in_flight(monkeypatch):
    zoo = ZooKeeperHarness(delay=2_000)
    most = []
    real = members_module.ChildrenWatcher._read_dirty

    def counting_reads(self):
        task = real(self)
        value = None
        while True:
            try:
                value = task.send(value)
            except StopIteration:
                return
            most.append(len(zoo.source.client.calls))
            yield value

    monkeypatch.setattr(members_module.ChildrenWatcher, "_read_dirty", counting_reads)
    for n in range(300):
        zoo.member(f"h:{n}")
    zoo.run(3)
    assert len(zoo.on()) == 300 and 0 < max(most) <= members_module.MAX_IN_FLIGHT + 2


def test_one_broken_node_is_named_and_leaves_the_others_in_force():
    zoo = ZooKeeperHarness(members=2)
    zoo.ensemble.commit([("create", f"{PATH}/odd", b"{", OPEN_ACL, 0)])
    zoo.run(0.5)
    assert zoo.on() == ["h:9000", "h:9001"] and "odd" in zoo.reports("node_refused")[0]["node"]
    zoo.ensemble.commit([("set", f"{PATH}/h:9000", b"[]")])  # a valid node keeps its last data
    zoo.run(0.5)
    assert zoo.on() == ["h:9000", "h:9001"] and set(zoo.source.refused) == {"odd", "h:9000"}


def test_a_denied_path_is_a_plain_message_and_is_read_once_it_is_allowed():
    zoo = ZooKeeperHarness(members=1)
    guarded = [r.Acl(31, r.Id("digest", "other:hash"))]
    zoo.ensemble.commit([("acl", PATH, guarded)])
    zoo.source.stop()
    zoo.source = zoo.reader(2)
    zoo.listed.clear()
    zoo.run(2)
    assert "ACL denies" in zoo.source.status()["denied"] and zoo.on() == []
    zoo.ensemble.commit([("acl", PATH, OPEN_ACL)])
    zoo.run(10)
    assert zoo.on() == ["h:9000"] and zoo.source.status()["denied"] == ""


@pytest.mark.parametrize("credential, state", [(b"p0:secret", "connected"), (b"nonsense", "refused")])
def test_digest_credentials(credential, state):
    zoo = ZooKeeperHarness(auth=(("digest", credential),))
    assert state in [fields["state"] for fields in zoo.reports("source_state")]
    assert bool(zoo.reports("source_auth_refused")) == (state == "refused")
    zoo.run(5)
    assert zoo.source.client.counts["connects"] < 12  # no busy reconnect loop


def test_a_guarded_member_is_changed_by_itself_alone():
    zoo = ZooKeeperHarness(reader=False)
    zoo.member("h:1", auth=(("digest", b"m:pw"),))
    zoo.run(1)
    heard = []
    other = ZooKeeperClient(
        zoo.loop, SERVERS, 2 * SECOND, lambda: 0.3, lambda state: None, lambda event: None, zoo.loop.report
    )
    zoo.run(0.5)

    def attempt():
        try:
            yield from other.call(r.SET_DATA, r.SetData(f"{PATH}/h:1", b"", -1))
        except ZooKeeperError as error:
            heard.append(error.code)

    zoo.loop.spawn(attempt(), "tries")
    zoo.run(0.5)
    assert heard == [Code.NO_AUTH]


def test_a_path_that_is_not_there_yet_is_an_empty_list_and_is_seen_when_it_is_made():
    for recursive in (True, False):
        zoo = ZooKeeperHarness(recursive=recursive)
        assert zoo.source.published and zoo.on() == []
        zoo.member("h:1")
        zoo.run(1)
        assert zoo.on() == ["h:1"], recursive


def test_servers_before_3_6_are_watched_one_by_one(monkeypatch):
    from cedarshift.standins import ensemble

    real = ensemble.Server._read

    def without_add_watch(self, connection, request):
        if request.op == r.ADD_WATCH:
            raise ZooKeeperError(Code.UNIMPLEMENTED)
        return real(self, connection, request)

    monkeypatch.setattr(ensemble.Server, "_read", without_add_watch)
    zoo = ZooKeeperHarness(members=2)
    assert zoo.on() == ["h:9000", "h:9001"] and zoo.reports("source_one_shot")
    zoo.member("h:3")
    zoo.run(1)
    assert "h:3" in zoo.on()


def test_the_saved_list_serves_until_a_server_answers_and_is_then_replaced(tmp_path):
    saved = str(tmp_path / "list.json")
    zoo = ZooKeeperHarness(members=2, saved=saved)
    zoo.source.stop()
    zoo.ensemble.control({"cut": [0, 1, 2]})
    zoo.read_only = False
    zoo.listed.clear()
    zoo.source = zoo.reader(3)
    zoo.run(1)
    assert zoo.on() == ["h:9000", "h:9001"] and zoo.source.confirmed is None
    zoo.members["h:9001"].stop()
    zoo.ensemble.control({"heal": [0, 1, 2]})
    zoo.run(6)
    assert zoo.on() == ["h:9000"]


# ---- the client against servers that misbehave


class MisbehavingServer:
    """Accepts sessions, then answers each request with the bytes from `respond(codec)`."""

    def __init__(self, loop, respond):
        self.loop, self.respond, self.sessions = loop, respond, 0
        self.listener = listen(loop, SERVERS[0])
        loop.spawn(self.serve(), "server")

    def serve(self):
        while True:
            stream = yield from self.listener.accept()
            self.sessions += 1
            self.loop.spawn(self.serve_session(stream), "server session")

    def serve_session(self, stream):
        codec = ServerSession()
        codec.feed((yield from stream.read()))
        stream.write(codec.connect_response(2000, 7, b"p" * 16))
        while (yield from stream.read()):
            stream.write(self.respond(codec))


@pytest.mark.parametrize(
    "respond",
    [
        lambda s: b"\xff\xff\xff\xff",
        lambda s: b"\x7f\xff\xff\xff",
        lambda s: s.reply(99, 1, 0),
        lambda s: b"",
        lambda s: s.event(r.WatchEvent(r.DELETED, 3, "/x")),
        lambda s: s.reply(1, 1, 0) + b"\0\0\0\1",
    ],
)
def test_a_client_backs_off_from_a_misbehaving_server(respond):
    loop = virtual_loop()
    misbehaving = MisbehavingServer(loop, respond)
    failed = []
    client = ZooKeeperClient(
        loop, [SERVERS[0]], 2 * SECOND, lambda: 0.5, lambda state: None, lambda event: None, loop.report
    )

    def poll():
        while True:
            try:
                yield from client.call(r.EXISTS, r.WatchRequest("/a", False))
            except ZooKeeperError as error:
                failed.append(error.code)
            yield from loop.sleep(20_000)

    loop.spawn(poll(), "asks")
    loop.run(loop.spawn(loop.sleep(20 * SECOND), "wait"))
    assert failed and set(failed) <= {Code.CONNECTION_LOSS, Code.SESSION_EXPIRED}
    assert 2 <= misbehaving.sessions < 60 and not [e for e, _ in loop.events if e == "task_failed"]


def test_reconnect_delays_grow_up_to_a_maximum():
    loop = virtual_loop()
    tried = []
    real = loop.network.dial
    loop.network.dial = lambda address: tried.append(loop.now()) or real(address)
    ZooKeeperClient(
        loop, SERVERS, 2 * SECOND, lambda: 0.999, lambda state: None, lambda event: None, loop.report
    )
    loop.run(loop.spawn(loop.sleep(60 * SECOND), "wait"))
    waits = [b - a for a, b in zip(tried, tried[1:])]
    assert 60 < len(tried) < 130 and max(waits) <= 2 * SECOND + 10_000 and max(waits[:6]) < 300_000


# ---- registration


@FORMS
def test_a_member_is_registered_again_after_its_session_has_expired(form):
    zoo = ZooKeeperHarness(form, members=1)
    first = zoo.members["h:9000"].node
    zoo.expire_sessions("h:9000")
    zoo.run(4)
    member = zoo.members["h:9000"]
    assert (
        member.registered
        and member.counts["created"] == 2
        and (form == "plain" or form == "curator" or member.node != first)
    )


def test_a_node_that_someone_deletes_is_made_again_and_what_someone_writes_stands():
    zoo = ZooKeeperHarness(members=1)
    zoo.ensemble.commit([("delete", f"{PATH}/h:9000")])
    zoo.run(0.5)
    assert zoo.on() == ["h:9000"] and zoo.phases("h:9000") == ["on"]
    zoo.ensemble.commit([("set", f"{PATH}/h:9000", b'{"endpoint":"h:9000","phase":"fading"}')])
    zoo.run(1)
    assert zoo.listed["h:9000"].phase == "fading"
    zoo.ensemble.commit([("delete", f"{PATH}/h:9000")])  # the watch is renewed after a change
    zoo.run(1)
    assert zoo.members["h:9000"].counts["created"] == 3


@pytest.mark.parametrize("form", ["serverset", "plain"])
def test_a_create_whose_answer_is_lost_is_not_done_twice(form, monkeypatch):
    from cedarshift.standins import ensemble

    real, lost = ensemble.Server.serve, []

    def drop_first_reply(self, connection, request):
        real(self, connection, request) if request.op != r.CREATE or lost or "/h:" not in str(
            request.body
        ) and "member_" not in str(request.body) else lost.append(
            self.ensemble.write(connection, request.op, request.body)
        ) or connection.stream.close()

    monkeypatch.setattr(ensemble.Server, "serve", drop_first_reply)
    zoo = ZooKeeperHarness(form, members=1)
    zoo.run(4)
    assert lost and zoo.members["h:9000"].counts["adopted"] == 1
    assert len(zoo.ensemble._children()) == 1 and zoo.on() == ["h:9000"]


def test_a_restarted_process_replaces_the_node_that_its_life_before_left():
    zoo = ZooKeeperHarness(members=1)
    zoo.members["h:9000"].stop()
    again = zoo.member("h:9000", start="2")
    zoo.run(1)
    assert again.registered and zoo.reports("register_replaces")
    assert (
        zoo.on() == ["h:9000"] and zoo.listed["h:9000"].started is not None
    )  # a new start, so it may be cold
    zoo.run(4)
    assert zoo.on() == ["h:9000"]


# ---- random faults

FAULT = st.one_of(
    st.tuples(st.just("new"), st.integers(0, 5)),
    st.tuples(st.just("leave"), st.integers(0, 5)),
    st.tuples(st.just("drain"), st.integers(0, 5)),
    st.tuples(st.just("kill"), st.integers(0, 5)),
    st.tuples(st.just("expire"), st.integers(0, 5)),
    st.tuples(st.just("expire_reader"), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 2)),
    st.tuples(st.just("heal"), st.integers(0, 2)),
    st.tuples(st.just("lag"), st.integers(0, 2)),
    st.tuples(st.just("drop"), st.integers(0, 2)),
    st.tuples(st.just("part"), st.integers(0, 5)),
    st.tuples(st.just("join"), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 40)),
)


def apply_fault(zoo, what, n):
    name, member = f"h:{n}", zoo.members.get(f"h:{n}")
    if what == "new" and member is None:
        zoo.member(name)
    elif what in ("leave", "kill") and member is not None:
        del zoo.members[name]
        if what == "leave":
            zoo.loop.spawn(member.leave(), "leave")
        else:
            member.stop()
    elif what == "drain" and member is not None and member.registered and member.client.state == "connected":
        member.drain()
    elif what == "expire" and member is not None and member.client.session:
        zoo.expire_sessions(name)
    elif what == "expire_reader" and zoo.source.client.session:
        zoo.ensemble.control({"expire": [f"{zoo.source.client.session:#x}"]})
    elif what in ("cut", "heal", "drop"):
        zoo.ensemble.control({what: [n]})
    elif what == "part":  # cut the network between members and ensemble, for at least 4 s
        zoo.loop.network.refused_addresses.update(MEMBER_SERVERS)
        zoo.ensemble.control({"drop": [3, 4, 5]})
        zoo.run(4)
    elif what == "join":
        zoo.loop.network.refused_addresses.clear()
    elif what == "lag":
        zoo.ensemble.control({"lag_ms": {str(n): 700 if not zoo.ensemble.servers[n].lag else 0}})
    elif what == "wait":
        zoo.run(n / 10)


@WATCH_MODES
@settings(max_examples=30, deadline=None)
@example(steps=[("new", 1), ("new", 2), ("wait", 20), ("part", 0), ("wait", 10)])
@example(steps=[("new", 1), ("wait", 20), ("expire_reader", 0), ("part", 0), ("kill", 1), ("wait", 30)])
@given(steps=st.lists(FAULT, max_size=25))
def test_after_random_faults_the_list_matches_the_nodes_and_no_pool_was_empty(recursive, steps):
    """Running members acknowledge operations, killed ones lose them."""
    zoo = ZooKeeperHarness(recursive=recursive, separate_networks=True)
    late, empty, ever = [], [], set()

    def inspect():
        while True:
            now = zoo.loop.now()
            ever.update(zoo.on())
            serving = [n for n in ever if n in zoo.members and zoo.members[n].member.phase == "on"]
            for name in ever:
                zoo.source.on_sums(name, 20, 0 if name in zoo.members else 20)
            late.extend(
                name
                for name, one in zoo.source.tracker.gone.items()
                if now > one.until + 10_000 and name not in zoo.source.tracker.retained
            )
            if serving and not zoo.on() and not any(zoo.listed[n].phase == "fading" for n in serving):
                empty.append((now, serving))
            yield from zoo.loop.sleep(50_000)

    zoo.loop.spawn(inspect(), "inspect")
    for what, n in [*steps, ("join", 0)]:
        apply_fault(zoo, what, n)
    zoo.ensemble.control({"heal": [0, 1, 2], "lag_ms": {"0": 0, "1": 0, "2": 0}})
    zoo.run(20)
    registered = {name for name, member in zoo.members.items() if member.registered}
    assert registered == set(zoo.members)
    there = {
        zoo.source.tracker.nodes[name].endpoint: zoo.source.tracker.nodes[name].phase
        for name in zoo.source.tracker.nodes
    }
    assert set(zoo.ensemble._children()) == set(zoo.source.tracker.nodes)
    assert {name: entry.phase for name, entry in zoo.listed.items() if entry.phase != "off"} == there
    assert set(there) == set(zoo.members) and not late and not empty
    assert not [fields for event, fields in zoo.loop.events if event == "task_failed"]


def test_outdated_reads_are_not_reported():
    zoo = ZooKeeperHarness(members=1)
    updates = []
    watcher = members_module.ChildrenWatcher(
        zoo.loop,
        PATH,
        True,
        lambda name: True,
        lambda *told_now: updates.append(told_now),
        zoo.loop.report,
        lambda: 0.5,
    )
    batch = members_module.Batch()
    batch.seen = {"x": members_module.NodeData(b"", 0, 1), "y": members_module.NodeData(b"", 0, 2)}
    watcher.dirty["x"] = None
    watcher._flush(batch)
    assert [set(seen) for seen, _, _ in updates] == [{"y"}] and set(watcher.nodes) == {"y"}


@WATCH_MODES
def test_an_update_whose_reading_was_cut_off_is_read_again(recursive):
    zoo = ZooKeeperHarness(recursive=recursive, members=2, delay=5_000)
    zoo.ensemble.commit(
        [("create", f"{PATH}/x", write_member(Member("x:1", "on", 1.0, "z", "1"), "plain"), OPEN_ACL, 0)]
    )
    zoo.run(1)
    zoo.ensemble.commit([("set", f"{PATH}/x", write_member(Member("x:1", "fading", 1.0, "z", "1"), "plain"))])
    while not any(call.op == r.GET_DATA for call in zoo.source.client.calls):
        zoo.run(0.001)
    zoo.ensemble.control({"drop": [0, 1, 2]})
    zoo.run(4)
    assert zoo.listed["x:1"].phase == "fading" and zoo.source.client.counts["expiries"] == 0


def test_many_changes_are_saved_together_and_the_last_before_a_stop_too(tmp_path, monkeypatch):
    from cedarshift.roster.sources import SavedList

    writes = []
    real = SavedList.write
    monkeypatch.setattr(SavedList, "write", lambda self: writes.append(len(self.entries)) or real(self))
    zoo = ZooKeeperHarness(members=1, saved=str(tmp_path / "list.json"))
    zoo.run(2)
    before = len(writes)
    for n in range(50):
        zoo.ensemble.commit(
            [
                (
                    "create",
                    f"{PATH}/x{n}",
                    write_member(Member(f"x:{n + 1}", "on", 1.0, "z", "1"), "plain"),
                    OPEN_ACL,
                    0,
                )
            ]
        )
        zoo.run(0.02)
    zoo.run(1.5)
    assert 1 <= len(writes) - before <= 3 and writes[-1] == 51
    zoo.ensemble.commit(
        [("create", f"{PATH}/y", write_member(Member("y:1", "on", 1.0, "z", "1"), "plain"), OPEN_ACL, 0)]
    )
    zoo.run(0.1)
    zoo.source.stop()
    assert writes[-1] == 52 and "y:1" in (tmp_path / "list.json").read_text()
