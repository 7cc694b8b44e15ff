"""Attempts and outcomes: what is retried, and what an answer says about its event."""

import time
from itertools import pairwise

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_an_event_is_acked_and_leaves_the_log(tmp_path):
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
    "first",
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
def test_an_idempotent_event_is_retried_whatever_the_first_answer(tmp_path, first):
    endpoint = FakeEndpoint(first, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 2)
        assert node.stop() == 0 and node.final_outcomes() == {}


@pytest.mark.parametrize(
    "first, calls, told",
    [
        (503, 2, {}),
        (500, 1, {"evt-1": "given_up"}),
        ("reset", 1, {"evt-1": "given_up"}),
        (410, 1, {}),
        (504, 2, {}),
    ],
)
def test_a_non_idempotent_event_is_retried_only_if_it_surely_did_not_run(tmp_path, first, calls, told):
    endpoint = FakeEndpoint(first, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("once") == 202
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert len(endpoint.calls) == calls and node.final_outcomes() == told


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
def test_a_malformed_answer_acks_if_its_first_line_says_200_and_else_may_have_run(tmp_path, rest):
    def spoilt(first):
        return lambda _body: lambda conn: (conn.sendall(first + b"\r\n" + rest), time.sleep(3))

    endpoint = FakeEndpoint(spoilt(b"HTTP/1.1 200 OK"), spoilt(b"HTTP/1.1 503 Full"), 200)
    with NodeProcess(tmp_path, endpoint) as node:
        began = time.monotonic()
        assert node.submit("once") == 202
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert node.final_outcomes() == {} and node.submit("once") == 202
        wait_until(lambda: node.final_outcomes() == {"evt-2": "given_up"})
        assert time.monotonic() - began < 1.5 and len(endpoint.calls) == endpoint.accepted == 2


def test_a_silent_endpoint_times_out_is_probed_and_never_has_two_attempts_of_an_event(tmp_path):
    endpoint = FakeEndpoint(None, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        began = time.monotonic()
        assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 2)
        assert endpoint.health_check_count == 1 and endpoint.calls[1][0] - began > 1.0
        assert endpoint.event_ids() == ["evt-1", "evt-1"]


def test_what_cannot_be_sent_is_rejected_before_its_max_age(tmp_path):
    endpoint = FakeEndpoint()
    endpoint.shut_down()
    with NodeProcess(tmp_path, endpoint) as node:
        began = time.monotonic()
        assert node.submit("once", left="700m") == 202 and node.submit("posting", left="500000u") == 202
        node.discovery.failing_notification_count = 2
        wait_until(lambda: node.final_outcomes() == {"evt-1": "handed_back", "evt-2": "handed_back"})
        assert 0.4 < time.monotonic() - began < 1.3
        assert all(row["retry_in_ms"] > 0 for row in node.discovery.notifications)


def test_ordered_events_are_sent_one_at_a_time_in_the_order_accepted(tmp_path):
    def slow(_body):
        time.sleep(0.1)
        return 200

    endpoint = FakeEndpoint("reset", slow)
    with NodeProcess(tmp_path, endpoint) as node:
        for _ in range(3):
            assert node.submit("turn/till-7") == 202
        wait_until(lambda: len(endpoint.calls) == 4)
        assert endpoint.event_ids() == ["evt-1", "evt-1", "evt-2", "evt-3"]
        assert all(later[0] - sooner[0] >= 0.1 for sooner, later in pairwise(endpoint.calls[1:]))
