"""Endpoint lists: malformed list documents, and entries that cannot be parsed."""

import pytest
from loguru import logger
from support.simulated_node import SimulatedNode

from swiftthread.client.endpoint_list import (
    MAX_ENTRY_VERSIONS,
    MAX_UNCONFIGURED_ZONES,
    EndpointList,
    MalformedEndpointList,
)

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


def ready_endpoint_ids(endpoint_list, *documents):
    """Applies documents to the list and a router; returns the ids of the endpoints that may be called."""
    router = SimulatedNode([], stream_types=[]).session.router
    for document in documents:
        router.apply_endpoint_list(*endpoint_list.apply_document(document), 0.0)
    return {endpoint_id for endpoint_id, endpoint in router.endpoints.items() if endpoint.is_ready}


def test_an_address_that_passes_to_another_destination_is_not_called_for_the_first_one(endpoint_list):
    """Guards against events sent to another destination when an addition is told before the removal."""
    taker = {"version": 4, "full": False, "servers": [ENTRY | {"id": "s-3", "cell": 7}]}
    old_drains = {"version": 5, "full": False, "servers": [ENTRY | {"state": "DRAINING"}]}
    ready = ready_endpoint_ids(endpoint_list, DOCUMENT, taker)
    assert "s-3" in ready and "s-1" not in ready
    assert "s-3" in ready_endpoint_ids(endpoint_list, DOCUMENT, taker, old_drains)


TAKER = {"version": 4, "full": False, "servers": [ENTRY | {"id": "s-3", "cell": 7}]}
TAKER_IS_DELETED = {"version": 5, "servers": [ENTRY | {"id": "s-3", "cell": 7, "state": "DELETED"}]}
TAKER_STARTED_EARLIER = {"version": 6, "servers": [ENTRY | {"id": "s-3", "cell": 7, "started_ms": 1000}]}
TAKER_STARTED_LATER = {"version": 6, "servers": [ENTRY | {"id": "s-3", "cell": 7, "started_ms": 3000}]}
FIRST_AGAIN = {"version": 5, "full": False, "servers": [ENTRY]}
FIRST_STARTED_AGAIN = {"version": 5, "full": False, "servers": [ENTRY | {"started_ms": 2000}]}
FIRST_DRAINS = {"version": 5, "full": False, "servers": [ENTRY | {"state": "DRAINING"}]}
FIRST_IS_DELETED = {"version": 5, "full": False, "servers": [ENTRY | {"state": "DELETED"}]}
FIRST_ELSEWHERE = {"version": 5, "full": False, "servers": [ENTRY | {"addr": "127.0.0.1:9"}]}
ALL_AT_ONE_ADDRESS = {"version": 5, "full": True, "servers": [ENTRY, ENTRY | {"id": "s-3", "cell": 7}]}


@pytest.mark.parametrize(
    "documents, is_first_ready, is_taker_ready",
    [
        ([TAKER], False, True),
        ([TAKER, FIRST_AGAIN], False, True),
        ([TAKER, TAKER_IS_DELETED], True, False),
        ([TAKER, FIRST_ELSEWHERE], True, True),
        ([TAKER, ALL_AT_ONE_ADDRESS], False, True),
        ([ALL_AT_ONE_ADDRESS], False, True),
        ([TAKER, FIRST_STARTED_AGAIN], True, False),
        ([FIRST_STARTED_AGAIN, TAKER_STARTED_LATER], False, True),
        ([FIRST_STARTED_AGAIN, TAKER_STARTED_EARLIER], False, False),
        ([FIRST_STARTED_AGAIN, TAKER_STARTED_EARLIER, FIRST_IS_DELETED | {"version": 7}], False, True),
    ],
)
def test_the_endpoint_that_was_named_last_at_an_address_owns_it(
    endpoint_list, documents, is_first_ready, is_taker_ready
):
    ready = ready_endpoint_ids(endpoint_list, DOCUMENT, *documents)
    assert ("s-1" in ready, "s-3" in ready) == (is_first_ready, is_taker_ready)


