"""Tests of the known-failure list: listed failures do not fail a run, all others do."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import FILE, InvalidListError, check_names, parse

TESTS_DIR = Path(__file__).parent
TESTS = """
import pytest

def test_red():
    assert False, "a fault"

def test_green():
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_some(n):
    assert n == 1

@pytest.fixture
def broken():
    raise OSError("no set-up")

def test_set_up(broken):
    pass
"""


def run(folder, listed, *arguments):
    """Runs pytest on a temporary project and returns (exit code, output)."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS_DIR / name, folder / "tests" / name)
    (folder / "tests" / "test_one.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (folder / FILE).write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        capture_output=True,
        text=True,
    )
    return completed.returncode, completed.stdout + completed.stderr


ENTRY = "tests/test_one.py::{} | a known fault | issue 29\n"


def test_without_a_list_each_failure_fails_the_run(tmp_path):
    code, output = run(tmp_path, None)
    assert code == 1 and "2 failed, 2 passed, 1 error" in output


def test_listed_tests_run_are_printed_and_let_the_run_pass(tmp_path):
    code, output = run(
        tmp_path, "".join(ENTRY.format(name) for name in ("test_red", "test_some[2]", "test_set_up"))
    )
    assert code == 0 and "2 passed, 3 xfailed" in output
    for name in ("test_red", "test_some[2]", "test_set_up"):
        assert f"tests/test_one.py::{name}: fails as known: a known fault (issue 29)" in output


def test_a_list_lets_no_other_test_pass(tmp_path):
    code, output = run(tmp_path, ENTRY.format("test_red") + ENTRY.format("test_set_up"))
    assert code == 1 and "1 failed" in output and "FAILED tests/test_one.py::test_some[2]" in output


def test_a_listed_test_that_passes_by_now_is_printed_as_such(tmp_path):
    code, output = run(tmp_path, ENTRY.format("test_green"), "-k", "green")
    assert code == 0 and "tests/test_one.py::test_green: passes by now" in output


@pytest.mark.parametrize(
    "listed, reason",
    [
        (ENTRY.format("test_none"), "names no test"),
        ("tests/test_two.py::test_red | a | b\n", "names no test"),
        ("test_red | a | b\n", "is wanted"),
        (ENTRY.format("test_red") * 4, "3 at most"),
    ],
)
def test_a_list_that_can_t_be_used_fails_the_run(tmp_path, listed, reason):
    code, output = run(tmp_path, listed)
    assert code not in (0, 1) and reason in output


@pytest.mark.parametrize("text", ["a::b", "a::b | c", "a::b | c | d | e", "a::b |  | d", "b | c | d"])
def test_a_malformed_line_is_refused_with_its_place(text):
    with pytest.raises(InvalidListError, match=f"{FILE}:2"):
        parse("\n" + text)


def test_a_run_of_some_files_does_not_ask_for_tests_of_others():
    listed = parse("tests/a.py::one | c | d")
    check_names(listed, ["tests/b.py::two"], full_run=False)
    check_names(listed, ["tests/a.py::one[x]"], full_run=True)
    for nodeids, full_run in ((["tests/a.py::two"], False), (["tests/b.py::two"], True)):
        with pytest.raises(InvalidListError):
            check_names(listed, nodeids, full_run)
