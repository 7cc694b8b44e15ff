"""Health checks of endpoints that went silent: which are wanted, when, and what they say."""

from __future__ import annotations

import math
from collections.abc import Iterable

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.health import HealthTracker
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.recovery import RecoveryRamp
from swiftthread.routing.settings import Settings


class HealthChecks:
    """Schedules health checks at the pace of trials."""

    def __init__(self, settings: Settings, health: HealthTracker, recovery: RecoveryRamp) -> None:
        self.may_send = settings.may_send_health_checks
        self.health = health
        self.recovery = recovery

    def must_pass_health_check(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint gets no event before a health check."""
        return self.may_send and endpoint.is_unresponsive and not endpoint.has_passed_health_check

    def start_due_checks(self, now: float) -> list[Endpoint]:
        """The endpoints to check now; each counts as being checked from here."""
        due = [
            endpoint
            for endpoint in self._wanted()
            if endpoint.rate_limiter.next_recovery_slot_at <= now >= endpoint.rate_limiter.retry_after_until
        ]
        for endpoint in due:
            endpoint.has_health_check_in_flight = True
            endpoint.rate_limiter.set_next_recovery_slot(now + self.recovery.pause_ms(endpoint, now))
        return due

    def record(self, endpoint: Endpoint, outcome: SendOutcome) -> None:
        """Learn from the outcome of a health check; one that was not in flight any more says nothing."""
        endpoint.has_passed_health_check = (
            endpoint.has_health_check_in_flight and outcome == SendOutcome.ACKED
        )
        endpoint.has_health_check_in_flight = False

    def next_at(self, now: float) -> float:
        """The next moment after now at which a health check is due; inf when none is."""
        moments = (
            max(endpoint.rate_limiter.next_recovery_slot_at, endpoint.rate_limiter.retry_after_until)
            for endpoint in self._wanted()
        )
        return min((moment for moment in moments if moment > now), default=math.inf)

    def _wanted(self) -> Iterable[Endpoint]:
        return [endpoint for endpoint in self.health.down_endpoints if self._is_wanted(endpoint)]

    def _is_wanted(self, endpoint: Endpoint) -> bool:
        # Only an endpoint that went silent: elsewhere an event that is tried loses nothing.
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
