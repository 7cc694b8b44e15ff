"""The bounds of a send hold for its bytes, however late its connection comes up.

Window, group, end, wait, drain.
"""

import math
import signal
import socket
import time

import pytest
from support.fake_servers import FakeEndpoint, GatedEndpoint
from support.node_process import NodeProcess, until
from support.simulated_node import SimulatedNode
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.routing.messages import SendOutcome

ZONAL = DEDUPLICATED._replace(deduplication_group="zone")
ENTRIES = [("a", 0, 0, 0, 0.0, True), ("b", 0, 1, 0, 0.0, True), ("c", 0, 0, 0, 0.0, True)]


def maybe_ran(stream, endpoint="a"):
    """A run at 1,000 ms, and an event of it whose first send, at 0 ms to this sink, may have run."""
    run = SimulatedNode([row for row in ENTRIES if row[0] == endpoint], stream_types=[stream]).play(0.0)
    node = run.session.router
    event = node.add_event(0.0, 0, 0, stream.max_age_ms)
    assert node.decide(event, 0.0).endpoint.endpoint_id == endpoint
    node.record_outcome(event, SendOutcome.RESET, 1000.0, 1000.0)
    node.apply_endpoint_list(ENTRIES, True, 1000.0)
    return node, event


@pytest.mark.parametrize(
    "stream, endpoint, by",
    [
        (DEDUPLICATED, "a", 5988.0),
        (DEDUPLICATED, "b", 5988.0),
        (ZONAL, "a", 5988.0),
        (ZONAL, "c", 5988.0),
        (ZONAL, "b", -math.inf),
        (ZONAL._replace(deduplication_group="cell"), "a", 5988.0),
        (IDEMPOTENT, "b", 9988.0),
        (ZONAL._replace(deduplication_group="cell"), "c", -math.inf),
        (ZONAL._replace(deduplication_window_ms=900.0), "a", -math.inf),
    ],
)
def test_a_send_after_one_that_may_have_run_leaves_inside_its_window_and_group(stream, endpoint, by):
    node, event = maybe_ran(stream)
    assert node.send_deadline(event, node.endpoints[endpoint], 1000.0) == by
    assert node.send_deadline(event, node.endpoints[endpoint], by if by > 0 else 5900.0) == -math.inf


def test_a_send_leaves_neither_into_a_wait_nor_a_drain_nor_past_the_end_of_its_event():
    run = SimulatedNode(ENTRIES, stream_types=[NON_IDEMPOTENT]).play(0.0)
    node = run.session.router
    event, endpoint = node.add_event(0.0, 0, 0, 4000.0), node.endpoints["a"]
    assert node.send_deadline(event, endpoint, 10.0) == 3988.0
    endpoint.rate_limiter.apply_retry_after(500.0, node.random_uniform)
    assert (
        node.send_deadline(event, endpoint, 499.0) == -math.inf < node.send_deadline(event, endpoint, 500.0)
    )
    node.apply_endpoint_list([("a", 0, 0, 0, 0.0, False)], False, 600.0)
    assert (
        node.send_deadline(event, endpoint, 600.0)
        == -math.inf
        < node.send_deadline(event, node.endpoints["b"], 600.0)
    )
    node.withdraw(event, 700.0)
    assert node.send_deadline(event, node.endpoints["b"], 700.0) == -math.inf


def test_an_endpoint_that_comes_back_elsewhere_is_of_its_new_group():
    node, event = maybe_ran(ZONAL)
    node.apply_endpoint_list(
        [("a", 0, 1, 0, 0.0, True), ("b", 0, 0, 0, 0.0, True), ("c", 0, 1, 0, 0.0, True)], True, 1100.0
    )
    assert node.decide(event, 1100.0).endpoint.endpoint_id == "b"


