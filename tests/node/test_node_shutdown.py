"""SIGTERM: graceful shutdown."""

import signal
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until


def test_sigterm_accepts_events_that_cross_it_and_sends_to_the_end(tmp_path):
    slow = FakeEndpoint(lambda _body: (time.sleep(0.25), 200)[1])
    with NodeProcess(tmp_path, slow, Domain={"CallsOut": 1}, Permissions={"MaxOpen": 50}) as node:
        for _ in range(20):
            assert node.submit(left="5000m") == 202
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert node.submit(left="5000m", ident="crossed") == 202
        time.sleep(0.6)
        assert node.raw(node.submission_request()).startswith(b"HTTP/1.1 503")
        began = time.monotonic() - 0.8
        assert node.process.wait(timeout=5) == 0 and time.monotonic() - began < 3.6
        assert max(at for at, *_ in slow.calls) - began > 2.4
        node.start()
        wait_until(lambda: "crossed" in slow.event_ids())


def test_sigterm_answers_what_was_read_and_ends_in_time(tmp_path):
    endpoint = FakeEndpoint(200, None)
    with NodeProcess(tmp_path, endpoint) as node:
        conns = [node.open() for _ in range(3)]
        for conn in conns:
            assert exchange(conn, node.submission_request("once")).startswith(b"HTTP/1.1 202")
        half = node.open()
        half.sendall(node.submission_request("once")[:-2])
        time.sleep(0.3)
        began = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        half.sendall(b"lo")
        assert half.recv(999).startswith(b"HTTP/1.1 202")
        assert [conn.recv(9) for conn in conns] == [b""] * 3
        assert node.process.wait(timeout=5) == 0 and time.monotonic() - began < 3.6
        assert len(endpoint.calls) > 1
        sent = len(set(endpoint.event_ids()))
        endpoint.script[:] = [200]
        node.start()
        wait_until(lambda: len(node.final_outcomes()) == sent - 1)
        assert set(node.final_outcomes().values()) == {"given_up"}
        assert len(endpoint.event_ids()) == len(set(endpoint.event_ids()))
