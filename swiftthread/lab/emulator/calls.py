"""Passes calls from endpoint connections to the receiver model, and sends its responses when they are due."""

import asyncio
import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import count

from swiftthread.lab.emulator.endpoint_listener import BATCH_TARGET, EndpointConnection, EndpointListener
from swiftthread.lab.faults import Fault, FaultKind
from swiftthread.lab.http_server import HttpRequest, encode_response
from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.receiver_model import ReceiverModel
from swiftthread.lab.receivers import Call, CallResponse, Destination
from swiftthread.lab.run_records import (
    CallerDisconnected,
    CallReceived,
    HealthCheckReceived,
    RecordWriter,
    ResponseSent,
    monotonic_ms,
)

HEALTH_CHECK_LOAD_CALLS = 1.0
MAX_TIMER_LATENESS_MS = 1.0  # A timer that is overdue by more than this is replaced by a new one.
TRUNCATED_RESPONSE = b"HTTP/1.1 20"

STATUS_BY_OUTCOME = {
    CallOutcome.DONE: 200,
    CallOutcome.ERROR: 500,
    CallOutcome.RATE_LIMITED: 429,
    CallOutcome.UNAVAILABLE: 503,
    CallOutcome.CONNECTION_REJECTED: 503,
}


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that has no response yet."""

    connection: EndpointConnection
    event_ids: list[str]
    is_batch: bool


class CallDispatcher:
    """Passes calls to the receiver model, and writes its responses when they are due.

    Args:
        receivers: The receiver model.
        listeners: The listeners of all endpoints by endpoint name; entries may be added after construction.
        record_writer: Writes a record of each call and response.
    """

    def __init__(
        self,
        receivers: ReceiverModel,
        listeners: Mapping[str, EndpointListener],
        record_writer: RecordWriter,
    ) -> None:
        self._receivers = receivers
        self._listeners = listeners
        self._record_writer = record_writer
        self._pending: dict[Call, PendingCall] = {}
        self._call_numbers = count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = math.inf

    def on_health_check(self, connection: EndpointConnection) -> None:
        """Record a health check; respond with 200 or 503, or not at all if the endpoint is down."""
        now = monotonic_ms()
        endpoint = connection.listener.endpoint
        destination = endpoint.destination
        self._record_writer.write(HealthCheckReceived(now, endpoint.name, destination.number))
        is_healthy = not endpoint.failure_shares and not endpoint.is_draining
        destination.record_load(now, HEALTH_CHECK_LOAD_CALLS)
        if not endpoint.is_down():
            connection.write_response(encode_response(200 if is_healthy else 503))

    def on_call_received(
        self, connection: EndpointConnection, event_ids: list[str], request: HttpRequest
    ) -> None:
        """Record a call and pass it to the receiver model."""
        now = monotonic_ms()
        number = next(self._call_numbers)
        endpoint = connection.listener.endpoint
        destination = endpoint.destination
        self._record_writer.write(
            CallReceived(
                now,
                number,
                event_ids,
                endpoint.name,
                destination.number,
                endpoint.zone,
                request.first_byte_at,
            )
        )
        was_overloaded = destination.is_overloaded
        call, response = self._receivers.receive_call(now, endpoint, number, len(event_ids))
        connection.call = call
        self._pending[call] = PendingCall(connection, event_ids, request.target == BATCH_TARGET)
        if destination.is_overloaded and not was_overloaded:
            self._refuse_connections(now, destination)
        if response is not None:
            self._send_response(response)
        self.reset_timer()

    def _refuse_connections(self, now: float, destination: Destination) -> None:
        for endpoint in destination.endpoints:
            self.send_responses(self._receivers.apply(now, Fault(FaultKind.REFUSE_CONNECTIONS), [endpoint]))
            self._listeners[endpoint.name].refuse_connections()

    def on_caller_disconnected(self, call: Call) -> None:
        """Record that the caller disconnected before the response; the receiver still executes the call."""
        if self._pending.pop(call, None) is not None:
            self._record_writer.write(CallerDisconnected(monotonic_ms(), call.tag))

    def reset_timer(self) -> None:
        """Set the timer to the model's next completion, after anything that may have changed that time."""
        due_at = self._receivers.next_completion_at()
        if self._timer is not None:
            is_late = self._timer_due_at < monotonic_ms() - MAX_TIMER_LATENESS_MS
            if self._timer_due_at > due_at or is_late:
                self._timer.cancel()
                self._timer = None
        if self._timer is None and due_at < math.inf:
            delay_ms = max(0.0, due_at - monotonic_ms())
            self._timer_due_at = due_at
            self._timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.send_responses(self._receivers.advance(monotonic_ms()))
        self.reset_timer()

    def send_responses(self, responses: Iterable[CallResponse]) -> None:
        """Write responses to the callers that are still connected and waiting."""
        for response in responses:
            self._send_response(response)

    def _send_response(self, response: CallResponse) -> None:
        if response.call not in self._pending or response.outcome == CallOutcome.NO_RESPONSE:
            return
        pending = self._pending.pop(response.call)
        connection = pending.connection
        connection.call = None
        now = monotonic_ms()
        if connection.transport.is_closing():
            self._record_writer.write(CallerDisconnected(now, response.call.tag))
            return
        self._record_writer.write(
            ResponseSent(now, response.call.tag, response.outcome, response.retry_after_ms)
        )
        if response.outcome == CallOutcome.RESET:
            connection.reset()
        elif response.outcome == CallOutcome.TRUNCATED:
            connection.transport.write(TRUNCATED_RESPONSE)
            connection.transport.close()
        else:
            connection.write_response(_encode_call_response(response, pending))
            if response.outcome == CallOutcome.CONNECTION_REJECTED:
                connection.transport.close()


def _encode_call_response(response: CallResponse, pending: PendingCall) -> bytes:
    headers = []
    if response.retry_after_ms:
        headers.append(("Retry-After", f"{response.retry_after_ms / 1000.0:.3f}"))
    if response.outcome == CallOutcome.CONNECTION_REJECTED:
        headers.append(("Connection", "close"))
    body = b""
    if response.outcome == CallOutcome.DONE and pending.is_batch:
        states = [{"id": event_id, "state": response.outcome} for event_id in pending.event_ids]
        body = json.dumps(states).encode()
    return encode_response(STATUS_BY_OUTCOME[response.outcome], headers, body)
