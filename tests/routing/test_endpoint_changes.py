"""Endpoints that drain, leave, come back or serve another destination."""

import pytest
from support.event_bursts import TWO, burst, sent
from support.simulated_node import SimulatedNode

from swiftthread.routing.messages import SendOutcome


def test_nothing_goes_to_a_draining_endpoint():
    run = burst(SimulatedNode(TWO), range(1, 3))
    first = [
        (endpoint, destination, zone, kind, rate, False) for endpoint, destination, zone, kind, rate, _ in TWO
    ]
    run.schedule(300.0, run.apply_endpoint_list, first)
    burst(run, (8,), 400.0).run_until(20000.0).assert_matches_trace("draining")


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("answer", [SendOutcome.ACKED, SendOutcome.TIMED_OUT])
def test_an_endpoint_that_serves_another_destination_now_gets_that_ones_events_alone(whole, answer):
    """Also one that was held to be down, or has a call out."""
    run = SimulatedNode(
        TWO, lambda ticket, endpoint, now: (3000.0, answer) if now < 200.0 else (50.0, SendOutcome.ACKED)
    )
    burst(run, range(1, 5))
    run.schedule(
        300.0, run.apply_endpoint_list, [(1, 5, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)][: 1 + whole], whole
    )
    burst(run, range(11, 14), 400.0)
    burst(run, range(21, 24), 500.0, destination=5)
    run.run_until(30000.0)
    goes = [line.split()[2:5:2] for line in run.lines if " send " in line and float(line.split()[0]) > 300.0]
    goes = [(int(ticket), endpoint.strip(",")) for ticket, endpoint in goes]
    assert {endpoint for ticket, endpoint in goes if ticket < 20} == {"2"} and {
        endpoint for ticket, endpoint in goes if ticket > 20
    } == {"1"}
    assert {ticket for ticket, _ in goes} >= {*range(11, 14), *range(21, 24)}


def test_a_retry_after_and_an_outage_outlast_an_endpoint_that_leaves_the_list_and_returns():
    routes = [(1, 0, 0, 0, 4.0, True)]
    run = burst(
        SimulatedNode(
            routes,
            lambda t, s, n: (
                (50.0, SendOutcome.RATE_LIMITED, 3000.0) if n < 100.0 else (50.0, SendOutcome.ACKED)
            ),
            separate_routes_by_kind=[True],
        ),
        (1,),
    )
    run.schedule(500.0, run.apply_endpoint_list, [(1, 0, 0, 0, 4.0, False)])
    run.schedule(900.0, run.apply_endpoint_list, routes)
    run.run_until(6000.0).assert_matches_trace("retry_after_outlasts_list")
    assert sent(run)[1][0] >= 3060.0
