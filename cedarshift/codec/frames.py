"""Frames of the main protocol: a 4-byte length, a 1-byte kind, a 1-byte major version and the body.

Integers are big-endian. The length covers everything after it: kind, version and body.
"""

from __future__ import annotations

import struct
from typing import Iterator, Optional

import msgspec

from cedarshift.codec.errors import BadBody, BadVersion, FrameTooLarge, ProtocolError, UnknownKind
from cedarshift.codec.input_buffer import InputBuffer
from cedarshift.codec.messages import MAJOR, MESSAGE_CODES, MESSAGE_TYPES, Message, Order

HEADER = struct.Struct(">IBB")  # length, kind, major version
LENGTH_BYTES = 4  # of the length field
MAX_FRAME_BYTES = 1 << 20  # without the length field

ENCODER = msgspec.msgpack.Encoder()
DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in MESSAGE_TYPES.items()}


def encode(message: Message) -> bytes:
    """Encodes a message as one frame. Raises FrameTooLarge if it exceeds MAX_FRAME_BYTES."""
    body = ENCODER.encode(message)
    if len(body) + 2 > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"{type(message).__name__} of {len(body)} bytes, {MAX_FRAME_BYTES - 2} at most")
    return HEADER.pack(len(body) + 2, MESSAGE_CODES[type(message)], MAJOR) + body


def pack_rows(rows: list) -> msgspec.Raw:
    """Encodes a list of lines or levels once, for use in many orders."""
    return msgspec.Raw(ENCODER.encode(rows))


def encode_order(
    seq: int, waited: int, lines: msgspec.Raw, levels: msgspec.Raw, mark: Optional[int]
) -> bytes:
    """Encodes an `Order` from packed rows: orders to several proxies differ only in seq and waited."""
    body = ENCODER.encode({"seq": seq, "waited": waited, "lines": lines, "levels": levels, "mark": mark})
    if len(body) + 2 > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"Order of {len(body)} bytes, {MAX_FRAME_BYTES - 2} at most")
    return HEADER.pack(len(body) + 2, MESSAGE_CODES[Order], MAJOR) + body


class Frames:
    """Decodes a byte stream into messages. Must not be used after it has raised an error.

    `max_bytes`: limit on the length of a frame, without the length field."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = InputBuffer()

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer.append(data)

    def messages(self) -> Iterator[Message]:
        """Yields the complete messages received so far. Raises a ProtocolError on the first invalid one."""
        while len(self.buffer) >= HEADER.size:
            length, number, major = HEADER.unpack(self.buffer.peek(HEADER.size))
            if length > self.max_bytes:  # rejected before its body is buffered
                raise FrameTooLarge(f"a frame of {length} bytes, {self.max_bytes} at most")
            if major != MAJOR:
                raise BadVersion(f"protocol version {major}, expected {MAJOR}")
            if number not in MESSAGE_TYPES:
                raise UnknownKind(f"kind {number}")
            if length < 2:
                raise BadBody(f"a frame of {length} bytes, 2 at least")
            if len(self.buffer) < LENGTH_BYTES + length:
                return
            yield _decode(number, self.buffer.take(LENGTH_BYTES + length))

    def end(self) -> None:
        """Called at the end of the stream; raises BadBody if it ends inside a frame."""
        if self.buffer:
            raise BadBody(f"the stream ended {len(self.buffer)} bytes into a frame")


def _decode(number: int, frame: bytes) -> Message:
    try:
        return DECODERS[number].decode(memoryview(frame)[HEADER.size :])
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadBody(f"{MESSAGE_TYPES[number].__name__}: {error}") from None


__all__ = ["MAX_FRAME_BYTES", "Frames", "ProtocolError", "encode", "encode_order", "pack_rows"]
