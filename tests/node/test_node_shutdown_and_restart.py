"""Signals, shutdown and restart of a node's process, and what is owed in that instant."""

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
def test_a_signal_before_the_configuration_is_read_ends_in_order(tmp_path, signal_number):
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


def test_signals_again_and_again_until_the_exit_end_it_no_other_way(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint()) as node:
        assert node.submit() == 202
        began_at = time.monotonic()
        while node.process.poll() is None:
            assert time.monotonic() - began_at < 10.0
            for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                node.process.send_signal(signal_number)
            select.select([], [], [], 0.002)  # a storm would keep it from its work
        assert node.process.returncode == 0 and not node.pending_event_ids()


def test_a_decision_whose_notification_is_not_answered_outlasts_a_shutdown(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(500)) as node:
        node.discovery.failing_notification_count = 10**6
        assert node.submit("once") == 202
        wait_until(lambda: b"given_up" in node.log_path().read_bytes())
        assert node.stop() == 0 and node.pending_event_ids() == {"evt-1"}
        node.discovery.failing_notification_count = 0
        node.start()
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"} and not node.pending_event_ids())


def test_pending_events_without_an_attempt_are_sent_after_a_restart_though_no_list_is_known_yet(tmp_path):
    """The operators' term: giving such events up without a call fails the day."""
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


def test_the_result_of_an_event_whose_call_gets_no_answer_is_notified_before_its_time_is_up(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(None)) as node:
        was_notified = threading.Event()
        answer = node.discovery.answer

        def answer_and_note(method, *rest):
            if method == "POST":
                was_notified.set()
            return answer(method, *rest)

        node.discovery.answer = answer_and_note
        expires_at = time.time() + 1.2
        assert node.submit("once", left="1200m") == 202
        assert was_notified.wait(5.0) and time.time() < expires_at + 0.001
