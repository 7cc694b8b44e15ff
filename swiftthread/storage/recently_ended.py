"""Ids of events that ended a moment ago, by which a repeated submission is recognised."""

from collections.abc import Callable, ItemsView
from typing import NamedTuple

# For so long a client may submit an event again on another connection. After a restart it counts from the
# start, because nobody could submit anything while the process was away.
RETENTION_MS = 3000.0


class EndedEvent(NamedTuple):
    """What is remembered of an ended event.

    Attributes:
        ended_at: When it ended (ms on the clock of the log), or of the start that read of it in the log.
        fingerprint: See `PendingEvent.fingerprint`; None where an old log names none.
    """

    ended_at: float
    fingerprint: str | None


class RecentlyEndedEvents:
    """The ids that ended within `RETENTION_MS`, oldest first."""

    def __init__(self, log_clock: Callable[[], float]) -> None:
        self._log_clock = log_clock
        self._events: dict[str, EndedEvent] = {}

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event_id: str, fingerprint: str | None) -> None:
        """Remember an event that ends now."""
        self._events[event_id] = EndedEvent(self._log_clock(), fingerprint)

    def discard(self, event_id: str) -> None:
        """Forget an id, if it is there."""
        self._events.pop(event_id, None)

    def get(self, event_id: str) -> EndedEvent | None:
        """What is remembered of an id; None when it did not end recently."""
        return self._events.get(event_id)

    def items(self) -> ItemsView[str, EndedEvent]:
        """(id, what is remembered of it), oldest first."""
        return self._events.items()

    def expire(self) -> None:
        """Forget the ids that ended too long ago."""
        while self._events:
            oldest_id = next(iter(self._events))
            if self._events[oldest_id].ended_at >= self._log_clock() - RETENTION_MS:
                return
            del self._events[oldest_id]
