"""Notifications about connections to endpoints, for logs and metrics. No decision depends on them."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol


class CloseReason(StrEnum):
    """Why this node closed a connection to an endpoint."""

    UNSOLICITED_RESPONSE = "unsolicited response"
    """A response arrived that belongs to no call."""
    UNSOLICITED_BYTES = "unsolicited bytes"
    """Bytes arrived that belong to no call and do not begin a response."""
    CLOSED_BY_ENDPOINT = "closed by the endpoint"
    IDLE = "idle"
    TOO_MANY = "too many idle connections"
    NOT_ACKED = "call not acked"
    """The response to its last call was incomplete, malformed or not an ack."""
    NO_RESPONSE = "no response"
    HEALTH_CHECK = "health check ended"


class ConnectionObserver(Protocol):
    """Is notified about connections to endpoints as they change."""

    def call_written(self, call_number: int) -> None:
        """Handle a call; `call_number` is 1 for the first call on its connection."""

    def connection_closed(self, endpoint_id: str | int, reason: CloseReason) -> None:
        """Handle a connection that this node closed."""

    def unsolicited_response(self, endpoint_id: str | int, call_count: int, is_first: bool) -> None:
        """Handle a response that belongs to no call, on a connection that had `call_count` calls.

        `is_first` says whether the endpoint's connections were reused until now.
        """
