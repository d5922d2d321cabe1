"""The relay's event stream: bytes in any pieces to (event, fields); a bare colon is a sign of life."""

from __future__ import annotations

from typing import Iterator
from urllib.parse import unquote_plus

from cedarshift.codec.platform import fields
from cedarshift.codec.platform.errors import Spoilt, Unreadable

LINE_MOST = 65_536  # bytes of one line, and of one event; news has under a hundred
NUMBER_MOST = 65_535  # proxies, slices and marks
LATENCY_MOST = 600_000.0  # ms


class EventStream:
    """Cuts the stream into events; `data` lines of one event are joined, as the format says."""

    def __init__(self) -> None:
        self.rest = b""
        self.name = ""
        self.data: list[str] = []
        self.held = 0  # bytes of the event so far
        self.signs = 0  # signs of life so far

    def feed(self, piece: bytes) -> Iterator[tuple[str, str]]:
        lines = (self.rest + piece).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > LINE_MOST:
            raise Unreadable(f"a line over {LINE_MOST} bytes")
        for raw in lines:
            try:
                line = raw.rstrip(b"\r").decode()
            except UnicodeDecodeError as error:
                raise Unreadable(str(error)) from None
            if not line:
                if self.data:
                    yield self.name, "\n".join(self.data)
                self.name, self.data, self.held = "", [], 0
            elif line.startswith(":"):
                self.signs += 1
            elif line.startswith("event:"):
                self.name = line[6:].strip()
            elif line.startswith("data:"):
                self.data.append(line[5:].strip())
                self.held += len(line)
                if self.held > LINE_MOST:
                    raise Unreadable(f"an event over {LINE_MOST} bytes")


def parted(data: str) -> dict[str, str]:
    """`a=1&b=2` as a mapping."""
    out = {}
    for part in data.split("&"):
        key, _, value = part.partition("=")
        out[key] = unquote_plus(value) if "%" in value or "+" in value else value
    return out


def whole(got: dict[str, str], key: str) -> int:
    raw = got.get(key, "")
    if not raw.isascii() or not raw.isdecimal() or len(raw) > 5 or int(raw) > NUMBER_MOST:
        raise Spoilt(f"{key}: {raw[:60]!r}, a whole number from 0 to {NUMBER_MOST} is allowed")
    return int(raw)


def number(got: dict[str, str], key: str, most: float) -> float:
    raw = got.get(key, "")
    try:
        return fields.number({key: float(raw)}, key, 0, most)
    except ValueError:
        raise Spoilt(f"{key}: {raw[:60]!r}, a number is allowed") from None


def flag(got: dict[str, str], key: str) -> bool:
    raw = got.get(key, "")
    if raw not in ("0", "1"):
        raise Spoilt(f"{key}: {raw[:60]!r}, 0 or 1 is allowed")
    return raw == "1"


def proxy(got: dict[str, str]) -> int:
    return whole(got, "node")


def zone(got: dict[str, str]) -> str:
    return got.get("locality", "")


def slice_id(got: dict[str, str]) -> int:
    return whole(got, "shard")


def mark(got: dict[str, str]) -> int:
    return whole(got, "nonce")


def given(got: dict[str, str]) -> bool:
    return flag(got, "set")


def latency(got: dict[str, str]) -> int:
    """Tenths of a millisecond, rounded down: an ack counts no sooner than it says."""
    return int(number(got, "latency", LATENCY_MOST) * 10)


def held(got: dict[str, str]) -> str:
    """The endpoint of a table's line; "" for a line that is gone."""
    return got.get("endpoint", "") if number(got, "w", 1e9) > 0 else ""
