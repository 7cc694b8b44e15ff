"""Lists of 1,024 endpoints, and 1,024 as the number of nodes.

What a node is told it fits into, whatever the size.
"""

import json
import os
import socket
import sys
import time
from pathlib import Path

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until
from support.simulated_node import SimulatedNode

from swiftthread.client.json_stream import MAX_OBJECT_BYTES
from swiftthread.service.limits import Limits

MANY = 1024


def rss_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024.0


def test_a_thousand_endpoints_and_nodes_fit_into_what_a_node_is_told(tmp_path):
    """At the start, in one line of the watch, and as changes; with an event for the last of them."""
    real = [FakeEndpoint(ident=f"s-real-{number}", cell=MANY) for number in range(2)]
    rows = [
        real[0].entry(weight=50.0) | {"id": f"s-{number:08x}", "cell": 1 + number // 2}
        for number in range(MANY - 2)
    ]
    rows += [endpoint.entry(weight=50.0) for endpoint in real]
    with NodeProcess(
        tmp_path,
        Balancers=MANY,
        Position=MANY - 1,
        Weights="nominal",
        known=False,
        limits={"memory_mb": 32, "sockets": 256},
    ) as node:
        wait_until(lambda: node.discovery.watches)
        node.discovery.send_change(*rows)
        wait_until(lambda: node.submit(destination=MANY) == 202)
        wait_until(lambda: len(real[0].calls) + len(real[1].calls) == 1)
        for begin in range(0, MANY - 2, 64):
            node.discovery.send_change(
                *[row | {"state": "DRAINING"} for row in rows[begin : min(begin + 64, MANY - 2)]]
            )
        node.discovery.send_change(rows[-1] | {"state": "DELETED"})
        time.sleep(0.2)
        for _ in range(4):  # its part is two calls a second
            assert node.submit(destination=MANY) == 202
        wait_until(lambda: len(real[0].calls) + len(real[1].calls) == 5)
        assert len(real[1].calls) <= 1
        assert rss_mb(node.process) < 32.0 and len(os.listdir(f"/proc/{node.process.pid}/fd")) < 256
        node.config["known"] = {"version": 1, "full": True, "servers": rows}
        node.discovery.list_document["servers"][:] = rows
        node.stop(), node.config_path.write_text(json.dumps(node.config))
        assert node.start().submit(destination=1) == 202 and rss_mb(node.process) < 32.0


def test_a_list_of_a_thousand_costs_about_its_length():
    """Each endpoint that came had all of its destination's sorted anew."""
    run = SimulatedNode([]).run_until(0.0)
    entries = [(f"s-{number}", 0, 0, 0, 0.0, True) for number in range(MANY)]
    calls = []
    sys.setprofile(lambda frame, kind, argument: calls.append(kind) if kind == "call" else None)
    try:
        run.session.router.apply_endpoint_list(entries, True, 0.0)
    finally:
        sys.setprofile(None)
    assert len(run.session.router.destinations[0].endpoints) == MANY
    assert len(calls) < 15 * MANY


def test_what_is_read_of_a_list_has_room_for_far_more_than_a_thousand():
    row = {
        "id": "s" * 64,
        "addr": "127.255.255.255:65535",
        "zone": "z" * 64,
        "kind": "k" * 64,
        "cell": 10**6,
        "state": "DRAINING",
        "weight": 1234.56789,
        "started_ms": 1796164699085,
    }
    assert len(str(row)) * MANY * 4 < MAX_OBJECT_BYTES


@pytest.mark.parametrize("sockets", [256, 1024, 4096])
def test_the_listener_s_queue_grows_with_the_sockets(sockets):
    limits = Limits({"sockets": sockets}, 8, 5000.0, 1500.0)
    assert limits.backlog >= max(MANY, sockets)


def test_a_thousand_clients_at_one_moment_wait_in_the_listener(tmp_path):
    """It held 512; the kernel dropped the others, who came a second later or never."""
    if int(Path("/proc/sys/net/core/somaxconn").read_text()) < MANY:
        pytest.skip("the kernel lets fewer wait")
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, limits={"sockets": 96}) as node:
        node.process.send_signal(19)  # SIGSTOP: nobody is accepted meanwhile
        conns = [socket.socket() for _ in range(900)]
        began = time.monotonic()
        for conn in conns:
            conn.settimeout(0.5)
            conn.connect(("127.0.0.1", node.port))
        assert time.monotonic() - began < 0.9
        node.process.send_signal(18)
        for conn in conns:
            conn.close()
        wait_until(lambda: node.submit() == 202)
