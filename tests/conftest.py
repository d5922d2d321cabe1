"""Marks the tests listed in KNOWN-RED.txt as xfail and reports their outcomes in the terminal summary."""

import pytest
from known_red import FILE, InvalidListError, check_names, parse

KNOWN_RED_KEY = pytest.StashKey()
OUTCOMES = {}  # node ID -> outcome


def pytest_configure(config):
    path = config.rootpath / FILE
    try:
        config.stash[KNOWN_RED_KEY] = parse(path.read_text()) if path.exists() else []
    except InvalidListError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    listed = config.stash[KNOWN_RED_KEY]
    selected = [argument for argument in config.invocation_params.args if "::" in argument]
    if listed and not selected:
        try:
            check_names(listed, [item.nodeid for item in items], config.args == config.getini("testpaths"))
        except InvalidListError as error:
            raise pytest.UsageError(str(error)) from None
    for item in items:
        for entry in listed:
            if entry.matches(item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(reason=f"known red: {entry.cause} ({entry.issue})", strict=False)
                )


def pytest_runtest_logreport(report):
    if report.when == "call" or report.outcome != "passed":
        OUTCOMES[report.nodeid] = "passes by now" if report.outcome == "passed" else "fails as known"


def pytest_terminal_summary(terminalreporter, config):
    listed = config.stash[KNOWN_RED_KEY]
    if not listed:
        return
    terminalreporter.section("known red")
    for entry in listed:
        for nodeid, outcome in sorted(OUTCOMES.items()):
            if entry.matches(nodeid):
                terminalreporter.write_line(f"{nodeid}: {outcome}: {entry.cause} ({entry.issue})")
