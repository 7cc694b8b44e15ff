"""Connection limits of endpoints that many nodes share: what is harmless in one node is harmful in many."""

import pytest
from support.event_bursts import ONE_ENDPOINT
from support.simulated_fleet import ConnectionLimitedEndpoint, Fleet
from support.simulated_node import SimulatedNode, send

from swiftthread.routing.messages import Defer, SendOutcome

ROUTE = [("a", 0, 0, 0, 100.0, True)]


def test_idle_connections_of_many_nodes_stay_below_the_connection_limit():
    """One connection retained for a call every few seconds was harmless; a hundred reached the limit."""
    table = ConnectionLimitedEndpoint(30)
    fleet = Fleet(100, ROUTE, {"a": table}, keepalive_ms=5000.0)
    fleet.schedule_load(1, 60.0, 0.0, 20000.0)
    fleet.run_until(30000.0)
    assert len(table.calls) > 1000 and table.rejected_share() < 0.05
    assert len(fleet.trace_lines("reject ")) < 10


def test_rejected_connections_reduce_no_rate_and_are_no_outage_while_calls_are_acked():
    """Rejected connections were taken for an exceeded rate limit.

    Rates were reduced, and two rejected connections marked a destination down. Where no call is acked for a
    second, rejected connections do count as an outage, at an unchanged rate: an endpoint that is down may
    reject nothing but connections (test_slow_start_budget.py).
    """

    def rate_ratio_and_state_after(outcome, acks_between=False):
        run = SimulatedNode(ROUTE, node_count=20)
        router = run.run_until(0.0).session.router
        limiter = router.endpoints["a"].rate_limiter
        rate, event = limiter.rate, router.add_event(0.0, 0, 0, 10000.0)
        for time_ms in (0.0, 1500.0, 3000.0, 4500.0):
            if acks_between:
                acked = router.add_event(time_ms - 700.0, 0, 0, 10000.0)
                router.decide(acked, time_ms - 700.0)
                router.record_outcome(acked, SendOutcome.ACKED, time_ms - 650.0, 50.0, is_event_finished=True)
            sent_at = send(router, event, time_ms)
            router.record_outcome(event, outcome, sent_at + 30.0, 30.0)
        return limiter.rate / rate, router.endpoints["a"].is_down

    rate_ratio, is_down = rate_ratio_and_state_after(SendOutcome.CONNECTION_LIMIT, acks_between=True)
    assert rate_ratio >= 1.0 and not is_down
    assert rate_ratio_and_state_after(SendOutcome.CONNECTION_LIMIT) == (1.0, True)
    run = SimulatedNode([("a", 0, 0, 0, 0.0, True)]).run_until(0.0)
    event = run.session.router.add_event(0.0, 0, 0, 10000.0)
    run.session.router.decide(event, 0.0)
    run.session.router.record_outcome(event, SendOutcome.CONNECTION_LIMIT, 30.0, 30.0)
    # A limiter without a rate has no slot to wait for, so the pause alone defers the event.
    assert run.session.router.decide(event, 150.0) == Defer()
    rate_ratio, is_down = rate_ratio_and_state_after(SendOutcome.RATE_LIMITED)
    assert rate_ratio < 0.5 and is_down


@pytest.mark.parametrize("rejected_before, is_down", [(False, True), (True, False)])
def test_rejected_connections_are_usual_where_some_calls_got_through_between_them(rejected_before, is_down):
    """A node that is often rejected by a connection limit was held up by it as by an outage."""
    router = SimulatedNode(ROUTE, node_count=20).run_until(0.0).session.router
    endpoint = router.endpoints["a"]
    now = 0.0
    for _ in range(20):
        event = router.add_event(now, 0, 0, 10000.0)
        for outcome in (SendOutcome.CONNECTION_LIMIT,) * rejected_before + (SendOutcome.ACKED,):
            now = send(router, event, now)
            router.record_outcome(event, outcome, now, 30.0, is_event_finished=outcome == SendOutcome.ACKED)
    event = router.add_event(now, 0, 0, 60000.0)
    states = []
    for _ in range(5):
        now = send(router, event, now + 1500.0)
        router.record_outcome(event, SendOutcome.CONNECTION_LIMIT, now, 30.0)
        states.append(endpoint.is_down)
    assert states[1] == is_down and states[-1]


def test_a_connection_is_retained_while_an_event_is_pending_for_its_destination():
    """It was closed in the scheduling cycle in which its call ended; a new one cost time of the next slot."""
    node = SimulatedNode([("a", 0, 0, 0, 1.0, True)], keepalive_ms=5000.0).run_until(0.0).session.router
    first, second = [node.add_event(0.0, 0, 0, 10000.0) for _ in range(2)]
    for event, time_ms, closed in ((first, 0.0, []), (second, 1100.0, ["a"])):
        node.decide(event, time_ms)
        node.record_outcome(event, SendOutcome.ACKED, time_ms + 50.0, 50.0, is_event_finished=True)
        assert [endpoint.endpoint_id for endpoint in node.endpoints_to_disconnect(time_ms + 50.0)] == closed


def test_mostly_idle_connections_are_closed():
    """Hundreds of nodes each retained a connection after one call, and kept the endpoint at its limit."""
    run = SimulatedNode(ONE_ENDPOINT, keepalive_ms=5000.0)
    for ticket, time_ms in enumerate((10.0, 12000.0, 12400.0, 12800.0, 13200.0), 1):
        run.schedule(time_ms, run.submit, ticket)
    run.run_until(20000.0).assert_matches_trace("idle_closes")
    for ticket in range(6, 66):
        run.schedule(20000.0 + 120.0 * ticket, run.submit, ticket)
    run.run_until(30000.0)
    closed = [float(line.split()[0]) for line in run.lines if "close idle" in line]
    assert max(closed) < 25000.0  # a connection that is in use for most of the time is retained