def test_what_travels_in_a_call_is_learnt_though_another_of_it_never_left():
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).play(0.0)
    node = run.session.router
    one, two = [node.add_event(0.0, 0, 0, 9000.0) for _ in range(2)]
    assert node.decide(one, 0.0).endpoint is node.decide(two, 0.0).endpoint and one.call is two.call
    due = node.endpoints["a"].rate_limiter.next_slot_at
    node.record_outcome(one, SendOutcome.NOT_SENT, 10.0, 10.0)
    node.record_outcome(two, SendOutcome.ACKED, 50.0, 50.0)
    assert (
        node.endpoints["a"].acked_at == 50.0
        and node.endpoints["a"].rate_limiter.next_slot_at == due
        and one.attempts == 0
    )


POSTING = {"Idempotency-Key": "k-1"}


@pytest.mark.parametrize("group", ["zone", "all"])
def test_a_connection_that_comes_up_after_the_window_carries_no_second_send(tmp_path, group):
    """The fleet's zone+mass days.

    Decided 4.7 s after the first send, its bytes left after 5.7 s of a window of 5.1.
    """
    endpoint = GatedEndpoint(lambda _body: (endpoint.shut(), time.sleep(1.25), "reset")[2], 200)
    streams = [
        {"Name": "posting", "Effect": "dedup", "Aim": 1.5, "Deadline": 9.0, "Group": group, "Window": 2.2}
    ]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 4.0}) as node:
        assert node.hand_in("posting", left="8000m", **POSTING) == 202
        until(lambda: node.log_path().read_bytes().count(b'O["evt-1"') == 2)
        endpoint.hear()
        until(lambda: b'E["evt-1"]' in node.log_path().read_bytes())
        assert node.notices() == {"evt-1": "given_up" if group == "zone" else "handed_back"}
        assert len(endpoint.calls) == 1 and time.monotonic() - endpoint.calls[0][0] < 2.4


@pytest.mark.parametrize("stream", ["notice", "once"])
def test_an_event_whose_time_ends_before_its_connection_is_up_is_in_no_call(tmp_path, stream):
    """It was told to have timed out and given up, and then travelled with the others of its call."""
    wait = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = GatedEndpoint(
        lambda _body: (endpoint.shut(), wait)[1],
        lambda body: (200, [], b'[{"id":"evt-2","state":"done"},{"id":"evt-1","state":"done"}]'),
    )
    with NodeProcess(
        tmp_path, endpoint, Domain={"KindBatch": [5]}, Permissions={"ConnectTimeout": 4.0}
    ) as node:
        assert node.hand_in(stream, left="1000m") == 202
        until(lambda: b'N["evt-1"]' in node.log_path().read_bytes())
        assert node.hand_in(stream, left="4800m") == 202
        until(lambda: node.notices() == {"evt-1": "handed_back"})
        endpoint.hear()
        until(lambda: b'E["evt-2"]' in node.log_path().read_bytes())
        assert endpoint.calls[1][1] == "/receive" and endpoint.idents() == ["evt-1", "evt-2"]


def test_no_event_ends_while_the_call_that_it_travels_in_is_out(tmp_path):
    """One of a call was given up, the answer came after it, and the others' acks counted for nothing."""

    def late(conn):
        until(lambda: node.notices())
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 69\r\n\r\n"
            b'[{"id": "evt-1", "state": "done"}, {"id": "evt-2", "state": "done"}]\n'
        )

    wait = (429, [("Retry-After", "0.3"), ("Connection", "close")], b"")
    endpoint = FakeEndpoint(wait, lambda _body: late, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=40.0)
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}, Weights="nominal") as node:
        assert node.hand_in("once", left="2300m") == 202
        until(lambda: b'N["evt-1"]' in node.log_path().read_bytes())
        assert node.hand_in(left="4800m") == 202
        until(lambda: b'E["evt-2"]' in node.log_path().read_bytes())
        assert [call[1] for call in endpoint.calls] == ["/receive", "/receive-many", "/receive"]
        assert endpoint.calls[2][2]["x-txn"] == "evt-2" and node.notices() == {"evt-1": "given_up"}


