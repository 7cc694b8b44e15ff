"""Steps the wall clock of a node while its monotonic clock continues unchanged."""

import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("clock_shim.c")
OFFSET_NS = struct.Struct("q")
NANOSECONDS_PER_SECOND = 1_000_000_000


class SteppedClock:
    """The wall clock of the processes that are started with the environment variables `environ`."""

    def __init__(self, folder):
        library = folder / "clock_shim.so"
        subprocess.run(
            ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"], check=True, timeout=60
        )
        self._offset_file = folder / "clock_offset"
        self._offset_file.write_bytes(OFFSET_NS.pack(0))
        self.environ = {"LD_PRELOAD": str(library), "CLOCK_SHIM_FILE": str(self._offset_file)}

    def step(self, seconds):
        """Set the clock `seconds` ahead of the true time, or behind it if `seconds` is negative."""
        with self._offset_file.open("r+b") as file:
            file.write(OFFSET_NS.pack(int(seconds * NANOSECONDS_PER_SECOND)))
