"""A configuration that cannot be used."""

import json
import os
import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    "text, said",
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
def test_a_bad_configuration_is_one_plain_line_and_code_2(tmp_path, text, said):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "swiftthread"],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        timeout=20,
        text=True,
    )
    assert done.returncode == 2 and said in done.stderr and done.stderr.count("\n") == 1
