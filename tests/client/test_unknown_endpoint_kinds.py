"""An endpoint of a kind that the settings do not name has a batch size of one and no separate route."""

import anyio
import pytest
from support.simulated_node import SimulatedNode

from swiftthread.client.discovery_client import DiscoveryClient

KIND_NUMBERS = {"first": 0, "second": 1}
ENTRY = {"id": "s-1", "addr": "127.0.0.1:2", "cell": 0, "zone": "east", "state": "SERVING", "weight": 4.0}


@pytest.mark.parametrize(
    ("kind", "batch_size", "has_separate_route"),
    [
        ("first", 5, True),
        ("second", 3, False),
        ("third", 1, False),
        (None, 1, False),
        (["first"], 1, False),
    ],
)
def test_the_kind_determines_batch_size_and_separate_route(kind, batch_size, has_separate_route):
    anyio.run(assert_kind, kind, batch_size, has_separate_route)


async def assert_kind(kind, batch_size, has_separate_route):
    discovery = DiscoveryClient(("127.0.0.1", 1), None, KIND_NUMBERS, {"east": 0}, 0.0, 0.0)
    node = SimulatedNode([], batch_size_by_kind=[5, 3], separate_routes_by_kind=[True, False])
    document = {"version": 1, "full": True, "servers": [ENTRY | {"kind": kind}]}
    node.apply_endpoint_list(*discovery.apply_list(document))
    endpoint = node.session.router.endpoints["s-1"]
    assert endpoint.batch_size == batch_size
    assert endpoint.has_separate_route == has_separate_route
