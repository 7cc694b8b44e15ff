"""Runs a case and writes its record."""

import os
import pathlib
import shutil
import sys
import tempfile

from support.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(folder, play):
    """Play a case with or without its disruption, write `record.txt` into its folder, and exit.

    `play(record, temporary_folder, has_trouble)` returns the exit code.
    """
    record = Record()
    temporary_folder = pathlib.Path(tempfile.mkdtemp())
    try:
        code = play(record, temporary_folder, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # the case could not run
        record.add("verdict", f"the case could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        record.write(folder / "record.txt")
        shutil.rmtree(temporary_folder, ignore_errors=True)
    sys.exit(code)
