"""When to request the endpoint list again: exponential backoff with jitter."""

from __future__ import annotations

import math

from swiftthread.routing.jitter import Jitter
from swiftthread.routing.settings import Settings

# ms, mean, before a list is requested again of a local agent.
AGENT_BACKOFF_MS = 200.0
# ms, the same of a discovery that all nodes share; doubled by each failure.
DISCOVERY_BACKOFF_MS = 1000.0
# Share of the pause, either way: nodes that lost their lists together must not ask together.
BACKOFF_SPREAD = 0.5


class ListPolling:
    """The schedule of requests for the endpoint list."""

    def __init__(self, settings: Settings, jitter: Jitter) -> None:
        self.jitter = jitter
        self.next_request_at = 0.0 if settings.polls_discovery else math.inf
        self.first_backoff_ms = AGENT_BACKOFF_MS
        self.max_backoff_ms = AGENT_BACKOFF_MS
        if settings.polls_discovery:
            self.first_backoff_ms = DISCOVERY_BACKOFF_MS
            # Polled within this time, a node does not count as told of what it has not heard.
            longest_ms = settings.poll_within_ms / (1 + BACKOFF_SPREAD)
            self.max_backoff_ms = max(DISCOVERY_BACKOFF_MS, longest_ms)
        self.backoff_ms = self.first_backoff_ms

    def record_list(self) -> None:
        """A list came: the backoff starts anew."""
        self.backoff_ms = self.first_backoff_ms

    def record_failure(self, now: float) -> float:
        """A request failed; returns when to make the next.

        Backoff is exponential where a call is a load on a discovery shared by all nodes: repeated sooner than
        it can answer all, calls keep it rejecting them or answering too late.
        """
        factor = self.jitter.uniform(1 - BACKOFF_SPREAD, 1 + BACKOFF_SPREAD)
        self.next_request_at = now + self.backoff_ms * factor
        self.backoff_ms = min(2 * self.backoff_ms, self.max_backoff_ms)
        return self.next_request_at

    def take_request(self, now: float) -> bool:
        """Whether to request the list now; true once until the next failure."""
        if now < self.next_request_at:
            return False
        self.next_request_at = math.inf
        return True
