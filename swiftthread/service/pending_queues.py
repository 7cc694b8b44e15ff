"""Events that wait, by what they wait for, so that a turn costs what can move and not what is held.

No I/O.

The module decides all of it: its order, its `where`. Here is only known whom to ask. Events of one
destination that fare alike stand in one `Group`, the next to go at its end; when that one is told "later", so
would be all behind it, and none of them is asked. Events whose subject has others before them are in no group
until their turn comes.
"""

import heapq
import math
from bisect import insort
from itertools import count

from swiftthread.routing.messages import Defer, Send

RESORT_MS, RESORT_MS_EACH = (
    20.0,
    0.05,
)  # ms, + ms an event: a group's order is this old at most; ranks drift slowly,
# and the sorting stays under a tenth of the time however long the group
# Of a group whose routes are apart, or with a call to join: what one waits for, another may not
APART_TRIES = 3
SHED_TRIES = 8  # least urgent events looked at for one that can be handed back, in each group


class QueueGroup:
    """Events that fare alike. `rows`: (rank reversed, number, event) in order, the next to go last."""

    __slots__ = (
        "key",
        "destination",
        "rows",
        "waiting",
        "sorted_at",
        "horizon_ms",
        "asleep_until",
        "wakes_at",
    )

    def __init__(self, key, destination, now, span):
        self.key, self.destination, self.rows, self.waiting = key, destination, [], 0
        self.sorted_at, self.horizon_ms, self.asleep_until, self.wakes_at = now, span, -math.inf, math.inf


