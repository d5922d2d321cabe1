"""Framing of a pilot's listening port: a four-byte big-endian length, then a JSON object."""

from __future__ import annotations

from typing import Any, Iterator

import orjson

from cedarshift.codec.platform.errors import MalformedStream

HEADER_BYTES = 4
MAX_MESSAGE_BYTES = 1 << 20  # the platform's limit


def encode(message: dict[str, Any]) -> bytes:
    """Encodes one message with its length header."""
    body = orjson.dumps(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class FrameDecoder:
    """Incremental decoder of one connection. `max_bytes` limits each message and may be changed."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def messages(self) -> Iterator[dict]:
        """Yields each complete message. Raises MalformedStream for an invalid length or body."""
        offset = 0
        try:
            while len(self.buffer) - offset >= HEADER_BYTES:
                length = int.from_bytes(self.buffer[offset : offset + HEADER_BYTES], "big")
                if not 0 < length <= self.max_bytes:
                    raise MalformedStream(f"a message of {length} bytes, 1 to {self.max_bytes} are allowed")
                end = offset + HEADER_BYTES + length
                if len(self.buffer) < end:
                    break
                try:
                    message = orjson.loads(self.buffer[offset + HEADER_BYTES : end])
                except orjson.JSONDecodeError as error:
                    raise MalformedStream(f"no JSON: {error}") from None
                if not isinstance(message, dict):
                    raise MalformedStream(f"a JSON {type(message).__name__}, an object is allowed")
                offset = end
                yield message
        finally:
            del self.buffer[:offset]
