"""Admission of events: quotas of tenants, capacity for pending events, and the Retry-After of rejections."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from swiftthread.routing.events import Destination, Event
from swiftthread.routing.settings import Settings, StreamType

# Above this share of the maximum of pending events, events of destinations with long queues are rejected.
CAPACITY_SHARE = 0.92
# A tenant may be ahead of its quota by this time before its events get a lower priority weight.
QUOTA_BURST_MS = 2000.0
# Shortest Retry-After given to a client, unless the maximum in the settings is lower.
MIN_RETRY_AFTER_MS = 500.0


@dataclass(slots=True)
class Quota:
    """The GCRA schedule of a tenant; an emission interval of 0 means no quota."""

    emission_interval_ms: float
    next_slot_at: float = 0.0


class TenantQuotas:
    """Reduces the priority weight of events that exceed the quota of their tenant."""

    def __init__(self, settings: Settings) -> None:
        node_count = max(1, settings.node_count)
        self.over_quota_weight = settings.over_quota_weight
        self.quotas = [
            Quota(1000.0 * node_count / events_per_s if events_per_s else 0.0)
            for events_per_s in settings.quotas
        ]

    def weight(self, stream_type: StreamType, tenant: int | None, now: float) -> float:
        """Return the priority weight of a new event; one within the quota of its tenant counts against it."""
        if not self.quotas:
            return stream_type.priority_weight
        if tenant is None or tenant >= len(self.quotas):
            # An event without a known tenant has no quota, and must not use the quota of another tenant.
            return stream_type.priority_weight * self.over_quota_weight
        quota = self.quotas[tenant]
        if quota.next_slot_at > now + QUOTA_BURST_MS:
            return stream_type.priority_weight * self.over_quota_weight
        if quota.emission_interval_ms:
            quota.next_slot_at = max(now, quota.next_slot_at) + quota.emission_interval_ms
        return stream_type.priority_weight


class PendingCapacity:
    """Counts pending events against the capacity of the node."""

    def __init__(self, settings: Settings, destinations: Mapping[int, Destination]) -> None:
        self.capacity = settings.max_pending_events * CAPACITY_SHARE
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self.destinations = destinations
        self.pending_count = 0

    def add(self, destination: Destination) -> None:
        """Count a new pending event."""
        destination.pending_count += 1
        self.pending_count += 1

    def release(self, event: Event) -> None:
        """Stop counting an event and mark it finished; repeated calls have no effect."""
        if not event.is_finished:
            event.is_finished = True
            event.destination.pending_count -= 1
            self.pending_count -= 1

    def is_exceeded(self) -> bool:
        """Return whether more events are pending than the node has capacity for."""
        return self.pending_count > self.capacity

    def excess(self) -> int:
        """Return how many pending events exceed the capacity."""
        return self.pending_count - int(self.capacity)

    def has_long_queue(self, destination: Destination) -> bool:
        """Return whether a destination has more pending events than the average destination that has any."""
        occupied_destination_count = sum(1 for other in self.destinations.values() if other.pending_count)
        return destination.pending_count * occupied_destination_count > self.pending_count

    def retry_after_ms(self, destination: Destination | None, now: float) -> float:
        """Return the Retry-After in ms for events of a destination (None if unknown); 0 for no advice."""
        drain_time_ms = queue_drain_time_ms(destination, now) if destination else 0.0
        return min(self.max_retry_after_ms, max(MIN_RETRY_AFTER_MS, drain_time_ms))


def queue_drain_time_ms(destination: Destination, now: float) -> float:
    """Return the time in ms in which all pending events of a destination can be sent at current rates."""
    endpoints = [endpoint for endpoint in destination.endpoints if not endpoint.is_down]
    limiters = dict.fromkeys(endpoint.rate_limiter for endpoint in endpoints or destination.endpoints)
    # The time is inf for a destination without endpoints.
    if not limiters:
        return math.inf
    rate = sum(limiter.rate or math.inf for limiter in limiters)
    blocked_ms = max(0.0, min(limiter.retry_after_until for limiter in limiters) - now)
    return destination.pending_count / rate + blocked_ms
