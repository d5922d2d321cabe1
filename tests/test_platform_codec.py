import json

import orjson
import pytest
from platform_parts import ENVIRONMENT, configuration, instance, listing

from cedarshift.brain import ALL_TABLES
from cedarshift.codec.platform import config, entries, events, frames, orders, reports
from cedarshift.codec.platform.errors import ConfigError, InvalidMessage, MalformedStream

OUTCOMES = {
    "t": "outcomes",
    "locality": "za",
    "endpoint": "a",
    "total": 12,
    "errors": 3,
    "rtt": 41.7,
    "interval": 2000.0,
}
SLICE_LOAD = {"t": "hot", "shard": 3, "route": "get", "total": 4, "errors": 1, "interval": 2000.0}
MISSING = object()
INVALID_VALUES = [MISSING, None, "s-zz", "nan", "", [1], {}, -3, True, 38654705664, 1e30, float("inf")]


def pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_messages_are_decoded_from_pieces_of_any_size(size):
    decoder, received = frames.FrameDecoder(), []
    for piece in pieces(frames.encode(OUTCOMES) + frames.encode(SLICE_LOAD), size):
        decoder.feed(piece)
        received += decoder.messages()
    assert received == [OUTCOMES, SLICE_LOAD] and not decoder.buffer


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\0",
        b"\xff\xff\xff\xff",
        (frames.MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"),
        b"GET / HTTP/1.1\r\n",
        b"\0\0\0\x02{]",
        b"\0\0\0\x02[]",
        b"\0\0\0\x022 ",
        b'\0\0\0\x05"\xff\xff\xff"',
    ],
)
def test_invalid_messages_are_rejected_as_soon_as_possible(data):
    decoder = frames.FrameDecoder()
    decoder.feed(data)
    with pytest.raises(MalformedStream):
        list(decoder.messages())


@pytest.mark.parametrize("valid, field", [(m, f) for m in (OUTCOMES, SLICE_LOAD) for f in m if f != "t"])
@pytest.mark.parametrize("value", INVALID_VALUES)
def test_an_invalid_report_is_rejected_with_its_field(valid, field, value):
    message = {k: v for k, v in {**valid, field: value}.items() if v is not MISSING}
    with pytest.raises(InvalidMessage, match=field):
        reports.parse_outcomes(message, {"za"}, {"a"}) if valid is OUTCOMES else reports.parse_slice_load(
            message, 8, ["get"]
        )


def test_reports_are_converted_to_tenths_of_a_millisecond_and_extra_fields_ignored():
    assert reports.parse_outcomes({**OUTCOMES, "metrics": {"util": 1}, "new": []}, {"za"}, {"a"}) == (
        "a",
        "za",
        12,
        3,
        417,
        20_000,
    )
    assert reports.parse_slice_load({**SLICE_LOAD, "new": None}, 8, ["get"]) == (3, "get", 4, 1, 20_000)
    assert reports.parse_slice_load({**SLICE_LOAD, "total": 0, "errors": 5}, 8, ["get"])[2:4] == (
        0,
        5,
    )  # includes ops of the previous interval
    with pytest.raises(InvalidMessage, match="errors"):
        reports.parse_outcomes({**OUTCOMES, "errors": 13}, {"za"}, {"a"})


@pytest.mark.parametrize(
    "decision, text",
    [
        (("line", 4, "s-5", 1), "share,4,s-5,1"),
        (("line", 4, "s-5", 0), "share,4,s-5,0"),
        (("level", 4, 2, 0, 1), "admit,4,put,0,1"),
        (("level", 4, 3, 1, 0), "admit,4,get+put,1,0"),
        (("level", ALL_TABLES, 0, 0.857, 0), "admit,*,*,0.857,0"),
        (("mark", 905, True), "mark,905,1"),
    ],
)
def test_a_decision_as_an_order(decision, text):
    assert orders.encode_order(decision, ["get", "put"], ALL_TABLES).text == text


