"""Endpoints that drain, are removed, are listed again or move to another destination."""

import pytest
from support.event_bursts import TWO_ENDPOINTS, sends, submit_burst
from support.simulated_node import SimulatedNode

from swiftthread.routing.endpoint_list import MAX_UNLISTED_DESTINATIONS
from swiftthread.routing.messages import EndpointEntry, SendOutcome


def test_draining_endpoint_gets_no_attempts():
    run = submit_burst(SimulatedNode(TWO_ENDPOINTS), range(1, 3))
    draining = [
        (endpoint, destination, zone, kind, rate, False)
        for endpoint, destination, zone, kind, rate, _ in TWO_ENDPOINTS
    ]
    run.schedule(300.0, run.apply_endpoint_list, draining)
    submit_burst(run, (8,), 400.0).run_until(20000.0).assert_matches_trace("draining")


@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("outcome", [SendOutcome.ACKED, SendOutcome.TIMED_OUT])
def test_endpoint_that_moves_to_another_destination_gets_only_events_of_that_destination(
    is_complete, outcome
):
    """Covers an endpoint that was marked down before, and one with a call in flight."""
    run = SimulatedNode(
        TWO_ENDPOINTS,
        lambda ticket, endpoint, now: (3000.0, outcome) if now < 200.0 else (50.0, SendOutcome.ACKED),
    )
    submit_burst(run, range(1, 5))
    run.schedule(
        300.0,
        run.apply_endpoint_list,
        [(1, 5, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)][: 1 + is_complete],
        is_complete,
    )
    submit_burst(run, range(11, 14), 400.0)
    submit_burst(run, range(21, 24), 500.0, destination=5)
    run.run_until(30000.0)
    sends = [line.split()[2:5:2] for line in run.lines if " send " in line and float(line.split()[0]) > 300.0]
    sends = [(int(ticket), endpoint.strip(",")) for ticket, endpoint in sends]
    assert {endpoint for ticket, endpoint in sends if ticket < 20} == {"2"} and {
        endpoint for ticket, endpoint in sends if ticket > 20
    } == {"1"}
    assert {ticket for ticket, _ in sends} >= {*range(11, 14), *range(21, 24)}


def test_retry_after_and_outage_still_hold_when_a_drained_endpoint_is_listed_again():
    routes = [(1, 0, 0, 0, 4.0, True)]
    run = submit_burst(
        SimulatedNode(
            routes,
            lambda ticket, endpoint, now: (
                (50.0, SendOutcome.RATE_LIMITED, 3000.0) if now < 100.0 else (50.0, SendOutcome.ACKED)
            ),
            separate_routes_by_kind=[True],
        ),
        (1,),
    )
    run.schedule(500.0, run.apply_endpoint_list, [(1, 0, 0, 0, 4.0, False)])
    run.schedule(900.0, run.apply_endpoint_list, routes)
    run.run_until(6000.0).assert_matches_trace("retry_after_outlasts_list")
    assert sends(run)[1][0] >= 3060.0


def test_destinations_that_no_endpoint_has_any_more_are_forgotten_beyond_a_number():
    """A list that names ever new destinations made the table grow for as long as the process ran."""
    router = SimulatedNode([], stream_types=[]).session.router
    for number in range(2 * MAX_UNLISTED_DESTINATIONS):
        now = 1e6 * number
        router.apply_endpoint_list([EndpointEntry(f"s-{number}", number, 0, 0, 0.0, True)], True, now)
    assert len(router.destinations) <= MAX_UNLISTED_DESTINATIONS + 2
    assert router.find_destination(2 * MAX_UNLISTED_DESTINATIONS - 1) is not None
    assert router.find_destination(0) is None
