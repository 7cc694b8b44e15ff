"""One incarnation of an instance: its pending events, and when the router decides on them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from itertools import count

from swiftthread.routing.events import Event
from swiftthread.routing.messages import Abandon, Defer, EndpointEntry, Reject, Send
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings
from swiftthread.simulator.codec import CommandWriter, read_load_report, read_outcome
from swiftthread.simulator.errors import ProtocolError
from swiftthread.simulator.messages import AttemptResult, HealthCheckResult, SubmitEvent

CLOCK_TOLERANCE_MS = 1e-3
"""Times that differ by less count as equal: the simulator's clock is in seconds, so conversion rounds."""
WAKEUP_LABEL = 1
"""Label of all timers; one is enough, because a session has one timer at a time."""

RoutingDecision = Send | Defer | Reject | Abandon
"""The router's decision on an event."""


class Session:
    """One incarnation of an instance.

    Each method writes its commands to the `CommandWriter` that it is given. Times are in ms on the clock of
    the simulator.

    Attributes:
        pending: Pending events by ticket, until their final outcome or withdrawal.
        in_flight: Events with an attempt in flight, by ticket, until the result of the attempt.
        waiting_for_result: Deferred events, by ticket, that the next cycle decides on again after a result, a
            withdrawal or an endpoint list. They are removed when they are decided on.
        to_decide: New events, to be decided on in the next cycle.
        needs_recheck: Whether the next cycle decides on the events in `waiting_for_result`.
    """

    def __init__(self, number: int, seed: int, settings: Settings, report_fields: Sequence[str]) -> None:
        self.number = number
        self.report_fields = report_fields
        self.router = Router(settings, seed)
        self.pending: dict[int, Event] = {}
        self.in_flight: dict[int, Event] = {}
        self.waiting_for_result: dict[int, Event] = {}
        self.to_decide: list[Event] = []
        self.needs_recheck = False
        # Heap of (time, order of insertion, event); entries are removed once their time has come.
        self._scheduled: list[tuple[float, int, Event]] = []
        # The time of the valid heap entry of each event, by ticket; all its other entries are ignored.
        self._scheduled_at: dict[int, float] = {}
        self._insertion = count()
        self._wakeup_at: float | None = None

    def submit(self, message: SubmitEvent, now: float) -> None:
        """Add a new event to the router; the cycle at the end of the batch decides on it."""
        if message.ticket in self.pending:
            raise ProtocolError(f"ticket {message.ticket} was submitted twice")
        event = self.router.add_event(
            now,
            message.stream_type,
            int(message.destination),
            message.time_left_s * 1000.0,
            message.tenant,
            message.ordering_key,
        )
        self.add_pending(event, message.ticket)

    def add_pending(self, event: Event, ticket: int) -> None:
        """Store an event of the router by its ticket; the cycle at the end of the batch decides on it."""
        event.handle = ticket
        self.pending[ticket] = event
        self.to_decide.append(event)

    def withdraw(self, ticket: int, now: float) -> None:
        """Withdraw an event; does nothing if it already has a final outcome."""
        event = self.pending.pop(ticket, None)
        if event is not None:
            self.router.withdraw(event, now)
            self.needs_recheck = True

    def record_attempt(self, result: AttemptResult, now: float, commands: CommandWriter) -> None:
        """Pass the result of an attempt to the router and carry out its decision on the event."""
        event = self.in_flight.pop(result.ticket, None)
        if event is None:
            raise ProtocolError(f"a result for ticket {result.ticket}, which has no attempt in flight")
        decision = self.router.record_outcome(
            event,
            read_outcome(result.outcome_code),
            now,
            result.latency_s * 1000.0,
            float(result.retry_after_ms),
            bool(result.is_event_finished),
            read_load_report(self.report_fields, result.report_values),
        )
        self.needs_recheck = True
        if result.is_event_finished:
            self.pending.pop(result.ticket, None)
        if result.ticket in self.pending:
            self.apply_decision(event, decision, now, commands)

    def record_health_check(self, result: HealthCheckResult, now: float) -> None:
        """Pass the result of a health check to the router."""
        self.router.record_health_check(
            result.endpoint,
            read_outcome(result.outcome_code),
            now,
            result.latency_s * 1000.0,
            read_load_report(self.report_fields, result.report_values),
        )
        self.needs_recheck = True

    def apply_endpoint_list(self, entries: Sequence[EndpointEntry], is_full: bool, now: float) -> None:
        """Pass a full endpoint list, or changes of it, to the router."""
        self.router.apply_endpoint_list(entries, is_full, now)
        self.needs_recheck = True

    def apply_decision(
        self, event: Event, decision: RoutingDecision | None, now: float, commands: CommandWriter
    ) -> None:
        """Carry out the router's decision on a pending event; None has the same effect as `Abandon`."""
        if isinstance(decision, Send):
            self.in_flight[event.handle] = event
            commands.send(self.number, event.handle, decision.endpoint.endpoint_id, decision.timeout_ms)
        elif isinstance(decision, Defer):
            self._defer(event, now)
        else:
            del self.pending[event.handle]
            if isinstance(decision, Reject):
                commands.reject(self.number, event.handle, decision.retry_after_ms)
            else:
                commands.abandon(self.number, event.handle)

    def _defer(self, event: Event, now: float) -> None:
        check = self.router.next_check(event, now)
        if self._scheduled_at.get(event.handle) != check.at:
            self._scheduled_at[event.handle] = check.at
            heapq.heappush(self._scheduled, (check.at, next(self._insertion), event))
        if check.or_after_outcome:
            self.waiting_for_result[event.handle] = event

    def run_cycle(self, now: float, commands: CommandWriter) -> None:
        """Run a scheduling cycle: decide on every event that is due, then set the timer for the next one."""
        for event in self.router.sort_by_urgency(self._take_due_events(now), now):
            self.apply_decision(event, self.router.decide(event, now), now, commands)
        for endpoint in self.router.endpoints_due_for_health_check(now):
            commands.check_health(self.number, endpoint.endpoint_id)
        for endpoint in self.router.endpoints_to_disconnect(now):
            commands.close_idle(self.number, endpoint.endpoint_id)
        if self.router.start_due_list_request(now):
            commands.watch_endpoint_list(self.number)
        self._schedule_wakeup(now, commands)

    def _take_due_events(self, now: float) -> list[Event]:
        """Returns the events to decide on now, and removes them from the tables of waiting events.

        They are the new events, those whose time has come, and, if `needs_recheck` is set, those in
        `waiting_for_result`.
        """
        due, self.to_decide = self.to_decide, []
        while self._scheduled and self._scheduled[0][0] <= now + CLOCK_TOLERANCE_MS:
            scheduled_at, _, event = heapq.heappop(self._scheduled)
            if self._scheduled_at.get(event.handle) == scheduled_at:
                del self._scheduled_at[event.handle]
                due.append(event)
        if self.needs_recheck:
            due.extend(self.waiting_for_result.values())
            self.needs_recheck = False
        by_ticket = {
            event.handle: event
            for event in due
            if event.handle in self.pending and event.handle not in self.in_flight
        }
        for ticket in by_ticket:
            self.waiting_for_result.pop(ticket, None)
        return list(by_ticket.values())

    def _schedule_wakeup(self, now: float, commands: CommandWriter) -> None:
        """Set a timer for the next check, unless one is set that expires no later."""
        next_check_at = self._scheduled[0][0] if self._scheduled else math.inf
        wakeup_at = min(next_check_at, self.router.next_wakeup_at(now))
        if wakeup_at < math.inf and (
            self._wakeup_at is None
            or wakeup_at < self._wakeup_at - CLOCK_TOLERANCE_MS
            or self._wakeup_at <= now + CLOCK_TOLERANCE_MS
        ):
            self._wakeup_at = wakeup_at
            commands.schedule_wakeup(self.number, max(0.0, wakeup_at - now), WAKEUP_LABEL)
