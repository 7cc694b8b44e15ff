"""Applies endpoint lists: endpoints that are added, changed, draining or gone."""

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import EndpointEntry
from swiftthread.routing.rate_limiter import FleetSharing, RateLimiter
from swiftthread.routing.recovery import RecoveryRamp
from swiftthread.routing.settings import ListedRates, Settings

# Warm-ups for which an endpoint that left the list is known, should it come back.
KNOWN_WARM_UPS = 2


class EndpointList:
    """The endpoints and destinations that this node knows."""

    def __init__(self, settings: Settings, recovery: RecoveryRamp) -> None:
        self.settings = settings
        self.recovery = recovery
        self.sharing = FleetSharing.from_settings(settings)
        self.has_listed_rates = settings.listed_rates in (ListedRates.NOMINAL, ListedRates.ROUGH)
        stream_types = settings.stream_types
        weight = sum(stream_type.priority_weight for stream_type in stream_types)
        self.carriage_costs = [
            cost * weight / max(1, len(stream_types)) for cost in settings.carriage_cost_by_zone
        ]
        """By zone, in units of the priority weight."""
        self.destinations: dict[int, Destination] = {}
        """By number, as the list names them."""
        self.endpoints: dict[str | int, Endpoint] = {}
        """By id; endpoints are dropped when they are long gone."""

    def destination(self, number: int) -> Destination:
        """The destination of a number, which is made if it is new."""
        return self.destinations.setdefault(number, Destination(number))

    def is_current(self, endpoint: Endpoint) -> bool:
        """Whether this endpoint, and no other, is known under its id."""
        return self.endpoints.get(endpoint.endpoint_id) is endpoint

    def rate_limiters(self) -> set[RateLimiter]:
        """The limiters of all known endpoints."""
        return {endpoint.rate_limiter for endpoint in self.endpoints.values()}

    def apply(self, entries: Iterable[EndpointEntry], is_complete: bool, now: float) -> list[Endpoint]:
        """Take a list in; a complete one drains the endpoints that it leaves out.

        Returns:
            The endpoints that are no longer known.
        """
        dropped: list[Endpoint] = []
        listed_ids: set[str | int] = set()
        grown: dict[Destination, bool] = {}
        for entry in entries:
            endpoint = self._apply_entry(EndpointEntry(*entry), dropped)
            if endpoint is None:
                continue
            listed_ids.add(endpoint.endpoint_id)
            destination = endpoint.destination
            if endpoint.is_ready and endpoint not in destination.endpoints:
                # A new list: whoever iterates over the old one goes on undisturbed.
                destination.endpoints = [*destination.endpoints, endpoint]
                grown[destination] = True
        for destination in grown:
            destination.endpoints.sort(key=lambda endpoint: (endpoint.carriage_cost, endpoint.rank))
        self._drain_unlisted(listed_ids, is_complete, now, dropped)
        return dropped

    def _apply_entry(self, entry: EndpointEntry, dropped: list[Endpoint]) -> Endpoint | None:
        """The endpoint that an entry names; None when it is unknown and not ready."""
        destination = self.destination(entry.destination_number)
        has_separate_route = self._has_separate_route(entry.kind)
        retry_after_until = -math.inf
        known = self.endpoints.get(entry.endpoint_id)
        if known and (known.destination is not destination or known.has_separate_route != has_separate_route):
            # Under its id it serves another destination now, or as another kind.
            self._drain(self.endpoints.pop(entry.endpoint_id))
            dropped.append(known)
            if known.destination is destination:
                retry_after_until = known.rate_limiter.retry_after_until
            known = None
        if known is None and not entry.is_ready:
            return None
        listed_rate = entry.listed_rate / 1000.0 if self.has_listed_rates and entry.listed_rate > 0 else None
        if known:
            endpoint = known
            endpoint.rate_limiter.update_from_list(listed_rate)
        else:
            endpoint = self._add(entry, destination, has_separate_route, listed_rate)
        endpoint.rate_limiter.extend_retry_after(retry_after_until)  # a Retry-After outlasts the change
        self._describe(endpoint, entry, has_separate_route)
        return endpoint

    def _has_separate_route(self, kind: int) -> bool:
        by_kind = self.settings.separate_routes_by_kind
        return bool(kind < len(by_kind) and by_kind[kind])

    def _add(
        self,
        entry: EndpointEntry,
        destination: Destination,
        has_separate_route: bool,
        listed_rate: float | None,
    ) -> Endpoint:
        endpoint = Endpoint(entry.endpoint_id, entry.zone, destination, self.settings.node_position)
        if has_separate_route or destination.rate_limiter is None:
            endpoint.rate_limiter = RateLimiter(listed_rate, self.sharing)
        else:
            endpoint.rate_limiter = destination.rate_limiter
        if destination.rate_limiter is None:
            destination.rate_limiter = endpoint.rate_limiter
        endpoint.rate_limiter.remember_listed_rate(listed_rate)
        self.endpoints[entry.endpoint_id] = endpoint
        return endpoint

    def _describe(self, endpoint: Endpoint, entry: EndpointEntry, has_separate_route: bool) -> None:
        endpoint.has_separate_route = has_separate_route
        endpoint.is_ready = entry.is_ready
        endpoint.zone = entry.zone  # it may come back elsewhere
        batch_sizes = self.settings.batch_size_by_kind
        endpoint.batch_size = batch_sizes[entry.kind] if entry.kind < len(batch_sizes) else 1
        has_cost = has_separate_route and entry.zone < len(self.carriage_costs)
        endpoint.carriage_cost = self.carriage_costs[entry.zone] if has_cost else 0.0

    def _drain_unlisted(
        self, listed_ids: set[str | int], is_complete: bool, now: float, dropped: list[Endpoint]
    ) -> None:
        leaving = [
            endpoint
            for endpoint in self.endpoints.values()
            if not endpoint.is_ready or (is_complete and endpoint.endpoint_id not in listed_ids)
        ]
        for endpoint in leaving:
            self._drain(endpoint)
            if self._may_forget(endpoint, now):
                del self.endpoints[endpoint.endpoint_id]
                dropped.append(endpoint)

    def _may_forget(self, endpoint: Endpoint, now: float) -> bool:
        """One that comes back under its id within an outage or a Retry-After must find both still known."""
        known_until = max(
            endpoint.last_outcome_at + KNOWN_WARM_UPS * self.recovery.warm_up_ms,
            endpoint.rate_limiter.retry_after_until,
        )
        return not endpoint.calls_in_flight and not endpoint.has_health_check_in_flight and now > known_until

    @staticmethod
    def _drain(endpoint: Endpoint) -> None:
        """Take an endpoint out of the choice of its destination."""
        endpoint.is_ready = False
        if endpoint in endpoint.destination.endpoints:
            endpoint.destination.endpoints.remove(endpoint)
