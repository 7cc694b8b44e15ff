"""KNOWN-RED.txt at the root.

Tests that are red for a real fault that is not mended yet, passed over and printed.

A line is `test, cause, issue`, the test as pytest names it. Three at most; each has to be there, and to fail.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownFault(NamedTuple):
    """Why a listed test fails."""

    cause: str
    issue: str


def known_red(root):
    """Known faults by test, as the file lists them; UsageError for a file that is malformed."""
    path = Path(root) / NAME
    faults = {}
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()) or test in faults:
            raise pytest.UsageError(
                f"{NAME}:{number}: wanted is `test, cause, issue`, each test once: {line!r}"
            )
        faults[test] = KnownFault(cause, issue)
    if len(faults) > MAX_ENTRIES:
        raise pytest.UsageError(f"{NAME}: {len(faults)} tests, {MAX_ENTRIES} at most")
    return faults


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Expect the listed tests to fail; UsageError for one that is not there, where it would be collected."""
    found = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    collects_all = config.args_source is not pytest.Config.ArgsSource.ARGS
    names_tests = any("::" in arg for arg in config.args)
    for test, fault in known_red(config.rootpath).items():
        if test in found:
            reason = f"{fault.cause}, {fault.issue}"
            found[test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif collects_all or test.partition("::")[0] in files and not names_tests:
            raise pytest.UsageError(f"{NAME}: no such test: {test}")


def pytest_terminal_summary(terminalreporter, config):
    """Print the listed tests."""
    for test, fault in known_red(config.rootpath).items():
        terminalreporter.write_line(f"known red, passed over: {test}: {fault.cause} ({fault.issue})")
