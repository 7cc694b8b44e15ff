"""The discovery watch when it is idle, sends incomplete lines, is closed, or has unreadable entries."""

import threading
import time

import anyio
from support.fake_servers import FakeDiscovery, FakeEndpoint
from support.node_process import NodeProcess, wait_until
from support.simulated_node import SimulatedNode

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.list_watch import MAX_CONSECUTIVE_UNREADABLE_LISTS
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.service import limits


def test_an_unreadable_entry_in_a_change_makes_the_node_request_the_complete_list(tmp_path):
    old, new = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with NodeProcess(tmp_path, old) as node:
        wait_until(lambda: node.discovery.watches)
        complete_list = {"version": 2, "full": True, "servers": [old.entry(), new.entry()]}
        node.discovery.send_change(new.entry() | {"addr": "nowhere"})
        node.discovery.list_document = complete_list
        wait_until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        wait_until(lambda: node.submit(destination=2) == 202)
        wait_until(lambda: new.calls)


def test_entries_that_stay_unreadable_are_tolerated(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, known=False) as node:
        node.discovery.list_document = {
            "version": 1,
            "full": True,
            "servers": [endpoint.entry(), {"id": "s-9"}],
        }
        node.discovery.drop_watches()
        wait_until(lambda: len(node.discovery.watches) >= MAX_CONSECUTIVE_UNREADABLE_LISTS + 1)
        request_count = len(node.discovery.targets)
        node.discovery.send_change(endpoint.entry())
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)
        assert len(node.discovery.targets) == request_count


def test_a_watch_that_never_completes_a_line_times_out():
    """Such a watch never counted as idle, and stayed open until 4 MiB had arrived."""
    writes, is_over = [], threading.Event()

    def send_endless_line(conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while not is_over.wait(0.02):
                conn.sendall(b"1\r\n{\r\n" if not writes else b"1\r\n \r\n")
                writes.append(1)
        except OSError:
            is_over.set()

    async def watch():
        server = FakeDiscovery()
        server._watch = send_endless_line
        host, port = server.address.split(":")
        discovery = DiscoveryClient((host, int(port)), BufferPool(), {}, {}, 300.0, 500.0)
        started_at = time.monotonic()
        with anyio.move_on_after(5.0):
            assert await discovery.watch(None)
        return time.monotonic() - started_at

    duration_s = anyio.run(watch)
    is_over.set()
    assert 0.25 < duration_s < 2.0 and len(writes) > 3


def test_an_idle_watch_is_opened_again_before_its_missed_changes_count_as_known():
    """A change counts as known to the node after 6 s; discovery sends an empty line every 2 s."""
    router = SimulatedNode([]).session.router
    pauses_ms = []
    for _ in range(500):
        router.record_list_request_failure(0.0)
        pauses_ms.append(router.list_polling.next_request_at)
    assert limits.WATCH_IDLE_TIMEOUT_MS > 4000.0 and limits.WATCH_IDLE_TIMEOUT_MS + max(pauses_ms) < 5200.0
