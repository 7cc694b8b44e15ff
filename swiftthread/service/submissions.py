"""Admission of submitted events. An accepted event is in the write-ahead log."""

import math

from swiftthread.clocks import Clock
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.routing.events import Destination
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings
from swiftthread.server.messages import AdmissionResult, Submitter
from swiftthread.service.activity import Activity, AdmissionOutcome
from swiftthread.service.delivery import EventDelivery, event_bytes
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog

# Limit of pending events if the settings contain none.
DEFAULT_MAX_PENDING_EVENTS = 10000
# An event is invalid if its remaining time exceeds this multiple of the max age of its stream type. Otherwise
# the event is accepted, and its remaining time is limited to the max age.
MAX_REMAINING_TIME_IN_MAX_AGES = 2

# Memory of the id and the fingerprint of an event that ended recently.
ENDED_EVENT_BYTES = 512

STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_SERVICE_UNAVAILABLE = 503


class SubmissionHandler:
    """Decides for each submitted event whether the node accepts it, and starts its delivery."""

    def __init__(
        self,
        *,
        settings: Settings,
        router: Router,
        log: WriteAheadLog,
        delivery: EventDelivery,
        activity: Activity,
        stream_type_numbers: dict[str, int],
        memory: MemoryAccount,
        clock: Clock,
        log_clock: Clock,
    ) -> None:
        self.sends_until = math.inf
        """Time (ms, monotonic) after which no attempt starts; inf until a shutdown begins. An event is
        rejected if its queue would drain only after that time.
        """
        self.is_closed = False
        """Set by the shutdown: no event is accepted any longer."""
        self._router = router
        self._log = log
        self._delivery = delivery
        self._activity = activity
        self._max_age_ms = {
            name: settings.stream_types[number].max_age_ms for name, number in stream_type_numbers.items()
        }
        self._max_pending_events = _max_pending_events(settings)
        self._memory = memory
        self._clock = clock
        self._log_clock = log_clock

    def admit(self, pending: PendingEvent, submitter: Submitter) -> AdmissionResult:
        """Accept or reject one submission; `submitter` is the connection on which it came."""
        # The delivery of an accepted event starts once the response was sent or the client disconnected.
        pending.submitter = submitter
        result, outcome = self._admit(pending)
        self._activity.submissions[outcome] += 1
        return result

    def _admit(self, pending: PendingEvent) -> tuple[AdmissionResult, AdmissionOutcome]:
        is_same = self._log.matches_known_event(pending)
        if is_same is not None:
            # Either the client resubmitted the event, or another event has the same id. Responses and
            # notifications could not distinguish two events of one id, so the other event is rejected.
            if is_same:
                return AdmissionResult(STATUS_ACCEPTED), AdmissionOutcome.DUPLICATE
            return AdmissionResult(STATUS_CONFLICT), AdmissionOutcome.CONFLICT
        now = self._log_clock()
        max_age_ms = self._max_age_ms[pending.stream_type]
        if not now < pending.expires_at <= now + MAX_REMAINING_TIME_IN_MAX_AGES * max_age_ms:
            return AdmissionResult(STATUS_BAD_REQUEST), AdmissionOutcome.INVALID_EXPIRY
        pending.expires_at = min(pending.expires_at, now + max_age_ms)
        destination = self._router.find_destination(pending.destination)
        at = self._clock()
        rejection = self._reason_to_reject(pending, destination, at)
        if rejection is None and not self._log.append_accepted(pending):
            rejection = AdmissionOutcome.NOT_LOGGED
        if rejection is not None:
            retry_after_ms = self._router.retry_after_ms(destination, at)
            return AdmissionResult(STATUS_SERVICE_UNAVAILABLE, retry_after_ms=retry_after_ms), rejection
        event = self._delivery.add(pending)
        result = AdmissionResult(STATUS_ACCEPTED, lambda: self._delivery.start(pending, event))
        return result, AdmissionOutcome.ACCEPTED

    def _reason_to_reject(
        self, pending: PendingEvent, destination: Destination | None, now: float
    ) -> AdmissionOutcome | None:
        # Returns why the event cannot be stored, or not be sent before a shutdown ends the attempts. Returns
        # None if it can be both.
        if len(self._log.pending) >= self._max_pending_events:
            return AdmissionOutcome.TOO_MANY_EVENTS
        free_bytes = self._memory.free(MemoryUse.EVENTS)
        free_bytes -= ENDED_EVENT_BYTES * len(self._log.recently_ended) + event_bytes(pending)
        if free_bytes < 0:
            return AdmissionOutcome.TOO_MANY_BYTES
        # A connection may hold as much as is free (dynamic thresholds of Choudhury and Hahne, 1998), so that
        # there is always memory for the events of others.
        if pending.submitter.pending_bytes > free_bytes:
            return AdmissionOutcome.TOO_MANY_OF_CLIENT
        if destination is None:  # an endpoint list that names it may arrive seconds later
            return AdmissionOutcome.UNKNOWN_DESTINATION
        drained_at = now + self._router.queue_drain_time_ms(destination, now)
        if self.is_closed or drained_at > self.sends_until:
            return AdmissionOutcome.SHUTTING_DOWN
        return None


def _max_pending_events(settings: Settings) -> float:
    limit = settings.max_pending_events
    return limit if limit and limit < math.inf else DEFAULT_MAX_PENDING_EVENTS
