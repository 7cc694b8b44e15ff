"""Endpoint lists: pages that are none, and entries that cannot be read."""

import pytest
from loguru import logger
from support.simulated_node import SimulatedNode

from swiftthread.client.endpoint_list import EndpointList, MalformedEndpointList

ROW = {
    "id": "s-1",
    "addr": "127.0.0.1:2",
    "cell": 0,
    "zone": "east",
    "kind": "plain",
    "state": "SERVING",
    "weight": 4.0,
}
PAGE = {"version": 3, "full": True, "servers": [ROW, ROW | {"id": "s-2"}]}


@pytest.fixture
def endpoint_list():
    """An endpoint list that has read PAGE."""
    endpoint_list = EndpointList({"plain": 0}, {"east": 0, "west": 1})
    endpoint_list.apply_document(PAGE)
    return endpoint_list


@pytest.mark.parametrize(
    "page",
    [
        {},
        {"full": True},
        {"version": 9, "full": True, "servers": None},
        7,
        [PAGE],
        {"version": 9, "full": True, "servers": {"s-3": ROW}},
        {"version": "nine", "full": True, "servers": []},
    ],
)
def test_a_page_that_is_no_list_changes_nothing(endpoint_list, page):
    with pytest.raises(MalformedEndpointList):
        endpoint_list.apply_document(page)
    assert endpoint_list.version == 3 and set(endpoint_list.addresses) == {"s-1", "s-2"}


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize(
    "wrong", [{"addr": "nowhere"}, {"cell": None}, {"weight": "much"}, {"state": None, "addr": 5}]
)
def test_a_known_endpoint_whose_entry_cannot_be_read_gets_nothing_new(endpoint_list, full, wrong):
    update = endpoint_list.apply_document(
        {"version": 4, "full": full, "servers": [ROW | wrong, 7, {"id": 5}]},
    )
    first_update = EndpointList({"plain": 0}, {"east": 0, "west": 1}).apply_document(PAGE)
    router = SimulatedNode([], stream_types=[]).session.router
    router.apply_endpoint_list(*first_update, 0.0)
    router.endpoints["s-1"].last_outcome_at = 0.5
    router.apply_endpoint_list(*update, 1.0)
    assert not router.endpoints["s-1"].is_ready and router.endpoints["s-1"].zone == 0
    remaining = [endpoint.endpoint_id for endpoint in router.destinations[0].endpoints]
    assert remaining == ([] if full else ["s-2"])
    assert endpoint_list.consecutive_unreadable_lists == 1


@pytest.mark.parametrize(
    "row, reason",
    [
        ({"id": 5, "state": "SERVING"}, "endpoint 5: id: "),
        ({"id": "s-1"}, "endpoint 's-1': state: "),
        (ROW | {"addr": "nowhere"}, "endpoint 's-1': addr: "),
        (ROW | {"cell": None}, "endpoint 's-1': cell: "),
        (ROW | {"weight": "much"}, "endpoint 's-1': weight: "),
    ],
)
def test_an_entry_that_cannot_be_read_is_logged_with_its_endpoint_and_key(endpoint_list, row, reason):
    lines = []
    sink = logger.add(lines.append, level="WARNING", format="{message}")
    try:
        endpoint_list.apply_document({"version": 4, "servers": [row]})
    finally:
        logger.remove(sink)
    assert any(f"an entry of the list cannot be parsed ({reason}" in line for line in lines)
