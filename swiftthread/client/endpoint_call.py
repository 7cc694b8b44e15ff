"""One call to an endpoint: its connection, the send deadlines of its events, and its response."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from swiftthread.client.batch import Batch, BatchedSend
from swiftthread.client.endpoint_connections import CallEnding, EndpointConnections
from swiftthread.client.endpoint_request import build_send_request
from swiftthread.client.endpoint_response import CompletedCall, names_other_events
from swiftthread.client.http_exchange import HttpResponse, encode_request, receive
from swiftthread.client.send_result import SendResult
from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.routing.messages import SendOutcome

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.routing.events import Event

Clock = Callable[[], float]
"""Returns a time in ms."""

SendDeadline = Callable[["Event", "Endpoint", float], float]
"""Takes (event, endpoint, now) and returns when the last byte of the send must have been sent, in ms.

Returns -inf when the event may not be sent to this endpoint any more.
"""


class EndpointCall:
    """One call with the sends of a batch."""

    # Times are in ms on `clock`, which is monotonic.

    __slots__ = (
        "batch",
        "connections",
        "clock",
        "log_clock",
        "send_deadline",
        "started_at",
        "initial_deadlines",
        "key",
        "connection",
        "response",
        "write_started_at",
        "is_response_in_doubt",
    )

    def __init__(
        self,
        batch: Batch,
        connections: EndpointConnections,
        clock: Clock,
        log_clock: Clock,
        send_deadline: SendDeadline,
    ) -> None:
        self.batch = batch
        self.connections = connections
        self.clock = clock
        self.log_clock = log_clock
        self.send_deadline = send_deadline
        self.started_at = clock()
        self.initial_deadlines = [
            send_deadline(send.pending.router_event, batch.endpoint, self.started_at) for send in batch.sends
        ]
        """The send deadline of each send when the call started, in the order of the batch."""
        self.key = connections.key_of(batch.endpoint)
        """The endpoint and its address when the call started."""
        self.connection: Connection | None = None
        self.response = HttpResponse()
        self.write_started_at = 0.0
        """Time right before the first byte was sent."""
        self.is_response_in_doubt = False
        """Whether the response may belong to an earlier call on the connection."""

    async def run(self) -> CompletedCall:
        """Make the call and return how it ended, apart from what the response says (see `response`)."""
        is_refused = False
        try:
            outcome = await self._attempt()
        except ConnectionClosed as closed:
            outcome = SendOutcome.RESET if closed.request_was_written else SendOutcome.UNREACHABLE
            is_refused = closed.was_refused
        except Exception:  # keeps the other calls running: this one counts as reset, or as unreachable
            logger.exception(
                "endpoint {}, address {}: a call failed; it counts as unreachable or reset", *self.key
            )
            outcome = SendOutcome.UNREACHABLE if self.connection is None else SendOutcome.RESET
        if outcome == SendOutcome.TIMED_OUT and self.response.has_begun:
            outcome = SendOutcome.RESET  # the endpoint began to respond, but did not finish
        self.is_response_in_doubt = self._is_response_in_doubt()
        connection = self.connection
        return CompletedCall(
            SendOutcome.RESET if self.is_response_in_doubt else outcome,
            self._latency_ms(is_refused),
            is_first_on_connection=connection is not None and connection.call_count <= 1,
            received_at=self.log_clock() - self._response_age_ms(),
            is_response_in_doubt=self.is_response_in_doubt,
        )

    def release(self, results: Sequence[SendResult]) -> None:
        """Give the connection back after the call.

        Args:
            results: The result of each send in the batch; empty if the call was cancelled.
        """
        ending = CallEnding.NOT_ACKED
        if self.is_response_in_doubt:
            ending = CallEnding.IN_DOUBT
        elif results and all(
            result.outcome == SendOutcome.ACKED
            for send, result in zip(self.batch.sends, results, strict=True)
            if send in self.batch.in_call
        ):
            ending = CallEnding.ACKED
        self.connections.release(self.key, self.connection, self.response, ending)

    def _is_response_in_doubt(self) -> bool:
        # Returns whether the response may belong to an earlier call on the connection. On a new connection
        # there is none.
        connection, response = self.connection, self.response
        if connection is None or connection.call_count <= 1 or not response.is_complete:
            return False
        event_ids = {send.pending.event_id for send in self.batch.in_call}
        is_in_doubt = response.is_followed_by_response or (
            len(event_ids) > 1 and response.status == 200 and names_other_events(response, event_ids)
        )
        if is_in_doubt:
            logger.warning(
                "endpoint {}, address {}: the response to call {} on its connection, with the events {}, "
                "may belong to another call; the events may have run",
                *self.key,
                connection.call_count,
                ", ".join(sorted(event_ids)),
            )
        return is_in_doubt

    async def finish_expired_sends(self) -> None:
        """Finish each send whose deadline passes before the first byte of the call is sent, as not sent."""
        sends = sorted(zip(self.initial_deadlines, self.batch.sends, strict=True), key=lambda pair: pair[0])
        for deadline, send in sends:
            await anyio.sleep(max(0.0, deadline - self.clock()) / 1000.0)
            if self.batch.in_call or not self.batch.unfinished():
                return
            self._finish_unsent(send, self.clock())

    async def _attempt(self) -> SendOutcome:
        # Connect, write the request and read the response. Raises ConnectionClosed if the connection failed
        # or was closed.
        connect_by = self.batch.connect_deadline()
        last_send_deadline = max(self.initial_deadlines)
        with anyio.move_on_after(max(0.0, min(connect_by, last_send_deadline) - self.started_at) / 1000.0):
            self.connection = await self.connections.acquire(
                self.key, [send.pending.router_event for send in self.batch.sends]
            )
        if self.connection is None:
            return SendOutcome.NOT_SENT if last_send_deadline < connect_by else SendOutcome.UNREACHABLE
        write_by = self._check_send_deadlines()
        if not self.batch.in_call:
            return SendOutcome.NOT_SENT
        respond_by = self.batch.response_deadline()
        events = [send.pending for send in self.batch.in_call]
        request = build_send_request(events, respond_by - self.clock())
        parts = encode_request(self.connection, request)
        self.write_started_at = self.clock()
        self.connection.received_at = None
        self.connections.record_call(self.connection)
        return await self._exchange(self.connection, parts, write_by, respond_by)

    def _check_send_deadlines(self) -> float:
        # Right before the first byte is sent, set `batch.in_call` to the sends that may still be made. The
        # other sends finish as not sent: connecting may have taken too long, or this process may have been
        # suspended.
        # Returns the time by which the last byte of the request must have been sent.
        now = self.clock()
        endpoint = self.batch.endpoint
        write_by = math.inf
        for send in self.batch.unfinished():
            deadline = -math.inf
            # If the endpoint's address has changed, the old one may now belong to another endpoint.
            if self.connections.key_of(endpoint) == self.key:
                deadline = self.send_deadline(send.pending.router_event, endpoint, now)
            if now < deadline and now < send.times_out_at:
                write_by = min(write_by, deadline)
            else:
                self._finish_unsent(send, now)
        self.batch.in_call = self.batch.unfinished()
        return write_by

    def _finish_unsent(self, send: BatchedSend, now: float) -> None:
        send.finish(SendResult(SendOutcome.NOT_SENT, now - self.started_at))

    async def _exchange(
        self, connection: Connection, parts: list[bytes], write_by: float, respond_by: float
    ) -> SendOutcome:
        # Write the request and read the response. Returns the outcome as far as it is known without the
        # contents of the response.
        outcome = SendOutcome.UNREACHABLE
        begun_at = self.clock()
        with anyio.move_on_after(max(0.0, respond_by - begun_at) / 1000.0) as response_scope:
            with anyio.move_on_after((write_by - begun_at) / 1000.0) as write_scope:
                await connection.write(*parts)
                outcome = SendOutcome.TIMED_OUT
            if write_scope.cancelled_caught:
                return SendOutcome.NOT_SENT  # an endpoint processes a call only after its last byte
            if await self._is_delivered(connection, response_scope, write_by):
                await receive(connection, self.response, response_scope)
        # After a suspension of this process the timer may have expired although the response has arrived.
        while (
            outcome == SendOutcome.TIMED_OUT and not self.response.is_complete and connection.read_available()
        ):
            self.response.feed_from(connection)
        return outcome

    async def _is_delivered(
        self, connection: Connection, response_scope: anyio.CancelScope, deliver_by: float
    ) -> bool:
        # Read the response until `deliver_by`; return whether the endpoint's host has the whole request. If
        # it does not, the rest of the request could still arrive after the deadline.
        with anyio.move_on_after(max(0.0, deliver_by - self.clock()) / 1000.0):
            await receive(connection, self.response, response_scope)
        return self.response.is_complete or connection.is_all_acknowledged()

    def _response_age_ms(self) -> float:
        # Returns how long ago the kernel received the response, in ms; 0 if it gave no timestamp.
        if self.connection is None or self.connection.received_at is None:
            return 0.0
        return self.clock() - self.connection.received_at

    def _latency_ms(self, is_refused: bool) -> float:
        # Returns the time from the start of the write to the response, in ms.
        # For a call without a response it is the time from its start to its end, or 0 if the connection was
        # refused. The response's time is when the kernel received it. Otherwise a delay of this process in
        # reading it would be attributed to the endpoint.
        if self.connection is None or not (self.response.has_begun or self.response.is_complete):
            return 0.0 if is_refused else self.clock() - self.started_at
        return max(0.0, self.clock() - self._response_age_ms() - self.write_started_at)
