"""Queues of pending events. No I/O."""

# The cost of a scheduling cycle depends on the number of events that can be decided, not on the number
# pending.
#
# The router makes every decision: the order of the events and what happens to each. This module only selects
# the events that the router is asked to decide. Events of one destination that the router treats alike share
# one `QueueGroup`: when the router defers the most urgent of them, it would also defer all events behind it,
# so it is not asked about those. An ordered event is in no group while earlier events of its ordering key are
# pending.

import heapq
import math
from collections.abc import Hashable
from itertools import count
from typing import NamedTuple

from swiftthread.routing.events import Destination, Event
from swiftthread.routing.messages import Abandon, Defer, Reject, Send
from swiftthread.routing.router import Router
from swiftthread.service.queue_group import EVENT, QueueEntry, QueueGroup
from swiftthread.service.queue_timers import EventTimers, GroupTimers

# Number of events behind a deferred one that the router is still asked to decide, where each endpoint has a
# separate rate limit or a call can be joined: there, the reason to defer one event need not apply to the
# next one.
MAX_EVENTS_BEHIND_DEFERRED = 3
# Minimum time until the router is asked again about an event whose deadline it has extended.
MIN_DEADLINE_EXTENSION_MS = 1.0


class EventDecision(NamedTuple):
    """The router's decision on an event, or the exception that it raised instead."""

    event: Event
    decision: Send | Reject | Abandon | Exception


class GroupHead(NamedTuple):
    """The rank of a group's most urgent event; the group with the lowest rank comes first."""

    rank: tuple[float, float]
    sequence_number: int
    group: QueueGroup


