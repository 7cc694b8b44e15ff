"""Notifications about connections to endpoints, for logs and metrics. No decision depends on them."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol


class CloseReason(StrEnum):
    """What had arrived on a connection to an endpoint when this node closed it."""

    COMPLETE_RESPONSE = "after the response"
    INCOMPLETE_RESPONSE = "incomplete or malformed response"
    NO_RESPONSE = "no response"
    UNSOLICITED_RESPONSE = "unsolicited response"
    """A second response came behind the first one."""
    UNSOLICITED_BYTES = "unsolicited bytes"
    """Bytes that do not begin a response came behind the response."""


class ConnectionObserver(Protocol):
    """Is notified about connections to endpoints as they change."""

    def connection_closed(self, endpoint_id: str | int, reason: CloseReason) -> None:
        """Handle a connection that this node closed."""
