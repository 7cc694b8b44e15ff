"""One queue of pending events of a destination that the router treats alike."""

import math
from bisect import insort
from collections.abc import Hashable, Iterator
from typing import Final

from swiftthread.routing.events import Destination, Event
from swiftthread.routing.router import Router

# ms, plus ms for each entry: age from which the order of a queue is computed anew. Ranks drift slowly, and
# the sorting stays under a tenth of the time however long the queue is.
RESORT_INTERVAL_MS = 20.0
RESORT_INTERVAL_PER_ENTRY_MS = 0.05
# Entries beyond the wanted number that are looked at for an event that may be rejected.
MAX_EXTRA_REJECT_CANDIDATES = 8

QueueEntry = tuple[float, float, int, Event]
"""(urgency, negated latency objective in ms, sequence number, event); the most urgent sorts last.

A plain tuple: a named one doubles the time of a sort. The sequence number is unique, so that events are never
compared.
"""
EVENT: Final = 3
"""Index of the event in a `QueueEntry`."""


class QueueGroup:
    """Pending events of one destination and queue class, sorted by urgency.

    An event that leaves out of order leaves its entry behind; such an entry is obsolete and is passed over.
    The event may come back with another entry, and must not be asked by both.

    Attributes:
        key: Destination and queue class.
        destination: Where the events go.
        entries: Sorted entries, the next to be asked last; obsolete ones among them.
        asleep_until: Moment (ms) until which the router defers the events; -inf at the start.
        wakes_at: Moment (ms) of the group's timer; inf when none is set.
    """

    __slots__ = (
        "key",
        "destination",
        "entries",
        "asleep_until",
        "wakes_at",
        "_current_entries",
        "_router",
        "_sorted_at",
        "_horizon_ms",
    )

    def __init__(
        self, key: tuple[Hashable, ...], destination: Destination, router: Router, now: float
    ) -> None:
        self.key = key
        self.destination = destination
        self.entries: list[QueueEntry] = []
        self.asleep_until = -math.inf
        self.wakes_at = math.inf
        self._current_entries: dict[Event, QueueEntry] = {}
        self._router = router
        self._sorted_at = now
        self._horizon_ms = router.ranking_horizon_ms(destination, now)

    def __len__(self) -> int:
        return len(self._current_entries)

    def is_current(self, entry: QueueEntry) -> bool:
        """Whether the entry's event waits by it; if not, the entry is obsolete."""
        return self._current_entries.get(entry[EVENT]) is entry

    def add(self, event: Event, sequence_number: int) -> None:
        """Insert an event by its urgency at the moment of the last sort."""
        insort(self.entries, self._make_entry(event, sequence_number))

    def discard(self, event: Event) -> None:
        """Take an event out; its entry stays as an obsolete one."""
        del self._current_entries[event]
        if not self._current_entries:
            self.entries = []

    def next_event(self) -> Event | None:
        """The most urgent event, None when the group is empty. Obsolete entries before it are dropped."""
        entries = self.entries
        while entries and not self.is_current(entries[-1]):
            entries.pop()
        return entries[-1][EVENT] if entries else None

    def events_behind_next(self, count: int) -> Iterator[Event]:
        """Those of the `count` entries behind the most urgent one whose events still wait."""
        for entry in self.entries[-2 : -2 - count : -1]:
            if self.is_current(entry):
                yield entry[EVENT]

    def rank(self, event: Event, now: float) -> tuple[float, float]:
        """Rank of an event at `now` over the group's horizon; lower ranks are asked first."""
        return self._router.urgency_rank(event, self._horizon_ms, now)

    def sort_if_due(self, now: float, next_sequence_number: Iterator[int]) -> None:
        """Compute all ranks anew when the order has grown old."""
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
        """Entries of the least urgent events that may be rejected, `limit` at most."""
        found: list[QueueEntry] = []
        for position, entry in enumerate(self.entries):
            if len(found) >= limit or position >= limit + MAX_EXTRA_REJECT_CANDIDATES:
                break
            if self.is_current(entry) and self._router.is_safe_to_reject(entry[EVENT]):
                found.append(entry)
        return found

    def _make_entry(self, event: Event, sequence_number: int) -> QueueEntry:
        urgency_rank, objective_at = self._router.urgency_rank(event, self._horizon_ms, self._sorted_at)
        entry = -urgency_rank, -objective_at, sequence_number, event
        self._current_entries[event] = entry
        return entry