def test_an_order_holds_the_resulting_line_and_the_order_that_reopens():
    line, gone = (orders.encode_order(("line", 4, "a", w), [], ALL_TABLES) for w in (1, 0))
    shut, opened = (orders.encode_order(("level", 4, 2, w, 0), ["get", "put"], ALL_TABLES) for w in (0, 1))
    assert (line.line, gone.line, shut.line) == ("a", "", None)
    assert (shut.reopen_order, opened.reopen_order, line.reopen_order) == ("admit,4,put,1,0", "", "")


@pytest.mark.parametrize("length", [10, 59_999, 60_000])
def test_calls_hold_no_more_than_the_relay_takes_and_the_mark_goes_last(length):
    pending = [orders.Order(0, "x" * length) for _ in range(40)] + [orders.Order(None, "mark,1,1")]
    calls = []
    while pending:
        count = orders.count_fitting(pending)
        calls.append(";".join(one.text for one in pending[:count]))
        pending = pending[count:]
    assert all(len(call) <= orders.MAX_ORDERS_BYTES for call in calls) and calls[-1].endswith("mark,1,1")


def response_xml(inner):
    return f'<?xml version="1.0"?>\n<Response><entries><item>{inner}</item></entries></Response>'.encode()


@pytest.mark.parametrize(
    "body, answer",
    [
        (response_xml("<ok_count>2</ok_count>"), orders.CallResponse(2)),
        (response_xml("<ok_count> 0\n</ok_count>"), orders.CallResponse(0)),
        (
            b"<Response><Errors><Error><Code>BUSY</Code></Error></Errors></Response>",
            orders.CallResponse(None, "BUSY"),
        ),
    ],
)
def test_answers(body, answer):
    assert orders.parse_response(body, 2) == answer


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"<Response>",
        b"\xff\xfe",
        response_xml(""),
        response_xml("<ok_count>3</ok_count>"),
        response_xml("<ok_count>-1</ok_count>"),
        response_xml("<ok_count>x</ok_count>"),
        response_xml("<ok_count>1</ok_count><ok_count>1</ok_count>"),
        b"{}",
        b"<!DOCTYPE a [<!ENTITY b '1'>]><Response><ok_count>&b;</ok_count></Response>",
        b"<a>" + b" " * orders.MAX_RESPONSE_BYTES + b"</a>",
    ],
)
def test_malformed_responses_are_rejected(body):
    with pytest.raises(MalformedStream):
        orders.parse_response(body, 2)


@pytest.mark.parametrize("size", [1, 5, 1000])
def test_events_are_decoded_from_pieces_of_any_size(size):
    stream, received = events.EventStreamDecoder(), []
    for piece in pieces(
        b":\n\nevent: ack\r\ndata: node=17&nonce=905&latency=310.4\r\n\r\n:\n\nevent: bye\ndata: node=1\n\n",
        size,
    ):
        received += stream.feed(piece)
    assert (
        received == [("ack", "node=17&nonce=905&latency=310.4"), ("bye", "node=1")] and stream.heartbeats == 2
    )
    parsed = events.parse_fields(received[0][1])
    assert (events.proxy(parsed), events.mark(parsed), events.latency(parsed)) == (17, 905, 3104)


@pytest.mark.parametrize("data", [b"x" * 70_000, b"data: x\n" * 70_000, b"data: \xff\n"])
def test_unbounded_or_undecodable_event_streams_are_rejected(data):
    with pytest.raises(MalformedStream):
        list(events.EventStreamDecoder().feed(data))


@pytest.mark.parametrize(
    "data",
    [
        "",
        "node=1&nonce=-1&latency=1",
        "node=x&nonce=1&latency=1",
        "node=1&nonce=1&latency=nan",
        "node=1&nonce=1&latency=-5",
        "node=1&nonce=1",
        "node=1&nonce=70000&latency=1",
    ],
)
def test_invalid_events_are_rejected(data):
    parsed = events.parse_fields(data)
    with pytest.raises(InvalidMessage):
        events.proxy(parsed), events.mark(parsed), events.latency(parsed)


