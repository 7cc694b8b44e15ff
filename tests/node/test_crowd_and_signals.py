"""Crowds of clients while a node is reloaded, shut down, or killed and started again with a full log."""

import signal
import time

import pytest
from support.crowds import OrdinaryClients, crowd, process_memory_mb
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.client.http_exchange import RESPONSE_COMPLETION_MS

LIMIT_MB = 32
LIMITS = {"memory_mb": LIMIT_MB, "sockets": 1024}
MIN_ANSWERED_SHARE = 0.9
CROWD_START_S = 0.8
# SIGKILL comes no sooner than this after SIGTERM.
SHUTDOWN_TIMEOUT_S = 3.7
MANY_CALLS = {"Domain": {"CallsOut": 60, "KindBatch": [4]}, "Permissions": {"MaxOpen": 4000}}


def test_reloads_beside_a_crowd_cost_no_client_its_answer(tmp_path):
    with (
        NodeProcess(tmp_path, FakeEndpoint(), limits=LIMITS) as node,
        crowd(node, "incomplete_body", 400, 5.0),
    ):
        time.sleep(CROWD_START_S)
        with OrdinaryClients(node) as ordinary:
            for _ in range(5):
                node.reload()
                time.sleep(0.2)
        assert ordinary.answered_share >= MIN_ANSWERED_SHARE
        assert process_memory_mb(node.process, "VmHWM") < LIMIT_MB


@pytest.mark.parametrize("kind, clients", [("idle", 900), ("incomplete_body", 600), ("many_fields", 600)])
def test_a_shutdown_beside_a_crowd_ends_in_time_and_within_the_memory_limit(tmp_path, kind, clients):
    """At the end of a shutdown all clients that waited to be accepted were, whatever the limits."""
    with NodeProcess(tmp_path, FakeEndpoint(), limits=LIMITS) as node, crowd(node, kind, clients, 8.0):
        time.sleep(CROWD_START_S)
        assert node.submit() == 202
        node.process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        highest_mb = 0.0
        while node.process.poll() is None:
            assert time.monotonic() - stopped_at < SHUTDOWN_TIMEOUT_S
            try:
                highest_mb = max(highest_mb, process_memory_mb(node.process, "VmHWM"))
            except (OSError, StopIteration):
                break  # the process has ended
            time.sleep(0.005)
        assert node.process.wait(timeout=1.0) == 0
        assert 0 < highest_mb < LIMIT_MB


def test_a_node_that_is_killed_beside_a_crowd_starts_with_a_full_log_and_serves(tmp_path):
    """The events of the log count toward the memory of the new process before it accepts others."""
    endpoint = FakeEndpoint(None)
    settings = {"Permissions": {"MaxOpen": 4000}, "Domain": {"CallsOut": 8}}
    with NodeProcess(tmp_path, endpoint, limits=LIMITS, **settings) as node:
        with crowd(node, "new_names", 5, 6.0), crowd(node, "incomplete_body", 300, 6.0):
            wait_until(lambda: len(node.pending_event_ids()) > 100)
            node.stop(signal.SIGKILL)
            node.start()
            with OrdinaryClients(node) as ordinary:
                time.sleep(1.5)
            assert ordinary.answered_share >= MIN_ANSWERED_SHARE
            assert process_memory_mb(node.process, "VmHWM") < LIMIT_MB
        endpoint.script[:] = [200]


@pytest.mark.parametrize("response_kind", ["long body", "incomplete head"])
def test_answers_of_many_endpoints_at_once_keep_to_the_memory_limit(tmp_path, response_kind):
    responses = {
        "long body": b"HTTP/1.1 500 Error\r\nContent-Length: 65536\r\n\r\n" + bytes(60_000),
        "incomplete head": b"HTTP/1.1 500 Error\r\nX: " + b"x" * 31_000,
    }

    def hold(conn):
        conn.sendall(responses[response_kind])
        conn.recv(1)  # until the node closes the connection

    endpoints = [FakeEndpoint(lambda _body: hold, ident=f"s-{number}") for number in range(4)]
    with NodeProcess(tmp_path, *endpoints, limits=LIMITS, **MANY_CALLS) as node:
        with OrdinaryClients(node, clients=8, pause_s=0.0) as ordinary:
            time.sleep(2.0)
        assert process_memory_mb(node.process, "VmHWM") < LIMIT_MB
        assert ordinary.answered_share >= MIN_ANSWERED_SHARE
    assert sum(len(endpoint.calls) for endpoint in endpoints) > 10


class EndlessAnswers:
    """Sends an answer that never ends on each connection, and measures after what time each is closed."""

    def __init__(self):
        self.durations_ms = []

    def send(self, conn):
        """Send on a connection until its peer closes it."""
        began_at = time.monotonic()
        try:
            conn.sendall(b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                conn.sendall(b"4000\r\n" + bytes(0x4000) + b"\r\n")
        finally:
            self.durations_ms.append(1000.0 * (time.monotonic() - began_at))

    def read_count(self):
        """Return how many answers were read up to the bound of their bytes.

        All other calls with an answer last until a time-out, and the shortest one is that for the rest of an
        answer that has begun.
        """
        return sum(duration_ms < RESPONSE_COMPLETION_MS for duration_ms in self.durations_ms)


def test_endless_answers_of_many_endpoints_are_read_to_their_bound_within_the_memory_limit(tmp_path):
    """A node that did not read them would hold their calls and connections until the time-outs."""
    answers = EndlessAnswers()
    endpoints = [FakeEndpoint(lambda _body: answers.send, ident=f"s-{number}") for number in range(4)]
    with NodeProcess(tmp_path, *endpoints, limits=LIMITS, **MANY_CALLS) as node:
        with OrdinaryClients(node, clients=8, pause_s=0.0) as ordinary:
            time.sleep(2.0)
            wait_until(lambda: answers.read_count() > 10, timeout_s=20.0)
        assert process_memory_mb(node.process, "VmHWM") < LIMIT_MB
        assert ordinary.answered_share >= MIN_ANSWERED_SHARE


def test_a_flood_of_each_kind_of_name_leaves_no_memory_behind(tmp_path):
    """Ids, ordering keys, tenants and destinations from outside are forgotten with their events."""
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, limits=LIMITS, Permissions={"MaxOpen": 4000}) as node:
        after_flood = []
        for _ in range(3):
            for kind in ("new_names", "unknown_names", "invalid"):
                with crowd(node, kind, 4, 1.5) as process:
                    process.wait(timeout=10)
            wait_until(lambda: not node.pending_event_ids())
            after_flood.append(process_memory_mb(node.process, "VmRSS"))
        assert after_flood[-1] < LIMIT_MB
        # What the second and the third flood add to the first is the allocator's, not that of names.
        assert after_flood[-1] - after_flood[0] < 1.0
