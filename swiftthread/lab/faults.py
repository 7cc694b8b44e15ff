"""Faults that are injected into emulated endpoints."""

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """What happens to an endpoint; the values are those of `what` in an incident file."""

    REFUSE_CONNECTIONS = "refuse"
    """Connections are refused; open ones are reset and calls in flight lost."""
    GO_SILENT = "vanish"
    """Connections are neither accepted nor refused; calls in flight are lost."""
    ERRORS = "errors"
    """A share of the calls is answered with 500."""
    RESET_AFTER_REQUEST = "reset_after"
    """A share of the connections is reset once the request is read."""
    TRUNCATE_RESPONSES = "half_answers"
    """A share of the responses breaks off."""
    WITHHOLD_RESPONSES = "swallow"
    """A share of the calls is never answered."""
    REJECT = "full"
    """A share of the calls is rejected with 429."""
    DESTINATION_UNAVAILABLE = "shut"
    """Every call to the destination is rejected with 429 for a time."""
    SLOW_DOWN = "slow"
    """Service times are multiplied by a factor."""
    CHANGE_RATE_LIMIT = "limit"
    """The destination's rate limit is its configured one times a factor."""
    PAUSE = "pause"
    """Calls in flight and new ones make no progress for a time."""
    DRAIN = "drain"
    """New calls are rejected with 503; calls in flight are finished."""
    REMOVE = "gone"
    """The endpoint is deleted from the list and rejects calls with 503."""
    JOIN = "join"
    """A spare endpoint starts to serve and is added to the list."""
    HEAL = "heal"
    """Every fault of the endpoint ends, and those of its destination with them."""
    RESET_BEFORE_REQUEST = "reset_before"
    """A share of the connections is reset as data arrives, before it is read."""
    SLOW_READ = "slow_read"
    """Requests are read in small pieces."""
    SLOW_WRITE = "slow_write"
    """Responses are written in small pieces."""


SOCKET_FAULTS = frozenset({FaultKind.RESET_BEFORE_REQUEST, FaultKind.SLOW_READ, FaultKind.SLOW_WRITE})
"""Faults of the connections alone, which the receiver model does not see."""

SELF_ENDING_FAULTS = frozenset({FaultKind.DESTINATION_UNAVAILABLE, FaultKind.PAUSE})
"""Faults whose end is part of them: nothing is healed after their duration."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its parameters; a kind ignores those that it does not need.

    Attributes:
        kind: What happens.
        share: The share of calls or connections that it strikes, 0 to 1.
        sends_retry_after: Whether a call that it rejects is told when to come back.
        factor: What service times or a rate limit are multiplied by.
        duration_ms: How long it lasts; 0 means until it is healed.
    """

    kind: FaultKind
    share: float = 1.0
    sends_retry_after: bool = False
    factor: float = 1.0
    duration_ms: float = 0.0
