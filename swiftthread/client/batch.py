"""A batch: the sends of several events that share one call to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from swiftthread.client.send_result import SendResult

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.storage.pending_event import PendingEvent


@dataclass(slots=True, eq=False)
class BatchedSend:
    """The send of one event in a call."""

    # Times are in ms on the clock of the `EndpointClient`.

    pending: PendingEvent
    times_out_at: float
    is_last_attempt: bool
    """Whether the event may not be sent again after this send has timed out."""
    finished: anyio.Event = field(default_factory=anyio.Event)
    result: SendResult = field(init=False)
    """Set together with `finished`, and not before."""

    def finish(self, result: SendResult) -> None:
        """Set the result and wake the waiting task."""
        # It does nothing if the send already has a result.
        if not self.finished.is_set():
            self.result = result
            self.finished.set()


class Batch:
    """The sends of one call to an endpoint."""

    __slots__ = ("endpoint", "sends", "in_call")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        """The endpoint that is called."""
        self.sends: list[BatchedSend] = []
        """All sends of the batch, in the order in which they were added."""
        self.in_call: list[BatchedSend] = []
        """The sends whose events are in the request: those that had no result when its first byte was sent.

        Empty before that.
        """

    def add(self, pending: PendingEvent, times_out_at: float, is_last_attempt: bool) -> BatchedSend:
        """Add an event to the call and return its send."""
        send = BatchedSend(pending, times_out_at, is_last_attempt)
        self.sends.append(send)
        return send

    def unfinished(self) -> list[BatchedSend]:
        """Returns the sends that have no result yet."""
        return [send for send in self.sends if not send.finished.is_set()]

    def connect_deadline(self) -> float:
        """Returns the time until which the call waits for a connection."""
        # An event that may be sent again to another endpoint ends the wait when it times out. An event on its
        # last attempt does not: as long as nothing has been sent, it is removed from the call when it times
        # out, and the call continues to wait for the other events.
        retryable = [send.times_out_at for send in self.sends if not send.is_last_attempt]
        if retryable:
            return min(retryable)
        return max(send.times_out_at for send in self.sends)

    def response_deadline(self) -> float:
        """Returns the time until which the call waits for its response."""
        # The first time-out ends the call for all events in it. No event may get a final outcome while the
        # call is in flight, because the endpoint may still process it.
        return min(send.times_out_at for send in self.in_call)
