"""The endpoint list: its watch, and when the watch is reopened."""

import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_list_changes_are_applied_and_a_closed_watch_is_reopened(tmp_path):
    old, new = FakeEndpoint(), FakeEndpoint(ident="s-2")
    with NodeProcess(tmp_path, old) as node:
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_change(old.entry("DRAINING"), new.entry())
        time.sleep(0.2)
        assert node.submit() == 202
        wait_until(lambda: new.calls)
        node.discovery.drop_watches()
        wait_until(lambda: node.discovery.watches)
        assert node.discovery.targets == [
            "/catalog/members?watch=1&from=1",
            "/catalog/members?watch=1&from=2",
        ]
        node.discovery.send_change(new.entry("DELETED"), old.entry())
        time.sleep(0.2)
        assert node.submit() == 202
        wait_until(lambda: old.calls)
        assert len(new.calls) == len(old.calls) == 1


def test_after_a_malformed_watch_event_the_full_list_is_requested(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, known=False) as node:
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_line(node.discovery.watches[0], '{"version": 7, "servers": [{"id"')
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        node.discovery.send_change({"id": 5, "addr": "nowhere"}, {"cell": []}, 7)
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)


def test_an_idle_watch_is_reopened(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        node.discovery.omits_keep_alives = True
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert node.submit() == 202
