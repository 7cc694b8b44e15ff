"""Events that a restart reads from the log, of a stream type that is no longer in the settings."""

import json
import signal

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

NOTICE = stream_profile("notice", "retryable")
ONCE = stream_profile("once", "fragile")


def restart_with(node, stream_types):
    node.stop(signal.SIGKILL)
    node.config["settings"]["Profiles"] = stream_types
    node.config_path.write_text(json.dumps(node.config))
    node.start()


def test_an_event_that_may_have_run_is_abandoned_when_its_stream_type_is_removed(tmp_path):
    endpoint = FakeEndpoint(None)
    posting = stream_profile("posting", "dedup", Group="zone", Window=6.0, Deadline=9.0)
    once = stream_profile("once", "fragile", Deadline=9.0)
    with NodeProcess(tmp_path, endpoint, Profiles=[NOTICE, once, posting]) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        restart_with(node, [NOTICE])
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"})
        assert "a stream type that is not in the settings: once" in node.stop_and_read_log()


def test_an_event_that_was_never_sent_is_rejected_when_its_stream_type_is_removed(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Profiles=[NOTICE, ONCE], Domain={"CallsOut": 1}) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        assert node.submit("once") == 202
        restart_with(node, [NOTICE])
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up", "evt-2": "handed_back"})
