"""The deadlines of a send hold for its last byte, however late its connection is established."""

import signal
import socket
import time

import pytest
from support.fake_servers import FakeEndpoint, GatedEndpoint
from support.node_process import NodeProcess, wait_until

POSTING = {"Idempotency-Key": "k-1"}


def deduplicated_stream(group, window_s):
    """Returns the settings of a stream type that is deduplicated within a group and window."""
    return {
        "Name": "posting",
        "Effect": "dedup",
        "Aim": 1.5,
        "Deadline": 9.0,
        "Group": group,
        "Window": window_s,
    }


def slow_reading_endpoint(*script):
    """Returns an endpoint that can stop reading and has a small receive buffer."""
    endpoint = GatedEndpoint(*script)
    endpoint.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    endpoint.listener.listen(8)
    return endpoint


@pytest.mark.parametrize("group", ["zone", "all"])
def test_no_second_send_on_a_connection_established_after_the_deduplication_window(tmp_path, group):
    """A second send was decided in time, but its bytes were sent after the deduplication window.

    It was decided 4.7 s after the first send. Its connection was established late, so the bytes were sent
    5.7 s after the first send, although the window was 5.1 s.
    """
    endpoint = GatedEndpoint(lambda _body: (endpoint.stop_accepting(), time.sleep(1.25), "reset")[2], 200)
    streams = [deduplicated_stream(group, 2.2)]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 4.0}) as node:
        assert node.submit("posting", left="8000m", **POSTING) == 202
        wait_until(lambda: endpoint.calls and endpoint.connecting_count())
        endpoint.resume_accepting()
        wait_until(lambda: b'E["evt-1"]' in node.log_path().read_bytes())
        assert node.final_outcomes() == {"evt-1": "given_up" if group == "zone" else "handed_back"}
        assert len(endpoint.calls) == 1 and time.monotonic() - endpoint.calls[0][0] < 2.4


@pytest.mark.parametrize("stream", ["notice", "once"])
def test_an_event_that_times_out_before_its_connection_is_established_is_not_sent(tmp_path, stream):
    """Such an event was reported as timed out and abandoned, and then sent with the others of its call."""
    rate_limited = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = GatedEndpoint(
        lambda _body: (endpoint.stop_accepting(), rate_limited)[1],
        lambda body: (200, [], b'[{"id":"evt-2","state":"done"},{"id":"evt-1","state":"done"}]'),
    )
    with NodeProcess(
        tmp_path, endpoint, Domain={"KindBatch": [5]}, Permissions={"ConnectTimeout": 4.0}
    ) as node:
        assert node.submit(stream, left="1000m") == 202
        wait_until(lambda: b'N["evt-1"]' in node.log_path().read_bytes())
        assert node.submit(stream, left="4800m") == 202
        wait_until(lambda: node.final_outcomes() == {"evt-1": "handed_back"})
        endpoint.resume_accepting()
        wait_until(lambda: b'E["evt-2"]' in node.log_path().read_bytes())
        assert endpoint.calls[1][1] == "/receive" and endpoint.event_ids() == ["evt-1", "evt-2"]


def test_no_event_has_a_final_outcome_while_its_call_is_in_flight(tmp_path):
    """One event of a call was abandoned before the response arrived, and the acks of the others were lost."""

    def respond_late(conn):
        wait_until(lambda: node.final_outcomes())
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 69\r\n\r\n"
            b'[{"id": "evt-1", "state": "done"}, {"id": "evt-2", "state": "done"}]\n'
        )

    rate_limited = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = FakeEndpoint(rate_limited, lambda _body: respond_late, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=40.0)
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}, Weights="nominal") as node:
        assert node.submit("once", left="2300m") == 202
        wait_until(lambda: b'N["evt-1"]' in node.log_path().read_bytes())
        assert node.submit(left="4800m") == 202
        wait_until(lambda: b'E["evt-2"]' in node.log_path().read_bytes())
        assert [call[1] for call in endpoint.calls] == ["/receive", "/receive-many", "/receive"]
        assert endpoint.calls[2][2]["x-txn"] == "evt-2" and node.final_outcomes() == {"evt-1": "given_up"}


def test_a_resumed_process_sends_no_event_after_its_deduplication_window(tmp_path):
    """The process is suspended while it connects, and is resumed after the window has ended."""
    endpoint = GatedEndpoint(lambda _body: (endpoint.stop_accepting(), time.sleep(1.25), "reset")[2], 200)
    streams = [deduplicated_stream("zone", 2.2)]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 6.0}) as node:
        assert node.submit("posting", left="8000m", **POSTING) == 202
        wait_until(lambda: endpoint.calls and endpoint.connecting_count())
        node.process.send_signal(signal.SIGSTOP)
        endpoint.resume_accepting()
        wait_until(lambda: time.monotonic() - endpoint.calls[0][0] > 2.3)
        node.process.send_signal(signal.SIGCONT)
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"})
        assert len(endpoint.calls) == 1


def test_unsent_bytes_of_a_timed_out_call_never_arrive(tmp_path):
    """The kernel had buffered the rest of a body and continued to send it.

    A receiver that resumed reading received the event after its final outcome.
    """
    endpoint = slow_reading_endpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        endpoint.gate.clear()
        assert node.submit(body=bytes(60000), left="900m") == 202
        wait_until(lambda: node.final_outcomes() == {"evt-1": "handed_back"})
        endpoint.gate.set()
        assert node.submit() == 202
        wait_until(lambda: "evt-2" in endpoint.event_ids())
        wait_until(lambda: all(conn.fileno() < 0 for conn in endpoint.conns[:1]))
        assert endpoint.event_ids() == ["evt-2"]


@pytest.mark.parametrize("window, calls", [(1.4, 1), (9.0, 2)])
def test_a_send_fails_when_its_last_byte_does_not_arrive_within_the_window(tmp_path, window, calls):
    endpoint = slow_reading_endpoint(lambda _body: (endpoint.gate.clear(), time.sleep(0.7), "reset")[2], 200)
    streams = [deduplicated_stream("zone", window)]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 4.0}) as node:
        assert node.submit("posting", body=bytes(60000), left="8000m", **POSTING) == 202
        wait_until(lambda: endpoint.calls)
        wait_until(
            lambda: time.monotonic() - endpoint.calls[0][0] > 1.45
        )  # before its time-out, 0.84 s after its send
        endpoint.gate.set()
        wait_until(lambda: b'E["evt-1"]' in node.log_path().read_bytes())
        assert len(endpoint.calls) == calls and node.final_outcomes() == (
            {"evt-1": "given_up"} if calls == 1 else {}
        )
