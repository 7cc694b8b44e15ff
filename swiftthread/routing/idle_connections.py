"""Which idle connections to close, so that many nodes do not fill an endpoint's connection table."""

from __future__ import annotations

import math

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.settings import Settings

# ms for which a refused connect says that the endpoint's table is short of room.
FULL_TABLE_MS = 20000.0
# Share of the time from which a connection counts as in use and is kept.
MIN_CONNECTION_USE = 0.2
# ms: a use is at least as long; a connection that is being made takes a place as well.
MIN_CONNECTION_USE_MS = 50.0


class IdleConnections:
    """Notes endpoints whose last call has ended, and says which of their connections to close."""

    def __init__(self, settings: Settings) -> None:
        self.has_keepalive = settings.keepalive_ms < math.inf
        self.newly_idle: dict[Endpoint, bool] = {}
        """Endpoints at which a call has ended; emptied each scheduling cycle."""

    def record_call_ended(self, endpoint: Endpoint) -> None:
        """Look at the connections to this endpoint at the end of the scheduling cycle."""
        self.newly_idle[endpoint] = True

    def take_endpoints_to_disconnect(self, now: float) -> list[Endpoint]:
        """The endpoints whose idle connections to close now.

        Guards a connection table that those of many nodes fill: a connection that idles far longer than it is
        used is a place taken from others. Hurts where the next event comes sooner than the last.
        """
        ended = self.newly_idle
        self.newly_idle = {}
        return [
            endpoint
            for endpoint in ended
            if not endpoint.calls_in_flight
            and (
                now - endpoint.connection_limit_reached_at < FULL_TABLE_MS
                or self._is_mostly_idle(endpoint, now)
            )
        ]

    def _is_mostly_idle(self, endpoint: Endpoint, now: float) -> bool:
        """Whether a connection there would idle most of the time.

        Not while events wait; where no keep-alive time is set it may.
        """
        limiter = endpoint.rate_limiter
        use_ms = max(limiter.recent_latency_ms.value, MIN_CONNECTION_USE_MS)
        use = limiter.average_ack_rate.at(now) * use_ms
        return self.has_keepalive and not endpoint.destination.pending_count and use <= MIN_CONNECTION_USE
