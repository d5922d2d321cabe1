"""Framing of a pilot's listening port: a four-byte big-endian length, then a JSON object."""

from __future__ import annotations

from typing import Any, Iterator

import orjson

from cedarshift.codec.input_buffer import InputBuffer
from cedarshift.codec.platform.errors import MalformedStream

HEADER_BYTES = 4
MAX_MESSAGE_BYTES = 1 << 20  # the platform's limit
MAX_VALUES = 4_096  # JSON values in one message; reports hold a few dozen
COUNT_STEP_BYTES = 16_384


def encode(message: dict[str, Any]) -> bytes:
    """Encodes one message with its length header."""
    body = orjson.dumps(message)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class FrameDecoder:
    """Incremental decoder of one connection. `max_bytes` limits each message and may be changed."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = InputBuffer()

    def feed(self, data: bytes) -> None:
        self.buffer.append(data)

    def messages(self) -> Iterator[dict]:
        """Yields each complete message. Raises what `bodies` and `decode` raise."""
        return map(decode, self.bodies())

    def bodies(self) -> Iterator[bytes]:
        """Yields the body of each complete message. Raises MalformedStream for an invalid length."""
        while len(self.buffer) >= HEADER_BYTES:
            length = int.from_bytes(self.buffer.peek(HEADER_BYTES), "big")
            if not 0 < length <= self.max_bytes:
                raise MalformedStream(f"a message of {length} bytes, 1 to {self.max_bytes} are allowed")
            if len(self.buffer) < HEADER_BYTES + length:
                return
            yield self.buffer.take(HEADER_BYTES + length)[HEADER_BYTES:]


def decode(body: bytes) -> dict:
    """Decodes one message. Raises MalformedStream if it is no JSON object."""
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedStream(f"no JSON: {error}") from None
    if not isinstance(message, dict):
        raise MalformedStream(f"a JSON {type(message).__name__}, an object is allowed")
    return message


def count_values(body: bytes) -> int:
    """An upper bound of the number of JSON values in a body, which is what decoding it costs.

    Stops counting above MAX_VALUES, so that the count is cheap whatever the body."""
    count = 1
    for begin in range(0, len(body), COUNT_STEP_BYTES):
        end = begin + COUNT_STEP_BYTES
        count += sum(body.count(mark, begin, end) for mark in (b",", b"[", b"{"))
        if count > MAX_VALUES:
            break
    return count
