"""SIGHUP: the configuration is reloaded while events are pending."""

import signal
import threading
import time

from support.fake_servers import FakeDiscovery, FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_sighup_moves_the_watch_and_the_notifications_to_the_new_discovery_address(tmp_path):
    old, new, later = FakeEndpoint(503), FakeEndpoint(ident="s-2", cell=2), FakeEndpoint(ident="s-3", cell=3)
    with NodeProcess(tmp_path, old, environ={"LB_DISCOVERY": "127.0.0.1:1"}) as node:
        node.reload()  # the address in the file replaces that from the environment at the start
        wait_until(lambda: node.discovery.watches)
        assert node.submit("once", left="1500m") == 202
        first_discovery = node.discovery
        for discovery, endpoint, event_id in (
            (FakeDiscovery(new.entry(), old.entry()), new, "evt-2"),
            (FakeDiscovery(later.entry(), old.entry()), later, "evt-3"),
        ):
            node.reload("{")
            time.sleep(0.2)
            node.reload(discovery=discovery.address, limits={"sockets": 300})
            wait_until(lambda: discovery.targets == ["/catalog/members?watch=1&from=0"] and discovery.watches)
            time.sleep(0.1)
            assert node.submit(destination=endpoint.cell) == 202
            wait_until(lambda: endpoint.event_ids() == [event_id])
        wait_until(lambda: discovery.notifications)
        assert discovery.notifications[0]["outcome"] == "handed_back" and not first_discovery.notifications
        node.process.send_signal(signal.SIGTERM)
        node.reload(discovery=first_discovery.address)
        assert node.process.wait(timeout=5) == 0
        log = node.process.stderr.read().decode()
        assert (
            "is not valid JSON" in log
            and "a new value of limits, which takes effect at the next start" in log
        )


def test_a_notification_in_flight_is_repeated_at_the_new_discovery_address(tmp_path):
    endpoint = FakeEndpoint(500)
    with NodeProcess(tmp_path, endpoint) as node:
        wait_until(lambda: node.discovery.watches)
        was_received = threading.Event()
        old_discovery, respond = node.discovery, node.discovery.respond
        old_discovery.respond = lambda method, *rest: (
            was_received.set() if method == "POST" else respond(method, *rest)
        )
        assert node.submit("once") == 202
        wait_until(was_received.is_set)
        new_discovery, began_at = FakeDiscovery(endpoint.entry()), time.monotonic()
        node.reload(discovery=new_discovery.address)
        wait_until(lambda: new_discovery.notifications)
        assert new_discovery.notifications[0]["outcome"] == "given_up" and time.monotonic() - began_at < 1.0
