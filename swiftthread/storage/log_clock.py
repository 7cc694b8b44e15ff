"""The clock of the moments that the log stores: it means the same after a restart, and is never stepped.

It counts ms from an epoch that is set once for each boot of the machine, from the wall clock as it stood
then, and runs on at the monotonic clock. A wall clock that is set forward or back changes nothing: deadlines
and deduplication windows are spans of real time. The epoch stands in a file beside the log.

CLOCK_MONOTONIC and not CLOCK_BOOTTIME, which counts the time of a suspended machine too: timers of the event
loop run by the former, and a deadline must not pass by another clock than the timer that waits for it.
"""

import json
import os
from typing import NamedTuple

from loguru import logger

from swiftthread.clocks import Clock, monotonic_ms, unix_ms

FILE_NAME = "clock"
NEW_FILE_NAME = "clock.new"
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
# What reading a stored epoch can raise.
UNREADABLE = (OSError, ValueError, TypeError, KeyError, AttributeError)


def read_boot_id() -> str:
    """The kernel's id of this boot; empty where it does not tell."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as source:
            return source.read().strip()
    except (OSError, ValueError):
        return ""


class Epoch(NamedTuple):
    """Where the clock's zero lies on the monotonic clock of a boot."""

    boot_id: str
    offset_ms: float
    """The clock's moment minus that of the monotonic clock."""
    stored_at_monotonic_ms: float

    def holds(self, boot_id: str, monotonic_now_ms: float) -> bool:
        """Whether the monotonic clock is still the one that this was measured on."""
        return bool(boot_id) and boot_id == self.boot_id and monotonic_now_ms >= self.stored_at_monotonic_ms


class LogClock:
    """Gives the present moment in ms; call `now_ms`.

    Attributes:
        was_set_from_wall_clock: Whether no valid epoch was stored, so that the wall clock set this clock.
            Times stored in the log may then be ahead of it; see `advance_to`.
    """

    def __init__(
        self,
        folder: str,
        monotonic: Clock = monotonic_ms,
        wall_clock: Clock = unix_ms,
        boot_id: str | None = None,
    ) -> None:
        """Set the clock by the epoch in a folder, or by the wall clock where none is stored for this boot.

        Args:
            folder: Where the log is.
            monotonic: Gives monotonic ms.
            wall_clock: Gives Unix ms; asked once.
            boot_id: The id of this boot; None asks the kernel.
        """
        self._path = os.path.join(folder, FILE_NAME)
        self._new_path = os.path.join(folder, NEW_FILE_NAME)
        self._monotonic = monotonic
        self._boot_id = read_boot_id() if boot_id is None else boot_id
        stored = self._read()
        now = monotonic()
        self.was_set_from_wall_clock = stored is None or not stored.holds(self._boot_id, now)
        if stored is not None and not self.was_set_from_wall_clock:
            self._offset_ms = stored.offset_ms
            return
        self._offset_ms = wall_clock() - now
        if stored is not None:
            self.advance_to(stored.offset_ms + stored.stored_at_monotonic_ms)

    def now_ms(self) -> float:
        """The present moment: ms since the epoch, near Unix time unless the wall clock was stepped."""
        return self._monotonic() + self._offset_ms

    def advance_to(self, moment: float) -> None:
        """Go on from a moment that has certainly passed, if the clock is behind it.

        After another boot the wall clock is all there is. Set back, it would give events more time than they
        had.
        """
        self._offset_ms = max(self._offset_ms, moment - self._monotonic())

    def store(self) -> None:
        """Store the epoch for the next start; a log line when that fails."""
        epoch = {
            "boot_id": self._boot_id,
            "offset_ms": self._offset_ms,
            "stored_at_monotonic_ms": self._monotonic(),
        }
        try:
            with open(self._new_path, "w", encoding="ascii") as target:
                json.dump(epoch, target)
            os.replace(self._new_path, self._path)
        except OSError as error:
            logger.warning(
                "the clock's epoch cannot be stored: {} ({}); a restart will trust the wall clock",
                error.strerror,
                self._path,
            )

    def _read(self) -> Epoch | None:
        """The stored epoch; None when there is none that can be read."""
        try:
            with open(self._path, encoding="ascii") as source:
                fields = json.load(source)
            return Epoch(
                str(fields["boot_id"]), float(fields["offset_ms"]), float(fields["stored_at_monotonic_ms"])
            )
        except UNREADABLE:
            return None
