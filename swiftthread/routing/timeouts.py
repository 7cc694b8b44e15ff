"""How long a node waits for an attempt, and which events may therefore share a call."""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Event
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.retry_rules import final_outcome_margin_ms
from swiftthread.routing.settings import Effect, Settings

# Fixed part of a timeout, to which latencies are added; the 99th percentile of a long-tailed latency.
BASE_TIMEOUT_MS = 1200.0
# Multiple of the median latency that is added to the fixed part.
TIMEOUT_LATENCIES = 8.0
# The longest timeout, except for non-idempotent events.
MAX_TIMEOUT_MS = 6000.0
# The shortest timeout.
MIN_TIMEOUT_MS = 1.0
# Factor of the timeout while an endpoint warms up.
WARM_UP_TIMEOUT_FACTOR = 2.0
# Share of the deduplication window, or of the time left, that a timeout may use, so that another attempt fits
# into the rest.
TIMEOUT_SHARE = 0.6


class AttemptTimeouts:
    """Sets timeouts of attempts by the latency of the endpoint and the time that the event has left."""

    def __init__(self, settings: Settings, recovery: RecoveryPacing) -> None:
        self.final_outcome_margin_ms = final_outcome_margin_ms(settings)
        self.recovery = recovery

    def timeout_ms(self, event: Event, endpoint: Endpoint, now: float) -> float:
        """Return how long the node waits for the outcome of an attempt."""
        time_left_ms = self._time_left_ms(event, now)
        stream_type = event.stream_type
        if stream_type.effect == Effect.NON_IDEMPOTENT:
            # A timeout would only abandon the event, as no further attempt may follow.
            return max(MIN_TIMEOUT_MS, time_left_ms)
        factor = WARM_UP_TIMEOUT_FACTOR if self.recovery.is_warming_up(endpoint, now) else 1.0
        normal_timeout_ms = (
            BASE_TIMEOUT_MS + TIMEOUT_LATENCIES * endpoint.rate_limiter.recent_latency_ms.value
        )
        timeout_ms = min(factor * normal_timeout_ms, MAX_TIMEOUT_MS)
        if stream_type.effect == Effect.DEDUPLICATED:
            longest_ms = TIMEOUT_SHARE * stream_type.deduplication_window_ms
        else:
            longest_ms = max(BASE_TIMEOUT_MS, TIMEOUT_SHARE * time_left_ms)
        return max(MIN_TIMEOUT_MS, min(timeout_ms, longest_ms, time_left_ms))

    def may_share_call(self, event: Event, endpoint: Endpoint, now: float) -> bool:
        """Return whether an event may share a call with others."""
        # This protects the other events: a call ends for all of its events when one of them runs out of time,
        # and an event that has less time left than a slow response takes would break off the call for the
        # others. The cost: when many events are close to their max age, each of them takes a separate slot.
        time_left_ms = self._time_left_ms(event, now)
        return (
            time_left_ms >= endpoint.rate_limiter.unresponsive_after_ms()
            or self.timeout_ms(event, endpoint, now) < time_left_ms
        )

    def _time_left_ms(self, event: Event, now: float) -> float:
        # Return how long the node may wait for a response; the margin leaves time to report the outcome.
        return event.expires_at - self.final_outcome_margin_ms - now
