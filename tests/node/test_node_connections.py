"""Connections to endpoints: reuse, rejection, and the endpoint that they belong to."""

import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


@pytest.mark.parametrize("extra_bytes", [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"\x00noise"])
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_bytes_after_a_response_are_not_taken_for_the_response_to_the_next_event(
    tmp_path, extra_bytes, pause_s
):
    def respond(conn):
        conn.sendall(
            b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Pressure: {\r\nContent-Length: 0\r\n\r\n"
            + extra_bytes * (not pause_s)
        )
        time.sleep(pause_s)
        conn.sendall(extra_bytes * (pause_s > 0))
        time.sleep(3)

    endpoint = FakeEndpoint(*[lambda _body: respond] * 3, 500)
    with NodeProcess(tmp_path, endpoint) as node:
        for number in range(1, 5):
            assert node.submit("once") == 202
            wait_until(lambda: node.has_logged_end(f"evt-{number}"))
            time.sleep(2 * pause_s)
        assert len(endpoint.calls) == endpoint.accepted == 4 and node.final_outcomes() == {
            "evt-4": "given_up"
        }


def test_an_endpoint_at_the_address_of_a_removed_one_does_not_reuse_its_connections(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        for endpoint_id in ("s-1", "s-2"):
            for _ in range(16):  # enough events that connections are pooled
                assert node.submit() == 202
            wait_until(lambda: len(endpoint.calls) == (16 if endpoint_id == "s-1" else 32))
            if endpoint_id == "s-1":
                opened_before = endpoint.accepted
            node.discovery.send_change(endpoint.entry("DELETED"), endpoint.entry() | {"id": "s-2"})
            time.sleep(0.2)
        assert endpoint.accepted > opened_before


def test_a_rejected_connection_does_not_reduce_the_rate(tmp_path):
    """Endpoints with a low connection limit respond to a new connection with a 503 and close it.

    If this counted as a rejection by the rate limit, the last of eight calls would come after its event has
    expired: a single such rejection per second halves the rate of two calls per second that each of 200 nodes
    has. Each rejection is followed by an ack; without acks it would indicate an outage.
    """
    endpoint = FakeEndpoint(*[(503, [("Connection", "close")], b""), 200] * 4)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=40.0)
    with NodeProcess(tmp_path, endpoint, Balancers=200, Weights="nominal") as node:
        for _ in range(4):
            assert node.submit() == 202
        wait_until(lambda: all(node.has_logged_end(f"evt-{number}") for number in range(1, 5)))
        assert node.final_outcomes() == {} and len(endpoint.calls) == 8


def test_an_event_whose_connect_failed_is_sent_to_another_endpoint(tmp_path):
    closed_endpoint, open_endpoint = FakeEndpoint(ident="s-2"), FakeEndpoint()
    closed_endpoint.shut_down()
    with NodeProcess(tmp_path, closed_endpoint, open_endpoint) as node:
        for number in range(1, 5):
            assert node.submit("once") == 202
            wait_until(lambda: len(open_endpoint.calls) == number)
        assert node.stop() == 0 and node.final_outcomes() == {}


@pytest.mark.parametrize("stream_type", ["notice", "posting", "once", "turn"])
def test_each_call_has_a_connection_of_its_own_which_is_closed_after_it(tmp_path, stream_type):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        for number in range(1, 11):
            assert node.submit(stream_type, **{"Idempotency-Key": f"k-{number}"}) == 202
            wait_until(lambda: node.has_logged_end(f"evt-{number}"))
            assert endpoint.accepted == len(endpoint.calls) == number
        wait_until(lambda: all(conn.fileno() < 0 for conn in endpoint.conns))
        assert node.final_outcomes() == {}
