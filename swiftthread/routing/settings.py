"""Settings of the router, which are fixed for the lifetime of an instance. Times are in milliseconds."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Effect(StrEnum):
    """The effect of a repeated attempt of an event at the receiver."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    """A repeat is recognised by its idempotency key within a time window and a group of endpoints."""
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationGroup(StrEnum):
    """The endpoints that recognise each other's repeats. Any other value has the meaning of `CELL`."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListedRates(StrEnum):
    """How reliable the rates of an endpoint list are. Any other value has the meaning of `OFF`."""

    NOMINAL = "nominal"
    ROUGH = "rough"
    OFF = "off"


class StreamType(NamedTuple):
    """The delivery contract for events of one type."""

    latency_objective_ms: float
    max_age_ms: float
    priority_weight: float = 1.0
    """The value of a delivery within the latency objective."""
    late_weight: float = 0.0
    """The share of that value that a delivery just before the max age retains."""
    effect: str = Effect.NON_IDEMPOTENT
    deduplication_group: str = DeduplicationGroup.ALL.value
    """A `DeduplicationGroup`: all endpoints, those of one zone, or a single endpoint."""
    deduplication_window_ms: float = 0.0
    is_ordered: bool = False


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one router."""

    # By default calls and pending events are unlimited, and quotas, listed rates, health checks, Retry-After
    # advice and polling of discovery are off.

    stream_types: Sequence[StreamType] = ()
    node_count: int = 1
    """The number of nodes in the fleet, which share the limits of the destinations."""
    node_position: int = 0
    """The position of this node in the fleet, on which its rank order of endpoints depends."""
    max_calls_in_flight: float = math.inf
    max_pending_events: float = math.inf
    max_attempts: int = 8
    batch_size_by_kind: Sequence[int] = ()
    """The maximum number of events per call, by kind of endpoint."""
    separate_routes_by_kind: Sequence[bool] = ()
    """Whether each endpoint of a kind is a route with a separate rate limit."""
    carriage_cost_by_zone: Sequence[float] = ()
    """The cost of sending an event by a separate route, by zone, as a share of the mean priority weight."""
    halves_late_value: bool = False
    """Whether value halves with each latency objective of delay, instead of falling linearly."""
    listed_rates: str = ListedRates.OFF.value
    """A `ListedRates` value."""
    quotas: Sequence[float | None] = ()
    """The quota of each tenant in events per second; None for no quota."""
    over_quota_weight: float = 1.0
    """The share of the priority weight that an event over its tenant's quota retains."""
    may_send_health_checks: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    polls_discovery: bool = False
    """Whether endpoint lists are polled from a shared discovery, instead of pushed by a local agent."""
    max_list_request_pause_ms: float = 0.0
    """The longest pause before a failed request for the endpoint list is repeated, if discovery is polled."""
    overload_multiple: float = 1.0
    """The calls that a down or warming destination withstands, as a multiple of its capacity at that time."""
    cold_capacity_share: float = 0.15
    """The share of its capacity that a destination has at the beginning of its warm-up."""
    warm_up_ms: float = 20000.0
    ordering_pause_ms: float = 0.0
    """The pause of an ordering key after an attempt that may still run."""
    scheduling_interval_ms: float = 5.0
    """The time between two scheduling cycles of the caller."""
    keepalive_ms: float = math.inf
    connect_timeout_ms: float = 0.0
