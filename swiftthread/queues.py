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

from swiftthread.plain import Later, Send

RESORT_MS, RESORT_MS_EACH = (
    20.0,
    0.05,
)  # ms, + ms an event: a group's order is this old at most; ranks drift slowly,
# and the sorting stays under a tenth of the time however long the group
# Of a group whose routes are apart, or with a call to join: what one waits for, another may not
APART_TRIES = 3
SHED_TRIES = 8  # least urgent events looked at for one that can be handed back, in each group


class Group:
    """Events that fare alike. `rows`: (rank reversed, number, event) in order, the next to go last."""

    __slots__ = ("key", "dest", "rows", "waiting", "sorted_at", "span", "until", "rings_at")

    def __init__(self, key, dest, now, span):
        self.key, self.dest, self.rows, self.waiting = key, dest, [], 0
        self.sorted_at, self.span, self.until, self.rings_at = now, span, -math.inf, math.inf


class Queues:
    """Owner of the order in which waiting events are asked for."""

    def __init__(self, module):
        self.module, self.number = module, count()
        self.place = {}  # waiting event -> its group, None while its subject has others; emptied as it leaves
        # event in a group -> its row there; any other row of it is from before. Emptied with it
        self.row = {}
        self.groups, self.by_dest = (
            {},
            {},
        )  # key -> group; destination -> its groups; emptied with their last event
        self.ready = {}  # groups to ask in the next turn; emptied by it
        self.by_slot = {}  # groups that may wait for a slot of any destination; emptied by the next outcome
        # heap of (moment, number, group), one that counts a group; emptied as moments pass
        self.sleeping = []
        self.timed = []  # heap of [moment, number, event]: ends, and turns after a rest; emptied as they pass
        self.ends = {}  # waiting event -> the entry of its end in `timed`; emptied as it leaves
        self.stale = 0  # entries of `timed` whose event has left; they are sorted out when they are many
        # what moved in a turn; emptied at its end, or at the next one's where a fault broke it off
        self.moved = []
        self.subjects = {}  # subjects of which an event has left or ended; emptied each turn

    def __len__(self):
        return len(self.place)

    def add(self, evt, now):
        """An event waits to be asked for."""
        self.place[evt] = None
        self._ends_at(evt, self.module.last_moment(evt, now))
        self._seat(evt, now)

    def _ends_at(self, evt, moment):
        entry = self.ends[evt] = [moment, next(self.number), evt]
        heapq.heappush(self.timed, entry)

    def _seat(self, evt, now):
        turn_at = self.module.turn_at(evt, now)
        if turn_at > now:
            if turn_at < math.inf:
                heapq.heappush(self.timed, [turn_at, next(self.number), evt])
            return
        key = (evt.dest, *self.module.fares_with(evt))
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group(key, evt.dest, now, self.module.span(evt.dest, now))
            self.by_dest.setdefault(evt.dest, {})[group] = True
            self.ready[group] = True
        insort(group.rows, self._row(evt, group))
        group.waiting += 1
        self.place[evt] = group

    def _row(self, evt, group):
        urgency, slo_at = self.module.rank(evt, group.span, group.sorted_at)
        self.row[evt] = row = -urgency, -slo_at, next(self.number), evt
        return row

    def _stands(self, row):
        """Whether its event waits by this row.

        One that was asked out of order leaves its row behind, and comes back with another when its send ends:
        it must not be asked by both.
        """
        return self.row.get(row[3]) is row

    def stir(self, dest=None):
        """Something was learnt of a destination (None: of any).

        Its groups are asked, and who may wait for a slot.
        """
        if dest is None:
            self.ready.update(dict.fromkeys(self.groups.values(), True))
            return
        self.ready.update(self.by_dest.get(dest, ()))
        if not self.module.full():
            self.ready.update(self.by_slot)
            self.by_slot.clear()

    def left(self, evt):
        """An event ended, or is asked for no more: the next of its subject may go."""
        self._unseat(evt)
        self.place.pop(evt, None)
        if (entry := self.ends.pop(evt, None)) is not None:
            entry[2] = None  # its body must not stay in memory for its whole max age
            self.stale += 1
            if self.stale > 64 and 2 * self.stale > len(self.timed):
                self.timed = [entry for entry in self.timed if entry[2] is not None]
                heapq.heapify(self.timed)
                self.stale = 0
        if evt.subject:
            self.subjects[evt.subject] = True

    def _unseat(self, evt):
        """Out of its group; the row is passed over when it comes up. A group without events is gone."""
        group = self.place.get(evt)
        if group is None:
            return
        self.place[evt] = None
        del self.row[evt]
        group.waiting -= 1
        if not group.waiting:
            del self.groups[group.key]
            del self.by_dest[group.dest][group]
            if not self.by_dest[group.dest]:
                del self.by_dest[group.dest]
            self.by_slot.pop(group, None)
            self.ready.pop(group, None)
            group.rows = []

    def next_moment(self):
        """When the next turn is due; -inf when events can move now."""
        if self.ready or self.subjects:
            return -math.inf
        while self.timed and self.timed[0][2] not in self.place:
            self._pop_timed()
        return min(
            self.sleeping[0][0] if self.sleeping else math.inf, self.timed[0][0] if self.timed else math.inf
        )

    def _pop_timed(self):
        entry = heapq.heappop(self.timed)
        self.stale -= entry[2] is None
        return entry

    def turn(self, now):
        """[(event, Send, Decline or Discard)] of all that move now, in the order asked.

        They wait no more. An event for which the module fails comes with its exception: the others must not
        wait for it.
        """
        self._time_passes(now)
        self._subjects_go_on(now)
        while self.sleeping and self.sleeping[0][0] <= now:
            moment, _, group = heapq.heappop(self.sleeping)
            if group.rings_at == moment and group.waiting:
                group.rings_at = math.inf
                if group.until <= now:
                    self.ready[group] = True
                else:
                    self._rings(group)
        if self.module.crowded():
            self._shed(now)
        self._ask(now)
        moved, self.moved = self.moved, []
        return moved

    def _subjects_go_on(self, now):
        for subject in self.subjects:
            line = self.module.turns.get(subject, ((), 0.0))[0]
            if line and line[0] in self.place and self.place[line[0]] is None:
                self._seat(line[0], now)
        self.subjects.clear()

    def _time_passes(self, now):
        while self.timed and self.timed[0][0] <= now:
            entry = self._pop_timed()
            evt = entry[2]
            if evt not in self.place:
                continue
            if self.ends[evt] is entry:
                if isinstance(self._one(evt, now), Later):  # the module has moved its end
                    self._ends_at(evt, max(now + 1.0, self.module.last_moment(evt, now)))
            elif self.place[evt] is None:
                self._seat(evt, now)

    def _one(self, evt, now):
        """Ask for one event; when it moves it waits no more."""
        try:
            answer = self.module.where(evt, now)
        except Exception as fault:  # it ends this event alone, in whose life it is raised
            answer = fault
        if not isinstance(answer, Later):
            self.left(evt)
            self.moved.append((evt, answer))
        return answer

    def _shed(self, now):
        """Over its holding room the module hands back.

        The least urgent of the longest queue go, not the next to go.
        """
        for dest in sorted(self.by_dest, key=lambda dest: -dest.held):
            rows = [
                row
                for group in self.by_dest[dest]
                for row in self._least(group, self.module.held - int(self.module.room))
            ]
            for _, _, _, evt in sorted(rows, key=lambda row: row[:3]):
                if not self.module.crowded():
                    return
                self._one(evt, now)
            if not self.module.crowded():
                return

    def _least(self, group, most):
        """The least urgent of a group that can be handed back, so many at most."""
        rows = []
        for at, row in enumerate(group.rows):
            if len(rows) >= most or at >= most + SHED_TRIES:
                break
            if self._stands(row) and self.module.harmless(row[3]):
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
            if self.module.full() and group.dest not in sent:
                self.by_slot[group], group.until = (
                    True,
                    math.inf,
                )  # nothing moves but what joins a call of this turn
                continue
            evt = group.rows[-1][3]
            answer = self._one(evt, now)
            if isinstance(answer, Later):
                self._sleeps(group, evt, now)
                continue
            if isinstance(answer, Send):
                sent.add(group.dest)
            self._head(group, now, heads)

    def _head(self, group, now, heads):
        """Put a group's next event among those to ask; a group without any is gone."""
        if now - group.sorted_at > RESORT_MS + RESORT_MS_EACH * len(group.rows):
            group.sorted_at, group.span = now, self.module.span(group.dest, now)
            group.rows = sorted(self._row(row[3], group) for row in group.rows if self._stands(row))
        rows = group.rows
        while rows and not self._stands(rows[-1]):
            rows.pop()
        if not rows:
            return
        evt = rows[-1][3]
        if self.module.turn_at(evt, now) > now:  # an earlier send of its subject came to rest meanwhile
            rows.pop()
            self._unseat(evt)
            self._seat(evt, now)
            self._head(group, now, heads)
            return
        heapq.heappush(heads, (self.module.rank(evt, group.span, now), next(self.number), group))

    def _sleeps(self, group, evt, now):
        """Told "later": all that fare alike wait until then, or for what ends before."""
        wait = self.module.wait(evt, now)
        group.until = wait.until
        if wait.or_outcome and self.module.scarce():
            self.by_slot[group] = True
        self._rings(group)
        sinks = group.dest.sinks
        if sinks and sinks[0].apart or self.module.rides(group.dest, now):
            for row in group.rows[-2 : -2 - APART_TRIES : -1]:
                if self._stands(row):
                    self._one(row[3], now)

    def _rings(self, group):
        """One entry a group, at its moment or before: an outcome can move the moment many times a second."""
        if group.until < group.rings_at:
            group.rings_at = group.until
            heapq.heappush(self.sleeping, (group.until, next(self.number), group))
