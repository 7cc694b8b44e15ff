"""Queues of pending events: a scheduling cycle costs what can move, not what is held. No I/O.

The router decides everything: the order, and what becomes of each event. Known here is only whom to ask.
Events of one destination that the router treats alike stand in one `QueueGroup`; when its most urgent event
is deferred, so would be all behind it, and none of them is asked. An ordered event whose ordering key has
others before it is in no group until it is the next.
"""

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

# Events asked behind a deferred one where routes are separate or a call can be joined: what one of them waits
# for, another may not.
MAX_ASKED_BEHIND_DEFERRED = 3
# ms: least time until an event is asked again whose deadline the router has moved.
MIN_DEADLINE_EXTENSION_MS = 1.0


class EventDecision(NamedTuple):
    """What the router decided for an event, or the exception with which it failed."""

    event: Event
    answer: Send | Reject | Abandon | Exception


class GroupHead(NamedTuple):
    """The rank of a group's most urgent event; the lowest is asked first."""

    rank: tuple[float, float]
    sequence_number: int
    group: QueueGroup


class PendingQueues:
    """Pending events, and the order in which the router is asked for them.

    Attributes:
        group_of: Pending event -> its group, None while its ordering key has others; emptied as events leave.
        groups: Groups by key; emptied with their last event.
        groups_by_destination: The same groups (as an ordered set) by destination; emptied with them.
        waiting_for_slot: Ordered set of groups that may wait for a slot of any destination; emptied by the
            next outcome.
        event_timers: Deadlines and rests of events.
        group_timers: Wake-ups of deferred groups.
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        self.group_of: dict[Event, QueueGroup | None] = {}
        self.groups: dict[tuple[Hashable, ...], QueueGroup] = {}
        self.groups_by_destination: dict[Destination, dict[QueueGroup, bool]] = {}
        self.waiting_for_slot: dict[QueueGroup, bool] = {}
        self.event_timers = EventTimers()
        self.group_timers = GroupTimers()
        self._next_sequence_number = count()
        # Ordered set of groups to ask in the next scheduling cycle; emptied by it.
        self._ready: dict[QueueGroup, bool] = {}
        # Decided in this cycle; emptied at its end, or at the next one's where an error broke it off.
        self._decided: list[EventDecision] = []
        # Ordered set of the ordering keys of which an event has left; emptied by each scheduling cycle.
        self._released_ordering_keys: dict[Hashable, bool] = {}

    def __len__(self) -> int:
        return len(self.group_of)

    def add(self, event: Event, now: float) -> None:
        """Queue an event until it is decided."""
        self.group_of[event] = None
        self.event_timers.set_deadline(event, self.router.give_up_at(event, now))
        self._enqueue(event, now)

    def remove(self, event: Event) -> None:
        """Forget an event that ended or was decided: the next of its ordering key may go."""
        self._leave_group(event)
        self.group_of.pop(event, None)
        self.event_timers.cancel(event)
        if event.ordering_key:
            self._released_ordering_keys[event.ordering_key] = True

    def wake(self, destination: Destination | None = None) -> None:
        """Ask again in the next cycle, for the router has learnt something of a destination (None: of any).

        Its groups are asked, and those that may wait for a slot.
        """
        if destination is None:
            self._ready.update(dict.fromkeys(self.groups.values(), True))
            return
        self._ready.update(self.groups_by_destination.get(destination, {}))
        if not self.router.all_slots_in_use():
            self._ready.update(self.waiting_for_slot)
            self.waiting_for_slot.clear()

    def next_wakeup_at(self) -> float:
        """When the next scheduling cycle is due (ms); -inf when events can move now."""
        if self._ready or self._released_ordering_keys:
            return -math.inf
        return min(self.group_timers.next_at(), self.event_timers.next_at())

    def run_cycle(self, now: float) -> list[EventDecision]:
        """Ask the router; return what it decided, in the order asked. Those events are queued no more.

        An event for which the router fails is returned with its exception: the others must not wait for it.
        """
        self._handle_due_events(now)
        self._enqueue_next_in_order(now)
        for group in self.group_timers.pop_due(now):
            self._ready[group] = True
        if self.router.is_over_capacity():
            self._shed_load(now)
        self._ask_ready_groups(now)
        decided = self._decided
        self._decided = []
        return decided

    def _enqueue(self, event: Event, now: float) -> None:
        """Put an event into its group, unless its ordering key has others before it or rests."""
        may_send_at = self.router.ordering_ready_at(event, now)
        if may_send_at > now:
            if may_send_at < math.inf:
                self.event_timers.start_rest(event, may_send_at)
            return
        key = (event.destination, *self.router.queue_class(event))
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = QueueGroup(key, event.destination, self.router, now)
            self.groups_by_destination.setdefault(event.destination, {})[group] = True
            self._ready[group] = True
        group.add(event, next(self._next_sequence_number))
        self.group_of[event] = group

    def _leave_group(self, event: Event) -> None:
        """Take an event out of its group; a group without events goes."""
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
        """Ask for events at their deadline, and queue those whose ordering key has rested."""
        for event, is_deadline in self.event_timers.pop_due(now):
            if not is_deadline:
                if self.group_of[event] is None:
                    self._enqueue(event, now)
            elif isinstance(self._ask(event, now), Defer):  # the router has moved its deadline
                extended_to = self.router.give_up_at(event, now)
                self.event_timers.set_deadline(event, max(now + MIN_DEADLINE_EXTENSION_MS, extended_to))

    def _enqueue_next_in_order(self, now: float) -> None:
        for ordering_key in self._released_ordering_keys:
            event = self.router.next_in_order(ordering_key)
            if event in self.group_of and self.group_of[event] is None:
                self._enqueue(event, now)
        self._released_ordering_keys.clear()

    def _ask(self, event: Event, now: float) -> Send | Reject | Abandon | Defer | Exception:
        """Ask the router for one event, which is queued no more once it is decided."""
        answer: Send | Reject | Abandon | Defer | Exception
        try:
            answer = self.router.decide(event, now)
        except Exception as error:  # ends this event alone: raised where its decision is awaited
            answer = error
        if not isinstance(answer, Defer):
            self.remove(event)
            self._decided.append(EventDecision(event, answer))
        return answer

    def _shed_load(self, now: float) -> None:
        """Over capacity, ask for the least urgent events of the longest queues: the router rejects them."""
        for destination in sorted(
            self.groups_by_destination, key=lambda destination: -destination.pending_count
        ):
            candidates: list[QueueEntry] = []
            for group in self.groups_by_destination[destination]:
                candidates += group.least_urgent_rejectable(self.router.excess_pending())
            for _, _, _, event in sorted(candidates, key=lambda entry: entry[:3]):
                if not self.router.is_over_capacity():
                    return
                self._ask(event, now)
            if not self.router.is_over_capacity():
                return

    def _ask_ready_groups(self, now: float) -> None:
        """Ask for the most urgent event of all ready groups, again and again, while they move."""
        ready = self._ready
        self._ready = {}
        heads: list[GroupHead] = []
        sent_to: set[Destination] = set()
        for group in ready:
            self._push_head(group, now, heads)
        while heads:
            group = heapq.heappop(heads).group
            if self.router.all_slots_in_use() and group.destination not in sent_to:
                # Nothing moves but what joins a call of this scheduling cycle.
                self.waiting_for_slot[group] = True
                group.asleep_until = math.inf
                continue
            event = group.entries[-1][EVENT]
            answer = self._ask(event, now)
            if isinstance(answer, Defer):
                self._defer(group, event, now)
                continue
            if isinstance(answer, Send):
                sent_to.add(group.destination)
            self._push_head(group, now, heads)

    def _push_head(self, group: QueueGroup, now: float, heads: list[GroupHead]) -> None:
        """Put a group's most urgent event among those to ask, if it has any."""
        while True:
            group.sort_if_due(now, self._next_sequence_number)
            event = group.next_event()
            if event is None:
                return
            if self.router.ordering_ready_at(event, now) <= now:
                rank = group.rank(event, now)
                heapq.heappush(heads, GroupHead(rank, next(self._next_sequence_number), group))
                return
            # An earlier attempt of its ordering key ended meanwhile, and the key rests.
            group.entries.pop()
            self._leave_group(event)
            self._enqueue(event, now)

    def _defer(self, group: QueueGroup, event: Event, now: float) -> None:
        """The most urgent event was deferred: its group waits until then, or for what ends before."""
        next_check = self.router.next_check(event, now)
        group.asleep_until = next_check.at
        if next_check.or_after_outcome and self.router.slots_are_scarce():
            self.waiting_for_slot[group] = True
        self.group_timers.start(group)
        destination = group.destination
        if self.router.has_separate_routes(destination) or self.router.has_joinable_call(destination, now):
            for event_behind in group.events_behind_next(MAX_ASKED_BEHIND_DEFERRED):
                self._ask(event_behind, now)
