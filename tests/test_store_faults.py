"""A store whose disk temporarily refuses commits."""

import sqlite3

import pytest

from cedarshift.judge.charge import SliceRecord
from cedarshift.store.ledger import Ledger


class FailingCommits:
    """A database whose next commits fail as on a full disk, with the transaction left open as SQLite does."""

    def __init__(self, real, times):
        self.real, self.times = real, times

    def execute(self, statement, *values):
        if statement == "COMMIT" and self.times:
            self.times -= 1
            raise sqlite3.OperationalError("database or disk is full")
        return self.real.execute(statement, *values)

    def __getattr__(self, name):
        return getattr(self.real, name)


def test_a_failed_commit_does_not_affect_later_ones(tmp_path):
    ledger = Ledger(str(tmp_path / "store.db"), "trial", 2)
    ledger.db = FailingCommits(ledger.db, 2)
    for _ in range(2):
        with pytest.raises(sqlite3.OperationalError, match="full"):
            ledger.put([SliceRecord(0, 1, 1, "p0", "a")])
    assert ledger.load()[0].owner == ""  # nothing was written
    ledger.put([SliceRecord(0, 2, 2, "p0", "b")])
    ledger.close()
    assert Ledger(str(tmp_path / "store.db"), "trial", 2).load()[0].owner == "b"
