"""Requests parsed from bytes as they arrive, and bounds on what one request may cost."""

import pytest

from swiftthread.server.messages import BadRequest
from swiftthread.server.request_parser import (
    MAX_CHUNKS,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_PARTS_PER_CALL,
    RequestParser,
)
from swiftthread.server.submission import MAX_BODY_BYTES

HEAD = b"POST /once HTTP/1.1\r\nHost: n\r\nX-Txn: evt-1\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def head_with_length(length):
    return HEAD + b"Content-Length: %d\r\n\r\n" % length


def all_requests(parser):
    """Return the complete requests, however many calls they take."""
    requests = []
    while parser.has_input:
        request = parser.next_request()
        if request is not None:
            requests.append(request)
    return requests


def status_of(data, piece_bytes=16 * 1024):
    """Return the error status with which the data is rejected, in reads of `piece_bytes`."""
    parser = RequestParser()
    with pytest.raises(BadRequest) as raised:
        for begin in range(0, len(data), piece_bytes):
            parser.receive(data[begin : begin + piece_bytes])
            all_requests(parser)
    return raised.value.status


@pytest.mark.parametrize("piece_bytes", [1, 7, 100_000])
@pytest.mark.parametrize(
    "data, body",
    [
        (head_with_length(4) + b"body", b"body"),
        (head_with_length(0), b""),
        (CHUNKED_HEAD + b"3\r\nbod\r\n1;extension\r\ny\r\n0\r\nTrailer: x\r\n\r\n", b"body"),
        (head_with_length(4).replace(b"\r\n", b"\n") + b"body", b"body"),
    ],
)
def test_a_request_is_complete_whatever_the_pieces_in_which_it_arrives(data, body, piece_bytes):
    parser = RequestParser()
    requests = []
    for begin in range(0, len(data), piece_bytes):
        parser.receive(data[begin : begin + piece_bytes])
        requests += all_requests(parser)
    assert [request.body for request in requests] == [body]
    assert requests[0].head.header(b"x-txn") == "evt-1" and requests[0].allows_next_request
    assert not parser.has_begun and parser.held_bytes == 0


def test_pipelined_requests_are_returned_one_by_one():
    parser = RequestParser()
    parser.receive(head_with_length(1) + b"a" + head_with_length(1) + b"b" + HEAD)
    assert [parser.next_request().body for _ in range(2)] == [b"a", b"b"]
    assert parser.next_request() is None
    assert parser.has_begun and not parser.has_input and parser.held_bytes == len(HEAD)


def test_a_client_that_closes_does_not_allow_a_next_request():
    parser = RequestParser()
    parser.receive(HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
    assert not parser.next_request().allows_next_request


def test_headers_that_the_server_does_not_use_are_not_kept():
    parser = RequestParser()
    parser.receive(HEAD + b"X-Other: value\r\nContent-Length: 0\r\n\r\n")
    assert parser.next_request().head.headers == {b"x-txn": b"evt-1"}


@pytest.mark.parametrize("is_complete", [False, True])
def test_a_head_of_very_many_fields_is_rejected_before_it_is_parsed(monkeypatch, is_complete):
    """Parsing 600 of them took the event loop three seconds."""
    monkeypatch.setattr("h11.Connection", None)
    data = HEAD + b"a:\r\n" * (MAX_HEADERS + 1) + (b"\r\n" if is_complete else b"")
    assert status_of(data) == 431


def test_as_many_headers_as_allowed_are_accepted():
    parser = RequestParser()
    parser.receive(HEAD + b"a:\r\n" * (MAX_HEADERS - 3) + b"Content-Length: 0\r\n\r\n")
    assert parser.next_request() is not None


@pytest.mark.parametrize("end", [b"", b"\r\n\r\n"])
def test_a_head_that_is_too_long_is_rejected(end):
    assert status_of(HEAD + b"X: " + b"x" * MAX_HEAD_BYTES + end) == 431


def test_a_body_that_is_too_long_is_rejected():
    assert status_of(head_with_length(MAX_BODY_BYTES + 1)) == 413
    chunk = b"%x\r\n%s\r\n" % (MAX_BODY_BYTES + 1, bytes(MAX_BODY_BYTES + 1))
    assert status_of(CHUNKED_HEAD + chunk) == 413


@pytest.mark.parametrize(
    "framing",
    [
        b"1\r\nx\r\n" * (MAX_CHUNKS + 1),
        (b"1;" + b"e" * 200 + b"\r\nx\r\n") * (MAX_FRAMING_BYTES // 200 + 1),
    ],
    ids=["chunks", "extensions"],
)
def test_a_body_in_too_many_parts_is_rejected(framing):
    assert status_of(CHUNKED_HEAD + framing) == 400


def test_one_call_handles_only_some_of_the_parts_that_have_arrived():
    """A read with 16 KiB of one-byte chunks held up the event loop for 27 ms."""
    parser = RequestParser()
    parser.receive(CHUNKED_HEAD + b"1\r\nx\r\n" * (2 * MAX_PARTS_PER_CALL) + b"0\r\n\r\n")
    calls = 1
    while (request := parser.next_request()) is None:
        assert parser.has_input
        calls += 1
    assert request.body == b"x" * (2 * MAX_PARTS_PER_CALL) and calls == 3


@pytest.mark.parametrize("data", [b"\r\n\r\n", b" GET", b"nonsense\r\n\r\n", b"\x16\x03\x01\x02\x00"])
def test_bytes_that_are_no_request_are_rejected(data):
    assert status_of(data) == 400


def test_a_body_and_a_transfer_encoding_are_ambiguous():
    assert status_of(HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n") == 400
