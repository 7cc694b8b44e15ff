"""Responses of an endpoint that break off, or arrive when their event's time is up."""

import signal
import socket
import struct
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


@pytest.mark.parametrize("first_bytes", [b"HTTP/1.1 2", b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r"])
@pytest.mark.parametrize("is_reset", [False, True])
def test_half_a_first_line_acks_nothing_whether_it_ends_or_is_reset(tmp_path, first_bytes, is_reset):
    def half_a_line(conn):
        conn.sendall(first_bytes)
        if is_reset:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    endpoint = FakeEndpoint(lambda _body: half_a_line, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("once") == node.submit("notice") == 202
        wait_until(lambda: not node.pending_event_ids())
        assert len(endpoint.calls) == 2 + (endpoint.event_ids()[0] == "evt-2")
        assert node.final_outcomes() == ({"evt-1": "given_up"} if endpoint.event_ids()[0] == "evt-1" else {})


@pytest.mark.parametrize("is_late", [False, True])
def test_a_response_that_came_past_its_event_s_end_acks_nothing_however_late_it_is_read(tmp_path, is_late):
    """mill-once, roll+brink.

    An endpoint that had hung answered in the instant in which an event expired, and the event was lost.
    """
    expiry_times = []

    def answer(conn):
        wait_until(lambda: time.monotonic() > expiry_times[0] + (0.1 if is_late else -0.6))
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    endpoint = FakeEndpoint(lambda _body: answer)
    with NodeProcess(tmp_path, endpoint) as node:
        expiry_times.append(time.monotonic() + 1.5)
        assert node.submit("once", left="1500m") == 202
        wait_until(lambda: endpoint.calls)
        node.process.send_signal(signal.SIGSTOP)
        wait_until(lambda: time.monotonic() > expiry_times[0] + 0.3)
        node.process.send_signal(signal.SIGCONT)
        wait_until(lambda: not node.pending_event_ids())
        assert node.final_outcomes() == ({"evt-1": "given_up"} if is_late else {})
