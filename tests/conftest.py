"""Reads KNOWN-RED.txt: a listed test runs, its failure does not fail the run, and it is printed by name with its cause."""

import pytest
from known_red import FILE, BadList, check_names, parse

LISTED = pytest.StashKey()
OUTCOMES = {}  # test -> how it ended


def pytest_configure(config):
    path = config.rootpath / FILE
    try:
        config.stash[LISTED] = parse(path.read_text()) if path.exists() else []
    except BadList as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    listed = config.stash[LISTED]
    named = [argument for argument in config.invocation_params.args if "::" in argument]
    if listed and not named:
        try:
            check_names(listed, [item.nodeid for item in items], config.args == config.getini("testpaths"))
        except BadList as error:
            raise pytest.UsageError(str(error)) from None
    for item in items:
        for entry in listed:
            if entry.names(item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(reason=f"known red: {entry.cause} ({entry.issue})", strict=False)
                )


def pytest_runtest_logreport(report):
    if report.when == "call" or report.outcome != "passed":
        OUTCOMES[report.nodeid] = "passes by now" if report.outcome == "passed" else "fails as known"


def pytest_terminal_summary(terminalreporter, config):
    listed = config.stash[LISTED]
    if not listed:
        return
    terminalreporter.section("known red")
    for entry in listed:
        for nodeid, outcome in sorted(OUTCOMES.items()):
            if entry.names(nodeid):
                terminalreporter.write_line(f"{nodeid}: {outcome}: {entry.cause} ({entry.issue})")
