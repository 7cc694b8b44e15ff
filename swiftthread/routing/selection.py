"""Chooses the endpoint for an attempt of an event."""

from __future__ import annotations

import math
from dataclasses import dataclass

from swiftthread.routing.call_slots import CallSlots
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Event
from swiftthread.routing.health_checks import HealthChecks
from swiftthread.routing.rate_limiter import ASSUMED_RATE_PER_MS
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.retry_rules import is_bound_to_group, may_be_sent_to
from swiftthread.routing.timeouts import AttemptTimeouts
from swiftthread.routing.urgency import UrgencyRanking

# An event of a destination without endpoints is decided again after this time.
NO_ENDPOINT_RETRY_MS = 200.0
# Multiplies the time after which an endpoint counts as unresponsive while one call alone is in flight to it,
# because that call may simply be slow.
SINGLE_CALL_UNRESPONSIVE_FACTOR = 2


@dataclass(slots=True)
class Selected:
    """The event may be sent to this endpoint now."""

    endpoint: Endpoint
    joins_call: bool
    """Whether the event joins a call that was started earlier in this scheduling cycle."""


@dataclass(slots=True)
class NoneAvailable:
    """No endpoint is available for the event now."""

    next_available_at: float
    """When an endpoint becomes available; inf when that depends on the outcome of an attempt."""


@dataclass(slots=True)
class Candidate:
    """An endpoint that the event may be sent to."""

    endpoint: Endpoint
    available_at: float
    """When the endpoint may get a call; inf when that depends on the outcome of an attempt."""


