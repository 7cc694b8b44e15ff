"""Clocks, in ms. Spans are measured on the monotonic one; the wall clock may be stepped at any time."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the current moment in ms."""


def monotonic_ms() -> float:
    """The clock of all spans: it only goes forward, and means nothing after another boot of the machine."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The wall clock."""
    return time.time() * 1000.0
