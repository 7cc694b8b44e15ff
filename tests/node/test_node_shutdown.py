"""SIGTERM: graceful shutdown."""

import signal
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until


def test_after_sigterm_events_are_briefly_accepted_and_sent_until_the_exit(tmp_path):
    slow_endpoint = FakeEndpoint(lambda _body: (time.sleep(0.25), 200)[1])
    with NodeProcess(tmp_path, slow_endpoint, Domain={"CallsOut": 1}, Permissions={"MaxOpen": 50}) as node:
        for _ in range(20):
            assert node.submit(left="5000m") == 202
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert node.submit(left="5000m", ident="crossed") == 202
        time.sleep(0.6)
        assert node.raw(node.submission_request()).startswith(b"HTTP/1.1 503")
        began_at = time.monotonic() - 0.8
        assert node.process.wait(timeout=5) == 0 and time.monotonic() - began_at < 3.6
        assert max(at for at, *_ in slow_endpoint.calls) - began_at > 2.4
        node.start()
        wait_until(lambda: "crossed" in slow_endpoint.event_ids())


def test_after_sigterm_open_requests_are_answered_and_the_exit_is_in_time(tmp_path):
    endpoint = FakeEndpoint(200, None)
    with NodeProcess(tmp_path, endpoint) as node:
        conns = [node.open() for _ in range(3)]
        for conn in conns:
            assert exchange(conn, node.submission_request("once")).startswith(b"HTTP/1.1 202")
        incomplete = node.open()
        incomplete.sendall(node.submission_request("once")[:-2])
        time.sleep(0.3)
        began_at = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        incomplete.sendall(b"lo")
        assert incomplete.recv(999).startswith(b"HTTP/1.1 202")
        assert [conn.recv(9) for conn in conns] == [b""] * 3
        assert node.process.wait(timeout=5) == 0 and time.monotonic() - began_at < 3.6
        assert len(endpoint.calls) > 1
        sent_count = len(set(endpoint.event_ids()))
        endpoint.script[:] = [200]
        node.start()
        wait_until(lambda: len(node.final_outcomes()) == sent_count - 1)
        assert set(node.final_outcomes().values()) == {"given_up"}
        assert len(endpoint.event_ids()) == len(set(endpoint.event_ids()))
