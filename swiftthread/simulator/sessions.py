"""One incarnation of an instance: its events in hand, and when it asks the router about them."""

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
"""Moments that differ by less are one: the simulator's clock is in seconds, a rounding apart from ours."""
WAKEUP_LABEL = 1
"""Label of every timer: the session has one at a time."""

Answer = Send | Defer | Reject | Abandon
"""What the router says about an event."""


class Session:
    """One incarnation of an instance.

    Commands go to the `CommandWriter` that a call is given; moments are in ms of the simulator's clock.
    """

    def __init__(self, number: int, seed: int, settings: Settings, report_fields: Sequence[str]) -> None:
        self.number = number
        self.report_fields = report_fields
        self.router = Router(settings, seed)
        # By ticket; an event leaves with its final answer or its withdrawal.
        self.pending: dict[int, Event] = {}
        # By ticket, events with an attempt out; emptied by the attempts' results.
        self.in_flight: dict[int, Event] = {}
        # By ticket, events to decide again after any result; emptied when they are decided.
        self.waiting_for_result: dict[int, Event] = {}
        self.to_decide: list[Event] = []
        self.needs_recheck = False
        # Heap of (moment, order of insertion, event); emptied as moments pass.
        self._scheduled: list[tuple[float, int, Event]] = []
        # By ticket, the one entry of the heap that counts.
        self._scheduled_at: dict[int, float] = {}
        self._insertion = count()
        self._wakeup_at: float | None = None

    def submit(self, message: SubmitEvent, now: float) -> None:
        """Hold a new event, to be decided at the end of the batch."""
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
        """Hold an event of the router under its ticket, to be decided at the end of the batch."""
        event.handle = ticket
        self.pending[ticket] = event
        self.to_decide.append(event)

    def withdraw(self, ticket: int, now: float) -> None:
        """Forget an event; nothing happens when it has ended."""
        event = self.pending.pop(ticket, None)
        if event is not None:
            self.router.withdraw(event, now)
            self.needs_recheck = True

    def record_attempt(self, result: AttemptResult, now: float, commands: CommandWriter) -> None:
        """Hand the router the result of an attempt, and carry out what it says about the event."""
        event = self.in_flight.pop(result.ticket, None)
        if event is None:
            raise ProtocolError(f"an outcome for ticket {result.ticket}, which has no send out")
        answer = self.router.record_outcome(
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
            self.answer(event, answer, now, commands)

    def record_health_check(self, result: HealthCheckResult, now: float) -> None:
        """Hand the router the result of a health check."""
        self.router.record_health_check(
            result.endpoint,
            read_outcome(result.outcome_code),
            now,
            result.latency_s * 1000.0,
            read_load_report(self.report_fields, result.report_values),
        )
        self.needs_recheck = True

    def apply_endpoint_list(self, entries: Sequence[EndpointEntry], is_full: bool, now: float) -> None:
        """Hand the router an endpoint list, or the changes of one."""
        self.router.apply_endpoint_list(entries, is_full, now)
        self.needs_recheck = True

    def answer(self, event: Event, answer: Answer | None, now: float, commands: CommandWriter) -> None:
        """Carry out what the router says about an event in hand; None ends it as `Abandon` does."""
        if isinstance(answer, Send):
            self.in_flight[event.handle] = event
            commands.send(self.number, event.handle, answer.endpoint.endpoint_id, answer.timeout_ms)
        elif isinstance(answer, Defer):
            self._defer(event, now)
        else:
            del self.pending[event.handle]
            if isinstance(answer, Reject):
                commands.reject(self.number, event.handle, answer.retry_after_ms)
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
        """Decide every event whose moment has come, then set the timer for the next."""
        for event in self.router.sort_by_urgency(self._take_due_events(now), now):
            self.answer(event, self.router.decide(event, now), now, commands)
        for endpoint in self.router.endpoints_due_for_health_check(now):
            commands.check_health(self.number, endpoint.endpoint_id)
        for endpoint in self.router.endpoints_to_disconnect(now):
            commands.close_idle(self.number, endpoint.endpoint_id)
        if self.router.should_request_list(now):
            commands.watch_endpoint_list(self.number)
        self._schedule_wakeup(now, commands)

    def _take_due_events(self, now: float) -> list[Event]:
        """Events to decide now: new ones, those whose moment has come, those that waited for a result."""
        due, self.to_decide = self.to_decide, []
        while self._scheduled and self._scheduled[0][0] <= now + CLOCK_TOLERANCE_MS:
            moment, _, event = heapq.heappop(self._scheduled)
            if self._scheduled_at.get(event.handle) == moment:
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
        """Set a timer for the next moment, unless one is set that rings no later."""
        next_check_at = self._scheduled[0][0] if self._scheduled else math.inf
        at = min(next_check_at, self.router.next_wakeup_at(now))
        if at < math.inf and (
            self._wakeup_at is None
            or at < self._wakeup_at - CLOCK_TOLERANCE_MS
            or self._wakeup_at <= now + CLOCK_TOLERANCE_MS
        ):
            self._wakeup_at = at
            commands.schedule_wakeup(self.number, max(0.0, at - now), WAKEUP_LABEL)
