"""An error of our own, wherever it comes up, ends one event, call or client at most, and never the node."""

import contextlib
from pathlib import Path

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def started(folder, fault, *endpoints, **settings):
    here = Path(__file__).parent
    node = NodeProcess(
        folder, *endpoints, environ={"FAULT": fault, "PYTHONPATH": str(here.parents[1])}, **settings
    )
    node.module, node.working_directory = "node_with_fault", here
    return node


def still_serves(node, endpoint, ended=1):
    """It takes and delivers another event, and has told the fault."""
    endpoint.script[:] = [200]
    calls = len(endpoint.calls)
    assert node.submit() == 202
    wait_until(lambda: len(endpoint.calls) > calls and not node.pending_event_ids())
    assert node.is_healthy()
    said = node.stop_and_read_log()
    assert said.count("RuntimeError: a planted fault") >= ended and node.process.returncode == 0
    return said


@pytest.mark.parametrize(
    "fault",
    [
        "swiftthread.routing.router:Router.endpoints_due_for_health_check 3 4",
        "swiftthread.service.pending_queues:PendingQueues._ask_ready_groups 3",
        "swiftthread.routing.router:Router.next_wakeup_at 3",
    ],
)
def test_a_fault_in_a_tick_is_one_tick_less(tmp_path, fault):
    endpoint = FakeEndpoint()
    with started(tmp_path, fault, endpoint) as node:
        for _ in range(4):
            assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 4 and not node.pending_event_ids())
        assert "a tick failed" in still_serves(node, endpoint)


def test_a_fault_where_an_event_is_decided_ends_that_event_alone(tmp_path):
    endpoint = FakeEndpoint()
    with started(tmp_path, "swiftthread.routing.router:Router.decide 2", endpoint) as node:
        for _ in range(4):
            assert node.submit() == 202
        wait_until(
            lambda: len(endpoint.calls) == 3 and node.final_outcomes() and not node.pending_event_ids()
        )
        assert list(node.final_outcomes().values()) == ["given_up"] and not set(node.final_outcomes()) & set(
            endpoint.event_ids()
        )
        assert "the delivery failed; the event is abandoned" in still_serves(node, endpoint)


def test_what_was_decided_before_a_fault_in_the_same_tick_is_not_lost(tmp_path):
    """The first of two events was decided, and its slot booked, when the scheduling cycle broke off."""
    first, second = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with started(
        tmp_path, "swiftthread.service.pending_queues:PendingQueues._push_head 3", first, second
    ) as node:
        with node.open() as one, node.open() as two:
            one.sendall(node.submission_request()), two.sendall(node.submission_request(destination=2))
            wait_until(lambda: first.calls and second.calls and not node.pending_event_ids())
        assert len(first.calls) == len(second.calls) == 1
        assert "a tick failed" in still_serves(node, first)


def test_a_fault_in_a_notice_tells_it_again(tmp_path):
    endpoint = FakeEndpoint("reset")
    with started(tmp_path, "swiftthread.client.result_notifier:exchange 1 2", endpoint) as node:
        assert node.submit("once") == 202
        wait_until(
            lambda: list(node.final_outcomes().values()) == ["given_up"] and not node.pending_event_ids()
        )
        assert "notifications failed" in still_serves(node, endpoint)


def test_a_fault_in_the_list_asks_for_the_whole_list(tmp_path):
    endpoint, later = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with started(
        tmp_path, "swiftthread.client.discovery_client:DiscoveryClient.parse_list 3", endpoint
    ) as node:  # 1: known, 2: the first list
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_change(later.entry())
        node.discovery.list_document = {
            "version": 9,
            "full": True,
            "servers": [endpoint.entry(), later.entry()],
        }
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        wait_until(lambda: node.submit(destination=2) == 202)
        wait_until(lambda: later.calls)
        assert "the watch failed" in still_serves(node, endpoint)


def test_a_fault_in_a_probe_is_a_probe_without_an_answer(tmp_path):
    endpoint = FakeEndpoint(None, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=50.0)
    with started(
        tmp_path, "swiftthread.client.endpoint_client:exchange 1", endpoint, Weights="nominal"
    ) as node:
        assert node.submit() == 202
        wait_until(
            lambda: endpoint.health_check_count and len(endpoint.calls) == 2 and not node.pending_event_ids()
        )
        assert "a health check failed" in still_serves(node, endpoint)


def test_a_fault_in_an_accept_rejects_that_client_alone(tmp_path):
    endpoint = FakeEndpoint()
    with started(tmp_path, "swiftthread.server.http_server:Connection 3", endpoint) as node:
        for _ in range(4):
            # The one that met the fault.
            with contextlib.suppress(OSError, IndexError):
                node.submit()
        wait_until(lambda: len(endpoint.calls) >= 3)
        assert "a client could not be accepted" in still_serves(node, endpoint)
