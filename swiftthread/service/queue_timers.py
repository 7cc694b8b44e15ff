"""Timers of pending events and of queue groups. No I/O: the owner polls for due timers."""

import heapq
import math
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from swiftthread.routing.events import Event
from swiftthread.service.queue_group import QueueGroup

# The heap is rebuilt when more than this number of its timers, and more than half of them, belong to events
# that have left.
MAX_STALE_TIMERS = 64


class EventTimer:
    """A timer in the heap of `EventTimers`."""

    __slots__ = ("event",)

    def __init__(self, event: Event) -> None:
        self.event: Event | None = event
        """The event of the timer; None once the event has left."""


class DueEvent(NamedTuple):
    """An event whose timer is due."""

    event: Event
    is_deadline: bool
    """Whether the event's deadline is due; if not, the pause of its ordering key is over."""


class EventTimers:
    """Timers for the deadlines of pending events, and for the ends of pauses that ordered events wait for."""

    def __init__(self) -> None:
        self.deadlines: dict[Event, EventTimer] = {}
        """Pending event -> the timer of its deadline; an entry is removed when its event leaves."""
        self.heap: list[tuple[float, int, EventTimer]] = []
        """Tuples of (due time in ms, sequence number, timer); a tuple is removed once it is due."""
        self._next_sequence_number = count()
        self._stale_count = 0

    def set_deadline(self, event: Event, at: float) -> None:
        """Start the timer of an event's deadline."""
        # An earlier timer of it no longer has an effect.
        self.deadlines[event] = self._start(event, at)

    def start_pause(self, event: Event, until: float) -> None:
        """Start a timer for the time at which the pause of the event's ordering key is over."""
        self._start(event, until)

    def cancel(self, event: Event) -> None:
        """Forget an event that leaves."""
        # It is forgotten so that its body does not stay in memory for its whole max age.
        timer = self.deadlines.pop(event, None)
        if timer is None:
            return
        timer.event = None
        self._stale_count += 1
        if self._stale_count > MAX_STALE_TIMERS and 2 * self._stale_count > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].event is not None]
            heapq.heapify(self.heap)
            self._stale_count = 0

    def next_at(self) -> float:
        """Returns when the next timer of a pending event is due (ms); inf when there is none."""
        while self.heap and self.heap[0][2].event not in self.deadlines:
            self._pop()
        return self.heap[0][0] if self.heap else math.inf

    def pop_due(self, now: float) -> Iterator[DueEvent]:
        """Remove and yield due events one by one; the caller may start and cancel timers meanwhile."""
        while self.heap and self.heap[0][0] <= now:
            timer = self._pop()
            event = timer.event
            if event is not None and event in self.deadlines:
                yield DueEvent(event, self.deadlines[event] is timer)

    def _start(self, event: Event, at: float) -> EventTimer:
        timer = EventTimer(event)
        heapq.heappush(self.heap, (at, next(self._next_sequence_number), timer))
        return timer

    def _pop(self) -> EventTimer:
        timer = heapq.heappop(self.heap)[2]
        self._stale_count -= timer.event is None
        return timer


class GroupTimers:
    """Timers for the times until which groups are deferred."""

    # Each group has one effective timer, due at that time or earlier. No new timer starts when the time moves
    # to a later one, because outcomes can move it many times a second.

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueueGroup]] = []
        """Tuples of (due time in ms, sequence number, group); a tuple is removed once it is due."""
        self._next_sequence_number = count()

    def start(self, group: QueueGroup) -> None:
        """Start a timer for `group.deferred_until`, unless the group has a timer that is due earlier."""
        if group.deferred_until < group.timer_at:
            group.timer_at = group.deferred_until
            heapq.heappush(self.heap, (group.deferred_until, next(self._next_sequence_number), group))

    def next_at(self) -> float:
        """Returns when the next timer is due (ms); inf when there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def pop_due(self, now: float) -> Iterator[QueueGroup]:
        """Remove and yield the groups that are deferred no longer."""
        # A group that was deferred further since its timer started gets a new timer instead.
        while self.heap and self.heap[0][0] <= now:
            due_at, _, group = heapq.heappop(self.heap)
            if group.timer_at != due_at or not len(group):
                continue
            group.timer_at = math.inf
            if group.deferred_until <= now:
                yield group
            else:
                self.start(group)
