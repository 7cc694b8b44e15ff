"""The rule that no event takes effect twice.

An attempt may have run if it reached the endpoint and was not rejected.
"""

import math
from collections.abc import Iterator

from swiftthread.lab.incident import DeduplicationGroup, Effect, Stream
from swiftthread.lab.outcomes import EventOutcome
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.evidence import Attempt, Evidence, SubmittedEvent
from swiftthread.lab.referee.tolerances import CLOSE_RACE_MS, TRANSIT_SLACK_MS


def check_effects(evidence: Evidence) -> Iterator[Breach]:
    """Rule 2: no event takes effect twice, and no two attempts of one event are in flight at once."""
    for event in evidence.events.values():
        yield from _check_attempts(event)
        yield from _check_handed_back(event)


def _breach(event: SubmittedEvent, at: float, text: str) -> Breach:
    return Breach(Rule.NO_DUPLICATE_EFFECT, at, f"{event.event_id}: {text}")


def _check_attempts(event: SubmittedEvent) -> Iterator[Breach]:
    possible_execution: Attempt | None = None
    in_flight_until = -math.inf
    for attempt in sorted(event.attempts, key=lambda attempt: attempt.received_at):
        if attempt.received_at < in_flight_until - CLOSE_RACE_MS:
            yield _breach(event, attempt.received_at, "two attempts were in flight at the same time")
        ended_at = attempt.ended_at() if math.isfinite(attempt.ended_at()) else attempt.received_at
        in_flight_until = max(in_flight_until, ended_at)
        if possible_execution is not None:
            yield from _check_retry(event, possible_execution, attempt)
        elif not attempt.was_rejected():
            possible_execution = attempt


def _check_retry(event: SubmittedEvent, possible_execution: Attempt, attempt: Attempt) -> Iterator[Breach]:
    """Check an attempt made after an earlier attempt that may have run."""
    stream = event.stream
    if stream.effect == Effect.NON_IDEMPOTENT:
        yield _breach(event, attempt.received_at, "sent again although an earlier attempt may have run")
    elif stream.effect == Effect.DEDUPLICATED:
        since_execution_ms = attempt.first_byte_at - possible_execution.first_byte_at
        window_ends_at = possible_execution.first_byte_at + stream.window_ms
        if attempt.first_byte_at > window_ends_at + TRANSIT_SLACK_MS:
            text = (
                f"sent again {since_execution_ms:.0f} ms after an attempt that may have run, "
                f"deduplication window {stream.window_ms:.0f} ms"
            )
            yield _breach(event, attempt.received_at, text)
        elif stream.group == DeduplicationGroup.ZONE and attempt.zone != possible_execution.zone:
            yield _breach(event, attempt.received_at, "sent again in a zone outside its deduplication group")


def _check_handed_back(event: SubmittedEvent) -> Iterator[Breach]:
    """Check that a node rejects an accepted event that may have run only if a resubmission is safe."""
    handed_back_notifications = [
        notification for notification in event.notifications if notification.outcome == EventOutcome.REJECTED
    ]
    may_have_run = any(not attempt.was_rejected() for attempt in event.attempts)
    if handed_back_notifications and may_have_run and not _is_safe_to_resubmit(event.stream):
        yield _breach(
            event, handed_back_notifications[0].at, "notified of handed_back although an attempt may have run"
        )


def _is_safe_to_resubmit(stream: Stream) -> bool:
    """Return whether a resubmission through another node cannot take effect a second time."""
    if stream.effect == Effect.DEDUPLICATED:
        return stream.group == DeduplicationGroup.ALL
    return stream.effect == Effect.IDEMPOTENT
