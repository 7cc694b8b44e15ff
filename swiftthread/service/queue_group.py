"""A queue of pending events of one destination that the router treats alike."""

import math
from bisect import insort
from collections.abc import Hashable, Iterator
from typing import Final

from swiftthread.routing.events import Destination, Event
from swiftthread.routing.router import Router

# A queue is sorted again once its order is older than the first interval plus the second one per entry. Ranks
# change slowly, and sorting takes less than a tenth of the time whatever the length of the queue.
RESORT_INTERVAL_MS = 20.0
RESORT_INTERVAL_PER_ENTRY_MS = 0.05
# Number of entries, beyond the requested number of candidates, that a search for rejectable events examines.
MAX_EXTRA_REJECT_CANDIDATES = 8

QueueEntry = tuple[float, float, int, Event]
"""(urgency, negated latency objective in ms, sequence number, event); the most urgent sorts last.

It is a plain tuple because a named tuple doubles the time of a sort. The sequence number is unique, so that
events are never compared.
"""
EVENT: Final = 3
"""Index of the event in a `QueueEntry`."""


class QueueGroup:
    """Pending events of one destination and queue class, sorted by urgency."""

    # When an event that is not the most urgent one leaves, its entry stays as an obsolete entry, which is
    # skipped. The event may be added again with a new entry, and must not be decided through both.

    __slots__ = (
        "key",
        "destination",
        "entries",
        "deferred_until",
        "timer_at",
        "_current_entries",
        "_router",
        "_sorted_at",
        "_horizon_ms",
    )

    def __init__(
        self, key: tuple[Hashable, ...], destination: Destination, router: Router, now: float
    ) -> None:
        self.key = key
        """Destination and queue class."""
        self.destination = destination
        """Where the events go."""
        self.entries: list[QueueEntry] = []
        """Sorted entries, including obsolete ones; the most urgent is the last."""
        self.deferred_until = -math.inf
        """Time (ms) until which the router defers the events; -inf at the start."""
        self.timer_at = math.inf
        """Time (ms) at which the group's timer is due; inf when none is set."""
        self._current_entries: dict[Event, QueueEntry] = {}
        self._router = router
        self._sorted_at = now
        self._horizon_ms = router.ranking_horizon_ms(destination, now)

    def __len__(self) -> int:
        return len(self._current_entries)

    def is_current(self, entry: QueueEntry) -> bool:
        """Returns whether the entry is the valid one of its event; if not, the entry is obsolete."""
        return self._current_entries.get(entry[EVENT]) is entry

    def add(self, event: Event, sequence_number: int) -> None:
        """Insert an event by its urgency at the time of the last sort."""
        insort(self.entries, self._make_entry(event, sequence_number))

    def discard(self, event: Event) -> None:
        """Remove an event; its entry stays as an obsolete one."""
        del self._current_entries[event]
        if not self._current_entries:
            self.entries = []

    def next_event(self) -> Event | None:
        """Returns the most urgent event, or None for an empty group."""
        # Obsolete entries before it are dropped.
        entries = self.entries
        while entries and not self.is_current(entries[-1]):
            entries.pop()
        return entries[-1][EVENT] if entries else None

    def events_behind_next(self, count: int) -> Iterator[Event]:
        """Yields the events of those `count` entries behind the most urgent one that are not obsolete."""
        for entry in self.entries[-2 : -2 - count : -1]:
            if self.is_current(entry):
                yield entry[EVENT]

    def rank(self, event: Event, now: float) -> tuple[float, float]:
        """Returns the rank of an event at `now`; lower ranks are decided first."""
        # It uses the ranking horizon of the destination as it was at the last sort.
        return self._router.urgency_rank(event, self._horizon_ms, now)

    def sort_if_due(self, now: float, next_sequence_number: Iterator[int]) -> None:
        """Recompute all ranks and sort the entries, if the last sort is too old."""
        interval_ms = RESORT_INTERVAL_MS + RESORT_INTERVAL_PER_ENTRY_MS * len(self.entries)
        if now - self._sorted_at <= interval_ms:
            return
        self._sorted_at = now
        self._horizon_ms = self._router.ranking_horizon_ms(self.destination, now)
        self.entries = sorted(
            self._make_entry(entry[EVENT], next(next_sequence_number))
            for entry in self.entries
            if self.is_current(entry)
        )

    def least_urgent_rejectable(self, limit: int) -> list[QueueEntry]:
        """Returns the entries of the least urgent events that may be rejected, at most `limit`."""
        candidates: list[QueueEntry] = []
        for position, entry in enumerate(self.entries):
            if len(candidates) >= limit or position >= limit + MAX_EXTRA_REJECT_CANDIDATES:
                break
            if self.is_current(entry) and self._router.is_safe_to_reject(entry[EVENT]):
                candidates.append(entry)
        return candidates

    def _make_entry(self, event: Event, sequence_number: int) -> QueueEntry:
        urgency_rank, objective_at = self._router.urgency_rank(event, self._horizon_ms, self._sorted_at)
        entry = -urgency_rank, -objective_at, sequence_number, event
        self._current_entries[event] = entry
        return entry
