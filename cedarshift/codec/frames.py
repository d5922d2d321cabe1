"""Frames: four bytes of length, one of kind, one of major version, then the body; whole numbers big-endian.

The length counts what follows it: kind, version and body.
"""

from __future__ import annotations

import struct
from typing import Iterator, Optional

import msgspec

from cedarshift.codec.errors import BadBody, BadVersion, FrameTooLarge, ProtocolError, UnknownKind
from cedarshift.codec.messages import MAJOR, MESSAGE_CODES, MESSAGE_TYPES, Message, Order

HEADER = struct.Struct(">IBB")
MAX_FRAME_BYTES = 1 << 20  # bytes after the length; a snapshot of 20,000 slices takes about half

ENCODER = msgspec.msgpack.Encoder()
DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in MESSAGE_TYPES.items()}


def encode(message: Message) -> bytes:
    """A message as one frame. Raises FrameTooLarge for one that no peer would take."""
    body = ENCODER.encode(message)
    if len(body) + 2 > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"{type(message).__name__} of {len(body)} bytes, {MAX_FRAME_BYTES - 2} at most")
    return HEADER.pack(len(body) + 2, MESSAGE_CODES[type(message)], MAJOR) + body


def pack_rows(rows: list) -> msgspec.Raw:
    """Rows encoded once, to be put into many orders."""
    return msgspec.Raw(ENCODER.encode(rows))


def encode_order(
    seq: int, waited: int, lines: msgspec.Raw, levels: msgspec.Raw, mark: Optional[int]
) -> bytes:
    """An `Order` whose rows were packed before: a turn goes to every proxy, and only seq and waited differ."""
    body = ENCODER.encode({"seq": seq, "waited": waited, "lines": lines, "levels": levels, "mark": mark})
    if len(body) + 2 > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"Order of {len(body)} bytes, {MAX_FRAME_BYTES - 2} at most")
    return HEADER.pack(len(body) + 2, MESSAGE_CODES[Order], MAJOR) + body


class Frames:
    """Cuts a byte stream into messages. After an error the stream is of no more use."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def messages(self) -> Iterator[Message]:
        """The whole messages that have come. Raises a ProtocolError on the first that is none."""
        at = 0
        try:
            while len(self.buffer) - at >= HEADER.size:
                length, number, major = HEADER.unpack_from(self.buffer, at)
                if length > self.max_bytes:  # told from the head alone: the body is never waited for
                    raise FrameTooLarge(f"a frame of {length} bytes, {self.max_bytes} at most")
                if major != MAJOR:
                    raise BadVersion(f"protocol version {major}, {MAJOR} is spoken here")
                if number not in MESSAGE_TYPES:
                    raise UnknownKind(f"kind {number}")
                if length < 2:
                    raise BadBody(f"a frame of {length} bytes, 2 at least")
                end = at + 4 + length
                if len(self.buffer) < end:
                    break
                body = memoryview(self.buffer)[at + HEADER.size : end]
                try:
                    message = DECODERS[number].decode(body)
                except (msgspec.DecodeError, RecursionError) as error:
                    raise BadBody(f"{MESSAGE_TYPES[number].__name__}: {error}") from None
                finally:
                    body.release()
                at = end
                yield message
        finally:
            del self.buffer[:at]

    def end(self) -> None:
        """The stream has ended; raises BadBody if it did so inside a frame."""
        if self.buffer:
            raise BadBody(f"the stream ended {len(self.buffer)} bytes into a frame")


__all__ = ["MAX_FRAME_BYTES", "Frames", "ProtocolError", "encode", "encode_order", "pack_rows"]
