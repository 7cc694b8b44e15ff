"""The state of emulated receivers: destinations, their endpoints, and the calls in flight at them.

All times are in ms; timestamps are those of the caller's clock.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.overload import overload_threshold
from swiftthread.lab.rate_limit import RateLimit

ServiceTimeDistribution = Literal["fixed", "exponential", "lognormal"]


def service_time_sampler(
    distribution: ServiceTimeDistribution, mean_ms: float, cv: float, rng: random.Random
) -> Callable[[], float]:
    """Return a function that draws one service time in ms.

    Args:
        distribution: The shape of the distribution.
        mean_ms: Its mean.
        cv: Its coefficient of variation, which applies only to the lognormal distribution.
        rng: The random source of the draws.
    """
    if distribution == "fixed":
        return lambda: mean_ms
    if distribution == "exponential":
        return lambda: rng.expovariate(1.0 / mean_ms)
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return lambda: mean_ms * rng.lognormvariate(-sigma * sigma / 2.0, sigma)


class LoadSample(NamedTuple):
    """The load of one call, in calls with a single event, and its arrival time."""

    at: float
    load: float


@dataclass(slots=True, eq=False)
class Destination:
    """The state that the endpoints of a destination share: rate limit, outages, and the warm-up after them.

    Attributes:
        number: Its number in the incident.
        rate_limit: The limit over all its endpoints.
        cold_capacity_share: The share of its capacity that it has when it recovers, 0 to 1.
        warm_up_ms: The time from recovery to full capacity.
        overload_multiple: The load that crashes it during warm-up, as a multiple of its capacity at the time.
        overload_window_ms: The window over which that load is counted.
        sends_retry_after: Whether the rejection of a call over the rate limit has a Retry-After.
        endpoints: All its endpoints, including spare ones; an `Endpoint` adds itself.
        recovered_at: When it last recovered from an outage.
        is_overloaded: Whether overload crashed it and it has not been healed since.
        unavailable_until: The time until which it rejects all calls.
        unavailability_has_retry_after: Whether these rejections have a Retry-After.
        unavailability_rejects_connections: Whether these rejections close the connection.
    """

    number: int
    rate_limit: RateLimit
    cold_capacity_share: float = 1.0
    warm_up_ms: float = 1.0
    overload_multiple: float = math.inf
    overload_window_ms: float = 2000.0
    sends_retry_after: bool = True
    endpoints: list["Endpoint"] = field(default_factory=list, init=False)
    recovered_at: float = field(default=-math.inf, init=False)
    is_overloaded: bool = field(default=False, init=False)
    unavailable_until: float = field(default=-math.inf, init=False)
    unavailability_has_retry_after: bool = field(default=False, init=False)
    unavailability_rejects_connections: bool = field(default=False, init=False)
    _recent_loads: deque[LoadSample] = field(default_factory=deque, init=False)

    def capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that it has at `now`, 0 to 1."""
        warm_up_progress = (now - self.recovered_at) / self.warm_up_ms
        return min(1.0, self.cold_capacity_share + (1.0 - self.cold_capacity_share) * warm_up_progress)

    def capacity_per_ms(self) -> float:
        """Return its full capacity, after the warm-up, in calls per ms."""
        if self.rate_limit.rate_per_ms:
            return self.rate_limit.rate_per_ms
        return sum(
            endpoint.workers / endpoint.mean_service_ms
            for endpoint in self.endpoints
            if not endpoint.is_removed
        )

    def is_down(self) -> bool:
        """Return whether all its endpoints are down or removed."""
        return all(endpoint.is_down() or endpoint.is_removed for endpoint in self.endpoints)

    def clear_expired_unavailability(self, now: float) -> float | None:
        """Return when the rejection of all calls expired, once after that time; otherwise None."""
        expired_at = self.unavailable_until
        if now < expired_at or expired_at == -math.inf:
            return None
        self.unavailable_until = -math.inf
        return expired_at

    def recover(self, now: float) -> None:
        """Start the warm-up after an outage that ended at `now`."""
        self.recovered_at = now
        self._recent_loads.clear()

    def record_load(self, now: float, load: float) -> bool:
        """Count the load of a call, admitted or not, in calls with a single event.

        Returns:
            Whether this call overloads the destination.
        """
        if self.is_overloaded or now >= self.recovered_at + self.warm_up_ms:
            self._recent_loads.clear()
            return False
        self._recent_loads.append(LoadSample(now, load))
        while self._recent_loads[0].at < now - self.overload_window_ms:
            self._recent_loads.popleft()
        budget = (
            self.overload_multiple
            * self.capacity_per_ms()
            * self.capacity_share(now)
            * self.overload_window_ms
        )
        load = sum(sample.load for sample in self._recent_loads)
        self.is_overloaded = load > overload_threshold(budget)
        return self.is_overloaded


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint: workers, a bounded queue, a connection limit, and the faults that it has at present.

    Attributes:
        name: Its name in the endpoint list.
        destination: The destination that it belongs to.
        zone: The zone that it runs in.
        workers: The number of calls that it executes at the same time.
        queue_capacity: The number of calls that may wait for a worker.
        max_connections: Its connection limit.
        draw_service_ms: Draws the service time of one event.
        mean_service_ms: The mean of those draws.
        open_connections: The number of counted connections.
        busy_workers: The number of workers that execute a call.
        queue: The calls that wait for a worker.
        is_crashed: Whether it refuses or resets connections.
        is_unresponsive: Whether connections and calls get no response.
        is_draining: Whether it rejects new calls because it is about to be removed.
        is_removed: Whether it is no longer, or not yet, in service.
        paused_until: The time until which its calls make no progress.
        service_time_factor: The factor that each service time is multiplied by.
        failure_shares: The share of calls, by outcome, that fail before they reach a worker. Drawn in order.
        rejection_share: The share of calls that are rejected as rate-limited.
    """

    name: str
    destination: Destination
    zone: str
    workers: int
    queue_capacity: int
    max_connections: int
    draw_service_ms: Callable[[], float]
    mean_service_ms: float
    open_connections: int = field(default=0, init=False)
    busy_workers: int = field(default=0, init=False)
    queue: deque["Call"] = field(default_factory=deque, init=False)
    is_crashed: bool = field(default=False, init=False)
    is_unresponsive: bool = field(default=False, init=False)
    is_draining: bool = field(default=False, init=False)
    is_removed: bool = field(default=False, init=False)
    paused_until: float = field(default=-math.inf, init=False)
    service_time_factor: float = field(default=1.0, init=False)
    failure_shares: dict[CallOutcome, float] = field(default_factory=dict, init=False)
    rejection_share: float = field(default=0.0, init=False)

    def __post_init__(self) -> None:
        self.destination.endpoints.append(self)

    def is_down(self) -> bool:
        """Return whether it sends no responses at all."""
        return self.is_crashed or self.is_unresponsive

    def has_idle_worker(self) -> bool:
        """Return whether a worker can start a call now."""
        return self.busy_workers < self.workers


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight.

    Attributes:
        tag: A number that the driver assigns to identify the call.
        endpoint: The endpoint at which it arrived.
        size: The number of events in it.
        completes_at: When a worker completes it; infinite while it is queued, and once it is completed or
            discarded.
    """

    tag: int
    endpoint: Endpoint
    size: int
    completes_at: float = math.inf


class CallResponse(NamedTuple):
    """The response that the driver sends to a call, with a Retry-After in ms (0 if there is none)."""

    call: Call
    outcome: CallOutcome
    retry_after_ms: float = 0.0
