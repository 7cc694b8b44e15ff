"""How receivers behave, without I/O: fed calls and a clock, it says what is answered and when.

A driver (sockets, or virtual time in tests) builds a `ReceiverModel`, calls `open_connection`, `arrive` and
`apply` as things happen, and `advance` no later than `next_completion_at`. The same calls at the same moments
give the same answers: all chance comes from the one random source passed in. All times are ms.
"""

import heapq
import math
import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import ClassVar, NamedTuple

from swiftthread.lab.faults import Fault, FaultKind
from swiftthread.lab.outcomes import CallOutcome, DestinationChange
from swiftthread.lab.receivers import Answer, Call, Destination, Endpoint

EXTRA_EVENT_LOAD = 0.05  # calls: the load of each event of a call beyond the first

OUTCOMES_BY_FAILURE_FAULT = {
    FaultKind.ERRORS: CallOutcome.ERROR,
    FaultKind.RESET_AFTER_REQUEST: CallOutcome.RESET,
    FaultKind.TRUNCATE_RESPONSES: CallOutcome.TRUNCATED,
    FaultKind.WITHHOLD_RESPONSES: CallOutcome.NO_REPLY,
}


class CallArrived(NamedTuple):
    """The last byte of a call arrived."""

    at: float
    endpoint: str
    tag: int


class CallEnded(NamedTuple):
    """A call was answered at once, or its work ended."""

    at: float
    outcome: CallOutcome
    endpoint: str
    tag: int


class DestinationAvailabilityChanged(NamedTuple):
    """A destination was overloaded or recovered."""

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
    """An entry of the heap of calls that a worker executes; `sequence` keeps ties in their order."""

    at: float
    sequence: int
    call: Call


class ImmediateReply(NamedTuple):
    """The answer to a call that is not admitted, with a Retry-After in ms (0: none)."""

    outcome: CallOutcome
    retry_after_ms: float = 0.0


class Arrival(NamedTuple):
    """A call that arrived, and its answer if it has one at once."""

    call: Call
    answer: Answer | None


def _ignore(event: ModelEvent) -> None:
    """Observe nothing."""


