"""Delivery of an accepted event: attempts, final outcome and notification."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.endpoint_request import batch_entry_bytes
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.client.send_result import SendResult
from swiftthread.clocks import Clock
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.routing.events import Event
from swiftthread.routing.messages import NEVER_RAN, Abandon, Defer, Reject, Send, SendOutcome
from swiftthread.routing.router import Router
from swiftthread.service.activity import Activity
from swiftthread.service.scheduler import Scheduler
from swiftthread.storage.decision import Decision, FinalOutcome
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

# Pause before the next write to a log that failed; several such pauses fit into a latency objective.
LOG_RETRY_PAUSE_MS = 100.0
# Memory of an event apart from its body: its task, its entries in the queues, the log's table and the router.
EVENT_BYTES = 9 * 1024
# An event's body is held twice while a call with it is in flight.
COPIES_OF_BODY = 2
# Copies of the name of its tenant: the event's, and those in the records of the log.
COPIES_OF_TENANT = 2


def event_bytes(pending: PendingEvent) -> int:
    """Return the memory that an event takes until its end."""
    tenant_bytes = len(pending.tenant or "")
    return EVENT_BYTES + COPIES_OF_BODY * len(pending.body) + COPIES_OF_TENANT * tenant_bytes


class EventDelivery:
    """Takes each event from its admission, or from the log after a restart, to its final outcome."""

    def __init__(
        self,
        *,
        router: Router,
        scheduler: Scheduler,
        log: WriteAheadLog,
        endpoint_client: EndpointClient,
        notifier: ResultNotifier,
        activity: Activity,
        stream_type_numbers: dict[str, int],
        tenant_numbers: dict[str | None, int],
        clock: Clock,
        log_clock: Clock,
        memory: MemoryAccount,
        tasks: TaskGroup,
    ) -> None:
        self._router = router
        self._scheduler = scheduler
        self._log = log
        self._endpoint_client = endpoint_client
        self._notifier = notifier
        self._activity = activity
        self._stream_type_numbers = stream_type_numbers
        self._tenant_numbers = tenant_numbers
        self._clock = clock
        self._log_clock = log_clock
        self._memory = memory
        self._tasks = tasks

    def add(self, pending: PendingEvent) -> Event:
        """Add an event to the router, with the attempts that the log has recorded for it."""
        now = self._clock()
        log_now = self._log_clock()
        if self._tenant_numbers and pending.tenant not in self._tenant_numbers:
            logger.warning(
                "event {}: tenant {!r} is not in the settings, so the event has no quota",
                pending.event_id,
                pending.tenant,
            )
        stream_type_number = self._stream_type_numbers[pending.stream_type]
        # After a reboot the clock may be behind, so no event gets more time than its max age.
        max_age_ms = self._router.stream_types[stream_type_number].max_age_ms
        event: Event = self._router.add_event(
            now,
            stream_type_number,
            pending.destination,
            min(pending.expires_at - log_now, max_age_ms),
            self._tenant_numbers.get(pending.tenant),
            pending.ordering_key,
            batch_entry_bytes(pending),
        )
        pending.router_event = event
        event.attempts = pending.attempts
        if pending.possible_execution is not None:
            sent_at, group = pending.possible_execution
            # After a reboot the clock may be behind, so the time of an attempt must not lie in the future.
            event.may_have_run_at = now - max(0.0, log_now - sent_at)
            event.may_have_run_group = group
        self._reserve_memory(pending, event_bytes(pending))
        return event

    def _reserve_memory(self, pending: PendingEvent, size: int) -> None:
        # Reserve memory for an event, or release it if `size` is negative.
        self._memory.reserve(MemoryUse.EVENTS, size)
        if pending.submitter is not None:
            pending.submitter.pending_bytes += size

    def start(self, pending: PendingEvent, event: Event) -> None:
        """Deliver an event that was added to the router, in a separate task."""
        self._tasks.start_soon(self._run, pending, event)

    def resume(self) -> None:
        """Resume the delivery of the events in the log."""
        for pending in list(self._log.pending.values()):
            if pending.stream_type not in self._stream_type_numbers:
                self._finish_unknown_stream_type(pending)
                continue
            event = self.add(pending)
            if pending.decision is not None:
                self._router.withdraw(event, self._clock())
            self.start(pending, event)

    def _finish_unknown_stream_type(self, pending: PendingEvent) -> None:
        logger.error(
            "event {} in the log has a stream type that is not in the settings: {}; it is not delivered",
            pending.event_id,
            pending.stream_type,
        )
        # Only an event that certainly never ran may be resubmitted by its client.
        outcome = FinalOutcome.ABANDONED if pending.possible_execution else FinalOutcome.REJECTED
        self._tasks.start_soon(self._notify, pending, Decision(outcome, 0.0))

    async def _run(self, pending: PendingEvent, event: Event) -> None:
        # Deliver an event until it is acked or has a final outcome, and record which. It starts after the
        # response to the client was sent, or the client disconnected.
        try:
            await self._deliver(pending, event)
        except Exception:  # protects the other events: only this one is abandoned, its effect being unknown
            logger.exception("event {}: the delivery failed; the event is abandoned", pending.event_id)
            self._router.withdraw(event, self._clock())
            pending.decision = Decision(FinalOutcome.ABANDONED, 0.0)
        self._scheduler.remove(event)
        if pending.decision is not None:
            self._activity.final_outcomes[pending.decision.outcome] += 1
            await self._notify(pending, pending.decision)
        else:
            self._activity.acked_count += 1
            self._log.append_ended(pending)
        self._reserve_memory(pending, -event_bytes(pending))

    async def _deliver(self, pending: PendingEvent, event: Event) -> None:
        # Make attempts until the event is acked or its final outcome is decided.
        while pending.decision is None:
            decision: Send | Reject | Abandon | Defer | None = await self._scheduler.wait_for_decision(event)
            if isinstance(decision, Send):
                decision = await self._attempt(pending, event, decision)
            if decision is None:
                return
            if not isinstance(decision, Defer):
                pending.decision = _final_decision(decision)

    async def _attempt(
        self, pending: PendingEvent, event: Event, send: Send
    ) -> Reject | Abandon | Defer | None:
        # Make one attempt; returns the router's next decision, or None once the event is finished.
        if not self._router.is_list_confirmed:
            self._report_unconfirmed_list(pending, send)
        recorded_attempts = pending.attempts
        if self._log.may_append(pending):
            result = await self._endpoint_client.send(pending, send)
        else:
            result = await self._skip_unlogged_send()
        self._activity.attempts[result.outcome] += 1
        now = await self._scheduler.wait_for_cycle()
        decision = self._router.record_outcome(
            event,
            result.outcome,
            now,
            result.latency_ms,
            result.retry_after_ms,
            result.is_event_finished,
            result.load_report,
        )
        self._scheduler.wake(event.destination)
        # After an attempt that is not in the log, this record would apply to an earlier attempt that the log
        # has as in flight and that may have run.
        if pending.attempts > recorded_attempts and result.outcome in NEVER_RAN:
            self._log.append_never_ran(pending)
        return None if result.is_event_finished else decision

    def _report_unconfirmed_list(self, pending: PendingEvent, send: Send) -> None:
        self._activity.unconfirmed_list_attempts += 1
        logger.warning(
            "event {}: an attempt at endpoint {} by the endpoint list of the configuration, "
            "which discovery has not confirmed",
            pending.event_id,
            send.endpoint.endpoint_id,
        )

    @staticmethod
    async def _skip_unlogged_send() -> SendResult:
        # Returns the result of a send that was not made, because the log cannot be written. It does so after
        # a pause, because otherwise writes to a full disk would be retried continuously.
        await anyio.sleep(LOG_RETRY_PAUSE_MS / 1000.0)
        return SendResult(SendOutcome.NOT_SENT, 0.0)

    async def _notify(self, pending: PendingEvent, decision: Decision) -> None:
        # Notify the platform of a final outcome once it is in the log, or once the event has expired. Without
        # the log entry, a restarted process would deliver an event that its client has meanwhile resubmitted
        # to another node.
        while not self._log.append_decision(pending, decision) and self._log_clock() < pending.expires_at:
            await anyio.sleep(LOG_RETRY_PAUSE_MS / 1000.0)
        await self._notifier.notify(pending.event_id, decision)
        self._log.append_ended(pending)


def _final_decision(decision: Reject | Abandon) -> Decision:
    if isinstance(decision, Reject):
        return Decision(FinalOutcome.REJECTED, decision.retry_after_ms)
    return Decision(FinalOutcome.ABANDONED, 0.0)
