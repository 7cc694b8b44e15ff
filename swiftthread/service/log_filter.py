"""Log filter that limits how often one call site writes a line."""

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

# Bound to lines that report a change of state or the counts of an interval; these lines always pass.
STATE_CHANGE = {"is_state_change": True}
# Minimum interval between two lines of one call site.
REPEAT_INTERVAL_S = 5.0


class _CallSiteHistory:
    # When a call site last wrote a line, and how many lines were suppressed since.

    __slots__ = ("last_passed_at_s", "suppressed_count")

    def __init__(self) -> None:
        self.last_passed_at_s = -REPEAT_INTERVAL_S
        self.suppressed_count = 0


class RepeatFilter:
    """Loguru filter that passes one line of each call site per `REPEAT_INTERVAL_S`."""

    # It keeps the log readable when many equal lines are written. The number of suppressed lines is appended
    # to the next line of that call site.

    def __init__(self) -> None:
        # (file name, line) -> history; there is at most one entry for each call site in the code.
        self._history_by_call_site: dict[tuple[str, int], _CallSiteHistory] = {}

    def __call__(self, record: "Record") -> bool:
        """Returns whether this line passes."""
        if record["extra"].get("is_state_change"):
            return True
        call_site = (record["file"].name, record["line"])
        history = self._history_by_call_site.setdefault(call_site, _CallSiteHistory())
        now_s = time.monotonic()
        if now_s - history.last_passed_at_s < REPEAT_INTERVAL_S:
            history.suppressed_count += 1
            return False
        if history.suppressed_count:
            record["message"] += f" ({history.suppressed_count} earlier lines suppressed)"
        history.last_passed_at_s = now_s
        history.suppressed_count = 0
        return True
