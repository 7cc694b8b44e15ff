"""A fleet of 1,024 nodes with a list of 1,024 endpoints: a node stays within its configured limits."""

import json
import os
import socket
import sys
import time
from pathlib import Path

import pytest
from support.crowds import OrdinaryClients, crowd, process_memory_mb
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until
from support.simulated_node import SimulatedNode

from swiftthread.client.json_stream import MAX_OBJECT_BYTES
from swiftthread.service.limits import Limits

FLEET_SIZE = 1024
LARGEST_FLEET_SIZE = 3200


def unused_address(number):
    """Return an address of its own for each number below 64,000; nothing listens there."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}:9"


def rss_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024.0


def test_node_stays_within_its_limits_with_1024_endpoints_and_nodes(tmp_path):
    """The list arrives in one line of the watch, as changes, and at the start; events go to the last ones."""
    endpoints = [FakeEndpoint(ident=f"s-real-{number}", cell=FLEET_SIZE) for number in range(2)]
    entries = [
        endpoints[0].entry(weight=50.0)
        | {"id": f"s-{number:08x}", "cell": 1 + number // 2, "addr": unused_address(number)}
        for number in range(FLEET_SIZE - 2)
    ]
    entries += [endpoint.entry(weight=50.0) for endpoint in endpoints]
    with NodeProcess(
        tmp_path,
        Balancers=FLEET_SIZE,
        Position=FLEET_SIZE - 1,
        Weights="nominal",
        known=False,
        limits={"memory_mb": 32, "sockets": 256},
    ) as node:
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_change(*entries)
        wait_until(lambda: node.submit(destination=FLEET_SIZE) == 202)
        wait_until(lambda: len(endpoints[0].calls) + len(endpoints[1].calls) == 1)
        for begin in range(0, FLEET_SIZE - 2, 64):
            node.discovery.send_change(
                *[entry | {"state": "DRAINING"} for entry in entries[begin : min(begin + 64, FLEET_SIZE - 2)]]
            )
        node.discovery.send_change(entries[-1] | {"state": "DELETED"})
        time.sleep(0.2)
        for _ in range(4):  # the share of this node is two calls a second
            assert node.submit(destination=FLEET_SIZE) == 202
        wait_until(lambda: len(endpoints[0].calls) + len(endpoints[1].calls) == 5)
        assert len(endpoints[1].calls) <= 1
        assert rss_mb(node.process) < 32.0 and len(os.listdir(f"/proc/{node.process.pid}/fd")) < 256
        node.config["known"] = {"version": 1, "full": True, "servers": entries}
        node.discovery.list_document["servers"][:] = entries
        node.stop(), node.config_path.write_text(json.dumps(node.config))
        assert node.start().submit(destination=1) == 202 and rss_mb(node.process) < 32.0


@pytest.mark.parametrize("kind, clients", [("incomplete_body", 600), ("new_names", 10), ("idle", 600)])
def test_node_with_1024_endpoints_stays_within_its_memory_limit_beside_a_crowd(tmp_path, kind, clients):
    """The start left 0.2 to 0.4 of 32 MB for all clients, and nothing kept them within that."""
    endpoint = FakeEndpoint()
    with NodeProcess(
        tmp_path, endpoint, limits={"memory_mb": 32, "sockets": 1024}, Permissions={"MaxOpen": 4000}
    ) as node:
        entries = [endpoint.entry()] + [
            endpoint.entry()
            | {"id": f"s-{number:08x}", "cell": 2 + number // 2, "addr": unused_address(number)}
            for number in range(FLEET_SIZE - 1)
        ]
        node.stop()
        node.discovery.list_document["servers"][:] = entries
        node.config["known"] = node.discovery.list_document
        node.config_path.write_text(json.dumps(node.config))
        node.start()
        with crowd(node, kind, clients, seconds=5.0):
            time.sleep(1.0)  # the crowd is connected and sends
            with OrdinaryClients(node) as ordinary:
                time.sleep(2.0)
        assert process_memory_mb(node.process, "VmHWM") < 32.0
        assert ordinary.answered_share >= 0.9


def test_the_list_of_the_largest_fleet_is_applied_if_it_is_indented(tmp_path):
    """A node with little memory refused it as long as it ran, and went on by the list of its start."""
    endpoint = FakeEndpoint(cell=LARGEST_FLEET_SIZE)
    entries = [
        endpoint.entry(weight=50.0)
        | {"id": f"s-{number:08x}", "cell": 1 + number // 2, "addr": unused_address(number)}
        for number in range(LARGEST_FLEET_SIZE - 1)
    ]
    with NodeProcess(tmp_path, known=False, limits={"memory_mb": 32}) as node:
        node.stop()
        node.discovery.indent = 4
        node.discovery.list_document["servers"][:] = [*entries, endpoint.entry()]
        node.start()
        wait_until(lambda: node.submit(destination=LARGEST_FLEET_SIZE) == 202)
        wait_until(lambda: endpoint.calls)


def test_applying_a_list_of_1024_endpoints_takes_linear_time():
    """Protects against sorting all endpoints of a destination again for each endpoint that is added."""
    node = SimulatedNode([]).run_until(0.0)
    entries = [(f"s-{number}", 0, 0, 0, 0.0, True) for number in range(FLEET_SIZE)]
    calls = []
    sys.setprofile(lambda frame, kind, argument: calls.append(kind) if kind == "call" else None)
    try:
        node.session.router.apply_endpoint_list(entries, True, 0.0)
    finally:
        sys.setprofile(None)
    assert len(node.session.router.destinations[0].endpoints) == FLEET_SIZE
    assert len(calls) < 15 * FLEET_SIZE


def test_maximum_object_size_allows_four_times_1024_endpoints():
    entry = {
        "id": "s" * 64,
        "addr": "127.255.255.255:65535",
        "zone": "z" * 64,
        "kind": "k" * 64,
        "cell": 10**6,
        "state": "DRAINING",
        "weight": 1234.56789,
        "started_ms": 1796164699085,
    }
    assert len(str(entry)) * FLEET_SIZE * 4 < MAX_OBJECT_BYTES


@pytest.mark.parametrize("sockets", [256, 1024, 4096])
def test_listener_backlog_grows_with_the_socket_limit(sockets):
    limits = Limits({"sockets": sockets}, 8, 1500.0)
    assert limits.backlog >= max(FLEET_SIZE, sockets)


def test_900_simultaneous_connects_wait_in_the_listener_backlog(tmp_path):
    """With a backlog of 512 the kernel dropped the others; they connected a second later or never."""
    if int(Path("/proc/sys/net/core/somaxconn").read_text()) < FLEET_SIZE:
        pytest.skip("the kernel limits the backlog to fewer connections")
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, limits={"sockets": 96}) as node:
        node.process.send_signal(19)  # SIGSTOP: the node accepts no connection meanwhile
        connections = [socket.socket() for _ in range(900)]
        began_at_s = time.monotonic()
        for connection in connections:
            connection.settimeout(0.5)
            connection.connect(("127.0.0.1", node.port))
        assert time.monotonic() - began_at_s < 0.9
        node.process.send_signal(18)  # SIGCONT
        for connection in connections:
            connection.close()
        wait_until(lambda: node.submit() == 202)
