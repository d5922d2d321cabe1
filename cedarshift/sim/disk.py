"""A disk that can lose, tear and refuse what is written to it, and the store's ledger on it.

`SimLedger` has the calls of `store.ledger.Ledger` and keeps its promise in the same words: `put` returns once the rows would outlive a
kill or a loss of power; a transaction is there wholly or not at all; what can't be read is refused by name. That the SQLite ledger does
so too is shown by tests that kill a process in the middle of its commits and by the same sequences played on both.
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
    """One file that grows. Blocks that were written and not synced are lost, torn or kept by chance when the power goes."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.synced: list[bytes] = []
        self.cached: list[bytes] = []
        self.full = False
        self.unreadable = False
        self.lies = False  # the newest sync never reached the platter
        self.short = 0  # blocks that a lying disk has lost

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
        """What was not synced is lost from some block on; the last one that is kept may be torn."""
        if self.lies and self.synced:
            self.synced.pop()
            self.short += 1
        self.lies = False
        kept = self.cached[: self.chance.randrange(len(self.cached) + 1)] if self.cached else []
        if kept and self.chance.random() < 0.5:
            kept[-1] = kept[-1][: self.chance.randrange(len(kept[-1]))]
        self.synced += kept
        self.cached.clear()

    def read(self) -> list[bytes]:
        if self.unreadable:
            raise sqlite3.OperationalError("disk I/O error")
        return list(self.synced)


class SimLedger:
    """A log of transactions, each a block with its check sum; a torn last block counts as never written."""

    def __init__(self, disk: Disk, slices: int) -> None:
        self.disk = disk
        self.slices = slices
        self.commits = 0
        self.life = 0

    def record_start(self) -> int:
        self.life += 1
        self._write([(-1, self.life, 0, "", "", b"")])
        return self.life

    def load(self) -> list[SliceRecord]:
        """Raises DamagedLedgerError where the disk can't be read, or a block other than the last is torn."""
        try:
            blocks = self.disk.read()
        except sqlite3.Error as error:
            raise DamagedLedgerError(f"simulated disk: {error}. Nothing of it is served") from None
        rows = {n: SliceRecord(n) for n in range(self.slices)}
        for at, block in enumerate(blocks):
            body = block[4:]
            if len(block) < 4 or zlib.crc32(body).to_bytes(4, "big") != block[:4]:
                if at == len(blocks) - 1:
                    self.disk.synced.pop()
                    break
                raise DamagedLedgerError(f"simulated disk: transaction {at} does not match its check sum")
            for number, epoch, version, pilot, owner, levels in msgspec.msgpack.decode(body):
                if number < 0:
                    self.life = epoch
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
