"""Clocks of the node, in ms."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the current moment in ms."""


def monotonic_ms() -> float:
    """The router's clock: it only goes forward, and means nothing to another process."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Unix time, for moments that must mean the same after a restart."""
    return time.time() * 1000.0
