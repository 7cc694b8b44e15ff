"""Limits of disk, capacity, descriptors and sockets."""

import os
import resource
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until


def test_a_full_disk_quota_sheds_load_early_and_recovers(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, limits={"disk_mb": 0.2}) as node:
        said = [node.submit("notice", bytes(9000), left="4000m") for _ in range(12)]
        assert said == [202] * said.count(202) + [503] * said.count(503) and 3 < said.count(202) < 12
        endpoint.script[:] = [200]
        for _ in range(60):
            node.submit("notice", bytes(9000))
            used = sum((os.path.getsize(path) + 511) // 512 * 512 for path in node.state.iterdir())
            assert used < 200_000
            time.sleep(0.03)
        wait_until(lambda: node.submit("notice", bytes(9000)) == 202)
        assert node.stop() == 0


def test_capacity_is_bounded_and_a_repeated_submission_is_one_event(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Permissions={"MaxOpen": 4}) as node:
        assert [node.submit("once", ident="same") for _ in range(3)] == [202] * 3
        assert [node.submit("once") for _ in range(4)] == [202] * 3 + [503]
        assert endpoint.event_ids().count("same") <= 1


def test_a_shortage_of_descriptors_is_survived(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        limit = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
        open_ = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        with node.open() as conn:
            assert exchange(conn, node.submission_request("once")).startswith(b"HTTP/1.1 202")
            wait_until(lambda: endpoint.calls)
            resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (open_, limit[1]))
            conn.sendall(
                node.submission_request("once")
            )  # neither a call nor another client gets a descriptor
            assert conn.recv(999).startswith(b"HTTP/1.1 202")
            waiting = node.open()
            time.sleep(0.3)
            resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limit)
            assert exchange(waiting, node.submission_request("once")).startswith(b"HTTP/1.1 202")
        wait_until(
            lambda: set(endpoint.event_ids()) | set(node.final_outcomes()) == {"evt-1", "evt-2", "evt-3"}
        )
        assert (
            set(node.final_outcomes().values()) <= {"handed_back"}
            and "Too many open files" in node.stop_and_read_log()
        )


def test_clients_beyond_the_socket_limit_are_answered_and_none_is_kept(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, limits={"sockets": 96}) as node:
        conns = [node.open() for _ in range(150)]
        time.sleep(0.3)
        assert node.submit() == 202
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < 96
        for conn in conns:
            conn.close()
        wait_until(lambda: endpoint.calls)


def test_many_health_checks_of_the_node_keep_no_client_out(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 96}, Permissions={"MaxOpen": 100}) as node:
        crowd = []
        for _ in range(120):
            crowd.append(node.open())
            crowd[-1].sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
        clients = [node.open() for _ in range(60)]
        time.sleep(0.05)
        for conn in clients:  # twice as many as may be held at once, each a moment after its connect
            conn.sendall(node.submission_request())
        assert [conn.recv(999)[:12] for conn in clients] == [b"HTTP/1.1 202"] * 60


def test_clients_with_one_request_that_stay_connected_leave_capacity_for_others(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 96}) as node:
        again, said = node.open(), []
        for _ in range(2):
            assert b"close" not in exchange(again, node.submission_request())
        staying = [node.open() for _ in range(25)]
        for conn in staying:
            said.append(exchange(conn, node.submission_request()))
        kept = [conn for conn, text in zip(staying, said, strict=True) if b"Connection: close" not in text]
        assert all(text.startswith(b"HTTP/1.1 202") for text in said) and 4 < len(kept) < 13
        assert all(conn.recv(1) == b"" for conn in staying if conn not in kept)
        assert b"close" not in exchange(again, node.submission_request())


def test_silent_connections_are_closed_in_time_and_never_at_a_client_s_cost(tmp_path):
    with NodeProcess(tmp_path, FakeEndpoint(), limits={"sockets": 256}) as node:
        client, began = node.open(), time.monotonic()
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
        half = node.open()
        half.sendall(node.submission_request()[:60])
        silent = [node.open() for _ in range(300)]
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < 256
        assert half.recv(999) == b""
        for conn in silent:
            assert conn.recv(1) == b""
            conn.close()
        assert time.monotonic() - began < 3.0
        assert exchange(client, node.submission_request()).startswith(b"HTTP/1.1 202")
