"""The scheduling cycles of a node: when the router is asked and told.

Which events are asked for, and in which order, is the work of `pending_queues`.
"""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.clocks import Clock
from swiftthread.routing.events import Destination, Event
from swiftthread.routing.messages import Abandon, Reject, Send
from swiftthread.routing.router import Router
from swiftthread.service.pending_queues import EventDecision, PendingQueues

Result = TypeVar("Result")


class CycleWaiter(Generic[Result]):
    """One task that waits for the scheduling cycle which concerns it."""

    __slots__ = ("_resolved", "_result", "_error")

    def __init__(self) -> None:
        self._resolved = anyio.Event()
        self._result: Result
        self._error: Exception | None = None

    async def wait(self) -> Result:
        """Wait for the result; raises the exception given to `fail`."""
        await self._resolved.wait()
        if self._error is not None:
            raise self._error
        return self._result

    def resolve(self, result: Result) -> None:
        """Let the task go on with this result."""
        self._result = result
        self._resolved.set()

    def fail(self, error: Exception) -> None:
        """Raise an exception in the waiting task."""
        self._error = error
        self._resolved.set()


class Scheduler:
    """Gives cycles while there is something to ask the router or to tell it.

    They are at least `scheduling_interval_ms` apart.

    Attributes:
        scheduling_interval_ms: Pause between two scheduling cycles.
        is_sending: Cleared by the shutdown: outcomes are still recorded, but no event is asked for.
    """

    def __init__(self, router: Router, clock: Clock, scheduling_interval_ms: float) -> None:
        self.scheduling_interval_ms = scheduling_interval_ms
        self.is_sending = True
        self._router = router
        self._clock = clock
        self._queues = PendingQueues(router)
        # Tasks that have something to tell the router; emptied by each scheduling cycle.
        self._cycle_waiters: list[CycleWaiter[float]] = []
        # Pending event -> the task that waits for its decision; emptied as events are decided or end.
        self._decision_waiters: dict[Event, CycleWaiter[Send | Reject | Abandon]] = {}
        self._wakeup = anyio.Event()
        self._is_cycle_requested = False
        self._sleeps_until = -math.inf  # ms; -inf while awake

    async def wait_for_cycle(self) -> float:
        """Wait for the beginning of a cycle, to tell the router what was learnt; returns its moment in ms."""
        waiter: CycleWaiter[float] = CycleWaiter()
        self._cycle_waiters.append(waiter)
        self._wakeup.set()
        return await waiter.wait()

    async def wait_for_decision(self, event: Event) -> Send | Reject | Abandon:
        """Queue an event and wait until the router has decided it; raises what the router raised for it."""
        waiter: CycleWaiter[Send | Reject | Abandon] = CycleWaiter()
        self._decision_waiters[event] = waiter
        self._queues.add(event, self._clock())
        if self._queues.next_wakeup_at() < self._sleeps_until:
            self._wakeup.set()
        return await waiter.wait()

    def request_cycle(self) -> None:
        """Give a scheduling cycle soon, whatever there is to ask."""
        self._is_cycle_requested = True
        self._wakeup.set()

    def wake(self, destination: Destination | None = None) -> None:
        """Ask again: the router has learnt something of a destination (None: of any)."""
        self._queues.wake(destination)

    def remove(self, event: Event) -> None:
        """Forget an event that has ended."""
        self._queues.remove(event)
        self._decision_waiters.pop(event, None)

    async def run(self, on_cycle: Callable[[float, int, float], None]) -> None:
        """Give scheduling cycles until cancelled.

        Args:
            on_cycle: Called after each cycle with its moment (ms), the number of events decided in it, and
                the ms by which it came late for want of CPU time.
        """
        late_ms = 0.0
        while True:
            try:
                await self._sleep()
                now = self._clock()
                decided_count = await self._run_cycle(now)
                on_cycle(now, decided_count, late_ms)
            except Exception:  # guards the node: the next scheduling cycle asks for all events again
                logger.exception("a tick failed")
                self._queues.wake()
            pause_began_at = self._clock()
            await anyio.sleep(self.scheduling_interval_ms / 1000.0)
            late_ms = self._clock() - pause_began_at - self.scheduling_interval_ms

    async def _sleep(self) -> None:
        """Wait until a scheduling cycle is due or wanted."""
        self._wakeup = anyio.Event()
        now = self._clock()
        until = min(self._queues.next_wakeup_at(), self._router.next_wakeup_at(now))
        if self._cycle_waiters or self._is_cycle_requested or until <= now and self.is_sending:
            self._is_cycle_requested = False
            return
        self._sleeps_until = until
        timeout_s = (until - now) / 1000.0 if until < math.inf and self.is_sending else None
        with anyio.move_on_after(timeout_s):
            await self._wakeup.wait()
        self._sleeps_until = -math.inf

    async def _run_cycle(self, now: float) -> int:
        """Let those with outcomes tell them, then ask for events; returns how many were decided."""
        waiters = self._cycle_waiters
        self._cycle_waiters = []
        for waiter in waiters:
            waiter.resolve(now)
        if waiters:
            await checkpoint()  # they run up to their next wait
        if not self.is_sending:
            return 0
        decisions = self._queues.run_cycle(now)
        for decision in decisions:
            self._hand_over(decision)
        if decisions:
            await checkpoint()
        return len(decisions)

    def _hand_over(self, decision: EventDecision) -> None:
        """Hand a decision to the task that waits for it."""
        event, answer = decision
        waiter = self._decision_waiters.pop(event, None)
        if waiter is None:  # an error of ours; the other decisions of this cycle are delivered all the same
            logger.error("a decision came for an event that nobody waits for")
        elif isinstance(answer, Exception):
            waiter.fail(answer)
        else:
            waiter.resolve(answer)
