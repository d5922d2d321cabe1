"""Jute, the encoding of the records: big-endian integers, and texts, buffers and vectors headed by their lengths.

A length of -1 stands for null. Whatever length a peer states is held against the bytes that are there before anything is
made of it, so a stated 4 GB costs nothing.
"""

from __future__ import annotations

import struct
from typing import Any, Callable, NamedTuple, Optional

FRAME_MOST = (
    4 << 20
)  # bytes; the servers' own bound (jute.maxbuffer) is 1 MiB for requests, answers may be longer
TEXT_MOST = 4096  # bytes of a path or name; deeper or longer ones are refused before they are kept
DEPTH_MOST = 64  # parts of a path

INT = struct.Struct(">i")
LONG = struct.Struct(">q")


class Broken(Exception):
    """Bytes that are no such record, or a peer that breaks the order of things; the connection is given up."""


class Reader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def left(self) -> int:
        return len(self.data) - self.at

    def _take(self, count: int) -> bytes:
        if count < 0 or count > self.left():
            raise Broken(f"{count} bytes stated at byte {self.at}, {self.left()} are left")
        self.at += count
        return self.data[self.at - count : self.at]

    def i32(self) -> int:
        return INT.unpack(self._take(4))[0]

    def i64(self) -> int:
        return LONG.unpack(self._take(8))[0]

    def flag(self) -> bool:
        raw = self._take(1)[0]
        if raw > 1:
            raise Broken(f"a bool of {raw} at byte {self.at - 1}")
        return bool(raw)

    def buffer(self) -> Optional[bytes]:
        length = self.i32()
        return None if length == -1 else self._take(length)

    def text(self) -> str:
        length = self.i32()
        if length == -1:
            return ""
        if length > TEXT_MOST:
            raise Broken(f"a text of {length} bytes at byte {self.at}, {TEXT_MOST} at most")
        try:
            return self._take(length).decode()
        except UnicodeDecodeError as error:
            raise Broken(f"a text that is not UTF-8 before byte {self.at}: {error.reason}") from None

    def vector(self, one: Callable[[], Any], least: int = 4) -> list[Any]:
        """`least`: bytes that an element takes at least, so that a stated count can be held against what is there."""
        count = self.i32()
        if count == -1:
            return []
        if count < 0 or count * least > self.left():
            raise Broken(f"a vector of {count} at byte {self.at}, {self.left()} bytes are left")
        return [one() for _ in range(count)]

    def end(self) -> None:
        if self.left():
            raise Broken(f"{self.left()} bytes too many behind the record")


class Writer:
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

    def vector(self, values: list[Any], one: Callable[[Any], None]) -> None:
        self.i32(len(values))
        for value in values:
            one(value)

    def done(self) -> bytes:
        return b"".join(self.parts)


class Shape(NamedTuple):
    """A record's fields in their order: (name, kind). Kinds are "i32", "i64", "flag", "buffer", "text", "texts", or a
    record class; a list holding a record class is a vector of those."""

    fields: tuple[tuple[str, Any], ...]


SHAPES: dict[type, Shape] = {}


def record(made: type) -> type:
    """Registers a NamedTuple whose `KINDS` tells the kinds of its fields."""
    SHAPES[made] = Shape(tuple(zip(made._fields, made.KINDS)))  # type: ignore[attr-defined]
    return made


def read(reader: Reader, kind: Any) -> Any:
    if kind == "texts":
        return reader.vector(reader.text)
    if isinstance(kind, str):
        return getattr(reader, kind)()
    if isinstance(kind, list):
        return reader.vector(lambda: read(reader, kind[0]))
    return kind(*[read(reader, one) for _, one in SHAPES[kind].fields])


def write(writer: Writer, kind: Any, value: Any) -> None:
    if kind == "texts":
        writer.vector(value, writer.text)
    elif isinstance(kind, str):
        getattr(writer, kind)(value)
    elif isinstance(kind, list):
        writer.vector(value, lambda one: write(writer, kind[0], one))
    else:
        for name, one in SHAPES[kind].fields:
            write(writer, one, getattr(value, name))


def encode(value: Any) -> bytes:
    writer = Writer()
    write(writer, type(value), value)
    return writer.done()


def decode(data: bytes, kind: Any) -> Any:
    """The whole of `data` as one record. Raises Broken."""
    reader = Reader(data)
    made = read(reader, kind)
    reader.end()
    return made


def framed(payload: bytes) -> bytes:
    return INT.pack(len(payload)) + payload


class Frames:
    """Cuts a stream into frames; each is headed by its length."""

    def __init__(self, most: int = FRAME_MOST) -> None:
        self.most = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole by now. Raises Broken for a length that is negative or over the limit."""
        self.buffer += data
        frames, at = [], 0
        while len(self.buffer) - at >= 4:
            length = INT.unpack_from(self.buffer, at)[0]
            if not 0 <= length <= self.most:
                raise Broken(f"a frame of {length} bytes, {self.most} at most")
            if len(self.buffer) - at - 4 < length:
                break
            frames.append(bytes(self.buffer[at + 4 : at + 4 + length]))
            at += 4 + length
        del self.buffer[:at]
        return frames


def check_path(path: str) -> str:
    """Why a path is not allowed; empty where it is. As the programmer's guide has it."""
    if not path.startswith("/"):
        return "it does not begin with /"
    if path == "/":
        return ""
    if len(path.encode()) > TEXT_MOST:
        return f"it is longer than {TEXT_MOST} bytes"
    parts = path[1:].split("/")
    if len(parts) > DEPTH_MOST:
        return f"it is deeper than {DEPTH_MOST} parts"
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
    "Broken",
    "FRAME_MOST",
    "Frames",
    "Reader",
    "Writer",
    "check_path",
    "decode",
    "encode",
    "framed",
    "read",
    "record",
    "write",
]
