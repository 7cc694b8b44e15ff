"""An event whose tenant is not in the settings has neither the quota nor the share of a tenant."""

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

OVER_QUOTA_WEIGHT = 0.1
TENANTS = [
    {"Name": "north", "QuotaPerS": 0.001, "Share": 0.5},
    {"Name": "south", "QuotaPerS": 50.0, "Share": 0.5},
]


def priority_weight(quotas, tenant):
    node = SimulatedNode([], quotas=quotas, over_quota_weight=OVER_QUOTA_WEIGHT)
    return node.session.router.add_event(0.0, 0, 0, 9000.0, tenant).priority_weight


def test_unknown_tenant_is_over_quota_only_if_the_settings_have_quotas():
    full_weight = IDEMPOTENT.priority_weight
    assert priority_weight([50.0, 50.0], 1) == full_weight
    assert priority_weight([], None) == full_weight
    assert priority_weight([], 0) == full_weight
    assert priority_weight([None], 0) == full_weight
    assert priority_weight([50.0, 50.0], None) == OVER_QUOTA_WEIGHT * full_weight
    assert priority_weight([50.0, 50.0], 2) == OVER_QUOTA_WEIGHT * full_weight


def test_event_of_an_unknown_tenant_is_accepted_logged_and_reported(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, Realms=TENANTS) as node:
        for number, tenant in enumerate(("north", "east", None)):
            assert node.submit(**{"X-Org": tenant}) == 202
            wait_until(lambda: len(endpoint.calls) == number + 1)
        log = node.log_path().read_bytes()
        assert [log.count(name) for name in (b'"north"', b'"east"', b"null")] == [1, 1, 1]
        output = node.stop_and_read_log()
        assert "evt-2: tenant 'east' is not in the settings" in output
        assert "evt-1: tenant" not in output
