"""One call to an endpoint: its connection, the send deadlines of its events, and its response."""

from __future__ import annotations

import math

import anyio
from loguru import logger

from swiftthread.client.batch import Batch, BatchedSend
from swiftthread.client.endpoint_connections import EndpointConnections
from swiftthread.client.endpoint_request import build_send_request
from swiftthread.client.endpoint_response import CompletedCall
from swiftthread.client.http_exchange import HttpResponse, encode_request, receive
from swiftthread.client.send_preparation import SendPreparation
from swiftthread.client.send_result import SendResult
from swiftthread.clocks import Clock
from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.routing.messages import SendOutcome

# Turns of reading after a time-out; a complete response takes few.
MAX_FINAL_TURNS = 16


class EndpointCall:
    """One call with the sends of a batch."""

    # Times are in ms on `clock`, which is monotonic.

    __slots__ = (
        "batch",
        "connections",
        "clock",
        "log_clock",
        "preparation",
        "started_at",
        "initial_deadlines",
        "target",
        "connection",
        "response",
        "write_started_at",
        "_expiry_scope",
    )

    def __init__(
        self,
        batch: Batch,
        connections: EndpointConnections,
        clock: Clock,
        log_clock: Clock,
        preparation: SendPreparation,
    ) -> None:
        self.batch = batch
        self.connections = connections
        self.clock = clock
        self.log_clock = log_clock
        self.preparation = preparation
        self.started_at = clock()
        self.initial_deadlines = [
            preparation.send_deadline(send.pending.router_event, batch.endpoint, self.started_at)
            for send in batch.sends
        ]
        """The send deadline of each send when the call started, in the order of the batch."""
        self.target = connections.address_of(batch.endpoint)
        """The endpoint and its address when the call started."""
        self.connection: Connection | None = None
        # The body names the outcomes of several events; that of a call with one event means nothing.
        self.response = HttpResponse(connections.resources, keeps_body=len(batch.sends) > 1)
        self.write_started_at = 0.0
        """Time right before the first byte was sent."""
        self._expiry_scope = anyio.CancelScope()

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
                "endpoint {}, address {}: a call failed; it counts as unreachable or reset", *self.target
            )
            outcome = SendOutcome.UNREACHABLE if self.connection is None else SendOutcome.RESET
        finally:
            self._expiry_scope.cancel()
            self.connections.close(self.target, self.connection, self.response)
        if outcome == SendOutcome.TIMED_OUT and self.response.has_begun:
            outcome = SendOutcome.RESET  # the endpoint began to respond, but did not finish
        return CompletedCall(
            outcome, self._latency_ms(is_refused), received_at=self.log_clock() - self._response_age_ms()
        )

    async def finish_expired_sends(self) -> None:
        """Finish each send whose deadline passes before the first byte of the call is sent, as not sent.

        This returns when that byte is about to be sent, or the call ends without it.
        """
        sends = sorted(zip(self.initial_deadlines, self.batch.sends, strict=True), key=lambda pair: pair[0])
        with self._expiry_scope:
            for deadline, send in sends:
                await anyio.sleep(max(0.0, deadline - self.clock()) / 1000.0)
                if self.batch.in_call:
                    return  # the sleep had ended when the scope was cancelled
                self._finish_unsent(send, self.clock())

    async def _attempt(self) -> SendOutcome:
        # Connect, write the request and read the response. Raises ConnectionClosed if the connection failed
        # or was closed.
        connect_by = self.batch.connect_deadline()
        last_send_deadline = max(self.initial_deadlines)
        with anyio.move_on_after(max(0.0, min(connect_by, last_send_deadline) - self.started_at) / 1000.0):
            self.connection = await self.connections.open(self.target)
        if self.connection is None:
            return SendOutcome.NOT_SENT if last_send_deadline < connect_by else SendOutcome.UNREACHABLE
        await self.preparation.wait_until_recorded(self.started_at)
        self._record_sends()
        write_by = self._check_send_deadlines()
        if not self.batch.in_call:
            return SendOutcome.NOT_SENT
        respond_by = self.batch.response_deadline()
        events = [send.pending for send in self.batch.in_call]
        request = build_send_request(events, respond_by - self.clock())
        parts = encode_request(self.connection, request)
        self.write_started_at = self.clock()
        self.connection.received_at = None
        return await self._exchange(self.connection, parts, write_by, respond_by)

    def _record_sends(self) -> None:
        # Record the sends in the log. It is done once the connection is up, because after a kill a recorded
        # send counts as one that may have run. Those that cannot be recorded finish as not sent.
        for send in self.batch.unfinished():
            if not self.preparation.record_send(send.pending):
                self._finish_unsent(send, self.clock())

    def _check_send_deadlines(self) -> float:
        # Right before the first byte is sent, set `batch.in_call` to the sends that may still be made. The
        # other sends finish as not sent: connecting or recording may have taken too long, or this process
        # may have been suspended.
        # Returns the time by which the last byte of the request must have been sent.
        self.preparation.update_endpoint_list()
        now = self.clock()
        endpoint = self.batch.endpoint
        write_by = math.inf
        for send in self.batch.unfinished():
            deadline = -math.inf
            # If the endpoint's address has changed, the old one may now belong to another endpoint.
            if self.connections.address_of(endpoint) == self.target:
                deadline = self.preparation.send_deadline(send.pending.router_event, endpoint, now)
            if now < deadline and now < send.times_out_at:
                write_by = min(write_by, deadline)
            else:
                self._finish_unsent(send, now)
        self.batch.in_call = self.batch.unfinished()
        self._expiry_scope.cancel()
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
        if outcome == SendOutcome.TIMED_OUT:
            self._read_what_has_arrived(connection)
        return outcome

    def _read_what_has_arrived(self, connection: Connection) -> None:
        for _ in range(MAX_FINAL_TURNS):
            if self.response.is_complete:
                return
            if not self.response.has_more_parts and not connection.read_available(self.response.add_received):
                return
            self.response.feed_from(connection)

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
