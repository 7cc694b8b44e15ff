"""Decides when to request the endpoint list again: exponential backoff with jitter."""

from __future__ import annotations

import math

from swiftthread.routing.jitter import Jitter
from swiftthread.routing.settings import Settings

# Mean pause before a failed request for the list to a local agent is repeated.
AGENT_BACKOFF_MS = 200.0
# Mean pause after the first failed request to a discovery service that all nodes share; each further failure
# doubles it, up to a maximum.
DISCOVERY_BACKOFF_MS = 1000.0
# Random deviation of a pause in either direction, as a share of it: nodes that lost their lists at the same
# time must not request them at the same time.
BACKOFF_SPREAD = 0.5


class ListPolling:
    """The schedule of requests for the endpoint list."""

    def __init__(self, settings: Settings, jitter: Jitter) -> None:
        self.jitter = jitter
        self.next_request_at = 0.0 if settings.polls_discovery else math.inf
        self.requested_at: float | None = None
        """Time (ms) of the latest request; None before the first."""
        self.initial_backoff_ms = AGENT_BACKOFF_MS
        self.max_backoff_ms = AGENT_BACKOFF_MS
        # A local agent is asked again at once when a long watch ends: until it answers, the node sends by a
        # list that may be older than the agent's.
        self.counts_pause_from_request = not settings.polls_discovery
        self.max_pause_ms = math.inf
        self.has_list_since_request = False
        if settings.polls_discovery:
            self.initial_backoff_ms = DISCOVERY_BACKOFF_MS
            # A node that polls within this time is not expected to know changes that it has not received yet.
            max_mean_backoff_ms = settings.max_list_request_pause_ms / (1 + BACKOFF_SPREAD)
            self.max_backoff_ms = max(DISCOVERY_BACKOFF_MS, max_mean_backoff_ms)
            self.max_pause_ms = self.max_backoff_ms * (1 + BACKOFF_SPREAD)
        self.backoff_ms = self.initial_backoff_ms

    def record_request(self, now: float) -> None:
        """Record that the list is requested."""
        self.requested_at = now
        self.has_list_since_request = False

    def record_list_received(self) -> None:
        """Reset the backoff, because a list was received."""
        self.backoff_ms = self.initial_backoff_ms
        self.has_list_since_request = True

    def record_failure(self, now: float) -> float:
        """Record that a request failed, and return when to make the next one."""
        # The backoff is exponential for a discovery service that all nodes share, because every request adds
        # to its load: if requests are repeated sooner than it can respond to all of them, it keeps rejecting
        # them or responding too late.
        jitter_factor = self.jitter.uniform(1 - BACKOFF_SPREAD, 1 + BACKOFF_SPREAD)
        pause_began_at = now
        if self.counts_pause_from_request and self.requested_at is not None:
            pause_began_at = self.requested_at
        next_request_at = pause_began_at + self.backoff_ms * jitter_factor
        if self.requested_at is not None and not self.has_list_since_request:
            # Discovery may have been reachable again since the request began, however late it failed.
            shortest_pause_ms = self.initial_backoff_ms * jitter_factor
            latest_at = max(now + shortest_pause_ms, self.requested_at + self.max_pause_ms)
            next_request_at = min(next_request_at, latest_at)
        self.next_request_at = max(now, next_request_at)
        self.backoff_ms = min(2 * self.backoff_ms, self.max_backoff_ms)
        return self.next_request_at

    def start_due_request(self, now: float) -> bool:
        """Return whether to request the list now: true once, then false until a request fails."""
        if now < self.next_request_at:
            return False
        self.next_request_at = math.inf
        return True
