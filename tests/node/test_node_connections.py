"""Connections to endpoints: reuse, rejection, and whose they are."""

import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


@pytest.mark.parametrize("more", [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"\x00noise"])
@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_bytes_after_a_good_answer_never_answer_the_next_event(tmp_path, more, pause):
    def answer(conn):
        conn.sendall(
            b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Pressure: {\r\nContent-Length: 0\r\n\r\n"
            + more * (not pause)
        )
        time.sleep(pause)
        conn.sendall(more * (pause > 0))
        time.sleep(3)

    endpoint = FakeEndpoint(*[lambda _body: answer] * 3, 500)
    with NodeProcess(tmp_path, endpoint) as node:
        for number in range(1, 5):
            assert node.submit("once") == 202
            wait_until(lambda: node.has_logged_end(f"evt-{number}"))
            time.sleep(2 * pause)
        assert len(endpoint.calls) == endpoint.accepted == 4 and node.final_outcomes() == {
            "evt-4": "given_up"
        }


def test_an_endpoint_at_another_s_address_gets_none_of_its_connections(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        for ident in ("s-1", "s-2"):
            for _ in range(16):  # so busy that connections are kept
                assert node.submit() == 202
            wait_until(lambda: len(endpoint.calls) == (16 if ident == "s-1" else 32))
            if ident == "s-1":
                opened = endpoint.accepted
            node.discovery.send_change(endpoint.entry("DELETED"), endpoint.entry() | {"id": "s-2"})
            time.sleep(0.2)
        assert endpoint.accepted > opened


def test_a_rejected_connection_is_no_rejection_by_the_rate_limit(tmp_path):
    """Endpoints that hold few connections close a new one with a 503.

    Were it a refusal, the fifth call would come after the event's time: one in a second halves the two calls
    a second of one of 200 nodes.
    """
    endpoint = FakeEndpoint(*[(503, [("Connection", "close")], b"")] * 4, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=40.0)
    with NodeProcess(tmp_path, endpoint, Balancers=200, Weights="nominal") as node:
        assert node.submit() == 202
        wait_until(lambda: node.has_logged_end("evt-1"))
        assert node.final_outcomes() == {} and len(endpoint.calls) == 5


def test_an_event_whose_connect_failed_may_go_elsewhere(tmp_path):
    closed, open_ = FakeEndpoint(ident="s-2"), FakeEndpoint()
    closed.shut_down()
    with NodeProcess(tmp_path, closed, open_) as node:
        for number in range(1, 5):
            assert node.submit("once") == 202
            wait_until(lambda: len(open_.calls) == number)
        assert node.stop() == 0 and node.final_outcomes() == {}


def test_an_idle_connection_is_reused_but_not_near_its_idle_timeout(tmp_path):
    endpoint = FakeEndpoint(idle_s=1.0)
    with NodeProcess(tmp_path, endpoint, Permissions={"Keepalive": 1.0}) as node:
        opened = []
        for number, pause in enumerate([0.0] * 80 + [0.9, 0.9], 1):
            time.sleep(pause)
            assert node.submit("once") == 202
            wait_until(lambda: node.has_logged_end(f"evt-{number}"))
            opened.append(endpoint.accepted)
        assert opened[-1] == opened[-2] + 1 == opened[-3] + 2 == opened[-5] + 2
        assert (len(endpoint.calls), node.final_outcomes()) == (82, {})
