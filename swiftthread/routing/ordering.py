"""Turns of events that share an ordering key: one at a time, in the order they came."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from swiftthread.routing.events import Event

# ms: least wait of an event whose key rests, so that it is not decided again at the same moment.
MIN_REST_MS = 1.0


@dataclass(slots=True)
class OrderingQueue:
    """The pending events of one ordering key."""

    events: deque[Event] = field(default_factory=deque)
    rests_until: float = -math.inf
    """No first attempt before this moment: one of the key may still run."""


class OrderingQueues:
    """The queues of all ordering keys; one is dropped when it is empty and rested."""

    def __init__(self, rest_ms: float) -> None:
        self.rest_ms = rest_ms
        self.queues: dict[Hashable, OrderingQueue] = {}

    def add(self, event: Event, now: float) -> None:
        """Put an event behind those of its key."""
        for key in [
            key for key, queue in self.queues.items() if not queue.events and queue.rests_until <= now
        ]:
            del self.queues[key]
        self.queues.setdefault(event.ordering_key, OrderingQueue()).events.append(event)

    def may_send_at(self, event: Event, now: float) -> float:
        """When it is this event's turn: `now`, a later moment, or inf: after those before it."""
        if not event.ordering_key:
            return now
        queue = self.queues[event.ordering_key]
        if queue.events[0] is not event:
            return math.inf
        if queue.rests_until > now and event.attempts == 0:
            return max(queue.rests_until, now + MIN_REST_MS)
        return now

    def first(self, ordering_key: Hashable) -> Event | None:
        """The event whose turn it is among those of a key; None when none is pending."""
        queue = self.queues.get(ordering_key)
        return queue.events[0] if queue and queue.events else None

    def pause(self, ordering_key: Hashable, now: float) -> None:
        """Hold the next event of a key back after an attempt that may still run."""
        self.queues[ordering_key].rests_until = now + self.rest_ms

    def remove(self, event: Event) -> None:
        """Take an event out of its queue, unless it is out already or its attempt is in flight."""
        if not event.ordering_key or event.call is not None:
            return
        events = self.queues[event.ordering_key].events
        if event in events:
            events.remove(event)
