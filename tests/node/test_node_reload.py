"""SIGHUP: the configuration is read again while events are pending."""

import signal
import threading
import time

from support.fake_servers import FakeDiscovery, FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_sighup_moves_the_watch_and_the_notifications_while_events_are_pending(tmp_path):
    old, new, later = FakeEndpoint(503), FakeEndpoint(ident="s-2", cell=2), FakeEndpoint(ident="s-3", cell=3)
    with NodeProcess(tmp_path, old, environ={"LB_DISCOVERY": "127.0.0.1:1"}) as node:
        node.reload()  # the file's own address wins over that of the start
        wait_until(lambda: node.discovery.watches)
        assert node.submit("once", left="1500m") == 202
        first = node.discovery
        for discovery, endpoint, ident in (
            (FakeDiscovery(new.entry(), old.entry()), new, "evt-2"),
            (FakeDiscovery(later.entry(), old.entry()), later, "evt-3"),
        ):
            node.reload("{")
            time.sleep(0.2)
            node.reload(discovery=discovery.address, limits={"sockets": 300})
            wait_until(lambda: discovery.targets == ["/catalog/members?watch=1&from=0"] and discovery.watches)
            time.sleep(0.1)
            assert node.submit(destination=endpoint.cell) == 202
            wait_until(lambda: endpoint.event_ids() == [ident])
        wait_until(lambda: discovery.notifications)
        assert discovery.notifications[0]["outcome"] == "handed_back" and not first.notifications
        node.process.send_signal(signal.SIGTERM)
        node.reload(discovery=first.address)
        assert node.process.wait(timeout=5) == 0
        said = node.process.stderr.read().decode()
        assert (
            "is not valid JSON" in said
            and "a new value of limits, which takes effect at the next start" in said
        )


def test_a_notification_in_flight_is_repeated_where_discovery_moved_to(tmp_path):
    endpoint = FakeEndpoint(500)
    with NodeProcess(tmp_path, endpoint) as node:
        wait_until(lambda: node.discovery.watches)
        held_back = threading.Event()
        silent, ask = node.discovery, node.discovery.answer
        silent.answer = lambda method, *rest: held_back.set() if method == "POST" else ask(method, *rest)
        assert node.submit("once") == 202
        wait_until(held_back.is_set)
        fresh, began = FakeDiscovery(endpoint.entry()), time.monotonic()
        node.reload(discovery=fresh.address)
        wait_until(lambda: fresh.notifications)
        assert fresh.notifications[0]["outcome"] == "given_up" and time.monotonic() - began < 1.0