class EndpointSelector:
    """Chooses among the endpoints of a destination, in the order of `Destination.endpoints`."""

    def __init__(
        self,
        slots: CallSlots,
        recovery: RecoveryPacing,
        health_checks: HealthChecks,
        timeouts: AttemptTimeouts,
        urgency: UrgencyRanking,
    ) -> None:
        self.slots = slots
        self.recovery = recovery
        self.health_checks = health_checks
        self.timeouts = timeouts
        self.urgency = urgency

    def select(self, event: Event, now: float) -> Selected | NoneAvailable:
        """Choose the endpoint for the next attempt of an event, or return when one becomes available."""
        candidates = []
        is_bound = is_bound_to_group(event)
        for endpoint in event.destination.endpoints:
            if is_bound and not may_be_sent_to(event, endpoint):
                continue
            limiter = endpoint.rate_limiter
            is_joinable = limiter.has_joinable_call_to(endpoint, now, event.size_bytes)
            if is_joinable and self.timeouts.may_share_call(event, endpoint, now):
                return Selected(endpoint, joins_call=True)
            candidates.append(Candidate(endpoint, self._available_at(endpoint, now)))
        if not event.destination.endpoints:
            return NoneAvailable(now + NO_ENDPOINT_RETRY_MS)
        if not candidates or self.slots.are_unavailable_to(event.destination):
            return NoneAvailable(math.inf)
        candidates = self._without_ejected(candidates, event, now)
        if candidates[0].endpoint.has_separate_route:
            return self._select_route(event, candidates, now)
        return self._select_replica(event, candidates, now)

    @staticmethod
    def _without_ejected(candidates: list[Candidate], event: Event, now: float) -> list[Candidate]:
        # Return the candidates that did not recently fail the event's stream type, or all if each did.
        #
        # This protects a stream type that one endpoint fails while it acks others. The cost is lost capacity
        # where the failures were chance and the other endpoints have less capacity.
        stream_type = event.stream_type
        return [
            candidate
            for candidate in candidates
            if candidate.endpoint.ejected_until_by_stream_type.get(stream_type, 0.0) <= now
        ] or candidates

    def _available_at(self, endpoint: Endpoint, now: float) -> float:
        # Return when this endpoint may get a call; inf when that depends on the outcome of an attempt.
        limiter = endpoint.rate_limiter
        if endpoint.is_down:
            if (
                endpoint.calls_in_flight
                or endpoint.has_health_check_in_flight
                or self.health_checks.must_pass_health_check(endpoint)
            ):
                return math.inf
            is_free_trial = endpoint.has_passed_health_check or endpoint.is_down_without_own_failure
            ready_at = limiter.ready_at()
            trial_at = now if is_free_trial else self.recovery.next_slot_at(endpoint, ready_at, now)
            return max(trial_at, ready_at)
        if endpoint.calls_in_flight and self._is_unresponsive(endpoint, now):
            return math.inf
        ready_at = max(limiter.ready_at(), endpoint.blocked_until)
        if self.recovery.is_warming_up(endpoint, now):
            return max(ready_at, self.recovery.next_slot_at(endpoint, ready_at, now))
        return max(ready_at, now)

    @staticmethod
    def _is_unresponsive(endpoint: Endpoint, now: float) -> bool:
        # Return whether the calls in flight to an endpoint have had no outcome for too long.
        #
        # The rate limiter reserves slots without regard to when calls finish, so it would let one call after
        # another go to an unresponsive endpoint.
        factor = 1 if endpoint.calls_in_flight > 1 else SINGLE_CALL_UNRESPONSIVE_FACTOR
        return now - endpoint.last_outcome_at > endpoint.rate_limiter.unresponsive_after_ms() * factor

    def _select_route(
        self, event: Event, candidates: list[Candidate], now: float
    ) -> Selected | NoneAvailable:
        # Choose among routes with separate limits the one with the best value after its carriage cost.

        def benefit(candidate: Candidate) -> tuple[float, float]:
            limiter = candidate.endpoint.rate_limiter
            start_at = max(candidate.available_at, now)
            if candidate.available_at > now and limiter.rate:
                # All pending events of the destination wait for slots of the better route, so the length of
                # the queue determines how long this event waits.
                start_at = start_at + event.destination.pending_count / limiter.rate
            value = self.urgency.value_at(event, start_at + limiter.recent_latency_ms.value)
            return value - candidate.endpoint.carriage_cost, -start_at

        best = max(candidates, key=benefit)
        if best.available_at <= now:
            return Selected(best.endpoint, joins_call=False)
        limiter = best.endpoint.rate_limiter
        if limiter.retry_after_until < best.available_at < math.inf:
            limiter.record_demand(now)
        return NoneAvailable(
            min(candidate.available_at for candidate in candidates if candidate.available_at > now)
        )

    @staticmethod
    def _select_replica(event: Event, candidates: list[Candidate], now: float) -> Selected | NoneAvailable:
        # Choose among endpoints that share a limiter the first in rank order that has too few calls.
        limiter = event.destination.rate_limiter
        assert limiter is not None  # set with the first endpoint
        ready = [candidate.endpoint for candidate in candidates if candidate.available_at <= now]
        if not ready:
            soonest_at = min(candidate.available_at for candidate in candidates)
            if soonest_at < math.inf:
                limiter.record_demand(now)
            return NoneAvailable(soonest_at)
        # Of the endpoints that are down, those with the fewest consecutive failures get the trials.
        fewest_failures = min(
            (endpoint.consecutive_failures for endpoint in ready if endpoint.is_down), default=0
        )
        ready = [
            endpoint
            for endpoint in ready
            if not endpoint.is_down or endpoint.consecutive_failures == fewest_failures
        ]
        # An endpoint has enough calls with an equal share of those that the limiter's rate keeps in flight at
        # its recent latency.
        rate = limiter.rate or ASSUMED_RATE_PER_MS
        target_calls = max(1.0, rate * limiter.recent_latency_ms.value / len(event.destination.endpoints))
        for endpoint in ready:
            if endpoint.calls_in_flight < target_calls:
                return Selected(endpoint, joins_call=False)
        return Selected(min(ready, key=lambda endpoint: endpoint.calls_in_flight), joins_call=False)
