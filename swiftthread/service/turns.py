"""When each event is asked for. Which are asked, and in which order: queues.py and the module."""

import math

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.queues import Queues


class Turn:
    """One wait for a turn; it comes with its moment and what the module said."""

    __slots__ = ("begun", "said")

    def __init__(self):
        self.begun, self.said = anyio.Event(), None

    async def come(self):
        """Wait for the answer to what was asked, and take it out."""
        await self.begun.wait()
        if isinstance(self.said[-1], Exception):
            raise self.said[-1]
        return self.said

    def begin(self, *said):
        """Answer whoever waits."""
        self.said = said
        self.begun.set()


class Turns:
    """Owner of the timers of all events."""

    def __init__(self, module, clock, gap_ms):
        self.module, self.clock, self.gap, self.queues = module, clock, gap_ms, Queues(module)
        self.heard = []  # those with something to tell; emptied each turn
        self.asked = {}  # waiting event -> its turn; emptied as they move
        self.bell, self.rung, self.sleeps_until = anyio.Event(), False, -math.inf
        self.sending = True  # set to False by the stop: outcomes are still heard, no event is asked for

    async def tell(self):
        """Wait for the beginning of a turn, to tell the module what was learnt; its moment."""
        turn = Turn()
        self.heard.append(turn)
        self.bell.set()
        return (await turn.come())[0]

    async def ask(self, evt):
        """Wait until the event moves: (the moment, a send, a decline or a discard)."""
        turn = self.asked[evt] = Turn()
        now = self.clock()
        self.queues.add(evt, now)
        if self.queues.next_moment() < self.sleeps_until:
            self.bell.set()
        return await turn.come()

    def ring(self):
        """A turn is wanted, whatever there is to ask."""
        self.rung = True
        self.bell.set()

    def learnt(self, dest=None):
        """The module was told of an outcome at a destination, or of a list (None)."""
        self.queues.stir(dest)

    def over(self, evt):
        """An event has ended."""
        self.queues.left(evt)
        self.asked.pop(evt, None)

    async def run(self, once_asked):
        """Give turns until cancelled.

        `once_asked(now, moved, late)` acts on what each turn's events were told: how many moved, and how many
        ms the turn came late for want of the core.
        """
        late = 0.0
        while True:
            try:
                await self._sleep()
                now = self.clock()
                moved = await self._turn(now)
                once_asked(now, moved, late)
            except Exception:  # guards the node: the next turn asks all again
                logger.exception("a turn failed")
                self.queues.stir()
            begun = self.clock()
            await anyio.sleep(self.gap / 1000.0)
            late = self.clock() - begun - self.gap

    async def _sleep(self):
        self.bell, now = anyio.Event(), self.clock()
        until = min(self.queues.next_moment(), self.module.next_moment(now))
        if self.heard or self.rung or until <= now and self.sending:
            self.rung = False
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
            await checkpoint()  # they run up to their next wait
        if not self.sending:
            return 0
        moved = self.queues.turn(now)
        for evt, answer in moved:
            if (turn := self.asked.pop(evt, None)) is None:  # guards the others that moved in this turn
                logger.error("an event moved that nobody asked for")
                continue
            turn.begin(now, answer)
        if moved:
            await checkpoint()
        return len(moved)
