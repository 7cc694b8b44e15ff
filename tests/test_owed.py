"""What one customer or endpoint is told never another's: hand-ins under one id, tenants, kinds.

Also across a restart.
"""

import json
import signal

import anyio
import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, lane, until
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.storage.log_file import FILE_NAME
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.recently_ended import RETENTION_MS
from swiftthread.storage.records import ENDED, record
from swiftthread.storage.write_ahead_log import WriteAheadLog

REALMS = [
    {"Name": "north", "QuotaPerS": 0.001, "Share": 0.5},
    {"Name": "south", "QuotaPerS": 50.0, "Share": 0.5},
]


def held(ident="evt-1", **other):
    said = {
        "idempotency_key": "k",
        "stream_type": "once",
        "destination": 1,
        "expires_at": 9000.0,
        "tenant": "north",
        "ordering_key": 0,
        "body": b"body",
    } | other
    return PendingEvent(ident, **said)


def test_a_hand_in_sent_again_after_a_kill_is_no_second_event(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.hand_in("once", ident="crossed") == 202
        until(lambda: b'E["crossed"]' in node.log_path().read_bytes())
        node.stop(signal.SIGKILL)
        node.start()
        assert (
            node.hand_in("once", ident="crossed", left="2000m") == node.hand_in("once", ident="next") == 202
        )
        until(lambda: b'E["next"]' in node.log_path().read_bytes())
        assert endpoint.idents() == ["crossed", "next"] and node.notices() == {}


@pytest.mark.parametrize("anew", [False, True])
def test_an_id_just_over_is_known_after_a_restart_and_a_log_written_anew(tmp_path, anew):
    now = [1000.0]
    log = WriteAheadLog(str(tmp_path), 3_000_000, lambda: now[0])
    assert log.append_taken(held()) and log.matches_known_event(held("evt-2")) is None
    log.append_ended(log.pending["evt-1"])
    if anew:
        log.compact()
        assert b"body" not in (tmp_path / FILE_NAME).read_bytes()
    log.close()
    log = WriteAheadLog(str(tmp_path), 3_000_000, lambda: now[0])
    assert log.matches_known_event(held()) is True and log.matches_known_event(held(body=b"other")) is False
    now[0] += RETENTION_MS + 1.0
    assert log.matches_known_event(held()) is None and not log.recently_ended
    log.compact()
    assert log.size == 0
    log.close()


@pytest.mark.parametrize("over", [False, True])
@pytest.mark.parametrize(
    "other",
    [
        {"body": b"other"},
        {"destination": 2},
        {"stream_type": "notice"},
        {"tenant": "south"},
        {"tenant": None},
        {"idempotency_key": "l"},
        {"ordering_key": 7},
    ],
)
def test_another_hand_in_under_a_known_id_is_not_the_same(tmp_path, other, over):
    log = WriteAheadLog(str(tmp_path), 3_000_000, lambda: 1000.0)
    assert log.append_taken(held())
    if over:
        log.append_ended(log.pending["evt-1"])
    assert (
        log.matches_known_event(held(**other)) is False
        and log.matches_known_event(held(expires_at=1.0)) is True
    )
    log.close()


def test_a_log_of_before_marks_still_knows_its_ids(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(record(ENDED, b'["evt-1"]'))
    log = WriteAheadLog(str(tmp_path), 3_000_000, lambda: 1000.0)
    assert log.matches_known_event(held()) is True and not log.unreadable_ranges
    log.close()


def test_two_clients_with_one_id_are_not_told_that_both_are_taken(tmp_path):
    endpoint, other = FakeEndpoint(None), FakeEndpoint(ident="s-2", cell=2)
    with NodeProcess(tmp_path, endpoint, other) as node:
        assert node.hand_in("once", ident="one", body=b"mine") == 202
        assert node.hand_in("once", ident="one", body=b"yours", destination=2) == 409
        assert node.hand_in("once", ident="one", body=b"mine", left="300m") == 202
        assert node.hand_in("once", ident="two", destination=2) == 202
        until(lambda: endpoint.calls and other.calls)
        assert [call[3] for call in endpoint.calls] == [b"mine"] and other.idents() == ["two"]


def test_who_is_no_tenant_has_no_tenant_s_share(tmp_path):
    def taken(quotas, tenant):
        return (
            SimulatedNode([], quotas=quotas, over_quota_weight=0.1)
            .session.router.add_event(0.0, 0, 0, 9000.0, tenant)
            .priority_weight
        )

    assert (
        taken([50.0, 50.0], 1)
        == taken([], None)
        == taken([], 0)
        == taken([None], 0)
        == IDEMPOTENT.priority_weight
    )
    assert taken([50.0, 50.0], None) == taken([50.0, 50.0], 2) == 0.1 * IDEMPOTENT.priority_weight
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, Realms=REALMS) as node:
        for number, org in enumerate(("north", "east", None)):
            assert node.hand_in(**{"X-Org": org}) == 202
            until(lambda: len(endpoint.calls) == number + 1)
        assert [node.log_path().read_bytes().count(name) for name in (b'"north"', b'"east"', b"null")] == [
            1,
            1,
            1,
        ]
        said = node.said()
        assert "evt-2: tenant 'east' is none of the settings'" in said and "evt-1: tenant" not in said


def test_an_endpoint_of_no_known_kind_has_nothing_of_a_kind_s():
    anyio.run(_kinds)


async def _kinds():
    discovery = DiscoveryClient(("127.0.0.1", 1), None, {"first": 0, "second": 1}, {"east": 0}, 0.0, 0.0)
    row = {"id": "s-1", "addr": "127.0.0.1:2", "cell": 0, "zone": "east", "state": "SERVING", "weight": 4.0}
    for kind, batch, apart in (
        ("first", 5, True),
        ("second", 3, False),
        ("third", 1, False),
        (None, 1, False),
        (["first"], 1, False),
    ):
        run = SimulatedNode([], batch_size_by_kind=[5, 3], separate_routes_by_kind=[True, False])
        run.list(*discovery.parse_list({"version": 1, "full": True, "servers": [row | {"kind": kind}]}))
        endpoint = run.session.router.endpoints["s-1"]
        assert (endpoint.batch_size, endpoint.has_separate_route) == (batch, apart)


def test_what_was_never_sent_is_handed_back_when_its_stream_type_is_no_more(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(
        tmp_path,
        endpoint,
        Profiles=[lane("notice", "retryable"), lane("once", "fragile")],
        Domain={"CallsOut": 1},
    ) as node:
        assert node.hand_in("once") == 202
        until(lambda: endpoint.calls)
        assert node.hand_in("once") == 202
        node.stop(signal.SIGKILL)
        node.parts["settings"]["Profiles"] = [lane("notice", "retryable")]
        node.conf.write_text(json.dumps(node.parts))
        node.start()
        until(lambda: node.notices() == {"evt-1": "given_up", "evt-2": "handed_back"})
