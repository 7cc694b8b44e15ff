"""Timers of pending events and of queue groups. No I/O: the owner asks what is due."""

import heapq
import math
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from swiftthread.routing.events import Event
from swiftthread.service.queue_group import QueueGroup

# Timers of events that have left; above this number, and half of the heap, the heap is rebuilt without them.
MAX_STALE_TIMERS = 64


class EventTimer:
    """A timer in the heap of an `EventTimers`; `event` is None once the event has left."""

    __slots__ = ("event",)

    def __init__(self, event: Event) -> None:
        self.event: Event | None = event


class DueEvent(NamedTuple):
    """An event whose timer has run out."""

    event: Event
    is_deadline: bool
    """Whether it is the event's deadline; if not, the rest of its ordering key is over."""


class EventTimers:
    """Deadlines of pending events, and the ends of rests that ordered events wait for.

    Attributes:
        deadlines: Pending event -> the timer of its deadline; emptied as events leave.
        heap: (moment in ms, sequence number, timer); emptied as moments pass.
    """

    def __init__(self) -> None:
        self.deadlines: dict[Event, EventTimer] = {}
        self.heap: list[tuple[float, int, EventTimer]] = []
        self._next_sequence_number = count()
        self._stale_count = 0

    def set_deadline(self, event: Event, at: float) -> None:
        """Start the timer of an event's deadline; an earlier one of it is due without effect."""
        self.deadlines[event] = self._start(event, at)

    def start_rest(self, event: Event, until: float) -> None:
        """Start a timer for the moment at which the event's ordering key has rested."""
        self._start(event, until)

    def cancel(self, event: Event) -> None:
        """Forget an event; its body must not stay in memory for its whole max age."""
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
        """Moment (ms) of the next timer whose event still waits; inf when there is none."""
        while self.heap and self.heap[0][2].event not in self.deadlines:
            self._pop()
        return self.heap[0][0] if self.heap else math.inf

    def pop_due(self, now: float) -> Iterator[DueEvent]:
        """Take out what is due, one by one: the caller may start and cancel timers meanwhile."""
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
    """Wake-ups of deferred groups.

    A group has one effective timer, at its moment or before it: an outcome can move the moment many times a
    second.

    Attributes:
        heap: (moment in ms, sequence number, group); emptied as moments pass.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueueGroup]] = []
        self._next_sequence_number = count()

    def start(self, group: QueueGroup) -> None:
        """Wake the group at `group.asleep_until`, unless an earlier timer of it runs."""
        if group.asleep_until < group.wakes_at:
            group.wakes_at = group.asleep_until
            heapq.heappush(self.heap, (group.asleep_until, next(self._next_sequence_number), group))

    def next_at(self) -> float:
        """Moment (ms) of the next timer; inf when there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def pop_due(self, now: float) -> Iterator[QueueGroup]:
        """Take out the groups that are to be asked now; one whose moment was moved gets a new timer."""
        while self.heap and self.heap[0][0] <= now:
            moment, _, group = heapq.heappop(self.heap)
            if group.wakes_at != moment or not len(group):
                continue
            group.wakes_at = math.inf
            if group.asleep_until <= now:
                yield group
            else:
                self.start(group)
