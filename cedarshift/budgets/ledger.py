"""The durable side of shares: a SQLite file beside the store's, written before a share is told.

A lost write or an old copy breaks nothing: after a start the giver waits a lease and gives only what is presented. What
the file tells is how long the longest right was, where the deployment's lease is shorter now, and who had what.
"""

from __future__ import annotations

import sqlite3
import zlib
from typing import Iterable, Optional

import msgspec

from cedarshift.judge.budgets import Key, Row
from cedarshift.store.ledger import DamagedLedgerError, open_durable, transaction

SCHEMA = """CREATE TABLE IF NOT EXISTS shares (budget TEXT, holder TEXT, life INTEGER, number INTEGER NOT NULL, amount INTEGER NOT NULL,
  span INTEGER NOT NULL, checksum INTEGER NOT NULL, PRIMARY KEY (budget, holder, life)) WITHOUT ROWID"""


def _checksum(row: Row) -> int:
    return zlib.crc32(msgspec.msgpack.encode(list(row)))


class MemoryShares:
    """The same calls without a disk, for days on a virtual clock."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}

    def load(self) -> list[Row]:
        return list(self.rows.values())

    def put(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.rows[row[:3]] = row

    def drop(self, keys: Iterable[Key]) -> None:
        for key in keys:
            self.rows.pop(key, None)

    def close(self) -> None:
        pass


class ShareLedger:
    """Raises DamagedLedgerError, with the file's name and the way back, where it can't be read; sqlite3.Error where it can't be written."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.db: Optional[sqlite3.Connection] = None
        try:
            self.db = open_durable(path)
            self.db.execute(SCHEMA)
        except sqlite3.Error as error:
            self.close()
            raise self._damaged(str(error)) from None

    def _damaged(self, what: str) -> DamagedLedgerError:
        return DamagedLedgerError(
            f"{self.path}: {what}. Way back: move the file away and wait, before the start, as long as the longest lease "
            "that the block budgets ever had; nothing else is lost, since pilots present what they hold"
        )

    def load(self) -> list[Row]:
        assert self.db is not None
        try:
            got = self.db.execute(
                "SELECT budget, holder, life, number, amount, span, checksum FROM shares"
            ).fetchall()
        except sqlite3.Error as error:
            raise self._damaged(str(error)) from None
        rows = [Row(*one[:6]) for one in got]
        for row, one in zip(rows, got):
            if _checksum(row) != one[6]:
                raise self._damaged(
                    f"the row of {row.budget!r} for {row.holder!r} does not match its check sum"
                )
        return rows

    def put(self, rows: Iterable[Row]) -> None:
        """One transaction, synced."""
        assert self.db is not None
        with transaction(self.db):
            self.db.executemany(
                "INSERT OR REPLACE INTO shares VALUES (?, ?, ?, ?, ?, ?, ?)",
                [(*row, _checksum(row)) for row in rows],
            )

    def drop(self, keys: Iterable[Key]) -> None:
        assert self.db is not None
        self.db.executemany("DELETE FROM shares WHERE budget = ? AND holder = ? AND life = ?", list(keys))

    def close(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None
