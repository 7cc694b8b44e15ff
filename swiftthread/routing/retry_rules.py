"""Rules for retries: effects, deduplication windows and groups, and the time and attempts an event has."""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Event, GroupId
from swiftthread.routing.settings import DeduplicationGroup, Effect, Settings

# An event gets its final outcome at least this time before its max age.
MIN_FINAL_OUTCOME_MARGIN_MS = 12.0
# The same margin in scheduling cycles, of which one may run late; the longer margin applies.
FINAL_OUTCOME_MARGIN_CYCLES = 2
# A repeat is sent at least this time before its deduplication window ends: the process may be held up for so
# long between its last look at the clock and the write.
WINDOW_MARGIN_MS = 150.0
# Deduplication groups that can have several endpoints.
MULTI_ENDPOINT_GROUPS = (DeduplicationGroup.ALL, DeduplicationGroup.ZONE)


def final_outcome_margin_ms(settings: Settings) -> float:
    """Return the least time in ms from an event's final outcome to its max age."""
    return max(MIN_FINAL_OUTCOME_MARGIN_MS, FINAL_OUTCOME_MARGIN_CYCLES * settings.scheduling_interval_ms)


def deduplication_group(event: Event, endpoint: Endpoint) -> GroupId:
    """Return the group of endpoints that recognise a repeat of an event that was sent to this endpoint."""
    # The group is identified by a value that stays valid across restarts: the zone of its endpoints, or the
    # id of this endpoint alone where the group of the stream type is a single endpoint or unknown. For a
    # stream type whose group is all endpoints the zone is returned as well, but `is_bound_to_group` is false
    # there.
    if event.stream_type.deduplication_group in MULTI_ENDPOINT_GROUPS:
        return endpoint.zone
    return endpoint.endpoint_id


def is_bound_to_group(event: Event) -> bool:
    """Return whether an event may be sent only to endpoints that recognise the attempt that may have run."""
    return (
        event.may_have_run_at is not None
        and event.stream_type.effect == Effect.DEDUPLICATED
        and event.stream_type.deduplication_group != DeduplicationGroup.ALL
    )


def may_be_sent_to(event: Event, endpoint: Endpoint) -> bool:
    """Return whether an attempt at this endpoint carries no risk of a second effect."""
    return not is_bound_to_group(event) or deduplication_group(event, endpoint) == event.may_have_run_group


def is_safe_to_reject(event: Event) -> bool:
    """Return whether a client may resubmit the event without the risk of a second effect."""
    stream_type = event.stream_type
    is_recognised_anywhere = (
        stream_type.effect == Effect.DEDUPLICATED
        and stream_type.deduplication_group == DeduplicationGroup.ALL
    )
    return event.may_have_run_at is None or stream_type.effect == Effect.IDEMPOTENT or is_recognised_anywhere


class RetryRules:
    """Limits the time and the number of attempts of an event."""

    def __init__(self, settings: Settings) -> None:
        self.max_attempts = settings.max_attempts
        self.final_outcome_margin_ms = final_outcome_margin_ms(settings)

    def give_up_at(self, event: Event) -> float:
        """Return when the event is given up: before its max age and, after a possible run, its window end."""
        give_up_at = event.expires_at - self.final_outcome_margin_ms
        if event.may_have_run_at is not None and event.stream_type.effect == Effect.DEDUPLICATED:
            window_ends_at = event.may_have_run_at + event.stream_type.deduplication_window_ms
            give_up_at = min(give_up_at, window_ends_at - WINDOW_MARGIN_MS)
        return give_up_at

    def is_exhausted(self, event: Event, now: float) -> bool:
        """Return whether the event must not be attempted again."""
        return (
            now >= self.give_up_at(event)
            or event.attempts >= self.max_attempts
            or event.may_have_run_at is not None
            and event.stream_type.effect == Effect.NON_IDEMPOTENT
        )
