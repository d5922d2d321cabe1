"""A store whose disk refuses a commit for a while."""

import sqlite3

import pytest

from cedarshift.judge.charge import SliceRecord
from cedarshift.store.ledger import Ledger


class RefusingCommits:
    """A database whose next commits fail, as with a full disk; the transaction stays open, as SQLite leaves it."""

    def __init__(self, real, times):
        self.real, self.times = real, times

    def execute(self, statement, *values):
        if statement == "COMMIT" and self.times:
            self.times -= 1
            raise sqlite3.OperationalError("database or disk is full")
        return self.real.execute(statement, *values)

    def __getattr__(self, name):
        return getattr(self.real, name)


def test_a_commit_that_the_disk_refuses_spoils_no_later_one(tmp_path):
    ledger = Ledger(str(tmp_path / "store.db"), "trial", 2)
    ledger.db = RefusingCommits(ledger.db, 2)
    for _ in range(2):
        with pytest.raises(sqlite3.OperationalError, match="full"):
            ledger.put([SliceRecord(0, 1, 1, "p0", "a")])
    assert ledger.load()[0].owner == ""  # none of it is kept
    ledger.put([SliceRecord(0, 2, 2, "p0", "b")])
    ledger.close()
    assert Ledger(str(tmp_path / "store.db"), "trial", 2).load()[0].owner == "b"
