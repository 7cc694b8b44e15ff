"""What has to be done and checked between a connection that is up and the first byte of a call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.routing.events import Event
    from swiftthread.storage.pending_event import PendingEvent


@dataclass(frozen=True, slots=True)
class SendPreparation:
    """The steps before the first byte, as the service provides them. Times are monotonic, in ms."""

    wait_until_recorded: Callable[[float], Awaitable[None]]
    """Takes when the call started.

    Waits until the outcomes that have arrived are recorded, if so much time has passed that the process may
    have stood still.
    """
    record_send: Callable[[PendingEvent], bool]
    """Records in the write-ahead log that an event is about to be sent; returns False if that failed."""
    update_endpoint_list: Callable[[], None]
    """Applies the list changes that have arrived."""
    send_deadline: Callable[[Event, Endpoint, float], float]
    """Takes (event, endpoint, now) and returns when the last byte of the send must have been sent.

    Returns -inf when the event may not be sent to this endpoint any more.
    """
