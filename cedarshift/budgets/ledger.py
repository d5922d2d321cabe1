"""Durable storage of granted shares: a SQLite file next to the store's, written before a grant is sent.

A lost write or an outdated copy is safe: after a start the grantor waits for one lease and grants only shares
that holders present. The file records who held what and the longest lease, in case the configured lease has
been shortened.
"""

from __future__ import annotations

import sqlite3
import zlib
from typing import Iterable, Optional

import msgspec

from cedarshift.judge.budgets import Key, Row
from cedarshift.store.ledger import DamagedLedgerError, open_durable, transaction

SCHEMA = (
    "CREATE TABLE IF NOT EXISTS shares (budget TEXT, holder TEXT, life INTEGER, number INTEGER NOT NULL, "
    "amount INTEGER NOT NULL,\n"
    "  span INTEGER NOT NULL, checksum INTEGER NOT NULL, PRIMARY KEY (budget, holder, life)) WITHOUT ROWID"
)


def _checksum(row: Row) -> int:
    return zlib.crc32(msgspec.msgpack.encode(list(row)))


class MemoryShareLedger:
    """An in-memory `ShareLedger` for simulations."""

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
    """The ledger of granted shares in a SQLite file.

    Raises DamagedLedgerError if the file cannot be read, and sqlite3.Error if it cannot be written.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.db: Optional[sqlite3.Connection] = None
        try:
            self.db = open_durable(path)
            self.db.execute(SCHEMA)
        except sqlite3.Error as error:
            self.close()
            raise self._damaged(str(error)) from None

    def _damaged(self, reason: str) -> DamagedLedgerError:
        return DamagedLedgerError(
            f"{self.path}: {reason}. Way back: move the file away and wait, before the start, as long as the "
            "longest lease that the block budgets ever had; nothing else is lost, since pilots present "
            "what they hold"
        )

    def load(self) -> list[Row]:
        assert self.db is not None
        try:
            records = self.db.execute(
                "SELECT budget, holder, life, number, amount, span, checksum FROM shares"
            ).fetchall()
        except sqlite3.Error as error:
            raise self._damaged(str(error)) from None
        rows = [Row(*record[:6]) for record in records]
        for row, record in zip(rows, records):
            if _checksum(row) != record[6]:
                raise self._damaged(
                    f"the row of {row.budget!r} for {row.holder!r} does not match its checksum"
                )
        return rows

    def put(self, rows: Iterable[Row]) -> None:
        """Writes the rows in one synced transaction."""
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
