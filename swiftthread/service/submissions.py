"""Answers to submitted events: whether the node admits one. Admitted means: it is in the write-ahead log."""

import math

from swiftthread.clocks import Clock
from swiftthread.routing.events import Destination
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings
from swiftthread.server.messages import AdmissionResult
from swiftthread.service.activity import Activity, AdmissionOutcome
from swiftthread.service.delivery import EventDelivery
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog

# Pending events at most, where the settings name no bound.
DEFAULT_MAX_PENDING_EVENTS = 10000
# x the max age of the stream type: an event with more time left is unusable. With less it is admitted, and
# its time is cut to the max age.
MAX_REMAINING_AGES = 2

ADMITTED = 202
UNUSABLE = 400
CONFLICT = 409
UNAVAILABLE = 503


class SubmissionHandler:
    """Decides for each submitted event whether the node admits it, and starts its delivery.

    Attributes:
        sends_until: Moment (ms, monotonic) after which no attempt starts; inf until a shutdown begins. An
            event whose turn comes later is rejected.
        is_closed: Set by the shutdown: nothing is admitted any more.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        router: Router,
        log: WriteAheadLog,
        delivery: EventDelivery,
        activity: Activity,
        stream_type_numbers: dict[str, int],
        max_pending_bytes: int,
        clock: Clock,
        log_clock: Clock,
    ) -> None:
        self.sends_until = math.inf
        self.is_closed = False
        self._router = router
        self._log = log
        self._delivery = delivery
        self._activity = activity
        self._max_age_ms = {
            name: settings.stream_types[number].max_age_ms for name, number in stream_type_numbers.items()
        }
        self._max_pending_events = _max_pending_events(settings)
        self._max_pending_bytes = max_pending_bytes
        self._clock = clock
        self._log_clock = log_clock

    def admit(self, pending: PendingEvent) -> AdmissionResult:
        """Answer one submission; the delivery of an admitted event starts once its client was answered."""
        result, outcome = self._admit(pending)
        self._activity.submissions[outcome] += 1
        return result

    def _admit(self, pending: PendingEvent) -> tuple[AdmissionResult, AdmissionOutcome]:
        is_same = self._log.matches_known_event(pending)
        if is_same is not None:
            # Submitted again by its client; or another event with the same id, which no answer of ours could
            # tell apart.
            if is_same:
                return AdmissionResult(ADMITTED), AdmissionOutcome.KNOWN
            return AdmissionResult(CONFLICT), AdmissionOutcome.CONFLICT
        now = self._log_clock()
        max_age_ms = self._max_age_ms[pending.stream_type]
        if not now < pending.expires_at <= now + MAX_REMAINING_AGES * max_age_ms:
            return AdmissionResult(UNUSABLE), AdmissionOutcome.UNUSABLE
        pending.expires_at = min(pending.expires_at, now + max_age_ms)
        destination = self._router.find_destination(pending.destination)
        at = self._clock()
        refusal = self._reason_to_refuse(pending, destination, at)
        if refusal is None and not self._log.append_accepted(pending):
            refusal = AdmissionOutcome.NOT_LOGGED
        if refusal is not None:
            retry_after_ms = self._router.retry_after_ms(destination, at)
            return AdmissionResult(UNAVAILABLE, retry_after_ms=retry_after_ms), refusal
        event = self._delivery.add(pending)
        result = AdmissionResult(ADMITTED, lambda: self._delivery.start(pending, event))
        return result, AdmissionOutcome.ADMITTED

    def _reason_to_refuse(
        self, pending: PendingEvent, destination: Destination | None, now: float
    ) -> AdmissionOutcome | None:
        """Why the event cannot be held, or not be sent before a shutdown ends the sends; None if it can."""
        if len(self._log.pending) >= self._max_pending_events:
            return AdmissionOutcome.TOO_MANY_EVENTS
        if self._delivery.pending_bytes + len(pending.body) > self._max_pending_bytes:
            return AdmissionOutcome.TOO_MANY_BYTES
        if destination is None:  # the list comes seconds late
            return AdmissionOutcome.UNKNOWN_DESTINATION
        drained_at = now + self._router.queue_drain_time_ms(destination, now)
        if self.is_closed or drained_at > self.sends_until:
            return AdmissionOutcome.SHUTTING_DOWN
        return None


def _max_pending_events(settings: Settings) -> float:
    bound = settings.max_pending_events
    return bound if bound and bound < math.inf else DEFAULT_MAX_PENDING_EVENTS
