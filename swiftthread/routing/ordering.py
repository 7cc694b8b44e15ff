"""Ordering of events that share an ordering key: they are sent one at a time, in the order of submission."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from swiftthread.routing.events import Event

# An event of a paused key waits at least this time, so that it is not decided again at the same time.
MIN_PAUSE_MS = 1.0


@dataclass(slots=True)
class OrderingQueue:
    """The pending events of one ordering key."""

    events: deque[Event] = field(default_factory=deque)
    paused_until: float = -math.inf
    """No event of the key gets its first attempt before this time: an earlier attempt may still run."""


class OrderingQueues:
    """The queues of all ordering keys; a queue is deleted when it is empty and no longer paused."""

    def __init__(self, pause_ms: float) -> None:
        self.pause_ms = pause_ms
        self.queues: dict[Hashable, OrderingQueue] = {}

    def add(self, event: Event, now: float) -> None:
        """Append an event to the queue of its key, and delete the queues that are no longer needed."""
        for key in [
            key for key, queue in self.queues.items() if not queue.events and queue.paused_until <= now
        ]:
            del self.queues[key]
        self.queues.setdefault(event.ordering_key, OrderingQueue()).events.append(event)

    def may_send_at(self, event: Event, now: float) -> float:
        """Return when an event may be sent: `now`, a later time, or inf while another one precedes it."""
        if not event.ordering_key:
            return now
        queue = self.queues[event.ordering_key]
        if queue.events[0] is not event:
            return math.inf
        if queue.paused_until > now and event.attempts == 0:
            return max(queue.paused_until, now + MIN_PAUSE_MS)
        return now

    def first(self, ordering_key: Hashable) -> Event | None:
        """Return the first pending event of a key; None if it has none."""
        queue = self.queues.get(ordering_key)
        return queue.events[0] if queue and queue.events else None

    def pending_events(self, ordering_key: Hashable) -> Iterable[Event]:
        """Return the pending events of a key in their order."""
        queue = self.queues.get(ordering_key)
        return queue.events if queue else ()

    def pause(self, ordering_key: Hashable, now: float) -> None:
        """Delay the next event of a key after an attempt that may still run."""
        self.queues[ordering_key].paused_until = now + self.pause_ms

    def remove(self, event: Event) -> None:
        """Remove an event from its queue, unless it was removed before or has an attempt in flight."""
        if not event.ordering_key or event.call is not None:
            return
        events = self.queues[event.ordering_key].events
        if event in events:
            events.remove(event)
