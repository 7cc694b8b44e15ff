"""State of one endpoint as this node sees it."""

from __future__ import annotations

import hashlib
import math
from dataclasses import InitVar, dataclass, field
from typing import TYPE_CHECKING

from swiftthread.routing.events import Destination
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType

if TYPE_CHECKING:
    from swiftthread.routing.rate_limiter import RateLimiter

# Length of the hash that ranks an endpoint; ties among the endpoints of a destination do not happen.
RANK_BYTES = 8


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint of a destination, and what this node has observed of it. Times are in milliseconds."""

    endpoint_id: str | int
    zone: int
    destination: Destination
    node_position: InitVar[int]
    rank: bytes = field(init=False)
    """Sort key of this node's own order of the endpoints of a destination."""
    rate_limiter: RateLimiter = field(init=False)

    # As described by the endpoint list.
    is_ready: bool = False
    has_separate_route: bool = False
    batch_size: int = 1
    carriage_cost: float = 0.0

    calls_in_flight: int = 0
    last_outcome_at: float = -math.inf
    """When the last outcome was recorded, or a call was made while none was in flight."""
    acked_at: float = -math.inf

    failure_ratio: float = 0.0
    """Smoothed share of failed calls."""
    consecutive_failures: int = 0
    failing_since: float = 0.0
    failed_at: float = -math.inf
    unacked_outcomes: tuple[SendOutcome, ...] = ()
    """The last outcomes since the last ack, for logs."""
    ejected_until_by_stream_type: dict[StreamType, float] = field(default_factory=dict)
    """One entry per stream type; an ack deletes it."""

    is_marked_down: bool = False
    """Whether failed calls, to it or to endpoints that share its limiter, have marked it down."""
    is_unresponsive: bool = False
    """Whether the last failure was a call that timed out; calls still in flight do not matter."""
    has_health_check_in_flight: bool = False
    has_passed_health_check: bool = False
    own_warm_up_began_at: float = -math.inf
    """When its own warm-up began; -inf if it was never down."""

    consecutive_rejected_connections: int = 0
    """Consecutive calls that were rejected together with their new connection."""
    rejected_connection_share: float = 0.0
    """Smoothed share of such calls, of the calls up to the last ack and outside outages."""
    connection_limit_reached_at: float = -math.inf
    """When the endpoint last appeared to have reached its connection limit."""
    blocked_until: float = -math.inf
    """No call is sent before this time, after a rejected connection.

    An endpoint whose calls are not paced has no other pause.
    """

    @property
    def is_down(self) -> bool:
        """Whether it gets no calls but trials.

        One that never acked a call is down together with its destination or route, although it may have been
        listed after the outage began.
        """
        has_acked = self.acked_at > -math.inf
        return self.is_marked_down or (not has_acked and self.rate_limiter.recovery.is_down)

    @property
    def is_down_without_own_failure(self) -> bool:
        """Whether it was marked down because of other endpoints' failures and has not failed itself."""
        return self.is_marked_down and not self.consecutive_failures

    @property
    def warm_up_began_at(self) -> float:
        """When its warm-up or that of its destination or route began, the later of both; -inf for none."""
        return max(self.own_warm_up_began_at, self.rate_limiter.recovery.warm_up_began_at)

    def continue_outage_of(self, former: Endpoint) -> None:
        """Take over the outage or warm-up of this endpoint from before its kind of route changed."""
        self.is_marked_down = former.is_down
        self.own_warm_up_began_at = former.warm_up_began_at
        self.consecutive_failures = former.consecutive_failures
        self.failed_at = former.failed_at

    def __post_init__(self, node_position: int) -> None:
        # Each node has its own order: with a common one, many nodes with little traffic would all choose the
        # same endpoint.
        rank_key = f"{self.destination.number}/{self.endpoint_id}/{node_position}"
        self.rank = hashlib.blake2b(rank_key.encode(), digest_size=RANK_BYTES).digest()
