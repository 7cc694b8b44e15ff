"""A node that is killed while connections to an endpoint come up late.

An attempt was recorded when it was decided, so the next process took events whose connection had never come
up for events that may have run: it gave up those of a non-idempotent stream type without any call, and each
used up an attempt of the others.
"""

import signal

import pytest
from support.fake_servers import GatedEndpoint
from support.node_process import NodeProcess, wait_until

EVENT_COUNT = 4


@pytest.mark.parametrize("kill_count", [1, 2])
@pytest.mark.parametrize("stream_type", ["once", "posting", "notice"])
def test_events_whose_connection_never_came_up_are_delivered_after_a_kill(tmp_path, stream_type, kill_count):
    endpoint = GatedEndpoint(200)
    permissions = {"TryLimit": kill_count, "ConnectTimeout": 1.5}
    with NodeProcess(tmp_path, endpoint, Permissions=permissions) as node:
        endpoint.stop_accepting()
        events = [node.submission_request(stream_type, left="5000m") for _ in range(EVENT_COUNT)]
        assert all(node.raw(event).startswith(b"HTTP/1.1 202") for event in events)
        for kills_left in reversed(range(kill_count)):
            wait_until(lambda: endpoint.connecting_count())
            node.stop(signal.SIGKILL)
            assert not endpoint.calls
            if not kills_left:
                endpoint.resume_accepting()
                endpoint.listener.listen(EVENT_COUNT)  # no connection comes up late any more
            node.start()
        wait_until(lambda: not node.pending_event_ids())
        assert node.final_outcomes() == {}
        assert sorted(endpoint.event_ids()) == [f"evt-{number}" for number in range(1, EVENT_COUNT + 1)]
