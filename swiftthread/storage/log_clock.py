"""Clock for the timestamps in the log."""

# The timestamps stay valid after a restart, and the clock is never stepped. The clock counts ms from an epoch
# that is set from the wall clock once for each boot of the machine, and it advances with the monotonic clock.
# Setting the wall clock forward or back has no effect on it, because deadlines and deduplication windows are
# durations of real time. The epoch is stored in a file next to the log.
#
# The monotonic clock is CLOCK_MONOTONIC, not CLOCK_BOOTTIME, which also counts the time during which the
# machine is suspended: timers of the event loop use CLOCK_MONOTONIC, and a deadline must be measured on the
# same clock as the timer that waits for it.

import json
import os
from typing import NamedTuple

from loguru import logger

from swiftthread.clocks import Clock, monotonic_ms, unix_ms

FILE_NAME = "clock"
NEW_FILE_NAME = "clock.new"
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
# Exceptions that reading a missing or malformed epoch file can raise.
EPOCH_READ_ERRORS = (OSError, ValueError, TypeError, KeyError, AttributeError)


def read_boot_id() -> str:
    """Return the kernel's id of this boot; empty if the kernel does not provide one."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as source:
            return source.read().strip()
    except (OSError, ValueError):
        return ""


class Epoch(NamedTuple):
    """Offset of the log's clock from the monotonic clock of one boot."""

    boot_id: str
    """The boot during which the epoch was stored."""
    offset_ms: float
    """Time of the log's clock minus time of the monotonic clock."""
    stored_at_monotonic_ms: float
    """When the epoch was stored, on the monotonic clock of that boot."""

    def is_valid_for(self, boot_id: str, monotonic_now_ms: float) -> bool:
        """Return whether the monotonic clock is still the one that this epoch was measured on."""
        return bool(boot_id) and boot_id == self.boot_id and monotonic_now_ms >= self.stored_at_monotonic_ms


class LogClock:
    """A clock in ms that continues over restarts of the process."""

    def __init__(
        self,
        folder: str,
        monotonic: Clock = monotonic_ms,
        wall_clock: Clock = unix_ms,
        boot_id: str | None = None,
    ) -> None:
        # Set the clock from the epoch stored in a folder, or from the wall clock if none is of this boot.
        # `folder` is the folder of the log. `monotonic` returns monotonic time in ms. `wall_clock` returns
        # Unix time in ms; it is called at most once. `boot_id` is the id of this boot; None reads it from the
        # kernel.
        self._path = os.path.join(folder, FILE_NAME)
        self._new_path = os.path.join(folder, NEW_FILE_NAME)
        self._monotonic = monotonic
        self._boot_id = read_boot_id() if boot_id is None else boot_id
        stored = self._read()
        now = monotonic()
        self.was_set_from_wall_clock = stored is None or not stored.is_valid_for(self._boot_id, now)
        """Whether no valid epoch was stored, so that the wall clock set this clock. Times stored in the log
        may then be ahead of it; see `advance_to`."""
        if stored is not None and not self.was_set_from_wall_clock:
            self._offset_ms = stored.offset_ms
            return
        self._offset_ms = wall_clock() - now
        if stored is not None:
            self.advance_to(stored.offset_ms + stored.stored_at_monotonic_ms)

    def now_ms(self) -> float:
        """Return the time in ms since the epoch."""
        # It is near Unix time unless the wall clock was stepped.
        return self._monotonic() + self._offset_ms

    def advance_to(self, passed_at: float) -> None:
        """Set the clock forward to a time that is known to have passed."""
        # It is set only if it is behind that time. After a reboot the wall clock is the only source of the
        # time. If it was set back, events would get more time until their deadlines than they had.
        self._offset_ms = max(self._offset_ms, passed_at - self._monotonic())

    def store(self) -> None:
        """Store the epoch for the next start."""
        # If that fails, a warning is logged.
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
                "the epoch of the log's clock cannot be stored: {} ({}); a restart will use the wall clock",
                error.strerror,
                self._path,
            )

    def _read(self) -> Epoch | None:
        # Return the stored epoch; None if it is missing or malformed.
        try:
            with open(self._path, encoding="ascii") as source:
                fields = json.load(source)
            return Epoch(
                str(fields["boot_id"]), float(fields["offset_ms"]), float(fields["stored_at_monotonic_ms"])
            )
        except EPOCH_READ_ERRORS:
            return None
