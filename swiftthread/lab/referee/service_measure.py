"""The service measure: the utility of acknowledged events divided by the utility of all submitted events."""

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from swiftthread.lab.incident import Stream
from swiftthread.lab.referee.evidence import Evidence, SubmittedEvent

# Calls without a response are counted under this name; other calls are counted under their outcome.
UNANSWERED_CALL = "unanswered"


class Count(StrEnum):
    """Names of the counts in `result.json`, apart from the counts of notified outcomes and of calls."""

    ACCEPTED = "taken"
    REJECTED = "refused"
    NO_RESPONSE = "unheard"
    EVENTS = "events"
    ACKED = "acked"


@dataclass(slots=True)
class UtilitySum:
    """The utility of submitted events, and how much of it was earned by acks."""

    offered: float = 0.0
    earned: float = 0.0

    def add(self, offered: float, earned: float) -> None:
        """Add one event."""
        self.offered += offered
        self.earned += earned


@dataclass(slots=True)
class ServiceMeasure:
    """The service measure of a run.

    Attributes:
        total: The utility over the whole run. Each event counts once, by its first submission.
        by_second: The utility by the second of the monotonic clock in which the event was scheduled.
        counts: The numbers of submissions, events, calls and notifications by name.
    """

    total: UtilitySum = field(default_factory=UtilitySum)
    by_second: dict[int, UtilitySum] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def value(self) -> float:
        """The utility earned divided by the utility offered; 0 when nothing was submitted."""
        return self.total.earned / self.total.offered if self.total.offered else 0.0


def utility_of_ack(stream: Stream, delay_ms: float) -> float:
    """Return the utility of an ack `delay_ms` after the event's first submission."""
    if delay_ms <= stream.slo_ms:
        return stream.utility
    if delay_ms > stream.max_age_ms:
        return 0.0
    late_share = (delay_ms - stream.slo_ms) / max(1.0, stream.max_age_ms - stream.slo_ms)
    return stream.utility * (1.0 - (1.0 - stream.late_utility) * late_share)


def measure_service(evidence: Evidence) -> ServiceMeasure:
    """Return the service measure of a run."""
    service = ServiceMeasure()
    acked_at_by_id = _acked_at_by_original_id(evidence)
    first_submissions = [event for event in evidence.events.values() if event.event_id == event.original_id]
    for event in first_submissions:
        acked_at = acked_at_by_id.get(event.original_id, math.inf)
        earned = utility_of_ack(event.stream, acked_at - event.scheduled_at)
        service.total.add(event.stream.utility, earned)
        second = int(event.scheduled_at // 1000.0)
        service.by_second.setdefault(second, UtilitySum()).add(event.stream.utility, earned)
    service.counts[Count.EVENTS] = len(first_submissions)
    service.counts[Count.ACKED] = sum(math.isfinite(acked_at) for acked_at in acked_at_by_id.values())
    _count_records(evidence, service.counts)
    return service


def _acked_at_by_original_id(evidence: Evidence) -> dict[str, float]:
    """Return when each event was first acked in any of its submissions; infinite when it was not.

    An ack counts if the client received the 202, or if the run ended before the client had a response.
    """
    acked_at_by_id: dict[str, float] = {}
    for event in evidence.events.values():
        acked_at = event.acked_at()
        if event.is_accepted() or (math.isfinite(acked_at) and event.status is None):
            earlier = acked_at_by_id.get(event.original_id, math.inf)
            acked_at_by_id[event.original_id] = min(earlier, acked_at)
    return acked_at_by_id


def _count_records(evidence: Evidence, counts: Counter[str]) -> None:
    """Count submissions by response, calls by outcome and events by notified outcome."""
    for event in evidence.events.values():
        counts[_response_count(event)] += 1
        for outcome in {notification.outcome for notification in event.notifications}:
            counts[outcome] += 1
    for attempt in evidence.calls.values():
        counts[f"send {attempt.outcome or UNANSWERED_CALL}"] += 1


def _response_count(event: SubmittedEvent) -> Count:
    """Return the count that a submission belongs to by its response."""
    if event.is_accepted():
        return Count.ACCEPTED
    return Count.REJECTED if event.status else Count.NO_RESPONSE