class ReceiverModel:
    """All receivers of a run.

    Attributes:
        observe: Called with each event of the model as it happens.
        endpoints: All endpoints by name.
        destinations: All destinations by number.
    """

    def __init__(self, rng: random.Random, observe: ModelObserver = _ignore) -> None:
        self.observe = observe
        self.endpoints: dict[str, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self._rng = rng
        self._completions: list[Completion] = []
        self._completion_sequence = count()

    def add(self, endpoint: Endpoint) -> Endpoint:
        """Add an endpoint, and its destination with it."""
        self.destinations[endpoint.destination.number] = endpoint.destination
        self.endpoints[endpoint.name] = endpoint
        return endpoint

    def open_connection(self, endpoint: Endpoint) -> bool:
        """Take a place in the connection table until `close_connection`; return whether there was one."""
        if endpoint.is_down() or endpoint.open_connections >= endpoint.max_connections:
            return False
        endpoint.open_connections += 1
        return True

    def close_connection(self, endpoint: Endpoint) -> None:
        """Give the place in the connection table back."""
        endpoint.open_connections -= 1

    def arrive(self, now: float, endpoint: Endpoint, tag: int, size: int = 1) -> Arrival:
        """Take a call of `size` events whose last byte has arrived."""
        call = Call(tag, endpoint, size)
        destination = endpoint.destination
        self._end_unavailability(now, destination)
        self.observe(CallArrived(now, endpoint.name, tag))
        load = 1.0 + EXTRA_EVENT_LOAD * (size - 1)
        if not endpoint.is_down() and destination.record_load(now, load):
            self._take_down(now, destination)
        reply = self._immediate_reply(now, endpoint)
        if reply is not None:
            self.observe(CallEnded(now, reply.outcome, endpoint.name, tag))
            return Arrival(call, Answer(call, reply.outcome, reply.retry_after_ms))
        if endpoint.has_idle_worker():
            self._start(now, call)
        else:
            endpoint.queue.append(call)
        return Arrival(call, None)

    def _end_unavailability(self, now: float, destination: Destination) -> None:
        """Let a destination that rejected every call until some moment recover from that moment on."""
        ended_at = destination.take_expired_unavailability(now)
        if ended_at is not None and not destination.is_down():
            destination.recover(ended_at)
            self.observe(
                DestinationAvailabilityChanged(ended_at, DestinationChange.RECOVERED, destination.number)
            )

    def _take_down(self, now: float, destination: Destination) -> None:
        self.observe(DestinationAvailabilityChanged(now, DestinationChange.OVERLOADED, destination.number))
        for endpoint in destination.endpoints:
            endpoint.is_crashed = True

    def _immediate_reply(self, now: float, endpoint: Endpoint) -> ImmediateReply | None:
        """Return the answer of a call that is not admitted, or None when it is."""
        unavailability = self._unavailability_reply(now, endpoint)
        if unavailability is not None:
            return unavailability
        for outcome, share in endpoint.failure_shares.items():
            if self._rng.random() < share:
                return ImmediateReply(outcome)
        if endpoint.rejection_share and self._rng.random() < endpoint.rejection_share:
            return ImmediateReply(CallOutcome.RATE_LIMITED)
        destination = endpoint.destination
        admission = destination.rate_limit.try_admit(now, destination.warmth(now))
        if not admission.is_admitted:
            retry_after_ms = admission.retry_after_ms if destination.sends_retry_after else 0.0
            return ImmediateReply(CallOutcome.RATE_LIMITED, retry_after_ms)
        if not endpoint.has_idle_worker() and len(endpoint.queue) >= endpoint.queue_capacity:
            return ImmediateReply(CallOutcome.UNAVAILABLE)
        return None

    def _unavailability_reply(self, now: float, endpoint: Endpoint) -> ImmediateReply | None:
        """Return the answer of an endpoint that takes no calls at all, or None when it does."""
        if endpoint.is_crashed:
            return ImmediateReply(CallOutcome.RESET)
        if endpoint.is_silent:
            return ImmediateReply(CallOutcome.NO_REPLY)
        if endpoint.is_draining or endpoint.is_removed:
            return ImmediateReply(CallOutcome.UNAVAILABLE)
        destination = endpoint.destination
        if now < destination.unavailable_until:
            remaining_ms = destination.unavailable_until - now
            retry_after_ms = remaining_ms if destination.unavailability_has_retry_after else 0.0
            return ImmediateReply(CallOutcome.RATE_LIMITED, retry_after_ms)
        return None

    def _start(self, now: float, call: Call) -> None:
        endpoint = call.endpoint
        endpoint.busy_workers += 1
        service_ms = endpoint.draw_service_ms() * endpoint.service_time_factor * call.size
        work_ms = service_ms / endpoint.destination.warmth(now)
        call.completes_at = max(now, endpoint.paused_until) + work_ms
        self._push_completion(call)

    def _push_completion(self, call: Call) -> None:
        heapq.heappush(
            self._completions, Completion(call.completes_at, next(self._completion_sequence), call)
        )

    def next_completion_at(self) -> float:
        """Return the moment by which `advance` must be called; infinite when nothing is under way."""
        return self._completions[0].at if self._completions else math.inf

    def advance(self, now: float) -> list[Answer]:
        """End all calls whose work is over by `now`; return their answers in order."""
        answers = []
        while self._completions and self._completions[0].at <= now:
            at, _, call = heapq.heappop(self._completions)
            if call.completes_at == at:
                answers.append(self._complete(at, call))
            elif call.completes_at < math.inf:
                self._push_completion(call)  # a pause has moved it
        return answers

    def _complete(self, at: float, call: Call) -> Answer:
        endpoint = call.endpoint
        endpoint.busy_workers -= 1
        call.completes_at = math.inf
        self.observe(CallEnded(at, CallOutcome.DONE, endpoint.name, call.tag))
        while endpoint.queue and endpoint.has_idle_worker():
            self._start(at, endpoint.queue.popleft())
        return Answer(call, CallOutcome.DONE)

    def apply(self, now: float, fault: Fault, endpoints: Iterable[Endpoint]) -> list[Answer]:
        """Apply a fault to endpoints; return the answers that calls in flight get at once.

        Raises:
            ValueError: The fault is one of the sockets alone.
        """
        handler = self._FAULT_HANDLERS.get(fault.kind)
        if handler is None:
            raise ValueError(f"{fault.kind}: a fault of the sockets, which the model does not see")
        endpoints = list(endpoints)
        self.observe(FaultApplied(now, fault.kind, [endpoint.name for endpoint in endpoints]))
        answers: list[Answer] = []
        for endpoint in endpoints:
            answers += handler(self, now, endpoint, fault) or ()
        return answers

    def _refuse_connections(self, now: float, endpoint: Endpoint, fault: Fault) -> list[Answer]:
        lost_calls = self._lose_calls(endpoint)
        endpoint.is_crashed = True
        endpoint.is_silent = False
        return [Answer(call, CallOutcome.RESET) for call in lost_calls]

    def _go_silent(self, now: float, endpoint: Endpoint, fault: Fault) -> None:
        self._lose_calls(endpoint)
        endpoint.is_crashed = False
        endpoint.is_silent = True

    def _lose_calls(self, endpoint: Endpoint) -> list[Call]:
        """Drop the calls in flight at an endpoint that dies, so that none of them ends; return them."""
        lost_calls = [
            completion.call
            for completion in self._completions
            if completion.call.endpoint is endpoint and completion.call.completes_at < math.inf
        ]
        lost_calls += endpoint.queue
        for call in lost_calls:
            call.completes_at = math.inf
        endpoint.queue.clear()
        endpoint.busy_workers = 0
        return lost_calls

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
        # The heap keeps the former moments, which are all earlier: `advance` moves an entry when it meets it.
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
        endpoint.is_silent = False
        endpoint.is_draining = False
        endpoint.failure_shares = {}
        endpoint.rejection_share = 0.0
        endpoint.service_time_factor = 1.0
        destination.unavailable_until = min(destination.unavailable_until, now)
        self._end_unavailability(now, destination)
        destination.is_overloaded = False
        destination.rate_limit.rate_per_ms = destination.rate_limit.configured_rate_per_ms
        if was_down and not destination.is_down():
            destination.recover(now)
            self.observe(DestinationAvailabilityChanged(now, DestinationChange.RECOVERED, destination.number))

    _FaultHandler = Callable[["ReceiverModel", float, Endpoint, Fault], list[Answer] | None]
    _FAULT_HANDLERS: ClassVar[dict[FaultKind, _FaultHandler]] = {
        FaultKind.REFUSE_CONNECTIONS: _refuse_connections,
        FaultKind.GO_SILENT: _go_silent,
        FaultKind.ERRORS: _fail_calls,
        FaultKind.RESET_AFTER_REQUEST: _fail_calls,
        FaultKind.TRUNCATE_RESPONSES: _fail_calls,
        FaultKind.WITHHOLD_RESPONSES: _fail_calls,
        FaultKind.REJECT: _reject_calls,
        FaultKind.DESTINATION_UNAVAILABLE: _make_destination_unavailable,
        FaultKind.SLOW_DOWN: _slow_down,
        FaultKind.CHANGE_RATE_LIMIT: _change_rate_limit,
        FaultKind.PAUSE: _pause,
        FaultKind.DRAIN: _drain,
        FaultKind.REMOVE: _set_removed,
        FaultKind.JOIN: _set_removed,
        FaultKind.HEAL: _heal,
    }
