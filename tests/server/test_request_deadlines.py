"""Requests that the node reads late, because they arrive while its process is suspended."""

import json
import signal
import struct
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.storage.records import ACCEPTED, scan_records


@pytest.mark.parametrize("is_accepted", [False, True])
def test_a_request_that_arrived_before_the_end_of_a_shutdown_is_answered(tmp_path, is_accepted):
    """The request arrives while the process is suspended, on a connection accepted or in the backlog."""
    with NodeProcess(tmp_path, FakeEndpoint()) as node:
        client = node.open() if is_accepted else None
        if is_accepted:
            wait_until(lambda: client.sendall(node.submission_request("once", b"")[:1]) is None)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)  # a shutdown accepts and answers requests for its first 0.6 s
        node.process.send_signal(signal.SIGSTOP)
        suspended_at = time.monotonic()
        client = client or node.open()
        client.sendall(node.submission_request("once", b"", ident="asks")[is_accepted:])
        wait_until(lambda: time.monotonic() - suspended_at > 0.8)
        node.process.send_signal(signal.SIGCONT)
        assert client.recv(99).startswith((b"HTTP/1.1 503", b"HTTP/1.1 202"))
        client.close()
        assert node.process.wait(timeout=5) == 0


def test_remaining_time_counts_from_the_arrival_of_a_request_and_not_from_its_read(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint) as node:
        with node.open() as client:
            # A first response shows that the node has accepted the connection and read from it.
            client.sendall(node.submission_request("once", b"", left="9000m"))
            assert client.recv(99).startswith(b"HTTP/1.1 202")
            node.process.send_signal(signal.SIGSTOP)
            sent_at = time.time()
            client.sendall(node.submission_request("once", b"", left="4000m"))
            wait_until(lambda: time.time() > sent_at + 0.4)
            node.process.send_signal(signal.SIGCONT)
            assert client.recv(99).startswith(b"HTTP/1.1 202")
        stored_event = next(
            json.loads(payload[4 : 4 + struct.unpack_from("<I", payload)[0]])
            for _, _, kind, payload in scan_records(node.log_path().read_bytes())
            if kind == ACCEPTED and b"evt-2" in payload
        )
        assert sent_at * 1000.0 + 3900.0 < stored_event[4] < sent_at * 1000.0 + 4100.0
