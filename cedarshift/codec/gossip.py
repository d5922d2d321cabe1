"""What members say to each other: sealed bodies, one a datagram, or one a frame of a stream. Free of I/O.

A seal is the magic, the version, a tag of the deployment and a proof (HMAC-SHA256, RFC 2104, cut to 16 bytes, RFC 2104
section 5) over the body by a key from the deployment's secret. Nothing behind it is looked at before the proof holds. Where
the deployment has no secret the proof tells damage and foreign deployments, but keeps nobody out.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import Iterable, Optional

import msgspec

MAGIC = b"cG"
VERSION = 1
HEADER = struct.Struct(">2sB8s16s")
MAX_DATAGRAM_BYTES = 1_400  # bytes: fits an Ethernet frame with room for tunnels
MAX_FRAME_BYTES = 1 << 20  # bytes of a frame of a stream: the whole roll of 10,000 members
FRAME_HEADER = struct.Struct(">I")
MIN_BODY_BYTES = 8  # bytes
MAX_NAME_LENGTH = 64  # characters of a member's name
MAX_RECORDS = 100_000  # of a body
MAX_RIDER_BYTES = 480  # bytes of a rider: one leaves room for the records of a datagram
MAX_RIDERS = 64  # of a body

PING, ACK, PING_REQUEST, NACK, UPDATE, FULL_STATE, FULL_STATE_REPLY = range(1, 8)


class MemberRecord(msgspec.Struct, array_like=True):
    name: str
    start: int
    left: bool
    incarnation: int


class ObservationRecord(msgspec.Struct, array_like=True):
    """`age`: us since its proof of life was sent, or since the silence was found, by the sender's clock."""

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
    name: str
    start: int
    incarnation: int
    side: int


class RiderRecord(msgspec.Struct, array_like=True):
    """What another subsystem of a pilot tells all the others: the newest of each alone counts. `age`: us since it held."""

    name: str
    start: int
    seq: int
    age: int
    payload: bytes


class Body(msgspec.Struct, array_like=True):
    """`seq`: counts what this life of the sender has sent. `about`: whom a help, or its answer, is about. `digest`: of all
    words and verdicts that the sender holds."""

    kind: int
    sender: str
    start: int
    incarnation: int
    seq: int
    nonce: int = 0
    about: str = ""
    digest: int = 0
    words: list[MemberRecord] = []
    edges: list[ObservationRecord] = []
    verdicts: list[VerdictRecord] = []
    riders: list[RiderRecord] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class InvalidMessage(Exception):
    """Bytes that are not taken: `why` is "short", "long", "foreign", "version", "proof" or "body"."""

    def __init__(self, why: str, reason: str = "") -> None:
        super().__init__(f"{why}: {reason}" if reason else why)
        self.why = why


class Seal:
    """Of one deployment."""

    def __init__(self, deployment: str, secret: bytes) -> None:
        self.tag = hashlib.blake2b(deployment.encode(), digest_size=8).digest()
        self.key = hmac.new(secret, b"cedarshift gossip " + deployment.encode(), hashlib.sha256).digest()

    def close(self, body: Body) -> bytes:
        raw = ENCODER.encode(body)
        return HEADER.pack(MAGIC, VERSION, self.tag, self._proof(raw)) + raw

    def open(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Body:
        """Raises NotOurs; a body is parsed only once its proof holds."""
        if len(data) < HEADER.size + MIN_BODY_BYTES:
            raise InvalidMessage("short")
        if len(data) > max_bytes:
            raise InvalidMessage("long")
        magic, version, tag, proof = HEADER.unpack_from(data)
        if magic != MAGIC or tag != self.tag:
            raise InvalidMessage("foreign")
        if version != VERSION:
            raise InvalidMessage("version", f"{version}, {VERSION} is spoken here")
        raw = data[HEADER.size :]
        if not hmac.compare_digest(proof, self._proof(raw)):
            raise InvalidMessage("proof")
        try:
            body = DECODER.decode(raw)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidMessage("body", str(error)) from None
        wrong = _validation_error(body)
        if wrong:
            raise InvalidMessage("body", wrong)
        return body

    def _proof(self, raw: bytes) -> bytes:
        return hmac.digest(self.key, raw, "sha256")[:16]


def _validation_error(body: Body) -> str:
    if not PING <= body.kind <= FULL_STATE_REPLY:
        return f"kind {body.kind}"
    if not 0 < len(body.sender) <= MAX_NAME_LENGTH:
        return f"a name of {len(body.sender)} characters"
    if len(body.words) + len(body.edges) + len(body.verdicts) > MAX_RECORDS:
        return f"over {MAX_RECORDS} records"
    numbers = [body.start, body.incarnation, body.seq, body.nonce]
    numbers += [n for w in body.words for n in (w.start, w.incarnation)]
    numbers += [n for e in body.edges for n in (e.observer_start, e.seq, e.age, e.start, e.incarnation)]
    numbers += [n for v in body.verdicts for n in (v.start, v.incarnation, v.side)]
    numbers += [n for r in body.riders for n in (r.start, r.seq, r.age)]
    if len(body.riders) > MAX_RIDERS or any(len(r.payload) > MAX_RIDER_BYTES for r in body.riders):
        return f"over {MAX_RIDERS} riders, or one over {MAX_RIDER_BYTES} bytes"
    return "a number below 0 or over 2^63" if any(not 0 <= n < 1 << 63 for n in numbers) else ""


def length_prefixed(sealed: bytes) -> bytes:
    return FRAME_HEADER.pack(len(sealed)) + sealed


class Frames:
    """Cuts a stream into sealed bodies. Raises NotOurs for a length that can't be, told from its four bytes alone."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterable[bytes]:
        self.buffer += data
        while (one := self._next()) is not None:
            yield one

    def _next(self) -> Optional[bytes]:
        if len(self.buffer) < FRAME_HEADER.size:
            return None
        (length,) = FRAME_HEADER.unpack_from(self.buffer)
        if not 0 < length <= self.max_bytes:
            raise InvalidMessage("long", f"a frame of {length} bytes, 1 to {self.max_bytes} are allowed")
        end = FRAME_HEADER.size + length
        if len(self.buffer) < end:
            return None
        one = bytes(self.buffer[FRAME_HEADER.size : end])
        del self.buffer[:end]
        return one
