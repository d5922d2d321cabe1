"""The durable side of the store: SQLite in WAL mode, every commit synced, every row with a check sum of its own.

`MemoryLedger` has the same calls and no disk. A file that is damaged, or belongs to another deployment, is refused with
its name and a way back; nothing of it is served.
"""

from __future__ import annotations

import os
import sqlite3
import zlib
from contextlib import contextmanager
from typing import Iterable, Iterator, Optional

import msgspec

from cedarshift.codec.messages import Level
from cedarshift.judge.charge import EPOCHS_PER_LIFE, SliceRecord

FORMAT = 1
AHEAD_LIVES = 1_000  # lives of the store that a backup may be behind: a start a day for three years
LEVELS = msgspec.msgpack.Decoder(list[Level])

SCHEMA = """
CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS slices (slice INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, version INTEGER NOT NULL,
  pilot TEXT NOT NULL, owner TEXT NOT NULL, levels BLOB NOT NULL, checksum INTEGER NOT NULL);
"""


class Damaged(Exception):
    """The file can't be trusted. The text names the file, what is wrong and the way back."""


def _checksum(row: SliceRecord, levels: bytes) -> int:
    return zlib.crc32(
        msgspec.msgpack.encode([row.slice, row.epoch, row.version, row.pilot, row.owner, levels])
    )


def durable(path: str) -> sqlite3.Connection:
    """A database in WAL mode, synced at each commit, looked over. Raises sqlite3.Error where it can't be opened or is damaged."""
    db = sqlite3.connect(path, isolation_level=None)
    try:
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        found = [row[0] for row in db.execute("PRAGMA quick_check(3)")]
        if found != ["ok"]:
            raise sqlite3.DatabaseError("; ".join(found))
    except BaseException:
        db.close()
        raise
    return db


@contextmanager
def committed(db: sqlite3.Connection) -> Iterator[None]:
    """One transaction: all of it, or none. A commit that the disk refuses is rolled back as well: left open, the transaction
    would refuse every later one, also once the disk takes writes again."""
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:  # some errors have rolled it back already
            db.execute("ROLLBACK")
        raise


class MemoryLedger:
    """Keeps nothing beyond the process; for tests and for runs in which the disk is not the subject."""

    def __init__(self, slices: int) -> None:
        self.rows = {n: SliceRecord(n) for n in range(slices)}
        self.commits = 0
        self.life = 0

    def begin(self) -> int:
        self.life += 1
        return self.life

    def load(self) -> list[SliceRecord]:
        return [
            SliceRecord(r.slice, r.epoch, r.version, r.pilot, r.owner, list(r.levels))
            for r in self.rows.values()
        ]

    def put(self, rows: Iterable[SliceRecord]) -> None:
        self.commits += 1
        for r in rows:
            self.rows[r.slice] = SliceRecord(r.slice, r.epoch, r.version, r.pilot, r.owner, list(r.levels))

    def close(self) -> None:
        pass


