"""The list of tests known to be red: what is on it is passed over and printed, and nothing else is."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("number", [1, 2, 3])
def test_worse(number): assert False
"""
BAD, WORSE = "tests/test_it.py::test_bad", "tests/test_it.py::test_worse[%d]"
ALL = [f"{BAD}, the cause, or what is known of it, issue 7"] + [
    f"{WORSE % number}, another, issue 8" for number in (1, 2, 3)
]


def run(folder, lines, *args):
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    shutil.copy(Path(__file__).with_name("conftest.py"), folder / "tests")
    shutil.copy(Path(__file__).parents[1] / "pyproject.toml", folder)
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *args], cwd=folder, capture_output=True, text=True
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("lines", [None, [], [""]])
def test_without_entries_every_red_test_is_red(tmp_path, lines):
    code, said = run(tmp_path, lines)
    assert code == 1 and "4 failed, 1 passed" in said and "known red" not in said


def test_what_is_listed_is_passed_over_and_printed_and_nothing_else_is(tmp_path):
    code, said = run(tmp_path, ALL[:3])
    assert code == 1 and "1 failed, 1 passed, 3 xfailed" in said
    assert f"known red, passed over: {BAD}: the cause, or what is known of it (issue 7)" in said


def test_with_all_that_is_red_listed_the_verdict_is_good(tmp_path):
    code, said = run(tmp_path, ALL[:3], "--deselect", WORSE % 3)
    assert code == 0 and "1 passed, 1 deselected, 3 xfailed" in said


@pytest.mark.parametrize(
    "lines, wanted",
    [
        (ALL, "4 tests, 3 at most"),
        (["tests/test_it.py::test_gone, cause, issue 7"], "no such test: tests/test_it.py::test_gone"),
        (["tests/test_gone.py::test_bad, cause, issue 7"], "no such test: tests/test_gone.py::test_bad"),
        ([BAD], "wanted is `test, cause, issue`"),
        ([BAD + ", issue 7"], "wanted is `test, cause, issue`"),
        ([ALL[0], ALL[0]], "each test once"),
    ],
)
def test_a_list_that_is_none_fails_the_run(tmp_path, lines, wanted):
    code, said = run(tmp_path, lines)
    assert code not in (0, 1) and wanted in said and "passed" not in said.replace("passed over", "")


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    code, said = run(
        tmp_path,
        ["tests/test_it.py::test_good, cause, issue 7", *ALL[:2]],
        "--deselect",
        WORSE % 2,
        "--deselect",
        WORSE % 3,
    )
    assert code == 1 and "1 failed, 2 deselected, 2 xfailed" in said and "XPASS(strict)" in said


def test_a_part_of_the_tests_can_be_run_with_a_list(tmp_path):
    code, said = run(tmp_path, ALL[:1], "tests/test_it.py::test_good")
    assert code == 0 and "1 passed" in said
