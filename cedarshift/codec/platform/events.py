"""Decoding of the relay's event stream (server-sent events). Comment lines are heartbeats."""

from __future__ import annotations

from typing import Iterator
from urllib.parse import unquote_plus

from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import InvalidMessage, MalformedStream

MAX_LINE_BYTES = 65_536  # also the limit of the data lines of one event
MAX_INTEGER = 65_535  # of proxy, slice and mark numbers
MAX_LATENCY_MS = 600_000.0


class EventStreamDecoder:
    """Incremental decoder of one stream. `heartbeats` counts the heartbeats received."""

    def __init__(self) -> None:
        self.buffer = b""
        self.name = ""
        self.data: list[str] = []
        self.event_bytes = 0
        self.heartbeats = 0

    def feed(self, piece: bytes) -> Iterator[tuple[str, str]]:
        """Yields (event name, data) of each complete event. Raises MalformedStream."""
        lines = (self.buffer + piece).split(b"\n")
        self.buffer = lines.pop()
        if len(self.buffer) > MAX_LINE_BYTES:
            raise MalformedStream(f"line longer than {MAX_LINE_BYTES} bytes")
        for raw in lines:
            try:
                line = raw.rstrip(b"\r").decode()
            except UnicodeDecodeError as error:
                raise MalformedStream(str(error)) from None
            if not line:
                if self.data:
                    yield self.name, "\n".join(self.data)
                self.name, self.data, self.event_bytes = "", [], 0
            elif line.startswith(":"):
                self.heartbeats += 1
            elif line.startswith("event:"):
                self.name = line[6:].strip()
            elif line.startswith("data:"):
                self.data.append(line[5:].strip())
                self.event_bytes += len(line)
                if self.event_bytes > MAX_LINE_BYTES:
                    raise MalformedStream(f"event longer than {MAX_LINE_BYTES} bytes")


def parse_fields(data: str) -> dict[str, str]:
    """Parses event data such as `a=1&b=2`. The functions below read its fields or raise InvalidMessage."""
    out = {}
    for pair in data.split("&"):
        key, _, value = pair.partition("=")
        out[key] = unquote_plus(value) if "%" in value or "+" in value else value
    return out


def integer(values: dict[str, str], key: str) -> int:
    raw = values.get(key, "")
    if not raw.isascii() or not raw.isdecimal() or len(raw) > 5 or int(raw) > MAX_INTEGER:
        raise InvalidMessage(f"{key}: {raw[:60]!r}, expected an integer from 0 to {MAX_INTEGER}")
    return int(raw)


def number(values: dict[str, str], key: str, maximum: float) -> float:
    raw = values.get(key, "")
    try:
        return fields.number({key: float(raw)}, key, 0, maximum)
    except ValueError:
        raise InvalidMessage(f"{key}: {raw[:60]!r}, expected a number") from None


def boolean(values: dict[str, str], key: str) -> bool:
    raw = values.get(key, "")
    if raw not in ("0", "1"):
        raise InvalidMessage(f"{key}: {raw[:60]!r}, expected 0 or 1")
    return raw == "1"


def proxy(values: dict[str, str]) -> int:
    return integer(values, "node")


def zone(values: dict[str, str]) -> str:
    return values.get("locality", "")


def slice_id(values: dict[str, str]) -> int:
    return integer(values, "shard")


def mark(values: dict[str, str]) -> int:
    return integer(values, "nonce")


def is_assigned(values: dict[str, str]) -> bool:
    """Whether a lease event assigns the slice to this pilot rather than removes it."""
    return boolean(values, "set")


def latency(values: dict[str, str]) -> int:
    """The latency of an ack in tenths of a millisecond, rounded down."""
    return int(number(values, "latency", MAX_LATENCY_MS) * 10)


def line_endpoint(values: dict[str, str]) -> str:
    """The endpoint of a slice's table line, "" for a line that was removed (weight 0)."""
    return values.get("endpoint", "") if number(values, "w", 1e9) > 0 else ""
