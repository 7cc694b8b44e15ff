"""Ranks pending events by urgency: the value that an event loses by waiting."""

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.admission import queue_drain_time_ms
from swiftthread.routing.events import Destination, Event
from swiftthread.routing.rate_limiter import longest_wait_ms
from swiftthread.routing.settings import Settings

# Events are ranked by the cost of waiting for at least this time.
MIN_HORIZON_MS = 1000.0
# Urgency decays exponentially with the time by which the latency objective lies beyond the wait for the
# queue. The decay constant is the latency objective of the stream type, but at least this time.
MIN_URGENCY_DECAY_MS = 200.0


class UrgencyRanking:
    """Ranks events by the part of their priority weight that is lost while they wait."""

    def __init__(self, settings: Settings) -> None:
        self.halves_late_value = settings.halves_late_value
        self.longest_wait_ms = longest_wait_ms(settings)

    def sort(self, events: Iterable[Event], now: float) -> list[Event]:
        """Return the events, the most urgent first."""
        events = list(events)
        horizons_ms = {
            destination: self.horizon_ms(destination, now)
            for destination in dict.fromkeys(event.destination for event in events)
        }
        return sorted(events, key=lambda event: self.rank(event, horizons_ms[event.destination], now))

    def horizon_ms(self, destination: Destination, now: float) -> float:
        """Return how long a destination's whole queue takes, in ms and within bounds."""
        # Events are ranked by the cost of waiting that long.
        return min(self.longest_wait_ms, max(MIN_HORIZON_MS, queue_drain_time_ms(destination, now)))

    def rank(self, event: Event, horizon_ms: float, now: float) -> tuple[float, float]:
        """Return the sort key of an event: events with a lower key are more urgent."""
        return -self._delay_cost_per_ms(event, horizon_ms, now), event.latency_objective_at

    def _delay_cost_per_ms(self, event: Event, horizon_ms: float, now: float) -> float:
        # Return the value per ms that the event loses by waiting for the queue after its latency objective.
        #
        # It is lower the farther the latency objective lies beyond that wait. This protects deliveries during
        # an overload, when sending the oldest event first would deliver all events too late.
        late_at = max(now, event.latency_objective_at)
        after_wait_at = max(now + horizon_ms, late_at + MIN_HORIZON_MS)
        loss_per_ms = (self.value_at(event, late_at) - self.value_at(event, after_wait_at)) / horizon_ms
        return loss_per_ms * math.exp(
            min(0.0, now + horizon_ms - MIN_HORIZON_MS - event.latency_objective_at)
            / max(MIN_URGENCY_DECAY_MS, event.stream_type.latency_objective_ms)
        )

    def value_at(self, event: Event, at: float) -> float:
        """Return the value of a delivery at a time, in units of the priority weight."""
        stream_type = event.stream_type
        late_ms = max(0.0, at - event.latency_objective_at)
        weight = event.priority_weight * (at <= event.expires_at)
        if self.halves_late_value:
            halvings = late_ms / max(1.0, stream_type.latency_objective_ms)
            remaining_share: float = 0.5**halvings
            return weight * max(stream_type.late_weight, remaining_share)
        late_window_ms = max(1.0, stream_type.max_age_ms - stream_type.latency_objective_ms)
        return weight * (1 - (1 - stream_type.late_weight) * min(1.0, late_ms / late_window_ms))
