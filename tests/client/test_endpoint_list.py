"""Endpoint lists: malformed list documents, and entries that cannot be parsed."""

import pytest
from loguru import logger
from support.simulated_node import SimulatedNode

from swiftthread.client.endpoint_list import EndpointList, MalformedEndpointList

ENTRY = {
    "id": "s-1",
    "addr": "127.0.0.1:2",
    "cell": 0,
    "zone": "east",
    "kind": "plain",
    "state": "SERVING",
    "weight": 4.0,
}
DOCUMENT = {"version": 3, "full": True, "servers": [ENTRY, ENTRY | {"id": "s-2"}]}


@pytest.fixture
def endpoint_list():
    """Returns an endpoint list that has applied DOCUMENT."""
    endpoint_list = EndpointList({"plain": 0}, {"east": 0, "west": 1})
    endpoint_list.apply_document(DOCUMENT)
    return endpoint_list


@pytest.mark.parametrize(
    "document",
    [
        {},
        {"full": True},
        {"version": 9, "full": True, "servers": None},
        7,
        [DOCUMENT],
        {"version": 9, "full": True, "servers": {"s-3": ENTRY}},
        {"version": "nine", "full": True, "servers": []},
    ],
)
def test_a_malformed_document_changes_nothing(endpoint_list, document):
    with pytest.raises(MalformedEndpointList):
        endpoint_list.apply_document(document)
    assert endpoint_list.version == 3 and set(endpoint_list.addresses) == {"s-1", "s-2"}


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize(
    "unreadable", [{"addr": "nowhere"}, {"cell": None}, {"weight": "much"}, {"state": None, "addr": 5}]
)
def test_a_known_endpoint_with_an_unreadable_entry_is_not_ready(endpoint_list, full, unreadable):
    update = endpoint_list.apply_document(
        {"version": 4, "full": full, "servers": [ENTRY | unreadable, 7, {"id": 5}]},
    )
    first_update = EndpointList({"plain": 0}, {"east": 0, "west": 1}).apply_document(DOCUMENT)
    router = SimulatedNode([], stream_types=[]).session.router
    router.apply_endpoint_list(*first_update, 0.0)
    router.endpoints["s-1"].last_outcome_at = 0.5
    router.apply_endpoint_list(*update, 1.0)
    assert not router.endpoints["s-1"].is_ready and router.endpoints["s-1"].zone == 0
    remaining = [endpoint.endpoint_id for endpoint in router.destinations[0].endpoints]
    assert remaining == ([] if full else ["s-2"])
    assert endpoint_list.consecutive_unreadable_lists == 1


@pytest.mark.parametrize(
    "entry, reason",
    [
        ({"id": 5, "state": "SERVING"}, "endpoint 5: id: "),
        ({"id": "s-1"}, "endpoint 's-1': state: "),
        (ENTRY | {"addr": "nowhere"}, "endpoint 's-1': addr: "),
        (ENTRY | {"cell": None}, "endpoint 's-1': cell: "),
        (ENTRY | {"weight": "much"}, "endpoint 's-1': weight: "),
    ],
)
def test_an_unreadable_entry_is_logged_with_its_endpoint_and_key(endpoint_list, entry, reason):
    lines = []
    sink = logger.add(lines.append, level="WARNING", format="{message}")
    try:
        endpoint_list.apply_document({"version": 4, "servers": [entry]})
    finally:
        logger.remove(sink)
    assert any(f"an entry of the list cannot be parsed ({reason}" in line for line in lines)
