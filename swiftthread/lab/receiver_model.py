"""The behaviour of receivers, without I/O: which response each call gets, and when.

A driver (sockets, or virtual time in tests) builds a `ReceiverModel`, calls `open_connection`, `receive_call`
and `apply` when a connection, call or fault occurs, and calls `advance` no later than `next_completion_at`.
The same method calls at the same times give the same responses, because all random draws come from the random
source that is passed in. All times are in ms.
"""

import heapq
import math
import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import ClassVar, NamedTuple

from swiftthread.lab.faults import Fault, FaultKind
from swiftthread.lab.outcomes import CallOutcome, DestinationChange
from swiftthread.lab.receivers import Call, CallResponse, Destination, Endpoint

EXTRA_EVENT_LOAD = 0.05  # The load of each event of a call beyond the first, in calls with a single event.

OUTCOMES_BY_FAILURE_FAULT = {
    FaultKind.ERRORS: CallOutcome.ERROR,
    FaultKind.RESET_AFTER_REQUEST: CallOutcome.RESET,
    FaultKind.TRUNCATE_RESPONSES: CallOutcome.TRUNCATED,
    FaultKind.WITHHOLD_RESPONSES: CallOutcome.NO_RESPONSE,
}


class CallArrived(NamedTuple):
    """The last byte of a call arrived."""

    at: float
    endpoint: str
    tag: int


class CallEnded(NamedTuple):
    """A call got its response at once, or a worker completed it."""

    at: float
    outcome: CallOutcome
    endpoint: str
    tag: int


class DestinationAvailabilityChanged(NamedTuple):
    """A destination went down, was overloaded or recovered."""

    at: float
    change: DestinationChange
    destination: int


class FaultApplied(NamedTuple):
    """A fault was applied to these endpoints."""

    at: float
    kind: FaultKind
    endpoints: list[str]


ModelEvent = CallArrived | CallEnded | DestinationAvailabilityChanged | FaultApplied
ModelObserver = Callable[[ModelEvent], None]


class Completion(NamedTuple):
    """A heap entry for a call that a worker executes; `sequence` orders calls with equal completion times."""

    at: float
    sequence: int
    call: Call


class ImmediateResponse(NamedTuple):
    """The response to a call that no worker executes, with a Retry-After in ms (0 if there is none)."""

    outcome: CallOutcome
    retry_after_ms: float = 0.0


class ReceivedCall(NamedTuple):
    """A call that arrived, and its response if it was not passed to a worker or the queue."""

    call: Call
    response: CallResponse | None


def _ignore_event(event: ModelEvent) -> None:
    """Do nothing: the default observer."""


