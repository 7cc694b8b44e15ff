"""Submissions of clients: which are accepted, and which responses the others get."""

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path_factory.mktemp("served"), endpoint) as node:
        node.endpoint = endpoint
        yield node


@pytest.mark.parametrize(
    "request_bytes, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (b"POST /notice HTTP/1.1\r\nHost: n\r\nX: " + b"y" * 40000, 431),
        (b"POST /notice HTTP/1.1\r\nHost: n\r\nContent-Length: 70000\r\n\r\n" + bytes(66000), 413),
        (b"POST /notice HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /notice HTTP/1.1\r\nHost: n\r\nContent-Length: -5\r\n\r\n", 400),
        (b"POST /notice HTTP/1.1\r\nHost: n\r\nContent-Length: 99999999999999999999\r\n\r\n", 413),
        (b"GET /elsewhere HTTP/1.1\r\nHost: n\r\n\r\n", 404),
    ],
)
def test_malformed_requests_get_an_error_status(node, request_bytes, status):
    assert int(node.raw(request_bytes).split()[1]) == status
    assert node.submit() == 202


@pytest.mark.parametrize(
    "changed_header, status",
    [
        ({"X-Remaining": "soon"}, 400),
        ({"X-Remaining": None}, 400),
        ({"X-Txn": ""}, 400),
        ({"X-Txn": "a b"}, 400),
        ({"X-Route-To": "dest=seven"}, 400),
        ({"x-txn": "evt-other"}, 400),
        ({"X-Remaining": "0m"}, 400),
        ({"X-Remaining": "99999999999m"}, 400),
        ({"x-lane": "notice"}, 400),
        ({"X-Lane": "other"}, 400),
        ({"Idempotency-Key": "k" * 201}, 400),
        ({"X-Remaining": "-5m"}, 400),
    ],
)
def test_invalid_headers_are_rejected_with_400(node, changed_header, status):
    assert node.submit(body=b"of no use", **changed_header) == status
    assert b"of no use" not in node.log_path().read_bytes()


def test_an_incomplete_request_is_not_logged(node):
    for byte_count in (1, 40, -1):
        with node.open() as conn:
            conn.sendall(node.submission_request(body=b"half of it")[:byte_count])
    with node.open() as conn:
        assert exchange(conn, node.submission_request(body=b"half of it")[:-1]).startswith(b"HTTP/1.1 408")
    assert node.submit() == 202 and b"half of" not in node.log_path().read_bytes()


def test_an_unknown_destination_is_rejected_until_an_endpoint_list_contains_it(node):
    assert b"\r\nRetry-After: 0.500\r\n" in node.raw(
        node.submission_request(destination=99, body=b"of no use")
    )
    assert node.submit(destination=99) == 503 and b"of no use" not in node.log_path().read_bytes()
    new_endpoint = FakeEndpoint(ident="s-99", cell=99)
    wait_until(lambda: node.discovery.watches)
    node.discovery.send_change(new_endpoint.entry())
    wait_until(lambda: node.submit(destination=99) == 202)
    wait_until(lambda: new_endpoint.calls)


def test_a_request_hidden_in_the_body_of_another_is_not_accepted(node):
    hidden_request = node.submission_request(ident="hidden")
    request = node.submission_request(
        body=b"0\r\n\r\n" + hidden_request, ident="outer", **{"Transfer-Encoding": "chunked"}
    )
    assert node.raw(request).startswith(b"HTTP/1.1 400") and node.submit() == 202
    assert b"hidden" not in node.log_path().read_bytes() and b"outer" not in node.log_path().read_bytes()


def test_a_client_gets_the_error_although_it_still_sends_sixty_megabytes(node):
    with node.open() as conn:
        conn.sendall(node.submission_request(**{"Content-Length": 60_000_000}))
        for _ in range(60):
            conn.sendall(bytes(1_000_000))
        assert conn.recv(999).startswith(b"HTTP/1.1 413")
    assert node.submit() == 202


def test_a_submission_repeated_after_the_final_outcome_is_not_sent_again(node):
    for _ in range(2):
        assert node.submit("once", ident="crossed") == 202
        wait_until(lambda: node.has_logged_end("crossed"))
    assert node.endpoint.event_ids().count("crossed") == 1


def test_the_longest_ids_are_accepted_and_delivered(node):
    assert node.submit("posting", bytes(65536), ident="i" * 200, **{"Idempotency-Key": "k" * 200}) == 202
    wait_until(lambda: node.has_logged_end("i" * 200))


def test_several_requests_on_one_connection_are_accepted(node):
    with node.open() as conn:
        for _ in range(3):
            assert exchange(conn, node.submission_request()).startswith(b"HTTP/1.1 202")