class PendingQueues:
    """Pending events, and the order in which the router is asked to decide them."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.group_of: dict[Event, QueueGroup | None] = {}
        """Pending event -> its group, or None while it waits for its ordering key; an entry is removed when
        its event leaves.
        """
        self.groups: dict[tuple[Hashable, ...], QueueGroup] = {}
        """Groups by key; a group is removed with its last event."""
        self.groups_by_destination: dict[Destination, dict[QueueGroup, bool]] = {}
        """The same groups (as ordered sets) by destination; removed together with them."""
        self.waiting_for_slot: dict[QueueGroup, bool] = {}
        """Ordered set of groups that may wait for a slot held by a call to any destination; emptied by the
        next outcome.
        """
        self.event_timers = EventTimers()
        """Deadlines of events, and ends of the pauses of their ordering keys."""
        self.group_timers = GroupTimers()
        """Times at which deferred groups become ready."""
        self._next_sequence_number = count()
        # Ordered set of groups that the next scheduling cycle handles; emptied by it.
        self._ready: dict[QueueGroup, bool] = {}
        # Decisions of this cycle; emptied at its end. If an error aborts it, the next cycle returns them.
        self._decided: list[EventDecision] = []
        # Ordered set of ordering keys of which an event has left since the last cycle; emptied by each cycle.
        self._unblocked_ordering_keys: dict[Hashable, bool] = {}

    def __len__(self) -> int:
        return len(self.group_of)

    def add(self, event: Event, now: float) -> None:
        """Queue an event until it is decided."""
        self.group_of[event] = None
        self.event_timers.set_deadline(event, self.router.deadline(event, now))
        self._enqueue(event, now)

    def remove(self, event: Event) -> None:
        """Remove an event that was decided or finished."""
        # The next event of its ordering key may follow.
        self._leave_group(event)
        self.group_of.pop(event, None)
        self.event_timers.cancel(event)
        if event.ordering_key:
            self._unblocked_ordering_keys[event.ordering_key] = True

    def wake(self, destination: Destination | None = None) -> None:
        """Make deferred groups ready for the next cycle after a change in the router.

        Args:
            destination: Destination whose state changed; None makes all groups ready.
        """
        # These are the groups of the destination, and if a call slot is free, those that may wait for one.
        if destination is None:
            self._ready.update(dict.fromkeys(self.groups.values(), True))
            return
        self._ready.update(self.groups_by_destination.get(destination, {}))
        if not self.router.all_slots_in_use():
            self._ready.update(self.waiting_for_slot)
            self.waiting_for_slot.clear()

    def next_wakeup_at(self) -> float:
        """Returns when the next scheduling cycle is due (ms); -inf when events may be decided now."""
        if self._ready or self._unblocked_ordering_keys:
            return -math.inf
        return min(self.group_timers.next_at(), self.event_timers.next_at())

    def run_cycle(self, now: float) -> list[EventDecision]:
        """Ask the router to decide events, and return its decisions in that order."""
        # Decided events leave the queues. An event for which the router raises an exception is returned with
        # that exception, so that it does not hold up the others.
        self._handle_due_events(now)
        self._enqueue_next_in_order(now)
        for group in self.group_timers.pop_due(now):
            self._ready[group] = True
        if self.router.is_over_capacity():
            self._shed_load(now)
        self._decide_ready_groups(now)
        decided = self._decided
        self._decided = []
        return decided

    def _enqueue(self, event: Event, now: float) -> None:
        # Put an event into its group, unless its ordering key is paused or has earlier events.
        may_send_at = self.router.ordering_ready_at(event, now)
        if may_send_at > now:
            if may_send_at < math.inf:
                self.event_timers.start_pause(event, may_send_at)
            return
        key = self._group_key(event, now)
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = QueueGroup(key, event.destination, self.router, now)
            self.groups_by_destination.setdefault(event.destination, {})[group] = True
            self._ready[group] = True
        group.add(event, next(self._next_sequence_number))
        self.group_of[event] = group

    def _leave_group(self, event: Event) -> None:
        # Take an event out of its group, and remove the group when it becomes empty.
        group = self.group_of.get(event)
        if group is None:
            return
        self.group_of[event] = None
        group.discard(event)
        if not len(group):
            self._remove_group(group)

    def _remove_group(self, group: QueueGroup) -> None:
        del self.groups[group.key]
        destination_groups = self.groups_by_destination[group.destination]
        del destination_groups[group]
        if not destination_groups:
            del self.groups_by_destination[group.destination]
        self.waiting_for_slot.pop(group, None)
        self._ready.pop(group, None)

    def _handle_due_events(self, now: float) -> None:
        # Decide events at their deadline, and enqueue events whose ordering key's pause is over.
        for event, is_deadline in self.event_timers.pop_due(now):
            if not is_deadline:
                if self.group_of[event] is None:
                    self._enqueue(event, now)
            # The deadline may have been extended since its timer was started, or may be by the decision.
            elif self.router.deadline(event, now) > now or isinstance(self._decide(event, now), Defer):
                self._extend_deadline(event, now)

    def _extend_deadline(self, event: Event, now: float) -> None:
        # The router has extended the deadline of an event. It may now get another decision than its group.
        deadline = max(now + MIN_DEADLINE_EXTENSION_MS, self.router.deadline(event, now))
        self.event_timers.set_deadline(event, deadline)
        group = self.group_of[event]
        if group is not None and group.key != self._group_key(event, now):
            self._leave_group(event)
            self._enqueue(event, now)

    def _group_key(self, event: Event, now: float) -> tuple[Hashable, ...]:
        return (event.destination, *self.router.queue_key(event, now))

    def _enqueue_next_in_order(self, now: float) -> None:
        for ordering_key in self._unblocked_ordering_keys:
            event = self.router.first_pending_of_key(ordering_key)
            if event in self.group_of and self.group_of[event] is None:
                self._enqueue(event, now)
        self._unblocked_ordering_keys.clear()

    def _decide(self, event: Event, now: float) -> Send | Reject | Abandon | Defer | Exception:
        # Ask the router to decide one event; unless it is deferred, the event leaves the queues.
        decision: Send | Reject | Abandon | Defer | Exception
        try:
            decision = self.router.decide(event, now)
        except Exception as error:  # affects this event only: raised where its decision is awaited
            decision = error
        if not isinstance(decision, Defer):
            self.remove(event)
            self._decided.append(EventDecision(event, decision))
        return decision

    def _shed_load(self, now: float) -> None:
        # Let the router reject the least urgent events of the longest queues until it is within capacity.
        for destination in sorted(
            self.groups_by_destination, key=lambda destination: -destination.pending_count
        ):
            candidates: list[QueueEntry] = []
            for group in self.groups_by_destination[destination]:
                candidates += group.least_urgent_rejectable(self.router.excess_pending())
            for _, _, _, event in sorted(candidates, key=lambda entry: entry[:3]):
                if not self.router.is_over_capacity():
                    return
                self._decide(event, now)
            if not self.router.is_over_capacity():
                return

    def _decide_ready_groups(self, now: float) -> None:
        # Decide the most urgent event of all ready groups repeatedly, until each is deferred or empty.
        ready = self._ready
        self._ready = {}
        heads: list[GroupHead] = []
        destinations_sent_to: set[Destination] = set()
        for group in ready:
            self._push_head(group, now, heads)
        while heads:
            group = heapq.heappop(heads).group
            if self.router.all_slots_in_use() and group.destination not in destinations_sent_to:
                # Only events that join a call of this scheduling cycle can still be sent.
                self.waiting_for_slot[group] = True
                group.deferred_until = math.inf
                continue
            event = group.entries[-1][EVENT]
            decision = self._decide(event, now)
            if isinstance(decision, Defer):
                self._defer(group, event, now)
                continue
            if isinstance(decision, Send):
                destinations_sent_to.add(group.destination)
            self._push_head(group, now, heads)

    def _push_head(self, group: QueueGroup, now: float, heads: list[GroupHead]) -> None:
        # Add a group's most urgent event to `heads`, if the group has any event that may be sent now.
        while True:
            group.sort_if_due(now, self._next_sequence_number)
            event = group.next_event()
            if event is None:
                return
            if self.router.ordering_ready_at(event, now) <= now:
                rank = group.rank(event, now)
                heapq.heappush(heads, GroupHead(rank, next(self._next_sequence_number), group))
                return
            # Meanwhile an earlier attempt of its ordering key finished, so the key is paused.
            group.entries.pop()
            self._leave_group(event)
            self._enqueue(event, now)

    def _defer(self, group: QueueGroup, event: Event, now: float) -> None:
        # Let a group wait after its most urgent event was deferred. It waits until the time of the next
        # check, or until an outcome makes it ready earlier.
        next_check = self.router.next_check(event, now)
        group.deferred_until = next_check.at
        if next_check.or_after_outcome and self.router.slots_are_scarce():
            self.waiting_for_slot[group] = True
        self.group_timers.start(group)
        destination = group.destination
        if self.router.has_separate_routes(destination) or self.router.has_joinable_call(destination, now):
            for event_behind in group.events_behind_next(MAX_EVENTS_BEHIND_DEFERRED):
                self._decide(event_behind, now)
