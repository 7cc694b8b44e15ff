"""Which pending event is worth most to send next: the value that its wait would cost."""

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.admission import queue_drain_time_ms
from swiftthread.routing.events import Destination, Event
from swiftthread.routing.rate_limiter import longest_wait_ms
from swiftthread.routing.settings import Settings

# ms: the shortest wait that events are ranked by.
MIN_HORIZON_MS = 1000.0
# ms: the shortest span over which urgency falls while the latency objective is far.
MIN_OBJECTIVE_MS = 200.0


class UrgencyRanking:
    """Ranks events by the priority weight that is lost while they wait."""

    def __init__(self, settings: Settings) -> None:
        self.halves_late_value = settings.halves_late_value
        self.longest_wait_ms = longest_wait_ms(settings)

    def sort(self, events: Iterable[Event], now: float) -> list[Event]:
        """The events, the most urgent first."""
        events = list(events)
        horizons_ms = {
            destination: self.horizon_ms(destination, now)
            for destination in dict.fromkeys(event.destination for event in events)
        }
        return sorted(events, key=lambda event: self.rank(event, horizons_ms[event.destination], now))

    def horizon_ms(self, destination: Destination, now: float) -> float:
        """Ms by which the events of a destination are ranked: what its whole queue takes."""
        return min(self.longest_wait_ms, max(MIN_HORIZON_MS, queue_drain_time_ms(destination, now)))

    def rank(self, event: Event, horizon_ms: float, now: float) -> tuple[float, float]:
        """A sort key: events of lower rank are more urgent."""
        return -self._delay_cost(event, horizon_ms, now), event.latency_objective_at

    def _delay_cost(self, event: Event, horizon_ms: float, now: float) -> float:
        """The value a ms that waiting for the queue would cost, once late; less while the objective is far.

        Guards an overload, where the oldest first would have all of them served too late.
        """
        late_at = max(now, event.latency_objective_at)
        after_wait_at = max(now + horizon_ms, late_at + MIN_HORIZON_MS)
        lost = (self.value_at(event, late_at) - self.value_at(event, after_wait_at)) / horizon_ms
        return lost * math.exp(
            min(0.0, now + horizon_ms - MIN_HORIZON_MS - event.latency_objective_at)
            / max(MIN_OBJECTIVE_MS, event.stream_type.latency_objective_ms)
        )

    def value_at(self, event: Event, at: float) -> float:
        """What a delivery at a moment is worth, in units of the priority weight."""
        stream_type = event.stream_type
        late_ms = max(0.0, at - event.latency_objective_at)
        weight = event.priority_weight * (at <= event.expires_at)
        if self.halves_late_value:
            halvings = late_ms / max(1.0, stream_type.latency_objective_ms)
            remaining: float = 0.5**halvings
            return weight * max(stream_type.late_weight, remaining)
        span_ms = max(1.0, stream_type.max_age_ms - stream_type.latency_objective_ms)
        return weight * (1 - (1 - stream_type.late_weight) * min(1.0, late_ms / span_ms))
