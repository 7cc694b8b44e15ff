"""Faults that are injected into emulated endpoints."""

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """The kinds of faults; the values are those of `what` in an incident file."""

    REFUSE_CONNECTIONS = "refuse"
    """Connections are refused; open connections are reset and calls in flight are lost."""
    BECOME_UNRESPONSIVE = "vanish"
    """Connections are neither accepted nor refused; calls in flight are lost."""
    ERRORS = "errors"
    """A share of the calls gets a response with the status 500."""
    RESET_AFTER_REQUEST = "reset_after"
    """A share of the connections is reset after the request was read."""
    TRUNCATE_RESPONSES = "half_answers"
    """A share of the responses is truncated and the connection closed."""
    WITHHOLD_RESPONSES = "swallow"
    """A share of the calls never gets a response."""
    REJECT = "full"
    """A share of the calls is rejected with 429."""
    DESTINATION_UNAVAILABLE = "shut"
    """All calls to the destination are rejected with 429 for the duration of the fault."""
    CONNECTIONS_REJECTED = "shut_connections"
    """All calls to the destination get a 503 that closes their connection, for the duration of the fault."""
    SLOW_DOWN = "slow"
    """Service times are multiplied by a factor."""
    CHANGE_RATE_LIMIT = "limit"
    """The rate limit of the destination is its configured rate limit times a factor."""
    PAUSE = "pause"
    """Calls in flight and new calls make no progress for the duration of the fault."""
    DRAIN = "drain"
    """New calls are rejected with 503; calls in flight are completed."""
    REMOVE = "gone"
    """The endpoint is deleted from the list and rejects calls with 503."""
    JOIN = "join"
    """A spare endpoint starts to serve and is added to the list."""
    HEAL = "heal"
    """All faults of the endpoint and of its destination end, except a pause and a removal."""
    RESET_BEFORE_REQUEST = "reset_before"
    """A share of the connections is reset when data arrives, before the request is parsed."""
    SLOW_READ = "slow_read"
    """Requests are read slowly, in small chunks."""
    SLOW_WRITE = "slow_write"
    """Responses are written slowly, in small chunks."""
    REPEAT_RESPONSES = "copies"
    """A share of the responses is written a second time, after a random delay."""
    LATE_RESPONSES = "late"
    """A share of the responses is written after a random delay."""
    SPLIT_RESPONSES = "split"
    """A share of the responses is written in single bytes."""
    INTERIM_RESPONSES = "interim"
    """A share of the responses follows one with the status 103."""
    NOISE_AFTER_RESPONSES = "noise"
    """A share of the responses is followed by random bytes, after a random delay."""
    HALF_CLOSE = "half_close"
    """After a share of the responses the endpoint shuts down its sending side, after a random delay."""
    REJECT_EARLY = "early"
    """A share of the calls is rejected with 503 before the request was read, and the connection closed."""


SOCKET_FAULTS = (
    FaultKind.REPEAT_RESPONSES,
    FaultKind.LATE_RESPONSES,
    FaultKind.SPLIT_RESPONSES,
    FaultKind.INTERIM_RESPONSES,
    FaultKind.NOISE_AFTER_RESPONSES,
    FaultKind.HALF_CLOSE,
    FaultKind.REJECT_EARLY,
    FaultKind.RESET_BEFORE_REQUEST,
    FaultKind.SLOW_READ,
    FaultKind.SLOW_WRITE,
)
"""Faults that affect only connections and are not part of the receiver model."""

SELF_EXPIRING_FAULTS = frozenset(
    {FaultKind.DESTINATION_UNAVAILABLE, FaultKind.CONNECTIONS_REJECTED, FaultKind.PAUSE}
)
"""Faults that expire after their duration without a `heal`."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its parameters; a kind ignores those that it does not need.

    Attributes:
        kind: The kind of fault.
        share: The share of calls or connections that it affects, 0 to 1.
        sends_retry_after: Whether calls that `DESTINATION_UNAVAILABLE` rejects get a Retry-After.
        factor: The factor that service times or the rate limit are multiplied by.
        duration_ms: How long it lasts; 0 means until it is healed.
        max_delay_ms: The longest random delay of a fault that has one.
    """

    kind: FaultKind
    share: float = 1.0
    sends_retry_after: bool = False
    factor: float = 1.0
    duration_ms: float = 0.0
    max_delay_ms: float = 0.0
