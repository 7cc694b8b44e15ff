"""The scheduling cycles of a node: when the router decides events and receives their outcomes."""

# The module `pending_queues` chooses which events the router is asked to decide, and in which order.

import math
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.clocks import Clock
from swiftthread.hold_ups import HoldUps, Work
from swiftthread.routing.events import Destination, Event
from swiftthread.routing.messages import Abandon, Reject, Send
from swiftthread.routing.router import Router
from swiftthread.service.pending_queues import EventDecision, PendingQueues

# After a longer interval between two cycles, or between the start of a call and its first byte, responses
# that have arrived are recorded before anything is decided or sent: the process may have stood still, and
# they may name a Retry-After. Calls within 100 ms of one are tolerated.
MAX_CYCLE_GAP_MS = 50.0
# Number of event loop iterations for that. A response passes through fewer tasks before it is recorded.
READ_ITERATIONS = 8

Result = TypeVar("Result")


class PendingResult(Generic[Result]):
    """A result that one task waits for and a scheduling cycle provides."""

    __slots__ = ("_resolved", "_result", "_error")

    def __init__(self) -> None:
        self._resolved = anyio.Event()
        self._result: Result
        self._error: Exception | None = None

    async def wait(self) -> Result:
        """Wait for the result, or raise the exception that was given to `fail`."""
        await self._resolved.wait()
        if self._error is not None:
            raise self._error
        return self._result

    def resolve(self, result: Result) -> None:
        """Provide the result to the waiting task."""
        self._result = result
        self._resolved.set()

    def fail(self, error: Exception) -> None:
        """Raise an exception in the waiting task."""
        self._error = error
        self._resolved.set()


class Scheduler:
    """Runs a scheduling cycle whenever an event can be decided or an outcome can be recorded."""

    # Two cycles are at least `scheduling_interval_ms` apart.

    def __init__(
        self, router: Router, clock: Clock, scheduling_interval_ms: float, hold_ups: HoldUps
    ) -> None:
        self.scheduling_interval_ms = scheduling_interval_ms
        """Pause between two scheduling cycles."""
        self.is_sending = True
        """Cleared by the shutdown: outcomes are still recorded, but no further event is decided."""
        self._router = router
        self._clock = clock
        self._hold_ups = hold_ups
        self._queues = PendingQueues(router)
        # Tasks that wait for the next cycle to pass information to the router; emptied by each cycle.
        self._cycle_waiters: list[PendingResult[float]] = []
        # Pending event -> the result that its task waits for; an entry is removed when its event is decided
        # or reaches its final outcome.
        self._decision_waiters: dict[Event, PendingResult[Send | Reject | Abandon]] = {}
        self._wakeup = anyio.Event()
        self._is_cycle_requested = False
        self._sleeping_until = -math.inf  # a time in ms; -inf while not sleeping
        self._latest_cycle_at = -math.inf  # in ms

    async def wait_for_cycle(self) -> float:
        """Wait for the start of the next cycle, in which the caller may update the router.

        Returns:
            The time of that cycle in ms.
        """
        waiter: PendingResult[float] = PendingResult()
        self._cycle_waiters.append(waiter)
        self._wakeup.set()
        return await waiter.wait()

    async def wait_until_recorded(self, since: float) -> None:
        """Wait until the router has been told of the outcomes that have arrived, if `since` is long ago."""
        if self._clock() - since <= MAX_CYCLE_GAP_MS:
            return
        await self.wait_for_cycle()
        await checkpoint()  # the other tasks that waited for the same cycle run, too

    async def wait_for_decision(self, event: Event) -> Send | Reject | Abandon:
        """Queue an event and wait until the router has decided it.

        Raises:
            Exception: The router failed to decide this event; it is the router's own exception.
        """
        waiter: PendingResult[Send | Reject | Abandon] = PendingResult()
        self._decision_waiters[event] = waiter
        self._queues.add(event, self._clock())
        if self._queues.next_wakeup_at() < self._sleeping_until:
            self._wakeup.set()
        return await waiter.wait()

    def request_cycle(self) -> None:
        """Request a scheduling cycle as soon as possible, even if no event is due."""
        self._is_cycle_requested = True
        self._wakeup.set()

    def wake(self, destination: Destination | None = None) -> None:
        """Reconsider the deferred events of a destination (None: of all) after a change in the router."""
        self._queues.wake(destination)

    def remove(self, event: Event) -> None:
        """Remove an event that has reached its final outcome or was acked."""
        self._queues.remove(event)
        self._decision_waiters.pop(event, None)

    async def run(
        self, before_decisions: Callable[[], None], on_cycle: Callable[[float, int, float], None]
    ) -> None:
        """Run scheduling cycles until cancelled.

        Args:
            before_decisions: Called in each cycle before any event is decided.
            on_cycle: Called after each cycle with the time of the cycle (ms), the number of events that it
                decided, and its delay (ms) caused by a lack of CPU time.
        """
        delay_ms = 0.0
        while True:
            try:
                await self._sleep()
                await self._read_after_gap()
                now = self._clock()
                self._latest_cycle_at = now
                decided_count = await self._run_cycle(now, before_decisions)
                on_cycle(now, decided_count, delay_ms)
            except Exception:  # keeps the node running: the next scheduling cycle retries all events
                logger.exception("a scheduling cycle failed; the next one retries all pending events")
                self._queues.wake()
            pause_began_at = self._clock()
            await anyio.sleep(self.scheduling_interval_ms / 1000.0)
            delay_ms = self._clock() - pause_began_at - self.scheduling_interval_ms

    async def _sleep(self) -> None:
        # Wait until a scheduling cycle is due or requested.
        self._wakeup = anyio.Event()
        now = self._clock()
        until = min(self._queues.next_wakeup_at(), self._router.next_wakeup_at(now))
        if self._cycle_waiters or self._is_cycle_requested or until <= now and self.is_sending:
            self._is_cycle_requested = False
            return
        self._sleeping_until = until
        timeout_s = (until - now) / 1000.0 if until < math.inf and self.is_sending else None
        with anyio.move_on_after(timeout_s):
            await self._wakeup.wait()
        self._sleeping_until = -math.inf

    async def _read_after_gap(self) -> None:
        # Let the tasks that read responses run, if the process may have stood still.
        if self._router.calls_in_flight and self._clock() - self._latest_cycle_at > MAX_CYCLE_GAP_MS:
            for _ in range(READ_ITERATIONS):
                await checkpoint()

    async def _run_cycle(self, now: float, before_decisions: Callable[[], None]) -> int:
        # Let waiting tasks update the router, then decide events; returns how many were decided.
        waiters = self._cycle_waiters
        self._cycle_waiters = []
        for waiter in waiters:
            waiter.resolve(now)
        if waiters:
            await checkpoint()  # the resumed tasks run until they wait again
        if not self.is_sending:
            return 0
        before_decisions()
        began_at = self._clock()
        decisions = self._queues.run_cycle(now)
        for event_decision in decisions:
            self._deliver_decision(event_decision)
        self._hold_ups.record(Work.SCHEDULING, began_at)
        if decisions:
            await checkpoint()
        return len(decisions)

    def _deliver_decision(self, event_decision: EventDecision) -> None:
        # Pass a decision on to the task that waits for it.
        event, decision = event_decision
        waiter = self._decision_waiters.pop(event, None)
        if waiter is None:  # an internal error; the other decisions of this cycle are still delivered
            logger.error("the router decided an event for which no task waits; the decision is ignored")
        elif isinstance(decision, Exception):
            waiter.fail(decision)
        else:
            waiter.resolve(decision)
