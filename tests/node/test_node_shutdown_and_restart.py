"""Signals, shutdown and restart of a node, with events or notifications pending."""

import json
import os
import select
import signal
import subprocess
import sys
import threading
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_before_the_configuration_is_read_leads_to_a_clean_exit(tmp_path, signal_number):
    node = NodeProcess(tmp_path, FakeEndpoint())
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "-m", "swiftthread"],
        stderr=subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(pipe)},
    )
    writers = []

    def pipe_has_reader():
        try:
            writers.append(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
        except OSError:
            return False
        return True

    wait_until(pipe_has_reader)
    process.send_signal(signal_number)
    os.write(writers[0], node.config_path.read_bytes())
    os.close(writers[0])
    assert process.wait(timeout=10) == 0
    log = process.stderr.read().decode()
    process.stderr.close()
    node.discovery.listener.close()
    assert "stopped; 0 events" in log and "Traceback" not in log


def test_repeated_signals_until_the_exit_do_not_disturb_the_shutdown(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint()) as node:
        assert node.submit() == 202
        began_at = time.monotonic()
        while node.process.poll() is None:
            assert time.monotonic() - began_at < 10.0
            for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                node.process.send_signal(signal_number)
            select.select([], [], [], 0.002)  # without a pause the node would only handle signals
        assert node.process.returncode == 0 and not node.pending_event_ids()


def test_a_decision_is_notified_after_a_shutdown_if_discovery_had_not_confirmed_it(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(500)) as node:
        node.discovery.failing_notification_count = 10**6
        assert node.submit("once") == 202
        wait_until(lambda: b"given_up" in node.log_path().read_bytes())
        assert node.stop() == 0 and node.pending_event_ids() == {"evt-1"}
        node.discovery.failing_notification_count = 0
        node.start()
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"} and not node.pending_event_ids())


def test_pending_events_are_sent_after_a_restart_without_an_endpoint_list(tmp_path):
    """The operators require that events without an attempt are not given up without a call."""
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Domain={"CallsOut": 1}, Permissions={"MaxOpen": 24}) as node:
        assert [node.submit("notice", left="5000m") for _ in range(20)] == [202] * 20
        wait_until(lambda: endpoint.calls)
        node.stop(signal.SIGKILL)
        del node.config["known"]
        node.config_path.write_text(json.dumps(node.config))
        node.discovery.gate.clear()
        endpoint.script[:] = [200]
        attempted = set(endpoint.event_ids())
        node.start()
        assert node.final_outcomes() == {} and len(node.pending_event_ids()) == 20
        node.discovery.gate.set()
        wait_until(lambda: not node.pending_event_ids())
        assert (
            node.final_outcomes() == {}
            and set(endpoint.event_ids()) - attempted >= {f"evt-{n}" for n in range(1, 21)} - attempted
        )


def test_an_event_without_a_response_is_notified_before_it_expires(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(None)) as node:
        was_notified = threading.Event()
        respond = node.discovery.respond

        def respond_and_record(method, *rest):
            if method == "POST":
                was_notified.set()
            return respond(method, *rest)

        node.discovery.respond = respond_and_record
        expires_at = time.time() + 1.2
        assert node.submit("once", left="1200m") == 202
        assert was_notified.wait(5.0) and time.time() < expires_at + 0.001
