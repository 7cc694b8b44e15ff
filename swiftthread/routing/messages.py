"""Messages between the router and its callers: decisions, outcomes of attempts, and endpoint descriptions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint


class SendOutcome(StrEnum):
    """The outcome of an attempt, independent of the protocol."""

    ACKED = "acked"
    FAILED = "failed"
    """The endpoint responded with an error; the event may have run."""
    RATE_LIMITED = "rate limited"
    """The endpoint rejected the call because of its rate limit; the event did not run."""
    TIMED_OUT = "timed out"
    """The attempt had no outcome within its timeout; the event may have run."""
    UNREACHABLE = "unreachable"
    """No connection was established; the event did not run."""
    RESET = "reset"
    """The connection was closed before a complete response; the event may have run."""
    CANCELLED = "cancelled"
    """The attempt was cancelled before it had an outcome; the event may have run."""
    NOT_EXECUTED = "not executed"
    """The endpoint responded that it did not run the event, which says nothing about its health."""
    CONNECTION_LIMIT = "connection limit"
    """A new connection was rejected: the endpoint is running, but has reached its connection limit."""
    NOT_SENT = "not sent"
    """This node never sent the last byte of the request: no attempt was made, and the event did not run."""


NEVER_RAN = (
    SendOutcome.RATE_LIMITED,
    SendOutcome.UNREACHABLE,
    SendOutcome.NOT_EXECUTED,
    SendOutcome.CONNECTION_LIMIT,
    SendOutcome.NOT_SENT,
)
"""Outcomes after which the event certainly had no effect."""

MAY_HAVE_RUN = (SendOutcome.FAILED, SendOutcome.TIMED_OUT, SendOutcome.RESET, SendOutcome.CANCELLED)
"""Outcomes after which the event may have had an effect, or may still have one."""

REJECTED = (SendOutcome.RATE_LIMITED, SendOutcome.CONNECTION_LIMIT)
"""Outcomes of calls that a working endpoint rejects when it has reached a limit."""

UNRELATED_TO_HEALTH = (SendOutcome.CANCELLED, SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT)
"""Outcomes that say nothing about the health of the endpoint."""


class Send(NamedTuple):
    """Send the event to this endpoint, and time out after `timeout_ms` without an outcome."""

    endpoint: Endpoint
    timeout_ms: float


class Reject(NamedTuple):
    """Reject the event; its client may resubmit it, preferably after `retry_after_ms` (0 for no advice)."""

    retry_after_ms: float


class Abandon(NamedTuple):
    """Abandon the event; it may have had an effect."""


class Defer(NamedTuple):
    """Keep the event pending; `Router.next_check` says when to decide it again."""


class NextCheck(NamedTuple):
    """When to decide a deferred event again."""

    at: float
    """The time of the next decision, in ms."""
    or_after_outcome: bool
    """Whether to decide earlier if any attempt of this node has its outcome before that time."""


class LoadReport(NamedTuple):
    """The load report of an endpoint, which comes with a response to a call or a health check."""

    spare_share: float
    """The unused share of the limit, 0 to 1."""
    limit_per_s: float
    """The limit in calls per second; 0 if the report names none."""

    @classmethod
    def from_fields(cls, fields: Mapping[str, float]) -> LoadReport | None:
        """Build a report from its fields on the wire (`x0`, `x1`); None if there are none."""
        if not fields:
            return None
        return cls(fields.get("x0", 1.0), fields.get("x1", 0.0))


class EndpointEntry(NamedTuple):
    """The entry of one endpoint in an endpoint list from discovery."""

    endpoint_id: str | int
    destination_number: int
    zone: int
    kind: int
    listed_rate: float
    """The limit of the destination, or of this route, in calls per second; 0 if the list names none."""
    is_ready: bool