class Ledger:
    """A store's file. `put` returns once the rows would outlive a kill or a loss of power."""

    def __init__(self, path: str, deployment: str, slices: int) -> None:
        self.path = path
        self.slices = slices
        self.commits = 0
        self.db: Optional[sqlite3.Connection] = None
        try:
            self.db = durable(path)
            self._agree(deployment)
        except sqlite3.Error as error:
            self.close()
            raise self._damaged(str(error)) from None
        except Damaged:
            self.close()
            raise

    def _damaged(self, what: str) -> Damaged:
        return Damaged(
            f"{self.path}: {what}. Nothing of it is served. Way back: stop every pilot of the deployment, "
            f"then `cedarshift store restore DEPLOYMENT-FILE --from BACKUP`, or move the file away to start "
            f"empty; either way each slice waits out a lease and the settle time before it has an owner"
        )

    def _agree(self, deployment: str) -> None:
        """Guards against the file of another deployment, or of another number of slices."""
        assert self.db is not None
        wanted = {"format": str(FORMAT), "deployment": deployment, "slices": str(self.slices)}
        self.db.execute("BEGIN IMMEDIATE")
        try:
            for statement in SCHEMA.split(";"):
                self.db.execute(statement)
            kept = dict(self.db.execute("SELECT name, value FROM about"))
            if not kept:
                self.db.executemany("INSERT INTO about VALUES (?, ?)", sorted(wanted.items()))
                self._write([SliceRecord(n) for n in range(self.slices)])
                kept = wanted
        finally:
            self.db.execute("COMMIT")
        for name, value in wanted.items():
            if kept.get(name) != value:
                raise Damaged(
                    f"{self.path}: made for {name} {kept.get(name)!r}, the deployment says {value!r}"
                )

    def life(self) -> int:
        """Of how many starts the file knows."""
        assert self.db is not None
        found = self.db.execute("SELECT value FROM about WHERE name = 'life'").fetchone()
        return int(found[0]) if found else 0

    def begin(self, ahead: int = 0) -> int:
        """Counts a start, durably; the number of this life, from 1. A file of before lives were counted begins here. Raises Damaged where
        the disk will not take it."""
        assert self.db is not None
        try:
            life = self.life() + 1 + ahead
            with committed(self.db):
                self.db.execute("INSERT OR REPLACE INTO about VALUES ('life', ?)", (str(life),))
        except (sqlite3.Error, ValueError) as error:
            raise self._damaged(str(error)) from None
        return life

    def load(self) -> list[SliceRecord]:
        """All rows. Raises Damaged if one is missing or its check sum is wrong."""
        assert self.db is not None
        rows = []
        try:
            got = self.db.execute(
                "SELECT slice, epoch, version, pilot, owner, levels, checksum FROM slices ORDER BY slice"
            ).fetchall()
        except sqlite3.Error as error:
            raise self._damaged(str(error)) from None
        for number, epoch, version, pilot, owner, levels, checksum in got:
            row = SliceRecord(number, epoch, version, pilot, owner)
            if not isinstance(levels, bytes) or _checksum(row, levels) != checksum:
                raise self._damaged(f"the row of slice {number} does not match its check sum")
            row.levels = LEVELS.decode(levels)
            rows.append(row)
        if [row.slice for row in rows] != list(range(self.slices)):
            raise self._damaged(f"{len(rows)} slices, {self.slices} wanted")
        return rows

    def put(self, rows: Iterable[SliceRecord]) -> None:
        """One transaction, synced. Raises sqlite3.Error if the disk will not take it; then none of it is kept."""
        assert self.db is not None
        with committed(self.db):
            self._write(rows)
        self.commits += 1

    def _write(self, rows: Iterable[SliceRecord]) -> None:
        assert self.db is not None
        self.db.executemany(
            "INSERT OR REPLACE INTO slices VALUES (?, ?, ?, ?, ?, ?, ?)",
            [
                (r.slice, r.epoch, r.version, r.pilot, r.owner, packed, _checksum(r, packed))
                for r in rows
                for packed in (msgspec.msgpack.encode(r.levels),)
            ],
        )

    def backup(self, target: str) -> None:
        """A copy that is whole, while the store goes on."""
        assert self.db is not None
        other = sqlite3.connect(target + ".part")
        try:
            self.db.backup(other)
        finally:
            other.close()
        os.replace(target + ".part", target)

    def close(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None


def restore(
    path: str, backup: str, deployment: str, slices: int, ahead: int = AHEAD_LIVES * EPOCHS_PER_LIFE
) -> int:
    """Puts a backup in the place of a damaged file, which is kept beside it. Returns the number of slices.

    A backup is old: an owner that it names may have been followed by another, so every line is emptied, and epochs start
    far ahead of any that a proxy may have seen. The pilots then wait out a lease and the settle time for each slice.
    """
    source = Ledger(backup, deployment, slices)
    try:
        rows, life = source.load(), source.life()
    finally:
        source.close()
    for suffix in ("", "-wal", "-shm"):
        if os.path.exists(path + suffix):
            os.replace(path + suffix, path + ".damaged" + suffix)
    target = Ledger(path, deployment, slices)
    try:
        target.begin(life + AHEAD_LIVES)
        target.put(SliceRecord(row.slice, row.epoch + ahead, row.version + 1) for row in rows)
    finally:
        target.close()
    return len(rows)
