"""What may follow an attempt: idempotency, the deduplication window and its group, the end of an event."""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Event, GroupId
from swiftthread.routing.settings import DeduplicationGroup, Effect, Settings

# ms before a bound at which an event is answered, at least.
MIN_FINAL_OUTCOME_MARGIN_MS = 12.0
# Turns of the caller before such a bound: one may come late.
FINAL_OUTCOME_MARGIN_CYCLES = 2
# Groups of more than a single endpoint.
KNOWN_GROUPS = (DeduplicationGroup.ALL, DeduplicationGroup.ZONE)


def final_outcome_margin_ms(settings: Settings) -> float:
    """Ms before a bound of an event at which it is answered at the latest."""
    return max(MIN_FINAL_OUTCOME_MARGIN_MS, FINAL_OUTCOME_MARGIN_CYCLES * settings.scheduling_interval_ms)


def deduplication_group(event: Event, endpoint: Endpoint) -> GroupId:
    """Which endpoints recognise a repeat of an event sent here, by what outlasts a process.

    Those of its zone, or this one alone where the group of the stream type is not a known one.
    """
    if event.stream_type.deduplication_group in KNOWN_GROUPS:
        return endpoint.zone
    return endpoint.endpoint_id


def is_bound_to_group(event: Event) -> bool:
    """Whether an event may go only where the attempt that may have run is recognised."""
    return (
        event.may_have_run_at is not None
        and event.stream_type.effect == Effect.DEDUPLICATED
        and event.stream_type.deduplication_group != DeduplicationGroup.ALL
    )


def may_go_to(event: Event, endpoint: Endpoint) -> bool:
    """Whether an attempt at this endpoint cannot have an effect twice."""
    return not is_bound_to_group(event) or deduplication_group(event, endpoint) == event.may_have_run_group


def is_safe_to_reject(event: Event) -> bool:
    """Whether a client that hands the event in again can do no harm."""
    stream_type = event.stream_type
    is_recognised_anywhere = (
        stream_type.effect == Effect.DEDUPLICATED
        and stream_type.deduplication_group == DeduplicationGroup.ALL
    )
    return event.may_have_run_at is None or stream_type.effect == Effect.IDEMPOTENT or is_recognised_anywhere


class RetryRules:
    """Until when, and how often, an event is attempted."""

    def __init__(self, settings: Settings) -> None:
        self.max_attempts = settings.max_attempts
        self.final_outcome_margin_ms = final_outcome_margin_ms(settings)

    def give_up_at(self, event: Event) -> float:
        """When the event is given up at the latest: before its max age, and within its window."""
        last = event.expires_at - self.final_outcome_margin_ms
        if event.may_have_run_at is not None and event.stream_type.effect == Effect.DEDUPLICATED:
            window_ends_at = event.may_have_run_at + event.stream_type.deduplication_window_ms
            last = min(last, window_ends_at - self.final_outcome_margin_ms)
        return last

    def is_exhausted(self, event: Event, now: float) -> bool:
        """Whether no further attempt may follow."""
        return (
            now >= self.give_up_at(event)
            or event.attempts >= self.max_attempts
            or event.may_have_run_at is not None
            and event.stream_type.effect == Effect.NON_IDEMPOTENT
        )
