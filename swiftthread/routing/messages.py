"""Answers of the router and outcomes of attempts: the messages between the router and its callers."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint


class SendOutcome(StrEnum):
    """How an attempt ended, whatever the protocol calls it."""

    ACKED = "acked"
    FAILED = "failed"
    """The endpoint answered with an error; the event may have run."""
    RATE_LIMITED = "rate limited"
    """The endpoint rejected the call because of its limit; the event did not run."""
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    """No connection was made; the event did not run."""
    RESET = "reset"
    """The connection ended before a complete answer; the event may have run."""
    CANCELLED = "cancelled"
    NOT_EXECUTED = "not executed"
    """The endpoint says that it did not run the event, and nothing about its own health."""
    CONNECTION_LIMIT = "connection limit"
    """A new connection was rejected: the endpoint runs, its connection table is full."""
    NOT_SENT = "not sent"
    """This node never released the last byte: no attempt was made, nobody was called."""


NEVER_RAN = (
    SendOutcome.RATE_LIMITED,
    SendOutcome.UNREACHABLE,
    SendOutcome.NOT_EXECUTED,
    SendOutcome.CONNECTION_LIMIT,
    SendOutcome.NOT_SENT,
)
"""Outcomes after which the event surely had no effect."""

MAY_HAVE_RUN = (SendOutcome.FAILED, SendOutcome.TIMED_OUT, SendOutcome.RESET, SendOutcome.CANCELLED)
"""Outcomes after which the event may have had an effect, or may still have one."""


UNRELATED_TO_HEALTH = (SendOutcome.CANCELLED, SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT)
"""Outcomes that say nothing of the endpoint."""


class Send(NamedTuple):
    """Send the event to this endpoint, and stop waiting after `timeout_ms`."""

    endpoint: Endpoint
    timeout_ms: float


class Reject(NamedTuple):
    """Return the event undelivered; its client may retry, best after `retry_after_ms` (0: no advice)."""

    retry_after_ms: float


class Abandon(NamedTuple):
    """End the event; whether it had an effect is unknown."""


class Defer(NamedTuple):
    """Nothing to do yet: `Router.next_check` says when to ask again."""


class NextCheck(NamedTuple):
    """Ask again at `at` (ms), or before it once any attempt of this node ends, if `or_after_outcome`."""

    at: float
    or_after_outcome: bool


class LoadReport(NamedTuple):
    """Load report of an endpoint, as it comes with an answer or a health check."""

    spare_share: float
    """Share of the limit that is left, 0 to 1."""
    limit_per_s: float
    """Limit in calls per second; 0 when the report names none."""

    @classmethod
    def from_fields(cls, fields: Mapping[str, float]) -> LoadReport | None:
        """The report by the names of its fields on the wire (`x0`, `x1`); None when there are none."""
        if not fields:
            return None
        return cls(fields.get("x0", 1.0), fields.get("x1", 0.0))


class EndpointEntry(NamedTuple):
    """One endpoint of an endpoint list, as discovery announces it."""

    endpoint_id: str | int
    destination_number: int
    zone: int
    kind: int
    listed_rate: float
    """Calls per second of the destination, or of this route; 0 when it is not listed."""
    is_ready: bool
