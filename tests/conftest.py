"""KNOWN-RED.txt at the root.

Tests that are red for a real fault that is not mended yet, passed over and printed.

A line is `test, cause, issue`, the test as pytest names it. Three at most; each has to be there, and to fail.
"""

from pathlib import Path

import pytest

NAME, MOST = "KNOWN-RED.txt", 3


def known_red(root):
    """{test: (cause, issue)} as the file says it; UsageError for a file that is none."""
    path, rows = Path(root) / NAME, {}
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()) or test in rows:
            raise pytest.UsageError(
                f"{NAME}:{number}: wanted is `test, cause, issue`, each test once: {line!r}"
            )
        rows[test] = cause, issue
    if len(rows) > MOST:
        raise pytest.UsageError(f"{NAME}: {len(rows)} tests, {MOST} at most")
    return rows


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    rows, found = known_red(config.rootpath), {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    whole = config.args_source is not pytest.Config.ArgsSource.ARGS
    for test, (cause, issue) in rows.items():
        if test in found:
            found[test].add_marker(pytest.mark.xfail(reason=f"{cause}, {issue}", strict=True))
        elif whole or test.partition("::")[0] in files and not any("::" in arg for arg in config.args):
            raise pytest.UsageError(f"{NAME}: no such test: {test}")


def pytest_terminal_summary(terminalreporter, config):
    for test, (cause, issue) in known_red(config.rootpath).items():
        terminalreporter.write_line(f"known red, passed over: {test}: {cause} ({issue})")
