"""The result of each event in a call, derived from the response to the call."""

import json
from types import SimpleNamespace

import pytest

from swiftthread.client.endpoint_response import (
    CompletedCall,
    parse_load_report,
    parse_retry_after_ms,
    read_results,
)
from swiftthread.client.http_exchange import HttpResponse
from swiftthread.routing.messages import LoadReport, SendOutcome

EXPIRES_AT = 100.0  # Unix ms


def response_of(status, headers=None, body=b"", is_complete=True, has_trailing_bytes=False):
    response = HttpResponse()
    response.status = status
    response.first_line_status = status
    response.headers = headers or {}
    response.body = bytearray(body)
    response.has_begun = status is not None
    response.is_complete = is_complete
    response.has_trailing_bytes = has_trailing_bytes
    return response


def results_of(response, event_count=1, outcome=SendOutcome.TIMED_OUT, received_at=0.0):
    events = [
        SimpleNamespace(event_id=f"evt-{number}", expires_at=EXPIRES_AT) for number in range(event_count)
    ]
    call = CompletedCall(outcome, 5.0, received_at)
    return read_results(response, call, events, event_count, ("x0", "x1"))


@pytest.mark.parametrize(
    "status, headers, outcome",
    [
        (200, {}, SendOutcome.ACKED),
        (400, {}, SendOutcome.NOT_EXECUTED),
        (404, {}, SendOutcome.FAILED),
        (410, {}, SendOutcome.NOT_EXECUTED),
        (413, {}, SendOutcome.NOT_EXECUTED),
        (429, {}, SendOutcome.RATE_LIMITED),
        (500, {}, SendOutcome.FAILED),
        (503, {}, SendOutcome.RATE_LIMITED),
        (503, {"x-egress-full": "1"}, SendOutcome.NOT_EXECUTED),
        (504, {}, SendOutcome.NOT_EXECUTED),
    ],
)
def test_the_status_of_a_call_with_one_event_determines_the_outcome(status, headers, outcome):
    (result,) = results_of(response_of(status, headers))
    assert (result.outcome, result.latency_ms) == (outcome, 5.0)
    assert result.is_event_finished == (status in (200, 410))


@pytest.mark.parametrize(
    "headers, outcome",
    [
        ({"connection": "Close"}, SendOutcome.CONNECTION_LIMIT),
        ({"connection": "keep-alive"}, SendOutcome.RATE_LIMITED),
        ({"connection": "close", "retry-after": "1"}, SendOutcome.RATE_LIMITED),
        ({"connection": "close", "x-egress-full": "1"}, SendOutcome.NOT_EXECUTED),
    ],
)
def test_a_503_that_closes_its_connection_means_a_connection_limit(headers, outcome):
    (result,) = results_of(response_of(503, headers))
    assert result.outcome == outcome


def test_a_first_line_with_200_acks_a_single_event_even_if_the_rest_is_missing():
    (result,) = results_of(response_of(200, is_complete=False), outcome=SendOutcome.RESET)
    assert result.outcome == SendOutcome.ACKED and result.is_event_finished


def test_an_event_may_have_run_if_bytes_follow_the_response():
    (result,) = results_of(response_of(410, has_trailing_bytes=True))
    assert result.outcome == SendOutcome.RESET and not result.is_event_finished


def test_an_incomplete_response_does_not_change_the_outcome_of_the_call():
    (result,) = results_of(response_of(500, is_complete=False), outcome=SendOutcome.UNREACHABLE)
    assert result.outcome == SendOutcome.UNREACHABLE and not result.is_event_finished


def test_an_ack_after_the_expiry_counts_as_a_time_out():
    (on_time,) = results_of(response_of(200), received_at=EXPIRES_AT)
    (late,) = results_of(response_of(200), received_at=EXPIRES_AT + 1.0)
    assert on_time.outcome == SendOutcome.ACKED
    assert late.outcome == SendOutcome.TIMED_OUT and not late.is_event_finished


def test_each_event_of_a_batch_has_the_outcome_of_its_state_in_the_response():
    states = ["done", "failed", "busy", "void", "used_up", "other"]
    entries = [{"id": f"evt-{number}", "state": state} for number, state in enumerate(states)]
    results = results_of(response_of(200, body=json.dumps(entries).encode()), event_count=len(states) + 1)
    assert [result.outcome for result in results] == [
        SendOutcome.ACKED,
        SendOutcome.FAILED,
        SendOutcome.RATE_LIMITED,
        SendOutcome.NOT_EXECUTED,
        SendOutcome.NOT_EXECUTED,
        SendOutcome.RESET,  # its state is unknown
        SendOutcome.RESET,  # the response leaves it out
    ]
    assert [result.is_event_finished for result in results] == [True, False, False, True, False, False, False]


def test_an_incomplete_batch_response_acks_no_event():
    """Events of a batch are acknowledged only by a complete response.

    Five messages were lost while responses were truncated. All five had been sent in one call; its truncated
    response, logged as "status 200 complete False ... states done", was treated as their acks.
    """
    entries = [
        {"id": f"evt-{number}", "state": state} for number, state in enumerate(["done", "busy", "void"])
    ]
    response = response_of(200, body=json.dumps(entries).encode(), is_complete=False)
    results = results_of(response, event_count=3, outcome=SendOutcome.RESET)
    assert [result.outcome for result in results] == [SendOutcome.RESET] * 3
    assert not any(result.is_event_finished for result in results)


@pytest.mark.parametrize("body", [b"", b"{", b"7", b'[{"id": "evt-0"}]', b'[{"id": "evt-0", "state": []}]'])
def test_a_batch_response_that_cannot_be_parsed_counts_as_a_reset(body):
    results = results_of(response_of(200, body=body), event_count=2)
    assert [result.outcome for result in results] == [SendOutcome.RESET] * 2


@pytest.mark.parametrize(
    "value, wait_ms", [("0.3", 300.0), ("2", 2000.0), ("-1", 0.0), ("nan", 0.0), ("inf", 0.0), ("soon", 0.0)]
)
def test_a_retry_after_that_is_not_a_positive_number_counts_as_missing(value, wait_ms):
    assert parse_retry_after_ms({"retry-after": value}) == wait_ms
    assert parse_retry_after_ms({}) == 0.0


@pytest.mark.parametrize(
    "value, report",
    [
        ('{"x0": 0.5, "x1": 3}', LoadReport(0.5, 3.0)),
        ('{"x0": 0.5}', LoadReport(0.5, 0.0)),
        ("{}", None),
        ('{"x0": NaN}', None),
        ('{"x0": "much"}', None),
        ("[]", None),
        ("7", None),
        ("{", None),
    ],
)
def test_a_load_report_needs_finite_numbers(value, report):
    assert parse_load_report({"x-pressure": value}, ("x0", "x1")) == report
