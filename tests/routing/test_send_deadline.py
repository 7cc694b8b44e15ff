"""The send deadline: deduplication window and group, max age, Retry-After and draining."""

import math

import pytest
from support.simulated_node import SimulatedNode
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.routing.messages import SendOutcome

ZONAL = DEDUPLICATED._replace(deduplication_group="zone")
ENTRIES = [("a", 0, 0, 0, 0.0, True), ("b", 0, 1, 0, 0.0, True), ("c", 0, 0, 0, 0.0, True)]


def router_with_possible_run(stream, endpoint="a"):
    """Return a router at 1,000 ms, and an event whose attempt at 0 ms, to this endpoint, may have run."""
    run = SimulatedNode(
        [entry for entry in ENTRIES if entry[0] == endpoint], stream_types=[stream]
    ).run_until(0.0)
    router = run.session.router
    event = router.add_event(0.0, 0, 0, stream.max_age_ms)
    assert router.decide(event, 0.0).endpoint.endpoint_id == endpoint
    router.record_outcome(event, SendOutcome.RESET, 1000.0, 1000.0)
    router.apply_endpoint_list(ENTRIES, True, 1000.0)
    return router, event


@pytest.mark.parametrize(
    "stream, endpoint, deadline",
    [
        (DEDUPLICATED, "a", 5850.0),
        (DEDUPLICATED, "b", 5850.0),
        (ZONAL, "a", 5850.0),
        (ZONAL, "c", 5850.0),
        (ZONAL, "b", -math.inf),
        (ZONAL._replace(deduplication_group="cell"), "a", 5850.0),
        (IDEMPOTENT, "b", 9988.0),
        (ZONAL._replace(deduplication_group="cell"), "c", -math.inf),
        (ZONAL._replace(deduplication_window_ms=900.0), "a", -math.inf),
    ],
)
def test_deadline_after_a_possible_run_respects_the_deduplication_window_and_group(
    stream, endpoint, deadline
):
    """The window ends at 6,000 ms; a process held up for 150 ms after its last look at the clock keeps it.

    With a margin of 12 ms a repeat was once sent 2.134 s after a send that may have run, in a window of 2 s.
    """
    router, event = router_with_possible_run(stream)
    assert router.send_deadline(event, router.endpoints[endpoint], 1000.0) == deadline
    assert (
        router.send_deadline(event, router.endpoints[endpoint], deadline if deadline > 0 else 5900.0)
        == -math.inf
    )


def test_no_send_is_allowed_during_a_retry_after_or_to_a_draining_endpoint_or_for_a_withdrawn_event():
    run = SimulatedNode(ENTRIES, stream_types=[NON_IDEMPOTENT]).run_until(0.0)
    router = run.session.router
    event, endpoint = router.add_event(0.0, 0, 0, 4000.0), router.endpoints["a"]
    assert router.send_deadline(event, endpoint, 10.0) == 3988.0
    endpoint.rate_limiter.apply_retry_after(500.0, router.random_uniform)
    assert (
        router.send_deadline(event, endpoint, 499.0)
        == -math.inf
        < router.send_deadline(event, endpoint, 500.0)
    )
    router.apply_endpoint_list([("a", 0, 0, 0, 0.0, False)], False, 600.0)
    assert (
        router.send_deadline(event, endpoint, 600.0)
        == -math.inf
        < router.send_deadline(event, router.endpoints["b"], 600.0)
    )
    router.withdraw(event, 700.0)
    assert router.send_deadline(event, router.endpoints["b"], 700.0) == -math.inf


def test_endpoint_listed_again_in_another_zone_belongs_to_the_group_of_that_zone():
    router, event = router_with_possible_run(ZONAL)
    router.apply_endpoint_list(
        [("a", 0, 1, 0, 0.0, True), ("b", 0, 0, 0, 0.0, True), ("c", 0, 1, 0, 0.0, True)], True, 1100.0
    )
    assert router.decide(event, 1100.0).endpoint.endpoint_id == "b"
