"""Expects the tests listed in KNOWN-RED.txt to fail, and prints them.

The file in the root folder lists tests that fail because of a known fault that is not fixed yet. Each line is
`test, cause, issue`, with the test's pytest node id, or the path of a script `review/NAME/run.sh`. The file
may list three of both at most. Each has to exist, and a test has to fail; a script is printed and not run.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
SCRIPT = re.compile(r"review/[\w-]+/run\.sh")


class KnownFault(NamedTuple):
    """The cause of a listed test's failure, and its issue."""

    cause: str
    issue: str


def read_known_faults(root):
    """Return the listed faults by test; raise UsageError if the file is malformed."""
    path = Path(root) / FILE_NAME
    faults = {}
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()) or test in faults:
            raise pytest.UsageError(
                f"{FILE_NAME}:{number}: expected `test, cause, issue`, each test once: {line!r}"
            )
        faults[test] = KnownFault(cause, issue)
    if len(faults) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(faults)} tests, {MAX_ENTRIES} at most")
    return faults


def check_script(root, script):
    """Raise UsageError for a listed script that does not exist."""
    if not (Path(root) / script).is_file():
        raise pytest.UsageError(f"{FILE_NAME}: no such script: {script}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Mark the listed tests as expected failures; raise UsageError for an entry that does not exist."""
    items_by_test = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    collects_all = config.args_source is not pytest.Config.ArgsSource.ARGS
    selects_single_tests = any("::" in arg for arg in config.args)
    for test, fault in read_known_faults(config.rootpath).items():
        if SCRIPT.fullmatch(test):
            check_script(config.rootpath, test)
        elif test in items_by_test:
            reason = f"{fault.cause}, {fault.issue}"
            items_by_test[test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif collects_all or test.partition("::")[0] in files and not selects_single_tests:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {test}")


def pytest_terminal_summary(terminalreporter, config):
    """Print the listed tests and scripts."""
    for test, fault in read_known_faults(config.rootpath).items():
        terminalreporter.write_line(f"known red, passed over: {test}: {fault.cause} ({fault.issue})")
