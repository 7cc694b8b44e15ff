"""A node whose wall clock is stepped while its monotonic clock runs on."""

import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("clock_shim.c")
OFFSET = struct.Struct("q")  # nanoseconds
NANOSECONDS_PER_SECOND = 1_000_000_000


class SteppedClock:
    """The wall clock of the processes that are started with `environ`."""

    def __init__(self, folder):
        library = folder / "clock_shim.so"
        subprocess.run(
            ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"], check=True, timeout=60
        )
        self._offset = folder / "clock_offset"
        self._offset.write_bytes(OFFSET.pack(0))
        self.environ = {"LD_PRELOAD": str(library), "CLOCK_SHIM_FILE": str(self._offset)}

    def step(self, seconds):
        """Set the clock so far ahead of the true time; negative is behind."""
        with self._offset.open("r+b") as file:
            file.write(OFFSET.pack(int(seconds * NANOSECONDS_PER_SECOND)))
