"""The result of each event in a call, derived from the endpoint's response."""

# This module does no I/O.

from __future__ import annotations

import json
import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from swiftthread.client.http_exchange import PARSE_ERRORS, HttpResponse
from swiftthread.client.send_result import SendResult
from swiftthread.routing.messages import LoadReport, SendOutcome

if TYPE_CHECKING:
    from swiftthread.storage.pending_event import PendingEvent

LOAD_REPORT_HEADER = "x-pressure"


class EventState(StrEnum):
    """State of one event in the response to a call of several; the values are those of the protocol."""

    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    VOID = "void"
    """The event was not executed, and it must not be sent again by any node or client."""
    USED_UP = "used_up"


_OUTCOME_BY_STATE = {
    EventState.DONE: SendOutcome.ACKED,
    EventState.FAILED: SendOutcome.FAILED,
    EventState.BUSY: SendOutcome.RATE_LIMITED,
    EventState.VOID: SendOutcome.NOT_EXECUTED,
    EventState.USED_UP: SendOutcome.NOT_EXECUTED,
}
_STATE_BY_VALUE = {state.value: state for state in EventState}

_STATUS_GONE = 410  # the event may not be sent again, as with EventState.VOID
_NOT_EXECUTED_STATUSES = frozenset((400, _STATUS_GONE, 413, 504))
_RATE_LIMITED_STATUSES = frozenset((429, 503))


@dataclass(slots=True)
class CompletedCall:
    """How a call ended, as far as it is known without the contents of its response."""

    outcome: SendOutcome
    latency_ms: float
    received_at: float
    """When the kernel received the response, in ms on the clock of the write-ahead log."""


def read_results(
    response: HttpResponse,
    call: CompletedCall,
    events: Sequence[PendingEvent],
    in_call_count: int,
    report_fields: Collection[str],
) -> list[SendResult]:
    """Returns the result of each event's send, in the order of `events`."""
    # `response` is the response as far as it was received, and `call` is how the call ended apart from the
    # response. `events` has all events of the call's batch, of which `in_call_count` were in the request.
    # `report_fields` has the names of the fields of a load report.
    retry_after_ms = parse_retry_after_ms(response.headers)
    report = parse_load_report(response.headers, report_fields)
    states: dict[str, EventState] = {}
    if response.first_line_status == 200 and in_call_count == 1:
        outcome = SendOutcome.ACKED  # the first line is enough, even if the rest is malformed or missing
    elif response.status == 200 and response.is_complete:
        # In a call of several events an ack counts only in a complete response.
        states = _parse_states(response.body)
        outcome = SendOutcome.RESET  # for an event that the response leaves out
    elif response.is_complete:
        outcome = _outcome_of_error(response, has_retry_after=retry_after_ms > 0)
    else:
        outcome = call.outcome
    is_status_gone = (
        response.status == _STATUS_GONE and response.is_complete and not response.has_trailing_bytes
    )
    results = []
    for pending in events:
        state = states.get(pending.event_id)
        event_outcome = outcome if state is None else _OUTCOME_BY_STATE[state]
        # After its expiry an event cannot be acked: its client has already received another outcome.
        if event_outcome == SendOutcome.ACKED and call.received_at > pending.expires_at:
            event_outcome = SendOutcome.TIMED_OUT
        is_event_finished = is_status_gone or state is EventState.VOID or event_outcome == SendOutcome.ACKED
        results.append(SendResult(event_outcome, call.latency_ms, retry_after_ms, is_event_finished, report))
    return results


def _outcome_of_error(response: HttpResponse, has_retry_after: bool) -> SendOutcome:
    # Returns the outcome of a complete response with a status other than 200.
    status = response.status
    headers = response.headers
    if response.has_trailing_bytes:
        return SendOutcome.RESET  # its length may be wrong, so the event may have run
    if status in _NOT_EXECUTED_STATUSES:
        return SendOutcome.NOT_EXECUTED
    if status == 503 and headers.get("x-egress-full") == "1":
        return SendOutcome.NOT_EXECUTED
    if status == 503 and not has_retry_after and headers.get("connection", "").lower() == "close":
        return SendOutcome.CONNECTION_LIMIT  # the connection is rejected, not the event
    if status in _RATE_LIMITED_STATUSES:
        return SendOutcome.RATE_LIMITED
    return SendOutcome.FAILED


def parse_retry_after_ms(headers: Mapping[str, str]) -> float:
    """Returns the wait in a Retry-After header, in ms; 0 if it is missing or not a positive number."""
    try:
        wait_ms = 1000.0 * float(headers.get("retry-after", 0))
    except ValueError:
        return 0.0
    return wait_ms if math.isfinite(wait_ms) and wait_ms > 0 else 0.0


def parse_load_report(headers: Mapping[str, str], fields: Collection[str]) -> LoadReport | None:
    """Returns the load report in a response's headers; None if it is missing or cannot be parsed."""
    if LOAD_REPORT_HEADER not in headers:
        return None
    try:
        values = json.loads(headers[LOAD_REPORT_HEADER])
        numbers = {name: float(values[name]) for name in fields if name in values}
    except PARSE_ERRORS:
        return None
    return LoadReport.from_fields(numbers) if all(map(math.isfinite, numbers.values())) else None


def _parse_states(body: bytes | bytearray) -> dict[str, EventState]:
    # Returns the states by event id, without unknown ones; empty if the body cannot be parsed.
    try:
        return {
            entry["id"]: state
            for entry in json.loads(bytes(body))
            if (state := _STATE_BY_VALUE.get(entry["state"])) is not None
        }
    except PARSE_ERRORS:
        return {}
