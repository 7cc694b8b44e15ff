"""Turns: at most one each few ms, all at one moment: what was heard first, then each event whose time has come.

The decisions are asked as on the drill's wire: outcomes and lists are told before any event is asked for,
events are asked for in the module's order, and those that wait for an outcome are asked after any.
"""
import heapq
import math
from itertools import count

import anyio
from anyio.lowlevel import checkpoint


class Turn:
    """One wait for a turn."""
    __slots__ = ("evt", "until", "begun", "now")

    def __init__(self, evt=None, until=0.0):
        self.evt, self.until, self.begun, self.now = evt, until, anyio.Event(), 0.0

    async def come(self):
        await self.begun.wait()
        return self.now

    def begin(self, now):
        self.now = now
        self.begun.set()


class Turns:
    """Owner of the timers of all events."""

    def __init__(self, module, clock, gap_ms):
        self.module, self.clock, self.gap = module, clock, gap_ms
        self.heard = []             # those with something to tell; emptied each turn
        self.moments = []           # heap of (moment, number, turn); emptied as moments pass
        self.by_outcome = {}        # turns to begin after any outcome; emptied by the next
        self.begun_early = 0        # turns of the heap begun by an outcome; they are sorted out when they are many
        self.number, self.stirred, self.bell, self.sleeps_until = count(), False, anyio.Event(), -math.inf
        self.sending = True     # set to False by the stop: outcomes are still heard, no event is asked for

    async def tell(self):
        """Wait for the beginning of a turn, to tell the module what was learnt; its moment."""
        turn = Turn()
        self.heard.append(turn)
        self.stirred = True
        self.bell.set()
        return await turn.come()

    async def ask(self, evt, wait=None):
        """Wait until it is time to ask for this event; the moment."""
        turn = Turn(evt, wait.until if wait else 0.0)
        heapq.heappush(self.moments, (turn.until, next(self.number), turn))
        if wait and wait.or_outcome:
            self.by_outcome[turn] = True
        if turn.until < self.sleeps_until:
            self.bell.set()
        return await turn.come()

    async def run(self, once_asked):
        """Give turns until cancelled; `once_asked(now)` acts on what each turn's events were told."""
        while True:
            await self._sleep()
            now = self.clock()
            await self._turn(now)
            once_asked(now)
            await anyio.sleep(self.gap / 1000.0)

    async def _sleep(self):
        self.bell, now = anyio.Event(), self.clock()
        until = min(self.moments[0][0] if self.moments else math.inf, self.module.next_moment(now))
        if self.heard or until <= now and self.sending:
            return
        self.sleeps_until = until
        with anyio.move_on_after((until - now) / 1000.0 if until < math.inf and self.sending else None):
            await self.bell.wait()
        self.sleeps_until = -math.inf

    async def _turn(self, now):
        heard, self.heard = self.heard, []
        for turn in heard:
            turn.begin(now)
        if heard:
            await checkpoint()      # they run up to their next wait
        if not self.sending:
            return
        ready = {}
        while self.moments and self.moments[0][0] <= now:
            turn = heapq.heappop(self.moments)[2]
            if turn.begun.is_set():
                self.begun_early -= 1
            else:
                ready[turn] = True
        if self.stirred:
            self.begun_early += sum(turn not in ready for turn in self.by_outcome)
            ready.update(self.by_outcome)
            self.stirred = False
        turns = {turn.evt: turn for turn in ready}
        for turn in ready:
            self.by_outcome.pop(turn, None)
        for evt in self.module.in_order(list(turns), now):
            turns[evt].begin(now)
        if turns:
            await checkpoint()
        if self.begun_early > 64 and 2 * self.begun_early > len(self.moments):
            self.moments = [row for row in self.moments if not row[2].begun.is_set()]
            heapq.heapify(self.moments)
            self.begun_early = 0
