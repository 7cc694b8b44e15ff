"""State of one endpoint as this node sees it."""

from __future__ import annotations

import hashlib
import math
from dataclasses import InitVar, dataclass, field
from typing import TYPE_CHECKING

from swiftthread.routing.events import Destination
from swiftthread.routing.settings import StreamType

if TYPE_CHECKING:
    from swiftthread.routing.rate_limiter import RateLimiter

RANK_BYTES = 8  # of the hash; ties among the endpoints of a destination do not happen


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint of a destination, and how this node finds it. Moments are in ms."""

    endpoint_id: str | int
    zone: int
    destination: Destination
    node_position: InitVar[int]
    rank: bytes = field(init=False)
    """Place in this node's own order of the endpoints of a destination."""
    rate_limiter: RateLimiter = field(init=False)

    # As the endpoint list describes it.
    is_ready: bool = False
    has_separate_route: bool = False
    batch_size: int = 1
    carriage_cost: float = 0.0

    calls_in_flight: int = 0
    last_outcome_at: float = -math.inf
    acked_at: float = -math.inf

    failure_ratio: float = 0.0
    """Smoothed share of failed calls."""
    consecutive_failures: int = 0
    failing_since: float = 0.0
    failed_at: float = -math.inf
    ejected_until_by_stream_type: dict[StreamType, float] = field(default_factory=dict)
    """One entry a stream type, removed by an ack."""

    is_down: bool = False
    is_unresponsive: bool = False
    """Whether the last failure was a call without an answer."""
    has_health_check_in_flight: bool = False
    has_passed_health_check: bool = False
    warm_up_began_at: float = -math.inf

    consecutive_rejected_connections: int = 0
    """Calls in a row that were rejected with their connection."""
    connections_rejected_since: float = -math.inf
    """When the first of them was."""
    connection_limit_reached_at: float = -math.inf
    """When it last looked short of room for connections."""
    retry_at: float = -math.inf
    """No call before this moment, after a full connection table; an unpaced endpoint has no other pause."""

    @property
    def is_down_without_own_failure(self) -> bool:
        """Whether it is held to be down for the failures of others, and has not failed itself."""
        return self.is_down and not self.consecutive_failures

    def __post_init__(self, node_position: int) -> None:
        # Each node ranks for itself: by one ranking many nodes of little traffic would all take the same.
        text = f"{self.destination.number}/{self.endpoint_id}/{node_position}"
        self.rank = hashlib.blake2b(text.encode(), digest_size=RANK_BYTES).digest()
