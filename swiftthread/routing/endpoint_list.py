"""Applies endpoint lists, in which endpoints are added, changed, draining or removed."""

from __future__ import annotations

from collections.abc import Iterable

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import EndpointEntry
from swiftthread.routing.rate_limiter import FleetSharing, RateLimiter
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.settings import ListedRates, Settings

# The state of a removed endpoint is retained for this many warm-ups after its last outcome, in case the list
# names it again.
RETENTION_WARM_UPS = 2
# How many destinations without endpoints and events are retained, in case the list names them again.
MAX_UNLISTED_DESTINATIONS = 1024


class EndpointList:
    """The endpoints and destinations that this node knows."""

    def __init__(self, settings: Settings, recovery: RecoveryPacing) -> None:
        self.settings = settings
        self.recovery = recovery
        self.sharing = FleetSharing.from_settings(settings)
        self.has_listed_rates = settings.listed_rates in (ListedRates.NOMINAL, ListedRates.ROUGH)
        stream_types = settings.stream_types
        weight = sum(stream_type.priority_weight for stream_type in stream_types)
        self.carriage_costs = [
            cost * weight / max(1, len(stream_types)) for cost in settings.carriage_cost_by_zone
        ]
        """Carriage cost by zone, in units of the priority weight."""
        self.destinations: dict[int, Destination] = {}
        """Destinations by their number in the endpoint list."""
        self.endpoints: dict[str | int, Endpoint] = {}
        """Endpoints by id; a removed endpoint is retained for some time (see `_may_forget`)."""

    def get_or_add_destination(self, number: int) -> Destination:
        """Return the destination with this number, and add it if it is new."""
        return self.destinations.setdefault(number, Destination(number))

    def is_current(self, endpoint: Endpoint) -> bool:
        """Return whether this endpoint is the one known under its id, not replaced or forgotten."""
        return self.endpoints.get(endpoint.endpoint_id) is endpoint

    def rate_limiters(self) -> set[RateLimiter]:
        """Return the limiters of all known endpoints."""
        return {endpoint.rate_limiter for endpoint in self.endpoints.values()}

    def apply(self, entries: Iterable[EndpointEntry], is_complete: bool, now: float) -> list[Endpoint]:
        """Apply a list; a complete one drains the endpoints that it does not contain.

        Returns:
            The endpoints that are no longer known.
        """
        forgotten: list[Endpoint] = []
        listed_ids: set[str | int] = set()
        extended_destinations: dict[Destination, bool] = {}
        for entry in entries:
            endpoint = self._apply_entry(EndpointEntry(*entry), forgotten)
            if endpoint is None:
                continue
            listed_ids.add(endpoint.endpoint_id)
            destination = endpoint.destination
            if endpoint.is_ready and endpoint not in destination.endpoints:
                # Assign a new list, so that an iteration over the old one is not disturbed.
                destination.endpoints = [*destination.endpoints, endpoint]
                extended_destinations[destination] = True
        for destination in extended_destinations:
            destination.endpoints.sort(key=lambda endpoint: (endpoint.carriage_cost, endpoint.rank))
        self._drain_unlisted(listed_ids, is_complete, now, forgotten)
        self._forget_unlisted_destinations(now)
        return forgotten

    def _apply_entry(self, entry: EndpointEntry, forgotten: list[Endpoint]) -> Endpoint | None:
        # Add or update the endpoint of an entry; return None for one that is unknown and not ready.
        destination = self.get_or_add_destination(entry.destination_number)
        has_separate_route = self._has_separate_route(entry.kind)
        former: Endpoint | None = None  # the same endpoint with another kind of route
        known = self.endpoints.get(entry.endpoint_id)
        if known and (known.destination is not destination or known.has_separate_route != has_separate_route):
            # The id now belongs to an endpoint of another destination, or with another kind of route.
            self._drain(self.endpoints.pop(entry.endpoint_id))
            forgotten.append(known)
            former = known if known.destination is destination else None
            known = None
        if known is None and not entry.is_ready:
            return None
        listed_rate = entry.listed_rate / 1000.0 if self.has_listed_rates and entry.listed_rate > 0 else None
        if known:
            endpoint = known
            endpoint.rate_limiter.update_from_list(listed_rate)
        else:
            endpoint = self._add(entry, destination, has_separate_route, listed_rate)
        if former is not None:
            endpoint.rate_limiter.extend_retry_after(former.rate_limiter.retry_after_until)
            endpoint.continue_outage_of(former)
        self._update_from_entry(endpoint, entry, has_separate_route)
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

    def _update_from_entry(self, endpoint: Endpoint, entry: EndpointEntry, has_separate_route: bool) -> None:
        endpoint.has_separate_route = has_separate_route
        endpoint.is_ready = entry.is_ready
        endpoint.zone = entry.zone  # an endpoint that is listed again may be in another zone
        batch_sizes = self.settings.batch_size_by_kind
        endpoint.batch_size = batch_sizes[entry.kind] if entry.kind < len(batch_sizes) else 1
        has_cost = has_separate_route and entry.zone < len(self.carriage_costs)
        endpoint.carriage_cost = self.carriage_costs[entry.zone] if has_cost else 0.0

    def _drain_unlisted(
        self, listed_ids: set[str | int], is_complete: bool, now: float, forgotten: list[Endpoint]
    ) -> None:
        draining = [
            endpoint
            for endpoint in self.endpoints.values()
            if not endpoint.is_ready or (is_complete and endpoint.endpoint_id not in listed_ids)
        ]
        for endpoint in draining:
            self._drain(endpoint)
            if self._may_forget(endpoint, now):
                del self.endpoints[endpoint.endpoint_id]
                forgotten.append(endpoint)

    def _may_forget(self, endpoint: Endpoint, now: float) -> bool:
        # Return whether the state of a draining or removed endpoint may be deleted.
        #
        # An outage or a Retry-After must still be known if the endpoint is listed again under its id
        # meanwhile.
        retained_until = max(
            endpoint.last_outcome_at + RETENTION_WARM_UPS * self.recovery.warm_up_ms,
            endpoint.rate_limiter.retry_after_until,
        )
        return (
            not endpoint.calls_in_flight and not endpoint.has_health_check_in_flight and now > retained_until
        )

    def _forget_unlisted_destinations(self, now: float) -> None:
        # Forget the destinations that were named first, if too many have neither endpoints nor events; those
        # that are down or warming up come last.
        excess = len(self.destinations) - len(self.endpoints) - MAX_UNLISTED_DESTINATIONS
        if excess <= 0:
            return
        in_use = {endpoint.destination for endpoint in self.endpoints.values()}
        unlisted = [
            number
            for number, destination in self.destinations.items()
            if destination not in in_use and not destination.pending_count
        ]
        unlisted.sort(key=lambda number: self._is_recovering(self.destinations[number], now))
        for number in unlisted[: max(0, len(unlisted) - MAX_UNLISTED_DESTINATIONS)]:
            del self.destinations[number]

    def _is_recovering(self, destination: Destination, now: float) -> bool:
        limiter = destination.rate_limiter
        return limiter is not None and self.recovery.is_down_or_warming_up(limiter.recovery, now)

    @staticmethod
    def _drain(endpoint: Endpoint) -> None:
        # Stop choosing an endpoint for attempts: mark it not ready and remove it from its destination.
        endpoint.is_ready = False
        if endpoint in endpoint.destination.endpoints:
            endpoint.destination.endpoints.remove(endpoint)
