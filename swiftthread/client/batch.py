"""The sends that share one call to an endpoint."""

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
    """One event's send in a call. Times are ms on the client's clock."""

    pending: PendingEvent
    times_out_at: float
    is_last_attempt: bool
    """Whether the event may not be sent again once this send has timed out."""
    finished: anyio.Event = field(default_factory=anyio.Event)
    result: SendResult = field(init=False)
    """Set when `finished` is."""

    def finish(self, result: SendResult) -> None:
        """Set the result; the first one counts."""
        if not self.finished.is_set():
            self.result = result
            self.finished.set()


class Batch:
    """The sends that leave in one call."""

    __slots__ = ("endpoint", "sends", "in_call")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.sends: list[BatchedSend] = []
        self.in_call: list[BatchedSend] = []  # those that were not finished when the first byte was sent

    def add(self, pending: PendingEvent, times_out_at: float, is_last_attempt: bool) -> BatchedSend:
        """Let one more event travel in the call."""
        send = BatchedSend(pending, times_out_at, is_last_attempt)
        self.sends.append(send)
        return send

    def unfinished(self) -> list[BatchedSend]:
        """The sends that have no result yet."""
        return [send for send in self.sends if not send.finished.is_set()]

    def connect_deadline(self) -> float:
        """Until when the call waits for a connection.

        An event that may be sent again elsewhere ends the wait with its time-out. Any other leaves the call
        as long as nothing is sent, and the wait goes on for the rest.
        """
        retryable = [send.times_out_at for send in self.sends if not send.is_last_attempt]
        if retryable:
            return min(retryable)
        return max(send.times_out_at for send in self.sends)

    def response_deadline(self) -> float:
        """Until when the call waits for its response.

        The first time-out ends the call for all that travel in it: while it is in flight none of them may
        be reported as ended, for it may still run.
        """
        return min(send.times_out_at for send in self.in_call)
