"""Authenticated gossip messages between members, one per datagram or per stream frame. Free of I/O.

The header consists of a magic number, the version, a tag of the deployment and an HMAC-SHA256 of the body,
truncated to 16 bytes (RFC 2104), under a key derived from the deployment's secret. The body is parsed only
after the HMAC is verified. Without a secret the HMAC detects corruption and other deployments, but does not
authenticate the sender.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import Iterable, Optional

import msgspec

from cedarshift.codec.input_buffer import InputBuffer

MAGIC = b"cG"
VERSION = 1
HEADER = struct.Struct(">2sB8s16s")  # magic, version, deployment tag, HMAC
MAX_DATAGRAM_BYTES = 1_400  # fits an Ethernet frame, with room for tunnel headers
MAX_FRAME_BYTES = 1 << 20  # of a message in a stream, without the length field
FRAME_HEADER = struct.Struct(">I")  # length of the message
MIN_BODY_BYTES = 8
MAX_NAME_LENGTH = 64  # characters
MAX_RECORDS = 100_000  # members, observations and verdicts per body
MAX_RIDER_BYTES = 480  # of one rider's payload, leaves room for records in a datagram
MAX_RIDERS = 64  # per body

# Kinds of messages.
PING, ACK, PING_REQUEST, NACK, UPDATE, FULL_STATE, FULL_STATE_REPLY = range(1, 8)


class MemberRecord(msgspec.Struct, array_like=True):
    """What the sender knows of a member.

    `start`: number of the process, higher after each restart. `left`: it has left the deployment."""

    name: str
    start: int
    left: bool
    incarnation: int


class ObservationRecord(msgspec.Struct, array_like=True):
    """Whether `observer` hears `subject`.

    `age`: us, by the sender's clock, since the sign of life was sent or the silence was detected."""

    observer: str
    subject: str
    observer_start: int
    seq: int
    age: int
    observer_incarnation: int
    hears: bool
    start: int
    incarnation: int


class VerdictRecord(msgspec.Struct, array_like=True):
    """A majority decision that a member is dead; `side`: number of members on the deciding side."""

    name: str
    start: int
    incarnation: int
    side: int


class RiderRecord(msgspec.Struct, array_like=True):
    """Data of another subsystem, piggybacked on gossip; the newest replaces older ones.

    `age`: us since the data was current."""

    name: str
    start: int
    seq: int
    age: int
    payload: bytes


class Body(msgspec.Struct, array_like=True):
    """A gossip message. `start` and `incarnation` are those of the sender.

    `seq` numbers the messages of this process of the sender. `nonce`: copied from a ping or ping request to
    its answer. `subject`: the member that a ping request or its answer concerns. `digest`: of all member
    records and verdicts of the sender."""

    kind: int
    sender: str
    start: int
    incarnation: int
    seq: int
    nonce: int = 0
    subject: str = ""
    digest: int = 0
    members: list[MemberRecord] = []
    observations: list[ObservationRecord] = []
    verdicts: list[VerdictRecord] = []
    riders: list[RiderRecord] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class InvalidMessage(Exception):
    """A rejected message; `why` is "short", "long", "foreign", "version", "proof" or "body".

    "foreign": not gossip, or of another deployment. "proof": the HMAC does not match. "body": it cannot be
    decoded or a field is out of range."""

    def __init__(self, why: str, reason: str = "") -> None:
        super().__init__(f"{why}: {reason}" if reason else why)
        self.why = why


class Seal:
    """Authenticates and verifies the messages of one deployment."""

    def __init__(self, deployment: str, secret: bytes) -> None:
        self.tag = hashlib.blake2b(deployment.encode(), digest_size=8).digest()
        self.key = hmac.new(secret, b"cedarshift gossip " + deployment.encode(), hashlib.sha256).digest()

    def close(self, body: Body) -> bytes:
        """Encodes a body and prepends the authenticated header."""
        raw = ENCODER.encode(body)
        return HEADER.pack(MAGIC, VERSION, self.tag, self._proof(raw)) + raw

    def open(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Body:
        """Verifies and decodes a message of at most `max_bytes`. Raises InvalidMessage."""
        if len(data) < HEADER.size + MIN_BODY_BYTES:
            raise InvalidMessage("short")
        if len(data) > max_bytes:
            raise InvalidMessage("long")
        magic, version, tag, proof = HEADER.unpack_from(data)
        if magic != MAGIC or tag != self.tag:
            raise InvalidMessage("foreign")
        if version != VERSION:
            raise InvalidMessage("version", f"{version}, expected {VERSION}")
        raw = data[HEADER.size :]
        if not hmac.compare_digest(proof, self._proof(raw)):
            raise InvalidMessage("proof")
        try:
            body = DECODER.decode(raw)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidMessage("body", str(error)) from None
        error_text = _validation_error(body)
        if error_text:
            raise InvalidMessage("body", error_text)
        return body

    def _proof(self, raw: bytes) -> bytes:
        return hmac.digest(self.key, raw, "sha256")[:16]


def _validation_error(body: Body) -> str:
    """Describes the first invalid field; empty if the body is valid."""
    if not PING <= body.kind <= FULL_STATE_REPLY:
        return f"kind {body.kind}"
    if not 0 < len(body.sender) <= MAX_NAME_LENGTH:
        return f"a sender name of {len(body.sender)} characters, 1 to {MAX_NAME_LENGTH} are allowed"
    if len(body.members) + len(body.observations) + len(body.verdicts) > MAX_RECORDS:
        return f"more than {MAX_RECORDS} records"
    numbers = [body.start, body.incarnation, body.seq, body.nonce]
    numbers += [n for m in body.members for n in (m.start, m.incarnation)]
    numbers += [
        n for o in body.observations for n in (o.observer_start, o.seq, o.age, o.start, o.incarnation)
    ]
    numbers += [n for v in body.verdicts for n in (v.start, v.incarnation, v.side)]
    numbers += [n for r in body.riders for n in (r.start, r.seq, r.age)]
    if len(body.riders) > MAX_RIDERS or any(len(r.payload) > MAX_RIDER_BYTES for r in body.riders):
        return f"more than {MAX_RIDERS} riders, or one over {MAX_RIDER_BYTES} bytes"
    return "a number below 0 or not below 2^63" if any(not 0 <= n < 1 << 63 for n in numbers) else ""


def length_prefixed(sealed: bytes) -> bytes:
    """Prepends the length of an encoded message, for sending it over a stream."""
    return FRAME_HEADER.pack(len(sealed)) + sealed


class Frames:
    """Splits a byte stream into messages. Raises InvalidMessage as soon as a length is out of range."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = InputBuffer()

    def feed(self, data: bytes) -> Iterable[bytes]:
        """Adds received bytes; yields the messages that are complete."""
        self.buffer.append(data)
        while (message := self._next()) is not None:
            yield message

    def _next(self) -> Optional[bytes]:
        if len(self.buffer) < FRAME_HEADER.size:
            return None
        (length,) = FRAME_HEADER.unpack(self.buffer.peek(FRAME_HEADER.size))
        if not 0 < length <= self.max_bytes:
            raise InvalidMessage("long", f"a frame of {length} bytes, 1 to {self.max_bytes} are allowed")
        end = FRAME_HEADER.size + length
        if len(self.buffer) < end:
            return None
        return self.buffer.take(end)[FRAME_HEADER.size :]
