"""Parsing of requests into events, and the statuses of invalid requests."""

import zlib

import h11
import pytest

from swiftthread.server.messages import BadRequest
from swiftthread.server.submission import Request, parse_head, parse_submission

HEADERS = {
    "Host": "n",
    "X-Txn": "evt-1",
    "X-Lane": "once",
    "X-Remaining": "4000m",
    "X-Route-To": "dest=7",
    "Content-Length": "4",
}
RECEIVED_AT_MS = 1000.0


def head_of(method="POST", target="/once", extra=(), **headers):
    """Return the parsed head of a request; a header given as None is left out."""
    named = HEADERS | {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = [(name, value) for name, value in named.items() if value is not None]
    return parse_head(h11.Request(method=method, target=target, headers=[*pairs, *extra]))


def submission(**head):
    return parse_submission(Request(head_of(**head), b"body", RECEIVED_AT_MS), {"once": 0})


def status_of(**head):
    with pytest.raises(BadRequest) as raised:
        submission(**head)
    return raised.value.status


def test_a_submission_with_all_headers_is_parsed():
    pending = submission(Idempotency_Key="key", X_Org="tenant", X_Entity="entity")
    assert pending.event_id == "evt-1"
    assert pending.idempotency_key == "key"
    assert pending.stream_type == "once"
    assert pending.destination == 7
    assert pending.expires_at == RECEIVED_AT_MS + 4000.0
    assert pending.tenant == "tenant"
    assert pending.ordering_key == zlib.crc32(b"entity") + 1
    assert pending.body == b"body"


def test_a_submission_with_only_required_headers_is_parsed():
    pending = submission(X_Lane=None)
    assert pending.idempotency_key == ""
    assert pending.tenant is None
    assert pending.ordering_key == 0


def test_an_entity_in_the_path_takes_precedence_over_the_header():
    pending = submission(target="/once/first?query", X_Entity="second")
    assert pending.stream_type == "once"
    assert pending.ordering_key == zlib.crc32(b"first") + 1


@pytest.mark.parametrize("remaining, milliseconds", [("250.5m", 250.5), ("1500u", 1.5)])
def test_remaining_time_is_read_in_milliseconds_or_microseconds(remaining, milliseconds):
    assert submission(X_Remaining=remaining).expires_at == RECEIVED_AT_MS + milliseconds


@pytest.mark.parametrize(
    "head",
    [
        {"X_Txn": None},
        {"X_Txn": "with space"},
        {"X_Txn": "x" * 201},
        {"X_Lane": "other"},
        {"X_Lane": ""},
        {"X_Remaining": None},
        {"X_Remaining": "4000"},
        {"X_Remaining": "-1m"},
        {"X_Route_To": None},
        {"X_Route_To": "dest=x"},
        {"X_Route_To": "mydest=7"},
        {"Idempotency_Key": "with space"},
        {"extra": [("X-Txn", "evt-1")]},
        {"extra": [("Transfer-Encoding", "chunked")]},
    ],
)
def test_a_malformed_submission_is_rejected_with_400(head):
    assert status_of(**head) == 400


@pytest.mark.parametrize("head", [{"method": "GET"}, {"target": "/other"}, {"target": "/"}])
def test_a_request_without_a_known_stream_type_is_rejected_with_404(head):
    assert status_of(**head) == 404


def test_a_content_length_above_the_limit_is_rejected_with_413_before_the_body():
    assert head_of(Content_Length="65536")
    with pytest.raises(BadRequest) as raised:
        head_of(Content_Length="65537")
    assert raised.value.status == 413


@pytest.mark.parametrize(
    "method, target, is_health_check",
    [
        ("GET", "/_health", True),
        ("GET", "/_health?now", True),
        ("POST", "/_health", False),
        ("GET", "/", False),
    ],
)
def test_only_get_requests_for_the_health_path_are_health_checks(method, target, is_health_check):
    head = head_of(method=method, target=target)
    assert Request(head, b"", RECEIVED_AT_MS).is_health_check() == is_health_check
