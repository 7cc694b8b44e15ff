"""What an endpoint's response to a call means for each event in it. Nothing is read from a socket here."""

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
    """What the response to a call of several events says of one of them, in the words of the wire."""

    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    VOID = "void"
    """The event is over: nobody may send it again."""
    USED_UP = "used_up"


_OUTCOME_BY_STATE = {
    EventState.DONE: SendOutcome.ACKED,
    EventState.FAILED: SendOutcome.FAILED,
    EventState.BUSY: SendOutcome.RATE_LIMITED,
    EventState.VOID: SendOutcome.NOT_EXECUTED,
    EventState.USED_UP: SendOutcome.NOT_EXECUTED,
}
_STATE_BY_WORD = {state.value: state for state in EventState}

_STATUS_GONE = 410  # the event is over, as with EventState.VOID
_NOT_EXECUTED_STATUSES = frozenset((400, _STATUS_GONE, 413, 504))
_RATE_LIMITED_STATUSES = frozenset((429, 503))


@dataclass(slots=True)
class CompletedCall:
    """How a call ended, as far as that is known without its response."""

    outcome: SendOutcome
    latency_ms: float
    is_first_on_connection: bool
    received_at: float
    """When the kernel had the response, in ms on the clock of the log."""


def read_results(
    response: HttpResponse,
    call: CompletedCall,
    events: Sequence[PendingEvent],
    in_call_count: int,
    report_fields: Collection[str],
) -> list[SendResult]:
    """The result of each event's send, in the order of `events`.

    Args:
        response: The response, as far as it came.
        call: How the call ended apart from it.
        events: All events of the call.
        in_call_count: How many of them were sent.
        report_fields: Names of the fields of a load report.
    """
    retry_after_ms = parse_retry_after_ms(response.headers)
    report = parse_load_report(response.headers, report_fields)
    states: dict[str, EventState] = {}
    if response.first_line_status == 200 and in_call_count == 1:
        outcome = SendOutcome.ACKED  # whatever follows its first line
    elif response.status == 200 and response.is_complete:
        # An event of several is delivered with the end of the response: a part of it counts for nothing.
        states = _parse_states(response.body)
        outcome = SendOutcome.RESET  # for an event that the response leaves out
    elif response.is_complete:
        outcome = _outcome_of_error(response, call, has_retry_after=retry_after_ms > 0)
    else:
        outcome = call.outcome
    is_gone = response.status == _STATUS_GONE and response.is_complete and not response.has_trailing_bytes
    results = []
    for pending in events:
        state = states.get(pending.event_id)
        event_outcome = outcome if state is None else _OUTCOME_BY_STATE[state]
        # Past its expiry an event is not acked: whoever waited for it has been answered.
        if event_outcome == SendOutcome.ACKED and call.received_at > pending.expires_at:
            event_outcome = SendOutcome.TIMED_OUT
        is_finished = is_gone or state is EventState.VOID or event_outcome == SendOutcome.ACKED
        results.append(SendResult(event_outcome, call.latency_ms, retry_after_ms, is_finished, report))
    return results


def _outcome_of_error(response: HttpResponse, call: CompletedCall, has_retry_after: bool) -> SendOutcome:
    """The outcome of a complete response other than 200."""
    status = response.status
    headers = response.headers
    if response.has_trailing_bytes:
        return SendOutcome.RESET  # its length may be wrong, and then the event may have run
    if status in _NOT_EXECUTED_STATUSES:
        return SendOutcome.NOT_EXECUTED
    if status == 503 and headers.get("x-egress-full") == "1":
        return SendOutcome.NOT_EXECUTED
    if (
        status == 503
        and call.is_first_on_connection
        and not has_retry_after
        and headers.get("connection", "").lower() == "close"
    ):
        return SendOutcome.CONNECTION_LIMIT  # the connection is rejected, not the event
    if status in _RATE_LIMITED_STATUSES:
        return SendOutcome.RATE_LIMITED
    return SendOutcome.FAILED


def parse_retry_after_ms(headers: Mapping[str, str]) -> float:
    """The wait of a Retry-After header, ms; 0 when there is none, or it is no number."""
    try:
        wait_ms = 1000.0 * float(headers.get("retry-after", 0))
    except ValueError:
        return 0.0
    return wait_ms if math.isfinite(wait_ms) and wait_ms > 0 else 0.0


def parse_load_report(headers: Mapping[str, str], fields: Collection[str]) -> LoadReport | None:
    """The load report that came with a response; None when there is none, or it cannot be read."""
    if LOAD_REPORT_HEADER not in headers:
        return None
    try:
        values = json.loads(headers[LOAD_REPORT_HEADER])
        numbers = {name: float(values[name]) for name in fields if name in values}
    except PARSE_ERRORS:
        return None
    return LoadReport.from_fields(numbers) if all(map(math.isfinite, numbers.values())) else None


def _parse_states(body: bytes | bytearray) -> dict[str, EventState]:
    """State by event id; unknown states are left out, and all of them when the body cannot be read."""
    try:
        return {
            row["id"]: state
            for row in json.loads(bytes(body))
            if (state := _STATE_BY_WORD.get(row["state"])) is not None
        }
    except PARSE_ERRORS:
        return {}
