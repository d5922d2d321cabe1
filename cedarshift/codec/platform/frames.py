"""Messages at a pilot's address: a four-byte length, most significant first, and so many bytes of one JSON object."""

from __future__ import annotations

from typing import Any, Iterator

import orjson

from cedarshift.codec.platform.errors import Unreadable

HEAD = 4  # bytes of the length
MESSAGE_MOST = 1 << 20  # bytes of a message: the platform's limit


def encode(message: dict[str, Any]) -> bytes:
    body = orjson.dumps(message)
    return len(body).to_bytes(HEAD, "big") + body


class Messages:
    """Cuts a byte stream, in whatever pieces it comes, into objects. `most` may be raised once the peer is known."""

    def __init__(self, most: int = MESSAGE_MOST) -> None:
        self.most = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def whole(self) -> Iterator[dict]:
        """The objects that have come whole. Raises Unreadable on the first that can be none."""
        at = 0
        try:
            while len(self.buffer) - at >= HEAD:
                length = int.from_bytes(self.buffer[at : at + HEAD], "big")
                if not 0 < length <= self.most:  # told from the head alone: the body is never waited for
                    raise Unreadable(f"a message of {length} bytes, 1 to {self.most} are allowed")
                end = at + HEAD + length
                if len(self.buffer) < end:
                    break
                try:
                    message = orjson.loads(self.buffer[at + HEAD : end])
                except orjson.JSONDecodeError as error:
                    raise Unreadable(f"no JSON: {error}") from None
                if not isinstance(message, dict):
                    raise Unreadable(f"a JSON {type(message).__name__}, an object is allowed")
                at = end
                yield message
        finally:
            del self.buffer[:at]
