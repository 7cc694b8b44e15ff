"""Start of the node with an unusable configuration."""

import json
import os
import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    "text, expected_error",
    [
        (None, "cannot be read"),
        ("{", "is not valid JSON"),
        ("[]", "cannot be read"),
        ('{"name": "n"}', "missing key 'listen'"),
        ('{"name": "n", "listen": "x", "discovery": "y:1"}', "not an address of the form host:port"),
        (
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:9",
                    "discovery": "127.0.0.1:9",
                    "seed": "7",
                    "state": "/nowhere",
                    "settings": {},
                }
            ),
            "No such file",
        ),
    ],
)
def test_an_unusable_configuration_gives_one_error_line_and_exit_code_2(tmp_path, text, expected_error):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = subprocess.run(
        [sys.executable, "-m", "swiftthread"],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        timeout=20,
        text=True,
    )
    assert process.returncode == 2 and expected_error in process.stderr and process.stderr.count("\n") == 1
