"""Ids of events that ended recently."""

# A repeated submission is recognised by them.

from collections.abc import Callable, ItemsView
from typing import NamedTuple

# Time within which a client may submit an event again on another connection. For an event that ended before a
# restart it is counted from the restart, because no client could submit anything while the process was down.
RETENTION_MS = 3000.0


class EndedEvent(NamedTuple):
    """What is retained of an ended event."""

    ended_at: float
    """When the event ended, or when a restart read its end from the log, in ms on the log's clock."""
    fingerprint: str | None
    """See `PendingEvent.fingerprint`; None if an older build wrote the log without it."""


class RecentlyEndedEvents:
    """The events that ended within the last `RETENTION_MS` by id, oldest first."""

    def __init__(self, log_clock: Callable[[], float]) -> None:
        self._log_clock = log_clock
        self._events: dict[str, EndedEvent] = {}

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event_id: str, fingerprint: str | None) -> None:
        """Add an event that ends now."""
        self._events[event_id] = EndedEvent(self._log_clock(), fingerprint)

    def discard(self, event_id: str) -> None:
        """Remove an id, if it is retained."""
        self._events.pop(event_id, None)

    def get(self, event_id: str) -> EndedEvent | None:
        """Return what is retained of an event; None if no event with this id ended recently."""
        return self._events.get(event_id)

    def items(self) -> ItemsView[str, EndedEvent]:
        """Return pairs of an id and what is retained of its event, oldest first."""
        return self._events.items()

    def expire(self) -> None:
        """Remove the ids of events that ended more than `RETENTION_MS` ago."""
        while self._events:
            oldest_id = next(iter(self._events))
            if self._events[oldest_id].ended_at >= self._log_clock() - RETENTION_MS:
                return
            del self._events[oldest_id]
