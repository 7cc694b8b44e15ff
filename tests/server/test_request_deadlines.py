"""Requests that the node reads late: those that arrive while its process stands still."""

import json
import signal
import struct
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.storage.records import ACCEPTED, scan_records


@pytest.mark.parametrize("is_accepted", [False, True])
def test_who_has_asked_when_a_shutdown_ends_is_answered(tmp_path, is_accepted):
    """What came on a connection, accepted or still in the listener's queue, while the process stood still."""
    with NodeProcess(tmp_path, FakeEndpoint()) as node:
        client = node.open() if is_accepted else None
        if is_accepted:
            wait_until(lambda: client.sendall(node.submission_request("once", b"")[:1]) is None)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)  # of the 0.6 s in which a shutdown answers whatever comes
        node.process.send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        client = client or node.open()
        client.sendall(node.submission_request("once", b"", ident="asks")[is_accepted:])
        wait_until(lambda: time.monotonic() - stopped_at > 0.8)
        node.process.send_signal(signal.SIGCONT)
        assert client.recv(99).startswith((b"HTTP/1.1 503", b"HTTP/1.1 202"))
        client.close()
        assert node.process.wait(timeout=5) == 0


def test_remaining_time_counts_from_when_a_request_came_and_not_from_when_it_is_read(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint) as node:
        with node.open() as client:
            client.sendall(node.submission_request("once", b"", left="9000m"))  # accepted, and known to ask
            assert client.recv(99).startswith(b"HTTP/1.1 202")
            node.process.send_signal(signal.SIGSTOP)
            came_at = time.time()
            client.sendall(node.submission_request("once", b"", left="4000m"))
            wait_until(lambda: time.time() > came_at + 0.4)
            node.process.send_signal(signal.SIGCONT)
            assert client.recv(99).startswith(b"HTTP/1.1 202")
        row = next(
            json.loads(payload[4 : 4 + struct.unpack_from("<I", payload)[0]])
            for _, _, kind, payload in scan_records(node.log_path().read_bytes())
            if kind == ACCEPTED and b"evt-2" in payload
        )
        assert came_at * 1000.0 + 3900.0 < row[4] < came_at * 1000.0 + 4100.0