class PendingQueues:
    """Owner of the order in which waiting events are asked for."""

    def __init__(self, router):
        self.router, self.number = router, count()
        # Waiting event -> its group, None while its ordering key has others; emptied as it leaves.
        self.group_of = {}
        # event in a group -> its row there; any other row of it is from before. Emptied with it
        self.row_of = {}
        self.groups, self.groups_by_destination = (
            {},
            {},
        )  # key -> group; destination -> its groups; emptied with their last event
        self.ready = {}  # groups to ask in the next turn; emptied by it
        # Groups that may wait for a slot of any destination; emptied by the next outcome.
        self.waiting_for_slot = {}
        # heap of (moment, number, group), one that counts a group; emptied as moments pass
        self.sleeping = []
        self.timed = []  # heap of [moment, number, event]: ends, and turns after a rest; emptied as they pass
        self.ends = {}  # waiting event -> the entry of its end in `timed`; emptied as it leaves
        self.stale = 0  # entries of `timed` whose event has left; they are sorted out when they are many
        # what moved in a turn; emptied at its end, or at the next one's where a fault broke it off
        self.moved = []
        self.released_ordering_keys = {}  # subjects of which an event has left or ended; emptied each turn

    def __len__(self):
        return len(self.group_of)

    def add(self, event, now):
        """An event waits to be asked for."""
        self.group_of[event] = None
        self._ends_at(event, self.router.give_up_at(event, now))
        self._seat(event, now)

    def _ends_at(self, event, moment):
        entry = self.ends[event] = [moment, next(self.number), event]
        heapq.heappush(self.timed, entry)

    def _seat(self, event, now):
        turn_at = self.router.ordering_turn_at(event, now)
        if turn_at > now:
            if turn_at < math.inf:
                heapq.heappush(self.timed, [turn_at, next(self.number), event])
            return
        key = (event.destination, *self.router.queue_class(event))
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = QueueGroup(
                key, event.destination, now, self.router.ranking_horizon_ms(event.destination, now)
            )
            self.groups_by_destination.setdefault(event.destination, {})[group] = True
            self.ready[group] = True
        insort(group.rows, self._row(event, group))
        group.waiting += 1
        self.group_of[event] = group

    def _row(self, event, group):
        urgency, slo_at = self.router.urgency_rank(event, group.horizon_ms, group.sorted_at)
        self.row_of[event] = row = -urgency, -slo_at, next(self.number), event
        return row

    def _stands(self, row):
        """Whether its event waits by this row.

        One that was asked out of order leaves its row behind, and comes back with another when its send ends:
        it must not be asked by both.
        """
        return self.row_of.get(row[3]) is row

    def wake(self, destination=None):
        """Something was learnt of a destination (None: of any).

        Its groups are asked, and who may wait for a slot.
        """
        if destination is None:
            self.ready.update(dict.fromkeys(self.groups.values(), True))
            return
        self.ready.update(self.groups_by_destination.get(destination, ()))
        if not self.router.all_slots_in_use():
            self.ready.update(self.waiting_for_slot)
            self.waiting_for_slot.clear()

    def remove(self, event):
        """An event ended, or is asked for no more: the next of its subject may go."""
        self._unseat(event)
        self.group_of.pop(event, None)
        if (entry := self.ends.pop(event, None)) is not None:
            entry[2] = None  # its body must not stay in memory for its whole max age
            self.stale += 1
            if self.stale > 64 and 2 * self.stale > len(self.timed):
                self.timed = [entry for entry in self.timed if entry[2] is not None]
                heapq.heapify(self.timed)
                self.stale = 0
        if event.ordering_key:
            self.released_ordering_keys[event.ordering_key] = True

    def _unseat(self, event):
        """Out of its group; the row is passed over when it comes up. A group without events is gone."""
        group = self.group_of.get(event)
        if group is None:
            return
        self.group_of[event] = None
        del self.row_of[event]
        group.waiting -= 1
        if not group.waiting:
            del self.groups[group.key]
            del self.groups_by_destination[group.destination][group]
            if not self.groups_by_destination[group.destination]:
                del self.groups_by_destination[group.destination]
            self.waiting_for_slot.pop(group, None)
            self.ready.pop(group, None)
            group.rows = []

    def next_wakeup_at(self):
        """When the next turn is due; -inf when events can move now."""
        if self.ready or self.released_ordering_keys:
            return -math.inf
        while self.timed and self.timed[0][2] not in self.group_of:
            self._pop_timed()
        return min(
            self.sleeping[0][0] if self.sleeping else math.inf, self.timed[0][0] if self.timed else math.inf
        )

    def _pop_timed(self):
        entry = heapq.heappop(self.timed)
        self.stale -= entry[2] is None
        return entry

    def tick(self, now):
        """[(event, Send, Decline or Discard)] of all that move now, in the order asked.

        They wait no more. An event for which the module fails comes with its exception: the others must not
        wait for it.
        """
        self._time_passes(now)
        self._subjects_go_on(now)
        while self.sleeping and self.sleeping[0][0] <= now:
            moment, _, group = heapq.heappop(self.sleeping)
            if group.wakes_at == moment and group.waiting:
                group.wakes_at = math.inf
                if group.asleep_until <= now:
                    self.ready[group] = True
                else:
                    self._rings(group)
        if self.router.is_over_capacity():
            self._shed(now)
        self._ask(now)
        moved, self.moved = self.moved, []
        return moved

    def _subjects_go_on(self, now):
        for subject in self.released_ordering_keys:
            event = self.router.next_in_order(subject)
            if event in self.group_of and self.group_of[event] is None:
                self._seat(event, now)
        self.released_ordering_keys.clear()

    def _time_passes(self, now):
        while self.timed and self.timed[0][0] <= now:
            entry = self._pop_timed()
            event = entry[2]
            if event not in self.group_of:
                continue
            if self.ends[event] is entry:
                if isinstance(self._one(event, now), Defer):  # the module has moved its end
                    self._ends_at(event, max(now + 1.0, self.router.give_up_at(event, now)))
            elif self.group_of[event] is None:
                self._seat(event, now)

    def _one(self, event, now):
        """Ask for one event; when it moves it waits no more."""
        try:
            answer = self.router.decide(event, now)
        except Exception as fault:  # it ends this event alone, in whose life it is raised
            answer = fault
        if not isinstance(answer, Defer):
            self.remove(event)
            self.moved.append((event, answer))
        return answer

    def _shed(self, now):
        """Over its holding room the module hands back.

        The least urgent of the longest queue go, not the next to go.
        """
        for destination in sorted(
            self.groups_by_destination, key=lambda destination: -destination.pending_count
        ):
            rows = [
                row
                for group in self.groups_by_destination[destination]
                for row in self._least(group, self.router.excess_pending())
            ]
            for _, _, _, event in sorted(rows, key=lambda row: row[:3]):
                if not self.router.is_over_capacity():
                    return
                self._one(event, now)
            if not self.router.is_over_capacity():
                return

    def _least(self, group, most):
        """The least urgent of a group that can be handed back, so many at most."""
        rows = []
        for at, row in enumerate(group.rows):
            if len(rows) >= most or at >= most + SHED_TRIES:
                break
            if self._stands(row) and self.router.is_safe_to_reject(row[3]):
                rows.append(row)
        return rows

    def _ask(self, now):
        """Ask for the next of each ready group, always the most urgent of all, while they move."""
        ready, self.ready = self.ready, {}
        heads, sent = [], set()
        for group in ready:
            self._head(group, now, heads)
        while heads:
            _, _, group = heapq.heappop(heads)
            if self.router.all_slots_in_use() and group.destination not in sent:
                self.waiting_for_slot[group], group.asleep_until = (
                    True,
                    math.inf,
                )  # nothing moves but what joins a call of this turn
                continue
            event = group.rows[-1][3]
            answer = self._one(event, now)
            if isinstance(answer, Defer):
                self._sleeps(group, event, now)
                continue
            if isinstance(answer, Send):
                sent.add(group.destination)
            self._head(group, now, heads)

    def _head(self, group, now, heads):
        """Put a group's next event among those to ask; a group without any is gone."""
        if now - group.sorted_at > RESORT_MS + RESORT_MS_EACH * len(group.rows):
            group.sorted_at, group.horizon_ms = now, self.router.ranking_horizon_ms(group.destination, now)
            group.rows = sorted(self._row(row[3], group) for row in group.rows if self._stands(row))
        rows = group.rows
        while rows and not self._stands(rows[-1]):
            rows.pop()
        if not rows:
            return
        event = rows[-1][3]
        if (
            self.router.ordering_turn_at(event, now) > now
        ):  # an earlier send of its subject came to rest meanwhile
            rows.pop()
            self._unseat(event)
            self._seat(event, now)
            self._head(group, now, heads)
            return
        heapq.heappush(
            heads, (self.router.urgency_rank(event, group.horizon_ms, now), next(self.number), group)
        )

    def _sleeps(self, group, event, now):
        """Told "later": all that fare alike wait until then, or for what ends before."""
        wait = self.router.next_check(event, now)
        group.asleep_until = wait.at
        if wait.or_outcome and self.router.slots_are_scarce():
            self.waiting_for_slot[group] = True
        self._rings(group)
        destination = group.destination
        if self.router.has_separate_routes(destination) or self.router.has_joinable_call(destination, now):
            for row in group.rows[-2 : -2 - APART_TRIES : -1]:
                if self._stands(row):
                    self._one(row[3], now)

    def _rings(self, group):
        """One entry a group, at its moment or before: an outcome can move the moment many times a second."""
        if group.asleep_until < group.wakes_at:
            group.wakes_at = group.asleep_until
            heapq.heappush(self.sleeping, (group.asleep_until, next(self.number), group))
