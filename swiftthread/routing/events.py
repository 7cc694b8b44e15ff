"""The state of events, calls and destinations in the router."""

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
    """A destination as the endpoint list names it, and the events that are pending for it."""

    number: int
    endpoints: list[Endpoint] = field(default_factory=list)
    """The ready endpoints, by carriage cost, and by this node's rank order where the cost is equal."""
    rate_limiter: RateLimiter | None = None
    """The limiter of the first endpoint; shared by all endpoints without a separate route."""
    pending_count: int = 0
    """The number of pending events."""


@dataclass(slots=True, eq=False)
class Call:
    """A call of one or several events to an endpoint; it finishes with the last outcome of its events."""

    endpoint: Endpoint
    unresolved_count: int = 0
    """The number of its events without an outcome."""
    is_recorded: bool = False
    """Whether one of its outcomes has been counted for the endpoint."""


@dataclass(slots=True, eq=False)
class Event:
    """A pending event as the router sees it. Times are in ms on the caller's clock."""

    stream_type: StreamType
    destination: Destination
    ordering_key: Hashable
    """Events of one key are sent in the order of submission; a falsy value means no key."""
    priority_weight: float
    latency_objective_at: float
    expires_at: float
    next_check_at: float
    """When to decide again."""
    size_bytes: int = 0
    """Bytes that it takes in the body of a call of several events."""
    waits_for_outcome: bool = False
    """Whether to decide again also when any attempt of this node has its outcome."""
    attempts: int = 0
    is_finished: bool = False
    handle: Any = None
    """A reference that the caller may set; the router does not read it."""
    call: Call | None = None
    """The call of the attempt in flight."""
    endpoint: Endpoint | None = None
    """The endpoint of the attempt in flight."""
    sent_at: float | None = None
    """When the latest attempt was sent."""
    sent_group: GroupId | None = None
    """The deduplication group of the latest attempt."""
    may_have_run_at: float | None = None
    """When the first attempt that may have had an effect was sent."""
    may_have_run_group: GroupId | None = None
    """The deduplication group of that attempt."""
