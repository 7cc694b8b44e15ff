"""The pace of trials, health checks and calls while a destination is down or warming up."""

from __future__ import annotations

import math

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.rate_limiter import MIN_RATE_PER_MS
from swiftthread.routing.recovery_state import RecoveryState
from swiftthread.routing.settings import Settings

# Largest distance from 1 of the random factor of each pause, so that nodes do not stay synchronised.
PAUSE_SPREAD = 0.2
# Share of the warm-up budget that the nodes use on average. Their schedules are independent, so the sum of
# their calls varies by its square root (at 30 calls, a margin of two square roots and two calls is left).
# Nodes that have not noticed the outage add calls at the rate of normal operation.
BUDGET_SHARE = 0.9
# How long a recovery slot may be used after its time; longer than a node is delayed between two cycles.
SLOT_VALIDITY_MS = 250.0


class RecoveryPacing:
    """Limits this node to its share of the calls that a destination withstands while down or warming up."""

    def __init__(self, settings: Settings, jitter: Jitter) -> None:
        self.jitter = jitter
        self.node_count = max(1, settings.node_count)
        self.warm_up_ms = max(1.0, settings.warm_up_ms)
        self.cold_capacity_share = settings.cold_capacity_share
        self.overload_multiple = settings.overload_multiple
        self.capacity_growth_per_ms = (1 - settings.cold_capacity_share) / self.warm_up_ms

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint recovered less than the duration of a warm-up ago."""
        return now - endpoint.warm_up_began_at < self.warm_up_ms

    def is_down_or_warming_up(self, state: RecoveryState, now: float) -> bool:
        """Return whether a destination or route is down, or recovered less than a warm-up ago."""
        return state.is_down or now - state.warm_up_began_at < self.warm_up_ms

    def warm_up_ends_at(self, endpoint: Endpoint) -> float:
        """Return when the endpoint has its full capacity again."""
        return endpoint.warm_up_began_at + self.warm_up_ms

    def next_slot_at(self, endpoint: Endpoint, ready_at: float, now: float) -> float:
        """Return the next recovery slot of an endpoint that is down or warming up; draws one if it is past.

        Args:
            endpoint: The endpoint.
            ready_at: The time, in ms, before which no call may be sent for other reasons; a slot can be used
                for some time after it.
            now: The time, in ms.
        """
        # A slot that no event used does not stay available: many nodes without events would all have one, and
        # a number of events that arrive at the same time would all be sent at once.
        recovery = endpoint.rate_limiter.recovery
        if now - max(recovery.next_slot_at, ready_at) > SLOT_VALIDITY_MS:
            pause_ms = self.pause_ms(endpoint, now) * self.jitter.uniform(0.0, 1.0)
            recovery.next_slot_at = now + pause_ms
        return recovery.next_slot_at

    def reserve(self, endpoint: Endpoint, cost: float, now: float) -> None:
        """Move the next recovery slot later for a call, if the endpoint is down or warming up."""
        if not endpoint.is_down and not self.is_warming_up(endpoint, now):
            return
        recovery = endpoint.rate_limiter.recovery
        pause_ms = self.pause_ms(endpoint, now, cost)
        if endpoint.is_down_without_own_failure:
            # The call waited for no recovery slot, so it uses none; the next call comes a pause later all the
            # same.
            recovery.next_slot_at = max(recovery.next_slot_at, now + pause_ms)
        else:
            recovery.next_slot_at = max(now, recovery.next_slot_at) + pause_ms

    def pause_ms(self, endpoint: Endpoint, now: float, calls: float = 1.0) -> float:
        """Return how long calls occupy the schedule of an endpoint that is down or warming up."""
        # This draws a random factor.
        #
        # This protects a destination that is down or has just recovered with little capacity: the trials,
        # health checks and events of this node use only its share of the calls that the destination
        # withstands. The share is the mean of this node's average ack rate before the outage and an equal
        # share among the nodes that can have noticed the outage. The shares of each kind add up to the whole,
        # however many nodes there are. The cost is unused capacity where other nodes leave their shares
        # unused.
        capacity_share = self._capacity_share(endpoint, now)
        full_capacity_pause_ms = calls * self._full_capacity_pause_ms(endpoint, now)
        factor = self.jitter.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
        if endpoint.is_down or not self.capacity_growth_per_ms:
            return factor * full_capacity_pause_ms / capacity_share
        # The time over which the share, growing with the capacity of the endpoint, amounts to these calls.
        growth = self.capacity_growth_per_ms
        grown_share = math.sqrt(capacity_share**2 + 2 * growth * full_capacity_pause_ms)
        return factor * (grown_share - capacity_share) / growth

    def mean_trial_pause_ms(self, endpoint: Endpoint, now: float) -> float:
        """Return the mean time between two trials of an endpoint that is down."""
        return self._full_capacity_pause_ms(endpoint, now) / self.cold_capacity_share

    def _capacity_share(self, endpoint: Endpoint, now: float) -> float:
        # Return the share of its capacity that the endpoint has now.
        if endpoint.is_down:
            return self.cold_capacity_share
        return self.cold_capacity_share + self.capacity_growth_per_ms * (now - endpoint.warm_up_began_at)

    @staticmethod
    def _demand_rate(endpoint: Endpoint) -> float:
        # Return the events per ms of the destination when they reach the limits of all of its routes.
        #
        # Events that one route rejects go to the next.
        limiters = {other.rate_limiter for other in endpoint.destination.endpoints} | {endpoint.rate_limiter}
        return sum(limiter.listed_rate or 0.0 for limiter in limiters)

    def _full_capacity_pause_ms(self, endpoint: Endpoint, now: float) -> float:
        # Return the time between two calls of this node if the endpoint had its full capacity.
        limiter = endpoint.rate_limiter
        recovery = limiter.recovery
        if limiter.listed_rate:
            window_ms = max(limiter.sharing.activity_window_ms, now - recovery.outage_began_at)
            affected_nodes_share = limiter.share_among_nodes(window_ms, self._demand_rate(endpoint))
        else:
            affected_nodes_share = recovery.rate_before_outage or MIN_RATE_PER_MS
        rate = recovery.rate_before_outage + limiter.listed_rate_confidence * affected_nodes_share
        return 2.0 / (BUDGET_SHARE * self.overload_multiple * rate)
