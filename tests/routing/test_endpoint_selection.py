"""Which endpoint an event goes to, and which event goes first."""

import sys
from itertools import pairwise

from support.event_bursts import ONE, TWO, burst
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType


def test_a_route_without_a_carriage_cost_is_waited_for_until_that_costs_more():
    routes = [(1, 0, 0, 0, 1.0, True), (2, 0, 1, 0, 1.0, True)]
    run = SimulatedNode(routes, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0])
    burst(run, range(1, 5)).run_until(6000.0).assert_matches_trace("carriage_cost")


def test_a_route_that_is_out_keeps_nobody_from_the_slots_of_another():
    """Events waited for one route's moment; a free slot of the dearer route passed with the cheaper out."""

    def answers(ticket, endpoint, now):
        return (5.0, SendOutcome.UNREACHABLE) if endpoint == 1 else (50.0, SendOutcome.ACKED)

    routes = [(1, 0, 1, 0, 8.0, True), (2, 0, 0, 0, 4.0, True)]
    run = burst(
        SimulatedNode(routes, answers, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0]),
        range(1, 40),
    ).run_until(6000.0)
    times = [float(line.split()[0]) for line in run.lines if " -> 2," in line]
    assert len(times) > 20 and max(later - at for at, later in pairwise(times)) < 300.0


def test_a_stream_type_that_one_endpoint_fails_goes_to_the_next_and_the_others_stay():
    """One endpoint failed nine tenths of one stream type and took the other: it never looked down."""

    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.FAILED) if endpoint == 1 and ticket % 2 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        TWO, answers, stream_types=[IDEMPOTENT, IDEMPOTENT._replace(latency_objective_ms=4000.0)]
    )
    for ticket in range(1, 17):
        run.schedule(600.0 * ticket, run.submit, ticket, 0, ticket % 2)
    run.run_until(20000.0).assert_matches_trace("ejected_for_one_stream_type")


def test_an_overload_is_not_served_oldest_first():
    """Twice what a destination takes: with the oldest first, each event waited until worthless."""
    stream = StreamType(1500.0, 5000.0, effect="idempotent")
    run = SimulatedNode(ONE, stream_types=[stream])
    for ticket in range(160):
        burst(run, (ticket,), 10.0 + 125.0 * ticket)
    run.run_until(30000.0)
    acked = [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " acked " in line]
    ages = sorted(at - 10.0 - 125.0 * ticket for at, ticket in acked)
    assert len(ages) > 100 and ages[len(ages) // 2] < 2300.0, ages[len(ages) // 2]


def test_the_work_for_an_event_does_not_grow_with_the_fleet():
    def calls(size):
        run, seen = (
            SimulatedNode([(n, n, 0, 0, 4.0, True) for n in range(size)], node_count=size).run_until(5.0),
            [],
        )
        burst(run, (1, 2))
        sys.setprofile(lambda frame, event, arg: seen.append(event) if event == "call" else None)
        run.run_until(3000.0)
        sys.setprofile(None)
        return len(seen)

    assert calls(20) == calls(400)
