"""A list that has an endpoint that has gone, and at its address one of another destination."""

import json
import signal

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

EVENT_COUNT = 5


@pytest.mark.parametrize("restart_count", [1, 2])
def test_a_restarted_node_sends_nothing_to_an_address_that_is_listed_for_two_destinations(
    tmp_path, restart_count
):
    """Guards against events for another destination from a process that did not see the order of changes."""
    taker, sound = FakeEndpoint(ident="s-taker", cell=2), FakeEndpoint(ident="s-sound")
    gone_entry = taker.entry() | {"id": "s-gone", "cell": 1}
    with NodeProcess(tmp_path, taker, sound) as node:
        document = {"version": 5, "full": True, "servers": [gone_entry, taker.entry(), sound.entry()]}
        node.discovery.list_document = node.config["known"] = document
        node.config_path.write_text(json.dumps(node.config))
        for _ in range(restart_count):
            node.stop(signal.SIGKILL)
            node.start()
        assert [node.submit() for _ in range(EVENT_COUNT)] == [202] * EVENT_COUNT
        wait_until(lambda: not node.pending_event_ids())
        assert len(sound.calls) == EVENT_COUNT and taker.calls == []
        assert node.submit(destination=2) == 202
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_change(gone_entry | {"state": "DELETED"})
        wait_until(lambda: taker.calls)
        assert taker.event_ids() == [f"evt-{EVENT_COUNT + 1}"] and node.final_outcomes() == {}
