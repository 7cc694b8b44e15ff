"""Decides which idle connections to close: many nodes must not use up an endpoint's connection limit."""

from __future__ import annotations

import math

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.settings import Settings

# For this long after a refused or rejected connection, an endpoint counts as close to its connection limit.
NEAR_CONNECTION_LIMIT_MS = 20000.0
# A connection that is in use for more than this share of the time is retained.
MIN_CONNECTION_USE_SHARE = 0.2
# Minimum duration of one use: a connection that is being established counts towards the limit too.
MIN_CONNECTION_USE_MS = 50.0


class IdleConnections:
    """Records endpoints at which a call has ended, and decides whose idle connections to close."""

    def __init__(self, settings: Settings) -> None:
        self.has_keepalive = settings.keepalive_ms < math.inf
        self.newly_idle: dict[Endpoint, bool] = {}
        """Endpoints at which a call has ended, in order; emptied each scheduling cycle."""

    def record_call_ended(self, endpoint: Endpoint) -> None:
        """Consider the idle connections to this endpoint at the end of the scheduling cycle."""
        self.newly_idle[endpoint] = True

    def take_endpoints_to_disconnect(self, now: float) -> list[Endpoint]:
        """Return the endpoints whose idle connections to close now, and clear the recorded ones."""
        # This protects the connection limit of an endpoint that many nodes share: a connection that is idle
        # far longer than it is in use is one that other nodes cannot have. The cost is a new connection where
        # the next event comes sooner than the last one did.
        candidates = self.newly_idle
        self.newly_idle = {}
        return [
            endpoint
            for endpoint in candidates
            if not endpoint.calls_in_flight
            and (
                now - endpoint.connection_limit_reached_at < NEAR_CONNECTION_LIMIT_MS
                or self._is_mostly_idle(endpoint, now)
            )
        ]

    def _is_mostly_idle(self, endpoint: Endpoint, now: float) -> bool:
        # Return whether a connection to the endpoint would be idle most of the time.
        #
        # The result is false while events are pending for the destination, which will use the connection, and
        # false where no keep-alive time is set, because connections may stay idle then.
        limiter = endpoint.rate_limiter
        use_ms = max(limiter.recent_latency_ms.value, MIN_CONNECTION_USE_MS)
        use_share = limiter.average_ack_rate.at(now) * use_ms
        return (
            self.has_keepalive
            and not endpoint.destination.pending_count
            and use_share <= MIN_CONNECTION_USE_SHARE
        )
