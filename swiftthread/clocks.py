"""Clocks in ms. Durations are measured on the monotonic clock; the wall clock may be stepped at any time."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the current time in ms."""


def monotonic_ms() -> float:
    """Returns monotonic time, for durations."""
    # It never goes back and is meaningless after a reboot.
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Returns Unix time, from the wall clock."""
    return time.time() * 1000.0
