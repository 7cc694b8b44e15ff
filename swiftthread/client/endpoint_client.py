"""Client of the endpoints: it sends events, one or several in a call, and makes health checks."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from swiftthread.client.batch import Batch
from swiftthread.client.endpoint_call import EndpointCall
from swiftthread.client.endpoint_connections import EndpointAddress, EndpointConnections
from swiftthread.client.endpoint_request import HOST_HEADER
from swiftthread.client.endpoint_response import parse_load_report, read_results
from swiftthread.client.http_exchange import HttpRequest, HttpResponse, ResponseResources, exchange
from swiftthread.client.send_preparation import SendPreparation
from swiftthread.client.send_result import SendResult
from swiftthread.clocks import Clock
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection
from swiftthread.network.connection_observer import ConnectionObserver
from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.routing.messages import Send, SendOutcome

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.routing.events import Call
    from swiftthread.storage.pending_event import PendingEvent

# A send that times out at most this long before its deadline, or after it, is the last attempt of its event.
DEADLINE_TOLERANCE_MS = 1.0

# Memory of a call in flight: its task, its connection, its parser and a small response. The router bounds
# the number of calls.
CALL_BYTES = 16 * 1024

_OUTCOME_BY_HEALTH_STATUS = {200: SendOutcome.ACKED, 503: SendOutcome.RATE_LIMITED}


class EndpointClient:
    """Sends events to endpoints and checks their health."""

    def __init__(
        self,
        tasks: TaskGroup,
        buffers: BufferPool,
        clock: Clock,
        log_clock: Clock,
        addresses: Mapping[str | int, Address],
        connect_timeout_ms: float,
        report_fields: Collection[str],
        preparation: SendPreparation,
        observer: ConnectionObserver,
        memory: MemoryAccount,
        hold_ups: HoldUps,
    ) -> None:
        self.tasks = tasks
        """Task group in which the calls run."""
        # `buffers` is the pool of buffers for reads. `addresses` has the addresses as (host, port), by
        # endpoint id; their owner updates the mapping in place.
        self.connections = EndpointConnections(
            buffers, addresses, connect_timeout_ms, observer, ResponseResources(memory, hold_ups)
        )
        self.clock = clock
        """Returns the monotonic time in ms."""
        self.log_clock = log_clock
        """Returns the time of the write-ahead log's clock in ms."""
        self.connect_timeout_ms = connect_timeout_ms
        """How long connecting, or a whole health check, may take."""
        self.report_fields = report_fields
        """Names of the fields of a load report; empty if endpoints send no load reports."""
        self.preparation = preparation
        """The steps right before the first byte of a call."""
        self.batches: dict[Call, Batch] = {}  # emptied by `start_batches`

    async def send(self, pending: PendingEvent, send: Send) -> SendResult:
        """Send an event and return the result."""
        # The next `start_batches` starts the call, together with the other events of the same call.
        now = self.clock()
        call = pending.router_event.call
        batch = self.batches.get(call)
        if batch is None:
            batch = self.batches[call] = Batch(send.endpoint)
        times_out_at = now + send.timeout_ms
        deadline = self.preparation.send_deadline(pending.router_event, send.endpoint, now)
        is_last_attempt = times_out_at >= deadline - DEADLINE_TOLERANCE_MS
        batched_send = batch.add(pending, times_out_at, is_last_attempt)
        await batched_send.finished.wait()
        return batched_send.result

    def start_batches(self) -> None:
        """Start the calls of all batches that were collected since the previous start."""
        batches = self.batches
        self.batches = {}
        for batch in batches.values():
            self.tasks.start_soon(self._call, batch)

    async def _call(self, batch: Batch) -> None:
        # Make the call of a batch and finish each send in it.
        memory = self.connections.resources.memory
        memory.reserve(MemoryUse.CALLS, CALL_BYTES)
        try:
            await self._make_call(batch)
        finally:
            memory.release(MemoryUse.CALLS, CALL_BYTES)

    async def _make_call(self, batch: Batch) -> None:
        call = EndpointCall(
            batch,
            self.connections,
            self.clock,
            self.log_clock,
            self.preparation,
        )
        if len(batch.sends) > 1:
            self.tasks.start_soon(call.finish_expired_sends)
        completed = await call.run()
        events = [send.pending for send in batch.sends]
        results = read_results(call.response, completed, events, len(batch.in_call), self.report_fields)
        for send, result in zip(batch.sends, results, strict=True):
            send.finish(result)

    def _check_still_listed(self, endpoint: Endpoint, target: EndpointAddress) -> None:
        # Raises ConnectionClosed if the endpoint has left or moved while the connection was established.
        self.preparation.update_endpoint_list()
        if not endpoint.is_ready or self.connections.address_of(endpoint) != target:
            raise ConnectionClosed(False)

    async def check_health(self, endpoint: Endpoint) -> SendResult:
        """Make a health check; return its outcome, its latency and the load report, if there is one."""
        started_at = self.clock()
        response = HttpResponse(self.connections.resources, keeps_body=False)
        connection: Connection | None = None
        target = self.connections.address_of(endpoint)
        request = HttpRequest("GET", "/_load" if self.report_fields else "/ping", [HOST_HEADER])
        outcome = SendOutcome.TIMED_OUT
        try:
            with anyio.move_on_after(self.connect_timeout_ms / 1000.0) as deadline_scope:
                connection = await self.connections.open(target)
                self._check_still_listed(endpoint, target)
                await exchange(connection, request, response, deadline_scope)
        except ConnectionClosed:
            outcome = SendOutcome.UNREACHABLE
        except Exception:  # keeps the node running: the health check counts as one without a response
            logger.exception(
                "endpoint {}, address {}: a health check failed; it counts as timed out", *target
            )
        finally:
            self.connections.close(target, connection, response)
        # If the endpoint's address has changed meanwhile, another endpoint may have sent the response.
        if response.first_line_status is not None and self.connections.address_of(endpoint) == target:
            outcome = _OUTCOME_BY_HEALTH_STATUS.get(response.first_line_status, SendOutcome.FAILED)
        report = parse_load_report(response.headers, self.report_fields)
        return SendResult(outcome, self.clock() - started_at, load_report=report)
