"""Health checks of unresponsive endpoints: which are due, when, and what their outcomes mean."""

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.health import HealthTracker
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.settings import Settings


class HealthChecks:
    """Schedules health checks at the pace of trials."""

    def __init__(self, settings: Settings, health: HealthTracker, recovery: RecoveryPacing) -> None:
        self.may_send = settings.may_send_health_checks
        self.health = health
        self.recovery = recovery

    def must_pass_health_check(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint gets no event until it passes a health check."""
        return self.may_send and endpoint.is_unresponsive and not endpoint.has_passed_health_check

    def start_due_checks(self, now: float) -> list[Endpoint]:
        """Return the endpoints to check now; the health check of each counts as in flight from now on."""
        due = [endpoint for endpoint in self._endpoints_to_check() if self._due_at(endpoint, now) <= now]
        for endpoint in due:
            endpoint.has_health_check_in_flight = True
            endpoint.rate_limiter.recovery.next_slot_at = now + self.recovery.pause_ms(endpoint, now)
        return due

    def record_outcome(self, endpoint: Endpoint, outcome: SendOutcome) -> None:
        """Record the outcome of a health check; one that is not in flight any more counts as not passed."""
        endpoint.has_passed_health_check = (
            endpoint.has_health_check_in_flight and outcome == SendOutcome.ACKED
        )
        endpoint.has_health_check_in_flight = False

    def next_at(self, now: float) -> float:
        """Return the next time after now at which a health check is due; inf when none is."""
        due_times = (self._due_at(endpoint, now) for endpoint in self._endpoints_to_check())
        return min((due_at for due_at in due_times if due_at > now), default=math.inf)

    def _due_at(self, endpoint: Endpoint, now: float) -> float:
        retry_after_until = endpoint.rate_limiter.retry_after_until
        return max(retry_after_until, self.recovery.next_slot_at(endpoint, retry_after_until, now))

    def _endpoints_to_check(self) -> Iterable[Endpoint]:
        return [endpoint for endpoint in self.health.down_endpoints if self._needs_health_check(endpoint)]

    def _needs_health_check(self, endpoint: Endpoint) -> bool:
        # Only an unresponsive endpoint is checked: an event that is tried at any other one loses nothing.
        return (
            self.may_send
            and endpoint.is_down
            and endpoint.is_unresponsive
            and endpoint.is_ready
            and endpoint.destination.pending_count > 0
            and not (
                endpoint.has_passed_health_check
                or endpoint.has_health_check_in_flight
                or endpoint.calls_in_flight
            )
        )
