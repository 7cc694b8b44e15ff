"""An internal error affects one event, call or client at most, and never stops the node."""

import contextlib
from pathlib import Path

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def node_with_fault(folder, fault, *endpoints, **settings):
    here = Path(__file__).parent
    node = NodeProcess(
        folder, *endpoints, environ={"FAULT": fault, "PYTHONPATH": str(here.parents[1])}, **settings
    )
    node.module, node.working_directory = "node_with_fault", here
    return node


def check_still_serves(node, endpoint, min_error_count=1):
    """Check that the node delivers another event and has logged the fault; returns its log output."""
    endpoint.script[:] = [200]
    earlier_call_count = len(endpoint.calls)
    assert node.submit() == 202
    wait_until(lambda: len(endpoint.calls) > earlier_call_count and not node.pending_event_ids())
    assert node.is_healthy()
    output = node.stop_and_read_log()
    assert output.count("RuntimeError: an injected fault") >= min_error_count and node.process.returncode == 0
    return output


@pytest.mark.parametrize(
    "fault",
    [
        "swiftthread.routing.router:Router.endpoints_due_for_health_check 3 4",
        "swiftthread.service.pending_queues:PendingQueues._decide_ready_groups 3",
        "swiftthread.routing.router:Router.next_wakeup_at 3",
    ],
)
def test_error_in_a_scheduling_cycle_costs_only_that_cycle(tmp_path, fault):
    endpoint = FakeEndpoint()
    with node_with_fault(tmp_path, fault, endpoint) as node:
        for _ in range(4):
            assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 4 and not node.pending_event_ids())
        assert "a scheduling cycle failed" in check_still_serves(node, endpoint)


def test_error_in_a_decision_abandons_only_that_event(tmp_path):
    endpoint = FakeEndpoint()
    with node_with_fault(tmp_path, "swiftthread.routing.router:Router.decide 2", endpoint) as node:
        for _ in range(4):
            assert node.submit() == 202
        wait_until(
            lambda: len(endpoint.calls) == 3 and node.final_outcomes() and not node.pending_event_ids()
        )
        assert list(node.final_outcomes().values()) == ["given_up"] and not set(node.final_outcomes()) & set(
            endpoint.event_ids()
        )
        assert "the delivery failed; the event is abandoned" in check_still_serves(node, endpoint)


def test_decisions_before_an_error_in_the_same_cycle_are_not_lost(tmp_path):
    """The first of two events was decided, and its slot reserved, when an error aborted the cycle."""
    first, second = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with node_with_fault(
        tmp_path, "swiftthread.service.pending_queues:PendingQueues._push_head 3", first, second
    ) as node:
        with node.open() as one, node.open() as two:
            one.sendall(node.submission_request()), two.sendall(node.submission_request(destination=2))
            wait_until(lambda: first.calls and second.calls and not node.pending_event_ids())
        assert len(first.calls) == len(second.calls) == 1
        assert "a scheduling cycle failed" in check_still_serves(node, first)


def test_notification_is_repeated_after_an_error(tmp_path):
    endpoint = FakeEndpoint("reset")
    with node_with_fault(tmp_path, "swiftthread.client.result_notifier:exchange 1 2", endpoint) as node:
        assert node.submit("once") == 202
        wait_until(
            lambda: list(node.final_outcomes().values()) == ["given_up"] and not node.pending_event_ids()
        )
        assert "notifications failed" in check_still_serves(node, endpoint)


def test_error_in_an_endpoint_list_requests_the_complete_list(tmp_path):
    endpoint, later = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with node_with_fault(
        tmp_path, "swiftthread.client.endpoint_list:EndpointList.apply_document 3", endpoint
    ) as node:  # 1: the list in the configuration, 2: the first from discovery
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
        assert "the watch failed" in check_still_serves(node, endpoint)


def test_error_in_a_health_check_counts_as_no_response(tmp_path):
    endpoint = FakeEndpoint(None, 200)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=50.0)
    with node_with_fault(
        tmp_path, "swiftthread.client.endpoint_client:exchange 1", endpoint, Weights="nominal"
    ) as node:
        assert node.submit() == 202
        wait_until(
            lambda: endpoint.health_check_count and len(endpoint.calls) == 2 and not node.pending_event_ids()
        )
        assert "a health check failed" in check_still_serves(node, endpoint)


def test_error_in_an_accept_rejects_only_that_client(tmp_path):
    endpoint = FakeEndpoint()
    with node_with_fault(tmp_path, "swiftthread.server.http_server:ClientConnection 3", endpoint) as node:
        for _ in range(4):
            # The client whose accept fails gets no response.
            with contextlib.suppress(OSError, IndexError):
                node.submit()
        wait_until(lambda: len(endpoint.calls) >= 3)
        assert "a client could not be accepted" in check_still_serves(node, endpoint)


def test_error_at_the_time_out_of_a_connection_closes_only_that_connection(tmp_path):
    """It would end the task that checks all connections, and with it the process."""
    endpoint = FakeEndpoint()
    fault = "swiftthread.server.connection_handler:ConnectionHandler._begin_graceful_close 1"
    with node_with_fault(tmp_path, fault, endpoint) as node:
        with node.open() as idle, contextlib.suppress(ConnectionResetError):
            assert idle.recv(1) == b""
        assert "serving a client connection failed" in check_still_serves(node, endpoint)
