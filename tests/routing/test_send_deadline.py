"""By when a send must have left: window, group, expiry, Retry-After, draining."""

import math

import pytest
from support.simulated_node import SimulatedNode
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.routing.messages import SendOutcome

ZONAL = DEDUPLICATED._replace(deduplication_group="zone")
ENTRIES = [("a", 0, 0, 0, 0.0, True), ("b", 0, 1, 0, 0.0, True), ("c", 0, 0, 0, 0.0, True)]


def maybe_ran(stream, endpoint="a"):
    """A run at 1,000 ms, and an event of it whose first send, at 0 ms to this endpoint, may have run."""
    run = SimulatedNode([row for row in ENTRIES if row[0] == endpoint], stream_types=[stream]).run_until(0.0)
    node = run.session.router
    event = node.add_event(0.0, 0, 0, stream.max_age_ms)
    assert node.decide(event, 0.0).endpoint.endpoint_id == endpoint
    node.record_outcome(event, SendOutcome.RESET, 1000.0, 1000.0)
    node.apply_endpoint_list(ENTRIES, True, 1000.0)
    return node, event


@pytest.mark.parametrize(
    "stream, endpoint, by",
    [
        (DEDUPLICATED, "a", 5988.0),
        (DEDUPLICATED, "b", 5988.0),
        (ZONAL, "a", 5988.0),
        (ZONAL, "c", 5988.0),
        (ZONAL, "b", -math.inf),
        (ZONAL._replace(deduplication_group="cell"), "a", 5988.0),
        (IDEMPOTENT, "b", 9988.0),
        (ZONAL._replace(deduplication_group="cell"), "c", -math.inf),
        (ZONAL._replace(deduplication_window_ms=900.0), "a", -math.inf),
    ],
)
def test_a_send_after_one_that_may_have_run_leaves_inside_its_window_and_group(stream, endpoint, by):
    node, event = maybe_ran(stream)
    assert node.send_deadline(event, node.endpoints[endpoint], 1000.0) == by
    assert node.send_deadline(event, node.endpoints[endpoint], by if by > 0 else 5900.0) == -math.inf


def test_a_send_leaves_neither_into_a_wait_nor_a_drain_nor_past_the_end_of_its_event():
    run = SimulatedNode(ENTRIES, stream_types=[NON_IDEMPOTENT]).run_until(0.0)
    node = run.session.router
    event, endpoint = node.add_event(0.0, 0, 0, 4000.0), node.endpoints["a"]
    assert node.send_deadline(event, endpoint, 10.0) == 3988.0
    endpoint.rate_limiter.apply_retry_after(500.0, node.random_uniform)
    assert (
        node.send_deadline(event, endpoint, 499.0) == -math.inf < node.send_deadline(event, endpoint, 500.0)
    )
    node.apply_endpoint_list([("a", 0, 0, 0, 0.0, False)], False, 600.0)
    assert (
        node.send_deadline(event, endpoint, 600.0)
        == -math.inf
        < node.send_deadline(event, node.endpoints["b"], 600.0)
    )
    node.withdraw(event, 700.0)
    assert node.send_deadline(event, node.endpoints["b"], 700.0) == -math.inf


def test_an_endpoint_that_comes_back_elsewhere_is_of_its_new_group():
    node, event = maybe_ran(ZONAL)
    node.apply_endpoint_list(
        [("a", 0, 1, 0, 0.0, True), ("b", 0, 0, 0, 0.0, True), ("c", 0, 1, 0, 0.0, True)], True, 1100.0
    )
    assert node.decide(event, 1100.0).endpoint.endpoint_id == "b"
