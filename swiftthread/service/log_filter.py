"""Filter that keeps the log readable in a storm of equal lines."""

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

# Bound to a line that tells of a change of state, or of an interval: it always passes.
STATE_CHANGE = {"is_state_change": True}
# s: one place in the code writes at most one line in so long.
REPEAT_INTERVAL_S = 5.0


class _PlaceHistory:
    """What one place in the code has written."""

    __slots__ = ("passed_at_s", "suppressed_count")

    def __init__(self) -> None:
        self.passed_at_s = -REPEAT_INTERVAL_S
        self.suppressed_count = 0


class RepeatFilter:
    """Loguru filter: passes one line of each place in `REPEAT_INTERVAL_S`, and counts the suppressed ones.

    The count is appended to the next line of that place.
    """

    def __init__(self) -> None:
        # (file name, line) -> its history; as many as there are places that log.
        self._history_of: dict[tuple[str, int], _PlaceHistory] = {}

    def __call__(self, record: "Record") -> bool:
        """Whether this line passes."""
        if record["extra"].get("is_state_change"):
            return True
        place = (record["file"].name, record["line"])
        history = self._history_of.setdefault(place, _PlaceHistory())
        now_s = time.monotonic()
        if now_s - history.passed_at_s < REPEAT_INTERVAL_S:
            history.suppressed_count += 1
            return False
        if history.suppressed_count:
            record["message"] += f" (and {history.suppressed_count} times before)"
        history.passed_at_s = now_s
        history.suppressed_count = 0
        return True
