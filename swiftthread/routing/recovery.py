"""The recovery ramp: the pace of trials, probes and calls while a destination is out or warming up."""

from __future__ import annotations

import math

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.rate_limiter import MIN_RATE_PER_MS
from swiftthread.routing.settings import Settings

# Either way of 1, the random factor of each pause: nodes must not stay in step.
PAUSE_SPREAD = 0.2
# Share of the slow-start budget that the nodes use in the mean. Their schedules are independent, so the sum
# varies by its square root (at 30 calls, two of those and two calls are left), and nodes that were not told
# of the outage call as usual beside them.
BUDGET_SHARE = 0.86


class RecoveryRamp:
    """This node's part of the calls that a destination withstands while it is cold."""

    def __init__(self, settings: Settings, jitter: Jitter) -> None:
        self.jitter = jitter
        self.node_count = max(1, settings.node_count)
        self.warm_up_ms = max(1.0, settings.warm_up_ms)
        self.cold_capacity_share = settings.cold_capacity_share
        self.overload_multiple = settings.overload_multiple
        self.growth_per_ms = (1 - settings.cold_capacity_share) / self.warm_up_ms

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Whether the endpoint came back less than a warm-up ago."""
        return now - endpoint.warm_up_began_at < self.warm_up_ms

    def warm_up_ends_at(self, endpoint: Endpoint) -> float:
        """When the endpoint has all of its capacity again."""
        return endpoint.warm_up_began_at + self.warm_up_ms

    def reserve(self, endpoint: Endpoint, cost: float, now: float) -> None:
        """Put the next cold slot off for a call, if the endpoint is down or warming up."""
        if not endpoint.is_down and not self.is_warming_up(endpoint, now):
            return
        limiter = endpoint.rate_limiter
        pause_ms = self.pause_ms(endpoint, now, cost)
        if endpoint.is_down_without_own_failure:
            # It waited for no slot, so it takes none; the next call comes a pause after it all the same.
            limiter.set_next_recovery_slot(max(limiter.next_recovery_slot_at, now + pause_ms))
        else:
            limiter.set_next_recovery_slot(max(now, limiter.next_recovery_slot_at) + pause_ms)

    def pause_ms(self, endpoint: Endpoint, now: float, calls: float = 1.0) -> float:
        """Ms that so many calls to a cold endpoint take of its schedule. Draws a random factor.

        Guards a destination that is out or returns cold: this node's part of the calls that it withstands,
        for trials, probes and events: the mean of its usual share and an even one among the nodes that can
        have met the outage. Both add up, however many nodes there are. Hurts where others leave theirs
        unused.
        """
        capacity_share = self._capacity_share(endpoint, now)
        warm_pause_ms = calls * self._warm_pause_ms(endpoint, now)
        factor = self.jitter.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
        if endpoint.is_down or not self.growth_per_ms:
            return factor * warm_pause_ms / capacity_share
        # Over which a share that grows with the endpoint amounts to these calls.
        growth = self.growth_per_ms
        grown_share = math.sqrt(capacity_share**2 + 2 * growth * warm_pause_ms)
        return factor * (grown_share - capacity_share) / growth

    def mean_trial_pause_ms(self, endpoint: Endpoint, now: float) -> float:
        """Ms between two trials of an endpoint that is down, in the mean."""
        return self._warm_pause_ms(endpoint, now) / self.cold_capacity_share

    def _capacity_share(self, endpoint: Endpoint, now: float) -> float:
        """Share of its capacity that the endpoint has now."""
        if endpoint.is_down:
            return self.cold_capacity_share
        return self.cold_capacity_share + self.growth_per_ms * (now - endpoint.warm_up_began_at)

    @staticmethod
    def _demand_rate(endpoint: Endpoint) -> float:
        """Events per ms of its destination at the limit: those that one route rejects go to the next."""
        limiters = {other.rate_limiter for other in endpoint.destination.endpoints} | {endpoint.rate_limiter}
        return sum(limiter.listed_rate or 0.0 for limiter in limiters)

    def _warm_pause_ms(self, endpoint: Endpoint, now: float) -> float:
        """Ms between two calls of this node, were the endpoint warm."""
        limiter = endpoint.rate_limiter
        if limiter.listed_rate:
            window_ms = max(limiter.sharing.activity_window_ms, now - limiter.outage_began_at)
            even_share = limiter.share_among_nodes(window_ms, self._demand_rate(endpoint))
        else:
            even_share = limiter.rate_before_outage or MIN_RATE_PER_MS
        rate = limiter.rate_before_outage + limiter.listed_rate_confidence * even_share
        return 2.0 / (BUDGET_SHARE * self.overload_multiple * rate)
