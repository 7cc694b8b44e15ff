"""Choice of the endpoint for an event, and of the event that is sent first."""

import sys
from itertools import pairwise

from support.event_bursts import ONE_ENDPOINT, TWO_ENDPOINTS, submit_burst
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType


def test_event_waits_for_the_cheaper_route_until_the_delay_costs_more_than_carriage():
    routes = [(1, 0, 0, 0, 1.0, True), (2, 0, 1, 0, 1.0, True)]
    run = SimulatedNode(routes, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0])
    submit_burst(run, range(1, 5)).run_until(6000.0).assert_matches_trace("carriage_cost")


def test_events_use_free_slots_of_the_costlier_route_while_the_cheaper_route_is_down():
    """Protects against events that wait for the next slot of the cheaper route while it is down.

    The free slots of the costlier route passed unused meanwhile.
    """

    def respond(ticket, endpoint, now):
        return (5.0, SendOutcome.UNREACHABLE) if endpoint == 1 else (50.0, SendOutcome.ACKED)

    routes = [(1, 0, 1, 0, 8.0, True), (2, 0, 0, 0, 4.0, True)]
    run = submit_burst(
        SimulatedNode(routes, respond, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0]),
        range(1, 40),
    ).run_until(6000.0)
    sent_at = [float(line.split()[0]) for line in run.lines if " -> 2," in line]
    assert len(sent_at) > 20 and max(later - earlier for earlier, later in pairwise(sent_at)) < 300.0


def test_endpoint_is_ejected_only_for_the_stream_type_that_it_fails():
    """Protects against an endpoint that fails nine tenths of one stream type and acks the other.

    Its acks of the other stream type kept it from being marked down, so it went on getting both.
    """

    def respond(ticket, endpoint, now):
        return (50.0, SendOutcome.FAILED) if endpoint == 1 and ticket % 2 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        TWO_ENDPOINTS, respond, stream_types=[IDEMPOTENT, IDEMPOTENT._replace(latency_objective_ms=4000.0)]
    )
    for ticket in range(1, 17):
        run.schedule(600.0 * ticket, run.submit, ticket, 0, ticket % 2)
    run.run_until(20000.0).assert_matches_trace("ejected_for_one_stream_type")


def test_overloaded_destination_is_not_served_oldest_first():
    """Protects against worthless deliveries at twice the rate limit of the destination.

    When the oldest event was sent first, each event waited until its delivery was worthless.
    """
    stream = StreamType(1500.0, 5000.0, effect="idempotent")
    run = SimulatedNode(ONE_ENDPOINT, stream_types=[stream])
    for ticket in range(160):
        submit_burst(run, (ticket,), 10.0 + 125.0 * ticket)
    run.run_until(30000.0)
    acks = [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " acked " in line]
    ages_ms = sorted(acked_at - 10.0 - 125.0 * ticket for acked_at, ticket in acks)
    assert len(ages_ms) > 100 and ages_ms[len(ages_ms) // 2] < 2300.0, ages_ms[len(ages_ms) // 2]


def test_number_of_function_calls_per_event_does_not_grow_with_the_fleet():
    def function_calls(fleet_size):
        run, calls = (
            SimulatedNode(
                [(n, n, 0, 0, 4.0, True) for n in range(fleet_size)], node_count=fleet_size
            ).run_until(5.0),
            [],
        )
        submit_burst(run, (1, 2))
        sys.setprofile(lambda frame, event, arg: calls.append(event) if event == "call" else None)
        run.run_until(3000.0)
        sys.setprofile(None)
        return len(calls)

    assert function_calls(20) == function_calls(400)
