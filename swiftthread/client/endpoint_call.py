"""One call to an endpoint: its connection, the deadlines of its bytes, and the wait for its response."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from swiftthread.client.batch import Batch, BatchedSend
from swiftthread.client.endpoint_connections import EndpointConnections
from swiftthread.client.endpoint_request import build_send_request
from swiftthread.client.endpoint_response import CompletedCall
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
"""(event, endpoint, now) -> by when its last byte must have left; -inf when its first may not any more."""


class EndpointCall:
    """One call with the sends of a batch. Times are ms on `clock`, the monotonic one."""

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
        "written_at",
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
        # Send deadline of each send, in their order, as it was when the call started.
        self.initial_deadlines = [
            send_deadline(send.pending.event, batch.endpoint, self.started_at) for send in batch.sends
        ]
        self.key = connections.key_of(batch.endpoint)
        self.connection: Connection | None = None
        self.response = HttpResponse()
        self.written_at = 0.0  # right before the first byte

    async def run(self) -> CompletedCall:
        """Make the call; how it ended, apart from what `response` says."""
        is_refused = False
        try:
            outcome = await self._attempt()
        except ConnectionClosed as closed:
            outcome = SendOutcome.RESET if closed.request_was_written else SendOutcome.UNREACHABLE
            is_refused = closed.was_refused
        except Exception:  # guards the other calls: a fault in one is a reset of this one
            logger.exception("endpoint {}, address {}: a call failed", *self.key)
            outcome = SendOutcome.UNREACHABLE if self.connection is None else SendOutcome.RESET
        finally:
            self.connections.release(self.key, self.connection, self.response)
        if outcome == SendOutcome.TIMED_OUT and self.response.has_begun:
            outcome = SendOutcome.RESET  # it did answer, but not to the end
        connection = self.connection
        return CompletedCall(
            outcome,
            self._latency_ms(is_refused),
            is_first_on_connection=connection is not None and connection.idle_since is None,
            received_at=self.log_clock() - self._response_age_ms(),
        )

    async def finish_early(self) -> None:
        """Until the first byte is sent, finish each send whose deadline passes before the others'."""
        sends = sorted(zip(self.initial_deadlines, self.batch.sends, strict=True), key=lambda pair: pair[0])
        for deadline, send in sends:
            await anyio.sleep(max(0.0, deadline - self.clock()) / 1000.0)
            if self.batch.in_call or not self.batch.unfinished():
                return
            self._finish_unsent(send, self.clock())

    async def _attempt(self) -> SendOutcome:
        """Connect, write and read; raises ConnectionClosed when the connection is over."""
        connect_by = self.batch.connect_deadline()
        last_send_deadline = max(self.initial_deadlines)
        with anyio.move_on_after(max(0.0, min(connect_by, last_send_deadline) - self.started_at) / 1000.0):
            self.connection = await self.connections.acquire(self.key)
        if self.connection is None:
            return SendOutcome.NOT_SENT if last_send_deadline < connect_by else SendOutcome.UNREACHABLE
        write_by = self._check_send_deadlines()
        if not self.batch.in_call:
            return SendOutcome.NOT_SENT
        respond_by = self.batch.response_deadline()
        events = [send.pending for send in self.batch.in_call]
        request = build_send_request(events, respond_by - self.clock())
        parts = encode_request(self.connection, request)
        self.written_at = self.clock()
        self.connection.received_at = None
        return await self._exchange(self.connection, parts, write_by, respond_by)

    def _check_send_deadlines(self) -> float:
        """Right before the first byte: choose the sends that may still leave, and by when all must have left.

        The others end as not sent: the connection may have come up late, or this process may have been
        suspended.
        """
        now = self.clock()
        endpoint = self.batch.endpoint
        write_by = math.inf
        for send in self.batch.unfinished():
            deadline = -math.inf
            if self.connections.key_of(endpoint) == self.key:  # else the address is another endpoint's
                deadline = self.send_deadline(send.pending.event, endpoint, now)
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
        """Write the request and read the response; the outcome as far as it is known without reading that."""
        outcome = SendOutcome.UNREACHABLE
        begun_at = self.clock()
        with anyio.move_on_after(max(0.0, respond_by - begun_at) / 1000.0) as response_scope:
            with anyio.move_on_after((write_by - begun_at) / 1000.0) as write_scope:
                await connection.write(*parts)
                outcome = SendOutcome.TIMED_OUT
            if write_scope.cancelled_caught:
                return SendOutcome.NOT_SENT  # a call begins with its last byte
            if await self._is_delivered(connection, response_scope, write_by):
                await receive(connection, self.response, response_scope)
        # A process that was suspended may find its response beside the timer that ran out.
        while (
            outcome == SendOutcome.TIMED_OUT and not self.response.is_complete and connection.read_available()
        ):
            self.response.feed_from(connection)
        return outcome

    async def _is_delivered(
        self, connection: Connection, response_scope: anyio.CancelScope, deliver_by: float
    ) -> bool:
        """Read the response until `deliver_by`; whether the endpoint's machine has the whole request then.

        If not, the request may still arrive too late.
        """
        with anyio.move_on_after(max(0.0, deliver_by - self.clock()) / 1000.0):
            await receive(connection, self.response, response_scope)
        return self.response.is_complete or connection.is_all_acknowledged()

    def _response_age_ms(self) -> float:
        """Ms for which the kernel has had the response; 0 when it does not say."""
        if self.connection is None or self.connection.received_at is None:
            return 0.0
        return self.clock() - self.connection.received_at

    def _latency_ms(self, is_refused: bool) -> float:
        """From the write to the response, or from the start to the end of a call without one.

        The response counts from the moment at which the kernel had it: our own slowness in reading it would
        be taken for the endpoint's.
        """
        if self.connection is None or not (self.response.has_begun or self.response.is_complete):
            return 0.0 if is_refused else self.clock() - self.started_at
        return max(0.0, self.clock() - self._response_age_ms() - self.written_at)
