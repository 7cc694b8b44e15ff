"""When each event is asked for. Which are asked, and in which order: queues.py and the module."""

import math

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.service.pending_queues import PendingQueues


class TickWaiter:
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


class Scheduler:
    """Owner of the timers of all events."""

    def __init__(self, router, clock, gap_ms):
        self.router, self.clock, self.tick_ms, self.queues = router, clock, gap_ms, PendingQueues(router)
        self.tick_waiters = []  # those with something to tell; emptied each turn
        self.decision_waiters = {}  # waiting event -> its turn; emptied as they move
        self.wakeup, self.tick_requested, self.sleeps_until = anyio.Event(), False, -math.inf
        self.is_sending = True  # set to False by the stop: outcomes are still heard, no event is asked for

    async def wait_for_tick(self):
        """Wait for the beginning of a turn, to tell the module what was learnt; its moment."""
        waiter = TickWaiter()
        self.tick_waiters.append(waiter)
        self.wakeup.set()
        return (await waiter.come())[0]

    async def wait_for_decision(self, event):
        """Wait until the event moves: (the moment, a send, a decline or a discard)."""
        waiter = self.decision_waiters[event] = TickWaiter()
        now = self.clock()
        self.queues.add(event, now)
        if self.queues.next_wakeup_at() < self.sleeps_until:
            self.wakeup.set()
        return await waiter.come()

    def request_tick(self):
        """A turn is wanted, whatever there is to ask."""
        self.tick_requested = True
        self.wakeup.set()

    def wake(self, destination=None):
        """The module was told of an outcome at a destination, or of a list (None)."""
        self.queues.wake(destination)

    def remove(self, event):
        """An event has ended."""
        self.queues.remove(event)
        self.decision_waiters.pop(event, None)

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
                self.queues.wake()
            begun = self.clock()
            await anyio.sleep(self.tick_ms / 1000.0)
            late = self.clock() - begun - self.tick_ms

    async def _sleep(self):
        self.wakeup, now = anyio.Event(), self.clock()
        until = min(self.queues.next_wakeup_at(), self.router.next_wakeup_at(now))
        if self.tick_waiters or self.tick_requested or until <= now and self.is_sending:
            self.tick_requested = False
            return
        self.sleeps_until = until
        with anyio.move_on_after((until - now) / 1000.0 if until < math.inf and self.is_sending else None):
            await self.wakeup.wait()
        self.sleeps_until = -math.inf

    async def _turn(self, now):
        heard, self.tick_waiters = self.tick_waiters, []
        for waiter in heard:
            waiter.begin(now)
        if heard:
            await checkpoint()  # they run up to their next wait
        if not self.is_sending:
            return 0
        moved = self.queues.tick(now)
        for event, answer in moved:
            if (
                waiter := self.decision_waiters.pop(event, None)
            ) is None:  # guards the others that moved in this turn
                logger.error("an event moved that nobody asked for")
                continue
            waiter.begin(now, answer)
        if moved:
            await checkpoint()
        return len(moved)