@pytest.mark.parametrize("started_ms", [(0, 0), (1000, 1000), (1000, 2000), (2000, 1000)])
@pytest.mark.parametrize("other", [{"cell": 7}, {"zone": "west"}, {"kind": "other"}])
@pytest.mark.parametrize("is_first", [False, True])
def test_an_address_of_which_nothing_tells_the_owner_is_not_called(is_first, other, started_ms):
    """After a restart the first document named both the endpoint that had gone and the one in its place.

    The node sent events of the one that had gone to the other, of another destination.
    """
    gone = ENTRY | {"started_ms": started_ms[0]}
    taker = ENTRY | {"id": "s-3", "started_ms": started_ms[1]} | other
    servers = [taker, gone] if is_first else [gone, taker]
    known = {"version": 5, "full": True, "servers": servers}
    endpoint_list = EndpointList({"plain": 0, "other": 1}, {"east": 0, "west": 1})
    assert ready_endpoint_ids(endpoint_list, known) == set()
    assert ready_endpoint_ids(endpoint_list, known | {"version": 6}) == set()
    gone_is_deleted = {"version": 7, "full": False, "servers": [gone | {"state": "DELETED"}]}
    assert ready_endpoint_ids(endpoint_list, gone_is_deleted) == {"s-3"}


def test_endpoints_of_one_destination_that_one_document_names_at_an_address_share_it():
    """It does not matter which of them listens there."""
    both = {"version": 5, "full": True, "servers": [ENTRY, ENTRY | {"id": "s-3"}]}
    assert ready_endpoint_ids(EndpointList({"plain": 0}, {"east": 0}), both) == {"s-1", "s-3"}


SECOND_DRAINS = {"version": 4, "full": False, "servers": [ENTRY | {"id": "s-2", "state": "DRAINING"}]}
FIRST_IS_READY = {"version": 4, "full": False, "servers": [ENTRY]}


@pytest.mark.parametrize(
    "documents, expected",
    [
        ([DOCUMENT, FIRST_DRAINS, DOCUMENT], {"s-2"}),
        ([DOCUMENT, FIRST_IS_READY, FIRST_DRAINS, FIRST_IS_READY], {"s-2"}),
        ([DOCUMENT, FIRST_IS_DELETED, FIRST_IS_READY], {"s-2"}),
        ([DOCUMENT, FIRST_DRAINS, SECOND_DRAINS], set()),
        ([DOCUMENT, FIRST_DRAINS, FIRST_DRAINS], {"s-2"}),
    ],
)
def test_a_document_that_comes_twice_or_late_undoes_no_later_change(endpoint_list, documents, expected):
    assert ready_endpoint_ids(endpoint_list, *documents) == expected
    assert endpoint_list.version == 5


def test_the_first_complete_list_of_a_watch_is_applied_whatever_its_version(endpoint_list):
    endpoint_list.apply_document({"version": 2, "full": True, "servers": [ENTRY]}, is_first_of_watch=True)
    assert endpoint_list.version == 2 and set(endpoint_list.addresses) == {"s-1"}
    change = {"version": 3, "full": False, "servers": [ENTRY | {"id": "s-4"}]}
    assert ready_endpoint_ids(endpoint_list, change) == {"s-4"} and endpoint_list.version == 3


def test_a_watch_that_begins_with_an_older_change_makes_the_node_request_the_complete_list(endpoint_list):
    with pytest.raises(MalformedEndpointList):
        endpoint_list.apply_document({"version": 2, "servers": [ENTRY]}, is_first_of_watch=True)
    endpoint_list.expect_complete_list()
    endpoint_list.apply_document({"version": 2, "servers": []}, is_first_of_watch=True)
    assert endpoint_list.version == 2


def test_an_unknown_complete_list_older_than_the_last_change_is_not_applied(endpoint_list):
    endpoint_list.apply_document(FIRST_DRAINS)
    with pytest.raises(MalformedEndpointList):
        endpoint_list.apply_document({"version": 4, "full": True, "servers": [ENTRY]})
    assert set(endpoint_list.addresses) == {"s-1", "s-2"}


def test_versions_of_deleted_endpoints_are_forgotten_after_many_changes(endpoint_list):
    for number in range(2 * MAX_ENTRY_VERSIONS):
        entry = ENTRY | {"id": f"e-{number}", "state": "DELETED"}
        endpoint_list.apply_document({"version": 10 + number, "servers": [entry]})
    assert len(endpoint_list.entry_versions) == MAX_ENTRY_VERSIONS
    update = endpoint_list.apply_document({"version": 10, "servers": [ENTRY | {"id": "e-0"}]})
    assert update.entries == []


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


def test_zones_that_the_settings_do_not_name_are_forgotten_beyond_a_number(endpoint_list):
    """A list that names ever new zones made the table grow for as long as the process ran."""
    for number in range(2 * MAX_UNCONFIGURED_ZONES):
        entry = ENTRY | {"id": "e", "zone": f"zone-{number}"}
        endpoint_list.apply_document({"version": 10 + number, "servers": [entry]})
    assert len(endpoint_list._unconfigured_zones) == MAX_UNCONFIGURED_ZONES
