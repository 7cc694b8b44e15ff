"""The outage and the warm-up of what one rate limiter paces: a destination, or one separate route."""
# Times are in milliseconds, rates in calls per millisecond.

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class RecoveryState:
    """What a node knows of an outage and the warm-up after it, whichever endpoints are listed meanwhile."""

    is_down: bool = False
    """Whether an endpoint was marked down and no endpoint has acked a call since."""
    outage_began_at: float = -math.inf
    rate_before_outage: float = 0.0
    """Average rate of acked calls when the last outage began."""
    failed_at: float = -math.inf
    """When a call to any of the endpoints last failed."""
    warm_up_began_at: float = -math.inf
    """When the warm-up after the last outage began; -inf if there was none."""
    next_slot_at: float = -math.inf
    """When the next trial, health check or call may be sent to an endpoint that is down or warming up."""

    def begin_outage(self, began_at: float, rate_before_outage: float) -> None:
        """Record when an outage began, and the average ack rate at the end of normal service."""
        self.outage_began_at = began_at
        self.rate_before_outage = rate_before_outage
