"""Received bytes that are not decoded yet, in pieces of limited size.

One growing buffer for each connection, of up to a megabyte, would leave the heap fragmented where many
connections come and go.
"""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Union

PIECE_BYTES = 16_384  # smaller pieces are joined up to this size


class InputBuffer:
    """Bytes that are appended at the end and taken from the beginning."""

    def __init__(self) -> None:
        self.pieces: deque[Union[bytes, bytearray]] = deque()
        self.offset = 0  # bytes of the first piece that were taken
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        if not data:
            return
        self.size += len(data)
        last = self.pieces[-1] if self.pieces else None
        if isinstance(last, bytearray) and len(last) + len(data) <= PIECE_BYTES:
            last += data
        else:
            self.pieces.append(data if len(data) > PIECE_BYTES else bytearray(data))

    def peek(self, count: int) -> bytes:
        """Returns the first `count` bytes, which must be there."""
        first = self.pieces[0]
        if len(first) - self.offset >= count:
            return bytes(first[self.offset : self.offset + count])
        found = bytearray(first[self.offset :])
        for piece in islice(self.pieces, 1, None):
            found += piece[: count - len(found)]
            if len(found) == count:
                break
        return bytes(found)

    def take(self, count: int) -> bytes:
        """Removes and returns the first `count` bytes, which must be there."""
        taken = self.peek(count)
        self.size -= count
        self.offset += count
        while self.pieces and self.offset >= len(self.pieces[0]):
            self.offset -= len(self.pieces.popleft())
        return taken
