"""The laboratory's command line: invalid input exits with code 2 and prints one line for each error."""

import subprocess
import sys

import pytest

VALID_INCIDENT = """
format = 1
title = "t"
sees = "s"
[[stream]]
name = "a"
[[destination]]
number = 1
"""


def run_lab(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "swiftthread.lab", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_check_prints_all_errors_of_all_files(tmp_path):
    first, second = tmp_path / "one.toml", tmp_path / "two.toml"
    first.write_text(VALID_INCIDENT + "[[step]]\nat_ms = 5\nwhat = 'x'\n[[step]]\nat_ms = 4\nwhat = 'y'")
    second.write_text("format = 2")
    completed = run_lab("check", str(first), str(second))
    assert completed.returncode == 2 and "Traceback" not in completed.stderr
    assert [
        text in completed.stderr
        for text in ("step[0].what", "step[1].what", "step[1].at_ms", "two.toml: key format")
    ] == [True] * 4


@pytest.mark.parametrize(
    "arguments, message",
    [
        (("run", "no-such"), "no-such: no such file"),
        (("run", "calm", "--node", "other"), "--node other: is not one of"),
        (("run", "calm", "--rev", "nowhere"), "nowhere: no such revision"),
        (("compare", "nowhere", "calm"), "nowhere: no such"),
    ],
)
def test_invalid_arguments_exit_with_code_2_and_print_one_line(arguments, message, tmp_path):
    completed = run_lab(*arguments, "--into", str(tmp_path / "r"))
    assert completed.returncode == 2 and message in completed.stderr and "Traceback" not in completed.stderr


def test_a_node_that_does_not_start_is_reported_without_a_traceback(tmp_path):
    completed = run_lab("run", "calm", "--node", "exec:/bin/false", "--into", str(tmp_path / "r"))
    assert completed.returncode == 2 and "node n" in completed.stderr and "exited with 1" in completed.stderr
    assert "Traceback" not in completed.stderr