class ReceiverModel:
    """Models all receivers of a run.

    Attributes:
        observe: Called with each event of the model when it occurs.
        endpoints: All endpoints by name.
        destinations: All destinations by number.
    """

    def __init__(self, rng: random.Random, observe: ModelObserver = _ignore_event) -> None:
        self.observe = observe
        self.endpoints: dict[str, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self._rng = rng
        self._completions: list[Completion] = []
        self._completion_sequence = count()

    def add(self, endpoint: Endpoint) -> Endpoint:
        """Add an endpoint and its destination; return the endpoint."""
        self.destinations[endpoint.destination.number] = endpoint.destination
        self.endpoints[endpoint.name] = endpoint
        return endpoint

    def open_connection(self, endpoint: Endpoint) -> bool:
        """Count a connection until it is closed; return False if the endpoint is down or at its limit."""
        if endpoint.is_down() or endpoint.open_connections >= endpoint.max_connections:
            return False
        endpoint.open_connections += 1
        return True

    def close_connection(self, endpoint: Endpoint) -> None:
        """Stop counting a connection that `open_connection` counted."""
        endpoint.open_connections -= 1

    def receive_call(self, now: float, endpoint: Endpoint, tag: int, size: int = 1) -> ReceivedCall:
        """Process a call of `size` events whose last byte has arrived."""
        call = Call(tag, endpoint, size)
        destination = endpoint.destination
        self._recover_if_unavailability_expired(now, destination)
        self.observe(CallArrived(now, endpoint.name, tag))
        load = 1.0 + EXTRA_EVENT_LOAD * (size - 1)
        if not endpoint.is_down() and destination.record_load(now, load):
            self._crash_overloaded_destination(now, destination)
        immediate = self._immediate_response(now, endpoint)
        if immediate is not None:
            self.observe(CallEnded(now, immediate.outcome, endpoint.name, tag))
            return ReceivedCall(call, CallResponse(call, immediate.outcome, immediate.retry_after_ms))
        if endpoint.has_idle_worker():
            self._start(now, call)
        else:
            endpoint.queue.append(call)
        return ReceivedCall(call, None)

    def _recover_if_unavailability_expired(self, now: float, destination: Destination) -> None:
        """Let a destination that rejected all calls until `unavailable_until` recover as of that time."""
        ended_at = destination.clear_expired_unavailability(now)
        if ended_at is not None and not destination.is_down():
            destination.recover(ended_at)
            self.observe(
                DestinationAvailabilityChanged(ended_at, DestinationChange.RECOVERED, destination.number)
            )

    def _crash_overloaded_destination(self, now: float, destination: Destination) -> None:
        self.observe(DestinationAvailabilityChanged(now, DestinationChange.OVERLOADED, destination.number))
        for endpoint in destination.endpoints:
            endpoint.is_crashed = True

    def _immediate_response(self, now: float, endpoint: Endpoint) -> ImmediateResponse | None:
        """Return the response to a call that no worker executes, or None if the call is admitted."""
        unavailability = self._unavailability_response(now, endpoint)
        if unavailability is not None:
            return unavailability
        for outcome, share in endpoint.failure_shares.items():
            if self._rng.random() < share:
                return ImmediateResponse(outcome)
        if endpoint.rejection_share and self._rng.random() < endpoint.rejection_share:
            return ImmediateResponse(CallOutcome.RATE_LIMITED)
        destination = endpoint.destination
        admission = destination.rate_limit.try_admit(now, destination.capacity_share(now))
        if not admission.is_admitted:
            retry_after_ms = admission.retry_after_ms if destination.sends_retry_after else 0.0
            return ImmediateResponse(CallOutcome.RATE_LIMITED, retry_after_ms)
        if not endpoint.has_idle_worker() and len(endpoint.queue) >= endpoint.queue_capacity:
            return ImmediateResponse(CallOutcome.UNAVAILABLE)
        return None

    def _unavailability_response(self, now: float, endpoint: Endpoint) -> ImmediateResponse | None:
        """Return the response of an endpoint that executes no calls at present, or None if it does."""
        if endpoint.is_crashed:
            return ImmediateResponse(CallOutcome.RESET)
        if endpoint.is_unresponsive:
            return ImmediateResponse(CallOutcome.NO_RESPONSE)
        if endpoint.is_draining or endpoint.is_removed:
            return ImmediateResponse(CallOutcome.UNAVAILABLE)
        destination = endpoint.destination
        if now < destination.unavailable_until:
            if destination.unavailability_rejects_connections:
                return ImmediateResponse(CallOutcome.CONNECTION_REJECTED)
            remaining_ms = destination.unavailable_until - now
            retry_after_ms = remaining_ms if destination.unavailability_has_retry_after else 0.0
            return ImmediateResponse(CallOutcome.RATE_LIMITED, retry_after_ms)
        return None

    def _start(self, now: float, call: Call) -> None:
        endpoint = call.endpoint
        endpoint.busy_workers += 1
        service_ms = endpoint.draw_service_ms() * endpoint.service_time_factor * call.size
        work_ms = service_ms / endpoint.destination.capacity_share(now)
        call.completes_at = max(now, endpoint.paused_until) + work_ms
        self._push_completion(call)

    def _push_completion(self, call: Call) -> None:
        heapq.heappush(
            self._completions, Completion(call.completes_at, next(self._completion_sequence), call)
        )

    def next_completion_at(self) -> float:
        """Return the time by which `advance` must be called, or infinity if no worker executes a call."""
        return self._completions[0].at if self._completions else math.inf

    def advance(self, now: float) -> list[CallResponse]:
        """Complete all calls that are due by `now`; return their responses in order of completion."""
        responses = []
        while self._completions and self._completions[0].at <= now:
            at, _, call = heapq.heappop(self._completions)
            if call.completes_at == at:
                responses.append(self._complete(at, call))
            elif call.completes_at < math.inf:
                self._push_completion(call)  # A pause has postponed it.
        return responses

    def _complete(self, at: float, call: Call) -> CallResponse:
        endpoint = call.endpoint
        endpoint.busy_workers -= 1
        call.completes_at = math.inf
        self.observe(CallEnded(at, CallOutcome.DONE, endpoint.name, call.tag))
        while endpoint.queue and endpoint.has_idle_worker():
            self._start(at, endpoint.queue.popleft())
        return CallResponse(call, CallOutcome.DONE)

    def apply(self, now: float, fault: Fault, endpoints: Iterable[Endpoint]) -> list[CallResponse]:
        """Apply a fault to endpoints; return the responses that it causes for calls in flight.

        Raises:
            ValueError: The fault affects only sockets.
        """
        handler = self._FAULT_HANDLERS.get(fault.kind)
        if handler is None:
            raise ValueError(
                f"{fault.kind}: this fault affects only sockets, and the receiver model does not implement it"
            )
        endpoints = list(endpoints)
        self.observe(FaultApplied(now, fault.kind, [endpoint.name for endpoint in endpoints]))
        responses: list[CallResponse] = []
        for endpoint in endpoints:
            responses += handler(self, now, endpoint, fault) or ()
        return responses

    def _refuse_connections(self, now: float, endpoint: Endpoint, fault: Fault) -> list[CallResponse]:
        discarded_calls = self._discard_calls_in_flight(endpoint)
        endpoint.is_crashed = True
        endpoint.is_unresponsive = False
        return [CallResponse(call, CallOutcome.RESET) for call in discarded_calls]

    def _become_unresponsive(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        self._discard_calls_in_flight(endpoint)
        endpoint.is_crashed = False
        endpoint.is_unresponsive = True

    def _discard_calls_in_flight(self, endpoint: Endpoint) -> list[Call]:
        """Discard the queued and executing calls of an endpoint, so that none completes; return them."""
        discarded_calls = [
            completion.call
            for completion in self._completions
            if completion.call.endpoint is endpoint and completion.call.completes_at < math.inf
        ]
        discarded_calls += endpoint.queue
        for call in discarded_calls:
            call.completes_at = math.inf
        endpoint.queue.clear()
        endpoint.busy_workers = 0
        return discarded_calls

    def _fail_calls(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        endpoint.failure_shares[OUTCOMES_BY_FAILURE_FAULT[fault.kind]] = fault.share

    def _reject_calls(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        endpoint.rejection_share = fault.share

    def _make_destination_unavailable(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        if now >= endpoint.destination.unavailable_until:
            self.observe(
                DestinationAvailabilityChanged(now, DestinationChange.DOWN, endpoint.destination.number)
            )
        endpoint.destination.unavailable_until = now + fault.duration_ms
        endpoint.destination.unavailability_has_retry_after = fault.sends_retry_after
        endpoint.destination.unavailability_rejects_connections = fault.kind == FaultKind.CONNECTIONS_REJECTED

    def _slow_down(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        endpoint.service_time_factor = fault.factor

    def _change_rate_limit(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        rate_limit = endpoint.destination.rate_limit
        rate_limit.rate_per_ms = rate_limit.configured_rate_per_ms * fault.factor

    def _pause(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        until = now + fault.duration_ms
        delay_ms = until - max(now, endpoint.paused_until)
        if delay_ms <= 0:
            return
        # The heap entries retain the former times, which are all earlier: when `advance` pops one, it pushes
        # the call again with the new time.
        for completion in self._completions:
            call = completion.call
            if call.endpoint is endpoint and call.completes_at < math.inf:
                call.completes_at += delay_ms
        endpoint.paused_until = until

    def _drain(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        endpoint.is_draining = True

    def _set_removed(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        endpoint.is_removed = fault.kind == FaultKind.REMOVE

    def _heal(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        destination = endpoint.destination
        was_down = destination.is_down()
        endpoint.is_crashed = False
        endpoint.is_unresponsive = False
        endpoint.is_draining = False
        endpoint.failure_shares = {}
        endpoint.rejection_share = 0.0
        endpoint.service_time_factor = 1.0
        destination.unavailable_until = min(destination.unavailable_until, now)
        self._recover_if_unavailability_expired(now, destination)
        destination.is_overloaded = False
        destination.rate_limit.rate_per_ms = destination.rate_limit.configured_rate_per_ms
        if was_down and not destination.is_down():
            destination.recover(now)
            self.observe(DestinationAvailabilityChanged(now, DestinationChange.RECOVERED, destination.number))

    _FaultHandler = Callable[["ReceiverModel", float, Endpoint, Fault], list[CallResponse] | None]
    _FAULT_HANDLERS: ClassVar[dict[FaultKind, _FaultHandler]] = {
        FaultKind.REFUSE_CONNECTIONS: _refuse_connections,
        FaultKind.BECOME_UNRESPONSIVE: _become_unresponsive,
        FaultKind.ERRORS: _fail_calls,
        FaultKind.RESET_AFTER_REQUEST: _fail_calls,
        FaultKind.TRUNCATE_RESPONSES: _fail_calls,
        FaultKind.WITHHOLD_RESPONSES: _fail_calls,
        FaultKind.REJECT: _reject_calls,
        FaultKind.DESTINATION_UNAVAILABLE: _make_destination_unavailable,
        FaultKind.CONNECTIONS_REJECTED: _make_destination_unavailable,
        FaultKind.SLOW_DOWN: _slow_down,
        FaultKind.CHANGE_RATE_LIMIT: _change_rate_limit,
        FaultKind.PAUSE: _pause,
        FaultKind.DRAIN: _drain,
        FaultKind.REMOVE: _set_removed,
        FaultKind.JOIN: _set_removed,
        FaultKind.HEAL: _heal,
    }
