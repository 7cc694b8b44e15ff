"""Room for pending events: tenants' quotas, the node's capacity, and the Retry-After of a rejection."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from swiftthread.routing.events import Destination, Event
from swiftthread.routing.settings import Settings, StreamType

# Share of the room for pending events from which the longest queues are rejected.
CAPACITY_SHARE = 0.92
# ms of its quota by which a tenant may be ahead before its events weigh less.
QUOTA_BURST_MS = 2000.0
# ms: least Retry-After given to a client.
MIN_RETRY_AFTER_MS = 500.0


@dataclass(slots=True)
class Quota:
    """A tenant's schedule by GCRA. An interval of 0 is no quota."""

    interval_ms: float
    next_slot_at: float = 0.0


class TenantQuotas:
    """Weighs events by their tenant's quota."""

    def __init__(self, settings: Settings) -> None:
        nodes = max(1, settings.node_count)
        self.over_quota_weight = settings.over_quota_weight
        self.quotas = [
            Quota(1000.0 * nodes / per_second if per_second else 0.0) for per_second in settings.quotas
        ]

    def weight(self, stream_type: StreamType, tenant: int | None, now: float) -> float:
        """The priority weight of a new event, which counts against its tenant's quota."""
        if not self.quotas:
            return stream_type.priority_weight
        if tenant is None or tenant >= len(self.quotas):
            # Who is no tenant has no quota, least of all another's.
            return stream_type.priority_weight * self.over_quota_weight
        quota = self.quotas[tenant]
        if quota.next_slot_at > now + QUOTA_BURST_MS:
            return stream_type.priority_weight * self.over_quota_weight
        if quota.interval_ms:
            quota.next_slot_at = max(now, quota.next_slot_at) + quota.interval_ms
        return stream_type.priority_weight


class PendingCapacity:
    """Counts pending events against the node's room for them."""

    def __init__(self, settings: Settings, destinations: Mapping[int, Destination]) -> None:
        self.capacity = settings.max_pending_events * CAPACITY_SHARE
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self.destinations = destinations
        self.pending_count = 0

    def add(self, destination: Destination) -> None:
        """Count a new event."""
        destination.pending_count += 1
        self.pending_count += 1

    def release(self, event: Event) -> None:
        """Count an event no more; the first call alone has an effect."""
        if not event.is_finished:
            event.is_finished = True
            event.destination.pending_count -= 1
            self.pending_count -= 1

    def is_exceeded(self) -> bool:
        """Whether more events are pending than the node means to hold."""
        return self.pending_count > self.capacity

    def excess(self) -> int:
        """How many events are pending beyond the capacity."""
        return self.pending_count - int(self.capacity)

    def has_long_queue(self, destination: Destination) -> bool:
        """Whether more events are pending for a destination than for the average of those with any."""
        occupied = sum(1 for other in self.destinations.values() if other.pending_count)
        return destination.pending_count * occupied > self.pending_count

    def retry_after_ms(self, destination: Destination | None, now: float) -> float:
        """Ms after which a client had best retry; 0 is no advice. None is an unknown destination."""
        drain_time_ms = queue_drain_time_ms(destination, now) if destination else 0.0
        return min(self.max_retry_after_ms, max(MIN_RETRY_AFTER_MS, drain_time_ms))


def queue_drain_time_ms(destination: Destination, now: float) -> float:
    """Ms until all pending events of a destination could be sent, at the present rates."""
    endpoints = [endpoint for endpoint in destination.endpoints if not endpoint.is_down]
    limiters = dict.fromkeys(endpoint.rate_limiter for endpoint in endpoints or destination.endpoints)
    if not limiters:
        return math.inf
    rate = sum(limiter.rate or math.inf for limiter in limiters)
    blocked_ms = max(0.0, min(limiter.retry_after_until for limiter in limiters) - now)
    return destination.pending_count / rate + blocked_ms
