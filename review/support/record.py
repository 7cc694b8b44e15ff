"""The record of a run: what was sent, answered and run, line by line."""

import threading
import time


class Record:
    """Lines with the time since the start of the run, kept in memory and written at the end."""

    def __init__(self):
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._lines = []

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def add(self, who, text):
        """Add a line, and return its time."""
        at = self.now()
        with self._lock:
            self._lines.append(f"{at:8.3f} {who:<9} {text}")
        return at

    def write(self, path):
        """Write all lines to a file."""
        with self._lock:
            path.write_text("".join(line + "\n" for line in self._lines))
