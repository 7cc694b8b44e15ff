"""A node keeps to the memory limit of its configuration, and its service, beside crowds of other clients."""

import json
import time
from contextlib import ExitStack

import pytest
from support.crowds import OrdinaryClients, crowd, process_memory_mb
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile

from swiftthread.memory_account import SHARES, UNACCOUNTED_SHARE, MemoryUse

# Of submissions on new connections, this share gets a response within the time that clients wait.
MIN_ANSWERED_SHARE = 0.9
CROWD_START_S = 0.8
BATCH_SIZE = 5
ACCEPTED_LOAD_S = 6.0
RESPONSE_BEGIN = b"HTTP/1.1 "
ORDINARY_CLIENTS_S = 2.0


def check_memory_and_service(folder, crowds, limit_mb, sockets):
    """Run crowds, given as clients by kind, and ordinary clients beside them; check the node's limits."""
    endpoint = FakeEndpoint()
    with ExitStack() as stack:
        node = stack.enter_context(
            NodeProcess(
                folder,
                endpoint,
                limits={"memory_mb": limit_mb, "sockets": sockets},
                Permissions={"MaxOpen": 4000},
            )
        )
        for kind, clients in crowds.items():
            stack.enter_context(crowd(node, kind, clients, CROWD_START_S + ORDINARY_CLIENTS_S + 1.0))
        time.sleep(CROWD_START_S)  # the crowd is connected and sends
        with OrdinaryClients(node) as ordinary:
            time.sleep(ORDINARY_CLIENTS_S)
        assert process_memory_mb(node.process, "VmHWM") < limit_mb
        assert ordinary.answered_share >= MIN_ANSWERED_SHARE, sorted(ordinary.unanswered)
        return ordinary


@pytest.mark.parametrize(
    "kind",
    [
        "idle",
        "incomplete_line",
        "incomplete_head",
        "incomplete_body",
        "slow_body",
        "many_fields",
        "many_fields_and_body",
    ],
)
def test_a_node_beside_600_clients_of_one_kind_stays_within_32_mb(tmp_path, kind):
    """It took up to 122 MB."""
    check_memory_and_service(tmp_path, {kind: 600}, limit_mb=32, sockets=1024)


@pytest.mark.parametrize(
    "limit_mb, sockets, clients", [(32, 256, 150), (48, 1024, 600), (64, 256, 150), (192, 1024, 900)]
)
@pytest.mark.parametrize("kind", ["incomplete_body", "many_fields_and_body"])
def test_a_node_with_other_limits_keeps_to_them(tmp_path, kind, limit_mb, sockets, clients):
    check_memory_and_service(tmp_path, {kind: clients}, limit_mb, sockets)


@pytest.mark.parametrize("kind", ["one_byte_chunks", "invalid", "unknown_names"])
def test_a_few_clients_at_full_speed_do_not_hold_up_others(tmp_path, kind):
    check_memory_and_service(tmp_path, {kind: 10}, limit_mb=32, sockets=1024)


@pytest.mark.parametrize("clients", [1, 10])
def test_events_under_ever_new_names_keep_to_the_limit_and_others_are_accepted(tmp_path, clients):
    """They took 45 MB of 32, and 108 of 156 events of other clients were rejected."""
    ordinary = check_memory_and_service(tmp_path, {"new_names": clients}, limit_mb=32, sockets=1024)
    assert len(ordinary.accepted) >= MIN_ANSWERED_SHARE * len(ordinary.answered)


def test_a_node_beside_crowds_of_all_kinds_stays_within_its_memory_limit(tmp_path):
    """Its process passed the limit and was killed."""
    crowds = {
        "idle": 150,
        "incomplete_line": 100,
        "incomplete_head": 100,
        "incomplete_body": 150,
        "many_fields": 50,
        "many_fields_and_body": 50,
        "new_names": 5,
    }
    check_memory_and_service(tmp_path, crowds, limit_mb=32, sockets=1024)


def test_long_names_of_tenants_count_toward_the_memory_of_events(tmp_path):
    """They took 15 KB for each event that counted as 9 KB."""
    limits = {"memory_mb": 40, "sockets": 256, "disk_mb": 100}
    with NodeProcess(tmp_path, FakeEndpoint(None), limits=limits, Permissions={"MaxOpen": 4000}) as node:
        start_mb = process_memory_mb(node.process, "VmRSS")
        statuses = [node.submit(body=b"", **{"X-Org": f"{number}-" + "t" * 15_000}) for number in range(1200)]
        accepted_count = statuses.count(202)
        assert 50 < accepted_count < len(statuses)
        available_mb = limits["memory_mb"] - start_mb
        events_share = UNACCOUNTED_SHARE + (1 - UNACCOUNTED_SHARE) * SHARES[MemoryUse.EVENTS]
        assert process_memory_mb(node.process, "VmHWM") - start_mb < events_share * available_mb


def submit_clumps(node, duration_s):
    """Submit clumps of events on one connection; return how many were accepted, of how many."""
    accepted = submitted = 0
    ends_at = time.monotonic() + duration_s
    with node.open() as conn:
        while time.monotonic() < ends_at:
            conn.sendall(b"".join(node.submission_request(left="18000m") for _ in range(BATCH_SIZE)))
            submitted += BATCH_SIZE
            responses = b""
            while responses.count(RESPONSE_BEGIN) < BATCH_SIZE:
                responses += conn.recv(65536)
            accepted += responses.count(RESPONSE_BEGIN + b"202")
    return accepted, submitted


def test_events_that_are_acked_at_once_leave_no_memory_behind(tmp_path):
    """Each finished call of several events left a task behind until their max age: 69 MB after 12 s."""

    def ack(body):
        events = json.loads(body) if body.startswith(b"[") else []
        return 200, [], json.dumps([{"id": event["id"], "state": "done"} for event in events]).encode()

    settings = {
        "Domain": {"CallsOut": 8, "KindBatch": [BATCH_SIZE]},
        "Permissions": {"MaxOpen": 4000},
        "Profiles": [stream_profile("notice", "retryable", Deadline=20.0)],
    }
    limits = {"memory_mb": 32, "sockets": 1024}
    with NodeProcess(tmp_path, FakeEndpoint(ack), limits=limits, **settings) as node:
        accepted, submitted = submit_clumps(node, ACCEPTED_LOAD_S)
        assert accepted > MIN_ANSWERED_SHARE * submitted
        assert process_memory_mb(node.process, "VmHWM") < 32.0
