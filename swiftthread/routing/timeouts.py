"""How long an attempt is waited for, and which events may therefore share a call."""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Event
from swiftthread.routing.recovery import RecoveryRamp
from swiftthread.routing.retry_rules import final_outcome_margin_ms
from swiftthread.routing.settings import Effect, Settings

# ms: what a time-out is at least, before latencies are added; a long tail's 99th percentile.
BASE_TIMEOUT_MS = 1200.0
# x usual latency, added to it.
TIMEOUT_LATENCIES = 8.0
# ms: the longest time-out.
MAX_TIMEOUT_MS = 6000.0
# ms: the shortest time-out.
MIN_TIMEOUT_MS = 1.0
# x time-out while an endpoint warms up.
WARMING_FACTOR = 2.0
# Share of the deduplication window, or of the time left, so that another attempt fits inside.
TIMEOUT_SHARE = 0.6


class AttemptTimeouts:
    """Time-outs of attempts, by the latency of the endpoint and the time that the event has left."""

    def __init__(self, settings: Settings, recovery: RecoveryRamp) -> None:
        self.final_outcome_margin_ms = final_outcome_margin_ms(settings)
        self.recovery = recovery

    def timeout_ms(self, event: Event, endpoint: Endpoint, now: float) -> float:
        """Ms for which the outcome of an attempt is waited for."""
        time_left_ms = self._time_left_ms(event, now)
        stream_type = event.stream_type
        if stream_type.effect == Effect.NON_IDEMPOTENT:
            # A time-out would only end the event: nothing may follow.
            return max(MIN_TIMEOUT_MS, time_left_ms)
        factor = WARMING_FACTOR if self.recovery.is_warming(endpoint, now) else 1.0
        usual_ms = BASE_TIMEOUT_MS + TIMEOUT_LATENCIES * endpoint.rate_limiter.recent_latency_ms.value
        timeout_ms = min(factor * usual_ms, MAX_TIMEOUT_MS)
        if stream_type.effect == Effect.DEDUPLICATED:
            longest_ms = TIMEOUT_SHARE * stream_type.deduplication_window_ms
        else:
            longest_ms = max(BASE_TIMEOUT_MS, TIMEOUT_SHARE * time_left_ms)
        return max(MIN_TIMEOUT_MS, min(timeout_ms, longest_ms, time_left_ms))

    def may_share_call(self, event: Event, endpoint: Endpoint, now: float) -> bool:
        """Whether an event may travel with others.

        Guards the others: a call ends for all when the time of one of its events is up, and one that has less
        left than a slow answer takes would break it off for them. Hurts near the end of many events, each of
        which takes a slot.
        """
        time_left_ms = self._time_left_ms(event, now)
        return (
            time_left_ms >= endpoint.rate_limiter.unresponsive_after_ms()
            or self.timeout_ms(event, endpoint, now) < time_left_ms
        )

    def _time_left_ms(self, event: Event, now: float) -> float:
        """Ms for which an answer may be waited for: after that there must be time to tell the event's end."""
        return event.expires_at - self.final_outcome_margin_ms - now
