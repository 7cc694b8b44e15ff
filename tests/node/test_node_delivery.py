"""Delivery attempts and their outcomes: which events are retried, and how responses are interpreted."""

import time
from itertools import pairwise

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_an_acked_event_is_not_sent_again_after_a_restart(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("posting", b"\x00any\xff", **{"Idempotency-Key": "k-1"}) == 202
        wait_until(lambda: endpoint.calls)
        _, target, headers, body = endpoint.calls[0]
        assert (target, headers["x-txn"], headers["idempotency-key"], body) == (
            "/receive",
            "evt-1",
            "k-1",
            b"\x00any\xff",
        )
        assert headers["x-remaining"][-1] == "m" and 0 < int(headers["x-remaining"][:-1]) <= 4000
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert node.stop() == 0
        assert node.start().stop() == 0 and len(endpoint.calls) == 1 and node.final_outcomes() == {}


@pytest.mark.parametrize(
    "first_response",
    [
        503,
        500,
        "reset",
        b"HTTP/1.1 lots of nonsense\r\n\r\n",
        b"",
        b"HTTP/1.1 503 Full\r\nX: " + b"y" * 70000,
        (429, [("Retry-After", "soon")], b""),
    ],
)
def test_an_idempotent_event_is_retried_after_any_failure(tmp_path, first_response):
    endpoint = FakeEndpoint(first_response, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 2)
        assert node.stop() == 0 and node.final_outcomes() == {}


@pytest.mark.parametrize(
    "first_response, call_count, final_outcomes",
    [
        (503, 2, {}),
        (500, 1, {"evt-1": "given_up"}),
        ("reset", 1, {"evt-1": "given_up"}),
        (410, 1, {}),
        (504, 2, {}),
    ],
)
def test_a_non_idempotent_event_is_retried_only_if_it_never_ran(
    tmp_path, first_response, call_count, final_outcomes
):
    endpoint = FakeEndpoint(first_response, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("once") == 202
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert len(endpoint.calls) == call_count and node.final_outcomes() == final_outcomes


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: nine\r\n\r\n",
        b"X: " + b"y" * 70000,
        b"Content-Length: 3000000000\r\n\r\n" + bytes(200000),
        b"\x00\xff\r\n\r\n",
        b"Content-Length: 50\r\n\r\nshort",
    ],
    ids=range(5),
)
def test_a_malformed_response_acks_with_status_200_and_otherwise_the_event_may_have_run(tmp_path, rest):
    def malformed_response(first_line):
        return lambda _body: lambda conn: (conn.sendall(first_line + b"\r\n" + rest), time.sleep(3))

    endpoint = FakeEndpoint(
        malformed_response(b"HTTP/1.1 200 OK"), malformed_response(b"HTTP/1.1 503 Full"), 200
    )
    with NodeProcess(tmp_path, endpoint) as node:
        began_at = time.monotonic()
        assert node.submit("once") == 202
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert node.final_outcomes() == {} and node.submit("once") == 202
        wait_until(lambda: node.final_outcomes() == {"evt-2": "given_up"})
        assert time.monotonic() - began_at < 1.5 and len(endpoint.calls) == endpoint.accepted == 2


def test_an_unresponsive_endpoint_times_out_and_is_health_checked_before_the_retry(tmp_path):
    endpoint = FakeEndpoint(None, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        began_at = time.monotonic()
        assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 2)
        assert endpoint.health_check_count == 1 and endpoint.calls[1][0] - began_at > 1.0
        assert endpoint.event_ids() == ["evt-1", "evt-1"]


def test_events_that_cannot_be_sent_are_rejected_before_they_expire(tmp_path):
    endpoint = FakeEndpoint()
    endpoint.shut_down()
    with NodeProcess(tmp_path, endpoint) as node:
        began_at = time.monotonic()
        assert node.submit("once", left="700m") == 202 and node.submit("posting", left="500000u") == 202
        node.discovery.failing_notification_count = 2
        wait_until(lambda: node.final_outcomes() == {"evt-1": "handed_back", "evt-2": "handed_back"})
        assert 0.4 < time.monotonic() - began_at < 1.3
        assert all(notification["retry_in_ms"] > 0 for notification in node.discovery.notifications)


def test_ordered_events_are_sent_one_at_a_time_in_the_order_accepted(tmp_path):
    def respond_slowly(_body):
        time.sleep(0.1)
        return 200

    endpoint = FakeEndpoint("reset", respond_slowly)
    with NodeProcess(tmp_path, endpoint) as node:
        for _ in range(3):
            assert node.submit("turn/till-7") == 202
        wait_until(lambda: len(endpoint.calls) == 4)
        assert endpoint.event_ids() == ["evt-1", "evt-1", "evt-2", "evt-3"]
        assert all(later[0] - earlier[0] >= 0.1 for earlier, later in pairwise(endpoint.calls[1:]))