@pytest.mark.parametrize("left, first, second", [(600.0, "a", None), (1500.0, "a", "a")])
def test_an_event_with_less_time_than_a_slow_answer_takes_travels_alone(left, first, second):
    run = SimulatedNode([("a", 0, 0, 0, 4.0, True)], batch_size_by_kind=[5]).play(0.0)
    node = run.session.router
    for short_first in (True, False):
        node.endpoints["a"].rate_limiter.next_slot_at = 0.0
        events = [
            node.add_event(0.0, 0, 0, left if short_first == number else 9000.0) for number in (True, False)
        ]
        answers = [node.decide(event, 0.0) for event in events]
        assert [getattr(getattr(answer, "endpoint", None), "endpoint_id", None) for answer in answers] == [
            first,
            second,
        ]
        node.endpoints["a"].rate_limiter.shared_call = None


def test_a_process_that_stood_still_does_not_send_what_is_past_its_window(tmp_path):
    endpoint = GatedEndpoint(lambda _body: (endpoint.shut(), time.sleep(1.25), "reset")[2], 200)
    streams = [
        {"Name": "posting", "Effect": "dedup", "Aim": 1.5, "Deadline": 9.0, "Group": "zone", "Window": 2.2}
    ]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 6.0}) as node:
        assert node.hand_in("posting", left="8000m", **POSTING) == 202
        until(lambda: node.log_path().read_bytes().count(b'O["evt-1"') == 2)
        node.process.send_signal(signal.SIGSTOP)
        endpoint.hear()
        until(lambda: time.monotonic() - endpoint.calls[0][0] > 2.3)
        node.process.send_signal(signal.SIGCONT)
        until(lambda: node.notices() == {"evt-1": "given_up"})
        assert len(endpoint.calls) == 1


def test_what_has_not_arrived_when_a_call_is_given_up_never_does(tmp_path):
    """The kernel held the rest of a body and sent it on.

    A receiver that read on had the event after its final answer.
    """
    endpoint = GatedEndpoint()
    endpoint.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    endpoint.listener.listen(8)
    with NodeProcess(tmp_path, endpoint) as node:
        endpoint.gate.clear()
        assert node.hand_in(body=bytes(60000), left="900m") == 202
        until(lambda: node.notices() == {"evt-1": "handed_back"})
        endpoint.gate.set()
        assert node.hand_in() == 202
        until(lambda: "evt-2" in endpoint.idents())
        until(lambda: all(conn.fileno() < 0 for conn in endpoint.conns[:1]))
        assert endpoint.idents() == ["evt-2"]


@pytest.mark.parametrize("window, calls", [(1.4, 1), (9.0, 2)])
def test_a_send_whose_last_byte_is_not_there_by_the_end_of_its_window_ends(tmp_path, window, calls):
    endpoint = GatedEndpoint(lambda _body: (endpoint.gate.clear(), time.sleep(0.7), "reset")[2], 200)
    endpoint.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    endpoint.listener.listen(8)
    streams = [
        {"Name": "posting", "Effect": "dedup", "Aim": 1.5, "Deadline": 9.0, "Group": "zone", "Window": window}
    ]
    with NodeProcess(tmp_path, endpoint, Profiles=streams, Permissions={"ConnectTimeout": 4.0}) as node:
        assert node.hand_in("posting", body=bytes(60000), left="8000m", **POSTING) == 202
        until(lambda: endpoint.calls)
        until(
            lambda: time.monotonic() - endpoint.calls[0][0] > 1.45
        )  # before its time-out, 0.84 s after its send
        endpoint.gate.set()
        until(lambda: b'E["evt-1"]' in node.log_path().read_bytes())
        assert len(endpoint.calls) == calls and node.notices() == (
            {"evt-1": "given_up"} if calls == 1 else {}
        )
