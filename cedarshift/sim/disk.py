"""A simulated disk that can lose, tear and refuse writes, and the store's ledger on it.

`SimLedger` has the interface and the guarantees of `store.ledger.Ledger`: `put` returns once the rows survive
a kill or a loss of power, transactions are atomic, and unreadable data raises an error. Tests run the same
operations on both ledgers and kill a process during SQLite commits.
"""

from __future__ import annotations

import random
import sqlite3
import zlib
from typing import Iterable

import msgspec

from cedarshift.judge.charge import SliceRecord
from cedarshift.store.ledger import LEVELS_DECODER, DamagedLedgerError


class Disk:
    """An append-only file. On a power cut, blocks that were not synced are lost, torn or kept at random."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.synced: list[bytes] = []
        self.cached: list[bytes] = []
        self.full = False
        self.unreadable = False
        self.loses_last_sync = False  # the last sync is lost at the next power cut
        self.lost_blocks = 0  # number of synced blocks that were lost

    def append(self, block: bytes) -> None:
        if self.full:
            raise sqlite3.OperationalError("database or disk is full")
        self.cached.append(block)

    def sync(self) -> None:
        if self.full:
            raise sqlite3.OperationalError("disk I/O error")
        self.synced += self.cached
        self.cached.clear()

    def power_cut(self) -> None:
        """Loses the unsynced blocks from a random one on; the last block that is kept may be torn."""
        if self.loses_last_sync and self.synced:
            self.synced.pop()
            self.lost_blocks += 1
        self.loses_last_sync = False
        kept = self.cached[: self.rng.randrange(len(self.cached) + 1)] if self.cached else []
        if kept and self.rng.random() < 0.5:
            kept[-1] = kept[-1][: self.rng.randrange(len(kept[-1]))]
        self.synced += kept
        self.cached.clear()

    def read(self) -> list[bytes]:
        if self.unreadable:
            raise sqlite3.OperationalError("disk I/O error")
        return list(self.synced)


class SimLedger:
    """A log of transactions, one block each with its checksum. A torn last block counts as not written."""

    def __init__(self, disk: Disk, slices: int) -> None:
        self.disk = disk
        self.slices = slices
        self.commits = 0
        self.incarnation = 0

    def record_start(self) -> int:
        self.incarnation += 1
        self._write([(-1, self.incarnation, 0, "", "", b"")])
        return self.incarnation

    def load(self) -> list[SliceRecord]:
        """Raises DamagedLedgerError if the disk can't be read or a block other than the last is torn."""
        try:
            blocks = self.disk.read()
        except sqlite3.Error as error:
            raise DamagedLedgerError(f"simulated disk: {error}. The store does not start") from None
        rows = {n: SliceRecord(n) for n in range(self.slices)}
        for index, block in enumerate(blocks):
            body = block[4:]
            if len(block) < 4 or zlib.crc32(body).to_bytes(4, "big") != block[:4]:
                if index == len(blocks) - 1:
                    self.disk.synced.pop()
                    break
                raise DamagedLedgerError(f"simulated disk: transaction {index} does not match its checksum")
            for number, epoch, version, pilot, owner, levels in msgspec.msgpack.decode(body):
                if number < 0:
                    self.incarnation = epoch
                    continue
                rows[number] = SliceRecord(
                    number, epoch, version, pilot, owner, LEVELS_DECODER.decode(levels)
                )
        return list(rows.values())

    def put(self, rows: Iterable[SliceRecord]) -> None:
        self._write(
            [(r.slice, r.epoch, r.version, r.pilot, r.owner, msgspec.msgpack.encode(r.levels)) for r in rows]
        )
        self.commits += 1

    def _write(self, rows: list[tuple]) -> None:
        body = msgspec.msgpack.encode(rows)
        self.disk.append(zlib.crc32(body).to_bytes(4, "big") + body)
        self.disk.sync()

    def close(self) -> None:
        pass
