"""The node's slots for calls in flight."""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination

# Slots are scarce from this share in use on: no destination may then take more than half of those in use.
SCARCE_SLOTS_SHARE = 0.7


class CallSlots:
    """Counts calls in flight against the node's limit."""

    def __init__(self, max_calls: float) -> None:
        self.max_calls = max_calls
        self.in_flight = 0

    def are_all_in_use(self) -> bool:
        """Return whether no call may be made until one ends."""
        return self.in_flight >= self.max_calls

    def are_scarce(self) -> bool:
        """Return whether events may have to wait for a slot that a call to any destination holds."""
        return self.in_flight >= SCARCE_SLOTS_SHARE * self.max_calls

    def are_unavailable_to(self, destination: Destination) -> bool:
        """Return whether a destination gets no slot until some call ends."""
        # This prevents a destination whose calls hang from taking the slots of all others before its
        # endpoints count as unresponsive.
        if self.are_all_in_use():
            return True
        if not self.are_scarce():
            return False
        in_use = sum(endpoint.calls_in_flight for endpoint in destination.endpoints)
        return in_use * 2 >= self.in_flight

    def acquire(self, endpoint: Endpoint, now: float) -> None:
        """Count a call that is made now, and occupy a slot."""
        self.in_flight += 1
        if not endpoint.calls_in_flight:
            endpoint.last_outcome_at = now  # the time without an outcome counts from here
        endpoint.calls_in_flight += 1

    def release(self, endpoint: Endpoint) -> None:
        """Stop counting a call that has ended, and free its slot."""
        self.in_flight -= 1
        endpoint.calls_in_flight -= 1
