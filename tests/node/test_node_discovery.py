"""The endpoint list: the watch, and how it is reopened."""

import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, until


def test_the_endpoint_list_is_followed_and_a_lost_watch_reopened(tmp_path):
    old, new = FakeEndpoint(), FakeEndpoint(ident="s-2")
    with NodeProcess(tmp_path, old) as node:
        until(lambda: node.discovery.watches)
        node.discovery.tell(old.entry("DRAINING"), new.entry())
        time.sleep(0.2)
        assert node.hand_in() == 202
        until(lambda: new.calls)
        node.discovery.lose_watches()
        until(lambda: node.discovery.watches)
        assert node.discovery.targets == [
            "/catalog/members?watch=1&from=1",
            "/catalog/members?watch=1&from=2",
        ]
        node.discovery.tell(new.entry("DELETED"), old.entry())
        time.sleep(0.2)
        assert node.hand_in() == 202
        until(lambda: old.calls)
        assert len(new.calls) == len(old.calls) == 1


def test_a_malformed_watch_event_leads_to_the_full_list(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, known=False) as node:
        until(lambda: node.discovery.watches)
        node.discovery._line(node.discovery.watches[0], '{"version": 7, "servers": [{"id"')
        until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        node.discovery.tell({"id": 5, "addr": "nowhere"}, {"cell": []}, 7)
        assert node.hand_in() == 202
        until(lambda: endpoint.calls)


def test_a_silent_watch_is_reopened(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        node.discovery.silent = True
        until(lambda: len(node.discovery.targets) == 2)
        assert node.hand_in() == 202
