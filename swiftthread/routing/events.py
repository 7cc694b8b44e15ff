"""State of events, calls and destinations in the router."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from swiftthread.routing.settings import StreamType

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.routing.rate_limiter import RateLimiter

GroupId = int | str
"""A deduplication group: a zone, or an endpoint id."""


@dataclass(slots=True, eq=False)
class Destination:
    """A destination, its ready endpoints in this node's order, and how many events are pending for it."""

    number: int
    endpoints: list[Endpoint] = field(default_factory=list)
    rate_limiter: RateLimiter | None = None
    """The limiter of the first endpoint; shared by all endpoints without a route of their own."""
    pending_count: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """One call to an endpoint, with the events that travel in it; it ends with the last of their outcomes."""

    endpoint: Endpoint
    unresolved_count: int = 0
    is_recorded: bool = False
    """Whether an outcome of it has been counted for the endpoint."""


@dataclass(slots=True, eq=False)
class Event:
    """A pending event as the router sees it. Moments are in ms on the caller's clock."""

    stream_type: StreamType
    destination: Destination
    ordering_key: Hashable
    """Events of one key are sent in the order they came; a false value is no key."""
    priority_weight: float
    latency_objective_at: float
    expires_at: float
    check_at: float
    """When to decide again."""
    waits_for_outcome: bool = False
    """Whether to decide again also as soon as any attempt of this node ends."""
    attempts: int = 0
    is_finished: bool = False
    handle: Any = None
    """The caller's own reference; the router does not read it."""
    call: Call | None = None
    endpoint: Endpoint | None = None
    sent_at: float | None = None
    sent_group: GroupId | None = None
    may_have_run_at: float | None = None
    """When the first attempt was sent that may have had an effect."""
    may_have_run_group: GroupId | None = None
    """The deduplication group of that attempt."""
