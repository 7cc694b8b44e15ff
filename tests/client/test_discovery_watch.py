"""The watch when it falls silent, dribbles, breaks off or says what cannot be read."""

import threading
import time

import anyio
from support.fake_servers import FakeDiscovery, FakeEndpoint
from support.node_process import NodeProcess, wait_until
from support.simulated_node import SimulatedNode

from swiftthread.client.discovery_client import MAX_UNREADABLE_IN_A_ROW, DiscoveryClient
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.service import limits


def test_a_change_with_an_unreadable_entry_has_the_complete_list_asked_for(tmp_path):
    old, new = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with NodeProcess(tmp_path, old) as node:
        wait_until(lambda: node.discovery.watches)
        whole = {"version": 2, "full": True, "servers": [old.entry(), new.entry()]}
        node.discovery.send_change(new.entry() | {"addr": "nowhere"})
        node.discovery.list_document = whole
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        wait_until(lambda: node.submit(destination=2) == 202)
        wait_until(lambda: new.calls)


def test_a_list_that_stays_unreadable_in_part_is_tolerated(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, known=False) as node:
        node.discovery.list_document = {
            "version": 1,
            "full": True,
            "servers": [endpoint.entry(), {"id": "s-9"}],
        }
        node.discovery.drop_watches()
        wait_until(lambda: len(node.discovery.watches) >= MAX_UNREADABLE_IN_A_ROW + 1)
        asked = len(node.discovery.targets)
        node.discovery.send_change(endpoint.entry())
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)
        assert len(node.discovery.targets) == asked


def test_a_watch_that_dribbles_without_an_end_of_line_is_silent():
    """It never fell silent, and was kept until 4 MiB had come."""
    writes, is_over = [], threading.Event()

    def drip(conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while not is_over.wait(0.02):
                conn.sendall(b"1\r\n{\r\n" if not writes else b"1\r\n \r\n")
                writes.append(1)
        except OSError:
            is_over.set()

    async def watch():
        server = FakeDiscovery()
        server._watch = drip
        host, port = server.address.split(":")
        discovery = DiscoveryClient((host, int(port)), BufferPool(), {}, {}, 300.0, 500.0)
        began = time.monotonic()
        with anyio.move_on_after(5.0):
            assert await discovery.watch(None)
        return time.monotonic() - began

    took = anyio.run(watch)
    is_over.set()
    assert 0.25 < took < 2.0 and len(writes) > 3


def test_a_silent_watch_is_opened_anew_before_what_it_misses_counts_as_known():
    """What a silent watch misses counts as known after 6 s; an empty line comes every 2 s."""
    router = SimulatedNode([]).session.router
    pauses = []
    for _ in range(500):
        router.list_request_failed(0.0)
        pauses.append(router.list_polling.next_request_at)
    assert limits.WATCH_IDLE_TIMEOUT_MS > 4000.0 and limits.WATCH_IDLE_TIMEOUT_MS + max(pauses) < 5200.0
