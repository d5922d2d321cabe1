"""Tests of the main protocol's frames, messages and sessions."""

import pytest

from cedarshift.codec import (
    BadBody,
    BadVersion,
    FrameTooLarge,
    Identity,
    OutOfOrder,
    PeerClosed,
    Refused,
    Session,
    TooManyMessages,
    UnknownKind,
)
from cedarshift.codec import messages as m
from cedarshift.codec.frames import ENCODER, HEADER, Frames, encode, encode_order, pack_rows


def pair(pilot=None, proxy=None, **limits):
    accepts = Session(
        pilot or Identity("d", "pilot", "p0", "", b"s" * 16),
        lambda hello: m.Welcome(1),
        b"challenge",
        **limits,
    )
    dials = Session(proxy or Identity("d", "proxy", "x", "z", b"s" * 16))
    accepts.start()
    return accepts, dials


def handshake(accepts, dials):
    dials.receive(0, accepts.take_outbox())
    accepts.receive(0, dials.take_outbox())
    dials.receive(0, accepts.take_outbox())


@pytest.mark.parametrize(
    "message",
    [
        m.Hello("d", "proxy", "x", "z", b"\0\xff"),
        m.Order(3, 9, [m.Line(1, "a", 0.5, 7)], [m.Level(1, 2, 0.25, 1, 7)], 5),
        m.Snapshot([m.SliceState(1, 2, 3, "a", [m.Level(1, 2, 0.0)])]),
        m.ProxyReport([m.EndpointStats("a", 4, 1, 20, 30)], [m.SliceStats(1, 0, 3, 1, 30)]),
        m.Commit(4, [m.SliceWrite(1, 2, None, [])]),
        m.Committed(4, [m.DeniedWrite(1, 2, "epoch")]),
        m.RevokeSlices([1, 2], 9),
        m.Leave(),
    ],
)
@pytest.mark.parametrize("chunk_size", [1, 3, 1000])
def test_a_message_is_decoded_however_its_bytes_are_split(message, chunk_size):
    frames, data, got = Frames(), encode(message) * 2, []
    for at in range(0, len(data), chunk_size):
        frames.feed(data[at : at + chunk_size])
        got += frames.messages()
    assert got == [message, message]


def test_an_order_from_packed_rows_decodes_like_any_other():
    order = m.Order(3, 9, [m.Line(1, "a", 0.5, 7)], [m.Level(1, 2, 0.25, 1, 7)], 5)
    frames = Frames()
    frames.feed(encode_order(3, 9, pack_rows(order.lines), pack_rows(order.levels), 5))
    assert list(frames.messages()) == [order]


@pytest.mark.parametrize(
    "data, error",
    [
        (HEADER.pack(2 << 30, 17, 1), FrameTooLarge),
        (HEADER.pack(2, 17, 9), BadVersion),
        (HEADER.pack(2, 250, 1), UnknownKind),
        (HEADER.pack(1, 17, 1), BadBody),
        (HEADER.pack(5, 21, 1) + b"\xc1\xc1\xc1", BadBody),
        (HEADER.pack(2, 21, 1), BadBody),
        (
            encode(m.ProxyReport([m.EndpointStats("a", 1, 1, 1, 1)])).replace(
                b"\x97\xa1a\x01", b"\x97\xa1a\xff"
            ),
            BadBody,
        ),
        (b"\xff" * 6, FrameTooLarge),
    ],
)
def test_a_bad_frame_raises_its_error_and_sends_a_bye(data, error):
    accepts, dials = pair()
    handshake(accepts, dials)
    with pytest.raises(error):
        accepts.receive(0, data)
    with pytest.raises(PeerClosed, match=error.code):
        dials.receive(0, accepts.take_outbox())


def test_unknown_fields_of_a_newer_peer_are_ignored():
    body = ENCODER.encode({"n": 4, "colour": "red", "more": [1, 2]})
    frames = Frames()
    frames.feed(HEADER.pack(len(body) + 2, 19, 1) + body)
    assert list(frames.messages()) == [m.Heartbeat(4)]


@pytest.mark.parametrize(
    "identity, reason",
    [
        (Identity("other", "proxy", "x", "z", b"s" * 16), "deployment"),
        (Identity("d", "proxy", "x", "z", b"t" * 16), "proof"),
        (Identity("d", "proxy", "x", "z"), "proof"),
        (Identity("d", "proxy", "x" * 200, "z", b"s" * 16), "characters"),
        (Identity("d", "proxy", "x\n", "z", b"s" * 16), "characters"),
    ],
)
def test_a_wrong_hello_is_refused_with_the_reason(identity, reason):
    accepts, dials = pair(proxy=identity)
    with pytest.raises(Refused, match=reason):
        dials.receive(0, accepts.take_outbox())
        accepts.receive(0, dials.take_outbox())


@pytest.mark.parametrize(
    "message", [m.Hello("d", "proxy", "x"), m.Order(1), m.Welcome(1), m.AssignSlices([])]
)
def test_a_message_that_is_not_allowed_closes_the_session(message):
    accepts, dials = pair()
    handshake(accepts, dials)
    with pytest.raises(OutOfOrder):
        accepts.receive(0, encode(message))


def test_a_message_before_the_handshake_is_out_of_order():
    accepts, _ = pair()
    with pytest.raises(OutOfOrder):
        accepts.receive(0, encode(m.Heartbeat(1)))


def test_more_messages_a_second_than_allowed_close_the_session():
    accepts, dials = pair(max_messages_per_s=10)
    handshake(accepts, dials)
    accepts.receive(2_000_000, encode(m.Heartbeat(1)) * 10)
    with pytest.raises(TooManyMessages):
        accepts.receive(2_900_000, encode(m.Heartbeat(1)))
    assert accepts.state == "closed"


def test_a_ping_is_answered_by_the_session_itself():
    accepts, dials = pair()
    handshake(accepts, dials)
    assert accepts.receive(0, dials.send(m.Ping(7))) == []
    assert dials.receive(0, accepts.take_outbox()) == []


def test_messages_before_an_error_in_the_same_bytes_are_not_lost():
    accepts, dials = pair()
    handshake(accepts, dials)
    assert accepts.receive(0, encode(m.Heartbeat(1)) + encode(m.Bye("stopping", "for good"))) == [
        m.Heartbeat(1)
    ]
    with pytest.raises(PeerClosed, match="for good"):
        accepts.receive(0, b"")
