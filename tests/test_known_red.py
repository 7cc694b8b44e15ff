"""The list of known failing tests: only the listed tests are expected to fail, and they are printed."""

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
FAILING, FAILING_WITH_PARAMETER = "tests/test_it.py::test_bad", "tests/test_it.py::test_worse[%d]"
ALL_ENTRIES = [f"{FAILING}, the cause, or what is known of it, issue 7"] + [
    f"{FAILING_WITH_PARAMETER % number}, another, issue 8" for number in (1, 2, 3)
]


def run_pytest(folder, lines, *args):
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    shutil.copy(Path(__file__).with_name("conftest.py"), folder / "tests")
    shutil.copy(Path(__file__).parents[1] / "pyproject.toml", folder)
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *args], cwd=folder, capture_output=True, text=True
    )
    return process.returncode, process.stdout + process.stderr


@pytest.mark.parametrize("lines", [None, [], [""]])
def test_without_entries_every_failing_test_fails(tmp_path, lines):
    code, output = run_pytest(tmp_path, lines)
    assert code == 1 and "4 failed, 1 passed" in output and "known red" not in output


def test_only_listed_tests_are_expected_to_fail_and_they_are_printed(tmp_path):
    code, output = run_pytest(tmp_path, ALL_ENTRIES[:3])
    assert code == 1 and "1 failed, 1 passed, 3 xfailed" in output
    assert f"known red, passed over: {FAILING}: the cause, or what is known of it (issue 7)" in output


def test_the_run_succeeds_if_all_failing_tests_are_listed(tmp_path):
    code, output = run_pytest(tmp_path, ALL_ENTRIES[:3], "--deselect", FAILING_WITH_PARAMETER % 3)
    assert code == 0 and "1 passed, 1 deselected, 3 xfailed" in output


@pytest.mark.parametrize(
    "lines, expected_error",
    [
        (ALL_ENTRIES, "4 tests, 3 at most"),
        (["tests/test_it.py::test_gone, cause, issue 7"], "no such test: tests/test_it.py::test_gone"),
        (["tests/test_gone.py::test_bad, cause, issue 7"], "no such test: tests/test_gone.py::test_bad"),
        (["review/4/run.sh, cause, issue 7"], "no such script: review/4/run.sh"),
        (["review/run.sh, cause, issue 7"], "no such test: review/run.sh"),
        (["tests/run.sh, cause, issue 7"], "no such test: tests/run.sh"),
        ([FAILING], "expected `test, cause, issue`"),
        ([FAILING + ", issue 7"], "expected `test, cause, issue`"),
        ([ALL_ENTRIES[0], ALL_ENTRIES[0]], "each test once"),
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path, lines, expected_error):
    code, output = run_pytest(tmp_path, lines)
    assert (
        code not in (0, 1) and expected_error in output and "passed" not in output.replace("passed over", "")
    )


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    code, output = run_pytest(
        tmp_path,
        ["tests/test_it.py::test_good, cause, issue 7", *ALL_ENTRIES[:2]],
        "--deselect",
        FAILING_WITH_PARAMETER % 2,
        "--deselect",
        FAILING_WITH_PARAMETER % 3,
    )
    assert code == 1 and "1 failed, 2 deselected, 2 xfailed" in output and "XPASS(strict)" in output


def test_a_listed_script_is_printed_and_not_run(tmp_path):
    script = tmp_path / "review" / "4" / "run.sh"
    script.parent.mkdir(parents=True)
    script.write_text("touch was-run; exit 1")
    lines = ["review/4/run.sh, what was seen (sh review/4/run.sh; 5 of 5 runs), issue 7", *ALL_ENTRIES[:2]]
    code, output = run_pytest(
        tmp_path, lines, "--deselect", FAILING_WITH_PARAMETER % 2, "--deselect", FAILING_WITH_PARAMETER % 3
    )
    assert code == 0 and "1 passed, 2 deselected, 2 xfailed" in output
    assert "known red, passed over: review/4/run.sh: what was seen" in output
    assert not list(tmp_path.rglob("was-run"))


def test_some_of_the_tests_can_be_run_with_a_list(tmp_path):
    code, output = run_pytest(tmp_path, ALL_ENTRIES[:1], "tests/test_it.py::test_good")
    assert code == 0 and "1 passed" in output
