"""Durable storage of the store: SQLite in WAL mode, with synced commits and a checksum per row.

`MemoryLedger` has the same interface without a disk. A file that is damaged or belongs to another deployment
is refused as a whole.
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

FORMAT_VERSION = 1
RESTORE_START_OFFSET = 1_000  # starts of the store that a backup may be behind
LEVELS_DECODER = msgspec.msgpack.Decoder(list[Level])

SCHEMA = """
CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS slices (slice INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, version INTEGER NOT NULL,
  pilot TEXT NOT NULL, owner TEXT NOT NULL, levels BLOB NOT NULL, checksum INTEGER NOT NULL);
"""


class DamagedLedgerError(Exception):
    """The ledger file is damaged or unusable. The message names the file, the fault and how to recover."""


def _checksum(row: SliceRecord, levels: bytes) -> int:
    """Returns the CRC-32 of a row's columns; `levels` are the encoded levels."""
    return zlib.crc32(
        msgspec.msgpack.encode([row.slice, row.epoch, row.version, row.pilot, row.owner, levels])
    )


def open_durable(path: str) -> sqlite3.Connection:
    """Opens and checks a database in WAL mode with synced commits.

    Raises sqlite3.Error if it can't be opened or is damaged.
    """
    db = sqlite3.connect(path, isolation_level=None)
    try:
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        problems = [row[0] for row in db.execute("PRAGMA quick_check(3)")]
        if problems != ["ok"]:
            raise sqlite3.DatabaseError("; ".join(problems))
    except BaseException:
        db.close()
        raise
    return db


@contextmanager
def transaction(db: sqlite3.Connection) -> Iterator[None]:
    """Runs the block in one transaction and rolls it back on any error.

    A failed COMMIT is rolled back too: an open transaction would make every later one fail.
    """
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:  # some errors roll back by themselves
            db.execute("ROLLBACK")
        raise


class MemoryLedger:
    """Keeps the rows in memory, for tests and simulations; `slices` is their number."""

    def __init__(self, slices: int) -> None:
        self.rows = {n: SliceRecord(n) for n in range(slices)}
        self.commits = 0
        self.starts = 0

    def record_start(self) -> int:
        """Counts a start of the store and returns its number, from 1."""
        self.starts += 1
        return self.starts

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
    """A store's rows in an SQLite file, created if it is missing, for a deployment of `slices` slices.

    `put` returns once the rows would survive a crash or a loss of power. The constructor raises
    DamagedLedgerError if the file can't be used.
    """

    def __init__(self, path: str, deployment: str, slices: int) -> None:
        self.path = path
        self.slices = slices
        self.commits = 0
        self.db: Optional[sqlite3.Connection] = None
        try:
            self.db = open_durable(path)
            self._check_header(deployment)
        except sqlite3.Error as error:
            self.close()
            raise self._damaged(str(error)) from None
        except DamagedLedgerError:
            self.close()
            raise

    def _damaged(self, what: str) -> DamagedLedgerError:
        """Returns the error for the fault `what`, with instructions for recovery."""
        return DamagedLedgerError(
            f"{self.path}: {what}. The file is not used. To recover, stop every pilot of the deployment, "
            f"then run `cedarshift store restore DEPLOYMENT-FILE --from BACKUP`, or move the file away to "
            f"start empty; either way each slice has no owner until a lease and the settle time have passed"
        )

    def _check_header(self, deployment: str) -> None:
        """Initialises a new file and checks the settings of an existing one.

        Raises DamagedLedgerError if the format, deployment or number of slices differs.
        """
        assert self.db is not None
        expected = {"format": str(FORMAT_VERSION), "deployment": deployment, "slices": str(self.slices)}
        self.db.execute("BEGIN IMMEDIATE")
        try:
            for statement in SCHEMA.split(";"):
                self.db.execute(statement)
            stored = dict(self.db.execute("SELECT name, value FROM about"))
            if not stored:
                self.db.executemany("INSERT INTO about VALUES (?, ?)", sorted(expected.items()))
                self._write([SliceRecord(n) for n in range(self.slices)])
                stored = expected
        finally:
            self.db.execute("COMMIT")
        for name, value in expected.items():
            if stored.get(name) != value:
                raise DamagedLedgerError(
                    f"{self.path}: made for {name} {stored.get(name)!r}, the deployment says {value!r}"
                )

    def start_count(self) -> int:
        """Returns how many starts of the store the file has recorded."""
        assert self.db is not None
        row = self.db.execute("SELECT value FROM about WHERE name = 'life'").fetchone()
        return int(row[0]) if row else 0

    def record_start(self, ahead: int = 0) -> int:
        """Durably records a start and returns its number, from 1; `ahead` is how many numbers to skip.

        Raises DamagedLedgerError if it can't be written.
        """
        assert self.db is not None
        try:
            start = self.start_count() + 1 + ahead
            with transaction(self.db):
                self.db.execute("INSERT OR REPLACE INTO about VALUES ('life', ?)", (str(start),))
        except (sqlite3.Error, ValueError) as error:
            raise self._damaged(str(error)) from None
        return start

    def load(self) -> list[SliceRecord]:
        """Returns all rows. Raises DamagedLedgerError if one is missing or its checksum is wrong."""
        assert self.db is not None
        rows = []
        try:
            records = self.db.execute(
                "SELECT slice, epoch, version, pilot, owner, levels, checksum FROM slices ORDER BY slice"
            ).fetchall()
        except sqlite3.Error as error:
            raise self._damaged(str(error)) from None
        for number, epoch, version, pilot, owner, levels, checksum in records:
            row = SliceRecord(number, epoch, version, pilot, owner)
            if not isinstance(levels, bytes) or _checksum(row, levels) != checksum:
                raise self._damaged(f"checksum mismatch in the row of slice {number}")
            row.levels = LEVELS_DECODER.decode(levels)
            rows.append(row)
        if [row.slice for row in rows] != list(range(self.slices)):
            raise self._damaged(f"{len(rows)} slices, {self.slices} expected")
        return rows

    def put(self, rows: Iterable[SliceRecord]) -> None:
        """Writes rows in one synced transaction. Raises sqlite3.Error, with nothing written, if it fails."""
        assert self.db is not None
        with transaction(self.db):
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
        """Writes a consistent copy of the file to `target` while the store runs."""
        assert self.db is not None
        copy = sqlite3.connect(target + ".part")
        try:
            self.db.backup(copy)
        finally:
            copy.close()
        os.replace(target + ".part", target)

    def close(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None


def restore(
    path: str, backup: str, deployment: str, slices: int, ahead: int = RESTORE_START_OFFSET * EPOCHS_PER_LIFE
) -> int:
    """Replaces the file at `path`, kept as `.damaged`, by a backup. Returns the number of slices.

    The owners in a backup may be outdated, so all are cleared. Each epoch is raised by `ahead`, beyond any
    that a proxy may have seen, and the count of starts by RESTORE_START_OFFSET. The pilots then wait out a
    lease and the settle time for each slice.
    """
    source = Ledger(backup, deployment, slices)
    try:
        rows, starts = source.load(), source.start_count()
    finally:
        source.close()
    for suffix in ("", "-wal", "-shm"):
        if os.path.exists(path + suffix):
            os.replace(path + suffix, path + ".damaged" + suffix)
    target = Ledger(path, deployment, slices)
    try:
        target.record_start(starts + RESTORE_START_OFFSET)
        target.put(SliceRecord(row.slice, row.epoch + ahead, row.version + 1) for row in rows)
    finally:
        target.close()
    return len(rows)
