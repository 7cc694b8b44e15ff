"""Limits of disk space, pending events, file descriptors and sockets."""

import os
import resource
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until


def test_submissions_are_rejected_before_the_disk_quota_is_full_and_accepted_again_later(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, limits={"disk_mb": 0.2}) as node:
        statuses = [node.submit("notice", bytes(9000), left="4000m") for _ in range(12)]
        assert (
            statuses == [202] * statuses.count(202) + [503] * statuses.count(503)
            and 3 < statuses.count(202) < 12
        )
        endpoint.script[:] = [200]
        for _ in range(60):
            node.submit("notice", bytes(9000))
            used_bytes = sum((os.path.getsize(path) + 511) // 512 * 512 for path in node.state.iterdir())
            assert used_bytes < 200_000
            time.sleep(0.03)
        wait_until(lambda: node.submit("notice", bytes(9000)) == 202)
        assert node.stop() == 0


def test_pending_events_are_limited_and_a_repeated_submission_counts_once(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Permissions={"MaxOpen": 4}) as node:
        assert [node.submit("once", ident="same") for _ in range(3)] == [202] * 3
        assert [node.submit("once") for _ in range(4)] == [202] * 3 + [503]
        assert endpoint.event_ids().count("same") <= 1


def test_the_node_survives_a_shortage_of_file_descriptors(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        limit = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
        open_count = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        with node.open() as conn:
            assert exchange(conn, node.submission_request("once")).startswith(b"HTTP/1.1 202")
            wait_until(lambda: endpoint.calls)
            resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (open_count, limit[1]))
            # No descriptor is left for a call or for another client.
            conn.sendall(node.submission_request("once"))
            assert conn.recv(999).startswith(b"HTTP/1.1 202")
            waiting_conn = node.open()
            time.sleep(0.3)
            resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limit)
            assert exchange(waiting_conn, node.submission_request("once")).startswith(b"HTTP/1.1 202")
        wait_until(
            lambda: set(endpoint.event_ids()) | set(node.final_outcomes()) == {"evt-1", "evt-2", "evt-3"}
        )
        assert (
            set(node.final_outcomes().values()) <= {"handed_back"}
            and "Too many open files" in node.stop_and_read_log()
        )


def test_the_node_stays_below_its_socket_limit_and_still_accepts_submissions(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, limits={"sockets": 96}) as node:
        conns = [node.open() for _ in range(150)]
        time.sleep(0.3)
        assert node.submit() == 202
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < 96
        for conn in conns:
            conn.close()
        wait_until(lambda: endpoint.calls)


def test_many_health_check_requests_do_not_block_clients(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 96}, Permissions={"MaxOpen": 100}) as node:
        checkers = []
        for _ in range(120):
            checkers.append(node.open())
            checkers[-1].sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
        clients = [node.open() for _ in range(60)]
        time.sleep(0.05)
        for conn in clients:  # twice as many as may be open at once; each sends shortly after its connect
            conn.sendall(node.submission_request())
        assert [conn.recv(999)[:12] for conn in clients] == [b"HTTP/1.1 202"] * 60


def test_idle_clients_after_one_request_do_not_block_other_clients(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 96}) as node:
        recurring_client, responses = node.open(), []
        for _ in range(2):
            assert b"close" not in exchange(recurring_client, node.submission_request())
        idle_clients = [node.open() for _ in range(25)]
        for conn in idle_clients:
            responses.append(exchange(conn, node.submission_request()))
        retained = [
            conn
            for conn, response in zip(idle_clients, responses, strict=True)
            if b"Connection: close" not in response
        ]
        assert all(response.startswith(b"HTTP/1.1 202") for response in responses) and 4 < len(retained) < 13
        assert all(conn.recv(1) == b"" for conn in idle_clients if conn not in retained)
        assert b"close" not in exchange(recurring_client, node.submission_request())


def test_connections_without_a_request_are_closed_and_do_not_block_a_client(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 256}) as node:
        client, began_at = node.open(), time.monotonic()
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
        incomplete = node.open()
        incomplete.sendall(node.submission_request()[:60])
        without_request = [node.open() for _ in range(300)]
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < 256
        assert incomplete.recv(999) == b""
        for conn in without_request:
            assert conn.recv(1) == b""
            conn.close()
        assert time.monotonic() - began_at < 3.0
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
