"""Jute encoding: big-endian integers, and length-prefixed strings, buffers and vectors.

A length of -1 means null. Lengths received from a peer are checked against the available bytes before
anything is allocated.
"""

from __future__ import annotations

import struct
from typing import Any, Callable, NamedTuple, Optional

from cedarshift.codec.input_buffer import InputBuffer

MAX_FRAME_BYTES = 4 << 20  # servers limit requests to 1 MiB (jute.maxbuffer); replies may be longer
MAX_STRING_BYTES = 4096
MAX_PATH_DEPTH = 64  # path components

INT = struct.Struct(">i")
LONG = struct.Struct(">q")


class ProtocolError(Exception):
    """Malformed data, or a message that violates the protocol; the connection must be closed."""


class Reader:
    """Decodes values from a buffer; raises ProtocolError for malformed data."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def remaining(self) -> int:
        return len(self.data) - self.position

    def _take(self, count: int) -> bytes:
        if count < 0 or count > self.remaining():
            raise ProtocolError(f"{count} bytes stated at byte {self.position}, {self.remaining()} are left")
        self.position += count
        return self.data[self.position - count : self.position]

    def i32(self) -> int:
        return INT.unpack(self._take(4))[0]

    def i64(self) -> int:
        return LONG.unpack(self._take(8))[0]

    def flag(self) -> bool:
        raw = self._take(1)[0]
        if raw > 1:
            raise ProtocolError(f"invalid bool {raw} at byte {self.position - 1}")
        return bool(raw)

    def buffer(self) -> Optional[bytes]:
        length = self.i32()
        return None if length == -1 else self._take(length)

    def text(self) -> str:
        length = self.i32()
        if length == -1:
            return ""
        if length > MAX_STRING_BYTES:
            raise ProtocolError(
                f"string of {length} bytes at byte {self.position}, {MAX_STRING_BYTES} at most"
            )
        try:
            return self._take(length).decode()
        except UnicodeDecodeError as error:
            raise ProtocolError(f"string is not UTF-8 before byte {self.position}: {error.reason}") from None

    def vector(self, element: Callable[[], Any], min_size: int = 4) -> list[Any]:
        """`min_size`: minimum bytes per element, to check the count against the remaining data."""
        count = self.i32()
        if count == -1:
            return []
        if count < 0 or count * min_size > self.remaining():
            raise ProtocolError(
                f"vector of {count} elements at byte {self.position}, {self.remaining()} bytes are left"
            )
        return [element() for _ in range(count)]

    def end(self) -> None:
        """Raise ProtocolError if data remains."""
        if self.remaining():
            raise ProtocolError(f"{self.remaining()} trailing bytes after the record")


class Writer:
    """Encodes values into a buffer."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def i32(self, value: int) -> None:
        self.parts.append(INT.pack(value))

    def i64(self, value: int) -> None:
        self.parts.append(LONG.pack(value))

    def flag(self, value: bool) -> None:
        self.parts.append(b"\x01" if value else b"\x00")

    def buffer(self, value: Optional[bytes]) -> None:
        if value is None:
            self.i32(-1)
        else:
            self.parts += (INT.pack(len(value)), value)

    def text(self, value: str) -> None:
        self.buffer(value.encode())

    def vector(self, values: list[Any], element: Callable[[Any], None]) -> None:
        self.i32(len(values))
        for value in values:
            element(value)

    def done(self) -> bytes:
        return b"".join(self.parts)


class Shape(NamedTuple):
    """Fields of a record in order, as (name, kind).

    A kind is "i32", "i64", "flag", "buffer", "text", "texts", a record class, or a list holding a record
    class (a vector of that record).
    """

    fields: tuple[tuple[str, Any], ...]


SHAPES: dict[type, Shape] = {}


def record(result: type) -> type:
    """Register a NamedTuple whose `KINDS` attribute lists the kinds of its fields."""
    SHAPES[result] = Shape(tuple(zip(result._fields, result.KINDS)))  # type: ignore[attr-defined]
    return result


def read(reader: Reader, kind: Any) -> Any:
    if kind == "texts":
        return reader.vector(reader.text)
    if isinstance(kind, str):
        return getattr(reader, kind)()
    if isinstance(kind, list):
        return reader.vector(lambda: read(reader, kind[0]))
    return kind(*[read(reader, element) for _, element in SHAPES[kind].fields])


def write(writer: Writer, kind: Any, value: Any) -> None:
    if kind == "texts":
        writer.vector(value, writer.text)
    elif isinstance(kind, str):
        getattr(writer, kind)(value)
    elif isinstance(kind, list):
        writer.vector(value, lambda element: write(writer, kind[0], element))
    else:
        for name, element in SHAPES[kind].fields:
            write(writer, element, getattr(value, name))


def encode(value: Any) -> bytes:
    writer = Writer()
    write(writer, type(value), value)
    return writer.done()


def decode(data: bytes, kind: Any) -> Any:
    """Decode `data` as exactly one record. Raises ProtocolError."""
    reader = Reader(data)
    result = read(reader, kind)
    reader.end()
    return result


def length_prefixed(payload: bytes) -> bytes:
    return INT.pack(len(payload)) + payload


class Frames:
    """Splits a byte stream into length-prefixed frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = InputBuffer()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames completed by `data`. Raises ProtocolError for a negative or excessive length."""
        self.buffer.append(data)
        frames = []
        while len(self.buffer) >= INT.size:
            (length,) = INT.unpack(self.buffer.peek(INT.size))
            if not 0 <= length <= self.max_bytes:
                raise ProtocolError(f"frame of {length} bytes, {self.max_bytes} at most")
            if len(self.buffer) < INT.size + length:
                break
            frames.append(self.buffer.take(INT.size + length)[INT.size :])
        return frames


def check_path(path: str) -> str:
    """Return why a path is invalid by the ZooKeeper programmer's guide, or "" if it is valid."""
    if not path.startswith("/"):
        return "it does not begin with /"
    if path == "/":
        return ""
    if len(path.encode()) > MAX_STRING_BYTES:
        return f"it is longer than {MAX_STRING_BYTES} bytes"
    parts = path[1:].split("/")
    if len(parts) > MAX_PATH_DEPTH:
        return f"it is deeper than {MAX_PATH_DEPTH} parts"
    for part in parts:
        if not part:
            return "it has an empty part"
        if part in (".", ".."):
            return f"{part!r} is no name"
        if any(
            c <= "\x1f"
            or "\x7f" <= c <= "\x9f"
            or "\ud800" <= c <= "\uf8ff"
            or c >= "\ufff0"
            and c <= "\uffff"
            for c in part
        ):
            return "it has a character that is not allowed"
    return ""


__all__ = [
    "ProtocolError",
    "MAX_FRAME_BYTES",
    "Frames",
    "Reader",
    "Writer",
    "check_path",
    "decode",
    "encode",
    "length_prefixed",
    "read",
    "record",
    "write",
]