@pytest.mark.parametrize("size", [1, 11, 10_000])
def test_lists_are_decoded_from_pieces_of_any_size(size):
    body = (
        b"\n"
        + orjson.dumps(listing(9, instance("a", "draining")))
        + b"\n\n"
        + orjson.dumps(listing(10, instance("b", started=1_700_000_000_123, zone="zb"), reset=True))
        + b"\n"
    )
    lines, received = entries.ListDecoder(), []
    for piece in pieces(body, size):
        received += lines.feed(piece)
    assert [(one.revision, one.is_snapshot) for one in received] == [(9, False), (10, True)]
    assert received[0].entries == [entries.Entry("a", "fading", 1.0, "za", None)]
    assert received[1].entries == [entries.Entry("b", "on", 1.0, "zb", 17_000_000_001_230)]


@pytest.mark.parametrize(
    "invalid, where",
    [
        ({"generation": -1}, "generation"),
        ({"reset": None}, "reset"),
        ({"instances": {}}, "instances"),
        ({"instances": [instance("a"), {**instance("b"), "lifecycle": "up"}]}, r"instances\[1\].lifecycle"),
        ({"instances": [{**instance("b"), "instanceId": 4}]}, r"instances\[0\].instanceId"),
        ({"instances": [7]}, r"instances\[0\]"),
        ({"instances": [instance("b", zone=[1])]}, "zone"),
        ({"instances": [instance("b;clear,4")]}, "instanceId"),
        ({"instances": [{**instance("b"), "startedAtMs": -5}]}, r"startedAtMs"),
        ({"instances": [{**instance("b"), "weight": "1"}]}, "weight"),
    ],
)
def test_an_invalid_list_is_rejected_with_its_path(invalid, where):
    with pytest.raises(InvalidMessage, match=where):
        entries.parse_list({**listing(4, instance("a")), **invalid})


@pytest.mark.parametrize(
    "changes, where",
    [
        ({"registry": {}}, "registry.address"),
        ({"registry": {"address": "nowhere"}}, "registry.address.*host:port"),
        ({"discovery": "127.0.0.1:0"}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {"family_info": {}}}, "ranges"),
        ({"settings": {"family_info": {"ranges": "many"}}}, "settings"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"known": listing(-1)}, "known.generation"),
        ({"known": listing(1, {"instanceId": "a"})}, r"known.instances\[0\].lifecycle"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_file_and_path(changes, where):
    with pytest.raises(ConfigError, match=f"config.json: .*{where}"):
        config.parse_config(ENVIRONMENT, json.dumps(configuration(**changes)).encode())
    for unreadable in (b"", b"{", b"[]", b"\xff"):
        with pytest.raises(ConfigError, match="config.json:"):
            config.parse_config(ENVIRONMENT, unreadable)


@pytest.mark.parametrize(
    "wrong",
    [{"RELAY_NAME": ""}, {"RELAY_LISTEN": "here"}, {"RELAY_DISCOVERY": "x:99999"}, {"RELAY_CONFIG": ""}],
)
def test_missing_and_invalid_variables_are_reported_by_name(wrong):
    good = {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": "127.0.0.1:8081",
        "RELAY_DISCOVERY": "127.0.0.1:8500",
        "RELAY_CONFIG": "c",
    }
    assert config.parse_environment(good).listen == ("127.0.0.1", 8081)
    with pytest.raises(ConfigError, match=next(iter(wrong))):
        config.parse_environment({**good, **wrong})


def test_a_configuration_is_parsed():
    parsed = config.parse_config(ENVIRONMENT, json.dumps(configuration()).encode())
    assert (
        parsed.relay == ("127.0.0.1", 6400)
        and parsed.max_sockets == 256
        and parsed.initial_list.revision == 7
    )
    assert (
        parsed.terms.slices == 4 and parsed.terms.seed == 0x8C1F30D27A5BE964 and parsed.terms.lease == 8_000
    )
