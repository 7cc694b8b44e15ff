"""After a restart, the endpoint list of the configuration is older than what discovery has to tell."""

import signal
import time

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

# The time that discovery is silent after the restart, in s.
SILENCES_S = [0.0, 1.0]
# One call at a time: behind a call without a response all other events wait without an attempt.
ONE_SLOT = {"CallsOut": 1}


def restart_with_untried_events(node, endpoint, event_count, left, *new_entries):
    """Kill and start the node with pending events that had no attempt; return their ids.

    Discovery has a list of `new_entries` afterwards, unless there are none, and is silent.
    """
    assert node.submit(left="9000m") == 202
    wait_until(lambda: endpoint.calls)
    assert [node.submit(left=left) for _ in range(event_count)] == [202] * event_count
    node.stop(signal.SIGKILL)
    assert endpoint.event_ids() == ["evt-1"]
    endpoint.calls.clear()
    endpoint.script[:] = [200]
    node.discovery.answers_watches.clear()
    if new_entries:
        node.discovery.list_document = {"version": 4, "full": True, "servers": list(new_entries)}
    node.start()
    return {f"evt-{number}" for number in range(2, 2 + event_count)}


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_a_restarted_node_sends_nothing_to_an_address_that_another_destination_has_taken(tmp_path, silent_s):
    """Guards against events of the log that are sent by the configuration's list before discovery answers.

    The endpoint that had taken the address acked them, so their own destination never got them.
    """
    old, new = FakeEndpoint(None), FakeEndpoint(ident="s-new")
    with NodeProcess(tmp_path, old, Domain=ONE_SLOT) as node:
        taker = old.entry() | {"id": "s-taker", "cell": 2}
        untried = restart_with_untried_events(node, old, 3, "9000m", new.entry(), taker)
        time.sleep(silent_s)
        node.discovery.answers_watches.set()
        wait_until(lambda: untried <= {*old.event_ids(), *new.event_ids()})
        assert old.event_ids() == [] and node.final_outcomes() == {}
        log = node.stop_and_read_log()
    assert "0 of them by an unconfirmed endpoint list" in log
    assert "the endpoint list has version 4, and 4 events are pending" in log


def test_events_are_sent_in_the_last_part_of_their_time_if_discovery_stays_silent(tmp_path):
    """The operators require that events without an attempt are not given up without a call."""
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Domain=ONE_SLOT) as node:
        submitted_at = time.monotonic()
        untried = restart_with_untried_events(node, endpoint, 3, "5000m")
        wait_until(lambda: untried <= set(endpoint.event_ids()))
        assert node.submit(left="1000m") == 202
        assert node.final_outcomes() == {}
        first_call_at = min(at for at, _, headers, _ in endpoint.calls if headers["x-txn"] in untried)
        log = node.stop_and_read_log()
    assert submitted_at + 5.0 - 1.1 < first_call_at
    assert "by the endpoint list of the configuration, which discovery has not confirmed" in log


def test_a_watch_that_a_local_agent_does_not_answer_is_opened_again_soon(tmp_path):
    """Events wait for the first answer after a restart; a silent watch cost them 4.2 s."""
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        node.stop()
        node.discovery.targets.clear()
        node.discovery.answers_watches.clear()
        node.start()
        wait_until(lambda: node.discovery.targets)
        asked_at = time.monotonic()
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert time.monotonic() - asked_at < 3.0


def test_an_empty_first_line_of_the_watch_confirms_the_list_of_the_configuration(tmp_path):
    """Discovery sends an empty line as long as nothing changes, so no list need follow."""
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        node.stop()
        node.discovery.list_document = None
        node.start()
        assert node.submit(left="5000m") == 202
        wait_until(lambda: endpoint.calls)
        assert "0 of them by an unconfirmed endpoint list" in node.stop_and_read_log()
