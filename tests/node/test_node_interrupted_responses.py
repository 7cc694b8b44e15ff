"""Responses of an endpoint that are incomplete, or that arrive when their event has expired."""

import signal
import socket
import struct
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


@pytest.mark.parametrize("first_bytes", [b"HTTP/1.1 2", b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r"])
@pytest.mark.parametrize("is_reset", [False, True])
def test_an_incomplete_first_line_acks_nothing_if_the_connection_is_closed_or_reset(
    tmp_path, first_bytes, is_reset
):
    def send_incomplete_line(conn):
        conn.sendall(first_bytes)
        if is_reset:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    endpoint = FakeEndpoint(lambda _body: send_incomplete_line, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit("once") == node.submit("notice") == 202
        wait_until(lambda: not node.pending_event_ids())
        assert len(endpoint.calls) == 2 + (endpoint.event_ids()[0] == "evt-2")
        assert node.final_outcomes() == ({"evt-1": "given_up"} if endpoint.event_ids()[0] == "evt-1" else {})


@pytest.mark.parametrize("is_late", [False, True])
def test_a_response_acks_only_if_it_arrived_before_the_event_expired_even_if_it_is_read_later(
    tmp_path, is_late
):
    """Found in the fleet run "mill-once, roll+brink".

    An unresponsive endpoint responded just as an event expired, and the event was lost.
    """
    expiry_times = []

    def respond(conn):
        wait_until(lambda: time.monotonic() > expiry_times[0] + (0.1 if is_late else -0.6))
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    endpoint = FakeEndpoint(lambda _body: respond)
    with NodeProcess(tmp_path, endpoint) as node:
        expiry_times.append(time.monotonic() + 1.5)
        assert node.submit("once", left="1500m") == 202
        wait_until(lambda: endpoint.calls)
        node.process.send_signal(signal.SIGSTOP)
        wait_until(lambda: time.monotonic() > expiry_times[0] + 0.3)
        node.process.send_signal(signal.SIGCONT)
        wait_until(lambda: not node.pending_event_ids())
        assert node.final_outcomes() == ({"evt-1": "given_up"} if is_late else {})
