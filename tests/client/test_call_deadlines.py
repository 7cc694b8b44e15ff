"""The deadlines of a send hold for its bytes, however late its connection comes up."""

import signal
import socket
import time

import pytest
from support.fake_servers import FakeEndpoint, GatedEndpoint
from support.node_process import NodeProcess, wait_until

POSTING = {"Idempotency-Key": "k-1"}


def deduplicated_stream(group, window_s):
    """The settings of a stream type that is deduplicated within a group and window."""
    return {
        "Name": "posting",
        "Effect": "dedup",
        "Aim": 1.5,
        "Deadline": 9.0,
        "Group": group,
        "Window": window_s,
    }


def slow_reading_endpoint(*script):
    """An endpoint that can stop reading, with little room for what is not read."""
    endpoint = GatedEndpoint(*script)
    endpoint.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    endpoint.listener.listen(8)
    return endpoint


@pytest.mark.parametrize("group", ["zone", "all"])
def test_a_connection_that_comes_up_after_the_window_carries_no_second_send(tmp_path, group):
    """Decided 4.7 s after the first send, its bytes left after 5.7 s of a window of 5.1 s."""
    endpoint = GatedEndpoint(lambda _body: (endpoint.stop_accepting(), time.sleep(1.25), "reset")[2], 200)
    streams = [deduplicated_stream(group, 2.2)]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 4.0}) as node:
        assert node.submit("posting", left="8000m", **POSTING) == 202
        wait_until(lambda: node.log_path().read_bytes().count(b'O["evt-1"') == 2)
        endpoint.resume_accepting()
        wait_until(lambda: b'E["evt-1"]' in node.log_path().read_bytes())
        assert node.final_outcomes() == {"evt-1": "given_up" if group == "zone" else "handed_back"}
        assert len(endpoint.calls) == 1 and time.monotonic() - endpoint.calls[0][0] < 2.4


@pytest.mark.parametrize("stream", ["notice", "once"])
def test_an_event_whose_time_ends_before_its_connection_is_up_is_in_no_call(tmp_path, stream):
    """It was reported as timed out and abandoned, and then sent with the others of its call."""
    wait = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = GatedEndpoint(
        lambda _body: (endpoint.stop_accepting(), wait)[1],
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


def test_no_event_ends_while_the_call_that_it_travels_in_is_out(tmp_path):
    """One of a call was abandoned, the response came after that, and the others' acks were lost."""

    def late(conn):
        wait_until(lambda: node.final_outcomes())
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 69\r\n\r\n"
            b'[{"id": "evt-1", "state": "done"}, {"id": "evt-2", "state": "done"}]\n'
        )

    wait = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = FakeEndpoint(wait, lambda _body: late, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=40.0)
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}, Weights="nominal") as node:
        assert node.submit("once", left="2300m") == 202
        wait_until(lambda: b'N["evt-1"]' in node.log_path().read_bytes())
        assert node.submit(left="4800m") == 202
        wait_until(lambda: b'E["evt-2"]' in node.log_path().read_bytes())
        assert [call[1] for call in endpoint.calls] == ["/receive", "/receive-many", "/receive"]
        assert endpoint.calls[2][2]["x-txn"] == "evt-2" and node.final_outcomes() == {"evt-1": "given_up"}


def test_a_process_that_stood_still_does_not_send_what_is_past_its_window(tmp_path):
    endpoint = GatedEndpoint(lambda _body: (endpoint.stop_accepting(), time.sleep(1.25), "reset")[2], 200)
    streams = [deduplicated_stream("zone", 2.2)]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 6.0}) as node:
        assert node.submit("posting", left="8000m", **POSTING) == 202
        wait_until(lambda: node.log_path().read_bytes().count(b'O["evt-1"') == 2)
        node.process.send_signal(signal.SIGSTOP)
        endpoint.resume_accepting()
        wait_until(lambda: time.monotonic() - endpoint.calls[0][0] > 2.3)
        node.process.send_signal(signal.SIGCONT)
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"})
        assert len(endpoint.calls) == 1


def test_what_has_not_arrived_when_a_call_is_given_up_never_does(tmp_path):
    """The kernel held the rest of a body and sent it on.

    A receiver that read on had the event after its final answer.
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
def test_a_send_whose_last_byte_is_not_there_by_the_end_of_its_window_ends(tmp_path, window, calls):
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
