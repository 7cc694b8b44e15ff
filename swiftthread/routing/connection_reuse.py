"""Decides which connections to an endpoint may carry a further call."""

# HTTP/1.1 assigns a response to its request only by their order on the connection. A response that is written
# twice, or late, would end the next call. A connection is therefore reused only after a rest in which such a
# response would have arrived, and calls whose responses must be certain get a new connection.

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.events import Event
from swiftthread.routing.settings import Effect

# Rest after which a connection may be reused.
MIN_REST_MS = 300.0
# For this long after an unsolicited response, each connection to that endpoint carries one call only.
DISTRUST_MS = 60_000.0
# From this many such endpoints on, the same holds for all endpoints: the cause may lie on the way to them.
MIN_ENDPOINTS_FOR_DISTRUST_OF_ALL = 2


class ConnectionReuse:
    """Records unsolicited responses, and returns how long a connection must have rested before its reuse."""

    def __init__(self) -> None:
        self._distrusted_until: dict[str | int, float] = {}  # by endpoint id

    def min_rest_ms(self, endpoint_id: str | int, events: Iterable[Event], now: float) -> float:
        """Return the rest in ms after which a connection may be used to send these events; inf for never."""
        if not self.is_trusted(endpoint_id, now) or any(map(_needs_certain_response, events)):
            return math.inf
        return MIN_REST_MS

    def is_trusted(self, endpoint_id: str | int, now: float) -> bool:
        """Return whether connections to this endpoint may carry more than one call."""
        if not self._distrusted_until:
            return True
        self._forget_expired(now)
        return (
            endpoint_id not in self._distrusted_until
            and len(self._distrusted_until) < MIN_ENDPOINTS_FOR_DISTRUST_OF_ALL
        )

    def record_unsolicited_response(self, endpoint_id: str | int, now: float) -> bool:
        """Record a response that belongs to no call; return whether the endpoint was trusted until now."""
        was_trusted = self.is_trusted(endpoint_id, now)
        self._distrusted_until[endpoint_id] = now + DISTRUST_MS
        return was_trusted

    def _forget_expired(self, now: float) -> None:
        expired = [endpoint_id for endpoint_id, until in self._distrusted_until.items() if until <= now]
        for endpoint_id in expired:
            del self._distrusted_until[endpoint_id]


def _needs_certain_response(event: Event) -> bool:
    # Return whether a rejection that belongs to another call could lead to a second effect, or an ack that
    # belongs to another call to a wrong order.
    return event.stream_type.effect == Effect.NON_IDEMPOTENT or bool(event.ordering_key)
