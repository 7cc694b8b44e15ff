"""Settings of the router: what an instance is configured with at start. Times are in milliseconds."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Effect(StrEnum):
    """What a repeated attempt of an event can do at the receiver."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    """A repeat is recognised by its idempotency key, within a window and a group of endpoints."""
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationGroup(StrEnum):
    """Which endpoints recognise each other's repeats. Any other value is as `CELL`."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListedRates(StrEnum):
    """How far the rates of an endpoint list can be trusted. Any other value is as `OFF`."""

    NOMINAL = "nominal"
    ROUGH = "rough"
    OFF = "off"


class StreamType(NamedTuple):
    """Contract of a kind of events with its clients."""

    latency_objective_ms: float
    max_age_ms: float
    priority_weight: float = 1.0
    """Value of a delivery within the latency objective."""
    late_weight: float = 0.0
    """Share of that value that is left of a delivery just before the max age."""
    effect: str = Effect.NON_IDEMPOTENT
    deduplication_group: str = DeduplicationGroup.ALL.value
    """A `DeduplicationGroup`: all endpoints, those of one zone, or each alone."""
    deduplication_window_ms: float = 0.0
    is_ordered: bool = False


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one router. What is left out has the value that binds least."""

    stream_types: Sequence[StreamType] = ()
    node_count: int = 1
    """Nodes of the fleet that share the destinations' limits."""
    node_position: int = 0
    max_calls_in_flight: float = math.inf
    max_pending_events: float = math.inf
    max_attempts: int = 8
    batch_size_by_kind: Sequence[int] = ()
    """Most events of one call, by kind of endpoint."""
    separate_routes_by_kind: Sequence[bool] = ()
    """Whether each endpoint of a kind has a limit of its own."""
    carriage_cost_by_zone: Sequence[float] = ()
    halves_late_value: bool = False
    """Value halves with each latency objective of delay, instead of falling in a straight line."""
    listed_rates: str = ListedRates.OFF.value
    """A `ListedRates`."""
    quotas: Sequence[float | None] = ()
    """Events per second of each tenant; None is no quota."""
    over_quota_weight: float = 1.0
    """Share of the priority weight that is left of an event over its tenant's quota."""
    may_send_health_checks: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    polls_discovery: bool = False
    """Whether endpoint lists are polled from a shared discovery, instead of pushed by a local agent."""
    poll_within_ms: float = 0.0
    overload_multiple: float = 1.0
    """Calls that a cold destination withstands, as a multiple of its capacity at that moment."""
    cold_capacity_share: float = 0.15
    """Share of its capacity that a destination has right after it comes back."""
    warm_up_ms: float = 20000.0
    ordering_pause_ms: float = 0.0
    """Pause of an ordering key after an attempt that may still run."""
    scheduling_interval_ms: float = 5.0
    keepalive_ms: float = math.inf
    connect_timeout_ms: float = 0.0
